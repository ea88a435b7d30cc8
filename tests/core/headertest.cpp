// Tests of the encoding of header values. A parser that accepts too much passes invalid values of a peer to the core.
#include "core/callcontext.h"
#include "core/errorkind.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace Geraniumsail {

namespace {

class HeaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeaderTest);
    CPPUNIT_TEST(contextRoundTrips);
    CPPUNIT_TEST(malformedContextsAreRejected);
    CPPUNIT_TEST(errorTableIsInOrderAndLabelsAreUnique);
    CPPUNIT_TEST(loadAndThresholdRoundTrip);
    CPPUNIT_TEST_SUITE_END();

public:
    void contextRoundTrips()
    {
        const MonotonicTime now(std::chrono::seconds(5));
        CallContext context;
        context.id = RequestId("r-1");
        context.attempt = AttemptId("a-1");
        context.kind = KindName("mooring-booking");
        context.priority = Priority{Rank(2), AdmissionScore(77)};
        context.deadline = now + std::chrono::milliseconds(250);
        context.allowance = Allowance(3);
        context.hop = 4;
        context.caller = CallerName("warden");
        context.unrepeatable = true;
        context.voidedBy = NodeName("n-1");
        context.epoch = TicketEpoch(9);
        context.incarnation = Incarnation(UINT64_MAX);
        context.ticketPosition = 1;
        const auto decoded = decodeContext(encodeContext(context, now), now);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(encodeContext(context, now), encodeContext(*decoded, now));
        CPPUNIT_ASSERT(decoded->deadline == context.deadline);
        CPPUNIT_ASSERT(decoded->incarnation == context.incarnation);
        CPPUNIT_ASSERT_EQUAL(1, decoded->ticketPosition);
    }

    void malformedContextsAreRejected()
    {
        const std::string good = "v=1;id=r;attempt=a;kind=k;rank=0;score=1;left=10;allow=0;hop=0;caller=c;once=0";
        const MonotonicTime now{};
        CPPUNIT_ASSERT(decodeContext(good, now));
        for (const std::string &bad : std::vector<std::string>{
                 std::string(), std::string("v=2") + good.substr(3), good + ";hop=1", good + ";other=1",
                 good + ";void-by=a b", good + ";inc=-1", good + ";pos=2", good + ";pos=-1",
                 good.substr(0, good.size() - 1) + "2",
                 "v=1;id=r;attempt=a;kind=k;rank=10;score=1;left=10;allow=0;hop=0;caller=c;once=0",
                 std::string("v=1;id=r;attempt=a;kind=k;rank=0;score=1;left=10;allow=17;hop=0;caller=c;once=0"),
                 std::string("v=1;id=r;attempt=a;kind=k;rank=0;score=1;left=-1;allow=0;hop=0;caller=c;once=0")}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !decodeContext(bad, now));
        }
    }

    void errorTableIsInOrderAndLabelsAreUnique()
    {
        std::set<std::string_view> labels;
        for (std::size_t i = 0; i < ErrorKindCount; ++i) {
            const auto &row = errorRows().at(i);
            CPPUNIT_ASSERT_EQUAL(i, static_cast<std::size_t>(row.kind));
            CPPUNIT_ASSERT(labels.insert(row.label).second);
            CPPUNIT_ASSERT(errorKindFromLabel(row.label) == row.kind);
        }
    }

    void loadAndThresholdRoundTrip()
    {
        const LoadReport load{3, 4, 5};
        CPPUNIT_ASSERT(decodeLoad(encodeLoad(load)) == load);
        CPPUNIT_ASSERT(!decodeLoad("1/2/0") && !decodeLoad("1/2") && !decodeLoad("1/x/3"));
        const Threshold threshold{Priority{Rank(3), AdmissionScore(9)}};
        CPPUNIT_ASSERT(decodeThreshold(encodeThreshold(threshold)) == threshold);
        CPPUNIT_ASSERT(decodeThreshold("none") == Threshold{});
        CPPUNIT_ASSERT(!decodeThreshold("10/1") && !decodeThreshold("1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeaderTest);

} // namespace

} // namespace Geraniumsail
