#include "core/concurrencylimit.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

constexpr Duration Window = std::chrono::milliseconds(100);
/// Bound for windows that cover slow work; a longer one would delay the reaction too much.
constexpr Duration MaxWindow = std::chrono::seconds(1);
/// A window stays open until it has this many samples or one per slot; fewer give a throughput too uncertain to judge
/// the effect of a shrink by.
constexpr std::size_t MinSamples = 20;
/// A window also covers this many median service times, so that it is not ruled by the requests started before it.
constexpr double MinServiceTimes = 2.0;
/// Samples of a kind before its median counts. The median of 50 exponential samples is off by about 20 %.
constexpr std::size_t MinKindSamples = 50;
/// Samples kept per kind and window; more do not improve the median noticeably.
constexpr std::size_t MaxKindSamples = 512;
/// Median latency over baseline above which the upstream counts as slowed down.
constexpr double SlowRatio = 2.0;
/// The baseline does not rise above this ratio, or a lasting overload would become the baseline.
constexpr double NormalRatio = 1.5;
/// One slow window may be the backlog of a pause that is already over; two are not.
constexpr int SlowWindowsBeforeShrink = 2;
/// Bounds of the factor of one shrink. After a weaker one the change of throughput would be lost in its noise, and the
/// check of the effect would accept an overload as the normal latency.
constexpr double StrongestShrink = 0.7;
constexpr double WeakestShrink = 0.8;
/// Samples of the window that judges a shrink: its throughput is then off by about 10 %.
constexpr std::size_t TrialSamples = 100;
/// Weight of a window that is faster than the baseline. Ten times the weight of a slower one: a latency that was
/// reached is reachable, but a stronger preference would follow the noise of the medians downwards.
constexpr double BaselineFall = 0.1;
/// Weight of a window that is slower than the baseline: a time constant of at least 10 s.
constexpr double BaselineRise = 0.01;

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
    m_trial.reset();
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
    const bool enough = m_samples >= std::max(MinSamples, static_cast<std::size_t>(m_limit))
        && (!m_trial || m_samples >= TrialSamples || age >= MaxWindow);
    if (age >= m_minWindow && enough) {
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
    const Duration covered(static_cast<Duration::rep>(MinServiceTimes * median(m_serviceTimesUs)));
    m_minWindow = std::clamp(covered, Window, MaxWindow);
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
            latency.baselineUs += BaselineFall * (present - latency.baselineUs);
        } else if (ratio <= NormalRatio) {
            latency.baselineUs += BaselineRise * (present - latency.baselineUs);
        }
    }
}

void ConcurrencyLimit::adjust(double ratio, double seconds)
{
    const bool fullyUsed = m_peakInFlight >= m_limit;
    const auto finished = static_cast<double>(m_finished);
    if (m_trial && !m_trial->settled) {
        // Requests started before the shrink still ran in this window.
        m_trial->settled = true;
        return;
    }
    if (m_trial && fullyUsed) {
        const Trial trial = *m_trial;
        m_trial.reset();
        const double kept = static_cast<double>(m_limit) / trial.limit;
        if (finished / seconds < trial.throughput * (1.0 + kept) / 2.0) {
            m_limit = std::min(trial.limit, m_slots);
            acceptLatency(ratio);
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
    if (m_slow.windows >= SlowWindowsBeforeShrink) {
        shrink(ratio, m_slow.finished / m_slow.seconds);
        m_slow = SlowPeriod{};
    }
}

void ConcurrencyLimit::shrink(double ratio, double throughput)
{
    const double factor = std::clamp(SlowRatio / ratio, StrongestShrink, WeakestShrink);
    const int smaller = std::min(m_limit - 1, static_cast<int>(m_limit * factor));
    if (smaller < 1) {
        return;
    }
    m_trial = Trial{m_limit, throughput, false};
    m_limit = smaller;
}

void ConcurrencyLimit::acceptLatency(double ratio)
{
    for (auto &[name, latency] : m_kinds) {
        latency.baselineUs *= std::max(1.0, ratio);
    }
    m_slow = SlowPeriod{};
}

} // namespace Geraniumsail
