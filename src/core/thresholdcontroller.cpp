#include "core/thresholdcontroller.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Geraniumsail {

namespace {

constexpr std::size_t BucketsPerRank = 64;
constexpr std::size_t ScoresPerBucket = 65536 / BucketsPerRank;
/// Weight of the newest window in the smoothed demand. A chain of calls must pass the threshold at every hop, so noise
/// of 2 % at each hop would cost a chain of 29 hops about 4 %.
constexpr double DemandWeight = 0.05;
/// Weight of a window whose demand differs from the smoothed one by more than DemandChange, as at the start of a flood.
constexpr double ChangedDemandWeight = 0.3;
constexpr double DemandChange = 0.25;
/// A backlog over the target is removed within this many target delays. With 5 the random changes of the backlog moved
/// the threshold by up to 20 %.
constexpr double DrainTargets = 50.0;
/// Largest step of the correction in one window.
constexpr double CorrectionStep = 0.005;
/// Step up while work is refused although hardly any waits, and step back to 1 when that is over. Callers that send
/// again after each refusal make the demand above the threshold look up to 20 times as large as it is, so small steps
/// would keep slots idle for seconds after a stall.
constexpr double FastCorrectionStep = 0.1;
/// Part of the target backlog below which hardly any work waits.
constexpr double EmptyBacklog = 0.1;
constexpr double MinCorrection = 0.2;
constexpr double MaxCorrection = 20.0;

/// Slots; keeps the time to drain finite while other work uses all capacity.
constexpr double MinCapacity = 0.01;
/// Seconds; a target delay of zero would make the threshold jump between its extremes.
constexpr double MinTarget = 0.001;

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

void ThresholdController::arrived(const Priority &priority, double slotSeconds)
{
    m_arrived[bucketOf(priority)] += slotSeconds;
}

void ThresholdController::closeWindow(const ThresholdWindowReport &window)
{
    smoothDemand(window.length);
    const double target = seconds(window.targetDelay);
    const double capacity = std::max(window.capacity, MinCapacity);
    const double targetBacklog = std::max(capacity * target, window.oneRequest);
    const double drainTime = DrainTargets * std::max({targetBacklog / capacity, target, MinTarget});
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
    const bool fast = backlog < EmptyBacklog * targetBacklog || (error <= -1.0 && m_correction > 1.0);
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
