// Tests of the threshold controller and of the service time estimate it depends on.
#include "core/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;

/// Offers a demand in slots, spread evenly over the scores of one rank, for the given number of windows. Returns the
/// fraction admitted in the last window.
double offer(ThresholdController &controller, double demand, int windows, double backlog, int rank = 5)
{
    constexpr int arrivals = 256;
    int passed = 0;
    for (int window = 0; window < windows; ++window) {
        passed = 0;
        for (int i = 0; i < arrivals; ++i) {
            const Priority priority{Rank(static_cast<std::uint8_t>(rank)),
                                    AdmissionScore(static_cast<std::uint16_t>(i * 256))};
            controller.recordArrival(priority, demand * 0.1 / arrivals);
            passed += controller.threshold().passes(priority) ? 1 : 0;
        }
        controller.closeWindow(ThresholdWindowReport{milliseconds(100), 50.0, backlog, 0.01, milliseconds(20)});
    }
    return static_cast<double>(passed) / arrivals;
}

class ThresholdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ThresholdTest);
    CPPUNIT_TEST(admittedDemandMatchesCapacity);
    CPPUNIT_TEST(reopensAfterAFlood);
    CPPUNIT_TEST(lessUrgentRanksAreRefusedFirst);
    CPPUNIT_TEST(emptyQueueCorrectsAnOverestimatedServiceTime);
    CPPUNIT_TEST(oneWindowOfStalledRequestsBarelyChangesTheEstimate);
    CPPUNIT_TEST(thresholdOfAKindAllowsItsShare);
    CPPUNIT_TEST(childCallsGetASmallScoreAdvantage);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a threshold that lets the queue grow during an overload or leaves slots unused.
    void admittedDemandMatchesCapacity()
    {
        ThresholdController controller(Rank(0), 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, offer(controller, 40.0, 30, 0.0), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, offer(controller, 200.0, 30, 1.0), 0.03);
    }

    // Guards against a threshold that persists after the overload: goodput must recover within 2 s.
    void reopensAfterAFlood()
    {
        ThresholdController controller(Rank(0), 10);
        offer(controller, 200.0, 50, 1.5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, offer(controller, 45.0, 20, 0.0), 1e-9);
    }

    // Guards against a flood of bulk work that refuses bookings.
    void lessUrgentRanksAreRefusedFirst()
    {
        ThresholdController controller(Rank(0), 10);
        for (int i = 0; i < 30; ++i) {
            offer(controller, 30.0, 1, 1.0, 0);
            offer(controller, 200.0, 1, 1.0, 9);
        }
        CPPUNIT_ASSERT(controller.threshold().last.has_value());
        CPPUNIT_ASSERT(controller.threshold().last->rank == Rank(9));
    }

    // Guards against persistent refusals while slots are free because the service time estimate is too high.
    void emptyQueueCorrectsAnOverestimatedServiceTime()
    {
        ThresholdController controller(Rank(0), 10);
        double minAdmitted = 1.0;
        for (int window = 0; window < 10; ++window) {
            minAdmitted = std::min(minAdmitted, offer(controller, 100.0, 1, 0.0));
        }
        CPPUNIT_ASSERT(minAdmitted < 0.8);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, offer(controller, 100.0, 50, 0.0), 1e-9);
    }

    // Guards against refusing nearly all work after a stall, because all requests that ran took as long as the stall.
    void oneWindowOfStalledRequestsBarelyChangesTheEstimate()
    {
        ServiceTimeEstimate estimate;
        const auto addWindow = [&estimate](Duration serviceTime) {
            for (int i = 0; i < 50; ++i) {
                estimate.add(serviceTime);
            }
            estimate.closeWindow();
        };
        addWindow(milliseconds(10));
        addWindow(std::chrono::seconds(10));
        CPPUNIT_ASSERT(estimate.seconds() < 0.015);
        for (int i = 0; i < 30; ++i) {
            addWindow(milliseconds(100));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, estimate.seconds(), 0.04);
    }

    // Guards against calling nodes that refuse work within the share of a less urgent kind.
    void thresholdOfAKindAllowsItsShare()
    {
        ServicePolicy policy;
        policy.slots = Slots(10);
        KindPolicy urgent;
        urgent.name = KindName("urgent");
        urgent.rank = MostUrgentRank;
        KindPolicy shared;
        shared.name = KindName("shared");
        shared.share = Share(0.3);
        policy.kinds = {urgent, shared};
        AdmissionController admission(policy);
        Random random(1);
        MonotonicTime now(std::chrono::seconds(1));
        for (int i = 0; i < 10000; ++i) {
            now += Duration(200);
            const auto score = static_cast<std::uint16_t>(random());
            const AdmissionRequest request{urgent.name, Priority{MostUrgentRank, AdmissionScore(score)},
                                           now + milliseconds(100), CallerName("c")};
            admission.offer(AttemptId(std::to_string(i)), request, now, random);
            if (i >= 100 && i % 5 == 0) {
                admission.finish(AttemptId(std::to_string(i)), milliseconds(10), now);
            }
        }
        const Priority last{LeastUrgentRank, AdmissionScore(65535)};
        CPPUNIT_ASSERT(!admission.threshold(KindName("other")).passes(last));
        CPPUNIT_ASSERT(admission.threshold(shared.name).passes(last));
    }

    // Guards against a score advantage that underflows at low scores or changes the rank.
    void childCallsGetASmallScoreAdvantage()
    {
        const Priority root{Rank(3), AdmissionScore(5000)};
        CPPUNIT_ASSERT(effectivePriority(root, 0) == root);
        CPPUNIT_ASSERT((effectivePriority(root, 4) == Priority{Rank(3), AdmissionScore(2952)}));
        CPPUNIT_ASSERT((effectivePriority({Rank(3), AdmissionScore(7)}, 1) == Priority{Rank(3), AdmissionScore(0)}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ThresholdTest);

} // namespace

} // namespace Geraniumsail
