// One call at the node that makes it: which attempt is sent where, and what the caller is told.
//
// A state machine without I/O. The owner carries out each action and reports its end as one event; an event that does
// not fit the present state gives Ignore. Three cases differ in what proves that the work did not run:
// - Repeatable: each attempt has its own id and is sent once. A refusal and a failed connect prove it for the attempt;
//   after any other failure the call may be retried, but it can no longer end as not run.
// - Unrepeatable with a ticket made here (a child call): nobody else has the ticket, so a refusal and a failed connect
//   prove it, too. After a lost connection the target is asked to void the ticket. Once proven, a retry gets a new
//   ticket; the old one is never used again.
// - Unrepeatable with a ticket from outside: any node may have sent it before. Only the registries of all targets of
// the
//   ticket together prove it. The second target is used after the first stated that it voided the ticket; a target that
//   is gone or unreachable makes the outcome unknown.
// If a target that was asked to void a ticket states that it has started, the same ticket is sent there once more to
// join the run or get the stored answer; the target's registry never starts it again.
//
// Every answer's outcome is that of its error kind, so a not-run kind is used only with proof.
#ifndef GERANIUMSAIL_CORE_CALLFLOW_H
#define GERANIUMSAIL_CORE_CALLFLOW_H

#include "core/attemptregistry.h"
#include "core/callcontext.h"
#include "core/errorkind.h"
#include "core/linkbudget.h"
#include "core/policy.h"
#include "core/random.h"
#include "core/retryledger.h"
#include "core/retrypolicy.h"
#include "core/router.h"
#include "core/ticket.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Geraniumsail {

/// One call as it arrived at this node.
struct CallRequest
{
    RequestId id;
    KindPolicy kind;
    /// Whether running it twice is harmless: of the kind, or of the method for a default kind.
    bool repeatable = false;
    Priority priority;
    MonotonicTime deadline;
    int hop = 0;
    CallerName caller;
    int parallel = 1; ///< Sibling calls that the parent makes at the same time.
    ByteCount size{0};
    Duration expectedServiceTime{0}; ///< Retries that cannot finish in this time are not made.
    /// From the caller, or kept from an earlier call with the same idempotency key.
    std::optional<Ticket> ticket;
    /// A repeated call with a known key or ticket; it is lent nothing and makes no retries.
    bool resend = false;
    NodeName self;
    Incarnation selfIncarnation;
};

/// What the flow decides with; borrowed for one event.
struct FlowTools
{
    Router &router;
    LinkBudgets &links;
    RetryBudget &budget;
    const ServicePolicy &policy;
    const PolicySwitches &switches;
    Random &random;
    MonotonicTime now;
};

/// Send the request with this context; ends with onAnswer() or onFailure().
struct SendAttempt
{
    RouteTarget target;
    CallContext context;
};

/// Ends with onBackoffOver().
struct WaitBackoff
{
    Duration delay{0};
};

/// Send voidAttempt to the target; ends with onVoidAnswer(). The owner bounds the wait.
struct AskVoid
{
    RouteTarget target;
    CallContext context;
};

/// The call ended: pass on the whole answer that was reported last.
struct ForwardAnswer
{
};

/// The call ended: answer with the row of this error kind.
struct AnswerCaller
{
    ErrorKind kind = ErrorKind::Internal;
    std::optional<Ticket> ticket; ///< With TicketRequired.
};

/// The event does not belong to the present state; nothing changed.
struct Ignore
{
};

using FlowAction = std::variant<SendAttempt, WaitBackoff, AskVoid, ForwardAnswer, AnswerCaller, Ignore>;

/// A complete answer of a target's node.
struct AttemptAnswer
{
    Outcome outcome = Outcome::Unknown;
    std::optional<ErrorKind> reason; ///< Absent for an answer of the upstream itself.
    Allowance unused{0};
    std::optional<LoadReport> load;
    std::optional<Threshold> threshold;
};

