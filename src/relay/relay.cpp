#include "relay/relay.h"

#include "core/storerevision.h"
#include "net/clock.h"
#include "net/httpwire.h"
#include "relay/leavehandover.h"

#include <unistd.h>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

/// Interval of queue expiry, overload control and log flushes. Must be short compared to queueing times.
constexpr auto TickInterval = std::chrono::milliseconds(50);
/// Time reserved before the process is killed for closing connections and writing the last log lines.
constexpr Duration ShutdownReserve = std::chrono::milliseconds(500);
/// Maximum number of connections from other nodes. It lets each of a hundred nodes keep its maximum of idle
/// connections, and leaves half of the 3,900 sockets of a VM for the connections that this node opens.
constexpr std::size_t MaxPeerConnections = 2000;
/// Shortest interval between reports of the calls to the store.
constexpr Duration StoreCallReportInterval = std::chrono::seconds(10);
/// Interval between checks for requests in progress during a stop.
constexpr auto StopPollInterval = std::chrono::milliseconds(50);

/// Counts a request as active for the lifetime of the object, also if an exception ends it.
class ActiveCount
{
public:
    explicit ActiveCount(std::size_t &count) : m_count(count)
    {
        ++m_count;
    }
    ActiveCount(const ActiveCount &) = delete;
    ActiveCount &operator=(const ActiveCount &) = delete;
    ~ActiveCount()
    {
        --m_count;
    }

private:
    std::size_t &m_count;
};

HttpServer::Handler ignoreArguments(std::function<asio::awaitable<HttpResponse>()> handler)
{
    return [handler = std::move(handler)](HttpRequest, RequestScope &) {
        return handler();
    };
}

const char *changeLabel(DirectoryChange change)
{
    switch (change) {
    case DirectoryChange::None:
        return "none";
    case DirectoryChange::Added:
        return "added";
    case DirectoryChange::Updated:
        return "updated";
    case DirectoryChange::Lapsed:
        return "lapsed";
    case DirectoryChange::Removed:
        return "removed";
    }
    return "unknown";
}

const char *verdictLabel(ReportVerdict verdict)
{
    switch (verdict) {
    case ReportVerdict::Applied:
        return "applied";
    case ReportVerdict::Stale:
        return "stale";
    case ReportVerdict::Foreign:
        return "foreign";
    }
    return "unknown";
}

} // namespace

Relay::Relay(asio::io_context &context, RelaySettings settings, HeaderNames names, HttpServer::Handler announcements)
    : m_context(context), m_settings(std::move(settings)), m_names(std::move(names)),
      m_log(STDOUT_FILENO), m_reporter{m_log, m_metrics},
      m_upstreamProxy(context.get_executor(), m_names, m_settings.service, m_settings.upstream, m_reporter),
      m_supervisor(context, m_reporter),
      m_router(context.get_executor(), m_names, m_settings, m_upstreamProxy, m_reporter),
      m_storeFeed(context.get_executor()), m_storeReaders(m_settings.node),
      m_callerServer(
          context.get_executor(), ServerLimits{},
          [this](HttpRequest request, RequestScope &scope) { return handleCaller(std::move(request), scope); }),
      m_peerServer(context.get_executor(), ServerLimits{.connections = MaxPeerConnections},
                   [this](HttpRequest request, RequestScope &scope) { return handlePeer(std::move(request), scope); }),
      m_readinessServer(context.get_executor(), ServerLimits{}, ignoreArguments([this] { return handleReady(); })),
      m_announcementServer(context.get_executor(), ServerLimits{}, std::move(announcements)),
      m_metricsServer(context.get_executor(), ServerLimits{}, ignoreArguments([this] { return handleMetrics(); })),
      m_processStartedMs(std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count())
{
}

