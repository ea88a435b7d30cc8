// Guards the client's pool: an answer must be whole and must belong to the request that is waiting for it.
#include "net/httpclient.h"

#include "loop.h"
#include "net/httpserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;

/// A rest of a request's body that arrives after an event.
class PartAfter : public BodyReader
{
public:
    PartAfter(Event &event, std::string part) : m_event(event), m_part(std::move(part))
    {
    }
    asio::awaitable<boost::system::result<std::string, TransferError>> next() override
    {
        if (!m_part.empty()) {
            co_await m_event.wait();
        }
        co_return std::exchange(m_part, {});
    }

private:
    Event &m_event;
    std::string m_part;
};

class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(wholeAnswerIsPooled);
    CPPUNIT_TEST(truncatedAnswersAreNeverWhole);
    CPPUNIT_TEST(answerWithoutVisibleEndIsNotWhole);
    CPPUNIT_TEST(surplusBytesAreNotPooled);
    CPPUNIT_TEST(cancelledExchangeIsNotPooled);
    CPPUNIT_TEST(timedOutExchangeIsNotPooled);
    CPPUNIT_TEST(stalePooledConnectionIsReplaced);
    CPPUNIT_TEST(requestIsNeverSentTwice);
    CPPUNIT_TEST(connectFailureIsTold);
    CPPUNIT_TEST(connectionLimitIsTold);
    CPPUNIT_TEST(longBodiesAreStreamedBothWays);
    CPPUNIT_TEST(truncatedLongAnswerFails);
    CPPUNIT_TEST(endlessAnswersAreBounded);
    CPPUNIT_TEST(endlessBodyIsNotReadWhole);
    CPPUNIT_TEST(lateCopyOfAnAnswerReachesNoOtherRequest);
    CPPUNIT_TEST(repeatedRefusalReachesNoOtherRequest);
    CPPUNIT_TEST(headThatIsCutOffIsNoAnswer);
    CPPUNIT_TEST(unframedAnswerResetDuringTheRequestIsNotWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeAnswerIsPooled()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            spawnAnswer(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            const auto answer = co_await exchange(peer.address());
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer->message.body());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_client.idleConnections(peer.address()));
        }());
    }

    /// Every way to cut an answer short must end as an error.
    void truncatedAnswersAreNeverWhole()
    {
        expectError("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd", TransferError::TruncatedAnswer);
        expectError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
                    TransferError::TruncatedAnswer);
        expectError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", TransferError::TruncatedAnswer);
        expectError("HTTP/1.1 200 OK\r\nContent-Len", TransferError::TruncatedAnswer);
        expectError("nonsense\r\n\r\n", TransferError::TruncatedAnswer);
        expectError("", TransferError::ConnectionLost);
    }

    void answerWithoutVisibleEndIsNotWhole()
    {
        expectError("HTTP/1.1 200 OK\r\n\r\nmaybe all, maybe not", TransferError::TruncatedAnswer);
    }

    /// Guards against a late or doubled answer that is read as the answer to the next request.
    void surplusBytesAreNotPooled()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            spawnAnswer(peer, answer + answer);
            CPPUNIT_ASSERT((co_await exchange(peer.address())).has_value());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
        }());
    }

    void cancelledExchangeIsNotPooled()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            Cancellation cancellation;
            Event received(m_loop.context);
            Event closed(m_loop.context);
            auto serve = [&]() -> asio::awaitable<void> {
                auto connection = co_await peer.accept();
                co_await connection.receive("\r\n\r\n");
                received.set();
                co_await connection.receiveAll();
                closed.set();
            };
            asio::co_spawn(m_loop.context, serve(), asio::detached);
            auto cancelLater = [&]() -> asio::awaitable<void> {
                co_await received.wait();
                cancellation.cancel();
            };
            asio::co_spawn(m_loop.context, cancelLater(), asio::detached);
            const auto answer = co_await exchange(peer.address(), std::chrono::seconds(10), &cancellation);
            CPPUNIT_ASSERT(answer.has_error() && answer.error() == TransferError::CancelledAfterSend);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
            co_await closed.wait();
            const auto before = co_await exchange(peer.address(), std::chrono::seconds(10), &cancellation);
            CPPUNIT_ASSERT(before.has_error() && before.error() == TransferError::CancelledBeforeSend);
        }());
    }

    /// The answer that comes after the deadline must find its connection closed.
    void timedOutExchangeIsNotPooled()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            Event closed(m_loop.context);
            auto serve = [&]() -> asio::awaitable<void> {
                auto connection = co_await peer.accept();
                co_await connection.receiveAll();
                closed.set();
            };
            asio::co_spawn(m_loop.context, serve(), asio::detached);
            const auto answer = co_await exchange(peer.address(), std::chrono::milliseconds(20));
            CPPUNIT_ASSERT(answer.has_error() && answer.error() == TransferError::TimedOut);
            co_await closed.wait();
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
        }());
    }

    void stalePooledConnectionIsReplaced()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
            Event closed(m_loop.context);
            auto serve = [&]() -> asio::awaitable<void> {
                auto first = co_await peer.accept();
                co_await first.receive("\r\n\r\n");
                co_await first.send(answer + "1.");
                first.close();
                closed.set();
                auto second = co_await peer.accept();
                co_await second.receive("\r\n\r\n");
                co_await second.send(answer + "2.");
            };
            asio::co_spawn(m_loop.context, serve(), asio::detached);
            CPPUNIT_ASSERT_EQUAL(std::string("1."), (co_await exchange(peer.address()))->message.body());
            co_await closed.wait();
            const auto second = co_await exchange(peer.address());
            CPPUNIT_ASSERT(second.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string("2."), second->message.body());
        }());
    }

    /// Guards against a doubled booking: a pooled connection that breaks after the send gives an error, not a resend.
    void requestIsNeverSentTwice()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            int requests = 0;
            auto serve = [&]() -> asio::awaitable<void> {
                auto connection = co_await peer.accept();
                while (requests < 2) {
                    const auto text = co_await connection.receive("\r\n\r\n");
                    ++requests;
                    if (requests == 1) {
                        co_await connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    }
                }
                connection.close();
            };
            asio::co_spawn(m_loop.context, serve(), asio::detached);
            CPPUNIT_ASSERT((co_await exchange(peer.address())).has_value());
            const auto second = co_await exchange(peer.address());
            CPPUNIT_ASSERT(second.has_error() && second.error() == TransferError::ConnectionLost);
            CPPUNIT_ASSERT_EQUAL(2, requests);
        }());
    }

    void connectFailureIsTold()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            Address address;
            {
                RawListener closed(m_loop.context);
                address = closed.address();
            }
            const auto answer = co_await exchange(address);
            CPPUNIT_ASSERT(answer.has_error() && answer.error() == TransferError::ConnectFailed);
        }());
    }

    void connectionLimitIsTold()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            m_client.setConnectionLimit(peer.address(), 1);
            Event received(m_loop.context);
            Event mayAnswer(m_loop.context);
            auto serve = [&]() -> asio::awaitable<void> {
                auto connection = co_await peer.accept();
                co_await connection.receive("\r\n\r\n");
                received.set();
                co_await mayAnswer.wait();
                co_await connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            };
            asio::co_spawn(m_loop.context, serve(), asio::detached);
            auto second = [&]() -> asio::awaitable<void> {
                co_await received.wait();
                const auto refused = co_await exchange(peer.address());
                CPPUNIT_ASSERT(refused.has_error() && refused.error() == TransferError::PoolFull);
                mayAnswer.set();
            };
            std::exception_ptr thrown;
            asio::co_spawn(m_loop.context, second(), [&](std::exception_ptr e) { thrown = std::move(e); });
            CPPUNIT_ASSERT((co_await exchange(peer.address())).has_value());
            CPPUNIT_ASSERT(!thrown);
        }());
    }

    void longBodiesAreStreamedBothWays()
    {
        HttpServer server(m_loop.context.get_executor(), {},
                          [](HttpRequest request, RequestScope &) -> asio::awaitable<HttpResponse> {
                              std::string whole = request.message.body();
                              CPPUNIT_ASSERT(request.rest != nullptr);
                              while (request.rest) {
                                  const auto part = co_await request.rest->next();
                                  CPPUNIT_ASSERT(part.has_value());
                                  whole += *part;
                                  if (part->empty()) {
                                      request.rest.reset();
                                  }
                              }
                              co_return makeResponse(200, "text/plain", whole);
                          });
        const auto address = server.listen(Address("127.0.0.1:0"));
        std::string body;
        for (int i = 0; i < 100'000; ++i) {
            body += std::to_string(i) + " ";
        }
        m_loop.run([&]() -> asio::awaitable<void> {
            auto request = makeRequest(boost::beast::http::verb::post, "/", "a", body);
            auto answer = co_await m_client.send(address, std::move(request),
                                                 {monotonicNow() + std::chrono::seconds(10), nullptr});
            CPPUNIT_ASSERT(answer.has_value() && answer->rest);
            std::string received = answer->message.body();
            CPPUNIT_ASSERT_EQUAL(WholeBodyLimit, received.size());
            while (true) {
                const auto part = co_await answer->rest->next();
                CPPUNIT_ASSERT(part.has_value());
                CPPUNIT_ASSERT(part->size() <= WholeBodyLimit);
                if (part->empty()) {
                    break;
                }
                received += *part;
            }
            CPPUNIT_ASSERT(received == body);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_client.idleConnections(address));
            server.stop();
        }());
    }

    void truncatedLongAnswerFails()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            spawnAnswer(peer, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + std::string(150'000, 'x'));
            auto answer = co_await exchange(peer.address());
            CPPUNIT_ASSERT(answer.has_value() && answer->rest);
            boost::system::result<std::string, TransferError> part(std::string("x"));
            while (part && !part->empty()) {
                part = co_await answer->rest->next();
            }
            CPPUNIT_ASSERT(part.has_error() && part.error() == TransferError::TruncatedAnswer);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
        }());
    }

    /// Guards against a server that sends bytes without end where an answer is due: the exchange must fail long before
    /// its deadline, without keeping what arrived, and close the connection.
    void endlessAnswersAreBounded()
    {
        const std::string long1k(1024, 'x');
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n";
        expectEndlessIsBounded("HTTP/1.1 200 OK\r\n", "X: " + long1k + "\r\n");
        expectEndlessIsBounded("HTTP/1.1 200 OK\r\nX: ", long1k);
        expectEndlessIsBounded("", long1k);
        expectEndlessIsBounded("", "HTTP/1.1 102 Processing\r\n\r\n");
        expectEndlessIsBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", long1k);
        expectEndlessIsBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + long1k + "\r\n");
        expectEndlessIsBounded(head + "Content-Length: 99999999999\r\n\r\n", long1k);
        expectEndlessIsBounded(head + "\r\n", long1k);
        expectEndlessIsBounded("", head + "Content-Length: 0\r\n\r\n");
    }

    /// Guards against a store or node that sends a body without end to a reader that needs it at once.
    void endlessBodyIsNotReadWhole()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            constexpr std::size_t limit = 1000000;
            RawListener peer(m_loop.context);
            EndlessPeer endless{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                "400\r\n" + std::string(1024, 'x') + "\r\n"};
            asio::co_spawn(m_loop.context, endless.serve(peer), asio::detached);
            auto answer = co_await exchange(peer.address());
            CPPUNIT_ASSERT(answer.has_value());
            const auto body = co_await wholeBody(std::move(*answer), limit);
            CPPUNIT_ASSERT(body.has_error() && body.error() == TransferError::TruncatedAnswer);
            while (!endless.closed) {
                co_await asio::post(m_loop.context, asio::use_awaitable);
            }
            CPPUNIT_ASSERT(endless.sentBytes < limit + EndlessPeer::MaxInTransit);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
        }());
    }

    /// Guards against a server that sends a second copy of an answer, before or after the next request on the
    /// connection was sent: the next caller must get its own answer or an error.
    void lateCopyOfAnAnswerReachesNoOtherRequest()
    {
        for (const bool beforeNext : {true, false}) {
            m_loop.run([this, beforeNext]() -> asio::awaitable<void> {
                RawListener peer(m_loop.context);
                Event copySent(m_loop.context);
                Event mayCopy(m_loop.context);
                auto serve = [&]() -> asio::awaitable<void> {
                    auto connection = co_await peer.accept();
                    co_await connection.receive("\r\n\r\n");
                    co_await connection.send(answerTo("id-1", "one"));
                    co_await mayCopy.wait();
                    if (beforeNext) {
                        co_await connection.send(answerTo("id-1", "one"));
                        copySent.set();
                        connection = co_await peer.accept();
                        co_await connection.receive("\r\n\r\n");
                    } else {
                        co_await connection.receive("\r\n\r\n");
                        co_await connection.send(answerTo("id-1", "one"));
                    }
                    co_await connection.send(answerTo("id-2", "two"));
                };
                asio::co_spawn(m_loop.context, serve(), asio::detached);
                const auto first = co_await exchangeWithId(peer.address(), "id-1");
                CPPUNIT_ASSERT_EQUAL(std::string("one"), first->message.body());
                mayCopy.set();
                if (beforeNext) {
                    co_await copySent.wait();
                }
                const auto second = co_await exchangeWithId(peer.address(), "id-2");
                CPPUNIT_ASSERT_EQUAL(std::string("two"), second->message.body());
                // A connection on which a copy was seen may bring more of them.
                CPPUNIT_ASSERT(beforeNext || m_client.openConnections(peer.address()) == 0);
            }());
        }
    }

    // Guards against a refusal that a faulty server writes once more, with or without the id of its request, and that
    // is told to the next request on the connection, which runs.
    void repeatedRefusalReachesNoOtherRequest()
    {
        for (const std::string &copy : {refusalOf("id-1"), refusalOf("")}) {
            for (const bool isAnswered : {true, false}) {
                m_loop.run([this, copy, isAnswered]() -> asio::awaitable<void> {
                    RawListener peer(m_loop.context);
                    auto serve = [&]() -> asio::awaitable<void> {
                        auto connection = co_await peer.accept();
                        co_await connection.receive("\r\n\r\n");
                        co_await connection.send(refusalOf("id-1"));
                        co_await connection.receive("\r\n\r\n");
                        co_await connection.send(copy);
                        if (isAnswered) {
                            co_await connection.send(answerTo("id-2", "two"));
                        }
                    };
                    asio::co_spawn(m_loop.context, serve(), asio::detached);
                    const auto first = co_await exchangeWithId(peer.address(), "id-1");
                    CPPUNIT_ASSERT_EQUAL(503U, first->message.result_int());
                    const auto second = co_await exchangeWithId(peer.address(), "id-2");
                    CPPUNIT_ASSERT_EQUAL(isAnswered, second.has_value());
                    CPPUNIT_ASSERT(!isAnswered || second->message.body() == "two");
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
                }());
            }
        }
    }

    // Guards against an answer with a short body that is made from the part of a head.
    void headThatIsCutOffIsNoAnswer()
    {
        for (const std::string &head :
             {answerTo("id-1", ""), std::string("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Signature: s\r\n\r\n"),
              std::string("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n")}) {
            for (std::size_t length = 0; length < head.size(); ++length) {
                m_loop.run([this, part = head.substr(0, length)]() -> asio::awaitable<void> {
                    RawListener peer(m_loop.context);
                    spawnAnswer(peer, part);
                    const auto answer = co_await exchangeWithId(peer.address(), "id-1");
                    CPPUNIT_ASSERT_MESSAGE(part, answer.has_error());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
                }());
            }
        }
    }

    // Guards against a part of an answer that passes for the whole one: the write that fails after a reset takes the
    // error from the socket, and the reads after it see a clean end.
    void unframedAnswerResetDuringTheRequestIsNotWhole()
    {
        m_loop.run([this]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            Event isReset(m_loop.context);
            auto serve = [&]() -> asio::awaitable<void> {
                auto connection = co_await peer.accept();
                co_await connection.receive("\r\n\r\n");
                co_await connection.send("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n\r\nhalf of the bo");
                // The answer arrives before the reset, which would else discard it.
                asio::steady_timer timer(m_loop.context, std::chrono::milliseconds(100));
                co_await timer.async_wait(AsTuple);
                connection.reset();
                isReset.set();
            };
            asio::co_spawn(m_loop.context, serve(), asio::detached);
            auto request = makeRequest(boost::beast::http::verb::post, "/", "a", "begin");
            request.message.set("Request-Id", "id-1");
            request.message.content_length(10);
            request.rest = std::make_unique<PartAfter>(isReset, "after");
            ExchangeOptions options;
            options.deadline = monotonicNow() + std::chrono::seconds(5);
            options.closeDelimited = true;
            options.echoField = "Request-Id";
            const auto answer = co_await m_client.send(peer.address(), std::move(request), options);
            CPPUNIT_ASSERT(answer.has_error());
        }());
    }

