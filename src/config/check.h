// Checks that concern more than one field: within one service, within the links, and across a tree of files.
#ifndef GERANIUMSAIL_CONFIG_CHECK_H
#define GERANIUMSAIL_CONFIG_CHECK_H

#include "config/document.h"
#include "config/problem.h"
#include "core/ids.h"
#include "core/policy.h"

#include <map>
#include <string>
#include <vector>

namespace Geraniumsail {

/// A file of the operators' tree: its path relative to the root of the tree, and its text.
struct SourceFile
{
    std::string path;
    std::string text;
};

/// All documents of a tree.
struct Configuration
{
    std::map<ServiceName, ServicePolicy> services;
    std::vector<LinkPolicy> links;
    /// Canonical text of each document, as it is published.
    std::map<DocumentName, std::string> texts;
};

/// Checks between the fields of one service: the sum of shares, essential kinds above all others, repeated kinds,
/// connections for every slot, backoff below its cap.
Problems checkService(const ServicePolicy &policy, const std::string &file);

/// Checks between links: different ends, each direction once.
Problems checkLinks(const std::vector<LinkPolicy> &links, const std::string &file);

/// Parses and checks a whole tree: "<service>/geraniumsail.json" for each service and "links.json".
Checked<Configuration> checkTree(const std::vector<SourceFile> &files);

} // namespace Geraniumsail

#endif
