#include "node/callingpolicy.h"

#include <xxhash.h>

#include <algorithm>

namespace Geraniumsail {

namespace {

/// Weight of the newest sample in the expected service time.
constexpr double ServiceTimeWeight = 0.1;

AdmissionScore scoreOf(const RequestId &id)
{
    return AdmissionScore(static_cast<std::uint16_t>(XXH3_64bits(id.value().data(), id.value().size())));
}

template <typename... Cases>
struct Overload : Cases...
{
    using Cases::operator()...;
};
template <typename... Cases>
Overload(Cases...) -> Overload<Cases...>;

CallAction toCallAction(FlowAction action)
{
    if (auto *send = std::get_if<SendAttempt>(&action)) {
        return std::move(*send);
    }
    if (auto *voidRequest = std::get_if<SendVoidRequest>(&action)) {
        return std::move(*voidRequest);
    }
    if (const auto *wait = std::get_if<WaitBackoff>(&action)) {
        return *wait;
    }
    if (std::holds_alternative<ForwardAnswer>(action)) {
        return ForwardAnswer{};
    }
    if (auto *caller = std::get_if<AnswerWithError>(&action)) {
        return std::move(*caller);
    }
    return AnswerWithError{};
}

} // namespace

CallingPolicy::CallingPolicy(NodeIdentity self, const PolicySwitches &switches, const PolicyBook &book, Random &random,
                             Metrics &metrics)
    : m_self(std::move(self)), m_switches(switches), m_book(book), m_random(random), m_metrics(metrics),
      m_links(m_self.region)
{
}

void CallingPolicy::arrive(const CallInput &input, const ParentCall *parent, MonotonicTime now,
                           const Answer<CallStep> &answer)
{
    const auto number = m_nextCall++;
    // A call with a ticket may have run through another node.
    const auto refuse = [&](ErrorKind kind) {
        answer(CallStep{number, AnswerWithError{input.ticket ? unknownOutcomeKind(kind) : kind, std::nullopt}, now,
                        false});
    };
    if (!m_book.knows(input.service) && !m_services.contains(input.service)) {
        return refuse(ErrorKind::UnknownService);
    }
    auto request = requestFor(input, parent, now);
    if (request.hop > MaxHops) {
        return refuse(ErrorKind::BadRequest);
    }
    std::optional<ResendKey> key;
    if (joins(input, parent, number, request, key, now, answer)) {
        return;
    }
    auto ledger = parent != nullptr ? parent->ledger : std::make_shared<RetryLedger>(request.kind.retries, 0);
    auto &target = service(input.service);
    request.expectedServiceTime = target.expectedTime;
    const auto deadline = request.deadline;
    Call call{.flow = CallFlow(std::move(request), std::move(ledger)),
              .service = input.service,
              .deadline = deadline,
              .scopeEnd = parent != nullptr ? parent->context.deadline : now,
              .key = std::move(key),
              .joiners = {},
              .copy = {},
              .lastFailure = ErrorKind::Internal,
              .sentAt = now};
    auto &entered = m_calls.emplace(number, std::move(call)).first->second;
    advance(number, entered, entered.flow.begin(environmentFor(target, now)), now, answer);
}

CallRequest CallingPolicy::requestFor(const CallInput &input, const ParentCall *parent, MonotonicTime now)
{
    CallRequest request;
    request.kind = m_book.kind(input.service, input.kind, input.safeMethod);
    request.repeatable = request.kind.repeatable && !input.ticketOnly;
    request.id = input.id;
    if (parent != nullptr) {
        request.id = parent->context.id;
    } else if (request.id.empty()) {
        request.id = RequestId(createAttemptId(m_self.name, m_self.incarnation, m_random).value());
    }
    request.priority = parent != nullptr ? parent->context.priority : Priority{request.kind.rank, scoreOf(request.id)};
    if (!m_switches.requestScore) {
        request.priority.score = AdmissionScore(static_cast<std::uint16_t>(m_random()));
    }
    request.deadline = now + std::min(request.kind.timeout, input.timeout.value_or(request.kind.timeout));
    request.hop = 0;
    request.caller = input.caller;
    if (parent != nullptr) {
        request.deadline = std::min(request.deadline, parent->context.deadline);
        request.hop = parent->context.hop + 1;
        request.caller = parent->context.caller;
    }
    request.parallel = input.parallel;
    request.size = input.size;
    request.ticket = input.ticket;
    // A long body is not kept, so it cannot be sent again.
    request.resend = input.streamed;
    request.self = m_self.name;
    request.selfIncarnation = m_self.incarnation;
    return request;
}

/// True if the call waits for another one or was refused.
bool CallingPolicy::joins(const CallInput &input, const ParentCall *parent, std::uint64_t number, CallRequest &request,
                          std::optional<ResendKey> &key, MonotonicTime now, const Answer<CallStep> &answer)
{
    if (!input.key) {
        return false;
    }
    const auto scope =
        parent != nullptr ? parent->context.attempt.value() : input.caller.value() + "/" + input.service.value();
    key = ResendKey{scope, *input.key};
    const auto verdict = m_resends.arrive(*key, number, request.repeatable, now);
    switch (verdict.kind) {
    case ResendVerdict::Kind::New:
        return false;
    case ResendVerdict::Kind::Join:
        if (const auto first = m_calls.find(verdict.call); first != m_calls.end()) {
            first->second.joiners.emplace_back(number, answer);
            return true;
        }
        answer(CallStep{number, AnswerWithError{ErrorKind::Internal, std::nullopt}, now, false});
        return true;
    case ResendVerdict::Kind::Resend:
        request.resend = true;
        request.ticket = request.ticket ? request.ticket : verdict.ticket;
        return false;
    case ResendVerdict::Kind::Untracked:
        key.reset();
        return false;
    case ResendVerdict::Kind::Full:
        break;
    }
    key.reset();
    answer(CallStep{number, AnswerWithError{ErrorKind::Overloaded, std::nullopt}, now, false});
    return true;
}

void CallingPolicy::event(std::uint64_t number, const CallEvent &event, MonotonicTime now,
                          const Answer<CallStep> &answer)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        answer(CallStep{number, AnswerWithError{ErrorKind::Internal, std::nullopt}, now, false});
        return;
    }
    auto &call = found->second;
    advance(number, call, dispatch(call, event, now), now, answer);
}

