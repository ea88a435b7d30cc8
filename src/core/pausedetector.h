// Tells from the gap between two ticks that the process was paused (stopped VM, swapped out, debugger).
#ifndef GERANIUMSAIL_CORE_PAUSEDETECTOR_H
#define GERANIUMSAIL_CORE_PAUSEDETECTOR_H

#include "core/units.h"

#include <optional>

namespace Geraniumsail {

/// Others declare a member suspect after 1.5 s without an answer; a longer gap makes the own view doubtful.
constexpr Duration PauseGap = std::chrono::seconds(2);

class PauseDetector
{
public:
    /// True if the process was paused between the previous tick and this one.
    bool tick(MonotonicTime now)
    {
        const bool paused = m_last && now - *m_last > PauseGap;
        m_last = now;
        return paused;
    }

private:
    std::optional<MonotonicTime> m_last;
};

} // namespace Geraniumsail

#endif
