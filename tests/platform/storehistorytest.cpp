// Tests of nodes whose store begins a new history: it drops the changes that watches continue from, or comes back from
// an older copy, with or without stating its era.
#include "fleet.h"

#include "core/storerevision.h"
#include "relay/entrycodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *ConfigurationKey = "op/config";
/// A version must be in force so long after its acknowledgement.
constexpr Duration ConfigurationLimit = milliseconds(2500);
/// An entry must be back so long after the store's return.
constexpr Duration EntriesLimit = seconds(2);

std::string configuration(int version, std::size_t padding = 0)
{
    return R"({"version":"r)" + std::to_string(version) + R"(","services":[{"name":"books","max_connections":50}],
        "limits":{},"padding":")"
        + std::string(padding, '.') + R"(","virtual_hosts":[{"host":"a.example","path_rules":[
        {"name":"safe","prefix":"/safe/","route_type":"safe","timeout":"1500ms","target_latency":"800ms",
        "priority":1,"service":"books","max_attempts":2}]}]})";
}

DirectoryEntry entryOf(const std::string &name, UpstreamPhase phase = UpstreamPhase::Ready)
{
    DirectoryEntry entry;
    entry.node = NodeName(name);
    entry.peer = Address("127.0.0.1:9");
    entry.dataCentre = DataCentreName("dc1");
    entry.upstream = UpstreamId("i-" + name);
    entry.service = ServiceName("books");
    entry.slots = Slots(1);
    entry.phase = phase;
    return entry;
}

class StoreHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreHistoryTest);
    CPPUNIT_TEST(configurationIsReadAtOnceAfterARestore);
    CPPUNIT_TEST(refusedWatchesAreNotRepeatedMoreOftenThanFailedCalls);
    CPPUNIT_TEST(versionOfAnotherHistoryIsNotMissed);
    CPPUNIT_TEST(entriesOfAnotherHistoryAreFollowed);
    CPPUNIT_TEST(missedVersionsAreNotReadOneByOne);
    CPPUNIT_TEST(missedVersionsAreNotReadOneByOneByAFallback);
    CPPUNIT_TEST(wrongEraIsCorrected);
    CPPUNIT_TEST(wrongHistoryOfAnotherNodeIsIgnored);
    CPPUNIT_TEST(nodeThatKnowsNoHistoriesIsNotFollowed);
    CPPUNIT_TEST(nodeThatKnowsNoHistoriesIsNotServed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<Loop>();
        m_store = std::make_unique<FakeStore>(m_loop->context);
        m_store->put(ConfigurationKey, configuration(7));
    }
    void tearDown() override
    {
        // The coroutines of the node never end, so the objects are leaked, as in FleetTest.
        m_loop->context.stop();
        static_cast<void>(m_node.release());
        static_cast<void>(m_store.release());
        static_cast<void>(m_loop.release());
    }

    // Guards against a second pause after the refused watch, when the pause after the cut has already taken long.
    void configurationIsReadAtOnceAfterARestore()
    {
        startNode();
        const auto copy = m_store->copy();
        m_store->unavailable = true;
        runFor(seconds(4));
        m_store->restore(*copy);
        m_store->put(ConfigurationKey, configuration(8));
        const auto calls = configurationCalls();
        m_store->unavailable = false;
        m_loop->runUntil([&] { return configurationCalls() > calls; });
        const auto calledAt = monotonicNow();
        m_loop->runUntil([this] { return version() == 8; });
        // What 2.5 s leave after the longest pause of a node that follows others and a connect that hangs.
        CPPUNIT_ASSERT(monotonicNow() - calledAt < milliseconds(400));
    }

    // Guards against a loop without pauses, in which each whole read counts as the end of the failure.
    void refusedWatchesAreNotRepeatedMoreOftenThanFailedCalls()
    {
        startNode();
        m_store->unavailable = true;
        const auto failed = callsIn(seconds(4));
        m_store->unavailable = false;
        runFor(seconds(3));
        m_store->refusesWatches = true;
        // Each round is a whole read and a watch.
        CPPUNIT_ASSERT(callsIn(seconds(4)) <= 2 * failed);
        m_store->refusesWatches = false;
        m_store->put(ConfigurationKey, configuration(8));
        const auto writtenAt = monotonicNow();
        m_loop->runUntil([this] { return version() == 8; });
        CPPUNIT_ASSERT(monotonicNow() - writtenAt < ConfigurationLimit);
    }

    // Guards against a version that is never seen, because the store came back from an older copy and its revisions
    // have passed the one from which the node continues.
    void versionOfAnotherHistoryIsNotMissed()
    {
        m_store->statesEra = false;
        startNode();
        const auto copy = m_store->copy();
        m_store->put("servers/other", "lost");
        runFor(seconds(2));
        m_store->unavailable = true;
        runFor(milliseconds(1500));
        m_store->restore(*copy);
        m_store->put(ConfigurationKey, configuration(8));
        for (int i = 0; i < 50; ++i) {
            m_store->put("servers/other", "again");
        }
        m_store->unavailable = false;
        const auto returnedAt = monotonicNow();
        m_loop->runUntil([&] { return version() == 8 || monotonicNow() - returnedAt > 2 * ConfigurationLimit; });
        CPPUNIT_ASSERT(monotonicNow() - returnedAt < ConfigurationLimit);
    }

    // Guards against a node that ignores what the store holds as long as its revisions are lower than those known.
    void entriesOfAnotherHistoryAreFollowed()
    {
        m_store->statesEra = false;
        startNode();
        const auto copy = m_store->copy();
        for (int i = 0; i < 50; ++i) {
            m_store->put("geraniumsail/nodes/both", encodeEntry(entryOf("both")));
        }
        m_store->put("geraniumsail/nodes/lost", encodeEntry(entryOf("lost")));
        m_loop->runUntil([this] { return m_node->relay.findEntry(NodeName("lost")) != nullptr; });
        m_store->unavailable = true;
        runFor(milliseconds(500));
        m_store->restore(*copy);
        m_store->put("geraniumsail/nodes/both", encodeEntry(entryOf("both", UpstreamPhase::Draining)));
        m_store->put("geraniumsail/nodes/new", encodeEntry(entryOf("new")));
        m_store->unavailable = false;
        const auto returnedAt = monotonicNow();
        m_loop->runUntil([&] {
            const auto *both = m_node->relay.findEntry(NodeName("both"));
            const bool isCurrent = m_node->relay.findEntry(NodeName("new")) != nullptr && both != nullptr
                && both->entry.phase == UpstreamPhase::Draining;
            return isCurrent || monotonicNow() - returnedAt > 2 * EntriesLimit;
        });
        CPPUNIT_ASSERT(monotonicNow() - returnedAt < EntriesLimit);
    }

    // Guards against a node that asks again and again for more versions than one answer may hold.
    void missedVersionsAreNotReadOneByOne()
    {
        startNode();
        checkThatTheLastOfManyVersionsIsInForceInTime();
    }

    // The same at a node that asks the store only because it reaches no other node, and that keeps its position.
    void missedVersionsAreNotReadOneByOneByAFallback()
    {
        std::vector<NodeName> members;
        for (std::size_t i = 0; i <= StoreReaders::MinMembersToShare; ++i) {
            const auto entry = entryOf("gone-" + std::to_string(i));
            members.push_back(entry.node);
            m_store->put("geraniumsail/nodes/" + entry.node.value(), encodeEntry(entry));
        }
        std::string name = "new";
        while (StoreReaders(NodeName(name)).isReader(members)) {
            name += 'x';
        }
        startNode(name);
        checkThatTheLastOfManyVersionsIsInForceInTime();
    }

    // Guards against a node that takes all later answers for old ones because a single one had a wrong era.
    void wrongEraIsCorrected()
    {
        startNode();
        m_store->era = 900;
        m_store->put(ConfigurationKey, configuration(8));
        m_loop->runUntil([this] { return version() == 8 || m_node->store.history() == 900; });
        m_store->era = 1;
        m_store->put(ConfigurationKey, configuration(9));
        m_store->put("geraniumsail/nodes/new", encodeEntry(entryOf("new")));
        const auto writtenAt = monotonicNow();
        m_loop->runUntil([&] {
            const bool isCurrent = version() == 9 && m_node->relay.findEntry(NodeName("new")) != nullptr;
            return isCurrent || monotonicNow() - writtenAt > 2 * ConfigurationLimit;
        });
        CPPUNIT_ASSERT(monotonicNow() - writtenAt < ConfigurationLimit);
    }

    // Guards against a node that takes the store's answers for old ones because another node reported a wrong history,
    // and against one that writes everything again at each such report.
    void wrongHistoryOfAnotherNodeIsIgnored()
    {
        startNode();
        const auto wrong = makeStoreRevision(900, 1);
        m_node->store.onRevision(wrong);
        m_store->put(ConfigurationKey, configuration(8));
        m_loop->runUntil([this] { return version() == 8; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_node->store.history());
        runFor(seconds(1));
        const auto writes = m_store->calls["/kv-txn"];
        m_node->store.onRevision(wrong);
        runFor(seconds(1));
        CPPUNIT_ASSERT_EQUAL(writes, m_store->calls["/kv-txn"]);
    }

    // Guards against a node that trusts the proof of one of an earlier version, which cannot tell histories apart and
    // may itself have missed a version.
    void nodeThatKnowsNoHistoriesIsNotFollowed()
    {
        HttpServer oldNode(m_loop->context.get_executor(), ServerLimits{},
                           [](HttpRequest, RequestScope &) { return respondAsOldNode(); });
        const auto address = oldNode.listen(Address("127.0.0.1:0"));
        std::vector<NodeName> members;
        for (std::size_t i = 0; i <= StoreReaders::MinMembersToShare; ++i) {
            auto entry = entryOf("old-" + std::to_string(i));
            entry.peer = address;
            members.push_back(entry.node);
            m_store->put("geraniumsail/nodes/" + entry.node.value(), encodeEntry(entry));
        }
        startNode(followerOf(members));
        m_loop->runUntil([this] { return m_node->relay.storeSource().has_value(); });
        runFor(seconds(2));
        m_store->put(ConfigurationKey, configuration(8));
        const auto writtenAt = monotonicNow();
        m_loop->runUntil([&] { return version() == 8 || monotonicNow() - writtenAt > 2 * ConfigurationLimit; });
        CPPUNIT_ASSERT(monotonicNow() - writtenAt < ConfigurationLimit);
    }

    // Guards against a node of an earlier version that takes the revisions of this one for those of the store, and that
    // can continue from them nowhere else.
    void nodeThatKnowsNoHistoriesIsNotServed()
    {
        startNode();
        CPPUNIT_ASSERT_EQUAL(400U, statusOfFeed(5));
        CPPUNIT_ASSERT_EQUAL(200U, statusOfFeed(0));
        CPPUNIT_ASSERT_EQUAL(200U, statusOfFeed(makeStoreRevision(1, 5)));
    }

private:
    void startNode(const std::string &name = "books-1")
    {
        m_node = std::make_unique<FleetNode>(m_loop->context, m_store->address(), name, "books");
        m_node->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([&] { return version() == 7 && m_store->has("geraniumsail/nodes/" + name); });
        // It watches the store only some time after its start.
        runFor(milliseconds(2500));
    }
    void checkThatTheLastOfManyVersionsIsInForceInTime()
    {
        m_store->unavailable = true;
        runFor(milliseconds(500));
        for (int i = 8; i < 20; ++i) {
            m_store->put(ConfigurationKey, configuration(i, 800'000));
        }
        m_store->unavailable = false;
        const auto returnedAt = monotonicNow();
        m_loop->runUntil([&] { return version() == 19 || monotonicNow() - returnedAt > 2 * ConfigurationLimit; });
        CPPUNIT_ASSERT(monotonicNow() - returnedAt < ConfigurationLimit);
    }
    /// A name under which a node follows one of these.
    static std::string followerOf(const std::vector<NodeName> &members)
    {
        std::string name = "new";
        while (!StoreReaders(NodeName(name)).choose(members, monotonicNow())) {
            name += 'x';
        }
        return name;
    }
    static asio::awaitable<HttpResponse> respondAsOldNode()
    {
        auto response = makeResponse(200, "application/json", "");
        response.message.set("Geraniumsail-Proof-Age-Ms", "0");
        response.message.set("Geraniumsail-Entries-Age-Ms", "0");
        response.message.set("Geraniumsail-Store-Revision", "50");
        co_return response;
    }
    std::uint64_t version() const
    {
        return m_node->relay.configurationVersion().value();
    }
    int configurationCalls()
    {
        return m_store->reads[ConfigurationKey] + m_store->watches[ConfigurationKey];
    }
    int callsIn(Duration time)
    {
        const auto count = [this] {
            return m_store->calls["/kv-key"] + m_store->calls["/kv-range"] + m_store->calls["/kv-watch"];
        };
        const auto before = count();
        runFor(time);
        return count() - before;
    }
    unsigned statusOfFeed(std::uint64_t entriesRevision)
    {
        unsigned status = 0;
        m_loop->run(pollFeed(entriesRevision, status));
        return status;
    }
    asio::awaitable<void> pollFeed(std::uint64_t entriesRevision, unsigned &status)
    {
        auto request =
            StoreFeed::buildRequest(Address("127.0.0.1:1"), {ConfigVersion(7), entriesRevision}, milliseconds(100));
        const auto response = co_await m_node->relay.storeFeed().respond(std::move(request));
        status = response.message.result_int();
    }
    void runFor(Duration time)
    {
        const auto end = monotonicNow() + time;
        m_loop->runUntil([end] { return monotonicNow() >= end; });
    }

    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<FakeStore> m_store;
    std::unique_ptr<FleetNode> m_node;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreHistoryTest);

} // namespace

} // namespace Geraniumsail
