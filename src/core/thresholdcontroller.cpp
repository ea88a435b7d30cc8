#include "core/thresholdcontroller.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Geraniumsail {

namespace {

constexpr std::size_t BucketsPerRank = 64;
constexpr std::size_t ScoresPerBucket = 65536 / BucketsPerRank;
/// Weight of the latest window in the smoothed demand. A chain of calls must pass the threshold at every hop: noise of
/// 2 % at each hop would reduce the goodput of a chain of 29 hops by about 4 %.
constexpr double DemandWeight = 0.05;
/// Weight of a window whose demand differs from the smoothed demand by more than the fraction DemandChange, as at the
/// start of an overload.
constexpr double ChangedDemandWeight = 0.3;
constexpr double DemandChange = 0.25;
/// Time in which a deviation of the backlog from its target is removed, in target delays. With 5, random variation of
/// the backlog moved the threshold by up to 20 %.
constexpr double DrainTargetDelays = 50.0;
/// Largest relative step of the correction in one window, except for FastCorrectionStep.
constexpr double CorrectionStep = 0.005;
/// Step that raises the correction while work is refused although the queue is nearly empty, and that returns it to 1
/// afterwards. Retries after each refusal make the demand above the threshold look up to 20 times as large as it is;
/// smaller steps would leave slots idle for seconds after a stall.
constexpr double FastCorrectionStep = 0.1;
/// Fraction of the target backlog below which the queue counts as nearly empty.
constexpr double NearEmptyBacklogRatio = 0.1;
constexpr double MinCorrection = 0.2;
constexpr double MaxCorrection = 20.0;

/// Lower bound of the capacity; keeps the drain time finite while other work uses all slots.
constexpr double MinCapacitySlots = 0.01;
/// Lower bound of the target delay in the drain time; with zero the threshold would oscillate between its extremes.
constexpr double MinTargetSeconds = 0.001;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ThresholdController::ThresholdController(Rank firstRank, std::size_t ranks)
    : m_firstRank(firstRank), m_ranks(ranks), m_arrived(ranks * BucketsPerRank), m_demand(ranks * BucketsPerRank)
{
}

std::size_t ThresholdController::bucketOf(const Priority &priority) const
{
    const int offset = std::clamp(priority.rank.value() - m_firstRank.value(), 0, static_cast<int>(m_ranks) - 1);
    return static_cast<std::size_t>(offset) * BucketsPerRank + priority.score.value() / ScoresPerBucket;
}

void ThresholdController::recordArrival(const Priority &priority, double slotSeconds)
{
    m_arrived[bucketOf(priority)] += slotSeconds;
}

void ThresholdController::closeWindow(const ThresholdWindowReport &window)
{
    smoothDemand(window.length);
    const double target = seconds(window.targetDelay);
    const double capacity = std::max(window.capacity, MinCapacitySlots);
    const double targetBacklog = std::max(capacity * target, window.workPerRequest);
    const double drainTime = DrainTargetDelays * std::max({targetBacklog / capacity, target, MinTargetSeconds});
    updateCorrection(targetBacklog, window.backlog);
    const double drain = (targetBacklog - window.backlog) / drainTime;
    m_threshold = thresholdFor(std::max(0.0, capacity * m_correction + drain));
}

void ThresholdController::updateCorrection(double targetBacklog, double backlog)
{
    if (!m_threshold.last) {
        m_correction += (1.0 - m_correction) * FastCorrectionStep;
        return;
    }
    const double error = std::clamp((targetBacklog - backlog) / targetBacklog, -1.0, 1.0);
    const bool fast = backlog < NearEmptyBacklogRatio * targetBacklog || (error <= -1.0 && m_correction > 1.0);
    const double step = fast ? FastCorrectionStep : CorrectionStep;
    m_correction = std::clamp(m_correction * (1.0 + step * error), MinCorrection, MaxCorrection);
}

void ThresholdController::smoothDemand(Duration length)
{
    const double perSecond = 1.0 / std::max(seconds(length), 1e-6);
    const double arrived = std::accumulate(m_arrived.begin(), m_arrived.end(), 0.0) * perSecond;
    const bool changed = std::abs(arrived - demand()) > DemandChange * demand();
    const double weight = changed ? ChangedDemandWeight : DemandWeight;
    for (std::size_t i = 0; i < m_demand.size(); ++i) {
        m_demand[i] += weight * (m_arrived[i] * perSecond - m_demand[i]);
        m_arrived[i] = 0.0;
    }
}

Threshold ThresholdController::thresholdFor(double allowed) const
{
    double before = 0.0;
    for (std::size_t i = 0; i < m_demand.size(); ++i) {
        if (before + m_demand[i] > allowed) {
            const double part = (allowed - before) / m_demand[i];
            const auto score = (i % BucketsPerRank) * ScoresPerBucket
                + static_cast<std::size_t>(part * static_cast<double>(ScoresPerBucket));
            const auto rank = m_firstRank.value() + i / BucketsPerRank;
            return Threshold{Priority{Rank(static_cast<std::uint8_t>(rank)),
                                      AdmissionScore(static_cast<std::uint16_t>(std::min<std::size_t>(score, 65535)))}};
        }
        before += m_demand[i];
    }
    return Threshold{};
}

const Threshold &ThresholdController::threshold() const
{
    return m_threshold;
}

double ThresholdController::demand() const
{
    return std::accumulate(m_demand.begin(), m_demand.end(), 0.0);
}

} // namespace Geraniumsail
