// The target role: which attempts run on the node's own upstream.
//
// Every attempt goes through the registry (has this ticket run before?), then through admission (may it run now?), then
// through the registry again (was it voided while it waited?). Each arrival gets exactly one decision. Arrivals of an
// attempt that is already here wait for its end. Pure decisions without I/O.
#ifndef GERANIUMSAIL_NODE_TARGETPOLICY_H
#define GERANIUMSAIL_NODE_TARGETPOLICY_H

#include "core/retryledger.h"
#include "node/policybook.h"
#include "node/policymessages.h"

#include <unordered_map>
#include <vector>

namespace Geraniumsail {

/// An upstream whose announcement is missing for this time counts as gone; it announces itself every second.
constexpr Duration AnnouncementLifetime = std::chrono::seconds(5);

/// A running attempt, as the calls that it makes need it.
struct ParentCall
{
    CallContext context;
    std::shared_ptr<RetryLedger> ledger;
};

class TargetPolicy
{
public:
    TargetPolicy(Incarnation incarnation, const PolicySwitches &switches, const PolicyBook &book, Random &random,
                 MonotonicTime start);

    void arrive(const CallContext &context, const ServiceName &service, MonotonicTime now,
                const Answer<AttemptDecision> &answer);
    /// The sender of a queued attempt is gone. No effect on a running attempt.
    void cancel(const AttemptId &id, MonotonicTime now);
    TargetReport end(const AttemptId &id, const AttemptEnd &end, MonotonicTime now);
    VoidVerdict voidAttempt(const CallContext &context, MonotonicTime now);

    void announce(const Announcement &announcement, MonotonicTime now);
    /// The upstream refused a connection: gone until it announces itself again.
    void upstreamUnreachable(MonotonicTime now);
    void policyChanged(MonotonicTime now);
    void drain(MonotonicTime now);
    void tick(MonotonicTime now);

    const ParentCall *runningParent(const AttemptId &id) const;
    const std::optional<Announcement> &upstream() const;
    bool draining() const;
    void fillStatus(PolicyStatus &status, MonotonicTime now) const;

private:
    struct Joiner
    {
        CallContext context;
        Answer<AttemptDecision> answer;
    };
    struct Attempt
    {
        CallContext context;
        Answer<AttemptDecision> answer; ///< Empty once decided.
        std::vector<Joiner> joiners;
        std::optional<ParentCall> running;
    };

    std::optional<ErrorKind> refusalOf(const CallContext &context, const ServiceName &service, MonotonicTime now) const;
    void refuse(const AttemptId &id, ErrorKind kind, MonotonicTime now);
    void apply(AdmissionDecisions decisions, MonotonicTime now);
    AdmissionDecisions start(const AttemptId &id, MonotonicTime now);
    void answerJoiner(const Joiner &joiner, MonotonicTime now);
    AttemptDecision decisionFor(const Arrival &arrival, const CallContext &context) const;
    TargetReport report(const CallContext &context) const;
    void setState(UpstreamState state, MonotonicTime now);

    PolicySwitches m_switches;
    const PolicyBook &m_book;
    Random &m_random;
    AttemptRegistry m_registry;
    std::optional<Announcement> m_upstream;
    MonotonicTime m_announcedAt;
    UpstreamState m_state = UpstreamState::Gone;
    bool m_draining = false;
    std::optional<AdmissionController> m_admission; ///< From the first announcement on.
    std::unordered_map<AttemptId, Attempt> m_attempts;
    MonotonicTime m_prunedAt;
};

} // namespace Geraniumsail

#endif
