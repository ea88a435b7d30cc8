#include "core/callflow.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

/// The not-run kind for an attempt that was lost and then confirmed as voided.
ErrorKind voidedKind(ErrorKind kind)
{
    if (errorRow(kind).outcome == Outcome::NotRun) {
        return kind;
    }
    return kind == ErrorKind::TimedOut ? ErrorKind::DeadlineBeforeStart : ErrorKind::ConnectFailed;
}

/// The reason of an answer if it fits the answer's outcome; a peer that contradicts itself proves nothing.
std::optional<ErrorKind> consistentReason(const AttemptAnswer &answer)
{
    if (!answer.reason || errorRow(*answer.reason).outcome != answer.outcome) {
        return std::nullopt;
    }
    return answer.reason;
}

} // namespace

ErrorKind unprovenKind(ErrorKind kind)
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

FlowAction CallFlow::begin(const FlowTools &tools)
{
    if (m_state != State::New) {
        return Ignore{};
    }
    if (!m_request.repeatable && !m_ticket && m_request.hop == 0) {
        return askForTicket(tools);
    }
    tools.budget.onFirstAttempt();
    return sendNext(tools);
}

FlowAction CallFlow::onAnswer(const AttemptAnswer &answer, const FlowTools &tools)
{
    if (m_state != State::Sent) {
        return Ignore{};
    }
    m_state = State::Deciding;
    tools.router.onAnswer(m_currentTarget, m_request.kind.name, answer.reason, answer.load, answer.threshold,
                          tools.now);
    m_ledger->giveBack(m_loan, answer.unused);
    const auto reason = consistentReason(answer);
    if (answer.outcome == Outcome::Ran) {
        if (answer.reason) {
            return end(reason.value_or(ErrorKind::Internal));
        }
        m_state = State::Ended;
        return ForwardAnswer{};
    }
    if (!reason) {
        return onUnknown(ErrorKind::Internal, tools);
    }
    const bool rejected = *reason == ErrorKind::IncarnationGone || *reason == ErrorKind::TicketExpired;
    if (m_ownTicket && rejected && !otherCopiesMayExist()) {
        // The only copy of this ticket reached a process that will not run it. A view that is late after a restart
        // would otherwise end every such call as unknown.
        return retryOrEnd(*reason, true, tools);
    }
    return answer.outcome == Outcome::NotRun ? onNotRun(*reason, refusalVoids(*reason), tools)
                                             : onUnknown(*reason, tools);
}

FlowAction CallFlow::onFailure(ErrorKind kind, const FlowTools &tools)
{
    if (m_state != State::Sent) {
        return Ignore{};
    }
    m_state = State::Deciding;
    tools.router.onFailure(m_currentTarget, kind, tools.now);
    if (kind == ErrorKind::ConnectFailed) {
        m_ledger->giveBack(m_loan, m_loan.amount);
        // An earlier copy of the ticket may have reached the target, which is out of reach now.
        return otherCopiesMayExist() ? end(unprovenKind(kind)) : onNotRun(kind, true, tools);
    }
    const bool canAsk = !m_request.repeatable && kind != ErrorKind::TruncatedAnswer && tools.now < m_request.deadline;
    return canAsk ? voidTarget(m_position, kind, tools) : onUnknown(kind, tools);
}

FlowAction CallFlow::onBackoffOver(const FlowTools &tools)
{
    if (m_state != State::Backoff) {
        return Ignore{};
    }
    return sendNext(tools);
}

FlowAction CallFlow::onVoidAnswer(std::optional<VoidVerdict> verdict, const FlowTools &tools)
{
    if (m_state != State::Voiding) {
        return Ignore{};
    }
    if (verdict == VoidVerdict::Voided) {
        m_targets[m_voidPosition] = TargetState::Voided;
        return onVoided(tools);
    }
    m_targets[m_voidPosition] = TargetState::Unknown;
    if (verdict == VoidVerdict::Started && !m_joining && tools.now < m_request.deadline) {
        // The target runs the ticket or has the answer; the same ticket can only join there.
        m_position = m_voidPosition;
        m_joining = true;
        return sendTicket(m_position, tools);
    }
    return end(unprovenKind(m_voidReason));
}

