// Tests of upstreams that leave while their node is stopped and started again, with reports that arrive late.
#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Configuration = R"({"version":"r7","services":[{"name":"books","max_connections":50},
    {"name":"charts","max_connections":50}],"limits":{},"virtual_hosts":[{"host":"a.example","path_rules":[
    {"name":"once","prefix":"/once/","route_type":"unsafe","timeout":"1500ms","target_latency":"800ms","priority":2,
    "service":"books","max_attempts":2}]}]})";

class LeaveTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaveTest);
    CPPUNIT_TEST(lateReportAfterPlannedRestartIsIgnored);
    CPPUNIT_TEST(lateReportAfterDrainingAndPlannedRestartIsIgnored);
    CPPUNIT_TEST(restartedNodeDeliversNothingBeforeItKnowsEarlierLeaves);
    CPPUNIT_TEST(unreadableLeaveRecordIsReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<Loop>();
        m_store = std::make_unique<FakeStore>(m_loop->context);
        m_client = std::make_unique<HttpClient>(m_loop->context.get_executor(), ClientLimits{});
        m_store->put("op/config", Configuration);
        m_books = std::make_unique<FleetNode>(m_loop->context, m_store->address(), "books-1", "books");
        m_charts = std::make_unique<FleetNode>(m_loop->context, m_store->address(), "charts-1", "charts");
        m_charts->announce(UpstreamPhase::Ready, 1);
    }
    void tearDown() override
    {
        // Leaked, as in FleetTest.
        m_loop->context.stop();
        static_cast<void>(m_restarted.release());
        static_cast<void>(m_charts.release());
        static_cast<void>(m_books.release());
        static_cast<void>(m_client.release());
        static_cast<void>(m_store.release());
        static_cast<void>(m_loop.release());
    }

    // Guards against a late report that brings an upstream back into use after a planned restart of its node, which
    // removed the entry that said that the upstream had left.
    void lateReportAfterPlannedRestartIsIgnored()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_books->relay.onUpstreamDeregistration(UpstreamId("i-books-1"), 1);
        checkThatItStaysLeft();
    }

    void lateReportAfterDrainingAndPlannedRestartIsIgnored()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_books->announce(UpstreamPhase::Draining, 3);
        checkThatItStaysLeft();
    }

    // Guards against deliveries after a late report, before the new process has learned that the upstream had left.
    void restartedNodeDeliversNothingBeforeItKnowsEarlierLeaves()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_store->unavailable = true;
        restart();
        m_restarted->announce(UpstreamPhase::Ready, 1);
        runFor(milliseconds(300));
        CPPUNIT_ASSERT(!m_restarted->relay.ownEntry());
        m_store->unavailable = false;
        m_loop->runUntil([this] { return m_restarted->relay.ownEntry().has_value(); });
        m_loop->runUntil([this] { return statusOfPost() == 200; });
    }

    // Guards against an upstream that is never served because another writer spoilt the record.
    void unreadableLeaveRecordIsReplaced()
    {
        m_store->put("geraniumsail/leaves/books-1", "[[[[");
        restart();
        m_restarted->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_restarted->announce(UpstreamPhase::Draining, 2);
        m_loop->runUntil(
            [this] { return m_store->valueOf("geraniumsail/leaves/books-1").find("i-books-1") != std::string::npos; });
    }

private:
    /// Starts the node again, at other addresses, beside the same upstream.
    void restart()
    {
        m_books->relay.beginStop();
        m_loop->run(m_books->follower.unpublish());
        m_restarted = std::make_unique<FleetNode>(m_loop->context, m_store->address(), "books-1", "books",
                                                  m_books->upstream.address);
    }
    void checkThatItStaysLeft()
    {
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(503U, statusOfPost());
        restart();
        runFor(milliseconds(300));
        const auto received = m_books->upstream.receivedRequests.size();
        m_restarted->announce(UpstreamPhase::Ready, 2);
        runFor(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(503U, statusOfPost());
        CPPUNIT_ASSERT_EQUAL(received, m_books->upstream.receivedRequests.size());
        // A later incarnation with the same id is served.
        m_restarted->announce(UpstreamPhase::Ready, 1, 2);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
    }
    unsigned statusOfPost()
    {
        unsigned status = 0;
        m_loop->run(post(status));
        return status;
    }
    asio::awaitable<void> post(unsigned &status)
    {
        auto request = makeRequest(http::verb::post, "/once/", "a.example", "body");
        request.message.set("Request-Id", "id");
        request.message.set("Deadline-Ms", "3000");
        ExchangeOptions options;
        options.deadline = monotonicNow() + seconds(5);
        options.newConnection = true;
        auto response = co_await m_client->send(m_charts->relay.settings().callerListen, std::move(request), options);
        if (response) {
            status = response->message.result_int();
        }
    }
    void runFor(Duration time)
    {
        const auto end = monotonicNow() + time;
        m_loop->runUntil([end] { return monotonicNow() >= end; });
    }

    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<FakeStore> m_store;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<FleetNode> m_books;
    std::unique_ptr<FleetNode> m_charts;
    std::unique_ptr<FleetNode> m_restarted;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaveTest);

} // namespace

} // namespace Geraniumsail
