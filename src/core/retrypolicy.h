// Decides whether a failed attempt is retried.
//
// A retry requires an error that permits it, a unit from the ledger of the request, a token from the retry budget of
// the service, and enough time before the deadline for the backoff and the expected service time. The ledger limits the
// retries of one call tree; the budget limits the retries of one node to one service when all its calls fail.
#ifndef GERANIUMSAIL_CORE_RETRYPOLICY_H
#define GERANIUMSAIL_CORE_RETRYPOLICY_H

#include "core/errorkind.h"
#include "core/policy.h"
#include "core/random.h"
#include "core/retryledger.h"
#include "core/units.h"

#include <string_view>

namespace Geraniumsail {

/// Tokens in a full budget: the retries that a node may send in a burst to a service without failures so far.
constexpr double RetryBudgetCapacity = 10.0;

/// Token bucket for the retries of one node to one service. First attempts add tokens, not time, so that the retries
/// stay at the given fraction of the calls even if every call fails.
class RetryBudget
{
public:
    explicit RetryBudget(double ratio = 0.1);

    void setRatio(double ratio);
    void onFirstAttempt();
    bool canSpend() const;
    /// Removes one token. Returns false if there is none.
    bool spend();

private:
    double m_ratio;
    double m_tokens = RetryBudgetCapacity;
};

/// Reason why an attempt is not retried. Each reason has a counter with its label.
enum class RetryRefusal {
    None,
    NotRetriable,
    NotRepeatable,
    AllowanceSpent,
    BudgetSpent,
    DeadlineTooNear,
};

std::string_view retryRefusalLabel(RetryRefusal refusal);

/// Properties of the failed attempt.
struct RetryQuery
{
    ErrorKind error = ErrorKind::Internal;
    bool repeatable = false;
    /// True if the target confirmed that the attempt did not run and never will. Takes precedence over the error kind.
    bool confirmedNotRun = false;
    /// Number of attempts sent so far, at least 1.
    int attemptNumber = 1;
    /// Retries per hop if the ledger is switched off.
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

/// Deducts from the ledger and the budget only if the decision is to retry.
RetryDecision decideRetry(const RetryQuery &query, RetryLedger &ledger, RetryBudget &budget,
                          const ServicePolicy &policy, const PolicySwitches &switches, MonotonicTime now,
                          Random &random);

/// Exponential backoff with full jitter: uniform from 0 to min(cap, base * 2^(attemptNumber - 1)).
Duration randomBackoff(const ServicePolicy &policy, int attemptNumber, Random &random);

} // namespace Geraniumsail

#endif
