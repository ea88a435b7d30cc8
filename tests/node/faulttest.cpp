// Guards against what failing upstreams and vanishing callers can do: partial answers that look whole, late answers
// that reach another request, work that runs twice or for nobody.
#include "nodes.h"

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;

class FaultTest : public NodeFixture
{
    CPPUNIT_TEST_SUITE(FaultTest);
    CPPUNIT_TEST(truncatedAnswerIsNotWhole);
    CPPUNIT_TEST(truncatedStreamIsNotWhole);
    CPPUNIT_TEST(lostBookingIsNotRepeated);
    CPPUNIT_TEST(shedByTheUpstreamIsNotRun);
    CPPUNIT_TEST(deadUpstreamIsNotRun);
    CPPUNIT_TEST(vanishedCallerCancelsTheUpstream);
    CPPUNIT_TEST(startedBookingOutlivesItsCaller);
    CPPUNIT_TEST(lateAnswerReachesNobody);
    CPPUNIT_TEST(connectionLimitOfTheUpstreamHolds);
    CPPUNIT_TEST_SUITE_END();

public:
    void truncatedAnswerIsNotWhole()
    {
        RawListener upstream(m_loop.context);
        const auto requests = spawnRaw(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
        withTwoNodes(upstream.address(), [&](TestNode &entry, TestNode &) -> asio::awaitable<void> {
            const auto answer = co_await call(entry.node().addresses().caller, "GET", "/x", fieldsOf("read"));
            CPPUNIT_ASSERT_EQUAL(502U, answer.message.result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("truncated-answer"), field(answer, ReasonField));
            CPPUNIT_ASSERT_EQUAL(std::string("unknown"), field(answer, OutcomeField));
            // One first attempt and the two retries that the kind allows.
            CPPUNIT_ASSERT(*requests <= 3);
        });
    }

    void truncatedStreamIsNotWhole()
    {
        RawListener upstream(m_loop.context);
        spawnRaw(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + std::string(150'000, 'x'));
        withTwoNodes(upstream.address(), [&](TestNode &entry, TestNode &) -> asio::awaitable<void> {
            auto answer = co_await call(entry.node().addresses().caller, "GET", "/x", fieldsOf("read"));
            CPPUNIT_ASSERT(answer.rest != nullptr);
            boost::system::result<std::string, TransferError> part(std::string("x"));
            while (part && !part->empty()) {
                part = co_await answer.rest->next();
            }
            CPPUNIT_ASSERT(part.has_error() && part.error() == TransferError::TruncatedAnswer);
        });
    }

    void lostBookingIsNotRepeated()
    {
        RawListener upstream(m_loop.context);
        const auto requests = spawnRaw(upstream, "");
        withTwoNodes(upstream.address(), [&](TestNode &entry, TestNode &) -> asio::awaitable<void> {
            const auto address = entry.node().addresses().caller;
            auto fields = co_await ticketFields(address);
            for (int i = 0; i < 2; ++i) {
                const auto answer = co_await call(address, "POST", "/x", fields, "book");
                CPPUNIT_ASSERT_EQUAL(std::string("connection-lost"), field(answer, ReasonField));
                CPPUNIT_ASSERT_EQUAL(std::string("unknown"), field(answer, OutcomeField));
            }
            CPPUNIT_ASSERT_EQUAL(1, *requests);
        });
    }

    void shedByTheUpstreamIsNotRun()
    {
        RawListener upstream(m_loop.context);
        spawnRaw(
            upstream,
            "HTTP/1.1 503 Busy\r\nGeraniumsail-Outcome: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        withTwoNodes(upstream.address(), [&](TestNode &entry, TestNode &) -> asio::awaitable<void> {
            const auto answer = co_await call(entry.node().addresses().caller, "GET", "/x", fieldsOf("read"));
            CPPUNIT_ASSERT_EQUAL(std::string("upstream-shed"), field(answer, ReasonField));
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), field(answer, OutcomeField));
        });
    }

