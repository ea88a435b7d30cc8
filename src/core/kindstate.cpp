#include "core/kindstate.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

/// Samples are clipped to this multiple of the current estimate.
constexpr double MaxSampleRatio = 5.0;
/// The mean of a window is clipped to within this factor of the current estimate.
constexpr double MaxWindowRatio = 2.0;
/// Weight of the mean of a window. With 0.3, noise in the means moved the thresholds by 2 %.
constexpr double WindowWeight = 0.05;
/// Weight if the mean of at least ChangedSamples samples differs from the estimate by more than
/// the fraction ServiceTimeChange.
constexpr double ChangedWindowWeight = 0.3;
constexpr double ServiceTimeChange = 0.5;
constexpr int ChangedSamples = 10;
/// Credit is limited to two service times plus this many seconds of the quota, so that it does not carry over from much
/// earlier load.
constexpr double CreditSeconds = 0.1;
/// Tolerance for rounding errors: a quota computed from a share such as 0.1 may be slightly below a whole number.
constexpr double QuotaTolerance = 1e-6;

/// Weight of the latest window in KindState::shareDemand.
constexpr double ShareDemandWeight = 0.2;
/// Factor on the quota for the share threshold; above 1 so that the queue does not run empty between arrivals.
constexpr double ShareMargin = 1.03;

/// Upper bound of the running requests of a kind that has credit.
double maxRunningWithCredit(double quota)
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
    m_sum += m_measured ? std::min(sample, MaxSampleRatio * m_seconds) : sample;
    ++m_count;
}

void ServiceTimeEstimate::closeWindow()
{
    if (m_count == 0) {
        return;
    }
    const double mean = m_sum / m_count;
    if (m_measured) {
        const double clipped = std::clamp(mean, m_seconds / MaxWindowRatio, m_seconds * MaxWindowRatio);
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

KindState::KindState(KindPolicy kindPolicy) : policy(std::move(kindPolicy)), shareThreshold(policy.rank, 1)
{
}

double KindState::quota(int limit) const
{
    return policy.share.value() * limit;
}

bool KindState::withinShare(int limit) const
{
    const double slots = quota(limit);
    return slots - running >= 1.0 - QuotaTolerance || (credit > 0.0 && running < maxRunningWithCredit(slots));
}

std::size_t KindState::protectedQueue(std::size_t queueLength) const
{
    return static_cast<std::size_t>(policy.share.value() * static_cast<double>(queueLength) + QuotaTolerance);
}

double KindState::backlog() const
{
    return static_cast<double>(queue.size()) * serviceTime.seconds();
}

void KindState::advance(MonotonicTime now, int limit)
{
    const double elapsed = m_lastAdvance ? toSeconds(now - *m_lastAdvance) : 0.0;
    m_lastAdvance = now;
    m_backlogIntegral += backlog() * elapsed;
    const double slots = quota(limit);
    const double unusedQuota = slots - std::min<double>(running, maxRunningWithCredit(slots));
    const bool hasDemand = !queue.empty() || shareThreshold.threshold().last.has_value();
    if (unusedQuota < 0.0 || hasDemand) {
        const double maxCredit = 2.0 * serviceTime.seconds() + CreditSeconds * std::max(1.0, slots);
        credit = std::clamp(credit + unusedQuota * elapsed, -maxCredit, maxCredit);
    }
}

double KindState::closeWindow(Duration length, int limit, Duration targetDelay)
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
