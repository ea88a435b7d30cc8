// Tests of the attempt registry: a fault here runs a booking twice, or tells "not run" of a booking that runs.
#include "core/attemptregistry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace Geraniumsail {

namespace {

using ArrivalKind = Arrival::Kind;

constexpr Incarnation Life{77};
const MonotonicTime Start(std::chrono::hours(3));

CallContext onceContext(const std::string &id, std::uint64_t epoch = 1)
{
    CallContext context;
    context.attempt = AttemptId(id);
    context.once = true;
    context.epoch = TicketEpoch(epoch);
    context.incarnation = Life;
    return context;
}

CallContext repeatableContext(const std::string &id)
{
    CallContext context;
    context.attempt = AttemptId(id);
    return context;
}

StoredAnswer answerOf(std::size_t size)
{
    return StoredAnswer{201, {}, std::string(size, 'x')};
}

class AttemptRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptRegistryTest);
    CPPUNIT_TEST(duplicateJoinsThenGetsTheAnswer);
    CPPUNIT_TEST(refusalVoidsForGood);
    CPPUNIT_TEST(voidAndStartExcludeEachOther);
    CPPUNIT_TEST(voidOfUnseenTicketStopsALateRequest);
    CPPUNIT_TEST(voidOfUnseenRepeatableAttemptConfirmsNothing);
    CPPUNIT_TEST(secondTargetNeedsTheFirstTargetsConfirmation);
    CPPUNIT_TEST(otherIncarnationIsUnknown);
    CPPUNIT_TEST(expiredTicketNeverRuns);
    CPPUNIT_TEST(backwardClockRevivesNothing);
    CPPUNIT_TEST(frozenQueueDoesNotStartExpiredWork);
    CPPUNIT_TEST(ticketFromTheFutureIsRefused);
    CPPUNIT_TEST(fullTableRefusesAndNeverForgets);
    CPPUNIT_TEST(answersAreBoundedInSizeAndTotal);
    CPPUNIT_TEST(shedWorkIsVoidedAndLostWorkIsUnknown);
    CPPUNIT_TEST(repeatableEntriesAreForgottenSoon);
    CPPUNIT_TEST(runningWorkOutlivesItsEpoch);
    CPPUNIT_TEST(pruningIsBoundedPerCall);
    CPPUNIT_TEST_SUITE_END();

