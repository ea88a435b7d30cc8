// Tests of routing: a fault here sends work to upstreams that are gone, leaving, cold or overloaded.
#include "core/router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

namespace Geraniumsail {

namespace {

const MonotonicTime Begin(std::chrono::seconds(100));
const KindName Search("search");

RouteTarget memberAt(const std::string &name, const std::string &region, const std::string &dataCentre)
{
    RouteTarget target;
    target.node = NodeName(name);
    target.incarnation = Incarnation(1);
    target.epoch = TicketEpoch(1);
    target.region = RegionName(region);
    target.dataCentre = DataCentreName(dataCentre);
    return target;
}

/// A router in data centre dar-1 with its random source and link budget.
class Bench
{
public:
    explicit Bench(std::vector<RouteTarget> list) : members(std::move(list))
    {
        links.setPolicy({LinkPolicy{RegionName("dar"), RegionName("arusha"), ByteCount(10'000)}}, 1, Begin);
        router.setMembers(members, Begin);
    }

    RouteResult pick(MonotonicTime now = Begin)
    {
        return router.pick(query, links, now, random);
    }

    std::string pickName(MonotonicTime now = Begin)
    {
        const auto result = pick(now);
        return result.target ? result.target->node.value() : std::string();
    }

    std::map<std::string, int> histogram(int count, MonotonicTime now = Begin)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            ++counts[pickName(now)];
        }
        return counts;
    }

    void answer(const std::string &name, const LoadReport &load, const Threshold &threshold = {},
                std::optional<ErrorKind> reason = std::nullopt, MonotonicTime now = Begin)
    {
        router.onSent(NodeName(name), now);
        router.onAnswer(NodeName(name), Search, reason, load, threshold, now);
    }

    void fail(const std::string &name, ErrorKind kind, int times, MonotonicTime now = Begin)
    {
        for (int i = 0; i < times; ++i) {
            router.onSent(NodeName(name), now);
            router.onFailure(NodeName(name), kind, now);
        }
    }

    std::vector<RouteTarget> members;
    Router router{RegionName("dar"), DataCentreName("dar-1")};
    LinkBudgets links{RegionName("dar")};
    Random random{7};
    RouteQuery query{Priority{Rank(5), AdmissionScore(100)}, Search, Share(0.0), ByteCount(0), true, true, {}};
};

std::vector<RouteTarget> flatMembers(int count)
{
    std::vector<RouteTarget> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.push_back(memberAt("n" + std::to_string(i), "dar", "dar-1"));
    }
    return members;
}

constexpr Threshold Strict{Priority{Rank(2), AdmissionScore(0)}};

class RouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(spreadsOverEqualMembers);
    CPPUNIT_TEST(prefersTheLessLoaded);
    CPPUNIT_TEST(ownCallsCountBeforeAnyReport);
    CPPUNIT_TEST(oldReportsAreIgnored);
    CPPUNIT_TEST(coldMembersGetFewCalls);
    CPPUNIT_TEST(leavingAndDrainingMembersAreNeverPicked);
    CPPUNIT_TEST(ejectsAfterFiveFailuresAndProbesOnce);
    CPPUNIT_TEST(ejectionTimeDoublesUpToTheBound);
    CPPUNIT_TEST(abandonedProbeFreesTheMember);
    CPPUNIT_TEST(slownessOfAllEjectsAtMostHalf);
    CPPUNIT_TEST(restartClearsTheEjection);
    CPPUNIT_TEST(retryPrefersAnotherMember);
    CPPUNIT_TEST(spillsOverOnlyWhenNearerMembersRefuse);
    CPPUNIT_TEST(linkBudgetBoundsSpillover);
    CPPUNIT_TEST(earlyRefusalLetsOneInTwentyThrough);
    CPPUNIT_TEST(declaredSharesAreExemptUntilRefused);
    CPPUNIT_TEST(thresholdCountsForItsKindOnly);
    CPPUNIT_TEST(twoHundredMembersAreAllUsed);
    CPPUNIT_TEST(linkBudgetRefillsAndKeepsDebt);
    CPPUNIT_TEST_SUITE_END();

public:
    void spreadsOverEqualMembers()
    {
        // Guards against a choice that favours the first member.
        Bench bench(flatMembers(4));
        for (const auto &[name, count] : bench.histogram(4000)) {
            CPPUNIT_ASSERT_MESSAGE(name, count > 700 && count < 1300);
        }
    }

