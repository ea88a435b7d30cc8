#include "core/router.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

/// Locality levels: own data centre, other data centres of the own region, other regions.
constexpr std::size_t LevelCount = 3;
constexpr std::size_t OtherRegionsLevel = 2;
/// Lower bound, because a newly started member needs some calls to warm up.
constexpr double MinWeight = 0.05;
constexpr std::size_t MaxRefusalsPerMember = 16;
/// Exceeds the number of kinds that a service declares. Calls of kinds beyond this limit are not refused early.
constexpr std::size_t MaxThresholdsPerMember = 64;

bool isOverloadRefusal(std::optional<ErrorKind> reason)
{
    return reason == ErrorKind::Overloaded || reason == ErrorKind::QueueFull;
}

} // namespace

Router::Router(RegionName region, DataCentreName dataCentre)
    : m_region(std::move(region)), m_dataCentre(std::move(dataCentre))
{
}

void Router::setMembers(const std::vector<RouteTarget> &members, MonotonicTime now)
{
    std::vector<Member> next;
    next.reserve(members.size());
    for (const auto &target : members) {
        Member entry;
        entry.target = target;
        entry.firstSeen = now;
        if (const auto *old = member(target.node)) {
            if (old->target.incarnation == target.incarnation) {
                entry = *old;
                entry.target = target;
            } else {
                // Calls sent to the previous incarnation are still completed through this entry.
                entry.inFlight = old->inFlight;
            }
        }
        next.push_back(std::move(entry));
    }
    m_members = std::move(next);
}

RouteResult Router::pick(const RouteQuery &query, LinkBudgets &links, MonotonicTime now, Random &random)
{
    const auto levels = groupByLevel(query, now);
    bool anyOverThreshold = false;
    bool linkBudgetExhausted = false;
    for (std::size_t i = 0; i < LevelCount; ++i) {
        const auto *chosen = chooseInLevel(levels[i], query, now, random);
        anyOverThreshold = anyOverThreshold || !levels[i].overThreshold.empty();
        if (chosen == nullptr) {
            continue;
        }
        if (i == OtherRegionsLevel && !links.tryConsume(chosen->target.region, query.size, now)) {
            linkBudgetExhausted = true;
            continue;
        }
        return RouteResult{chosen->target, ErrorKind::NoUpstream};
    }
    if (anyOverThreshold) {
        const auto *probe = chooseRefusalProbe(levels, query, now, random);
        return RouteResult{probe != nullptr ? std::optional(probe->target) : std::nullopt, ErrorKind::EarlyRefusal};
    }
    return RouteResult{std::nullopt, linkBudgetExhausted ? ErrorKind::LinkBudget : ErrorKind::NoUpstream};
}

const RouteTarget *Router::find(const NodeName &node) const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(),
                                    [&](const Member &member) { return member.target.node == node; });
    return found == m_members.end() ? nullptr : &found->target;
}

void Router::onSent(const NodeName &node, MonotonicTime now)
{
    if (auto *target = member(node)) {
        ++target->inFlight;
        if (target->ejection == Ejection::Ejected && target->ejectedUntil <= now) {
            target->ejection = Ejection::Probing;
        }
    }
}

void Router::onAnswer(const NodeName &node, const KindName &kind, std::optional<ErrorKind> reason,
                      const std::optional<LoadReport> &load, const std::optional<Threshold> &threshold,
                      MonotonicTime now)
{
    auto *target = member(node);
    if (target == nullptr) {
        return;
    }
    onCancelled(node);
    target->failures = 0;
    target->ejection = Ejection::None;
    target->ejectionTime = InitialEjectionTime;
    if (load) {
        target->load = load;
        target->inFlightAtReport = target->inFlight;
        target->reportedAt = now;
    }
    if (threshold) {
        storeThreshold(*target, kind, *threshold, now);
        target->reportedAt = now;
    }
    if (reason == ErrorKind::Draining) {
        target->drainingUntil = now + DrainingLifetime;
    }
    std::erase_if(target->refusals,
                  [&](const KindRefusal &refusal) { return refusal.kind == kind || refusal.until <= now; });
    if (isOverloadRefusal(reason) && target->refusals.size() < MaxRefusalsPerMember) {
        target->refusals.push_back(KindRefusal{kind, now + RefusalLifetime});
    }
}

void Router::onFailure(const NodeName &node, ErrorKind kind, MonotonicTime now)
{
    auto *target = member(node);
    if (target == nullptr) {
        return;
    }
    const bool probing = target->ejection == Ejection::Probing;
    onCancelled(node);
    ++target->failures;
    if (probing) {
        target->ejectionTime = std::min(target->ejectionTime * 2, MaxEjectionTime);
        eject(*target, now);
    } else if (target->ejection == Ejection::None && target->failures >= FailuresBeforeEjection && mayEject(kind)) {
        eject(*target, now);
    }
}

void Router::onCancelled(const NodeName &node)
{
    auto *target = member(node);
    if (target == nullptr) {
        return;
    }
    target->inFlight -= target->inFlight > 0 ? 1 : 0;
    if (target->ejection == Ejection::Probing && target->inFlight == 0) {
        // The probe was cancelled, so the next call may probe again.
        target->ejection = Ejection::Ejected;
    }
}

std::size_t Router::size() const
{
    return m_members.size();
}

std::size_t Router::ejectedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [](const Member &member) { return member.ejection != Ejection::None; }));
}

std::uint32_t Router::inFlight(const NodeName &node) const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(),
                                    [&](const Member &member) { return member.target.node == node; });
    return found == m_members.end() ? 0 : found->inFlight;
}

std::size_t Router::localityLevel(const RouteTarget &target) const
{
    if (target.region != m_region) {
        return OtherRegionsLevel;
    }
    return target.dataCentre == m_dataCentre ? 0 : 1;
}

