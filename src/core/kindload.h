// What admission knows about one kind of work: its declared share, running work, queue and expected service time.
//
// A kind is in share while one more start keeps its running work within its quota, share * limit. Beyond that, credit
// counts: it grows while work waits although the kind runs less than its quota, and falls while the kind runs more.
// With credit a kind may start up to twice its quota and one. Without this
// - a kind of short requests loses a slot for a long while each time its queue is empty for a moment: at 10 slots, 2 ms
//   requests beside 50 ms ones got 0.84 of their slot;
// - quotas that are a fraction of a slot would be rounded: ten kinds of 0.1 at 15 slots rounded up claim 20 slots, and
//   the least urgent of them get half of their share.
#ifndef GERANIUMSAIL_CORE_KINDLOAD_H
#define GERANIUMSAIL_CORE_KINDLOAD_H

#include "core/policy.h"
#include "core/sharequeue.h"
#include "core/thresholdcontroller.h"
#include "core/units.h"

#include <optional>
#include <vector>

namespace Geraniumsail {

/// Mean service time of a kind, robust against the backlog that ends together after a pause of the upstream.
class ServiceTimeEstimate
{
public:
    void add(Duration serviceTime);
    /// Takes the samples since the last call into the mean.
    void closeWindow();
    double seconds() const;

private:
    /// Used until the first sample.
    double m_seconds = 0.01;
    bool m_measured = false;
    double m_sum = 0.0;
    int m_count = 0;
};

struct KindLoad
{
    explicit KindLoad(KindPolicy kindPolicy);

    /// Slots that the kind may always use.
    double quota(int limit) const;
    /// True if the next start counts as in share.
    bool inShare(int limit) const;
    /// Queue entries that are not evicted for work of other kinds.
    std::size_t protectedQueue(std::size_t queueLength) const;
    /// Work that waits, in slot-seconds.
    double backlog() const;
    /// Brings credit and the mean backlog up to now; called before running or queue change.
    void advance(MonotonicTime now, int limit);
    /// Ends a window of the given length: updates estimates and the share threshold. Returns the mean backlog of the
    /// window in slot-seconds.
    double closeWindow(Duration length, int limit, Duration targetDelay);

    KindPolicy policy;
    int running = 0;
    /// Quota that waiting or refused work did not get, in slot-seconds; negative after running more.
    double credit = 0.0;
    /// False after a policy without this kind was set; the kind is removed when its last attempt ends.
    bool declared = true;
    ShareQueue queue;
    ServiceTimeEstimate serviceTime;
    /// Which scores are accepted within the share.
    ThresholdController shareThreshold;
    /// Work admitted within the share in this window, in slot-seconds, and its smoothed rate in slots.
    double shareWork = 0.0;
    double shareDemand = 0.0;

private:
    double m_backlogIntegral = 0.0;
    std::optional<MonotonicTime> m_advanced;
};

} // namespace Geraniumsail

#endif
