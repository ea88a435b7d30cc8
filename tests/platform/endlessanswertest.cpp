// Tests of upstreams whose answers do not end before their connection does.
#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr const char *Configuration = R"({"version":"r7","services":[{"name":"books","max_connections":50},
    {"name":"charts","max_connections":50}],"limits":{},"virtual_hosts":[{"host":"a.example","path_rules":[
    {"name":"books","prefix":"/books/","route_type":"safe","timeout":"300ms","target_latency":"200ms",
     "priority":1,"service":"books","max_attempts":2}]}]})";

constexpr Duration RouteTimeout = milliseconds(300);
/// Time after the route's timeout within which a request has to have its final answer.
constexpr Duration FinalAnswerBound = milliseconds(500);
constexpr const char *Chunked = "Transfer-Encoding: chunked\r\n\r\n";

class EndlessAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessAnswerTest);
    CPPUNIT_TEST(answerWithoutLengthEndsAtTheTimeout);
    CPPUNIT_TEST(answerWithHugeLengthEndsAtTheTimeout);
    CPPUNIT_TEST(answerInLongChunksEndsAtTheTimeout);
    CPPUNIT_TEST(answerInOneByteChunksEndsAtTheTimeout);
    CPPUNIT_TEST(slowCallerLearnsOfTheEndAtTheTimeout);
    CPPUNIT_TEST(callerThatDoesNotReadIsCutAtTheTimeout);
    CPPUNIT_TEST(longAnswerThatEndsInTimeIsWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<Loop>();
        m_store = std::make_unique<FakeStore>(m_loop->context);
        m_upstream = std::make_unique<RawListener>(m_loop->context);
        m_target =
            std::make_unique<FleetNode>(m_loop->context, m_store->address(), "books-1", "books", m_upstream->address());
        m_other = std::make_unique<FleetNode>(m_loop->context, m_store->address(), "charts-1", "charts");
        m_store->put("op/config", Configuration);
        m_target->announce(UpstreamPhase::Ready, 1);
        m_other->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] {
            return m_other->relay.configurationVersion() == ConfigVersion(7) && m_other->relay.knownEntries() == 2
                && m_target->relay.configurationVersion() == ConfigVersion(7) && m_target->relay.knownEntries() == 2;
        });
    }
    void tearDown() override
    {
        // The coroutines of the nodes never end, so the objects are leaked, as in FleetTest.
        m_loop->context.stop();
        static_cast<void>(m_other.release());
        static_cast<void>(m_target.release());
        static_cast<void>(m_upstream.release());
        static_cast<void>(m_store.release());
        static_cast<void>(m_loop.release());
    }

    // Guards against an answer that is passed on for as long as the upstream sends: each read completes at once, so
    // that the time limit of a single read never ends it.
    void answerWithoutLengthEndsAtTheTimeout()
    {
        expectEndInTime("\r\n", std::string(WholeBodyLimit, 'z'), Duration(0));
    }
    void answerWithHugeLengthEndsAtTheTimeout()
    {
        expectEndInTime("Content-Length: 1000000000000\r\n\r\n", std::string(WholeBodyLimit, 'z'), Duration(0));
    }
    void answerInLongChunksEndsAtTheTimeout()
    {
        expectEndInTime(Chunked, "ea60\r\n" + std::string(60000, 'z') + "\r\n", Duration(0));
    }
    void answerInOneByteChunksEndsAtTheTimeout()
    {
        std::string chunks;
        for (int i = 0; i < 10000; ++i) {
            chunks += "1\r\nz\r\n";
        }
        expectEndInTime(Chunked, chunks, Duration(0));
    }

    // Guards against a caller that still receives what the system has buffered, long after the answer was broken off.
    void slowCallerLearnsOfTheEndAtTheTimeout()
    {
        expectEndInTime("\r\n", std::string(WholeBodyLimit, 'z'), milliseconds(20));
    }

    // Guards against a write that waits for a caller beyond the timeout.
    void callerThatDoesNotReadIsCutAtTheTimeout()
    {
        for (auto *node : {m_target.get(), m_other.get()}) {
            bool isServed = false;
            asio::co_spawn(m_loop->context, serve("\r\n", std::string(WholeBodyLimit, 'z'), isServed), asio::detached);
            RawConnection caller(m_loop->context);
            m_loop->run(sendRequest(caller, *node));
            const auto startedAt = monotonicNow();
            m_loop->runUntil([&isServed] { return isServed; });
            CPPUNIT_ASSERT(monotonicNow() - startedAt < RouteTimeout + FinalAnswerBound);
        }
    }

    // Guards against a time limit that breaks off answers which are in time.
    void longAnswerThatEndsInTimeIsWhole()
    {
        const std::string body(1024UL * 1024, 'y');
        for (auto *node : {m_target.get(), m_other.get()}) {
            asio::co_spawn(m_loop->context, serveOnce(body), asio::detached);
            std::string received;
            m_loop->run(readWhole(*node, body.size(), received));
            CPPUNIT_ASSERT(received.ends_with(body));
        }
    }

