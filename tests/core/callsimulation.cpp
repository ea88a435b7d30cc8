#include "core/callsimulation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Geraniumsail {

namespace {

constexpr Duration CallTimeout = std::chrono::milliseconds(300);
constexpr Duration AttemptTimeout = std::chrono::milliseconds(120);
constexpr Duration VoidTimeout = std::chrono::milliseconds(30);
constexpr Duration QueueTime = std::chrono::milliseconds(4);
constexpr Duration ServiceTime = std::chrono::milliseconds(6);
constexpr Duration SlowServiceTime = std::chrono::milliseconds(400);
constexpr Duration MemberUpdateDelay = std::chrono::milliseconds(60);
/// Duration of a pause, a cut link or a cold start. Longer than an attempt, shorter than a call.
constexpr Duration FaultDuration = std::chrono::milliseconds(200);
constexpr Duration DelayedDuplicateDelay = std::chrono::seconds(2);
/// Limit that only an endless loop of events exceeds.
constexpr int MaxEvents = 20'000;
constexpr std::size_t NoConnection = SIZE_MAX;

std::string payloadOf(const std::string &request)
{
    return "whole answer to " + request;
}

std::size_t indexOf(const NodeName &target)
{
    return static_cast<std::size_t>(target.value().at(1) - '0');
}

} // namespace

CallSimulation::CallSimulation(std::uint64_t seed, RegistryLimits limits) : m_random(seed), m_limits(limits)
{
    for (std::size_t i = 0; i < TargetCount; ++i) {
        m_targets[i].name = NodeName("t" + std::to_string(i));
        m_targets[i].registry.emplace(Incarnation(m_targets[i].incarnation), m_now, m_limits);
    }
    for (std::size_t i = 0; i < EntryCount; ++i) {
        m_entries[i].name = NodeName("e" + std::to_string(i));
        updateMembers(i);
    }
}

std::optional<Ticket> CallSimulation::fetchTicket(std::size_t entry)
{
    CallRequest request;
    request.deadline = m_now + CallTimeout;
    request.self = m_entries[entry].name;
    CallFlow flow(request, std::make_shared<RetryLedger>(Allowance(0), 0));
    const auto action = flow.begin(environment(entry));
    return std::get<AnswerWithError>(action).ticket;
}

std::size_t CallSimulation::call(WorkKind work, std::size_t entry, const std::string &text,
                                 const std::optional<Ticket> &ticket, bool resend)
{
    const auto number = m_calls.size();
    auto &call = m_calls.emplace_back();
    call.work = work;
    call.entry = entry;
    call.request = text;
    call.resend = resend;
    call.ticket = ticket;
    call.key = keyFor(call);
    if (call.key) {
        const auto verdict = m_entries[entry].resends.arrive(*call.key, number, work == WorkKind::Repeatable, m_now);
        if (verdict.kind == ResendVerdict::Kind::Join) {
            m_calls[verdict.call].joined.push_back(number);
            return number;
        }
        call.ticket = verdict.kind == ResendVerdict::Kind::Resend ? verdict.ticket : call.ticket;
    }
    CallRequest request;
    request.id = RequestId(text);
    request.kind.name = KindName("k");
    request.kind.retries = Allowance(KindRetries);
    request.repeatable = work == WorkKind::Repeatable;
    request.deadline = m_now + CallTimeout;
    request.hop = work == WorkKind::Child ? 1 : 0;
    request.caller = CallerName("c");
    request.ticket = call.ticket;
    request.resend = resend;
    request.self = m_entries[entry].name;
    call.flow.emplace(request, std::make_shared<RetryLedger>(Allowance(KindRetries), request.hop));
    if (onStep) {
        onStep(Step::BeforeSend, number, firstTarget(call));
    }
    if (!call.flow->ended()) {
        execute(number, call.flow->begin(environment(entry)));
    }
    return number;
}

void CallSimulation::cancel(std::size_t number)
{
    auto &call = m_calls[number];
    call.cancelled = true;
    if (!call.flow || call.flow->ended() || !call.joined.empty()) {
        return;
    }
    const auto connection = call.connection;
    const bool sent = call.flow->attemptsSent() > 0;
    execute(number, call.flow->onCancelled(environment(call.entry)));
    if (sent) {
        disconnect(connection);
    }
}

