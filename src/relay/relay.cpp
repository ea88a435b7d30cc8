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

/// Queue expiry, overload control and log flush; short against the waits of the queue.
constexpr auto TickInterval = std::chrono::milliseconds(50);
/// Time kept for closing connections and the last log lines before the process is killed.
constexpr Duration StopReserve = std::chrono::milliseconds(500);
/// Connections of other nodes: each of a hundred nodes may keep as many as it does idle, and half of the 3,900 sockets
/// of a VM remain for its own.
constexpr std::size_t PeerConnections = 2000;
/// Pause between two looks at whether the last request has ended.
constexpr auto StopPoll = std::chrono::milliseconds(50);

HttpServer::Handler ignoringArguments(std::function<asio::awaitable<HttpResponse>()> handler)
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
      m_target(context.get_executor(), m_names, m_settings.service, m_settings.upstream, m_reporter),
      m_entry(context.get_executor(), m_names, m_settings, m_target, m_reporter), m_feed(context.get_executor()),
      m_sources(m_settings.node),
      m_callers(context.get_executor(), ServerLimits{},
                [this](HttpRequest request, RequestScope &scope) { return handleCaller(std::move(request), scope); }),
      m_peers(context.get_executor(), ServerLimits{.connections = PeerConnections},
              [this](HttpRequest request, RequestScope &scope) { return handlePeer(std::move(request), scope); }),
      m_ready(context.get_executor(), ServerLimits{}, ignoringArguments([this] { return handleReady(); })),
      m_announcements(context.get_executor(), ServerLimits{}, std::move(announcements)),
      m_metricsServer(context.get_executor(), ServerLimits{}, ignoringArguments([this] { return handleMetrics(); })),
      m_startedMs(std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count())
{
}

void Relay::start()
{
    m_callers.listen(m_settings.callerListen);
    m_peers.listen(m_settings.peerListen);
    m_ready.listen(m_settings.readyListen);
    m_announcements.listen(m_settings.announceListen);
    if (!m_settings.metricsListen.empty()) {
        m_metricsServer.listen(m_settings.metricsListen);
    }
    asio::co_spawn(m_context, tickLoop(), asio::detached);
    m_reporter.important(EventLine("started")
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
            m_reporter.important(EventLine("paused").add("reason", "the process did not run for a time"));
        }
        m_target.tick();
        m_entry.tick();
        m_metrics.setDroppedLogLines(m_log.droppedLines());
        m_log.flush(now, wallNow());
    }
}

asio::awaitable<HttpResponse> Relay::handleCaller(HttpRequest request, RequestScope &scope)
{
    ++m_active;
    auto response = co_await m_entry.handle(std::move(request), scope);
    --m_active;
    if (m_stopping) {
        response.message.keep_alive(false);
    }
    co_return response;
}

asio::awaitable<HttpResponse> Relay::handlePeer(HttpRequest request, RequestScope &scope)
{
    auto context = readContext(request.message);
    if (!context && ConfigurationFeed::isFeedRequest(request.message)) {
        co_return co_await m_feed.respond(std::move(request));
    }
    if (!context) {
        m_reporter.important(EventLine("peer_request_rejected")
                                 .add("reason", "no valid attempt context")
                                 .add("from", scope.remote.to_string()));
        co_return errorResponse(ErrorKind::BadRequest);
    }
    if (m_stopping) {
        AttemptResult refused;
        refused.outcome = Outcome::NotRun;
        refused.error = ErrorKind::Draining;
        m_metrics.countTargetRefusal(refused.error);
        m_reporter.important(EventLine("target_refused").add("id", context->request.value()).add("reason", "stopping"));
        auto response = encodeResult(std::move(refused));
        response.message.keep_alive(false);
        co_return response;
    }
    ++m_active;
    removeHopFields(request.message);
    removeNodeFields(request.message);
    auto result = co_await m_target.deliver(std::move(*context), std::move(request), scope.cancellation);
    --m_active;
    removeHopFields(result.response.message);
    co_return encodeResult(std::move(result));
}

