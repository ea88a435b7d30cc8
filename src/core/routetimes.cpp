#include "core/routetimes.h"

namespace Geraniumsail {

void RouteTimes::add(const RouteName &route, Duration time)
{
    const auto [entry, isFirst] = m_means.try_emplace(route, time);
    if (!isFirst) {
        const auto change = static_cast<double>((time - entry->second).count()) * NewestWeight;
        entry->second += Duration(static_cast<Duration::rep>(change));
    }
}

std::optional<Duration> RouteTimes::mean(const RouteName &route) const
{
    const auto found = m_means.find(route);
    return found == m_means.end() ? std::nullopt : std::optional(found->second);
}

} // namespace Geraniumsail
