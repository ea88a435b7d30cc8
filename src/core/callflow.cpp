#include "core/callflow.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

/// Returns the kind with outcome NotRun to report for a failed attempt once it is confirmed that it did not run.
ErrorKind notRunKindAfterVoid(ErrorKind kind)
{
    if (errorRow(kind).outcome == Outcome::NotRun) {
        return kind;
    }
    return kind == ErrorKind::TimedOut ? ErrorKind::DeadlineBeforeStart : ErrorKind::ConnectFailed;
}

/// Returns the reason of the answer if its outcome matches that of the answer. A contradictory answer proves nothing.
std::optional<ErrorKind> consistentReason(const AttemptAnswer &answer)
{
    if (!answer.reason || errorRow(*answer.reason).outcome != answer.outcome) {
        return std::nullopt;
    }
    return answer.reason;
}

} // namespace

ErrorKind unknownOutcomeKind(ErrorKind kind)
{
    if (errorRow(kind).outcome != Outcome::NotRun) {
        return kind;
    }
    switch (kind) {
    case ErrorKind::DeadlineBeforeStart:
        return ErrorKind::TimedOut;
    case ErrorKind::CancelledBeforeStart:
        return ErrorKind::CancelledAfterStart;
    default:
        return ErrorKind::IncarnationGone;
    }
}

CallFlow::CallFlow(CallRequest request, std::shared_ptr<RetryLedger> ledger)
    : m_request(std::move(request)), m_ledger(std::move(ledger)), m_ticket(m_request.ticket)
{
    if (m_ticket) {
        m_targets.assign(m_ticket->targets.size(), TargetState::Open);
    }
}

FlowAction CallFlow::begin(const FlowEnvironment &environment)
{
    if (m_state != State::New) {
        return Ignore{};
    }
    if (!m_request.repeatable && !m_ticket && m_request.hop == 0) {
        return requireTicket(environment);
    }
    environment.budget.onFirstAttempt();
    return sendNext(environment);
}

FlowAction CallFlow::onAnswer(const AttemptAnswer &answer, const FlowEnvironment &environment)
{
    if (m_state != State::Sent) {
        return Ignore{};
    }
    m_state = State::Deciding;
    environment.router.onAnswer(m_currentTarget, m_request.kind.name, answer.reason, answer.load, answer.threshold,
                                environment.now);
    m_ledger->returnUnused(m_grant, answer.unused);
    const auto reason = consistentReason(answer);
    if (answer.outcome == Outcome::Ran) {
        if (answer.reason) {
            return end(reason.value_or(ErrorKind::Internal));
        }
        m_state = State::Ended;
        return ForwardAnswer{};
    }
    if (!reason) {
        return onUnknown(ErrorKind::Internal, environment);
    }
    const bool ticketRefused = *reason == ErrorKind::IncarnationGone || *reason == ErrorKind::TicketExpired;
    if (m_ownTicket && ticketRefused && !otherCopiesMayExist()) {
        // The only copy of this ticket reached a process that will not run it. Without this retry, while the member
        // view is out of date after a restart of the target, every such call would end with an unknown outcome.
        return retryOrEnd(*reason, true, environment);
    }
    return answer.outcome == Outcome::NotRun ? onNotRun(*reason, refusalVoidsTicket(*reason), environment)
                                             : onUnknown(*reason, environment);
}

FlowAction CallFlow::onFailure(ErrorKind kind, const FlowEnvironment &environment)
{
    if (m_state != State::Sent) {
        return Ignore{};
    }
    m_state = State::Deciding;
    environment.router.onFailure(m_currentTarget, kind, environment.now);
    if (kind == ErrorKind::ConnectFailed) {
        m_ledger->returnUnused(m_grant, m_grant.amount);
        // An earlier copy of the ticket may have reached the target before it became unreachable.
        return otherCopiesMayExist() ? end(unknownOutcomeKind(kind)) : onNotRun(kind, true, environment);
    }
    const bool canVoid =
        !m_request.repeatable && kind != ErrorKind::TruncatedAnswer && environment.now < m_request.deadline;
    return canVoid ? voidTarget(m_position, kind, environment) : onUnknown(kind, environment);
}