FlowAction CallFlow::onCancelled(const FlowTools &tools)
{
    if (m_state == State::Ended) {
        return Ignore{};
    }
    if (m_state == State::Sent) {
        tools.router.onCancelled(m_currentTarget);
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

bool CallFlow::fromOutside() const
{
    return m_ticket && !m_ownTicket;
}

bool CallFlow::otherCopiesMayExist() const
{
    return fromOutside() || m_joining;
}

bool CallFlow::provenNotRun() const
{
    if (otherCopiesMayExist()) {
        return std::all_of(m_targets.begin(), m_targets.end(),
                           [](TargetState target) { return target == TargetState::Voided; });
    }
    return !m_unresolved && m_state != State::Sent && m_state != State::Voiding;
}

std::optional<Ticket> CallFlow::makeTicket(std::size_t targets, const FlowTools &tools, ErrorKind &refusal)
{
    auto query = routeQuery(tools);
    std::vector<Ticket::Target> chosen;
    while (chosen.size() < targets) {
        const auto result = tools.router.pick(query, tools.links, tools.now, tools.random);
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
    return createTicket(chosen, m_request.self, m_request.selfIncarnation, tools.random);
}

RouteQuery CallFlow::routeQuery(const FlowTools &tools) const
{
    RouteQuery query;
    query.priority = effectivePriority(m_request.priority, m_request.hop);
    query.kind = m_request.kind.name;
    query.share = m_request.kind.share;
    query.size = m_request.size;
    query.mayProbeEjected = m_request.repeatable;
    query.earlyRefusal = tools.switches.earlyRefusal;
    query.avoid = m_tried;
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
    context.once = !m_request.repeatable;
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

FlowAction CallFlow::askForTicket(const FlowTools &tools)
{
    ErrorKind refusal = ErrorKind::NoUpstream;
    auto ticket = makeTicket(MaxTicketTargets, tools, refusal);
    m_state = State::Ended;
    if (!ticket) {
        return AnswerCaller{refusal, std::nullopt};
    }
    return AnswerCaller{ErrorKind::TicketRequired, std::move(ticket)};
}

FlowAction CallFlow::sendNext(const FlowTools &tools)
{
    m_state = State::Deciding;
    if (tools.now >= m_request.deadline) {
        return endNotRun(ErrorKind::DeadlineBeforeStart, tools);
    }
    if (m_request.repeatable) {
        return sendRepeatable(tools);
    }
    return fromOutside() ? sendTicket(m_position, tools) : sendWithNewTicket(tools);
}

FlowAction CallFlow::sendRepeatable(const FlowTools &tools)
{
    const auto result = tools.router.pick(routeQuery(tools), tools.links, tools.now, tools.random);
    if (!result.target) {
        return endNotRun(result.refusal, tools);
    }
    const auto attempt = createAttemptId(m_request.self, m_request.selfIncarnation, tools.random);
    return send(*result.target, contextFor(attempt), tools);
}

FlowAction CallFlow::sendWithNewTicket(const FlowTools &tools)
{
    ErrorKind refusal = ErrorKind::NoUpstream;
    auto ticket = makeTicket(1, tools, refusal);
    if (!ticket) {
        return endNotRun(refusal, tools);
    }
    m_ownTicket = true;
    m_ticket = std::move(ticket);
    m_targets.assign(1, TargetState::Open);
    m_position = 0;
    return send(*tools.router.find(m_ticket->targets.front().node), ticketContext(0), tools);
}

FlowAction CallFlow::sendTicket(std::size_t position, const FlowTools &tools)
{
    const auto target = ticketTarget(position, tools);
    if (!target) {
        return end(ErrorKind::IncarnationGone);
    }
    if (target->region != tools.links.ownRegion()) {
        // The ticket names its target, so the budget cannot choose another; the debt delays other calls instead.
        tools.links.charge(target->region, m_request.size, tools.now);
    }
    return send(*target, ticketContext(position), tools);
}

FlowAction CallFlow::send(const RouteTarget &target, CallContext context, const FlowTools &tools)
{
    const bool lendsNothing = m_request.resend || m_joining;
    m_loan = lendsNothing || !tools.switches.retryLedger ? Loan{} : m_ledger->lend(m_request.parallel);
    context.allowance = m_loan.amount;
    m_currentTarget = target.node;
    m_tried.push_back(target.node);
    m_attempts += m_joining ? 0 : 1;
    m_state = State::Sent;
    tools.router.onSent(target.node, tools.now);
    return SendAttempt{target, std::move(context)};
}

std::optional<RouteTarget> CallFlow::ticketTarget(std::size_t position, const FlowTools &tools) const
{
    const auto &named = m_ticket->targets[position];
    const auto *known = tools.router.find(named.node);
    // An older incarnation in the own view is a late view; the target itself decides.
    if (known == nullptr || known->incarnation > named.incarnation) {
        return std::nullopt;
    }
    return *known;
}

FlowAction CallFlow::onNotRun(ErrorKind kind, bool voidConfirmed, const FlowTools &tools)
{
    if (!otherCopiesMayExist()) {
        return retryOrEnd(kind, false, tools);
    }
    if (!voidConfirmed) {
        return voidTarget(m_position, kind, tools);
    }
    m_targets[m_position] = TargetState::Voided;
    return retryOrEnd(kind, kind == ErrorKind::TicketVoided, tools);
}

FlowAction CallFlow::onUnknown(ErrorKind kind, const FlowTools &tools)
{
    m_unresolved = kind;
    if (!m_request.repeatable) {
        return end(kind);
    }
    return retryOrEnd(kind, false, tools);
}

FlowAction CallFlow::retryOrEnd(ErrorKind kind, bool confirmedNotRun, const FlowTools &tools)
{
    const bool targetsLeft = !fromOutside() || m_position + 1 < m_targets.size();
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
        const auto decision =
            decideRetry(query, *m_ledger, tools.budget, tools.policy, tools.switches, tools.now, tools.random);
        m_retryRefusal = decision.refusal;
        if (decision.retry()) {
            m_position += fromOutside() ? 1 : 0;
            m_state = State::Backoff;
            return WaitBackoff{decision.backoff};
        }
    }
    return endNotRun(voidedKind(kind), tools);
}

FlowAction CallFlow::voidTarget(std::size_t position, ErrorKind reason, const FlowTools &tools)
{
    m_voidPosition = position;
    m_voidReason = reason;
    const auto target = ticketTarget(position, tools);
    if (!target) {
        return end(unprovenKind(reason));
    }
    m_state = State::Voiding;
    return AskVoid{*target, ticketContext(position)};
}

FlowAction CallFlow::onVoided(const FlowTools &tools)
{
    m_state = State::Deciding;
    if (m_voidPosition != m_position) {
        return endNotRun(m_voidReason, tools);
    }
    // What never ran has spent nothing of its loan.
    m_ledger->giveBack(m_loan, m_loan.amount);
    const bool lost = errorRow(m_voidReason).outcome == Outcome::Unknown;
    return retryOrEnd(m_voidReason, lost, tools);
}

FlowAction CallFlow::endNotRun(ErrorKind kind, const FlowTools &tools)
{
    if (provenNotRun()) {
        return end(kind);
    }
    if (fromOutside() && tools.now < m_request.deadline) {
        // Targets that were not needed may have run the ticket for another node, or may still do so.
        const auto open = std::find(m_targets.begin(), m_targets.end(), TargetState::Open);
        if (open != m_targets.end()) {
            return voidTarget(static_cast<std::size_t>(open - m_targets.begin()), kind, tools);
        }
    }
    return end(m_unresolved.value_or(unprovenKind(kind)));
}

FlowAction CallFlow::end(ErrorKind kind)
{
    m_state = State::Ended;
    return AnswerCaller{kind, std::nullopt};
}

} // namespace Geraniumsail
