#include "node/targethandler.h"

#include "net/clock.h"
#include "node/callheaders.h"

#include <algorithm>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

AttemptEnd endOf(TransferError error)
{
    const auto end = [](ErrorKind kind) {
        return AttemptEnd{errorRow(kind).outcome, kind, std::nullopt, std::nullopt};
    };
    switch (error) {
    case TransferError::PoolFull:
        return end(ErrorKind::ConnectionLimit);
    case TransferError::ConnectFailed:
        return end(ErrorKind::ConnectFailed);
    case TransferError::ConnectionLost:
        return end(ErrorKind::ConnectionLost);
    case TransferError::TimedOut:
        return end(ErrorKind::TimedOut);
    case TransferError::TruncatedAnswer:
        return end(ErrorKind::TruncatedAnswer);
    case TransferError::CancelledBeforeSend:
        return end(ErrorKind::CancelledBeforeStart);
    case TransferError::TruncatedRequest:
    case TransferError::SlowRequest:
    case TransferError::RequestTooLarge:
    case TransferError::CancelledAfterSend:
        break;
    }
    return end(ErrorKind::CancelledAfterStart);
}

/// An upstream that sheds load says so itself; a 503 alone may come after the work was done.
bool isShed(const HttpResponse &response)
{
    return fieldValue(response.message, OutcomeField) == outcomeLabel(Outcome::NotRun);
}

HttpResponse refusalResponse(ErrorKind kind, const TargetReport &report)
{
    auto response = errorResponse(kind);
    setTargetReport(response.message, report);
    return response;
}

} // namespace

/// One running attempt. If it is dropped without a report, it ends as unknown.
struct TargetHandler::Run
{
    Run(TargetHandler &handler, CallContext callContext, InFlight::Guard guard)
        : owner(handler), context(std::move(callContext)), inFlight(std::move(guard)), startedAt(monotonicNow())
    {
        owner.m_running[context.attempt] = cancellation;
    }
    Run(const Run &) = delete;
    Run &operator=(const Run &) = delete;
    ~Run()
    {
        owner.m_running.erase(context.attempt);
        if (!reported) {
            owner.m_policy.endAttemptLater(context.attempt, endOf(TransferError::CancelledAfterSend));
        }
    }

    TargetHandler &owner;
    CallContext context;
    InFlight::Guard inFlight;
    MonotonicTime startedAt;
    std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
    Cancellation::Registration link;
    bool reported = false;
};

/// The rest of a long answer. The attempt runs until its last byte was read.
class TargetHandler::RunReader : public BodyReader
{
public:
    RunReader(std::unique_ptr<Run> run, std::unique_ptr<BodyReader> source)
        : m_run(std::move(run)), m_source(std::move(source))
    {
    }
    ~RunReader() override
    {
        // The source closes its connection before the attempt's slot is free.
        m_source.reset();
    }

    asio::awaitable<boost::system::result<std::string, TransferError>> next() override
    {
        auto part = co_await m_source->next();
        if (part && !part->empty()) {
            co_return part;
        }
        AttemptEnd end;
        if (part) {
            end.outcome = Outcome::Ran;
            end.serviceTime = monotonicNow() - m_run->startedAt;
        } else {
            end = endOf(part.error());
            m_run->owner.m_metrics.countTruncatedStream();
        }
        m_run->reported = true;
        m_run->owner.m_policy.endAttemptLater(m_run->context.attempt, std::move(end));
        co_return part;
    }

private:
    std::unique_ptr<Run> m_run;
    std::unique_ptr<BodyReader> m_source;
};

TargetHandler::TargetHandler(PolicyTask &policy, HttpClient &upstream, Metrics &metrics, InFlight &inFlight)
    : m_policy(policy), m_upstream(upstream), m_metrics(metrics), m_inFlight(inFlight)
{
}

asio::awaitable<HttpResponse> TargetHandler::handlePeer(HttpRequest request, RequestScope &scope)
{
    const auto context = decodeContext(fieldValue(request.message, ContextField), monotonicNow());
    const ServiceName service{std::string(fieldValue(request.message, ServiceField))};
    HttpResponse response;
    if (!context || !isIdentifier(service.value())) {
        response = errorResponse(ErrorKind::BadRequest);
    } else {
        response = co_await run(*context, service, std::move(request), scope.cancellation);
    }
    m_metrics.countAnswer(ListenerName::Peer, readAttemptAnswer(response.message).reason);
    co_return response;
}

