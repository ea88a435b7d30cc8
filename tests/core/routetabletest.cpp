// Tests of route selection and of traffic splits.
#include "core/routetable.h"

#include "core/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace Geraniumsail {

namespace {

RouteRule rule(const std::string &host, const std::string &prefix, std::vector<WeightedService> destinations)
{
    RouteRule result;
    result.name = RouteName(host + prefix);
    result.host = host;
    result.prefix = prefix;
    result.destinations = std::move(destinations);
    return result;
}

/// Reference implementation of RouteTable::match that compares every rule.
const RouteRule *linearMatch(const std::vector<RouteRule> &rules, const std::string &host, const std::string &path)
{
    const RouteRule *best = nullptr;
    for (const auto &candidate : rules) {
        const bool fits = candidate.host == host && path.starts_with(candidate.prefix);
        if (fits && (best == nullptr || candidate.prefix.size() > best->prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(queryAndPortAreIgnored);
    CPPUNIT_TEST(agreesWithLinearSearch);
    CPPUNIT_TEST(sharesFollowTheWeights);
    CPPUNIT_TEST(newWeightsTakeEffectAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against selecting a more general route than the most specific one.
    void longestPrefixWins()
    {
        const RouteTable table(ConfigVersion(1),
                               {rule("a.example", "/", {{ServiceName("root"), 1}}),
                                rule("a.example", "/x/", {{ServiceName("x"), 1}}),
                                rule("a.example", "/x/y/", {{ServiceName("xy"), 1}})},
                               {});
        CPPUNIT_ASSERT_EQUAL(std::string("xy"), serviceOf(table, "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), serviceOf(table, "/x/yz"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), serviceOf(table, "/x"));
        CPPUNIT_ASSERT(table.match("b.example", "/x/") == nullptr);
    }

    // Guards against selecting a wrong route because of a slash in the query, or none because of a port in Host.
    void queryAndPortAreIgnored()
    {
        const RouteTable table(
            ConfigVersion(1),
            {rule("a.example", "/x/", {{ServiceName("x"), 1}}), rule("a.example", "/x/y/", {{ServiceName("xy"), 1}})},
            {});
        CPPUNIT_ASSERT_EQUAL(std::string("x"), serviceOf(table, "/x/a?next=/x/y/"));
        CPPUNIT_ASSERT(table.match("a.example:8080", "/x/a") != nullptr);
    }

    // Guards against a lookup that skips a candidate prefix.
    void agreesWithLinearSearch()
    {
        Random random(7);
        const auto draw = [&](int maxValue) {
            return std::uniform_int_distribution<int>(0, maxValue)(random);
        };
        const auto drawPath = [&](int maxValue) {
            std::string path = "/";
            for (int i = draw(maxValue); i > 0; --i) {
                path += std::string(1, static_cast<char>('a' + draw(1))) + "/";
            }
            return path;
        };
        for (int round = 0; round < 300; ++round) {
            std::vector<RouteRule> rules;
            for (int i = draw(6); i >= 0; --i) {
                rules.push_back(rule("h", drawPath(4), {{ServiceName("s"), 1}}));
            }
            const RouteTable table(ConfigVersion(1), rules, {});
            const auto path = drawPath(5) + (draw(1) == 0 ? "a" : "");
            const auto *expected = linearMatch(rules, "h", path);
            const auto *found = table.match("h", path);
            CPPUNIT_ASSERT_EQUAL(expected == nullptr, found == nullptr);
            CPPUNIT_ASSERT(found == nullptr || found->prefix == expected->prefix);
        }
    }

    // Guards against shares that drift from the weights; over any 200 requests they must be within 0.1 of them.
    void sharesFollowTheWeights()
    {
        TrafficSplitter splitter;
        const auto split = rule("h", "/", {{ServiceName("a"), 70}, {ServiceName("b"), 20}, {ServiceName("c"), 10}});
        std::map<ServiceName, int> counts;
        for (int i = 1; i <= 500; ++i) {
            ++counts[splitter.pick(split)];
            for (const auto &destination : split.destinations) {
                CPPUNIT_ASSERT(std::abs(counts[destination.service] - i * destination.weight / 100) <= 1.0);
            }
        }
    }

    // Guards against credits from old weights that delay the effect of new ones.
    void newWeightsTakeEffectAtOnce()
    {
        TrafficSplitter splitter;
        auto split = rule("h", "/", {{ServiceName("a"), 99}, {ServiceName("b"), 1}});
        for (int i = 0; i < 150; ++i) {
            splitter.pick(split);
        }
        split.destinations = {{ServiceName("a"), 1}, {ServiceName("b"), 1}};
        int toB = 0;
        for (int i = 0; i < 10; ++i) {
            toB += splitter.pick(split) == ServiceName("b") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(5, toB);
    }

private:
    static std::string serviceOf(const RouteTable &table, const std::string &path)
    {
        const auto *found = table.match("a.example", path);
        return found == nullptr ? "" : found->destinations.front().service.value();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

} // namespace

} // namespace Geraniumsail
