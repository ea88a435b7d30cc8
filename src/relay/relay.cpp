#include "relay/relay.h"

#include "core/pausedetector.h"
#include "net/clock.h"
#include "net/httpwire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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
/// Interval between checks for requests in progress during a stop.
constexpr auto StopPollInterval = std::chrono::milliseconds(50);

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
      m_router(context.get_executor(), m_names, m_settings, m_upstreamProxy, m_reporter),
      m_configurationFeed(context.get_executor()), m_configurationSources(m_settings.node),
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
    asio::co_spawn(m_context, tickLoop(), asio::detached);
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
    PauseDetector pauses;
    while (true) {
        timer.expires_after(TickInterval);
        co_await timer.async_wait(AsTuple);
        const auto now = monotonicNow();
        if (pauses.tick(now)) {
            m_reporter.logImportant(EventLine("paused").add("reason", "the process did not run for a time"));
        }
        m_upstreamProxy.tick();
        m_router.tick();
        m_metrics.setDroppedLogLines(m_log.droppedLines());
        m_log.flush(now, wallNow());
    }
}

asio::awaitable<HttpResponse> Relay::handleCaller(HttpRequest request, RequestScope &scope)
{
    ++m_activeRequests;
    auto response = co_await m_router.handle(std::move(request), scope);
    --m_activeRequests;
    if (m_stopping) {
        response.message.keep_alive(false);
    }
    co_return response;
}

asio::awaitable<HttpResponse> Relay::handlePeer(HttpRequest request, RequestScope &scope)
{
    auto context = readContext(request.message);
    if (!context && ConfigurationFeed::isFeedRequest(request.message)) {
        co_return co_await m_configurationFeed.respond(std::move(request));
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
    ++m_activeRequests;
    removeHopFields(request.message);
    removeNodeFields(request.message);
    auto result = co_await m_upstreamProxy.deliver(std::move(*context), std::move(request), scope.cancellation);
    --m_activeRequests;
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
    return verdict;
}

bool Relay::onConfiguration(RouteTable table, std::string text, std::string_view source)
{
    const auto before = m_router.routes().version();
    const auto version = table.version();
    const auto routes = table.size();
    const bool applied = m_router.setRoutes(std::move(table));
    if (applied) {
        m_configurationFeed.publish(version, std::move(text));
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

std::optional<Relay::ConfigurationPeer> Relay::configurationPeer() const
{
    const auto members = m_router.directory().nodesIn(m_settings.dataCentre);
    const auto node = m_configurationSources.choose(members, monotonicNow());
    const auto *known = node ? m_router.directory().find(*node) : nullptr;
    if (known == nullptr) {
        return std::nullopt;
    }
    return ConfigurationPeer{known->entry.node, known->entry.peer};
}

bool Relay::isConfigurationReader() const
{
    const auto members = m_router.directory().nodesIn(m_settings.dataCentre);
    return members.size() >= ConfigurationSources::MinMembersToShare && m_configurationSources.isReader(members);
}

void Relay::onConfigurationPeerFailed(const NodeName &node, std::string_view reason)
{
    m_configurationSources.onFailed(node, monotonicNow());
    m_reporter.logImportant(EventLine("configuration_source_failed").add("node", node.value()).add("reason", reason));
}

std::optional<DirectoryEntry> Relay::ownEntry() const
{
    const auto &known = m_upstreamProxy.gate().knownUpstream();
    if (!known) {
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
    entry.phase = m_stopping ? UpstreamPhase::Draining : known->report.phase;
    entry.slots = known->report.slots;
    entry.coldRemaining = known->report.coldRemaining;
    return entry;
}

void Relay::setOwnEntryObserver(std::function<void()> observer)
{
    m_ownEntryObserver = std::move(observer);
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

void Relay::onEntry(const DirectoryEntry &entry, std::uint64_t revision)
{
    if (entry.node != m_settings.node) {
        reportEntryChange(entry.node, m_router.directory().put(entry, revision), revision);
    }
}

void Relay::onEntryDeleted(const NodeName &node, std::uint64_t revision)
{
    if (node != m_settings.node) {
        reportEntryChange(node, m_router.directory().lapse(node, revision, monotonicNow()), revision);
    }
}

void Relay::onAllEntries(const std::vector<std::pair<DirectoryEntry, std::uint64_t>> &entries, std::uint64_t revision)
{
    std::vector<std::pair<DirectoryEntry, std::uint64_t>> all;
    for (const auto &entry : entries) {
        if (entry.first.node != m_settings.node) {
            all.push_back(entry);
        }
    }
    if (const auto own = ownEntry()) {
        all.emplace_back(*own, 0);
    }
    for (const auto &[node, change] : m_router.directory().replaceAll(all, revision, monotonicNow())) {
        reportEntryChange(node, change, revision);
    }
}

void Relay::onStoreState(bool up, std::string_view operation, std::string_view reason)
{
    if (!up) {
        m_metrics.countStoreError(operation, reason);
    }
    if (m_storeUp == up) {
        return;
    }
    m_storeUp = up;
    m_metrics.setStoreUp(up);
    m_reporter.logImportant(EventLine(up ? "dependency_regained" : "dependency_lost")
                                .add("dependency", "store")
                                .add("operation", operation)
                                .add("reason", reason));
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
