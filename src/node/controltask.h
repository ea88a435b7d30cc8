// Owner of membership and of the configuration in force: the control listener, the exchanges with other nodes, the
// watch of the store, and the lease on the contacts.
//
// All decisions are made by ControlCore; this task sends what it asks for and feeds the results back. Route targets and
// policies go out through Sinks, only when they changed. Requests from senders outside controlAllow are refused before
// their body is looked at.
#ifndef GERANIUMSAIL_NODE_CONTROLTASK_H
#define GERANIUMSAIL_NODE_CONTROLTASK_H

#include "config/settings.h"
#include "core/controlcore.h"
#include "core/policy.h"
#include "core/router.h"
#include "core/storesync.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/storeclient.h"
#include "rpc/jsonrpc.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Geraniumsail {

/// Control traffic since the start. Bytes are those of heads and bodies of HTTP, without TCP and IP.
struct ControlCounters
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsFailed = 0; ///< No whole, valid answer in time.
    std::uint64_t requestsReceived = 0;
    std::uint64_t requestsRefused = 0; ///< Answered with a JSON-RPC error.
    std::uint64_t sendersRefused = 0; ///< Not in controlAllow.
    std::uint64_t documentsRefused = 0; ///< A text in force that this version of the node cannot read.
};

class ControlTask
{
public:
    struct Sinks
    {
        std::function<void(ServiceName, std::vector<RouteTarget>)> members;
        std::function<void(ServicePolicy)> policy;
        std::function<void(std::vector<LinkPolicy>, std::size_t liveNodes)> links;
    };
    /// Answers a method of another task; throws RpcError.
    using Method = std::function<boost::asio::awaitable<std::string>(std::string params)>;

    ControlTask(const boost::asio::any_io_executor &executor, NodeSettings settings, Incarnation incarnation,
                std::uint64_t seed, Sinks sinks);
    ControlTask(const ControlTask &) = delete;
    ControlTask &operator=(const ControlTask &) = delete;

    void addMethod(const std::string &name, Method method);
    /// Binds the control listener; the returned address has the bound port. Throws boost::system::system_error.
    Address listen();
    /// peer is the bound address of the peer listener, which other nodes are told.
    void start(const Address &peer);

    /// What others are told about the own upstream. Leaving, too, while no upstream is announced.
    void setUpstream(MemberState state, const ServiceName &service, Slots slots, Duration coldStart);
    /// A call asked for a service; its members are fetched first if they are not known yet.
    void wantService(const ServiceName &service);
    /// Tells a few members that this node is gone, and ends the task. Returns within about a second.
    boost::asio::awaitable<void> leave();

    const ControlCounters &counters() const;
    const StoreCounters &storeCounters() const;
    const StoreSyncCounters &storeSyncCounters() const;
    const ControlCore &core() const;
    /// Summary as a JSON object: members, roles, configuration in force, traffic.
    std::string statusText() const;

private:
    boost::asio::awaitable<HttpResponse> onRequest(HttpRequest request, RequestScope &scope);
    boost::asio::awaitable<std::optional<std::string>> answerElsewhere(const std::string &body);
    boost::asio::awaitable<std::string> probeForOther(std::string params);
    std::string answer(std::string_view method, const std::string &params);
    boost::asio::awaitable<std::optional<ControlReply>> exchange(OutgoingRequest request);
    boost::asio::awaitable<void> sendAndReport(OutgoingRequest request);
    void send(std::vector<OutgoingRequest> requests);
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> callStore(StoreCall call);
    boost::asio::awaitable<void> maintainContacts();
    void publishChanges();
    void publishMembers();
    void publishDocuments();
    RouteTarget routeTarget(const MemberRecord &record, const std::set<DataCentreName> &unreachable) const;

    boost::asio::any_io_executor m_executor;
    NodeSettings m_settings;
    Sinks m_sinks;
    Random m_random;
    std::unique_ptr<ControlCore> m_core;
    StoreSync m_storeSync;
    std::unique_ptr<StoreClient> m_store;
    HttpClient m_client;
    HttpServer m_server;
    RpcServer m_rpc;
    std::map<std::string, Method> m_methods;
    std::optional<std::string> m_methodResult; ///< Of a method that was run before the dispatch.
    std::optional<RpcError> m_methodError;
    ControlCounters m_counters;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
    Incarnation m_incarnation;
    std::string m_lease;
    MonotonicTime m_nextContacts;
    bool m_contactsBusy = false;
    std::uint64_t m_publishedChangeCount = 0;
    MonotonicTime m_nextPublish;
    std::vector<DataCentreName> m_publishedUnreachable;
    std::map<ServiceName, std::vector<RouteTarget>> m_published;
    std::vector<LinkPolicy> m_links;
    std::size_t m_publishedLiveNodes = 0;
};

} // namespace Geraniumsail

#endif
