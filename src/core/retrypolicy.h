// Decides whether a failed attempt is followed by another.
//
// A retry needs all of: an error that permits it, a unit of the request's ledger, a token of the service's budget, and
// enough time before the deadline for the backoff and the expected service time. The ledger bounds the retries of one
// call tree; the budget bounds the retries of one node to one service when all its calls fail together.
#ifndef GERANIUMSAIL_CORE_RETRYPOLICY_H
#define GERANIUMSAIL_CORE_RETRYPOLICY_H

#include "core/errorkind.h"
#include "core/policy.h"
#include "core/random.h"
#include "core/retryledger.h"
#include "core/units.h"

#include <string_view>

namespace Geraniumsail {

/// Retries that a node may send to a service whose calls have all succeeded so far.
constexpr double RetryBurst = 10.0;

/// Token bucket of one service at one node. It is filled by first attempts, not by time: under total failure, retries
/// stay the given fraction of the calls.
class RetryBudget
{
public:
    explicit RetryBudget(double ratio = 0.1);

    void setRatio(double ratio);
    void onFirstAttempt();
    bool canSpend() const;
    /// Takes one token; false if there is none.
    bool spend();

private:
    double m_ratio;
    double m_tokens = RetryBurst;
};

/// Why no retry follows. Each has a counter with this label.
enum class RetryRefusal {
    None,
    NotRetriable,
    NotRepeatable,
    AllowanceSpent,
    BudgetSpent,
    DeadlineTooNear,
};

std::string_view retryRefusalLabel(RetryRefusal refusal);

/// What is known about the failed attempt.
struct RetryQuery
{
    ErrorKind error = ErrorKind::Internal;
    bool repeatable = false;
    /// True if the target confirmed that the attempt did not run and never will, whatever the error kind says.
    bool confirmedNotRun = false;
    /// Attempts sent so far, at least 1.
    int attemptNumber = 1;
    /// Retries per hop if the ledger is switched off for an experiment.
    Allowance fixedRetries{0};
    Duration expectedServiceTime{0};
    MonotonicTime deadline;
};

struct RetryDecision
{
    RetryRefusal refusal = RetryRefusal::None;
    Duration backoff{0}; ///< Time to wait before the retry.

    bool retry() const
    {
        return refusal == RetryRefusal::None;
    }
};

/// Spends from the ledger and the budget only if the decision is to retry.
RetryDecision decideRetry(const RetryQuery &query, RetryLedger &ledger, RetryBudget &budget,
                          const ServicePolicy &policy, const PolicySwitches &switches, MonotonicTime now,
                          Random &random);

/// Full jitter: uniform from 0 to min(cap, base * 2^(attemptNumber - 1)).
Duration drawBackoff(const ServicePolicy &policy, int attemptNumber, Random &random);

} // namespace Geraniumsail

#endif
