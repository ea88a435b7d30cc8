// The queue in front of one upstream: how many requests run at once, and which waits, goes next or is refused.
//
// The load it answers: more requests than the upstream has slots for. Requests beyond the limit wait here and not in
// the upstream's own queue, because only here they can be ordered, expired and withdrawn. A request is refused on
// arrival when the expected wait leaves no time to run it, or exceeds the share of its latency target that may be spent
// waiting; the caller then has the most time left to go elsewhere. A waiting request is given up as soon as the time
// left no longer covers the time that requests of its kind run: started later, it would hold a slot until its deadline
// and be answered with a failure. While a slot is free every request runs, so that these times are always learned anew.
//
// Order: by class (lower first), then first in, first out. Calls of requests that already hold slots elsewhere belong
// in the first class: refusing one wastes all work done for its root request.
#ifndef GERANIUMSAIL_CORE_WORKQUEUE_H
#define GERANIUMSAIL_CORE_WORKQUEUE_H

#include "core/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Geraniumsail {

using WorkId = StrongNumber<struct WorkIdTag, std::uint64_t>;
/// Position in the order of service; lower is first.
using WorkClass = StrongNumber<struct WorkClassTag, std::uint8_t>;

struct WorkItem
{
    WorkId id;
    WorkClass workClass;
    MonotonicTime deadline; ///< After which running it is useless.
    Duration maxWait{}; ///< Longest wait in this queue.
    Duration expectedRun{}; ///< Of requests of its kind, at the upstream.
};

enum class OfferVerdict {
    Run,
    Wait,
    RefuseWait, ///< The expected wait is longer than the item allows.
    RefuseDeadline, ///< It could not end before its deadline.
};

struct QueueLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    Duration serviceTime{}; ///< Smoothed.
    bool makesCalls = true; ///< The upstream may call other services while it runs a request.
};

class WorkQueue
{
public:
    /// Assumed until the first request has finished.
    static constexpr Duration InitialServiceTime = std::chrono::milliseconds(100);

    /// Sets how many requests run at once.
    void setLimit(std::uint32_t limit);
    OfferVerdict offer(const WorkItem &item, MonotonicTime now);
    /// A running request ended. serviceTime is zero if it says nothing about the upstream (cancelled, refused).
    void finish(Duration serviceTime);
    /// Removes a waiting item; false if it does not wait.
    bool withdraw(WorkId id);
    /// Starts as many waiting items as the limit allows; returns them in order.
    std::vector<WorkId> start(MonotonicTime now);
    /// Removes and returns the items that waited too long.
    std::vector<WorkId> expire(MonotonicTime now);
    /// Removes and returns everything that waits, for an upstream that leaves.
    std::vector<WorkId> clear();
    /// When the next waiting item runs out of time; time_point::max() if none waits.
    MonotonicTime nextExpiry() const;

    QueueLoad load() const;
    /// Expected wait of a new item of this class.
    Duration expectedWait(WorkClass workClass) const;

private:
    struct Waiting
    {
        WorkItem item;
        MonotonicTime expiry;
    };

    std::uint32_t m_limit = 0;
    std::uint32_t m_running = 0;
    Duration m_serviceTime = InitialServiceTime;
    std::map<WorkClass, std::deque<Waiting>> m_waiting;
    std::uint32_t m_waitingCount = 0;
};

} // namespace Geraniumsail

#endif
