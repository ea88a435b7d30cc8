// What a target node tells calling nodes with each answer.
#ifndef GERANIUMSAIL_CORE_LOAD_H
#define GERANIUMSAIL_CORE_LOAD_H

#include "core/units.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

/// Place of a request in the order of service: rank first, then score. A smaller value is served first.
struct Priority
{
    Rank rank;
    AdmissionScore score;

    auto operator<=>(const Priority &) const = default;
};

/// The priority that counts at a target: calls below a root call have a small advantage in score, because work was
/// already spent on their request. Without it the noise of the thresholds, about 1 % of the scores at each hop, costs a
/// chain of 29 hops 6 %. Calling nodes that refuse early must compare this priority with the threshold.
Priority effectivePriority(const Priority &priority, int hop);

/// Excess work with a priority after this one is refused. Without a value everything passes.
struct Threshold
{
    std::optional<Priority> last;

    bool passes(const Priority &priority) const
    {
        return !last || priority <= *last;
    }
    bool operator==(const Threshold &) const = default;
};

/// Load of one upstream, known exactly by its own node.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;

    bool operator==(const LoadReport &) const = default;
};

/// Text forms for the headers Geraniumsail-Threshold ("rank/score" or "none") and Geraniumsail-Load
/// ("run/queue/limit").
std::string encodeThreshold(const Threshold &threshold);
std::optional<Threshold> decodeThreshold(std::string_view text);
std::string encodeLoad(const LoadReport &load);
std::optional<LoadReport> decodeLoad(std::string_view text);

} // namespace Geraniumsail

#endif
