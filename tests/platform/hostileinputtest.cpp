// Feeds the decoders of a node, and a whole node, with input that a store, a node, an upstream or another writer of the
// store may send: mutated, truncated, of the wrong type, out of range, nested very deep.
#include "fleet.h"

#include "core/random.h"
#include "platform/announcements.h"
#include "platform/configuration.h"
#include "relay/attemptcodec.h"
#include "relay/entrycodec.h"
#include "relay/storefeed.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Configuration = R"({"version":"r7","services":[{"name":"books","max_connections":50}],
    "limits":{},"virtual_hosts":[{"host":"a.example","path_rules":[
    {"name":"safe","prefix":"/safe/","route_type":"safe","timeout":"1500ms","target_latency":"800ms",
     "priority":1,"traffic_split":[{"service":"books","weight":1}],"max_attempts":2}]}]})";

/// Replaces, removes and repeats parts of a valid text, and puts odd values in place of its values.
std::string mutated(std::string text, Random &random)
{
    static const std::vector<std::string> odd{"null",
                                              "-1",
                                              "1e30",
                                              "1e999",
                                              "18446744073709551616",
                                              "9223372036854775807",
                                              "\"\"",
                                              "[]",
                                              "{}",
                                              "true",
                                              "65536",
                                              "\"x",
                                              "\"\\u0000\"",
                                              "\"\xff\xfe\"",
                                              std::string(2000, '['),
                                              std::string(300, '9'),
                                              ":",
                                              ",",
                                              "}",
                                              "]"};
    const auto draw = [&random](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    for (std::size_t changes = 1 + draw(3); changes > 0 && !text.empty(); --changes) {
        const auto at = draw(text.size());
        switch (draw(4)) {
        case 0:
            text.erase(at, 1 + draw(20));
            break;
        case 1:
            text.insert(at, odd[draw(odd.size())]);
            break;
        case 2:
            text[at] = static_cast<char>(random());
            break;
        default: {
            const auto start = text.find(':', at);
            if (start != std::string::npos) {
                const auto end = text.find_first_of(",}]", start);
                text.replace(start + 1, end == std::string::npos ? std::string::npos : end - start - 1,
                             odd[draw(odd.size())]);
            }
        }
        }
    }
    return text;
}

class HostileInputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostileInputTest);
    CPPUNIT_TEST(decodersSurviveMutatedInput);
    CPPUNIT_TEST(nodeSurvivesMutatedEntriesAndConfigurations);
    CPPUNIT_TEST(nodeSurvivesAnOddStore);
    CPPUNIT_TEST(lostAnswerOfAnotherNodeIsUnknown);
    CPPUNIT_TEST(stoppingNodesAnswerEveryRequestTheyRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<Loop>();
        m_store = std::make_unique<FakeStore>(m_loop->context);
    }
    void tearDown() override
    {
        // The coroutines of the nodes never end, so the objects are leaked, as in FleetTest.
        m_loop->context.stop();
        for (auto &node : m_nodes) {
            static_cast<void>(node.release());
        }
        m_nodes.clear();
        static_cast<void>(m_store.release());
        static_cast<void>(m_loop.release());
    }

    // Guards against an exception or a value out of range that leaves a decoder.
    void decodersSurviveMutatedInput()
    {
        DirectoryEntry entry;
        entry.node = NodeName("n1");
        entry.peer = Address("10.0.0.9:7620");
        entry.upstream = UpstreamId("i-1");
        entry.slots = Slots(54);
        EntryChanges changes;
        changes.revision = 7;
        changes.entries.emplace_back(entry, 6);
        changes.removed.emplace_back(NodeName("n2"), 7);
        const std::string heartbeat =
            R"({"service":"s1","address":"10.0.0.9:80","slots":54,"state":"ready","sequence":4,"born":1700000000123})";
        AttemptContext context;
        context.upstream = UpstreamId("i-1");
        HttpRequestMessage message;
        writeContext(context, message);
        const auto contextText = std::string(message["Geraniumsail-Attempt"]);
        Random random(20261205);
        for (int i = 0; i < 3000; ++i) {
            const auto decoded = decodeEntry(mutated(encodeEntry(entry), random));
            CPPUNIT_ASSERT(!decoded || parseEndpoint(decoded->peer.value())->port() != 0);
            CPPUNIT_ASSERT(!decoded || (decoded->slots <= MaxSlots && decoded->coldRemaining >= Duration(0)));
            decodeChanges(mutated(encodeChanges(changes), random));
            Platform::decodeConfiguration(mutated(Configuration, random));
            const auto call = makeRequest(boost::beast::http::verb::post, "/rpc?call=instances.heartbeat&of=i-7", "n",
                                          mutated(heartbeat, random));
            Platform::decodeAnnouncement(call.message, wallNow());
            message.set("Geraniumsail-Attempt", mutated(contextText, random));
            readContext(message, "id");
            auto response = makeResponse(200, "text/plain", "");
            response.message.set("Geraniumsail-Result", mutated("not-run;draining;0;1,2,3,4,leaf;1000", random));
            const auto result = decodeResult(std::move(response));
            CPPUNIT_ASSERT(result.outcome != Outcome::Ran);
        }
    }

    // Guards against a node that ends, or stops following the store, because of what another writer left there.
    void nodeSurvivesMutatedEntriesAndConfigurations()
    {
        addNode("books-1", m_store->address());
        m_store->put("op/config", Configuration);
        m_loop->runUntil([this] { return m_nodes[0]->relay.configurationVersion() == ConfigVersion(7); });
        DirectoryEntry entry;
        entry.peer = Address("127.0.0.1:9");
        entry.upstream = UpstreamId("i-1");
        entry.slots = Slots(1);
        Random random(7);
        for (int i = 0; i < 300; ++i) {
            entry.node = NodeName("odd-" + std::to_string(i % 20));
            m_store->put("geraniumsail/nodes/" + entry.node.value(), mutated(encodeEntry(entry), random));
            m_store->put("op/config", mutated(Configuration, random));
            if (i % 50 == 0) {
                runFor(milliseconds(50));
            }
        }
        entry.node = NodeName("good");
        m_store->put("geraniumsail/nodes/good", encodeEntry(entry));
        std::string next = Configuration;
        m_store->put("op/config", next.replace(next.find("r7"), 2, "r999999999999"));
        m_loop->runUntil([this] {
            return m_nodes[0]->relay.configurationVersion() == ConfigVersion(999999999999)
                && m_nodes[0]->relay.findEntry(NodeName("good")) != nullptr;
        });
    }

    // Guards against a node that ends or hangs because the store's answers themselves are odd: of the wrong type, with
    // revisions that go back, without end, or no JSON at all.
    void nodeSurvivesAnOddStore()
    {
        Random random(3);
        int calls = 0;
        bool isOdd = true;
        HttpServer oddStore(m_loop->context.get_executor(), ServerLimits{},
                            [&](const HttpRequest &request, RequestScope &) -> asio::awaitable<HttpResponse> {
                                ++calls;
                                const std::string target(request.message.target());
                                if (!isOdd && target.starts_with("/kv-key")) {
                                    co_return makeResponse(200, "application/json",
                                                           R"({"at":9,"revision":9,"value":")"
                                                               + Platform::encodeBase64(Configuration) + "\"}");
                                }
                                if (!isOdd) {
                                    co_return makeResponse(200, "application/json",
                                                           R"({"at":9,"items":[],"has_more":false})");
                                }
                                const std::string answer =
                                    R"({"at":5,"items":[{"key":"geraniumsail/nodes/a","revision":1,"value":"e30="}],)"
                                    R"("has_more":false,"events":[],"revision":3,"lease":4,"value":"e30="})";
                                co_return makeResponse(200, "application/json", mutated(answer, random));
                            });
        addNode("books-1", oddStore.listen(Address("127.0.0.1:0")));
        m_loop->runUntil([&calls] { return calls > 40; });
        CPPUNIT_ASSERT(m_nodes[0]->relay.configurationVersion() == ConfigVersion(0));
        isOdd = false;
        m_loop->runUntil([this] { return m_nodes[0]->relay.configurationVersion() == ConfigVersion(7); });
        oddStore.stop();
    }

    // Guards against work that is run again, or said not to have run, after the answer of the node beside the upstream
    // was lost.
    void lostAnswerOfAnotherNodeIsUnknown()
    {
        RawListener silentNode(m_loop->context);
        int requests = 0;
        asio::co_spawn(m_loop->context, closeAfterRequests(silentNode, requests), asio::detached);
        std::string configuration = Configuration;
        configuration.replace(configuration.find("\"safe\",\"timeout"), 6, "\"unsafe\"");
        m_store->put("op/config", configuration);
        DirectoryEntry entry;
        entry.node = NodeName("lost");
        entry.peer = silentNode.address();
        entry.dataCentre = DataCentreName("dc1");
        entry.region = RegionName("r1");
        entry.service = ServiceName("books");
        entry.upstream = UpstreamId("i-lost");
        entry.slots = Slots(8);
        m_store->put("geraniumsail/nodes/lost", encodeEntry(entry));
        addNode("charts-1", m_store->address(), "charts");
        m_loop->runUntil([this] {
            return m_nodes[0]->relay.configurationVersion() == ConfigVersion(7)
                && m_nodes[0]->relay.knownEntries() == 2;
        });
        RawConnection caller(m_loop->context);
        std::string answer;
        m_loop->run(ask(caller, "id-1", answer));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502"));
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(1, requests);
    }

    // Guards against a planned stop under load that cuts off requests which a node has read: on kept connections and
    // new ones, at the node that the callers use and at the one beside the upstream.
    void stoppingNodesAnswerEveryRequestTheyRead()
    {
        m_store->put("op/config", Configuration);
        addNode("books-1", m_store->address());
        addNode("books-2", m_store->address());
        addNode("charts-1", m_store->address(), "charts");
        for (auto &node : m_nodes) {
            node->upstream.behaviour = [this](RequestScope &) -> asio::awaitable<HttpResponse> {
                asio::steady_timer timer(m_loop->context, milliseconds(60));
                co_await timer.async_wait(AsTuple);
                co_return FakeUpstream::signedResponse(200, "whole");
            };
        }
        m_loop->runUntil([this] {
            return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &node) {
                return node->relay.configurationVersion() == ConfigVersion(7) && node->relay.knownEntries() == 3;
            });
        });
        bool isLoaded = true;
        int running = 0;
        for (int i = 0; i < 8; ++i) {
            asio::co_spawn(m_loop->context, load(*m_nodes[i % 2 == 0 ? 0 : 2], i, isLoaded, running), asio::detached);
        }
        runFor(milliseconds(400));
        bool isStopped = false;
        m_nodes[0]->relay.beginStop();
        asio::co_spawn(m_loop->context, m_nodes[0]->relay.stopped(),
                       [&isStopped](const std::exception_ptr &) { isStopped = true; });
        runFor(milliseconds(200));
        m_nodes[0]->relay.beginStop();
        m_loop->runUntil([&isStopped] { return isStopped; });
        isLoaded = false;
        m_loop->runUntil([&running] { return running == 0; });
        CPPUNIT_ASSERT(m_answered > 50);
        CPPUNIT_ASSERT_EQUAL(0, m_cut);
    }

