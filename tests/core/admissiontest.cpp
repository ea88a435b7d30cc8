// Tests of single admission rules.
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

/// One Admission with short calls and a list of started ids.
struct Bench
{
    explicit Bench(const ServicePolicy &policy, const PolicySwitches &switches = fixedLimit())
        : admission(policy, switches)
    {
    }

    AdmissionEvents offer(const std::string &id, const char *kind, int rank, int score = 0, const char *caller = "c",
                          Duration left = seconds(10))
    {
        const Priority priority{Rank(static_cast<std::uint8_t>(rank)),
                                AdmissionScore(static_cast<std::uint16_t>(score))};
        AdmissionRequest request{KindName(kind), priority, now + left, CallerName(caller)};
        return note(admission.offer(AttemptId(id), request, now, random));
    }
    AdmissionEvents finish(const std::string &id, Duration serviceTime = milliseconds(10))
    {
        return note(admission.finish(AttemptId(id), serviceTime, now));
    }
    AdmissionEvents note(AdmissionEvents events)
    {
        for (const auto &event : events) {
            if (event.starts()) {
                started.push_back(event.attempt.value());
            }
        }
        return events;
    }
    bool isStarted(const std::string &id) const
    {
        return std::find(started.begin(), started.end(), id) != started.end();
    }

    Admission admission;
    MonotonicTime now{seconds(100)};
    Random random{1};
    std::vector<std::string> started;
};