private:
    /// Plays an answer of this head that repeats the filler, for a caller of the target node and for one of another.
    void expectEndInTime(const std::string &headEnd, const std::string &filler, Duration callerPause)
    {
        for (auto *node : {m_target.get(), m_other.get()}) {
            bool isServed = false;
            asio::co_spawn(m_loop->context, serve(headEnd, filler, isServed), asio::detached);
            Duration took{};
            std::size_t received = 0;
            m_loop->run(readToTheEnd(*node, callerPause, took, received));
            CPPUNIT_ASSERT(received > WholeBodyLimit);
            CPPUNIT_ASSERT(took < RouteTimeout + FinalAnswerBound);
            m_loop->runUntil([&isServed] { return isServed; });
        }
    }

    asio::awaitable<void> sendRequest(RawConnection &caller, FleetNode &node)
    {
        co_await caller.connect(node.relay.settings().callerListen);
        co_await caller.send("GET /books/x HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 5000\r\nRequest-Id: id\r\n\r\n");
    }

    /// Gives up after several times the bound.
    asio::awaitable<void> readToTheEnd(FleetNode &node, Duration pause, Duration &took, std::size_t &received)
    {
        RawConnection caller(m_loop->context);
        co_await sendRequest(caller, node);
        const auto startedAt = monotonicNow();
        asio::steady_timer timer(m_loop->context);
        while (took < 4 * (RouteTimeout + FinalAnswerBound)) {
            const auto block = co_await caller.receiveSome();
            took = monotonicNow() - startedAt;
            received += block.size();
            if (block.empty()) {
                break;
            }
            if (pause.count() > 0) {
                timer.expires_after(pause);
                co_await timer.async_wait(AsTuple);
            }
        }
    }

    /// Reads a head and a body of this length.
    asio::awaitable<void> readWhole(FleetNode &node, std::size_t bodyBytes, std::string &received)
    {
        RawConnection caller(m_loop->context);
        co_await sendRequest(caller, node);
        received = co_await caller.receive("\r\n\r\n");
        const auto total = received.find("\r\n\r\n") + 4 + bodyBytes;
        while (received.size() < total) {
            const auto block = co_await caller.receiveSome();
            if (block.empty()) {
                break;
            }
            received += block;
        }
    }

    /// Answers one request, and sends filler until the connection ends.
    asio::awaitable<void> serve(std::string headEnd, std::string filler, bool &isServed)
    {
        auto connection = co_await m_upstream->accept();
        co_await connection.receive("\r\n\r\n");
        try {
            co_await connection.send("HTTP/1.1 200 OK\r\nRequest-Id: id\r\nServer-Signature: s\r\n" + headEnd);
            while (true) {
                co_await connection.send(filler);
            }
        } catch (const boost::system::system_error &) {
            isServed = true;
        }
    }

    asio::awaitable<void> serveOnce(std::string body)
    {
        auto connection = co_await m_upstream->accept();
        co_await connection.receive("\r\n\r\n");
        co_await connection.send("HTTP/1.1 200 OK\r\nRequest-Id: id\r\nServer-Signature: s\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
        co_await connection.receiveAll();
    }

    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<FakeStore> m_store;
    std::unique_ptr<RawListener> m_upstream;
    std::unique_ptr<FleetNode> m_target;
    std::unique_ptr<FleetNode> m_other;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswerTest);

} // namespace

} // namespace Geraniumsail
