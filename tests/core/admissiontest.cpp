// Tests of individual admission rules.
#include "core/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

KindPolicy kindPolicy(const char *name, int rank, double share, bool longRunning = false)
{
    KindPolicy kind;
    kind.name = KindName(name);
    kind.rank = Rank(static_cast<std::uint8_t>(rank));
    kind.share = Share(share);
    kind.longRunning = longRunning;
    return kind;
}

ServicePolicy servicePolicy(std::uint32_t slots, std::size_t queueLength, std::vector<KindPolicy> kinds)
{
    ServicePolicy policy;
    policy.slots = Slots(slots);
    policy.queueLength = queueLength;
    policy.kinds = std::move(kinds);
    return policy;
}

PolicySwitches fixedLimit()
{
    PolicySwitches switches;
    switches.adaptiveLimit = false;
    return switches;
}

/// An AdmissionController with shorthands for its calls and a list of the started attempts.
struct AdmissionHarness
{
    explicit AdmissionHarness(const ServicePolicy &policy, const PolicySwitches &switches = fixedLimit())
        : admission(policy, switches)
    {
    }

    AdmissionDecisions offer(const std::string &id, const char *kind, int rank, int score = 0, const char *caller = "c",
                             Duration left = seconds(10))
    {
        const Priority priority{Rank(static_cast<std::uint8_t>(rank)),
                                AdmissionScore(static_cast<std::uint16_t>(score))};
        AdmissionRequest request{KindName(kind), priority, now + left, CallerName(caller)};
        return recordStarts(admission.offer(AttemptId(id), request, now, random));
    }
    AdmissionDecisions finish(const std::string &id, Duration serviceTime = milliseconds(10))
    {
        return recordStarts(admission.finish(AttemptId(id), serviceTime, now));
    }
    AdmissionDecisions recordStarts(AdmissionDecisions decisions)
    {
        for (const auto &decision : decisions) {
            if (decision.starts()) {
                started.push_back(decision.attempt.value());
            }
        }
        return decisions;
    }
    bool isStarted(const std::string &id) const
    {
        return std::find(started.begin(), started.end(), id) != started.end();
    }

    AdmissionController admission;
    MonotonicTime now{seconds(100)};
    Random random{1};
    std::vector<std::string> started;
};

