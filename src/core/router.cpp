#include "core/router.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

/// Own data centre, own region, other regions.
constexpr std::size_t LevelCount = 3;
constexpr std::size_t OtherRegions = 2;
/// A member that has just started still gets some calls; without any it would never warm up.
constexpr double LeastWeight = 0.05;
constexpr std::size_t MostRefusalsKept = 16;
/// More kinds than a service declares; kinds beyond it are not refused early.
constexpr std::size_t MostThresholdsKept = 64;

bool isRefusalForLoad(std::optional<ErrorKind> reason)
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
                // Calls to the earlier life still end with an event.
                entry.inFlight = old->inFlight;
            }
        }
        next.push_back(std::move(entry));
    }
    m_members = std::move(next);
}

RouteResult Router::pick(const RouteQuery &query, LinkBudgets &links, MonotonicTime now, Random &random)
{
    const auto levels = sortByLevel(query, now);
    bool anyOverThreshold = false;
    bool linkBlocked = false;
    for (std::size_t i = 0; i < LevelCount; ++i) {
        const auto *chosen = chooseInLevel(levels[i], query, now, random);
        anyOverThreshold = anyOverThreshold || !levels[i].overThreshold.empty();
        if (chosen == nullptr) {
            continue;
        }
        if (i == OtherRegions && !links.take(chosen->target.region, query.size, now)) {
            linkBlocked = true;
            continue;
        }
        return RouteResult{chosen->target, ErrorKind::NoUpstream};
    }
    if (anyOverThreshold) {
        const auto *probe = chooseRefusalProbe(levels, query, now, random);
        return RouteResult{probe != nullptr ? std::optional(probe->target) : std::nullopt, ErrorKind::EarlyRefusal};
    }
    return RouteResult{std::nullopt, linkBlocked ? ErrorKind::LinkBudget : ErrorKind::NoUpstream};
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
    onAbandoned(node);
    target->failures = 0;
    target->ejection = Ejection::None;
    target->ejectionTime = FirstEjection;
    if (load) {
        target->load = load;
        target->inFlightAtReport = target->inFlight;
        target->reportedAt = now;
    }
    if (threshold) {
        keepThreshold(*target, kind, *threshold, now);
        target->reportedAt = now;
    }
    if (reason == ErrorKind::Draining) {
        target->drainingUntil = now + DrainingMemory;
    }
    std::erase_if(target->refusals,
                  [&](const KindRefusal &refusal) { return refusal.kind == kind || refusal.until <= now; });
    if (isRefusalForLoad(reason) && target->refusals.size() < MostRefusalsKept) {
        target->refusals.push_back(KindRefusal{kind, now + RefusalMemory});
    }
}

void Router::onFailure(const NodeName &node, ErrorKind kind, MonotonicTime now)
{
    auto *target = member(node);
    if (target == nullptr) {
        return;
    }
    const bool probing = target->ejection == Ejection::Probing;
    onAbandoned(node);
    ++target->failures;
    if (probing) {
        target->ejectionTime = std::min(target->ejectionTime * 2, LongestEjection);
        eject(*target, now);
    } else if (target->ejection == Ejection::None && target->failures >= FailuresBeforeEjection && mayEject(kind)) {
        eject(*target, now);
    }
}

