#include "node/voidclient.h"

#include "net/clock.h"
#include "rpc/jsonrpc.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Geraniumsail {

using Json = nlohmann::json;

namespace {

constexpr int ProtocolVersion = 1;

std::optional<VoidVerdict> decodeVoidResult(const std::string &response)
{
    try {
        const auto result = Json::parse(decodeResponse(response), nullptr, false);
        if (!result.is_object() || !result.contains("verdict") || !result["verdict"].is_string()) {
            return std::nullopt;
        }
        return voidVerdictFromLabel(result["verdict"].get<std::string>());
    } catch (const RpcError &) {
        return std::nullopt;
    }
}

} // namespace

boost::asio::awaitable<std::optional<VoidVerdict>> requestVoid(HttpClient &client, Address control, CallContext context,
                                                               MonotonicTime deadline)
{
    const auto now = monotonicNow();
    const Json params{{"v", ProtocolVersion}, {"attempt", encodeContext(context, now)}};
    auto request =
        makeRequest(boost::beast::http::verb::post, "/", control.value(), encodeRequest("voidAttempt", params.dump()));
    request.message.set(boost::beast::http::field::content_type, "application/json");
    const auto answer =
        co_await client.send(control, std::move(request), {std::min(deadline, now + VoidTimeout), nullptr});
    if (!answer || answer->rest || answer->message.result_int() != 200) {
        co_return std::nullopt;
    }
    co_return decodeVoidResult(answer->message.body());
}

std::optional<CallContext> decodeVoidParams(const std::string &params, MonotonicTime now)
{
    const auto json = Json::parse(params, nullptr, false);
    if (!json.is_object() || json.size() != 2 || json.value("v", Json()) != ProtocolVersion
        || !json.value("attempt", Json()).is_string()) {
        return std::nullopt;
    }
    return decodeContext(json["attempt"].get<std::string>(), now);
}

std::string encodeVoidResult(VoidVerdict verdict)
{
    return Json{{"verdict", std::string(voidVerdictLabel(verdict))}}.dump();
}

} // namespace Geraniumsail
