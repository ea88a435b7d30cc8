// One connection of the HTTP server. Internal to gs-net.
#ifndef GERANIUMSAIL_NET_HTTPSESSION_H
#define GERANIUMSAIL_NET_HTTPSESSION_H

#include "net/httpserver.h"
#include "net/httpwire.h"

#include <boost/asio/cancellation_signal.hpp>

namespace Geraniumsail {

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, const ServerLimits &limits, HttpServer::Handler handler,
                std::function<void(ErrorKind)> onRefusal);

    /// Handles requests until the connection ends.
    boost::asio::awaitable<void> run();
    /// Answers the first request with ConnectionLimit and closes.
    boost::asio::awaitable<void> refuse();
    /// Closes now if no request is in flight, else after the present one.
    void stop();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    class RestReader;

    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<ErrorCode> readRequest(Parser &parser, HttpRequest &request);
    boost::asio::awaitable<ErrorCode> readHead(Parser &parser);
    boost::asio::awaitable<bool> handleRequest(Parser &parser, HttpRequest request);
    boost::asio::awaitable<bool> respond(HttpResponse &response, bool isHead, bool keepAlive);
    boost::asio::awaitable<bool> respondStreamed(HttpResponse &response);
    boost::asio::awaitable<void> refuseWith(ErrorKind kind, const Parser &parser);
    boost::asio::awaitable<void> close(bool unreadInput);
    bool hasCallerLeft();
    void watchConnection();
    void stopWatching();

    Stream m_stream;
    Buffer m_buffer;
    ServerLimits m_limits;
    HttpServer::Handler m_handler;
    std::function<void(ErrorKind)> m_onRefusal; ///< May be empty.
    boost::asio::ip::address m_remote;
    RequestScope *m_scope = nullptr; ///< Of the request in flight.
    boost::asio::cancellation_signal m_watch;
    bool m_watching = false;
    std::uint64_t m_watchRound = 0;
    bool m_idle = true;
    bool m_stopping = false;
    bool m_fresh = true; ///< No request was handled on this connection yet.
};

} // namespace Geraniumsail

#endif
