// Admission control of one upstream: which attempt starts, waits or is refused.
//
// Every attempt that is offered gets exactly one decision: an AdmissionEvent that starts or refuses it, or a withdraw()
// that returned true. Order of starts: kinds within their declared share before all others, then rank, score and
// arrival (see sharequeue.h for the order within a kind). Running attempts never exceed the limit, which is at most the
// announced and the configured slots; when slots shrink, running attempts go on and nothing starts until they fit.
//
// Refusals (all of them before the start, so the outcome is not-run):
// - Overloaded: beyond the threshold and beyond the share of its kind, or the upstream has no slots.
// - QueueFull: the queue is full of better-placed attempts.
// - DeadlineBeforeStart: the deadline passed in the queue.
// - Draining, UpstreamShed, ConnectFailed: the upstream leaves, sheds load or is gone. Queued attempts are told at
// once,
//   so that their callers can try elsewhere.
//
// Long-running kinds leave free the unused shares of more urgent kinds, because a slot given to a download comes back
// too late to serve an urgent request.
//
// Cost per call: O(log n) in the queue plus one scan of the service's kinds; once per 100 ms one pass over the demand
// buckets.
#ifndef GERANIUMSAIL_CORE_ADMISSION_H
#define GERANIUMSAIL_CORE_ADMISSION_H

#include "core/concurrencylimit.h"
#include "core/errorkind.h"
#include "core/kindload.h"
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
    /// 0 for a root call, else the number of calls above it.
    int hop = 0;
    /// Attempts that this one stands for: 1, or 20 for a probe that a calling node let through its early refusal.
    std::uint32_t represents = 1;
};

/// The decision on one attempt.
struct AdmissionEvent
{
    AttemptId attempt;
    /// Without a value the attempt starts now.
    std::optional<ErrorKind> refusal;

    bool starts() const
    {
        return !refusal;
    }
    bool operator==(const AdmissionEvent &) const = default;
};

using AdmissionEvents = std::vector<AdmissionEvent>;

/// What the upstream last said about itself; Gone if its announcements stopped.
enum class UpstreamState {
    Up,
    Shedding,
    Draining,
    Gone,
};

class Admission
{
public:
    explicit Admission(const ServicePolicy &policy, const PolicySwitches &switches = {});

    /// Takes new limits and kinds into use. Queued work of a removed kind keeps its place without a share.
    AdmissionEvents setPolicy(const ServicePolicy &policy, MonotonicTime now);

    /// Takes the announced state and slots into use. Until the first call the upstream counts as up with the configured
    /// slots.
    AdmissionEvents setUpstream(UpstreamState state, Slots announced, MonotonicTime now);

    /// Offers an attempt. Without an event for it in the result it waits. The result may also refuse another, queued
    /// attempt that lost its place. An id that is already queued or running is ignored.
    AdmissionEvents offer(const AttemptId &id, const AdmissionRequest &request, MonotonicTime now, Random &random);

    /// Reports the end of a running attempt. serviceTime is given only for whole answers: a failed or cancelled attempt
    /// is not a sample of the upstream's latency. Unknown ids are ignored.
    AdmissionEvents finish(const AttemptId &id, std::optional<Duration> serviceTime, MonotonicTime now);

    /// Refuses expired attempts and closes due windows; to be called at least every 100 ms.
    AdmissionEvents expire(MonotonicTime now);

    /// Removes a queued attempt. False if it is running or unknown: then its decision was already given.
    bool withdraw(const AttemptId &id, MonotonicTime now);

    /// Earliest deadline in the queue.
    std::optional<MonotonicTime> nextDeadline() const;

    /// The threshold for excess work of that kind; work that its share admits passes as well. Callers that refuse early
    /// must keep it per kind: a single threshold would take the share from the less urgent kinds.
    Threshold threshold(const KindName &kind) const;

    LoadReport load() const;

private:
    using Kinds = std::map<KindName, KindLoad>;
    struct Waiting
    {
        KindLoad *kind;
        QueuePlace place;
        MonotonicTime deadline;
    };

    KindLoad &kindFor(const KindName &name);
    const KindLoad &kindFor(const KindName &name) const;
    void applyPolicy(const ServicePolicy &policy);
    void updateSlots();
    std::optional<ErrorKind> upstreamRefusal() const;
    bool passes(KindLoad &kind, const AdmissionRequest &request, const Priority &priority);
    bool hasFreeSlotFor(const KindLoad &kind) const;
    void enqueue(const AttemptId &id, const AdmissionRequest &request, KindLoad &kind, const QueuePlace &place);
    std::optional<ErrorKind> makeRoom(KindLoad &kind, const QueuePlace &place, AdmissionEvents &events);
    KindLoad *worstPlaced();
    void removeWaiting(const AttemptId &id);
    void refuseAll(ErrorKind reason, AdmissionEvents &events);
    void refuseExpired(MonotonicTime now, AdmissionEvents &events);
    void startWaiting(AdmissionEvents &events);
    KindLoad *nextKind();
    bool leavesHeadroom(const KindLoad &kind) const;
    void advance(MonotonicTime now);
    void closeWindow(MonotonicTime now);
    void removeUnusedKinds();

    ServicePolicy m_policy;
    PolicySwitches m_switches;
    UpstreamState m_state = UpstreamState::Up;
    std::optional<Slots> m_announced;
    ConcurrencyLimit m_limit;
    Kinds m_kinds;
    std::unordered_map<AttemptId, Waiting> m_waiting;
    std::set<std::pair<MonotonicTime, AttemptId>> m_deadlines;
    std::unordered_map<AttemptId, KindLoad *> m_running;
    std::uint64_t m_arrivals = 0;
    ThresholdController m_excess;
    std::optional<MonotonicTime> m_windowStart;
};

} // namespace Geraniumsail

#endif
