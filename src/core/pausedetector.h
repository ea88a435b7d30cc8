// Detects from the gap between two ticks that the process was paused, such as by a stopped VM, swapping or a debugger.
#ifndef GERANIUMSAIL_CORE_PAUSEDETECTOR_H
#define GERANIUMSAIL_CORE_PAUSEDETECTOR_H

#include "core/units.h"

#include <optional>

namespace Geraniumsail {

/// Other members suspect a member after 1.5 s without an answer. After a longer gap this node's view may be outdated.
constexpr Duration MaxTickGap = std::chrono::seconds(2);

class PauseDetector
{
public:
    /// Returns true if the process was paused between the previous tick and this one.
    bool tick(MonotonicTime now)
    {
        const bool paused = m_last && now - *m_last > MaxTickGap;
        m_last = now;
        return paused;
    }

private:
    std::optional<MonotonicTime> m_last;
};

} // namespace Geraniumsail

#endif
