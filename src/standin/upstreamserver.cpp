#include "standin/upstreamserver.h"

#include "core/text.h"
#include "net/clock.h"
#include "standin/echo.h"
#include "standin/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/parallel_group.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Geraniumsail::Standin {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxRequestBytes = 16'000'000;
constexpr std::size_t StreamPartBytes = 16'384;
/// Room for the connections of tests that switch or ask the upstream.
constexpr std::size_t ControlConnections = 16;
constexpr std::uint64_t DefaultDeadlineMs = 60'000;
/// A drain ends when no request has arrived for this time: other nodes learn of it within a second or two.
constexpr auto DrainQuietTime = std::chrono::seconds(2);
constexpr auto DrainLimit = std::chrono::seconds(60);
constexpr auto DrainPoll = milliseconds(50);

HttpResponse failure(unsigned status, const std::string &reason)
{
    auto response = makeResponse(status, "text/plain", reason + "\n");
    response.message.set(FailureField, reason);
    return response;
}

/// Tells the node that the request was not started.
HttpResponse shedResponse()
{
    auto response = failure(503, "shedding");
    response.message.set("Geraniumsail-Outcome", "not-run");
    response.message.set("Retry-After", "1");
    return response;
}

ServerLimits limitsOf(const ServiceBehaviour &behaviour)
{
    ServerLimits limits;
    limits.connections = behaviour.connections.value() + ControlConnections;
    return limits;
}

AnnouncedFacts factsOf(const UpstreamOptions &options)
{
    return {options.service, options.listen, options.behaviour.slots, options.behaviour.connections,
            options.behaviour.coldStart};
}

} // namespace

/// Counts a request as running while it exists.
class UpstreamServer::Active
{
public:
    explicit Active(UpstreamCounts &counts) : m_counts(counts)
    {
        m_counts.peakActive = std::max(m_counts.peakActive, ++m_counts.active);
    }
    Active(const Active &) = delete;
    Active &operator=(const Active &) = delete;
    ~Active()
    {
        --m_counts.active;
    }

private:
    UpstreamCounts &m_counts;
};

struct UpstreamServer::Request
{
    KindName kind;
    std::string token;
    std::string parent; ///< Value of Geraniumsail-Parent.
    std::string requestId;
    MonotonicTime deadline;
};

/// A long answer, sent at the rate of its kind.
class UpstreamServer::EchoReader : public BodyReader
{
public:
    EchoReader(std::string token, const KindBehaviour &kind, std::size_t cut, std::shared_ptr<Active> active)
        : m_token(std::move(token)), m_length(kind.answerBytes), m_rate(kind.bytesPerSecond), m_cut(cut),
          m_active(std::move(active))
    {
    }

    asio::awaitable<boost::system::result<std::string, TransferError>> next() override
    {
        if (m_offset >= m_cut) {
            co_return TransferError::TruncatedAnswer;
        }
        const auto size = std::min({StreamPartBytes, m_length - m_offset, m_cut - m_offset});
        if (m_rate > 0 && size > 0) {
            Cancellation none;
            co_await pause(std::chrono::microseconds(size * 1'000'000 / m_rate), none);
        }
        auto part = echoPart(m_token, m_offset, size);
        m_offset += size;
        co_return part;
    }

private:
    std::string m_token;
    std::size_t m_length;
    std::uint64_t m_rate;
    std::size_t m_cut; ///< The answer breaks off here; over m_length for a whole one.
    std::size_t m_offset = 0;
    std::shared_ptr<Active> m_active;
};

UpstreamServer::UpstreamServer(const asio::any_io_executor &executor, UpstreamOptions options)
    : m_executor(executor), m_options(std::move(options)), m_random(m_options.randomSeed),
      m_client(executor, ClientLimits{}), m_announcer(executor, m_client, m_options.node, factsOf(m_options)),
      m_server(executor, limitsOf(m_options.behaviour),
               [this](HttpRequest request, RequestScope &scope) { return handle(std::move(request), scope); }),
      m_startedAt(monotonicNow()), m_lastRequest(m_startedAt)
{
}

void UpstreamServer::start()
{
    m_server.listen(m_options.listen);
    asio::co_spawn(m_executor, m_announcer.run(), asio::detached);
}

void UpstreamServer::setOnStopped(std::function<void()> callback)
{
    m_onStopped = std::move(callback);
}

