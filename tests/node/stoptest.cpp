// Guards against a planned stop that interrupts a request: a cut download, a cut upload, a lost answer.
#include "nodes.h"

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;

/// Two parts of a long body; the second waits for an event.
class GatedReader : public BodyReader
{
public:
    GatedReader(Event &gate, std::string second) : m_gate(gate), m_second(std::move(second))
    {
    }
    asio::awaitable<boost::system::result<std::string, TransferError>> next() override
    {
        if (m_given) {
            co_return std::string();
        }
        co_await m_gate.wait();
        m_given = true;
        co_return m_second;
    }

private:
    Event &m_gate;
    std::string m_second;
    bool m_given = false;
};

class StopTest : public NodeFixture
{
    CPPUNIT_TEST_SUITE(StopTest);
    CPPUNIT_TEST(longDownloadSurvivesTheStopOfBothNodes);
    CPPUNIT_TEST(longUploadSurvivesTheStopOfBothNodes);
    CPPUNIT_TEST(drainingUpstreamTakesNoNewWork);
    CPPUNIT_TEST_SUITE_END();

public:
    void longDownloadSurvivesTheStopOfBothNodes()
    {
        Event gate(m_loop.context);
        const std::string first(100'000, 'a');
        const std::string second(50'000, 'b');
        FakeUpstream upstream(m_loop, [&](HttpRequest, RequestScope &) -> asio::awaitable<HttpResponse> {
            HttpResponse response;
            response.message.body() = first;
            response.rest = std::make_unique<GatedReader>(gate, second);
            co_return response;
        });
        TestNode entry(m_loop, "node-a");
        TestNode target(m_loop, "node-b");
        announce(target, upstream.address());
        know(entry, {target.target()});
        m_loop.run([&]() -> asio::awaitable<void> {
            const auto address = entry.node().addresses().caller;
            auto answer = co_await call(address, "GET", "/x", readFields());
            CPPUNIT_ASSERT(answer.rest != nullptr);
            entry.node().beginStop();
            target.node().beginStop();
            const auto refused = co_await call(address, "GET", "/x", readFields());
            gate.set();
            auto received = answer.message.body();
            while (answer.rest) {
                const auto part = co_await answer.rest->next();
                CPPUNIT_ASSERT(part.has_value());
                received += *part;
                if (part->empty()) {
                    answer.rest.reset();
                }
            }
            CPPUNIT_ASSERT(received == first + second);
            CPPUNIT_ASSERT_EQUAL(std::string("draining"), field(refused, ReasonField));
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), field(refused, OutcomeField));
            co_await entry.node().stopped();
            co_await target.node().stopped();
        }());
    }

    void longUploadSurvivesTheStopOfBothNodes()
    {
        Event gate(m_loop.context);
        Event started(m_loop.context);
        FakeUpstream upstream(m_loop, [&](HttpRequest request, RequestScope &) -> asio::awaitable<HttpResponse> {
            started.set();
            auto size = request.message.body().size();
            while (request.rest) {
                const auto part = co_await request.rest->next();
                size += part ? part->size() : 0;
                if (!part || part->empty()) {
                    request.rest.reset();
                }
            }
            co_return makeResponse(200, "text/plain", std::to_string(size));
        });
        TestNode entry(m_loop, "node-a");
        TestNode target(m_loop, "node-b");
        announce(target, upstream.address());
        know(entry, {target.target()});
        m_loop.run([&]() -> asio::awaitable<void> {
            RawConnection caller(m_loop.context);
            co_await caller.connect(entry.node().addresses().caller);
            co_await caller.send("POST / HTTP/1.1\r\nHost: berths\r\nGeraniumsail-Kind: read\r\n"
                                 "Content-Length: 200000\r\n\r\n"
                                 + std::string(100'000, 'u'));
            co_await started.wait();
            entry.node().beginStop();
            target.node().beginStop();
            co_await caller.send(std::string(100'000, 'u'));
            const auto answer = co_await caller.receiveAll();
            CPPUNIT_ASSERT(answer.find("200 OK") != std::string::npos);
            CPPUNIT_ASSERT(answer.find("\r\n\r\n200000") != std::string::npos);
        }());
    }

    void drainingUpstreamTakesNoNewWork()
    {
        int runs = 0;
        FakeUpstream upstream(m_loop, [&](HttpRequest, RequestScope &) -> asio::awaitable<HttpResponse> {
            ++runs;
            co_return makeResponse(200, "text/plain", "ok");
        });
        TestNode entry(m_loop, "node-a");
        TestNode target(m_loop, "node-b");
        announce(target, upstream.address(), 10, R"(,"state":"draining")");
        know(entry, {target.target()});
        m_loop.run([&]() -> asio::awaitable<void> {
            const auto refused = co_await call(entry.node().addresses().caller, "GET", "/x", readFields());
            CPPUNIT_ASSERT_EQUAL(503U, refused.message.result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), field(refused, OutcomeField));
        }());
        CPPUNIT_ASSERT_EQUAL(0, runs);
    }

private:
    static Fields readFields()
    {
        return {{ServiceField, "berths"}, {"Geraniumsail-Kind", "read"}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

} // namespace

} // namespace Geraniumsail
