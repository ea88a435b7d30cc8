// The operators' tree of files, and the base versions that it started from.
//
// The base file beside the documents records the published versions that the tree's author has seen. It travels with
// the files under version control, so that a publication from an old copy cannot undo a newer one unnoticed.
#ifndef GERANIUMSAIL_CLI_TREE_H
#define GERANIUMSAIL_CLI_TREE_H

#include "config/check.h"
#include "core/manifest.h"

#include <map>
#include <string>

namespace Geraniumsail::Cli {

constexpr const char *BaseFileName = ".geraniumsail-base.json";

using BaseVersions = std::map<DocumentName, ConfigVersion>;

/// Reads and checks a tree; a folder that cannot be read is a problem like any other.
Checked<Configuration> readTree(const std::string &root);

/// Base versions of a tree; empty without a base file. Problems if it is damaged.
Checked<BaseVersions> readBase(const std::string &root);
/// False if the file cannot be written.
bool writeBase(const std::string &root, const BaseVersions &versions);

} // namespace Geraniumsail::Cli

#endif
