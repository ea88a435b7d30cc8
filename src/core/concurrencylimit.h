// Adaptive limit on the requests that an upstream runs at the same time.
//
// Each sample is divided by the baseline of its own kind, so a change in the mix of fast and slow kinds is not mistaken
// for a slower upstream. When the median of these ratios exceeds 2 in two successive windows, the limit shrinks. The
// next full window checks the effect: if throughput fell about as much as the limit, the latency does not come from
// concurrency (for example a slow dependency), so the limit is restored and the present latency becomes the baseline.
// Without this check a slow dependency would shrink the limit to 1.
//
// Limits: kinds whose duration depends on the size of the answer (long downloads) must be reported without a service
// time. The limit never exceeds the slots.
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
    /// Sets the upper bound. A limit that is equal to the previous slots follows; a shrunk limit only falls.
    void setSlots(Slots slots);

    /// Reports the end of one request. inFlight counts the requests that ran just before the end, this one included.
    /// Requests that failed, were cancelled or belong to long-running kinds are reported without a service time.
    void onFinish(const KindName &kind, std::optional<Duration> serviceTime, int inFlight, MonotonicTime now);

    /// Requests that may run now: 0 without slots, else 1 to slots.
    int limit() const;

private:
    struct KindLatency
    {
        double baselineUs = 0.0;
        std::vector<double> samplesUs;
    };
    /// Successive windows with a high ratio.
    struct SlowPeriod
    {
        int windows = 0;
        double finished = 0.0;
        double seconds = 0.0;
    };
    /// State before a shrink, to judge its effect.
    struct Trial
    {
        int limit = 0;
        double throughput = 0.0;
        bool settled = false;
    };

    void addSample(KindLatency &latency, double sampleUs);
    void closeWindow(MonotonicTime now);
    void updateBaselines(double ratio);
    void adjust(double ratio, double seconds);
    void shrink(double ratio, double throughput);
    void acceptLatency(double ratio);

    int m_slots = 0;
    int m_limit = 0;
    std::map<KindName, KindLatency> m_kinds;
    std::optional<MonotonicTime> m_windowStart;
    Duration m_minWindow = std::chrono::milliseconds(100);
    /// Latency over baseline, and service times, of the samples of this window.
    std::vector<double> m_ratios;
    std::vector<double> m_serviceTimesUs;
    std::size_t m_samples = 0;
    std::size_t m_finished = 0;
    int m_peakInFlight = 0;
    SlowPeriod m_slow;
    std::optional<Trial> m_trial;
};

} // namespace Geraniumsail

#endif