void Relay::start()
{
    m_callerServer.listen(m_settings.callerListen);
    m_peerServer.listen(m_settings.peerListen);
    m_readinessServer.listen(m_settings.readyListen);
    m_announcementServer.listen(m_settings.announceListen);
    if (!m_settings.metricsListen.empty()) {
        m_metricsServer.listen(m_settings.metricsListen);
    }
    m_supervisor.start("tick", [this] { return tickLoop(); });
    m_reporter.logImportant(EventLine("started")
                                .add("node", m_settings.node.value())
                                .add("service", m_settings.service.value())
                                .add("data_centre", m_settings.dataCentre.value())
                                .add("region", m_settings.region.value())
                                .add("upstream", m_settings.upstream.value())
                                .add("store", m_settings.store.value()));
}

asio::awaitable<void> Relay::tickLoop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(TickInterval);
        co_await timer.async_wait(AsTuple);
        const auto now = monotonicNow();
        if (m_pauses.tick(now)) {
            m_reporter.logImportant(EventLine("paused").add("reason", "the process did not run for a time"));
        }
        m_upstreamProxy.tick();
        m_router.tick();
        reportStoreCalls(now);
        m_log.flush(now, wallNow());
    }
}

asio::awaitable<HttpResponse> Relay::handleCaller(HttpRequest request, RequestScope &scope)
{
    HttpResponse response;
    {
        const ActiveCount active(m_activeRequests);
        response = co_await m_router.handle(std::move(request), scope);
    }
    if (m_stopping) {
        response.message.keep_alive(false);
    }
    co_return response;
}

asio::awaitable<HttpResponse> Relay::handlePeer(HttpRequest request, RequestScope &scope)
{
    auto context = readContext(request.message, fieldValue(request.message, m_names.requestId));
    if (!context && StoreFeed::isFeedRequest(request.message)) {
        co_return co_await m_storeFeed.respond(std::move(request));
    }
    if (!context && m_leaveHandoverHandler && isLeaveHandover(request.message)) {
        co_return co_await m_leaveHandoverHandler(std::move(request));
    }
    if (!context) {
        m_reporter.logImportant(EventLine("peer_request_rejected")
                                    .add("reason", "no valid attempt context")
                                    .add("from", scope.remote.to_string()));
        co_return errorResponse(ErrorKind::BadRequest);
    }
    if (m_stopping) {
        AttemptResult refused;
        refused.outcome = Outcome::NotRun;
        refused.error = ErrorKind::Draining;
        m_metrics.countTargetRefusal(refused.error);
        m_reporter.logImportant(
            EventLine("target_refused").add("id", context->requestId.value()).add("reason", "stopping"));
        auto response = encodeResult(std::move(refused));
        response.message.keep_alive(false);
        co_return response;
    }
    removeHopFields(request.message);
    removeNodeFields(request.message);
    AttemptResult result;
    {
        const ActiveCount active(m_activeRequests);
        result = co_await m_upstreamProxy.deliver(std::move(*context), std::move(request), scope.cancellation);
    }
    removeHopFields(result.response.message);
    co_return encodeResult(std::move(result));
}

