// Handles calls of callers and of the own upstream: carries out the steps that the policy task decides.
#ifndef GERANIUMSAIL_NODE_CALLHANDLER_H
#define GERANIUMSAIL_NODE_CALLHANDLER_H

#include "node/targethandler.h"

namespace Geraniumsail {

class CallHandler
{
public:
    CallHandler(boost::asio::any_io_executor executor, NodeName self, PolicyTask &policy, TargetHandler &target,
                HttpClient &peers, Metrics &metrics, InFlight &inFlight);
    /// Told of the service of each call, so that its members can be fetched first after a start.
    void observeServices(std::function<void(const ServiceName &)> observer);

    boost::asio::awaitable<HttpResponse> handle(HttpRequest request, RequestScope &scope, ListenerName listener);
    /// GET /geraniumsail/ticket?service=S&kind=K: a ticket in the field and in the body.
    boost::asio::awaitable<HttpResponse> handleTicket(HttpRequest request, RequestScope &scope);

private:
    struct Progress;

    boost::asio::awaitable<HttpResponse> carryOut(CallInput input, HttpRequest request, RequestScope &scope);
    boost::asio::awaitable<CallEvent> sendAttempt(const SendAttempt &send, Progress &progress);
    boost::asio::awaitable<CallEvent> waitBackoff(Duration delay, Cancellation &cancellation);
    boost::asio::awaitable<CallEvent> sendVoidRequest(const SendVoidRequest &voidRequest, MonotonicTime deadline);
    HttpResponse finalAnswer(const CallStep &step, Progress &progress) const;

    boost::asio::any_io_executor m_executor;
    NodeName m_self;
    PolicyTask &m_policy;
    TargetHandler &m_target;
    HttpClient &m_peers;
    Metrics &m_metrics;
    InFlight &m_inFlight;
    std::function<void(const ServiceName &)> m_onService; ///< May be empty.
};

} // namespace Geraniumsail

#endif
