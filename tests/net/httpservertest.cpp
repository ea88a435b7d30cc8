// Guards the server's edge: input that is malformed, oversized, slow or too many must not reach a handler or go
// unanswered, and a caller that goes away must cancel its request.
#include "net/httpserver.h"

#include "loop.h"

#include <boost/asio/read.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(keepsTheConnectionForMoreRequests);
    CPPUNIT_TEST(malformedInputIsAnswered);
    CPPUNIT_TEST(oversizedInputIsAnswered);
    CPPUNIT_TEST(slowSenderIsAnswered);
    CPPUNIT_TEST(floodOfConnectionsIsRefused);
    CPPUNIT_TEST(closedCallerCancelsItsRequest);
    CPPUNIT_TEST(requestOfACallerThatLeftIsNotHandled);
    CPPUNIT_TEST(failedRestNeverLooksWhole);
    CPPUNIT_TEST(stopWaitsForTheRequestInFlight);
    CPPUNIT_TEST(stopServesConnectionsThatAreNotYetAccepted);
    CPPUNIT_TEST(stopWaitsForTheFirstRequestOfAConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against answers that reach the wrong request on a kept connection.
    void keepsTheConnectionForMoreRequests()
    {
        start({}, echo());
        m_loop.run([this]() -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(m_address);
            for (const std::string body : {"one", "two", "three"}) {
                co_await caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size())
                                     + "\r\n\r\n" + body);
                const auto answer = co_await caller.receive("\r\n\r\n" + body);
                CPPUNIT_ASSERT(answer.find("200 OK") != std::string::npos);
            }
        }());
    }

    /// Guards against input that two parsers could read differently (request smuggling).
    void malformedInputIsAnswered()
    {
        start({}, echo());
        expectStatus("garbage\r\n\r\n", "400");
        expectStatus("GET / HTTP/1.0\r\n\r\n", "400");
        expectStatus("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                     "400");
        expectStatus("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", "400");
        expectStatus("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", "400");
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
    }

    void oversizedInputIsAnswered()
    {
        ServerLimits limits;
        limits.bodyBytes = 1000;
        start(limits, echo());
        expectStatus("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", "431");
        expectStatus("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", "413");
        expectStatus("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x')
                         + "\r\n0\r\n\r\n",
                     "413");
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
    }

    /// Guards against connections that are held for ever by a sender that never ends its message.
    void slowSenderIsAnswered()
    {
        ServerLimits limits;
        limits.read = std::chrono::milliseconds(20);
        start(limits, echo());
        expectStatus("GET / HTTP/1.1\r\nHost:", "408");
        expectStatus("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", "408");
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
    }

    void floodOfConnectionsIsRefused()
    {
        ServerLimits limits;
        limits.connections = 2;
        start(limits, echo());
        m_loop.run([this]() -> asio::awaitable<void> {
            RawConnection first(m_loop.context);
            RawConnection second(m_loop.context);
            co_await first.connect(m_address);
            co_await second.connect(m_address);
            RawConnection third(m_loop.context);
            co_await third.connect(m_address);
            co_await third.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            const auto answer = co_await third.receiveAll();
            CPPUNIT_ASSERT(answer.find("503") != std::string::npos);
            CPPUNIT_ASSERT(answer.find("connection-limit") != std::string::npos);
            co_await first.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            CPPUNIT_ASSERT((co_await first.receive("\r\n\r\n")).find("200 OK") != std::string::npos);
        }());
    }

    void closedCallerCancelsItsRequest()
    {
        Event started(m_loop.context);
        Event cancelled(m_loop.context);
        start({}, [&](HttpRequest, RequestScope &scope) -> asio::awaitable<HttpResponse> {
            const auto registration = scope.cancellation.onCancel([&] { cancelled.set(); });
            started.set();
            co_await cancelled.wait();
            co_return makeResponse(200, "text/plain", "late");
        });
        m_loop.run([&]() -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(m_address);
            co_await caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            co_await started.wait();
            caller.close();
            co_await cancelled.wait();
        }());
        CPPUNIT_ASSERT(cancelled.isSet());
    }

    /// Guards against a truncated download that ends with the terminating chunk.
    void failedRestNeverLooksWhole()
    {
        class FailingReader : public BodyReader
        {
        public:
            asio::awaitable<boost::system::result<std::string, TransferError>> next() override
            {
                co_return TransferError::TruncatedAnswer;
            }
        };
        start({}, [](HttpRequest, RequestScope &) -> asio::awaitable<HttpResponse> {
            HttpResponse response;
            response.message.body() = "begin";
            response.rest = std::make_unique<FailingReader>();
            co_return response;
        });
        m_loop.run([this]() -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(m_address);
            co_await caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            const auto answer = co_await caller.receiveAll();
            CPPUNIT_ASSERT(answer.find("begin") != std::string::npos);
            CPPUNIT_ASSERT(answer.find("\r\n0\r\n") == std::string::npos);
        }());
    }

    void stopWaitsForTheRequestInFlight()
    {
        Event started(m_loop.context);
        Event mayEnd(m_loop.context);
        start({}, [&](HttpRequest, RequestScope &) -> asio::awaitable<HttpResponse> {
            started.set();
            co_await mayEnd.wait();
            co_return makeResponse(200, "text/plain", "whole");
        });
        m_loop.run([&]() -> asio::awaitable<void> {
            RawConnection idle(m_loop.context);
            co_await idle.connect(m_address);
            RawConnection caller(m_loop.context);
            co_await caller.connect(m_address);
            co_await caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            co_await started.wait();
            m_server->stop();
            CPPUNIT_ASSERT_EQUAL(std::string(), co_await idle.receiveAll());
            mayEnd.set();
            CPPUNIT_ASSERT((co_await caller.receiveAll()).find("whole") != std::string::npos);
            co_await m_server->finished();
        }());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_server->connections());
    }

    // Guards against work for a caller that left while its request waited to be read, as on a node short of processor
    // time.
    void requestOfACallerThatLeftIsNotHandled()
    {
        start({}, echo());
        asio::io_context callers;
        for (int i = 0; i < 3; ++i) {
            asio::ip::tcp::socket socket(callers);
            socket.connect(*parseEndpoint(m_address.value()));
            asio::write(socket, asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")));
        }
        m_loop.run([this]() -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(m_address);
            co_await caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            CPPUNIT_ASSERT((co_await caller.receive("\r\n\r\n")).starts_with("HTTP/1.1 200"));
        }());
        CPPUNIT_ASSERT_EQUAL(1, m_handled);
    }

    // Guards against a planned stop that resets connections in the listen queue, whose requests have already been sent.
    void stopServesConnectionsThatAreNotYetAccepted()
    {
        start({}, echo());
        asio::io_context callers;
        std::vector<asio::ip::tcp::socket> sockets;
        for (int i = 0; i < 5; ++i) {
            sockets.emplace_back(callers).connect(*parseEndpoint(m_address.value()));
            asio::write(sockets.back(), asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        }
        m_server->stop();
        m_loop.run(m_server->finished());
        CPPUNIT_ASSERT_EQUAL(5, m_handled);
        for (auto &socket : sockets) {
            std::string answer;
            ErrorCode error;
            asio::read(socket, asio::dynamic_buffer(answer), error);
            CPPUNIT_ASSERT(error == asio::error::eof);
            CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
        }
    }

    // Guards against a planned stop that closes a connection whose first request is on its way.
    void stopWaitsForTheFirstRequestOfAConnection()
    {
        start({}, echo());
        m_loop.run([this]() -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(m_address);
            while (m_server->connections() == 0) {
                co_await asio::post(m_loop.context, asio::use_awaitable);
            }
            m_server->stop();
            asio::steady_timer timer(m_loop.context, std::chrono::milliseconds(50));
            co_await timer.async_wait(AsTuple);
            co_await caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            const auto answer = co_await caller.receiveAll();
            CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
            CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        }());
    }

    void tearDown() override
    {
        if (m_server) {
            m_server->stop();
            m_loop.run(m_server->finished());
        }
    }

private:
    HttpServer::Handler echo()
    {
        return [this](HttpRequest request, RequestScope &) -> asio::awaitable<HttpResponse> {
            ++m_handled;
            co_return makeResponse(200, "text/plain", request.message.body());
        };
    }

    void start(ServerLimits limits, HttpServer::Handler handler)
    {
        m_server = std::make_unique<HttpServer>(m_loop.context.get_executor(), limits, std::move(handler));
        m_address = m_server->listen(Address("127.0.0.1:0"));
    }

    void expectStatus(const std::string &input, const std::string &status)
    {
        m_loop.run([&]() -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(m_address);
            co_await caller.send(input);
            const auto answer = co_await caller.receiveAll();
            CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, answer.substr(0, 12));
            CPPUNIT_ASSERT(answer.find("Geraniumsail-Outcome: not-run") != std::string::npos);
        }());
    }

    Loop m_loop;
    Address m_address;
    std::unique_ptr<HttpServer> m_server;
    int m_handled = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace

} // namespace Geraniumsail