AdmissionDecisions refusal(const std::string &id, ErrorKind kind)
{
    return {AdmissionDecision{AttemptId(id), kind}};
}

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(workWithinShareStartsBeforeMoreUrgentExcess);
    CPPUNIT_TEST(lowerScoreThenEarlierArrivalStartsFirst);
    CPPUNIT_TEST(callersInOneScoreBandAreServedFairly);
    CPPUNIT_TEST(callerFairnessDoesNotOverrideScoreBands);
    CPPUNIT_TEST(fullQueueEvictsTheLastAttempt);
    CPPUNIT_TEST(floodDoesNotEvictProtectedAttemptsOfAnotherKind);
    CPPUNIT_TEST(expiredWorkIsRefusedBeforeStart);
    CPPUNIT_TEST(withdrawnAttemptGetsNoDecision);
    CPPUNIT_TEST(duplicateIdGetsNoSecondDecision);
    CPPUNIT_TEST(longRunningWorkLeavesHeadroom);
    CPPUNIT_TEST(reducedSlotsOnlyBlockNewStarts);
    CPPUNIT_TEST(unavailableUpstreamRefusesQueuedAndNewWork);
    CPPUNIT_TEST(zeroSlotsRefuseImmediately);
    CPPUNIT_TEST(removedKindKeepsItsQueuedWork);
    CPPUNIT_TEST(disabledAdmissionIsAnUnboundedFifoQueue);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flood of urgent requests that takes the declared share of another kind.
    void workWithinShareStartsBeforeMoreUrgentExcess()
    {
        AdmissionHarness harness(servicePolicy(2, 10, {kindPolicy("urgent", 0, 0.0), kindPolicy("slow", 9, 0.5)}));
        harness.offer("u1", "urgent", 0);
        harness.offer("u2", "urgent", 0);
        harness.offer("u3", "urgent", 0);
        harness.offer("s1", "slow", 9);
        harness.offer("s2", "slow", 9);
        harness.finish("u1");
        CPPUNIT_ASSERT(harness.isStarted("s1"));
        harness.finish("u2");
        CPPUNIT_ASSERT(harness.isStarted("u3") && !harness.isStarted("s2"));
    }

    // Guards against a start order by arrival only: each hop of a chain of calls would then drop different requests.
    void lowerScoreThenEarlierArrivalStartsFirst()
    {
        AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        harness.offer("run", "k", 3);
        harness.offer("high", "k", 3, 40000, "a");
        harness.offer("low", "k", 3, 10, "b");
        harness.offer("low-later", "k", 3, 10, "d");
        harness.finish("run");
        harness.finish("low");
        harness.finish("low-later");
        CPPUNIT_ASSERT((harness.started == std::vector<std::string>{"run", "low", "low-later", "high"}));
    }

    // Guards against a caller with many requests starving another caller of the same kind.
    void callersInOneScoreBandAreServedFairly()
    {
        AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        harness.offer("run", "k", 3, 0, "busy");
        for (const char *id : {"busy1", "busy2", "busy3"}) {
            harness.offer(id, "k", 3, 10, "busy");
        }
        harness.offer("quiet", "k", 3, 4000, "quiet");
        harness.finish("run");
        CPPUNIT_ASSERT(harness.started.back() == "quiet");
    }

    // Guards against caller fairness that overrides the score: each hop of a chain would drop different requests.
    void callerFairnessDoesNotOverrideScoreBands()
    {
        AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        harness.offer("run", "k", 3, 0, "busy");
        harness.offer("busy1", "k", 3, 10, "busy");
        harness.offer("quiet", "k", 3, ScoresPerBand, "quiet");
        harness.finish("run");
        CPPUNIT_ASSERT(harness.started.back() == "busy1");
    }

    // Guards against refusing urgent work while a full queue keeps less important work.
    void fullQueueEvictsTheLastAttempt()
    {
        AdmissionHarness harness(servicePolicy(1, 2, {kindPolicy("k", 3, 0.0)}));
        harness.offer("run", "k", 3);
        harness.offer("a", "k", 3, 50000);
        harness.offer("b", "k", 3, 100);
        CPPUNIT_ASSERT(harness.offer("c", "k", 3, 200) == refusal("a", ErrorKind::QueueFull));
        CPPUNIT_ASSERT(harness.offer("d", "k", 3, 60000) == refusal("d", ErrorKind::QueueFull));
        CPPUNIT_ASSERT_EQUAL(2U, harness.admission.load().queued);
    }

    // Guards against a flood evicting the queued attempts of a kind that waits for its share.
    void floodDoesNotEvictProtectedAttemptsOfAnotherKind()
    {
        AdmissionHarness harness(servicePolicy(1, 4, {kindPolicy("urgent", 0, 0.0), kindPolicy("slow", 9, 0.5)}));
        harness.offer("run", "slow", 9);
        harness.offer("s1", "slow", 9);
        harness.offer("s2", "slow", 9);
        for (int i = 0; i < 10; ++i) {
            harness.offer("u" + std::to_string(i), "urgent", 0);
        }
        CPPUNIT_ASSERT(harness.admission.withdraw(AttemptId("s1"), harness.now));
        CPPUNIT_ASSERT(harness.admission.withdraw(AttemptId("s2"), harness.now));
    }

    // Guards against starting an attempt after its deadline, when its caller has given up.
    void expiredWorkIsRefusedBeforeStart()
    {
        AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        harness.offer("run", "k", 3);
        harness.offer("brief", "k", 3, 0, "c", milliseconds(5));
        CPPUNIT_ASSERT(harness.admission.nextDeadline() == harness.now + milliseconds(5));
        harness.now += milliseconds(5);
        CPPUNIT_ASSERT(harness.finish("run") == refusal("brief", ErrorKind::DeadlineBeforeStart));
        CPPUNIT_ASSERT(harness.offer("late", "k", 3, 0, "c", milliseconds(0))
                       == refusal("late", ErrorKind::DeadlineBeforeStart));
    }

    // Guards against starting an attempt whose withdrawal was confirmed.
    void withdrawnAttemptGetsNoDecision()
    {
        AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        harness.offer("run", "k", 3);
        harness.offer("next", "k", 3);
        CPPUNIT_ASSERT(!harness.admission.withdraw(AttemptId("run"), harness.now));
        CPPUNIT_ASSERT(harness.admission.withdraw(AttemptId("next"), harness.now));
        CPPUNIT_ASSERT(!harness.admission.withdraw(AttemptId("next"), harness.now));
        CPPUNIT_ASSERT(harness.finish("run").empty());
    }

    // Guards against a second decision when a delayed copy of a message arrives.
    void duplicateIdGetsNoSecondDecision()
    {
        AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        harness.offer("run", "k", 3);
        harness.offer("next", "k", 3);
        CPPUNIT_ASSERT(harness.offer("run", "k", 3).empty() && harness.offer("next", "k", 3).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.finish("run").size());
        CPPUNIT_ASSERT(harness.finish("run").empty());
    }

    // Guards against downloads that occupy all slots for half a minute while bookings need some of them.
    void longRunningWorkLeavesHeadroom()
    {
        AdmissionHarness harness(
            servicePolicy(10, 10, {kindPolicy("booking", 0, 0.3), kindPolicy("download", 9, 0.2, true)}));
        for (int i = 0; i < 10; ++i) {
            harness.offer("d" + std::to_string(i), "download", 9);
        }
        CPPUNIT_ASSERT_EQUAL(7U, harness.admission.load().running);
        for (int i = 0; i < 3; ++i) {
            harness.offer("b" + std::to_string(i), "booking", 0);
            CPPUNIT_ASSERT(harness.isStarted("b" + std::to_string(i)));
        }
    }

    // Guards against starts beyond a lowered limit while earlier attempts still run.
    void reducedSlotsOnlyBlockNewStarts()
    {
        AdmissionHarness harness(servicePolicy(4, 10, {kindPolicy("k", 3, 0.0)}));
        for (const char *id : {"a", "b", "c", "d", "e"}) {
            harness.offer(id, "k", 3);
        }
        CPPUNIT_ASSERT(harness.admission.setUpstream(UpstreamState::Up, Slots(2), harness.now).empty());
        harness.finish("a");
        harness.finish("b");
        CPPUNIT_ASSERT(!harness.isStarted("e"));
        harness.finish("c");
        CPPUNIT_ASSERT(harness.isStarted("e"));
        // Announced slots never raise the limit above the configured slots.
        harness.recordStarts(harness.admission.setUpstream(UpstreamState::Up, Slots(100), harness.now));
        CPPUNIT_ASSERT_EQUAL(4U, harness.admission.load().limit);
    }

    // Guards against queueing or starting work at an upstream that will not serve it.
    void unavailableUpstreamRefusesQueuedAndNewWork()
    {
        const std::vector<std::pair<UpstreamState, ErrorKind>> cases{{UpstreamState::Draining, ErrorKind::Draining},
                                                                     {UpstreamState::Shedding, ErrorKind::UpstreamShed},
                                                                     {UpstreamState::Gone, ErrorKind::ConnectFailed}};
        for (const auto &[state, reason] : cases) {
            AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
            harness.offer("run", "k", 3);
            harness.offer("next", "k", 3);
            CPPUNIT_ASSERT(harness.admission.setUpstream(state, Slots(1), harness.now) == refusal("next", reason));
            CPPUNIT_ASSERT(harness.offer("new", "k", 3) == refusal("new", reason));
            harness.finish("run");
            CPPUNIT_ASSERT(harness.offer("new", "k", 3) == refusal("new", reason));
            harness.admission.setUpstream(UpstreamState::Up, Slots(1), harness.now);
            harness.offer("again", "k", 3);
            CPPUNIT_ASSERT(harness.isStarted("again"));
        }
    }

    // Guards against queueing work for an upstream without slots, which may never get any.
    void zeroSlotsRefuseImmediately()
    {
        AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        harness.offer("run", "k", 3);
        harness.offer("next", "k", 3);
        CPPUNIT_ASSERT(harness.admission.setUpstream(UpstreamState::Up, Slots(0), harness.now)
                       == refusal("next", ErrorKind::Overloaded));
        CPPUNIT_ASSERT(harness.offer("new", "k", 3) == refusal("new", ErrorKind::Overloaded));
        harness.admission.setUpstream(UpstreamState::Up, Slots(1), harness.now);
        CPPUNIT_ASSERT_EQUAL(1U, harness.admission.load().limit);
    }

    // Guards against losing queued attempts when a new policy no longer names their kind.
    void removedKindKeepsItsQueuedWork()
    {
        AdmissionHarness harness(servicePolicy(1, 10, {kindPolicy("old", 3, 0.5)}));
        harness.offer("run", "old", 3);
        harness.offer("next", "old", 3);
        harness.recordStarts(
            harness.admission.setPolicy(servicePolicy(1, 10, {kindPolicy("new", 3, 0.5)}), harness.now));
        harness.finish("run");
        CPPUNIT_ASSERT(harness.isStarted("next"));
        harness.finish("next");
        harness.offer("later", "old", 3);
        CPPUNIT_ASSERT(harness.isStarted("later"));
    }

    // Guards against a wrong baseline in the experiments, which compare admission control with a plain queue.
    void disabledAdmissionIsAnUnboundedFifoQueue()
    {
        PolicySwitches switches = fixedLimit();
        switches.admission = false;
        AdmissionHarness harness(servicePolicy(1, 1, {kindPolicy("urgent", 0, 0.5), kindPolicy("slow", 9, 0.1)}),
                                 switches);
        harness.offer("run", "slow", 9);
        for (int i = 0; i < 50; ++i) {
            CPPUNIT_ASSERT(harness.offer("s" + std::to_string(i), "slow", 9, i, "c", milliseconds(1)).empty());
        }
        harness.offer("u", "urgent", 0);
        harness.now += seconds(1);
        CPPUNIT_ASSERT(harness.admission.expire(harness.now).empty());
        harness.finish("run");
        CPPUNIT_ASSERT(harness.started.back() == "s0");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace

} // namespace Geraniumsail