FlowAction CallFlow::onBackoffOver(const FlowEnvironment &environment)
{
    if (m_state != State::Backoff) {
        return Ignore{};
    }
    return sendNext(environment);
}

FlowAction CallFlow::onVoidAnswer(std::optional<VoidVerdict> verdict, const FlowEnvironment &environment)
{
    if (m_state != State::Voiding) {
        return Ignore{};
    }
    if (verdict == VoidVerdict::Voided) {
        m_targets[m_voidPosition] = TargetState::Voided;
        return onVoided(environment);
    }
    m_targets[m_voidPosition] = TargetState::Unknown;
    if (verdict == VoidVerdict::Started && !m_joining && environment.now < m_request.deadline) {
        // The target runs the ticket or has the answer, so sending the same ticket again can only join the run.
        m_position = m_voidPosition;
        m_joining = true;
        return sendTicket(m_position, environment);
    }
    return end(unknownOutcomeKind(m_voidReason));
}

FlowAction CallFlow::onCancelled(const FlowEnvironment &environment)
{
    if (m_state == State::Ended) {
        return Ignore{};
    }
    if (m_state == State::Sent) {
        environment.router.onCancelled(m_currentTarget);
    }
    return end(provenNotRun() ? ErrorKind::CancelledBeforeStart : ErrorKind::CancelledAfterStart);
}

bool CallFlow::ended() const
{
    return m_state == State::Ended;
}

int CallFlow::attemptsSent() const
{
    return m_attempts;
}

RetryRefusal CallFlow::retryRefusal() const
{
    return m_retryRefusal;
}

const std::optional<Ticket> &CallFlow::ticket() const
{
    return m_ticket;
}

bool CallFlow::hasExternalTicket() const
{
    return m_ticket && !m_ownTicket;
}

bool CallFlow::otherCopiesMayExist() const
{
    return hasExternalTicket() || m_joining;
}

bool CallFlow::provenNotRun() const
{
    if (otherCopiesMayExist()) {
        return std::all_of(m_targets.begin(), m_targets.end(),
                           [](TargetState target) { return target == TargetState::Voided; });
    }
    return !m_unknownOutcome && m_state != State::Sent && m_state != State::Voiding;
}

std::optional<Ticket> CallFlow::makeTicket(std::size_t targets, const FlowEnvironment &environment, ErrorKind &refusal)
{
    auto query = routeQuery(environment);
    std::vector<Ticket::Target> chosen;
    while (chosen.size() < targets) {
        const auto result = environment.router.pick(query, environment.links, environment.now, environment.random);
        if (!result.target) {
            refusal = result.refusal;
            break;
        }
        const auto &target = *result.target;
        const bool known = std::any_of(chosen.begin(), chosen.end(),
                                       [&](const Ticket::Target &other) { return other.node == target.node; });
        if (known) {
            break;
        }
        chosen.push_back(Ticket::Target{target.node, target.incarnation, target.epoch});
        query.avoid.push_back(target.node);
        query.size = ByteCount(0);
    }
    if (chosen.empty()) {
        return std::nullopt;
    }
    return createTicket(chosen, m_request.self, m_request.selfIncarnation, environment.random);
}

RouteQuery CallFlow::routeQuery(const FlowEnvironment &environment) const
{
    RouteQuery query;
    query.priority = effectivePriority(m_request.priority, m_request.hop);
    query.kind = m_request.kind.name;
    query.share = m_request.kind.share;
    query.size = m_request.size;
    query.mayProbeEjected = m_request.repeatable;
    query.earlyRefusal = environment.switches.earlyRefusal;
    query.avoid = m_triedNodes;
    return query;
}