/// The kind that may be told instead of a not-run kind when it is not proven that the work did not run. Nodes use it
/// also for their own refusals of calls with a ticket: the ticket may have run through another node.
ErrorKind unprovenKind(ErrorKind kind);

class CallFlow
{
public:
    /// The ledger is the parent's for a child call, else a new one with the allowance of the kind.
    CallFlow(CallRequest request, std::shared_ptr<RetryLedger> ledger);

    FlowAction begin(const FlowTools &tools);
    FlowAction onAnswer(const AttemptAnswer &answer, const FlowTools &tools);
    /// ConnectFailed only if no byte of the request can have left this node; else ConnectionLost, TimedOut or
    /// TruncatedAnswer.
    FlowAction onFailure(ErrorKind kind, const FlowTools &tools);
    FlowAction onBackoffOver(const FlowTools &tools);
    /// Without a verdict if no answer came.
    FlowAction onVoidAnswer(std::optional<VoidVerdict> verdict, const FlowTools &tools);
    /// The caller is gone; the answer is for the record only.
    FlowAction onCancelled(const FlowTools &tools);

    bool ended() const;
    /// Attempts that could start a run; joining a run that a target confirmed is not counted.
    int attemptsSent() const;
    /// Why the last failure was not followed by a retry.
    RetryRefusal retryRefusal() const;
    /// The ticket of the last attempt. A resend of the same key uses it unless the call ended as not run.
    const std::optional<Ticket> &ticket() const;

private:
    enum class State { New, Deciding, Sent, Backoff, Voiding, Ended };
    enum class TargetState { Open, Unknown, Voided };

    bool fromOutside() const;
    bool otherCopiesMayExist() const;
    bool provenNotRun() const;
    std::optional<Ticket> makeTicket(std::size_t targets, const FlowTools &tools, ErrorKind &refusal);
    RouteQuery routeQuery(const FlowTools &tools) const;
    CallContext contextFor(const AttemptId &attempt) const;
    CallContext ticketContext(std::size_t position) const;
    FlowAction askForTicket(const FlowTools &tools);
    FlowAction sendNext(const FlowTools &tools);
    FlowAction sendRepeatable(const FlowTools &tools);
    FlowAction sendWithNewTicket(const FlowTools &tools);
    FlowAction sendTicket(std::size_t position, const FlowTools &tools);
    FlowAction send(const RouteTarget &target, CallContext context, const FlowTools &tools);
    std::optional<RouteTarget> ticketTarget(std::size_t position, const FlowTools &tools) const;
    FlowAction onNotRun(ErrorKind kind, bool voidConfirmed, const FlowTools &tools);
    FlowAction onUnknown(ErrorKind kind, const FlowTools &tools);
    FlowAction retryOrEnd(ErrorKind kind, bool confirmedNotRun, const FlowTools &tools);
    FlowAction voidTarget(std::size_t position, ErrorKind reason, const FlowTools &tools);
    FlowAction onVoided(const FlowTools &tools);
    FlowAction endNotRun(ErrorKind kind, const FlowTools &tools);
    FlowAction end(ErrorKind kind);

    CallRequest m_request;
    std::shared_ptr<RetryLedger> m_ledger;
    State m_state = State::New;
    bool m_ownTicket = false;
    std::optional<Ticket> m_ticket;
    std::vector<TargetState> m_targets;
    std::size_t m_position = 0;
    std::size_t m_voidPosition = 0;
    ErrorKind m_voidReason = ErrorKind::Internal;
    std::optional<ErrorKind> m_unresolved; ///< Kind of an attempt that may have run.
    std::vector<NodeName> m_tried;
    NodeName m_currentTarget;
    Loan m_loan;
    int m_attempts = 0;
    bool m_joining = false;
    RetryRefusal m_retryRefusal = RetryRefusal::None;
};

} // namespace Geraniumsail

#endif
