#include "relay/requestrouter.h"

#include "core/text.h"
#include "net/clock.h"
#include "net/httpwire.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

/// Timeout of a request whose caller states none.
constexpr Duration DefaultTimeout = std::chrono::seconds(10);
/// Time after the deadline during which a response from another node is still accepted. Covers the grace period of the
/// target node and the network latency.
constexpr Duration PeerResponseGrace = std::chrono::milliseconds(160);
/// Connecting to a live node takes at most one round trip between regions (40 ms) and the retransmission of one packet.
constexpr Duration PeerConnectTimeout = std::chrono::milliseconds(400);
/// Must be shorter than the idle timeout of a node's server (60 s).
constexpr Duration PeerIdleTimeout = std::chrono::seconds(10);
/// Interval between checks of all idle connections. Each connection costs a system call.
constexpr Duration IdleCheckInterval = std::chrono::seconds(1);
/// Per node. A hundred nodes share the connections that one node accepts.
constexpr std::size_t MaxIdlePeerConnections = 16;
/// A connection is considered dead if sent bytes stay unacknowledged for this long; a round trip takes 40 ms.
constexpr Duration PeerUnacknowledgedTimeout = std::chrono::milliseconds(1000);
/// Another attempt follows an undelivered one while the request has at most this many undelivered attempts.
constexpr std::size_t MaxUndeliveredAttempts = 3;
/// Fraction of the route's latency target that a request may wait in one queue. Calls and root requests of the most
/// urgent rank may wait longer: refusing a call wastes the work already done for its root request, and there are few
/// root requests of that rank.
constexpr double RootQueueWaitFraction = 0.25;
constexpr double UrgentQueueWaitFraction = 0.5;
/// Upper limit of a body's size in the choice of an upstream; the largest body that the listener accepts.
constexpr std::uint64_t MaxExpectedBytes = 64ULL * 1024 * 1024;
/// Minimum time before the deadline for another attempt.
constexpr Duration MinRetryTimeLeft = std::chrono::milliseconds(30);
/// Weight of one response in the moving average of a route's response size.
constexpr double ResponseBytesWeight = 0.1;
/// Retry-After of responses sent while the node has no configuration or no available upstream.
constexpr Duration StartupRetryAfter = std::chrono::milliseconds(500);

/// Maps the request id to a uniformly distributed number in [0, 1), which is the same on all nodes.
double admissionDraw(const RequestId &id)
{
    constexpr double range = 1U << 24U;
    return static_cast<double>(std::hash<std::string>()(id.value()) & 0xffffffU) / range;
}

/// Formats a Retry-After value: seconds with two decimals.
std::string formatSeconds(Duration duration)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(duration).count());
    return text.data();
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

const char *transferErrorLabel(TransferError error)
{
    switch (error) {
    case TransferError::TimedOut:
        return "timed-out";
    case TransferError::CancelledBeforeSend:
    case TransferError::CancelledAfterSend:
        return "cancelled";
    default:
        return "truncated-answer";
    }
}

/// The rest of a long response. Logs why it was broken off: the response was reported as "answered" before.
class ReportedRest : public BodyReader
{
public:
    ReportedRest(std::unique_ptr<BodyReader> source, const Reporter &reporter, RequestId id)
        : m_source(std::move(source)), m_reporter(reporter), m_id(std::move(id))
    {
    }
    asio::awaitable<boost::system::result<std::string, TransferError>> next() override
    {
        auto part = co_await m_source->next();
        if (!part) {
            m_reporter.logImportant(EventLine("answer_cut")
                                        .add("id", m_id.value())
                                        .add("reason", transferErrorLabel(part.error()))
                                        .add("bytes", static_cast<std::int64_t>(m_bytes)));
        } else {
            m_bytes += part->size();
        }
        co_return part;
    }

private:
    std::unique_ptr<BodyReader> m_source;
    const Reporter &m_reporter;
    RequestId m_id;
    std::uint64_t m_bytes = 0; ///< Passed on, without the first part.
};

} // namespace

/// State of one request from its arrival to its response.
struct RequestRouter::RequestState
{
    std::shared_ptr<const RouteTable> table; ///< Owns rule.
    const RouteRule *rule = nullptr;
    ServiceName service;
    RequestId id;
    Origin origin = Origin::Root;
    std::optional<RouteName> parentRoute; ///< Route of the request that a call was made for; empty for root requests.
    MonotonicTime arrivalTime;
    MonotonicTime deadline;
    std::vector<NodeName> triedNodes;
    std::uint64_t requestBytes = 0;
    int deliveredAttempts = 0; ///< Attempts that an upstream received or may have received.
    std::size_t undeliveredAttempts = 0; ///< Attempts that certainly reached no upstream.
    bool mayHaveRun = false; ///< An attempt ran, or its outcome is unknown.
    Duration latencyEstimate{}; ///< Of the last attempt, as estimated when its upstream was chosen.
    std::optional<Duration> loadReportAge; ///< Age of the load report that latencyEstimate is based on.
};

