#include "core/workqueue.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

/// Weight of the newest service time in the average: about the last 20 requests count.
constexpr double ServiceTimeWeight = 0.05;

} // namespace

void WorkQueue::setLimit(std::uint32_t limit)
{
    m_limit = limit;
}

Duration WorkQueue::expectedWait(WorkClass workClass) const
{
    if (m_limit == 0) {
        return Duration::max();
    }
    std::uint64_t ahead = 0;
    for (const auto &[other, items] : m_waiting) {
        if (other <= workClass) {
            ahead += items.size();
        }
    }
    if (m_running < m_limit) {
        return Duration(0);
    }
    return m_serviceTime * static_cast<std::int64_t>(ahead + 1) / m_limit;
}

OfferVerdict WorkQueue::offer(const WorkItem &item, MonotonicTime now)
{
    if (item.deadline <= now) {
        return OfferVerdict::RefuseDeadline;
    }
    if (m_running < m_limit && m_waitingCount == 0) {
        ++m_running;
        return OfferVerdict::Run;
    }
    const auto wait = expectedWait(item.workClass);
    if (wait > item.maxWait) {
        return OfferVerdict::RefuseWait;
    }
    const auto latestStart = item.deadline - item.expectedRun;
    if (now + wait >= latestStart) {
        return OfferVerdict::RefuseDeadline;
    }
    const auto expiry = std::min(latestStart, now + item.maxWait);
    m_waiting[item.workClass].push_back({item, expiry});
    ++m_waitingCount;
    return OfferVerdict::Wait;
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

bool WorkQueue::withdraw(WorkId id)
{
    for (auto &[workClass, items] : m_waiting) {
        const auto removed = std::erase_if(items, [id](const Waiting &waiting) { return waiting.item.id == id; });
        if (removed > 0) {
            --m_waitingCount;
            return true;
        }
    }
    return false;
}

std::vector<WorkId> WorkQueue::start(MonotonicTime now)
{
    std::vector<WorkId> started;
    for (auto &[workClass, items] : m_waiting) {
        // Items that expired since the last call of expire() must not hold up those behind them.
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
    for (auto &[workClass, items] : m_waiting) {
        std::erase_if(items, [&](const Waiting &waiting) {
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
    for (auto &[workClass, items] : m_waiting) {
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
    for (const auto &[workClass, items] : m_waiting) {
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
