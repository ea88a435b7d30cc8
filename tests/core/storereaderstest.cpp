// Tests for the choice of the source from which a node follows the configuration.
#include "core/storereaders.h"

#include "core/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<NodeName> nodes(int count)
{
    std::vector<NodeName> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.emplace_back("vm-" + std::to_string(i));
    }
    return result;
}

class StoreReadersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreReadersTest);
    CPPUNIT_TEST(onlyReadersReadTheStore);
    CPPUNIT_TEST(smallDataCentresReadTheStore);
    CPPUNIT_TEST(failedReadersAreSkippedDuringCooldown);
    CPPUNIT_TEST(everySourceIsAReader);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a link that is saturated for longer than a version may take to come into force: 42 nodes, 14 in
    // each of three data centres, read a version of 400 kB over a link of 60 Mbit/s.
    void onlyReadersReadTheStore()
    {
        const auto members = nodes(14);
        std::size_t reads = 0;
        std::set<NodeName> followed;
        for (const auto &node : members) {
            const StoreReaders sources(node);
            const auto source = sources.choose(members, m_now);
            reads += source ? 0 : 1;
            if (source) {
                followed.insert(*source);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reads);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), followed.size());
        constexpr double bitsPerVersion = 400e3 * 8;
        constexpr double linkBitsPerSecond = 60e6;
        CPPUNIT_ASSERT(3 * static_cast<double>(reads) * bitsPerVersion / linkBitsPerSecond < 0.5);
    }

    void smallDataCentresReadTheStore()
    {
        const auto members = nodes(StoreReaders::MinMembersToShare - 1);
        for (const auto &node : members) {
            CPPUNIT_ASSERT(!StoreReaders(node).choose(members, m_now));
            CPPUNIT_ASSERT(!StoreReaders(node).isReader(members));
        }
        // A node that does not know any members yet.
        CPPUNIT_ASSERT(!StoreReaders(NodeName("new")).choose({}, m_now));
    }

    // Guards against a node that keeps following a failed reader instead of the store, and against one that spends its
    // time on readers of lost VMs, whose entries stay until their leases end.
    void failedReadersAreSkippedDuringCooldown()
    {
        const auto members = nodes(14);
        const auto follower = *std::find_if(members.begin(), members.end(), [&](const NodeName &node) {
            return !StoreReaders(node).isReader(members);
        });
        StoreReaders sources(follower);
        std::set<NodeName> tried;
        for (std::size_t i = 0; i < StoreReaders::MaxRank; ++i) {
            const auto source = sources.choose(members, m_now);
            CPPUNIT_ASSERT(source && tried.insert(*source).second);
            sources.onFailed(*source, m_now);
        }
        CPPUNIT_ASSERT(!sources.choose(members, m_now));
        const auto first = sources.choose(members, m_now + StoreReaders::MinCooldown);
        CPPUNIT_ASSERT(first);
        int attempts = 0;
        for (auto now = m_now; now < m_now + seconds(60); now += milliseconds(100)) {
            if (sources.choose(members, now) == first) {
                ++attempts;
                sources.onFailed(*first, now);
            }
        }
        CPPUNIT_ASSERT(attempts <= 6);
        sources.onAnswered(*first);
        CPPUNIT_ASSERT(sources.choose(members, m_now) == first);
    }

    // Guards against nodes that follow each other in a cycle and never receive a version from the store, also while
    // they have seen different failures.
    void everySourceIsAReader()
    {
        Random random(3);
        std::bernoulli_distribution hasFailed(0.4);
        for (int size = 1; size < 60; ++size) {
            const auto members = nodes(size);
            std::map<NodeName, std::optional<NodeName>> sourceOf;
            for (const auto &node : members) {
                StoreReaders sources(node);
                for (const auto &other : members) {
                    if (hasFailed(random)) {
                        sources.onFailed(other, m_now);
                    }
                }
                sourceOf[node] = sources.choose(members, m_now);
            }
            for (const auto &node : members) {
                auto source = sourceOf[node];
                std::size_t steps = 0;
                while (source) {
                    CPPUNIT_ASSERT(StoreReaders(*source).isReader(members));
                    CPPUNIT_ASSERT(++steps <= StoreReaders::MaxRank);
                    source = sourceOf[*source];
                }
            }
        }
    }

private:
    MonotonicTime m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReadersTest);

} // namespace

} // namespace Geraniumsail
