// Tests of the encoding of attempt contexts and results that nodes exchange, and of stored directory entries.
#include "relay/attemptcodec.h"

#include "core/random.h"
#include "relay/entrycodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

AttemptContext sampleContext()
{
    AttemptContext context;
    context.requestId = RequestId("9c41d07be2a35f68");
    context.route = RouteName("r-1");
    context.service = ServiceName("bookings");
    context.upstream = UpstreamId("i-7f3a91c2");
    context.callerService = ServiceName("berths");
    context.origin = Origin::Call;
    context.repeatability = Repeatability::Idempotent;
    context.rank = Rank(2);
    context.timeLeft = std::chrono::milliseconds(1234);
    context.maxWait = std::chrono::milliseconds(56);
    context.configVersion = ConfigVersion(17);
    return context;
}

class AttemptCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptCodecTest);
    CPPUNIT_TEST(contextRoundTrip);
    CPPUNIT_TEST(valuesWithSeparatorsRoundTrip);
    CPPUNIT_TEST(malformedContextIsRejected);
    CPPUNIT_TEST(resultRoundTrip);
    CPPUNIT_TEST(malformedResultIsUnknown);
    CPPUNIT_TEST(responseWithoutResultIsUnknown);
    CPPUNIT_TEST(refusalByNodeServerIsNotDelivered);
    CPPUNIT_TEST(entryRoundTrip);
    CPPUNIT_TEST(malformedEntryIsRejected);
    CPPUNIT_TEST(hostileEntryIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void contextRoundTrip()
    {
        HttpRequestMessage message;
        const auto context = sampleContext();
        writeContext(context, message);
        const auto decoded = readContext(message, context.requestId.value());
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(decoded->requestId == context.requestId && decoded->route == context.route
                       && decoded->service == context.service);
        CPPUNIT_ASSERT(decoded->upstream == context.upstream && decoded->callerService == context.callerService);
        CPPUNIT_ASSERT(decoded->origin == context.origin && decoded->repeatability == context.repeatability);
        CPPUNIT_ASSERT(decoded->rank == context.rank && decoded->timeLeft == context.timeLeft);
        CPPUNIT_ASSERT(decoded->maxWait == context.maxWait && decoded->configVersion == context.configVersion);
    }

    // Guards against a request id or route name that changes the number of values in the context, so that the target
    // node rejects the request as malformed, and against one that adds header fields.
    void valuesWithSeparatorsRoundTrip()
    {
        auto context = sampleContext();
        context.requestId = RequestId("a;b%3bc");
        context.route = RouteName("r;1\r\nHost: other");
        context.service = ServiceName("\xc3\xa9;");
        HttpRequestMessage message;
        writeContext(context, message);
        const auto decoded = readContext(message, context.requestId.value());
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(decoded->requestId == context.requestId && decoded->route == context.route
                       && decoded->service == context.service);
        const auto text = std::string(message[std::string("Geraniumsail-Attempt")]);
        CPPUNIT_ASSERT(text.find_first_of("\r\n") == std::string::npos);
    }

    // Guards against a request that runs with limits that the entry node did not send.
    void malformedContextIsRejected()
    {
        HttpRequestMessage message;
        CPPUNIT_ASSERT(!readContext(message, "r"));
        for (const auto *text :
             {"", ";;;;;;;;;", "s;i;c;root;once;0;-5;10;1;n", "s;i;c;root;once;0;5;x;1;n",
              "s;i;c;root;once;999;5;5;1;n", "s;i;c;root;once;0;5;5;1", "s;%;c;root;once;0;5;5;1;n"}) {
            message.set("Geraniumsail-Attempt", text);
            CPPUNIT_ASSERT(!readContext(message, "r"));
        }
        message.set("Geraniumsail-Attempt", "s;i;c;root;once;0;5;5;1;n");
        CPPUNIT_ASSERT(!readContext(message, ""));
        CPPUNIT_ASSERT(readContext(message, "r"));
    }

    void resultRoundTrip()
    {
        AttemptResult ran;
        ran.outcome = Outcome::Ran;
        ran.mayBeDelivered = true;
        ran.response = makeResponse(500, "text/plain", "x");
        ran.load = QueueLoad{3, 4, 10, std::chrono::milliseconds(70), false};
        ran.admittedFraction = AdmittedFraction(0.25);
        const auto decoded = decodeResult(encodeResult(std::move(ran)));
        CPPUNIT_ASSERT(decoded.outcome == Outcome::Ran);
        CPPUNIT_ASSERT_EQUAL(500U, decoded.response.message.result_int());
        CPPUNIT_ASSERT(decoded.response.message.count("Geraniumsail-Result") == 0);
        CPPUNIT_ASSERT_EQUAL(4U, decoded.load->waiting);
        CPPUNIT_ASSERT(!decoded.load->makesCalls);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, decoded.admittedFraction->value(), 0.001);
        for (const auto &row : errorRows()) {
            if (row.outcome == Outcome::Ran) {
                continue;
            }
            AttemptResult failed;
            failed.outcome = row.outcome;
            failed.error = row.kind;
            failed.mayBeDelivered = row.kind == ErrorKind::UpstreamShed;
            const auto decodedFailure = decodeResult(encodeResult(std::move(failed)));
            CPPUNIT_ASSERT(decodedFailure.outcome == row.outcome && decodedFailure.error == row.kind);
            CPPUNIT_ASSERT_EQUAL(row.kind == ErrorKind::UpstreamShed, decodedFailure.mayBeDelivered);
        }
    }

    // Guards against a damaged result that is taken for proof that the request did not run.
    void malformedResultIsUnknown()
    {
        for (const auto *text : {"", "ran", "not-run;draining;0", "no;draining;0;;", ";;;;", "not run;draining;0;;"}) {
            auto response = makeResponse(503, "text/plain", "");
            response.message.set("Geraniumsail-Result", text);
            const auto result = decodeResult(std::move(response));
            CPPUNIT_ASSERT_MESSAGE(text, result.outcome == Outcome::Unknown);
            CPPUNIT_ASSERT(!result.load && !result.admittedFraction);
        }
    }

    // Guards against treating a response that does not come from a node as proof that a request did not run.
    void responseWithoutResultIsUnknown()
    {
        const auto result = decodeResult(makeResponse(503, "text/plain", "busy"));
        CPPUNIT_ASSERT(result.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(result.mayBeDelivered);
    }

    // Guards against counting a refusal by a node's server, because of too many connections, as an attempt that the
    // upstream received. It would consume attempts and redelivery budget although no upstream received the request.
    void refusalByNodeServerIsNotDelivered()
    {
        const auto result = decodeResult(errorResponse(ErrorKind::ConnectionLimit));
        CPPUNIT_ASSERT(result.outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(!result.mayBeDelivered);
    }

    void entryRoundTrip()
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

    // Guards against using an upstream named in a malformed entry of another writer. Covers random truncation.
    void malformedEntryIsRejected()
    {
        DirectoryEntry entry;
        entry.node = NodeName("n1");
        const auto text = encodeEntry(entry);
        CPPUNIT_ASSERT(!decodeEntry(""));
        CPPUNIT_ASSERT(!decodeEntry("[]"));
        CPPUNIT_ASSERT(!decodeEntry("{\"node\":1}"));
        Random random(9);
        for (int i = 0; i < 500; ++i) {
            auto truncated = text;
            truncated.resize(std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(random));
            CPPUNIT_ASSERT(!decodeEntry(truncated));
        }
    }

    // Guards against an entry of another writer that has the form of a good one, but values that cannot be used:
    // numbers beyond the range of their type, ports that do not exist, very deep nesting.
    void hostileEntryIsRejected()
    {
        DirectoryEntry entry;
        entry.node = NodeName("n1");
        entry.peer = Address("10.0.0.9:7620");
        entry.service = ServiceName("bookings");
        entry.upstream = UpstreamId("i-1");
        entry.slots = Slots(54);
        const auto good = encodeEntry(entry);
        CPPUNIT_ASSERT(decodeEntry(good).has_value());
        const auto withField = [&good](const std::string &name, const std::string &value) {
            const auto start = good.find('"' + name + "\":") + name.size() + 3;
            return std::string(good).replace(start, good.find_first_of(",}", start) - start, value);
        };
        const std::string nested = std::string(200000, '[') + std::string(200000, ']');
        for (const auto *number : {"-1", "1.5", "1e30", "1e999", "99999999999999999999999", "4294967296", "\"54\""}) {
            CPPUNIT_ASSERT_MESSAGE(number, !decodeEntry(withField("slots", number)));
        }
        for (const auto *number : {"-1", "1e30", "1e999", "9223372036854775807"}) {
            CPPUNIT_ASSERT_MESSAGE(number, !decodeEntry(withField("coldUs", number)));
            CPPUNIT_ASSERT_MESSAGE(number, !decodeEntry(withField("nodeStartedMs", number)));
        }
        for (const auto *peer :
             {"\"10.0.0.9:65536\"", "\"10.0.0.9:0\"", "\"10.0.0.9:-1\"", "\"10.0.0.9\"", "\"\"", "7"}) {
            CPPUNIT_ASSERT_MESSAGE(peer, !decodeEntry(withField("peer", peer)));
        }
        for (const auto *upstream : {"\"a;b\"", "\"a\\r\\nb\"", "\"\""}) {
            CPPUNIT_ASSERT_MESSAGE(upstream, !decodeEntry(withField("upstream", upstream)));
        }
        CPPUNIT_ASSERT(!decodeEntry(withField("slots", nested)));
        CPPUNIT_ASSERT(!decodeEntry(nested));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptCodecTest);

} // namespace

} // namespace Geraniumsail
