// Tests of RetryLedger and decideRetry(). A fault in them multiplies the retries at each hop of a call chain.
#include "core/retryledger.h"
#include "core/retrypolicy.h"

#include "core/rapidcheckutil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Geraniumsail {

namespace {

/// Makes the test fail rather than loop forever if the ledger is faulty.
constexpr int MaxAttempts = 1000;

/// Runs a chain whose last service always refuses; returns the number of attempts that reach the last service.
int attemptsAtLastService(RetryLedger &ledger, int hop, int depth)
{
    int seen = 0;
    do {
        const auto grant = ledger.allocate(1);
        if (hop == depth) {
            ++seen;
            ledger.returnUnused(grant, grant.amount);
        } else {
            RetryLedger next(grant.amount, hop + 1);
            seen += attemptsAtLastService(next, hop + 1, depth);
            ledger.returnUnused(grant, next.close());
        }
    } while (ledger.spendOne() && seen < MaxAttempts);
    return seen;
}

/// Simulates a call tree with random faults and counts the attempts.
class CallTreeSimulation
{
public:
    /// A deep tree is a chain with few faults, so that it reaches MaxDepth; otherwise a fan-out with many faults.
    CallTreeSimulation(Random &random, bool deep) : m_random(random), m_deep(deep)
    {
    }

    /// Runs one request at a node with this allowance; returns the unused allowance.
    Allowance run(Allowance allowance, int hop)
    {
        RetryLedger ledger(allowance, hop);
        const int maxChildren = hop < 6 ? 3 : 1;
        m_depth = std::max(m_depth, hop);
        const int wanted = m_deep ? 1 : static_cast<int>(draw(maxChildren));
        const int children = hop >= MaxDepth || m_sent > MaxSent ? 0 : wanted;
        const int parallel = static_cast<int>(draw(3));
        for (int i = 0; i < children; ++i) {
            call(ledger, hop, parallel);
        }
        return ledger.close();
    }

    /// Makes one call and retries it as long as the ledger permits.
    void call(RetryLedger &ledger, int hop, int parallel)
    {
        ++m_firstAttempts;
        do {
            ++m_sent;
            const auto grant = ledger.allocate(parallel);
            if (!attempt(ledger, grant, hop)) {
                return;
            }
        } while (ledger.spendOne() && m_sent < 2 * MaxSent);
    }

    std::uint64_t sent() const
    {
        return m_sent;
    }
    std::uint64_t firstAttempts() const
    {
        return m_firstAttempts;
    }
    int depth() const
    {
        return m_depth;
    }

    static constexpr int MaxDepth = 29;

private:
    static constexpr std::uint64_t MaxSent = 4000;

    std::uint64_t draw(std::uint64_t maxValue)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, maxValue)(m_random);
    }

    /// Returns true if the attempt failed and the caller wants to retry.
    bool attempt(RetryLedger &ledger, const AllowanceGrant &grant, int hop)
    {
        switch (draw(m_deep ? 31 : 5)) {
        case 0: // Refused: the whole grant is returned.
            ledger.returnUnused(grant, grant.amount);
            return true;
        case 1: // The target failed before the request ran.
            return true;
        case 2: // The request ran, but its answer was lost.
            run(grant.amount, hop + 1);
            return true;
        case 3: { // The answer is lost, or the request runs twice and two answers return too much.
            run(grant.amount, hop + 1);
            const bool answerLost = draw(1) == 0;
            if (answerLost) {
                return true;
            }
            const auto rest = run(Allowance(0), hop + 1);
            ledger.returnUnused(grant, rest);
            ledger.returnUnused(grant, Allowance(16));
            return false;
        }
        default:
            ledger.returnUnused(grant, run(grant.amount, hop + 1));
            return draw(3) == 0;
        }
    }

    Random &m_random;
    bool m_deep;
    int m_depth = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_firstAttempts = 0;
};

ServicePolicy backoffPolicy()
{
    ServicePolicy policy;
    policy.backoffBase = std::chrono::milliseconds(10);
    policy.backoffCap = std::chrono::milliseconds(200);
    return policy;
}

class RetryLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryLedgerTest);
    CPPUNIT_TEST(allocatesTheCeilingPerSibling);
    CPPUNIT_TEST(keepsOneUnitAtTheEntryNode);
    CPPUNIT_TEST(grantIsReturnedOnceAndNeverInExcess);
    CPPUNIT_TEST(closedLedgerIgnoresLateAnswers);
    CPPUNIT_TEST(deepChainDoesNotMultiplyRetries);
    CPPUNIT_TEST(wholeTreeStaysWithinTheRootAllowance);
    CPPUNIT_TEST(retryNeedsEveryCondition);
    CPPUNIT_TEST(refusedRetrySpendsNothing);
    CPPUNIT_TEST(budgetBoundsRetriesUnderTotalFailure);
    CPPUNIT_TEST(backoffStaysWithinTheCap);
    CPPUNIT_TEST(retriesAreFixedWithoutTheLedger);
    CPPUNIT_TEST_SUITE_END();

