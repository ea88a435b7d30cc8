// Failure detection within one data centre: whom to probe, whom to suspect, whom to declare dead.
//
// Members are probed one per round in a shuffled order, so that each is probed at least once in (members) rounds. A
// probe that fails is repeated through two other members, which tells a broken path of this node from a broken member.
// Suspicion lasts SuspicionTime x local health; a node that sees its own probes fail without help or is itself
// suspected counts itself as slow and waits longer before it declares others dead.
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
/// A helper needs ProbeTimeout for its own probe.
constexpr Duration IndirectProbeTimeout = std::chrono::milliseconds(1000);
constexpr Duration SuspicionTime = std::chrono::seconds(5);
constexpr std::size_t IndirectHelpers = 2;
constexpr int MaxLocalHealth = 8;

class FailureDetector
{
public:
    /// The next member to probe, or nothing in an empty data centre.
    std::optional<NodeName> nextTarget(const MemberTable &table, const DataCentreName &dataCentre, const NodeName &own,
                                       Random &random);

    void onProbeSucceeded();
    /// No helper answered at all: the fault may be on this side.
    void onHelpersSilent();
    /// Others suspected this node although it lives.
    void onSuspectedByOthers();
    /// 1 (fast) to MaxLocalHealth (slow).
    int localHealth() const;

    /// Starts the suspicion timer unless it runs already.
    void suspect(const NodeName &name, MonotonicTime now);
    void clear(const NodeName &name);
    /// Starts every suspicion timer anew; after a pause the time that passed proves nothing.
    void restartSuspicions(MonotonicTime now);
    /// Members whose suspicion has lasted long enough; their timers end.
    std::vector<NodeName> expired(MonotonicTime now);
    std::size_t suspicions() const;

private:
    std::vector<NodeName> m_round;
    int m_health = 1;
    std::map<NodeName, MonotonicTime> m_suspectedSince;
};

} // namespace Geraniumsail

#endif
