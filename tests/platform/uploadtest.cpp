// Tests of requests with long bodies, which are streamed through the entry node and the target node and run at most
// once.
#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Configuration = R"({"version":"r7","services":[{"name":"surveys","max_connections":50},
    {"name":"charts","max_connections":50}],"limits":{},"virtual_hosts":[{"host":"a.example","path_rules":[
    {"name":"survey","prefix":"/survey/","route_type":"upload","timeout":"2000ms","target_latency":"800ms",
     "priority":1,"service":"surveys","max_attempts":2}]}]})";

/// Longer than what fits into the socket buffers on the way.
constexpr std::size_t LongBodyBytes = 24UL * 1024 * 1024;
/// Longer than what is read whole before the request is forwarded.
constexpr std::size_t MediumBodyBytes = 300000;

std::string head(const std::string &id, std::size_t bodyBytes)
{
    return "POST /survey/1 HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 2000\r\nRequest-Id: " + id
        + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

class UploadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UploadTest);
    CPPUNIT_TEST(longBodyArrivesWholeAndOnce);
    CPPUNIT_TEST(chunkedBodyArrivesWhole);
    CPPUNIT_TEST(slowUpstreamSlowsTheCallerDown);
    CPPUNIT_TEST(partlySentBodyIsNotSentAgain);
    CPPUNIT_TEST(callerThatLeavesInMidBodyEndsTheRequest);
    CPPUNIT_TEST(earlyAnswerDoesNotCutTheBody);
    CPPUNIT_TEST(refusalOfALongBodyIsReportedAsNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<Loop>();
        m_store = std::make_unique<FakeStore>(m_loop->context);
        m_upstream = std::make_unique<RawListener>(m_loop->context);
        m_target = std::make_unique<FleetNode>(m_loop->context, m_store->address(), "surveys-1", "surveys",
                                               m_upstream->address());
        m_entry = std::make_unique<FleetNode>(m_loop->context, m_store->address(), "charts-1", "charts");
        m_store->put("op/config", Configuration);
        m_target->announce(UpstreamPhase::Ready, 1);
        m_entry->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] {
            return m_entry->relay.configurationVersion() == ConfigVersion(7) && m_entry->relay.knownEntries() == 2
                && m_target->relay.configurationVersion() == ConfigVersion(7);
        });
    }
    void tearDown() override
    {
        // The coroutines of the nodes never end, so the objects are leaked, as in FleetTest.
        m_loop->context.stop();
        static_cast<void>(m_entry.release());
        static_cast<void>(m_target.release());
        static_cast<void>(m_upstream.release());
        static_cast<void>(m_store.release());
        static_cast<void>(m_loop.release());
    }

    // Guards against a long body that is changed, cut or run twice on its way through two nodes.
    void longBodyArrivesWholeAndOnce()
    {
        const auto body = bodyOf(LongBodyBytes);
        serve([&body](RawConnection &upstream, std::string received) -> asio::awaitable<void> {
            const auto start = received.find("\r\n\r\n") + 4;
            while (received.size() - start < body.size()) {
                received += co_await upstream.receiveSome();
            }
            CPPUNIT_ASSERT(received.substr(start) == body);
            co_await upstream.send(answer("id-1", "whole"));
        });
        m_loop->run(expectAnswer(head("id-1", body.size()) + body, "200", "whole"));
        CPPUNIT_ASSERT_EQUAL(1, m_requests);
    }

    void chunkedBodyArrivesWhole()
    {
        const auto body = bodyOf(MediumBodyBytes);
        serve([&body](RawConnection &upstream, std::string received) -> asio::awaitable<void> {
            while (received.find("\r\n0\r\n\r\n") == std::string::npos) {
                received += co_await upstream.receiveSome();
            }
            std::string joined;
            auto rest = received.substr(received.find("\r\n\r\n") + 4);
            while (!rest.empty()) {
                const auto size = std::stoul(rest, nullptr, 16);
                joined += rest.substr(rest.find("\r\n") + 2, size);
                rest.erase(0, rest.find("\r\n") + 2 + size + 2);
            }
            CPPUNIT_ASSERT(joined == body);
            co_await upstream.send(answer("id-1", "whole"));
        });
        std::string request = "POST /survey/1 HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 2000\r\nRequest-Id: id-1"
                              "\r\nTransfer-Encoding: chunked\r\n\r\n";
        constexpr std::size_t chunkBytes = 10000;
        for (std::size_t sent = 0; sent < body.size(); sent += chunkBytes) {
            request += "2710\r\n" + body.substr(sent, chunkBytes) + "\r\n";
        }
        m_loop->run(expectAnswer(request + "0\r\n\r\n", "200", "whole"));
    }

    // Guards against nodes that hold the body of a caller that is faster than the upstream.
    void slowUpstreamSlowsTheCallerDown()
    {
        const auto body = bodyOf(LongBodyBytes);
        bool mayRead = false;
        serve([&](RawConnection &upstream, std::string received) -> asio::awaitable<void> {
            asio::steady_timer timer(m_loop->context);
            while (!mayRead) {
                timer.expires_after(milliseconds(10));
                co_await timer.async_wait(AsTuple);
            }
            const auto start = received.find("\r\n\r\n") + 4;
            while (received.size() - start < body.size()) {
                received += co_await upstream.receiveSome();
            }
            co_await upstream.send(answer("id-1", "whole"));
        });
        RawConnection caller(m_loop->context);
        m_loop->run(caller.connect(m_entry->relay.settings().callerListen));
        bool isSent = false;
        asio::co_spawn(m_loop->context, caller.send(head("id-1", body.size()) + body),
                       [&isSent](const std::exception_ptr &) { isSent = true; });
        runFor(milliseconds(400));
        CPPUNIT_ASSERT(!isSent);
        mayRead = true;
        std::string received;
        m_loop->run(receiveInto(caller, "whole", received));
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 200"));
    }

    // Guards against a second run of an upload whose upstream closed the connection in the middle of the body.
    void partlySentBodyIsNotSentAgain()
    {
        serve([](RawConnection &upstream, const std::string &) -> asio::awaitable<void> {
            upstream.close();
            co_return;
        });
        m_loop->run(expectAnswer(head("id-1", MediumBodyBytes) + bodyOf(MediumBodyBytes), "502", "unknown"));
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(1, m_requests);
    }

    // Guards against an upstream that waits for the rest of a body whose caller has gone.
    void callerThatLeavesInMidBodyEndsTheRequest()
    {
        bool hasEnded = false;
        serve([&hasEnded](RawConnection &upstream, const std::string &) -> asio::awaitable<void> {
            co_await upstream.receiveAll();
            hasEnded = true;
        });
        RawConnection caller(m_loop->context);
        m_loop->run(caller.connect(m_entry->relay.settings().callerListen));
        m_loop->run(caller.send(head("id-1", LongBodyBytes) + bodyOf(MediumBodyBytes)));
        m_loop->runUntil([this] { return m_requests == 1; });
        const auto leftAt = monotonicNow();
        caller.close();
        m_loop->runUntil([&hasEnded] { return hasEnded; });
        CPPUNIT_ASSERT(monotonicNow() - leftAt < milliseconds(500));
    }

    // An upstream may answer before it has read the body, keep the connection and read on. Guards against other bytes
    // that it gets where the rest of that body is due.
    void earlyAnswerDoesNotCutTheBody()
    {
        const auto body = bodyOf(MediumBodyBytes);
        bool isWhole = false;
        serve([&](RawConnection &upstream, std::string received) -> asio::awaitable<void> {
            co_await upstream.send(answer("id-1", "early"));
            const auto start = received.find("\r\n\r\n") + 4;
            while (received.size() - start < body.size()) {
                const auto part = co_await upstream.receiveSome();
                if (part.empty()) {
                    break;
                }
                received += part;
            }
            isWhole = received.substr(start) == body;
        });
        m_loop->run(expectAnswer(head("id-1", body.size()) + body, "200", "early"));
        m_loop->runUntil([&isWhole] { return isWhole; });
    }

    // Guards against an upload that certainly did not run and whose caller is told that this is unknown, because the
    // refusal was lost when the connection with the unread body was closed.
    void refusalOfALongBodyIsReportedAsNotRun()
    {
        m_target->announce(UpstreamPhase::Draining, 2);
        const auto body = bodyOf(4 * MediumBodyBytes);
        m_loop->run(expectAnswer(head("id-1", body.size()) + body, "503", "draining"));
        CPPUNIT_ASSERT_EQUAL(0, m_requests);
    }

