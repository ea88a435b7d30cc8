#include "net/httpsession.h"

#include "core/callflow.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <utility>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Input that is read and dropped before a connection is closed, so that the reset that follows unread input does not
/// destroy the answer on its way to the caller.
constexpr std::size_t MaxDrainedBytes = 256UL * 1024;
/// Most heads fit in the first read.
constexpr std::size_t FirstRead = 4096;
constexpr auto DrainTime = std::chrono::seconds(1);
/// What the system holds of a long answer that its caller reads slowly. Left to itself, the system holds megabytes.
constexpr int StreamSendBuffer = 64 * 1024;
/// Time that a connection without any request has after stop() to send its first. A caller sends it a round trip after
/// it opened the connection.
constexpr Duration FirstRequestTime = std::chrono::milliseconds(300);

ErrorKind kindOf(const ErrorCode &error)
{
    if (error == boost::beast::error::timeout) {
        return ErrorKind::SlowSender;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return ErrorKind::HeadTooLarge;
    }
    if (error == http::error::body_limit) {
        return ErrorKind::BodyTooLarge;
    }
    return ErrorKind::BadRequest;
}

TransferError transferErrorOf(const ErrorCode &error)
{
    if (error == boost::beast::error::timeout) {
        return TransferError::SlowRequest;
    }
    return error == http::error::body_limit ? TransferError::RequestTooLarge : TransferError::TruncatedRequest;
}

/// Ends a read after a time and leaves the connection open for the answer; the time limit of a Beast stream closes it.
class ReadTimeout
{
public:
    ReadTimeout(Stream &stream, Duration limit)
        : m_timer(stream.get_executor(), limit), m_fired(std::make_shared<bool>(false))
    {
        stream.expires_never();
        m_timer.async_wait([&stream, weak = std::weak_ptr<bool>(m_fired)](const ErrorCode &error) {
            const auto fired = weak.lock();
            if (!error && fired) {
                *fired = true;
                stream.cancel();
            }
        });
    }
    ErrorCode check(const ErrorCode &error) const
    {
        return error && *m_fired ? make_error_code(boost::beast::error::timeout) : error;
    }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_fired;
};

} // namespace

/// Reads the rest of a long request body from the session's connection.
class HttpSession::RestReader : public BodyReader
{
public:
    RestReader(std::shared_ptr<HttpSession> session, Parser &parser) : m_session(std::move(session)), m_parser(parser)
    {
    }

    asio::awaitable<boost::system::result<std::string, TransferError>> next() override
    {
        // The parser belongs to the request in flight; a reader that outlives it reads nothing.
        if (m_session->m_scope == nullptr) {
            co_return TransferError::TruncatedRequest;
        }
        std::string part;
        ErrorCode error;
        {
            const ReadTimeout timeout(m_session->m_stream, m_session->m_limits.read);
            error = timeout.check(co_await readPart(m_session->m_stream, m_session->m_buffer, m_parser, part));
        }
        if (error) {
            if (m_session->m_scope != nullptr && transferErrorOf(error) == TransferError::TruncatedRequest) {
                m_session->m_scope->cancellation.cancel();
            }
            co_return transferErrorOf(error);
        }
        if (m_parser.is_done() && m_session->m_scope != nullptr) {
            m_session->watchConnection();
        }
        co_return part;
    }

private:
    std::shared_ptr<HttpSession> m_session;
    Parser &m_parser;
};

HttpSession::HttpSession(asio::ip::tcp::socket socket, const ServerLimits &limits, HttpServer::Handler handler,
                         std::function<void(ErrorKind)> onRefusal)
    : m_stream(std::move(socket)), m_buffer(WholeBodyLimit), m_limits(limits), m_handler(std::move(handler)),
      m_onRefusal(std::move(onRefusal))
{
    ErrorCode ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    m_remote = m_stream.socket().remote_endpoint(ignored).address();
}

asio::awaitable<void> HttpSession::run()
{
    const auto self = shared_from_this();
    while (true) {
        const bool arrived = co_await waitForRequest();
        if (!arrived) {
            break;
        }
        m_idle = false;
        Parser parser;
        HttpRequest request;
        ErrorCode error;
        {
            const ReadTimeout timeout(m_stream, m_limits.read);
            error = timeout.check(co_await readRequest(parser, request));
        }
        if (error) {
            co_await refuseWith(kindOf(error), parser);
            co_return;
        }
        const bool goOn = co_await handleRequest(parser, std::move(request));
        if (!goOn) {
            break;
        }
        m_idle = true;
    }
    co_await close(false);
}

