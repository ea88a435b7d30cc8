// Queued attempts of one kind in the order in which they start, with fair queueing among the callers.
//
// Order: rank, score band, start tag, score, arrival. A start tag is the virtual start time of start-time fair
// queueing: a caller that was served recently or has more requests queued gets a larger tag. Tags are compared only
// within a band of scores. If scores were compared first, tags would have no effect, because two requests rarely have
// the same score. If tags were compared before bands, each hop of a chain of calls would drop different requests. All
// operations take O(log n).
#ifndef GERANIUMSAIL_CORE_SCHEDULINGQUEUE_H
#define GERANIUMSAIL_CORE_SCHEDULINGQUEUE_H

#include "core/ids.h"
#include "core/load.h"
#include "core/units.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace Geraniumsail {

/// Width of a score band; gives 16 bands.
constexpr std::uint16_t ScoresPerBand = 4096;

/// Sort key of a queued attempt; the smallest key starts first.
struct QueueKey
{
    Rank rank;
    std::uint16_t band = 0;
    std::uint64_t startTag = 0;
    AdmissionScore score;
    std::uint64_t arrival = 0;

    auto operator<=>(const QueueKey &) const = default;
};

/// Order between attempts of different kinds: rank, score, arrival. Bands and start tags apply only within a kind.
bool startsBefore(const QueueKey &left, const QueueKey &right);

struct QueuedAttempt
{
    AttemptId attempt;
    MonotonicTime deadline;
    CallerName caller;
};

class SchedulingQueue
{
public:
    using Entry = std::pair<const QueueKey, QueuedAttempt>;

    /// Returns the key for a new attempt of the caller. arrival must be unique.
    QueueKey keyFor(const Priority &priority, const CallerName &caller, std::uint64_t arrival) const;
    void push(const QueueKey &key, QueuedAttempt attempt);
    /// Removes the first attempt because it starts; advances the virtual time to its start tag.
    QueuedAttempt popFirst();
    /// Removes an attempt that will not start.
    void erase(const QueueKey &key);
    const Entry &first() const;
    const Entry &last() const;
    bool empty() const;
    std::size_t size() const;

private:
    void removeIdleCallers();

    std::map<QueueKey, QueuedAttempt> m_entries;
    /// Smallest start tag for the next attempt of each known caller.
    std::unordered_map<CallerName, std::uint64_t> m_nextStartTags;
    /// Largest start tag of the attempts started so far.
    std::uint64_t m_virtualTime = 0;
};

} // namespace Geraniumsail

#endif
