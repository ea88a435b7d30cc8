// Exponential backoff with jitter, for retries of a call that failed.
#ifndef GERANIUMSAIL_CORE_BACKOFF_H
#define GERANIUMSAIL_CORE_BACKOFF_H

#include "core/random.h"
#include "core/units.h"

#include <algorithm>

namespace Geraniumsail {

/// Returns a random delay between half and all of the current backoff, and doubles the backoff up to max.
inline Duration nextBackoff(Duration &backoff, Duration max, Random &random)
{
    const auto current = backoff;
    backoff = std::min(backoff * 2, max);
    std::uniform_int_distribution<Duration::rep> jitter(current.count() / 2, current.count());
    return Duration(jitter(random));
}

} // namespace Geraniumsail

#endif
