// The present time, read only in the layers that own sockets; the core receives it as an argument.
//
// Monotonic time includes the time for which the VM was suspended. The steady clock stands still then, so that a
// deadline, a proof or a lease would seem valid although it ran out during the suspension.
#ifndef GERANIUMSAIL_NET_CLOCK_H
#define GERANIUMSAIL_NET_CLOCK_H

#include "core/units.h"

#include <chrono>

namespace Geraniumsail {

MonotonicTime monotonicNow();
WallTime wallNow();

/// The same instant on the clock of Asio's timers, which does not count a suspension: to be computed anew for each
/// wait.
std::chrono::steady_clock::time_point toSteady(MonotonicTime time);

} // namespace Geraniumsail

#endif