asio::awaitable<HttpResponse> Relay::handleReady()
{
    const bool ready = !m_stopping && m_router.hasRoutes();
    co_return makeResponse(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

asio::awaitable<HttpResponse> Relay::handleMetrics()
{
    m_metrics.setDroppedLogLines(m_log.droppedLines());
    m_metrics.setDirectorySize(m_router.directory().size());
    m_upstreamProxy.updateMetrics();
    co_return makeResponse(200, "text/plain; version=0.0.4", m_metrics.text());
}

ReportVerdict Relay::onUpstreamReport(const UpstreamReport &report)
{
    const auto before = ownEntry();
    const auto verdict = m_upstreamProxy.onReport(report);
    m_metrics.countUpstreamReport(verdictLabel(verdict));
    const auto after = ownEntry();
    const bool changed = !before || !after || before->phase != after->phase || before->upstream != after->upstream
        || before->slots != after->slots;
    if (changed || verdict != ReportVerdict::Applied) {
        m_reporter.logImportant(EventLine("upstream_report")
                                    .add("upstream", report.id.value())
                                    .add("phase", phaseLabel(report.phase))
                                    .add("sequence", static_cast<std::int64_t>(report.sequence))
                                    .add("started", report.startedMs)
                                    .add("slots", std::int64_t(report.slots.value()))
                                    .add("verdict", verdictLabel(verdict)));
    }
    if (changed) {
        notifyOwnEntry();
    }
    notifyLeaves();
    return verdict;
}

ReportVerdict Relay::onUpstreamDeregistration(const UpstreamId &id, std::int64_t startedMs)
{
    const auto verdict = m_upstreamProxy.onDeregistration(id, startedMs);
    m_metrics.countUpstreamReport(verdictLabel(verdict));
    m_reporter.logImportant(EventLine("upstream_report")
                                .add("upstream", id.value())
                                .add("phase", "gone")
                                .add("started", startedMs)
                                .add("verdict", verdictLabel(verdict)));
    notifyOwnEntry();
    notifyLeaves();
    return verdict;
}

bool Relay::onConfiguration(RouteTable table, std::string text, std::string_view source)
{
    const auto before = m_router.routes().version();
    const auto version = table.version();
    const auto routes = table.size();
    const bool applied = m_router.setRoutes(std::move(table));
    if (applied) {
        m_storeFeed.publish(version, std::move(text));
    }
    if (applied || version != before) {
        m_reporter.logImportant(EventLine("configuration")
                                    .add("version", static_cast<std::int64_t>(version.value()))
                                    .add("before", static_cast<std::int64_t>(before.value()))
                                    .add("routes", static_cast<std::int64_t>(routes))
                                    .add("source", source)
                                    .add("verdict", applied ? "taken" : "older"));
    }
    return applied;
}

void Relay::onInvalidConfiguration(std::string_view problem, std::string_view source)
{
    m_metrics.countInvalidConfiguration();
    m_reporter.logImportant(
        EventLine("configuration")
            .add("source", source)
            .add("verdict", "invalid")
            .add("reason", problem)
            .add("in_force", static_cast<std::int64_t>(configurationVersion().value()))
            .add("effect", m_router.hasRoutes() ? "the version in force stays" : "no requests served"));
}

std::optional<Relay::StoreSource> Relay::storeSource() const
{
    const auto members = m_router.directory().nodesIn(m_settings.dataCentre);
    const auto node = m_storeReaders.choose(members, monotonicNow());
    const auto *known = node ? m_router.directory().find(*node) : nullptr;
    if (known == nullptr) {
        return std::nullopt;
    }
    return StoreSource{known->entry.node, known->entry.peer};
}

bool Relay::sharesStore() const
{
    return m_storeReaders.isShared(m_router.directory().nodesIn(m_settings.dataCentre));
}

bool Relay::isStoreReader() const
{
    return m_storeReaders.isReader(m_router.directory().nodesIn(m_settings.dataCentre));
}

void Relay::onStoreSourceFailed(const NodeName &node, std::string_view reason)
{
    m_storeReaders.onFailed(node, monotonicNow());
    m_reporter.logImportant(EventLine("store_source_failed").add("node", node.value()).add("reason", reason));
}

void Relay::onStoreSourceAnswered(const NodeName &node)
{
    m_storeReaders.onAnswered(node);
}

std::optional<DirectoryEntry> Relay::ownEntry() const
{
    const auto &known = m_upstreamProxy.gate().knownUpstream();
    if (!known || awaitsEarlierLeaves()) {
        return std::nullopt;
    }
    DirectoryEntry entry;
    entry.node = m_settings.node;
    entry.nodeStartedMs = m_processStartedMs;
    entry.peer = m_settings.peerListen;
    entry.dataCentre = m_settings.dataCentre;
    entry.region = m_settings.region;
    entry.service = known->report.service;
    entry.upstream = known->report.id;
    entry.upstreamStartedMs = known->report.startedMs;
    entry.upstreamLeft = known->report.phase != UpstreamPhase::Ready;
    entry.phase = m_stopping ? UpstreamPhase::Draining : known->report.phase;
    entry.slots = known->report.slots;
    entry.coldRemaining = known->report.coldRemaining;
    return entry;
}

void Relay::setOwnEntryObserver(std::function<void()> observer)
{
    m_ownEntryObserver = std::move(observer);
}

void Relay::setLeaveObserver(std::function<void()> observer)
{
    m_leaveObserver = std::move(observer);
}

void Relay::setLeaveHandoverHandler(std::function<asio::awaitable<HttpResponse>(HttpRequest)> handler)
{
    m_leaveHandoverHandler = std::move(handler);
}

void Relay::notifyLeaves()
{
    if (m_leaveObserver) {
        m_leaveObserver();
    }
}

void Relay::setAcceptEndObserver(std::function<void()> observer)
{
    m_acceptEndObserver = std::move(observer);
}

void Relay::notifyOwnEntry()
{
    // The own entry is applied directly instead of being read back from the store.
    if (const auto entry = ownEntry()) {
        m_router.directory().put(*entry, 0);
        m_router.loadBalancer().onPublished(entry->node);
    }
    if (m_ownEntryObserver) {
        m_ownEntryObserver();
    }
}

void Relay::reportEntryChange(const NodeName &node, DirectoryChange change, std::uint64_t revision)
{
    if (change == DirectoryChange::None) {
        return;
    }
    if (change == DirectoryChange::Added || change == DirectoryChange::Updated) {
        m_router.loadBalancer().onPublished(node);
    }
    EventLine line("entry_changed");
    line.add("node", node.value())
        .add("change", changeLabel(change))
        .add("revision", static_cast<std::int64_t>(revision));
    if (const auto *known = m_router.directory().find(node)) {
        line.add("upstream", known->entry.upstream.value())
            .add("service", known->entry.service.value())
            .add("phase", phaseLabel(known->entry.phase));
    }
    m_reporter.logImportant(line);
}

void Relay::onEntryChanges(const EntryChanges &changes)
{
    const auto now = monotonicNow();
    EntryChanges others = changes;
    std::erase_if(others.entries, [this](const auto &entry) {
        const bool isOwn = entry.first.node == m_settings.node;
        if (isOwn) {
            onOwnStoredEntry(entry.first);
        }
        return isOwn;
    });
    if (changes.isSnapshot) {
        if (const auto own = ownEntry()) {
            others.entries.emplace_back(*own, 0);
        }
        for (const auto &[node, change] : m_router.directory().replaceAll(others.entries, others.revision, now)) {
            reportEntryChange(node, change, others.revision);
        }
        return;
    }
    for (const auto &[entry, revision] : others.entries) {
        reportEntryChange(entry.node, m_router.directory().put(entry, revision), revision);
    }
    for (const auto &[node, revision] : others.removed) {
        if (node != m_settings.node) {
            reportEntryChange(node, m_router.directory().lapse(node, revision, now), revision);
        }
    }
}

/// An earlier process of this node may have acknowledged that the upstream left. A report of that incarnation that
/// arrives now is late, and must not bring it back into use.
void Relay::onOwnStoredEntry(const DirectoryEntry &entry)
{
    if (!entry.upstreamLeft || entry.nodeStartedMs == m_processStartedMs || entry.upstreamStartedMs == 0) {
        return;
    }
    if (restoreLeave(entry.upstream, entry.upstreamStartedMs, "entry")) {
        notifyOwnEntry();
    }
}

bool Relay::restoreLeave(const UpstreamId &id, std::int64_t startedMs, std::string_view source)
{
    const bool isNew = m_upstreamProxy.onEarlierLeave(id, startedMs);
    if (isNew) {
        m_reporter.logImportant(EventLine("upstream_left_before")
                                    .add("upstream", id.value())
                                    .add("started", startedMs)
                                    .add("source", source));
        notifyLeaves();
    }
    return isNew;
}

void Relay::awaitEarlierLeaves()
{
    m_upstreamProxy.awaitEarlierLeaves();
}

void Relay::restoreLeaves(const LeaveRecord &record, std::string_view source)
{
    bool isChanged = false;
    for (const auto &[id, startedMs] : record.leaves()) {
        isChanged = restoreLeave(id, startedMs, source) || isChanged;
    }
    if (isChanged) {
        notifyOwnEntry();
    }
}

void Relay::onEarlierLeavesKnown()
{
    m_upstreamProxy.onEarlierLeavesKnown();
    m_reporter.logImportant(
        EventLine("earlier_leaves_known").add("leaves", static_cast<std::int64_t>(leaves().leaves().size())));
    notifyOwnEntry();
}

void Relay::onStoreCall(std::string_view operation)
{
    m_metrics.countStoreCall(operation);
    ++m_storeCalls.try_emplace(std::string(operation), 0).first->second;
    m_storeCallsChanged = true;
}

void Relay::reportStoreCalls(MonotonicTime now)
{
    if (!m_storeCallsChanged || now < m_nextStoreCallReport) {
        return;
    }
    m_storeCallsChanged = false;
    m_nextStoreCallReport = now + StoreCallReportInterval;
    EventLine line("store_calls");
    for (const auto &[operation, count] : m_storeCalls) {
        line.add(operation, count);
    }
    line.add("source", storeSource() ? "node" : "store")
        .add("entries", static_cast<std::int64_t>(m_router.directory().size()))
        .add("entries_revision", storeRevisionText(m_storeFeed.entries().revision()));
    m_reporter.logImportant(line);
}

void Relay::onStoreState(bool up, std::string_view operation, std::string_view reason, std::string_view position)
{
    if (!up) {
        m_metrics.countStoreError(operation, reason);
    }
    m_metrics.setStoreUp(up);
    const std::string failure(up ? "" : reason);
    const auto known = m_storeFailures.find(operation);
    if (known != m_storeFailures.end() && known->second == failure) {
        return;
    }
    m_storeFailures.insert_or_assign(std::string(operation), failure);
    EventLine line(up ? "dependency_regained" : "dependency_lost");
    line.add("dependency", "store").add("operation", operation).add("reason", reason);
    if (!position.empty()) {
        line.add("position", position);
    }
    m_reporter.logImportant(line);
}

void Relay::beginStop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_upstreamProxy.beginStop();
    m_reporter.logImportant(EventLine("stopping").add("active", static_cast<std::int64_t>(m_activeRequests)));
    if (m_ownEntryObserver) {
        m_ownEntryObserver();
    }
}

asio::awaitable<void> Relay::stopped()
{
    asio::steady_timer timer(m_context);
    while (!m_stopping) {
        timer.expires_after(StopPollInterval);
        co_await timer.async_wait(AsTuple);
    }
    const auto stopStarted = monotonicNow();
    const auto stopDeadline = stopStarted + m_settings.stopGrace - ShutdownReserve;
    timer.expires_at(toSteady(stopStarted + std::min(AcceptTimeAfterStop, m_settings.stopGrace / 2)));
    co_await timer.async_wait(AsTuple);
    // Requests whose first bytes have arrived are still read, however long that takes.
    m_router.setStopDeadline(stopDeadline);
    m_callerServer.stop();
    m_peerServer.stop();
    if (m_acceptEndObserver) {
        m_acceptEndObserver();
    }
    bool busy = true;
    while (busy) {
        timer.expires_after(StopPollInterval);
        co_await timer.async_wait(AsTuple);
        const bool open = m_callerServer.connections() + m_peerServer.connections() > 0;
        busy = (m_activeRequests > 0 || open) && monotonicNow() < stopDeadline;
    }
    m_reporter.logImportant(EventLine("stopped")
                                .add("active", static_cast<std::int64_t>(m_activeRequests))
                                .add("took_ms", monotonicNow() - stopStarted));
    m_log.flush(monotonicNow(), wallNow());
}

} // namespace Geraniumsail
