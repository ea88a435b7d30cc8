// Directory of the upstreams of the fleet and the nodes beside them, as known to this node.
//
// Each node publishes one leased entry in the platform's store; every node reads all entries and watches for changes.
// An entry is a hint: the node beside the upstream decides whether a request may be delivered, so a stale entry costs
// one extra attempt and never a wrong delivery.
//
// An entry whose lease ended is not removed at once, because the store may have been unavailable. It is kept as lapsed
// for LapsedLifetime, used only after confirmed entries that are about as good, and removed earlier if the node beside
// the upstream refuses a connection or reports that the upstream is gone.
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
    Address peer; ///< Address at which the node accepts requests from other nodes.
    DataCentreName dataCentre;
    RegionName region;
    ServiceName service;
    UpstreamId upstream;
    std::int64_t upstreamStartedMs = 0; ///< Start of the upstream's incarnation; 0 if unknown.
    /// The upstream itself reported that it is draining or gone. phase alone does not tell: a node that stops publishes
    /// Draining for an upstream that goes on.
    bool upstreamLeft = false;
    UpstreamPhase phase = UpstreamPhase::Ready;
    Slots slots{0};
    Duration coldRemaining{}; ///< Remaining duration of the cold start when the entry was written.

    bool operator==(const DirectoryEntry &) const = default;
};

/// A directory entry with the state of its lease.
struct KnownEntry
{
    DirectoryEntry entry;
    std::uint64_t revision = 0; ///< Store revision; 0 if not from the store.
    std::optional<MonotonicTime> lapsedAt; ///< Empty while the entry is confirmed.
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
    /// How long a lapsed entry stays usable. Nodes that are alive and reach the store publish their entries again
    /// within two seconds of its return; an entry still missing then is treated as gone. The rest covers watch delays.
    static constexpr Duration LapsedLifetime = std::chrono::milliseconds(2500);

    /// Adds or updates the entry of a node; a put with an older revision is ignored.
    DirectoryChange put(const DirectoryEntry &entry, std::uint64_t revision);
    /// The store no longer holds the entry of this node: marks it as lapsed, or removes it if it is not ready.
    DirectoryChange lapse(const NodeName &node, std::uint64_t revision, MonotonicTime now);
    /// Applies all entries that exist at this revision, whatever was known; missing ones lapse. Returns the nodes that
    /// changed.
    std::vector<std::pair<NodeName, DirectoryChange>>
    replaceAll(const std::vector<std::pair<DirectoryEntry, std::uint64_t>> &entries, std::uint64_t revision,
               MonotonicTime now);
    /// The node refused a connection or reported that its upstream is gone: removes its entry if it has lapsed.
    DirectoryChange onUnreachable(const NodeName &node);
    /// Removes entries that lapsed more than LapsedLifetime ago; returns their nodes.
    std::vector<NodeName> prune(MonotonicTime now);

    /// Ready entries of a service, confirmed and lapsed.
    std::vector<const KnownEntry *> candidates(const ServiceName &service) const;
    const KnownEntry *find(const NodeName &node) const;
    /// All nodes of a data centre, whatever the phase of their upstreams.
    std::vector<NodeName> nodesIn(const DataCentreName &dataCentre) const;
    std::vector<NodeName> nodes() const;
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    using Entries = std::map<NodeName, KnownEntry>;

    /// Applies an entry whatever the revision of the known one.
    DirectoryChange replace(KnownEntry &known, const DirectoryEntry &entry, std::uint64_t revision);
    DirectoryChange markMissing(Entries::iterator found, std::uint64_t revision, MonotonicTime now);
    void removeFromIndex(const NodeName &node, const ServiceName &service);

    Entries m_entries;
    std::map<ServiceName, std::set<NodeName>> m_byService;
};

} // namespace Geraniumsail

#endif
