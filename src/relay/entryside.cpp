#include "relay/entryside.h"

#include "core/text.h"
#include "net/clock.h"
#include "net/httpwire.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

/// Used for a request whose caller names no time limit.
constexpr Duration DefaultTimeout = std::chrono::seconds(10);
/// Time beyond the deadline that another node's answer may take: the target's own grace and the way back.
constexpr Duration PeerGrace = std::chrono::milliseconds(160);
/// A connection to a node that is up takes at most a round trip between regions (40 ms) and one lost packet.
constexpr Duration PeerConnectTimeout = std::chrono::milliseconds(400);
/// Below the idle time of the node's own server (60 s).
constexpr Duration PeerIdleTime = std::chrono::seconds(10);
/// Between two passes over all idle connections; each connection costs a system call.
constexpr Duration CleanInterval = std::chrono::seconds(1);
/// Idle connections kept to one node. A hundred nodes share the connections that one node accepts.
constexpr std::size_t PeerIdleConnections = 16;
/// Sent bytes without acknowledgement for this long mean a silent connection; a round trip takes 40 ms.
constexpr Duration PeerUnacknowledged = std::chrono::milliseconds(1000);
/// Nodes asked in turn while none has delivered the request.
constexpr std::size_t MaxRefusals = 3;
/// Part of the latency target that a request may wait in one queue. Root requests of the most urgent rank and calls may
/// wait longer than others: the former are few, and refusing the latter wastes the work of their root requests.
constexpr double RootWaitPart = 0.25;
constexpr double UrgentWaitPart = 0.5;
/// Least time that must be left for another attempt.
constexpr Duration LeastTimeLeft = std::chrono::milliseconds(30);
/// Weight of one answer in the expected size of a route's answers.
constexpr double BytesWeight = 0.1;
/// Retry-After while a node knows no configuration or upstream.
constexpr Duration StartRetryAfter = std::chrono::milliseconds(500);

/// Uniform in [0, 1), the same for all nodes that handle the request.
double drawOf(const RequestId &id)
{
    constexpr double range = 1U << 24U;
    return static_cast<double>(std::hash<std::string>()(id.value()) & 0xffffffU) / range;
}

/// Value of Retry-After: seconds with two decimals.
std::string secondsText(Duration duration)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(duration).count());
    return text.data();
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

/// One request from its arrival to its answer.
struct EntrySide::Flight
{
    std::shared_ptr<const RouteTable> table; ///< Keeps rule valid.
    const RouteRule *rule = nullptr;
    ServiceName service;
    RequestId id;
    Origin origin = Origin::Root;
    std::optional<RouteName> parent; ///< Of a call: the route of the request for which it is made.
    MonotonicTime arrived;
    MonotonicTime deadline;
    std::vector<NodeName> tried;
    std::uint64_t requestBytes = 0;
    int arrivals = 0; ///< Attempts that an upstream received, or may have.
    std::size_t refusals = 0; ///< Attempts that no upstream received.
    bool mayHaveRun = false; ///< An attempt ran, or its outcome is unknown.
    Duration estimate{}; ///< Until the answer of the last attempt, as of its choice.
    std::optional<Duration> loadAge; ///< Of the load report behind the estimate.
};

EntrySide::EntrySide(const asio::any_io_executor &executor, const HeaderNames &names, const RelaySettings &settings,
                     TargetSide &target, const Reporter &reporter)
    : m_names(names), m_settings(settings), m_target(target), m_reporter(reporter),
      m_peers(executor,
              ClientLimits{.idle = PeerIdleTime,
                           .idlePerAddress = PeerIdleConnections,
                           .connect = PeerConnectTimeout,
                           .unacknowledged = PeerUnacknowledged}),
      m_routes(std::make_shared<const RouteTable>()),
      m_loadBalancer({settings.node, settings.dataCentre, settings.region}), m_budget(settings.retryRatio),
      m_random(std::hash<std::string>()(settings.node.value()))
{
}

