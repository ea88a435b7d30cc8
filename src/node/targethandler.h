// Runs attempts on the node's own upstream: asks the policy task, sends the request, reports the end.
//
// A repeatable attempt is cancelled with its caller. Unrepeatable work that has started runs to its end or deadline
// even if its caller is gone, so that a resend with the same ticket gets the answer instead of an unknown outcome.
#ifndef GERANIUMSAIL_NODE_TARGETHANDLER_H
#define GERANIUMSAIL_NODE_TARGETHANDLER_H

#include "net/httpclient.h"
#include "net/httpserver.h"
#include "node/inflight.h"
#include "node/metrics.h"
#include "node/policytask.h"

#include <memory>
#include <unordered_map>

namespace Geraniumsail {

class TargetHandler
{
public:
    TargetHandler(PolicyTask &policy, HttpClient &upstream, Metrics &metrics, InFlight &inFlight);

    /// A request on the peer listener.
    boost::asio::awaitable<HttpResponse> handlePeer(HttpRequest request, RequestScope &scope);
    /// An attempt of this node's calling role.
    boost::asio::awaitable<HttpResponse> run(CallContext context, ServiceName service, HttpRequest request,
                                             Cancellation &cancellation);
    /// Cancelled together with the running attempt; null if it does not run.
    std::shared_ptr<Cancellation> cancellationOf(const AttemptId &id) const;

private:
    struct Run;
    class RunReader;

    boost::asio::awaitable<HttpResponse> execute(const CallContext &context, const RunAttempt &action,
                                                 HttpRequest request, Cancellation &cancellation);
    boost::asio::awaitable<HttpResponse> answerFailure(std::unique_ptr<Run> run, TransferError error);
    boost::asio::awaitable<HttpResponse> answerWhole(std::unique_ptr<Run> run, HttpResponse response);

    PolicyTask &m_policy;
    HttpClient &m_upstream;
    Metrics &m_metrics;
    InFlight &m_inFlight;
    std::unordered_map<AttemptId, std::shared_ptr<Cancellation>> m_running;
};

} // namespace Geraniumsail

#endif
