#include "net/httpserver.h"

#include "net/httpsession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <unordered_set>

namespace Geraniumsail {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Connections over the limit that are answered instead of closed.
constexpr std::size_t MaxRefusing = 64;
/// Time that a refused connection has to send its head.
constexpr Duration RefusalTime = std::chrono::seconds(1);
/// Pause after a failed accept, for example when the process has no free file descriptor.
constexpr auto AcceptPause = std::chrono::milliseconds(50);

} // namespace

struct HttpServer::State : std::enable_shared_from_this<State>
{
    State(asio::any_io_executor ex, ServerLimits serverLimits, Handler serverHandler)
        : executor(std::move(ex)), limits(serverLimits), handler(std::move(serverHandler)), acceptor(executor),
          allClosed(executor, asio::steady_timer::time_point::max())
    {
    }

    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> runSession(std::shared_ptr<HttpSession> session);
    asio::awaitable<void> refuseSession(std::shared_ptr<HttpSession> session);
    void onAccepted(tcp::socket socket);
    void acceptQueued();
    void noteClosed();

    asio::any_io_executor executor;
    ServerLimits limits;
    Handler handler;
    std::function<void(ErrorKind)> onRefusal;
    tcp::acceptor acceptor;
    std::unordered_set<std::shared_ptr<HttpSession>> sessions;
    std::size_t refusing = 0;
    bool stopped = false;
    asio::steady_timer allClosed;
};

asio::awaitable<void> HttpServer::State::acceptLoop()
{
    const auto self = shared_from_this();
    asio::steady_timer pause(executor);
    while (!stopped) {
        auto [error, socket] = co_await acceptor.async_accept(AsTuple);
        if (!error) {
            onAccepted(std::move(socket));
        } else if (!stopped) {
            LOG(WARNING) << "event=accept_failed error=\"" << error.message() << '"';
            pause.expires_after(AcceptPause);
            co_await pause.async_wait(AsTuple);
        }
    }
}

/// Accepts the connections in the listen queue, which closing the listening socket would reset.
void HttpServer::State::acceptQueued()
{
    ErrorCode error;
    acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(executor);
        acceptor.accept(socket, error);
        if (!error) {
            onAccepted(std::move(socket));
        }
    }
}

/// An exception here must not end the accept loop.
void HttpServer::State::onAccepted(tcp::socket socket)
try {
    if (sessions.size() < limits.connections) {
        auto session = std::make_shared<HttpSession>(std::move(socket), limits, handler, onRefusal);
        sessions.insert(session);
        asio::co_spawn(executor, runSession(std::move(session)), asio::detached);
        return;
    }
    if (refusing < MaxRefusing) {
        ++refusing;
        auto refusalLimits = limits;
        refusalLimits.read = RefusalTime;
        refusalLimits.write = RefusalTime;
        auto session = std::make_shared<HttpSession>(std::move(socket), refusalLimits, handler, onRefusal);
        asio::co_spawn(executor, refuseSession(std::move(session)), asio::detached);
    }
} catch (const std::exception &e) {
    LOG(ERROR) << "event=accept_failed error=\"" << e.what() << '"';
}

asio::awaitable<void> HttpServer::State::runSession(std::shared_ptr<HttpSession> session)
{
    const auto self = shared_from_this();
    try {
        co_await session->run();
    } catch (const std::exception &e) {
        LOG(ERROR) << "event=session_failed what=\"" << e.what() << '"';
    }
    sessions.erase(session);
    noteClosed();
}

asio::awaitable<void> HttpServer::State::refuseSession(std::shared_ptr<HttpSession> session)
{
    const auto self = shared_from_this();
    try {
        co_await session->refuse();
    } catch (const std::exception &e) {
        LOG(ERROR) << "event=session_failed what=\"" << e.what() << '"';
    }
    --refusing;
}

void HttpServer::State::noteClosed()
{
    if (stopped && sessions.empty()) {
        allClosed.cancel();
    }
}

HttpServer::HttpServer(asio::any_io_executor executor, ServerLimits limits, Handler handler)
    : m_state(std::make_shared<State>(std::move(executor), limits, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::observeRefusals(std::function<void(ErrorKind)> observer)
{
    m_state->onRefusal = std::move(observer);
}

Address HttpServer::listen(const Address &address)
{
    const auto endpoint = parseEndpoint(address.value());
    if (!endpoint) {
        throw boost::system::system_error(asio::error::invalid_argument, "not an ip:port: " + address.value());
    }
    auto &acceptor = m_state->acceptor;
    acceptor.open(endpoint->protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(*endpoint);
    acceptor.listen();
    asio::co_spawn(m_state->executor, m_state->acceptLoop(), asio::detached);
    const auto bound = acceptor.local_endpoint();
    const auto host = bound.address().to_string();
    return Address((bound.address().is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(bound.port()));
}

void HttpServer::stop()
{
    if (m_state->stopped) {
        return;
    }
    m_state->stopped = true;
    ErrorCode ignored;
    if (m_state->acceptor.is_open()) {
        m_state->acceptQueued();
        m_state->acceptor.close(ignored);
    }
    const auto sessions = m_state->sessions;
    for (const auto &session : sessions) {
        session->stop();
    }
    m_state->noteClosed();
}

asio::awaitable<void> HttpServer::finished()
{
    const auto state = m_state;
    while (!state->stopped || !state->sessions.empty()) {
        co_await state->allClosed.async_wait(AsTuple);
    }
}

std::size_t HttpServer::connections() const
{
    return m_state->sessions.size();
}

} // namespace Geraniumsail
