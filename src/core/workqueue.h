// Priority queue in front of one upstream: limits how many requests run at once, and decides which requests wait, start
// next or are refused.
//
// Requests beyond the concurrency limit wait here and not in the upstream's own queue, because only here can they be
// ordered, expired and removed. A request is refused on arrival if the expected wait leaves no time to run it, or
// exceeds the share of its latency target that may be spent waiting; an early refusal leaves the caller the most time
// to try elsewhere. A waiting request expires as soon as the time left no longer covers the expected service time:
// started later, it would hold a slot until its deadline and fail. While a slot is free every request runs, even if
// the time left is shorter than the expected service time, so the measured service times stay current.
//
// Requests are ordered by priority class (lower first) and within a class by arrival. Calls made for requests that
// already hold slots elsewhere belong in the first class: refusing one wastes all work done for its root request.
#ifndef GERANIUMSAIL_CORE_WORKQUEUE_H
#define GERANIUMSAIL_CORE_WORKQUEUE_H

#include "core/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Geraniumsail {

using WorkId = StrongNumber<struct WorkIdTag, std::uint64_t>;
/// Lower classes start first.
using PriorityClass = StrongNumber<struct PriorityClassTag, std::uint8_t>;

struct WorkItem
{
    WorkId id;
    PriorityClass priorityClass;
    MonotonicTime deadline; ///< A response after this time is useless.
    Duration maxWait{}; ///< Longest wait in this queue.
    Duration expectedServiceTime{}; ///< Mean of similar requests at the upstream.
};

enum class OfferResult {
    Started, ///< Runs at once.
    Queued,
    WaitTooLong, ///< Refused: the expected wait is longer than the item allows.
    DeadlineTooNear, ///< Refused: the item could not finish before its deadline.
};

struct QueueLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    Duration serviceTime{}; ///< Moving average.
    bool makesCalls = true; ///< The upstream may call other services while it runs a request.
};

class WorkQueue
{
public:
    /// Assumed until the first request has finished.
    static constexpr Duration InitialServiceTime = std::chrono::milliseconds(100);

    /// Sets the maximum number of requests that run at once.
    void setLimit(std::uint32_t limit);
    /// Starts, queues or refuses a new item.
    OfferResult offer(const WorkItem &item, MonotonicTime now);
    /// A running request finished. serviceTime is zero if the request was cancelled or refused, so that it does not
    /// count in the average.
    void finish(Duration serviceTime);
    /// Removes a waiting item; false if no such item is waiting.
    bool remove(WorkId id);
    /// Starts as many waiting items as the limit allows; returns them in start order.
    std::vector<WorkId> startWaiting(MonotonicTime now);
    /// Removes and returns the waiting items whose expiry has passed.
    std::vector<WorkId> expire(MonotonicTime now);
    /// Removes and returns all waiting items, for an upstream that is shutting down.
    std::vector<WorkId> clear();
    /// Earliest expiry of the waiting items; MonotonicTime::max() if there are none.
    MonotonicTime nextExpiry() const;

    QueueLoad load() const;
    /// Expected wait of a new item of this class.
    Duration expectedWait(PriorityClass priorityClass) const;

private:
    struct WaitingItem
    {
        WorkItem item;
        MonotonicTime expiry; ///< Latest time to start.
    };

    std::uint32_t m_limit = 0;
    std::uint32_t m_running = 0;
    Duration m_serviceTime = InitialServiceTime;
    std::map<PriorityClass, std::deque<WaitingItem>> m_waitingByClass;
    std::uint32_t m_waitingCount = 0;
};

} // namespace Geraniumsail

#endif
