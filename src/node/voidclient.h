// Asks another node to void an attempt, by the control method voidAttempt.
#ifndef GERANIUMSAIL_NODE_VOIDCLIENT_H
#define GERANIUMSAIL_NODE_VOIDCLIENT_H

#include "core/attemptregistry.h"
#include "net/httpclient.h"

#include <optional>
#include <string>

namespace Geraniumsail {

/// Longest wait for the verdict; the caller's deadline may be nearer.
constexpr Duration VoidTimeout = std::chrono::milliseconds(500);

/// Without a value if no verdict came.
boost::asio::awaitable<std::optional<VoidVerdict>> requestVoid(HttpClient &client, Address control, CallContext context,
                                                               MonotonicTime deadline);

/// The attempt in the parameters of voidAttempt; nothing if they are malformed.
std::optional<CallContext> decodeVoidParams(const std::string &params, MonotonicTime now);
std::string encodeVoidResult(VoidVerdict verdict);

} // namespace Geraniumsail

#endif
