// Tests of the JSON form of the control messages: a lax decoder would let a damaged or foreign message into the table.
#include "node/controlcodec.h"
#include "rpc/jsonrpc.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <random>

namespace Geraniumsail {

namespace {

using Json = nlohmann::json;

MemberRecord record(const std::string &name)
{
    MemberRecord result;
    result.name = NodeName(name);
    result.incarnation = Incarnation(UINT64_MAX);
    result.sequence = 3;
    result.region = RegionName("west-sea");
    result.dataCentre = DataCentreName("west-1");
    result.service = ServiceName("bookings");
    result.peer = Address("10.0.0.1:7003");
    result.control = Address("10.0.0.1:7004");
    result.slots = Slots(50);
    result.state = MemberState::Leaving;
    result.epoch = TicketEpoch(9);
    result.coldStart = std::chrono::milliseconds(1500);
    return result;
}

ConfigDocument document()
{
    const std::string text = "{\"service\":\"bookings\",\"note\":\"\\u0000 \\\" \xC3\xA9\"}";
    return {DocumentName("bookings"), ConfigVersion(1'800'000'000'000), contentHash(text), "p-1", text};
}

std::vector<ControlRequest> requests()
{
    SyncMessage sync;
    sync.to = NodeName("b");
    sync.self = record("a");
    sync.updates = {record("c"), record("d")};
    sync.digests = {{DataCentreName("west-1"), UINT64_MAX}, {DataCentreName("west-2"), 7}};
    sync.config = 12;
    sync.reach = {{DataCentreName("south-1"), 5, false}};
    return {sync, IndirectProbe{NodeName("b"), Address("10.0.0.2:1")},
            FetchMembers{{ServiceName("s")}, DataCentreName("dc"), {0, 31}, NodeName("n"), 40},
            PushConfig{{document()}}, FetchConfig{{DocumentName("x")}, {0, 15}, {summaryOf(document())}, 8000}};
}

std::vector<ControlReply> replies()
{
    SyncReply sync;
    sync.self = record("b");
    sync.updates = {record("c")};
    DataCentreBuckets buckets;
    buckets.dataCentre = DataCentreName("west-1");
    buckets.buckets[31] = 0xFFFFFFFF;
    sync.buckets = {buckets};
    sync.config = 5;
    sync.configBuckets.assign(ConfigBucketCount, 77);
    return {sync, ProbeReply{true}, MembersReply{{record("c")}, true}, PushReply{1},
            ConfigReply{{document()}, {DocumentName("w")}}};
}

bool refused(std::string_view method, const std::string &text)
{
    try {
        decodeRequest(method, text);
    } catch (const RpcError &) {
        return true;
    }
    return false;
}

class ControlCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlCodecTest);
    CPPUNIT_TEST(messagesSurviveTheWire);
    CPPUNIT_TEST(messagesSurviveJsonRpc);
    CPPUNIT_TEST(unknownAndMissingFieldsAreRefused);
    CPPUNIT_TEST(otherVersionsAreRefused);
    CPPUNIT_TEST(sizesOutOfBoundsAreRefused);
    CPPUNIT_TEST(wrongTypesAndNamesAreRefused);
    CPPUNIT_TEST(randomBytesNeverCrash);
    CPPUNIT_TEST(recordIsSmall);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesSurviveTheWire()
    {
        for (const auto &request : requests()) {
            CPPUNIT_ASSERT(decodeRequest(methodOf(request), encodeRequest(request)) == request);
        }
        const auto methods = requests();
        for (std::size_t i = 0; i < methods.size(); ++i) {
            CPPUNIT_ASSERT(decodeReply(methodOf(methods[i]), encodeReply(replies()[i])) == replies()[i]);
        }
    }

    // Guards against values that the JSON-RPC library changes on the way (64-bit numbers, escapes).
    void messagesSurviveJsonRpc()
    {
        const auto all = requests();
        for (std::size_t i = 0; i < all.size(); ++i) {
            RpcServer server;
            ControlRequest received;
            server.addMethod(std::string(methodOf(all[i])), [&](const std::string &params) {
                received = decodeRequest(methodOf(all[i]), params);
                return encodeReply(replies()[i]);
            });
            const std::string answer =
                server.handle(encodeRequest(std::string(methodOf(all[i])), encodeRequest(all[i])));
            CPPUNIT_ASSERT(decodeReply(methodOf(all[i]), decodeResponse(answer)) == replies()[i]);
            CPPUNIT_ASSERT(received == all[i]);
        }
    }

    // Guards against a newer peer whose additional field is silently ignored.
    void unknownAndMissingFieldsAreRefused()
    {
        for (const auto &request : requests()) {
            const Json good = Json::parse(encodeRequest(request));
            Json json = good;
            json["zz"] = 1;
            CPPUNIT_ASSERT(refused(methodOf(request), json.dump()));
            for (const auto &[name, value] : good.items()) {
                Json less = good;
                less.erase(name);
                CPPUNIT_ASSERT_MESSAGE(name, refused(methodOf(request), less.dump()));
            }
        }
        CPPUNIT_ASSERT(refused("other", encodeRequest(requests()[0])));
    }

