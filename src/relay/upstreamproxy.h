// Delivers requests to the upstream beside this node.
//
// All requests for the upstream, from callers on this VM and from other nodes, pass through this class. It therefore
// knows the exact number of running attempts, and sends nothing to a draining upstream after acknowledging its report.
// A request that has to wait is held in the WorkQueue while its coroutine waits on a timer, which is cancelled when the
// queue starts or refuses the request.
//
// Guarantees: a request that this class refuses was never sent to the upstream. A response is attributed to the
// upstream only if it carries the upstream's signature and the id of the request.
#ifndef GERANIUMSAIL_RELAY_UPSTREAMPROXY_H
#define GERANIUMSAIL_RELAY_UPSTREAMPROXY_H

#include "core/rootadmission.h"
#include "core/routetimes.h"
#include "core/upstreamgate.h"
#include "core/workqueue.h"
#include "net/httpclient.h"
#include "relay/attemptcodec.h"
#include "relay/reporter.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <unordered_map>

namespace Geraniumsail {

class UpstreamProxy
{
public:
    UpstreamProxy(const boost::asio::any_io_executor &executor, const HeaderNames &names, ServiceName service,
                  Address upstream, const Reporter &reporter);

    /// Runs one request on the upstream, or returns the reason why it did not run. cancellation must stay valid until
    /// the result is returned.
    boost::asio::awaitable<AttemptResult> deliver(AttemptContext context, HttpRequest request,
                                                  Cancellation &cancellation);

    /// Handles a report of the upstream. Nothing is delivered to an incarnation that has reported to be draining.
    ReportVerdict onReport(const UpstreamReport &report);
    ReportVerdict onDeregistration(const UpstreamId &id, std::int64_t startedMs);
    /// Refuses all requests until onEarlierLeavesKnown().
    void awaitEarlierLeaves();
    /// An earlier process of this node had acknowledged that this incarnation left. Returns false if that was known.
    bool onEarlierLeave(const UpstreamId &id, std::int64_t startedMs);
    void onEarlierLeavesKnown();
    /// Sets the configured maximum number of connections to the upstream.
    void setConnectionLimit(Connections limit);
    /// Marks this node as stopping.
    void beginStop();
    /// Expires queued requests and updates the overload controller. Must be called several times a second.
    void tick();
    /// Sets the metrics of the present state, before they are read.
    void updateMetrics() const;
    /// Records the admitted fraction in the response to a call made for a request of the route parent.
    void onCallAdmittedFraction(const RouteName &parent, AdmittedFraction fraction);

    /// Returns the route of the running request that the call with this id was made for. The id of a call is that of
    /// its parent request followed by a dot and a suffix. Returns nothing for a root request.
    std::optional<RouteName> routeOfParent(const RequestId &id);
    /// Whether calls can be distinguished from root requests. True once this node or another one has seen a call whose
    /// id extends the id of its parent request.
    bool recognizesCalls() const
    {
        return m_recognizesCalls;
    }

    const UpstreamGate &gate() const
    {
        return m_gate;
    }
    const ServiceName &service() const
    {
        return m_service;
    }
    QueueLoad load() const
    {
        return m_queue.load();
    }
    /// Returns the minimum of the admitted fraction of this queue and the one received in responses to calls made for
    /// requests of the route.
    AdmittedFraction admittedFraction(const RouteName &route) const;
    bool isStopping() const
    {
        return m_stopping;
    }

private:
    struct Waiter;
    class RunningRequest;

    boost::asio::awaitable<std::optional<ErrorKind>> waitForSlot(const AttemptContext &context,
                                                                 MonotonicTime arrivalTime, Cancellation &cancellation);
    boost::asio::awaitable<AttemptResult> forward(const AttemptContext &context, HttpRequest request,
                                                  MonotonicTime deadline, Cancellation &cancellation);
    AttemptResult classifyResponse(const AttemptContext &context, const UpstreamId &expected, HttpResponse response);
    AttemptResult buildRefusal(const AttemptContext &context, ErrorKind kind, Duration waited);
    void resumeWaiters(const std::vector<WorkId> &ids, std::optional<ErrorKind> reason);
    void startQueuedRequests();
    void refuseQueuedRequests();
    void updateRunningLimit();
    void addLoadState(const AttemptContext &context, AttemptResult &result) const;

    boost::asio::any_io_executor m_executor;
    const HeaderNames &m_names;
    ServiceName m_service;
    Address m_upstreamAddress;
    const Reporter &m_reporter;
    HttpClient m_upstreamClient;
    UpstreamGate m_gate;
    WorkQueue m_queue;
    RouteTimes m_runTimes; ///< Service times at the upstream.
    OverloadController m_overload;
    std::map<RouteName, DecayingFraction> m_callFractions; ///< By the route of the parent request.
    std::map<WorkId, Waiter *> m_waiters;
    std::unordered_multimap<RequestId, RouteName> m_runningRequests; ///< At the upstream.
    bool m_recognizesCalls = false;
    std::uint64_t m_nextWorkId = 1;
    int m_consecutiveConnectFailures = 0;
    bool m_stopping = false;
    MonotonicTime m_nextIdleCheck; ///< When idle connections are checked next.
};

} // namespace Geraniumsail

#endif
