#include "core/returntime.h"

#include <algorithm>

namespace Geraniumsail {

void ReturnTime::onServed(const RouteName &route, Duration took)
{
    m_served.add(route, took);
}

Duration ReturnTime::delay(const RouteRule &rule, Random &random) const
{
    const auto served = m_served.mean(rule.name).value_or(Duration(0));
    const double latest =
        static_cast<double>(rule.latencyTarget.count()) - ServedMargin * static_cast<double>(served.count());
    std::uniform_real_distribution<double> part(LeastPart, 1);
    const auto drawn = latest * part(random);
    return std::clamp(Duration(static_cast<Duration::rep>(drawn)), LeastDelay, MostDelay);
}

} // namespace Geraniumsail