public:
    void allocatesTheCeilingPerSibling()
    {
        // Guards against granting siblings together more than the ledger has.
        RetryLedger ledger(Allowance(5), 3);
        CPPUNIT_ASSERT(ledger.allocate(2).amount == Allowance(3));
        CPPUNIT_ASSERT(ledger.allocate(2).amount == Allowance(1));
        CPPUNIT_ASSERT(ledger.allocate(1).amount == Allowance(1));
        CPPUNIT_ASSERT(ledger.allocate(1).amount == Allowance(0));
        CPPUNIT_ASSERT(RetryLedger(Allowance(4), 1).allocate(-7).amount == Allowance(4));
        CPPUNIT_ASSERT(RetryLedger(Allowance(4), 1).allocate(INT32_MAX).amount == Allowance(1));
        CPPUNIT_ASSERT(RetryLedger(Allowance(UINT32_MAX), 1).available() == MaxAllowance);
    }

    void keepsOneUnitAtTheEntryNode()
    {
        // Guards against an entry node that cannot retry after a lost answer because it granted its whole allowance.
        RetryLedger ledger(Allowance(3), 0);
        CPPUNIT_ASSERT(ledger.allocate(1).amount == Allowance(2));
        CPPUNIT_ASSERT(ledger.spendOne());
        CPPUNIT_ASSERT(!ledger.spendOne());
        CPPUNIT_ASSERT(RetryLedger(Allowance(1), 0).allocate(1).amount == Allowance(1));
    }

    void grantIsReturnedOnceAndNeverInExcess()
    {
        // Guards against a duplicated or incorrect answer that adds retries.
        RetryLedger ledger(Allowance(4), 1);
        const auto grant = ledger.allocate(2);
        ledger.returnUnused(grant, Allowance(100));
        CPPUNIT_ASSERT(ledger.available() == Allowance(4));
        ledger.returnUnused(grant, Allowance(2));
        ledger.returnUnused(AllowanceGrant{77, Allowance(9)}, Allowance(9));
        ledger.returnUnused(AllowanceGrant{}, Allowance(9));
        CPPUNIT_ASSERT(ledger.available() == Allowance(4));
    }

    void closedLedgerIgnoresLateAnswers()
    {
        // Guards against units that are returned to the caller and also spent by a child call that ends later.
        RetryLedger ledger(Allowance(4), 1);
        const auto grant = ledger.allocate(2);
        CPPUNIT_ASSERT(ledger.close() == Allowance(2));
        ledger.returnUnused(grant, Allowance(2));
        CPPUNIT_ASSERT(ledger.available() == Allowance(0));
        CPPUNIT_ASSERT(!ledger.spendOne());
        CPPUNIT_ASSERT(ledger.close() == Allowance(0));
    }

    void deepChainDoesNotMultiplyRetries()
    {
        // Guards against retry amplification: 3 retries at each of 29 hops would be 4^29 attempts.
        for (std::uint32_t allowance = 0; allowance <= MaxAllowance.value(); ++allowance) {
            RetryLedger root(Allowance(allowance), 0);
            CPPUNIT_ASSERT_EQUAL(1 + static_cast<int>(allowance),
                                 attemptsAtLastService(root, 0, CallTreeSimulation::MaxDepth));
        }
    }

    void wholeTreeStaysWithinTheRootAllowance()
    {
        // Guards against retries that multiply at each hop, with fan-out, lost answers, failed nodes and resends.
        int deepest = 0;
        checkProperty("total attempts <= first attempts + root allowance", [&deepest] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            const auto allowance = *rc::gen::inRange<std::uint32_t>(0, MaxAllowance.value() + 1);
            CallTreeSimulation simulation(random, *rc::gen::arbitrary<bool>());
            RetryLedger root(Allowance(allowance), 0);
            simulation.call(root, 0, 1);
            RC_ASSERT(simulation.sent() <= simulation.firstAttempts() + allowance);
            // A resend by the caller gets no allowance.
            const auto before = simulation.sent() - simulation.firstAttempts();
            RetryLedger resend(Allowance(0), 0);
            simulation.call(resend, 0, 1);
            RC_ASSERT(simulation.sent() - simulation.firstAttempts() == before);
            deepest = std::max(deepest, simulation.depth());
        });
        CPPUNIT_ASSERT_EQUAL(CallTreeSimulation::MaxDepth, deepest);
    }

    void retryNeedsEveryCondition()
    {
        // Guards against retries of work that may not run twice, or that cannot finish before the deadline.
        const auto decide = [](RetryQuery query, std::uint32_t allowance) {
            RetryLedger ledger(Allowance(allowance), 1);
            RetryBudget budget;
            Random random(1);
            query.deadline =
                query.deadline == MonotonicTime{} ? MonotonicTime(std::chrono::seconds(1)) : query.deadline;
            return decideRetry(query, ledger, budget, backoffPolicy(), PolicySwitches{}, MonotonicTime{}, random)
                .refusal;
        };
        RetryQuery query;
        query.error = ErrorKind::Overloaded;
        CPPUNIT_ASSERT(decide(query, 1) == RetryRefusal::None);
        CPPUNIT_ASSERT(decide(query, 0) == RetryRefusal::AllowanceSpent);
        query.expectedServiceTime = std::chrono::seconds(2);
        CPPUNIT_ASSERT(decide(query, 1) == RetryRefusal::DeadlineTooNear);
        query.expectedServiceTime = Duration(0);
        query.error = ErrorKind::ConnectionLost;
        CPPUNIT_ASSERT(decide(query, 1) == RetryRefusal::NotRepeatable);
        query.confirmedNotRun = true;
        CPPUNIT_ASSERT(decide(query, 1) == RetryRefusal::None);
        query.confirmedNotRun = false;
        query.repeatable = true;
        CPPUNIT_ASSERT(decide(query, 1) == RetryRefusal::None);
        query.error = ErrorKind::TicketExpired;
        CPPUNIT_ASSERT(decide(query, 1) == RetryRefusal::NotRetriable);
    }

    void refusedRetrySpendsNothing()
    {
        // Guards against deducting allowance for retries that are not made.
        RetryLedger ledger(Allowance(2), 1);
        RetryBudget budget(0.0);
        Random random(1);
        RetryQuery query;
        query.error = ErrorKind::Overloaded;
        query.deadline = MonotonicTime{};
        const auto decide = [&] {
            return decideRetry(query, ledger, budget, backoffPolicy(), PolicySwitches{}, MonotonicTime{}, random);
        };
        CPPUNIT_ASSERT(decide().refusal == RetryRefusal::DeadlineTooNear);
        CPPUNIT_ASSERT(ledger.available() == Allowance(2));
        query.deadline = MonotonicTime(std::chrono::seconds(1));
        while (budget.spend()) {
        }
        CPPUNIT_ASSERT(decide().refusal == RetryRefusal::BudgetSpent);
        CPPUNIT_ASSERT(ledger.available() == Allowance(2));
    }

    void budgetBoundsRetriesUnderTotalFailure()
    {
        // Guards against a retry storm when every call to a service fails.
        RetryBudget budget(0.1);
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.onFirstAttempt();
            retries += budget.spend() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 110);
        CPPUNIT_ASSERT(retries >= 100);
    }

    void backoffStaysWithinTheCap()
    {
        // Guards against integer overflow at high attempt numbers, and against synchronised retries.
        Random random(5);
        Duration minBackoff = Duration::max();
        Duration maxBackoff(0);
        for (int attempt = 1; attempt < 100; ++attempt) {
            for (int i = 0; i < 50; ++i) {
                const auto backoff = randomBackoff(backoffPolicy(), attempt, random);
                minBackoff = std::min(minBackoff, backoff);
                maxBackoff = std::max(maxBackoff, backoff);
                const auto bound = std::min<Duration>(std::chrono::milliseconds(200),
                                                      std::chrono::milliseconds(10) * (1 << std::min(attempt - 1, 5)));
                CPPUNIT_ASSERT(backoff >= Duration(0) && backoff <= bound);
            }
        }
        CPPUNIT_ASSERT(minBackoff < std::chrono::milliseconds(5) && maxBackoff > std::chrono::milliseconds(150));
    }

    void retriesAreFixedWithoutTheLedger()
    {
        // Guards against an experiment that still uses the ledger although the ledger is switched off.
        PolicySwitches switches;
        switches.retryLedger = false;
        RetryLedger ledger(Allowance(0), 1);
        RetryBudget budget;
        Random random(1);
        RetryQuery query;
        query.error = ErrorKind::Overloaded;
        query.fixedRetries = Allowance(2);
        query.deadline = MonotonicTime(std::chrono::seconds(1));
        int retries = 0;
        for (query.attemptNumber = 1; query.attemptNumber < 10; ++query.attemptNumber) {
            retries +=
                decideRetry(query, ledger, budget, backoffPolicy(), switches, MonotonicTime{}, random).retry() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, retries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryLedgerTest);

} // namespace

} // namespace Geraniumsail
