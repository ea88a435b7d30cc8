// Encoding of a directory entry as stored: one JSON object.
#ifndef GERANIUMSAIL_RELAY_ENTRYCODEC_H
#define GERANIUMSAIL_RELAY_ENTRYCODEC_H

#include "core/upstreamdirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

std::string encodeEntry(const DirectoryEntry &entry);
/// Nothing if a field is missing or has another type; unknown fields are ignored.
std::optional<DirectoryEntry> decodeEntry(std::string_view text);

} // namespace Geraniumsail

#endif