    void prefersTheLessLoaded()
    {
        // Guards against random choice that ignores load, and against a comparison without the limit.
        Bench bench(flatMembers(2));
        bench.answer("n0", LoadReport{40, 10, 50});
        bench.answer("n1", LoadReport{10, 0, 50});
        CPPUNIT_ASSERT_EQUAL(100, bench.histogram(100)["n1"]);
        bench.answer("n0", LoadReport{9, 0, 100});
        bench.answer("n1", LoadReport{9, 0, 10});
        CPPUNIT_ASSERT_EQUAL(100, bench.histogram(100)["n0"]);
    }

    void ownCallsCountBeforeAnyReport()
    {
        // Guards against a burst that all goes to one member before its first answer.
        Bench bench(flatMembers(2));
        for (int i = 0; i < 100; ++i) {
            bench.router.onSent(NodeName(bench.pickName()), Begin);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(50), bench.router.inFlight(NodeName("n0")));
        bench.router.onAbandoned(NodeName("n0"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(49), bench.router.inFlight(NodeName("n0")));
    }

    void oldReportsAreIgnored()
    {
        // Guards against a member that is avoided for ever because it was busy once.
        Bench bench(flatMembers(2));
        bench.answer("n0", LoadReport{50, 50, 50}, Strict);
        CPPUNIT_ASSERT_EQUAL(0, bench.histogram(100)["n0"]);
        CPPUNIT_ASSERT(bench.histogram(100, Begin + ReportLifetime)["n0"] > 0);
    }

    void coldMembersGetFewCalls()
    {
        // Guards against a flood onto a member that has just started, and against a ramp that never ends.
        auto members = flatMembers(4);
        Bench bench(members);
        members[0].coldStart = std::chrono::seconds(10);
        members[0].incarnation = Incarnation(2);
        bench.router.setMembers(members, Begin);
        const auto cold = bench.histogram(4000)["n0"];
        const auto half = bench.histogram(4000, Begin + std::chrono::seconds(5))["n0"];
        const auto warm = bench.histogram(4000, Begin + std::chrono::seconds(10))["n0"];
        CPPUNIT_ASSERT(cold < 150);
        CPPUNIT_ASSERT(half > 300 && half < 800);
        CPPUNIT_ASSERT(warm > 700);
    }

    void leavingAndDrainingMembersAreNeverPicked()
    {
        // Guards against new work on an upstream that is leaving (I6), also as a probe or as the last choice.
        auto members = flatMembers(3);
        members[0].usable = false;
        Bench bench(members);
        bench.answer("n1", LoadReport{}, Threshold{}, ErrorKind::Draining);
        CPPUNIT_ASSERT_EQUAL(200, bench.histogram(200)["n2"]);
        bench.fail("n2", ErrorKind::ConnectFailed, 5);
        CPPUNIT_ASSERT(bench.pick().refusal == ErrorKind::NoUpstream);
        CPPUNIT_ASSERT_EQUAL(std::string(), bench.pickName());
        bench.query.mayProbe = false;
        CPPUNIT_ASSERT_EQUAL(100, bench.histogram(100, Begin + DrainingMemory)["n1"]);
    }

    void ejectsAfterFiveFailuresAndProbesOnce()
    {
        // Guards against calls that keep failing on a dead member, and against a crowd of probes.
        Bench bench(flatMembers(3));
        bench.fail("n0", ErrorKind::ConnectionLost, 4);
        bench.answer("n0", LoadReport{});
        bench.fail("n0", ErrorKind::ConnectionLost, 4);
        CPPUNIT_ASSERT(bench.histogram(100)["n0"] > 0);
        bench.fail("n0", ErrorKind::ConnectionLost, 1);
        CPPUNIT_ASSERT_EQUAL(0, bench.histogram(100)["n0"]);
        const auto later = Begin + FirstEjection;
        CPPUNIT_ASSERT_EQUAL(std::string("n0"), bench.pickName(later));
        bench.router.onSent(NodeName("n0"), later);
        CPPUNIT_ASSERT_EQUAL(0, bench.histogram(100, later)["n0"]);
        bench.router.onAnswer(NodeName("n0"), Search, std::nullopt, std::nullopt, std::nullopt, later);
        CPPUNIT_ASSERT(bench.histogram(100, later)["n0"] > 0);
        // Work that may not be repeated does not test ejected members.
        bench.fail("n0", ErrorKind::ConnectionLost, 5, later);
        bench.query.mayProbe = false;
        CPPUNIT_ASSERT_EQUAL(0, bench.histogram(100, later + FirstEjection)["n0"]);
    }

    void ejectionTimeDoublesUpToTheBound()
    {
        // Guards against a dead member that is probed every second for ever, or never again.
        Bench bench(flatMembers(3));
        bench.fail("n0", ErrorKind::ConnectFailed, 5);
        auto now = Begin;
        auto wait = FirstEjection;
        for (int i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT_EQUAL(0, bench.histogram(50, now + wait - Duration(1))["n0"]);
            now += wait;
            CPPUNIT_ASSERT_EQUAL(std::string("n0"), bench.pickName(now));
            bench.fail("n0", ErrorKind::ConnectFailed, 1, now);
            wait = std::min(wait * 2, LongestEjection);
        }
    }

    void abandonedProbeFreesTheMember()
    {
        // Guards against a member that stays ejected because the caller of its probe went away.
        Bench bench(flatMembers(3));
        bench.fail("n0", ErrorKind::ConnectFailed, 5);
        const auto later = Begin + FirstEjection;
        bench.router.onSent(NodeName("n0"), later);
        bench.router.onAbandoned(NodeName("n0"));
        CPPUNIT_ASSERT_EQUAL(std::string("n0"), bench.pickName(later));
    }

    void slownessOfAllEjectsAtMostHalf()
    {
        // Guards against an outage that is made by ejecting every member of a slow service.
        Bench bench(flatMembers(4));
        for (const auto *name : {"n0", "n1", "n2", "n3"}) {
            bench.fail(name, ErrorKind::TimedOut, 20);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), bench.router.ejectedCount());
        CPPUNIT_ASSERT(bench.pick().target.has_value());
    }