asio::awaitable<HttpResponse> TargetHandler::run(CallContext context, ServiceName service, HttpRequest request,
                                                 Cancellation &cancellation)
{
    if (cancellation.isCancelled()) {
        co_return errorResponse(ErrorKind::CancelledBeforeStart);
    }
    AttemptDecision decision;
    {
        const auto registration = cancellation.onCancel([this, id = context.attempt] { m_policy.cancelAttempt(id); });
        decision = co_await m_policy.offerAttempt(context, std::move(service));
    }
    if (const auto *refusal = std::get_if<RefuseAttempt>(&decision.action)) {
        co_return refusalResponse(refusal->kind, decision.report);
    }
    if (const auto *repeat = std::get_if<RepeatAnswer>(&decision.action)) {
        auto response = restoreAnswer(*repeat->answer);
        response.message.set(OutcomeField, outcomeLabel(Outcome::Ran));
        setTargetReport(response.message, decision.report);
        co_return response;
    }
    co_return co_await execute(context, std::get<RunAttempt>(decision.action), std::move(request), cancellation);
}

std::shared_ptr<Cancellation> TargetHandler::cancellationOf(const AttemptId &id) const
{
    const auto found = m_running.find(id);
    return found == m_running.end() ? nullptr : found->second;
}

asio::awaitable<HttpResponse> TargetHandler::execute(const CallContext &context, const RunAttempt &action,
                                                     HttpRequest request, Cancellation &cancellation)
{
    auto run = std::make_unique<Run>(*this, context, m_inFlight.enter());
    if (!context.unrepeatable) {
        if (cancellation.isCancelled()) {
            run->cancellation->cancel();
        }
        run->link = cancellation.onCancel([target = run->cancellation] { target->cancel(); });
    }
    auto &message = request.message;
    removeOwnFields(message);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - monotonicNow()).count();
    message.set(ParentField, action.token.value());
    message.set("Geraniumsail-Deadline-Ms", std::to_string(std::max<std::int64_t>(left, 0)));
    message.set("X-Request-Id", context.id.value());
    m_upstream.setConnectionLimit(action.upstream, action.connections.value());
    auto result =
        co_await m_upstream.send(action.upstream, std::move(request), {context.deadline, run->cancellation.get()});
    if (!result) {
        co_return co_await answerFailure(std::move(run), result.error());
    }
    if (isShed(*result)) {
        run->reported = true;
        const AttemptEnd end{Outcome::NotRun, ErrorKind::UpstreamShed, std::nullopt, std::nullopt};
        const auto report = co_await m_policy.endAttempt(context.attempt, end);
        co_return refusalResponse(ErrorKind::UpstreamShed, report);
    }
    removeOwnFields(result->message);
    result->message.set(OutcomeField, outcomeLabel(Outcome::Ran));
    if (result->rest) {
        result->rest = std::make_unique<RunReader>(std::move(run), std::move(result->rest));
        co_return std::move(*result);
    }
    co_return co_await answerWhole(std::move(run), std::move(*result));
}

asio::awaitable<HttpResponse> TargetHandler::answerFailure(std::unique_ptr<Run> run, TransferError error)
{
    if (error == TransferError::ConnectFailed) {
        m_policy.upstreamUnreachable();
    }
    const auto end = endOf(error);
    run->reported = true;
    const auto report = co_await m_policy.endAttempt(run->context.attempt, end);
    co_return refusalResponse(end.kind, report);
}

asio::awaitable<HttpResponse> TargetHandler::answerWhole(std::unique_ptr<Run> run, HttpResponse response)
{
    AttemptEnd end;
    end.outcome = Outcome::Ran;
    end.serviceTime = monotonicNow() - run->startedAt;
    if (run->context.unrepeatable) {
        end.answer = storeAnswer(response);
    }
    run->reported = true;
    const auto report = co_await m_policy.endAttempt(run->context.attempt, std::move(end));
    setTargetReport(response.message, report);
    co_return response;
}

} // namespace Geraniumsail
