// Tests of upstreams that leave while their node is stopped and started again, with reports that arrive late.
#include "fleet.h"
#include "storegate.h"

#include "core/storerevision.h"

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
    CPPUNIT_TEST(leaveIsRecordedByAnotherNodeWhileTheStoreRefusesThisOne);
    CPPUNIT_TEST(leaveIsHeldByAnotherNodeWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(drainingIsNotAcknowledgedWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(deregistrationIsNotAcknowledgedWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(leaveIsAcknowledgedAsSoonAsTheStoreIsBack);
    CPPUNIT_TEST(leaveThatNothingRecordsIsNotAcknowledged);
    CPPUNIT_TEST(recordedLeaveOutlastsARestoreOfTheStore);
    CPPUNIT_TEST(leaveWrittenDuringARestoreIsWrittenAgain);
    CPPUNIT_TEST(anyNumberOfLeavesIsRecorded);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<Loop>();
        m_store = std::make_unique<FakeStore>(m_loop->context);
        m_client = std::make_unique<HttpClient>(m_loop->context.get_executor(), ClientLimits{});
        m_store->put("op/config", Configuration);
        m_gate = std::make_unique<StoreGate>(m_loop->context, m_store->address());
        m_books = std::make_unique<FleetNode>(m_loop->context, m_gate->address, "books-1", "books");
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
        static_cast<void>(m_restartedGate.release());
        static_cast<void>(m_gate.release());
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
        m_store->put(RecordKey, "[[[[");
        restart();
        m_restarted->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_restarted->announce(UpstreamPhase::Draining, 2);
        m_loop->runUntil([this] { return m_store->valueOf(RecordKey).find("i-books-1") != std::string::npos; });
    }

    // Guards against a leave that was acknowledged while the store turned the node away, and that is forgotten when the
    // process of the node ends before the store serves it again.
    void leaveIsRecordedByAnotherNodeWhileTheStoreRefusesThisOne()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_gate->refuses = true;
        m_books->relay.onUpstreamDeregistration(UpstreamId("i-books-1"), 1);
        CPPUNIT_ASSERT(isAcknowledged());
        CPPUNIT_ASSERT(m_store->valueOf(RecordKey).find("i-books-1") != std::string::npos);
        checkThatItStaysLeftAfterRestart();
    }

    // Guards against a leave that is forgotten with the process of the node although another node lives on. It is not
    // acknowledged while only the memory of nodes holds it.
    void leaveIsHeldByAnotherNodeWhileTheStoreIsUnavailable()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_store->unavailable = true;
        m_books->announce(UpstreamPhase::Draining, 3);
        CPPUNIT_ASSERT(!isAcknowledged());
        // The first process never reaches the store again.
        m_gate->refuses = true;
        m_books->relay.beginStop();
        m_restartedGate = std::make_unique<StoreGate>(m_loop->context, m_store->address());
        startAgain(m_restartedGate->address);
        m_restarted->announce(UpstreamPhase::Ready, 2);
        // Longer than the pause between two messages of the node that holds the record.
        runFor(seconds(1));
        const auto received = m_books->upstream.receivedRequests.size();
        m_store->unavailable = false;
        m_loop->runUntil([this] { return m_store->valueOf(RecordKey).find("i-books-1") != std::string::npos; });
        const auto end = monotonicNow() + seconds(2);
        while (monotonicNow() < end) {
            CPPUNIT_ASSERT_EQUAL(503U, statusOfPost());
        }
        CPPUNIT_ASSERT_EQUAL(received, m_books->upstream.receivedRequests.size());
        m_restarted->announce(UpstreamPhase::Ready, 1, 2);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
    }

    // Guards against acknowledged leaves that are forgotten when all processes are killed while the store is down.
    void drainingIsNotAcknowledgedWhileTheStoreIsUnavailable()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_store->unavailable = true;
        m_books->announce(UpstreamPhase::Draining, 3);
        checkThatItIsNotAcknowledgedUntilStored();
    }

    void deregistrationIsNotAcknowledgedWhileTheStoreIsUnavailable()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_store->unavailable = true;
        m_books->relay.onUpstreamDeregistration(UpstreamId("i-books-1"), 1);
        checkThatItIsNotAcknowledgedUntilStored();
    }

    // Guards against an acknowledgement that waits for the next report of the upstream although another node has stored
    // the leave in time.
    void leaveIsAcknowledgedAsSoonAsTheStoreIsBack()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_gate->refuses = true;
        m_store->unavailable = true;
        asio::steady_timer timer(m_loop->context, milliseconds(300));
        timer.async_wait([this](const ErrorCode &) { m_store->unavailable = false; });
        m_books->relay.onUpstreamDeregistration(UpstreamId("i-books-1"), 1);
        CPPUNIT_ASSERT(isAcknowledged());
        CPPUNIT_ASSERT(m_store->valueOf(RecordKey).find("i-books-1") != std::string::npos);
    }

    // Guards against an acknowledgement that a restart of the node would break.
    void leaveThatNothingRecordsIsNotAcknowledged()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        m_gate->refuses = true;
        m_charts->relay.beginStop();
        m_books->relay.onUpstreamDeregistration(UpstreamId("i-books-1"), 1);
        CPPUNIT_ASSERT(!isAcknowledged());
        m_gate->refuses = false;
        m_loop->runUntil([this] { return isAcknowledged(); });
    }

    // Guards against an acknowledged leave that is forgotten because the store comes back from a copy that is older
    // than the record, before the node is restarted.
    void recordedLeaveOutlastsARestoreOfTheStore()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        const auto copy = m_store->copy();
        m_books->relay.onUpstreamDeregistration(UpstreamId("i-books-1"), 1);
        CPPUNIT_ASSERT(isAcknowledged());
        m_store->restore(*copy);
        CPPUNIT_ASSERT(!m_store->has(RecordKey));
        m_loop->runUntil([this] { return m_store->valueOf(RecordKey).find("i-books-1") != std::string::npos; });
        checkThatItStaysLeftAfterRestart();
    }

    // Guards against a leave that counts as recorded because its write was acknowledged just before the store lost it,
    // after another node had told of the store's new history.
    void leaveWrittenDuringARestoreIsWrittenAgain()
    {
        m_books->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] { return statusOfPost() == 200; });
        const auto copy = m_store->copy();
        m_gate->holdsAnswers = true;
        m_books->relay.onUpstreamDeregistration(UpstreamId("i-books-1"), 1);
        m_loop->runUntil([this] { return m_store->has(RecordKey); });
        m_store->restore(*copy);
        m_books->store.onRevision(makeStoreRevision(2, 1));
        m_gate->holdsAnswers = false;
        m_loop->runUntil([this] { return m_store->has(RecordKey); });
    }

    // Guards against endless writes once there are more leaves than a record holds.
    void anyNumberOfLeavesIsRecorded()
    {
        for (std::size_t i = 0; i < LeaveRecord::MaxLeaves + 10; ++i) {
            m_books->relay.onUpstreamDeregistration(UpstreamId("i" + std::to_string(i)), 1000 - std::int64_t(i));
        }
        CPPUNIT_ASSERT(isAcknowledged());
        runFor(milliseconds(200));
        const auto writes = m_store->calls["/kv-txn"];
        runFor(seconds(1));
        CPPUNIT_ASSERT_EQUAL(writes, m_store->calls["/kv-txn"]);
    }

