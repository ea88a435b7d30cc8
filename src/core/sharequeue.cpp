#include "core/sharequeue.h"

#include <algorithm>
#include <tuple>

namespace Geraniumsail {

namespace {

/// Callers remembered before those without an advantage to keep are removed.
constexpr std::size_t CallersBeforeCleanup = 1024;

} // namespace

bool startsBefore(const QueuePlace &left, const QueuePlace &right)
{
    return std::tie(left.rank, left.score, left.arrival) < std::tie(right.rank, right.score, right.arrival);
}

QueuePlace ShareQueue::placeFor(const Priority &priority, const CallerName &caller, std::uint64_t arrival) const
{
    const auto known = m_nextTurn.find(caller);
    const std::uint64_t turn = known == m_nextTurn.end() ? m_turn : std::max(m_turn, known->second);
    const auto band = static_cast<std::uint16_t>(priority.score.value() / ScoresPerBand);
    return QueuePlace{priority.rank, band, turn, priority.score, arrival};
}

void ShareQueue::push(const QueuePlace &place, QueuedAttempt attempt)
{
    m_nextTurn[attempt.caller] = place.turn + 1;
    m_entries.emplace(place, std::move(attempt));
    if (m_nextTurn.size() > CallersBeforeCleanup + 2 * m_entries.size()) {
        forgetIdleCallers();
    }
}

QueuedAttempt ShareQueue::popFirst()
{
    const auto first = m_entries.begin();
    m_turn = std::max(m_turn, first->first.turn);
    QueuedAttempt attempt = std::move(first->second);
    m_entries.erase(first);
    return attempt;
}

void ShareQueue::erase(const QueuePlace &place)
{
    m_entries.erase(place);
}

const ShareQueue::Entry &ShareQueue::first() const
{
    return *m_entries.begin();
}

const ShareQueue::Entry &ShareQueue::last() const
{
    return *m_entries.rbegin();
}

bool ShareQueue::empty() const
{
    return m_entries.empty();
}

std::size_t ShareQueue::size() const
{
    return m_entries.size();
}

void ShareQueue::forgetIdleCallers()
{
    std::erase_if(m_nextTurn, [this](const auto &entry) { return entry.second <= m_turn + 1; });
    if (m_nextTurn.size() > CallersBeforeCleanup + 2 * m_entries.size()) {
        m_nextTurn.clear();
    }
}

} // namespace Geraniumsail
