// Failure detection within one data centre, after SWIM and Lifeguard: probe order and suspicion timers.
//
// One member is probed per period, in shuffled round-robin order, so that each one is probed at least once in as many
// periods as there are members. A failed probe is repeated through two other members, to distinguish a failed member
// from a failed path between it and this node. A suspicion lasts SuspicionTimeout times the local health multiplier.
// The multiplier increases when indirect probes go unanswered or when others suspect this node: both indicate that this
// node is slow, so it waits longer before it declares others dead.
#ifndef GERANIUMSAIL_CORE_FAILUREDETECTOR_H
#define GERANIUMSAIL_CORE_FAILUREDETECTOR_H

#include "core/ids.h"
#include "core/membertable.h"
#include "core/random.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <vector>

namespace Geraniumsail {

constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);
/// Includes the ProbeTimeout of the member that probes on behalf of this node.
constexpr Duration IndirectProbeTimeout = std::chrono::milliseconds(1000);
constexpr Duration SuspicionTimeout = std::chrono::seconds(5);
constexpr std::size_t IndirectProbeCount = 2;
constexpr int MaxLocalHealthMultiplier = 8;

class FailureDetector
{
public:
    /// Returns the next member to probe, or nullopt if the data centre has no other live member.
    std::optional<NodeName> nextProbeTarget(const MemberTable &table, const DataCentreName &dataCentre,
                                            const NodeName &self, Random &random);

    void onProbeSucceeded();
    /// None of the members that were asked for an indirect probe answered; this node may be the cause.
    void onIndirectProbesUnanswered();
    /// Another member reported this node as Suspect or Dead.
    void onSuspectedByOthers();
    /// From 1 (healthy) to MaxLocalHealthMultiplier (slow); multiplies SuspicionTimeout.
    int localHealthMultiplier() const;

    /// Starts the suspicion timer of the member unless it is already running.
    void startSuspicion(const NodeName &name, MonotonicTime now);
    void clearSuspicion(const NodeName &name);
    /// Restarts all suspicion timers after a pause, because members could not refute a suspicion during the pause.
    void restartSuspicions(MonotonicTime now);
    /// Removes the expired suspicion timers and returns their members.
    std::vector<NodeName> takeExpiredSuspicions(MonotonicTime now);
    std::size_t suspicionCount() const;

private:
    std::vector<NodeName> m_probeOrder;
    int m_localHealthMultiplier = 1;
    std::map<NodeName, MonotonicTime> m_suspectedSince;
};

} // namespace Geraniumsail

#endif
