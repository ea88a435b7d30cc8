// Tests of CallFlow and ResendTable. A fault in them reports "not run" without proof or sends a booking twice.
#include "core/callflow.h"
#include "core/resendtable.h"

#include "core/callsimulation.h"
#include "core/rapidcheckutil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Geraniumsail {

namespace {

const MonotonicTime Begin(std::chrono::seconds(100));

/// Creates call flows, with the node state that they use.
class FlowFixture
{
public:
    explicit FlowFixture(int members = 3)
    {
        std::vector<RouteTarget> list;
        for (int i = 0; i < members; ++i) {
            RouteTarget target;
            target.node = NodeName("t" + std::to_string(i));
            target.incarnation = Incarnation(5);
            target.epoch = TicketEpoch(1);
            target.region = RegionName("r");
            target.dataCentre = DataCentreName("d");
            list.push_back(target);
        }
        router.setMembers(list, Begin);
        request.id = RequestId("r");
        request.kind.name = KindName("k");
        request.deadline = Begin + std::chrono::seconds(1);
        request.self = NodeName("e");
    }

    FlowEnvironment environment(MonotonicTime now = Begin)
    {
        return FlowEnvironment{router, links, budget, policy, switches, random, now};
    }

    CallFlow flow(std::uint32_t allowance = 2)
    {
        ledger = std::make_shared<RetryLedger>(Allowance(allowance), request.hop);
        return CallFlow(request, ledger);
    }

    void useTicket(std::uint64_t incarnation = 5)
    {
        request.ticket = createTicket({Ticket::Target{NodeName("t0"), Incarnation(incarnation), TicketEpoch(1)},
                                       Ticket::Target{NodeName("t1"), Incarnation(incarnation), TicketEpoch(1)}},
                                      NodeName("e"), Incarnation(1), random);
    }

    Router router{RegionName("r"), DataCentreName("d")};
    LinkBudgets links{RegionName("r")};
    RetryBudget budget;
    ServicePolicy policy;
    PolicySwitches switches;
    Random random{3};
    CallRequest request;
    std::shared_ptr<RetryLedger> ledger;
};

AttemptAnswer refusal(ErrorKind kind, std::uint32_t unused = 0)
{
    AttemptAnswer answer;
    answer.outcome = errorRow(kind).outcome;
    answer.reason = kind;
    answer.unused = Allowance(unused);
    return answer;
}

AttemptAnswer success(std::uint32_t unused = 0)
{
    AttemptAnswer answer;
    answer.outcome = Outcome::Ran;
    answer.unused = Allowance(unused);
    return answer;
}

template <typename Action>
Action expect(const FlowAction &action)
{
    CPPUNIT_ASSERT(std::holds_alternative<Action>(action));
    return std::get<Action>(action);
}

ErrorKind errorKindOf(const FlowAction &action)
{
    return expect<AnswerWithError>(action).kind;
}

/// Makes random calls and injects random faults at random steps of these calls.
class RandomFaultSimulation
{
public:
    explicit RandomFaultSimulation(Random &random) : m_random(random), m_simulation(random(), limits(random))
    {
    }

    void run()
    {
        m_simulation.onStep = [this](Step, std::size_t call, std::size_t target) {
            if (m_faults > 0 && draw(6) == 0) {
                --m_faults;
                m_simulation.inject(static_cast<Fault>(draw(FaultCount)), call, target);
            }
        };
        const auto requests = 1 + draw(5);
        for (std::size_t i = 0; i < requests; ++i) {
            begin(static_cast<WorkKind>(draw(3)), "request-" + std::to_string(i));
        }
        m_simulation.run();
        m_simulation.onStep = nullptr;
        for (const auto &[ticket, request] : m_tickets) {
            for (std::size_t entry = 0; entry < CallSimulation::EntryCount; ++entry) {
                m_simulation.advanceClock(draw(3) == 0 ? Duration(TicketEpochLength * TicketLifetimeEpochs)
                                                       : Duration(0));
                m_simulation.call(WorkKind::Ticketed, entry, request, ticket, false);
                m_simulation.run();
            }
        }
    }

