#include "core/kindload.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

/// A sample counts at most this many times the present estimate.
constexpr double SampleClip = 5.0;
/// Largest factor between a window's mean and the present estimate.
constexpr double WindowClip = 2.0;
/// Weight of a window's mean. With 0.3 the noise of the means moved the thresholds by 2 %.
constexpr double WindowWeight = 0.05;
/// Weight if the mean of at least ChangedSamples samples is off by more than ServiceTimeChange.
constexpr double ChangedWindowWeight = 0.3;
constexpr double ServiceTimeChange = 0.5;
constexpr int ChangedSamples = 10;
/// Credit beyond two service times and this much of the quota is forgotten, so an earlier period does not weigh on
/// later.
constexpr double CreditSeconds = 0.1;
/// Tolerance when quotas that should be whole numbers are computed from shares such as 0.1.
constexpr double QuotaTolerance = 1e-6;

/// Weight of the newest window in the smoothed work admitted within the share.
constexpr double ShareDemandWeight = 0.2;
/// The share threshold aims at slightly more than the share, so that the queue does not run empty between arrivals.
constexpr double ShareMargin = 1.03;

/// Running requests up to which credit lets a kind start more.
double mostWithCredit(double quota)
{
    return quota > 0.0 ? 2.0 * quota + 1.0 : 0.0;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void ServiceTimeEstimate::add(Duration serviceTime)
{
    const double sample = std::max(1e-6, toSeconds(serviceTime));
    m_sum += m_measured ? std::min(sample, SampleClip * m_seconds) : sample;
    ++m_count;
}

void ServiceTimeEstimate::closeWindow()
{
    if (m_count == 0) {
        return;
    }
    const double mean = m_sum / m_count;
    if (m_measured) {
        const double clipped = std::clamp(mean, m_seconds / WindowClip, m_seconds * WindowClip);
        const bool changed = m_count >= ChangedSamples && std::abs(mean - m_seconds) > ServiceTimeChange * m_seconds;
        m_seconds += (changed ? ChangedWindowWeight : WindowWeight) * (clipped - m_seconds);
    } else {
        m_seconds = mean;
        m_measured = true;
    }
    m_sum = 0.0;
    m_count = 0;
}

double ServiceTimeEstimate::seconds() const
{
    return m_seconds;
}

KindLoad::KindLoad(KindPolicy kindPolicy) : policy(std::move(kindPolicy)), shareThreshold(policy.rank, 1)
{
}

double KindLoad::quota(int limit) const
{
    return policy.share.value() * limit;
}

bool KindLoad::inShare(int limit) const
{
    const double slots = quota(limit);
    return slots - running >= 1.0 - QuotaTolerance || (credit > 0.0 && running < mostWithCredit(slots));
}

std::size_t KindLoad::protectedQueue(std::size_t queueLength) const
{
    return static_cast<std::size_t>(policy.share.value() * static_cast<double>(queueLength) + QuotaTolerance);
}

double KindLoad::backlog() const
{
    return static_cast<double>(queue.size()) * serviceTime.seconds();
}

void KindLoad::advance(MonotonicTime now, int limit)
{
    const double elapsed = m_advanced ? toSeconds(now - *m_advanced) : 0.0;
    m_advanced = now;
    m_backlogIntegral += backlog() * elapsed;
    const double slots = quota(limit);
    const double owed = slots - std::min<double>(running, mostWithCredit(slots));
    const bool wanted = !queue.empty() || shareThreshold.threshold().last.has_value();
    if (owed < 0.0 || wanted) {
        const double bound = 2.0 * serviceTime.seconds() + CreditSeconds * std::max(1.0, slots);
        credit = std::clamp(credit + owed * elapsed, -bound, bound);
    }
}

double KindLoad::closeWindow(Duration length, int limit, Duration targetDelay)
{
    const double window = std::max(1e-6, toSeconds(length));
    const double meanBacklog = m_backlogIntegral / window;
    m_backlogIntegral = 0.0;
    shareDemand += ShareDemandWeight * (shareWork / window - shareDemand);
    shareWork = 0.0;
    serviceTime.closeWindow();
    shareThreshold.closeWindow(
        ThresholdWindowReport{length, quota(limit) * ShareMargin, meanBacklog, serviceTime.seconds(), targetDelay});
    return meanBacklog;
}

} // namespace Geraniumsail