bool EntrySide::setRoutes(RouteTable table)
{
    if (table.version() <= m_routes->version()) {
        return false;
    }
    if (const auto *rule = table.service(m_settings.service)) {
        m_target.setConnectionLimit(rule->maxConnections);
    }
    m_routes = std::make_shared<const RouteTable>(std::move(table));
    m_reporter.metrics.setConfigVersion(m_routes->version());
    return true;
}

void EntrySide::tick()
{
    const auto now = monotonicNow();
    if (now >= m_cleanAt) {
        m_cleanAt = now + CleanInterval;
        m_peers.closeIdle(now);
    }
    for (const auto &node : m_directory.prune(now)) {
        m_loadBalancer.forget(node);
        m_reporter.important(EventLine("entry_removed").add("node", node.value()).add("reason", "lapsed"));
    }
    m_reporter.metrics.setDirectorySize(m_directory.size());
}

HttpResponse EntrySide::refuseUnrouted(const HttpRequest &request, ErrorKind kind)
{
    auto response = errorResponse(kind);
    if (kind == ErrorKind::NoUpstream) {
        response.message.set("Retry-After", secondsText(StartRetryAfter));
    }
    m_reporter.metrics.countAnswer(kind);
    m_reporter.important(EventLine("unrouted")
                             .add("id", fieldValue(request.message, m_names.requestId))
                             .add("host", fieldValue(request.message, "Host"))
                             .add("path", std::string_view(request.message.target()))
                             .add("config", std::int64_t(m_routes->version().value()))
                             .add("reason", errorRow(kind).label));
    return response;
}

asio::awaitable<HttpResponse> EntrySide::handle(HttpRequest request, RequestScope &scope)
{
    if (!hasRoutes()) {
        co_return refuseUnrouted(request, ErrorKind::NoUpstream);
    }
    if (fieldValue(request.message, m_names.requestId).empty()) {
        co_return refuseUnrouted(request, ErrorKind::BadRequest);
    }
    auto flight = begin(request);
    if (!flight) {
        co_return refuseUnrouted(request, ErrorKind::UnknownService);
    }
    const bool isRoot = flight->origin == Origin::Root && m_target.recognizesCalls();
    if (isRoot && !m_admission.admit(*flight->rule, drawOf(flight->id), flight->arrived)) {
        m_reporter.metrics.countRootRefusal();
        co_return ownAnswer(*flight, ErrorKind::EarlyRefusal);
    }
    ++m_active;
    auto result = co_await runAttempts(*flight, std::move(request), scope.cancellation);
    --m_active;
    co_return finish(*flight, std::move(result));
}

std::optional<EntrySide::Flight> EntrySide::begin(const HttpRequest &request)
{
    const auto &message = request.message;
    Flight flight;
    flight.table = m_routes;
    flight.rule = m_routes->match(fieldValue(message, "Host"), std::string_view(message.target()));
    if (flight.rule == nullptr) {
        return std::nullopt;
    }
    flight.service = m_splits.pick(*flight.rule);
    flight.id = RequestId(std::string(fieldValue(message, m_names.requestId)));
    flight.parent = m_target.routeOfParent(flight.id);
    flight.origin = flight.parent ? Origin::Call : Origin::Root;
    flight.arrived = monotonicNow();
    flight.requestBytes = message.body().size();
    const auto stated = parseNumber<std::int64_t>(fieldValue(message, m_names.timeoutMs));
    const Duration limit = stated && *stated >= 0 ? Duration(std::chrono::milliseconds(*stated)) : DefaultTimeout;
    flight.deadline = flight.arrived + std::min(limit, flight.rule->timeout);
    return flight;
}

