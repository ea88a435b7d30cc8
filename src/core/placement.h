// Chooses the upstream for one request.
//
// The load it answers: upstreams of one service differ in speed by more than two, traffic differs between data centres,
// and bytes between data centres are dear. Each candidate gets an estimate of the time until the answer: network
// distance, the upstream's service time, and the wait for a slot given its last reported load and what this node sent
// since. The data centre of this node is preferred by a margin, so requests leave it only when the wait there costs
// more than the distance. Of the two best candidates at the same distance one is chosen at random in proportion to
// closeness, so that nodes with the same reports do not all choose the same upstream.
//
// Some requests go to the candidate whose load report is the oldest: a new upstream in another data centre would else
// never be learned about, and never used when it is needed.
//
// A candidate that refused a connection, or failed much more often than its service on average, is avoided for a time.
#ifndef GERANIUMSAIL_CORE_PLACEMENT_H
#define GERANIUMSAIL_CORE_PLACEMENT_H

#include "core/random.h"
#include "core/upstreamdirectory.h"
#include "core/workqueue.h"

#include <map>
#include <optional>
#include <vector>

namespace Geraniumsail {

struct PlacementPlace
{
    NodeName node;
    DataCentreName dataCentre;
    RegionName region;
};

class Placement
{
public:
    /// Added to the estimate for another data centre: the round trip and the heads of the messages.
    static constexpr Duration DataCentrePenalty = std::chrono::milliseconds(40);
    /// Added for another region: its round trip (40 ms) and the narrow link.
    static constexpr Duration RegionPenalty = std::chrono::milliseconds(70);
    /// Added for each kilobyte of bodies that leaves the data centre. Bytes between data centres are paid for: 5 kB
    /// cost the users as much as one request in eight that is not served.
    static constexpr Duration KilobytePenalty = std::chrono::milliseconds(8);
    /// Added for a lapsed entry.
    static constexpr Duration LapsedPenalty = std::chrono::milliseconds(100);
    /// A candidate that refused a connection is used again after this time, or when its entry changes.
    static constexpr Duration SuspectTime = std::chrono::milliseconds(1500);

    /// Share of requests that go to a candidate without a recent load report.
    static constexpr double ExploredPart = 0.02;
    /// Age of a load report from which a candidate is explored.
    static constexpr Duration ExploreAge = std::chrono::seconds(2);

    explicit Placement(PlacementPlace own);

    /// The best of candidates without those in excluded; null if none is left.
    /// bytes: expected size of both bodies.
    const KnownEntry *pick(const std::vector<const KnownEntry *> &candidates, const std::vector<NodeName> &excluded,
                           ByteCount bytes, MonotonicTime now, Random &random) const;
    void onSent(const NodeName &node, MonotonicTime now);
    /// The exchange ended. failed: the upstream did not do the work although it was sent there.
    void onEnded(const NodeName &node, bool failed, MonotonicTime now);
    /// The node reported its load.
    void onLoad(const NodeName &node, const QueueLoad &load, MonotonicTime now);
    /// The node could not be reached or did not answer.
    void onUnreachable(const NodeName &node, MonotonicTime now);
    /// The upstream was published as new or returned.
    void onPublished(const NodeName &node);
    void forget(const NodeName &node);

    /// Estimated time until the answer of a request that is sent now.
    Duration estimate(const KnownEntry &candidate, ByteCount bytes, MonotonicTime now) const;
    Duration distance(const DirectoryEntry &entry, ByteCount bytes) const;
    /// Age of the last load report of a node; nothing if it never sent one.
    std::optional<Duration> loadAge(const NodeName &node, MonotonicTime now) const;

private:
    struct Observed
    {
        QueueLoad load;
        MonotonicTime loadAt;
        std::uint32_t inFlight = 0; ///< Sent by this node and not ended.
        std::uint32_t sentSinceLoad = 0;
        double failureRate = 0;
        MonotonicTime failureAt;
        MonotonicTime suspectUntil;
    };

    double failureRate(const Observed &observed, MonotonicTime now) const;
    /// The candidate of this region with the oldest report, or null if all reports are recent.
    const KnownEntry *leastKnown(const std::vector<const KnownEntry *> &candidates, MonotonicTime now) const;

    PlacementPlace m_own;
    std::map<NodeName, Observed> m_observed;
};

} // namespace Geraniumsail

#endif
