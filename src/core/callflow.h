// State machine of one outgoing call at the calling node. Selects the target of each attempt and the final answer.
//
// Performs no I/O. The owner carries out each returned action and reports its completion as one event; an event that
// does not fit the current state returns Ignore. What proves that the work did not run depends on the call:
// - Repeatable call: each attempt has its own id and is sent once. A refusal or a failed connect proves that the
//   attempt did not run. After any other failure the call may be retried, but can no longer end with outcome NotRun.
// - Unrepeatable call with a ticket created by this flow (a child call): no other node has the ticket, so a refusal or
//   a failed connect is proof here, too. After a lost connection, the target is asked to void the ticket. Once it is
//   proven that the work did not run, a retry uses a new ticket and the old one is never used again.
// - Unrepeatable call with an external ticket: any node may have sent the ticket before, so only the registries of all
//   targets of the ticket together are proof. The second target is used after the first has confirmed that it voided
//   the ticket. If a target is gone or unreachable, the outcome is unknown.
// If a target that is asked to void a ticket replies that the work has started, the same ticket is sent to it once more
// to join the run or to get the stored answer; the registry of the target never starts it a second time.
//
// The outcome of each answer is that of its error kind, so an error kind with outcome NotRun is used only with proof.
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

/// An outgoing call, as received by this node.
struct CallRequest
{
    RequestId id;
    KindPolicy kind;
    /// Whether the call may run twice without harm. Set by the kind, or by the HTTP method for a default kind.
    bool repeatable = false;
    Priority priority;
    MonotonicTime deadline;
    int hop = 0;
    CallerName caller;
    int parallel = 1; ///< Number of sibling calls that the parent makes concurrently.
    ByteCount size{0};
    Duration expectedServiceTime{0}; ///< A retry is skipped if less time than this is left.
    /// Set by the caller, or kept from an earlier call with the same idempotency key.
    std::optional<Ticket> ticket;
    /// True for a repeated call with a known key or ticket. It gets no allowance and is not retried.
    bool resend = false;
    NodeName self;
    Incarnation selfIncarnation;
};

/// State of the node that the flow reads and updates while it handles one event.
struct FlowEnvironment
{
    Router &router;
    LinkBudgets &links;
    RetryBudget &budget;
    const ServicePolicy &policy;
    const PolicySwitches &switches;
    Random &random;
    MonotonicTime now;
};

/// Send the request with this context. Completed by onAnswer() or onFailure().
struct SendAttempt
{
    RouteTarget target;
    CallContext context;
};

/// Wait before the next attempt. Completed by onBackoffOver().
struct WaitBackoff
{
    Duration delay{0};
};

/// Call voidAttempt on the target. Completed by onVoidAnswer(); the owner applies the timeout.
struct SendVoidRequest
{
    RouteTarget target;
    CallContext context;
};

/// The call has ended: forward the answer that was last passed to onAnswer().
struct ForwardAnswer
{
};

/// The call has ended: send the caller the error answer of this kind.
struct AnswerWithError
{
    ErrorKind kind = ErrorKind::Internal;
    std::optional<Ticket> ticket; ///< Set if the kind is TicketRequired.
};

/// The event does not fit the current state and was ignored.
struct Ignore
{
};

using FlowAction = std::variant<SendAttempt, WaitBackoff, SendVoidRequest, ForwardAnswer, AnswerWithError, Ignore>;

/// A complete answer from the node of a target.
struct AttemptAnswer
{
    Outcome outcome = Outcome::Unknown;
    std::optional<ErrorKind> reason; ///< Absent if the answer is from the upstream itself.
    Allowance unused{0};
    std::optional<LoadReport> load;
    std::optional<Threshold> threshold;
};

/// Returns the error kind to report in place of a kind with outcome NotRun if it is not proven that the work did not
/// run; returns other kinds unchanged. Also used for refusals by this node of calls with a ticket, because the ticket
/// may have run through another node.
ErrorKind unknownOutcomeKind(ErrorKind kind);

class CallFlow
{
public:
    /// The ledger is that of the parent for a child call; otherwise a new one with the allowance of the kind.
    CallFlow(CallRequest request, std::shared_ptr<RetryLedger> ledger);

    FlowAction begin(const FlowEnvironment &environment);
    FlowAction onAnswer(const AttemptAnswer &answer, const FlowEnvironment &environment);
    /// The kind is ConnectFailed only if no byte of the request can have left this node; otherwise it is
    /// ConnectionLost, TimedOut or TruncatedAnswer.
    FlowAction onFailure(ErrorKind kind, const FlowEnvironment &environment);
    FlowAction onBackoffOver(const FlowEnvironment &environment);
    /// The verdict is empty if the target did not answer.
    FlowAction onVoidAnswer(std::optional<VoidVerdict> verdict, const FlowEnvironment &environment);
    /// The caller has disconnected; the returned answer is only recorded.
    FlowAction onCancelled(const FlowEnvironment &environment);

    bool ended() const;
    /// Number of attempts that could start a run. Joining a run that the target has confirmed does not count.
    int attemptsSent() const;
    /// Reason why the last failure was not retried.
    RetryRefusal retryRefusal() const;
    /// Ticket of the last attempt. A resend with the same key uses it unless the call ended with outcome NotRun.
    const std::optional<Ticket> &ticket() const;

private:
    enum class State { New, Deciding, Sent, Backoff, Voiding, Ended };
    enum class TargetState { Open, Unknown, Voided };

    bool hasExternalTicket() const;
    bool otherCopiesMayExist() const;
    bool provenNotRun() const;
    std::optional<Ticket> makeTicket(std::size_t targets, const FlowEnvironment &environment, ErrorKind &refusal);
    RouteQuery routeQuery(const FlowEnvironment &environment) const;
    CallContext contextFor(const AttemptId &attempt) const;
    CallContext ticketContext(std::size_t position) const;
    FlowAction requireTicket(const FlowEnvironment &environment);
    FlowAction sendNext(const FlowEnvironment &environment);
    FlowAction sendRepeatable(const FlowEnvironment &environment);
    FlowAction sendWithNewTicket(const FlowEnvironment &environment);
    FlowAction sendTicket(std::size_t position, const FlowEnvironment &environment);
    FlowAction send(const RouteTarget &target, CallContext context, const FlowEnvironment &environment);
    std::optional<RouteTarget> ticketTarget(std::size_t position, const FlowEnvironment &environment) const;
    FlowAction onNotRun(ErrorKind kind, bool voidConfirmed, const FlowEnvironment &environment);
    FlowAction onUnknown(ErrorKind kind, const FlowEnvironment &environment);
    FlowAction retryOrEnd(ErrorKind kind, bool confirmedNotRun, const FlowEnvironment &environment);
    FlowAction voidTarget(std::size_t position, ErrorKind reason, const FlowEnvironment &environment);
    FlowAction onVoided(const FlowEnvironment &environment);
    FlowAction endNotRun(ErrorKind kind, const FlowEnvironment &environment);
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
    std::optional<ErrorKind> m_unknownOutcome; ///< Error kind of an attempt that may have run.
    std::vector<NodeName> m_triedNodes;
    NodeName m_currentTarget;
    AllowanceGrant m_grant;
    int m_attempts = 0;
    bool m_joining = false;
    RetryRefusal m_retryRefusal = RetryRefusal::None;
};

} // namespace Geraniumsail

#endif