asio::awaitable<AttemptResult> EntrySide::runAttempts(Flight &flight, HttpRequest request, Cancellation &cancellation)
{
    AttemptResult result;
    result.outcome = Outcome::NotRun;
    result.error = ErrorKind::NoUpstream;
    removeHopFields(request.message);
    removeNodeFields(request.message);
    bool goOn = true;
    while (goOn) {
        const auto now = monotonicNow();
        const auto candidates = m_directory.candidates(flight.service);
        const auto *chosen = m_loadBalancer.pick(candidates, flight.tried, expectedBytes(flight), now, m_random);
        if (chosen == nullptr) {
            break;
        }
        flight.tried.push_back(chosen->entry.node);
        flight.estimate = m_loadBalancer.estimate(*chosen, expectedBytes(flight), now);
        flight.loadAge = m_loadBalancer.loadAge(chosen->entry.node, now);
        // The entry may be removed from the directory while the attempt runs.
        const KnownEntry target = *chosen;
        const bool streamed = request.rest != nullptr;
        HttpRequest copy;
        copy.message = request.message;
        copy.rest = std::move(request.rest);
        result = co_await attempt(flight, target, std::move(copy), cancellation);
        goOn = !streamed && mayTryAgain(flight, result) && !cancellation.isCancelled();
        if (goOn) {
            m_reporter.metrics.countRetry(result.error);
            m_reporter.important(EventLine("retry")
                                     .add("id", flight.id.value())
                                     .add("after", errorRow(result.error).label)
                                     .add("node", target.entry.node.value())
                                     .add("arrivals", std::int64_t(flight.arrivals))
                                     .add("budget", std::int64_t(m_budget.tokens(flight.service)))
                                     .add("left_ms", flight.deadline - monotonicNow()));
        }
    }
    co_return result;
}

ByteCount EntrySide::expectedBytes(const Flight &flight) const
{
    const auto answer = m_answerBytes.find(flight.rule->name);
    const double expected = answer == m_answerBytes.end() ? 0 : answer->second;
    return ByteCount(flight.requestBytes + static_cast<std::uint64_t>(expected));
}

asio::awaitable<AttemptResult> EntrySide::attempt(Flight &flight, const KnownEntry &chosen, HttpRequest request,
                                                  Cancellation &cancellation)
{
    const auto now = monotonicNow();
    const auto &rule = *flight.rule;
    AttemptContext context;
    context.request = flight.id;
    context.route = rule.name;
    context.service = flight.service;
    context.upstream = chosen.entry.upstream;
    context.callerService = m_settings.service;
    context.origin = flight.origin;
    context.repeatability = rule.repeatability;
    context.rank = rule.rank;
    context.timeLeft = std::max(Duration(0), flight.deadline - now);
    const bool mayWaitLonger = flight.origin == Origin::Call || rule.rank == MostUrgentRank;
    context.maxWait = scaled(rule.latencyTarget, mayWaitLonger ? UrgentWaitPart : RootWaitPart);
    context.version = flight.table->version();
    m_loadBalancer.onSent(chosen.entry.node, now);
    if (flight.arrivals == 0 && flight.refusals == 0) {
        m_budget.onFirstDelivery(flight.service, priorityOf(flight));
    }
    const bool local = chosen.entry.node == m_settings.node;
    AttemptResult result;
    // GCC 12 miscompiles co_await in both branches of a conditional expression.
    if (local) {
        result = co_await m_target.deliver(context, std::move(request), cancellation);
    } else {
        result = co_await sendToPeer(chosen.entry.peer, context, std::move(request), cancellation);
        m_reporter.metrics.observe(Stage::Peer, monotonicNow() - now);
    }
    if (result.arrived) {
        ++flight.arrivals;
    } else {
        ++flight.refusals;
    }
    flight.mayHaveRun = flight.mayHaveRun || result.outcome != Outcome::NotRun;
    learn(flight, chosen, result);
    co_return result;
}

