#include "core/entryhistory.h"

#include <algorithm>
#include <set>

namespace Geraniumsail {

bool EntryHistory::apply(const EntryChanges &changes)
{
    if (changes.revision < m_revision || (m_revision == 0 && !changes.isSnapshot)) {
        return false;
    }
    if (changes.isSnapshot) {
        // Entries that came and went since the last known revision are in neither view, but another node may know them.
        m_removals.clear();
        m_removalsKnownSince = changes.revision;
        std::set<NodeName> present;
        for (const auto &[entry, revision] : changes.entries) {
            present.insert(entry.node);
        }
        std::erase_if(m_entries, [&](const auto &known) {
            return !present.contains(known.first) && known.second.second <= changes.revision;
        });
    }
    for (const auto &[entry, revision] : changes.entries) {
        const auto known = m_entries.find(entry.node);
        if (known == m_entries.end() || known->second.second <= revision) {
            m_entries.insert_or_assign(entry.node, std::pair(entry, revision));
        }
    }
    for (const auto &[node, revision] : changes.removed) {
        remove(node, revision);
    }
    while (m_removals.size() > MaxRemovals) {
        m_removalsKnownSince = std::max(m_removalsKnownSince, m_removals.begin()->first);
        m_removals.erase(m_removals.begin());
    }
    m_revision = changes.revision;
    return true;
}

void EntryHistory::replace(const EntryChanges &snapshot)
{
    m_entries.clear();
    m_removals.clear();
    for (const auto &[entry, revision] : snapshot.entries) {
        m_entries.insert_or_assign(entry.node, std::pair(entry, revision));
    }
    m_revision = snapshot.revision;
    m_removalsKnownSince = snapshot.revision;
}

void EntryHistory::remove(const NodeName &node, std::uint64_t revision)
{
    const auto known = m_entries.find(node);
    if (known != m_entries.end() && known->second.second > revision) {
        return;
    }
    if (known != m_entries.end()) {
        m_entries.erase(known);
    }
    m_removals.emplace(revision, node);
}

EntryChanges EntryHistory::since(std::uint64_t revision) const
{
    EntryChanges changes;
    changes.revision = m_revision;
    changes.isSnapshot = revision == 0 || revision < m_removalsKnownSince;
    if (!changes.isSnapshot && revision >= m_revision) {
        return changes;
    }
    for (const auto &[node, known] : m_entries) {
        if (changes.isSnapshot || known.second > revision) {
            changes.entries.push_back(known);
        }
    }
    if (!changes.isSnapshot) {
        for (auto removal = m_removals.upper_bound(revision); removal != m_removals.end(); ++removal) {
            // A node that was removed and came back is among the entries.
            if (!m_entries.contains(removal->second)) {
                changes.removed.emplace_back(removal->second, removal->first);
            }
        }
    }
    return changes;
}

} // namespace Geraniumsail
