#include "node/targetpolicy.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

constexpr Duration PruneInterval = std::chrono::seconds(1);

AttemptDecision refusal(ErrorKind kind, const TargetReport &report)
{
    return AttemptDecision{RefuseAttempt{kind}, report};
}

} // namespace

TargetPolicy::TargetPolicy(Incarnation incarnation, const PolicySwitches &switches, const PolicyBook &book,
                           Random &random, MonotonicTime start)
    : m_switches(switches), m_book(book), m_random(random), m_registry(incarnation, start), m_prunedAt(start)
{
}

void TargetPolicy::arrive(const CallContext &context, const ServiceName &service, MonotonicTime now,
                          const Answer<AttemptDecision> &answer)
{
    const auto arrival = m_registry.arrive(context, now);
    if (arrival.kind == Arrival::Kind::Join) {
        if (const auto found = m_attempts.find(context.attempt); found != m_attempts.end()) {
            found->second.joiners.push_back({context, answer});
            return;
        }
    }
    if (arrival.kind != Arrival::Kind::Fresh) {
        answer(decisionFor(arrival, context));
        return;
    }
    Attempt attempt;
    attempt.context = context;
    attempt.answer = answer;
    m_attempts.insert_or_assign(context.attempt, std::move(attempt));
    if (const auto kind = refusalOf(context, service, now)) {
        refuse(context.attempt, *kind, now);
        return;
    }
    AdmissionRequest request;
    request.kind = context.kind;
    request.priority = context.priority;
    request.deadline = context.deadline;
    request.caller = context.caller;
    request.hop = context.hop;
    apply(m_admission->offer(context.attempt, request, now, m_random), now);
}

std::optional<ErrorKind> TargetPolicy::refusalOf(const CallContext &context, const ServiceName &service,
                                                 MonotonicTime now) const
{
    if (m_draining) {
        return ErrorKind::Draining;
    }
    if (!m_admission || !m_upstream) {
        return ErrorKind::ConnectFailed;
    }
    if (m_upstream->service != service) {
        return ErrorKind::UnknownService;
    }
    if (context.deadline <= now) {
        return ErrorKind::DeadlineBeforeStart;
    }
    return std::nullopt;
}

void TargetPolicy::cancel(const AttemptId &id, MonotonicTime now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.running || !m_admission) {
        return;
    }
    if (m_admission->withdraw(id, now)) {
        refuse(id, ErrorKind::CancelledBeforeStart, now);
    }
}

TargetReport TargetPolicy::end(const AttemptId &id, const AttemptEnd &end, MonotonicTime now)
{
    auto node = m_attempts.extract(id);
    if (node.empty() || !node.mapped().running) {
        return {};
    }
    auto &attempt = node.mapped();
    m_registry.finish(id, end.outcome, end.kind, end.answer, now);
    apply(m_admission->finish(id, end.serviceTime, now), now);
    auto result = report(attempt.context);
    result.unused = attempt.running->ledger->close();
    for (const auto &joiner : attempt.joiners) {
        answerJoiner(joiner, now);
    }
    return result;
}

VoidVerdict TargetPolicy::voidAttempt(const CallContext &context, MonotonicTime now)
{
    const auto verdict = m_registry.voidAttempt(context, now);
    const auto found = m_attempts.find(context.attempt);
    if (verdict == VoidVerdict::Voided && found != m_attempts.end() && !found->second.running) {
        m_admission->withdraw(context.attempt, now);
        refuse(context.attempt, context.unrepeatable ? ErrorKind::TicketVoided : ErrorKind::CancelledBeforeStart, now);
    }
    return verdict;
}

void TargetPolicy::announce(const Announcement &announcement, MonotonicTime now)
{
    const bool newService = !m_upstream || m_upstream->service != announcement.service;
    if (newService && !m_attempts.empty() && m_upstream) {
        return;
    }
    m_upstream = announcement;
    m_announcedAt = now;
    if (newService) {
        m_admission.emplace(m_book.policy(announcement.service), m_switches);
    }
    const auto state = announcement.draining || m_draining ? UpstreamState::Draining
        : announcement.shedding                            ? UpstreamState::Shedding
                                                           : UpstreamState::Up;
    setState(state, now);
}

void TargetPolicy::upstreamUnreachable(MonotonicTime now)
{
    if (m_admission && !m_draining) {
        setState(UpstreamState::Gone, now);
    }
}

void TargetPolicy::policyChanged(MonotonicTime now)
{
    if (m_admission) {
        apply(m_admission->setPolicy(m_book.policy(m_upstream->service), now), now);
    }
}

void TargetPolicy::drain(MonotonicTime now)
{
    m_draining = true;
    if (m_admission) {
        setState(UpstreamState::Draining, now);
    }
}

