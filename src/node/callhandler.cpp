#include "node/callhandler.h"

#include "core/text.h"
#include "net/clock.h"
#include "node/callheaders.h"
#include "node/voidclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Geraniumsail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Keeps a planned stop waiting until the last byte of a long answer was taken.
class CountedReader : public BodyReader
{
public:
    CountedReader(std::unique_ptr<BodyReader> source, InFlight::Guard guard)
        : m_guard(std::move(guard)), m_source(std::move(source))
    {
    }
    asio::awaitable<boost::system::result<std::string, TransferError>> next() override
    {
        return m_source->next();
    }

private:
    InFlight::Guard m_guard;
    std::unique_ptr<BodyReader> m_source;
};

CallEvent eventOf(TransferError error)
{
    switch (error) {
    case TransferError::PoolFull:
    case TransferError::ConnectFailed:
        return AttemptFailed{ErrorKind::ConnectFailed};
    case TransferError::ConnectionLost:
        return AttemptFailed{ErrorKind::ConnectionLost};
    case TransferError::TimedOut:
        return AttemptFailed{ErrorKind::TimedOut};
    case TransferError::TruncatedAnswer:
        return AttemptFailed{ErrorKind::TruncatedAnswer};
    case TransferError::TruncatedRequest:
    case TransferError::SlowRequest:
    case TransferError::RequestTooLarge:
    case TransferError::CancelledBeforeSend:
    case TransferError::CancelledAfterSend:
        break;
    }
    return CallCancelled{};
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return {};
    }
    for (const auto part : splitText(target.substr(mark + 1), '&')) {
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name) {
            return std::string(part.substr(equals + 1));
        }
    }
    return {};
}

} // namespace

/// What is kept of a call between its steps.
struct CallHandler::Progress
{
    ServiceName service;
    HttpRequest request;
    Cancellation &cancellation;
    bool wantsCopy = false;
    HttpResponse answer; ///< Of the last attempt.
};

CallHandler::CallHandler(asio::any_io_executor executor, NodeName self, PolicyTask &policy, TargetHandler &target,
                         HttpClient &peers, Metrics &metrics, InFlight &inFlight)
    : m_executor(std::move(executor)), m_self(std::move(self)), m_policy(policy), m_target(target), m_peers(peers),
      m_metrics(metrics), m_inFlight(inFlight)
{
}

void CallHandler::observeServices(std::function<void(const ServiceName &)> observer)
{
    m_onService = std::move(observer);
}

asio::awaitable<HttpResponse> CallHandler::handle(HttpRequest request, RequestScope &scope, ListenerName listener)
{
    const auto startedAt = monotonicNow();
    auto input = parseCall(request, scope.remote, listener == ListenerName::Local);
    HttpResponse response;
    if (input) {
        if (m_onService) {
            m_onService(input->service);
        }
        auto guard = m_inFlight.enter();
        response = co_await carryOut(std::move(*input), std::move(request), scope);
        if (response.rest) {
            response.rest = std::make_unique<CountedReader>(std::move(response.rest), std::move(guard));
        }
    } else {
        response = errorResponse(input.error());
    }
    m_metrics.countAnswer(listener, readAttemptAnswer(response.message).reason);
    if (listener == ListenerName::Caller) {
        m_metrics.observeCall(monotonicNow() - startedAt);
    }
    co_return response;
}

asio::awaitable<HttpResponse> CallHandler::handleTicket(HttpRequest request, RequestScope &scope)
{
    const std::string target(request.message.target());
    request.message.set(ServiceField, queryValue(target, "service"));
    request.message.set("Geraniumsail-Kind", queryValue(target, "kind"));
    request.message.erase(TicketField);
    request.message.erase("Idempotency-Key");
    auto input = parseCall(request, scope.remote, false);
    if (!input) {
        co_return errorResponse(input.error());
    }
    input->ticketOnly = true;
    const auto step = co_await m_policy.beginCall(std::move(*input));
    const auto *answer = std::get_if<AnswerWithError>(&step.action);
    if (answer == nullptr || !answer->ticket) {
        co_return errorResponse(answer == nullptr ? ErrorKind::Internal : answer->kind);
    }
    const auto ticket = encodeTicket(*answer->ticket);
    auto response = makeResponse(200, "text/plain", ticket + "\n");
    response.message.set(TicketField, ticket);
    co_return response;
}

