// Admission control for one upstream: decides which attempts start, wait in the queue or are refused.
//
// Each offered attempt gets exactly one decision: an AdmissionDecision that starts or refuses it, or a withdraw() that
// returned true. Kinds within their declared share start first; then rank, score and arrival decide (see
// schedulingqueue.h for the order within a kind). No attempt starts beyond the limit, which never exceeds the announced
// or the configured slots. When the slots shrink, running attempts continue and no attempt starts until fewer run than
// the new limit.
//
// Attempts are refused only before they start, so the outcome of a refusal is not-run:
// - Overloaded: the attempt is beyond both the threshold and the share of its kind, or the upstream has no slots.
// - QueueFull: the queue is full of attempts that are ahead of it.
// - DeadlineBeforeStart: the deadline passed while the attempt was queued.
// - Draining, UpstreamShed, ConnectFailed: the upstream is draining, sheds load or is gone. Queued attempts are refused
//   immediately, so that their callers can try another upstream.
//
// Long-running kinds leave the unused shares of more urgent kinds free, because a slot that a download occupies is
// released too late to serve an urgent request.
//
// Each call costs O(log n) in the queue length plus one pass over the kinds of the service; once per ThresholdWindow
// there is also one pass over the demand buckets.
#ifndef GERANIUMSAIL_CORE_ADMISSION_H
#define GERANIUMSAIL_CORE_ADMISSION_H

#include "core/concurrencylimit.h"
#include "core/errorkind.h"
#include "core/kindstate.h"
#include "core/load.h"
#include "core/policy.h"
#include "core/random.h"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Geraniumsail {

struct AdmissionRequest
{
    KindName kind;
    Priority priority;
    MonotonicTime deadline;
    CallerName caller;
    /// Depth in the call tree; 0 for a root call.
    int hop = 0;
    /// Number of attempts that this one counts as in the demand: 1, or 20 for a probe that the calling node sent
    /// instead of refusing it early.
    std::uint32_t weight = 1;
};

/// The decision on one attempt.
struct AdmissionDecision
{
    AttemptId attempt;
    /// No value if the attempt starts now.
    std::optional<ErrorKind> refusal;

    bool starts() const
    {
        return !refusal;
    }
    bool operator==(const AdmissionDecision &) const = default;
};

using AdmissionDecisions = std::vector<AdmissionDecision>;

/// The last announced state of the upstream; Gone if its announcements stopped.
enum class UpstreamState {
    Up,
    Shedding,
    Draining,
    Gone,
};

class AdmissionController
{
public:
    explicit AdmissionController(const ServicePolicy &policy, const PolicySwitches &switches = {});

    /// Applies new limits and kinds. Queued attempts of a removed kind keep their position but have no share.
    AdmissionDecisions setPolicy(const ServicePolicy &policy, MonotonicTime now);

    /// Applies the announced state and slots. Until the first call the upstream counts as up with the configured slots.
    AdmissionDecisions setUpstream(UpstreamState state, Slots announced, MonotonicTime now);

    /// Offers an attempt. It is queued if the result holds no decision on it. The result may also refuse a queued
    /// attempt that is evicted for this one. An id that is already queued or running is ignored.
    AdmissionDecisions offer(const AttemptId &id, const AdmissionRequest &request, MonotonicTime now, Random &random);

    /// Reports the end of a running attempt. serviceTime is set only for complete answers: failed and cancelled
    /// attempts are not samples of the upstream's latency. Unknown ids are ignored.
    AdmissionDecisions finish(const AttemptId &id, std::optional<Duration> serviceTime, MonotonicTime now);

    /// Refuses expired attempts and closes a threshold window that has ended. Must be called at least every 100 ms.
    AdmissionDecisions expire(MonotonicTime now);

    /// Removes a queued attempt. Returns false if the attempt is running or unknown; it then already had its decision.
    bool withdraw(const AttemptId &id, MonotonicTime now);

    /// The earliest deadline in the queue.
    std::optional<MonotonicTime> nextDeadline() const;

    /// The threshold up to which an attempt of the kind is admitted, as excess work or within the share of the kind.
    /// Callers that refuse early must keep one threshold per kind: a common one would take away the shares of the less
    /// urgent kinds.
    Threshold threshold(const KindName &kind) const;

    LoadReport load() const;

private:
    using Kinds = std::map<KindName, KindState>;
    struct QueuedEntry
    {
        KindState *kind;
        QueueKey key;
        MonotonicTime deadline;
    };

    KindState &kindFor(const KindName &name);
    const KindState &kindFor(const KindName &name) const;
    void applyPolicy(const ServicePolicy &policy);
    void updateSlots();
    std::optional<ErrorKind> upstreamRefusal() const;
    bool recordArrival(KindState &kind, const AdmissionRequest &request, const Priority &priority);
    bool hasFreeSlotFor(const KindState &kind) const;
    void enqueue(const AttemptId &id, const AdmissionRequest &request, KindState &kind, const QueueKey &key);
    std::optional<ErrorKind> makeRoom(KindState &kind, const QueueKey &key, AdmissionDecisions &decisions);
    KindState *evictionCandidate();
    void removeQueued(const AttemptId &id);
    void refuseAll(ErrorKind reason, AdmissionDecisions &decisions);
    void refuseExpired(MonotonicTime now, AdmissionDecisions &decisions);
    void startQueued(AdmissionDecisions &decisions);
    KindState *nextKind();
    bool leavesHeadroom(const KindState &kind) const;
    void advance(MonotonicTime now);
    void closeWindow(MonotonicTime now);
    void removeUnusedKinds();

    ServicePolicy m_policy;
    PolicySwitches m_switches;
    UpstreamState m_state = UpstreamState::Up;
    std::optional<Slots> m_announced;
    ConcurrencyLimit m_limit;
    Kinds m_kinds;
    std::unordered_map<AttemptId, QueuedEntry> m_queued;
    std::set<std::pair<MonotonicTime, AttemptId>> m_deadlines;
    std::unordered_map<AttemptId, KindState *> m_running;
    std::uint64_t m_arrivals = 0;
    ThresholdController m_excessThreshold;
    std::optional<MonotonicTime> m_windowStart;
};

} // namespace Geraniumsail

#endif
