// Tests of the limits on JSON that other programs send.
#include "config/jsonfields.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

std::string repeated(const std::string &part, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += part;
    }
    return text;
}

/// An array of count copies of the item.
std::string arrayOf(const std::string &item, std::size_t count)
{
    return "[" + repeated(item + ",", count - 1) + item + "]";
}

class JsonFieldsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonFieldsTest);
    CPPUNIT_TEST(textThatGrowsWhenParsedIsRejected);
    CPPUNIT_TEST(largestConfigurationIsParsed);
    CPPUNIT_TEST(invalidTextIsRejectedAtAnyLength);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer of some megabytes that takes all memory of the process once it is parsed.
    void textThatGrowsWhenParsedIsRejected()
    {
        constexpr std::size_t deep = 100000;
        CPPUNIT_ASSERT(parseJson(repeated("[", deep) + repeated("]", deep)).is_discarded());
        CPPUNIT_ASSERT(parseJson(repeated("{\"a\":", deep) + "1" + repeated("}", deep)).is_discarded());
        for (const auto *item : {"[]", "{}", "0", "\"\"", "null", "1.5"}) {
            CPPUNIT_ASSERT(parseJson(arrayOf(item, MaxJsonValues + 1)).is_discarded());
        }
    }

    // Guards against limits that valid documents meet.
    void largestConfigurationIsParsed()
    {
        const std::string rule =
            R"({"name":"r","prefix":"/p/","route_type":"safe","timeout":"1s","target_latency":"1s",)"
            R"("priority":1,"service":"s","max_attempts":2})";
        const auto rules = parseJson("{\"path_rules\":" + arrayOf(rule, 1'000'000 / rule.size()) + "}");
        CPPUNIT_ASSERT_EQUAL(1'000'000 / rule.size(), arrayField(rules, "path_rules").size());
        const std::string longValue(4'000'000, 'v');
        CPPUNIT_ASSERT(stringField(parseJson("{\"value\":\"" + longValue + "\"}"), "value") == longValue);
    }

    void invalidTextIsRejectedAtAnyLength()
    {
        for (const auto length : {std::size_t(10), UncheckedJsonBytes + 1}) {
            CPPUNIT_ASSERT(parseJson("[" + repeated(" ", length)).is_discarded());
            CPPUNIT_ASSERT(parseJson(repeated("x", length)).is_discarded());
            CPPUNIT_ASSERT(!parseJson("[" + repeated(" ", length) + "]").is_discarded());
        }
        CPPUNIT_ASSERT(parseJson("").is_discarded());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonFieldsTest);

} // namespace

} // namespace Geraniumsail
