#include "relay/targetside.h"

#include "net/httpwire.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

/// Part of the upstream's slots that is used. Some upstreams slow down when nearly full, and a new connection holds a
/// slot for a moment.
constexpr double UsedSlots = 0.95;
/// Time beyond the deadline that an answer may take: the upstream's own answer at the deadline is better than none.
constexpr Duration AnswerGrace = std::chrono::milliseconds(100);
/// A local connection is established in well under a millisecond.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// Upstreams close idle connections after some seconds, at the soonest about five.
constexpr Duration IdleTime = std::chrono::seconds(3);
/// Between two passes over idle connections; a connection that the upstream closed is noticed before its next use, too.
constexpr Duration CleanInterval = std::chrono::milliseconds(200);
/// Idle connections kept to the upstream: about as many as it has slots.
constexpr std::size_t IdleConnections = 64;
/// Refused connections in a row after which the upstream is taken as ended.
constexpr int RefusedConnectionLimit = 3;
/// Weight of one call's answer.
constexpr double CallFractionWeight = 0.1;
/// Order of service: root requests of the most urgent rank, then calls, because they hold slots of the services above,
/// then all other root requests by rank.
constexpr PriorityClass UrgentClass{0};
constexpr PriorityClass CallClass{1};

PriorityClass classOf(const AttemptContext &context)
{
    if (context.origin == Origin::Call) {
        return CallClass;
    }
    return context.rank == MostUrgentRank
        ? UrgentClass
        : PriorityClass(static_cast<std::uint8_t>(CallClass.value() + context.rank.value()));
}

ErrorKind errorOf(TransferError error)
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

/// Statuses by which a node promises that a request has not run and will not.
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

/// A request that waits for a slot.
struct TargetSide::Waiter
{
    asio::steady_timer timer;
    bool granted = false;
    std::optional<ErrorKind> refused;
};

TargetSide::TargetSide(const asio::any_io_executor &executor, const HeaderNames &names, ServiceName service,
                       Address upstream, const Reporter &reporter)
    : m_executor(executor), m_names(names), m_service(std::move(service)), m_address(std::move(upstream)),
      m_reporter(reporter),
      m_client(executor, ClientLimits{.idle = IdleTime, .idlePerAddress = IdleConnections, .connect = ConnectTimeout}),
      m_gate(m_service, m_address)
{
}

ReportVerdict TargetSide::onReport(const UpstreamReport &report)
{
    const auto now = monotonicNow();
    const bool wasOpen = m_gate.availableUpstream(now) != nullptr;
    const auto verdict = m_gate.onReport(report, now);
    if (verdict == ReportVerdict::Applied) {
        m_refusedConnections = 0;
        updateLimit();
        const bool isOpen = m_gate.availableUpstream(now) != nullptr;
        if (!isOpen) {
            closeGate();
        } else if (!wasOpen) {
            m_client.dropIdle(m_address);
            startWaiting();
        }
    }
    return verdict;
}

ReportVerdict TargetSide::onLeave(const UpstreamId &id, std::int64_t startedMs)
{
    const auto verdict = m_gate.onLeave(id, startedMs);
    if (m_gate.availableUpstream(monotonicNow()) == nullptr) {
        closeGate();
    }
    return verdict;
}

void TargetSide::setConnectionLimit(Connections limit)
{
    m_client.setConnectionLimit(m_address, limit.value());
}

void TargetSide::beginStop()
{
    m_stopping = true;
}

void TargetSide::closeGate()
{
    wake(m_queue.clear(), ErrorKind::Draining);
}

void TargetSide::updateLimit()
{
    const auto &known = m_gate.knownUpstream();
    if (!known) {
        return;
    }
    const double slots = known->report.slots.value();
    const auto limit = static_cast<std::uint32_t>(std::floor(slots * UsedSlots));
    m_queue.setLimit(std::max(1U, limit));
}

void TargetSide::onCallFraction(const RouteName &parent, AdmittedFraction fraction)
{
    m_callFractions[parent].update(fraction, CallFractionWeight, monotonicNow());
}

AdmittedFraction TargetSide::admittedFraction(const RouteName &route) const
{
    const auto learned = m_callFractions.find(route);
    return learned == m_callFractions.end()
        ? m_overload.admittedFraction()
        : std::min(m_overload.admittedFraction(), learned->second.value(monotonicNow()));
}