RequestRouter::RequestRouter(const asio::any_io_executor &executor, const HeaderNames &names,
                             const RelaySettings &settings, UpstreamProxy &upstreamProxy, const Reporter &reporter)
    : m_names(names), m_settings(settings), m_upstreamProxy(upstreamProxy), m_reporter(reporter),
      m_peerClient(executor,
                   ClientLimits{.idle = PeerIdleTimeout,
                                .idlePerAddress = MaxIdlePeerConnections,
                                .connect = PeerConnectTimeout,
                                .unacknowledged = PeerUnacknowledgedTimeout}),
      m_routes(std::make_shared<const RouteTable>()),
      m_loadBalancer({settings.node, settings.dataCentre, settings.region}),
      m_redeliveryBudget(settings.redeliveryRatio), m_random(std::hash<std::string>()(settings.node.value()))
{
}

bool RequestRouter::setRoutes(RouteTable table)
{
    if (table.version() <= m_routes->version()) {
        return false;
    }
    if (const auto *rule = table.service(m_settings.service)) {
        m_upstreamProxy.setConnectionLimit(rule->maxConnections);
    }
    m_routes = std::make_shared<const RouteTable>(std::move(table));
    m_reporter.metrics.setConfigVersion(m_routes->version());
    return true;
}

void RequestRouter::tick()
{
    const auto now = monotonicNow();
    if (now >= m_nextIdleCheck) {
        m_nextIdleCheck = now + IdleCheckInterval;
        m_peerClient.closeIdle(now);
    }
    for (const auto &node : m_directory.prune(now)) {
        m_loadBalancer.forget(node);
        m_reporter.logImportant(EventLine("entry_removed").add("node", node.value()).add("reason", "lapsed"));
    }
}

HttpResponse RequestRouter::refuseUnrouted(const HttpRequest &request, ErrorKind kind)
{
    auto response = errorResponse(kind);
    if (kind == ErrorKind::NoUpstream) {
        response.message.set("Retry-After", formatSeconds(StartupRetryAfter));
    }
    m_reporter.metrics.countAnswer(kind);
    m_reporter.logImportant(EventLine("unrouted")
                                .add("id", fieldValue(request.message, m_names.requestId))
                                .add("host", fieldValue(request.message, "Host"))
                                .add("path", std::string_view(request.message.target()))
                                .add("config", std::int64_t(m_routes->version().value()))
                                .add("reason", errorRow(kind).label));
    return response;
}

asio::awaitable<HttpResponse> RequestRouter::handle(HttpRequest request, RequestScope &scope)
{
    if (!hasRoutes()) {
        co_return refuseUnrouted(request, ErrorKind::NoUpstream);
    }
    if (fieldValue(request.message, m_names.requestId).empty()) {
        co_return refuseUnrouted(request, ErrorKind::BadRequest);
    }
    auto state = routeRequest(request);
    if (!state) {
        co_return refuseUnrouted(request, ErrorKind::UnknownService);
    }
    // It could be cut when the process ends, and an unrepeatable one must not be.
    if (m_stopDeadline && state->deadline > *m_stopDeadline) {
        co_return buildErrorResponse(*state, ErrorKind::Draining);
    }
    const bool isRoot = state->origin == Origin::Root && m_upstreamProxy.recognizesCalls();
    if (isRoot && !m_rootAdmission.admit(*state->rule, admissionDraw(state->id), state->arrivalTime)) {
        m_reporter.metrics.countRootRefusal();
        co_return buildErrorResponse(*state, ErrorKind::EarlyRefusal);
    }
    ++m_activeRequests;
    auto result = co_await runAttempts(*state, std::move(request), scope.cancellation);
    --m_activeRequests;
    co_return buildResponse(*state, std::move(result));
}

