// Load balancer: chooses the upstream for one request.
//
// Upstreams of one service differ in speed by more than a factor of two, traffic differs between data centres, and
// bytes between data centres are expensive. Each candidate gets an estimate of the time until its response: network
// distance, the upstream's service time, and the wait for a slot given its last reported load and what this node sent
// since. Penalties for distance keep requests in the data centre of this node unless the wait there costs more. Of the
// two best candidates at the same distance one is chosen at random, the second with a probability that grows with the
// closeness of the estimates, so that nodes with the same load reports do not all choose the same upstream.
//
// A small share of requests goes to the candidate with the oldest load report. Otherwise a new upstream in another data
// centre would never report its load and would not be used when it is needed.
//
// A candidate that refused a connection, or failed much more often than its service on average, is avoided for a time.
#ifndef GERANIUMSAIL_CORE_LOADBALANCER_H
#define GERANIUMSAIL_CORE_LOADBALANCER_H

#include "core/random.h"
#include "core/upstreamdirectory.h"
#include "core/workqueue.h"

#include <map>
#include <optional>
#include <vector>

namespace Geraniumsail {

/// The node that balances the load, and where it runs.
struct NodeLocation
{
    NodeName node;
    DataCentreName dataCentre;
    RegionName region;
};

class LoadBalancer
{
public:
    /// Added to the estimate for another data centre of the region: the round trip and the bytes of message heads.
    static constexpr Duration DataCentrePenalty = std::chrono::milliseconds(40);
    /// Added for another region: its round trip (40 ms), the bytes of message heads and the low bandwidth of the link.
    static constexpr Duration RegionPenalty = std::chrono::milliseconds(100);
    /// Added for each kilobyte of bodies that leaves the data centre. Traffic between data centres is charged: 5 kB
    /// cost the users as much as one request in eight that is not served.
    static constexpr Duration DataCentreKilobytePenalty = std::chrono::milliseconds(8);
    /// Added for each kilobyte that leaves the region, where 5 kB cost as much as one request in four and the links are
    /// narrow. Long bodies such as uploads stay in their region unless they would hardly be served there.
    static constexpr Duration RegionKilobytePenalty = std::chrono::milliseconds(24);
    /// Added for an entry whose lease has lapsed.
    static constexpr Duration LapsedPenalty = std::chrono::milliseconds(100);
    /// How long a candidate that could not be reached is avoided, unless its entry changes. Doubles with each further
    /// failure up to the maximum: the entry of a VM that was lost stays in the directory until its lease ends, and each
    /// attempt to connect to it delays a request.
    static constexpr Duration MinAvoidTime = std::chrono::milliseconds(1500);
    static constexpr Duration MaxAvoidTime = std::chrono::milliseconds(6000);

    /// Share of requests sent to a candidate without a recent load report.
    static constexpr double ExplorationRatio = 0.02;
    /// Age from which a load report is not recent.
    static constexpr Duration ExplorationAge = std::chrono::seconds(2);

    explicit LoadBalancer(NodeLocation location);

    /// Chooses among the candidates that are not in excluded; null if there are none.
    /// bytes: expected size of the request and response bodies.
    const KnownEntry *pick(const std::vector<const KnownEntry *> &candidates, const std::vector<NodeName> &excluded,
                           ByteCount bytes, MonotonicTime now, Random &random) const;
    void onSent(const NodeName &node, MonotonicTime now);
    /// The request ended. failed: it was sent to the upstream, which did not do the work.
    void onEnded(const NodeName &node, bool failed, MonotonicTime now);
    void onLoad(const NodeName &node, const QueueLoad &load, MonotonicTime now);
    /// The node could not be reached or did not respond.
    void onUnreachable(const NodeName &node, MonotonicTime now);
    /// The entry of the node was added or changed, so earlier failures no longer count.
    void onPublished(const NodeName &node);
    /// Discards the statistics of the node unless it has requests in flight.
    void forget(const NodeName &node);

    /// Estimated time until the response to a request that is sent now.
    Duration estimate(const KnownEntry &candidate, ByteCount bytes, MonotonicTime now) const;
    /// Zero within the data centre of this node.
    Duration distancePenalty(const DirectoryEntry &entry, ByteCount bytes) const;
    /// Age of the last load report of a node; nullopt if it never sent one.
    std::optional<Duration> loadAge(const NodeName &node, MonotonicTime now) const;

private:
    struct NodeStats
    {
        QueueLoad load;
        MonotonicTime loadAt;
        std::uint32_t inFlight = 0; ///< Requests sent by this node that have not ended.
        std::uint32_t sentSinceLoad = 0;
        double failureRate = 0;
        MonotonicTime failureAt;
        MonotonicTime avoidUntil;
        Duration avoidTime{}; ///< Zero after a load report.
    };

    double failureRate(const NodeStats &stats, MonotonicTime now) const;
    /// The candidate of this region with the oldest load report; null if all reports are recent.
    const KnownEntry *leastRecentlyReported(const std::vector<const KnownEntry *> &candidates, MonotonicTime now) const;

    NodeLocation m_location;
    std::map<NodeName, NodeStats> m_stats;
};

} // namespace Geraniumsail

#endif