asio::awaitable<void> HttpSession::refuse()
{
    const auto self = shared_from_this();
    Parser parser;
    ErrorCode error;
    {
        const ReadTimeout timeout(m_stream, m_limits.read);
        error = timeout.check(co_await readHead(parser));
    }
    co_await refuseWith(error ? kindOf(error) : ErrorKind::ConnectionLimit, parser);
}

void HttpSession::stop()
{
    m_stopping = true;
    // A request whose first bytes have arrived is still handled.
    if (!m_idle || !m_stream.socket().is_open() || peekSocket(m_stream.socket()) == SocketState::Readable) {
        return;
    }
    if (!m_fresh) {
        m_stream.close();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_stream.get_executor(), FirstRequestTime);
    timer->async_wait([self = shared_from_this(), timer](const ErrorCode &) {
        if (self->m_fresh && self->m_idle) {
            self->m_stream.close();
        }
    });
}

/// False if the connection ended or stayed idle for too long.
asio::awaitable<bool> HttpSession::waitForRequest()
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    m_stream.expires_after(m_limits.idle);
    auto [error, count] = co_await m_stream.async_read_some(m_buffer.prepare(FirstRead), AsTuple);
    m_buffer.commit(count);
    co_return !error && count > 0;
}

asio::awaitable<ErrorCode> HttpSession::readHead(Parser &parser)
{
    parser.header_limit(HeadLimit);
    parser.body_limit(m_limits.bodyBytes);
    auto [error, count] = co_await http::async_read_header(m_stream, m_buffer, parser, AsTuple);
    if (error) {
        co_return error;
    }
    const auto &head = parser.get();
    const auto encoding = head[http::field::transfer_encoding];
    const bool unknownEncoding = !encoding.empty() && !boost::beast::iequals(encoding, "chunked");
    if (head.version() != 11 || unknownEncoding || head.method() == http::verb::connect) {
        co_return make_error_code(http::error::bad_version);
    }
    if (parser.content_length_remaining().value_or(0) > m_limits.bodyBytes) {
        co_return make_error_code(http::error::body_limit);
    }
    co_return ErrorCode{};
}

asio::awaitable<ErrorCode> HttpSession::readRequest(Parser &parser, HttpRequest &request)
{
    if (const auto error = co_await readHead(parser)) {
        co_return error;
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> goOn{http::status::continue_, 11};
        auto [error, count] = co_await http::async_write(m_stream, goOn, AsTuple);
        if (error) {
            co_return error;
        }
    }
    std::string body;
    if (const auto error = co_await readBody(m_stream, m_buffer, parser, body, WholeBodyLimit)) {
        co_return error;
    }
    request.message.base() = parser.get().base();
    request.message.body() = std::move(body);
    if (!parser.is_done()) {
        request.rest = std::make_unique<RestReader>(shared_from_this(), parser);
    } else if (parser.chunked()) {
        request.message.chunked(false);
        request.message.content_length(request.message.body().size());
    }
    co_return ErrorCode{};
}

/// Whether the caller left before its request was read. The watch would notice that only after the handler has passed
/// the request on.
bool HttpSession::hasCallerLeft()
{
    return m_buffer.size() == 0 && peekSocket(m_stream.socket()) == SocketState::Closed;
}

/// False if the connection must be closed.
asio::awaitable<bool> HttpSession::handleRequest(Parser &parser, HttpRequest request)
{
    RequestScope scope;
    scope.remote = m_remote;
    scope.firstOnConnection = std::exchange(m_fresh, false);
    m_scope = &scope;
    const bool isHead = request.message.method() == http::verb::head;
    const bool keepAlive = request.message.keep_alive();
    m_stream.expires_never();
    if (parser.is_done()) {
        if (hasCallerLeft()) {
            m_scope = nullptr;
            co_return false;
        }
        watchConnection();
    }
    HttpResponse response;
    try {
        response = co_await m_handler(std::move(request), scope);
    } catch (const std::exception &e) {
        LOG(ERROR) << "event=handler_failed what=\"" << e.what() << '"';
        response = errorResponse(ErrorKind::Internal);
    }
    bool goOn = false;
    if (!scope.cancellation.isCancelled()) {
        const bool mayContinue = keepAlive && response.message.keep_alive() && parser.is_done() && !m_stopping;
        goOn = co_await respond(response, isHead, mayContinue);
    }
    response.rest.reset();
    m_scope = nullptr;
    stopWatching();
    if (!goOn) {
        co_await close(!parser.is_done());
    }
    co_return goOn && !m_stopping;
}

