// Encodes and decodes the stored forms of a directory entry and of a leave record, JSON objects.
#ifndef GERANIUMSAIL_RELAY_ENTRYCODEC_H
#define GERANIUMSAIL_RELAY_ENTRYCODEC_H

#include "core/entryhistory.h"

#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

std::string encodeEntry(const DirectoryEntry &entry);
/// Returns nothing if a field is missing, has the wrong type, or a value that no node writes. Unknown fields are
/// ignored.
std::optional<DirectoryEntry> decodeEntry(std::string_view text);

/// Encodes changes for another node, without the descriptions of ignored entries.
std::string encodeChanges(const EntryChanges &changes);
/// Returns nothing if any part is malformed: the rest would pass for complete.
std::optional<EntryChanges> decodeChanges(std::string_view text);

std::string encodeLeaves(const LeaveRecord &record);
/// Returns nothing if any part is malformed.
std::optional<LeaveRecord> decodeLeaves(std::string_view text);

} // namespace Geraniumsail

#endif
