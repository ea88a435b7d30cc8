#include "core/loadbalancer.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

/// Half-life of the weight of a load report; requests last a few hundred milliseconds.
constexpr Duration LoadHalfLife = std::chrono::milliseconds(700);
/// Weight of the newest outcome in the failure rate, a moving average over about the last 20.
constexpr double FailureWeight = 0.05;
/// Half-life of a failure rate without new outcomes, so that a recovered upstream gets requests again.
constexpr Duration FailureHalfLife = std::chrono::seconds(3);
/// An upstream is penalized if its failure rate exceeds the mean over its service by more than this.
constexpr double FailureMargin = 0.15;
/// Added to the estimate in proportion to the failure rate beyond that margin; the full penalty is that of a rate of 1.
constexpr Duration FailurePenalty = std::chrono::milliseconds(1500);
/// Exceeds other estimates, so that an unreachable upstream is used only if no other one is left.
constexpr Duration UnreachablePenalty = std::chrono::seconds(10);
/// The second-best candidate may be chosen if its estimate is within this factor of the best.
constexpr double CloseFactor = 1.25;
constexpr double BytesPerKilobyte = 1000;

double decayFactor(Duration age, Duration halfLife)
{
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

} // namespace

LoadBalancer::LoadBalancer(NodeLocation location) : m_location(std::move(location))
{
}

Duration LoadBalancer::distancePenalty(const DirectoryEntry &entry, ByteCount bytes) const
{
    if (entry.node == m_location.node || entry.dataCentre == m_location.dataCentre) {
        return Duration(0);
    }
    const bool sameRegion = entry.region == m_location.region;
    const auto perKilobyte = sameRegion ? DataCentreKilobytePenalty : RegionKilobytePenalty;
    const auto kilobytes = static_cast<double>(bytes.value()) / BytesPerKilobyte;
    const Duration byBytes(static_cast<Duration::rep>(static_cast<double>(perKilobyte.count()) * kilobytes));
    return byBytes + (sameRegion ? DataCentrePenalty : RegionPenalty);
}

double LoadBalancer::failureRate(const NodeStats &stats, MonotonicTime now) const
{
    return stats.failureRate * decayFactor(now - stats.failureAt, FailureHalfLife);
}

Duration LoadBalancer::estimate(const KnownEntry &candidate, ByteCount bytes, MonotonicTime now) const
{
    auto total = distancePenalty(candidate.entry, bytes);
    if (candidate.lapsedAt) {
        total += LapsedPenalty;
    }
    const auto found = m_stats.find(candidate.entry.node);
    if (found != m_stats.end() && found->second.avoidUntil > now) {
        total += UnreachablePenalty;
    }
    if (found == m_stats.end() || found->second.load.limit == 0) {
        return total + WorkQueue::InitialServiceTime;
    }
    const auto &stats = found->second;
    const auto limit = static_cast<double>(stats.load.limit);
    const auto weight = decayFactor(now - stats.loadAt, LoadHalfLife);
    const double reported = stats.load.running + stats.load.waiting;
    // The number in flight from this node is current; the load from other nodes is as old as the report.
    const double busy = std::max<double>(reported * weight + stats.sentSinceLoad, stats.inFlight);
    const double queuedPerSlot = std::max(0.0, busy + 1 - limit) / limit;
    const auto serviceTime = static_cast<double>(stats.load.serviceTime.count());
    total += Duration(static_cast<std::int64_t>(serviceTime * (1 + queuedPerSlot)));
    return total;
}

std::optional<Duration> LoadBalancer::loadAge(const NodeName &node, MonotonicTime now) const
{
    const auto found = m_stats.find(node);
    if (found == m_stats.end() || found->second.load.limit == 0) {
        return std::nullopt;
    }
    return now - found->second.loadAt;
}

const KnownEntry *LoadBalancer::leastRecentlyReported(const std::vector<const KnownEntry *> &candidates,
                                                      MonotonicTime now) const
{
    const KnownEntry *oldest = nullptr;
    auto oldestAt = now - ExplorationAge;
    for (const auto *candidate : candidates) {
        const auto found = m_stats.find(candidate->entry.node);
        const bool hasNoStats = found == m_stats.end();
        const bool avoided = candidate->lapsedAt || candidate->entry.region != m_location.region
            || (!hasNoStats && (found->second.avoidUntil > now || found->second.inFlight > 0));
        const auto loadAt = hasNoStats ? MonotonicTime{} : found->second.loadAt;
        if (!avoided && loadAt < oldestAt) {
            oldest = candidate;
            oldestAt = loadAt;
        }
    }
    return oldest;
}

