#include "standin/loadcaller.h"

#include "core/text.h"
#include "net/clock.h"
#include "standin/echo.h"
#include "standin/http.h"

#include <utility>

namespace Geraniumsail::Standin {

namespace asio = boost::asio;

namespace {

/// A caller waits longer than its stated time limit, so that it sees the node's own answer to it.
constexpr auto Patience = std::chrono::milliseconds(500);
constexpr unsigned StatusTicketRequired = 428;
constexpr unsigned StatusOk = 200;

std::string_view transferText(TransferError error)
{
    switch (error) {
    case TransferError::PoolFull:
    case TransferError::ConnectFailed:
        return "caller: not connected";
    case TransferError::TimedOut:
        return "caller: timed out";
    default:
        return "caller: connection broke";
    }
}

HttpRequest requestFor(const LoadStream &stream, const RequestIdentity &identity, const std::string &token,
                       const std::string &ticket)
{
    const bool isPost = stream.once || stream.bodyBytes > 0;
    const auto method = isPost ? boost::beast::http::verb::post : boost::beast::http::verb::get;
    auto request =
        makeRequest(method, "/" + stream.kind.value(), identity.entry.value(), std::string(stream.bodyBytes, 'b'));
    auto &fields = request.message;
    fields.set("Geraniumsail-Service", stream.service.value());
    fields.set("Geraniumsail-Kind", stream.kind.value());
    fields.set("Geraniumsail-Caller", identity.caller);
    fields.set("Geraniumsail-Timeout-Ms",
               std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(stream.timeout).count()));
    fields.set("X-Request-Id", token);
    fields.set(TokenField, token);
    if (!ticket.empty()) {
        fields.set("Geraniumsail-Ticket", ticket);
    }
    return request;
}

/// Reads the rest of an answer and compares all of it with what the token and the stated length ask for.
asio::awaitable<RequestEnd> checkAnswer(HttpResponse response, const std::string &token)
{
    RequestEnd end;
    end.outcome = Outcome::Ran;
    const auto length = parseNumber<std::size_t>(fieldValue(response.message, LengthField));
    bool same = length && fieldValue(response.message, TokenField) == token;
    std::size_t offset = 0;
    auto part = std::move(response.message.body());
    while (true) {
        same = same && part == echoPart(token, offset, part.size());
        offset += part.size();
        if (!response.rest) {
            break;
        }
        auto next = co_await response.rest->next();
        if (!next) {
            end.outcome = Outcome::Unknown;
            end.reason = "caller: answer cut off";
            co_return end;
        }
        if (next->empty()) {
            break;
        }
        part = std::move(*next);
    }
    end.whole = same && offset == *length;
    end.wrong = !end.whole;
    end.reason = end.wrong ? "wrong answer" : "";
    co_return end;
}

} // namespace

LoadCaller::LoadCaller(HttpClient &client, TokenClaims &claims) : m_client(client), m_claims(claims)
{
}

asio::awaitable<LoadCaller::Exchange> LoadCaller::exchange(const LoadStream &stream, const RequestIdentity &identity,
                                                           const std::string &token, const std::string &ticket)
{
    Exchange result;
    auto answer = co_await m_client.send(identity.entry, requestFor(stream, identity, token, ticket),
                                         {monotonicNow() + stream.timeout + Patience, nullptr});
    if (!answer) {
        const bool nothingSent =
            answer.error() == TransferError::PoolFull || answer.error() == TransferError::ConnectFailed;
        result.end.outcome = nothingSent ? Outcome::NotRun : Outcome::Unknown;
        result.end.reason = std::string(transferText(answer.error()));
        co_return result;
    }
    const auto &message = answer->message;
    if (message.result_int() == StatusOk) {
        result.end = co_await checkAnswer(std::move(*answer), token);
        co_return result;
    }
    const auto reason = fieldValue(message, "Geraniumsail-Reason");
    const auto failure = fieldValue(message, FailureField);
    result.end.outcome = outcomeFromLabel(fieldValue(message, "Geraniumsail-Outcome")).value_or(Outcome::Unknown);
    result.end.reason = !reason.empty() ? std::string(reason)
        : !failure.empty()              ? "upstream: " + std::string(failure)
                                        : "status " + std::to_string(message.result_int());
    if (message.result_int() == StatusTicketRequired) {
        result.ticket = std::string(fieldValue(message, "Geraniumsail-Ticket"));
    }
    co_return result;
}

asio::awaitable<LoadCaller::Exchange> LoadCaller::exchangeOnce(const LoadStream &stream,
                                                               const RequestIdentity &identity, std::string &ticket)
{
    auto result = co_await exchange(stream, identity, identity.token, ticket);
    if (ticket.empty() && !result.ticket.empty()) {
        ticket = result.ticket;
        result = co_await exchange(stream, identity, identity.token, ticket);
    }
    if (result.end.outcome == Outcome::NotRun) {
        ticket.clear();
    }
    co_return result;
}

asio::awaitable<RequestEnd> LoadCaller::send(const LoadStream &stream, RequestIdentity identity)
{
    const auto start = monotonicNow();
    Exchange result;
    std::string ticket;
    Cancellation none;
    for (std::uint32_t attempt = 0;; ++attempt) {
        const auto token = stream.once ? identity.token : identity.token + "-" + std::to_string(attempt);
        if (stream.once) {
            result = co_await exchangeOnce(stream, identity, ticket);
        } else {
            result = co_await exchange(stream, identity, token, "");
            if (result.end.outcome == Outcome::NotRun) {
                m_claims.notRun.push_back(token);
            }
        }
        result.end.resends = attempt;
        if (result.end.whole) {
            m_claims.whole.push_back(token);
        }
        if (result.end.outcome == Outcome::Ran || attempt == stream.resends) {
            break;
        }
        co_await pause(stream.resendWait, none);
    }
    if (stream.once) {
        m_claims.once.push_back(identity.token);
        if (result.end.outcome == Outcome::NotRun) {
            m_claims.notRun.push_back(identity.token);
        }
    }
    result.end.latency = monotonicNow() - start;
    co_return result.end;
}

} // namespace Geraniumsail::Standin
