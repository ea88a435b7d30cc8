// What connection coroutines tell the policy task, and what they are told.
//
// Two roles meet in each node: the calling role decides where the attempts of a call go (caller and local listener),
// and the target role decides which attempts run on the node's own upstream (peer listener).
#ifndef GERANIUMSAIL_NODE_POLICYMESSAGES_H
#define GERANIUMSAIL_NODE_POLICYMESSAGES_H

#include "core/admission.h"
#include "core/attemptregistry.h"
#include "core/callcontext.h"
#include "core/callflow.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Geraniumsail {

/// Receives one decision; called exactly once for each message that has it.
template <typename T>
using Answer = std::function<void(T)>;

/// One call as it stands in its headers.
struct CallInput
{
    ServiceName service;
    KindName kind;
    CallerName caller;
    RequestId id; ///< Empty if the caller gave none.
    bool safeMethod = false; ///< GET or HEAD.
    bool ticketOnly = false; ///< Wants a ticket for later use, whatever the kind.
    bool streamed = false; ///< The body is too long to be kept for a retry.
    std::optional<Duration> timeout;
    std::optional<Ticket> ticket;
    std::optional<IdempotencyKey> key;
    std::optional<AttemptId> parent; ///< Running attempt of the own upstream that makes this call.
    int parallel = 1;
    ByteCount size{0};
};

/// Answer with a copy of the answer to the call that this one joined.
struct CopyAnswer
{
    std::shared_ptr<const StoredAnswer> answer;
};

using CallAction = std::variant<SendAttempt, WaitBackoff, SendVoidRequest, ForwardAnswer, AnswerWithError, CopyAnswer>;

/// The next thing to do for a call.
struct CallStep
{
    std::uint64_t call = 0;
    CallAction action = AnswerWithError{};
    MonotonicTime deadline;
    bool wantsCopy = false; ///< Report the whole answer with AttemptAnswered, for calls that joined or may join.
};

/// Ends of the actions; each is answered with the next step.
struct AttemptAnswered
{
    AttemptAnswer answer;
    std::shared_ptr<const StoredAnswer> copy;
};
struct AttemptFailed
{
    ErrorKind kind = ErrorKind::ConnectionLost;
};
struct BackoffOver
{
};
struct VoidAnswered
{
    std::optional<VoidVerdict> verdict;
};
struct CallCancelled
{
};
using CallEvent = std::variant<AttemptAnswered, AttemptFailed, BackoffOver, VoidAnswered, CallCancelled>;

/// What a target tells with every answer.
struct TargetReport
{
    LoadReport load;
    Threshold threshold;
    Allowance unused{0};
};

/// Run the attempt on the upstream and report its end.
struct RunAttempt
{
    Address upstream;
    Connections connections; ///< The smaller of the announced and the configured limit.
    AttemptId token; ///< Value of Geraniumsail-Parent.
};
struct RefuseAttempt
{
    ErrorKind kind = ErrorKind::Internal;
};
struct RepeatAnswer
{
    std::shared_ptr<const StoredAnswer> answer;
};

struct AttemptDecision
{
    std::variant<RunAttempt, RefuseAttempt, RepeatAnswer> action = RefuseAttempt{};
    TargetReport report;
};

/// How a running attempt ended.
struct AttemptEnd
{
    Outcome outcome = Outcome::Unknown;
    ErrorKind kind = ErrorKind::Internal; ///< Unless the outcome is Ran.
    std::optional<StoredAnswer> answer; ///< Of unrepeatable work, if it is whole and small.
    std::optional<Duration> serviceTime; ///< Only for a whole answer.
};

/// What an upstream says about itself.
struct Announcement
{
    ServiceName service;
    Address address;
    Slots slots;
    Connections connections;
    Duration coldStart{0};
    bool draining = false;
    bool shedding = false;
};

/// Summary for the admin listener and for membership.
struct PolicyStatus
{
    std::optional<Announcement> upstream;
    UpstreamState state = UpstreamState::Gone;
    LoadReport load;
    std::size_t calls = 0; ///< Calls in flight that this node makes.
    std::size_t attempts = 0; ///< Attempts queued or running on the own upstream.
    std::size_t tickets = 0;
    std::size_t targets = 0;
    std::size_t ejected = 0;
    bool draining = false;
    TicketEpoch epoch;
};

} // namespace Geraniumsail

#endif
