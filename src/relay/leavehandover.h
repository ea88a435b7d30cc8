// The message by which one node hands the leaves of an upstream (core/leaverecord.h) to another one: "POST
// /geraniumsail/leaves" with the name of the node beside that upstream and its record as body.
//
// The receiver keeps the record until it is in the store and that node knows it. It answers 200 and states whether the
// record is in the store already or only held in its memory. The node beside the upstream itself applies the record.
#ifndef GERANIUMSAIL_RELAY_LEAVEHANDOVER_H
#define GERANIUMSAIL_RELAY_LEAVEHANDOVER_H

#include "core/leaverecord.h"
#include "net/httpmessage.h"

#include <boost/system/result.hpp>

#include <optional>

namespace Geraniumsail {

struct LeaveHandover
{
    NodeName node; ///< Beside the upstream that left.
    LeaveRecord record;
};

enum class HandoverResult {
    Failed, ///< The other node cannot keep the record, or its answer did not arrive.
    Held, ///< In the memory of the other node.
    Stored,
};

bool isLeaveHandover(const HttpRequestMessage &message);
HttpRequest buildLeaveHandover(const Address &receiver, const LeaveHandover &handover);
/// Returns nothing if the request is malformed.
std::optional<LeaveHandover> decodeLeaveHandover(const HttpRequestMessage &message);
HttpResponse buildHandoverResponse(HandoverResult result);
HandoverResult decodeHandoverResponse(const boost::system::result<HttpResponse, TransferError> &response);

} // namespace Geraniumsail

#endif