asio::awaitable<AttemptResult> EntrySide::sendToPeer(const Address &peer, const AttemptContext &context,
                                                     HttpRequest request, Cancellation &cancellation)
{
    writeContext(context, request.message);
    ExchangeOptions options;
    options.deadline = monotonicNow() + context.timeLeft + PeerGrace;
    options.cancellation = &cancellation;
    auto answer = co_await m_peers.send(peer, std::move(request), options);
    if (answer) {
        co_return decodeResult(std::move(*answer));
    }
    AttemptResult result;
    switch (answer.error()) {
    case TransferError::PoolFull:
    case TransferError::ConnectFailed:
        result.error = ErrorKind::ConnectFailed;
        break;
    case TransferError::CancelledBeforeSend:
        result.error = ErrorKind::CancelledBeforeStart;
        break;
    case TransferError::CancelledAfterSend:
        result.error = ErrorKind::CancelledAfterStart;
        break;
    case TransferError::TimedOut:
        result.error = ErrorKind::TimedOut;
        m_peers.dropIdle(peer);
        break;
    case TransferError::TruncatedAnswer:
        result.error = ErrorKind::TruncatedAnswer;
        break;
    case TransferError::ConnectionLost:
    case TransferError::TruncatedRequest:
    case TransferError::SlowRequest:
    case TransferError::RequestTooLarge:
        result.error = ErrorKind::ConnectionLost;
        m_peers.dropIdle(peer);
        break;
    }
    result.outcome = errorRow(result.error).outcome;
    result.arrived = result.outcome != Outcome::NotRun;
    co_return result;
}

void EntrySide::learn(const Flight &flight, const KnownEntry &chosen, const AttemptResult &result)
{
    const auto now = monotonicNow();
    const auto &node = chosen.entry.node;
    const bool serverFailed = result.outcome == Outcome::Ran && result.response.message.result_int() >= 500;
    m_loadBalancer.onEnded(node, serverFailed || (result.arrived && result.outcome != Outcome::Ran), now);
    if (result.load) {
        m_loadBalancer.onLoad(node, *result.load, now);
        m_budget.setMakesCalls(flight.service, result.load->makesCalls);
    }
    if (result.admittedFraction) {
        m_admission.onResponse(flight.rule->name, *result.admittedFraction, now);
        if (flight.parent) {
            m_target.onCallFraction(*flight.parent, *result.admittedFraction);
        }
    }
    const bool unreachable = result.error == ErrorKind::ConnectFailed || result.error == ErrorKind::Draining
        || result.error == ErrorKind::NoUpstream;
    const bool lost = !result.load && result.error == ErrorKind::ConnectionLost;
    if (result.outcome != Outcome::Ran && (unreachable || lost)) {
        m_loadBalancer.onUnreachable(node, now);
        if (m_directory.onUnreachable(node) == DirectoryChange::Removed) {
            m_reporter.important(
                EventLine("entry_removed").add("node", node.value()).add("reason", errorRow(result.error).label));
        }
    }
}

RedeliveryPriority EntrySide::priorityOf(const Flight &flight)
{
    const bool isUrgent = flight.origin == Origin::Root && flight.rule->rank == MostUrgentRank;
    return isUrgent ? RedeliveryPriority::Urgent : RedeliveryPriority::Normal;
}

bool EntrySide::mayTryAgain(Flight &flight, const AttemptResult &result)
{
    if (flight.deadline - monotonicNow() < LeastTimeLeft) {
        return false;
    }
    if (result.outcome == Outcome::NotRun && !result.arrived) {
        const bool elsewhere =
            result.error != ErrorKind::DeadlineBeforeStart && result.error != ErrorKind::CancelledBeforeStart;
        return elsewhere && flight.refusals <= MaxRefusals;
    }
    const bool idempotent = flight.rule->repeatability == Repeatability::Idempotent;
    const bool shed = result.outcome == Outcome::NotRun;
    const bool unknown =
        result.outcome == Outcome::Unknown && idempotent && result.error != ErrorKind::CancelledAfterStart;
    // Callers repeat failed requests themselves; nobody repeats a call, and its failure wastes the root's work.
    const bool failedCall = result.outcome == Outcome::Ran && idempotent && flight.origin == Origin::Call
        && result.response.message.result_int() == 500 && !result.response.rest;
    if (!(shed || unknown || failedCall) || flight.arrivals >= flight.rule->maxAttempts) {
        return false;
    }
    if (!m_budget.take(flight.service, priorityOf(flight))) {
        m_reporter.metrics.countRetryRefusal();
        return false;
    }
    return true;
}

