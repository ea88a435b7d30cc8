// Tests of AttemptRegistry. A fault in it runs a booking twice, or reports "not run" for a booking that runs.
#include "core/attemptregistry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace Geraniumsail {

namespace {

using ArrivalKind = Arrival::Kind;

constexpr Incarnation OwnIncarnation{77};
const MonotonicTime Start(std::chrono::hours(3));

CallContext unrepeatableContext(const std::string &id, std::uint64_t epoch = 1)
{
    CallContext context;
    context.attempt = AttemptId(id);
    context.unrepeatable = true;
    context.epoch = TicketEpoch(epoch);
    context.incarnation = OwnIncarnation;
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
    CPPUNIT_TEST(refusedTicketNeverStarts);
    CPPUNIT_TEST(voidAndStartExcludeEachOther);
    CPPUNIT_TEST(voidOfUnseenTicketStopsALateRequest);
    CPPUNIT_TEST(voidOfUnseenRepeatableAttemptIsNotConfirmed);
    CPPUNIT_TEST(secondTargetNeedsTheFirstTargetsConfirmation);
    CPPUNIT_TEST(otherIncarnationIsUnknown);
    CPPUNIT_TEST(expiredTicketNeverRuns);
    CPPUNIT_TEST(backwardClockDoesNotRevalidateTickets);
    CPPUNIT_TEST(pausedProcessDoesNotStartExpiredWork);
    CPPUNIT_TEST(ticketOfAFutureEpochIsRefused);
    CPPUNIT_TEST(fullTableRefusesAndNeverEvicts);
    CPPUNIT_TEST(answersAreBoundedInSizeAndTotal);
    CPPUNIT_TEST(shedWorkIsVoidedAndLostWorkIsUnknown);
    CPPUNIT_TEST(endedRepeatableEntriesAreErasedSoon);
    CPPUNIT_TEST(runningWorkOutlivesItsEpoch);
    CPPUNIT_TEST(pruningIsBoundedPerCall);
    CPPUNIT_TEST_SUITE_END();

public:
    void duplicateJoinsThenGetsTheAnswer()
    {
        // Guards against a resent booking that runs a second time or gets the answer to another booking.
        AttemptRegistry registry(OwnIncarnation, Start);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), Start).kind == ArrivalKind::Fresh);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), Start).kind == ArrivalKind::Join);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), Start) == StartVerdict::Start);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), Start) == StartVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), Start).kind == ArrivalKind::Join);
        registry.finish(AttemptId("a"), Outcome::Ran, ErrorKind::Internal, answerOf(5), Start);
        const auto again = registry.arrive(unrepeatableContext("a"), Start);
        CPPUNIT_ASSERT(again.kind == ArrivalKind::Stored);
        CPPUNIT_ASSERT_EQUAL(201, again.answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string("xxxxx"), again.answer->body);
    }

    void refusedTicketNeverStarts()
    {
        // Guards against a delayed copy that runs after "not run" was reported to the caller.
        AttemptRegistry registry(OwnIncarnation, Start);
        registry.arrive(unrepeatableContext("a"), Start);
        CPPUNIT_ASSERT(registry.refuse(AttemptId("a"), Start));
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), Start) == StartVerdict::Voided);
        const auto again = registry.arrive(unrepeatableContext("a"), Start);
        CPPUNIT_ASSERT(again.kind == ArrivalKind::Refused && again.refusal == ErrorKind::TicketVoided);
        CPPUNIT_ASSERT(!registry.refuse(AttemptId("never seen"), Start));
    }

    void voidAndStartExcludeEachOther()
    {
        // Guards against confirming a void after the work has started, and against starting voided work.
        AttemptRegistry registry(OwnIncarnation, Start);
        registry.arrive(unrepeatableContext("a"), Start);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("a"), Start) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), Start) == StartVerdict::Voided);
        registry.arrive(unrepeatableContext("b"), Start);
        CPPUNIT_ASSERT(registry.start(AttemptId("b"), Start) == StartVerdict::Start);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("b"), Start) == VoidVerdict::Started);
        CPPUNIT_ASSERT(!registry.refuse(AttemptId("b"), Start));
        registry.finish(AttemptId("b"), Outcome::Ran, ErrorKind::Internal, std::nullopt, Start);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("b"), Start) == VoidVerdict::Started);
    }

    void voidOfUnseenTicketStopsALateRequest()
    {
        // Guards against a request that arrives after the request to void it, and then runs.
        AttemptRegistry registry(OwnIncarnation, Start);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("a"), Start) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), Start).refusal == ErrorKind::TicketVoided);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("a"), Start) == VoidVerdict::Voided);
    }

    void voidOfUnseenRepeatableAttemptIsNotConfirmed()
    {
        // Guards against reporting "not run" because of an entry that may be erased before the request arrives.
        AttemptRegistry registry(OwnIncarnation, Start);
        CPPUNIT_ASSERT(registry.voidAttempt(repeatableContext("a"), Start) == VoidVerdict::NotConfirmed);
        CPPUNIT_ASSERT(registry.arrive(repeatableContext("a"), Start).refusal == ErrorKind::CancelledBeforeStart);
        registry.arrive(repeatableContext("b"), Start);
        CPPUNIT_ASSERT(registry.voidAttempt(repeatableContext("b"), Start) == VoidVerdict::Voided);
    }

    void secondTargetNeedsTheFirstTargetsConfirmation()
    {
        // Guards against two targets that both run the same ticket.
        AttemptRegistry registry(OwnIncarnation, Start);
        auto context = unrepeatableContext("a");
        context.ticketPosition = 1;
        CPPUNIT_ASSERT(registry.arrive(context, Start).refusal == ErrorKind::TicketVoided);
        context.attempt = AttemptId("b");
        context.voidedBy = NodeName("first");
        CPPUNIT_ASSERT(registry.arrive(context, Start).kind == ArrivalKind::Fresh);
    }

    void otherIncarnationIsUnknown()
    {
        // Guards against a restarted target that runs work of its previous incarnation again, or reports it as not run.
        AttemptRegistry registry(OwnIncarnation, Start);
        for (const auto other : {Incarnation(76), Incarnation(78)}) {
            auto context = unrepeatableContext("a");
            context.incarnation = other;
            CPPUNIT_ASSERT(registry.arrive(context, Start).refusal == ErrorKind::IncarnationGone);
            CPPUNIT_ASSERT(registry.voidAttempt(context, Start) == VoidVerdict::NotConfirmed);
        }
        auto context = unrepeatableContext("a");
        context.incarnation.reset();
        CPPUNIT_ASSERT(registry.arrive(context, Start).refusal == ErrorKind::Internal);
        CPPUNIT_ASSERT(registry.voidAttempt(context, Start) == VoidVerdict::NotConfirmed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.unrepeatableCount());
    }

    void expiredTicketNeverRuns()
    {
        // Guards against a second run after the entry of the first was erased.
        AttemptRegistry registry(OwnIncarnation, Start);
        registry.arrive(unrepeatableContext("a"), Start);
        registry.start(AttemptId("a"), Start);
        registry.finish(AttemptId("a"), Outcome::Ran, ErrorKind::Internal, answerOf(5), Start);
        const auto last = Start + 10 * TicketEpochLength - Duration(1);
        registry.prune(last);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), last).kind == ArrivalKind::Stored);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("b"), last).kind == ArrivalKind::Fresh);
        const auto after = Start + 10 * TicketEpochLength;
        registry.refuse(AttemptId("b"), after);
        registry.prune(after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.unrepeatableCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.storedBytes());
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), after).refusal == ErrorKind::TicketExpired);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("a"), after) == VoidVerdict::NotConfirmed);
    }

    void backwardClockDoesNotRevalidateTickets()
    {
        // Guards against a clock that steps back after a pause and makes a ticket valid again whose entry was erased.
        AttemptRegistry registry(OwnIncarnation, Start);
        registry.prune(Start + 11 * TicketEpochLength);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), Start).refusal == ErrorKind::TicketExpired);
        CPPUNIT_ASSERT(registry.epoch(Start) == TicketEpoch(12));
    }

    void pausedProcessDoesNotStartExpiredWork()
    {
        // Guards against a process that is paused for minutes and then starts the queued work.
        AttemptRegistry registry(OwnIncarnation, Start);
        registry.arrive(unrepeatableContext("a"), Start);
        const auto after = Start + 11 * TicketEpochLength;
        registry.prune(after);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), after) == StartVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), after).refusal != ErrorKind::Internal);
        CPPUNIT_ASSERT(registry.start(AttemptId("a"), after) == StartVerdict::Voided);
    }

    void ticketOfAFutureEpochIsRefused()
    {
        // Guards against an entry that is never erased, and against reporting "not run" for a ticket valid later.
        AttemptRegistry registry(OwnIncarnation, Start);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a", 2), Start).refusal == ErrorKind::TicketExpired);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("a", 2), Start) == VoidVerdict::NotConfirmed);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a", 0), Start).refusal == ErrorKind::Internal);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a", UINT64_MAX), Start).refusal
                       == ErrorKind::TicketExpired);
    }

    void fullTableRefusesAndNeverEvicts()
    {
        // Guards against evicting a ticket that may still arrive, and against running a ticket after it was refused.
        RegistryLimits limits;
        limits.unrepeatableEntries = 2;
        AttemptRegistry registry(OwnIncarnation, Start, limits);
        registry.arrive(unrepeatableContext("a"), Start);
        registry.arrive(unrepeatableContext("b"), Start);
        registry.refuse(AttemptId("a"), Start);
        const auto middle = Start + 4 * TicketEpochLength;
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("c", 5), middle).refusal == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("d", 4), middle) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), middle).refusal == ErrorKind::TicketVoided);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("b"), middle).kind == ArrivalKind::Join);
        // The first entries expire and make room while the refused tickets are still valid.
        const auto after = Start + 10 * TicketEpochLength;
        registry.refuse(AttemptId("b"), after);
        registry.prune(after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.unrepeatableCount());
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("c", 5), after).refusal == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("d", 4), after).refusal == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("d", 4), after) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("e", 6), after).kind == ArrivalKind::Fresh);
        CPPUNIT_ASSERT(registry.tableFullRefusals() >= 1);
    }

    void answersAreBoundedInSizeAndTotal()
    {
        // Guards against unbounded memory for stored answers, and against a second run after the answer was dropped.
        RegistryLimits limits;
        limits.answerBytes = 10'000;
        AttemptRegistry registry(OwnIncarnation, Start, limits);
        const auto run = [&](const std::string &id, std::size_t size) {
            registry.arrive(unrepeatableContext(id), Start);
            registry.start(AttemptId(id), Start);
            registry.finish(AttemptId(id), Outcome::Ran, ErrorKind::Internal, answerOf(size), Start);
        };
        run("big", MaxStoredAnswerBytes + 1);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("big"), Start).refusal == ErrorKind::AnswerGone);
        for (int i = 0; i < 10; ++i) {
            run(std::to_string(i), 3000);
            CPPUNIT_ASSERT(registry.storedBytes() <= limits.answerBytes);
        }
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("0"), Start).refusal == ErrorKind::AnswerGone);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("9"), Start).kind == ArrivalKind::Stored);
    }

    void shedWorkIsVoidedAndLostWorkIsUnknown()
    {
        // Guards against reporting "not run" for work whose outcome is unknown.
        AttemptRegistry registry(OwnIncarnation, Start);
        for (const auto *id : {"shed", "lost", "odd"}) {
            registry.arrive(unrepeatableContext(id), Start);
            registry.start(AttemptId(id), Start);
        }
        registry.finish(AttemptId("shed"), Outcome::NotRun, ErrorKind::UpstreamShed, std::nullopt, Start);
        registry.finish(AttemptId("lost"), Outcome::Unknown, ErrorKind::ConnectionLost, std::nullopt, Start);
        registry.finish(AttemptId("odd"), Outcome::Unknown, ErrorKind::Overloaded, std::nullopt, Start);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("shed"), Start) == VoidVerdict::Voided);
        CPPUNIT_ASSERT(registry.voidAttempt(unrepeatableContext("lost"), Start) == VoidVerdict::Started);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("lost"), Start).refusal == ErrorKind::ConnectionLost);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("odd"), Start).refusal == ErrorKind::Internal);
    }

    void endedRepeatableEntriesAreErasedSoon()
    {
        // Guards against unbounded memory under normal traffic, and against evicting running attempts.
        RegistryLimits limits;
        limits.repeatableEntries = 10;
        AttemptRegistry registry(OwnIncarnation, Start, limits);
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
        // Guards against blocking the node while a whole epoch is erased, and against a table that grows without limit.
        AttemptRegistry registry(OwnIncarnation, Start);
        constexpr std::size_t count = 2000;
        for (std::size_t i = 0; i < count; ++i) {
            const AttemptId id(std::to_string(i));
            registry.arrive(unrepeatableContext(id.value()), Start);
            registry.start(id, Start);
            registry.finish(id, Outcome::Ran, ErrorKind::Internal, answerOf(100), Start);
        }
        const auto after = Start + 10 * TicketEpochLength;
        registry.prune(after);
        CPPUNIT_ASSERT_EQUAL(count - MaxPrunedPerCall, registry.unrepeatableCount());
        CPPUNIT_ASSERT_EQUAL(100 * registry.unrepeatableCount(), registry.storedBytes());
        for (std::size_t i = 0; i < count; ++i) {
            // The attempt does not start again, whether or not its entry was erased.
            const AttemptId id(std::to_string(i));
            CPPUNIT_ASSERT(registry.arrive(unrepeatableContext(id.value()), after).kind != ArrivalKind::Fresh);
            CPPUNIT_ASSERT(registry.start(id, after) == StartVerdict::Voided);
        }
        for (std::size_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("n" + std::to_string(i), 11), after).kind
                           == ArrivalKind::Fresh);
        }
        CPPUNIT_ASSERT_EQUAL(count, registry.unrepeatableCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.storedBytes());
    }

    void runningWorkOutlivesItsEpoch()
    {
        // Guards against erasing the entry of a long run before its end.
        AttemptRegistry registry(OwnIncarnation, Start);
        registry.arrive(unrepeatableContext("a"), Start);
        registry.start(AttemptId("a"), Start);
        const auto after = Start + 20 * TicketEpochLength;
        registry.prune(after);
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), after).kind == ArrivalKind::Join);
        registry.finish(AttemptId("a"), Outcome::Ran, ErrorKind::Internal, std::nullopt, after);
        registry.prune(after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.unrepeatableCount());
        CPPUNIT_ASSERT(registry.arrive(unrepeatableContext("a"), after).refusal == ErrorKind::TicketExpired);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptRegistryTest);

} // namespace

} // namespace Geraniumsail
