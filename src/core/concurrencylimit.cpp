#include "core/concurrencylimit.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

constexpr Duration MinWindow = std::chrono::milliseconds(100);
/// Upper bound of the window length for slow work; longer windows would delay the reaction too much.
constexpr Duration MaxWindow = std::chrono::seconds(1);
/// A window stays open until it has this many samples and at least one per slot of the limit. With fewer samples the
/// throughput is too uncertain to judge the effect of a reduction.
constexpr std::size_t MinSamples = 20;
/// A window also lasts this many median service times, so that requests started before it do not dominate it.
constexpr double MinServiceTimesPerWindow = 2.0;
/// Samples needed before the median of a kind is used. The median of 50 exponential samples is off by about 20 %.
constexpr std::size_t MinKindSamples = 50;
/// Samples kept per kind and window; more would not improve the median noticeably.
constexpr std::size_t MaxKindSamples = 512;
/// Median ratio of latency to baseline above which the upstream counts as slow.
constexpr double SlowRatio = 2.0;
/// Baselines rise only while the ratio is at most this value; otherwise a lasting overload would become the baseline.
constexpr double MaxRatioForBaselineRise = 1.5;
/// One slow window may be caused by the backlog of a pause that is already over; two in succession are not.
constexpr int SlowWindowsBeforeReduction = 2;
/// Bounds of the factor of one reduction. With a factor closer to 1 the change of throughput would be lost in noise,
/// and the check of the effect would accept an overload as the normal latency.
constexpr double MinReductionFactor = 0.7;
constexpr double MaxReductionFactor = 0.8;
/// Samples needed in the window that checks a reduction; its throughput is then off by about 10 %.
constexpr std::size_t MinCheckSamples = 100;
/// Weight of a window that is faster than the baseline. It is ten times the weight of a slower window, because a
/// latency once observed is achievable; with a larger weight the baseline would follow the noise of the medians down.
constexpr double BaselineFallWeight = 0.1;
/// Weight of a window that is slower than the baseline. Gives a time constant of at least 10 s.
constexpr double BaselineRiseWeight = 0.01;

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void ConcurrencyLimit::setSlots(Slots slots)
{
    const int value = static_cast<int>(slots.value());
    m_limit = m_limit == m_slots ? value : std::min(m_limit, value);
    if (value > 0) {
        m_limit = std::max(m_limit, 1);
    }
    m_slots = value;
    m_reductionCheck.reset();
}

int ConcurrencyLimit::limit() const
{
    return m_limit;
}

void ConcurrencyLimit::onFinish(const KindName &kind, std::optional<Duration> serviceTime, int inFlight,
                                MonotonicTime now)
{
    if (!m_windowStart) {
        m_windowStart = now;
    }
    ++m_finished;
    m_peakInFlight = std::max(m_peakInFlight, inFlight);
    if (serviceTime) {
        addSample(m_kinds[kind], std::max(1.0, static_cast<double>(serviceTime->count())));
    }
    const Duration age = now - *m_windowStart;
    const bool hasEnoughSamples = m_samples >= std::max(MinSamples, static_cast<std::size_t>(m_limit))
        && (!m_reductionCheck || m_samples >= MinCheckSamples || age >= MaxWindow);
    if (age >= m_minWindow && hasEnoughSamples) {
        closeWindow(now);
    }
}

void ConcurrencyLimit::addSample(KindLatency &latency, double sampleUs)
{
    ++m_samples;
    m_serviceTimesUs.push_back(sampleUs);
    if (latency.samplesUs.size() < MaxKindSamples) {
        latency.samplesUs.push_back(sampleUs);
    }
    if (latency.baselineUs > 0.0) {
        m_ratios.push_back(sampleUs / latency.baselineUs);
    }
}

void ConcurrencyLimit::closeWindow(MonotonicTime now)
{
    const std::chrono::duration<double> length = now - *m_windowStart;
    const double ratio = m_ratios.empty() ? 1.0 : median(m_ratios);
    updateBaselines(ratio);
    adjust(ratio, length.count());
    const Duration covered(static_cast<Duration::rep>(MinServiceTimesPerWindow * median(m_serviceTimesUs)));
    m_minWindow = std::clamp(covered, MinWindow, MaxWindow);
    m_windowStart = now;
    m_samples = 0;
    m_finished = 0;
    m_peakInFlight = 0;
    m_ratios.clear();
    m_serviceTimesUs.clear();
}

void ConcurrencyLimit::updateBaselines(double ratio)
{
    for (auto &[name, latency] : m_kinds) {
        if (latency.samplesUs.size() < MinKindSamples) {
            continue;
        }
        const double present = median(latency.samplesUs);
        latency.samplesUs.clear();
        if (latency.baselineUs <= 0.0) {
            latency.baselineUs = present;
        } else if (present < latency.baselineUs) {
            latency.baselineUs += BaselineFallWeight * (present - latency.baselineUs);
        } else if (ratio <= MaxRatioForBaselineRise) {
            latency.baselineUs += BaselineRiseWeight * (present - latency.baselineUs);
        }
    }
}

void ConcurrencyLimit::adjust(double ratio, double seconds)
{
    const bool fullyUsed = m_peakInFlight >= m_limit;
    const auto finished = static_cast<double>(m_finished);
    if (m_reductionCheck && !m_reductionCheck->settled) {
        // Requests started before the reduction still ran in this window.
        m_reductionCheck->settled = true;
        return;
    }
    if (m_reductionCheck && fullyUsed) {
        const ReductionCheck check = *m_reductionCheck;
        m_reductionCheck.reset();
        const double limitRatio = static_cast<double>(m_limit) / check.limit;
        if (finished / seconds < check.throughput * (1.0 + limitRatio) / 2.0) {
            m_limit = std::min(check.limit, m_slots);
            raiseBaselines(ratio);
            return;
        }
    }
    if (ratio <= SlowRatio) {
        m_slow = SlowPeriod{};
        m_limit = fullyUsed ? std::min(m_limit + 1, m_slots) : m_limit;
        return;
    }
    ++m_slow.windows;
    m_slow.finished += finished;
    m_slow.seconds += seconds;
    if (m_slow.windows >= SlowWindowsBeforeReduction) {
        reduce(ratio, m_slow.finished / m_slow.seconds);
        m_slow = SlowPeriod{};
    }
}

void ConcurrencyLimit::reduce(double ratio, double throughput)
{
    const double factor = std::clamp(SlowRatio / ratio, MinReductionFactor, MaxReductionFactor);
    const int newLimit = std::min(m_limit - 1, static_cast<int>(m_limit * factor));
    if (newLimit < 1) {
        return;
    }
    m_reductionCheck = ReductionCheck{m_limit, throughput, false};
    m_limit = newLimit;
}

void ConcurrencyLimit::raiseBaselines(double ratio)
{
    for (auto &[name, latency] : m_kinds) {
        latency.baselineUs *= std::max(1.0, ratio);
    }
    m_slow = SlowPeriod{};
}

} // namespace Geraniumsail
