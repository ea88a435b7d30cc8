#include "core/redeliverybudget.h"

#include <algorithm>

namespace Geraniumsail {

RedeliveryBudget::RedeliveryBudget(double ratio) : m_ratio(ratio)
{
}

void RedeliveryBudget::onFirstDelivery(const ServiceName &service, RepeatPriority priority)
{
    auto &bucket = m_buckets[service];
    bucket.hasUrgent = bucket.hasUrgent || priority == RepeatPriority::Urgent;
    const double part = bucket.makesCalls ? UpperPart / UpperLevels : LeafPart;
    bucket.tokens = std::min(Burst, bucket.tokens + m_ratio * part);
}

void RedeliveryBudget::setMakesCalls(const ServiceName &service, bool makesCalls)
{
    m_buckets[service].makesCalls = makesCalls;
}

bool RedeliveryBudget::take(const ServiceName &service, RepeatPriority priority)
{
    const auto bucket = m_buckets.find(service);
    if (bucket == m_buckets.end()) {
        return false;
    }
    const bool leavesReserve = priority == RepeatPriority::Normal && bucket->second.hasUrgent;
    if (bucket->second.tokens < 1 + (leavesReserve ? UrgentReserve : 0)) {
        return false;
    }
    bucket->second.tokens -= 1;
    return true;
}

double RedeliveryBudget::left(const ServiceName &service) const
{
    const auto bucket = m_buckets.find(service);
    return bucket == m_buckets.end() ? 0 : bucket->second.tokens;
}

} // namespace Geraniumsail
