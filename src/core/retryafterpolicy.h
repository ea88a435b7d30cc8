// Computes the Retry-After delay for a caller whose request was refused under load.
//
// In a burst or a lasting overload a service refuses some of its requests, and each caller may retry once or a few
// times within its deadline. A response is most useful within the latency target of its route, counted from the first
// attempt; a caller that retries too late for that can only get a late response. The latest retry that can still meet
// the target also gives the overload the most time to end, so the delay ends there, less a random part that spreads the
// callers of one burst.
//
// If the target leaves no such time, callers are asked to wait at least MinDelay.
#ifndef GERANIUMSAIL_CORE_RETRYAFTERPOLICY_H
#define GERANIUMSAIL_CORE_RETRYAFTERPOLICY_H

#include "core/random.h"
#include "core/routetimes.h"

namespace Geraniumsail {

class RetryAfterPolicy
{
public:
    /// With a shorter delay the retry would meet the same burst: queue waits last up to about this long.
    static constexpr Duration MinDelay = std::chrono::milliseconds(100);
    /// Callers honour a delay of at most a third of the time to their deadline, which is 6 s at most.
    static constexpr Duration MaxDelay = std::chrono::seconds(2);
    /// Lower bound of the random delay, as a fraction of the longest delay that can still meet the target.
    static constexpr double MinDelayFraction = 0.6;
    /// Time reserved for the response, as a multiple of the mean response time: nearly all responses are faster.
    static constexpr double ResponseTimeMargin = 1.3;

    /// A request of this route got its response this long after its arrival.
    void onResponse(const RouteName &route, Duration responseTime);
    /// Delay for a request that is refused now.
    Duration delay(const RouteRule &rule, Random &random) const;

private:
    RouteTimes m_responseTimes;
};

} // namespace Geraniumsail

#endif
