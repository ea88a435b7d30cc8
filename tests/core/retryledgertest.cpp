// Tests of the retry ledger and the retry decision: a fault here multiplies retries at each hop of a chain.
#include "core/retryledger.h"
#include "core/retrypolicy.h"

#include "core/rapidcheckutil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Geraniumsail {

namespace {

/// A broken ledger must fail the test instead of keeping it busy for ever.
constexpr int MostAttempts = 1000;

/// A chain whose last service always refuses; returns the attempts that the last service saw.
int attemptsAtTheEndOfAChain(RetryLedger &ledger, int hop, int depth)
{
    int seen = 0;
    do {
        const auto loan = ledger.lend(1);
        if (hop == depth) {
            ++seen;
            ledger.giveBack(loan, loan.amount);
        } else {
            RetryLedger next(loan.amount, hop + 1);
            seen += attemptsAtTheEndOfAChain(next, hop + 1, depth);
            ledger.giveBack(loan, next.close());
        }
    } while (ledger.spendOwn() && seen < MostAttempts);
    return seen;
}

/// Plays a call tree with random faults and counts what was sent.
class TreePlayer
{
public:
    /// A deep tree is a chain with few faults, so that it reaches the greatest depth; else fan-out with many faults.
    TreePlayer(Random &random, bool deep) : m_random(random), m_deep(deep)
    {
    }

    /// Runs one request at a node with this allowance; returns what it gives back.
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

    /// Makes one call with retries as long as the ledger permits.
    void call(RetryLedger &ledger, int hop, int parallel)
    {
        ++m_first;
        do {
            ++m_sent;
            const auto loan = ledger.lend(parallel);
            if (!attempt(ledger, loan, hop)) {
                return;
            }
        } while (ledger.spendOwn() && m_sent < 2 * MaxSent);
    }

    std::uint64_t sent() const
    {
        return m_sent;
    }
    std::uint64_t first() const
    {
        return m_first;
    }
    int depth() const
    {
        return m_depth;
    }

    static constexpr int MaxDepth = 29;

private:
    static constexpr std::uint64_t MaxSent = 4000;

    std::uint64_t draw(std::uint64_t most)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, most)(m_random);
    }

    /// True if the attempt failed so that the caller wants another.
    bool attempt(RetryLedger &ledger, const Loan &loan, int hop)
    {
        switch (draw(m_deep ? 31 : 5)) {
        case 0: // Refused: all comes back.
            ledger.giveBack(loan, loan.amount);
            return true;
        case 1: // The target died before it ran anything.
            return true;
        case 2: // Ran, but the answer was lost.
            run(loan.amount, hop + 1);
            return true;
        case 3: { // The answer arrives twice and claims too much.
            run(loan.amount, hop + 1);
            const bool again = draw(1) == 0;
            if (again) {
                return true;
            }
            const auto rest = run(Allowance(0), hop + 1);
            ledger.giveBack(loan, rest);
            ledger.giveBack(loan, Allowance(16));
            return false;
        }
        default:
            ledger.giveBack(loan, run(loan.amount, hop + 1));
            return draw(3) == 0;
        }
    }

    Random &m_random;
    bool m_deep;
    int m_depth = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_first = 0;
};

ServicePolicy quickPolicy()
{
    ServicePolicy policy;
    policy.backoffBase = std::chrono::milliseconds(10);
    policy.backoffCap = std::chrono::milliseconds(200);
    return policy;
}

class RetryLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryLedgerTest);
    CPPUNIT_TEST(lendsTheCeilingPerSibling);
    CPPUNIT_TEST(keepsOneUnitAtTheEntry);
    CPPUNIT_TEST(givesBackOnceAndNeverMoreThanLent);
    CPPUNIT_TEST(closedLedgerIgnoresLateAnswers);
    CPPUNIT_TEST(deepChainDoesNotMultiplyRetries);
    CPPUNIT_TEST(wholeTreeStaysWithinTheRootAllowance);
    CPPUNIT_TEST(decisionNeedsEveryCondition);
    CPPUNIT_TEST(refusedRetrySpendsNothing);
    CPPUNIT_TEST(budgetBoundsRetriesUnderTotalFailure);
    CPPUNIT_TEST(backoffStaysWithinTheCap);
    CPPUNIT_TEST(experimentsUseAFixedNumberOfRetries);
    CPPUNIT_TEST_SUITE_END();

