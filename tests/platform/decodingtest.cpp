// Tests the decoders of the platform adapter: values, configuration, reports of the upstream and settings.
#include "config/jsonfields.h"
#include "platform/announcements.h"
#include "platform/configuration.h"
#include "platform/settings.h"
#include "platform/values.h"

#include "core/random.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail::Platform {

namespace {

constexpr const char *Configuration = R"({"version":"r7","base_version":"r5",
"services":[{"name":"s1","health_path":"/health","max_connections":424,"protocol":"h1","tls":false},
            {"name":"s2","health_path":"/health","max_connections":202,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"host":"a.example","path_rules":[
  {"name":"r1","prefix":"/x/","route_type":"unsafe","timeout":"1500ms","target_latency":"4000ms","priority":2,
   "service":"s1","max_attempts":2},
  {"name":"r2","prefix":"/y/","route_type":"download","timeout":"2.5s","target_latency":"600ms","priority":1,
   "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2}]}]})";

std::string replaced(std::string text, const std::string &what, const std::string &by)
{
    const auto at = text.find(what);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, what.size(), by);
}

/// December 2026.
constexpr WallTime Now(std::chrono::seconds(1796000000));

Announcement decode(const HttpRequestMessage &message)
{
    return decodeAnnouncement(message, Now);
}

HttpRequestMessage call(const std::string &target, const std::string &body)
{
    auto request = makeRequest(boost::beast::http::verb::post, target, "node", body);
    return request.message;
}

class DecodingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecodingTest);
    CPPUNIT_TEST(durationsAndVersions);
    CPPUNIT_TEST(base64RoundTrip);
    CPPUNIT_TEST(validConfiguration);
    CPPUNIT_TEST(uploadRouteIsAtMostOnce);
    CPPUNIT_TEST(invalidConfigurationIsRejected);
    CPPUNIT_TEST(heartbeat);
    CPPUNIT_TEST(malformedHeartbeatsAreRejected);
    CPPUNIT_TEST(hostileHeartbeatsAreRejected);
    CPPUNIT_TEST(settings);
    CPPUNIT_TEST_SUITE_END();

public:
    void durationsAndVersions()
    {
        CPPUNIT_ASSERT(parseDuration("1500ms") == Duration(1500000));
        CPPUNIT_ASSERT(parseDuration("2.5s") == Duration(2500000));
        for (const auto *bad : {"", "5", "ms", "-1s", "1m", "1 s", "nan s", "999999999s"}) {
            CPPUNIT_ASSERT(!parseDuration(bad));
        }
        CPPUNIT_ASSERT(parseVersion("r12") == ConfigVersion(12));
        for (const auto *bad : {"", "r", "12", "r-1", "r0", "r1x"}) {
            CPPUNIT_ASSERT(!parseVersion(bad));
        }
    }

    void base64RoundTrip()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"), encodeBase64("node-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("YQ=="), encodeBase64("a"));
        Random random(4);
        for (std::size_t size = 0; size < 200; ++size) {
            std::string bytes(size, '\0');
            for (auto &byte : bytes) {
                byte = static_cast<char>(random());
            }
            const auto text = encodeBase64(bytes);
            CPPUNIT_ASSERT(text.size() == (size + 2) / 3 * 4);
            CPPUNIT_ASSERT(decodeBase64(text) == bytes);
        }
        for (const auto *bad : {"a", "abc", "a===", "ab*=", "!"}) {
            CPPUNIT_ASSERT(!decodeBase64(bad));
        }
    }

