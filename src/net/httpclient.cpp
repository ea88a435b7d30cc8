#include "net/httpclient.h"

#include "net/clock.h"
#include "net/httppool.h"

#include <netinet/tcp.h>

namespace Geraniumsail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::result;

namespace {

using Parser = http::response_parser<http::buffer_body>;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Answers to earlier requests that are dropped before the awaited one is given up.
constexpr int MaxForeignAnswers = 2;
/// Interim answers (status 1xx) that are dropped before the final one is given up.
constexpr int MaxInterimAnswers = 8;

} // namespace

/// One exchange: connect, write, read the head and the first part of the answer.
class HttpClient::Exchange
{
public:
    Exchange(std::unique_ptr<Lease> lease, ExchangeOptions options) : m_lease(std::move(lease)), m_options(options)
    {
    }

    asio::awaitable<Result> run(HttpRequest request);

private:
    asio::awaitable<std::optional<TransferError>> connect();
    asio::awaitable<std::optional<TransferError>> write(HttpRequest &request);
    asio::awaitable<std::optional<TransferError>> readHead(bool isHead);
    asio::awaitable<Result> readFirstPart();
    TransferError afterSend(const ErrorCode &error) const;
    bool isCancelled() const
    {
        return m_options.cancellation != nullptr && m_options.cancellation->isCancelled();
    }

    std::unique_ptr<Lease> m_lease;
    ExchangeOptions m_options;
    std::unique_ptr<Parser> m_parser;
    bool m_writeFailed = false;
    bool m_mayReuse = true; ///< The connection holds nothing but whole answers to whole requests.
    int m_foreignAnswers = 0;
    int m_interimAnswers = 0;
    std::string m_echo;
    Cancellation::Registration m_registration;
};

/// The rest of a long answer. It holds the connection and gives it back after the whole body.
class HttpClient::RestReader : public BodyReader
{
public:
    RestReader(std::unique_ptr<Lease> lease, std::unique_ptr<Parser> parser, const ExchangeOptions &options,
               bool mayReuse)
        : m_lease(std::move(lease)), m_parser(std::move(parser)), m_deadline(options.deadline),
          m_cancellation(options.cancellation), m_mayReuse(mayReuse)
    {
        if (m_cancellation != nullptr) {
            auto &stream = m_lease->connection().stream;
            m_registration = m_cancellation->onCancel([&stream] { stream.close(); });
        }
    }

    asio::awaitable<result<std::string, TransferError>> next() override
    {
        if (!m_lease) {
            co_return std::string();
        }
        if (isOver(m_deadline)) {
            release();
            co_return TransferError::TimedOut;
        }
        auto &connection = m_lease->connection();
        std::string part;
        const auto error = co_await readPart(connection.stream, connection.buffer, *m_parser, part);
        if (error) {
            const bool cancelled = m_cancellation != nullptr && m_cancellation->isCancelled();
            const auto failure = error == boost::beast::error::timeout ? TransferError::TimedOut
                : cancelled                                            ? TransferError::CancelledAfterSend
                                                                       : TransferError::TruncatedAnswer;
            release();
            co_return failure;
        }
        if (m_parser->is_done()) {
            if (m_mayReuse && m_parser->keep_alive() && connection.buffer.size() == 0) {
                m_lease->giveBack();
            }
            release();
        }
        co_return part;
    }

private:
    void release()
    {
        m_registration = {};
        m_lease.reset();
    }

    std::unique_ptr<Lease> m_lease;
    std::unique_ptr<Parser> m_parser;
    MonotonicTime m_deadline;
    Cancellation *m_cancellation;
    bool m_mayReuse;
    Cancellation::Registration m_registration;
};

asio::awaitable<HttpClient::Result> HttpClient::Exchange::run(HttpRequest request)
{
    if (isCancelled()) {
        co_return TransferError::CancelledBeforeSend;
    }
    if (m_options.cancellation != nullptr) {
        auto &stream = m_lease->connection().stream;
        m_registration = m_options.cancellation->onCancel([&stream] { stream.close(); });
    }
    if (!m_lease->isConnected()) {
        if (const auto error = co_await connect()) {
            co_return *error;
        }
    }
    m_lease->connection().stream.expires_at(toSteady(m_options.deadline));
    const bool isHead = request.message.method() == http::verb::head;
    if (!m_options.echoField.empty()) {
        m_echo = std::string(fieldValue(request.message, m_options.echoField));
    }
    if (const auto error = co_await write(request)) {
        co_return *error;
    }
    if (const auto error = co_await readHead(isHead)) {
        co_return *error;
    }
    // The failed write may have taken the error of a reset from the socket, so that the reads see a clean end.
    if (m_writeFailed && m_parser->need_eof()) {
        co_return TransferError::TruncatedAnswer;
    }
    co_return co_await readFirstPart();
}

asio::awaitable<std::optional<TransferError>> HttpClient::Exchange::connect()
{
    const auto endpoint = parseEndpoint(m_lease->address().value());
    if (!endpoint) {
        co_return TransferError::ConnectFailed;
    }
    auto &stream = m_lease->connection().stream;
    stream.expires_at(toSteady(std::min(m_options.deadline, monotonicNow() + m_lease->limits().connect)));
    auto [error] = co_await stream.async_connect(*endpoint, AsTuple);
    if (isCancelled()) {
        co_return TransferError::CancelledBeforeSend;
    }
    if (error) {
        co_return TransferError::ConnectFailed;
    }
    ErrorCode ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    if (m_lease->limits().unacknowledged.count() > 0) {
        const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(m_lease->limits().unacknowledged);
        stream.socket().set_option(UserTimeout(static_cast<int>(limit.count())), ignored);
    }
    co_return std::nullopt;
}