Router::Levels Router::groupByLevel(const RouteQuery &query, MonotonicTime now) const
{
    Levels levels(LevelCount);
    for (const auto &member : m_members) {
        if (!member.target.usable || member.drainingUntil > now) {
            continue;
        }
        auto &level = levels[localityLevel(member.target)];
        if (member.ejection != Ejection::None) {
            if (member.ejection == Ejection::Ejected && member.ejectedUntil <= now) {
                level.probeCandidates.push_back(&member);
            }
        } else if (isOverThreshold(member, query, now)) {
            level.overThreshold.push_back(&member);
        } else {
            level.eligible.push_back(&member);
        }
    }
    return levels;
}

void Router::storeThreshold(Member &member, const KindName &kind, const Threshold &threshold, MonotonicTime now)
{
    std::erase_if(member.thresholds, [&](const KindThreshold &stored) {
        return stored.kind == kind || stored.reportedAt + ReportLifetime <= now;
    });
    // A threshold without a value admits all calls, as does a missing entry.
    if (threshold.last && member.thresholds.size() < MaxThresholdsPerMember) {
        member.thresholds.push_back(KindThreshold{kind, threshold, now});
    }
}

bool Router::isOverThreshold(const Member &member, const RouteQuery &query, MonotonicTime now)
{
    if (!query.earlyRefusal) {
        return false;
    }
    const bool overThreshold =
        std::any_of(member.thresholds.begin(), member.thresholds.end(), [&](const KindThreshold &stored) {
            return stored.kind == query.kind && stored.reportedAt + ReportLifetime > now
                && !stored.threshold.passes(query.priority);
        });
    if (!overThreshold) {
        return false;
    }
    if (query.share <= Share(0.0)) {
        return true;
    }
    return std::any_of(member.refusals.begin(), member.refusals.end(),
                       [&](const KindRefusal &refusal) { return refusal.kind == query.kind && refusal.until > now; });
}

double Router::weight(const Member &member, MonotonicTime now)
{
    const auto age = now - member.firstSeen;
    if (age >= member.target.coldStart) {
        return 1.0;
    }
    const double warmFraction = static_cast<double>(age.count()) / static_cast<double>(member.target.coldStart.count());
    return std::max(MinWeight, warmFraction);
}

double Router::utilization(const Member &member, MonotonicTime now)
{
    double load = member.inFlight;
    double limit = 1.0;
    if (member.load && member.reportedAt + ReportLifetime > now) {
        const double sentSinceReport =
            member.inFlight > member.inFlightAtReport ? member.inFlight - member.inFlightAtReport : 0;
        load = std::max(load, static_cast<double>(member.load->running) + member.load->queued + sentSinceReport);
    }
    if (member.load) {
        limit = member.load->limit;
    }
    // Idle members tie at 0, so that a cold member gets the fraction of calls that the weighted sampling assigns to it.
    return load / (limit * weight(member, now));
}

const Router::Member *Router::chooseLessLoadedOfTwo(const std::vector<const Member *> &candidates,
                                                    const RouteQuery &query, MonotonicTime now, Random &random)
{
    std::vector<const Member *> preferred;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(preferred), [&](const Member *member) {
        return std::find(query.avoid.begin(), query.avoid.end(), member->target.node) == query.avoid.end();
    });
    const auto &pool = preferred.empty() ? candidates : preferred;
    if (pool.size() <= 1) {
        return pool.empty() ? nullptr : pool.front();
    }
    std::vector<double> weights;
    weights.reserve(pool.size());
    for (const auto *member : pool) {
        weights.push_back(weight(*member, now));
    }
    const auto first = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    weights[first] = 0.0;
    const auto second = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    return utilization(*pool[first], now) <= utilization(*pool[second], now) ? pool[first] : pool[second];
}

const Router::Member *Router::chooseInLevel(const Level &level, const RouteQuery &query, MonotonicTime now,
                                            Random &random) const
{
    if (!level.probeCandidates.empty()
        && (query.mayProbeEjected || (level.eligible.empty() && level.overThreshold.empty()))) {
        return chooseLessLoadedOfTwo(level.probeCandidates, query, now, random);
    }
    return chooseLessLoadedOfTwo(level.eligible, query, now, random);
}

const Router::Member *Router::chooseRefusalProbe(const Levels &levels, const RouteQuery &query, MonotonicTime now,
                                                 Random &random) const
{
    if (std::uniform_int_distribution<std::uint64_t>(1, EarlyRefusalProbeInterval)(random) != 1) {
        return nullptr;
    }
    // Does not probe other regions, because a call that is likely to be refused would use the paid link.
    for (std::size_t i = 0; i < OtherRegionsLevel; ++i) {
        if (const auto *chosen = chooseLessLoadedOfTwo(levels[i].overThreshold, query, now, random)) {
            return chosen;
        }
    }
    return nullptr;
}

Router::Member *Router::member(const NodeName &node)
{
    const auto found = std::find_if(m_members.begin(), m_members.end(),
                                    [&](const Member &entry) { return entry.target.node == node; });
    return found == m_members.end() ? nullptr : &*found;
}

bool Router::mayEject(ErrorKind kind) const
{
    // If most upstreams time out at once, the service is slow rather than its upstreams gone. Ejecting all of them
    // would turn the slowness into an outage, so failures other than ConnectFailed eject at most half of the members.
    return kind == ErrorKind::ConnectFailed || 2 * (ejectedCount() + 1) <= m_members.size();
}

void Router::eject(Member &member, MonotonicTime now)
{
    member.ejection = Ejection::Ejected;
    member.ejectedUntil = now + member.ejectionTime;
    member.failures = 0;
}

} // namespace Geraniumsail
