// The full table of members by gossip (docs/design.md, section 4).
//
// Events in, requests out: tick() and the onX functions return the requests to send; the caller reports each request's
// answer or failure. Nothing is retried here but by the next round. Only members of the own data centre are probed,
// suspected and declared dead; other data centres are compared by their relays.
//
// Limits: after a split of a data centre that lasted longer than the retention of tombstones (TombstoneRetention), the
// halves find each other only through seeds and contacts. A member whose process is paused longer than
// the suspicion time is declared dead and returns with a higher sequence.
#ifndef GERANIUMSAIL_CORE_MEMBERSHIP_H
#define GERANIUMSAIL_CORE_MEMBERSHIP_H

#include "core/controlmessages.h"
#include "core/dissemination.h"
#include "core/failuredetector.h"
#include "core/membertable.h"
#include "core/membertransfer.h"
#include "core/pausedetector.h"
#include "core/reachabilityview.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Geraniumsail {

constexpr Duration SyncPeriod = std::chrono::seconds(1);
constexpr Duration RegionSyncPeriod = std::chrono::seconds(2);
/// The links between regions are paid for by volume.
constexpr Duration FarSyncPeriod = std::chrono::seconds(10);
constexpr Duration DeadCheckPeriod = std::chrono::seconds(10);
constexpr Duration TombstoneRetention = std::chrono::hours(1);
constexpr Duration FarTimeout = std::chrono::seconds(2);
constexpr Duration TransferTimeout = std::chrono::seconds(3);
constexpr std::size_t Relays = 3;
constexpr std::size_t Watchers = 3;

/// Counts since the start, for metrics and for measurements.
struct MembershipCounters
{
    std::uint64_t suspected = 0;
    std::uint64_t declaredDead = 0;
    std::uint64_t refuted = 0; ///< Others suspected this node, or held it dead.
    std::uint64_t nameConflicts = 0; ///< A higher incarnation of the own name was seen.
    std::uint64_t pauses = 0;
    std::uint64_t transferredRecords = 0;
};

class Membership
{
public:
    /// self.sequence and self.state are set here.
    Membership(MemberRecord self, std::vector<Address> seeds, MonotonicTime now, Random &random);

    std::vector<Outgoing> tick(MonotonicTime now, WallTime wall, Random &random);

    /// Nothing if the message is for another node.
    std::optional<SyncReply> onSync(const SyncMessage &message, MonotonicTime now, WallTime wall);
    MembersReply onFetchMembers(const FetchMembers &request) const;

    void onSyncReply(const Outgoing &sent, const SyncReply &reply, MonotonicTime now, WallTime wall);
    std::vector<Outgoing> onSyncFailed(const Outgoing &sent, MonotonicTime now, WallTime wall, Random &random);
    /// reached is nothing if the helper itself did not answer.
    void onHelperResult(const Outgoing &sent, std::optional<bool> reached, MonotonicTime now);
    void onMembersReply(const Outgoing &sent, const MembersReply &reply, MonotonicTime now);
    void onMembersFailed(const Outgoing &sent);

    /// What this node tells others about itself; raises the sequence if it changes anything.
    void setOwnState(MemberState state, const ServiceName &service, Slots slots, TicketEpoch epoch, MonotonicTime now,
                     Duration coldStart = Duration(0));
    /// Declares the own record Dead and returns messages that tell it to a few members.
    std::vector<Outgoing> leave(MonotonicTime now, WallTime wall, Random &random);
    /// Addresses that the store holds as contacts; hints only.
    void setContacts(std::vector<Address> contacts);
    void wantService(const ServiceName &service);
    /// A message that probes a member on behalf of another.
    SyncMessage probeFor(const NodeName &target, WallTime wall);

    const MemberRecord &self() const;
    const MemberTable &table() const;
    std::vector<MemberRecord> members() const;
    std::vector<DataCentreName> unreachable(WallTime now) const;
    const std::vector<NodeName> &watchers() const;
    const std::vector<NodeName> &relays() const;
    bool isWatcher() const;
    bool isRelay() const;
    /// False after a pause until other members have confirmed the own view.
    bool viewTrusted() const;
    bool joined() const;
    int localHealth() const;
    const MembershipCounters &counters() const;
    /// Random Alive members of the own data centre.
    std::vector<NodeName> randomMembers(std::size_t count, Random &random) const;
    Outgoing request(const NodeName &to, RequestPurpose purpose, Duration timeout, ControlRequest content) const;

private:
    struct IndirectState
    {
        std::size_t waiting = 0;
        bool reached = false;
        bool answered = false;
    };

    bool merge(const MemberRecord &record, bool spread, MonotonicTime now);
    void mergeOwn(const MemberRecord &record, MonotonicTime now);
    void raiseOwn(MonotonicTime now);
    void enqueue(const NodeName &name);
    void declare(const NodeName &name, MemberState state, MonotonicTime now);
    void concludeIndirect(const NodeName &target, const IndirectState &state, MonotonicTime now);
    SyncMessage makeSync(const NodeName &to, const DataCentreName &dataCentre, WallTime wall);
    Outgoing sync(const NodeName &to, RequestPurpose purpose, Duration timeout, WallTime wall);
    Outgoing syncAddress(const Address &address, RequestPurpose purpose, WallTime wall);
    std::vector<MemberRecord> records(const std::vector<NodeName> &names) const;
    void resumeFromPause(std::vector<Outgoing> &out, MonotonicTime now, WallTime wall, Random &random);
    void probeNext(std::vector<Outgoing> &out, MonotonicTime now, WallTime wall, Random &random);
    void checkDead(std::vector<Outgoing> &out, WallTime wall, Random &random);
    void crossSync(std::vector<Outgoing> &out, MonotonicTime now, WallTime wall, Random &random);
    void syncRandomCentre(std::vector<Outgoing> &out, bool sameRegion, WallTime wall, Random &random);
    void syncCentre(std::vector<Outgoing> &out, const DataCentreName &dataCentre, WallTime wall, Random &random);
    void transferNext(std::vector<Outgoing> &out, MonotonicTime now, Random &random);
    std::optional<Address> unknownSeed(Random &random) const;
    RegionName regionOf(const DataCentreName &dataCentre) const;
    void refreshRoles() const;
    void endResyncStep();

    MemberRecord m_self;
    std::vector<Address> m_seeds;
    std::vector<Address> m_contacts;
    MemberTable m_table;
    DisseminationQueue m_queue;
    FailureDetector m_detector;
    PauseDetector m_pause;
    ReachabilityView m_reach;
    MemberTransfer m_transfer;
    MembershipCounters m_counters;
    std::map<NodeName, IndirectState> m_indirect;
    std::map<DataCentreName, int> m_mismatches;
    std::set<DataCentreName> m_confirmSoon;
    Random m_ownRandom; ///< For decisions in functions without a random argument.
    bool m_left = false;
    int m_resyncsLeft = 0;
    MonotonicTime m_resyncDeadline;
    MonotonicTime m_nextSync;
    MonotonicTime m_nextRegionSync;
    MonotonicTime m_nextFarSync;
    MonotonicTime m_nextDeadCheck;
    std::size_t m_rotation = 0;
    mutable std::optional<std::uint64_t> m_rolesAt;
    mutable std::vector<NodeName> m_relays;
    mutable std::vector<NodeName> m_watchers;
};

} // namespace Geraniumsail

#endif
