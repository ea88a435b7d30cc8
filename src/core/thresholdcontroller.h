// Threshold by which a queue is kept short: demand per priority in, the last accepted priority out.
//
// Demand is measured in slots: arrivals per second times the expected service time of their kind. At the end of each
// 100 ms window the controller allows
//
//     capacity * correction + (target backlog - backlog) / drain time
//
// and sets the threshold where the cumulated demand, most urgent first, meets this. The second term empties a queue
// that is too long and reopens when it is short. The correction slowly removes a lasting error of the expected service
// times. Backlog is the work that waits, in slot-seconds, averaged over the window, so a single burst does not count.
//
// Limits: demand is smoothed over 20 windows, or 3 when it changes much, so a sudden flood fills the queue for some
// windows before the threshold is right; the bound of the queue covers this time.
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
    double backlog; ///< Mean work that waited, in slot-seconds.
    double oneRequest; ///< Work of one waiting request, in slot-seconds.
    Duration targetDelay;
};

class ThresholdController
{
public:
    /// ranks: number of ranks told apart, counted from firstRank; other ranks count as the nearest one.
    ThresholdController(Rank firstRank, std::size_t ranks);

    /// Reports an arrival, accepted or not, that will need slotSeconds of an upstream.
    void arrived(const Priority &priority, double slotSeconds);

    void closeWindow(const ThresholdWindowReport &window);

    const Threshold &threshold() const;
    /// Demand in slots, smoothed.
    double demand() const;

private:
    std::size_t bucketOf(const Priority &priority) const;
    void smoothDemand(Duration length);
    void updateCorrection(double targetBacklog, double backlog);
    Threshold thresholdFor(double allowed) const;

    Rank m_firstRank;
    std::size_t m_ranks;
    std::vector<double> m_arrived;
    std::vector<double> m_demand;
    double m_correction = 1.0;
    Threshold m_threshold;
};

} // namespace Geraniumsail

#endif
