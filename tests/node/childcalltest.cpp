// Guards against retries that multiply along a chain of calls, and against work for parents that have ended.
#include "nodes.h"

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;

class ChildCallTest : public NodeFixture
{
    CPPUNIT_TEST_SUITE(ChildCallTest);
    CPPUNIT_TEST(childrenShareTheAllowanceOfTheRoot);
    CPPUNIT_TEST(childOfAnEndedParentIsNotRun);
    CPPUNIT_TEST(childEndsWithItsParent);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The parent calls a failing service three times; one root allowance of 2 bounds the attempts of all three.
    void childrenShareTheAllowanceOfTheRoot()
    {
        constexpr int children = 3;
        constexpr int allowance = 2;
        int childRuns = 0;
        FakeUpstream child(m_loop, [&](HttpRequest, RequestScope &) -> asio::awaitable<HttpResponse> {
            ++childRuns;
            auto shed = makeResponse(503, "text/plain", "busy");
            shed.message.set(OutcomeField, "not-run");
            co_return shed;
        });
        TestNode parentNode(m_loop, "node-a");
        TestNode childNode(m_loop, "node-b");
        FakeUpstream parent(m_loop, [&](HttpRequest request, RequestScope &) -> asio::awaitable<HttpResponse> {
            for (int i = 0; i < children; ++i) {
                co_await callChild(parentNode, std::string(fieldValue(request.message, ParentField)));
            }
            co_return makeResponse(200, "text/plain", "done");
        });
        connect(parentNode, parent, childNode, child);
        m_loop.run([&]() -> asio::awaitable<void> {
            const auto answer = co_await call(parentNode.node().addresses().caller, "GET", "/x", parentFields());
            CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.message.body());
        }());
        CPPUNIT_ASSERT(childRuns >= children);
        CPPUNIT_ASSERT(childRuns <= children + allowance);
    }

    void childOfAnEndedParentIsNotRun()
    {
        int childRuns = 0;
        std::string token;
        FakeUpstream child(m_loop, [&](HttpRequest, RequestScope &) -> asio::awaitable<HttpResponse> {
            ++childRuns;
            co_return makeResponse(200, "text/plain", "child");
        });
        TestNode parentNode(m_loop, "node-a");
        TestNode childNode(m_loop, "node-b");
        FakeUpstream parent(m_loop, [&](HttpRequest request, RequestScope &) -> asio::awaitable<HttpResponse> {
            token = fieldValue(request.message, ParentField);
            co_return makeResponse(200, "text/plain", "done");
        });
        connect(parentNode, parent, childNode, child);
        m_loop.run([&]() -> asio::awaitable<void> {
            co_await call(parentNode.node().addresses().caller, "GET", "/x", parentFields());
            const auto answer = co_await callChild(parentNode, token);
            CPPUNIT_ASSERT_EQUAL(std::string("cancelled-before-start"), field(answer, ReasonField));
        }());
        CPPUNIT_ASSERT_EQUAL(0, childRuns);
    }

    /// Guards against work that goes on down the chain after the root's caller is gone.
    void childEndsWithItsParent()
    {
        Event childStarted(m_loop.context);
        Event childCancelled(m_loop.context);
        FakeUpstream child(m_loop, [&](HttpRequest, RequestScope &scope) -> asio::awaitable<HttpResponse> {
            const auto registration = scope.cancellation.onCancel([&] { childCancelled.set(); });
            childStarted.set();
            co_await childCancelled.wait();
            co_return makeResponse(200, "text/plain", "late");
        });
        TestNode parentNode(m_loop, "node-a");
        TestNode childNode(m_loop, "node-b");
        FakeUpstream parent(m_loop, [&](HttpRequest request, RequestScope &) -> asio::awaitable<HttpResponse> {
            co_await callChild(parentNode, std::string(fieldValue(request.message, ParentField)));
            co_return makeResponse(200, "text/plain", "done");
        });
        connect(parentNode, parent, childNode, child);
        m_loop.run([&]() -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(parentNode.node().addresses().caller);
            co_await caller.send("GET / HTTP/1.1\r\nHost: berths\r\nGeraniumsail-Kind: read\r\n\r\n");
            co_await childStarted.wait();
            caller.close();
            co_await childCancelled.wait();
        }());
        CPPUNIT_ASSERT(childCancelled.isSet());
    }

private:
    static Fields parentFields()
    {
        return {{ServiceField, "berths"}, {"Geraniumsail-Kind", "read"}};
    }

    asio::awaitable<HttpResponse> callChild(TestNode &node, std::string token)
    {
        const Fields fields{{ServiceField, "tides"}, {"Geraniumsail-Kind", "read"}, {ParentField, token}};
        co_return co_await call(node.node().addresses().local, "GET", "/child", fields);
    }

    void connect(TestNode &parentNode, const FakeUpstream &parent, TestNode &childNode, const FakeUpstream &child)
    {
        auto tides = berthsPolicy();
        tides.service = ServiceName("tides");
        parentNode.node().policy().setPolicy(tides);
        childNode.node().policy().setPolicy(tides);
        announce(parentNode, parent.address());
        announce(childNode, child.address(), 10, "", 50, "tides");
        parentNode.node().policy().setMembers(ServiceName("tides"), {childNode.target()});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChildCallTest);

} // namespace

} // namespace Geraniumsail
