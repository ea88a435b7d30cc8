// Tests that the router does not send work to upstreams that are gone, leaving, cold or overloaded.
#include "core/router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

namespace Geraniumsail {

namespace {

const MonotonicTime StartTime(std::chrono::seconds(100));
const KindName SearchKind("search");

RouteTarget makeMember(const std::string &name, const std::string &region, const std::string &dataCentre)
{
    RouteTarget target;
    target.node = NodeName(name);
    target.incarnation = Incarnation(1);
    target.epoch = TicketEpoch(1);
    target.region = RegionName(region);
    target.dataCentre = DataCentreName(dataCentre);
    return target;
}

/// A router in data centre dar-1 with its random number generator and link budget.
class RouterFixture
{
public:
    explicit RouterFixture(std::vector<RouteTarget> list) : members(std::move(list))
    {
        links.setPolicy({LinkPolicy{RegionName("dar"), RegionName("arusha"), ByteCount(10'000)}}, 1, StartTime);
        router.setMembers(members, StartTime);
    }

    RouteResult pick(MonotonicTime now = StartTime)
    {
        return router.pick(query, links, now, random);
    }

    std::string pickName(MonotonicTime now = StartTime)
    {
        const auto result = pick(now);
        return result.target ? result.target->node.value() : std::string();
    }

    std::map<std::string, int> pickCounts(int count, MonotonicTime now = StartTime)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            ++counts[pickName(now)];
        }
        return counts;
    }

    void recordAnswer(const std::string &name, const LoadReport &load, const Threshold &threshold = {},
                      std::optional<ErrorKind> reason = std::nullopt, MonotonicTime now = StartTime)
    {
        router.onSent(NodeName(name), now);
        router.onAnswer(NodeName(name), SearchKind, reason, load, threshold, now);
    }

    void recordFailures(const std::string &name, ErrorKind kind, int times, MonotonicTime now = StartTime)
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
    RouteQuery query{Priority{Rank(5), AdmissionScore(100)}, SearchKind, Share(0.0), ByteCount(0), true, true, {}};
};

std::vector<RouteTarget> makeLocalMembers(int count)
{
    std::vector<RouteTarget> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.push_back(makeMember("n" + std::to_string(i), "dar", "dar-1"));
    }
    return members;
}

constexpr Threshold StrictThreshold{Priority{Rank(2), AdmissionScore(0)}};

class RouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(spreadsOverEqualMembers);
    CPPUNIT_TEST(prefersTheLessLoadedMember);
    CPPUNIT_TEST(ownCallsCountBeforeAnyReport);
    CPPUNIT_TEST(expiredReportsAreIgnored);
    CPPUNIT_TEST(coldMembersGetFewCalls);
    CPPUNIT_TEST(leavingAndDrainingMembersAreNeverPicked);
    CPPUNIT_TEST(ejectsAfterFiveFailuresAndProbesOnce);
    CPPUNIT_TEST(ejectionTimeDoublesUpToTheMaximum);
    CPPUNIT_TEST(cancelledProbeAllowsAnotherProbe);
    CPPUNIT_TEST(timeoutsEjectAtMostHalfOfTheMembers);
    CPPUNIT_TEST(restartClearsTheEjection);
    CPPUNIT_TEST(retryPrefersAnotherMember);
    CPPUNIT_TEST(spillsOverOnlyWhenNearerMembersRefuse);
    CPPUNIT_TEST(linkBudgetLimitsSpillover);
    CPPUNIT_TEST(earlyRefusalLetsOneInTwentyThrough);
    CPPUNIT_TEST(declaredSharesAreExemptUntilRefused);
    CPPUNIT_TEST(thresholdAppliesToItsKindOnly);
    CPPUNIT_TEST(twoHundredMembersAreAllUsed);
    CPPUNIT_TEST(linkBudgetRefillsAndKeepsNegativeBalance);
    CPPUNIT_TEST_SUITE_END();

public:
    void spreadsOverEqualMembers()
    {
        // Guards against a selection that favours the first member.
        RouterFixture fixture(makeLocalMembers(4));
        for (const auto &[name, count] : fixture.pickCounts(4000)) {
            CPPUNIT_ASSERT_MESSAGE(name, count > 700 && count < 1300);
        }
    }

