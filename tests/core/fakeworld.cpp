#include "core/fakeworld.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Geraniumsail {

namespace {

constexpr Duration TimeLimit = std::chrono::milliseconds(300);
constexpr Duration AttemptLimit = std::chrono::milliseconds(120);
constexpr Duration VoidLimit = std::chrono::milliseconds(30);
constexpr Duration QueueTime = std::chrono::milliseconds(4);
constexpr Duration ServiceTime = std::chrono::milliseconds(6);
constexpr Duration SlowServiceTime = std::chrono::milliseconds(400);
constexpr Duration ViewDelay = std::chrono::milliseconds(60);
/// Time that a pause, a cut or a cold start lasts: longer than an attempt, shorter than a call.
constexpr Duration FaultTime = std::chrono::milliseconds(200);
constexpr Duration LateCopyDelay = std::chrono::seconds(2);
/// More events than this mean a loop.
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

FakeWorld::FakeWorld(std::uint64_t seed, RegistryLimits limits) : m_random(seed), m_limits(limits)
{
    for (std::size_t i = 0; i < TargetCount; ++i) {
        m_targets[i].name = NodeName("t" + std::to_string(i));
        m_targets[i].registry.emplace(Incarnation(m_targets[i].life), m_now, m_limits);
    }
    for (std::size_t i = 0; i < EntryCount; ++i) {
        m_entries[i].name = NodeName("e" + std::to_string(i));
        refreshView(i);
    }
}

std::optional<Ticket> FakeWorld::fetchTicket(std::size_t entry)
{
    CallRequest request;
    request.deadline = m_now + TimeLimit;
    request.self = m_entries[entry].name;
    CallFlow flow(request, std::make_shared<RetryLedger>(Allowance(0), 0));
    const auto action = flow.begin(environment(entry));
    return std::get<AnswerWithError>(action).ticket;
}

std::size_t FakeWorld::call(WorkKind work, std::size_t entry, const std::string &text,
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
    request.deadline = m_now + TimeLimit;
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
        carryOut(number, call.flow->begin(environment(entry)));
    }
    return number;
}

void FakeWorld::cancel(std::size_t number)
{
    auto &call = m_calls[number];
    call.cancelled = true;
    if (!call.flow || call.flow->ended() || !call.joined.empty()) {
        return;
    }
    const auto connection = call.connection;
    const bool sent = call.flow->attemptsSent() > 0;
    carryOut(number, call.flow->onCancelled(environment(call.entry)));
    if (sent) {
        disconnect(connection);
    }
}

void FakeWorld::after(Duration delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void FakeWorld::run()
{
    for (int i = 0; !m_events.empty(); ++i) {
        if (i > MaxEvents) {
            m_tooLong = true;
            return;
        }
        const auto first = m_events.begin();
        m_now = std::max(m_now, first->first);
        const auto event = std::move(first->second);
        m_events.erase(first);
        event();
    }
}

void FakeWorld::inject(Fault fault, std::size_t call, std::size_t target)
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
    case Fault::CutTowards:
        m_targets[target].cutTowardsUntil = m_now + FaultTime;
        break;
    case Fault::CutFrom:
        m_targets[target].cutFromUntil = m_now + FaultTime;
        break;
    case Fault::TargetSlow:
        m_targets[target].slow = true;
        break;
    case Fault::TargetDrains:
        drain(target);
        break;
    case Fault::ColdStart:
        m_targets[target].fullUntil = m_now + FaultTime;
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
        rememberEarlierLife(otherEntry, target);
        resend(call, otherEntry, false);
        break;
    case Fault::CallerCancels:
        cancel(call);
        break;
    case Fault::EpochExpiry:
        jump(TicketEpochLength * TicketLifetimeEpochs);
        break;
    case Fault::LateCopy:
        ++m_copyRequests;
        break;
    case Fault::VoidLost:
        ++m_loseVoids;
        break;
    }
}

void FakeWorld::resend(std::size_t number, std::size_t entry, bool known)
{
    // An upstream uses only its own node.
    if (m_calls[number].work == WorkKind::Child && entry != m_calls[number].entry) {
        return;
    }
    after(Duration(0), [this, number, entry, known] {
        const auto &first = m_calls[number];
        const auto ticket = first.work == WorkKind::Ticketed ? first.ticket : std::nullopt;
        call(first.work, entry, first.request, ticket, known);
    });
}