    const CallSimulation &simulation() const
    {
        return m_simulation;
    }

private:
    static RegistryLimits limits(Random &random)
    {
        // So small that the table becomes full in some runs.
        RegistryLimits limits;
        limits.unrepeatableEntries = 1 + random() % 6;
        return limits;
    }

    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_random);
    }

    void begin(WorkKind work, const std::string &request)
    {
        const auto entry = draw(CallSimulation::EntryCount);
        std::optional<Ticket> ticket;
        if (work == WorkKind::Ticketed) {
            ticket = m_simulation.fetchTicket(entry);
            if (!ticket) {
                return;
            }
            m_tickets.emplace_back(*ticket, request);
        }
        m_simulation.after(std::chrono::milliseconds(draw(20)), [this, work, entry, request, ticket] {
            m_simulation.call(work, entry, request, ticket, false);
        });
    }

    Random &m_random;
    CallSimulation m_simulation;
    int m_faults = 8;
    std::vector<std::pair<Ticket, std::string>> m_tickets;
};

class CallFlowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallFlowTest);
    CPPUNIT_TEST(unrepeatableCallNeedsATicket);
    CPPUNIT_TEST(childCallMakesItsOwnTicket);
    CPPUNIT_TEST(lostRepeatableCallIsNeverReportedAsNotRun);
    CPPUNIT_TEST(lostUnrepeatableCallIsNotSentElsewhereWithoutConfirmation);
    CPPUNIT_TEST(secondTargetFollowsTheFirstTargetsRefusal);
    CPPUNIT_TEST(oneRefusalDoesNotProveNotRun);
    CPPUNIT_TEST(unreachableTargetOfAnExternalTicketIsUnknown);
    CPPUNIT_TEST(listenerRefusalOfATicketIsConfirmedFirst);
    CPPUNIT_TEST(startedTicketIsJoinedOnce);
    CPPUNIT_TEST(staleViewAfterARestartIsRetried);
    CPPUNIT_TEST(contradictoryAnswerProvesNothing);
    CPPUNIT_TEST(resendGetsNoAllowanceAndNoRetries);
    CPPUNIT_TEST(confirmedVoidReturnsTheGrant);
    CPPUNIT_TEST(eventsOutOfOrderChangeNothing);
    CPPUNIT_TEST(deadlineEndsTheCall);
    CPPUNIT_TEST(routingRefusalIsReportedOnlyWithProof);
    CPPUNIT_TEST(unknownOutcomeKindIsNeverNotRun);
    CPPUNIT_TEST(resendsJoinAndKeepTickets);
    CPPUNIT_TEST(fullResendTableKeepsTickets);
    CPPUNIT_TEST(invariantsHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void unrepeatableCallNeedsATicket()
    {
        // Guards against a booking that runs without a ticket by which a resend could ask for its answer.
        FlowFixture fixture;
        auto flow = fixture.flow();
        const auto answer = expect<AnswerWithError>(flow.begin(fixture.environment()));
        CPPUNIT_ASSERT(answer.kind == ErrorKind::TicketRequired);
        CPPUNIT_ASSERT_EQUAL(MaxTicketTargets, answer.ticket.value().targets.size());
        CPPUNIT_ASSERT(answer.ticket->targets[0].node != answer.ticket->targets[1].node);
        CPPUNIT_ASSERT_EQUAL(0, flow.attemptsSent());
        FlowFixture empty(0);
        CPPUNIT_ASSERT(errorKindOf(empty.flow().begin(empty.environment())) == ErrorKind::NoUpstream);
    }

    void childCallMakesItsOwnTicket()
    {
        // Guards against a retry with the ticket of an earlier attempt, a copy of which could run beside the retry.
        FlowFixture fixture;
        fixture.request.hop = 1;
        auto flow = fixture.flow();
        const auto first = expect<SendAttempt>(flow.begin(fixture.environment()));
        CPPUNIT_ASSERT(first.context.unrepeatable && first.context.epoch
                       && first.context.incarnation == Incarnation(5));
        expect<WaitBackoff>(flow.onFailure(ErrorKind::ConnectFailed, fixture.environment()));
        const auto second = expect<SendAttempt>(flow.onBackoffOver(fixture.environment()));
        CPPUNIT_ASSERT(second.context.attempt != first.context.attempt);
        CPPUNIT_ASSERT(second.target.node != first.target.node);
        CPPUNIT_ASSERT(flow.ticket().value().id == second.context.attempt);
        expect<ForwardAnswer>(flow.onAnswer(success(), fixture.environment()));
        CPPUNIT_ASSERT(flow.ended());
    }

    void lostRepeatableCallIsNeverReportedAsNotRun()
    {
        // Guards against reporting the "not run" of the last attempt although an earlier one may have run.
        FlowFixture fixture;
        fixture.request.repeatable = true;
        auto flow = fixture.flow();
        expect<SendAttempt>(flow.begin(fixture.environment()));
        expect<WaitBackoff>(flow.onFailure(ErrorKind::ConnectionLost, fixture.environment()));
        expect<SendAttempt>(flow.onBackoffOver(fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(flow.onFailure(ErrorKind::ConnectFailed, fixture.environment()))
                       == ErrorKind::ConnectionLost);
    }

    void lostUnrepeatableCallIsNotSentElsewhereWithoutConfirmation()
    {
        // Guards against running unrepeatable work twice after a lost connection.
        for (const auto verdict : {std::optional<VoidVerdict>(), std::optional(VoidVerdict::NotConfirmed)}) {
            for (const bool external : {false, true}) {
                FlowFixture fixture;
                fixture.request.hop = 1;
                if (external) {
                    fixture.useTicket();
                }
                auto flow = fixture.flow();
                expect<SendAttempt>(flow.begin(fixture.environment()));
                expect<SendVoidRequest>(flow.onFailure(ErrorKind::ConnectionLost, fixture.environment()));
                CPPUNIT_ASSERT(errorKindOf(flow.onVoidAnswer(verdict, fixture.environment()))
                               == ErrorKind::ConnectionLost);
                CPPUNIT_ASSERT_EQUAL(1, flow.attemptsSent());
            }
        }
    }

    void secondTargetFollowsTheFirstTargetsRefusal()
    {
        // Guards against giving up while the second target is free, also if another node had the first one voided.
        for (const auto kind : {ErrorKind::Overloaded, ErrorKind::TicketVoided}) {
            FlowFixture fixture;
            fixture.useTicket();
            auto flow = fixture.flow();
            const auto first = expect<SendAttempt>(flow.begin(fixture.environment()));
            CPPUNIT_ASSERT(!first.context.voidedBy && first.context.ticketPosition == 0);
            expect<WaitBackoff>(flow.onAnswer(refusal(kind, 1), fixture.environment()));
            const auto second = expect<SendAttempt>(flow.onBackoffOver(fixture.environment()));
            CPPUNIT_ASSERT(second.target.node == NodeName("t1"));
            CPPUNIT_ASSERT(second.context.voidedBy == NodeName("t0") && second.context.ticketPosition == 1);
            CPPUNIT_ASSERT(second.context.attempt == first.context.attempt);
            CPPUNIT_ASSERT(errorKindOf(flow.onAnswer(refusal(ErrorKind::Overloaded), fixture.environment()))
                           == ErrorKind::Overloaded);
        }
    }

    void oneRefusalDoesNotProveNotRun()
    {
        // Guards against reporting "not run" while the second target runs the ticket for another entry node.
        FlowFixture fixture;
        fixture.useTicket();
        auto flow = fixture.flow(0);
        expect<SendAttempt>(flow.begin(fixture.environment()));
        const auto voidRequest =
            expect<SendVoidRequest>(flow.onAnswer(refusal(ErrorKind::Overloaded), fixture.environment()));
        CPPUNIT_ASSERT(voidRequest.target.node == NodeName("t1"));
        CPPUNIT_ASSERT(errorKindOf(flow.onVoidAnswer(VoidVerdict::Voided, fixture.environment()))
                       == ErrorKind::Overloaded);
        auto unconfirmed = fixture.flow(0);
        expect<SendAttempt>(unconfirmed.begin(fixture.environment()));
        expect<SendVoidRequest>(unconfirmed.onAnswer(refusal(ErrorKind::Overloaded), fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(unconfirmed.onVoidAnswer(std::nullopt, fixture.environment()))
                       == ErrorKind::IncarnationGone);
        auto running = fixture.flow(0);
        expect<SendAttempt>(running.begin(fixture.environment()));
        expect<SendVoidRequest>(running.onAnswer(refusal(ErrorKind::Overloaded), fixture.environment()));
        const auto join = expect<SendAttempt>(running.onVoidAnswer(VoidVerdict::Started, fixture.environment()));
        CPPUNIT_ASSERT(join.target.node == NodeName("t1") && join.context.allowance == Allowance(0));
        CPPUNIT_ASSERT_EQUAL(1, running.attemptsSent());
    }

    void unreachableTargetOfAnExternalTicketIsUnknown()
    {
        // Guards against reporting "not run" for a ticket that ran through another node before its target failed.
        FlowFixture fixture;
        fixture.useTicket();
        auto flow = fixture.flow();
        expect<SendAttempt>(flow.begin(fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(flow.onFailure(ErrorKind::ConnectFailed, fixture.environment()))
                       == ErrorKind::IncarnationGone);
        fixture.useTicket(4);
        CPPUNIT_ASSERT(errorKindOf(fixture.flow().begin(fixture.environment())) == ErrorKind::IncarnationGone);
        // The ticket names a later incarnation than this node knows: its view is out of date and the target decides.
        fixture.useTicket(6);
        expect<SendAttempt>(fixture.flow().begin(fixture.environment()));
        fixture.router.setMembers({}, Begin);
        CPPUNIT_ASSERT(errorKindOf(fixture.flow().begin(fixture.environment())) == ErrorKind::IncarnationGone);
    }

    void listenerRefusalOfATicketIsConfirmedFirst()
    {
        // Guards against a run at the second target while a delayed copy runs at the first.
        FlowFixture fixture;
        fixture.useTicket();
        auto flow = fixture.flow();
        expect<SendAttempt>(flow.begin(fixture.environment()));
        const auto voidRequest =
            expect<SendVoidRequest>(flow.onAnswer(refusal(ErrorKind::Draining, 1), fixture.environment()));
        CPPUNIT_ASSERT(voidRequest.target.node == NodeName("t0"));
        expect<WaitBackoff>(flow.onVoidAnswer(VoidVerdict::Voided, fixture.environment()));
        CPPUNIT_ASSERT(expect<SendAttempt>(flow.onBackoffOver(fixture.environment())).target.node == NodeName("t1"));
    }

    void startedTicketIsJoinedOnce()
    {
        // Guards against an unknown outcome although the target has the answer, and against joining without limit.
        FlowFixture fixture;
        fixture.request.hop = 1;
        auto flow = fixture.flow();
        const auto first = expect<SendAttempt>(flow.begin(fixture.environment()));
        expect<SendVoidRequest>(flow.onFailure(ErrorKind::ConnectionLost, fixture.environment()));
        const auto join = expect<SendAttempt>(flow.onVoidAnswer(VoidVerdict::Started, fixture.environment()));
        CPPUNIT_ASSERT(join.context.attempt == first.context.attempt && join.target.node == first.target.node);
        // The target may have restarted after the run, so a failed connect or another incarnation is no proof now.
        auto gone = flow;
        CPPUNIT_ASSERT(errorKindOf(gone.onFailure(ErrorKind::ConnectFailed, fixture.environment()))
                       == ErrorKind::IncarnationGone);
        auto other = flow;
        CPPUNIT_ASSERT(errorKindOf(other.onAnswer(refusal(ErrorKind::IncarnationGone), fixture.environment()))
                       == ErrorKind::IncarnationGone);
        auto drained = flow;
        expect<SendVoidRequest>(drained.onAnswer(refusal(ErrorKind::Draining), fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(drained.onVoidAnswer(std::nullopt, fixture.environment()))
                       == ErrorKind::IncarnationGone);
        expect<SendVoidRequest>(flow.onFailure(ErrorKind::ConnectionLost, fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(flow.onVoidAnswer(VoidVerdict::Started, fixture.environment()))
                       == ErrorKind::ConnectionLost);
    }

    void staleViewAfterARestartIsRetried()
    {
        // Guards against unknown outcomes of child calls while the member view is out of date after a target restart.
        FlowFixture fixture;
        fixture.request.hop = 1;
        auto flow = fixture.flow();
        const auto first = expect<SendAttempt>(flow.begin(fixture.environment()));
        expect<WaitBackoff>(flow.onAnswer(refusal(ErrorKind::IncarnationGone, 2), fixture.environment()));
        CPPUNIT_ASSERT(expect<SendAttempt>(flow.onBackoffOver(fixture.environment())).target.node != first.target.node);
        auto last = fixture.flow(0);
        expect<SendAttempt>(last.begin(fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(last.onAnswer(refusal(ErrorKind::IncarnationGone), fixture.environment()))
                       == ErrorKind::ConnectFailed);
    }

    void contradictoryAnswerProvesNothing()
    {
        // Guards against trusting a faulty peer whose outcome and reason contradict each other.
        FlowFixture fixture;
        fixture.request.hop = 1;
        auto answer = refusal(ErrorKind::ConnectionLost);
        answer.outcome = Outcome::NotRun;
        auto flow = fixture.flow();
        expect<SendAttempt>(flow.begin(fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(flow.onAnswer(answer, fixture.environment())) == ErrorKind::Internal);
        answer.reason.reset();
        auto withoutReason = fixture.flow();
        expect<SendAttempt>(withoutReason.begin(fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(withoutReason.onAnswer(answer, fixture.environment())) == ErrorKind::Internal);
        answer = refusal(ErrorKind::AnswerGone);
        auto goneAnswer = fixture.flow();
        expect<SendAttempt>(goneAnswer.begin(fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(goneAnswer.onAnswer(answer, fixture.environment())) == ErrorKind::AnswerGone);
    }

    void resendGetsNoAllowanceAndNoRetries()
    {
        // Guards against resends by callers that multiply the retries of a request.
        FlowFixture fixture;
        fixture.request.repeatable = true;
        fixture.request.resend = true;
        auto flow = fixture.flow(5);
        CPPUNIT_ASSERT(expect<SendAttempt>(flow.begin(fixture.environment())).context.allowance == Allowance(0));
        CPPUNIT_ASSERT(errorKindOf(flow.onAnswer(refusal(ErrorKind::Overloaded), fixture.environment()))
                       == ErrorKind::Overloaded);
    }

    void confirmedVoidReturnsTheGrant()
    {
        // Guards against losing the allowance of attempts that are known to have spent none of it.
        FlowFixture fixture;
        fixture.request.hop = 1;
        auto flow = fixture.flow(3);
        CPPUNIT_ASSERT(expect<SendAttempt>(flow.begin(fixture.environment())).context.allowance == Allowance(3));
        expect<SendVoidRequest>(flow.onFailure(ErrorKind::ConnectionLost, fixture.environment()));
        CPPUNIT_ASSERT(fixture.ledger->available() == Allowance(0));
        expect<WaitBackoff>(flow.onVoidAnswer(VoidVerdict::Voided, fixture.environment()));
        CPPUNIT_ASSERT(fixture.ledger->available() == Allowance(2));
    }

    void eventsOutOfOrderChangeNothing()
    {
        // Guards against a late answer or timer that changes the state of a call that has moved on.
        FlowFixture fixture;
        fixture.request.repeatable = true;
        auto flow = fixture.flow();
        const auto ignored = [&](CallFlow &which) {
            expect<Ignore>(which.onBackoffOver(fixture.environment()));
            expect<Ignore>(which.onVoidAnswer(VoidVerdict::Voided, fixture.environment()));
        };
        ignored(flow);
        expect<Ignore>(flow.onAnswer(success(), fixture.environment()));
        expect<SendAttempt>(flow.begin(fixture.environment()));
        expect<Ignore>(flow.begin(fixture.environment()));
        ignored(flow);
        expect<ForwardAnswer>(flow.onAnswer(success(), fixture.environment()));
        ignored(flow);
        expect<Ignore>(flow.onAnswer(success(), fixture.environment()));
        expect<Ignore>(flow.onFailure(ErrorKind::TimedOut, fixture.environment()));
        expect<Ignore>(flow.onCancelled(fixture.environment()));
    }

    void deadlineEndsTheCall()
    {
        // Guards against attempts after the deadline, and against reporting "not run" for a ticket that was not voided.
        FlowFixture fixture;
        const auto late = fixture.request.deadline;
        fixture.request.repeatable = true;
        CPPUNIT_ASSERT(errorKindOf(fixture.flow().begin(fixture.environment(late))) == ErrorKind::DeadlineBeforeStart);
        fixture.request.repeatable = false;
        fixture.useTicket();
        CPPUNIT_ASSERT(errorKindOf(fixture.flow().begin(fixture.environment(late))) == ErrorKind::TimedOut);
        auto flow = fixture.flow();
        expect<SendAttempt>(flow.begin(fixture.environment()));
        CPPUNIT_ASSERT(errorKindOf(flow.onFailure(ErrorKind::TimedOut, fixture.environment(late)))
                       == ErrorKind::TimedOut);
        CPPUNIT_ASSERT(errorKindOf(fixture.flow().onCancelled(fixture.environment()))
                       == ErrorKind::CancelledAfterStart);
        fixture.request.ticket.reset();
        CPPUNIT_ASSERT(errorKindOf(fixture.flow().onCancelled(fixture.environment()))
                       == ErrorKind::CancelledBeforeStart);
    }

    void routingRefusalIsReportedOnlyWithProof()
    {
        // Guards against a routing refusal that reports "not run" after an attempt with unknown outcome.
        FlowFixture fixture;
        fixture.request.repeatable = true;
        auto flow = fixture.flow();
        expect<SendAttempt>(flow.begin(fixture.environment()));
        expect<WaitBackoff>(flow.onFailure(ErrorKind::ConnectionLost, fixture.environment()));
        fixture.router.setMembers({}, Begin);
        CPPUNIT_ASSERT(errorKindOf(flow.onBackoffOver(fixture.environment())) == ErrorKind::ConnectionLost);
        CPPUNIT_ASSERT(errorKindOf(fixture.flow().begin(fixture.environment())) == ErrorKind::NoUpstream);
    }

    void unknownOutcomeKindIsNeverNotRun()
    {
        // Guards against an error kind for which unknownOutcomeKind() returns a kind with outcome NotRun.
        for (const auto &row : errorRows()) {
            const auto kind = unknownOutcomeKind(row.kind);
            CPPUNIT_ASSERT(errorRow(kind).outcome != Outcome::NotRun);
            CPPUNIT_ASSERT(row.outcome == Outcome::NotRun || kind == row.kind);
            CPPUNIT_ASSERT(!refusalVoidsTicket(row.kind) || row.outcome == Outcome::NotRun);
        }
    }

    void resendsJoinAndKeepTickets()
    {
        // Guards against a resent child booking that gets a new ticket and runs a second time.
        FlowFixture fixture;
        fixture.useTicket();
        ResendTable table;
        const ResendKey key{"parent", IdempotencyKey("k")};
        CPPUNIT_ASSERT(table.arrive(key, 1, false, Begin).kind == ResendVerdict::Kind::New);
        const auto join = table.arrive(key, 2, false, Begin);
        CPPUNIT_ASSERT(join.kind == ResendVerdict::Kind::Join && join.call == 1);
        CPPUNIT_ASSERT(table.arrive(ResendKey{"other", key.key}, 3, false, Begin).kind == ResendVerdict::Kind::New);
        table.end(key, Outcome::Unknown, fixture.request.ticket, Begin + std::chrono::hours(1), Begin);
        table.prune(Begin + std::chrono::minutes(59));
        const auto again = table.arrive(key, 4, false, Begin + std::chrono::minutes(59));
        CPPUNIT_ASSERT(again.kind == ResendVerdict::Kind::Resend && again.ticket == fixture.request.ticket);
        CPPUNIT_ASSERT(table.arrive(key, 5, false, Begin).call == 4);
        table.end(key, Outcome::NotRun, fixture.request.ticket, Begin, Begin);
        CPPUNIT_ASSERT(table.arrive(key, 6, false, Begin).kind == ResendVerdict::Kind::New);
    }

    void fullResendTableKeepsTickets()
    {
        // Guards against evicting the key of work that has run.
        FlowFixture fixture;
        fixture.useTicket();
        ResendTable table(2);
        const auto keyOf = [](int i) {
            return ResendKey{"parent", IdempotencyKey(std::to_string(i))};
        };
        table.arrive(keyOf(0), 0, false, Begin);
        table.end(keyOf(0), Outcome::Ran, fixture.request.ticket, Begin, Begin);
        table.arrive(keyOf(1), 1, false, Begin);
        CPPUNIT_ASSERT(table.arrive(keyOf(2), 2, false, Begin).kind == ResendVerdict::Kind::Full);
        CPPUNIT_ASSERT(table.arrive(keyOf(2), 2, true, Begin).kind == ResendVerdict::Kind::Untracked);
        CPPUNIT_ASSERT(table.arrive(keyOf(0), 3, false, Begin).kind == ResendVerdict::Kind::Resend);
        table.end(keyOf(0), Outcome::Ran, fixture.request.ticket, Begin, Begin);
        const auto later = Begin + TicketEpochLength * (TicketLifetimeEpochs + 1);
        CPPUNIT_ASSERT(table.arrive(keyOf(2), 2, false, later).kind == ResendVerdict::Kind::New);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.size());
    }

    void invariantsHoldUnderRandomFaults()
    {
        // Guards against any order of faults that multiplies retries, gives a caller the answer to another call,
        // reports "not run" for work that ran, or runs unrepeatable work twice; with several calls and full tables.
        checkProperty("random faults break no promise", [] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            for (int i = 0; i < 20; ++i) {
                RandomFaultSimulation simulation(random);
                simulation.run();
                const auto violations = simulation.simulation().violations();
                if (!violations.empty()) {
                    RC_FAIL(violations.front());
                }
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallFlowTest);

} // namespace

} // namespace Geraniumsail
