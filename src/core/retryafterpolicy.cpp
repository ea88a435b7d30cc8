#include "core/retryafterpolicy.h"

#include <algorithm>

namespace Geraniumsail {

void RetryAfterPolicy::onResponse(const RouteName &route, Duration responseTime)
{
    m_responseTimes.add(route, responseTime);
}

Duration RetryAfterPolicy::delay(const RouteRule &rule, Random &random) const
{
    const auto responseTime = m_responseTimes.mean(rule.name).value_or(Duration(0));
    const double latest = static_cast<double>(rule.latencyTarget.count())
        - ResponseTimeMargin * static_cast<double>(responseTime.count());
    std::uniform_real_distribution<double> fraction(MinDelayFraction, 1);
    const auto sampled = latest * fraction(random);
    return std::clamp(Duration(static_cast<Duration::rep>(sampled)), MinDelay, MaxDelay);
}

} // namespace Geraniumsail
