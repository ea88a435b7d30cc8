// Nodes, a fake upstream and a caller in one process, on free ports of 127.0.0.1.
#ifndef GERANIUMSAIL_TESTS_NODE_NODES_H
#define GERANIUMSAIL_TESTS_NODE_NODES_H

#include "net/loop.h"
#include "node/callheaders.h"
#include "node/node.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Geraniumsail {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// An upstream whose answers a test decides.
class FakeUpstream
{
public:
    FakeUpstream(Loop &loop, HttpServer::Handler handler)
        : m_loop(loop), m_server(loop.context.get_executor(), {}, std::move(handler)),
          m_address(m_server.listen(Address("127.0.0.1:0")))
    {
    }
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;
    ~FakeUpstream()
    {
        m_server.stop();
        m_loop.run(m_server.finished());
    }
    const Address &address() const
    {
        return m_address;
    }

private:
    Loop &m_loop;
    HttpServer m_server;
    Address m_address;
};

/// A node that is stopped gracefully at the end of its scope.
class TestNode
{
public:
    TestNode(Loop &loop, const std::string &name) : m_loop(loop), m_node(loop.context, settings(name))
    {
        m_node.start();
    }
    TestNode(const TestNode &) = delete;
    TestNode &operator=(const TestNode &) = delete;
    ~TestNode()
    {
        stop();
    }
    void stop()
    {
        m_node.beginStop();
        m_loop.run(m_node.stopped());
    }
    Node &node()
    {
        return m_node;
    }
    /// How other nodes reach this one.
    RouteTarget target() const
    {
        RouteTarget target;
        target.node = m_node.identity().name;
        target.incarnation = m_node.identity().incarnation;
        target.epoch = TicketEpoch(1);
        target.region = m_node.identity().region;
        target.dataCentre = m_node.identity().dataCentre;
        target.peer = m_node.addresses().peer;
        target.control = m_node.addresses().control;
        return target;
    }

private:
    static NodeSettings settings(const std::string &name)
    {
        const Address any("127.0.0.1:0");
        NodeSettings settings;
        settings.name = NodeName(name);
        settings.region = RegionName("west-sea");
        settings.dataCentre = DataCentreName("west-1");
        settings.listen = {any, any, any, any, any};
        settings.controlAllow.push_back(*AddressRange::parse("127.0.0.0/8"));
        settings.randomSeed = 7;
        return settings;
    }

    Loop &m_loop;
    Node m_node;
};

/// Base of the tests: one loop, one caller, and a service "berths" with a repeatable and an unrepeatable kind.
class NodeFixture : public CppUnit::TestFixture
{
protected:
    static ServicePolicy berthsPolicy()
    {
        ServicePolicy policy;
        policy.service = ServiceName("berths");
        KindPolicy read;
        read.name = KindName("read");
        read.rank = Rank(5);
        read.share = Share(0.3);
        read.repeatable = true;
        read.timeout = std::chrono::seconds(10);
        read.retries = Allowance(2);
        KindPolicy book = read;
        book.name = KindName("book");
        book.rank = Rank(0);
        book.repeatable = false;
        policy.kinds = {read, book};
        return policy;
    }

    /// Makes the upstream known to its node and waits until it is accepted.
    void announce(TestNode &node, const Address &upstream, int slots = 10, const std::string &extra = "",
                  int connections = 50, const std::string &service = "berths")
    {
        const std::string body = R"({"service":")" + service + R"(","address":")" + upstream.value() + R"(","slots":)"
            + std::to_string(slots) + R"(,"connections":)" + std::to_string(connections) + extra + "}";
        node.node().policy().setPolicy(berthsPolicy());
        m_loop.run([&]() -> boost::asio::awaitable<void> {
            const auto answer =
                co_await call(node.node().addresses().local, "POST", "/geraniumsail/announce", {}, body);
            CPPUNIT_ASSERT_EQUAL(200U, answer.message.result_int());
        }());
    }

    /// Makes another node's upstream known to a node.
    static void know(TestNode &node, const std::vector<RouteTarget> &targets)
    {
        node.node().policy().setPolicy(berthsPolicy());
        node.node().policy().setMembers(ServiceName("berths"), targets);
    }

    /// One exchange; a failed one fails the test.
    boost::asio::awaitable<HttpResponse> call(Address address, std::string method, std::string target, Fields fields,
                                              std::string body = {})
    {
        auto request =
            makeRequest(boost::beast::http::string_to_verb(method), target, "berths.example", std::move(body));
        for (const auto &[name, value] : fields) {
            request.message.set(name, value);
        }
        auto result = co_await m_caller.send(std::move(address), std::move(request),
                                             {monotonicNow() + std::chrono::seconds(10), nullptr});
        CPPUNIT_ASSERT_MESSAGE("exchange failed", result.has_value());
        co_return std::move(*result);
    }

    static std::string field(const HttpResponse &response, const char *name)
    {
        return std::string(fieldValue(response.message, name));
    }

    Loop m_loop;
    HttpClient m_caller{m_loop.context.get_executor(), {}};
};

} // namespace Geraniumsail

#endif
