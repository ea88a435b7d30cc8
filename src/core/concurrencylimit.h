// Adaptive limit on the number of requests that an upstream runs concurrently.
//
// Each latency sample is divided by the baseline of its own kind, so that a change in the mix of fast and slow kinds is
// not mistaken for a slower upstream. If the median of these ratios exceeds 2 in two successive windows, the limit is
// reduced. The next window in which the limit is fully used checks the effect: if throughput fell about as much as the
// limit, concurrency does not cause the latency (a dependency may be slow, for example). The limit is then restored and
// the current latency becomes the baseline. Without this check a slow dependency would reduce the limit to 1.
//
// Limitations: kinds whose duration depends on the size of the answer, such as long downloads, must be reported without
// a service time. The limit never exceeds the slots.
#ifndef GERANIUMSAIL_CORE_CONCURRENCYLIMIT_H
#define GERANIUMSAIL_CORE_CONCURRENCYLIMIT_H

#include "core/ids.h"
#include "core/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Geraniumsail {

class ConcurrencyLimit
{
public:
    /// Sets the upper bound of the limit. A limit equal to the previous slots is set to the new slots; a reduced limit
    /// is lowered if it exceeds them, but not raised.
    void setSlots(Slots slots);

    /// Reports the end of a request. inFlight is the number of requests that ran just before the end, including this
    /// one. Requests that failed, were cancelled or are of a long-running kind are reported without a service time.
    void onFinish(const KindName &kind, std::optional<Duration> serviceTime, int inFlight, MonotonicTime now);

    /// Number of requests that may run concurrently: 0 if there are no slots, else between 1 and the slots.
    int limit() const;

private:
    struct KindLatency
    {
        double baselineUs = 0.0;
        std::vector<double> samplesUs;
    };
    /// Successive windows with a latency ratio above SlowRatio.
    struct SlowPeriod
    {
        int windows = 0;
        double finished = 0.0;
        double seconds = 0.0;
    };
    /// State before a reduction of the limit, used to check its effect. settled is set after the first window, which
    /// still contains requests started before the reduction.
    struct ReductionCheck
    {
        int limit = 0;
        double throughput = 0.0;
        bool settled = false;
    };

    void addSample(KindLatency &latency, double sampleUs);
    void closeWindow(MonotonicTime now);
    void updateBaselines(double ratio);
    void adjust(double ratio, double seconds);
    void reduce(double ratio, double throughput);
    void raiseBaselines(double ratio);

    int m_slots = 0;
    int m_limit = 0;
    std::map<KindName, KindLatency> m_kinds;
    std::optional<MonotonicTime> m_windowStart;
    Duration m_minWindow = std::chrono::milliseconds(100);
    /// Ratio of latency to baseline, and service time, of each sample in the current window.
    std::vector<double> m_ratios;
    std::vector<double> m_serviceTimesUs;
    std::size_t m_samples = 0;
    std::size_t m_finished = 0;
    int m_peakInFlight = 0;
    SlowPeriod m_slow;
    std::optional<ReductionCheck> m_reductionCheck;
};

} // namespace Geraniumsail

#endif
