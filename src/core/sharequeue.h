// Waiting attempts of one kind, in the order in which they are to start.
//
// Order: rank, then band of scores, then turn of the caller, then score, then arrival. Scores are compared in bands so
// that the callers of one band take turns. A finer order would leave turns no effect, because two requests rarely have
// the same score; without bands, turns would decide before the score and each hop of a chain would drop different
// requests. Turns are start tags of fair queueing: a caller that was served recently, or that has more requests
// waiting, gets a later turn. All operations take O(log n).
#ifndef GERANIUMSAIL_CORE_SHAREQUEUE_H
#define GERANIUMSAIL_CORE_SHAREQUEUE_H

#include "core/ids.h"
#include "core/load.h"
#include "core/units.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace Geraniumsail {

/// Scores per band: 16 bands.
constexpr std::uint16_t ScoresPerBand = 4096;

/// Sort key of a waiting attempt; a smaller value starts first.
struct QueuePlace
{
    Rank rank;
    std::uint16_t band = 0;
    std::uint64_t turn = 0;
    AdmissionScore score;
    std::uint64_t arrival = 0;

    auto operator<=>(const QueuePlace &) const = default;
};

/// The order between the heads of two kinds: rank, score, arrival.
bool startsBefore(const QueuePlace &left, const QueuePlace &right);

struct QueuedAttempt
{
    AttemptId attempt;
    MonotonicTime deadline;
    CallerName caller;
};

class ShareQueue
{
public:
    using Entry = std::pair<const QueuePlace, QueuedAttempt>;

    /// The place that a new attempt of the caller would get. arrival must be unique.
    QueuePlace placeFor(const Priority &priority, const CallerName &caller, std::uint64_t arrival) const;
    void push(const QueuePlace &place, QueuedAttempt attempt);
    /// Removes an attempt that starts; this counts as a turn of its caller.
    QueuedAttempt popFirst();
    /// Removes an attempt that does not start.
    void erase(const QueuePlace &place);
    const Entry &first() const;
    const Entry &last() const;
    bool empty() const;
    std::size_t size() const;

private:
    void forgetIdleCallers();

    std::map<QueuePlace, QueuedAttempt> m_entries;
    /// Turn after the latest one given to each caller.
    std::unordered_map<CallerName, std::uint64_t> m_nextTurn;
    std::uint64_t m_turn = 0;
};

} // namespace Geraniumsail

#endif
