// Guards the path of a call through one and two nodes: a fault here loses, doubles or mixes up answers.
#include "nodes.h"

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;

class CallPathTest : public NodeFixture
{
    CPPUNIT_TEST_SUITE(CallPathTest);
    CPPUNIT_TEST(callGoesThroughOneNode);
    CPPUNIT_TEST(callGoesThroughTwoNodes);
    CPPUNIT_TEST(unknownServiceIsRefused);
    CPPUNIT_TEST(unrepeatableCallNeedsATicket);
    CPPUNIT_TEST(ticketThroughTwoEntryNodesRunsOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void callGoesThroughOneNode()
    {
        FakeUpstream upstream(m_loop, echo());
        TestNode node(m_loop, "node-a");
        announce(node, upstream.address());
        m_loop.run([&]() -> asio::awaitable<void> {
            const auto answer = co_await call(node.node().addresses().caller, "POST", "/x", readFields(), "hello");
            CPPUNIT_ASSERT_EQUAL(std::string("hello"), answer.message.body());
            CPPUNIT_ASSERT_EQUAL(std::string("ran"), field(answer, OutcomeField));
            CPPUNIT_ASSERT_EQUAL(std::string(), field(answer, "Geraniumsail-Load"));
        }());
        CPPUNIT_ASSERT_EQUAL(1, m_runs);
        CPPUNIT_ASSERT(!m_sawContext);
    }

    void callGoesThroughTwoNodes()
    {
        FakeUpstream upstream(m_loop, echo());
        TestNode entry(m_loop, "node-a");
        TestNode target(m_loop, "node-b");
        announce(target, upstream.address());
        know(entry, {target.target()});
        m_loop.run([&]() -> asio::awaitable<void> {
            for (int i = 0; i < 10; ++i) {
                const auto body = "hello " + std::to_string(i);
                const auto answer = co_await call(entry.node().addresses().caller, "POST", "/x", readFields(), body);
                CPPUNIT_ASSERT_EQUAL(body, answer.message.body());
            }
        }());
        CPPUNIT_ASSERT_EQUAL(10, m_runs);
        CPPUNIT_ASSERT(!m_sawContext);
    }

    void unknownServiceIsRefused()
    {
        TestNode node(m_loop, "node-a");
        m_loop.run([&]() -> asio::awaitable<void> {
            const auto answer = co_await call(node.node().addresses().caller, "GET", "/x", {});
            CPPUNIT_ASSERT_EQUAL(404U, answer.message.result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("unknown-service"), field(answer, ReasonField));
        }());
    }

    void unrepeatableCallNeedsATicket()
    {
        FakeUpstream upstream(m_loop, echo());
        TestNode node(m_loop, "node-a");
        announce(node, upstream.address());
        m_loop.run([&]() -> asio::awaitable<void> {
            const auto address = node.node().addresses().caller;
            const auto refused = co_await call(address, "POST", "/x", bookFields(), "book");
            CPPUNIT_ASSERT_EQUAL(428U, refused.message.result_int());
            CPPUNIT_ASSERT_EQUAL(0, m_runs);
            auto fields = bookFields();
            fields.emplace_back(TicketField, field(refused, TicketField));
            const auto answer = co_await call(address, "POST", "/x", fields, "book");
            CPPUNIT_ASSERT_EQUAL(std::string("book"), answer.message.body());
            // The resend gets the stored answer.
            const auto again = co_await call(address, "POST", "/x", fields, "book");
            CPPUNIT_ASSERT_EQUAL(std::string("book"), again.message.body());
            CPPUNIT_ASSERT_EQUAL(std::string("ran"), field(again, OutcomeField));
        }());
        CPPUNIT_ASSERT_EQUAL(1, m_runs);
    }

    /// Guards against a doubled booking when a caller sends the same ticket through two nodes.
    void ticketThroughTwoEntryNodesRunsOnce()
    {
        FakeUpstream upstream(m_loop, echo());
        TestNode first(m_loop, "node-a");
        TestNode second(m_loop, "node-b");
        TestNode target(m_loop, "node-c");
        announce(target, upstream.address());
        know(first, {target.target()});
        know(second, {target.target()});
        m_loop.run([&]() -> asio::awaitable<void> {
            const auto ticket = co_await call(first.node().addresses().caller, "GET",
                                              "/geraniumsail/ticket?service=berths&kind=book", {});
            CPPUNIT_ASSERT_EQUAL(200U, ticket.message.result_int());
            auto fields = bookFields();
            fields.emplace_back(TicketField, field(ticket, TicketField));
            const auto one = co_await call(first.node().addresses().caller, "POST", "/x", fields, "book");
            const auto two = co_await call(second.node().addresses().caller, "POST", "/x", fields, "book");
            CPPUNIT_ASSERT_EQUAL(std::string("book"), one.message.body());
            CPPUNIT_ASSERT_EQUAL(std::string("book"), two.message.body());
        }());
        CPPUNIT_ASSERT_EQUAL(1, m_runs);
    }

private:
    static Fields readFields()
    {
        return {{ServiceField, "berths"}, {"Geraniumsail-Kind", "read"}};
    }
    static Fields bookFields()
    {
        return {{ServiceField, "berths"}, {"Geraniumsail-Kind", "book"}};
    }

    HttpServer::Handler echo()
    {
        return [this](HttpRequest request, RequestScope &) -> asio::awaitable<HttpResponse> {
            ++m_runs;
            m_sawContext = m_sawContext || request.message.count(ContextField) > 0;
            co_return makeResponse(200, "text/plain", request.message.body());
        };
    }

    int m_runs = 0;
    bool m_sawContext = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallPathTest);

} // namespace

} // namespace Geraniumsail
