// Tests of the command that explains a request by the logs of nodes.
#include "cli/timeline.h"
#include "relay/eventlog.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace Geraniumsail::Cli {

namespace {

constexpr const char *Refused = "time=10.551 event=answered id=aa01 route=lookup service=berths origin=root status=503 "
                                "outcome=not-run reason=early-refusal took_ms=0.028 left_ms=1500 arrivals=0 refusals=0 "
                                "node=none config=2 part=0.545 part_age_ms=120 draw=0.7\n";
constexpr const char *FailedTree =
    "node-1 time=20.400 event=answered id=bb02 route=lookup service=berths origin=root status=500 outcome=ran "
    "took_ms=400 left_ms=900 arrivals=1 refusals=0 node=node-2 config=2 part=1 draw=0.2\n"
    "node-3 time=20.200 event=target_refused id=bb02.1 reason=queue-full waited_ms=150 running=16 waiting=4 limit=16 "
    "service_ms=55 left_ms=300 upstream=i-3\n"
    "node-2 time=20.201 event=answered id=bb02.1 route=gauge service=tide origin=call status=503 outcome=not-run "
    "reason=queue-full took_ms=152 left_ms=300 arrivals=0 refusals=1 node=node-3 config=2 part=1 draw=0.1\n"
    "node-9 time=20.300 event=answered id=bb021 route=lookup service=berths origin=root status=200 outcome=ran\n";

class TimelineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TimelineTest);
    CPPUNIT_TEST(namesWhatDecidedARefusal);
    CPPUNIT_TEST(namesTheFailedCallBehindAnUpstreamsError);
    CPPUNIT_TEST(ordersLinesAndLeavesOtherRequestsOut);
    CPPUNIT_TEST(cutAndForeignLinesAreCounted);
    CPPUNIT_TEST(readsEveryValueThatTheLogWrites);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an explanation without the input that decided.
    void namesWhatDecidedARefusal()
    {
        const auto timeline = timelineOf("aa01", Refused);
        const auto cause = timeline.cause();
        CPPUNIT_ASSERT(cause.find("0.545") != std::string::npos);
        CPPUNIT_ASSERT(cause.find("120 ms") != std::string::npos);
        CPPUNIT_ASSERT(cause.find("drew 0.7") != std::string::npos);
    }

    // Guards against an explanation that ends at the failed upstream, although a call of it failed.
    void namesTheFailedCallBehindAnUpstreamsError()
    {
        const auto cause = timelineOf("bb02", FailedTree).cause();
        CPPUNIT_ASSERT(cause.find("bb02.1") != std::string::npos);
        CPPUNIT_ASSERT(cause.find("queue-full") != std::string::npos);
    }

    // Guards against lines of a request whose id merely begins alike.
    void ordersLinesAndLeavesOtherRequestsOut()
    {
        const auto lines = timelineOf("bb02", FailedTree).lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("node-3"), lines[0].source);
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), lines[2].source);
        CPPUNIT_ASSERT(timelineOf("cc03", FailedTree).lines().empty());
        CPPUNIT_ASSERT(timelineOf("cc03", FailedTree).cause().empty());
    }

    // Guards against a cut line that is silently left out.
    void cutAndForeignLinesAreCounted()
    {
        const auto timeline = timelineOf(
            "aa01", "time=1.0 event=retry id=aa01 after=\"conn\nGET /x aa01 200\ntime=x event=retry id=aa01\n");
        CPPUNIT_ASSERT(timeline.lines().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), timeline.unreadable());
    }

    // Guards against a reader that does not know the quoting of the writer.
    void readsEveryValueThatTheLogWrites()
    {
        for (const std::string value : {"plain", "", "two words", "a=b", "quote\"and\\slash", "tab\tline\nend\x01"}) {
            EventLine line("test");
            line.add("id", value).add("after", "1");
            const auto read = parseLogLine("node-1 time=1.5 " + line.text());
            CPPUNIT_ASSERT(read);
            CPPUNIT_ASSERT_EQUAL(value, std::string(read->field("id")));
            CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(read->field("after")));
            CPPUNIT_ASSERT_EQUAL(std::string("node-1"), read->source);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, read->time, 1e-9);
        }
    }

private:
    static Timeline timelineOf(const std::string &id, const std::string &text)
    {
        Timeline timeline(id);
        std::istringstream log(text);
        timeline.read(log, "file", [](std::uint64_t) {});
        return timeline;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

} // namespace

} // namespace Geraniumsail::Cli