Duration EntrySide::retryAfter(const Flight &flight, ErrorKind kind)
{
    if (kind == ErrorKind::NoUpstream || kind == ErrorKind::Draining) {
        return StartRetryAfter;
    }
    return m_retryAfterPolicy.delay(*flight.rule, m_random);
}

HttpResponse EntrySide::ownAnswer(const Flight &flight, ErrorKind kind)
{
    auto response = errorResponse(kind);
    auto &message = response.message;
    const auto outcome = errorRow(kind).outcome;
    if (outcome == Outcome::NotRun) {
        // One status for every proven "not run", so that callers may repeat even what must not run twice.
        message.result(503);
        message.set("Retry-After", secondsText(retryAfter(flight, kind)));
    }
    AttemptResult result;
    result.outcome = outcome;
    result.error = kind;
    report(flight, result, message.result_int());
    return response;
}

HttpResponse EntrySide::finish(const Flight &flight, AttemptResult result)
{
    if (result.outcome != Outcome::Ran) {
        // The last refusal does not prove that the request has not run in an earlier attempt.
        if (result.outcome == Outcome::NotRun && flight.mayHaveRun) {
            return ownAnswer(flight, ErrorKind::ConnectionLost);
        }
        return ownAnswer(flight, result.error);
    }
    if (result.response.message.result_int() < 300) {
        m_retryAfterPolicy.onResponse(flight.rule->name, monotonicNow() - flight.arrived);
    }
    auto &expected = m_answerBytes[flight.rule->name];
    expected += (static_cast<double>(result.response.message.body().size()) - expected) * BytesWeight;
    report(flight, result, result.response.message.result_int());
    removeHopFields(result.response.message);
    return std::move(result.response);
}

void EntrySide::report(const Flight &flight, const AttemptResult &result, unsigned status) const
{
    const auto now = monotonicNow();
    const auto took = now - flight.arrived;
    const bool ran = result.outcome == Outcome::Ran;
    m_reporter.metrics.countAnswer(ran ? std::nullopt : std::optional(result.error));
    m_reporter.metrics.observe(Stage::Total, took);
    m_reporter.metrics.observeRoute(flight.rule->name, took);
    EventLine line("answered");
    line.add("id", flight.id.value())
        .add("route", flight.rule->name.value())
        .add("service", flight.service.value())
        .add("origin", flight.origin == Origin::Call ? "call" : "root")
        .add("status", std::int64_t(status))
        .add("outcome", outcomeLabel(result.outcome));
    if (!ran) {
        line.add("reason", errorRow(result.error).label);
    }
    line.add("took_ms", took)
        .add("left_ms", flight.deadline - now)
        .add("arrivals", std::int64_t(flight.arrivals))
        .add("refusals", std::int64_t(flight.refusals));
    if (flight.tried.empty()) {
        line.add("node", "none");
    } else {
        line.add("node", flight.tried.back().value()).add("estimate_ms", flight.estimate);
        if (flight.loadAge) {
            line.add("load_age_ms", *flight.loadAge);
        }
    }
    line.add("config", std::int64_t(flight.table->version().value()))
        .addNumber("part", m_admission.admittedFraction(flight.rule->name, now).value());
    if (const auto age = m_admission.fractionAge(flight.rule->name, now)) {
        line.add("part_age_ms", *age);
    }
    line.addNumber("draw", drawOf(flight.id));
    if (ran && status < 500) {
        m_reporter.routine(line);
    } else {
        m_reporter.important(line);
    }
}

} // namespace Geraniumsail
