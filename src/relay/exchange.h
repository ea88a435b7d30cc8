// What the entry node and the target node tell each other about one request, and how an attempt ended.
//
// Both travel as header fields of the relayed request and its answer. A node that is entry and target at once passes
// the same types without encoding them.
#ifndef GERANIUMSAIL_RELAY_EXCHANGE_H
#define GERANIUMSAIL_RELAY_EXCHANGE_H

#include "core/errorkind.h"
#include "core/rootadmission.h"
#include "core/routetable.h"
#include "core/upstreamgate.h"
#include "core/workqueue.h"
#include "net/httpmessage.h"

#include <optional>

namespace Geraniumsail {

/// Header fields that callers, upstreams and nodes exchange. The names belong to the protocol of a deployment.
struct HeaderNames
{
    std::string requestId; ///< Set by the caller, repeated by the upstream.
    std::string timeoutMs; ///< Time that the sender will wait, in milliseconds.
    std::string expectedUpstream; ///< Id of the only upstream that may run the request.
    std::string notExecuted; ///< In answers of an upstream that did not run the request.
    std::string signature; ///< In answers that the upstream made.
    std::string callerService; ///< Service on the VM where the request began.
};

/// Whether a request began at a caller or was made by an upstream while it runs another request.
enum class Origin {
    Root,
    Call,
};

/// What the target node needs to know of a request.
struct AttemptContext
{
    RequestId request;
    RouteName route;
    ServiceName service;
    UpstreamId upstream; ///< The only one that may run it; empty for any.
    ServiceName callerService;
    Origin origin = Origin::Root;
    Repeatability repeatability = Repeatability::AtMostOnce;
    Rank rank = LeastUrgentRank;
    Duration timeLeft{}; ///< At the time of sending.
    Duration maxWait{}; ///< In the queue of the target.
    ConfigVersion version{0}; ///< By which the entry node routed it.
};

/// How one attempt ended.
struct AttemptResult
{
    HttpResponse response; ///< The upstream's answer if outcome is Ran.
    Outcome outcome = Outcome::Unknown;
    ErrorKind error = ErrorKind::Internal; ///< If outcome is not Ran.
    bool arrived = false; ///< The upstream received the request, or may have.
    std::optional<QueueLoad> load; ///< Of the target.
    std::optional<AdmittedFraction> admittedFraction; ///< Of the target and what its calls lead to.
};

/// Adds the context to a request for another node.
void writeContext(const AttemptContext &context, HttpRequestMessage &message);
/// Nothing if the field is missing or malformed.
std::optional<AttemptContext> readContext(const HttpRequestMessage &message);

/// Turns a result into the answer for another node.
HttpResponse encodeResult(AttemptResult result);
/// Reads the answer of another node. Answers that carry no result are Unknown.
AttemptResult decodeResult(HttpResponse response);

/// Removes the fields that only nodes exchange.
void removeNodeFields(boost::beast::http::fields &fields);

} // namespace Geraniumsail

#endif