public:
    void duplicateJoinsThenGetsTheAnswer()
    {
        // Guards against a resent booking that runs beside the first (I5) or gets another's answer (I3).
        AttemptRegistry registry(Life, Start);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), Start).kind == ArrivalKind::Fresh);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), Start).kind == ArrivalKind::Join);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), Start) == StartVerdict::Start);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), Start) == StartVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), Start).kind == ArrivalKind::Join);
        registry.finish(AttemptId("a"), Outcome::Ran, ErrorKind::Internal, answerOf(5), Start);
        const auto again = registry.arrive(onceContext("a"), Start);
        CPPUNIT_ASSERT(again.kind == ArrivalKind::Stored);
        CPPUNIT_ASSERT_EQUAL(201, again.answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string("xxxxx"), again.answer->body);
    }

    void refusalVoidsForGood()
    {
        // Guards against a delayed copy that runs after the caller was told "not run" (I4).
        AttemptRegistry registry(Life, Start);
        registry.arrive(onceContext("a"), Start);
        CPPUNIT_ASSERT(registry.refuse(AttemptId("a"), Start));
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), Start) == StartVerdict::Voided);
        const auto again = registry.arrive(onceContext("a"), Start);
        CPPUNIT_ASSERT(again.kind == ArrivalKind::Refused && again.refusal == ErrorKind::TicketVoided);
        CPPUNIT_ASSERT(!registry.refuse(AttemptId("never seen"), Start));
    }

    void voidAndStartExcludeEachOther()
    {
        // Guards against a void that is confirmed although the work has started, and the reverse.
        AttemptRegistry registry(Life, Start);
        registry.arrive(onceContext("a"), Start);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("a"), Start) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), Start) == StartVerdict::Voided);
        registry.arrive(onceContext("b"), Start);
        CPPUNIT_ASSERT(registry.start(AttemptId("b"), Start) == StartVerdict::Start);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("b"), Start) == VoidVerdict::Started);
        CPPUNIT_ASSERT(!registry.refuse(AttemptId("b"), Start));
        registry.finish(AttemptId("b"), Outcome::Ran, ErrorKind::Internal, std::nullopt, Start);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("b"), Start) == VoidVerdict::Started);
    }

    void voidOfUnseenTicketStopsALateRequest()
    {
        // Guards against a request that is overtaken by its void and then runs.
        AttemptRegistry registry(Life, Start);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("a"), Start) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), Start).refusal == ErrorKind::TicketVoided);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("a"), Start) == VoidVerdict::Voided);
    }

    void voidOfUnseenRepeatableAttemptConfirmsNothing()
    {
        // Guards against "not run" on the word of an entry that is forgotten before the request arrives.
        AttemptRegistry registry(Life, Start);
        CPPUNIT_ASSERT(registry.voidAttempt(repeatableContext("a"), Start) == VoidVerdict::NotConfirmed);
        CPPUNIT_ASSERT(registry.arrive(repeatableContext("a"), Start).refusal == ErrorKind::CancelledBeforeStart);
        registry.arrive(repeatableContext("b"), Start);
        CPPUNIT_ASSERT(registry.voidAttempt(repeatableContext("b"), Start) == VoidVerdict::Voided);
    }

    void secondTargetNeedsTheFirstTargetsConfirmation()
    {
        // Guards against two targets that both run one ticket.
        AttemptRegistry registry(Life, Start);
        auto context = onceContext("a");
        context.ticketPosition = 1;
        CPPUNIT_ASSERT(registry.arrive(context, Start).refusal == ErrorKind::TicketVoided);
        context.attempt = AttemptId("b");
        context.voidedBy = NodeName("first");
        CPPUNIT_ASSERT(registry.arrive(context, Start).kind == ArrivalKind::Fresh);
    }

    void otherIncarnationIsUnknown()
    {
        // Guards against a restarted target that runs work of its earlier life again, or denies having run it.
        AttemptRegistry registry(Life, Start);
        for (const auto other : {Incarnation(76), Incarnation(78)}) {
            auto context = onceContext("a");
            context.incarnation = other;
            CPPUNIT_ASSERT(registry.arrive(context, Start).refusal == ErrorKind::IncarnationGone);
            CPPUNIT_ASSERT(registry.voidAttempt(context, Start) == VoidVerdict::NotConfirmed);
        }
        auto context = onceContext("a");
        context.incarnation.reset();
        CPPUNIT_ASSERT(registry.arrive(context, Start).refusal == ErrorKind::Internal);
        CPPUNIT_ASSERT(registry.voidAttempt(context, Start) == VoidVerdict::NotConfirmed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.onceCount());
    }

    void expiredTicketNeverRuns()
    {
        // Guards against a second run after the first was forgotten.
        AttemptRegistry registry(Life, Start);
        registry.arrive(onceContext("a"), Start);
        registry.start(AttemptId("a"), Start);
        registry.finish(AttemptId("a"), Outcome::Ran, ErrorKind::Internal, answerOf(5), Start);
        const auto last = Start + 10 * TicketEpochLength - Duration(1);
        registry.prune(last);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), last).kind == ArrivalKind::Stored);
        CPPUNIT_ASSERT(registry.arrive(onceContext("b"), last).kind == ArrivalKind::Fresh);
        const auto after = Start + 10 * TicketEpochLength;
        registry.refuse(AttemptId("b"), after);
        registry.prune(after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.onceCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.storedBytes());
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), after).refusal == ErrorKind::TicketExpired);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("a"), after) == VoidVerdict::NotConfirmed);
    }

    void backwardClockRevivesNothing()
    {
        // Guards against a clock that steps back after a pause and makes a forgotten ticket valid again.
        AttemptRegistry registry(Life, Start);
        registry.prune(Start + 11 * TicketEpochLength);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), Start).refusal == ErrorKind::TicketExpired);
        CPPUNIT_ASSERT(registry.epoch(Start) == TicketEpoch(12));
    }

    void frozenQueueDoesNotStartExpiredWork()
    {
        // Guards against a process that was frozen for minutes and then starts the work in its queue.
        AttemptRegistry registry(Life, Start);
        registry.arrive(onceContext("a"), Start);
        const auto after = Start + 11 * TicketEpochLength;
        registry.prune(after);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), after) == StartVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), after).refusal != ErrorKind::Internal);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), after) == StartVerdict::Voided);
    }

    void ticketFromTheFutureIsRefused()
    {
        // Guards against an entry that is kept nearly for ever, and against "not run" for a ticket that becomes valid.
        AttemptRegistry registry(Life, Start);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a", 2), Start).refusal == ErrorKind::TicketExpired);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("a", 2), Start) == VoidVerdict::NotConfirmed);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a", 0), Start).refusal == ErrorKind::Internal);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a", UINT64_MAX), Start).refusal == ErrorKind::TicketExpired);
    }

    void fullTableRefusesAndNeverForgets()
    {
        // Guards against eviction of a ticket that could still arrive, and against a refusal that later turns into a
        // run.
        RegistryLimits limits;
        limits.onceEntries = 2;
        AttemptRegistry registry(Life, Start, limits);
        registry.arrive(onceContext("a"), Start);
        registry.arrive(onceContext("b"), Start);
        registry.refuse(AttemptId("a"), Start);
        const auto middle = Start + 4 * TicketEpochLength;
        CPPUNIT_ASSERT(registry.arrive(onceContext("c", 5), middle).refusal == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("d", 4), middle) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), middle).refusal == ErrorKind::TicketVoided);
        CPPUNIT_ASSERT(registry.arrive(onceContext("b"), middle).kind == ArrivalKind::Join);
        // The first entries expire and leave room while the refused tickets are still valid.
        const auto after = Start + 10 * TicketEpochLength;
        registry.refuse(AttemptId("b"), after);
        registry.prune(after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.onceCount());
        CPPUNIT_ASSERT(registry.arrive(onceContext("c", 5), after).refusal == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(registry.arrive(onceContext("d", 4), after).refusal == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("d", 4), after) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(onceContext("e", 6), after).kind == ArrivalKind::Fresh);
        CPPUNIT_ASSERT(registry.refusedFull() >= 1);
    }

    void answersAreBoundedInSizeAndTotal()
    {
        // Guards against memory that grows with the answers, and against a rerun of work whose answer was dropped.
        RegistryLimits limits;
        limits.answerBytes = 10'000;
        AttemptRegistry registry(Life, Start, limits);
        const auto run = [&](const std::string &id, std::size_t size) {
            registry.arrive(onceContext(id), Start);
            registry.start(AttemptId(id), Start);
            registry.finish(AttemptId(id), Outcome::Ran, ErrorKind::Internal, answerOf(size), Start);
        };
        run("big", MaxStoredAnswerSize + 1);
        CPPUNIT_ASSERT(registry.arrive(onceContext("big"), Start).refusal == ErrorKind::AnswerGone);
        for (int i = 0; i < 10; ++i) {
            run(std::to_string(i), 3000);
            CPPUNIT_ASSERT(registry.storedBytes() <= limits.answerBytes);
        }
        CPPUNIT_ASSERT(registry.arrive(onceContext("0"), Start).refusal == ErrorKind::AnswerGone);
        CPPUNIT_ASSERT(registry.arrive(onceContext("9"), Start).kind == ArrivalKind::Stored);
    }

    void shedWorkIsVoidedAndLostWorkIsUnknown()
    {
        // Guards against "not run" for work whose end is not known.
        AttemptRegistry registry(Life, Start);
        for (const auto *id : {"shed", "lost", "odd"}) {
            registry.arrive(onceContext(id), Start);
            registry.start(AttemptId(id), Start);
        }
        registry.finish(AttemptId("shed"), Outcome::NotRun, ErrorKind::UpstreamShed, std::nullopt, Start);
        registry.finish(AttemptId("lost"), Outcome::Unknown, ErrorKind::ConnectionLost, std::nullopt, Start);
        registry.finish(AttemptId("odd"), Outcome::Unknown, ErrorKind::Overloaded, std::nullopt, Start);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("shed"), Start) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.voidAttempt(onceContext("lost"), Start) == VoidVerdict::Started);
        CPPUNIT_ASSERT(registry.arrive(onceContext("lost"), Start).refusal == ErrorKind::ConnectionLost);
        CPPUNIT_ASSERT(registry.arrive(onceContext("odd"), Start).refusal == ErrorKind::Internal);
    }

    void repeatableEntriesAreForgottenSoon()
    {
        // Guards against memory that grows with ordinary traffic, and against eviction of running attempts.
        RegistryLimits limits;
        limits.repeatableEntries = 10;
        AttemptRegistry registry(Life, Start, limits);
        for (int i = 0; i < 100; ++i) {
            const AttemptId id(std::to_string(i));
            CPPUNIT_ASSERT(registry.arrive(repeatableContext(id.value()), Start).kind == ArrivalKind::Fresh);
            CPPUNIT_ASSERT(registry.start(id, Start) == StartVerdict::Start);
            registry.finish(id, Outcome::Ran, ErrorKind::Internal, std::nullopt, Start);
        }
        CPPUNIT_ASSERT(registry.repeatableCount() <= limits.repeatableEntries);
        registry.prune(Start + std::chrono::seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.repeatableCount());
        for (int i = 0; i < 10; ++i) {
            registry.arrive(repeatableContext("live" + std::to_string(i)), Start);
        }
        CPPUNIT_ASSERT(registry.arrive(repeatableContext("more"), Start).refusal == ErrorKind::QueueFull);
        CPPUNIT_ASSERT(registry.start(AttemptId("live0"), Start) == StartVerdict::Start);
    }

    void pruningIsBoundedPerCall()
    {
        // Guards against a node that stops to drop a whole epoch, and against a table that grows faster than it
        // shrinks.
        AttemptRegistry registry(Life, Start);
        constexpr std::size_t count = 2000;
        for (std::size_t i = 0; i < count; ++i) {
            const AttemptId id(std::to_string(i));
            registry.arrive(onceContext(id.value()), Start);
            registry.start(id, Start);
            registry.finish(id, Outcome::Ran, ErrorKind::Internal, answerOf(100), Start);
        }
        const auto after = Start + 10 * TicketEpochLength;
        registry.prune(after);
        CPPUNIT_ASSERT_EQUAL(count - MostPrunedAtOnce, registry.onceCount());
        CPPUNIT_ASSERT_EQUAL(100 * registry.onceCount(), registry.storedBytes());
        for (std::size_t i = 0; i < count; ++i) {
            // Whether the entry is still there or not, nothing starts again.
            const AttemptId id(std::to_string(i));
            CPPUNIT_ASSERT(registry.arrive(onceContext(id.value()), after).kind != ArrivalKind::Fresh);
            CPPUNIT_ASSERT(registry.start(id, after) == StartVerdict::Voided);
        }
        for (std::size_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT(registry.arrive(onceContext("n" + std::to_string(i), 11), after).kind == ArrivalKind::Fresh);
        }
        CPPUNIT_ASSERT_EQUAL(count, registry.onceCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.storedBytes());
    }

    void runningWorkOutlivesItsEpoch()
    {
        // Guards against a long run that is forgotten while it runs.
        AttemptRegistry registry(Life, Start);
        registry.arrive(onceContext("a"), Start);
        registry.start(AttemptId("a"), Start);
        const auto after = Start + 20 * TicketEpochLength;
        registry.prune(after);
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), after).kind == ArrivalKind::Join);
        registry.finish(AttemptId("a"), Outcome::Ran, ErrorKind::Internal, std::nullopt, after);
        registry.prune(after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.onceCount());
        CPPUNIT_ASSERT(registry.arrive(onceContext("a"), after).refusal == ErrorKind::TicketExpired);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptRegistryTest);

} // namespace

} // namespace Geraniumsail
