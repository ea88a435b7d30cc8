// Differences between two configurations, field by field, for the operator to read before a publication.
#ifndef GERANIUMSAIL_CONFIG_DIFF_H
#define GERANIUMSAIL_CONFIG_DIFF_H

#include "core/ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Geraniumsail {

/// One field that differs; a missing side means that the field is only on the other side.
struct Difference
{
    DocumentName document;
    std::string field; ///< Such as "kinds[mooring-booking].share"; empty for a whole document.
    std::optional<std::string> before;
    std::optional<std::string> after;

    bool operator==(const Difference &) const = default;
};

/// Compares canonical texts by document name. Kinds and links are matched by name, not by position.
std::vector<Difference> diffDocuments(const std::map<DocumentName, std::string> &before,
                                      const std::map<DocumentName, std::string> &after);

/// One line: "DOCUMENT: FIELD: BEFORE -> AFTER".
std::string toText(const Difference &difference);

} // namespace Geraniumsail

#endif
