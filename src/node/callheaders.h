// The header fields of docs/design.md, section 3.1, read and written.
#ifndef GERANIUMSAIL_NODE_CALLHEADERS_H
#define GERANIUMSAIL_NODE_CALLHEADERS_H

#include "net/httpmessage.h"
#include "node/policymessages.h"

#include <boost/asio/ip/address.hpp>
#include <boost/system/result.hpp>

namespace Geraniumsail {

constexpr const char *ServiceField = "Geraniumsail-Service";
constexpr const char *ContextField = "Geraniumsail-Context";
constexpr const char *TicketField = "Geraniumsail-Ticket";
constexpr const char *ParentField = "Geraniumsail-Parent";
constexpr const char *OutcomeField = "Geraniumsail-Outcome";
constexpr const char *ReasonField = "Geraniumsail-Reason";

/// The call in the fields of a request, or BadRequest for a malformed field. The parent is read only if it may be
/// given, that is on the local listener. A caller without a name is known by its IP address.
boost::system::result<CallInput, ErrorKind> parseCall(const HttpRequest &request,
                                                      const boost::asio::ip::address &remote, bool mayHaveParent);

/// Removes hop-by-hop fields and all fields whose names begin with "Geraniumsail-".
void removeOwnFields(boost::beast::http::fields &fields);

/// Length of the body, as far as it is known.
ByteCount bodySize(const HttpRequest &request);

/// Fields of an answer from one node to another.
void setTargetReport(boost::beast::http::fields &fields, const TargetReport &report);
/// What an answer of a target's node says; without an outcome it is unknown.
AttemptAnswer readAttemptAnswer(const boost::beast::http::fields &fields);

/// A copy of a whole answer, if it is small enough to keep.
std::optional<StoredAnswer> storeAnswer(const HttpResponse &response);
HttpResponse restoreAnswer(const StoredAnswer &stored);

} // namespace Geraniumsail

#endif
