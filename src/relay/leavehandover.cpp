#include "relay/leavehandover.h"

#include "config/jsonfields.h"
#include "relay/entrycodec.h"

namespace Geraniumsail {

namespace {

constexpr std::string_view Path = "/geraniumsail/leaves";
constexpr std::string_view StateHeader = "Geraniumsail-Leaves";
constexpr std::string_view HeldState = "held";
constexpr std::string_view StoredState = "stored";

} // namespace

bool isLeaveHandover(const HttpRequestMessage &message)
{
    return std::string_view(message.target()) == Path;
}

HttpRequest buildLeaveHandover(const Address &receiver, const LeaveHandover &handover)
{
    const Json json{{"node", handover.node.value()}, {"record", encodeLeaves(handover.record)}};
    return makeRequest(boost::beast::http::verb::post, Path, receiver.value(),
                       json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::optional<LeaveHandover> decodeLeaveHandover(const HttpRequestMessage &message)
{
    const auto json = parseJson(message.body());
    const auto node = stringField(json, "node");
    const auto record = decodeLeaves(stringField(json, "record").value_or(""));
    if (!node || node->empty() || !record) {
        return std::nullopt;
    }
    return LeaveHandover{NodeName(*node), *record};
}

HttpResponse buildHandoverResponse(HandoverResult result)
{
    auto response = makeResponse(result == HandoverResult::Failed ? 503 : 200, "text/plain", "");
    if (result != HandoverResult::Failed) {
        response.message.set(std::string(StateHeader), result == HandoverResult::Stored ? StoredState : HeldState);
    }
    return response;
}

HandoverResult decodeHandoverResponse(const boost::system::result<HttpResponse, TransferError> &response)
{
    if (!response || response->message.result_int() != 200) {
        return HandoverResult::Failed;
    }
    const auto state = fieldValue(response->message, StateHeader);
    if (state == StoredState) {
        return HandoverResult::Stored;
    }
    return state == HeldState ? HandoverResult::Held : HandoverResult::Failed;
}

} // namespace Geraniumsail