std::optional<RequestRouter::RequestState> RequestRouter::routeRequest(const HttpRequest &request)
{
    const auto &message = request.message;
    RequestState state;
    state.table = m_routes;
    state.rule = m_routes->match(fieldValue(message, "Host"), std::string_view(message.target()));
    if (state.rule == nullptr) {
        return std::nullopt;
    }
    state.service = m_trafficSplitter.pick(*state.rule);
    state.id = RequestId(std::string(fieldValue(message, m_names.requestId)));
    state.parentRoute = m_upstreamProxy.routeOfParent(state.id);
    state.origin = state.parentRoute ? Origin::Call : Origin::Root;
    state.arrivalTime = monotonicNow();
    state.requestBytes =
        std::min(parseNumber<std::uint64_t>(fieldValue(message, "Content-Length")).value_or(message.body().size()),
                 MaxExpectedBytes);
    const auto requestedTimeoutMs = parseNumber<std::int64_t>(fieldValue(message, m_names.timeoutMs));
    const Duration requestedTimeout = requestedTimeoutMs && *requestedTimeoutMs >= 0
        ? Duration(std::chrono::milliseconds(*requestedTimeoutMs))
        : DefaultTimeout;
    state.deadline = state.arrivalTime + std::min(requestedTimeout, state.rule->timeout);
    return state;
}

asio::awaitable<AttemptResult> RequestRouter::runAttempts(RequestState &state, HttpRequest request,
                                                          Cancellation &cancellation)
{
    AttemptResult result;
    result.outcome = Outcome::NotRun;
    result.error = ErrorKind::NoUpstream;
    removeHopFields(request.message);
    removeNodeFields(request.message);
    bool shouldSend = true;
    while (shouldSend) {
        const auto now = monotonicNow();
        const auto candidates = m_directory.candidates(state.service);
        const auto *chosen = m_loadBalancer.pick(candidates, state.triedNodes, expectedBytes(state), now, m_random);
        if (chosen == nullptr) {
            break;
        }
        state.triedNodes.push_back(chosen->entry.node);
        state.latencyEstimate = m_loadBalancer.estimate(*chosen, expectedBytes(state), now);
        state.loadReportAge = m_loadBalancer.loadAge(chosen->entry.node, now);
        // Copied because the entry may be removed from the directory while the attempt runs.
        const KnownEntry target = *chosen;
        const bool isStreamed = request.rest != nullptr;
        HttpRequest copy;
        copy.message = request.message;
        copy.rest = std::move(request.rest);
        result = co_await sendAttempt(state, target, std::move(copy), cancellation);
        shouldSend = !isStreamed && shouldRetry(state, result) && !cancellation.isCancelled();
        if (shouldSend) {
            m_reporter.metrics.countRetry(result.error);
            m_reporter.logImportant(EventLine("retry")
                                        .add("id", state.id.value())
                                        .add("after", errorRow(result.error).label)
                                        .add("node", target.entry.node.value())
                                        .add("arrivals", std::int64_t(state.deliveredAttempts))
                                        .add("budget", std::int64_t(m_redeliveryBudget.tokens(state.service)))
                                        .add("left_ms", state.deadline - monotonicNow()));
        }
    }
    co_return result;
}

ByteCount RequestRouter::expectedBytes(const RequestState &state) const
{
    const auto smoothed = m_responseBytes.find(state.rule->name);
    const double expected = smoothed == m_responseBytes.end() ? 0 : smoothed->second;
    return ByteCount(state.requestBytes + static_cast<std::uint64_t>(expected));
}

asio::awaitable<AttemptResult> RequestRouter::sendAttempt(RequestState &state, const KnownEntry &chosen,
                                                          HttpRequest request, Cancellation &cancellation)
{
    const auto now = monotonicNow();
    const auto &rule = *state.rule;
    AttemptContext context;
    context.requestId = state.id;
    context.route = rule.name;
    context.service = state.service;
    context.upstream = chosen.entry.upstream;
    context.callerService = m_settings.service;
    context.origin = state.origin;
    context.repeatability = rule.repeatability;
    context.rank = rule.rank;
    context.timeLeft = std::max(Duration(0), state.deadline - now);
    const bool mayWaitLonger = state.origin == Origin::Call || rule.rank == MostUrgentRank;
    context.maxWait = scaled(rule.latencyTarget, mayWaitLonger ? UrgentQueueWaitFraction : RootQueueWaitFraction);
    context.configVersion = state.table->version();
    m_loadBalancer.onSent(chosen.entry.node, now);
    if (state.deliveredAttempts == 0 && state.undeliveredAttempts == 0) {
        m_redeliveryBudget.onFirstDelivery(state.service, redeliveryPriority(state));
    }
    const bool isLocal = chosen.entry.node == m_settings.node;
    AttemptResult result;
    // GCC 12 miscompiles co_await in both branches of a conditional expression.
    if (isLocal) {
        result = co_await m_upstreamProxy.deliver(context, std::move(request), cancellation);
    } else {
        result = co_await sendToPeer(chosen.entry.peer, context, std::move(request), cancellation);
        m_reporter.metrics.observe(Stage::Peer, monotonicNow() - now);
    }
    if (result.mayBeDelivered) {
        ++state.deliveredAttempts;
    } else {
        ++state.undeliveredAttempts;
    }
    state.mayHaveRun = state.mayHaveRun || result.outcome != Outcome::NotRun;
    recordResult(state, chosen, result);
    co_return result;
}