CallContext CallFlow::contextFor(const AttemptId &attempt) const
{
    CallContext context;
    context.id = m_request.id;
    context.attempt = attempt;
    context.kind = m_request.kind.name;
    context.priority = m_request.priority;
    context.deadline = m_request.deadline;
    context.hop = m_request.hop;
    context.caller = m_request.caller;
    context.unrepeatable = !m_request.repeatable;
    return context;
}

CallContext CallFlow::ticketContext(std::size_t position) const
{
    const auto &target = m_ticket->targets[position];
    auto context = contextFor(m_ticket->id);
    context.epoch = target.epoch;
    context.incarnation = target.incarnation;
    context.ticketPosition = static_cast<int>(position);
    if (position > 0 && m_targets[position - 1] == TargetState::Voided) {
        context.voidedBy = m_ticket->targets[position - 1].node;
    }
    return context;
}

FlowAction CallFlow::requireTicket(const FlowEnvironment &environment)
{
    ErrorKind refusal = ErrorKind::NoUpstream;
    auto ticket = makeTicket(MaxTicketTargets, environment, refusal);
    m_state = State::Ended;
    if (!ticket) {
        return AnswerWithError{refusal, std::nullopt};
    }
    return AnswerWithError{ErrorKind::TicketRequired, std::move(ticket)};
}

FlowAction CallFlow::sendNext(const FlowEnvironment &environment)
{
    m_state = State::Deciding;
    if (environment.now >= m_request.deadline) {
        return endNotRun(ErrorKind::DeadlineBeforeStart, environment);
    }
    if (m_request.repeatable) {
        return sendRepeatable(environment);
    }
    return hasExternalTicket() ? sendTicket(m_position, environment) : sendWithNewTicket(environment);
}

FlowAction CallFlow::sendRepeatable(const FlowEnvironment &environment)
{
    const auto result =
        environment.router.pick(routeQuery(environment), environment.links, environment.now, environment.random);
    if (!result.target) {
        return endNotRun(result.refusal, environment);
    }
    const auto attempt = createAttemptId(m_request.self, m_request.selfIncarnation, environment.random);
    return send(*result.target, contextFor(attempt), environment);
}

FlowAction CallFlow::sendWithNewTicket(const FlowEnvironment &environment)
{
    ErrorKind refusal = ErrorKind::NoUpstream;
    auto ticket = makeTicket(1, environment, refusal);
    if (!ticket) {
        return endNotRun(refusal, environment);
    }
    m_ownTicket = true;
    m_ticket = std::move(ticket);
    m_targets.assign(1, TargetState::Open);
    m_position = 0;
    return send(*environment.router.find(m_ticket->targets.front().node), ticketContext(0), environment);
}

FlowAction CallFlow::sendTicket(std::size_t position, const FlowEnvironment &environment)
{
    const auto target = ticketTarget(position, environment);
    if (!target) {
        return end(ErrorKind::IncarnationGone);
    }
    if (target->region != environment.links.ownRegion()) {
        // The ticket fixes the target, so the link budget cannot refuse it. The charge limits other calls instead.
        environment.links.charge(target->region, m_request.size, environment.now);
    }
    return send(*target, ticketContext(position), environment);
}

FlowAction CallFlow::send(const RouteTarget &target, CallContext context, const FlowEnvironment &environment)
{
    const bool grantsNothing = m_request.resend || m_joining;
    m_grant =
        grantsNothing || !environment.switches.retryLedger ? AllowanceGrant{} : m_ledger->allocate(m_request.parallel);
    context.allowance = m_grant.amount;
    m_currentTarget = target.node;
    m_triedNodes.push_back(target.node);
    m_attempts += m_joining ? 0 : 1;
    m_state = State::Sent;
    environment.router.onSent(target.node, environment.now);
    return SendAttempt{target, std::move(context)};
}