void FakeWorld::kill(std::size_t index)
{
    auto &target = m_targets[index];
    target.alive = false;
    ++target.life;
    target.waiting.clear();
    target.frozen.clear();
    const bool silent = target.cutFromUntil > m_now;
    for (std::size_t i = 0; i < m_connections.size(); ++i) {
        if (m_connections[i].target == index && m_connections[i].open && !silent) {
            after(wire(), [this, i] { failed(i, ErrorKind::ConnectionLost); });
        }
    }
    membershipChanged();
}

void FakeWorld::restart(std::size_t index)
{
    kill(index);
    auto &target = m_targets[index];
    target.alive = true;
    target.draining = false;
    target.slow = false;
    target.pausedUntil = MonotonicTime{};
    target.registry.emplace(Incarnation(target.life), m_now, m_limits);
}

void FakeWorld::pause(std::size_t target)
{
    m_targets[target].pausedUntil = m_now + FaultTime;
    after(FaultTime, [this, target] { thaw(target); });
}

void FakeWorld::drain(std::size_t target)
{
    m_targets[target].draining = true;
    membershipChanged();
}

void FakeWorld::jump(Duration time)
{
    m_now += time;
}

void FakeWorld::forgetTarget(std::size_t entry, std::size_t target)
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

void FakeWorld::rememberEarlierLife(std::size_t entry, std::size_t target)
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

