#include "core/redeliverybudget.h"

#include <algorithm>

namespace Geraniumsail {

RedeliveryBudget::RedeliveryBudget(double ratio) : m_ratio(ratio)
{
}

void RedeliveryBudget::onFirstDelivery(const ServiceName &service)
{
    auto &bucket = m_buckets[service];
    const double part = bucket.makesCalls ? UpperPart / UpperLevels : LeafPart;
    bucket.tokens = std::min(Burst, bucket.tokens + m_ratio * part);
}

void RedeliveryBudget::setMakesCalls(const ServiceName &service, bool makesCalls)
{
    m_buckets[service].makesCalls = makesCalls;
}

bool RedeliveryBudget::take(const ServiceName &service)
{
    const auto bucket = m_buckets.find(service);
    if (bucket == m_buckets.end() || bucket->second.tokens < 1) {
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
