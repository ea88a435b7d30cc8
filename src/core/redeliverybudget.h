// Limits how many requests of each service this node redelivers, that is, sends again to another upstream.
//
// Over the whole fleet, the redeliveries of a service in any time window must stay below a share of its requests plus a
// fixed allowance. Nodes do not coordinate: each may redeliver a share of the first deliveries it made itself, with a
// small burst. Redelivering a request near the root of a call tree repeats all calls below it, so the service at the
// end of the tree sees the redeliveries of every level. Half of the fleet's ratio goes to services whose upstreams make
// no calls, where a redelivery costs one request; the levels above share a part of the rest.
//
// A root request needs all of its many calls to succeed, so redelivering one of them often does not help, while a root
// request of the most urgent rank needs a single redelivery. If a service receives such root requests, other
// redeliveries leave UrgentReserve tokens for them.
//
// Token buckets start empty and are refilled by first deliveries only, so neither a node that just started nor a fleet
// that lost its state redelivers requests.
#ifndef GERANIUMSAIL_CORE_REDELIVERYBUDGET_H
#define GERANIUMSAIL_CORE_REDELIVERYBUDGET_H

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace Geraniumsail {

enum class RedeliveryPriority {
    Urgent, ///< A root request of the most urgent rank.
    Normal,
};

class RedeliveryBudget
{
public:
    /// Share of the fleet's ratio for services that make no calls.
    static constexpr double LeafShare = 0.5;
    /// Share for all levels above together. The rest of the ratio covers redeliveries that count in two windows.
    static constexpr double UpperShare = 0.4;
    /// Number of levels above; no known deployment has a deeper call tree.
    static constexpr double UpperLevels = 3;
    /// Capacity of a bucket.
    static constexpr double MaxTokens = 4;
    /// Tokens that redeliveries of normal priority leave in the bucket. One is not enough where urgent requests are one
    /// in ten: the next of them is often rejected before the bucket is refilled.
    static constexpr double UrgentReserve = 3;

    /// ratio: upper bound of redeliveries per request over the fleet.
    explicit RedeliveryBudget(double ratio);

    void onFirstDelivery(const ServiceName &service, RedeliveryPriority priority);
    /// Sets whether upstreams of the service make calls; the default is true.
    void setMakesCalls(const ServiceName &service, bool makesCalls);
    /// Takes one token; false if there is none for this priority.
    bool take(const ServiceName &service, RedeliveryPriority priority);
    double tokens(const ServiceName &service) const;

private:
    struct Bucket
    {
        double tokens = 0;
        bool makesCalls = true;
        bool hasUrgent = false; ///< The service receives urgent requests.
    };

    double m_ratio;
    std::map<ServiceName, Bucket> m_buckets;
};

} // namespace Geraniumsail

#endif