public:
    void lendsTheCeilingPerSibling()
    {
        // Guards against siblings that together get more than the ledger holds.
        RetryLedger ledger(Allowance(5), 3);
        CPPUNIT_ASSERT(ledger.lend(2).amount == Allowance(3));
        CPPUNIT_ASSERT(ledger.lend(2).amount == Allowance(1));
        CPPUNIT_ASSERT(ledger.lend(1).amount == Allowance(1));
        CPPUNIT_ASSERT(ledger.lend(1).amount == Allowance(0));
        CPPUNIT_ASSERT(RetryLedger(Allowance(4), 1).lend(-7).amount == Allowance(4));
        CPPUNIT_ASSERT(RetryLedger(Allowance(4), 1).lend(INT32_MAX).amount == Allowance(1));
        CPPUNIT_ASSERT(RetryLedger(Allowance(UINT32_MAX), 1).available() == MaxAllowance);
    }

    void keepsOneUnitAtTheEntry()
    {
        // Guards against an entry node that cannot retry after a lost answer because it lent everything.
        RetryLedger ledger(Allowance(3), 0);
        CPPUNIT_ASSERT(ledger.lend(1).amount == Allowance(2));
        CPPUNIT_ASSERT(ledger.spendOwn());
        CPPUNIT_ASSERT(!ledger.spendOwn());
        CPPUNIT_ASSERT(RetryLedger(Allowance(1), 0).lend(1).amount == Allowance(1));
    }

    void givesBackOnceAndNeverMoreThanLent()
    {
        // Guards against a repeated or false answer that creates retries.
        RetryLedger ledger(Allowance(4), 1);
        const auto loan = ledger.lend(2);
        ledger.giveBack(loan, Allowance(100));
        CPPUNIT_ASSERT(ledger.available() == Allowance(4));
        ledger.giveBack(loan, Allowance(2));
        ledger.giveBack(Loan{77, Allowance(9)}, Allowance(9));
        ledger.giveBack(Loan{}, Allowance(9));
        CPPUNIT_ASSERT(ledger.available() == Allowance(4));
    }

    void closedLedgerIgnoresLateAnswers()
    {
        // Guards against units that are both returned to the lender and spent by a child call that ends later.
        RetryLedger ledger(Allowance(4), 1);
        const auto loan = ledger.lend(2);
        CPPUNIT_ASSERT(ledger.close() == Allowance(2));
        ledger.giveBack(loan, Allowance(2));
        CPPUNIT_ASSERT(ledger.available() == Allowance(0));
        CPPUNIT_ASSERT(!ledger.spendOwn());
        CPPUNIT_ASSERT(ledger.close() == Allowance(0));
    }

    void deepChainDoesNotMultiplyRetries()
    {
        // Guards against the classic storm: 3 retries at each of 29 hops would be 4^29 attempts.
        for (std::uint32_t allowance = 0; allowance <= MaxAllowance.value(); ++allowance) {
            RetryLedger root(Allowance(allowance), 0);
            CPPUNIT_ASSERT_EQUAL(1 + static_cast<int>(allowance),
                                 attemptsAtTheEndOfAChain(root, 0, TreePlayer::MaxDepth));
        }
    }

    void wholeTreeStaysWithinTheRootAllowance()
    {
        // Guards against retries that multiply per hop (I1), with fan-out, lost answers, dead nodes and resends.
        int deepest = 0;
        checkProperty("total attempts <= first attempts + root allowance", [&deepest] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            const auto allowance = *rc::gen::inRange<std::uint32_t>(0, MaxAllowance.value() + 1);
            TreePlayer player(random, *rc::gen::arbitrary<bool>());
            RetryLedger root(Allowance(allowance), 0);
            player.call(root, 0, 1);
            RC_ASSERT(player.sent() <= player.first() + allowance);
            // A resend by the caller gets nothing.
            const auto before = player.sent() - player.first();
            RetryLedger resend(Allowance(0), 0);
            player.call(resend, 0, 1);
            RC_ASSERT(player.sent() - player.first() == before);
            deepest = std::max(deepest, player.depth());
        });
        CPPUNIT_ASSERT_EQUAL(TreePlayer::MaxDepth, deepest);
    }

    void decisionNeedsEveryCondition()
    {
        // Guards against retries of work that may not be repeated, or that cannot end in time.
        const auto decide = [](RetryQuery query, std::uint32_t allowance) {
            RetryLedger ledger(Allowance(allowance), 1);
            RetryBudget budget;
            Random random(1);
            query.deadline =
                query.deadline == MonotonicTime{} ? MonotonicTime(std::chrono::seconds(1)) : query.deadline;
            return decideRetry(query, ledger, budget, quickPolicy(), PolicySwitches{}, MonotonicTime{}, random).refusal;
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
        // Guards against a leak of allowance by retries that were not made.
        RetryLedger ledger(Allowance(2), 1);
        RetryBudget budget(0.0);
        Random random(1);
        RetryQuery query;
        query.error = ErrorKind::Overloaded;
        query.deadline = MonotonicTime{};
        const auto decide = [&] {
            return decideRetry(query, ledger, budget, quickPolicy(), PolicySwitches{}, MonotonicTime{}, random);
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
        // Guards against an overflow of the doubling, and against synchronised retries.
        Random random(5);
        Duration least = Duration::max();
        Duration most(0);
        for (int attempt = 1; attempt < 100; ++attempt) {
            for (int i = 0; i < 50; ++i) {
                const auto backoff = drawBackoff(quickPolicy(), attempt, random);
                least = std::min(least, backoff);
                most = std::max(most, backoff);
                const auto bound = std::min<Duration>(std::chrono::milliseconds(200),
                                                      std::chrono::milliseconds(10) * (1 << std::min(attempt - 1, 5)));
                CPPUNIT_ASSERT(backoff >= Duration(0) && backoff <= bound);
            }
        }
        CPPUNIT_ASSERT(least < std::chrono::milliseconds(5) && most > std::chrono::milliseconds(150));
    }

    void experimentsUseAFixedNumberOfRetries()
    {
        // Guards against a comparison run that silently still uses the ledger.
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
                decideRetry(query, ledger, budget, quickPolicy(), switches, MonotonicTime{}, random).retry() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, retries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryLedgerTest);

} // namespace

} // namespace Geraniumsail
