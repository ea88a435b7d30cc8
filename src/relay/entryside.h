// Handles the requests that begin on this VM: from its callers, and from its upstream while it runs other requests.
//
// A request is routed by the configuration in force when it arrived, refused early if the services that it leads to are
// overloaded, and sent to the node beside a chosen upstream. It is sent again only
// - after proof that it was not delivered (refused connection, refusal by the target node): as often as candidates and
//   time allow, because the upstreams saw nothing of it; or
// - after an upstream refused it, or an unknown outcome of an idempotent request: within the route's attempts and the
//   budget of the service.
// The final answer is sent at once when no attempt is left, and at the latest at the route's timeout.
#ifndef GERANIUMSAIL_RELAY_ENTRYSIDE_H
#define GERANIUMSAIL_RELAY_ENTRYSIDE_H

#include "core/loadbalancer.h"
#include "core/random.h"
#include "core/redeliverybudget.h"
#include "core/retryafterpolicy.h"
#include "core/rootadmission.h"
#include "core/routetable.h"
#include "core/upstreamdirectory.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "relay/exchange.h"
#include "relay/relaysettings.h"
#include "relay/targetside.h"

namespace Geraniumsail {

class EntrySide
{
public:
    EntrySide(const boost::asio::any_io_executor &executor, const HeaderNames &names, const RelaySettings &settings,
              TargetSide &target, const Reporter &reporter);

    boost::asio::awaitable<HttpResponse> handle(HttpRequest request, RequestScope &scope);

    /// Takes a newer table; false if the one in force is as new.
    bool setRoutes(RouteTable table);
    const RouteTable &routes() const
    {
        return *m_routes;
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
    /// Closes old connections and drops old beliefs; to be called a few times a second.
    void tick();
    /// Requests in flight.
    std::size_t active() const
    {
        return m_active;
    }

private:
    struct Flight;

    std::optional<Flight> begin(const HttpRequest &request);
    boost::asio::awaitable<AttemptResult> attempt(Flight &flight, const KnownEntry &chosen, HttpRequest request,
                                                  Cancellation &cancellation);
    boost::asio::awaitable<AttemptResult> sendToPeer(const Address &peer, const AttemptContext &context,
                                                     HttpRequest request, Cancellation &cancellation);
    boost::asio::awaitable<AttemptResult> runAttempts(Flight &flight, HttpRequest request, Cancellation &cancellation);
    void learn(const Flight &flight, const KnownEntry &chosen, const AttemptResult &result);
    static RedeliveryPriority priorityOf(const Flight &flight);
    bool mayTryAgain(Flight &flight, const AttemptResult &result);
    /// Size of both bodies, the answer's by the answers to earlier requests of the route.
    ByteCount expectedBytes(const Flight &flight) const;
    HttpResponse finish(const Flight &flight, AttemptResult result);
    HttpResponse ownAnswer(const Flight &flight, ErrorKind kind);
    HttpResponse refuseUnrouted(const HttpRequest &request, ErrorKind kind);
    Duration retryAfter(const Flight &flight, ErrorKind kind);
    void report(const Flight &flight, const AttemptResult &result, unsigned status) const;

    const HeaderNames &m_names;
    const RelaySettings &m_settings;
    TargetSide &m_target;
    const Reporter &m_reporter;
    HttpClient m_peers;
    std::shared_ptr<const RouteTable> m_routes;
    TrafficSplitter m_splits;
    UpstreamDirectory m_directory;
    LoadBalancer m_loadBalancer;
    RedeliveryBudget m_budget;
    RootAdmission m_admission;
    RetryAfterPolicy m_retryAfterPolicy;
    std::map<RouteName, double> m_answerBytes; ///< Smoothed.
    Random m_random;
    std::size_t m_active = 0;
    MonotonicTime m_cleanAt; ///< Next pass over idle connections.
};

} // namespace Geraniumsail

#endif