    void validConfiguration()
    {
        const auto document = decodeConfiguration(Configuration);
        CPPUNIT_ASSERT_EQUAL(std::string(), document.problem);
        const auto &table = *document.table;
        CPPUNIT_ASSERT(table.version() == ConfigVersion(7));
        const auto *unsafeRoute = table.match("a.example", "/x/1");
        CPPUNIT_ASSERT(unsafeRoute != nullptr && unsafeRoute->repeatability == Repeatability::AtMostOnce);
        CPPUNIT_ASSERT(unsafeRoute->timeout == std::chrono::milliseconds(1500) && unsafeRoute->rank == Rank(2));
        const auto *downloadRoute = table.match("a.example", "/y/1");
        CPPUNIT_ASSERT(downloadRoute != nullptr && downloadRoute->repeatability == Repeatability::Idempotent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), downloadRoute->destinations.size());
        CPPUNIT_ASSERT(table.service(ServiceName("s2"))->maxConnections == Connections(202));
    }

    // Guards against a route type that is unknown to the node, which makes the whole configuration invalid, and against
    // uploads that are run twice.
    void uploadRouteIsAtMostOnce()
    {
        const auto document = decodeConfiguration(replaced(Configuration, "\"download\"", "\"upload\""));
        CPPUNIT_ASSERT_EQUAL(std::string(), document.problem);
        const auto *uploadRoute = document.table->match("a.example", "/y/1");
        CPPUNIT_ASSERT(uploadRoute != nullptr && uploadRoute->repeatability == Repeatability::AtMostOnce);
    }

    // Guards against a configuration that takes effect in part.
    void invalidConfigurationIsRejected()
    {
        const std::string text = Configuration;
        CPPUNIT_ASSERT(!decodeConfiguration(text.substr(0, text.size() / 2)).table);
        for (const auto &[what, by] :
             std::vector<std::pair<std::string, std::string>>{{"\"version\":\"r7\"", "\"version\":7"},
                                                              {"\"service\":\"s1\",\"max", "\"service\":\"s9\",\"max"},
                                                              {"\"unsafe\"", "\"odd\""},
                                                              {"\"weight\":90", "\"weight\":-1"},
                                                              {",\"weight\":10", ""},
                                                              {"\"timeout\":\"1500ms\",", ""},
                                                              {"\"/y/\"", "\"y\""},
                                                              {"\"max_attempts\":2}]", "\"max_attempts\":0}]"}}) {
            const auto document = decodeConfiguration(replaced(text, what, by));
            CPPUNIT_ASSERT_MESSAGE(what, !document.table);
            CPPUNIT_ASSERT(!document.problem.empty());
        }
    }

    void heartbeat()
    {
        const auto decoded = decode(
            call("/rpc?call=instances.heartbeat&of=i-7",
                 R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1","slots":54,"state":"draining",
                 "cold_remaining":"1.5s","sequence":4,"born":1700000000123})"));
        const auto &report = std::get<UpstreamReport>(decoded);
        CPPUNIT_ASSERT(report.id == UpstreamId("i-7") && report.phase == UpstreamPhase::Draining);
        CPPUNIT_ASSERT(report.slots == Slots(54) && report.sequence == 4);
        CPPUNIT_ASSERT(report.startedMs == 1700000000123);
        CPPUNIT_ASSERT(report.coldRemaining == std::chrono::milliseconds(1500));
        const auto deregistration = decode(call("/rpc?call=instances.deregister&of=i-7", "{\"born\":5}"));
        CPPUNIT_ASSERT(std::get<DeregistrationReport>(deregistration).startedMs == 5);
        CPPUNIT_ASSERT(
            std::holds_alternative<DeregistrationReport>(decode(call("/rpc?call=instances.deregister&of=i-7", ""))));
    }

    // Guards against a malformed heartbeat of another sender that makes the node use a wrong upstream.
    void malformedHeartbeatsAreRejected()
    {
        const std::string good =
            R"({"service":"s1","address":"10.0.0.9:80","slots":54,"state":"ready","sequence":4,"born":1})";
        const std::string target = "/rpc?call=instances.heartbeat&of=i-7";
        CPPUNIT_ASSERT(std::holds_alternative<UpstreamReport>(decode(call(target, good))));
        for (const auto &body :
             {std::string("{"), std::string("[]"), std::string("\xff\xfe"), replaced(good, "54", "\"54\""),
              replaced(good, "54", "0"), replaced(good, "54", "-3"), replaced(good, "\"ready\"", "\"idle\""),
              replaced(good, "\"sequence\":4,", ""), replaced(good, "\"10.0.0.9:80\"", "7")}) {
            CPPUNIT_ASSERT(std::holds_alternative<InvalidReport>(decode(call(target, body))));
        }
        CPPUNIT_ASSERT(std::holds_alternative<InvalidReport>(decode(call("/rpc?call=instances.heartbeat", good))));
        CPPUNIT_ASSERT(std::holds_alternative<InvalidReport>(decode(call("/other", good))));
    }

    // Guards against a heartbeat of another sender that has the form of a good one, but values that no upstream has:
    // one accepted start time or sequence number in the far future would make all later heartbeats of the upstream
    // stale, and an id with separators cannot be passed on to other nodes.
    void hostileHeartbeatsAreRejected()
    {
        const std::string good =
            R"({"service":"s1","address":"10.0.0.9:80","slots":54,"state":"ready","sequence":4,"born":1700000000123})";
        const std::string target = "/rpc?call=instances.heartbeat&of=i-7";
        CPPUNIT_ASSERT(std::holds_alternative<UpstreamReport>(decode(call(target, good))));
        const std::string nested = std::string(30000, '[') + std::string(30000, ']');
        for (const auto &body :
             {replaced(good, "10.0.0.9:80", "10.0.0.9:65536"), replaced(good, "10.0.0.9:80", "10.0.0.9:0"),
              replaced(good, "10.0.0.9:80", "nowhere"), replaced(good, "1700000000123", "9223372036854775807"),
              replaced(good, "1700000000123", "1796003601000"), replaced(good, "1700000000123", "1e30"),
              replaced(good, "1700000000123", "-5"),
              replaced(good, "\"sequence\":4", "\"sequence\":18446744073709551615"),
              replaced(good, "\"sequence\":4", "\"sequence\":1e400"), replaced(good, "54", "1e10"),
              replaced(good, "54", nested), nested}) {
            CPPUNIT_ASSERT(std::holds_alternative<InvalidReport>(decode(call(target, body))));
        }
        for (const auto *id : {"a;b", "a%0d", "\xff\xfe", "a/b"}) {
            for (const std::string method : {"heartbeat", "deregister"}) {
                const auto odd = "/rpc?call=instances." + method + "&of=" + id;
                CPPUNIT_ASSERT(std::holds_alternative<InvalidReport>(decode(call(odd, good))));
            }
        }
    }

    // Guards against a node that starts with misread settings.
    void settings()
    {
        const std::string text = R"({"node":"n1","region":"west-sea","dataCentre":"incheon-quay","service":"s1",
            "upstream":"10.0.0.1:8301","store":"10.0.0.2:8309","listen":{"caller":"10.0.0.1:1","peer":"10.0.0.1:2",
            "ready":"10.0.0.1:3","announce":"10.0.0.1:4","metrics":"10.0.0.1:5"},"stopGrace":"4s","retryRatio":0.1,
            "minLeaseTime":"1000ms"})";
        Problems problems;
        const auto read = parseSettings(text, "f", problems);
        CPPUNIT_ASSERT(read && problems.empty());
        CPPUNIT_ASSERT(read->stopGrace == std::chrono::seconds(4));
        CPPUNIT_ASSERT(read->peerListen == Address("10.0.0.1:2"));
        for (const auto &[what, by] : std::vector<std::pair<std::string, std::string>>{{"\"4s\"", "\"4\""},
                                                                                       {"\"4s\"", "4"},
                                                                                       {"0.1", "7"},
                                                                                       {"\"n1\"", "1"},
                                                                                       {"10.0.0.1:8301", "nowhere"},
                                                                                       {"\"service\"", "\"servis\""}}) {
            Problems found;
            CPPUNIT_ASSERT(!parseSettings(replaced(text, what, by), "f", found));
            CPPUNIT_ASSERT(!found.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodingTest);

} // namespace

} // namespace Geraniumsail::Platform
