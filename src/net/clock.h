// The present time, read only in the layers that own sockets; the core receives it as an argument.
#ifndef GERANIUMSAIL_NET_CLOCK_H
#define GERANIUMSAIL_NET_CLOCK_H

#include "core/units.h"

#include <chrono>

namespace Geraniumsail {

MonotonicTime monotonicNow();
WallTime wallNow();

/// The same instant on the clock of Asio's timers.
std::chrono::steady_clock::time_point toSteady(MonotonicTime time);

} // namespace Geraniumsail

#endif