asio::awaitable<HttpResponse> CallHandler::carryOut(CallInput input, HttpRequest request, RequestScope &scope)
{
    // A child call ends with its parent; the shared pointer keeps the parent's object for the registration.
    const auto parent = input.parent ? m_target.cancellationOf(*input.parent) : nullptr;
    Cancellation::Registration link;
    if (parent) {
        link = parent->onCancel([&scope] { scope.cancellation.cancel(); });
    }
    Progress progress{input.service, std::move(request), scope.cancellation, false, {}};
    removeOwnFields(progress.request.message);
    auto step = co_await m_policy.beginCall(std::move(input));
    while (true) {
        progress.wantsCopy = step.wantsCopy;
        CallEvent event;
        if (const auto *send = std::get_if<SendAttempt>(&step.action)) {
            event = co_await sendAttempt(*send, progress);
        } else if (const auto *wait = std::get_if<WaitBackoff>(&step.action)) {
            event = co_await waitBackoff(wait->delay, scope.cancellation);
        } else if (const auto *voidRequest = std::get_if<SendVoidRequest>(&step.action)) {
            event = co_await sendVoidRequest(*voidRequest, step.deadline);
        } else {
            co_return finalAnswer(step, progress);
        }
        step = co_await m_policy.reportCall(step.call, std::move(event));
    }
}

asio::awaitable<CallEvent> CallHandler::sendAttempt(const SendAttempt &send, Progress &progress)
{
    HttpRequest request;
    request.message = progress.request.message;
    request.rest = std::move(progress.request.rest);
    if (send.target.node == m_self) {
        progress.answer =
            co_await m_target.run(send.context, progress.service, std::move(request), progress.cancellation);
    } else {
        request.message.set(ContextField, encodeContext(send.context, monotonicNow()));
        request.message.set(ServiceField, progress.service.value());
        auto result = co_await m_peers.send(send.target.peer, std::move(request),
                                            {send.context.deadline, &progress.cancellation});
        if (!result) {
            co_return eventOf(result.error());
        }
        progress.answer = std::move(*result);
    }
    if (progress.cancellation.isCancelled()) {
        co_return CallCancelled{};
    }
    AttemptAnswered answered;
    answered.answer = readAttemptAnswer(progress.answer.message);
    if (progress.wantsCopy && answered.answer.outcome == Outcome::Ran) {
        if (auto stored = storeAnswer(progress.answer)) {
            answered.copy = std::make_shared<const StoredAnswer>(std::move(*stored));
        }
    }
    co_return answered;
}

asio::awaitable<CallEvent> CallHandler::waitBackoff(Duration delay, Cancellation &cancellation)
{
    asio::steady_timer timer(m_executor, delay);
    const auto registration = cancellation.onCancel([&timer] { timer.cancel(); });
    if (!cancellation.isCancelled()) {
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (cancellation.isCancelled()) {
        co_return CallCancelled{};
    }
    co_return BackoffOver{};
}

asio::awaitable<CallEvent> CallHandler::sendVoidRequest(const SendVoidRequest &voidRequest, MonotonicTime deadline)
{
    if (voidRequest.target.node == m_self) {
        co_return VoidAnswered{co_await m_policy.voidAttempt(voidRequest.context)};
    }
    co_return VoidAnswered{co_await requestVoid(m_peers, voidRequest.target.control, voidRequest.context, deadline)};
}

HttpResponse CallHandler::finalAnswer(const CallStep &step, Progress &progress) const
{
    if (const auto *refusal = std::get_if<AnswerWithError>(&step.action)) {
        auto response = errorResponse(refusal->kind);
        if (refusal->ticket) {
            response.message.set(TicketField, encodeTicket(*refusal->ticket));
        }
        return response;
    }
    HttpResponse response;
    if (const auto *copy = std::get_if<CopyAnswer>(&step.action)) {
        response = restoreAnswer(*copy->answer);
    } else {
        response = std::move(progress.answer);
    }
    removeOwnFields(response.message);
    response.message.set(OutcomeField, outcomeLabel(Outcome::Ran));
    return response;
}

} // namespace Geraniumsail
