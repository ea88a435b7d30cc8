// What operators declare for a service, as the core uses it. gs-config makes these values from the published documents.
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
    /// Part of each upstream's limit that this kind can always use.
    Share share{0.0};
    /// False if running the request twice does harm.
    bool repeatable = false;
    /// True for bookings, offerings and licence grants: shed after everything less important.
    bool essential = false;
    /// True for long downloads; they never borrow the unused shares of more urgent kinds.
    bool longRunning = false;
    Duration timeout = std::chrono::seconds(1);
    Allowance retries{0};
};

/// All that operators declare for one service. The defaults apply while no configuration is known.
struct ServicePolicy
{
    ServiceName service;
    Slots slots{50};
    Connections connections{400};
    std::size_t queueLength = 200;
    Duration targetQueueDelay = std::chrono::milliseconds(20);
    /// Retries per first attempt that a node may send to this service.
    double retryRatio = 0.1;
    Duration backoffBase = std::chrono::milliseconds(10);
    Duration backoffCap = std::chrono::milliseconds(200);
    std::vector<KindPolicy> kinds;
};

/// Bytes that one region may send to another.
struct LinkPolicy
{
    RegionName from;
    RegionName to;
    ByteCount bytesPerSecond{0};
};

/// Mechanisms that experiments switch off to compare; all are on in production.
struct PolicySwitches
{
    bool admission = true; ///< Queue order, shares and threshold; off: first in, first out, unbounded.
    bool shares = true;
    bool adaptiveLimit = true;
    bool earlyRefusal = true;
    bool requestScore = true; ///< Off: a random score at each hop.
    bool retryLedger = true; ///< Off: a fixed number of retries per hop.
    bool retryBudget = true;
};

} // namespace Geraniumsail

#endif
