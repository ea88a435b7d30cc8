// Tests of the call flow and the resend table: a fault here tells "not run" without proof or sends a booking twice.
#include "core/callflow.h"
#include "core/resendtable.h"

#include "core/callsimulation.h"
#include "core/rapidcheckutil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Geraniumsail {

namespace {

const MonotonicTime Begin(std::chrono::seconds(100));

/// One flow with its node.
class FlowBench
{
public:
    explicit FlowBench(int members = 3)
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

    FlowTools tools(MonotonicTime now = Begin)
    {
        return FlowTools{router, links, budget, policy, switches, random, now};
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

ErrorKind told(const FlowAction &action)
{
    return expect<AnswerCaller>(action).kind;
}

/// Random calls with random faults at random steps of any of them.
class ChaosPlayer
{
public:
    explicit ChaosPlayer(Random &random) : m_random(random), m_simulation(random(), limits(random))
    {
    }

    void play()
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
                m_simulation.advanceClock(draw(3) == 0 ? Duration(TicketEpochLength * TicketEpochCount) : Duration(0));
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
        // Small enough that the table is full in some runs.
        RegistryLimits limits;
        limits.onceEntries = 1 + random() % 6;
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
    CPPUNIT_TEST(lostRepeatableCallIsNeverToldAsNotRun);
    CPPUNIT_TEST(lostUnrepeatableCallIsNotSentElsewhereWithoutConfirmation);
    CPPUNIT_TEST(secondTargetFollowsTheFirstTargetsRefusal);
    CPPUNIT_TEST(oneRefusalDoesNotProveNotRun);
    CPPUNIT_TEST(unreachableTargetOfAnOutsideTicketIsUnknown);
    CPPUNIT_TEST(listenerRefusalOfATicketIsConfirmedFirst);
    CPPUNIT_TEST(startedTicketIsJoinedOnce);
    CPPUNIT_TEST(lateViewAfterARestartIsRetried);
    CPPUNIT_TEST(contradictingPeerProvesNothing);
    CPPUNIT_TEST(resendIsLentNothingAndNotRetried);
    CPPUNIT_TEST(confirmedVoidReturnsTheLoan);
    CPPUNIT_TEST(eventsOutOfOrderChangeNothing);
    CPPUNIT_TEST(deadlineEndsTheCall);
    CPPUNIT_TEST(routingRefusalIsToldOnlyWithProof);
    CPPUNIT_TEST(everyTicketedAnswerMatchesItsProof);
    CPPUNIT_TEST(resendsJoinAndKeepTickets);
    CPPUNIT_TEST(fullResendTableForgetsNoTicket);
    CPPUNIT_TEST(promisesHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void unrepeatableCallNeedsATicket()
    {
        // Guards against a booking that runs without a name under which it can be asked for again.
        FlowBench bench;
        auto flow = bench.flow();
        const auto answer = expect<AnswerCaller>(flow.begin(bench.tools()));
        CPPUNIT_ASSERT(answer.kind == ErrorKind::TicketRequired);
        CPPUNIT_ASSERT_EQUAL(MaxTicketTargets, answer.ticket.value().targets.size());
        CPPUNIT_ASSERT(answer.ticket->targets[0].node != answer.ticket->targets[1].node);
        CPPUNIT_ASSERT_EQUAL(0, flow.attemptsSent());
        FlowBench empty(0);
        CPPUNIT_ASSERT(told(empty.flow().begin(empty.tools())) == ErrorKind::NoUpstream);
    }

    void childCallMakesItsOwnTicket()
    {
        // Guards against a retry under the ticket of an earlier attempt: a resend of it could run beside the retry.
        FlowBench bench;
        bench.request.hop = 1;
        auto flow = bench.flow();
        const auto first = expect<SendAttempt>(flow.begin(bench.tools()));
        CPPUNIT_ASSERT(first.context.once && first.context.epoch && first.context.incarnation == Incarnation(5));
        expect<WaitBackoff>(flow.onFailure(ErrorKind::ConnectFailed, bench.tools()));
        const auto second = expect<SendAttempt>(flow.onBackoffOver(bench.tools()));
        CPPUNIT_ASSERT(second.context.attempt != first.context.attempt);
        CPPUNIT_ASSERT(second.target.node != first.target.node);
        CPPUNIT_ASSERT(flow.ticket().value().id == second.context.attempt);
        expect<ForwardAnswer>(flow.onAnswer(success(), bench.tools()));
        CPPUNIT_ASSERT(flow.ended());
    }

    void lostRepeatableCallIsNeverToldAsNotRun()
    {
        // Guards against "not run" of the last attempt that hides an earlier attempt with unknown end.
        FlowBench bench;
        bench.request.repeatable = true;
        auto flow = bench.flow();
        expect<SendAttempt>(flow.begin(bench.tools()));
        expect<WaitBackoff>(flow.onFailure(ErrorKind::ConnectionLost, bench.tools()));
        expect<SendAttempt>(flow.onBackoffOver(bench.tools()));
        CPPUNIT_ASSERT(told(flow.onFailure(ErrorKind::ConnectFailed, bench.tools())) == ErrorKind::ConnectionLost);
    }

    void lostUnrepeatableCallIsNotSentElsewhereWithoutConfirmation()
    {
        // Guards against a second run after a lost connection (I5).
        for (const auto verdict : {std::optional<VoidVerdict>(), std::optional(VoidVerdict::NotConfirmed)}) {
            for (const bool outside : {false, true}) {
                FlowBench bench;
                bench.request.hop = 1;
                if (outside) {
                    bench.useTicket();
                }
                auto flow = bench.flow();
                expect<SendAttempt>(flow.begin(bench.tools()));
                expect<AskVoid>(flow.onFailure(ErrorKind::ConnectionLost, bench.tools()));
                CPPUNIT_ASSERT(told(flow.onVoidAnswer(verdict, bench.tools())) == ErrorKind::ConnectionLost);
                CPPUNIT_ASSERT_EQUAL(1, flow.attemptsSent());
            }
        }
    }

    void secondTargetFollowsTheFirstTargetsRefusal()
    {
        // Guards against a ticket that is lost although its second target is free, also if another node had it voided.
        for (const auto kind : {ErrorKind::Overloaded, ErrorKind::TicketVoided}) {
            FlowBench bench;
            bench.useTicket();
            auto flow = bench.flow();
            const auto first = expect<SendAttempt>(flow.begin(bench.tools()));
            CPPUNIT_ASSERT(!first.context.voidedBy && first.context.ticketPosition == 0);
            expect<WaitBackoff>(flow.onAnswer(refusal(kind, 1), bench.tools()));
            const auto second = expect<SendAttempt>(flow.onBackoffOver(bench.tools()));
            CPPUNIT_ASSERT(second.target.node == NodeName("t1"));
            CPPUNIT_ASSERT(second.context.voidedBy == NodeName("t0") && second.context.ticketPosition == 1);
            CPPUNIT_ASSERT(second.context.attempt == first.context.attempt);
            CPPUNIT_ASSERT(told(flow.onAnswer(refusal(ErrorKind::Overloaded), bench.tools())) == ErrorKind::Overloaded);
        }
    }

    void oneRefusalDoesNotProveNotRun()
    {
        // Guards against "not run" (I4) while the second target runs the ticket for another entry node.
        FlowBench bench;
        bench.useTicket();
        auto flow = bench.flow(0);
        expect<SendAttempt>(flow.begin(bench.tools()));
        const auto question = expect<AskVoid>(flow.onAnswer(refusal(ErrorKind::Overloaded), bench.tools()));
        CPPUNIT_ASSERT(question.target.node == NodeName("t1"));
        CPPUNIT_ASSERT(told(flow.onVoidAnswer(VoidVerdict::Voided, bench.tools())) == ErrorKind::Overloaded);
        auto unsure = bench.flow(0);
        expect<SendAttempt>(unsure.begin(bench.tools()));
        expect<AskVoid>(unsure.onAnswer(refusal(ErrorKind::Overloaded), bench.tools()));
        CPPUNIT_ASSERT(told(unsure.onVoidAnswer(std::nullopt, bench.tools())) == ErrorKind::IncarnationGone);
        auto running = bench.flow(0);
        expect<SendAttempt>(running.begin(bench.tools()));
        expect<AskVoid>(running.onAnswer(refusal(ErrorKind::Overloaded), bench.tools()));
        const auto join = expect<SendAttempt>(running.onVoidAnswer(VoidVerdict::Started, bench.tools()));
        CPPUNIT_ASSERT(join.target.node == NodeName("t1") && join.context.allowance == Allowance(0));
        CPPUNIT_ASSERT_EQUAL(1, running.attemptsSent());
    }

    void unreachableTargetOfAnOutsideTicketIsUnknown()
    {
        // Guards against "not run" (I4) for a ticket that ran through another node before its target died.
        FlowBench bench;
        bench.useTicket();
        auto flow = bench.flow();
        expect<SendAttempt>(flow.begin(bench.tools()));
        CPPUNIT_ASSERT(told(flow.onFailure(ErrorKind::ConnectFailed, bench.tools())) == ErrorKind::IncarnationGone);
        bench.useTicket(4);
        CPPUNIT_ASSERT(told(bench.flow().begin(bench.tools())) == ErrorKind::IncarnationGone);
        // A ticket of a later life than the own view: the view is late and the target decides.
        bench.useTicket(6);
        expect<SendAttempt>(bench.flow().begin(bench.tools()));
        bench.router.setMembers({}, Begin);
        CPPUNIT_ASSERT(told(bench.flow().begin(bench.tools())) == ErrorKind::IncarnationGone);
    }

    void listenerRefusalOfATicketIsConfirmedFirst()
    {
        // Guards against the second target running while a delayed copy still runs at the first (I5).
        FlowBench bench;
        bench.useTicket();
        auto flow = bench.flow();
        expect<SendAttempt>(flow.begin(bench.tools()));
        const auto question = expect<AskVoid>(flow.onAnswer(refusal(ErrorKind::Draining, 1), bench.tools()));
        CPPUNIT_ASSERT(question.target.node == NodeName("t0"));
        expect<WaitBackoff>(flow.onVoidAnswer(VoidVerdict::Voided, bench.tools()));
        CPPUNIT_ASSERT(expect<SendAttempt>(flow.onBackoffOver(bench.tools())).target.node == NodeName("t1"));
    }

    void startedTicketIsJoinedOnce()
    {
        // Guards against an unknown outcome although the target holds the answer, and against endless joins.
        FlowBench bench;
        bench.request.hop = 1;
        auto flow = bench.flow();
        const auto first = expect<SendAttempt>(flow.begin(bench.tools()));
        expect<AskVoid>(flow.onFailure(ErrorKind::ConnectionLost, bench.tools()));
        const auto join = expect<SendAttempt>(flow.onVoidAnswer(VoidVerdict::Started, bench.tools()));
        CPPUNIT_ASSERT(join.context.attempt == first.context.attempt && join.target.node == first.target.node);
        // The target may have restarted since: neither a failed connect nor another life proves anything now.
        auto gone = flow;
        CPPUNIT_ASSERT(told(gone.onFailure(ErrorKind::ConnectFailed, bench.tools())) == ErrorKind::IncarnationGone);
        auto other = flow;
        CPPUNIT_ASSERT(told(other.onAnswer(refusal(ErrorKind::IncarnationGone), bench.tools()))
                       == ErrorKind::IncarnationGone);
        auto drained = flow;
        expect<AskVoid>(drained.onAnswer(refusal(ErrorKind::Draining), bench.tools()));
        CPPUNIT_ASSERT(told(drained.onVoidAnswer(std::nullopt, bench.tools())) == ErrorKind::IncarnationGone);
        expect<AskVoid>(flow.onFailure(ErrorKind::ConnectionLost, bench.tools()));
        CPPUNIT_ASSERT(told(flow.onVoidAnswer(VoidVerdict::Started, bench.tools())) == ErrorKind::ConnectionLost);
    }

    void lateViewAfterARestartIsRetried()
    {
        // Guards against unknown outcomes of child calls for as long as the view of a restarted target is late.
        FlowBench bench;
        bench.request.hop = 1;
        auto flow = bench.flow();
        const auto first = expect<SendAttempt>(flow.begin(bench.tools()));
        expect<WaitBackoff>(flow.onAnswer(refusal(ErrorKind::IncarnationGone, 2), bench.tools()));
        CPPUNIT_ASSERT(expect<SendAttempt>(flow.onBackoffOver(bench.tools())).target.node != first.target.node);
        auto last = bench.flow(0);
        expect<SendAttempt>(last.begin(bench.tools()));
        CPPUNIT_ASSERT(told(last.onAnswer(refusal(ErrorKind::IncarnationGone), bench.tools()))
                       == ErrorKind::ConnectFailed);
    }

    void contradictingPeerProvesNothing()
    {
        // Guards against a wrong peer whose outcome and reason differ.
        FlowBench bench;
        bench.request.hop = 1;
        auto answer = refusal(ErrorKind::ConnectionLost);
        answer.outcome = Outcome::NotRun;
        auto flow = bench.flow();
        expect<SendAttempt>(flow.begin(bench.tools()));
        CPPUNIT_ASSERT(told(flow.onAnswer(answer, bench.tools())) == ErrorKind::Internal);
        answer.reason.reset();
        auto bare = bench.flow();
        expect<SendAttempt>(bare.begin(bench.tools()));
        CPPUNIT_ASSERT(told(bare.onAnswer(answer, bench.tools())) == ErrorKind::Internal);
        answer = refusal(ErrorKind::AnswerGone);
        auto goneAnswer = bench.flow();
        expect<SendAttempt>(goneAnswer.begin(bench.tools()));
        CPPUNIT_ASSERT(told(goneAnswer.onAnswer(answer, bench.tools())) == ErrorKind::AnswerGone);
    }

    void resendIsLentNothingAndNotRetried()
    {
        // Guards against callers' resends that multiply the retries of a request (I1).
        FlowBench bench;
        bench.request.repeatable = true;
        bench.request.resend = true;
        auto flow = bench.flow(5);
        CPPUNIT_ASSERT(expect<SendAttempt>(flow.begin(bench.tools())).context.allowance == Allowance(0));
        CPPUNIT_ASSERT(told(flow.onAnswer(refusal(ErrorKind::Overloaded), bench.tools())) == ErrorKind::Overloaded);
    }

    void confirmedVoidReturnsTheLoan()
    {
        // Guards against a loss of allowance by attempts that certainly spent none of it.
        FlowBench bench;
        bench.request.hop = 1;
        auto flow = bench.flow(3);
        CPPUNIT_ASSERT(expect<SendAttempt>(flow.begin(bench.tools())).context.allowance == Allowance(3));
        expect<AskVoid>(flow.onFailure(ErrorKind::ConnectionLost, bench.tools()));
        CPPUNIT_ASSERT(bench.ledger->available() == Allowance(0));
        expect<WaitBackoff>(flow.onVoidAnswer(VoidVerdict::Voided, bench.tools()));
        CPPUNIT_ASSERT(bench.ledger->available() == Allowance(2));
    }

    void eventsOutOfOrderChangeNothing()
    {
        // Guards against a late answer or timer that moves a call that has gone on.
        FlowBench bench;
        bench.request.repeatable = true;
        auto flow = bench.flow();
        const auto ignored = [&](CallFlow &which) {
            expect<Ignore>(which.onBackoffOver(bench.tools()));
            expect<Ignore>(which.onVoidAnswer(VoidVerdict::Voided, bench.tools()));
        };
        ignored(flow);
        expect<Ignore>(flow.onAnswer(success(), bench.tools()));
        expect<SendAttempt>(flow.begin(bench.tools()));
        expect<Ignore>(flow.begin(bench.tools()));
        ignored(flow);
        expect<ForwardAnswer>(flow.onAnswer(success(), bench.tools()));
        ignored(flow);
        expect<Ignore>(flow.onAnswer(success(), bench.tools()));
        expect<Ignore>(flow.onFailure(ErrorKind::TimedOut, bench.tools()));
        expect<Ignore>(flow.onCancelled(bench.tools()));
    }

    void deadlineEndsTheCall()
    {
        // Guards against attempts after the deadline, and against "not run" for a ticket that was never asked about.
        FlowBench bench;
        const auto late = bench.request.deadline;
        bench.request.repeatable = true;
        CPPUNIT_ASSERT(told(bench.flow().begin(bench.tools(late))) == ErrorKind::DeadlineBeforeStart);
        bench.request.repeatable = false;
        bench.useTicket();
        CPPUNIT_ASSERT(told(bench.flow().begin(bench.tools(late))) == ErrorKind::TimedOut);
        auto flow = bench.flow();
        expect<SendAttempt>(flow.begin(bench.tools()));
        CPPUNIT_ASSERT(told(flow.onFailure(ErrorKind::TimedOut, bench.tools(late))) == ErrorKind::TimedOut);
        CPPUNIT_ASSERT(told(bench.flow().onCancelled(bench.tools())) == ErrorKind::CancelledAfterStart);
        bench.request.ticket.reset();
        CPPUNIT_ASSERT(told(bench.flow().onCancelled(bench.tools())) == ErrorKind::CancelledBeforeStart);
    }

    void routingRefusalIsToldOnlyWithProof()
    {
        // Guards against an early refusal that claims "not run" after an attempt with unknown end.
        FlowBench bench;
        bench.request.repeatable = true;
        auto flow = bench.flow();
        expect<SendAttempt>(flow.begin(bench.tools()));
        expect<WaitBackoff>(flow.onFailure(ErrorKind::ConnectionLost, bench.tools()));
        bench.router.setMembers({}, Begin);
        CPPUNIT_ASSERT(told(flow.onBackoffOver(bench.tools())) == ErrorKind::ConnectionLost);
        CPPUNIT_ASSERT(told(bench.flow().begin(bench.tools())) == ErrorKind::NoUpstream);
    }

    void everyTicketedAnswerMatchesItsProof()
    {
        // Guards against a not-run kind that stays not-run in unprovenKind().
        for (const auto &row : errorRows()) {
            const auto kind = unprovenKind(row.kind);
            CPPUNIT_ASSERT(errorRow(kind).outcome != Outcome::NotRun);
            CPPUNIT_ASSERT(row.outcome == Outcome::NotRun || kind == row.kind);
            CPPUNIT_ASSERT(!refusalVoids(row.kind) || row.outcome == Outcome::NotRun);
        }
    }

    void resendsJoinAndKeepTickets()
    {
        // Guards against a resent child booking that gets a new ticket and runs again.
        FlowBench bench;
        bench.useTicket();
        ResendTable table;
        const ResendKey key{"parent", IdempotencyKey("k")};
        CPPUNIT_ASSERT(table.arrive(key, 1, false, Begin).kind == ResendVerdict::Kind::New);
        const auto join = table.arrive(key, 2, false, Begin);
        CPPUNIT_ASSERT(join.kind == ResendVerdict::Kind::Join && join.call == 1);
        CPPUNIT_ASSERT(table.arrive(ResendKey{"other", key.key}, 3, false, Begin).kind == ResendVerdict::Kind::New);
        table.end(key, Outcome::Unknown, bench.request.ticket, Begin + std::chrono::hours(1), Begin);
        table.prune(Begin + std::chrono::minutes(59));
        const auto again = table.arrive(key, 4, false, Begin + std::chrono::minutes(59));
        CPPUNIT_ASSERT(again.kind == ResendVerdict::Kind::Again && again.ticket == bench.request.ticket);
        CPPUNIT_ASSERT(table.arrive(key, 5, false, Begin).call == 4);
        table.end(key, Outcome::NotRun, bench.request.ticket, Begin, Begin);
        CPPUNIT_ASSERT(table.arrive(key, 6, false, Begin).kind == ResendVerdict::Kind::New);
    }

    void fullResendTableForgetsNoTicket()
    {
        // Guards against eviction of a key whose work has run.
        FlowBench bench;
        bench.useTicket();
        ResendTable table(2);
        const auto keyOf = [](int i) {
            return ResendKey{"parent", IdempotencyKey(std::to_string(i))};
        };
        table.arrive(keyOf(0), 0, false, Begin);
        table.end(keyOf(0), Outcome::Ran, bench.request.ticket, Begin, Begin);
        table.arrive(keyOf(1), 1, false, Begin);
        CPPUNIT_ASSERT(table.arrive(keyOf(2), 2, false, Begin).kind == ResendVerdict::Kind::Full);
        CPPUNIT_ASSERT(table.arrive(keyOf(2), 2, true, Begin).kind == ResendVerdict::Kind::Untracked);
        CPPUNIT_ASSERT(table.arrive(keyOf(0), 3, false, Begin).kind == ResendVerdict::Kind::Again);
        table.end(keyOf(0), Outcome::Ran, bench.request.ticket, Begin, Begin);
        const auto later = Begin + TicketEpochLength * (TicketEpochCount + 1);
        CPPUNIT_ASSERT(table.arrive(keyOf(2), 2, false, later).kind == ResendVerdict::Kind::New);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.size());
    }

    void promisesHoldUnderRandomFaults()
    {
        // Guards against any order of faults that breaks I1, I3, I4 or I5, with several calls and full tables.
        checkProperty("random faults break no promise", [] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            for (int i = 0; i < 20; ++i) {
                ChaosPlayer player(random);
                player.play();
                const auto violations = player.simulation().violations();
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
