#include "relay/upstreamproxy.h"

#include "net/httpwire.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

/// Fraction of the upstream's slots that is used. Some upstreams slow down when nearly full, and a new connection
/// occupies a slot for a short time.
constexpr double UsableSlotFraction = 0.95;
/// Time after the deadline during which a response is still accepted, so that a response that the upstream sends at the
/// deadline is not lost.
constexpr Duration ResponseGrace = std::chrono::milliseconds(100);
/// Connecting to a local upstream normally takes well under a millisecond.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// Must be shorter than the idle timeout of upstreams, which is at least about 5 s.
constexpr Duration IdleTimeout = std::chrono::seconds(3);
/// Interval between checks of idle connections. A closed connection is also detected before it is reused.
constexpr Duration IdleCheckInterval = std::chrono::milliseconds(200);
/// About as many as the upstream has slots.
constexpr std::size_t MaxIdleConnections = 64;
/// The upstream is considered terminated after this many consecutive refused connections.
constexpr int ConnectFailureThreshold = 3;
/// Weight of one response in the decaying admitted fraction of calls.
constexpr double CallFractionWeight = 0.1;
/// The queue serves root requests of the most urgent rank first, then calls, because they hold slots of the services
/// that made them, then all other root requests by rank.
constexpr PriorityClass UrgentClass{0};
constexpr PriorityClass CallClass{1};

PriorityClass priorityClass(const AttemptContext &context)
{
    if (context.origin == Origin::Call) {
        return CallClass;
    }
    return context.rank == MostUrgentRank
        ? UrgentClass
        : PriorityClass(static_cast<std::uint8_t>(CallClass.value() + context.rank.value()));
}

ErrorKind errorKindFor(TransferError error)
{
    switch (error) {
    case TransferError::PoolFull:
        return ErrorKind::ConnectionLimit;
    case TransferError::ConnectFailed:
        return ErrorKind::ConnectFailed;
    case TransferError::CancelledBeforeSend:
        return ErrorKind::CancelledBeforeStart;
    case TransferError::CancelledAfterSend:
        return ErrorKind::CancelledAfterStart;
    case TransferError::TimedOut:
        return ErrorKind::TimedOut;
    case TransferError::TruncatedAnswer:
        return ErrorKind::TruncatedAnswer;
    case TransferError::ConnectionLost:
    case TransferError::TruncatedRequest:
    case TransferError::SlowRequest:
    case TransferError::RequestTooLarge:
        return ErrorKind::ConnectionLost;
    }
    return ErrorKind::ConnectionLost;
}

/// Whether a node uses the status to state that a request did not run and will not run.
bool impliesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

/// A queued request that waits for a slot.
struct UpstreamProxy::Waiter
{
    asio::steady_timer timer;
    bool granted = false;
    std::optional<ErrorKind> refusal;
};

/// Holds a slot of the upstream, and gives it back also if an exception ends the request.
class UpstreamProxy::RunningRequest
{
public:
    RunningRequest(UpstreamProxy &proxy, const AttemptContext &context) : m_proxy(proxy), m_id(context.requestId)
    {
        m_proxy.m_runningRequests.emplace(m_id, context.route);
    }
    RunningRequest(const RunningRequest &) = delete;
    RunningRequest &operator=(const RunningRequest &) = delete;
    ~RunningRequest()
    {
        m_proxy.m_runningRequests.erase(m_proxy.m_runningRequests.find(m_id));
        m_proxy.m_queue.finish(runTime);
    }

    Duration runTime{}; ///< Zero if it must not count in the service time.

private:
    UpstreamProxy &m_proxy;
    RequestId m_id;
};

UpstreamProxy::UpstreamProxy(const asio::any_io_executor &executor, const HeaderNames &names, ServiceName service,
                             Address upstream, const Reporter &reporter)
    : m_executor(executor), m_names(names), m_service(std::move(service)), m_upstreamAddress(std::move(upstream)),
      m_reporter(reporter),
      m_upstreamClient(
          executor, ClientLimits{.idle = IdleTimeout, .idlePerAddress = MaxIdleConnections, .connect = ConnectTimeout}),
      m_gate(m_service, m_upstreamAddress)
{
}

