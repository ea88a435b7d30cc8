// HTTP/1.1 server for one listener, on the one io_context of the process.
//
// Each connection is one coroutine that handles one exchange at a time. Malformed, oversized and slow input is answered
// with the status of the error table and never reaches the handler. While the handler runs, the server watches the
// connection: a caller that closes it, or its sending side, cancels its request.
//
// Limits: HTTP/1.0 is refused with BadRequest, because a body whose end is the end of the connection cannot be told
// from a truncated one. Connections over the limit are answered with ConnectionLimit as long as few are waiting, else
// closed.
#ifndef GERANIUMSAIL_NET_HTTPSERVER_H
#define GERANIUMSAIL_NET_HTTPSERVER_H

#include "core/ids.h"
#include "core/units.h"
#include "net/cancellation.h"
#include "net/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace Geraniumsail {

struct ServerLimits
{
    std::size_t connections = 1024;
    /// Largest body of a request, streamed or not.
    std::uint64_t bodyBytes = 64ULL * 1024 * 1024;
    /// An idle connection is closed after this time. It must be longer than a client's idle time.
    Duration idle = std::chrono::seconds(60);
    /// The head, and a body up to WholeBodyLimit, must each arrive within this time after their first byte.
    Duration read = std::chrono::seconds(10);
    /// Each part of a streamed body must be taken by the caller within this time.
    Duration write = std::chrono::seconds(30);
};

/// What a handler knows about the connection of its request.
struct RequestScope
{
    Cancellation cancellation;
    boost::asio::ip::address remote;
    bool firstOnConnection = true;
};

class HttpServer
{
public:
    /// The scope lives until the answer, with a streamed rest, is written. An exception is answered with Internal.
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest, RequestScope &)>;

    HttpServer(boost::asio::any_io_executor executor, ServerLimits limits, Handler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    /// Stops. Sessions with a request in flight keep the handler until they end.
    ~HttpServer();

    /// Told of each request that the server refused by itself. To be set before listen().
    void observeRefusals(std::function<void(ErrorKind)> observer);
    /// Binds "ip:port"; port 0 takes a free one. Returns the bound address; throws boost::system::system_error.
    Address listen(const Address &address);
    /// Accepts what waits in the listen queue, and closes the listening socket and idle connections. Requests in flight
    /// end normally; a connection without any request yet has a short time to send its first.
    void stop();
    /// Completes when stop() was called and the last connection is closed.
    boost::asio::awaitable<void> finished();
    std::size_t connections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Geraniumsail

#endif