std::vector<std::string> FakeWorld::violations() const
{
    std::vector<std::string> found;
    if (m_tooLong) {
        found.emplace_back("the world does not come to rest");
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

std::string FakeWorld::checkCall(std::size_t number) const
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

std::string FakeWorld::told(std::size_t number) const
{
    const auto &call = m_calls[number];
    if (call.answers == 0) {
        return "nothing";
    }
    return call.kind ? std::string(errorRow(*call.kind).label) : "ran";
}

std::optional<Outcome> FakeWorld::outcome(std::size_t number) const
{
    const auto &call = m_calls[number];
    if (call.answers == 0) {
        return std::nullopt;
    }
    return call.kind ? errorRow(*call.kind).outcome : Outcome::Ran;
}

std::size_t FakeWorld::callCount() const
{
    return m_calls.size();
}

int FakeWorld::runs(const std::string &request) const
{
    const auto found = m_runsByRequest.find(request);
    return found == m_runsByRequest.end() ? 0 : found->second;
}

const std::optional<Ticket> &FakeWorld::ticket(std::size_t call) const
{
    return m_calls[call].ticket;
}

FlowEnvironment FakeWorld::environment(std::size_t entry)
{
    auto &node = m_entries[entry];
    return FlowEnvironment{node.router, node.links, node.budget, m_policy, m_switches, m_random, m_now};
}

Duration FakeWorld::wire()
{
    return Duration(std::uniform_int_distribution<Duration::rep>(200, 1500)(m_random));
}

void FakeWorld::refreshView(std::size_t entry)
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

void FakeWorld::membershipChanged()
{
    // The second entry node learns later, so that the views differ for a while.
    after(ViewDelay, [this] { refreshView(0); });
    after(ViewDelay * 20, [this] { refreshView(1); });
}

std::size_t FakeWorld::firstTarget(const Call &call)
{
    if (call.ticket) {
        return indexOf(call.ticket->targets.front().node);
    }
    // The flow draws first for its choice, so the same random numbers give the same target.
    const auto random = m_random;
    RouteQuery query;
    query.mayProbe = call.work == WorkKind::Repeatable;
    auto &node = m_entries[call.entry];
    const auto result = node.router.pick(query, node.links, m_now, m_random);
    m_random = random;
    return result.target ? indexOf(result.target->node) : 0;
}

std::optional<ResendKey> FakeWorld::keyFor(const Call &call)
{
    // Each upstream uses only its own node, so its keys never reach another one.
    return ResendKey{"scope" + std::to_string(static_cast<int>(call.work)), IdempotencyKey(call.request)};
}

void FakeWorld::carryOut(std::size_t number, const FlowAction &action)
{
    auto &call = m_calls[number];
    if (std::holds_alternative<Ignore>(action)) {
        return;
    }
    call.wait = m_nextWait++;
    const auto wait = call.wait;
    if (const auto *attempt = std::get_if<SendAttempt>(&action)) {
        send(number, *attempt);
    } else if (const auto *backoff = std::get_if<WaitBackoff>(&action)) {
        after(backoff->delay, [this, number, wait] {
            if (m_calls[number].wait == wait) {
                carryOut(number, m_calls[number].flow->onBackoffOver(environment(m_calls[number].entry)));
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

void FakeWorld::send(std::size_t number, const SendAttempt &attempt)
{
    auto &call = m_calls[number];
    const auto connection = m_connections.size();
    const std::size_t target = indexOf(attempt.target.node);
    m_connections.push_back(Connection{number, target, true});
    call.connection = connection;
    call.attempts.insert(attempt.context.attempt);
    after(AttemptLimit, [this, connection] {
        if (m_connections[connection].open) {
            disconnect(connection);
            failed(connection, ErrorKind::TimedOut);
        }
    });
    step(Step::Sent, connection);
    const auto context = attempt.context;
    after(wire(), [this, connection, context] { connectAndDeliver(connection, context); });
}

void FakeWorld::connectAndDeliver(std::size_t connection, const CallContext &context)
{
    const auto index = m_connections[connection].target;
    auto &target = m_targets[index];
    if (!m_connections[connection].open || target.cutTowardsUntil > m_now) {
        return;
    }
    if (!target.alive) {
        failed(connection, ErrorKind::ConnectFailed);
        return;
    }
    if (m_copyRequests > 0 && context.unrepeatable) {
        --m_copyRequests;
        const auto life = target.life;
        after(LateCopyDelay, [this, index, life, context] {
            onTarget(index, life, [this, index, context] { arrive(index, context, NoConnection); });
        });
    }
    if (m_loseRequests > 0) {
        --m_loseRequests;
        failed(connection, ErrorKind::ConnectionLost);
        return;
    }
    onTarget(index, target.life, [this, index, context, connection] { arrive(index, context, connection); });
}

void FakeWorld::sendVoidRequest(std::size_t number, const SendVoidRequest &voidRequest)
{
    const auto wait = m_calls[number].wait;
    const auto reply = [this, number, wait](std::optional<VoidVerdict> verdict) {
        if (m_calls[number].wait == wait) {
            carryOut(number, m_calls[number].flow->onVoidAnswer(verdict, environment(m_calls[number].entry)));
        }
    };
    after(VoidLimit, [reply] { reply(std::nullopt); });
    const std::size_t index = indexOf(voidRequest.target.node);
    const bool lost = m_loseVoids > 0;
    m_loseVoids -= lost ? 1 : 0;
    const auto context = voidRequest.context;
    const auto life = m_targets[index].life;
    if (lost || m_targets[index].cutTowardsUntil > m_now) {
        return;
    }
    after(wire(), [this, index, life, context, reply] {
        onTarget(index, life, [this, index, context, reply] {
            const auto verdict = m_targets[index].registry->voidAttempt(context, m_now);
            if (verdict == VoidVerdict::Voided) {
                answerAll(index, context, ErrorKind::TicketVoided, {});
            }
            if (m_targets[index].cutFromUntil <= m_now) {
                after(wire(), [reply, verdict] { reply(verdict); });
            }
        });
    });
}

void FakeWorld::finishCall(std::size_t number, std::optional<ErrorKind> kind)
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
    tell(number, kind, call.payload);
    for (const auto joined : call.joined) {
        m_calls[joined].attempts = call.attempts;
        tell(joined, kind, call.payload);
    }
    call.joined.clear();
}

void FakeWorld::tell(std::size_t number, std::optional<ErrorKind> kind, const std::string &payload)
{
    auto &call = m_calls[number];
    ++call.answers;
    call.kind = kind;
    call.payload = payload;
}

void FakeWorld::failed(std::size_t connection, ErrorKind kind)
{
    if (!m_connections[connection].open && kind != ErrorKind::TimedOut) {
        return;
    }
    m_connections[connection].open = false;
    const auto number = m_connections[connection].call;
    auto &call = m_calls[number];
    if (call.connection == connection) {
        carryOut(number, call.flow->onFailure(kind, environment(call.entry)));
    }
}

void FakeWorld::onTarget(std::size_t index, std::uint64_t life, Event action)
{
    auto &target = m_targets[index];
    if (!target.alive || target.life != life) {
        return;
    }
    if (target.pausedUntil > m_now) {
        target.frozen.push_back(std::move(action));
        return;
    }
    action();
}

void FakeWorld::thaw(std::size_t index)
{
    auto &target = m_targets[index];
    if (target.pausedUntil > m_now) {
        return;
    }
    target.registry->prune(m_now);
    auto frozen = std::move(target.frozen);
    target.frozen.clear();
    const auto life = target.life;
    for (auto &action : frozen) {
        onTarget(index, life, std::move(action));
    }
}

void FakeWorld::arrive(std::size_t index, const CallContext &context, std::size_t connection)
{
    auto &target = m_targets[index];
    if (target.draining) {
        // Refused by the listener before the registry saw it.
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
    if (target.fullUntil > m_now && target.registry->refuse(context.attempt, m_now)) {
        answerAll(index, context, ErrorKind::Overloaded, {});
        return;
    }
    const auto life = target.life;
    step(Step::Queued, connection);
    after(QueueTime,
          [this, index, life, context] { onTarget(index, life, [this, index, context] { start(index, context); }); });
}

void FakeWorld::start(std::size_t index, const CallContext &context)
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
    const auto life = target.life;
    if (waiting != target.waiting.end() && !waiting->second.empty()) {
        step(Step::Running, waiting->second.front());
    }
    if (!target.alive || target.life != life) {
        return;
    }
    after(target.slow ? SlowServiceTime : ServiceTime,
          [this, index, life, context] { onTarget(index, life, [this, index, context] { finish(index, context); }); });
}

void FakeWorld::finish(std::size_t index, const CallContext &context)
{
    const auto payload = payloadOf(context.id.value());
    m_targets[index].registry->finish(context.attempt, Outcome::Ran, ErrorKind::Internal,
                                      StoredAnswer{200, {}, payload}, m_now);
    answerAll(index, context, std::nullopt, payload);
}

void FakeWorld::disconnect(std::size_t connection)
{
    m_connections[connection].open = false;
    const auto index = m_connections[connection].target;
    const auto life = m_targets[index].life;
    if (m_targets[index].cutTowardsUntil > m_now) {
        return;
    }
    after(wire(), [this, index, life, connection] {
        onTarget(index, life, [this, index, connection] {
            for (auto &[attempt, waiting] : m_targets[index].waiting) {
                const auto erased = std::erase(waiting, connection);
                if (erased > 0 && waiting.empty()) {
                    // The last waiter is gone: work that has not started is withdrawn.
                    m_targets[index].registry->refuse(attempt, m_now);
                }
            }
        });
    });
}

void FakeWorld::answerAll(std::size_t index, const CallContext &context, std::optional<ErrorKind> kind,
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
        // Only the attempt that was granted the allowance returns it.
        answer(connections[i], kind, payload, i == 0 ? context.allowance : Allowance(0));
    }
}

void FakeWorld::answer(std::size_t connection, std::optional<ErrorKind> kind, const std::string &payload,
                       Allowance unused)
{
    if (connection == NoConnection) {
        return;
    }
    step(Step::Answered, connection);
    const auto index = m_connections[connection].target;
    const auto life = m_targets[index].life;
    if (m_targets[index].cutFromUntil > m_now) {
        return;
    }
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        after(wire(), [this, connection] { failed(connection, ErrorKind::ConnectionLost); });
        return;
    }
    after(wire(), [this, connection, kind, payload, unused, index, life] {
        const auto number = m_connections[connection].call;
        auto &call = m_calls[number];
        // A killed target takes the answer in its socket buffer with it.
        if (!m_connections[connection].open || m_targets[index].life != life) {
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
        carryOut(number, call.flow->onAnswer(answer, environment(call.entry)));
    });
}

void FakeWorld::step(Step step, std::size_t connection)
{
    if (onStep && connection != NoConnection) {
        onStep(step, m_connections[connection].call, m_connections[connection].target);
    }
}

} // namespace Geraniumsail