asio::awaitable<AttemptResult> RequestRouter::sendToPeer(const Address &peer, const AttemptContext &context,
                                                         HttpRequest request, Cancellation &cancellation)
{
    writeContext(context, request.message);
    // The target node sets these anew for the upstream. Bytes between data centres are charged.
    request.message.erase(m_names.timeoutMs);
    request.message.erase(m_names.callerService);
    ExchangeOptions options;
    options.deadline = monotonicNow() + context.timeLeft + PeerResponseGrace;
    options.cancellation = &cancellation;
    auto response = co_await m_peerClient.send(peer, std::move(request), options);
    if (response) {
        co_return decodeResult(std::move(*response));
    }
    AttemptResult result;
    switch (response.error()) {
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
        m_peerClient.dropIdle(peer);
        break;
    case TransferError::TruncatedAnswer:
        result.error = ErrorKind::TruncatedAnswer;
        break;
    case TransferError::ConnectionLost:
    case TransferError::TruncatedRequest:
    case TransferError::SlowRequest:
    case TransferError::RequestTooLarge:
        result.error = ErrorKind::ConnectionLost;
        m_peerClient.dropIdle(peer);
        break;
    }
    result.outcome = errorRow(result.error).outcome;
    result.mayBeDelivered = result.outcome != Outcome::NotRun;
    co_return result;
}

void RequestRouter::recordResult(const RequestState &state, const KnownEntry &chosen, const AttemptResult &result)
{
    const auto now = monotonicNow();
    const auto &node = chosen.entry.node;
    const bool serverFailed = result.outcome == Outcome::Ran && result.response.message.result_int() >= 500;
    m_loadBalancer.onEnded(node, serverFailed || (result.mayBeDelivered && result.outcome != Outcome::Ran), now);
    if (result.load) {
        m_loadBalancer.onLoad(node, *result.load, now);
        m_redeliveryBudget.setMakesCalls(state.service, result.load->makesCalls);
    }
    if (result.admittedFraction) {
        m_rootAdmission.onResponse(state.rule->name, *result.admittedFraction, now);
        if (state.parentRoute) {
            m_upstreamProxy.onCallAdmittedFraction(*state.parentRoute, *result.admittedFraction);
        }
    }
    const bool isUnreachable = result.error == ErrorKind::ConnectFailed || result.error == ErrorKind::Draining
        || result.error == ErrorKind::NoUpstream;
    const bool isLost = !result.load && result.error == ErrorKind::ConnectionLost;
    if (result.outcome != Outcome::Ran && (isUnreachable || isLost)) {
        m_loadBalancer.onUnreachable(node, now);
        if (m_directory.onUnreachable(node) == DirectoryChange::Removed) {
            m_reporter.logImportant(
                EventLine("entry_removed").add("node", node.value()).add("reason", errorRow(result.error).label));
        }
    }
}

RedeliveryPriority RequestRouter::redeliveryPriority(const RequestState &state)
{
    const bool isUrgent = state.origin == Origin::Root && state.rule->rank == MostUrgentRank;
    return isUrgent ? RedeliveryPriority::Urgent : RedeliveryPriority::Normal;
}

bool RequestRouter::shouldRetry(RequestState &state, const AttemptResult &result)
{
    if (state.deadline - monotonicNow() < MinRetryTimeLeft) {
        return false;
    }
    if (result.outcome == Outcome::NotRun && !result.mayBeDelivered) {
        const bool otherNodeMayAccept =
            result.error != ErrorKind::DeadlineBeforeStart && result.error != ErrorKind::CancelledBeforeStart;
        return otherNodeMayAccept && state.undeliveredAttempts <= MaxUndeliveredAttempts;
    }
    const bool idempotent = state.rule->repeatability == Repeatability::Idempotent;
    const bool rejectedByUpstream = result.outcome == Outcome::NotRun;
    const bool repeatableUnknown =
        result.outcome == Outcome::Unknown && idempotent && result.error != ErrorKind::CancelledAfterStart;
    // Callers retry failed root requests themselves. Nobody else retries a call, and a failed call wastes the work
    // already done for its root request.
    const bool isFailedCall = result.outcome == Outcome::Ran && idempotent && state.origin == Origin::Call
        && result.response.message.result_int() == 500 && !result.response.rest;
    if (!(rejectedByUpstream || repeatableUnknown || isFailedCall)
        || state.deliveredAttempts >= state.rule->maxAttempts) {
        return false;
    }
    if (!m_redeliveryBudget.take(state.service, redeliveryPriority(state))) {
        m_reporter.metrics.countRetryRefusal();
        return false;
    }
    return true;
}

