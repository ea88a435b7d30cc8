// Tests of the upstream directory, the load balancer, the redelivery budget and root admission.
#include "core/loadbalancer.h"
#include "core/redeliverybudget.h"
#include "core/rootadmission.h"
#include "core/upstreamdirectory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

DirectoryEntry entry(const std::string &node, const std::string &dataCentre = "dc1", const std::string &region = "r1")
{
    DirectoryEntry result;
    result.node = NodeName(node);
    result.peer = Address("10.0.0.1:1");
    result.dataCentre = DataCentreName(dataCentre);
    result.region = RegionName(region);
    result.service = ServiceName("bookings");
    result.upstream = UpstreamId("i-" + node);
    result.slots = Slots(10);
    return result;
}

const ServiceName Bookings("bookings");

class DirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(lapsedEntriesStayCandidatesForALimitedTime);
    CPPUNIT_TEST(unreachableLapsedEntryIsRemoved);
    CPPUNIT_TEST(drainingEntryIsNotACandidate);
    CPPUNIT_TEST(olderRevisionsAreIgnored);
    CPPUNIT_TEST(fullReadLapsesMissingEntries);
    CPPUNIT_TEST(fullReadReplacesLaterRevisions);
    CPPUNIT_TEST(prefersOwnDataCentreUntilItIsFull);
    CPPUNIT_TEST(largeBodiesStayInTheDataCentreLonger);
    CPPUNIT_TEST(unreachableNodeIsAvoidedUntilItsEntryChanges);
    CPPUNIT_TEST(fasterUpstreamIsPreferred);
    CPPUNIT_TEST(failingUpstreamIsAvoidedThenTriedAgain);
    CPPUNIT_TEST(lostNodeIsTriedSeldom);
    CPPUNIT_TEST(upstreamWithoutLoadReportIsExplored);
    CPPUNIT_TEST(redeliveriesStayBelowTheFleetBound);
    CPPUNIT_TEST(callsLeaveTokensForUrgentRootRequests);
    CPPUNIT_TEST(admittedFractionFallsInOverloadAndRecovers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against losing all candidates when the store revokes the leases of healthy nodes.
    void lapsedEntriesStayCandidatesForALimitedTime()
    {
        m_directory.put(entry("n1"), 1);
        CPPUNIT_ASSERT(m_directory.lapse(NodeName("n1"), 2, m_now) == DirectoryChange::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_directory.candidates(Bookings).size());
        CPPUNIT_ASSERT(m_directory.put(entry("n1"), 3) == DirectoryChange::Added);
        CPPUNIT_ASSERT(!m_directory.candidates(Bookings).front()->lapsedAt);
        m_directory.lapse(NodeName("n1"), 4, m_now);
        m_directory.prune(m_now + UpstreamDirectory::LapsedLifetime + seconds(1));
        CPPUNIT_ASSERT(m_directory.candidates(Bookings).empty());
    }

    // Guards against sending more requests to a VM that is gone.
    void unreachableLapsedEntryIsRemoved()
    {
        m_directory.put(entry("n1"), 1);
        CPPUNIT_ASSERT(m_directory.onUnreachable(NodeName("n1")) == DirectoryChange::None);
        m_directory.lapse(NodeName("n1"), 2, m_now);
        CPPUNIT_ASSERT(m_directory.onUnreachable(NodeName("n1")) == DirectoryChange::Removed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_directory.size());
    }

    void drainingEntryIsNotACandidate()
    {
        auto draining = entry("n1");
        m_directory.put(draining, 1);
        draining.phase = UpstreamPhase::Draining;
        CPPUNIT_ASSERT(m_directory.put(draining, 2) == DirectoryChange::Updated);
        CPPUNIT_ASSERT(m_directory.candidates(Bookings).empty());
        CPPUNIT_ASSERT(m_directory.lapse(NodeName("n1"), 3, m_now) == DirectoryChange::Removed);
    }

    // Guards against a page of a long read that overwrites newer changes received from a watch.
    void olderRevisionsAreIgnored()
    {
        m_directory.put(entry("n1"), 5);
        auto draining = entry("n1");
        draining.phase = UpstreamPhase::Draining;
        CPPUNIT_ASSERT(m_directory.put(draining, 4) == DirectoryChange::None);
        CPPUNIT_ASSERT(m_directory.lapse(NodeName("n1"), 4, m_now) == DirectoryChange::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_directory.candidates(Bookings).size());
    }

    void fullReadLapsesMissingEntries()
    {
        m_directory.put(entry("n1"), 1);
        m_directory.put(entry("n2"), 2);
        const auto changes = m_directory.replaceAll({{entry("n2"), 2}, {entry("n3"), 3}}, 9, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.size());
        CPPUNIT_ASSERT(m_directory.find(NodeName("n1"))->lapsedAt.has_value());
        CPPUNIT_ASSERT(m_directory.find(NodeName("n3")) != nullptr);
    }

    // Guards against entries that are ignored because the store came back from an older copy with lower revisions.
    void fullReadReplacesLaterRevisions()
    {
        m_directory.put(entry("n1"), 20);
        m_directory.put(entry("n2"), 21);
        auto changed = entry("n2");
        changed.upstream = UpstreamId("later");
        m_directory.replaceAll({{changed, 5}}, 9, m_now);
        CPPUNIT_ASSERT(m_directory.find(NodeName("n1"))->lapsedAt.has_value());
        CPPUNIT_ASSERT(m_directory.find(NodeName("n2"))->entry.upstream == UpstreamId("later"));
        CPPUNIT_ASSERT(m_directory.put(entry("n1"), 10) == DirectoryChange::Added);
        CPPUNIT_ASSERT(m_directory.put(entry("n2"), 11) == DirectoryChange::Updated);
    }

    // One data centre gets more requests than its upstream can run. Guards against needless traffic between data
    // centres, and against waiting in the own data centre while another one is idle.
    void prefersOwnDataCentreUntilItIsFull()
    {
        m_directory.put(entry("home"), 1);
        m_directory.put(entry("away", "dc2"), 2);
        report("home", 2, 0, milliseconds(200));
        report("away", 0, 0, milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("home"), pick());
        report("home", 10, 30, milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("away"), pick());
    }

    // Guards against sending large bodies between data centres to save a few milliseconds.
    void largeBodiesStayInTheDataCentreLonger()
    {
        m_directory.put(entry("home"), 1);
        m_directory.put(entry("away", "dc2"), 2);
        report("home", 10, 3, milliseconds(100));
        report("away", 0, 0, milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("away"), pick());
        m_bytes = ByteCount(9000);
        CPPUNIT_ASSERT_EQUAL(std::string("home"), pick());
    }

    void unreachableNodeIsAvoidedUntilItsEntryChanges()
    {
        m_directory.put(entry("n1"), 1);
        m_directory.put(entry("n2", "dc2", "r2"), 2);
        m_loadBalancer.onSent(NodeName("n1"), m_now);
        m_loadBalancer.onEnded(NodeName("n1"), true, m_now);
        report("n1", 1, 0, milliseconds(100));
        report("n2", 1, 0, milliseconds(100));
        m_loadBalancer.onUnreachable(NodeName("n1"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("n2"), pick());
        m_loadBalancer.onPublished(NodeName("n1"));
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), pick());
    }

    void fasterUpstreamIsPreferred()
    {
        m_directory.put(entry("slow"), 1);
        m_directory.put(entry("fast"), 2);
        report("slow", 1, 0, milliseconds(900));
        report("fast", 1, 0, milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("fast"), pick());
    }

    // Guards against an upstream that fails requests quickly and therefore looks idle.
    void failingUpstreamIsAvoidedThenTriedAgain()
    {
        m_directory.put(entry("bad"), 1);
        m_directory.put(entry("good"), 2);
        for (int i = 0; i < 60; ++i) {
            m_loadBalancer.onSent(NodeName("bad"), m_now);
            m_loadBalancer.onEnded(NodeName("bad"), true, m_now);
            m_loadBalancer.onSent(NodeName("good"), m_now);
            m_loadBalancer.onEnded(NodeName("good"), false, m_now);
        }
        report("bad", 0, 0, milliseconds(100));
        report("good", 5, 0, milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("good"), pick());
        m_now += seconds(30);
        report("bad", 0, 0, milliseconds(100));
        report("good", 5, 0, milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("bad"), pick());
    }

    // Guards against requests that are delayed by attempts to connect to a lost VM, whose entry stays in the directory
    // for tens of seconds, and against a node that stays avoided after it has published its entry again.
    void lostNodeIsTriedSeldom()
    {
        m_directory.put(entry("lost"), 1);
        m_directory.put(entry("good"), 2);
        int tried = 0;
        const auto end = m_now + seconds(40);
        for (; m_now < end; m_now += milliseconds(20)) {
            // Without a load report of its own the lost node looks as fast as an idle one.
            report("good", 5, 0, milliseconds(200));
            if (pick() == "lost") {
                ++tried;
                m_loadBalancer.onUnreachable(NodeName("lost"), m_now);
            }
        }
        CPPUNIT_ASSERT(tried > 0 && tried <= 10);
        m_loadBalancer.onPublished(NodeName("lost"));
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), pick());
    }

    // Guards against an upstream that joins in another data centre of the region and never gets a request, because the
    // own data centre always has the lower estimate.
    void upstreamWithoutLoadReportIsExplored()
    {
        m_directory.put(entry("home"), 1);
        m_directory.put(entry("new", "dc2"), 2);
        int toNew = 0;
        for (int i = 0; i < 1000; ++i) {
            report("home", 1, 0, milliseconds(50));
            toNew += pick() == "new" ? 1 : 0;
        }
        CPPUNIT_ASSERT(toNew > 0);
        CPPUNIT_ASSERT(toNew < 60);
    }

    // Every request fails and is redelivered if the budget allows, in a call tree of four levels in which each request
    // makes one call. The last service sees the redeliveries of all levels, which must stay below the fleet's 0.2.
    void redeliveriesStayBelowTheFleetBound()
    {
        RedeliveryBudget budget(0.2);
        CPPUNIT_ASSERT(!budget.take(Bookings, RedeliveryPriority::Normal));
        const ServiceName leaf("leaf");
        budget.setMakesCalls(leaf, false);
        int upper = 0;
        int last = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.onFirstDelivery(Bookings, RedeliveryPriority::Normal);
            upper += budget.take(Bookings, RedeliveryPriority::Normal) ? 1 : 0;
            budget.onFirstDelivery(leaf, RedeliveryPriority::Normal);
            last += budget.take(leaf, RedeliveryPriority::Normal) ? 1 : 0;
        }
        CPPUNIT_ASSERT(upper * 3 + last < 200);
        CPPUNIT_ASSERT(upper > 0 && last > upper);
    }

    // A service that rejects half of its requests gets nine calls for each urgent root request. Guards against
    // calls that use up the budget: few of their root requests succeed, while an urgent one would with one redelivery.
    void callsLeaveTokensForUrgentRootRequests()
    {
        RedeliveryBudget budget(0.2);
        budget.setMakesCalls(Bookings, false);
        std::bernoulli_distribution isUrgent(0.1);
        std::bernoulli_distribution isRejected(0.5);
        int urgentRejected = 0;
        int urgentRedelivered = 0;
        int redelivered = 0;
        for (int i = 0; i < 4000; ++i) {
            const auto priority = isUrgent(m_random) ? RedeliveryPriority::Urgent : RedeliveryPriority::Normal;
            budget.onFirstDelivery(Bookings, priority);
            if (!isRejected(m_random)) {
                continue;
            }
            const bool taken = budget.take(Bookings, priority);
            redelivered += taken ? 1 : 0;
            if (priority == RedeliveryPriority::Urgent) {
                ++urgentRejected;
                urgentRedelivered += taken ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(urgentRejected >= 100);
        CPPUNIT_ASSERT(urgentRedelivered * 100 >= urgentRejected * 95);
        CPPUNIT_ASSERT(redelivered <= 4000 * 2 / 10);
    }

    // A queue refuses half of its requests for 3 s, then none. Guards against admitting root requests that then fail at
    // a service deep in the call tree, and against refusals that continue after the overload.
    void admittedFractionFallsInOverloadAndRecovers()
    {
        OverloadController controller;
        for (int step = 0; step < 15; ++step) {
            m_now += OverloadController::ControlInterval;
            for (int i = 0; i < 10; ++i) {
                controller.onRefused();
                controller.onStarted(Duration(0));
            }
            controller.tick(m_now);
        }
        CPPUNIT_ASSERT(controller.admittedFraction().value() < 0.3);
        RouteRule rule;
        rule.name = RouteName("r");
        rule.rank = Rank(1);
        RootAdmission admission;
        for (int i = 0; i < 100; ++i) {
            admission.onResponse(rule.name, controller.admittedFraction(), m_now);
        }
        CPPUNIT_ASSERT(!admission.admit(rule, 0.5, m_now));
        rule.rank = MostUrgentRank;
        CPPUNIT_ASSERT(admission.admit(rule, 0.99, m_now));
        rule.rank = Rank(1);
        CPPUNIT_ASSERT(admission.admit(rule, 0.9, m_now + seconds(10)));
        for (int step = 0; step < 50; ++step) {
            m_now += OverloadController::ControlInterval;
            controller.tick(m_now);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, controller.admittedFraction().value(), 1e-9);
    }

private:
    void report(const std::string &node, std::uint32_t running, std::uint32_t waiting, Duration service)
    {
        m_loadBalancer.onLoad(NodeName(node), QueueLoad{running, waiting, 10, service, true}, m_now);
    }
    std::string pick()
    {
        const auto *chosen = m_loadBalancer.pick(m_directory.candidates(Bookings), {}, m_bytes, m_now, m_random);
        return chosen == nullptr ? "" : chosen->entry.node.value();
    }

    MonotonicTime m_now{seconds(100)};
    Random m_random{5};
    ByteCount m_bytes{0};
    UpstreamDirectory m_directory;
    LoadBalancer m_loadBalancer{{NodeName("n1"), DataCentreName("dc1"), RegionName("r1")}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

} // namespace

} // namespace Geraniumsail
