// Tests of StoreFollower with a store whose calls throw, as an unforeseen error in a decoder or a library would.
#include "fleet.h"
#include "storegate.h"

#include "relay/entrycodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

/// Which of the follower's tasks fails with an exception at its next call of the store.
enum class Failure {
    None,
    Configuration,
    Entries,
    Publication,
};

/// The store's client, with exceptions in place of some calls. Each failure occurs once.
class ThrowingStore : public Platform::KvStore
{
public:
    using KvStore::KvStore;

    asio::awaitable<StoreResult<ConfigurationChange>> watchConfiguration(std::uint64_t after, Duration wait)
    {
        throwOnce(Failure::Configuration);
        co_return co_await KvStore::watchConfiguration(after, wait);
    }
    asio::awaitable<StoreResult<EntryChanges>> watchEntries(std::uint64_t after, Duration wait)
    {
        throwOnce(Failure::Entries);
        co_return co_await KvStore::watchEntries(after, wait);
    }
    asio::awaitable<StoreResult<std::uint64_t>> writeEntry(DirectoryEntry entry, LeaseId lease, std::uint64_t revision)
    {
        throwOnce(Failure::Publication);
        co_return co_await KvStore::writeEntry(std::move(entry), lease, revision);
    }

    Failure nextFailure = Failure::None;

private:
    void throwOnce(Failure failure)
    {
        if (nextFailure == failure) {
            nextFailure = Failure::None;
            throw std::runtime_error("an error that nothing handles");
        }
    }
};

std::string configuration(int version)
{
    return R"({"version":"r)" + std::to_string(version) + R"(","services":[{"name":"books","max_connections":50}],
        "limits":{},"virtual_hosts":[{"host":"a.example","path_rules":[
        {"name":"safe","prefix":"/safe/","route_type":"safe","timeout":"1500ms","target_latency":"800ms",
        "priority":1,"service":"books","max_attempts":2}]}]})";
}

class StoreFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreFollowerTest);
    CPPUNIT_TEST(followsTheConfigurationAfterAnException);
    CPPUNIT_TEST(followsTheEntriesAfterAnException);
    CPPUNIT_TEST(publishesAfterAnException);
    CPPUNIT_TEST(missingConfigurationIsWatchedNotPolled);
    CPPUNIT_TEST(configurationIsInForceInTimeAfterALostAnswer);
    CPPUNIT_TEST(storeIsFollowedAfterItsRestore);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<Loop>();
        m_store = std::make_unique<FakeStore>(m_loop->context);
        m_store->put("op/config", configuration(7));
        m_node =
            std::make_unique<BasicFleetNode<ThrowingStore>>(m_loop->context, m_store->address(), "books-1", "books");
        m_node->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([this] {
            return m_node->relay.configurationVersion() == ConfigVersion(7)
                && m_store->has("geraniumsail/nodes/books-1");
        });
    }
    void tearDown() override
    {
        // The coroutines of the node never end, so the objects are leaked, as in FleetTest.
        m_loop->context.stop();
        static_cast<void>(m_node.release());
        static_cast<void>(m_store.release());
        static_cast<void>(m_loop.release());
    }

    // Guards against a node that keeps its configuration for ever because the task that follows it ended with an
    // exception.
    void followsTheConfigurationAfterAnException()
    {
        m_node->store.nextFailure = Failure::Configuration;
        m_loop->runUntil([this] { return m_node->store.nextFailure == Failure::None; });
        m_store->put("op/config", configuration(8));
        const auto startedAt = monotonicNow();
        m_loop->runUntil([this] { return m_node->relay.configurationVersion() == ConfigVersion(8); });
        CPPUNIT_ASSERT(monotonicNow() - startedAt < seconds(2));
    }

    void followsTheEntriesAfterAnException()
    {
        m_node->store.nextFailure = Failure::Entries;
        m_store->put("geraniumsail/nodes/odd", "not json");
        m_loop->runUntil([this] { return m_node->store.nextFailure == Failure::None; });
        DirectoryEntry entry;
        entry.node = NodeName("other");
        entry.peer = Address("127.0.0.1:9");
        entry.upstream = UpstreamId("i-other");
        entry.service = ServiceName("books");
        entry.slots = Slots(1);
        m_store->put("geraniumsail/nodes/other", encodeEntry(entry));
        m_loop->runUntil([this] { return m_node->relay.knownEntries() == 2; });
    }

    // Guards against an upstream that vanishes from the fleet when its lease ends.
    void publishesAfterAnException()
    {
        m_node->store.nextFailure = Failure::Publication;
        m_node->announce(UpstreamPhase::Draining, 2);
        m_loop->runUntil(
            [this] { return m_store->valueOf("geraniumsail/nodes/books-1").find("draining") != std::string::npos; });
        CPPUNIT_ASSERT(m_node->store.nextFailure == Failure::None);
    }

    // Guards against store calls by every node while a fleet starts and the operator has not written a configuration
    // yet.
    void missingConfigurationIsWatchedNotPolled()
    {
        auto store = std::make_unique<FakeStore>(m_loop->context);
        auto &emptyStore = *store;
        auto ownedNode = std::make_unique<FleetNode>(m_loop->context, emptyStore.address(), "books-2", "books");
        const auto *node = ownedNode.get();
        const auto end = monotonicNow() + seconds(4);
        m_loop->runUntil([end] { return monotonicNow() >= end; });
        CPPUNIT_ASSERT_EQUAL(1, emptyStore.reads["op/config"]);
        CPPUNIT_ASSERT_EQUAL(1, emptyStore.reads["geraniumsail/leaves/books-2"]);
        CPPUNIT_ASSERT_EQUAL(2, emptyStore.calls["/kv-key"]);
        CPPUNIT_ASSERT(emptyStore.watches["op/config"] <= 2);
        emptyStore.put("op/config", configuration(9));
        const auto writtenAt = monotonicNow();
        m_loop->runUntil([node] { return node->relay.configurationVersion() == ConfigVersion(9); });
        CPPUNIT_ASSERT(monotonicNow() - writtenAt < seconds(1));
        // Leaked, as in tearDown().
        static_cast<void>(ownedNode.release());
        static_cast<void>(store.release());
    }

    // Guards against a node that keeps an old configuration beyond the limit of 2.5 s because the answer to its watch
    // was lost, or the connection went silent, just before the change.
    void configurationIsInForceInTimeAfterALostAnswer()
    {
        auto gate = std::make_unique<StoreGate>(m_loop->context, m_store->address());
        auto node = std::make_unique<FleetNode>(m_loop->context, gate->address, "books-2", "books");
        node->announce(UpstreamPhase::Ready, 1);
        m_loop->runUntil([&] { return node->relay.configurationVersion() == ConfigVersion(7); });
        // The nodes watch the store only some time after their start.
        runFor(seconds(3));
        // The change comes at the beginning of a watch, of either node.
        const auto watches = m_store->watches["op/config"];
        m_loop->runUntil([&] { return m_store->watches["op/config"] > watches + 1; });
        gate->losesAnswers = true;
        m_store->put("op/config", configuration(8));
        const auto writtenAt = monotonicNow();
        runFor(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(node->relay.configurationVersion() == ConfigVersion(7));
        gate->losesAnswers = false;
        m_loop->runUntil([&] { return node->relay.configurationVersion() == ConfigVersion(8); });
        CPPUNIT_ASSERT(monotonicNow() - writtenAt < std::chrono::milliseconds(2500));
        // Leaked, as in tearDown().
        static_cast<void>(node.release());
        static_cast<void>(gate.release());
    }

    // Guards against a node that ignores what the store holds after it came back from an older copy, because its
    // revisions are lower than those known, and that leaves its own lost entry unwritten.
    void storeIsFollowedAfterItsRestore()
    {
        const auto early = m_store->copy();
        m_node->announce(UpstreamPhase::Draining, 2);
        m_loop->runUntil(
            [this] { return m_store->valueOf("geraniumsail/nodes/books-1").find("draining") != std::string::npos; });
        DirectoryEntry entry;
        entry.node = NodeName("lost");
        entry.peer = Address("127.0.0.1:9");
        entry.upstream = UpstreamId("i-lost");
        entry.service = ServiceName("books");
        entry.slots = Slots(1);
        for (int i = 0; i < 50; ++i) {
            m_store->put("geraniumsail/nodes/lost", encodeEntry(entry));
        }
        m_store->put("op/config", configuration(8));
        m_loop->runUntil([this] {
            return m_node->relay.configurationVersion() == ConfigVersion(8) && m_node->relay.knownEntries() == 2;
        });
        m_store->restore(*early);
        entry.node = NodeName("new");
        m_store->put("geraniumsail/nodes/new", encodeEntry(entry));
        const auto restoredAt = monotonicNow();
        m_loop->runUntil([this] {
            return m_store->valueOf("geraniumsail/nodes/books-1").find("draining") != std::string::npos
                && m_node->relay.findEntry(NodeName("new")) != nullptr;
        });
        CPPUNIT_ASSERT(monotonicNow() - restoredAt < seconds(2));
        CPPUNIT_ASSERT(m_node->relay.configurationVersion() == ConfigVersion(8));
        m_store->put("op/config", configuration(9));
        m_loop->runUntil([this] { return m_node->relay.configurationVersion() == ConfigVersion(9); });
    }

private:
    void runFor(Duration time)
    {
        const auto end = monotonicNow() + time;
        m_loop->runUntil([end] { return monotonicNow() >= end; });
    }

    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<FakeStore> m_store;
    std::unique_ptr<BasicFleetNode<ThrowingStore>> m_node;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

} // namespace

} // namespace Geraniumsail
