// Bounds the requests that this node sends to a second upstream, for each service.
//
// The fleet must keep the repeats of a service in any window below a share of its requests plus a fixed slack. Nodes do
// not coordinate: each may repeat a share of the first deliveries it made itself, with a small burst. A repeat of a
// request near the root of a call tree repeats all calls below it, so the service at the end of the tree sees the
// repeats of every level. Half of the fleet's share goes to services whose upstreams make no calls, where a repeat
// costs one arrival; the levels above divide a part of the rest.
//
// Calls of one root request are many, and its success needs all of them, while a root request of the most urgent rank
// needs just one repeat. Where a service gets such root requests, other repeats leave them UrgentReserve.
//
// A bucket starts empty and earns from first deliveries only, so a node that just started, and a fleet that just lost
// its memory, repeats nothing.
#ifndef GERANIUMSAIL_CORE_REDELIVERYBUDGET_H
#define GERANIUMSAIL_CORE_REDELIVERYBUDGET_H

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace Geraniumsail {

enum class RepeatPriority {
    Urgent, ///< A root request of the most urgent rank.
    Normal,
};

class RedeliveryBudget
{
public:
    /// Part of the fleet's ratio for services without calls.
    static constexpr double LeafPart = 0.5;
    /// Part for all levels above, and their number; deeper call trees are not known on these deployments. The rest of
    /// the ratio covers repeats that fall into two windows.
    static constexpr double UpperPart = 0.4;
    static constexpr double UpperLevels = 3;
    /// Tokens that a bucket holds at most.
    static constexpr double Burst = 2;
    /// Tokens that normal repeats leave.
    static constexpr double UrgentReserve = 1;

    /// ratio: the fleet's bound, repeats per request.
    explicit RedeliveryBudget(double ratio);

    void onFirstDelivery(const ServiceName &service, RepeatPriority priority);
    /// Whether upstreams of the service make calls; assumed until told otherwise.
    void setMakesCalls(const ServiceName &service, bool makesCalls);
    /// Takes one repeat if the budget has it for this priority.
    bool take(const ServiceName &service, RepeatPriority priority);
    double left(const ServiceName &service) const;

private:
    struct Bucket
    {
        double tokens = 0;
        bool makesCalls = true;
        bool hasUrgent = false; ///< Gets urgent requests.
    };

    double m_ratio;
    std::map<ServiceName, Bucket> m_buckets;
};

} // namespace Geraniumsail

#endif
