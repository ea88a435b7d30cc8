// What this node believes about the upstreams of the fleet and the nodes beside them.
//
// Each node publishes one leased entry in the platform's store; every node reads all entries and follows changes. An
// entry is a hint: the node beside the upstream decides whether a request may be delivered, so a stale entry costs a
// detour and never a wrong delivery.
//
// An entry whose lease ended is not forgotten at once, because the store may have been away: it is kept as lapsed for
// LapsedLifetime, used only after confirmed entries that are about as good, and dropped earlier when the node beside
// the upstream refuses a connection or says that the upstream left.
#ifndef GERANIUMSAIL_CORE_UPSTREAMDIRECTORY_H
#define GERANIUMSAIL_CORE_UPSTREAMDIRECTORY_H

#include "core/ids.h"
#include "core/units.h"
#include "core/upstreamgate.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Geraniumsail {

/// One node and the upstream beside it, as published by the node.
struct DirectoryEntry
{
    NodeName node;
    std::int64_t nodeStartedMs = 0; ///< Start of the node process, Unix time in milliseconds.
    Address peer; ///< Where the node accepts requests of other nodes.
    DataCentreName dataCentre;
    RegionName region;
    ServiceName service;
    UpstreamId upstream;
    UpstreamPhase phase = UpstreamPhase::Ready;
    Slots slots{0};
    Duration coldRemaining{}; ///< At the time of writing.

    bool operator==(const DirectoryEntry &) const = default;
};

struct KnownEntry
{
    DirectoryEntry entry;
    std::uint64_t revision = 0; ///< Of the store; 0 if not from the store.
    std::optional<MonotonicTime> lapsedAt;
};

enum class DirectoryChange {
    None,
    Added,
    Updated,
    Lapsed,
    Removed,
};

class UpstreamDirectory
{
public:
    /// How long a lapsed entry stays usable. Entries of nodes that live and reach the store are back within two seconds
    /// of its return; one that is still missing then is taken as gone. The rest covers the delay of watches.
    static constexpr Duration LapsedLifetime = std::chrono::milliseconds(2500);

    DirectoryChange put(const DirectoryEntry &entry, std::uint64_t revision);
    /// The store no longer holds the entry of this node.
    DirectoryChange lapse(const NodeName &node, std::uint64_t revision, MonotonicTime now);
    /// A whole read of the store at this revision; entries that it lacks lapse. Returns the nodes that changed.
    std::vector<std::pair<NodeName, DirectoryChange>>
    replaceAll(const std::vector<std::pair<DirectoryEntry, std::uint64_t>> &entries, std::uint64_t revision,
               MonotonicTime now);
    /// The node refused a connection or said that its upstream left: a lapsed entry is dropped.
    DirectoryChange onUnreachable(const NodeName &node);
    /// Drops entries that lapsed too long ago; returns them.
    std::vector<NodeName> prune(MonotonicTime now);

    /// Entries of a service that may be used, confirmed and lapsed.
    std::vector<const KnownEntry *> candidates(const ServiceName &service) const;
    const KnownEntry *find(const NodeName &node) const;
    /// All nodes of a data centre, whatever the state of their upstreams.
    std::vector<NodeName> nodesIn(const DataCentreName &dataCentre) const;
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    void unlink(const NodeName &node, const ServiceName &service);

    std::map<NodeName, KnownEntry> m_entries;
    std::map<ServiceName, std::set<NodeName>> m_byService;
};

} // namespace Geraniumsail

#endif
