// JSON form of the control messages.
//
// Every message is an object with "v":1 and one-letter fields; member records, digests and documents are arrays without
// field names, because they make up nearly all of the traffic. Decoding is strict: an unknown or missing field, another
// version, a wrong type, a name outside the allowed characters or a list over its bound is refused with an RpcError
// that names the place. Hashes are hexadecimal texts.
#ifndef GERANIUMSAIL_NODE_CONTROLCODEC_H
#define GERANIUMSAIL_NODE_CONTROLCODEC_H

#include "core/controlmessages.h"

#include <string>
#include <string_view>

namespace Geraniumsail {

/// Largest body of a control message: one document of the largest size, with escapes, and its envelope.
constexpr std::size_t MaxControlBytes = 4 * MaxDocumentBytes;

/// JSON-RPC method of a request.
std::string_view methodOf(const ControlRequest &request);

/// Parameters and results as JSON text.
std::string encodeRequest(const ControlRequest &request);
std::string encodeReply(const ControlReply &reply);

/// Throws RpcError for parameters that are not exactly those of the method.
ControlRequest decodeRequest(std::string_view method, std::string_view params);
/// Decodes the result of a request of the same method; throws RpcError.
ControlReply decodeReply(std::string_view method, std::string_view result);

} // namespace Geraniumsail

#endif
