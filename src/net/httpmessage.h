// HTTP messages as the node handles them: a Beast message whose body holds the first part, and a reader of the rest.
//
// A body up to the whole-body limit (64 KiB) is completely in body(), so that a truncated one is noticed before a
// byte is forwarded. A longer body leaves its remainder in a BodyReader, pulled part by part; nothing is buffered
// beyond one part.
#ifndef GERANIUMSAIL_NET_HTTPMESSAGE_H
#define GERANIUMSAIL_NET_HTTPMESSAGE_H

#include "core/errorkind.h"
#include "core/units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

/// Bodies up to this size are read whole before their first byte is forwarded.
constexpr std::size_t WholeBodyLimit = 64UL * 1024;
/// Largest head of a request or an answer.
constexpr std::uint32_t HeadLimit = 16U * 1024;

/// How an exchange or the transfer of a body ended without a whole message.
enum class TransferError {
    PoolFull, ///< The connection limit of the address is reached; nothing was sent.
    ConnectFailed, ///< No connection; nothing was sent.
    ConnectionLost, ///< Broken after the first byte of the request may have been sent, before any byte of the answer.
    TimedOut, ///< The deadline passed after the first byte of the request may have been sent.
    TruncatedAnswer, ///< Broken, malformed or unbounded after the first byte of the answer.
    TruncatedRequest, ///< The caller's body ended early.
    SlowRequest, ///< The caller's body did not arrive in time.
    RequestTooLarge, ///< The caller's body is over the limit.
    CancelledBeforeSend, ///< Cancelled; nothing was sent.
    CancelledAfterSend,
};

/// The rest of a long body.
class BodyReader
{
public:
    BodyReader() = default;
    BodyReader(const BodyReader &) = delete;
    BodyReader &operator=(const BodyReader &) = delete;
    virtual ~BodyReader() = default;

    /// The next part, at most WholeBodyLimit bytes; empty only at the end of a whole body. Not to be called again after
    /// the end or an error.
    virtual boost::asio::awaitable<boost::system::result<std::string, TransferError>> next() = 0;
};

using HttpRequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

struct HttpRequest
{
    HttpRequestMessage message;
    std::unique_ptr<BodyReader> rest; ///< Null if message.body() is the whole body.
};

struct HttpResponse
{
    HttpResponseMessage message;
    std::unique_ptr<BodyReader> rest; ///< Null if message.body() is the whole body.
    /// The rest is to be passed on by then, or the answer is broken off; unset for no limit. An answer that is whole is
    /// sent whenever it is ready.
    std::optional<MonotonicTime> restDeadline;
};

/// The whole body of an answer, for callers that need it at once. The error of its reader if it ends early;
/// TruncatedAnswer if it is longer than limit.
boost::asio::awaitable<boost::system::result<std::string, TransferError>> wholeBody(HttpResponse response,
                                                                                    std::size_t limit);

/// A whole answer with Content-Length.
HttpResponse makeResponse(unsigned status, std::string_view contentType, std::string body);
/// The answer that the error table gives for a kind, with Geraniumsail-Outcome and Geraniumsail-Reason.
HttpResponse errorResponse(ErrorKind kind);
/// A whole request with Content-Length if it has a body.
HttpRequest makeRequest(boost::beast::http::verb method, std::string_view target, std::string_view host,
                        std::string body = {});

/// Removes the header fields that belong to one connection only, including those named by Connection.
void removeHopFields(boost::beast::http::fields &fields);

/// Value of a field, or an empty text.
std::string_view fieldValue(const boost::beast::http::fields &fields, std::string_view name);

} // namespace Geraniumsail

#endif
