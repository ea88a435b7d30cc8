// Routes the requests that arrive on this VM: those of its callers, and the calls that its upstream makes while it runs
// other requests.
//
// A request is matched against the configuration in force when it arrived, refused early if the services on its path
// are overloaded, and sent to the node beside an upstream that LoadBalancer chooses. A further attempt follows only
// - if the previous one was certainly not delivered (refused connection, refusal by the target node). Only
//   MaxUndeliveredAttempts, the available upstreams and the remaining time limit these attempts; max_attempts and the
//   redelivery budget do not apply, because no upstream received the request; or
// - if an upstream rejected the request without running it, or the outcome of an idempotent request is unknown, or an
//   idempotent call failed with status 500. These attempts are limited by max_attempts of the route and by the
//   redelivery budget of the service.
// The final response is sent as soon as no attempt remains, and at the latest at the timeout of the route.
#ifndef GERANIUMSAIL_RELAY_REQUESTROUTER_H
#define GERANIUMSAIL_RELAY_REQUESTROUTER_H

#include "core/loadbalancer.h"
#include "core/random.h"
#include "core/redeliverybudget.h"
#include "core/retryafterpolicy.h"
#include "core/rootadmission.h"
#include "core/routetable.h"
#include "core/upstreamdirectory.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "relay/attemptcodec.h"
#include "relay/relaysettings.h"
#include "relay/upstreamproxy.h"

namespace Geraniumsail {

class RequestRouter
{
public:
    RequestRouter(const boost::asio::any_io_executor &executor, const HeaderNames &names, const RelaySettings &settings,
                  UpstreamProxy &upstreamProxy, const Reporter &reporter);

    boost::asio::awaitable<HttpResponse> handle(HttpRequest request, RequestScope &scope);

    /// Replaces the route table. Returns false, and keeps the current one, unless the new table has a higher version.
    bool setRoutes(RouteTable table);
    const RouteTable &routes() const
    {
        return *m_routes;
    }
    /// The node stops at this time: requests that may take longer are refused from now on.
    void setStopDeadline(MonotonicTime deadline)
    {
        m_stopDeadline = deadline;
    }
    bool hasRoutes() const
    {
        return m_routes->version().value() > 0;
    }
    UpstreamDirectory &directory()
    {
        return m_directory;
    }
    const UpstreamDirectory &directory() const
    {
        return m_directory;
    }
    LoadBalancer &loadBalancer()
    {
        return m_loadBalancer;
    }
    /// Closes idle connections and removes lapsed directory entries. Must be called several times a second.
    void tick();
    /// Number of requests in progress.
    std::size_t activeRequests() const
    {
        return m_activeRequests;
    }

private:
    struct RequestState;

    std::optional<RequestState> routeRequest(const HttpRequest &request);
    boost::asio::awaitable<AttemptResult> sendAttempt(RequestState &state, const KnownEntry &chosen,
                                                      HttpRequest request, Cancellation &cancellation);
    boost::asio::awaitable<AttemptResult> sendToPeer(const Address &peer, const AttemptContext &context,
                                                     HttpRequest request, Cancellation &cancellation);
    boost::asio::awaitable<AttemptResult> runAttempts(RequestState &state, HttpRequest request,
                                                      Cancellation &cancellation);
    void recordResult(const RequestState &state, const KnownEntry &chosen, const AttemptResult &result);
    static RedeliveryPriority redeliveryPriority(const RequestState &state);
    bool shouldRetry(RequestState &state, const AttemptResult &result);
    /// Size of the request body plus the average size of the response bodies of the route.
    ByteCount expectedBytes(const RequestState &state) const;
    HttpResponse buildResponse(const RequestState &state, AttemptResult result);
    HttpResponse buildErrorResponse(const RequestState &state, ErrorKind kind);
    HttpResponse refuseUnrouted(const HttpRequest &request, ErrorKind kind);
    Duration retryAfterDelay(const RequestState &state, ErrorKind kind);
    void reportResponse(const RequestState &state, const AttemptResult &result, unsigned status) const;

    const HeaderNames &m_names;
    const RelaySettings &m_settings;
    UpstreamProxy &m_upstreamProxy;
    const Reporter &m_reporter;
    HttpClient m_peerClient;
    std::shared_ptr<const RouteTable> m_routes;
    TrafficSplitter m_trafficSplitter;
    UpstreamDirectory m_directory;
    LoadBalancer m_loadBalancer;
    RedeliveryBudget m_redeliveryBudget;
    RootAdmission m_rootAdmission;
    RetryAfterPolicy m_retryAfterPolicy;
    std::map<RouteName, double> m_responseBytes; ///< Exponential moving average of the body size.
    Random m_random;
    std::size_t m_activeRequests = 0;
    std::optional<MonotonicTime> m_stopDeadline;
    MonotonicTime m_nextIdleCheck; ///< When idle connections are checked next.
};

} // namespace Geraniumsail

#endif
