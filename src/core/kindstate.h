// Admission state of one kind of work: declared share, running work, queue and expected service time.
//
// The quota of a kind is share * limit. A kind is within its share if one more start keeps its running work within the
// quota, or if it has credit. Credit grows while work of the kind is queued or refused although the kind runs less
// than its quota, and falls while the kind runs more. With credit, a kind may run up to twice its quota plus one.
// Without credit
// - a kind with short requests would lose a slot for a long time whenever its queue is empty for a moment: with 10
//   slots, 2 ms requests beside 50 ms requests got 0.84 of their one slot;
// - quotas that are a fraction of a slot would have to be rounded: ten kinds with a share of 0.1 of 15 slots, rounded
//   up, claim 20 slots, and the least urgent kinds get half of their share.
#ifndef GERANIUMSAIL_CORE_KINDSTATE_H
#define GERANIUMSAIL_CORE_KINDSTATE_H

#include "core/policy.h"
#include "core/schedulingqueue.h"
#include "core/thresholdcontroller.h"
#include "core/units.h"

#include <optional>
#include <vector>

namespace Geraniumsail {

/// Estimate of the mean service time of a kind. Robust against a pause of the upstream, after which many requests end
/// at once with a long service time.
class ServiceTimeEstimate
{
public:
    void add(Duration serviceTime);
    /// Updates the estimate with the samples since the last call.
    void closeWindow();
    double seconds() const;

private:
    /// The initial value applies until the first sample.
    double m_seconds = 0.01;
    bool m_measured = false;
    double m_sum = 0.0;
    int m_count = 0;
};

struct KindState
{
    explicit KindState(KindPolicy kindPolicy);

    /// Slots that the share guarantees to the kind.
    double quota(int limit) const;
    /// Returns true if the next start is within the share.
    bool withinShare(int limit) const;
    /// Number of queue entries that are not evicted for work of other kinds.
    std::size_t protectedQueue(std::size_t queueLength) const;
    /// Queued work in slot-seconds.
    double backlog() const;
    /// Updates credit and the mean backlog up to now. Must be called before running or queue changes.
    void advance(MonotonicTime now, int limit);
    /// Ends a window of the given length: updates the estimates and the share threshold. Returns the mean backlog of
    /// the window in slot-seconds.
    double closeWindow(Duration length, int limit, Duration targetDelay);

    KindPolicy policy;
    int running = 0;
    /// Quota that the kind left unused while its work was queued or refused, in slot-seconds; negative if the kind ran
    /// more than its quota.
    double credit = 0.0;
    /// False if the current policy does not name this kind. The kind is then removed when its last attempt ends.
    bool declared = true;
    SchedulingQueue queue;
    ServiceTimeEstimate serviceTime;
    /// Controls which scores are admitted within the share.
    ThresholdController shareThreshold;
    /// Work admitted within the share in the current window, in slot-seconds.
    double shareWork = 0.0;
    /// Smoothed rate of the work admitted within the share, in slots.
    double shareDemand = 0.0;

private:
    /// Integral of the backlog over the current window, in slot-seconds times seconds.
    double m_backlogIntegral = 0.0;
    std::optional<MonotonicTime> m_lastAdvance;
};

} // namespace Geraniumsail

#endif
