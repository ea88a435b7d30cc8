// Tests of what nodes tell each other about a request, and of the stored entry.
#include "relay/exchange.h"

#include "core/random.h"
#include "relay/entrycodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

AttemptContext sampleContext()
{
    AttemptContext context;
    context.request = RequestId("9c41d07be2a35f68");
    context.route = RouteName("r-1");
    context.service = ServiceName("bookings");
    context.upstream = UpstreamId("i-7f3a91c2");
    context.callerService = ServiceName("berths");
    context.origin = Origin::Call;
    context.repeatability = Repeatability::Idempotent;
    context.rank = Rank(2);
    context.timeLeft = std::chrono::milliseconds(1234);
    context.maxWait = std::chrono::milliseconds(56);
    context.version = ConfigVersion(17);
    return context;
}

class ExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExchangeTest);
    CPPUNIT_TEST(contextSurvivesTheWire);
    CPPUNIT_TEST(damagedContextIsRefused);
    CPPUNIT_TEST(resultSurvivesTheWire);
    CPPUNIT_TEST(answerWithoutResultIsUnknown);
    CPPUNIT_TEST(refusalByTheServerIsNoArrival);
    CPPUNIT_TEST(entrySurvivesTheStore);
    CPPUNIT_TEST(damagedEntryIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void contextSurvivesTheWire()
    {
        HttpRequestMessage message;
        const auto context = sampleContext();
        writeContext(context, message);
        const auto read = readContext(message);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->request == context.request && read->route == context.route
                       && read->service == context.service);
        CPPUNIT_ASSERT(read->upstream == context.upstream && read->callerService == context.callerService);
        CPPUNIT_ASSERT(read->origin == context.origin && read->repeatability == context.repeatability);
        CPPUNIT_ASSERT(read->rank == context.rank && read->timeLeft == context.timeLeft);
        CPPUNIT_ASSERT(read->maxWait == context.maxWait && read->version == context.version);
    }

    // Guards against a request that runs under limits nobody stated.
    void damagedContextIsRefused()
    {
        HttpRequestMessage message;
        CPPUNIT_ASSERT(!readContext(message));
        for (const auto *text : {"", ";;;;;;;;;;", "s;i;c;root;once;0;-5;10;1;n;r", "s;i;c;root;once;0;5;x;1;n;r",
                                 "s;i;c;root;once;999;5;5;1;n;r", "s;i;c;root;once;0;5;5;1;n"}) {
            message.set("Geraniumsail-Attempt", text);
            CPPUNIT_ASSERT(!readContext(message));
        }
    }

    void resultSurvivesTheWire()
    {
        AttemptResult ran;
        ran.outcome = Outcome::Ran;
        ran.arrived = true;
        ran.response = makeResponse(500, "text/plain", "x");
        ran.load = QueueLoad{3, 4, 10, std::chrono::milliseconds(70), false};
        ran.admittedFraction = AdmittedFraction(0.25);
        const auto read = decodeResult(encodeResult(std::move(ran)));
        CPPUNIT_ASSERT(read.outcome == Outcome::Ran);
        CPPUNIT_ASSERT_EQUAL(500U, read.response.message.result_int());
        CPPUNIT_ASSERT(read.response.message.count("Geraniumsail-Outcome") == 0);
        CPPUNIT_ASSERT_EQUAL(4U, read.load->waiting);
        CPPUNIT_ASSERT(!read.load->makesCalls);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, read.admittedFraction->value(), 0.001);
        for (const auto &row : errorRows()) {
            if (row.outcome == Outcome::Ran) {
                continue;
            }
            AttemptResult failed;
            failed.outcome = row.outcome;
            failed.error = row.kind;
            failed.arrived = row.kind == ErrorKind::UpstreamShed;
            const auto back = decodeResult(encodeResult(std::move(failed)));
            CPPUNIT_ASSERT(back.outcome == row.outcome && back.error == row.kind);
            CPPUNIT_ASSERT_EQUAL(row.kind == ErrorKind::UpstreamShed, back.arrived);
        }
    }

    // Guards against an answer from something that is no node, taken as proof that a request has not run.
    void answerWithoutResultIsUnknown()
    {
        const auto result = decodeResult(makeResponse(503, "text/plain", "busy"));
        CPPUNIT_ASSERT(result.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(result.arrived);
    }

    // Guards against a refusal by the server of a node, for too many connections, that counts as an arrival at the
    // upstream: it would use up the attempts and the budget of the request although nobody received it.
    void refusalByTheServerIsNoArrival()
    {
        const auto result = decodeResult(errorResponse(ErrorKind::ConnectionLimit));
        CPPUNIT_ASSERT(result.outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(!result.arrived);
    }

    void entrySurvivesTheStore()
    {
        DirectoryEntry entry;
        entry.node = NodeName("n1");
        entry.nodeStartedMs = 1700000000123;
        entry.peer = Address("10.0.0.1:8300");
        entry.dataCentre = DataCentreName("incheon-quay");
        entry.region = RegionName("west-sea");
        entry.service = ServiceName("bookings");
        entry.upstream = UpstreamId("i-1");
        entry.phase = UpstreamPhase::Draining;
        entry.slots = Slots(54);
        entry.coldRemaining = std::chrono::milliseconds(1500);
        CPPUNIT_ASSERT(decodeEntry(encodeEntry(entry)) == entry);
    }

    // Guards against an entry of another writer that names an upstream, over random damage.
    void damagedEntryIsRefused()
    {
        DirectoryEntry entry;
        entry.node = NodeName("n1");
        const auto text = encodeEntry(entry);
        CPPUNIT_ASSERT(!decodeEntry(""));
        CPPUNIT_ASSERT(!decodeEntry("[]"));
        CPPUNIT_ASSERT(!decodeEntry("{\"node\":1}"));
        Random random(9);
        for (int i = 0; i < 500; ++i) {
            auto damaged = text;
            damaged.resize(std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(random));
            CPPUNIT_ASSERT(!decodeEntry(damaged));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);

} // namespace

} // namespace Geraniumsail
