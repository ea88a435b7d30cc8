#include "core/upstreamdirectory.h"

namespace Geraniumsail {

DirectoryChange UpstreamDirectory::put(const DirectoryEntry &entry, std::uint64_t revision)
{
    const auto found = m_entries.find(entry.node);
    if (found == m_entries.end()) {
        m_entries.emplace(entry.node, KnownEntry{entry, revision, std::nullopt});
        m_byService[entry.service].insert(entry.node);
        return DirectoryChange::Added;
    }
    auto &known = found->second;
    if (revision != 0 && revision < known.revision) {
        return DirectoryChange::None;
    }
    return replace(known, entry, revision);
}

DirectoryChange UpstreamDirectory::replace(KnownEntry &known, const DirectoryEntry &entry, std::uint64_t revision)
{
    const bool returned = known.lapsedAt.has_value();
    const bool changed = !(known.entry == entry);
    if (known.entry.service != entry.service) {
        removeFromIndex(entry.node, known.entry.service);
        m_byService[entry.service].insert(entry.node);
    }
    known = KnownEntry{entry, revision, std::nullopt};
    if (returned) {
        return DirectoryChange::Added;
    }
    return changed ? DirectoryChange::Updated : DirectoryChange::None;
}

DirectoryChange UpstreamDirectory::lapse(const NodeName &node, std::uint64_t revision, MonotonicTime now)
{
    const auto found = m_entries.find(node);
    if (found == m_entries.end() || revision < found->second.revision) {
        return DirectoryChange::None;
    }
    return markMissing(found, revision, now);
}

DirectoryChange UpstreamDirectory::markMissing(Entries::iterator found, std::uint64_t revision, MonotonicTime now)
{
    if (found->second.lapsedAt) {
        return DirectoryChange::None;
    }
    if (found->second.entry.phase != UpstreamPhase::Ready) {
        removeFromIndex(found->first, found->second.entry.service);
        m_entries.erase(found);
        return DirectoryChange::Removed;
    }
    found->second.lapsedAt = now;
    found->second.revision = revision;
    return DirectoryChange::Lapsed;
}

std::vector<std::pair<NodeName, DirectoryChange>>
UpstreamDirectory::replaceAll(const std::vector<std::pair<DirectoryEntry, std::uint64_t>> &entries,
                              std::uint64_t revision, MonotonicTime now)
{
    std::vector<std::pair<NodeName, DirectoryChange>> changes;
    std::set<NodeName> present;
    for (const auto &[entry, entryRevision] : entries) {
        present.insert(entry.node);
        const auto found = m_entries.find(entry.node);
        const auto change =
            found == m_entries.end() ? put(entry, entryRevision) : replace(found->second, entry, entryRevision);
        if (change != DirectoryChange::None) {
            changes.emplace_back(entry.node, change);
        }
    }
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        const auto found = next++;
        const auto node = found->first;
        const auto change = present.contains(node) ? DirectoryChange::None : markMissing(found, revision, now);
        if (change != DirectoryChange::None) {
            changes.emplace_back(node, change);
        }
    }
    return changes;
}

DirectoryChange UpstreamDirectory::onUnreachable(const NodeName &node)
{
    const auto found = m_entries.find(node);
    if (found == m_entries.end() || !found->second.lapsedAt) {
        return DirectoryChange::None;
    }
    removeFromIndex(node, found->second.entry.service);
    m_entries.erase(found);
    return DirectoryChange::Removed;
}

std::vector<NodeName> UpstreamDirectory::prune(MonotonicTime now)
{
    std::vector<NodeName> removed;
    for (const auto &[node, known] : m_entries) {
        if (known.lapsedAt && now - *known.lapsedAt > LapsedLifetime) {
            removed.push_back(node);
        }
    }
    for (const auto &node : removed) {
        removeFromIndex(node, m_entries.at(node).entry.service);
        m_entries.erase(node);
    }
    return removed;
}

std::vector<const KnownEntry *> UpstreamDirectory::candidates(const ServiceName &service) const
{
    std::vector<const KnownEntry *> found;
    const auto nodes = m_byService.find(service);
    if (nodes == m_byService.end()) {
        return found;
    }
    for (const auto &node : nodes->second) {
        const auto &known = m_entries.at(node);
        if (known.entry.phase == UpstreamPhase::Ready) {
            found.push_back(&known);
        }
    }
    return found;
}

const KnownEntry *UpstreamDirectory::find(const NodeName &node) const
{
    const auto found = m_entries.find(node);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<NodeName> UpstreamDirectory::nodesIn(const DataCentreName &dataCentre) const
{
    std::vector<NodeName> nodes;
    for (const auto &[node, known] : m_entries) {
        if (known.entry.dataCentre == dataCentre) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::vector<NodeName> UpstreamDirectory::nodes() const
{
    std::vector<NodeName> nodes;
    for (const auto &[node, known] : m_entries) {
        nodes.push_back(node);
    }
    return nodes;
}

void UpstreamDirectory::removeFromIndex(const NodeName &node, const ServiceName &service)
{
    const auto nodes = m_byService.find(service);
    if (nodes != m_byService.end()) {
        nodes->second.erase(node);
        if (nodes->second.empty()) {
            m_byService.erase(nodes);
        }
    }
}

} // namespace Geraniumsail
