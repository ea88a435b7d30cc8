#include "core/placement.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

/// A load report halves its weight in this time; requests last a few hundred milliseconds.
constexpr Duration LoadHalfLife = std::chrono::milliseconds(700);
/// Weight of the newest outcome in the failure rate: about the last 20 count.
constexpr double FailureWeight = 0.05;
/// A failure rate halves in this time without new outcomes, so that a mended upstream gets requests again.
constexpr Duration FailureHalfLife = std::chrono::seconds(3);
/// Share of failures beyond the average of the service above which an upstream is avoided.
constexpr double FailureMargin = 0.15;
/// Added to the estimate at a failure rate of 1.
constexpr Duration FailurePenalty = std::chrono::milliseconds(1500);
/// Avoids an upstream that could not be reached as long as another one is left.
constexpr Duration SuspectPenalty = std::chrono::seconds(10);
/// The second-best candidate is taken at times if its estimate is within this factor of the best.
constexpr double CloseFactor = 1.25;
constexpr std::int64_t BytesPerKilobyte = 1000;

double decay(Duration age, Duration halfLife)
{
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

} // namespace

Placement::Placement(PlacementPlace own) : m_own(std::move(own))
{
}

Duration Placement::distance(const DirectoryEntry &entry, ByteCount bytes) const
{
    if (entry.node == m_own.node || entry.dataCentre == m_own.dataCentre) {
        return Duration(0);
    }
    const auto byBytes = KilobytePenalty * static_cast<std::int64_t>(bytes.value()) / BytesPerKilobyte;
    return byBytes + (entry.region == m_own.region ? DataCentrePenalty : RegionPenalty);
}

double Placement::failureRate(const Observed &observed, MonotonicTime now) const
{
    return observed.failureRate * decay(now - observed.failureAt, FailureHalfLife);
}

Duration Placement::estimate(const KnownEntry &candidate, ByteCount bytes, MonotonicTime now) const
{
    auto total = distance(candidate.entry, bytes);
    if (candidate.lapsedAt) {
        total += LapsedPenalty;
    }
    const auto found = m_observed.find(candidate.entry.node);
    if (found == m_observed.end() || found->second.load.limit == 0) {
        return total + WorkQueue::InitialServiceTime;
    }
    const auto &observed = found->second;
    const auto limit = static_cast<double>(observed.load.limit);
    const auto weight = decay(now - observed.loadAt, LoadHalfLife);
    const double reported = observed.load.running + observed.load.waiting;
    // What this node has in flight is known now; the share of others is known as of the report.
    const double busy = std::max<double>(reported * weight + observed.sentSinceLoad, observed.inFlight);
    const double queued = std::max(0.0, busy + 1 - limit) / limit;
    const auto serviceTime = static_cast<double>(observed.load.serviceTime.count());
    total += Duration(static_cast<std::int64_t>(serviceTime * (1 + queued)));
    if (observed.suspectUntil > now) {
        total += SuspectPenalty;
    }
    return total;
}

std::optional<Duration> Placement::loadAge(const NodeName &node, MonotonicTime now) const
{
    const auto found = m_observed.find(node);
    if (found == m_observed.end() || found->second.load.limit == 0) {
        return std::nullopt;
    }
    return now - found->second.loadAt;
}

const KnownEntry *Placement::leastKnown(const std::vector<const KnownEntry *> &candidates, MonotonicTime now) const
{
    const KnownEntry *oldest = nullptr;
    auto oldestAt = now - ExploreAge;
    for (const auto *candidate : candidates) {
        const auto found = m_observed.find(candidate->entry.node);
        const bool never = found == m_observed.end();
        const bool avoided = candidate->lapsedAt || candidate->entry.region != m_own.region
            || (!never && (found->second.suspectUntil > now || found->second.inFlight > 0));
        const auto loadAt = never ? MonotonicTime{} : found->second.loadAt;
        if (!avoided && loadAt < oldestAt) {
            oldest = candidate;
            oldestAt = loadAt;
        }
    }
    return oldest;
}

const KnownEntry *Placement::pick(const std::vector<const KnownEntry *> &candidates,
                                  const std::vector<NodeName> &excluded, ByteCount bytes, MonotonicTime now,
                                  Random &random) const
{
    std::uniform_real_distribution<double> uniform(0, 1);
    if (excluded.empty() && uniform(random) < ExploredPart) {
        if (const auto *explored = leastKnown(candidates, now)) {
            return explored;
        }
    }
    double failures = 0;
    for (const auto *candidate : candidates) {
        const auto found = m_observed.find(candidate->entry.node);
        failures += found == m_observed.end() ? 0 : failureRate(found->second, now);
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
        const auto found = m_observed.find(candidate->entry.node);
        const double excess = found == m_observed.end() ? 0 : failureRate(found->second, now) - average - FailureMargin;
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
    // Chance must not move requests to another data centre.
    if (second == nullptr || distance(second->entry, bytes) != distance(best->entry, bytes)) {
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

void Placement::onSent(const NodeName &node, MonotonicTime now)
{
    auto &observed = m_observed[node];
    ++observed.inFlight;
    ++observed.sentSinceLoad;
    if (observed.load.limit == 0) {
        observed.loadAt = now;
    }
}

void Placement::onEnded(const NodeName &node, bool failed, MonotonicTime now)
{
    auto &observed = m_observed[node];
    observed.inFlight = observed.inFlight > 0 ? observed.inFlight - 1 : 0;
    const double before = failureRate(observed, now);
    observed.failureRate = before + ((failed ? 1.0 : 0.0) - before) * FailureWeight;
    observed.failureAt = now;
}

void Placement::onLoad(const NodeName &node, const QueueLoad &load, MonotonicTime now)
{
    auto &observed = m_observed[node];
    observed.load = load;
    observed.loadAt = now;
    observed.sentSinceLoad = 0;
    observed.suspectUntil = now;
}

void Placement::onUnreachable(const NodeName &node, MonotonicTime now)
{
    m_observed[node].suspectUntil = now + SuspectTime;
}

void Placement::onPublished(const NodeName &node)
{
    auto &observed = m_observed[node];
    observed.suspectUntil = MonotonicTime{};
    observed.failureRate = 0;
}

void Placement::forget(const NodeName &node)
{
    const auto found = m_observed.find(node);
    if (found != m_observed.end() && found->second.inFlight == 0) {
        m_observed.erase(found);
    }
}

} // namespace Geraniumsail
