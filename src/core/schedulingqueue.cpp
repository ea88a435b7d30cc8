#include "core/schedulingqueue.h"

#include <algorithm>
#include <tuple>

namespace Geraniumsail {

namespace {

/// Number of callers, beyond two per queued attempt, whose tags are kept before idle callers are removed. A caller is
/// idle if its next start tag is at most one above the virtual time.
constexpr std::size_t CallersBeforeCleanup = 1024;

} // namespace

bool startsBefore(const QueueKey &left, const QueueKey &right)
{
    return std::tie(left.rank, left.score, left.arrival) < std::tie(right.rank, right.score, right.arrival);
}

QueueKey SchedulingQueue::keyFor(const Priority &priority, const CallerName &caller, std::uint64_t arrival) const
{
    const auto known = m_nextStartTags.find(caller);
    const std::uint64_t startTag =
        known == m_nextStartTags.end() ? m_virtualTime : std::max(m_virtualTime, known->second);
    const auto band = static_cast<std::uint16_t>(priority.score.value() / ScoresPerBand);
    return QueueKey{priority.rank, band, startTag, priority.score, arrival};
}

void SchedulingQueue::push(const QueueKey &key, QueuedAttempt attempt)
{
    m_nextStartTags[attempt.caller] = key.startTag + 1;
    m_entries.emplace(key, std::move(attempt));
    if (m_nextStartTags.size() > CallersBeforeCleanup + 2 * m_entries.size()) {
        removeIdleCallers();
    }
}

QueuedAttempt SchedulingQueue::popFirst()
{
    const auto first = m_entries.begin();
    m_virtualTime = std::max(m_virtualTime, first->first.startTag);
    QueuedAttempt attempt = std::move(first->second);
    m_entries.erase(first);
    return attempt;
}

void SchedulingQueue::erase(const QueueKey &key)
{
    m_entries.erase(key);
}

const SchedulingQueue::Entry &SchedulingQueue::first() const
{
    return *m_entries.begin();
}

const SchedulingQueue::Entry &SchedulingQueue::last() const
{
    return *m_entries.rbegin();
}

bool SchedulingQueue::empty() const
{
    return m_entries.empty();
}

std::size_t SchedulingQueue::size() const
{
    return m_entries.size();
}

void SchedulingQueue::removeIdleCallers()
{
    std::erase_if(m_nextStartTags, [this](const auto &entry) { return entry.second <= m_virtualTime + 1; });
    if (m_nextStartTags.size() > CallersBeforeCleanup + 2 * m_entries.size()) {
        m_nextStartTags.clear();
    }
}

} // namespace Geraniumsail
