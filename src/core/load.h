// Load information that a target node returns to calling nodes with each answer.
#ifndef GERANIUMSAIL_CORE_LOAD_H
#define GERANIUMSAIL_CORE_LOAD_H

#include "core/units.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

/// Priority of a request: ordered by rank, then by score. A smaller value is served first.
struct Priority
{
    Rank rank;
    AdmissionScore score;

    auto operator<=>(const Priority &) const = default;
};

/// Returns the priority that a target uses. Child calls get a slightly lower score than root calls, because work was
/// already spent on their request. Without this, threshold noise of about 1 % of the scores at each hop costs a chain
/// of 29 hops 6 %. Calling nodes that refuse early must compare this priority with the threshold.
Priority effectivePriority(const Priority &priority, int hop);

/// The last priority at which excess work (work beyond the share of its kind) is admitted. No value admits all work.
struct Threshold
{
    std::optional<Priority> last;

    bool passes(const Priority &priority) const
    {
        return !last || priority <= *last;
    }
    bool operator==(const Threshold &) const = default;
};

/// Load of one upstream as its own node counts it, so the values are exact.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;

    bool operator==(const LoadReport &) const = default;
};

/// Text encoding of the header Geraniumsail-Threshold ("rank/score" or "none") and of the header
/// Geraniumsail-Load ("running/queued/limit").
std::string encodeThreshold(const Threshold &threshold);
std::optional<Threshold> decodeThreshold(std::string_view text);
std::string encodeLoad(const LoadReport &load);
std::optional<LoadReport> decodeLoad(std::string_view text);

} // namespace Geraniumsail

#endif
