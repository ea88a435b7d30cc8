// Chooses the target of each attempt among the upstreams of one service.
//
// Among the usable upstreams of the nearest locality level, two are drawn at random by weight and the one with the
// lower load per limit is taken. Load is the report of the last answer plus this node's own calls since; an old report
// is ignored. Upstreams that fail repeatedly are ejected; upstreams whose threshold refuses the call are passed over.
// A call goes to the next level only if every nearer upstream is absent, ejected or over its threshold.
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
constexpr Duration FirstEjection = std::chrono::seconds(1);
constexpr Duration LongestEjection = std::chrono::seconds(30);
/// A report or threshold older than this says nothing about the present; an idle service is not refused for ever.
constexpr Duration ReportLifetime = std::chrono::seconds(1);
/// A refusal marks the work of one kind as beyond its share for this time. It is half the default target queue delay: a
/// longer memory would let the queue of in-share work run dry.
constexpr Duration RefusalMemory = std::chrono::milliseconds(10);
/// A Draining answer counts until membership has spread the state.
constexpr Duration DrainingMemory = std::chrono::seconds(5);
/// One in this many early refusals is let through, so that a lower threshold is noticed.
constexpr std::uint64_t EarlyRefusalProbeInterval = 20;

/// One upstream as membership knows it.
struct RouteTarget
{
    NodeName node;
    Incarnation incarnation;
    TicketEpoch epoch;
    RegionName region;
    DataCentreName dataCentre;
    Address peer;
    Address control;
    bool usable = true; ///< False if leaving, draining, suspect or in an unreachable data centre.
    Duration coldStart{0}; ///< Announced time from the start to full capacity.

    bool operator==(const RouteTarget &) const = default;
};

/// One call that needs a target.
struct RouteQuery
{
    Priority priority;
    KindName kind;
    Share share{0.0}; ///< Declared share; work in its share is exempt from thresholds.
    ByteCount size{0}; ///< Bytes of the request, for the link budget.
    bool mayProbe = false; ///< True for repeatable work, which tests ejected upstreams.
    bool earlyRefusal = true; ///< False only in experiments.
    std::vector<NodeName> avoid; ///< Upstreams that other attempts of this call were sent to.
};

struct RouteResult
{
    std::optional<RouteTarget> target;
    ErrorKind refusal = ErrorKind::NoUpstream; ///< Without a target: NoUpstream, EarlyRefusal or LinkBudget.
};

class Router
{
public:
    Router(RegionName region, DataCentreName dataCentre);

    /// Replaces the members. State is kept for a member whose incarnation is the same.
    void setMembers(const std::vector<RouteTarget> &members, MonotonicTime now);

    /// The target for one attempt. Takes the request's size from the link budget if the target is in another region;
    /// changes nothing else, so a target may be picked for a ticket that is never used.
    RouteResult pick(const RouteQuery &query, LinkBudgets &links, MonotonicTime now, Random &random);

    /// The member with that name, usable or not.
    const RouteTarget *find(const NodeName &node) const;

    /// Every onSent() is followed by exactly one of onAnswer(), onFailure() and onAbandoned().
    void onSent(const NodeName &node, MonotonicTime now);
    /// A complete answer from the target's node; a refusal is one too, with its reason.
    void onAnswer(const NodeName &node, const KindName &kind, std::optional<ErrorKind> reason,
                  const std::optional<LoadReport> &load, const std::optional<Threshold> &threshold, MonotonicTime now);
    /// No complete answer: ConnectFailed, ConnectionLost, TimedOut or TruncatedAnswer.
    void onFailure(const NodeName &node, ErrorKind kind, MonotonicTime now);
    /// The call was cancelled by its caller; says nothing about the target.
    void onAbandoned(const NodeName &node);

    std::size_t size() const;
    std::size_t ejectedCount() const;
    std::uint32_t inFlight(const NodeName &node) const;

private:
    enum class Ejection { None, Ejected, Probing };

    /// The last threshold that a member told for one kind; the thresholds of two kinds differ by their shares.
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
        Duration ejectionTime = FirstEjection;
        MonotonicTime ejectedUntil;
    };

    /// The usable members of one locality level, split by what keeps them from being picked.
    struct Level
    {
        std::vector<const Member *> open;
        std::vector<const Member *> overThreshold;
        std::vector<const Member *> probes;
    };

    using Levels = std::vector<Level>;

    std::size_t levelOf(const RouteTarget &target) const;
    Levels sortByLevel(const RouteQuery &query, MonotonicTime now) const;
    static void keepThreshold(Member &member, const KindName &kind, const Threshold &threshold, MonotonicTime now);
    static bool refuses(const Member &member, const RouteQuery &query, MonotonicTime now);
    static double weight(const Member &member, MonotonicTime now);
    static double loadOf(const Member &member, MonotonicTime now);
    static const Member *chooseOne(const std::vector<const Member *> &candidates, const RouteQuery &query,
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