AdmissionEvents refusal(const std::string &id, ErrorKind kind)
{
    return {AdmissionEvent{AttemptId(id), kind}};
}

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(inShareWorkGoesBeforeMoreUrgentExcess);
    CPPUNIT_TEST(lowerScoreThenArrivalGoesFirst);
    CPPUNIT_TEST(callersOfOneBandTakeTurns);
    CPPUNIT_TEST(turnsDoNotOverrideBandsOfScores);
    CPPUNIT_TEST(fullQueueEvictsTheWorstPlaced);
    CPPUNIT_TEST(floodDoesNotEvictTheQueuePartOfAnotherShare);
    CPPUNIT_TEST(expiredWorkIsRefusedBeforeStart);
    CPPUNIT_TEST(withdrawnAttemptGetsNoEvent);
    CPPUNIT_TEST(duplicateIdGetsNoSecondDecision);
    CPPUNIT_TEST(longRunningLeavesHeadroom);
    CPPUNIT_TEST(shrinkingSlotsStopStartsOnly);
    CPPUNIT_TEST(drainAndShedRefuseQueuedAndNewWork);
    CPPUNIT_TEST(zeroSlotsRefuseAtOnce);
    CPPUNIT_TEST(removedKindKeepsItsQueuedWork);
    CPPUNIT_TEST(switchedOffIsFirstInFirstOutAndUnbounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an urgent flood that takes the declared share of another kind.
    void inShareWorkGoesBeforeMoreUrgentExcess()
    {
        Bench b(servicePolicy(2, 10, {kindPolicy("urgent", 0, 0.0), kindPolicy("slow", 9, 0.5)}));
        b.offer("u1", "urgent", 0);
        b.offer("u2", "urgent", 0);
        b.offer("u3", "urgent", 0);
        b.offer("s1", "slow", 9);
        b.offer("s2", "slow", 9);
        b.finish("u1");
        CPPUNIT_ASSERT(b.isStarted("s1"));
        b.finish("u2");
        CPPUNIT_ASSERT(b.isStarted("u3") && !b.isStarted("s2"));
    }

    // Guards against an order by arrival only, with which each hop of a chain would drop different requests.
    void lowerScoreThenArrivalGoesFirst()
    {
        Bench b(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        b.offer("run", "k", 3);
        b.offer("high", "k", 3, 40000, "a");
        b.offer("low", "k", 3, 10, "b");
        b.offer("low-later", "k", 3, 10, "d");
        b.finish("run");
        b.finish("low");
        b.finish("low-later");
        CPPUNIT_ASSERT((b.started == std::vector<std::string>{"run", "low", "low-later", "high"}));
    }

    // Guards against one caller with many requests that starves another caller of the same kind.
    void callersOfOneBandTakeTurns()
    {
        Bench b(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        b.offer("run", "k", 3, 0, "busy");
        for (const char *id : {"busy1", "busy2", "busy3"}) {
            b.offer(id, "k", 3, 10, "busy");
        }
        b.offer("quiet", "k", 3, 4000, "quiet");
        b.finish("run");
        CPPUNIT_ASSERT(b.started.back() == "quiet");
    }

    // Guards against turns that defeat the score: then chains would lose a different request at each hop.
    void turnsDoNotOverrideBandsOfScores()
    {
        Bench b(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        b.offer("run", "k", 3, 0, "busy");
        b.offer("busy1", "k", 3, 10, "busy");
        b.offer("quiet", "k", 3, ScoresPerBand, "quiet");
        b.finish("run");
        CPPUNIT_ASSERT(b.started.back() == "busy1");
    }

    // Guards against a full queue that refuses urgent work while it keeps less important work.
    void fullQueueEvictsTheWorstPlaced()
    {
        Bench b(servicePolicy(1, 2, {kindPolicy("k", 3, 0.0)}));
        b.offer("run", "k", 3);
        b.offer("a", "k", 3, 50000);
        b.offer("b", "k", 3, 100);
        CPPUNIT_ASSERT(b.offer("c", "k", 3, 200) == refusal("a", ErrorKind::QueueFull));
        CPPUNIT_ASSERT(b.offer("d", "k", 3, 60000) == refusal("d", ErrorKind::QueueFull));
        CPPUNIT_ASSERT_EQUAL(2U, b.admission.load().queued);
    }

    // Guards against a flood that empties the queue of a kind that waits for its share.
    void floodDoesNotEvictTheQueuePartOfAnotherShare()
    {
        Bench b(servicePolicy(1, 4, {kindPolicy("urgent", 0, 0.0), kindPolicy("slow", 9, 0.5)}));
        b.offer("run", "slow", 9);
        b.offer("s1", "slow", 9);
        b.offer("s2", "slow", 9);
        for (int i = 0; i < 10; ++i) {
            b.offer("u" + std::to_string(i), "urgent", 0);
        }
        CPPUNIT_ASSERT(b.admission.withdraw(AttemptId("s1"), b.now));
        CPPUNIT_ASSERT(b.admission.withdraw(AttemptId("s2"), b.now));
    }

    // Guards against work that is started although its caller has given up.
    void expiredWorkIsRefusedBeforeStart()
    {
        Bench b(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        b.offer("run", "k", 3);
        b.offer("brief", "k", 3, 0, "c", milliseconds(5));
        CPPUNIT_ASSERT(b.admission.nextDeadline() == b.now + milliseconds(5));
        b.now += milliseconds(5);
        CPPUNIT_ASSERT(b.finish("run") == refusal("brief", ErrorKind::DeadlineBeforeStart));
        CPPUNIT_ASSERT(b.offer("late", "k", 3, 0, "c", milliseconds(0))
                       == refusal("late", ErrorKind::DeadlineBeforeStart));
    }

    // Guards against an attempt that is both confirmed as withdrawn and started.
    void withdrawnAttemptGetsNoEvent()
    {
        Bench b(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        b.offer("run", "k", 3);
        b.offer("next", "k", 3);
        CPPUNIT_ASSERT(!b.admission.withdraw(AttemptId("run"), b.now));
        CPPUNIT_ASSERT(b.admission.withdraw(AttemptId("next"), b.now));
        CPPUNIT_ASSERT(!b.admission.withdraw(AttemptId("next"), b.now));
        CPPUNIT_ASSERT(b.finish("run").empty());
    }

    // Guards against a delayed copy of a message that would be decided a second time.
    void duplicateIdGetsNoSecondDecision()
    {
        Bench b(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        b.offer("run", "k", 3);
        b.offer("next", "k", 3);
        CPPUNIT_ASSERT(b.offer("run", "k", 3).empty() && b.offer("next", "k", 3).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), b.finish("run").size());
        CPPUNIT_ASSERT(b.finish("run").empty());
    }

    // Guards against downloads that hold for half a minute the slots that a booking needs now.
    void longRunningLeavesHeadroom()
    {
        Bench b(servicePolicy(10, 10, {kindPolicy("booking", 0, 0.3), kindPolicy("download", 9, 0.2, true)}));
        for (int i = 0; i < 10; ++i) {
            b.offer("d" + std::to_string(i), "download", 9);
        }
        CPPUNIT_ASSERT_EQUAL(7U, b.admission.load().running);
        for (int i = 0; i < 3; ++i) {
            b.offer("b" + std::to_string(i), "booking", 0);
            CPPUNIT_ASSERT(b.isStarted("b" + std::to_string(i)));
        }
    }

    // Guards against a lowered bound that is exceeded by new starts while earlier work still runs.
    void shrinkingSlotsStopStartsOnly()
    {
        Bench b(servicePolicy(4, 10, {kindPolicy("k", 3, 0.0)}));
        for (const char *id : {"a", "b", "c", "d", "e"}) {
            b.offer(id, "k", 3);
        }
        CPPUNIT_ASSERT(b.admission.setUpstream(UpstreamState::Up, Slots(2), b.now).empty());
        b.finish("a");
        b.finish("b");
        CPPUNIT_ASSERT(!b.isStarted("e"));
        b.finish("c");
        CPPUNIT_ASSERT(b.isStarted("e"));
        // Announced slots never raise the bound over the configured ones.
        b.note(b.admission.setUpstream(UpstreamState::Up, Slots(100), b.now));
        CPPUNIT_ASSERT_EQUAL(4U, b.admission.load().limit);
    }

    // Guards against work that waits at, or goes to, an upstream that will not serve it.
    void drainAndShedRefuseQueuedAndNewWork()
    {
        const std::vector<std::pair<UpstreamState, ErrorKind>> cases{{UpstreamState::Draining, ErrorKind::Draining},
                                                                     {UpstreamState::Shedding, ErrorKind::UpstreamShed},
                                                                     {UpstreamState::Gone, ErrorKind::ConnectFailed}};
        for (const auto &[state, reason] : cases) {
            Bench b(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
            b.offer("run", "k", 3);
            b.offer("next", "k", 3);
            CPPUNIT_ASSERT(b.admission.setUpstream(state, Slots(1), b.now) == refusal("next", reason));
            CPPUNIT_ASSERT(b.offer("new", "k", 3) == refusal("new", reason));
            b.finish("run");
            CPPUNIT_ASSERT(b.offer("new", "k", 3) == refusal("new", reason));
            b.admission.setUpstream(UpstreamState::Up, Slots(1), b.now);
            b.offer("again", "k", 3);
            CPPUNIT_ASSERT(b.isStarted("again"));
        }
    }

    // Guards against work that waits for slots that may never come.
    void zeroSlotsRefuseAtOnce()
    {
        Bench b(servicePolicy(1, 10, {kindPolicy("k", 3, 0.0)}));
        b.offer("run", "k", 3);
        b.offer("next", "k", 3);
        CPPUNIT_ASSERT(b.admission.setUpstream(UpstreamState::Up, Slots(0), b.now)
                       == refusal("next", ErrorKind::Overloaded));
        CPPUNIT_ASSERT(b.offer("new", "k", 3) == refusal("new", ErrorKind::Overloaded));
        b.admission.setUpstream(UpstreamState::Up, Slots(1), b.now);
        CPPUNIT_ASSERT_EQUAL(1U, b.admission.load().limit);
    }

    // Guards against a published policy that loses queued attempts of a kind it no longer names.
    void removedKindKeepsItsQueuedWork()
    {
        Bench b(servicePolicy(1, 10, {kindPolicy("old", 3, 0.5)}));
        b.offer("run", "old", 3);
        b.offer("next", "old", 3);
        b.note(b.admission.setPolicy(servicePolicy(1, 10, {kindPolicy("new", 3, 0.5)}), b.now));
        b.finish("run");
        CPPUNIT_ASSERT(b.isStarted("next"));
        b.finish("next");
        b.offer("later", "old", 3);
        CPPUNIT_ASSERT(b.isStarted("later"));
    }

    // Guards against a baseline of the experiments that is not the plain queue it claims to be.
    void switchedOffIsFirstInFirstOutAndUnbounded()
    {
        PolicySwitches switches = fixedLimit();
        switches.admission = false;
        Bench b(servicePolicy(1, 1, {kindPolicy("urgent", 0, 0.5), kindPolicy("slow", 9, 0.1)}), switches);
        b.offer("run", "slow", 9);
        for (int i = 0; i < 50; ++i) {
            CPPUNIT_ASSERT(b.offer("s" + std::to_string(i), "slow", 9, i, "c", milliseconds(1)).empty());
        }
        b.offer("u", "urgent", 0);
        b.now += seconds(1);
        CPPUNIT_ASSERT(b.admission.expire(b.now).empty());
        b.finish("run");
        CPPUNIT_ASSERT(b.started.back() == "s0");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace

} // namespace Geraniumsail