ReportVerdict UpstreamProxy::onReport(const UpstreamReport &report)
{
    const auto now = monotonicNow();
    const bool wasOpen = m_gate.availableUpstream(now) != nullptr;
    const auto verdict = m_gate.onReport(report, now);
    if (verdict == ReportVerdict::Applied) {
        m_consecutiveConnectFailures = 0;
        updateRunningLimit();
        const bool isOpen = m_gate.availableUpstream(now) != nullptr;
        if (!isOpen) {
            refuseQueuedRequests();
        } else if (!wasOpen) {
            m_upstreamClient.dropIdle(m_upstreamAddress);
            startQueuedRequests();
        }
    } else if (wasOpen && m_gate.availableUpstream(now) == nullptr) {
        refuseQueuedRequests();
    }
    return verdict;
}

ReportVerdict UpstreamProxy::onDeregistration(const UpstreamId &id, std::int64_t startedMs)
{
    const auto verdict = m_gate.onLeave(id, startedMs, wallNow());
    if (m_gate.availableUpstream(monotonicNow()) == nullptr) {
        refuseQueuedRequests();
    }
    return verdict;
}

bool UpstreamProxy::onEarlierLeave(const UpstreamId &id, std::int64_t startedMs)
{
    const bool isNew = m_gate.restoreLeave(id, startedMs);
    if (isNew && m_gate.availableUpstream(monotonicNow()) == nullptr) {
        refuseQueuedRequests();
    }
    return isNew;
}

void UpstreamProxy::awaitEarlierLeaves()
{
    m_gate.awaitEarlierLeaves();
}

void UpstreamProxy::onEarlierLeavesKnown()
{
    m_gate.onEarlierLeavesKnown();
}

void UpstreamProxy::setConnectionLimit(Connections limit)
{
    m_upstreamClient.setConnectionLimit(m_upstreamAddress, limit.value());
}

void UpstreamProxy::beginStop()
{
    m_stopping = true;
}

void UpstreamProxy::refuseQueuedRequests()
{
    resumeWaiters(m_queue.clear(), ErrorKind::Draining);
}

void UpstreamProxy::updateRunningLimit()
{
    const auto &known = m_gate.knownUpstream();
    if (!known) {
        return;
    }
    const double slots = known->report.slots.value();
    const auto limit = static_cast<std::uint32_t>(std::floor(slots * UsableSlotFraction));
    m_queue.setLimit(std::max(1U, limit));
}

void UpstreamProxy::onCallAdmittedFraction(const RouteName &parent, AdmittedFraction fraction)
{
    m_callFractions[parent].update(fraction, CallFractionWeight, monotonicNow());
}

AdmittedFraction UpstreamProxy::admittedFraction(const RouteName &route) const
{
    const auto callFraction = m_callFractions.find(route);
    return callFraction == m_callFractions.end()
        ? m_overload.admittedFraction()
        : std::min(m_overload.admittedFraction(), callFraction->second.value(monotonicNow()));
}

void UpstreamProxy::tick()
{
    const auto now = monotonicNow();
    resumeWaiters(m_queue.expire(now), ErrorKind::QueueFull);
    m_overload.tick(now);
    startQueuedRequests();
    if (now >= m_nextIdleCheck) {
        m_nextIdleCheck = now + IdleCheckInterval;
        m_upstreamClient.closeIdle(now);
    }
}

void UpstreamProxy::updateMetrics() const
{
    m_reporter.metrics.setLoad(m_queue.load(), m_overload.admittedFraction().value());
}

void UpstreamProxy::resumeWaiters(const std::vector<WorkId> &ids, std::optional<ErrorKind> reason)
{
    for (const auto id : ids) {
        const auto waiter = m_waiters.find(id);
        if (waiter != m_waiters.end()) {
            waiter->second->granted = !reason;
            waiter->second->refusal = reason;
            waiter->second->timer.cancel();
        }
    }
}

void UpstreamProxy::startQueuedRequests()
{
    resumeWaiters(m_queue.startWaiting(monotonicNow()), std::nullopt);
}

void UpstreamProxy::addLoadState(const AttemptContext &context, AttemptResult &result) const
{
    result.load = m_queue.load();
    result.load->makesCalls = !m_recognizesCalls || !m_callFractions.empty();
    result.admittedFraction = admittedFraction(context.route);
}

