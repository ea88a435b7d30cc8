// Service configuration declared by operators, as used by the core. gs-config builds it from the published documents.
#ifndef GERANIUMSAIL_CORE_POLICY_H
#define GERANIUMSAIL_CORE_POLICY_H

#include "core/ids.h"
#include "core/units.h"

#include <cstddef>
#include <vector>

namespace Geraniumsail {

/// One kind of work of a service.
struct KindPolicy
{
    KindName name;
    Rank rank = LeastUrgentRank;
    /// Fraction of each upstream's limit that is guaranteed to this kind.
    Share share{0.0};
    /// True if a request may safely run twice.
    bool repeatable = false;
    /// True for bookings, offerings and licence grants: shed only after all less important work.
    bool essential = false;
    /// True for long downloads, which never use the unused shares of more urgent kinds.
    bool longRunning = false;
    Duration timeout = std::chrono::seconds(1);
    Allowance retries{0};
};

/// Configuration of one service. The defaults apply while no configuration is known.
struct ServicePolicy
{
    ServiceName service;
    Slots slots{50};
    Connections connections{400};
    std::size_t queueLength = 200;
    Duration targetQueueDelay = std::chrono::milliseconds(20);
    /// Maximum ratio of retries to first attempts that a node may send to this service.
    double retryRatio = 0.1;
    Duration backoffBase = std::chrono::milliseconds(10);
    Duration backoffCap = std::chrono::milliseconds(200);
    std::vector<KindPolicy> kinds;
};

/// Bandwidth limit for the traffic from one region to another.
struct LinkPolicy
{
    RegionName from;
    RegionName to;
    ByteCount bytesPerSecond{0};
};

/// Mechanisms that experiments switch off for comparison. All are on in production.
struct PolicySwitches
{
    bool admission = true; ///< Queue order, shares and threshold. Off: unbounded FIFO queue.
    bool shares = true;
    bool adaptiveLimit = true;
    bool earlyRefusal = true;
    bool requestScore = true; ///< Off: a random score at each hop.
    bool retryLedger = true; ///< Off: a fixed number of retries per hop.
    bool retryBudget = true;
};

} // namespace Geraniumsail

#endif
