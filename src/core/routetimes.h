// Moving average of the request times of each route.
#ifndef GERANIUMSAIL_CORE_ROUTETIMES_H
#define GERANIUMSAIL_CORE_ROUTETIMES_H

#include "core/routetable.h"

#include <map>
#include <optional>

namespace Geraniumsail {

class RouteTimes
{
public:
    /// Weight of the newest time in the moving average, which covers about the last 20.
    static constexpr double NewestWeight = 0.05;

    void add(const RouteName &route, Duration time);
    /// Moving average of the route; nullopt before its first time.
    std::optional<Duration> mean(const RouteName &route) const;

private:
    std::map<RouteName, Duration> m_means;
};

} // namespace Geraniumsail

#endif