void TargetPolicy::tick(MonotonicTime now)
{
    if (m_admission) {
        const bool missing = now - m_announcedAt > AnnouncementLifetime;
        if (missing && m_state != UpstreamState::Gone && !m_draining) {
            setState(UpstreamState::Gone, now);
        }
        apply(m_admission->expire(now), now);
    }
    if (now - m_prunedAt >= PruneInterval) {
        m_prunedAt = now;
        m_registry.prune(now);
    }
}

const ParentCall *TargetPolicy::runningParent(const AttemptId &id) const
{
    const auto found = m_attempts.find(id);
    return found != m_attempts.end() && found->second.running ? &*found->second.running : nullptr;
}

const std::optional<Announcement> &TargetPolicy::upstream() const
{
    return m_upstream;
}

bool TargetPolicy::draining() const
{
    return m_draining;
}

void TargetPolicy::fillStatus(PolicyStatus &status, MonotonicTime now) const
{
    status.upstream = m_upstream;
    status.state = m_state;
    status.load = m_admission ? m_admission->load() : LoadReport{0, 0, 0};
    status.attempts = m_attempts.size();
    status.tickets = m_registry.unrepeatableCount();
    status.draining = m_draining;
    status.epoch = m_registry.epoch(now);
}

void TargetPolicy::refuse(const AttemptId &id, ErrorKind kind, MonotonicTime now)
{
    m_registry.refuse(id, now);
    auto node = m_attempts.extract(id);
    if (node.empty()) {
        return;
    }
    const auto &attempt = node.mapped();
    const auto joinerKind = attempt.context.unrepeatable ? ErrorKind::TicketVoided : kind;
    for (const auto &joiner : attempt.joiners) {
        joiner.answer(refusal(joinerKind, report(joiner.context)));
    }
    if (attempt.answer) {
        attempt.answer(refusal(kind, report(attempt.context)));
    }
}

void TargetPolicy::apply(AdmissionDecisions decisions, MonotonicTime now)
{
    // An attempt that must not start frees its slot again, so one decision may lead to more.
    while (!decisions.empty()) {
        AdmissionDecisions more;
        for (const auto &decision : decisions) {
            if (decision.refusal) {
                refuse(decision.attempt, *decision.refusal, now);
                continue;
            }
            auto freed = start(decision.attempt, now);
            std::move(freed.begin(), freed.end(), std::back_inserter(more));
        }
        decisions = std::move(more);
    }
}

AdmissionDecisions TargetPolicy::start(const AttemptId &id, MonotonicTime now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return m_admission->finish(id, std::nullopt, now);
    }
    auto &attempt = found->second;
    // After a pause of the process the deadline may have passed between the queue's last check and this start.
    if (attempt.context.deadline <= now) {
        refuse(id, ErrorKind::DeadlineBeforeStart, now);
        return m_admission->finish(id, std::nullopt, now);
    }
    if (m_registry.start(id, now) == StartVerdict::Voided) {
        refuse(id, attempt.context.unrepeatable ? ErrorKind::TicketVoided : ErrorKind::CancelledBeforeStart, now);
        return m_admission->finish(id, std::nullopt, now);
    }
    const auto &context = attempt.context;
    attempt.running = ParentCall{context, std::make_shared<RetryLedger>(context.allowance, context.hop + 1)};
    const auto answer = std::exchange(attempt.answer, nullptr);
    const auto connections = std::min(m_upstream->connections, m_book.policy(m_upstream->service).connections);
    answer(AttemptDecision{RunAttempt{m_upstream->address, connections, id}, report(context)});
    return {};
}

void TargetPolicy::answerJoiner(const Joiner &joiner, MonotonicTime now)
{
    const auto arrival = m_registry.arrive(joiner.context, now);
    if (arrival.kind == Arrival::Kind::Fresh) {
        m_registry.refuse(joiner.context.attempt, now);
    }
    joiner.answer(decisionFor(arrival, joiner.context));
}

AttemptDecision TargetPolicy::decisionFor(const Arrival &arrival, const CallContext &context) const
{
    if (arrival.kind == Arrival::Kind::Stored) {
        return AttemptDecision{RepeatAnswer{arrival.answer}, report(context)};
    }
    return refusal(arrival.kind == Arrival::Kind::Refused ? arrival.refusal : ErrorKind::Internal, report(context));
}

TargetReport TargetPolicy::report(const CallContext &context) const
{
    TargetReport result;
    // Only an attempt that starts opens a ledger, so an arrival that does not start returns its whole grant.
    result.unused = context.allowance;
    if (m_admission) {
        result.load = m_admission->load();
        result.threshold = m_admission->threshold(context.kind);
    }
    return result;
}

void TargetPolicy::setState(UpstreamState state, MonotonicTime now)
{
    m_state = state;
    apply(m_admission->setUpstream(state, m_upstream->slots, now), now);
}

} // namespace Geraniumsail