    void prefersTheLessLoadedMember()
    {
        // Guards against a selection that ignores load or compares load without the concurrency limit.
        RouterFixture fixture(makeLocalMembers(2));
        fixture.recordAnswer("n0", LoadReport{40, 10, 50});
        fixture.recordAnswer("n1", LoadReport{10, 0, 50});
        CPPUNIT_ASSERT_EQUAL(100, fixture.pickCounts(100)["n1"]);
        fixture.recordAnswer("n0", LoadReport{9, 0, 100});
        fixture.recordAnswer("n1", LoadReport{9, 0, 10});
        CPPUNIT_ASSERT_EQUAL(100, fixture.pickCounts(100)["n0"]);
    }

    void ownCallsCountBeforeAnyReport()
    {
        // Guards against sending a whole burst to one member before its first load report.
        RouterFixture fixture(makeLocalMembers(2));
        for (int i = 0; i < 100; ++i) {
            fixture.router.onSent(NodeName(fixture.pickName()), StartTime);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(50), fixture.router.inFlight(NodeName("n0")));
        fixture.router.onCancelled(NodeName("n0"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(49), fixture.router.inFlight(NodeName("n0")));
    }

    void expiredReportsAreIgnored()
    {
        // Guards against avoiding a member indefinitely after a single report of high load.
        RouterFixture fixture(makeLocalMembers(2));
        fixture.recordAnswer("n0", LoadReport{50, 50, 50}, StrictThreshold);
        CPPUNIT_ASSERT_EQUAL(0, fixture.pickCounts(100)["n0"]);
        CPPUNIT_ASSERT(fixture.pickCounts(100, StartTime + ReportLifetime)["n0"] > 0);
    }

    void coldMembersGetFewCalls()
    {
        // Guards against overloading a newly started member, and against a warm-up that never ends.
        auto members = makeLocalMembers(4);
        RouterFixture fixture(members);
        members[0].coldStart = std::chrono::seconds(10);
        members[0].incarnation = Incarnation(2);
        fixture.router.setMembers(members, StartTime);
        const auto cold = fixture.pickCounts(4000)["n0"];
        const auto half = fixture.pickCounts(4000, StartTime + std::chrono::seconds(5))["n0"];
        const auto warm = fixture.pickCounts(4000, StartTime + std::chrono::seconds(10))["n0"];
        CPPUNIT_ASSERT(cold < 150);
        CPPUNIT_ASSERT(half > 300 && half < 800);
        CPPUNIT_ASSERT(warm > 700);
    }

    void leavingAndDrainingMembersAreNeverPicked()
    {
        // Guards against sending new work to an upstream that is leaving, even as a probe or as the only candidate.
        auto members = makeLocalMembers(3);
        members[0].usable = false;
        RouterFixture fixture(members);
        fixture.recordAnswer("n1", LoadReport{}, Threshold{}, ErrorKind::Draining);
        CPPUNIT_ASSERT_EQUAL(200, fixture.pickCounts(200)["n2"]);
        fixture.recordFailures("n2", ErrorKind::ConnectFailed, 5);
        CPPUNIT_ASSERT(fixture.pick().refusal == ErrorKind::NoUpstream);
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.pickName());
        fixture.query.mayProbeEjected = false;
        CPPUNIT_ASSERT_EQUAL(100, fixture.pickCounts(100, StartTime + DrainingLifetime)["n1"]);
    }

    void ejectsAfterFiveFailuresAndProbesOnce()
    {
        // Guards against continued calls to a dead member, and against several concurrent probes of it.
        RouterFixture fixture(makeLocalMembers(3));
        fixture.recordFailures("n0", ErrorKind::ConnectionLost, 4);
        fixture.recordAnswer("n0", LoadReport{});
        fixture.recordFailures("n0", ErrorKind::ConnectionLost, 4);
        CPPUNIT_ASSERT(fixture.pickCounts(100)["n0"] > 0);
        fixture.recordFailures("n0", ErrorKind::ConnectionLost, 1);
        CPPUNIT_ASSERT_EQUAL(0, fixture.pickCounts(100)["n0"]);
        const auto later = StartTime + InitialEjectionTime;
        CPPUNIT_ASSERT_EQUAL(std::string("n0"), fixture.pickName(later));
        fixture.router.onSent(NodeName("n0"), later);
        CPPUNIT_ASSERT_EQUAL(0, fixture.pickCounts(100, later)["n0"]);
        fixture.router.onAnswer(NodeName("n0"), SearchKind, std::nullopt, std::nullopt, std::nullopt, later);
        CPPUNIT_ASSERT(fixture.pickCounts(100, later)["n0"] > 0);
        // Unrepeatable work does not probe ejected members.
        fixture.recordFailures("n0", ErrorKind::ConnectionLost, 5, later);
        fixture.query.mayProbeEjected = false;
        CPPUNIT_ASSERT_EQUAL(0, fixture.pickCounts(100, later + InitialEjectionTime)["n0"]);
    }