    void deadUpstreamIsNotRun()
    {
        Address address;
        {
            RawListener upstream(m_loop.context);
            address = upstream.address();
        }
        withTwoNodes(address, [&](TestNode &entry, TestNode &target) -> asio::awaitable<void> {
            const auto answer = co_await call(entry.node().addresses().caller, "GET", "/x", fieldsOf("read"));
            CPPUNIT_ASSERT_EQUAL(std::string("connect-failed"), field(answer, ReasonField));
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), field(answer, OutcomeField));
            const auto status = co_await target.node().policy().status();
            CPPUNIT_ASSERT(status.state == UpstreamState::Gone);
        });
    }

    void vanishedCallerCancelsTheUpstream()
    {
        Event started(m_loop.context);
        Event cancelled(m_loop.context);
        FakeUpstream upstream(m_loop, waitForCancel(started, cancelled));
        withTwoNodes(upstream.address(), [&](TestNode &entry, TestNode &target) -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(entry.node().addresses().caller);
            co_await caller.send("GET / HTTP/1.1\r\nHost: berths\r\nGeraniumsail-Kind: read\r\n\r\n");
            co_await started.wait();
            caller.close();
            co_await cancelled.wait();
            co_await untilIdle(target);
        });
    }

    /// Its answer is kept for the resend with the same ticket; a cancelled booking would stay unknown for ever.
    void startedBookingOutlivesItsCaller()
    {
        Event started(m_loop.context);
        Event mayEnd(m_loop.context);
        int runs = 0;
        FakeUpstream upstream(m_loop, [&](HttpRequest, RequestScope &scope) -> asio::awaitable<HttpResponse> {
            ++runs;
            started.set();
            co_await mayEnd.wait();
            CPPUNIT_ASSERT(!scope.cancellation.isCancelled());
            co_return makeResponse(200, "text/plain", "booked");
        });
        withTwoNodes(upstream.address(), [&](TestNode &entry, TestNode &target) -> asio::awaitable<void> {
            const auto address = entry.node().addresses().caller;
            const auto fields = co_await ticketFields(address);
            RawConnection caller(m_loop.context);
            co_await caller.connect(address);
            co_await caller.send("POST /x HTTP/1.1\r\nHost: berths\r\nGeraniumsail-Kind: book\r\nContent-Length: 0\r\n"
                                 "Geraniumsail-Ticket: "
                                 + fields.back().second + "\r\n\r\n");
            co_await started.wait();
            caller.close();
            co_await untilIdle(entry);
            mayEnd.set();
            co_await untilIdle(target);
            const auto answer = co_await call(address, "POST", "/x", fields);
            CPPUNIT_ASSERT_EQUAL(std::string("booked"), answer.message.body());
        });
        CPPUNIT_ASSERT_EQUAL(1, runs);
    }

    void lateAnswerReachesNobody()
    {
        Event mayEnd(m_loop.context);
        int runs = 0;
        FakeUpstream upstream(m_loop, [&](HttpRequest request, RequestScope &) -> asio::awaitable<HttpResponse> {
            if (++runs == 1) {
                co_await mayEnd.wait();
            }
            co_return makeResponse(200, "text/plain", request.message.body());
        });
        withTwoNodes(upstream.address(), [&](TestNode &entry, TestNode &) -> asio::awaitable<void> {
            const auto address = entry.node().addresses().caller;
            auto fields = fieldsOf("other");
            fields.emplace_back("Geraniumsail-Timeout-Ms", "30");
            const auto late = co_await call(address, "GET", "/x", fields, "first");
            CPPUNIT_ASSERT_EQUAL(504U, late.message.result_int());
            mayEnd.set();
            for (int i = 0; i < 5; ++i) {
                const auto answer = co_await call(address, "GET", "/x", fieldsOf("read"), "second");
                CPPUNIT_ASSERT_EQUAL(std::string("second"), answer.message.body());
            }
        });
    }

    void connectionLimitOfTheUpstreamHolds()
    {
        Event started(m_loop.context);
        Event mayEnd(m_loop.context);
        FakeUpstream upstream(m_loop, [&](HttpRequest, RequestScope &) -> asio::awaitable<HttpResponse> {
            started.set();
            co_await mayEnd.wait();
            co_return makeResponse(200, "text/plain", "ok");
        });
        TestNode node(m_loop, "node-a");
        announce(node, upstream.address(), 10, "", 1);
        m_loop.run([&]() -> asio::awaitable<void> {
            const auto address = node.node().addresses().caller;
            Event firstEnded(m_loop.context);
            auto first = [&]() -> asio::awaitable<void> {
                const auto answer = co_await call(address, "GET", "/x", fieldsOf("read"));
                CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer.message.body());
                firstEnded.set();
            };
            asio::co_spawn(m_loop.context, first(), asio::detached);
            co_await started.wait();
            const auto refused = co_await call(address, "GET", "/x", fieldsOf("other"));
            mayEnd.set();
            co_await firstEnded.wait();
            CPPUNIT_ASSERT_EQUAL(std::string("connection-limit"), field(refused, ReasonField));
        }());
    }

private:
    static Fields fieldsOf(const std::string &kind)
    {
        return {{ServiceField, "berths"}, {"Geraniumsail-Kind", kind}};
    }

    asio::awaitable<Fields> ticketFields(Address address)
    {
        const auto ticket = co_await call(address, "GET", "/geraniumsail/ticket?service=berths&kind=book", {});
        CPPUNIT_ASSERT_EQUAL(200U, ticket.message.result_int());
        auto fields = fieldsOf("book");
        fields.emplace_back(TicketField, field(ticket, TicketField));
        co_return fields;
    }

    static HttpServer::Handler waitForCancel(Event &started, Event &cancelled)
    {
        return [&](HttpRequest, RequestScope &scope) -> asio::awaitable<HttpResponse> {
            const auto registration = scope.cancellation.onCancel([&] { cancelled.set(); });
            started.set();
            co_await cancelled.wait();
            co_return makeResponse(200, "text/plain", "late");
        };
    }

    asio::awaitable<void> untilIdle(TestNode &node)
    {
        while (true) {
            const auto status = co_await node.node().policy().status();
            if (status.attempts + status.calls == 0) {
                co_return;
            }
            co_await asio::post(m_loop.context, asio::use_awaitable);
        }
    }

    template <typename Test>
    void withTwoNodes(const Address &upstream, Test test)
    {
        TestNode entry(m_loop, "node-a");
        TestNode target(m_loop, "node-b");
        announce(target, upstream);
        know(entry, {target.target()});
        m_loop.run(test(entry, target));
    }

    /// Answers every connection's first request with the bytes and closes. Returns the number of requests.
    std::shared_ptr<int> spawnRaw(RawListener &listener, const std::string &bytes)
    {
        auto requests = std::make_shared<int>(0);
        auto serve = [](RawListener &from, std::string answer, std::shared_ptr<int> count) -> asio::awaitable<void> {
            try {
                while (true) {
                    auto connection = co_await from.accept();
                    co_await connection.receive("\r\n\r\n");
                    ++*count;
                    co_await connection.send(answer);
                }
            } catch (const boost::system::system_error &) {
                // The listener was closed at the end of the test.
            }
        };
        asio::co_spawn(m_loop.context, serve(listener, bytes, requests), asio::detached);
        return requests;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTest);

} // namespace

} // namespace Geraniumsail
