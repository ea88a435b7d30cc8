// Tests of the control task over real sockets: the wiring between core, JSON-RPC, HTTP and store.
#include "node/controltask.h"
#include "net/loop.h"
#include "rpc/jsonrpc.h"
#include "standin/storeserver.h"

#include "config/document.h"
#include "config/manifest.h"
#include "core/publisher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Geraniumsail {

namespace {

const std::string BerthsText =
    R"({"service":"berths","limits":{"slots":50,"connections":400,"queue":200,"targetQueueMs":20},)"
    R"("retry":{"ratio":0.1,"backoffMs":10,"backoffCapMs":200},"kinds":[{"name":"read","rank":5,"share":0.3,)"
    R"("repeatable":true,"essential":false,"longRunning":false,"timeoutMs":1000,"retries":1}]})";

class TestControl
{
public:
    TestControl(Loop &loop, const std::string &name, const std::vector<Address> &seeds, std::optional<Address> store,
                const std::string &allow = "127.0.0.0/8")
    {
        NodeSettings settings;
        settings.name = NodeName(name);
        settings.region = RegionName("west-sea");
        settings.dataCentre = DataCentreName("west-1");
        settings.listen.control = Address("127.0.0.1:0");
        settings.controlAllow.push_back(*AddressRange::parse(allow));
        settings.seeds = seeds;
        settings.store = std::move(store);
        ControlTask::Sinks sinks;
        sinks.members = [this](const ServiceName &service, std::vector<RouteTarget> list) {
            members[service] = std::move(list);
        };
        sinks.policy = [this](ServicePolicy policy) {
            policies[policy.service] = std::move(policy);
        };
        sinks.links = [](const std::vector<LinkPolicy> &, std::size_t) {
        };
        Random random(std::hash<std::string>()(name));
        task = std::make_unique<ControlTask>(loop.context.get_executor(), settings, makeIncarnation(wallNow(), random),
                                             random(), sinks);
        address = task->listen();
        task->start(Address("127.0.0.1:9"));
    }

    std::unique_ptr<ControlTask> task;
    Address address;
    std::map<ServiceName, std::vector<RouteTarget>> members;
    std::map<ServiceName, ServicePolicy> policies;
};

class ControlTaskTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlTaskTest);
    CPPUNIT_TEST(targetsReachOtherNodesAndGo);
    CPPUNIT_TEST(publishedPolicyReachesNodesWithoutStore);
    CPPUNIT_TEST(malformedRequestsAreRefusedAndCounted);
    CPPUNIT_TEST(foreignSendersAreRefused);
    CPPUNIT_TEST(storeOutageDoesNotStopTheTask);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against members that membership knows but the router does not, and against a left member that stays.
    void targetsReachOtherNodesAndGo()
    {
        Loop loop;
        TestControl first(loop, "a", {}, std::nullopt);
        TestControl second(loop, "b", {first.address}, std::nullopt);
        const ServiceName berths("berths");
        second.task->setUpstream(MemberState::Alive, berths, Slots(7), std::chrono::milliseconds(250));
        loop.runUntil([&] { return first.members[berths].size() == 1; });
        CPPUNIT_ASSERT(first.members[berths][0].usable);
        CPPUNIT_ASSERT(first.members[berths][0].control == second.address);
        CPPUNIT_ASSERT(first.members[berths][0].coldStart == std::chrono::milliseconds(250));
        CPPUNIT_ASSERT(second.members[berths].empty());
        second.task->setUpstream(MemberState::Leaving, berths, Slots(7), std::chrono::milliseconds(250));
        loop.runUntil([&] { return !first.members[berths][0].usable; });
        loop.run(second.task->leave());
        loop.runUntil([&] { return first.members[berths].empty(); });
        CPPUNIT_ASSERT(first.task->counters().bytesSent > 0 && first.task->counters().bytesReceived > 0);
        loop.run(first.task->leave());
    }

    // Guards against a node that only learns configuration from the store (I8 with a cut store).
    void publishedPolicyReachesNodesWithoutStore()
    {
        Loop loop;
        Standin::StoreServer store(loop.context.get_executor());
        const Address storeAddress = store.listen(Address("127.0.0.1:0"));
        StoreClient client(loop.context.get_executor(), storeAddress);
        Publication publication("p-1", {{DocumentName("berths"), BerthsText, ConfigVersion(0)}}, manifestCodec(), {});
        loop.run([&]() -> boost::asio::awaitable<void> {
            while (auto call = publication.next(wallNow())) {
                const auto result = co_await client.call(std::move(*call));
                publication.onResult(result);
            }
        }());
        CPPUNIT_ASSERT(publication.result().outcome == PublicationOutcome::Accepted);
        TestControl first(loop, "a", {}, storeAddress);
        TestControl second(loop, "b", {first.address}, std::nullopt);
        loop.runUntil([&] { return second.policies.count(ServiceName("berths")) > 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.policies.at(ServiceName("berths")).kinds.size());
        CPPUNIT_ASSERT(first.task->storeCounters().calls > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), second.task->storeCounters().calls);
        loop.run(second.task->leave());
        loop.run(first.task->leave());
        store.stop();
    }

    // Guards against unknown methods and fields that pass silently.
    void malformedRequestsAreRefusedAndCounted()
    {
        Loop loop;
        TestControl control(loop, "a", {}, std::nullopt);
        for (const std::string &body :
             {encodeRequest("sync", R"({"v":2})"), encodeRequest("fetchMembers", R"({"v":1,"x":1})"),
              encodeRequest("indirectProbe", R"({"v":1})"), encodeRequest("other", "{}"), std::string("garbage")}) {
            const std::string answer = post(loop, control.address, body);
            CPPUNIT_ASSERT_THROW_MESSAGE(answer, decodeResponse(answer), RpcError);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), control.task->counters().requestsRefused);
        CPPUNIT_ASSERT_NO_THROW(decodeResponse(post(loop, control.address, encodeRequest("status", "{}"))));
        loop.run(control.task->leave());
    }

    void foreignSendersAreRefused()
    {
        Loop loop;
        TestControl control(loop, "a", {}, std::nullopt, "10.0.0.0/8");
        post(loop, control.address, encodeRequest("status", "{}"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), control.task->counters().sendersRefused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), control.task->counters().requestsReceived);
        loop.run(control.task->leave());
    }

    // Guards against a task that stops its exchanges while the store does not answer.
    void storeOutageDoesNotStopTheTask()
    {
        Loop loop;
        const RawListener closed(loop.context);
        TestControl first(loop, "a", {}, closed.address());
        TestControl second(loop, "b", {first.address}, closed.address());
        const ServiceName berths("berths");
        second.task->setUpstream(MemberState::Alive, berths, Slots(7), Duration(0));
        loop.runUntil([&] { return first.members[berths].size() == 1 && first.task->storeCounters().failures > 0; });
        loop.run(second.task->leave());
        loop.run(first.task->leave());
    }

private:
    static std::string post(Loop &loop, const Address &address, const std::string &body)
    {
        HttpClient client(loop.context.get_executor(), {});
        std::string answer;
        loop.run([&]() -> boost::asio::awaitable<void> {
            auto request = makeRequest(boost::beast::http::verb::post, "/", address.value(), body);
            auto result =
                co_await client.send(address, std::move(request), {monotonicNow() + std::chrono::seconds(5), nullptr});
            CPPUNIT_ASSERT(result.has_value());
            answer = result->message.body();
        }());
        return answer;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTaskTest);

} // namespace

} // namespace Geraniumsail
