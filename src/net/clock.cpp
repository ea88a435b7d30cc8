#include "net/clock.h"

#include <algorithm>
#include <ctime>

namespace Geraniumsail {

MonotonicTime monotonicNow()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                              + std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime wallNow()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

std::chrono::steady_clock::time_point toSteady(MonotonicTime time)
{
    // Far limits such as MonotonicTime::max() must not overflow.
    constexpr Duration maxWait = std::chrono::hours(24 * 365);
    return std::chrono::steady_clock::now() + std::min(time - monotonicNow(), maxWait);
}

} // namespace Geraniumsail