void UpstreamServer::drain()
{
    if (!std::exchange(m_draining, true)) {
        tellState();
    }
}

void UpstreamServer::drainAndStop()
{
    drain();
    if (!std::exchange(m_stopping, true)) {
        asio::co_spawn(m_executor, finishDrain(), asio::detached);
    }
}

asio::awaitable<void> UpstreamServer::finishDrain()
{
    const auto start = monotonicNow();
    Cancellation none;
    while (monotonicNow() - start < DrainLimit) {
        const bool told = m_announcer.drainsAccepted() > 0 || m_announcer.accepted() == 0;
        const auto quiet = monotonicNow() - std::max(m_lastRequest, start);
        if (told && m_counts.active == 0 && quiet >= DrainQuietTime) {
            break;
        }
        co_await pause(DrainPoll, none);
    }
    m_announcer.stop();
    m_server.stop();
    if (m_onStopped) {
        m_onStopped();
    }
}

void UpstreamServer::tellState()
{
    m_announcer.setState({m_draining, m_shedding && !m_falseHealth});
}

UpstreamServer::Answer UpstreamServer::handle(HttpRequest request, RequestScope &scope)
{
    const auto target = parseTarget({request.message.target().data(), request.message.target().size()});
    if (target.path.starts_with("/standin/")) {
        const auto body = co_await readWhole(request.message.body(), request.rest.get(), MaxRequestBytes);
        co_return control(request, target.path, body.value_or(""));
    }
    co_return co_await serve(std::move(request), scope);
}

UpstreamServer::Answer UpstreamServer::serve(HttpRequest request, RequestScope &scope)
{
    m_lastRequest = monotonicNow();
    if (m_shedding) {
        ++m_counts.shed;
        co_return shedResponse();
    }
    const auto active = std::make_shared<Active>(m_counts);
    const auto &fields = request.message;
    const auto path = parseTarget({fields.target().data(), fields.target().size()}).path;
    const auto left = parseNumber<std::uint64_t>(fieldValue(fields, "Geraniumsail-Deadline-Ms"));
    Request call;
    call.kind = KindName(path.substr(1, path.find('/', 1) - 1));
    call.requestId = std::string(fieldValue(fields, "X-Request-Id"));
    call.parent = std::string(fieldValue(fields, "Geraniumsail-Parent"));
    call.token = std::string(fieldValue(fields, TokenField));
    call.deadline = monotonicNow() + milliseconds(left.value_or(DefaultDeadlineMs));
    if (call.token.empty()) {
        call.token = call.requestId;
    }
    ++m_counts.started;
    ++m_executions[call.token];
    m_counts.connections += scope.firstOnConnection ? 1 : 0;
    const auto known = m_options.behaviour.kinds.find(call.kind);
    const auto kind = known == m_options.behaviour.kinds.end() ? KindBehaviour{} : known->second;
    if (!co_await readWhole(std::move(request.message.body()), request.rest.get(), MaxRequestBytes)) {
        co_return failure(400, "request cut off");
    }
    if (!co_await work(call, kind, scope)) {
        ++(scope.cancellation.isCancelled() ? m_counts.cancelled : m_counts.expired);
        co_return failure(504, "deadline passed");
    }
    if (const auto failed = co_await callChildren(call, kind); !failed.empty()) {
        ++m_counts.childFailures;
        co_return failure(502, failed);
    }
    if (std::bernoulli_distribution(m_failShare)(m_random)) {
        co_return failure(500, "failure by switch");
    }
    ++m_counts.completed;
    co_return answer(call, kind, active);
}

Duration UpstreamServer::serviceTime(const KindBehaviour &kind)
{
    std::uniform_real_distribution<double> spread(1.0 - kind.spread, 1.0 + kind.spread);
    double factor = spread(m_random) * m_serviceFactor;
    // Above its slots an upstream slows down for every request.
    factor *= std::max(1.0, static_cast<double>(m_counts.active) / m_options.behaviour.slots.value());
    const auto age = monotonicNow() - m_startedAt;
    const auto coldStart = m_options.behaviour.coldStart;
    if (age < coldStart) {
        const auto cold = 1.0 - static_cast<double>(age.count()) / static_cast<double>(coldStart.count());
        factor *= 1.0 + (ColdStartFactor - 1.0) * cold;
    }
    return Duration(static_cast<std::int64_t>(static_cast<double>(kind.serviceTime.count()) * factor));
}

