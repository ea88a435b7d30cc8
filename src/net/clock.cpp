#include "net/clock.h"

namespace Geraniumsail {

MonotonicTime monotonicNow()
{
    return MonotonicTime(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime wallNow()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

std::chrono::steady_clock::time_point toSteady(MonotonicTime time)
{
    return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

} // namespace Geraniumsail