    void restartClearsTheEjection()
    {
        // Guards against a replaced upstream that inherits the ejection of its predecessor.
        auto members = flatMembers(2);
        Bench bench(members);
        bench.fail("n0", ErrorKind::ConnectFailed, 5);
        bench.router.setMembers(members, Begin);
        CPPUNIT_ASSERT_EQUAL(0, bench.histogram(50)["n0"]);
        members[0].incarnation = Incarnation(2);
        bench.router.setMembers(members, Begin);
        CPPUNIT_ASSERT(bench.histogram(50)["n0"] > 0);
    }

    void retryPrefersAnotherMember()
    {
        // Guards against a retry at the member that has just failed.
        Bench bench(flatMembers(3));
        bench.query.avoid = {NodeName("n0"), NodeName("n2")};
        CPPUNIT_ASSERT_EQUAL(100, bench.histogram(100)["n1"]);
        bench.query.avoid = {NodeName("n0"), NodeName("n1"), NodeName("n2")};
        CPPUNIT_ASSERT(bench.pick().target.has_value());
    }

    void spillsOverOnlyWhenNearerMembersRefuse()
    {
        // Guards against traffic that leaves its data centre or region without need.
        auto members = flatMembers(2);
        members.push_back(memberAt("near", "dar", "dar-2"));
        members.push_back(memberAt("far", "arusha", "arusha-1"));
        Bench bench(members);
        CPPUNIT_ASSERT_EQUAL(0, bench.histogram(200)["near"]);
        bench.fail("n0", ErrorKind::ConnectFailed, 5);
        CPPUNIT_ASSERT_EQUAL(200, bench.histogram(200)["n1"]);
        bench.answer("n1", LoadReport{50, 50, 50}, Strict);
        CPPUNIT_ASSERT_EQUAL(200, bench.histogram(200)["near"]);
        bench.answer("near", LoadReport{50, 50, 50}, Strict);
        CPPUNIT_ASSERT_EQUAL(200, bench.histogram(200)["far"]);
        // Urgent work passes the nearer thresholds and stays.
        bench.query.priority = Priority{Rank(0), AdmissionScore(0)};
        CPPUNIT_ASSERT_EQUAL(200, bench.histogram(200)["n1"]);
    }