/// False if the connection must be closed.
asio::awaitable<bool> HttpSession::respond(HttpResponse &response, bool isHead, bool keepAlive)
{
    response.message.version(11);
    response.message.keep_alive(keepAlive);
    if (isHead) {
        response.rest.reset();
        http::response<http::empty_body> head{std::move(response.message.base())};
        http::response_serializer<http::empty_body> serializer{head};
        m_stream.expires_after(m_limits.write);
        auto [error, count] = co_await http::async_write_header(m_stream, serializer, AsTuple);
        co_return !error && keepAlive;
    }
    if (response.rest) {
        co_return co_await respondStreamed(response) && keepAlive;
    }
    m_stream.expires_after(m_limits.write);
    auto [error, count] = co_await http::async_write(m_stream, response.message, AsTuple);
    co_return !error && keepAlive;
}

/// False if the answer was broken off.
asio::awaitable<bool> HttpSession::respondStreamed(HttpResponse &response)
{
    // A broken answer ends with a reset, which drops what the system holds for the caller. Otherwise a caller that
    // reads slowly would get all of it, and learn of the end, much later. The caller cannot take the part for the
    // whole.
    ErrorCode ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.socket().set_option(asio::socket_base::send_buffer_size(StreamSendBuffer), ignored);
    const auto result = co_await writeStreamed(m_stream, response.message, *response.rest,
                                               {.part = m_limits.write, .end = response.restDeadline});
    if (result.error == boost::beast::error::timeout) {
        LOG_EVERY_T(WARNING, 1) << "event=answer_cut reason=\"not passed on in time\"";
    }
    if (result.error || result.sourceError) {
        m_stream.close();
        co_return false;
    }
    m_stream.socket().set_option(asio::socket_base::linger(false, 0), ignored);
    co_return true;
}

/// A request with a ticket may have run through another connection, so only a malformed one is said not to have run.
asio::awaitable<void> HttpSession::refuseWith(ErrorKind kind, const Parser &parser)
{
    const bool hasTicket = parser.is_header_done() && parser.get().count("Geraniumsail-Ticket") > 0;
    if (m_onRefusal) {
        m_onRefusal(kind);
    }
    const bool wellFormed = kind == ErrorKind::ConnectionLimit || kind == ErrorKind::SlowSender;
    auto response = errorResponse(hasTicket && wellFormed ? unknownOutcomeKind(kind) : kind);
    co_await respond(response, false, false);
    co_await close(true);
}

asio::awaitable<void> HttpSession::close(bool unreadInput)
{
    if (!m_stream.socket().is_open()) {
        co_return;
    }
    ErrorCode ignored;
    m_stream.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    m_stream.expires_after(DrainTime);
    std::string dropped(WholeBodyLimit, '\0');
    std::size_t total = 0;
    while (unreadInput && total < MaxDrainedBytes) {
        auto [error, count] = co_await m_stream.async_read_some(asio::buffer(dropped), AsTuple);
        if (error) {
            break;
        }
        total += count;
    }
    m_stream.close();
}

/// Cancels the request in flight when the caller closes its connection. Input that arrives first is a pipelined
/// request; it ends the watch, because an end behind it cannot be seen without reading it.
void HttpSession::watchConnection()
{
    if (m_watching) {
        return;
    }
    m_watching = true;
    auto onReadable = [self = shared_from_this(), round = ++m_watchRound](const ErrorCode &error) {
        // The wait of an earlier request may complete after the watch of the next one began.
        if (error || round != self->m_watchRound || self->m_scope == nullptr) {
            return;
        }
        if (peekSocket(self->m_stream.socket()) == SocketState::Closed) {
            self->m_scope->cancellation.cancel();
        }
    };
    m_stream.socket().async_wait(asio::socket_base::wait_read,
                                 asio::bind_cancellation_slot(m_watch.slot(), std::move(onReadable)));
}

void HttpSession::stopWatching()
{
    if (m_watching) {
        m_watching = false;
        ++m_watchRound;
        m_watch.emit(asio::cancellation_type::terminal);
    }
}

} // namespace Geraniumsail
