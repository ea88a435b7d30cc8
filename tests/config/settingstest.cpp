#include "config/settings.h"

#include "config/texts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace Geraniumsail {

namespace {

constexpr const char *Valid = R"({"name": "n1", "region": "west-sea", "dataCentre": "west-1",
    "listen": {"caller": "127.0.1.1:7000", "local": "127.0.1.1:7001", "peer": "127.0.1.1:7002",
               "control": "127.0.1.1:7003", "admin": "127.0.1.1:7004"},
    "controlAllow": ["127.0.0.0/8"], "seeds": ["127.0.1.2:7003"], "store": "127.0.0.1:7900",
    "randomSeed": 7, "switches": {"admission": false}})";

void assertProblem(const std::string &text, const std::string &field)
{
    const auto result = parseNodeSettings(text, "node.json");
    CPPUNIT_ASSERT_MESSAGE(text, !result.value);
    CPPUNIT_ASSERT_MESSAGE(field + " not in " + toText(result.problems), hasProblemAt(result.problems, field));
}

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(acceptsValid);
    CPPUNIT_TEST(reportsEveryProblemAtOnce);
    CPPUNIT_TEST(refusesUnknownFields);
    CPPUNIT_TEST(refusesBadAddresses);
    CPPUNIT_TEST(refusesRepeatedFields);
    CPPUNIT_TEST(rangesMatchExactly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against values that are parsed but not carried into the settings.
    void acceptsValid()
    {
        const auto result = parseNodeSettings(Valid);
        CPPUNIT_ASSERT_MESSAGE(toText(result.problems), result.value);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.1.1:7003"), result.value->listen.control.value());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.1.2:7003"), result.value->seeds.at(0).value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, result.value->randomSeed.value());
        CPPUNIT_ASSERT(!result.value->switches.admission);
        CPPUNIT_ASSERT(result.value->switches.shares);
        CPPUNIT_ASSERT(result.value->controlAllowed("127.9.9.9"));
        CPPUNIT_ASSERT(!result.value->controlAllowed("10.0.0.1"));
    }

    // Guards against an operator having to correct one problem at a time.
    void reportsEveryProblemAtOnce()
    {
        const auto result = parseNodeSettings(R"({"region": 5, "listen": {"caller": "x"}, "controlAllow": [1]})");
        for (const auto *field : {"name", "region", "dataCentre", "listen.caller", "listen.local", "listen.peer",
                                  "listen.control", "listen.admin", "controlAllow[0]"}) {
            CPPUNIT_ASSERT_MESSAGE(field, hasProblemAt(result.problems, field));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, result.problems.size());
    }

    // Guards against a misspelt field that silently has no effect.
    void refusesUnknownFields()
    {
        assertProblem(replaced(Valid, "\"randomSeed\"", "\"randomSead\""), "randomSead");
        assertProblem(replaced(Valid, "\"admission\"", "\"admision\""), "switches.admision");
        assertProblem(replaced(Valid, "\"caller\":", "\"calle\": 1, \"caller\":"), "listen.calle");
    }

    // Guards against a node that starts and then cannot listen or cannot be reached.
    void refusesBadAddresses()
    {
        assertProblem(replaced(Valid, "127.0.1.1:7002", "127.0.1.1:0"), "listen.peer");
        assertProblem(replaced(Valid, "127.0.1.1:7002", "127.0.1.1:65536"), "listen.peer");
        assertProblem(replaced(Valid, "127.0.1.1:7002", "localhost:7002"), "listen.peer");
        assertProblem(replaced(Valid, "127.0.1.1:7002", "0.0.0.0:7002"), "listen.peer");
        assertProblem(replaced(Valid, "127.0.1.1:7002", "127.0.1.1:7001"), "listen.peer");
        assertProblem(replaced(Valid, "127.0.1.1:7002", "127.0.1.1\\u0000:7002"), "listen.peer");
    }

    // Guards against the JSON library's rule that the last of two equal fields wins.
    void refusesRepeatedFields()
    {
        assertProblem(replaced(Valid, "\"name\": \"n1\"", R"("name": "n1", "name": "n2")"), "\"name\"");
    }

    // Guards against a control listener that is open to more senders than declared.
    void rangesMatchExactly()
    {
        const auto range = AddressRange::parse("10.1.2.0/23");
        CPPUNIT_ASSERT(range);
        CPPUNIT_ASSERT(range->contains("10.1.2.0") && range->contains("10.1.3.255"));
        CPPUNIT_ASSERT(!range->contains("10.1.4.0") && !range->contains("10.1.1.255") && !range->contains("x"));
        CPPUNIT_ASSERT(AddressRange::parse("0.0.0.0/0")->contains("200.1.1.1"));
        for (const auto *bad : {"10.1.2.0", "10.1.2.0/33", "10.1.2.1/23", "10.1.2/23", "/8", "10.0.0.0/", ""}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !AddressRange::parse(bad));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace

} // namespace Geraniumsail