asio::awaitable<bool> UpstreamServer::work(const Request &request, const KindBehaviour &kind, RequestScope &scope)
{
    const auto cost = scope.firstOnConnection ? m_options.behaviour.connectionCost : Duration::zero();
    const auto time = serviceTime(kind) + cost;
    const auto left = request.deadline - monotonicNow();
    const bool whole = co_await pause(std::min(time, left), scope.cancellation);
    co_return whole &&time <= left;
}

asio::awaitable<std::string> UpstreamServer::callChildren(const Request &request, const KindBehaviour &kind)
{
    if (!kind.parallelCalls) {
        for (std::size_t i = 0; i < kind.calls.size(); ++i) {
            auto failed = co_await callChild(request, kind.calls[i], i, 1);
            if (!failed.empty()) {
                co_return failed;
            }
        }
        co_return std::string();
    }
    using Operation = decltype(asio::co_spawn(m_executor, callChild(request, kind.calls[0], 0, 1), asio::deferred));
    std::vector<Operation> operations;
    for (std::size_t i = 0; i < kind.calls.size(); ++i) {
        operations.push_back(
            asio::co_spawn(m_executor, callChild(request, kind.calls[i], i, kind.calls.size()), asio::deferred));
    }
    auto [order, errors, results] = co_await asio::experimental::make_parallel_group(std::move(operations))
                                        .async_wait(asio::experimental::wait_for_all(), asio::use_awaitable);
    const auto failed = std::find_if(results.begin(), results.end(), [](const auto &r) { return !r.empty(); });
    co_return failed == results.end() ? std::string() : *failed;
}

asio::awaitable<std::string> UpstreamServer::callChild(const Request &request, const ChildCall &call, std::size_t index,
                                                       std::size_t parallel)
{
    const auto token = request.token + "." + std::to_string(index);
    const auto method = call.once ? boost::beast::http::verb::post : boost::beast::http::verb::get;
    auto message = makeRequest(method, "/" + call.kind.value(), m_options.node.value());
    auto &fields = message.message;
    fields.set("Geraniumsail-Service", call.service.value());
    fields.set("Geraniumsail-Kind", call.kind.value());
    fields.set("X-Request-Id", request.requestId);
    if (call.once) {
        fields.set("Idempotency-Key", token);
    }
    fields.set(TokenField, token);
    if (!request.parent.empty()) {
        fields.set("Geraniumsail-Parent", request.parent);
        fields.set("Geraniumsail-Parallel", std::to_string(parallel));
    }
    auto answer = co_await m_client.send(m_options.node, std::move(message), {request.deadline, nullptr});
    const auto name = call.service.value() + "/" + call.kind.value() + ": ";
    if (!answer) {
        co_return name + "no answer";
    }
    const auto body = co_await readWhole(std::move(answer->message.body()), answer->rest.get(), MaxRequestBytes);
    if (answer->message.result_int() != 200) {
        const auto reason = fieldValue(answer->message, "Geraniumsail-Reason");
        const auto inner = fieldValue(answer->message, FailureField);
        co_return name + std::string(reason.empty() ? inner : reason);
    }
    if (!body || fieldValue(answer->message, TokenField) != token) {
        co_return name + "wrong answer";
    }
    co_return std::string();
}

HttpResponse UpstreamServer::answer(const Request &request, const KindBehaviour &kind, std::shared_ptr<Active> active)
{
    const bool truncated = m_truncateAnswers > 0;
    m_truncateAnswers -= truncated ? 1 : 0;
    HttpResponse response;
    if (kind.bytesPerSecond == 0 && !truncated) {
        response = makeResponse(200, "text/plain", echoPart(request.token, 0, kind.answerBytes));
    } else {
        const auto cut = truncated ? kind.answerBytes / 2 : kind.answerBytes + 1;
        response.message.result(200);
        response.message.set(boost::beast::http::field::content_type, "text/plain");
        response.message.content_length(kind.answerBytes);
        response.rest = std::make_unique<EchoReader>(request.token, kind, cut, std::move(active));
    }
    response.message.set(TokenField, request.token);
    response.message.set(LengthField, std::to_string(kind.answerBytes));
    return response;
}

} // namespace Geraniumsail::Standin