void CallSimulation::after(Duration delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void CallSimulation::run()
{
    for (int i = 0; !m_events.empty(); ++i) {
        if (i > MaxEvents) {
            m_eventLimitExceeded = true;
            return;
        }
        const auto first = m_events.begin();
        m_now = std::max(m_now, first->first);
        const auto event = std::move(first->second);
        m_events.erase(first);
        event();
    }
}

void CallSimulation::inject(Fault fault, std::size_t call, std::size_t target)
{
    const std::size_t otherEntry = 1 - m_calls[call].entry;
    switch (fault) {
    case Fault::TargetKilled:
        kill(target);
        break;
    case Fault::TargetRestarted:
        restart(target);
        break;
    case Fault::TargetPaused:
        pause(target);
        break;
    case Fault::RequestLost:
        ++m_loseRequests;
        break;
    case Fault::AnswerLost:
        ++m_loseAnswers;
        break;
    case Fault::LinkToTargetCut:
        m_targets[target].linkToTargetCutUntil = m_now + FaultDuration;
        break;
    case Fault::LinkFromTargetCut:
        m_targets[target].linkFromTargetCutUntil = m_now + FaultDuration;
        break;
    case Fault::TargetSlow:
        m_targets[target].slow = true;
        break;
    case Fault::TargetDrains:
        drain(target);
        break;
    case Fault::ColdStart:
        m_targets[target].overloadedUntil = m_now + FaultDuration;
        break;
    case Fault::UpstreamSheds:
        ++m_targets[target].shed;
        break;
    case Fault::ResendSameNode:
        resend(call, m_calls[call].entry, true);
        break;
    case Fault::ResendOtherNodeMissing:
        forgetTarget(otherEntry, target);
        resend(call, otherEntry, false);
        break;
    case Fault::ResendOtherNodeStale:
        restorePreviousIncarnation(otherEntry, target);
        resend(call, otherEntry, false);
        break;
    case Fault::CallerCancels:
        cancel(call);
        break;
    case Fault::EpochExpiry:
        advanceClock(TicketEpochLength * TicketLifetimeEpochs);
        break;
    case Fault::DelayedDuplicate:
        ++m_duplicateRequests;
        break;
    case Fault::VoidLost:
        ++m_loseVoids;
        break;
    }
}

void CallSimulation::resend(std::size_t number, std::size_t entry, bool markedAsResend)
{
    // Upstreams send calls only through their own node.
    if (m_calls[number].work == WorkKind::Child && entry != m_calls[number].entry) {
        return;
    }
    after(Duration(0), [this, number, entry, markedAsResend] {
        const auto &first = m_calls[number];
        const auto ticket = first.work == WorkKind::Ticketed ? first.ticket : std::nullopt;
        call(first.work, entry, first.request, ticket, markedAsResend);
    });
}

void CallSimulation::kill(std::size_t index)
{
    auto &target = m_targets[index];
    target.alive = false;
    ++target.incarnation;
    target.waiting.clear();
    target.deferred.clear();
    const bool linkCut = target.linkFromTargetCutUntil > m_now;
    for (std::size_t i = 0; i < m_connections.size(); ++i) {
        if (m_connections[i].target == index && m_connections[i].open && !linkCut) {
            after(networkDelay(), [this, i] { attemptFailed(i, ErrorKind::ConnectionLost); });
        }
    }
    scheduleMemberUpdates();
}

void CallSimulation::restart(std::size_t index)
{
    kill(index);
    auto &target = m_targets[index];
    target.alive = true;
    target.draining = false;
    target.slow = false;
    target.pausedUntil = MonotonicTime{};
    target.registry.emplace(Incarnation(target.incarnation), m_now, m_limits);
}

void CallSimulation::pause(std::size_t target)
{
    m_targets[target].pausedUntil = m_now + FaultDuration;
    after(FaultDuration, [this, target] { resume(target); });
}

void CallSimulation::drain(std::size_t target)
{
    m_targets[target].draining = true;
    scheduleMemberUpdates();
}

void CallSimulation::advanceClock(Duration time)
{
    m_now += time;
}

void CallSimulation::forgetTarget(std::size_t entry, std::size_t target)
{
    std::vector<RouteTarget> members;
    for (const auto &other : m_targets) {
        if (const auto *known = m_entries[entry].router.find(other.name);
            known && other.name != m_targets[target].name) {
            members.push_back(*known);
        }
    }
    m_entries[entry].router.setMembers(members, m_now);
}

void CallSimulation::restorePreviousIncarnation(std::size_t entry, std::size_t target)
{
    std::vector<RouteTarget> members;
    for (const auto &other : m_targets) {
        if (const auto *known = m_entries[entry].router.find(other.name)) {
            members.push_back(*known);
            if (other.name == m_targets[target].name) {
                members.back().incarnation = Incarnation(0);
            }
        }
    }
    m_entries[entry].router.setMembers(members, m_now);
}

std::vector<std::string> CallSimulation::violations() const
{
    std::vector<std::string> found;
    if (m_eventLimitExceeded) {
        found.emplace_back("the event limit was exceeded");
    }
    for (std::size_t i = 0; i < m_calls.size(); ++i) {
        if (auto text = checkCall(i); !text.empty()) {
            found.push_back("call " + std::to_string(i) + ": " + text);
        }
    }
    for (const auto &[id, runs] : m_runsByAttempt) {
        if (runs > 1) {
            found.push_back("I5: attempt " + id.value() + " ran " + std::to_string(runs) + " times");
        }
    }
    for (const auto &call : m_calls) {
        if (call.work != WorkKind::Repeatable && runs(call.request) > 1) {
            found.push_back("I5: " + call.request + " ran " + std::to_string(runs(call.request)) + " times");
        }
    }
    return found;
}

std::string CallSimulation::checkCall(std::size_t number) const
{
    const auto &call = m_calls[number];
    if (call.answers != 1) {
        return "answered " + std::to_string(call.answers) + " times";
    }
    if (!call.kind && call.payload != payloadOf(call.request)) {
        return "I3: got '" + call.payload + "'";
    }
    if (call.flow) {
        const int first = call.flow->attemptsSent() > 0 ? 1 : 0;
        const int allowed = call.resend ? 0 : static_cast<int>(KindRetries);
        if (call.flow->attemptsSent() > first + allowed) {
            return "I1: sent " + std::to_string(call.flow->attemptsSent()) + " attempts";
        }
    }
    if (call.kind && errorRow(*call.kind).outcome == Outcome::NotRun) {
        for (const auto &id : call.attempts) {
            if (m_runsByAttempt.contains(id)) {
                return "I4: told " + std::string(errorRow(*call.kind).label) + " but it ran";
            }
        }
    }
    return {};
}

std::string CallSimulation::result(std::size_t number) const
{
    const auto &call = m_calls[number];
    if (call.answers == 0) {
        return "nothing";
    }
    return call.kind ? std::string(errorRow(*call.kind).label) : "ran";
}

std::optional<Outcome> CallSimulation::outcome(std::size_t number) const
{
    const auto &call = m_calls[number];
    if (call.answers == 0) {
        return std::nullopt;
    }
    return call.kind ? errorRow(*call.kind).outcome : Outcome::Ran;
}

std::size_t CallSimulation::callCount() const
{
    return m_calls.size();
}

int CallSimulation::runs(const std::string &request) const
{
    const auto found = m_runsByRequest.find(request);
    return found == m_runsByRequest.end() ? 0 : found->second;
}

const std::optional<Ticket> &CallSimulation::ticket(std::size_t call) const
{
    return m_calls[call].ticket;
}

FlowEnvironment CallSimulation::environment(std::size_t entry)
{
    auto &node = m_entries[entry];
    return FlowEnvironment{node.router, node.links, node.budget, m_policy, m_switches, m_random, m_now};
}

Duration CallSimulation::networkDelay()
{
    return Duration(std::uniform_int_distribution<Duration::rep>(200, 1500)(m_random));
}

void CallSimulation::updateMembers(std::size_t entry)
{
    std::vector<RouteTarget> members;
    for (auto &target : m_targets) {
        if (!target.alive) {
            continue;
        }
        RouteTarget member;
        member.node = target.name;
        member.incarnation = target.registry->incarnation();
        member.epoch = target.registry->epoch(m_now);
        member.region = RegionName("r");
        member.dataCentre = DataCentreName("d");
        member.usable = !target.draining;
        members.push_back(member);
    }
    m_entries[entry].router.setMembers(members, m_now);
}

void CallSimulation::scheduleMemberUpdates()
{
    // The second entry node is updated later, so that the views of the entry nodes differ for a while.
    after(MemberUpdateDelay, [this] { updateMembers(0); });
    after(MemberUpdateDelay * 20, [this] { updateMembers(1); });
}

std::size_t CallSimulation::firstTarget(const Call &call)
{
    if (call.ticket) {
        return indexOf(call.ticket->targets.front().node);
    }
    // Restores the random state after the pick, so that the flow selects the same target.
    const auto random = m_random;
    RouteQuery query;
    query.mayProbeEjected = call.work == WorkKind::Repeatable;
    auto &node = m_entries[call.entry];
    const auto result = node.router.pick(query, node.links, m_now, m_random);
    m_random = random;
    return result.target ? indexOf(result.target->node) : 0;
}

std::optional<ResendKey> CallSimulation::keyFor(const Call &call)
{
    // Upstreams send calls only through their own node, so their keys never reach another node.
    return ResendKey{"scope" + std::to_string(static_cast<int>(call.work)), IdempotencyKey(call.request)};
}

void CallSimulation::execute(std::size_t number, const FlowAction &action)
{
    auto &call = m_calls[number];
    if (std::holds_alternative<Ignore>(action)) {
        return;
    }
    call.awaitedEventId = m_nextEventId++;
    const auto awaitedEventId = call.awaitedEventId;
    if (const auto *attempt = std::get_if<SendAttempt>(&action)) {
        send(number, *attempt);
    } else if (const auto *backoff = std::get_if<WaitBackoff>(&action)) {
        after(backoff->delay, [this, number, awaitedEventId] {
            if (m_calls[number].awaitedEventId == awaitedEventId) {
                execute(number, m_calls[number].flow->onBackoffOver(environment(m_calls[number].entry)));
            }
        });
    } else if (const auto *voidRequest = std::get_if<SendVoidRequest>(&action)) {
        sendVoidRequest(number, *voidRequest);
    } else if (const auto *answer = std::get_if<AnswerWithError>(&action)) {
        finishCall(number, answer->kind);
    } else {
        finishCall(number, std::nullopt);
    }
}

void CallSimulation::send(std::size_t number, const SendAttempt &attempt)
{
    auto &call = m_calls[number];
    const auto connection = m_connections.size();
    const std::size_t target = indexOf(attempt.target.node);
    m_connections.push_back(Connection{number, target, true});
    call.connection = connection;
    call.attempts.insert(attempt.context.attempt);
    after(AttemptTimeout, [this, connection] {
        if (m_connections[connection].open) {
            disconnect(connection);
            attemptFailed(connection, ErrorKind::TimedOut);
        }
    });
    step(Step::Sent, connection);
    const auto context = attempt.context;
    after(networkDelay(), [this, connection, context] { connectAndDeliver(connection, context); });
}

void CallSimulation::connectAndDeliver(std::size_t connection, const CallContext &context)
{
    const auto index = m_connections[connection].target;
    auto &target = m_targets[index];
    if (!m_connections[connection].open || target.linkToTargetCutUntil > m_now) {
        return;
    }
    if (!target.alive) {
        attemptFailed(connection, ErrorKind::ConnectFailed);
        return;
    }
    if (m_duplicateRequests > 0 && context.unrepeatable) {
        --m_duplicateRequests;
        const auto incarnation = target.incarnation;
        after(DelayedDuplicateDelay, [this, index, incarnation, context] {
            runOnTarget(index, incarnation, [this, index, context] { receive(index, context, NoConnection); });
        });
    }
    if (m_loseRequests > 0) {
        --m_loseRequests;
        attemptFailed(connection, ErrorKind::ConnectionLost);
        return;
    }
    runOnTarget(index, target.incarnation, [this, index, context, connection] { receive(index, context, connection); });
}

void CallSimulation::sendVoidRequest(std::size_t number, const SendVoidRequest &voidRequest)
{
    const auto awaitedEventId = m_calls[number].awaitedEventId;
    const auto reply = [this, number, awaitedEventId](std::optional<VoidVerdict> verdict) {
        if (m_calls[number].awaitedEventId == awaitedEventId) {
            execute(number, m_calls[number].flow->onVoidAnswer(verdict, environment(m_calls[number].entry)));
        }
    };
    after(VoidTimeout, [reply] { reply(std::nullopt); });
    const std::size_t index = indexOf(voidRequest.target.node);
    const bool lost = m_loseVoids > 0;
    m_loseVoids -= lost ? 1 : 0;
    const auto context = voidRequest.context;
    const auto incarnation = m_targets[index].incarnation;
    if (lost || m_targets[index].linkToTargetCutUntil > m_now) {
        return;
    }
    after(networkDelay(), [this, index, incarnation, context, reply] {
        runOnTarget(index, incarnation, [this, index, context, reply] {
            const auto verdict = m_targets[index].registry->voidAttempt(context, m_now);
            if (verdict == VoidVerdict::Voided) {
                answerAll(index, context, ErrorKind::TicketVoided, {});
            }
            if (m_targets[index].linkFromTargetCutUntil <= m_now) {
                after(networkDelay(), [reply, verdict] { reply(verdict); });
            }
        });
    });
}

void CallSimulation::finishCall(std::size_t number, std::optional<ErrorKind> kind)
{
    auto &call = m_calls[number];
    call.ticket = call.flow->ticket() ? call.flow->ticket() : call.ticket;
    if (call.ticket && call.work == WorkKind::Ticketed) {
        call.attempts.insert(call.ticket->id);
    }
    const auto outcome = kind ? errorRow(*kind).outcome : Outcome::Ran;
    if (call.key) {
        const auto kept = call.work == WorkKind::Child ? call.ticket : std::nullopt;
        m_entries[call.entry].resends.end(*call.key, outcome, kept, m_now, m_now);
    }
    deliverResult(number, kind, call.payload);
    for (const auto joined : call.joined) {
        m_calls[joined].attempts = call.attempts;
        deliverResult(joined, kind, call.payload);
    }
    call.joined.clear();
}

void CallSimulation::deliverResult(std::size_t number, std::optional<ErrorKind> kind, const std::string &payload)
{
    auto &call = m_calls[number];
    ++call.answers;
    call.kind = kind;
    call.payload = payload;
}

void CallSimulation::attemptFailed(std::size_t connection, ErrorKind kind)
{
    if (!m_connections[connection].open && kind != ErrorKind::TimedOut) {
        return;
    }
    m_connections[connection].open = false;
    const auto number = m_connections[connection].call;
    auto &call = m_calls[number];
    if (call.connection == connection) {
        execute(number, call.flow->onFailure(kind, environment(call.entry)));
    }
}

void CallSimulation::runOnTarget(std::size_t index, std::uint64_t incarnation, Event action)
{
    auto &target = m_targets[index];
    if (!target.alive || target.incarnation != incarnation) {
        return;
    }
    if (target.pausedUntil > m_now) {
        target.deferred.push_back(std::move(action));
        return;
    }
    action();
}

void CallSimulation::resume(std::size_t index)
{
    auto &target = m_targets[index];
    if (target.pausedUntil > m_now) {
        return;
    }
    target.registry->prune(m_now);
    auto deferred = std::move(target.deferred);
    target.deferred.clear();
    const auto incarnation = target.incarnation;
    for (auto &action : deferred) {
        runOnTarget(index, incarnation, std::move(action));
    }
}

void CallSimulation::receive(std::size_t index, const CallContext &context, std::size_t connection)
{
    auto &target = m_targets[index];
    if (target.draining) {
        // The listener refuses the request before it reaches the registry.
        answer(connection, ErrorKind::Draining, {}, context.allowance);
        return;
    }
    const auto arrival = target.registry->arrive(context, m_now);
    switch (arrival.kind) {
    case Arrival::Kind::Refused:
        answer(connection, arrival.refusal, {}, context.allowance);
        return;
    case Arrival::Kind::Stored:
        answer(connection, std::nullopt, arrival.answer->body, context.allowance);
        return;
    case Arrival::Kind::Join:
        target.waiting[context.attempt].push_back(connection);
        return;
    case Arrival::Kind::Fresh:
        break;
    }
    target.waiting[context.attempt].push_back(connection);
    if (target.overloadedUntil > m_now && target.registry->refuse(context.attempt, m_now)) {
        answerAll(index, context, ErrorKind::Overloaded, {});
        return;
    }
    const auto incarnation = target.incarnation;
    step(Step::Queued, connection);
    after(QueueTime, [this, index, incarnation, context] {
        runOnTarget(index, incarnation, [this, index, context] { start(index, context); });
    });
}

void CallSimulation::start(std::size_t index, const CallContext &context)
{
    auto &target = m_targets[index];
    if (context.deadline <= m_now && target.registry->refuse(context.attempt, m_now)) {
        answerAll(index, context, ErrorKind::DeadlineBeforeStart, {});
        return;
    }
    if (target.registry->start(context.attempt, m_now) != StartVerdict::Start) {
        answerAll(index, context, context.unrepeatable ? ErrorKind::TicketVoided : ErrorKind::CancelledBeforeStart, {});
        return;
    }
    if (target.shed > 0) {
        --target.shed;
        target.registry->finish(context.attempt, Outcome::NotRun, ErrorKind::UpstreamShed, std::nullopt, m_now);
        answerAll(index, context, ErrorKind::UpstreamShed, {});
        return;
    }
    ++m_runsByAttempt[context.attempt];
    ++m_runsByRequest[context.id.value()];
    const auto waiting = target.waiting.find(context.attempt);
    const auto incarnation = target.incarnation;
    if (waiting != target.waiting.end() && !waiting->second.empty()) {
        step(Step::Running, waiting->second.front());
    }
    if (!target.alive || target.incarnation != incarnation) {
        return;
    }
    after(target.slow ? SlowServiceTime : ServiceTime, [this, index, incarnation, context] {
        runOnTarget(index, incarnation, [this, index, context] { finish(index, context); });
    });
}

void CallSimulation::finish(std::size_t index, const CallContext &context)
{
    const auto payload = payloadOf(context.id.value());
    m_targets[index].registry->finish(context.attempt, Outcome::Ran, ErrorKind::Internal,
                                      StoredAnswer{200, {}, payload}, m_now);
    answerAll(index, context, std::nullopt, payload);
}

void CallSimulation::disconnect(std::size_t connection)
{
    m_connections[connection].open = false;
    const auto index = m_connections[connection].target;
    const auto incarnation = m_targets[index].incarnation;
    if (m_targets[index].linkToTargetCutUntil > m_now) {
        return;
    }
    after(networkDelay(), [this, index, incarnation, connection] {
        runOnTarget(index, incarnation, [this, index, connection] {
            for (auto &[attempt, waiting] : m_targets[index].waiting) {
                const auto erased = std::erase(waiting, connection);
                if (erased > 0 && waiting.empty()) {
                    // No connection waits for the attempt any more, so work that has not started is cancelled.
                    m_targets[index].registry->refuse(attempt, m_now);
                }
            }
        });
    });
}

void CallSimulation::answerAll(std::size_t index, const CallContext &context, std::optional<ErrorKind> kind,
                               const std::string &payload)
{
    auto &waiting = m_targets[index].waiting;
    const auto found = waiting.find(context.attempt);
    if (found == waiting.end()) {
        return;
    }
    const auto connections = std::move(found->second);
    waiting.erase(found);
    for (std::size_t i = 0; i < connections.size(); ++i) {
        // Only the first connection returns the unused allowance; joined requests were given none.
        answer(connections[i], kind, payload, i == 0 ? context.allowance : Allowance(0));
    }
}

void CallSimulation::answer(std::size_t connection, std::optional<ErrorKind> kind, const std::string &payload,
                            Allowance unused)
{
    if (connection == NoConnection) {
        return;
    }
    step(Step::Answered, connection);
    const auto index = m_connections[connection].target;
    const auto incarnation = m_targets[index].incarnation;
    if (m_targets[index].linkFromTargetCutUntil > m_now) {
        return;
    }
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        after(networkDelay(), [this, connection] { attemptFailed(connection, ErrorKind::ConnectionLost); });
        return;
    }
    after(networkDelay(), [this, connection, kind, payload, unused, index, incarnation] {
        const auto number = m_connections[connection].call;
        auto &call = m_calls[number];
        // If the target is killed, an answer in its socket buffer is lost.
        if (!m_connections[connection].open || m_targets[index].incarnation != incarnation) {
            return;
        }
        m_connections[connection].open = false;
        if (call.connection != connection) {
            return;
        }
        AttemptAnswer answer;
        answer.outcome = kind ? errorRow(*kind).outcome : Outcome::Ran;
        answer.reason = kind;
        answer.unused = unused;
        call.payload = payload;
        execute(number, call.flow->onAnswer(answer, environment(call.entry)));
    });
}

void CallSimulation::step(Step step, std::size_t connection)
{
    if (onStep && connection != NoConnection) {
        onStep(step, m_connections[connection].call, m_connections[connection].target);
    }
}

} // namespace Geraniumsail
