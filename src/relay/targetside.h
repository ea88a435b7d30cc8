// Delivers requests to the upstream beside this node.
//
// Every request for the upstream passes here, from callers on this VM and from other nodes, so that the number in
// flight is known exactly and a leaving upstream receives nothing after its acknowledgement. A request waits in the
// WorkQueue; its coroutine sleeps on a timer that the queue's decisions cancel.
//
// What is certain: a refusal from here was never sent to the upstream. An answer counts as the upstream's only with its
// signature and the id of the request.
#ifndef GERANIUMSAIL_RELAY_TARGETSIDE_H
#define GERANIUMSAIL_RELAY_TARGETSIDE_H

#include "core/rootadmission.h"
#include "core/routetimes.h"
#include "core/upstreamgate.h"
#include "core/workqueue.h"
#include "net/httpclient.h"
#include "relay/exchange.h"
#include "relay/reporter.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <unordered_map>

namespace Geraniumsail {

class TargetSide
{
public:
    TargetSide(const boost::asio::any_io_executor &executor, const HeaderNames &names, ServiceName service,
               Address upstream, const Reporter &reporter);

    /// Runs one request on the upstream, or says why not. The cancellation must outlive the answer.
    boost::asio::awaitable<AttemptResult> deliver(AttemptContext context, HttpRequest request,
                                                  Cancellation &cancellation);

    /// A report of the upstream. Nothing is delivered to an incarnation after its report of leaving.
    ReportVerdict onReport(const UpstreamReport &report);
    ReportVerdict onLeave(const UpstreamId &id, std::int64_t startedMs);
    /// The declared limit of connections to the upstream.
    void setConnectionLimit(Connections limit);
    /// Refuses requests of other nodes from now on.
    void beginStop();
    /// Expires waiting requests and moves the overload signal; to be called a few times a second.
    void tick();
    /// A call that the upstream made for a request of this route was answered with this admitted fraction.
    void onCallFraction(const RouteName &parent, AdmittedFraction fraction);

    /// The route of the request that the upstream runs and that this id extends by a dot and more: such an id belongs
    /// to a call that the upstream makes for it. Nothing for a root request.
    std::optional<RouteName> routeOfParent(const RequestId &id);
    /// Whether calls can be told from root requests: ids of calls were seen to extend those of their parents, here or
    /// by another node.
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
    /// The minimum of this queue's admitted fraction and of that learned from the calls for requests of this route.
    AdmittedFraction admittedFraction(const RouteName &route) const;
    bool isStopping() const
    {
        return m_stopping;
    }

private:
    struct Waiter;

    boost::asio::awaitable<std::optional<ErrorKind>> waitForSlot(const AttemptContext &context, MonotonicTime arrived,
                                                                 Cancellation &cancellation);
    boost::asio::awaitable<AttemptResult> run(const AttemptContext &context, HttpRequest request,
                                              MonotonicTime deadline, Cancellation &cancellation);
    AttemptResult classify(const AttemptContext &context, const UpstreamId &expected, HttpResponse response);
    AttemptResult refusal(const AttemptContext &context, ErrorKind kind, Duration waited);
    void wake(const std::vector<WorkId> &ids, std::optional<ErrorKind> reason);
    void startWaiting();
    void closeGate();
    void updateLimit();
    void addState(const AttemptContext &context, AttemptResult &result) const;

    boost::asio::any_io_executor m_executor;
    const HeaderNames &m_names;
    ServiceName m_service;
    Address m_address;
    const Reporter &m_reporter;
    HttpClient m_client;
    UpstreamGate m_gate;
    WorkQueue m_queue;
    RouteTimes m_runTimes; ///< At the upstream.
    OverloadController m_overload;
    std::map<RouteName, DecayingFraction> m_callFractions; ///< By the route of the parent.
    std::map<WorkId, Waiter *> m_waiters;
    std::unordered_multimap<RequestId, RouteName> m_running; ///< At the upstream.
    bool m_recognizesCalls = false;
    std::uint64_t m_nextId = 1;
    int m_refusedConnections = 0; ///< In a row.
    bool m_stopping = false;
    MonotonicTime m_cleanAt; ///< Next pass over idle connections.
};

} // namespace Geraniumsail

#endif