const KnownEntry *LoadBalancer::pick(const std::vector<const KnownEntry *> &candidates,
                                     const std::vector<NodeName> &excluded, ByteCount bytes, MonotonicTime now,
                                     Random &random) const
{
    std::uniform_real_distribution<double> uniform(0, 1);
    if (excluded.empty() && uniform(random) < ExplorationRatio) {
        if (const auto *oldest = leastRecentlyReported(candidates, now)) {
            return oldest;
        }
    }
    double failures = 0;
    for (const auto *candidate : candidates) {
        const auto found = m_stats.find(candidate->entry.node);
        failures += found == m_stats.end() ? 0 : failureRate(found->second, now);
    }
    const double average = candidates.empty() ? 0 : failures / static_cast<double>(candidates.size());
    const KnownEntry *best = nullptr;
    const KnownEntry *second = nullptr;
    auto bestTime = Duration::max();
    auto secondTime = Duration::max();
    for (const auto *candidate : candidates) {
        if (std::find(excluded.begin(), excluded.end(), candidate->entry.node) != excluded.end()) {
            continue;
        }
        auto time = estimate(*candidate, bytes, now);
        const auto found = m_stats.find(candidate->entry.node);
        const double excess = found == m_stats.end() ? 0 : failureRate(found->second, now) - average - FailureMargin;
        if (excess > 0) {
            time += Duration(static_cast<std::int64_t>(excess * static_cast<double>(FailurePenalty.count())));
        }
        if (time < bestTime) {
            second = best;
            secondTime = bestTime;
            best = candidate;
            bestTime = time;
        } else if (time < secondTime) {
            second = candidate;
            secondTime = time;
        }
    }
    // The random choice must not move requests to another data centre.
    if (second == nullptr || distancePenalty(second->entry, bytes) != distancePenalty(best->entry, bytes)) {
        return best;
    }
    const auto ratio =
        static_cast<double>(secondTime.count()) / static_cast<double>(std::max<Duration::rep>(bestTime.count(), 1));
    if (ratio >= CloseFactor) {
        return best;
    }
    const double chance = 0.5 * (CloseFactor - ratio) / (CloseFactor - 1);
    return uniform(random) < chance ? second : best;
}

void LoadBalancer::onSent(const NodeName &node, MonotonicTime now)
{
    auto &stats = m_stats[node];
    ++stats.inFlight;
    ++stats.sentSinceLoad;
    if (stats.load.limit == 0) {
        stats.loadAt = now;
    }
}

void LoadBalancer::onEnded(const NodeName &node, bool failed, MonotonicTime now)
{
    auto &stats = m_stats[node];
    stats.inFlight = stats.inFlight > 0 ? stats.inFlight - 1 : 0;
    const double before = failureRate(stats, now);
    stats.failureRate = before + ((failed ? 1.0 : 0.0) - before) * FailureWeight;
    stats.failureAt = now;
}

void LoadBalancer::onLoad(const NodeName &node, const QueueLoad &load, MonotonicTime now)
{
    auto &stats = m_stats[node];
    stats.load = load;
    stats.loadAt = now;
    stats.sentSinceLoad = 0;
    stats.avoidUntil = now;
    stats.avoidTime = Duration(0);
}

void LoadBalancer::onUnreachable(const NodeName &node, MonotonicTime now)
{
    auto &stats = m_stats[node];
    // Requests that were sent before the first of them failed are one failure.
    if (stats.avoidUntil > now) {
        return;
    }
    stats.avoidTime = std::clamp(stats.avoidTime * 2, MinAvoidTime, MaxAvoidTime);
    stats.avoidUntil = now + stats.avoidTime;
}

void LoadBalancer::onPublished(const NodeName &node)
{
    auto &stats = m_stats[node];
    stats.avoidUntil = MonotonicTime{};
    stats.avoidTime = Duration(0);
    stats.failureRate = 0;
}

void LoadBalancer::forget(const NodeName &node)
{
    const auto found = m_stats.find(node);
    if (found != m_stats.end() && found->second.inFlight == 0) {
        m_stats.erase(found);
    }
}

} // namespace Geraniumsail