    void otherVersionsAreRefused()
    {
        for (const auto &request : requests()) {
            for (const Json &version : {Json(0), Json(2), Json("1"), Json(1.0), Json(nullptr), Json(-1)}) {
                Json json = Json::parse(encodeRequest(request));
                json["v"] = version;
                CPPUNIT_ASSERT(refused(methodOf(request), json.dump()));
            }
        }
    }

    // Guards against messages that fill the memory or the table of a node.
    void sizesOutOfBoundsAreRefused()
    {
        auto sync = std::get<SyncMessage>(requests()[0]);
        sync.updates.assign(MaxUpdates + 1, record("x"));
        CPPUNIT_ASSERT(refused("sync", encodeRequest(ControlRequest(sync))));
        sync.updates.clear();
        sync.digests.assign(MaxDataCentres + 1, {DataCentreName("d"), 1});
        CPPUNIT_ASSERT(refused("sync", encodeRequest(ControlRequest(sync))));
        sync.digests.clear();
        sync.self.name = NodeName(std::string(200, 'n'));
        CPPUNIT_ASSERT(refused("sync", encodeRequest(ControlRequest(sync))));
        FetchMembers fetch;
        fetch.limit = MaxTransferRecords + 1;
        CPPUNIT_ASSERT(refused("fetchMembers", encodeRequest(ControlRequest(fetch))));
        fetch.limit = 1;
        fetch.buckets = {MemberBuckets};
        CPPUNIT_ASSERT(refused("fetchMembers", encodeRequest(ControlRequest(fetch))));
        ConfigDocument large = document();
        large.text = std::string(MaxDocumentBytes + 1, 'x');
        CPPUNIT_ASSERT(refused("pushConfig", encodeRequest(ControlRequest(PushConfig{{large}}))));
    }

    void wrongTypesAndNamesAreRefused()
    {
        const Json good = Json::parse(encodeRequest(requests()[0]));
        for (std::size_t field = 0; field < good["s"].size(); ++field) {
            for (const Json &bad : {Json(nullptr), Json(-1), Json(1.5), Json("a b"), Json::array(), Json(true)}) {
                Json json = good;
                json["s"][field] = bad;
                CPPUNIT_ASSERT_MESSAGE(json.dump(), refused("sync", json.dump()));
            }
        }
        for (const char *field : {"t", "s", "u", "d", "c", "r"}) {
            Json json = good;
            json[field] = Json::object();
            CPPUNIT_ASSERT(refused("sync", json.dump()));
        }
        for (const char *text : {"", "{", "[]", "null", "1", "{\"v\":1}"}) {
            CPPUNIT_ASSERT(refused("sync", text));
        }
    }

    // Guards against a crash or another exception than RpcError on damaged bytes, from sender or receiver.
    void randomBytesNeverCrash()
    {
        std::mt19937_64 random(20261204);
        int accepted = 0;
        const auto all = requests();
        for (int round = 0; round < 20'000; ++round) {
            const std::size_t which = random() % all.size();
            const bool reply = random() % 2 == 0;
            std::string text = reply ? encodeReply(replies()[which]) : encodeRequest(all[which]);
            for (std::uint64_t change = 0; change <= random() % 4; ++change) {
                const std::size_t at = random() % text.size();
                switch (random() % 4) {
                case 0:
                    text[at] = static_cast<char>(random());
                    break;
                case 1:
                    text.erase(at, 1 + random() % 8);
                    break;
                case 2:
                    text.insert(at, text.substr(random() % text.size(), random() % 16));
                    break;
                default:
                    text[at] = "{}[],:\"0123456789-e.\\"[random() % 21];
                }
                if (text.empty()) {
                    text = "x";
                }
            }
            try {
                const auto method = methodOf(all[random() % 8 == 0 ? random() % all.size() : which]);
                if (reply) {
                    decodeReply(method, text);
                } else {
                    decodeRequest(method, text);
                }
                ++accepted;
            } catch (const RpcError &) {
                continue;
            }
        }
        // Changes inside texts and numbers remain valid; nearly all others must be refused.
        CPPUNIT_ASSERT(accepted < 10'000);
    }

    // Guards against a wire form that outgrows the 490 KB that a join of 4,900 records is planned with, by a quarter.
    void recordIsSmall()
    {
        MembersReply reply;
        MemberRecord usual = record("bookings-0001");
        usual.incarnation = Incarnation(1'800'000'000'000ULL << 20U);
        reply.records.assign(80, usual);
        CPPUNIT_ASSERT(encodeReply(ControlReply(reply)).size() / 80 <= 125);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlCodecTest);

} // namespace

} // namespace Geraniumsail
