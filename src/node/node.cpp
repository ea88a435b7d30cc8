#include "node/node.h"

#include "core/member.h"
#include "core/version.h"
#include "net/clock.h"
#include "node/announcement.h"
#include "node/voidclient.h"
#include "rpc/jsonrpc.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace Geraniumsail {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr Duration HousekeepingInterval = std::chrono::seconds(1);
/// How often a stop looks whether the last request has ended.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(20);
/// Kept-alive peer connections; shorter than the server's idle time, so that the client closes first.
constexpr Duration PeerIdle = std::chrono::seconds(30);

std::uint64_t seedOf(const NodeSettings &settings)
{
    if (settings.randomSeed) {
        return *settings.randomSeed;
    }
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

NodeIdentity identityOf(const NodeSettings &settings)
{
    Random random(seedOf(settings));
    return NodeIdentity{settings.name, makeIncarnation(wallNow(), random), settings.region, settings.dataCentre};
}

ServerLimits listenerLimits(std::size_t connections)
{
    ServerLimits limits;
    limits.connections = connections;
    return limits;
}

constexpr std::array<const char *, 4> StateLabels{"up", "shedding", "draining", "gone"};
constexpr std::size_t CallerConnections = 4096;
constexpr std::size_t PeerConnections = 8192;
constexpr std::size_t LocalConnections = 2048;
constexpr std::size_t AdminConnections = 32;

ClientLimits peerLimits()
{
    ClientLimits limits;
    limits.idle = PeerIdle;
    return limits;
}

} // namespace

Node::Node(asio::io_context &context, NodeSettings settings)
    : m_context(context), m_settings(std::move(settings)), m_identity(identityOf(m_settings)),
      m_policy(context.get_executor(), m_identity, m_settings.switches, seedOf(m_settings), m_metrics),
      m_control(context.get_executor(), m_settings, m_identity.incarnation, seedOf(m_settings), controlSinks()),
      m_controlMetrics(m_metrics.registry()), m_peers(context.get_executor(), peerLimits()),
      m_upstream(context.get_executor(), ClientLimits{}), m_target(m_policy, m_upstream, m_metrics, m_inFlight),
      m_calls(context.get_executor(), m_settings.name, m_policy, m_target, m_peers, m_metrics, m_inFlight),
      m_callerServer(context.get_executor(), listenerLimits(CallerConnections),
                     [this](HttpRequest request, RequestScope &scope) { return onCaller(std::move(request), scope); }),
      m_localServer(context.get_executor(), listenerLimits(LocalConnections),
                    [this](HttpRequest request, RequestScope &scope) { return onLocal(std::move(request), scope); }),
      m_peerServer(
          context.get_executor(), listenerLimits(PeerConnections),
          [this](HttpRequest request, RequestScope &scope) { return m_target.handlePeer(std::move(request), scope); }),
      m_adminServer(context.get_executor(), listenerLimits(AdminConnections),
                    [this](HttpRequest request, RequestScope &scope) { return onAdmin(std::move(request), scope); }),
      m_housekeepingTimer(context), m_stopTimer(context)
{
    m_calls.observeServices([this](const ServiceName &service) { m_control.wantService(service); });
    bind();
}

void Node::bind()
{
    const auto count = [this](ListenerName name) {
        return [this, name](ErrorKind kind) {
            m_metrics.countAnswer(name, kind);
        };
    };
    m_callerServer.observeRefusals(count(ListenerName::Caller));
    m_localServer.observeRefusals(count(ListenerName::Local));
    m_peerServer.observeRefusals(count(ListenerName::Peer));
    auto &listen = m_settings.listen;
    listen.caller = m_callerServer.listen(listen.caller);
    listen.local = m_localServer.listen(listen.local);
    listen.peer = m_peerServer.listen(listen.peer);
    listen.admin = m_adminServer.listen(listen.admin);
    listen.control = m_control.listen();
    m_control.addMethod("voidAttempt", [this](std::string params) { return onVoidAttempt(std::move(params)); });
}

void Node::start()
{
    m_policy.start();
    m_policy.setOwnTarget(m_settings.listen.peer, m_settings.listen.control);
    m_control.start(m_settings.listen.peer);
    asio::co_spawn(m_context, housekeeping(), asio::detached);
    LOG(INFO) << "event=started node=" << m_identity.name.value() << " incarnation=" << m_identity.incarnation.value()
              << " version=" << Version << " caller=" << m_settings.listen.caller.value()
              << " peer=" << m_settings.listen.peer.value();
}

void Node::beginStop()
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    LOG(INFO) << "event=drain_started node=" << m_identity.name.value() << " in_flight=" << m_inFlight.count();
    m_policy.drain();
    asio::co_spawn(m_context, reportUpstream(), asio::detached);
    asio::co_spawn(m_context, stopLoop(), asio::detached);
}

