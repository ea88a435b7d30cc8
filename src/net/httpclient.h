// Pooled HTTP/1.1 client on the one io_context of the process.
//
// A connection carries one exchange at a time and returns to the pool of its address only after a whole answer with
// nothing behind it. An exchange that failed, was abandoned or was cancelled closes its connection, so a late answer
// can never be taken for the answer to another request.
//
// The client never sends a request twice. A pooled connection that the peer has closed is noticed and replaced before
// anything is sent; if the peer closes it at the same moment, the result is ConnectionLost, and the caller decides.
#ifndef GERANIUMSAIL_NET_HTTPCLIENT_H
#define GERANIUMSAIL_NET_HTTPCLIENT_H

#include "core/ids.h"
#include "core/units.h"
#include "net/cancellation.h"
#include "net/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string_view>

namespace Geraniumsail {

struct ClientLimits
{
    /// Idle connections are closed after this time; it must be shorter than the servers' idle time.
    Duration idle = std::chrono::seconds(4);
    std::size_t idlePerAddress = 64;
    Duration connect = std::chrono::seconds(1);
    /// Sent data that is not acknowledged for this time breaks the connection (TCP_USER_TIMEOUT); 0 for the system's
    /// default.
    Duration unacknowledged{0};
};

struct ExchangeOptions
{
    /// End of the whole exchange, with the rest of a long answer.
    MonotonicTime deadline;
    /// Cancelled by the owner of the request; may be null. It must outlive the exchange and the rest of its answer.
    Cancellation *cancellation = nullptr;
    /// Opens a new connection: a pooled one may be closed by the peer while the request is on its way, which leaves the
    /// outcome unknown.
    bool newConnection = false;
    /// Accepts an answer without Content-Length and chunks, whose body ends with the connection.
    bool closeDelimited = false;
    /// Header field that the answer must repeat from the request; empty for none. An answer with another value belongs
    /// to an earlier request: it is dropped, and the connection is not used again. The text must outlive the exchange.
    /// (A view, because GCC 12 destroys a temporary argument of a coroutine twice if its type has a destructor.)
    std::string_view echoField = {};
};

class HttpClient
{
public:
    using Result = boost::system::result<HttpResponse, TransferError>;

    HttpClient(boost::asio::any_io_executor executor, ClientLimits limits);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /// Sends one request and reads the head and the first 64 KiB of the answer. A failed rest of the request's body
    /// gives the error of its reader. An answer without Content-Length and chunks has no visible end and is
    /// TruncatedAnswer.
    boost::asio::awaitable<Result> send(Address address, HttpRequest request, ExchangeOptions options);

    /// Open connections to an address, in use and idle together; further exchanges give PoolFull. 0 is no limit.
    void setConnectionLimit(const Address &address, std::size_t limit);
    std::size_t openConnections(const Address &address) const;
    std::size_t idleConnections(const Address &address) const;
    /// Closes the idle connections to an address, after one to it went silent.
    void dropIdle(const Address &address);
    /// Closes connections that were idle for longer than the limit, and forgets addresses without connections.
    void closeIdle(MonotonicTime now);

private:
    struct Connection;
    struct Pool;
    struct State;
    class Lease;
    class RestReader;
    class Exchange;

    std::shared_ptr<State> m_state;
};

} // namespace Geraniumsail

#endif