    void linkBudgetBoundsSpillover()
    {
        // Guards against a paid link that is filled by spillover.
        Bench bench({memberAt("far", "arusha", "arusha-1"), memberAt("further", "unlinked", "unlinked-1")});
        bench.query.size = ByteCount(1000);
        int sent = 0;
        for (int i = 0; i < 100; ++i) {
            sent += bench.pickName() == "far" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(10, sent);
        CPPUNIT_ASSERT(bench.pick().refusal == ErrorKind::LinkBudget);
        CPPUNIT_ASSERT_EQUAL(std::string(), bench.pickName());
    }

    void earlyRefusalLetsOneInTwentyThrough()
    {
        // Guards against refused work that still costs a hop, and against a threshold that is never tested again.
        Bench bench(flatMembers(3));
        for (const auto *name : {"n0", "n1", "n2"}) {
            bench.answer(name, LoadReport{50, 50, 50}, Strict);
        }
        int probes = 0;
        for (int i = 0; i < 4000; ++i) {
            const auto result = bench.pick();
            probes += result.target ? 1 : 0;
            CPPUNIT_ASSERT(result.target || result.refusal == ErrorKind::EarlyRefusal);
        }
        CPPUNIT_ASSERT(probes > 140 && probes < 260);
        bench.query.earlyRefusal = false;
        CPPUNIT_ASSERT(bench.pick().target.has_value());
    }

    void declaredSharesAreExemptUntilRefused()
    {
        // Guards against a flood of urgent work whose threshold starves kinds with a declared share.
        Bench bench(flatMembers(1));
        bench.query.share = Share(0.2);
        bench.answer("n0", LoadReport{50, 0, 50}, Strict);
        CPPUNIT_ASSERT_EQUAL(100, bench.histogram(100)["n0"]);
        bench.answer("n0", LoadReport{50, 0, 50}, Strict, ErrorKind::Overloaded);
        CPPUNIT_ASSERT(bench.histogram(100)["n0"] < 20);
        CPPUNIT_ASSERT_EQUAL(100, bench.histogram(100, Begin + RefusalMemory)["n0"]);
    }

    void thresholdCountsForItsKindOnly()
    {
        // Guards against the threshold of one kind that refuses another kind within its own share.
        Bench bench(flatMembers(1));
        bench.answer("n0", LoadReport{50, 0, 50}, Strict);
        CPPUNIT_ASSERT(bench.histogram(100)["n0"] < 20);
        bench.query.kind = KindName("other");
        CPPUNIT_ASSERT_EQUAL(100, bench.histogram(100)["n0"]);
    }

    void twoHundredMembersAreAllUsed()
    {
        // Guards against a choice that does not scale with the number of members.
        Bench bench(flatMembers(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(200), bench.histogram(4000).size());
    }

    void linkBudgetRefillsAndKeepsDebt()
    {
        // Guards against a large body that never passes, and against bytes that are not paid for.
        LinkBudget budget(ByteCount(1000), Begin);
        CPPUNIT_ASSERT(budget.take(ByteCount(3000), Begin));
        CPPUNIT_ASSERT(!budget.take(ByteCount(1), Begin + std::chrono::seconds(2)));
        CPPUNIT_ASSERT(budget.take(ByteCount(11), Begin + std::chrono::seconds(2) + std::chrono::milliseconds(10)));
        CPPUNIT_ASSERT(!budget.available(Begin));
        budget.charge(ByteCount(1000), Begin + std::chrono::seconds(10));
        CPPUNIT_ASSERT(!budget.available(Begin + std::chrono::seconds(10)));
        LinkBudget none(ByteCount(0), Begin);
        CPPUNIT_ASSERT(!none.take(ByteCount(1), Begin + std::chrono::hours(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace

} // namespace Geraniumsail
