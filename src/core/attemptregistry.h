// The state of every attempt at its target node: the single place that decides start against cancel.
//
// Unrepeatable work ("once") is known by the id of its ticket. Its entry stays until the ticket has expired by the
// node's own clock, and an expired ticket never starts, so forgetting an entry never permits a second run. If the table
// is full, unseen tickets of all epochs up to the present one are refused from then on: the refusal stays true without
// an entry. Room only comes back when an epoch expires, so this costs at most one epoch of new work.
//
// A repeatable attempt is sent once, over one connection. Its entry stays for a short time after its end.
//
// Contract of the caller: a not-run answer to a once attempt whose kind is refusalVoids() is sent only after refuse()
// or finish() recorded it here. Time that goes backwards counts as standing still.
#ifndef GERANIUMSAIL_CORE_ATTEMPTREGISTRY_H
#define GERANIUMSAIL_CORE_ATTEMPTREGISTRY_H

#include "core/callcontext.h"
#include "core/errorkind.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Geraniumsail {

constexpr Duration TicketEpochLength = std::chrono::seconds(60);
/// A ticket is valid in its own epoch and the nine that follow.
constexpr std::uint64_t TicketEpochCount = 10;
/// Longest answer (head fields and body) that is kept for duplicates.
constexpr std::size_t MaxStoredAnswerSize = 16UL * 1024;

/// Dropping 131,072 entries at once stops the node for 80 ms; this many take about 0.1 ms.
constexpr std::size_t MostPrunedAtOnce = 256;

/// A whole answer kept for a caller that asks again with the same ticket.
struct StoredAnswer
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::size_t size() const;
};

/// Bounds of the registry's memory.
struct RegistryLimits
{
    /// 224 calls/s per node at the design size fill 134,400 entries in 10 minutes if none is repeatable.
    std::size_t onceEntries = 131'072;
    std::size_t repeatableEntries = 32'768;
    std::size_t answerBytes = 32UL * 1024 * 1024;
    /// Covers a cancellation that overtakes its request on another connection.
    Duration repeatableRetention = std::chrono::seconds(10);
};

/// What to do with an attempt that arrived.
struct Arrival
{
    enum class Kind {
        Fresh, ///< Entered as queued: ask admission, then start() or refuse().
        Join, ///< Queued or running already: wait for its end together with the earlier arrivals.
        Stored, ///< Answer with the stored answer.
        Refused, ///< Answer with the refusal.
    };

    Kind kind = Kind::Refused;
    ErrorKind refusal = ErrorKind::Internal;
    std::shared_ptr<const StoredAnswer> answer;
};

enum class StartVerdict {
    Start, ///< The attempt now counts as running; send it to the upstream.
    Voided, ///< Must not start; answer with CancelledBeforeStart or TicketVoided.
};

enum class VoidVerdict {
    Voided, ///< Did not run and never will at this incarnation.
    Started, ///< Running or ended; too late.
    NotConfirmed, ///< Nothing is known for certain: other incarnation, expired ticket, or a repeatable attempt not
                  ///< seen.
};

std::string_view voidVerdictLabel(VoidVerdict verdict);
std::optional<VoidVerdict> voidVerdictFromLabel(std::string_view label);

/// True for refusals that a target decides after arrive() and records with refuse() or finish(). Other not-run kinds
/// may come from a listener that never saw the context, so they say nothing about delayed copies of the same ticket.
bool refusalVoids(ErrorKind kind);

class AttemptRegistry
{
public:
    AttemptRegistry(Incarnation incarnation, MonotonicTime start, RegistryLimits limits = {});

    /// Decides about an attempt with this context.
    Arrival arrive(const CallContext &context, MonotonicTime now);

    /// Claims the right to run a queued attempt; at most one call per attempt returns Start.
    StartVerdict start(const AttemptId &id, MonotonicTime now);

    /// Refuses a queued attempt for good. Returns true if it is voided now; false if it has started or is unknown.
    /// Arrivals that joined are answered TicketVoided (once) or with the same refusal (repeatable).
    bool refuse(const AttemptId &id, MonotonicTime now);

    /// Decides about a request to void an attempt, seen or not.
    VoidVerdict voidAttempt(const CallContext &context, MonotonicTime now);

    /// Ends a running attempt. NotRun (the upstream stated that it shed the request, or could not be connected) voids
    /// it. Ran keeps the answer if it is given and small enough. Unknown keeps the kind for duplicates.
    void finish(const AttemptId &id, Outcome outcome, ErrorKind kind, std::optional<StoredAnswer> answer,
                MonotonicTime now);

    /// Drops some entries that can no longer matter, at most MostPrunedAtOnce of each sort. Called about once a second;
    /// each new attempt drops a few, too, so that the table shrinks faster than it grows.
    void prune(MonotonicTime now);

    /// The present epoch; it starts at 1 and is published in the member record.
    TicketEpoch epoch(MonotonicTime now) const;

    Incarnation incarnation() const;
    std::size_t onceCount() const;
    std::size_t repeatableCount() const;
    std::size_t storedBytes() const;
    /// Once attempts that were refused because the table was full.
    std::uint64_t refusedFull() const;

private:
    enum class State { Queued, Running, Ran, Unknown, Voided };

    struct Entry
    {
        State state = State::Queued;
        bool once = false;
        bool detached = false; ///< Outlived its ticket while queued or running; dropped at its end.
        ErrorKind endKind = ErrorKind::Internal; ///< For Unknown.
        TicketEpoch epoch{0}; ///< For once entries.
        std::shared_ptr<const StoredAnswer> answer = nullptr;
    };

    using Entries = std::unordered_map<AttemptId, Entry>;

    MonotonicTime advance(MonotonicTime now);
    bool expired(TicketEpoch epoch) const;
    std::optional<ErrorKind> ticketFault(const CallContext &context) const;
    static Arrival arriveAgain(const Entry &entry);
    Arrival arriveOnce(const CallContext &context);
    Arrival arriveRepeatable(const CallContext &context);
    bool makeRoomForOnce();
    bool makeRoomForRepeatable();
    void insertOnce(const CallContext &context, State state);
    void end(const AttemptId &id);
    void eraseOnce(Entries::iterator entry);
    void pruneOnce(std::size_t most);
    void pruneRepeatable(std::size_t most);
    void storeAnswer(const AttemptId &id, Entry &entry, StoredAnswer answer);
    void dropAnswer(Entry &entry);

    Incarnation m_incarnation;
    MonotonicTime m_start;
    MonotonicTime m_latest;
    RegistryLimits m_limits;
    Entries m_entries;
    std::size_t m_onceCount = 0;
    std::map<TicketEpoch, std::vector<AttemptId>> m_byEpoch;
    std::deque<std::pair<MonotonicTime, AttemptId>> m_endedRepeatable;
    std::deque<AttemptId> m_answerOrder;
    std::size_t m_answerBytes = 0;
    /// Unseen tickets of this epoch and earlier ones are refused; 0 while the table was never full.
    TicketEpoch m_closedThrough{0};
    std::uint64_t m_refusedFull = 0;
};

} // namespace Geraniumsail

#endif
