// Feedback controller for the admission threshold of a queue: from the demand per priority and the backlog it computes
// the last priority that is admitted, so that the queue stays short.
//
// Demand is measured in slots: arrival rate times the expected service time of the kind. At the end of each window of
// 100 ms the controller allows a demand of
//
//     capacity * correction + (target backlog - backlog) / drain time
//
// and sets the threshold where the cumulative demand, most urgent first, reaches it. The second term lowers the
// threshold while the queue is too long and raises it while the queue is short. The correction slowly compensates a
// persistent error of the expected service times. The backlog is the queued work in slot-seconds, averaged over the
// window so that a single short burst has little effect.
//
// Limitation: demand is smoothed over 20 windows, or about 3 if it changes much. A sudden overload therefore fills the
// queue for some windows before the threshold is right; the queue length limit covers this time.
#ifndef GERANIUMSAIL_CORE_THRESHOLDCONTROLLER_H
#define GERANIUMSAIL_CORE_THRESHOLDCONTROLLER_H

#include "core/load.h"
#include "core/units.h"

#include <cstddef>
#include <vector>

namespace Geraniumsail {

constexpr Duration ThresholdWindow = std::chrono::milliseconds(100);

struct ThresholdWindowReport
{
    Duration length;
    double capacity; ///< In slots.
    double backlog; ///< Mean queued work, in slot-seconds.
    double workPerRequest; ///< Expected work of one queued request, in slot-seconds.
    Duration targetDelay;
};

class ThresholdController
{
public:
    /// Distinguishes the given number of ranks, starting with firstRank; other ranks count as the nearest one of these.
    ThresholdController(Rank firstRank, std::size_t ranks);

    /// Records an arrival, admitted or not, with an expected work of slotSeconds.
    void recordArrival(const Priority &priority, double slotSeconds);

    void closeWindow(const ThresholdWindowReport &window);

    const Threshold &threshold() const;
    /// Smoothed total demand in slots.
    double demand() const;

private:
    std::size_t bucketOf(const Priority &priority) const;
    void smoothDemand(Duration length);
    void updateCorrection(double targetBacklog, double backlog);
    Threshold thresholdFor(double allowed) const;

    Rank m_firstRank;
    std::size_t m_ranks;
    /// Per bucket of priorities: work that arrived in this window, in slot-seconds, and smoothed demand, in slots.
    std::vector<double> m_arrived;
    std::vector<double> m_demand;
    double m_correction = 1.0;
    Threshold m_threshold;
};

} // namespace Geraniumsail

#endif
