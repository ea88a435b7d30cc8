// Tests for the choice of the source from which a node follows the configuration.
#include "core/configurationsources.h"

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

class ConfigurationSourcesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationSourcesTest);
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
            const ConfigurationSources sources(node);
            const auto source = sources.choose(members, m_now);
            reads += source ? 0 : 1;
            if (source) {
                followed.insert(*source);
            }
        }
        CPPUNIT_ASSERT_EQUAL(ConfigurationSources::ReadersPerDataCentre, reads);
        CPPUNIT_ASSERT_EQUAL(ConfigurationSources::ReadersPerDataCentre, followed.size());
        constexpr double bitsPerVersion = 400e3 * 8;
        constexpr double linkBitsPerSecond = 60e6;
        CPPUNIT_ASSERT(3 * static_cast<double>(reads) * bitsPerVersion / linkBitsPerSecond < 0.5);
    }

    void smallDataCentresReadTheStore()
    {
        const auto members = nodes(ConfigurationSources::MinMembersToShare - 1);
        for (const auto &node : members) {
            CPPUNIT_ASSERT(!ConfigurationSources(node).choose(members, m_now));
            CPPUNIT_ASSERT(ConfigurationSources(node).isReader(members));
        }
        // A node that does not know any members yet.
        CPPUNIT_ASSERT(!ConfigurationSources(NodeName("new")).choose({}, m_now));
    }

    // Guards against a node that keeps following a failed reader instead of the store.
    void failedReadersAreSkippedDuringCooldown()
    {
        const auto members = nodes(14);
        const auto follower = *std::find_if(members.begin(), members.end(), [&](const NodeName &node) {
            return !ConfigurationSources(node).isReader(members);
        });
        ConfigurationSources sources(follower);
        const auto first = sources.choose(members, m_now);
        sources.onFailed(*first, m_now);
        const auto second = sources.choose(members, m_now);
        CPPUNIT_ASSERT(second && *second != *first);
        sources.onFailed(*second, m_now + milliseconds(500));
        CPPUNIT_ASSERT(!sources.choose(members, m_now + milliseconds(500)));
        CPPUNIT_ASSERT(sources.choose(members, m_now + ConfigurationSources::FailedReaderCooldown) == first);
    }

    // Guards against nodes that follow each other in a cycle and never receive a version from the store.
    void everySourceIsAReader()
    {
        for (int size = 1; size < 60; ++size) {
            const auto members = nodes(size);
            for (const auto &node : members) {
                const auto source = ConfigurationSources(node).choose(members, m_now);
                CPPUNIT_ASSERT(!source || ConfigurationSources(*source).isReader(members));
            }
        }
    }

private:
    MonotonicTime m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSourcesTest);

} // namespace

} // namespace Geraniumsail
