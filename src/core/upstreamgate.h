// Decides from the upstream's reports whether it may receive requests.
//
// Reports may arrive late, out of order or from an earlier incarnation. A report of an incarnation that started
// earlier, or with a lower sequence, is ignored. Once an incarnation was acknowledged as draining or gone, no later
// report of it opens the gate again; only an incarnation that started later does.
#ifndef GERANIUMSAIL_CORE_UPSTREAMGATE_H
#define GERANIUMSAIL_CORE_UPSTREAMGATE_H

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>

namespace Geraniumsail {

/// Identifies one incarnation of an upstream. The upstream rejects requests that name another incarnation.
using UpstreamId = StrongString<struct UpstreamIdTag>;

enum class UpstreamPhase {
    Ready,
    Draining,
    Gone,
};

const char *phaseLabel(UpstreamPhase phase);

/// No upstream has more slots.
constexpr Slots MaxSlots{1U << 20U};
/// No upstream or node starts after the year 2100.
constexpr std::uint64_t MaxUnixMs = 4102444800000;

/// State that an upstream announces to the node beside it.
struct UpstreamReport
{
    UpstreamId id;
    ServiceName service;
    Address address;
    Slots slots{0};
    UpstreamPhase phase = UpstreamPhase::Ready;
    Duration coldRemaining{}; ///< Remaining duration of the cold start, in which it is slow.
    std::uint64_t sequence = 0; ///< Increases with each report of one incarnation.
    std::int64_t startedMs = 0; ///< Start of the incarnation, Unix time in milliseconds; 0 if unknown.
};

/// The last applied report with the times derived from it.
struct KnownUpstream
{
    UpstreamReport report;
    MonotonicTime coldUntil;
    MonotonicTime reportedAt;
};

enum class ReportVerdict {
    Applied,
    Stale, ///< Older than the current state, which does not change.
    Foreign, ///< Names another service or address than that of the upstream beside this node; ignored.
};

class UpstreamGate
{
public:
    /// Only reports with this service and address are applied.
    UpstreamGate(ServiceName service, Address address);

    ReportVerdict onReport(const UpstreamReport &report, MonotonicTime now);
    /// The upstream deregistered. Closes the gate for this incarnation. startedMs is 0 if unknown.
    ReportVerdict onLeave(const UpstreamId &id, std::int64_t startedMs);
    /// An earlier process of this node had acknowledged that the incarnation was draining or gone. Returns false if
    /// this is known.
    bool restoreLeave(const UpstreamId &id, std::int64_t startedMs);
    /// The upstream rejected a request because it is another incarnation than the expected one. Closes the gate until
    /// the next applied report.
    void onIncarnationMismatch(const UpstreamId &expected);
    /// The upstream refused a connection and is assumed to have ended. The next applied report opens the gate again.
    void onConnectionRefused(const UpstreamId &id);

    /// The upstream if it may receive requests now, else null.
    const KnownUpstream *availableUpstream(MonotonicTime now) const;
    /// The last applied report, whatever its phase.
    const std::optional<KnownUpstream> &knownUpstream() const
    {
        return m_known;
    }
    /// The gate closes if no report arrives for this time.
    static constexpr Duration ReportLifetime = std::chrono::seconds(12);
    /// Number of incarnations whose leaving is remembered. Those that started first are forgotten first.
    static constexpr std::size_t MaxFinalPhases = 256;
    std::size_t rememberedLeaves() const
    {
        return m_finalPhases.size();
    }

private:
    /// Id and start time, because an id may be reused.
    using IncarnationKey = std::pair<UpstreamId, std::int64_t>;

    void recordFinalPhase(const IncarnationKey &key, UpstreamPhase phase);

    ServiceName m_service;
    Address m_address;
    std::optional<KnownUpstream> m_known;
    bool m_unreachable = false;
    std::map<IncarnationKey, UpstreamPhase> m_finalPhases; ///< Of incarnations that are draining or gone.
};

} // namespace Geraniumsail

#endif