private:
    /// Sends a text, and then another one again and again until the connection is closed.
    struct EndlessPeer
    {
        /// What may be on its way in the socket buffers of both sides when the connection is closed.
        static constexpr std::size_t MaxInTransit = 8UL * 1024 * 1024;

        std::string first;
        std::string repeated;
        std::size_t sentBytes = 0;
        bool closed = false;

        asio::awaitable<void> serve(RawListener &listener)
        {
            std::string block;
            while (block.size() < WholeBodyLimit) {
                block += repeated;
            }
            auto connection = co_await listener.accept();
            co_await connection.receive("\r\n\r\n");
            try {
                co_await connection.send(first);
                while (true) {
                    co_await connection.send(block);
                    sentBytes += block.size();
                }
            } catch (const boost::system::system_error &) {
                closed = true;
            }
        }
    };

    void expectEndlessIsBounded(const std::string &first, const std::string &repeated)
    {
        m_loop.run([&]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            EndlessPeer endless{first, repeated};
            asio::co_spawn(m_loop.context, endless.serve(peer), asio::detached);
            const auto startedAt = monotonicNow();
            const auto answer = co_await exchangeWithId(peer.address(), "id-1");
            CPPUNIT_ASSERT_MESSAGE(first + repeated, answer.has_error());
            CPPUNIT_ASSERT_MESSAGE(first + repeated, monotonicNow() - startedAt < std::chrono::seconds(3));
            while (!endless.closed) {
                co_await asio::post(m_loop.context, asio::use_awaitable);
            }
            CPPUNIT_ASSERT_MESSAGE(first + repeated, endless.sentBytes < EndlessPeer::MaxInTransit);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
        }());
    }

    static std::string refusalOf(const std::string &id)
    {
        return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id
            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    static std::string answerTo(const std::string &id, const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    asio::awaitable<HttpClient::Result> exchangeWithId(Address address, const char *id)
    {
        auto request = makeRequest(boost::beast::http::verb::get, "/", "a");
        request.message.set("Request-Id", id);
        ExchangeOptions options;
        options.deadline = monotonicNow() + std::chrono::seconds(5);
        options.closeDelimited = true;
        options.echoField = "Request-Id";
        co_return co_await m_client.send(std::move(address), std::move(request), options);
    }

    asio::awaitable<HttpClient::Result> exchange(Address address, Duration timeout = std::chrono::seconds(10),
                                                 Cancellation *cancellation = nullptr)
    {
        auto request = makeRequest(boost::beast::http::verb::get, "/", "a");
        co_return co_await m_client.send(std::move(address), std::move(request),
                                         {monotonicNow() + timeout, cancellation});
    }

    /// Accepts one connection, reads a request, sends the bytes and closes its sending side with the connection.
    void spawnAnswer(RawListener &peer, std::string bytes)
    {
        auto serve = [](RawListener &listener, std::string answer) -> asio::awaitable<void> {
            auto connection = co_await listener.accept();
            co_await connection.receive("\r\n\r\n");
            co_await connection.send(answer);
        };
        asio::co_spawn(m_loop.context, serve(peer, std::move(bytes)), asio::detached);
    }

    void expectError(const std::string &bytes, TransferError expected)
    {
        m_loop.run([&]() -> asio::awaitable<void> {
            RawListener peer(m_loop.context);
            spawnAnswer(peer, bytes);
            const auto answer = co_await exchange(peer.address());
            CPPUNIT_ASSERT_MESSAGE(bytes, answer.has_error());
            CPPUNIT_ASSERT_MESSAGE(bytes, answer.error() == expected);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.openConnections(peer.address()));
        }());
    }

    Loop m_loop;
    HttpClient m_client{m_loop.context.get_executor(), {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace

} // namespace Geraniumsail
