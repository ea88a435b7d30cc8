// Decides whether the upstream beside this node may receive a request, from what the upstream says of itself.
//
// Announcements may arrive late, out of order or from an earlier incarnation. An announcement of an incarnation that
// started earlier, or with a lower sequence, changes nothing. Once an incarnation was acknowledged as draining or gone,
// no later announcement of it opens the gate again; only an incarnation that started later does.
#ifndef GERANIUMSAIL_CORE_UPSTREAMGATE_H
#define GERANIUMSAIL_CORE_UPSTREAMGATE_H

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>

namespace Geraniumsail {

/// Identifies one incarnation of an upstream for the upstream itself, which rejects requests for another one.
using UpstreamId = StrongString<struct UpstreamIdTag>;

enum class UpstreamPhase {
    Ready,
    Draining,
    Gone,
};

const char *phaseLabel(UpstreamPhase phase);

/// What an upstream says of itself.
struct UpstreamReport
{
    UpstreamId id;
    ServiceName service;
    Address address;
    Slots slots{0};
    UpstreamPhase phase = UpstreamPhase::Ready;
    Duration coldRemaining{}; ///< How much longer it is slow after its start.
    std::uint64_t sequence = 0; ///< Increases with each report of one incarnation.
    std::int64_t startedMs = 0; ///< Start of the incarnation, Unix time in milliseconds; 0 if unknown.
};

/// The upstream that requests may be delivered to.
struct OpenUpstream
{
    UpstreamReport report;
    MonotonicTime coldUntil;
    MonotonicTime heardAt;
};

enum class ReportVerdict {
    Applied,
    Stale, ///< Superseded by what is known; nothing changed.
    Foreign, ///< Another service or address than the one beside this node.
};

class UpstreamGate
{
public:
    /// Only reports with this service and address are applied.
    UpstreamGate(ServiceName service, Address address);

    ReportVerdict onReport(const UpstreamReport &report, MonotonicTime now);
    /// The upstream said that it leaves. The gate closes for this incarnation. startedMs may be 0.
    ReportVerdict onLeave(const UpstreamId &id, std::int64_t startedMs);
    /// The upstream answered that it is another incarnation than the expected one.
    void onWrongInstance(const UpstreamId &expected);
    /// Whether the upstream is taken as ended because it refused a connection. A later report opens the gate again.
    void onRefusedConnection(const UpstreamId &id);

    /// The upstream that may receive requests, or null.
    const OpenUpstream *open(MonotonicTime now) const;
    /// The last applied report, also of an upstream that is draining.
    const std::optional<OpenUpstream> &known() const
    {
        return m_known;
    }
    /// Requests are accepted from an upstream whose reports are missing for up to this time.
    static constexpr Duration ReportLifetime = std::chrono::seconds(12);

private:
    /// Identifies an incarnation also when an id is used again.
    using IncarnationKey = std::pair<UpstreamId, std::int64_t>;

    ServiceName m_service;
    Address m_address;
    std::optional<OpenUpstream> m_known;
    bool m_unreachable = false;
    std::map<IncarnationKey, UpstreamPhase> m_left;
};

} // namespace Geraniumsail

#endif
