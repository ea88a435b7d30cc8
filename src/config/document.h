// The two kinds of configuration documents that operators write: one per service, and one for the links between
// regions.
//
// A document is parsed field by field, then checked as a whole (check.h). The canonical text of a document depends only
// on its meaning: fields are sorted, defaults are written out, kinds and links are sorted by name. Two files that mean
// the same therefore have the same content hash, and publishing one after the other changes nothing.
#ifndef GERANIUMSAIL_CONFIG_DOCUMENT_H
#define GERANIUMSAIL_CONFIG_DOCUMENT_H

#include "config/problem.h"
#include "core/configview.h"
#include "core/ids.h"
#include "core/policy.h"

#include <string>
#include <string_view>
#include <vector>

namespace Geraniumsail {

/// Name of the document of all links; no service can have it.
constexpr const char *LinksDocumentName = "links";

/// Parses and checks the text of a service document. The problems name the file and the field.
Checked<ServicePolicy> parseServiceDocument(std::string_view text, const std::string &file = "");

/// Parses and checks the text of the links document.
Checked<std::vector<LinkPolicy>> parseLinksDocument(std::string_view text, const std::string &file = "");

std::string canonicalText(const ServicePolicy &policy);
std::string canonicalText(const std::vector<LinkPolicy> &links);

} // namespace Geraniumsail

#endif
