// Encodes and decodes the stored form of a directory entry, a JSON object.
#ifndef GERANIUMSAIL_RELAY_ENTRYCODEC_H
#define GERANIUMSAIL_RELAY_ENTRYCODEC_H

#include "core/upstreamdirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

std::string encodeEntry(const DirectoryEntry &entry);
/// Returns nothing if a field is missing or has the wrong type. Unknown fields are ignored.
std::optional<DirectoryEntry> decodeEntry(std::string_view text);

} // namespace Geraniumsail

#endif