FlowAction CallingPolicy::dispatch(Call &call, const CallEvent &event, MonotonicTime now)
{
    auto &target = service(call.service);
    const auto environment = environmentFor(target, now);
    return std::visit(
        Overload{
            [&](const AttemptAnswered &answered) {
                if (answered.answer.reason) {
                    call.lastFailure = *answered.answer.reason;
                } else {
                    const auto sample = static_cast<double>((now - call.sentAt).count());
                    const auto mean = static_cast<double>(target.expectedTime.count());
                    const auto next = mean == 0 ? sample : mean + ServiceTimeWeight * (sample - mean);
                    target.expectedTime = Duration(static_cast<Duration::rep>(next));
                }
                call.copy = answered.copy;
                return call.flow.onAnswer(answered.answer, environment);
            },
            [&](const AttemptFailed &failed) {
                call.lastFailure = failed.kind;
                return call.flow.onFailure(failed.kind, environment);
            },
            [&](const BackoffOver &) { return call.flow.onBackoffOver(environment); },
            [&](const VoidAnswered &voided) { return call.flow.onVoidAnswer(voided.verdict, environment); },
            [&](const CallCancelled &) { return call.flow.onCancelled(environment); },
        },
        event);
}

void CallingPolicy::advance(std::uint64_t number, Call &call, FlowAction action, MonotonicTime now,
                            const Answer<CallStep> &answer)
{
    CallStep step{number, toCallAction(std::move(action)), call.deadline, call.key.has_value()};
    if (std::holds_alternative<SendAttempt>(step.action)) {
        call.sentAt = now;
    } else if (std::holds_alternative<WaitBackoff>(step.action)) {
        m_metrics.countRetry(call.lastFailure);
    }
    if (call.flow.ended() || std::holds_alternative<AnswerWithError>(step.action)) {
        finish(number, step.action, now);
    }
    answer(std::move(step));
}

void CallingPolicy::finish(std::uint64_t number, const CallAction &action, MonotonicTime now)
{
    const auto node = m_calls.extract(number);
    const auto &call = node.mapped();
    m_metrics.countRetryRefusal(call.flow.retryRefusal());
    const auto *refusal = std::get_if<AnswerWithError>(&action);
    if (call.key) {
        const auto outcome = refusal != nullptr ? errorRow(refusal->kind).outcome : Outcome::Ran;
        m_resends.end(*call.key, outcome, call.flow.ticket(), call.scopeEnd, now);
    }
    CallAction shared = AnswerWithError{ErrorKind::AnswerGone, std::nullopt};
    if (refusal != nullptr) {
        shared = *refusal;
    } else if (call.copy) {
        shared = CopyAnswer{call.copy};
    }
    for (const auto &[joiner, answer] : call.joiners) {
        answer(CallStep{joiner, shared, call.deadline, false});
    }
}

void CallingPolicy::setMembers(const ServiceName &name, const std::vector<RouteTarget> &members, MonotonicTime now)
{
    service(name).router.setMembers(members, now);
}

void CallingPolicy::setLinks(const std::vector<LinkPolicy> &links, std::size_t liveNodes, MonotonicTime now)
{
    m_links.setPolicy(links, liveNodes, now);
}

void CallingPolicy::policyChanged(const ServiceName &name)
{
    if (const auto found = m_services.find(name); found != m_services.end()) {
        found->second.policy = m_book.policy(name);
        found->second.budget.setRatio(found->second.policy.retryRatio);
    }
}

void CallingPolicy::tick(MonotonicTime now)
{
    m_resends.prune(now);
}

void CallingPolicy::fillStatus(PolicyStatus &status) const
{
    status.calls = m_calls.size();
    for (const auto &[name, entry] : m_services) {
        status.targets += entry.router.size();
        status.ejected += entry.router.ejectedCount();
    }
}

CallingPolicy::Service &CallingPolicy::service(const ServiceName &name)
{
    auto found = m_services.find(name);
    if (found == m_services.end()) {
        const auto policy = m_book.policy(name);
        found = m_services
                    .emplace(name,
                             Service{Router(m_self.region, m_self.dataCentre), RetryBudget(policy.retryRatio), policy,
                                     Duration(0)})
                    .first;
    }
    return found->second;
}

FlowEnvironment CallingPolicy::environmentFor(Service &service, MonotonicTime now)
{
    return FlowEnvironment{service.router, m_links, service.budget, service.policy, m_switches, m_random, now};
}

} // namespace Geraniumsail
