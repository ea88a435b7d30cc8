// Tests of complete nodes with a fake store, fake upstreams and test callers.
#include "fleet.h"

#include "relay/entrycodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string configuration(int version, const std::string &safeService, const std::string &timeout = "1500ms")
{
    return R"({"version":"r)" + std::to_string(version) + R"(","services":[{"name":"books","max_connections":50},
        {"name":"charts","max_connections":50}],"limits":{},"virtual_hosts":[{"host":"a.example","path_rules":[
        {"name":"safe","prefix":"/safe/","route_type":"safe","timeout":")"
        + timeout + R"(","target_latency":"800ms","priority":1,"service":")" + safeService + R"(","max_attempts":2},
        {"name":"once","prefix":"/once/","route_type":"unsafe","timeout":")"
        + timeout + R"(","target_latency":"800ms","priority":2,"service":"books","max_attempts":2}]}]})";
}

class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(requestIsForwardedToUpstreamOfAnotherNode);
    CPPUNIT_TEST(respondsWith503BeforeFirstConfiguration);
    CPPUNIT_TEST(unrepeatableRequestIsSentOnce);
    CPPUNIT_TEST(rejectedRequestIsReportedAsNotRun);
    CPPUNIT_TEST(notRunStatusNeedsConfirmationOfUpstream);
    CPPUNIT_TEST(drainingUpstreamReceivesNoRequests);
    CPPUNIT_TEST(restartedNodeRemembersThatItsUpstreamLeft);
    CPPUNIT_TEST(onlyNewerValidConfigurationIsApplied);
    CPPUNIT_TEST(servesRequestsWhileStoreIsUnavailable);
    CPPUNIT_TEST(revokedEntryIsRepublishedWithinTwoSeconds);
    CPPUNIT_TEST(entryIsStoredDespiteLostWriteResponse);
    CPPUNIT_TEST(configurationIsReadAfterHistoryCompaction);
    CPPUNIT_TEST(invalidEntriesAreIgnored);
    CPPUNIT_TEST(entriesAreFollowedDespiteOddKeys);
    CPPUNIT_TEST(overwrittenEntryIsRestored);
    CPPUNIT_TEST(callerDisconnectCancelsUpstreamRequest);
    CPPUNIT_TEST(responseIsSentAtRouteTimeout);
    CPPUNIT_TEST(responseToAnotherRequestIsRejected);
    CPPUNIT_TEST(requestsInProgressCompleteDuringStop);
    CPPUNIT_TEST(requestReadLateInAStopIsRefusedUnlessItEndsInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<Loop>();
        m_store = std::make_unique<FakeStore>(m_loop->context);
        m_client = std::make_unique<HttpClient>(m_loop->context.get_executor(), ClientLimits{});
        m_books = addNode("books-1", "books");
        m_charts = addNode("charts-1", "charts");
    }
    void tearDown() override
    {
        // A node is designed to run until its process exits. It can be destroyed neither before its coroutines nor
        // after the context that they run on, so all objects are leaked after the context is stopped.
        m_loop->context.stop();
        static_cast<void>(m_client.release());
        static_cast<void>(m_charts.release());
        static_cast<void>(m_books.release());
        static_cast<void>(m_store.release());
        static_cast<void>(m_loop.release());
    }

    // Guards against forwarding that drops data of the caller, or passes on header fields that the nodes must replace.
    void requestIsForwardedToUpstreamOfAnotherNode()
    {
        startServing();
        auto request = makeRequest(http::verb::post, "/once/a?b=c", "a.example", "payload");
        request.message.set("Request-Id", "id-1");
        request.message.set("Deadline-Ms", "900");
        request.message.set("Caller-Service", "forged");
        request.message.set("Geraniumsail-Attempt", "forged");
        const auto response = send(*m_charts, std::move(request));
        CPPUNIT_ASSERT_EQUAL(200U, response.message.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("books-1"), response.message.body());
        CPPUNIT_ASSERT_EQUAL(std::string("signed"), std::string(fieldValue(response.message, "Server-Signature")));
        CPPUNIT_ASSERT(response.message.count("Geraniumsail-Result") == 0);
        const auto &received = m_books->upstream.receivedRequests.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("id-1"), received.id);
        CPPUNIT_ASSERT_EQUAL(std::string("/once/a?b=c"), received.target);
        CPPUNIT_ASSERT_EQUAL(std::string("payload"), received.body);
        CPPUNIT_ASSERT_EQUAL(std::string("i-books-1"), received.expectedUpstream);
        CPPUNIT_ASSERT_EQUAL(std::string("charts"), received.callerService);
        const auto left = std::stoi(received.timeoutMs);
        CPPUNIT_ASSERT(left > 0 && left <= 900);
    }

    // Guards against status 404 for an existing route, which callers treat as final.
    void respondsWith503BeforeFirstConfiguration()
    {
        const auto response = get(*m_books, "/safe/");
        CPPUNIT_ASSERT_EQUAL(503U, response.message.result_int());
        CPPUNIT_ASSERT(response.message.count("Retry-After") == 1);
        CPPUNIT_ASSERT_EQUAL(503U, readinessStatus(*m_books));
        startServing();
        CPPUNIT_ASSERT_EQUAL(200U, readinessStatus(*m_books));
        CPPUNIT_ASSERT_EQUAL(404U, get(*m_books, "/unknown/").message.result_int());
    }

    // Guards against an unrepeatable request that runs twice because its first response was lost.
    void unrepeatableRequestIsSentOnce()
    {
        startServing();
        m_books->upstream.behaviour = [](RequestScope &scope) -> asio::awaitable<HttpResponse> {
            scope.cancellation.cancel(); // Makes the server close the connection without a response.
            co_return makeResponse(500, "text/plain", "");
        };
        const auto response = send(*m_charts, post("/once/"));
        CPPUNIT_ASSERT_EQUAL(502U, response.message.result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_books->upstream.receivedRequests.size());
    }

    // Guards against a redelivery beyond the budget, and against reporting "not run" wrongly.
    void rejectedRequestIsReportedAsNotRun()
    {
        startServing();
        m_books->upstream.behaviour = [](RequestScope &) -> asio::awaitable<HttpResponse> {
            auto response = makeResponse(503, "text/plain", "");
            response.message.set("Not-Executed", "1");
            co_return response;
        };
        const auto response = send(*m_charts, post("/once/"));
        CPPUNIT_ASSERT_EQUAL(503U, response.message.result_int());
        CPPUNIT_ASSERT(response.message.count("Retry-After") == 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_books->upstream.receivedRequests.size());
    }

    void notRunStatusNeedsConfirmationOfUpstream()
    {
        startServing();
        m_books->upstream.behaviour = [](RequestScope &) -> asio::awaitable<HttpResponse> {
            co_return FakeUpstream::signedResponse(503, "ran and failed");
        };
        CPPUNIT_ASSERT_EQUAL(502U, send(*m_charts, post("/once/")).message.result_int());
        m_books->upstream.behaviour = [](RequestScope &) -> asio::awaitable<HttpResponse> {
            co_return makeResponse(200, "text/plain", "unsigned");
        };
        CPPUNIT_ASSERT_EQUAL(502U, send(*m_charts, post("/once/")).message.result_int());
    }

    // Guards against sending requests to an upstream whose draining report was acknowledged, by its own node or others.
    void drainingUpstreamReceivesNoRequests()
    {
        startServing();
        m_books->announce(UpstreamPhase::Draining, 2);
        for (auto *node : {m_books.get(), m_charts.get()}) {
            const auto response = send(*node, post("/once/"));
            CPPUNIT_ASSERT_EQUAL(503U, response.message.result_int());
        }
        m_books->announce(UpstreamPhase::Ready, 3);
        CPPUNIT_ASSERT_EQUAL(503U, send(*m_charts, post("/once/")).message.result_int());
        CPPUNIT_ASSERT(m_books->upstream.receivedRequests.empty());
    }

    // Guards against a restarted node that takes a delayed report for news: the earlier process had acknowledged that
    // the upstream left. A later incarnation with the same id is not concerned.
    void restartedNodeRemembersThatItsUpstreamLeft()
    {
        for (const bool reportComesFirst : {false, true}) {
            DirectoryEntry left;
            left.node = NodeName("books-1");
            left.nodeStartedMs = 1;
            left.peer = m_books->relay.settings().peerListen;
            left.dataCentre = DataCentreName("dc1");
            left.region = RegionName("r1");
            left.service = ServiceName("books");
            left.upstream = UpstreamId("i-books-1");
            left.upstreamStartedMs = 1;
            left.upstreamLeft = true;
            left.phase = UpstreamPhase::Gone;
            left.slots = Slots(8);
            m_store->put("geraniumsail/nodes/books-1", encodeEntry(left));
            m_store->put("op/config", configuration(7, "books", m_timeout));
            if (!reportComesFirst) {
                m_loop->runUntil([&] { return readinessStatus(*m_books) == 200; });
                runFor(milliseconds(300));
            }
            m_books->announce(UpstreamPhase::Ready, 1);
            m_charts->announce(UpstreamPhase::Ready, 1);
            runFor(milliseconds(500));
            CPPUNIT_ASSERT_EQUAL(503U, send(*m_charts, post("/once/")).message.result_int());
            CPPUNIT_ASSERT_EQUAL(503U, send(*m_books, post("/once/")).message.result_int());
            CPPUNIT_ASSERT(m_books->upstream.receivedRequests.empty());
            m_books->announce(UpstreamPhase::Ready, 1, 2);
            m_loop->runUntil([&] { return send(*m_charts, post("/once/")).message.result_int() == 200; });
            tearDown();
            setUp();
        }
    }

    void onlyNewerValidConfigurationIsApplied()
    {
        startServing();
        CPPUNIT_ASSERT_EQUAL(std::string("books-1"), get(*m_charts, "/safe/").message.body());
        m_store->put("op/config", configuration(9, "charts"));
        m_loop->runUntil([&] { return get(*m_books, "/safe/").message.body() == "charts-1"; });
        m_store->put("op/config", configuration(8, "books"));
        m_store->put("op/config", "{\"version\":\"r10\"}");
        m_store->put("op/config", "not json");
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::string("charts-1"), get(*m_books, "/safe/").message.body());
    }

    void servesRequestsWhileStoreIsUnavailable()
    {
        startServing();
        m_store->unavailable = true;
        runFor(milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(200U, get(*m_charts, "/safe/").message.result_int());
        CPPUNIT_ASSERT_EQUAL(200U, readinessStatus(*m_charts));
        m_store->unavailable = false;
        m_store->put("op/config", configuration(9, "charts"));
        const auto returned = monotonicNow();
        m_loop->runUntil([&] { return get(*m_books, "/safe/").message.body() == "charts-1"; });
        CPPUNIT_ASSERT(monotonicNow() - returned < seconds(2));
    }

    // Guards against an upstream that stays unknown to other nodes after the store revoked the lease of its entry.
    void revokedEntryIsRepublishedWithinTwoSeconds()
    {
        startServing();
        m_store->revokeLeases();
        CPPUNIT_ASSERT(!m_store->has("geraniumsail/nodes/books-1"));
        CPPUNIT_ASSERT_EQUAL(200U, get(*m_charts, "/safe/").message.result_int());
        const auto revoked = monotonicNow();
        m_loop->runUntil([&] { return m_store->has("geraniumsail/nodes/books-1"); });
        CPPUNIT_ASSERT(monotonicNow() - revoked < seconds(2));
    }

    void entryIsStoredDespiteLostWriteResponse()
    {
        startServing();
        m_store->lostWriteResponses = 1;
        m_books->announce(UpstreamPhase::Draining, 2);
        m_loop->runUntil(
            [&] { return m_store->valueOf("geraniumsail/nodes/books-1").find("draining") != std::string::npos; });
        const auto calls = m_store->calls["/kv-txn"];
        runFor(seconds(2));
        // The node detects that its entry is stored correctly and stops writing it.
        CPPUNIT_ASSERT(m_store->calls["/kv-txn"] <= calls + 3);
    }

    void configurationIsReadAfterHistoryCompaction()
    {
        startServing();
        m_store->put("op/config", configuration(9, "charts"));
        m_store->compact();
        m_loop->runUntil([&] { return get(*m_books, "/safe/").message.body() == "charts-1"; });
    }

    void invalidEntriesAreIgnored()
    {
        startServing();
        m_store->put("geraniumsail/nodes/odd", "{\"node\":\"odd\"}");
        m_store->put("geraniumsail/nodes/other", "\xff\xfe");
        runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(200U, get(*m_charts, "/safe/").message.result_int());
    }

    // Guards against a node that stops following the entries because the key of another writer's entry, at the end of a
    // page, cannot be put into the next request as it is.
    void entriesAreFollowedDespiteOddKeys()
    {
        m_store->pageSize = 1;
        for (const auto *key : {"a b", "a&after=", "a?#%41", "\xc3\xa9\x01"}) {
            m_store->put(std::string("geraniumsail/nodes/") + key, std::string(100000, '['));
        }
        startServing();
        m_store->compact();
        m_books->announce(UpstreamPhase::Draining, 2);
        m_loop->runUntil([&] { return get(*m_charts, "/safe/").message.result_int() == 503; });
        CPPUNIT_ASSERT(m_charts->relay.knownEntries() == 2);
    }

    // Guards against an upstream that stays unknown to other nodes after another writer overwrote its entry.
    void overwrittenEntryIsRestored()
    {
        startServing();
        const auto before = m_store->valueOf("geraniumsail/nodes/books-1");
        for (const auto *value : {"not json", "{\"node\":\"books-1\"}"}) {
            m_store->put("geraniumsail/nodes/books-1", value);
            const auto overwritten = monotonicNow();
            m_loop->runUntil([&] { return m_store->valueOf("geraniumsail/nodes/books-1") == before; });
            CPPUNIT_ASSERT(monotonicNow() - overwritten < seconds(2));
        }
        CPPUNIT_ASSERT_EQUAL(200U, get(*m_charts, "/safe/").message.result_int());
    }

    // Guards against an upstream that keeps working after the caller disconnected. Both nodes pass on the cancellation.
    void callerDisconnectCancelsUpstreamRequest()
    {
        startServing();
        auto cancelled = std::make_shared<std::optional<MonotonicTime>>();
        auto started = std::make_shared<bool>(false);
        m_books->upstream.behaviour = [this, cancelled, started](RequestScope &scope) -> asio::awaitable<HttpResponse> {
            *started = true;
            const auto registration = scope.cancellation.onCancel([cancelled] { *cancelled = monotonicNow(); });
            asio::steady_timer timer(m_loop->context, seconds(1));
            co_await timer.async_wait(AsTuple);
            co_return FakeUpstream::signedResponse(200, "late");
        };
        RawConnection caller(m_loop->context);
        m_loop->run(caller.connect(m_charts->relay.settings().callerListen));
        m_loop->run(
            caller.send("GET /safe/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\nDeadline-Ms: 1400\r\n\r\n"));
        m_loop->runUntil([&] { return *started; });
        const auto closed = monotonicNow();
        caller.close();
        m_loop->runUntil([&] { return cancelled->has_value(); });
        CPPUNIT_ASSERT(**cancelled - closed < milliseconds(500));
    }

    void responseIsSentAtRouteTimeout()
    {
        m_timeout = "300ms";
        startServing();
        m_books->upstream.behaviour = [this](RequestScope &) -> asio::awaitable<HttpResponse> {
            asio::steady_timer timer(m_loop->context, seconds(2));
            co_await timer.async_wait(AsTuple);
            co_return FakeUpstream::signedResponse(200, "late");
        };
        const auto started = monotonicNow();
        CPPUNIT_ASSERT_EQUAL(504U, send(*m_charts, post("/once/")).message.result_int());
        const auto took = monotonicNow() - started;
        CPPUNIT_ASSERT(took >= milliseconds(300) && took < milliseconds(800));
    }

    // Guards against delivering an extra response, left on a reused connection, to the next request.
    void responseToAnotherRequestIsRejected()
    {
        startServing();
        int count = 0;
        m_books->upstream.behaviour = [&count](RequestScope &) -> asio::awaitable<HttpResponse> {
            auto response = FakeUpstream::signedResponse(200, "answer " + std::to_string(count));
            if (count++ == 1) {
                response.message.set("Request-Id", "of-another");
            }
            co_return response;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("answer 0"), get(*m_charts, "/safe/").message.body());
        const auto second = get(*m_charts, "/safe/");
        CPPUNIT_ASSERT(second.message.result_int() >= 500);
    }

    // Guards against a planned stop that aborts requests in progress.
    void requestsInProgressCompleteDuringStop()
    {
        startServing();
        auto started = std::make_shared<bool>(false);
        m_books->upstream.behaviour = [this, started](RequestScope &) -> asio::awaitable<HttpResponse> {
            *started = true;
            asio::steady_timer timer(m_loop->context, milliseconds(700));
            co_await timer.async_wait(AsTuple);
            co_return FakeUpstream::signedResponse(200, "whole");
        };
        std::optional<HttpResponse> response;
        asio::co_spawn(m_loop->context, sendTo(m_books->relay.settings().callerListen, post("/once/"), response),
                       asio::detached);
        m_loop->runUntil([&] { return *started; });
        bool stopped = false;
        m_books->relay.beginStop();
        asio::co_spawn(m_loop->context, m_books->relay.stopped(),
                       [&stopped](const std::exception_ptr &) { stopped = true; });
        CPPUNIT_ASSERT_EQUAL(503U, readinessStatus(*m_books));
        // The other node is told that its request was not delivered.
        CPPUNIT_ASSERT_EQUAL(503U, send(*m_charts, post("/once/")).message.result_int());
        m_loop->runUntil([&] { return response.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), response->message.body());
        CPPUNIT_ASSERT(!response->message.keep_alive());
        m_loop->runUntil([&] { return stopped; });
    }

    // Guards against a request that is taken late in a planned stop, passed on, and cut when the process ends.
    void requestReadLateInAStopIsRefusedUnlessItEndsInTime()
    {
        m_timeout = "5000ms";
        startServing();
        RawConnection slow(m_loop->context);
        RawConnection quick(m_loop->context);
        for (auto *caller : {&slow, &quick}) {
            m_loop->run(caller->connect(m_books->relay.settings().callerListen));
            m_loop->run(caller->send("POST /once/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"));
        }
        bool isStopped = false;
        m_books->relay.beginStop();
        asio::co_spawn(m_loop->context, m_books->relay.stopped(),
                       [&isStopped](const std::exception_ptr &) { isStopped = true; });
        runFor(Relay::AcceptTimeAfterStop + milliseconds(500));
        m_loop->run(slow.send("Request-Id: slow\r\nDeadline-Ms: 5000\r\n\r\n"));
        m_loop->run(quick.send("Request-Id: quick\r\nDeadline-Ms: 1000\r\n\r\n"));
        std::string answers[2];
        m_loop->run(receiveAnswer(slow, answers[0]));
        m_loop->run(receiveAnswer(quick, answers[1]));
        CPPUNIT_ASSERT(answers[0].starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(answers[0].find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT(answers[1].starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_books->upstream.receivedRequests.size());
        m_loop->runUntil([&] { return isStopped; });
    }

private:
    std::unique_ptr<FleetNode> addNode(const std::string &name, const std::string &service)
    {
        return std::make_unique<FleetNode>(m_loop->context, m_store->address(), name, service);
    }
    /// Publishes a configuration, reports the upstreams as ready, and waits until both nodes serve requests.
    void startServing()
    {
        m_store->put("op/config", configuration(7, "books", m_timeout));
        m_books->announce(UpstreamPhase::Ready, 1);
        m_charts->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([&] { return get(*m_charts, "/safe/").message.result_int() == 200; });
        m_loop->runUntil([&] { return get(*m_books, "/safe/").message.result_int() == 200; });
        m_books->upstream.receivedRequests.clear();
        m_charts->upstream.receivedRequests.clear();
    }
    static HttpRequest post(const std::string &target)
    {
        auto request = makeRequest(http::verb::post, target, "a.example", "body");
        request.message.set("Request-Id", "id-post");
        request.message.set("Deadline-Ms", "3000");
        return request;
    }
    HttpResponse get(FleetNode &node, const std::string &target)
    {
        auto request = makeRequest(http::verb::get, target, "a.example");
        request.message.set("Request-Id", "id-get");
        request.message.set("Deadline-Ms", "3000");
        return send(node, std::move(request));
    }
    unsigned readinessStatus(FleetNode &node)
    {
        return sendAndReceive(node.relay.settings().readyListen, makeRequest(http::verb::get, "/ready", "n"))
            .message.result_int();
    }
    HttpResponse send(FleetNode &node, HttpRequest request)
    {
        return sendAndReceive(node.relay.settings().callerListen, std::move(request));
    }
    static asio::awaitable<void> receiveAnswer(RawConnection &connection, std::string &answer)
    {
        answer = co_await connection.receive("\r\n\r\n");
    }
    HttpResponse sendAndReceive(const Address &address, HttpRequest request)
    {
        std::optional<HttpResponse> response;
        m_loop->run(sendTo(address, std::move(request), response));
        CPPUNIT_ASSERT(response.has_value());
        return std::move(*response);
    }
    asio::awaitable<void> sendTo(Address address, HttpRequest request, std::optional<HttpResponse> &response)
    {
        ExchangeOptions options;
        options.deadline = monotonicNow() + seconds(10);
        options.newConnection = true;
        auto result = co_await m_client->send(address, std::move(request), options);
        if (result) {
            response = std::move(*result);
        }
    }
    void runFor(Duration duration)
    {
        m_loop->run(sleep(duration));
    }
    asio::awaitable<void> sleep(Duration duration)
    {
        asio::steady_timer timer(m_loop->context, duration);
        co_await timer.async_wait(AsTuple);
    }

    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<FakeStore> m_store;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<FleetNode> m_books;
    std::unique_ptr<FleetNode> m_charts;
    std::string m_timeout = "1500ms";
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

} // namespace

} // namespace Geraniumsail