std::optional<RouteTarget> CallFlow::ticketTarget(std::size_t position, const FlowEnvironment &environment) const
{
    const auto &named = m_ticket->targets[position];
    const auto *known = environment.router.find(named.node);
    // If this node knows only an older incarnation than the ticket names, its view is out of date: the target decides.
    if (known == nullptr || known->incarnation > named.incarnation) {
        return std::nullopt;
    }
    return *known;
}

FlowAction CallFlow::onNotRun(ErrorKind kind, bool voidConfirmed, const FlowEnvironment &environment)
{
    if (!otherCopiesMayExist()) {
        return retryOrEnd(kind, false, environment);
    }
    if (!voidConfirmed) {
        return voidTarget(m_position, kind, environment);
    }
    m_targets[m_position] = TargetState::Voided;
    return retryOrEnd(kind, kind == ErrorKind::TicketVoided, environment);
}

FlowAction CallFlow::onUnknown(ErrorKind kind, const FlowEnvironment &environment)
{
    m_unknownOutcome = kind;
    if (!m_request.repeatable) {
        return end(kind);
    }
    return retryOrEnd(kind, false, environment);
}

FlowAction CallFlow::retryOrEnd(ErrorKind kind, bool confirmedNotRun, const FlowEnvironment &environment)
{
    const bool targetsLeft = !hasExternalTicket() || m_position + 1 < m_targets.size();
    m_retryRefusal = RetryRefusal::AllowanceSpent;
    if (targetsLeft && !m_request.resend && !m_joining) {
        RetryQuery query;
        query.error = kind;
        query.repeatable = m_request.repeatable;
        query.confirmedNotRun = confirmedNotRun;
        query.attemptNumber = m_attempts;
        query.fixedRetries = m_request.kind.retries;
        query.expectedServiceTime = m_request.expectedServiceTime;
        query.deadline = m_request.deadline;
        const auto decision = decideRetry(query, *m_ledger, environment.budget, environment.policy,
                                          environment.switches, environment.now, environment.random);
        m_retryRefusal = decision.refusal;
        if (decision.retry()) {
            m_position += hasExternalTicket() ? 1 : 0;
            m_state = State::Backoff;
            return WaitBackoff{decision.backoff};
        }
    }
    return endNotRun(notRunKindAfterVoid(kind), environment);
}

FlowAction CallFlow::voidTarget(std::size_t position, ErrorKind reason, const FlowEnvironment &environment)
{
    m_voidPosition = position;
    m_voidReason = reason;
    const auto target = ticketTarget(position, environment);
    if (!target) {
        return end(unknownOutcomeKind(reason));
    }
    m_state = State::Voiding;
    return SendVoidRequest{*target, ticketContext(position)};
}

FlowAction CallFlow::onVoided(const FlowEnvironment &environment)
{
    m_state = State::Deciding;
    if (m_voidPosition != m_position) {
        return endNotRun(m_voidReason, environment);
    }
    // The attempt did not run, so it spent none of its grant.
    m_ledger->returnUnused(m_grant, m_grant.amount);
    const bool lost = errorRow(m_voidReason).outcome == Outcome::Unknown;
    return retryOrEnd(m_voidReason, lost, environment);
}

FlowAction CallFlow::endNotRun(ErrorKind kind, const FlowEnvironment &environment)
{
    if (provenNotRun()) {
        return end(kind);
    }
    if (hasExternalTicket() && environment.now < m_request.deadline) {
        // Targets that this node did not use may have run the ticket for another node, or may still run it.
        const auto open = std::find(m_targets.begin(), m_targets.end(), TargetState::Open);
        if (open != m_targets.end()) {
            return voidTarget(static_cast<std::size_t>(open - m_targets.begin()), kind, environment);
        }
    }
    return end(m_unknownOutcome.value_or(unknownOutcomeKind(kind)));
}

FlowAction CallFlow::end(ErrorKind kind)
{
    m_state = State::Ended;
    return AnswerWithError{kind, std::nullopt};
}

} // namespace Geraniumsail