void TargetSide::tick()
{
    const auto now = monotonicNow();
    wake(m_queue.expire(now), ErrorKind::QueueFull);
    m_overload.tick(now);
    startWaiting();
    if (now >= m_cleanAt) {
        m_cleanAt = now + CleanInterval;
        m_client.closeIdle(now);
    }
    m_reporter.metrics.setLoad(m_queue.load(), m_overload.admittedFraction().value());
}

void TargetSide::wake(const std::vector<WorkId> &ids, std::optional<ErrorKind> reason)
{
    for (const auto id : ids) {
        const auto waiter = m_waiters.find(id);
        if (waiter != m_waiters.end()) {
            waiter->second->granted = !reason;
            waiter->second->refused = reason;
            waiter->second->timer.cancel();
        }
    }
}

void TargetSide::startWaiting()
{
    wake(m_queue.startWaiting(monotonicNow()), std::nullopt);
}

void TargetSide::addState(const AttemptContext &context, AttemptResult &result) const
{
    result.load = m_queue.load();
    result.load->makesCalls = !m_recognizesCalls || !m_callFractions.empty();
    result.admittedFraction = admittedFraction(context.route);
}

AttemptResult TargetSide::refusal(const AttemptContext &context, ErrorKind kind, Duration waited)
{
    AttemptResult result;
    result.outcome = Outcome::NotRun;
    result.error = kind;
    result.arrived = false;
    addState(context, result);
    m_reporter.metrics.countTargetRefusal(kind);
    const auto load = m_queue.load();
    m_reporter.important(EventLine("target_refused")
                             .add("id", context.request.value())
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

std::optional<RouteName> TargetSide::routeOfParent(const RequestId &id)
{
    const auto dot = id.value().rfind('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    const auto parent = m_running.find(RequestId(id.value().substr(0, dot)));
    if (parent == m_running.end()) {
        return std::nullopt;
    }
    m_recognizesCalls = true;
    return parent->second;
}

asio::awaitable<std::optional<ErrorKind>> TargetSide::waitForSlot(const AttemptContext &context, MonotonicTime arrived,
                                                                  Cancellation &cancellation)
{
    const WorkId id(m_nextId++);
    const WorkItem item{id, classOf(context), arrived + context.timeLeft, context.maxWait,
                        m_runTimes.mean(context.route).value_or(WorkQueue::InitialServiceTime)};
    const auto offered = m_queue.offer(item, arrived);
    if (offered == OfferResult::WaitTooLong) {
        m_overload.onRefused();
        co_return ErrorKind::QueueFull;
    }
    if (offered == OfferResult::DeadlineTooNear) {
        co_return ErrorKind::DeadlineBeforeStart;
    }
    if (offered == OfferResult::Started) {
        m_overload.onStarted(Duration(0));
        co_return std::nullopt;
    }
    Waiter waiter{
        asio::steady_timer(m_executor, toSteady(arrived + std::min(context.timeLeft, context.maxWait))), false, {}};
    m_waiters.emplace(id, &waiter);
    const auto registration = cancellation.onCancel([&waiter] { waiter.timer.cancel(); });
    co_await waiter.timer.async_wait(AsTuple);
    m_waiters.erase(id);
    if (waiter.granted) {
        m_overload.onStarted(monotonicNow() - arrived);
        co_return std::nullopt;
    }
    m_queue.remove(id);
    if (cancellation.isCancelled()) {
        co_return ErrorKind::CancelledBeforeStart;
    }
    m_overload.onRefused();
    co_return waiter.refused.value_or(ErrorKind::QueueFull);
}

asio::awaitable<AttemptResult> TargetSide::deliver(AttemptContext context, HttpRequest request,
                                                   Cancellation &cancellation)
{
    const auto arrived = monotonicNow();
    m_recognizesCalls = m_recognizesCalls || context.origin == Origin::Call;
    const auto *upstream = m_gate.availableUpstream(arrived);
    const bool wrongInstance =
        upstream != nullptr && !context.upstream.empty() && context.upstream != upstream->report.id;
    if (upstream == nullptr || context.service != m_service || wrongInstance) {
        const auto &known = m_gate.knownUpstream();
        const bool left = known && known->report.phase != UpstreamPhase::Ready;
        co_return refusal(context, left ? ErrorKind::Draining : ErrorKind::NoUpstream, Duration(0));
    }
    const auto refused = co_await waitForSlot(context, arrived, cancellation);
    const auto now = monotonicNow();
    if (refused) {
        co_return refusal(context, *refused, now - arrived);
    }
    m_reporter.metrics.observe(Stage::Queue, now - arrived);
    // The upstream may have left while the request waited.
    std::optional<ErrorKind> late;
    if (m_gate.availableUpstream(now) == nullptr) {
        late = ErrorKind::Draining;
    } else if (cancellation.isCancelled()) {
        late = ErrorKind::CancelledBeforeStart;
    } else if (now >= arrived + context.timeLeft) {
        late = ErrorKind::DeadlineBeforeStart;
    }
    if (late) {
        m_queue.finish(Duration(0));
        startWaiting();
        co_return refusal(context, *late, now - arrived);
    }
    m_running.emplace(context.request, context.route);
    auto result = co_await run(context, std::move(request), arrived + context.timeLeft, cancellation);
    m_running.erase(m_running.find(context.request));
    const bool ran = result.outcome == Outcome::Ran;
    const auto ranFor = monotonicNow() - now;
    m_queue.finish(ran ? ranFor : Duration(0));
    if (ran && result.response.message.result_int() < 300) {
        m_runTimes.add(context.route, ranFor);
    }
    startWaiting();
    addState(context, result);
    co_return result;
}

asio::awaitable<AttemptResult> TargetSide::run(const AttemptContext &context, HttpRequest request,
                                               MonotonicTime deadline, Cancellation &cancellation)
{
    const auto started = monotonicNow();
    const auto expected = m_gate.knownUpstream()->report.id;
    auto &message = request.message;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - started);
    message.set(m_names.timeoutMs, std::to_string(std::max<std::int64_t>(1, left.count())));
    message.set(m_names.expectedUpstream, expected.value());
    message.set(m_names.callerService, context.callerService.value());
    ExchangeOptions options;
    options.deadline = deadline + AnswerGrace;
    options.cancellation = &cancellation;
    options.newConnection = context.repeatability == Repeatability::AtMostOnce;
    options.closeDelimited = true;
    options.echoField = m_names.requestId;
    auto answer = co_await m_client.send(m_address, std::move(request), options);
    m_reporter.metrics.observe(Stage::Upstream, monotonicNow() - started);
    if (answer) {
        m_refusedConnections = 0;
        co_return classify(context, expected, std::move(*answer));
    }
    AttemptResult result;
    result.error = errorOf(answer.error());
    result.outcome = errorRow(result.error).outcome;
    result.arrived = result.outcome != Outcome::NotRun;
    if (result.error == ErrorKind::ConnectFailed && ++m_refusedConnections >= RefusedConnectionLimit) {
        m_gate.onConnectionRefused(expected);
        closeGate();
        m_reporter.important(EventLine("upstream_unreachable").add("upstream", expected.value()));
    }
    m_reporter.important(EventLine("delivery_failed")
                             .add("id", context.request.value())
                             .add("reason", errorRow(result.error).label)
                             .add("upstream", expected.value())
                             .add("took_ms", monotonicNow() - started)
                             .add("left_ms", deadline - monotonicNow()));
    co_return result;
}

AttemptResult TargetSide::classify(const AttemptContext &context, const UpstreamId &expected, HttpResponse response)
{
    AttemptResult result;
    result.arrived = true;
    const auto status = response.message.result_int();
    const bool signedAnswer = response.message.count(m_names.signature) > 0;
    const bool notExecuted = response.message.count(m_names.notExecuted) > 0;
    if (status == 421) {
        result.outcome = Outcome::NotRun;
        result.error = ErrorKind::NoUpstream;
        result.arrived = false;
        m_gate.onIncarnationMismatch(expected);
        closeGate();
    } else if (notExecuted) {
        result.outcome = Outcome::NotRun;
        result.error = ErrorKind::UpstreamShed;
    } else if (!signedAnswer || promisesNotRun(status)) {
        // Without the signature nothing tells that the upstream made the answer; and a status that promises "not run"
        // without the upstream's word for it must not be passed on.
        result.outcome = Outcome::Unknown;
        result.error = ErrorKind::TruncatedAnswer;
    } else {
        result.outcome = Outcome::Ran;
        result.response = std::move(response);
        return result;
    }
    m_reporter.important(EventLine("upstream_answer_rejected")
                             .add("id", context.request.value())
                             .add("reason", errorRow(result.error).label)
                             .add("status", std::int64_t(status))
                             .add("signed", signedAnswer ? "yes" : "no")
                             .add("upstream", expected.value()));
    return result;
}

} // namespace Geraniumsail