asio::awaitable<HttpResponse> Relay::handleReady()
{
    const bool ready = !m_stopping && m_entry.hasRoutes();
    co_return makeResponse(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

asio::awaitable<HttpResponse> Relay::handleMetrics()
{
    co_return makeResponse(200, "text/plain; version=0.0.4", m_metrics.text());
}

ReportVerdict Relay::onUpstreamReport(const UpstreamReport &report)
{
    const auto before = ownEntry();
    const auto verdict = m_target.onReport(report);
    m_metrics.countUpstreamReport(verdictLabel(verdict));
    const auto after = ownEntry();
    const bool changed = !before || !after || before->phase != after->phase || before->upstream != after->upstream
        || before->slots != after->slots;
    if (changed || verdict != ReportVerdict::Applied) {
        m_reporter.important(EventLine("upstream_report")
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

ReportVerdict Relay::onUpstreamLeave(const UpstreamId &id, std::int64_t startedMs)
{
    const auto verdict = m_target.onLeave(id, startedMs);
    m_metrics.countUpstreamReport(verdictLabel(verdict));
    m_reporter.important(EventLine("upstream_report")
                             .add("upstream", id.value())
                             .add("phase", "gone")
                             .add("started", startedMs)
                             .add("verdict", verdictLabel(verdict)));
    notifyOwnEntry();
    return verdict;
}

bool Relay::onConfiguration(RouteTable table, std::string text, std::string_view source)
{
    const auto before = m_entry.routes().version();
    const auto version = table.version();
    const auto routes = table.size();
    const bool taken = m_entry.setRoutes(std::move(table));
    if (taken) {
        m_feed.publish(version, std::move(text));
    }
    if (taken || version != before) {
        m_reporter.important(EventLine("configuration")
                                 .add("version", static_cast<std::int64_t>(version.value()))
                                 .add("before", static_cast<std::int64_t>(before.value()))
                                 .add("routes", static_cast<std::int64_t>(routes))
                                 .add("source", source)
                                 .add("verdict", taken ? "taken" : "older"));
    }
    return taken;
}

std::optional<Relay::ConfigurationPeer> Relay::configurationPeer() const
{
    const auto members = m_entry.directory().nodesIn(m_settings.dataCentre);
    const auto node = m_sources.choose(members, monotonicNow());
    const auto *known = node ? m_entry.directory().find(*node) : nullptr;
    if (known == nullptr) {
        return std::nullopt;
    }
    return ConfigurationPeer{known->entry.node, known->entry.peer};
}

bool Relay::readsConfigurationForOthers() const
{
    const auto members = m_entry.directory().nodesIn(m_settings.dataCentre);
    return members.size() >= ConfigurationSources::MinMembersToShare && m_sources.isReader(members);
}

void Relay::onConfigurationPeerFailed(const NodeName &node, std::string_view reason)
{
    m_sources.onFailed(node, monotonicNow());
    m_reporter.important(EventLine("configuration_source_failed").add("node", node.value()).add("reason", reason));
}

std::optional<DirectoryEntry> Relay::ownEntry() const
{
    const auto &known = m_target.gate().knownUpstream();
    if (!known) {
        return std::nullopt;
    }
    DirectoryEntry entry;
    entry.node = m_settings.node;
    entry.nodeStartedMs = m_startedMs;
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

void Relay::observeOwnEntry(std::function<void()> observer)
{
    m_ownEntryObserver = std::move(observer);
}

void Relay::observeAcceptEnd(std::function<void()> observer)
{
    m_acceptEndObserver = std::move(observer);
}

void Relay::notifyOwnEntry()
{
    // The own entry needs no detour through the store.
    if (const auto entry = ownEntry()) {
        m_entry.directory().put(*entry, 0);
        m_entry.loadBalancer().onPublished(entry->node);
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
        m_entry.loadBalancer().onPublished(node);
    }
    EventLine line("entry_changed");
    line.add("node", node.value())
        .add("change", changeLabel(change))
        .add("revision", static_cast<std::int64_t>(revision));
    if (const auto *known = m_entry.directory().find(node)) {
        line.add("upstream", known->entry.upstream.value())
            .add("service", known->entry.service.value())
            .add("phase", phaseLabel(known->entry.phase));
    }
    m_reporter.important(line);
}

void Relay::onEntry(const DirectoryEntry &entry, std::uint64_t revision)
{
    if (entry.node != m_settings.node) {
        reportEntryChange(entry.node, m_entry.directory().put(entry, revision), revision);
    }
}

void Relay::onEntryGone(const NodeName &node, std::uint64_t revision)
{
    if (node != m_settings.node) {
        reportEntryChange(node, m_entry.directory().lapse(node, revision, monotonicNow()), revision);
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
    for (const auto &[node, change] : m_entry.directory().replaceAll(all, revision, monotonicNow())) {
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
    m_reporter.important(EventLine(up ? "dependency_regained" : "dependency_lost")
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
    m_target.beginStop();
    m_reporter.important(EventLine("stopping").add("active", static_cast<std::int64_t>(m_active)));
    if (m_ownEntryObserver) {
        m_ownEntryObserver();
    }
}

asio::awaitable<void> Relay::stopped()
{
    asio::steady_timer timer(m_context);
    while (!m_stopping) {
        timer.expires_after(StopPoll);
        co_await timer.async_wait(AsTuple);
    }
    const auto begun = monotonicNow();
    const auto end = begun + m_settings.stopGrace - StopReserve;
    timer.expires_at(toSteady(begun + std::min(AcceptTime, m_settings.stopGrace / 2)));
    co_await timer.async_wait(AsTuple);
    m_callers.stop();
    m_peers.stop();
    if (m_acceptEndObserver) {
        m_acceptEndObserver();
    }
    bool waiting = true;
    while (waiting) {
        timer.expires_after(StopPoll);
        co_await timer.async_wait(AsTuple);
        const bool open = m_callers.connections() + m_peers.connections() > 0;
        waiting = (m_active > 0 || open) && monotonicNow() < end;
    }
    m_reporter.important(
        EventLine("stopped").add("active", static_cast<std::int64_t>(m_active)).add("took_ms", monotonicNow() - begun));
    m_log.flush(monotonicNow(), wallNow());
}

} // namespace Geraniumsail
