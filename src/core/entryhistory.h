// The directory entries as the store holds them, with enough history to tell another node what changed since a revision
// that it knows.
//
// A node that follows the store records what it reads here and serves the others of its data centre from it (see
// core/storereaders.h). Revisions are those of the store, so that a node can change its source at any time: it names
// the revision up to which it knows everything, and any source continues from there. A source that is behind has
// nothing to tell, and never makes a node return to an older view.
#ifndef GERANIUMSAIL_CORE_ENTRYHISTORY_H
#define GERANIUMSAIL_CORE_ENTRYHISTORY_H

#include "core/upstreamdirectory.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Geraniumsail {

/// Entries and removed nodes, each with the revision of its last change, complete up to revision.
struct EntryChanges
{
    std::vector<std::pair<DirectoryEntry, std::uint64_t>> entries;
    std::vector<std::pair<NodeName, std::uint64_t>> removed;
    std::vector<std::string> invalid; ///< Descriptions of entries that were ignored.
    std::uint64_t revision = 0;
    /// entries are all that exist, instead of those that changed since an earlier revision.
    bool isSnapshot = false;
};

class EntryHistory
{
public:
    /// Limit on the remembered removals. A node that is further behind gets a snapshot.
    static constexpr std::size_t MaxRemovals = 512;

    /// Records changes that continue from revision() or from an earlier revision. Returns false, and records nothing,
    /// if they are older than what is known.
    bool apply(const EntryChanges &changes);
    /// Replaces everything by what the store itself holds, also if its revision is lower: the store may have come back
    /// from an older copy. Changes that were known beyond that revision arrive again with the next ones.
    void replace(const EntryChanges &snapshot);
    /// Revision up to which everything is known; 0 before the first snapshot.
    std::uint64_t revision() const
    {
        return m_revision;
    }
    /// What changed after the revision; a snapshot if that is not known or the revision is 0.
    EntryChanges since(std::uint64_t revision) const;

private:
    void remove(const NodeName &node, std::uint64_t revision);

    std::map<NodeName, std::pair<DirectoryEntry, std::uint64_t>> m_entries;
    std::multimap<std::uint64_t, NodeName> m_removals; ///< By revision.
    std::uint64_t m_revision = 0;
    std::uint64_t m_removalsKnownSince = 0; ///< All later removals are in m_removals.
};

} // namespace Geraniumsail

#endif
