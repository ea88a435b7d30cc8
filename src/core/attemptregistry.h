// State of every attempt at its target node. Only the registry decides whether an attempt starts or is cancelled.
//
// Unrepeatable work is identified by the id of its ticket. Its entry is kept until the ticket has expired by the clock
// of the node. An expired ticket never starts, so erasing its entry never permits a second run. If the table is full,
// unseen tickets of the current and all earlier epochs are refused from then on, so that the refusal holds without an
// entry. Entries are erased only when an epoch expires, so this refuses at most one epoch of new work.
//
// A repeatable attempt is sent once, over one connection. Its entry is kept for a short time after it has ended.
//
// Before the caller of this class refuses an unrepeatable attempt with an error kind for which refusalVoidsTicket() is
// true, it must have called refuse() or finish(). Time that goes backwards is treated as unchanged.
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
constexpr std::uint64_t TicketLifetimeEpochs = 10;
/// Largest answer (header fields and body) that is stored for duplicates.
constexpr std::size_t MaxStoredAnswerBytes = 16UL * 1024;

/// Erasing 131,072 entries in one call blocks the node for 80 ms; erasing 256 takes about 0.1 ms.
constexpr std::size_t MaxPrunedPerCall = 256;

/// A complete answer, stored for a caller that sends the same ticket again.
struct StoredAnswer
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::size_t size() const;
};

/// Limits of the memory that the registry uses.
struct RegistryLimits
{
    /// At the design load of 224 calls/s per node, 134,400 entries are added in 10 minutes if no call is repeatable.
    std::size_t unrepeatableEntries = 131'072;
    std::size_t repeatableEntries = 32'768;
    std::size_t answerBytes = 32UL * 1024 * 1024;
    /// Covers a cancellation that arrives on another connection before its request.
    Duration repeatableRetention = std::chrono::seconds(10);
};

/// Decision about an attempt that has arrived.
struct Arrival
{
    enum class Kind {
        Fresh, ///< New entry in state Queued: pass it to admission, then call start() or refuse().
        Join, ///< Already queued or running: wait for its end together with the earlier arrivals.
        Stored, ///< Send the stored answer.
        Refused, ///< Send the error answer of the refusal.
    };

    Kind kind = Kind::Refused;
    ErrorKind refusal = ErrorKind::Internal;
    std::shared_ptr<const StoredAnswer> answer;
};

enum class StartVerdict {
    Start, ///< The attempt is now running; send it to the upstream.
    Voided, ///< Must not start; answer with CancelledBeforeStart or TicketVoided.
};

enum class VoidVerdict {
    Voided, ///< Did not run and never will in this incarnation of the node.
    Started, ///< Running or ended; it can no longer be voided.
    /// The target cannot tell: the ticket names another incarnation or has expired, or the attempt is repeatable and
    /// was not seen.
    NotConfirmed,
};

std::string_view voidVerdictLabel(VoidVerdict verdict);
std::optional<VoidVerdict> voidVerdictFromLabel(std::string_view label);

/// True for refusals that a target decides on after arrive() and records with refuse() or finish(). Other kinds with
/// outcome NotRun may come from a listener that never saw the context, so a delayed copy of the ticket may still start.
bool refusalVoidsTicket(ErrorKind kind);

class AttemptRegistry
{
public:
    AttemptRegistry(Incarnation incarnation, MonotonicTime start, RegistryLimits limits = {});

    /// Decides what to do with an attempt that has this context.
    Arrival arrive(const CallContext &context, MonotonicTime now);

    /// Changes a queued attempt to running. At most one call per attempt returns Start.
    StartVerdict start(const AttemptId &id, MonotonicTime now);

    /// Refuses a queued attempt permanently. Returns true if the attempt is voided now, false if it has started or is
    /// not known. Arrivals that joined it get TicketVoided if it is unrepeatable, otherwise the same refusal.
    bool refuse(const AttemptId &id, MonotonicTime now);

    /// Tries to void an attempt, whether or not it was seen before.
    VoidVerdict voidAttempt(const CallContext &context, MonotonicTime now);

    /// Ends a running attempt. NotRun (the upstream reported that it shed the request, or the connect failed) voids it.
    /// Ran stores the answer if it is given and small enough. Unknown stores the error kind for duplicates.
    void finish(const AttemptId &id, Outcome outcome, ErrorKind kind, std::optional<StoredAnswer> answer,
                MonotonicTime now);

    /// Erases expired unrepeatable and old repeatable entries, at most MaxPrunedPerCall of each. Called about once a
    /// second; each new attempt also erases a few, so that the table shrinks faster than it grows.
    void prune(MonotonicTime now);

    /// The current epoch. The first one is 1; the epoch is published in the member record.
    TicketEpoch epoch(MonotonicTime now) const;

    Incarnation incarnation() const;
    std::size_t unrepeatableCount() const;
    std::size_t repeatableCount() const;
    std::size_t storedBytes() const;
    /// Number of unrepeatable attempts refused because the table was full.
    std::uint64_t tableFullRefusals() const;

private:
    enum class State { Queued, Running, Ran, Unknown, Voided };

    struct Entry
    {
        State state = State::Queued;
        bool unrepeatable = false;
        bool detached = false; ///< The ticket expired while queued or running; erased when it ends.
        ErrorKind endKind = ErrorKind::Internal; ///< Set in state Unknown.
        TicketEpoch epoch{0}; ///< Set for unrepeatable entries.
        std::shared_ptr<const StoredAnswer> answer = nullptr;
    };

    using Entries = std::unordered_map<AttemptId, Entry>;

    MonotonicTime advance(MonotonicTime now);
    bool expired(TicketEpoch epoch) const;
    std::optional<ErrorKind> ticketFault(const CallContext &context) const;
    static Arrival arriveDuplicate(const Entry &entry);
    Arrival arriveUnrepeatable(const CallContext &context);
    Arrival arriveRepeatable(const CallContext &context);
    bool makeRoomForUnrepeatable();
    bool makeRoomForRepeatable();
    void insertUnrepeatable(const CallContext &context, State state);
    void end(const AttemptId &id);
    void eraseUnrepeatable(Entries::iterator entry);
    void pruneUnrepeatable(std::size_t maxEntries);
    void pruneRepeatable(std::size_t maxEntries);
    void storeAnswer(const AttemptId &id, Entry &entry, StoredAnswer answer);
    void dropAnswer(Entry &entry);

    Incarnation m_incarnation;
    MonotonicTime m_start;
    MonotonicTime m_latestTime;
    RegistryLimits m_limits;
    Entries m_entries;
    std::size_t m_unrepeatableCount = 0;
    std::map<TicketEpoch, std::vector<AttemptId>> m_byEpoch;
    std::deque<std::pair<MonotonicTime, AttemptId>> m_endedRepeatable;
    std::deque<AttemptId> m_answerOrder;
    std::size_t m_answerBytes = 0;
    /// Unseen tickets of this and all earlier epochs are refused; 0 if the table was never full.
    TicketEpoch m_closedThroughEpoch{0};
    std::uint64_t m_tableFullRefusals = 0;
};

} // namespace Geraniumsail

#endif
