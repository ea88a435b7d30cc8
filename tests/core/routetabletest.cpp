// Tests of route selection and of the distribution over the parts of a split.
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

/// The longest prefix by comparing with every rule.
const RouteRule *slowMatch(const std::vector<RouteRule> &rules, const std::string &host, const std::string &path)
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
    CPPUNIT_TEST(queryAndPortTakeNoPart);
    CPPUNIT_TEST(agreesWithComparingEveryRule);
    CPPUNIT_TEST(sharesFollowTheWeights);
    CPPUNIT_TEST(newWeightsTakeEffectAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that a more general route takes from its own.
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

    // Guards against a slash in a query, or a port in Host, that selects another route or none.
    void queryAndPortTakeNoPart()
    {
        const RouteTable table(
            ConfigVersion(1),
            {rule("a.example", "/x/", {{ServiceName("x"), 1}}), rule("a.example", "/x/y/", {{ServiceName("xy"), 1}})},
            {});
        CPPUNIT_ASSERT_EQUAL(std::string("x"), serviceOf(table, "/x/a?next=/x/y/"));
        CPPUNIT_ASSERT(table.match("a.example:8080", "/x/a") != nullptr);
    }

    // Guards against a lookup that skips a candidate prefix.
    void agreesWithComparingEveryRule()
    {
        Random random(7);
        const auto draw = [&](int most) {
            return std::uniform_int_distribution<int>(0, most)(random);
        };
        const auto drawPath = [&](int most) {
            std::string path = "/";
            for (int i = draw(most); i > 0; --i) {
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
            const auto *expected = slowMatch(rules, "h", path);
            const auto *found = table.match("h", path);
            CPPUNIT_ASSERT_EQUAL(expected == nullptr, found == nullptr);
            CPPUNIT_ASSERT(found == nullptr || found->prefix == expected->prefix);
        }
    }

    // Guards against shares that drift from the weights; any 200 requests must keep them within 0.1.
    void sharesFollowTheWeights()
    {
        SplitPicker picker;
        const auto split = rule("h", "/", {{ServiceName("a"), 70}, {ServiceName("b"), 20}, {ServiceName("c"), 10}});
        std::map<ServiceName, int> counts;
        for (int i = 1; i <= 500; ++i) {
            ++counts[picker.pick(split)];
            for (const auto &part : split.destinations) {
                CPPUNIT_ASSERT(std::abs(counts[part.service] - i * part.weight / 100) <= 1.0);
            }
        }
    }

    // Guards against credits earned under old weights that delay new ones.
    void newWeightsTakeEffectAtOnce()
    {
        SplitPicker picker;
        auto split = rule("h", "/", {{ServiceName("a"), 99}, {ServiceName("b"), 1}});
        for (int i = 0; i < 150; ++i) {
            picker.pick(split);
        }
        split.destinations = {{ServiceName("a"), 1}, {ServiceName("b"), 1}};
        int toB = 0;
        for (int i = 0; i < 10; ++i) {
            toB += picker.pick(split) == ServiceName("b") ? 1 : 0;
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