private:
    static constexpr const char *RecordKey = "geraniumsail/leaves/books-1";

    /// Whether the node may acknowledge the leaves that were reported to it, within the second that an upstream waits.
    bool isAcknowledged()
    {
        std::optional<bool> isSafe;
        const auto startedAt = monotonicNow();
        m_loop->run(confirm(isSafe));
        CPPUNIT_ASSERT(monotonicNow() - startedAt < seconds(1));
        return *isSafe;
    }
    asio::awaitable<void> confirm(std::optional<bool> &isSafe)
    {
        isSafe = co_await m_books->leaveRecorder.confirm();
    }
    void checkThatItIsNotAcknowledgedUntilStored()
    {
        CPPUNIT_ASSERT(!isAcknowledged());
        // Nothing is delivered meanwhile.
        CPPUNIT_ASSERT_EQUAL(503U, statusOfPost());
        m_store->unavailable = false;
        m_loop->runUntil([this] { return isAcknowledged(); });
        CPPUNIT_ASSERT(m_store->valueOf(RecordKey).find("i-books-1") != std::string::npos);
    }
    /// Stops the node as planned, and starts it again beside the same upstream.
    void restart()
    {
        m_books->relay.beginStop();
        m_loop->run(m_books->follower.unpublish());
        startAgain(m_gate->address);
    }
    void startAgain(const Address &store)
    {
        m_loop->run(m_books->relay.stopped());
        auto settings = m_books->relay.settings();
        settings.store = store;
        // A stopped node closes only the listeners for requests.
        settings.readyListen = Address("127.0.0.1:0");
        settings.announceListen = Address("127.0.0.1:0");
        settings.metricsListen = {};
        m_restarted = std::make_unique<FleetNode>(m_loop->context, settings);
    }
    void checkThatItStaysLeft()
    {
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(503U, statusOfPost());
        checkThatItStaysLeftAfterRestart();
    }
    void checkThatItStaysLeftAfterRestart()
    {
        restart();
        runFor(milliseconds(300));
        const auto received = m_books->upstream.receivedRequests.size();
        m_restarted->announce(UpstreamPhase::Ready, 2);
        runFor(milliseconds(500));
        m_gate->refuses = false;
        runFor(milliseconds(1500));
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
    std::unique_ptr<StoreGate> m_gate; ///< Of the node "books-1".
    std::unique_ptr<StoreGate> m_restartedGate; ///< Of its second process, if that has one of its own.
    std::unique_ptr<FleetNode> m_books;
    std::unique_ptr<FleetNode> m_charts;
    std::unique_ptr<FleetNode> m_restarted;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaveTest);

} // namespace

} // namespace Geraniumsail
