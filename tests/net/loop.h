// An io_context on which a test runs coroutines until they end. Tests wait for events; the bound only ends a hung test.
#ifndef GERANIUMSAIL_TESTS_NET_LOOP_H
#define GERANIUMSAIL_TESTS_NET_LOOP_H

#include "core/ids.h"
#include "net/clock.h"
#include "net/httpwire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <exception>
#include <stdexcept>
#include <utility>

namespace Geraniumsail {

class Loop
{
public:
    boost::asio::io_context context;

    /// Runs one coroutine to its end; throws what it throws.
    void run(boost::asio::awaitable<void> work)
    {
        bool done = false;
        std::exception_ptr thrown;
        boost::asio::co_spawn(context, std::move(work), [&](std::exception_ptr e) {
            done = true;
            thrown = std::move(e);
        });
        runUntil([&] { return done; });
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    }

    /// Handles events until the condition holds.
    template <typename Condition>
    void runUntil(Condition condition)
    {
        constexpr auto bound = std::chrono::seconds(20);
        const auto end = std::chrono::steady_clock::now() + bound;
        while (!condition()) {
            context.restart();
            if (context.run_one_until(end) == 0 && !condition()) {
                throw std::runtime_error("the awaited event did not happen");
            }
        }
    }
};

/// A plain TCP connection that sends and receives exact bytes.
class RawConnection
{
public:
    explicit RawConnection(boost::asio::io_context &context) : m_socket(context)
    {
    }
    explicit RawConnection(boost::asio::ip::tcp::socket socket) : m_socket(std::move(socket))
    {
    }

    boost::asio::awaitable<void> connect(const Address &address)
    {
        co_await m_socket.async_connect(*parseEndpoint(address.value()), boost::asio::use_awaitable);
    }
    boost::asio::awaitable<void> send(std::string bytes)
    {
        co_await boost::asio::async_write(m_socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
    }
    /// Everything that arrives until the text has the wanted part, or until the end of the connection.
    boost::asio::awaitable<std::string> receive(std::string_view wanted)
    {
        std::string text;
        char block[4096];
        while (text.find(wanted) == std::string::npos) {
            auto [error, count] = co_await m_socket.async_read_some(boost::asio::buffer(block), AsTuple);
            text.append(block, count);
            if (error) {
                break;
            }
        }
        co_return text;
    }
    /// What arrives next; empty at the end of the connection.
    boost::asio::awaitable<std::string> receiveSome()
    {
        std::string block(WholeBodyLimit, '\0');
        auto [error, count] = co_await m_socket.async_read_some(boost::asio::buffer(block), AsTuple);
        block.resize(count);
        co_return block;
    }
    /// Everything until the end of the connection.
    boost::asio::awaitable<std::string> receiveAll()
    {
        std::string text;
        char block[4096];
        while (true) {
            auto [error, count] = co_await m_socket.async_read_some(boost::asio::buffer(block), AsTuple);
            text.append(block, count);
            if (error) {
                co_return text;
            }
        }
    }
    void close()
    {
        ErrorCode ignored;
        m_socket.close(ignored);
    }
    /// Closes the connection with a reset.
    void reset()
    {
        ErrorCode ignored;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

private:
    boost::asio::ip::tcp::socket m_socket;
};

/// A TCP listener on a free port of 127.0.0.1, for peers that misbehave.
class RawListener
{
public:
    explicit RawListener(boost::asio::io_context &context)
        : m_acceptor(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
    }
    Address address() const
    {
        return Address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }
    boost::asio::awaitable<RawConnection> accept()
    {
        co_return RawConnection(co_await m_acceptor.async_accept(boost::asio::use_awaitable));
    }

private:
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/// An event that a test waits for.
class Event
{
public:
    explicit Event(boost::asio::io_context &context) : m_timer(context, boost::asio::steady_timer::time_point::max())
    {
    }
    void set()
    {
        m_set = true;
        m_timer.cancel();
    }
    bool isSet() const
    {
        return m_set;
    }
    boost::asio::awaitable<void> wait()
    {
        while (!m_set) {
            co_await m_timer.async_wait(AsTuple);
        }
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_set = false;
};

} // namespace Geraniumsail

#endif
