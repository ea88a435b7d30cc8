// How long requests of each route take, smoothed over the last ones.
#ifndef GERANIUMSAIL_CORE_ROUTETIMES_H
#define GERANIUMSAIL_CORE_ROUTETIMES_H

#include "core/routetable.h"

#include <map>
#include <optional>

namespace Geraniumsail {

class RouteTimes
{
public:
    /// Weight of the newest time in the average: about the last 20 count.
    static constexpr double NewestWeight = 0.05;

    void add(const RouteName &route, Duration time);
    /// Nothing before the first time of the route.
    std::optional<Duration> mean(const RouteName &route) const;

private:
    std::map<RouteName, Duration> m_means;
};

} // namespace Geraniumsail

#endif