private:
    void addNode(const std::string &name, const Address &store, const std::string &service = "books")
    {
        m_nodes.push_back(std::make_unique<FleetNode>(m_loop->context, store, name, service));
        m_nodes.back()->announce(UpstreamPhase::Ready, 1);
    }
    void runFor(Duration time)
    {
        const auto end = monotonicNow() + time;
        m_loop->runUntil([end] { return monotonicNow() >= end; });
    }
    static asio::awaitable<void> closeAfterRequests(RawListener &listener, int &requests)
    {
        while (true) {
            auto connection = co_await listener.accept();
            co_await connection.receive("body");
            ++requests;
        }
    }
    asio::awaitable<void> ask(RawConnection &caller, std::string id, std::string &answer)
    {
        co_await caller.connect(m_nodes.back()->relay.settings().callerListen);
        co_await caller.send(
            "POST /safe/ HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 1400\r\nContent-Length: 4\r\nRequest-Id: " + id
            + "\r\n\r\nbody");
        answer = co_await caller.receive("\r\n\r\n");
    }
    /// Sends requests one after the other, on a kept connection or on new ones, as long as the node accepts them.
    asio::awaitable<void> load(FleetNode &node, int number, bool &isLoaded, int &running)
    {
        ++running;
        const bool keeps = number % 4 < 2;
        std::optional<RawConnection> connection;
        for (int i = 0; isLoaded; ++i) {
            const bool isNew = !connection;
            if (isNew) {
                connection.emplace(m_loop->context);
                try {
                    co_await connection->connect(node.relay.settings().callerListen);
                } catch (const boost::system::system_error &) {
                    break;
                }
            }
            const auto id = std::to_string(number) + "-" + std::to_string(i);
            try {
                co_await connection->send(
                    "GET /safe/ HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 1400\r\nRequest-Id: " + id + "\r\n\r\n");
            } catch (const boost::system::system_error &) {
                break;
            }
            const auto answer = co_await connection->receive("\r\n\r\n");
            if (answer.starts_with("HTTP/1.1 ")) {
                ++m_answered;
            } else if (isNew) {
                ++m_cut;
            }
            if (!keeps || answer.empty() || answer.find("Connection: close") != std::string::npos) {
                connection.reset();
            }
        }
        --running;
    }

    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<FakeStore> m_store;
    std::vector<std::unique_ptr<FleetNode>> m_nodes;
    int m_answered = 0;
    int m_cut = 0; ///< Requests on new connections that ended without any answer.
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostileInputTest);

} // namespace

} // namespace Geraniumsail
