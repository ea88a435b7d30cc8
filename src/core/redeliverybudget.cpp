#include "core/redeliverybudget.h"

#include <algorithm>

namespace Geraniumsail {

RedeliveryBudget::RedeliveryBudget(double ratio) : m_ratio(ratio)
{
}

void RedeliveryBudget::onFirstDelivery(const ServiceName &service, RedeliveryPriority priority)
{
    auto &bucket = m_buckets[service];
    bucket.hasUrgent = bucket.hasUrgent || priority == RedeliveryPriority::Urgent;
    const double share = bucket.makesCalls ? UpperShare / UpperLevels : LeafShare;
    bucket.tokens = std::min(MaxTokens, bucket.tokens + m_ratio * share);
}

void RedeliveryBudget::setMakesCalls(const ServiceName &service, bool makesCalls)
{
    m_buckets[service].makesCalls = makesCalls;
}

bool RedeliveryBudget::take(const ServiceName &service, RedeliveryPriority priority)
{
    const auto bucket = m_buckets.find(service);
    if (bucket == m_buckets.end()) {
        return false;
    }
    const bool leavesReserve = priority == RedeliveryPriority::Normal && bucket->second.hasUrgent;
    if (bucket->second.tokens < 1 + (leavesReserve ? UrgentReserve : 0)) {
        return false;
    }
    bucket->second.tokens -= 1;
    return true;
}

double RedeliveryBudget::tokens(const ServiceName &service) const
{
    const auto bucket = m_buckets.find(service);
    return bucket == m_buckets.end() ? 0 : bucket->second.tokens;
}

} // namespace Geraniumsail