private:
    using Behaviour = std::function<asio::awaitable<void>(RawConnection &, std::string)>;

    static std::string bodyOf(std::size_t bytes)
    {
        std::string body(bytes, '\0');
        for (std::size_t i = 0; i < bytes; ++i) {
            body[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
        }
        return body;
    }
    static std::string answer(const std::string &id, const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nServer-Signature: signed\r\nRequest-Id: " + id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    /// Accepts one connection after the other and handles one request on each.
    void serve(Behaviour behaviour)
    {
        m_behaviour = std::move(behaviour);
        asio::co_spawn(m_loop->context, acceptAll(), asio::detached);
    }
    asio::awaitable<void> acceptAll()
    {
        while (true) {
            auto connection = co_await m_upstream->accept();
            auto received = co_await connection.receive("\r\n\r\n");
            ++m_requests;
            co_await m_behaviour(connection, std::move(received));
        }
    }
    asio::awaitable<void> expectAnswer(std::string request, std::string status, std::string wanted)
    {
        RawConnection caller(m_loop->context);
        co_await caller.connect(m_entry->relay.settings().callerListen);
        bool isSent = false;
        asio::co_spawn(m_loop->context, caller.send(std::move(request)),
                       [&isSent](const std::exception_ptr &) { isSent = true; });
        const auto received = co_await caller.receive(wanted);
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 " + status));
        CPPUNIT_ASSERT_MESSAGE(received, received.find(wanted) != std::string::npos);
        caller.close();
        while (!isSent) {
            co_await asio::post(m_loop->context, asio::use_awaitable);
        }
    }
    static asio::awaitable<void> receiveInto(RawConnection &caller, std::string wanted, std::string &received)
    {
        received = co_await caller.receive(wanted);
    }
    void runFor(Duration duration)
    {
        const auto end = monotonicNow() + duration;
        m_loop->runUntil([end] { return monotonicNow() >= end; });
    }

    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<FakeStore> m_store;
    std::unique_ptr<RawListener> m_upstream;
    std::unique_ptr<FleetNode> m_target;
    std::unique_ptr<FleetNode> m_entry;
    Behaviour m_behaviour;
    int m_requests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadTest);

} // namespace

} // namespace Geraniumsail
