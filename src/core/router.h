// Selects the target of each attempt among the upstreams of one service.
//
// Uses the power of two random choices: two usable upstreams of the nearest locality level are sampled by weight, and
// the one with the lower ratio of load to concurrency limit is selected. Load is the last load report of the upstream
// plus the calls that this node has sent since; an expired report is ignored. Upstreams that fail repeatedly are
// ejected, and upstreams whose admission threshold would refuse the call are skipped. A call goes to the next locality
// level only if each upstream of the nearer levels is missing, unusable, ejected or would refuse the call.
#ifndef GERANIUMSAIL_CORE_ROUTER_H
#define GERANIUMSAIL_CORE_ROUTER_H

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/linkbudget.h"
#include "core/load.h"
#include "core/random.h"
#include "core/units.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Geraniumsail {

constexpr int FailuresBeforeEjection = 5;
constexpr Duration InitialEjectionTime = std::chrono::seconds(1);
constexpr Duration MaxEjectionTime = std::chrono::seconds(30);
/// Load reports and thresholds expire after this time. Without expiry, a service that receives no calls and therefore
/// sends no new threshold would be refused indefinitely.
constexpr Duration ReportLifetime = std::chrono::seconds(1);
/// After a refusal for overload, work of the same kind counts as exceeding its declared share for this time. Half the
/// default target queue delay: with a longer time the upstream's queue of work within its share would run empty.
constexpr Duration RefusalLifetime = std::chrono::milliseconds(10);
/// A target that answered Draining is skipped for this time, until membership has propagated its state.
constexpr Duration DrainingLifetime = std::chrono::seconds(5);
/// On average, one in this many calls that would be refused early is sent anyway, to detect a lowered threshold.
constexpr std::uint64_t EarlyRefusalProbeInterval = 20;

/// An upstream as listed by membership.
struct RouteTarget
{
    NodeName node;
    Incarnation incarnation;
    TicketEpoch epoch;
    RegionName region;
    DataCentreName dataCentre;
    Address peer;
    Address control;
    bool usable = true; ///< False if leaving, draining, suspected or in an unreachable data centre.
    Duration coldStart{0}; ///< Announced warm-up time from start to full capacity.

    bool operator==(const RouteTarget &) const = default;
};

/// Describes the attempt that needs a target.
struct RouteQuery
{
    Priority priority;
    KindName kind;
    Share share{0.0}; ///< Declared share of the kind; work within its share is exempt from thresholds.
    ByteCount size{0}; ///< Size of the request, charged to the link budget.
    bool mayProbeEjected = false; ///< True for repeatable work, which may be used to probe ejected upstreams.
    bool earlyRefusal = true; ///< False only in experiments.
    std::vector<NodeName> avoid; ///< Upstreams already tried by this call; selected only if there are no others.
};

struct RouteResult
{
    std::optional<RouteTarget> target;
    ErrorKind refusal = ErrorKind::NoUpstream; ///< Reason without a target: NoUpstream, EarlyRefusal or LinkBudget.
};

class Router
{
public:
    Router(RegionName region, DataCentreName dataCentre);

    /// Replaces the member list. A member with an unchanged incarnation keeps its load and failure state.
    void setMembers(const std::vector<RouteTarget> &members, MonotonicTime now);

    /// Selects the target of one attempt. If the target is in another region, the size of the request is taken from the
    /// link budget. No other state changes, so a target may be picked for a ticket that is never used.
    RouteResult pick(const RouteQuery &query, LinkBudgets &links, MonotonicTime now, Random &random);

    /// Returns the member with this name, even if it is not usable; nullptr if there is none.
    const RouteTarget *find(const NodeName &node) const;

    /// Must be followed by exactly one call of onAnswer(), onFailure() or onCancelled().
    void onSent(const NodeName &node, MonotonicTime now);
    /// Records a complete answer from the target's node. A refusal also counts as an answer and has a reason.
    void onAnswer(const NodeName &node, const KindName &kind, std::optional<ErrorKind> reason,
                  const std::optional<LoadReport> &load, const std::optional<Threshold> &threshold, MonotonicTime now);
    /// Records an attempt without a complete answer: ConnectFailed, ConnectionLost, TimedOut or TruncatedAnswer.
    void onFailure(const NodeName &node, ErrorKind kind, MonotonicTime now);
    /// Records an attempt that the caller cancelled; counts as neither a success nor a failure of the target.
    void onCancelled(const NodeName &node);

    std::size_t size() const;
    std::size_t ejectedCount() const;
    std::uint32_t inFlight(const NodeName &node) const;

private:
    enum class Ejection { None, Ejected, Probing };

    /// Last threshold reported by a member for one kind. Thresholds differ between kinds because their shares differ.
    struct KindThreshold
    {
        KindName kind;
        Threshold threshold;
        MonotonicTime reportedAt;
    };

    struct KindRefusal
    {
        KindName kind;
        MonotonicTime until;
    };

    struct Member
    {
        RouteTarget target;
        MonotonicTime firstSeen;
        std::uint32_t inFlight = 0;
        std::uint32_t inFlightAtReport = 0;
        std::optional<LoadReport> load;
        std::vector<KindThreshold> thresholds;
        MonotonicTime reportedAt;
        std::vector<KindRefusal> refusals;
        MonotonicTime drainingUntil;
        int failures = 0;
        Ejection ejection = Ejection::None;
        Duration ejectionTime = InitialEjectionTime;
        MonotonicTime ejectedUntil;
    };

    /// Usable members of one locality level. Ejected members that are not due for a probe are in none of the lists.
    struct Level
    {
        std::vector<const Member *> eligible;
        std::vector<const Member *> overThreshold;
        std::vector<const Member *> probeCandidates;
    };

    using Levels = std::vector<Level>;

    std::size_t localityLevel(const RouteTarget &target) const;
    Levels groupByLevel(const RouteQuery &query, MonotonicTime now) const;
    static void storeThreshold(Member &member, const KindName &kind, const Threshold &threshold, MonotonicTime now);
    static bool isOverThreshold(const Member &member, const RouteQuery &query, MonotonicTime now);
    static double weight(const Member &member, MonotonicTime now);
    static double utilization(const Member &member, MonotonicTime now);
    static const Member *chooseLessLoadedOfTwo(const std::vector<const Member *> &candidates, const RouteQuery &query,
                                               MonotonicTime now, Random &random);
    const Member *chooseInLevel(const Level &level, const RouteQuery &query, MonotonicTime now, Random &random) const;
    const Member *chooseRefusalProbe(const Levels &levels, const RouteQuery &query, MonotonicTime now,
                                     Random &random) const;
    Member *member(const NodeName &node);
    bool mayEject(ErrorKind kind) const;
    static void eject(Member &member, MonotonicTime now);

    RegionName m_region;
    DataCentreName m_dataCentre;
    std::vector<Member> m_members;
};

} // namespace Geraniumsail

#endif
