// One node: its listeners, its tasks, and their orderly start and stop.
#ifndef GERANIUMSAIL_NODE_NODE_H
#define GERANIUMSAIL_NODE_NODE_H

#include "config/settings.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "node/callhandler.h"
#include "node/inflight.h"
#include "node/metrics.h"
#include "node/policytask.h"
#include "node/targethandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Geraniumsail {

class Node
{
public:
    /// Binds the listeners; throws boost::system::system_error if one cannot be bound.
    Node(boost::asio::io_context &context, NodeSettings settings);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node() = default;

    void start();
    /// Begins a graceful stop: new calls are refused with Draining, requests in flight end normally.
    void beginStop();
    /// Completes when the stop has ended.
    boost::asio::awaitable<void> stopped();

    /// The addresses in use; a port 0 of the settings is replaced by the bound one.
    const ListenSettings &addresses() const;
    PolicyTask &policy();
    const Metrics &metrics() const;
    const NodeIdentity &identity() const;

private:
    boost::asio::awaitable<HttpResponse> onCaller(HttpRequest request, RequestScope &scope);
    boost::asio::awaitable<HttpResponse> onLocal(HttpRequest request, RequestScope &scope);
    boost::asio::awaitable<HttpResponse> onAdmin(HttpRequest request, RequestScope &scope);
    HttpResponse onAnnounce(const HttpRequest &request);
    boost::asio::awaitable<std::string> statusText();
    boost::asio::awaitable<void> stopLoop();
    boost::asio::awaitable<void> housekeeping();
    void bind();

    boost::asio::io_context &m_context;
    NodeSettings m_settings;
    NodeIdentity m_identity;
    Metrics m_metrics;
    InFlight m_inFlight;
    PolicyTask m_policy;
    HttpClient m_peers;
    HttpClient m_upstream;
    TargetHandler m_target;
    CallHandler m_calls;
    HttpServer m_callerServer;
    HttpServer m_localServer;
    HttpServer m_peerServer;
    HttpServer m_adminServer;
    boost::asio::steady_timer m_housekeepingTimer;
    boost::asio::steady_timer m_stopTimer;
    bool m_draining = false;
    bool m_stopped = false;
};

} // namespace Geraniumsail

#endif