asio::awaitable<void> Node::stopLoop()
{
    while (m_inFlight.count() > 0) {
        m_stopTimer.expires_after(StopCheckInterval);
        co_await m_stopTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await m_control.leave();
    for (auto *server : {&m_callerServer, &m_peerServer, &m_localServer, &m_adminServer}) {
        server->stop();
    }
    for (auto *server : {&m_callerServer, &m_peerServer, &m_localServer, &m_adminServer}) {
        co_await server->finished();
    }
    m_policy.stop();
    m_stopped = true;
    m_housekeepingTimer.cancel();
    m_stopTimer.cancel();
    LOG(INFO) << "event=stopped node=" << m_identity.name.value();
}

asio::awaitable<void> Node::stopped()
{
    asio::steady_timer timer(m_context);
    while (!m_stopped) {
        timer.expires_after(StopCheckInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> Node::housekeeping()
{
    while (!m_stopped) {
        m_housekeepingTimer.expires_after(HousekeepingInterval);
        co_await m_housekeepingTimer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto now = monotonicNow();
        m_peers.closeIdle(now);
        m_upstream.closeIdle(now);
        if (!m_stopped) {
            co_await reportUpstream();
        }
    }
}

ControlTask::Sinks Node::controlSinks()
{
    return {[this](ServiceName service, std::vector<RouteTarget> members) {
                m_policy.setMembers(std::move(service), std::move(members));
            },
            [this](ServicePolicy policy) { m_policy.setPolicy(std::move(policy)); },
            [this](std::vector<LinkPolicy> links, std::size_t liveNodes) {
                m_policy.setLinks(std::move(links), std::max<std::size_t>(liveNodes, 1));
            }};
}

asio::awaitable<std::string> Node::onVoidAttempt(std::string params)
{
    auto context = decodeVoidParams(params, monotonicNow());
    if (!context) {
        throw RpcError(RpcInvalidParams, "voidAttempt: malformed attempt");
    }
    const auto verdict = co_await m_policy.voidAttempt(std::move(*context));
    co_return encodeVoidResult(verdict);
}

asio::awaitable<void> Node::reportUpstream()
{
    const auto status = co_await m_policy.status();
    const bool takesWork =
        !m_draining && status.state != UpstreamState::Draining && status.state != UpstreamState::Gone;
    if (!status.upstream) {
        // Without an upstream there is no service that others could route to.
        m_control.setUpstream(m_draining ? MemberState::Leaving : MemberState::Alive, ServiceName(), Slots(0),
                              Duration(0));
        co_return;
    }
    m_control.setUpstream(takesWork ? MemberState::Alive : MemberState::Leaving, status.upstream->service,
                          status.upstream->slots, status.upstream->coldStart);
}

asio::awaitable<HttpResponse> Node::onCaller(HttpRequest request, RequestScope &scope)
{
    const std::string_view target(request.message.target().data(), request.message.target().size());
    if (target.starts_with("/geraniumsail/ticket")) {
        return m_calls.handleTicket(std::move(request), scope);
    }
    return m_calls.handle(std::move(request), scope, ListenerName::Caller);
}

asio::awaitable<HttpResponse> Node::onLocal(HttpRequest request, RequestScope &scope)
{
    if (request.message.target() == "/geraniumsail/announce") {
        co_return onAnnounce(request);
    }
    co_return co_await m_calls.handle(std::move(request), scope, ListenerName::Local);
}

HttpResponse Node::onAnnounce(const HttpRequest &request)
{
    if (request.message.method() != boost::beast::http::verb::post || request.rest) {
        return errorResponse(ErrorKind::BadRequest);
    }
    auto announcement = parseAnnouncement(request.message.body());
    if (!announcement) {
        LOG(WARNING) << "event=announcement_refused problem=\"" << announcement.error() << '"';
        auto response = errorResponse(ErrorKind::BadRequest);
        response.message.body() = announcement.error() + "\n";
        response.message.prepare_payload();
        return response;
    }
    m_policy.announce(std::move(*announcement));
    asio::co_spawn(m_context, reportUpstream(), asio::detached);
    return makeResponse(200, "application/json", R"({"accepted":true})");
}

asio::awaitable<HttpResponse> Node::onAdmin(HttpRequest request, RequestScope &)
{
    const auto target = request.message.target();
    if (target == "/healthz") {
        co_return makeResponse(m_draining ? 503 : 200, "text/plain", m_draining ? "draining\n" : "ok\n");
    }
    if (target == "/status") {
        co_return makeResponse(200, "application/json", co_await statusText());
    }
    if (target == "/metrics") {
        m_metrics.setStatus(co_await m_policy.status());
        m_controlMetrics.set(m_control);
        m_metrics.setConnections(ListenerName::Caller, m_callerServer.connections());
        m_metrics.setConnections(ListenerName::Local, m_localServer.connections());
        m_metrics.setConnections(ListenerName::Peer, m_peerServer.connections());
        co_return makeResponse(200, "text/plain; version=0.0.4", m_metrics.text());
    }
    co_return makeResponse(404, "text/plain", "not found\n");
}

asio::awaitable<std::string> Node::statusText()
{
    const auto status = co_await m_policy.status();
    Json json{
        {"node", m_identity.name.value()},
        {"version", Version},
        {"incarnation", m_identity.incarnation.value()},
        {"region", m_identity.region.value()},
        {"dataCentre", m_identity.dataCentre.value()},
        {"draining", status.draining},
        {"inFlight", m_inFlight.count()},
        {"calls", status.calls},
        {"attempts", status.attempts},
        {"tickets", status.tickets},
        {"targets", status.targets},
        {"ejected", status.ejected},
        {"load", {{"running", status.load.running}, {"queued", status.load.queued}, {"limit", status.load.limit}}}};
    json["control"] = Json::parse(m_control.statusText());
    if (status.upstream) {
        json["upstream"] = {{"service", status.upstream->service.value()},
                            {"address", status.upstream->address.value()},
                            {"slots", status.upstream->slots.value()},
                            {"state", StateLabels.at(static_cast<std::size_t>(status.state))}};
    }
    co_return json.dump();
}

const ListenSettings &Node::addresses() const
{
    return m_settings.listen;
}

PolicyTask &Node::policy()
{
    return m_policy;
}

const ControlTask &Node::control() const
{
    return m_control;
}

const Metrics &Node::metrics() const
{
    return m_metrics;
}

const NodeIdentity &Node::identity() const
{
    return m_identity;
}

} // namespace Geraniumsail
