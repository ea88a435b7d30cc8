#include "core/redeliverybudget.h"

#include <algorithm>

namespace Geraniumsail {

RedeliveryBudget::RedeliveryBudget(double ratio) : m_earned(ratio * UsedPart / CallLevels)
{
}

void RedeliveryBudget::onFirstDelivery(const ServiceName &service)
{
    auto &tokens = m_tokens[service];
    tokens = std::min(Burst, tokens + m_earned);
}

bool RedeliveryBudget::take(const ServiceName &service)
{
    const auto tokens = m_tokens.find(service);
    if (tokens == m_tokens.end() || tokens->second < 1) {
        return false;
    }
    tokens->second -= 1;
    return true;
}

double RedeliveryBudget::left(const ServiceName &service) const
{
    const auto tokens = m_tokens.find(service);
    return tokens == m_tokens.end() ? 0 : tokens->second;
}

} // namespace Geraniumsail
