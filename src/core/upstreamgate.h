// Decides from the upstream's reports whether it may receive requests.
//
// Reports may arrive late, out of order or from an earlier incarnation. A report of an incarnation that started
// earlier, or with a lower sequence, is ignored. Once an incarnation was acknowledged as draining or gone, no later
// report of it opens the gate again; only an incarnation that started later does.
//
// This holds also after a restart of the node. The gate of a new process stays closed until it is told which
// incarnations had left before, because a report that arrives earlier may be older than a leave that was acknowledged.
#ifndef GERANIUMSAIL_CORE_UPSTREAMGATE_H
#define GERANIUMSAIL_CORE_UPSTREAMGATE_H

#include "core/ids.h"
#include "core/leaverecord.h"
#include "core/units.h"

#include <optional>

namespace Geraniumsail {

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
    Stale, ///< Older than the current state, which does not change, except that a leave is recorded.
    Foreign, ///< Names another service or address than that of the upstream beside this node; ignored.
};

class UpstreamGate
{
public:
    /// Only reports with this service and address are applied.
    UpstreamGate(ServiceName service, Address address);

    ReportVerdict onReport(const UpstreamReport &report, MonotonicTime now);
    /// The upstream deregistered. Closes the gate for this incarnation. startedMs is 0 if unknown; then all
    /// incarnations of the id that started until now have left.
    ReportVerdict onLeave(const UpstreamId &id, std::int64_t startedMs, WallTime now);
    /// Keeps the gate closed until onEarlierLeavesKnown().
    void awaitEarlierLeaves();
    /// restoreLeave() was called for each leave that earlier processes of this node had acknowledged.
    void onEarlierLeavesKnown();
    bool awaitsEarlierLeaves() const
    {
        return m_awaitsEarlierLeaves;
    }
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
    /// Incarnations that were acknowledged as draining or gone, by this process or an earlier one.
    const LeaveRecord &leaves() const
    {
        return m_leaves;
    }

private:
    bool isCurrent(const UpstreamId &id, std::int64_t startedMs) const;

    ServiceName m_service;
    Address m_address;
    std::optional<KnownUpstream> m_known;
    bool m_unreachable = false;
    bool m_awaitsEarlierLeaves = false;
    LeaveRecord m_leaves;
};

} // namespace Geraniumsail

#endif