AttemptResult UpstreamProxy::buildRefusal(const AttemptContext &context, ErrorKind kind, Duration waited)
{
    AttemptResult result;
    result.outcome = Outcome::NotRun;
    result.error = kind;
    result.mayBeDelivered = false;
    addLoadState(context, result);
    m_reporter.metrics.countTargetRefusal(kind);
    const auto load = m_queue.load();
    m_reporter.logImportant(EventLine("target_refused")
                                .add("id", context.requestId.value())
                                .add("reason", errorRow(kind).label)
                                .add("waited_ms", waited)
                                .add("running", std::int64_t(load.running))
                                .add("waiting", std::int64_t(load.waiting))
                                .add("limit", std::int64_t(load.limit))
                                .add("service_ms", load.serviceTime)
                                .add("left_ms", context.timeLeft)
                                .add("upstream", context.upstream.value()));
    return result;
}

std::optional<RouteName> UpstreamProxy::routeOfParent(const RequestId &id)
{
    const auto dot = id.value().rfind('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    const auto parent = m_runningRequests.find(RequestId(id.value().substr(0, dot)));
    if (parent == m_runningRequests.end()) {
        return std::nullopt;
    }
    m_recognizesCalls = true;
    return parent->second;
}

asio::awaitable<std::optional<ErrorKind>>
UpstreamProxy::waitForSlot(const AttemptContext &context, MonotonicTime arrivalTime, Cancellation &cancellation)
{
    const WorkId id(m_nextWorkId++);
    const WorkItem item{id, priorityClass(context), arrivalTime + context.timeLeft, context.maxWait,
                        m_runTimes.mean(context.route).value_or(WorkQueue::InitialServiceTime)};
    const auto offerResult = m_queue.offer(item, arrivalTime);
    if (offerResult == OfferResult::WaitTooLong) {
        m_overload.onRefused();
        co_return ErrorKind::QueueFull;
    }
    if (offerResult == OfferResult::DeadlineTooNear) {
        co_return ErrorKind::DeadlineBeforeStart;
    }
    if (offerResult == OfferResult::Started) {
        m_overload.onStarted(Duration(0));
        co_return std::nullopt;
    }
    Waiter waiter{
        asio::steady_timer(m_executor, toSteady(arrivalTime + std::min(context.timeLeft, context.maxWait))), false, {}};
    m_waiters.emplace(id, &waiter);
    const auto registration = cancellation.onCancel([&waiter] { waiter.timer.cancel(); });
    co_await waiter.timer.async_wait(AsTuple);
    m_waiters.erase(id);
    if (waiter.granted) {
        m_overload.onStarted(monotonicNow() - arrivalTime);
        co_return std::nullopt;
    }
    m_queue.remove(id);
    if (cancellation.isCancelled()) {
        co_return ErrorKind::CancelledBeforeStart;
    }
    m_overload.onRefused();
    co_return waiter.refusal.value_or(ErrorKind::QueueFull);
}

asio::awaitable<AttemptResult> UpstreamProxy::deliver(AttemptContext context, HttpRequest request,
                                                      Cancellation &cancellation)
{
    const auto arrivalTime = monotonicNow();
    m_recognizesCalls = m_recognizesCalls || context.origin == Origin::Call;
    const auto *upstream = m_gate.availableUpstream(arrivalTime);
    const bool isOtherUpstream =
        upstream != nullptr && !context.upstream.empty() && context.upstream != upstream->report.id;
    if (upstream == nullptr || context.service != m_service || isOtherUpstream) {
        const auto &known = m_gate.knownUpstream();
        const bool isNotReady = known && known->report.phase != UpstreamPhase::Ready;
        co_return buildRefusal(context, isNotReady ? ErrorKind::Draining : ErrorKind::NoUpstream, Duration(0));
    }
    const auto refusal = co_await waitForSlot(context, arrivalTime, cancellation);
    const auto now = monotonicNow();
    if (refusal) {
        co_return buildRefusal(context, *refusal, now - arrivalTime);
    }
    m_reporter.metrics.observe(Stage::Queue, now - arrivalTime);
    // The upstream may have become unavailable while the request was queued.
    std::optional<ErrorKind> refusalReason;
    if (m_gate.availableUpstream(now) == nullptr) {
        refusalReason = ErrorKind::Draining;
    } else if (cancellation.isCancelled()) {
        refusalReason = ErrorKind::CancelledBeforeStart;
    } else if (now >= arrivalTime + context.timeLeft) {
        refusalReason = ErrorKind::DeadlineBeforeStart;
    }
    if (refusalReason) {
        m_queue.finish(Duration(0));
        startQueuedRequests();
        co_return buildRefusal(context, *refusalReason, now - arrivalTime);
    }
    AttemptResult result;
    {
        RunningRequest running(*this, context);
        result = co_await forward(context, std::move(request), arrivalTime + context.timeLeft, cancellation);
        if (result.outcome == Outcome::Ran) {
            running.runTime = monotonicNow() - now;
        }
    }
    if (result.outcome == Outcome::Ran && result.response.message.result_int() < 300) {
        m_runTimes.add(context.route, monotonicNow() - now);
    }
    startQueuedRequests();
    addLoadState(context, result);
    co_return result;
}

asio::awaitable<AttemptResult> UpstreamProxy::forward(const AttemptContext &context, HttpRequest request,
                                                      MonotonicTime deadline, Cancellation &cancellation)
{
    const auto started = monotonicNow();
    const auto expected = m_gate.knownUpstream()->report.id;
    auto &message = request.message;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - started);
    message.set(m_names.timeoutMs, std::to_string(std::max<std::int64_t>(1, remaining.count())));
    message.set(m_names.expectedUpstream, expected.value());
    message.set(m_names.callerService, context.callerService.value());
    ExchangeOptions options;
    options.deadline = deadline + ResponseGrace;
    options.cancellation = &cancellation;
    options.newConnection = context.repeatability == Repeatability::AtMostOnce;
    options.closeDelimited = true;
    options.echoField = m_names.requestId;
    auto response = co_await m_upstreamClient.send(m_upstreamAddress, std::move(request), options);
    m_reporter.metrics.observe(Stage::Upstream, monotonicNow() - started);
    if (response) {
        m_consecutiveConnectFailures = 0;
        co_return classifyResponse(context, expected, std::move(*response));
    }
    AttemptResult result;
    result.error = errorKindFor(response.error());
    result.outcome = errorRow(result.error).outcome;
    result.mayBeDelivered = result.outcome != Outcome::NotRun;
    if (result.error == ErrorKind::ConnectFailed && ++m_consecutiveConnectFailures >= ConnectFailureThreshold) {
        m_gate.onConnectionRefused(expected);
        refuseQueuedRequests();
        m_reporter.logImportant(EventLine("upstream_unreachable").add("upstream", expected.value()));
    }
    m_reporter.logImportant(EventLine("delivery_failed")
                                .add("id", context.requestId.value())
                                .add("reason", errorRow(result.error).label)
                                .add("upstream", expected.value())
                                .add("took_ms", monotonicNow() - started)
                                .add("left_ms", deadline - monotonicNow()));
    co_return result;
}

