#include "standin/http.h"

#include "core/text.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace Geraniumsail::Standin {

namespace asio = boost::asio;

namespace {

class BrokenReader : public BodyReader
{
public:
    asio::awaitable<boost::system::result<std::string, TransferError>> next() override
    {
        co_return TransferError::TruncatedAnswer;
    }
};

} // namespace

std::uint64_t Target::number(const std::string &name, std::uint64_t fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : parseNumber<std::uint64_t>(found->second).value_or(fallback);
}

Target parseTarget(std::string_view target)
{
    Target result;
    const auto mark = target.find('?');
    result.path = std::string(target.substr(0, mark));
    if (mark == std::string_view::npos) {
        return result;
    }
    for (const auto part : splitText(target.substr(mark + 1), '&')) {
        const auto equals = part.find('=');
        if (equals != std::string_view::npos) {
            result.query[std::string(part.substr(0, equals))] = std::string(part.substr(equals + 1));
        }
    }
    return result;
}

asio::awaitable<std::optional<std::string>> readWhole(std::string first, BodyReader *rest, std::size_t limit)
{
    auto whole = std::move(first);
    while (rest != nullptr && whole.size() <= limit) {
        auto part = co_await rest->next();
        if (!part) {
            co_return std::nullopt;
        }
        if (part->empty()) {
            break;
        }
        whole += *part;
    }
    if (whole.size() > limit) {
        co_return std::nullopt;
    }
    co_return whole;
}

std::optional<nlohmann::json> parseJsonObject(const std::string &body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    return json;
}

HttpResponse jsonResponse(unsigned status, const nlohmann::json &json)
{
    return makeResponse(status, "application/json",
                        json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

HttpResponse lostResponse()
{
    HttpResponse response;
    response.message.result(200);
    response.message.chunked(true);
    response.rest = std::make_unique<BrokenReader>();
    return response;
}

asio::awaitable<bool> pause(Duration duration, Cancellation &cancellation)
{
    if (cancellation.isCancelled()) {
        co_return false;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    const auto registration = cancellation.onCancel([&timer] { timer.cancel(); });
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    co_return !cancellation.isCancelled();
}

} // namespace Geraniumsail::Standin