Duration RequestRouter::retryAfterDelay(const RequestState &state, ErrorKind kind)
{
    if (kind == ErrorKind::NoUpstream || kind == ErrorKind::Draining) {
        return StartupRetryAfter;
    }
    return m_retryAfterPolicy.delay(*state.rule, m_random);
}

HttpResponse RequestRouter::buildErrorResponse(const RequestState &state, ErrorKind kind)
{
    auto response = errorResponse(kind);
    auto &message = response.message;
    const auto outcome = errorRow(kind).outcome;
    if (outcome == Outcome::NotRun) {
        // Requests that certainly did not run all get this status, so that callers can retry even unrepeatable ones.
        message.result(503);
        message.set("Retry-After", formatSeconds(retryAfterDelay(state, kind)));
    }
    AttemptResult result;
    result.outcome = outcome;
    result.error = kind;
    reportResponse(state, result, message.result_int());
    return response;
}

HttpResponse RequestRouter::buildResponse(const RequestState &state, AttemptResult result)
{
    if (result.outcome != Outcome::Ran) {
        // A refusal of the last attempt does not prove that no earlier attempt ran.
        if (result.outcome == Outcome::NotRun && state.mayHaveRun) {
            return buildErrorResponse(state, ErrorKind::ConnectionLost);
        }
        return buildErrorResponse(state, result.error);
    }
    if (result.response.message.result_int() < 300) {
        m_retryAfterPolicy.onResponse(state.rule->name, monotonicNow() - state.arrivalTime);
    }
    auto &averageBytes = m_responseBytes[state.rule->name];
    averageBytes += (static_cast<double>(result.response.message.body().size()) - averageBytes) * ResponseBytesWeight;
    reportResponse(state, result, result.response.message.result_int());
    removeHopFields(result.response.message);
    if (result.response.rest) {
        result.response.rest = std::make_unique<ReportedRest>(std::move(result.response.rest), m_reporter, state.id);
    }
    return std::move(result.response);
}

void RequestRouter::reportResponse(const RequestState &state, const AttemptResult &result, unsigned status) const
{
    const auto now = monotonicNow();
    const auto elapsed = now - state.arrivalTime;
    const bool ran = result.outcome == Outcome::Ran;
    m_reporter.metrics.countAnswer(ran ? std::nullopt : std::optional(result.error));
    m_reporter.metrics.observe(Stage::Total, elapsed);
    m_reporter.metrics.observeRoute(state.rule->name, elapsed);
    EventLine line("answered");
    line.add("id", state.id.value())
        .add("route", state.rule->name.value())
        .add("service", state.service.value())
        .add("origin", state.origin == Origin::Call ? "call" : "root")
        .add("status", std::int64_t(status))
        .add("outcome", outcomeLabel(result.outcome));
    if (!ran) {
        line.add("reason", errorRow(result.error).label);
    }
    line.add("took_ms", elapsed)
        .add("left_ms", state.deadline - now)
        .add("arrivals", std::int64_t(state.deliveredAttempts))
        .add("refusals", std::int64_t(state.undeliveredAttempts));
    if (state.triedNodes.empty()) {
        line.add("node", "none");
    } else {
        line.add("node", state.triedNodes.back().value()).add("estimate_ms", state.latencyEstimate);
        if (state.loadReportAge) {
            line.add("load_age_ms", *state.loadReportAge);
        }
    }
    line.add("config", std::int64_t(state.table->version().value()))
        .addNumber("part", m_rootAdmission.admittedFraction(state.rule->name, now).value());
    if (const auto age = m_rootAdmission.fractionAge(state.rule->name, now)) {
        line.add("part_age_ms", *age);
    }
    line.addNumber("draw", admissionDraw(state.id));
    if (ran && status < 500) {
        m_reporter.logRoutine(line);
    } else {
        m_reporter.logImportant(line);
    }
}

} // namespace Geraniumsail