    void ejectionTimeDoublesUpToTheMaximum()
    {
        // Guards against probing a dead member every second indefinitely, and against never probing it again.
        RouterFixture fixture(makeLocalMembers(3));
        fixture.recordFailures("n0", ErrorKind::ConnectFailed, 5);
        auto now = StartTime;
        auto wait = InitialEjectionTime;
        for (int i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT_EQUAL(0, fixture.pickCounts(50, now + wait - Duration(1))["n0"]);
            now += wait;
            CPPUNIT_ASSERT_EQUAL(std::string("n0"), fixture.pickName(now));
            fixture.recordFailures("n0", ErrorKind::ConnectFailed, 1, now);
            wait = std::min(wait * 2, MaxEjectionTime);
        }
    }

    void cancelledProbeAllowsAnotherProbe()
    {
        // Guards against a member that stays ejected because the caller cancelled its probe.
        RouterFixture fixture(makeLocalMembers(3));
        fixture.recordFailures("n0", ErrorKind::ConnectFailed, 5);
        const auto later = StartTime + InitialEjectionTime;
        fixture.router.onSent(NodeName("n0"), later);
        fixture.router.onCancelled(NodeName("n0"));
        CPPUNIT_ASSERT_EQUAL(std::string("n0"), fixture.pickName(later));
    }

    void timeoutsEjectAtMostHalfOfTheMembers()
    {
        // Guards against an outage caused by ejecting all members of a slow service.
        RouterFixture fixture(makeLocalMembers(4));
        for (const auto *name : {"n0", "n1", "n2", "n3"}) {
            fixture.recordFailures(name, ErrorKind::TimedOut, 20);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.router.ejectedCount());
        CPPUNIT_ASSERT(fixture.pick().target.has_value());
    }

    void restartClearsTheEjection()
    {
        // Guards against a restarted upstream that inherits the ejection of its previous incarnation.
        auto members = makeLocalMembers(2);
        RouterFixture fixture(members);
        fixture.recordFailures("n0", ErrorKind::ConnectFailed, 5);
        fixture.router.setMembers(members, StartTime);
        CPPUNIT_ASSERT_EQUAL(0, fixture.pickCounts(50)["n0"]);
        members[0].incarnation = Incarnation(2);
        fixture.router.setMembers(members, StartTime);
        CPPUNIT_ASSERT(fixture.pickCounts(50)["n0"] > 0);
    }

    void retryPrefersAnotherMember()
    {
        // Guards against a retry on the member that has just failed.
        RouterFixture fixture(makeLocalMembers(3));
        fixture.query.avoid = {NodeName("n0"), NodeName("n2")};
        CPPUNIT_ASSERT_EQUAL(100, fixture.pickCounts(100)["n1"]);
        fixture.query.avoid = {NodeName("n0"), NodeName("n1"), NodeName("n2")};
        CPPUNIT_ASSERT(fixture.pick().target.has_value());
    }

    void spillsOverOnlyWhenNearerMembersRefuse()
    {
        // Guards against traffic that leaves the data centre or region although a nearer member would admit it.
        auto members = makeLocalMembers(2);
        members.push_back(makeMember("near", "dar", "dar-2"));
        members.push_back(makeMember("far", "arusha", "arusha-1"));
        RouterFixture fixture(members);
        CPPUNIT_ASSERT_EQUAL(0, fixture.pickCounts(200)["near"]);
        fixture.recordFailures("n0", ErrorKind::ConnectFailed, 5);
        CPPUNIT_ASSERT_EQUAL(200, fixture.pickCounts(200)["n1"]);
        fixture.recordAnswer("n1", LoadReport{50, 50, 50}, StrictThreshold);
        CPPUNIT_ASSERT_EQUAL(200, fixture.pickCounts(200)["near"]);
        fixture.recordAnswer("near", LoadReport{50, 50, 50}, StrictThreshold);
        CPPUNIT_ASSERT_EQUAL(200, fixture.pickCounts(200)["far"]);
        // Work of the highest priority is within the thresholds of the nearer members and stays local.
        fixture.query.priority = Priority{Rank(0), AdmissionScore(0)};
        CPPUNIT_ASSERT_EQUAL(200, fixture.pickCounts(200)["n1"]);
    }