AttemptResult UpstreamProxy::classifyResponse(const AttemptContext &context, const UpstreamId &expected,
                                              HttpResponse response)
{
    AttemptResult result;
    result.mayBeDelivered = true;
    const auto status = response.message.result_int();
    const bool isSigned = response.message.count(m_names.signature) > 0;
    const bool notExecuted = response.message.count(m_names.notExecuted) > 0;
    if (status == 421) {
        result.outcome = Outcome::NotRun;
        result.error = ErrorKind::NoUpstream;
        result.mayBeDelivered = false;
        m_gate.onIncarnationMismatch(expected);
        refuseQueuedRequests();
    } else if (notExecuted) {
        result.outcome = Outcome::NotRun;
        result.error = ErrorKind::UpstreamShed;
    } else if (!isSigned || impliesNotRun(status)) {
        // An unsigned response may come from something other than the upstream. A status that means "not run" must not
        // be passed on unless the upstream confirms it with the not-executed header.
        result.outcome = Outcome::Unknown;
        result.error = ErrorKind::TruncatedAnswer;
    } else {
        result.outcome = Outcome::Ran;
        result.response = std::move(response);
        return result;
    }
    m_reporter.logImportant(EventLine("upstream_answer_rejected")
                                .add("id", context.requestId.value())
                                .add("reason", errorRow(result.error).label)
                                .add("status", std::int64_t(status))
                                .add("signed", isSigned ? "yes" : "no")
                                .add("upstream", expected.value()));
    return result;
}

} // namespace Geraniumsail
