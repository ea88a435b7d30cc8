// Strong types for units and times.
//
// A StrongNumber wraps one arithmetic value; values with different tags do not convert to each other. Times are
// microseconds since an arbitrary start (MonotonicTime) or since the Unix epoch (WallTime). The core never reads a
// clock: functions that depend on the current time take it as an argument.
#ifndef GERANIUMSAIL_CORE_UNITS_H
#define GERANIUMSAIL_CORE_UNITS_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <type_traits>

namespace Geraniumsail {

using Duration = std::chrono::microseconds;

/// Clock type of MonotonicTime. Has no now(), because the core must not read a clock.
struct MonotonicTag
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
};

/// Clock type of WallTime. Has no now(), because the core must not read a clock.
struct WallTag
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
};

using MonotonicTime = std::chrono::time_point<MonotonicTag, Duration>;
using WallTime = std::chrono::time_point<WallTag, Duration>;

/// An arithmetic value with a distinct type for each tag.
template <typename Tag, typename Rep>
class StrongNumber
{
    static_assert(std::is_arithmetic_v<Rep>);

public:
    using rep = Rep;

    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Rep value) : m_value(value)
    {
    }
    constexpr Rep value() const
    {
        return m_value;
    }
    constexpr auto operator<=>(const StrongNumber &) const = default;

private:
    Rep m_value{};
};

/// Number of requests that an upstream can run concurrently.
using Slots = StrongNumber<struct SlotsTag, std::uint32_t>;
/// Number of open connections to an upstream.
using Connections = StrongNumber<struct ConnectionsTag, std::uint32_t>;
/// Urgency: 0 is the most urgent, 9 the least.
using Rank = StrongNumber<struct RankTag, std::uint8_t>;
/// Number of retries that a call tree may still use.
using Allowance = StrongNumber<struct AllowanceTag, std::uint32_t>;
using ByteCount = StrongNumber<struct ByteCountTag, std::uint64_t>;
/// Hash of the root request; a lower score is served first within a rank.
using AdmissionScore = StrongNumber<struct AdmissionScoreTag, std::uint16_t>;
/// Version of a configuration document; only increases.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::uint64_t>;
/// Identifies one start of a node process; increases with each restart.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
/// Period of the target node's clock in which a ticket was issued.
using TicketEpoch = StrongNumber<struct TicketEpochTag, std::uint64_t>;
/// Declared fraction of the capacity of an upstream, 0 to 1.
using Share = StrongNumber<struct ShareTag, double>;

constexpr Rank MostUrgentRank{0};
constexpr Rank LeastUrgentRank{9};
constexpr Allowance MaxAllowance{16};

} // namespace Geraniumsail

#endif