    void linkBudgetLimitsSpillover()
    {
        // Guards against spillover that exceeds the budget of a paid link.
        RouterFixture fixture(
            {makeMember("far", "arusha", "arusha-1"), makeMember("further", "unlinked", "unlinked-1")});
        fixture.query.size = ByteCount(1000);
        int sent = 0;
        for (int i = 0; i < 100; ++i) {
            sent += fixture.pickName() == "far" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(10, sent);
        CPPUNIT_ASSERT(fixture.pick().refusal == ErrorKind::LinkBudget);
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.pickName());
    }

    void earlyRefusalLetsOneInTwentyThrough()
    {
        // Guards against refused work that still costs a network hop, and a threshold that is never probed again.
        RouterFixture fixture(makeLocalMembers(3));
        for (const auto *name : {"n0", "n1", "n2"}) {
            fixture.recordAnswer(name, LoadReport{50, 50, 50}, StrictThreshold);
        }
        int probes = 0;
        for (int i = 0; i < 4000; ++i) {
            const auto result = fixture.pick();
            probes += result.target ? 1 : 0;
            CPPUNIT_ASSERT(result.target || result.refusal == ErrorKind::EarlyRefusal);
        }
        CPPUNIT_ASSERT(probes > 140 && probes < 260);
        fixture.query.earlyRefusal = false;
        CPPUNIT_ASSERT(fixture.pick().target.has_value());
    }

    void declaredSharesAreExemptUntilRefused()
    {
        // Guards against a threshold, caused by a flood of urgent work, that starves kinds with a declared share.
        RouterFixture fixture(makeLocalMembers(1));
        fixture.query.share = Share(0.2);
        fixture.recordAnswer("n0", LoadReport{50, 0, 50}, StrictThreshold);
        CPPUNIT_ASSERT_EQUAL(100, fixture.pickCounts(100)["n0"]);
        fixture.recordAnswer("n0", LoadReport{50, 0, 50}, StrictThreshold, ErrorKind::Overloaded);
        CPPUNIT_ASSERT(fixture.pickCounts(100)["n0"] < 20);
        CPPUNIT_ASSERT_EQUAL(100, fixture.pickCounts(100, StartTime + RefusalLifetime)["n0"]);
    }

    void thresholdAppliesToItsKindOnly()
    {
        // Guards against applying the threshold of one kind to another kind, which may be within its own share.
        RouterFixture fixture(makeLocalMembers(1));
        fixture.recordAnswer("n0", LoadReport{50, 0, 50}, StrictThreshold);
        CPPUNIT_ASSERT(fixture.pickCounts(100)["n0"] < 20);
        fixture.query.kind = KindName("other");
        CPPUNIT_ASSERT_EQUAL(100, fixture.pickCounts(100)["n0"]);
    }

    void twoHundredMembersAreAllUsed()
    {
        // Guards against a selection that leaves some members unused if there are many.
        RouterFixture fixture(makeLocalMembers(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(200), fixture.pickCounts(4000).size());
    }

    void linkBudgetRefillsAndKeepsNegativeBalance()
    {
        // Guards against a large body that is never admitted, and against bytes that are not charged.
        LinkBudget budget(ByteCount(1000), StartTime);
        CPPUNIT_ASSERT(budget.tryConsume(ByteCount(3000), StartTime));
        CPPUNIT_ASSERT(!budget.tryConsume(ByteCount(1), StartTime + std::chrono::seconds(2)));
        CPPUNIT_ASSERT(
            budget.tryConsume(ByteCount(11), StartTime + std::chrono::seconds(2) + std::chrono::milliseconds(10)));
        CPPUNIT_ASSERT(!budget.available(StartTime));
        budget.charge(ByteCount(1000), StartTime + std::chrono::seconds(10));
        CPPUNIT_ASSERT(!budget.available(StartTime + std::chrono::seconds(10)));
        LinkBudget none(ByteCount(0), StartTime);
        CPPUNIT_ASSERT(!none.tryConsume(ByteCount(1), StartTime + std::chrono::hours(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace

} // namespace Geraniumsail
