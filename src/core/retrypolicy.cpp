#include "core/retrypolicy.h"

#include <algorithm>
#include <array>

namespace Geraniumsail {

namespace {

constexpr std::array<std::string_view, 6> RefusalLabels{
    "none", "not-retriable", "not-repeatable", "allowance-spent", "budget-spent", "deadline-too-near"};

RetryRefusal errorRefusal(const RetryQuery &query)
{
    const auto retriable = errorRow(query.error).retriable;
    if (retriable == Retriable::Never && !query.confirmedNotRun) {
        return RetryRefusal::NotRetriable;
    }
    if (retriable == Retriable::IfRepeatable && !query.repeatable && !query.confirmedNotRun) {
        return RetryRefusal::NotRepeatable;
    }
    return RetryRefusal::None;
}

bool hasAllowance(const RetryQuery &query, const RetryLedger &ledger, const PolicySwitches &switches)
{
    if (switches.retryLedger) {
        return ledger.available() > Allowance(0);
    }
    return query.attemptNumber <= static_cast<int>(query.fixedRetries.value());
}

} // namespace

RetryBudget::RetryBudget(double ratio) : m_ratio(ratio)
{
}

void RetryBudget::setRatio(double ratio)
{
    m_ratio = ratio;
}

void RetryBudget::onFirstAttempt()
{
    m_tokens = std::min(RetryBudgetCapacity, m_tokens + m_ratio);
}

bool RetryBudget::canSpend() const
{
    return m_tokens >= 1.0;
}

bool RetryBudget::spend()
{
    if (!canSpend()) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

std::string_view retryRefusalLabel(RetryRefusal refusal)
{
    return RefusalLabels.at(static_cast<std::size_t>(refusal));
}

Duration randomBackoff(const ServicePolicy &policy, int attemptNumber, Random &random)
{
    // The base times 2^20 is above every cap in use; a larger shift would overflow.
    const int doublings = std::clamp(attemptNumber - 1, 0, 20);
    const auto base = std::max<Duration::rep>(policy.backoffBase.count(), 0);
    const auto cap = std::max<Duration::rep>(policy.backoffCap.count(), 0);
    const auto maxBackoff = base > (cap >> doublings) ? cap : base << doublings;
    return Duration(std::uniform_int_distribution<Duration::rep>(0, maxBackoff)(random));
}

RetryDecision decideRetry(const RetryQuery &query, RetryLedger &ledger, RetryBudget &budget,
                          const ServicePolicy &policy, const PolicySwitches &switches, MonotonicTime now,
                          Random &random)
{
    if (const auto refusal = errorRefusal(query); refusal != RetryRefusal::None) {
        return {refusal, Duration(0)};
    }
    if (!hasAllowance(query, ledger, switches)) {
        return {RetryRefusal::AllowanceSpent, Duration(0)};
    }
    const auto backoff = randomBackoff(policy, query.attemptNumber, random);
    if (now + backoff + query.expectedServiceTime >= query.deadline) {
        return {RetryRefusal::DeadlineTooNear, Duration(0)};
    }
    if (switches.retryBudget && !budget.spend()) {
        return {RetryRefusal::BudgetSpent, Duration(0)};
    }
    if (switches.retryLedger) {
        ledger.spendOne();
    }
    return {RetryRefusal::None, backoff};
}

} // namespace Geraniumsail