/// A failed write is not final: the server may have answered early and closed, so the answer is read all the same. It
/// must show its own end then.
asio::awaitable<std::optional<TransferError>> HttpClient::Exchange::write(HttpRequest &request)
{
    auto &stream = m_lease->connection().stream;
    ErrorCode error;
    if (request.rest) {
        const auto written =
            co_await writeStreamed(stream, request.message, *request.rest, {.part = {}, .end = m_options.deadline});
        if (written.sourceError) {
            co_return *written.sourceError;
        }
        error = written.error;
    } else {
        auto [writeError, count] = co_await http::async_write(stream, request.message, AsTuple);
        error = writeError;
    }
    if (error && (isCancelled() || error == boost::beast::error::timeout)) {
        co_return afterSend(error);
    }
    m_writeFailed = static_cast<bool>(error);
    m_mayReuse = !error;
    co_return std::nullopt;
}

asio::awaitable<std::optional<TransferError>> HttpClient::Exchange::readHead(bool isHead)
{
    auto &connection = m_lease->connection();
    while (true) {
        m_parser = std::make_unique<Parser>();
        m_parser->header_limit(HeadLimit);
        m_parser->body_limit(boost::none);
        m_parser->skip(isHead);
        auto [error, count] =
            co_await http::async_read_header(connection.stream, connection.buffer, *m_parser, AsTuple);
        if (error) {
            co_return afterSend(error);
        }
        const auto status = m_parser->get().result_int();
        const auto encoding = m_parser->get()[http::field::transfer_encoding];
        const bool unknownEncoding = !encoding.empty() && !boost::beast::iequals(encoding, "chunked");
        const bool unframed = m_parser->need_eof() && !m_options.closeDelimited;
        if (unframed || unknownEncoding || status == 101 || status < 100) {
            co_return TransferError::TruncatedAnswer;
        }
        if (status < 200) {
            if (++m_interimAnswers > MaxInterimAnswers) {
                co_return TransferError::TruncatedAnswer;
            }
            continue;
        }
        if (m_options.echoField.empty() || fieldValue(m_parser->get(), m_options.echoField) == m_echo) {
            co_return std::nullopt;
        }
        m_mayReuse = false;
        if (++m_foreignAnswers > MaxForeignAnswers || m_parser->need_eof()) {
            co_return TransferError::TruncatedAnswer;
        }
        std::string dropped;
        const auto dropError = co_await readBody(connection.stream, connection.buffer, *m_parser, dropped,
                                                 WholeBodyLimit, m_options.deadline);
        if (dropError || !m_parser->is_done()) {
            co_return TransferError::TruncatedAnswer;
        }
    }
}

asio::awaitable<HttpClient::Result> HttpClient::Exchange::readFirstPart()
{
    auto &connection = m_lease->connection();
    std::string body;
    if (const auto error = co_await readBody(connection.stream, connection.buffer, *m_parser, body, WholeBodyLimit,
                                             m_options.deadline)) {
        co_return afterSend(error);
    }
    HttpResponse response;
    response.message.base() = m_parser->get().base();
    response.message.body() = std::move(body);
    m_registration = {};
    if (!m_parser->is_done()) {
        response.rest = std::make_unique<RestReader>(std::move(m_lease), std::move(m_parser), m_options, m_mayReuse);
        response.restDeadline = m_options.deadline;
        co_return response;
    }
    if (m_parser->chunked() || m_parser->need_eof()) {
        response.message.chunked(false);
        response.message.content_length(response.message.body().size());
    }
    if (m_parser->keep_alive() && connection.buffer.size() == 0 && m_mayReuse) {
        m_lease->giveBack();
    }
    co_return response;
}

TransferError HttpClient::Exchange::afterSend(const ErrorCode &error) const
{
    if (isCancelled()) {
        return TransferError::CancelledAfterSend;
    }
    if (error == boost::beast::error::timeout) {
        return TransferError::TimedOut;
    }
    const bool answerBegan = m_parser && m_parser->got_some();
    return answerBegan ? TransferError::TruncatedAnswer : TransferError::ConnectionLost;
}

HttpClient::HttpClient(asio::any_io_executor executor, ClientLimits limits)
    : m_state(std::make_shared<State>(State{std::move(executor), limits, {}}))
{
}

HttpClient::~HttpClient()
{
    for (auto &[address, pool] : m_state->pools) {
        pool.open -= pool.idle.size();
        pool.idle.clear();
    }
}

asio::awaitable<HttpClient::Result> HttpClient::send(Address address, HttpRequest request, ExchangeOptions options)
{
    auto lease = std::make_unique<Lease>(m_state, std::move(address));
    if (!lease->acquire(options.newConnection)) {
        co_return TransferError::PoolFull;
    }
    request.message.version(11);
    request.message.keep_alive(true);
    Exchange exchange(std::move(lease), options);
    co_return co_await exchange.run(std::move(request));
}

} // namespace Geraniumsail
