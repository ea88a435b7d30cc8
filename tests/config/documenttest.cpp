#include "config/document.h"

#include "config/texts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace Geraniumsail {

namespace {

void assertOneProblem(const std::string &from, const std::string &to, const std::string &field)
{
    const auto result = parseServiceDocument(replaced(BookingsText, from, to), "f");
    CPPUNIT_ASSERT_MESSAGE(to, !result.value);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(to + "\n" + toText(result.problems), std::size_t{1}, result.problems.size());
    CPPUNIT_ASSERT_EQUAL(field, result.problems.front().field);
    CPPUNIT_ASSERT_EQUAL(std::string("f"), result.problems.front().file);
}

class DocumentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentTest);
    CPPUNIT_TEST(readsEveryField);
    CPPUNIT_TEST(appliesDefaults);
    CPPUNIT_TEST(refusesImpossibleNumbers);
    CPPUNIT_TEST(refusesContradictions);
    CPPUNIT_TEST(reportsEveryProblemAtOnce);
    CPPUNIT_TEST(refusesBadLinks);
    CPPUNIT_TEST(refusesLargeTexts);
    CPPUNIT_TEST(canonicalTextDependsOnMeaning);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is accepted but does not reach the policy, or in a wrong unit.
    void readsEveryField()
    {
        const auto result = parseServiceDocument(BookingsText);
        CPPUNIT_ASSERT_MESSAGE(toText(result.problems), result.value);
        const auto &policy = *result.value;
        CPPUNIT_ASSERT(policy.service == ServiceName("bookings") && policy.slots == Slots(50));
        CPPUNIT_ASSERT(policy.connections == Connections(400) && policy.queueLength == 200);
        CPPUNIT_ASSERT(policy.targetQueueDelay == std::chrono::milliseconds(20) && policy.retryRatio == 0.1);
        CPPUNIT_ASSERT(policy.backoffBase == std::chrono::milliseconds(10));
        CPPUNIT_ASSERT(policy.backoffCap == std::chrono::milliseconds(200));
        const auto &kind = policy.kinds.at(0);
        CPPUNIT_ASSERT(kind.name == KindName("mooring-booking") && kind.rank == Rank(0) && kind.share == Share(0.5));
        CPPUNIT_ASSERT(!kind.repeatable && kind.essential && !kind.longRunning && kind.retries == Allowance(2));
        CPPUNIT_ASSERT(kind.timeout == std::chrono::seconds(2));
        CPPUNIT_ASSERT(policy.kinds.at(1).repeatable && !policy.kinds.at(1).essential);
    }

    // Guards against optional fields that become zero instead of the default.
    void appliesDefaults()
    {
        const auto result = parseServiceDocument(R"({"service": "s", "limits": {"slots": 1, "connections": 1},
            "kinds": [{"name": "k", "rank": 1, "share": 0, "repeatable": true, "timeoutMs": 1, "retries": 0}]})");
        CPPUNIT_ASSERT_MESSAGE(toText(result.problems), result.value);
        const ServicePolicy defaults;
        CPPUNIT_ASSERT_EQUAL(defaults.queueLength, result.value->queueLength);
        CPPUNIT_ASSERT(defaults.targetQueueDelay == result.value->targetQueueDelay);
        CPPUNIT_ASSERT(defaults.backoffCap == result.value->backoffCap);
    }

    // Guards against numbers that a node cannot act on.
    void refusesImpossibleNumbers()
    {
        for (const auto *slots : {"0", "-1", "1.5", "1e30", "100001", "\"50\"", "null", "99999999999999999999"}) {
            assertOneProblem("\"slots\": 50", std::string("\"slots\": ") + slots, "limits.slots");
        }
        for (const auto *share : {"-0.1", "1.01", "\"0.5\"", "[]"}) {
            assertOneProblem("\"share\": 0.5", std::string("\"share\": ") + share, "kinds[0].share");
        }
        for (const auto *timeout : {"0", "86400001", "-5", "0.5"}) {
            assertOneProblem("2000", timeout, "kinds[0].timeoutMs");
        }
        assertOneProblem("\"rank\": 4", "\"rank\": 10", "kinds[1].rank");
        assertOneProblem("\"retries\": 2", "\"retries\": 17", "kinds[0].retries");
        assertOneProblem("\"ratio\": 0.1", "\"ratio\": 1.5", "retry.ratio");
        assertOneProblem("\"queue\": 200", "\"queue\": 0", "limits.queue");
        assertOneProblem("\"targetQueueMs\": 20", "\"targetQueueMs\": 0", "limits.targetQueueMs");
    }

    // Guards against documents whose fields are valid one by one but not together.
    void refusesContradictions()
    {
        assertOneProblem("\"share\": 0.25", "\"share\": 0.51", "kinds[].share");
        assertOneProblem("\"rank\": 4", "\"rank\": 0", "kinds[0].rank");
        assertOneProblem("\"connections\": 400", "\"connections\": 49", "limits.connections");
        assertOneProblem("\"backoffMs\": 10", "\"backoffMs\": 201", "retry.backoffMs");
        assertOneProblem("berth-schedule", "mooring-booking", "kinds[1].name");
        assertOneProblem("berth-schedule", "default", "kinds[1].name");
        assertOneProblem("\"retries\": 1", "\"retries\": 1, \"priority\": 3", "kinds[1].priority");
    }

    // Guards against checks that are skipped because another check failed.
    void reportsEveryProblemAtOnce()
    {
        auto text = replaced(BookingsText, "\"slots\": 50", "\"slots\": 0");
        text = replaced(text, "\"share\": 0.25", "\"share\": 0.75");
        text = replaced(text, "\"rank\": 4", "\"rank\": 0");
        text = replaced(text, "\"queue\"", "\"queu\"");
        text = replaced(text, "\"name\": \"berth-schedule\", ", "");
        const auto result = parseServiceDocument(text);
        for (const auto *field : {"limits.slots", "kinds[].share", "kinds[0].rank", "limits.queu", "kinds[1].name"}) {
            CPPUNIT_ASSERT_MESSAGE(field, hasProblemAt(result.problems, field));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(toText(result.problems), std::size_t{5}, result.problems.size());
    }

    // Guards against a link budget that is absent, doubled or of a wrong unit.
    void refusesBadLinks()
    {
        const auto good = parseLinksDocument(LinksText);
        CPPUNIT_ASSERT(good.value && good.value->at(0).bytesPerSecond == ByteCount(2'500'000));
        CPPUNIT_ASSERT(!parseLinksDocument(replaced(LinksText, "20000", "0")).value);
        CPPUNIT_ASSERT(!parseLinksDocument(replaced(LinksText, "\"to\": \"south-sea\"", "\"to\": \"west-sea\"")).value);
        const auto *repeated = R"({"links": [{"from": "a", "to": "b", "kbitPerSecond": 1},
                                             {"from": "a", "to": "b", "kbitPerSecond": 2}]})";
        CPPUNIT_ASSERT(hasProblemAt(parseLinksDocument(repeated).problems, "links[1]"));
    }

    // Guards against a document that passes the check and is then refused by the store.
    void refusesLargeTexts()
    {
        const std::string large = BookingsText + std::string(MaxDocumentBytes, ' ');
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parseServiceDocument(large).problems.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parseLinksDocument(large).problems.size());
    }

    // Guards against publications that change nothing but the layout of a file.
    void canonicalTextDependsOnMeaning()
    {
        const auto first = canonicalText(*parseServiceDocument(BookingsText).value);
        const auto again = canonicalText(*parseServiceDocument(first).value);
        CPPUNIT_ASSERT_EQUAL(first, again);
        const auto explicitDefault = replaced(BookingsText, "\"longRunning\": false,", "");
        CPPUNIT_ASSERT_EQUAL(first, canonicalText(*parseServiceDocument(explicitDefault).value));
        const auto changed = replaced(BookingsText, "\"retries\": 2", "\"retries\": 3");
        const auto other = canonicalText(*parseServiceDocument(changed).value);
        CPPUNIT_ASSERT(contentHash(first) != contentHash(other));
        CPPUNIT_ASSERT_EQUAL(std::string("99aa06d3014798d86001c324468d497f"), contentHash(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentTest);

} // namespace

} // namespace Geraniumsail
