// When a caller whose request was refused under load should send it again (Retry-After).
//
// The load it answers: a burst or a lasting overload in which a service refuses a part of its requests and each caller
// may come back once or a few times within its deadline. An answer is worth most to its caller within the latency
// target of its route, counted from the first attempt. A caller that returns early enough for that has a second chance
// at a full answer; one that returns later can only get a late one. The latest such return also gives the overload the
// most time to end, so that is the time named here, less a random part that spreads the callers of one burst.
//
// Where the target leaves no such time, callers return after LeastDelay at the soonest.
#ifndef GERANIUMSAIL_CORE_RETURNTIME_H
#define GERANIUMSAIL_CORE_RETURNTIME_H

#include "core/random.h"
#include "core/routetimes.h"

namespace Geraniumsail {

class ReturnTime
{
public:
    /// Shorter delays would return in the same burst of queue waits, which last up to about this long.
    static constexpr Duration LeastDelay = std::chrono::milliseconds(100);
    /// Callers honour at most a third of the time they have left; deadlines are 6 s at most.
    static constexpr Duration MostDelay = std::chrono::seconds(2);
    /// The delay is drawn between this part of the latest useful one and the whole.
    static constexpr double LeastPart = 0.6;
    /// Time kept for the answer, as a multiple of the mean: nearly all answers of these services are faster.
    static constexpr double ServedMargin = 1.3;

    /// A request of this route got its answer this long after its arrival.
    void onServed(const RouteName &route, Duration took);
    /// Delay for a request that is refused now.
    Duration delay(const RouteRule &rule, Random &random) const;

private:
    RouteTimes m_served;
};

} // namespace Geraniumsail

#endif