void Router::onAbandoned(const NodeName &node)
{
    auto *target = member(node);
    if (target == nullptr) {
        return;
    }
    target->inFlight -= target->inFlight > 0 ? 1 : 0;
    if (target->ejection == Ejection::Probing && target->inFlight == 0) {
        // The probe ended without a result; the next call probes again.
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

std::size_t Router::levelOf(const RouteTarget &target) const
{
    if (target.region != m_region) {
        return OtherRegions;
    }
    return target.dataCentre == m_dataCentre ? 0 : 1;
}

Router::Levels Router::sortByLevel(const RouteQuery &query, MonotonicTime now) const
{
    Levels levels(LevelCount);
    for (const auto &member : m_members) {
        if (!member.target.usable || member.drainingUntil > now) {
            continue;
        }
        auto &level = levels[levelOf(member.target)];
        if (member.ejection != Ejection::None) {
            if (member.ejection == Ejection::Ejected && member.ejectedUntil <= now) {
                level.probes.push_back(&member);
            }
        } else if (refuses(member, query, now)) {
            level.overThreshold.push_back(&member);
        } else {
            level.open.push_back(&member);
        }
    }
    return levels;
}

void Router::keepThreshold(Member &member, const KindName &kind, const Threshold &threshold, MonotonicTime now)
{
    std::erase_if(member.thresholds, [&](const KindThreshold &kept) {
        return kept.kind == kind || kept.reportedAt + ReportLifetime <= now;
    });
    // Without a value everything passes, which is also what a missing entry means.
    if (threshold.last && member.thresholds.size() < MostThresholdsKept) {
        member.thresholds.push_back(KindThreshold{kind, threshold, now});
    }
}

bool Router::refuses(const Member &member, const RouteQuery &query, MonotonicTime now)
{
    if (!query.earlyRefusal) {
        return false;
    }
    const bool overThreshold =
        std::any_of(member.thresholds.begin(), member.thresholds.end(), [&](const KindThreshold &kept) {
            return kept.kind == query.kind && kept.reportedAt + ReportLifetime > now
                && !kept.threshold.passes(query.priority);
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
    const double part = static_cast<double>(age.count()) / static_cast<double>(member.target.coldStart.count());
    return std::max(LeastWeight, part);
}

double Router::loadOf(const Member &member, MonotonicTime now)
{
    double busy = member.inFlight;
    double limit = 1.0;
    if (member.load && member.reportedAt + ReportLifetime > now) {
        const double since = member.inFlight > member.inFlightAtReport ? member.inFlight - member.inFlightAtReport : 0;
        busy = std::max(busy, static_cast<double>(member.load->running) + member.load->queued + since);
    }
    if (member.load) {
        limit = member.load->limit;
    }
    // Idle members are equal here, so that a cold one gets its part by the weighted draw alone.
    return busy / (limit * weight(member, now));
}

const Router::Member *Router::chooseOne(const std::vector<const Member *> &candidates, const RouteQuery &query,
                                        MonotonicTime now, Random &random)
{
    std::vector<const Member *> preferred;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(preferred), [&](const Member *member) {
        return std::find(query.avoid.begin(), query.avoid.end(), member->target.node) == query.avoid.end();
    });
    const auto &from = preferred.empty() ? candidates : preferred;
    if (from.size() <= 1) {
        return from.empty() ? nullptr : from.front();
    }
    std::vector<double> weights;
    weights.reserve(from.size());
    for (const auto *member : from) {
        weights.push_back(weight(*member, now));
    }
    const auto first = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    weights[first] = 0.0;
    const auto second = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    return loadOf(*from[first], now) <= loadOf(*from[second], now) ? from[first] : from[second];
}

const Router::Member *Router::chooseInLevel(const Level &level, const RouteQuery &query, MonotonicTime now,
                                            Random &random) const
{
    if (!level.probes.empty() && (query.mayProbe || (level.open.empty() && level.overThreshold.empty()))) {
        return chooseOne(level.probes, query, now, random);
    }
    return chooseOne(level.open, query, now, random);
}

const Router::Member *Router::chooseRefusalProbe(const Levels &levels, const RouteQuery &query, MonotonicTime now,
                                                 Random &random) const
{
    if (std::uniform_int_distribution<std::uint64_t>(1, EarlyRefusalProbeInterval)(random) != 1) {
        return nullptr;
    }
    // Probes stay in the own region: a refusal is not worth paying for.
    for (std::size_t i = 0; i < OtherRegions; ++i) {
        if (const auto *chosen = chooseOne(levels[i].overThreshold, query, now, random)) {
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
    // Time-outs of most upstreams at once mean that the service is slow, not that its upstreams are gone. Ejecting them
    // all would turn slowness into an outage.
    return kind == ErrorKind::ConnectFailed || 2 * (ejectedCount() + 1) <= m_members.size();
}

void Router::eject(Member &member, MonotonicTime now)
{
    member.ejection = Ejection::Ejected;
    member.ejectedUntil = now + member.ejectionTime;
    member.failures = 0;
}

} // namespace Geraniumsail
