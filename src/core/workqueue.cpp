#include "core/workqueue.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

/// Weight of the newest service time in the moving average, which covers about the last 20 requests.
constexpr double ServiceTimeWeight = 0.05;

} // namespace

void WorkQueue::setLimit(std::uint32_t limit)
{
    m_limit = limit;
}

Duration WorkQueue::expectedWait(PriorityClass priorityClass) const
{
    if (m_limit == 0) {
        return Duration::max();
    }
    std::uint64_t ahead = 0;
    for (const auto &[other, items] : m_waitingByClass) {
        if (other <= priorityClass) {
            ahead += items.size();
        }
    }
    if (m_running < m_limit) {
        return Duration(0);
    }
    return m_serviceTime * static_cast<std::int64_t>(ahead + 1) / m_limit;
}

OfferResult WorkQueue::offer(const WorkItem &item, MonotonicTime now)
{
    if (item.deadline <= now) {
        return OfferResult::DeadlineTooNear;
    }
    if (m_running < m_limit && m_waitingCount == 0) {
        ++m_running;
        return OfferResult::Started;
    }
    const auto wait = expectedWait(item.priorityClass);
    if (wait > item.maxWait) {
        return OfferResult::WaitTooLong;
    }
    const auto latestStart = item.deadline - item.expectedServiceTime;
    if (now + wait >= latestStart) {
        return OfferResult::DeadlineTooNear;
    }
    const auto expiry = std::min(latestStart, now + item.maxWait);
    m_waitingByClass[item.priorityClass].push_back({item, expiry});
    ++m_waitingCount;
    return OfferResult::Queued;
}

void WorkQueue::finish(Duration serviceTime)
{
    if (m_running > 0) {
        --m_running;
    }
    if (serviceTime.count() > 0) {
        const auto change = static_cast<double>((serviceTime - m_serviceTime).count()) * ServiceTimeWeight;
        m_serviceTime += Duration(static_cast<std::int64_t>(change));
    }
}

bool WorkQueue::remove(WorkId id)
{
    for (auto &[priorityClass, items] : m_waitingByClass) {
        const auto removed = std::erase_if(items, [id](const WaitingItem &waiting) { return waiting.item.id == id; });
        if (removed > 0) {
            --m_waitingCount;
            return true;
        }
    }
    return false;
}

std::vector<WorkId> WorkQueue::startWaiting(MonotonicTime now)
{
    std::vector<WorkId> started;
    for (auto &[priorityClass, items] : m_waitingByClass) {
        // Items that expired since the last call of expire() must not block those behind them.
        for (auto waiting = items.begin(); m_running < m_limit && waiting != items.end();) {
            if (waiting->expiry <= now) {
                ++waiting;
                continue;
            }
            started.push_back(waiting->item.id);
            waiting = items.erase(waiting);
            --m_waitingCount;
            ++m_running;
        }
    }
    return started;
}

std::vector<WorkId> WorkQueue::expire(MonotonicTime now)
{
    std::vector<WorkId> expired;
    for (auto &[priorityClass, items] : m_waitingByClass) {
        std::erase_if(items, [&](const WaitingItem &waiting) {
            if (waiting.expiry > now) {
                return false;
            }
            expired.push_back(waiting.item.id);
            --m_waitingCount;
            return true;
        });
    }
    return expired;
}

std::vector<WorkId> WorkQueue::clear()
{
    std::vector<WorkId> removed;
    for (auto &[priorityClass, items] : m_waitingByClass) {
        for (const auto &waiting : items) {
            removed.push_back(waiting.item.id);
        }
        items.clear();
    }
    m_waitingCount = 0;
    return removed;
}

MonotonicTime WorkQueue::nextExpiry() const
{
    auto next = MonotonicTime::max();
    for (const auto &[priorityClass, items] : m_waitingByClass) {
        for (const auto &waiting : items) {
            next = std::min(next, waiting.expiry);
        }
    }
    return next;
}

QueueLoad WorkQueue::load() const
{
    return {m_running, m_waitingCount, m_limit, m_serviceTime, true};
}

} // namespace Geraniumsail
