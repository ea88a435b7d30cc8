// Data that the entry node and the target node exchange about one attempt: its context and its result.
//
// Both are encoded as header fields of the forwarded request and its response. A node that is both entry and target of
// a request passes the same types without encoding them.
#ifndef GERANIUMSAIL_RELAY_ATTEMPTCODEC_H
#define GERANIUMSAIL_RELAY_ATTEMPTCODEC_H

#include "core/errorkind.h"
#include "core/rootadmission.h"
#include "core/routetable.h"
#include "core/upstreamgate.h"
#include "core/workqueue.h"
#include "net/httpmessage.h"

#include <optional>

namespace Geraniumsail {

/// Names of the header fields that callers, upstreams and nodes exchange. Each deployment defines its own.
struct HeaderNames
{
    std::string requestId; ///< Set by the caller and echoed by the upstream.
    std::string timeoutMs; ///< How long the sender waits for the response, in milliseconds.
    std::string expectedUpstream; ///< Id of the only upstream that may run the request.
    std::string notExecuted; ///< Present in responses of an upstream that did not run the request.
    std::string signature; ///< Present in responses that the upstream itself generated.
    std::string callerService; ///< Service on the VM where the request originated.
};

/// Whether a request was sent by a caller (root), or by an upstream while it ran another request (call).
enum class Origin {
    Root,
    Call,
};

/// Data of one attempt that the target node needs in addition to the request.
struct AttemptContext
{
    RequestId requestId;
    RouteName route;
    ServiceName service;
    UpstreamId upstream; ///< Only upstream that may run the request; any upstream if empty.
    ServiceName callerService;
    Origin origin = Origin::Root;
    Repeatability repeatability = Repeatability::AtMostOnce;
    Rank rank = LeastUrgentRank;
    Duration timeLeft{}; ///< Until the deadline, when the attempt was sent.
    Duration maxWait{}; ///< Maximum queueing time at the target node.
    ConfigVersion configVersion{0}; ///< Configuration that the entry node routed the request by.
};

/// Result of one attempt.
struct AttemptResult
{
    HttpResponse response; ///< Response of the upstream; valid if outcome is Ran.
    Outcome outcome = Outcome::Unknown;
    ErrorKind error = ErrorKind::Internal; ///< Valid if outcome is not Ran.
    bool mayBeDelivered = false; ///< The upstream received the request or may have received it.
    std::optional<QueueLoad> load; ///< Of the target node.
    std::optional<AdmittedFraction> admittedFraction; ///< Of the target node and of the services that it calls.
};

/// Adds the context to a request that is sent to another node.
void writeContext(const AttemptContext &context, HttpRequestMessage &message);
/// Reads the context of a request; returns nothing if the field is missing or malformed.
std::optional<AttemptContext> readContext(const HttpRequestMessage &message, std::string_view requestId);

/// Encodes a result as a response to another node.
HttpResponse encodeResult(AttemptResult result);
/// Decodes the response of another node. The outcome is Unknown if the response contains no result.
AttemptResult decodeResult(HttpResponse response);

/// Removes the header fields that are exchanged between nodes only.
void removeNodeFields(boost::beast::http::fields &fields);

} // namespace Geraniumsail

#endif
