// Gossip membership with a full member table on every node; see docs/design.md.
//
// The class does no I/O: tick() and the handlers return the requests to send, and the caller reports the reply to each
// request or its failure. A failed request is not retried; the next periodic round covers it. Only members of the local
// data centre are probed, suspected and declared dead. Relays, a few members of each data centre, synchronise the table
// with other data centres.
//
// Limits: after a partition inside a data centre that lasts longer than TombstoneRetention, the two sides find each
// other only through seeds and contacts. A member whose process is paused for longer than the suspicion timeout is
// declared dead and rejoins with a higher sequence number.
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
/// Period of syncs with other data centres of the same region.
constexpr Duration IntraRegionSyncPeriod = std::chrono::seconds(2);
/// Longer than within a region, because links between regions are charged by volume.
constexpr Duration InterRegionSyncPeriod = std::chrono::seconds(10);
constexpr Duration DeadCheckPeriod = std::chrono::seconds(10);
constexpr Duration TombstoneRetention = std::chrono::hours(1);
/// Timeout of syncs that are not probes.
constexpr Duration SyncTimeout = std::chrono::seconds(2);
constexpr Duration TransferTimeout = std::chrono::seconds(3);
/// Members per data centre that synchronise the table with other data centres.
constexpr std::size_t RelayCount = 3;
/// Members per data centre that read the configuration from the store.
constexpr std::size_t WatcherCount = 3;

/// Event counts since the process started.
struct MembershipCounters
{
    std::uint64_t suspected = 0;
    std::uint64_t declaredDead = 0;
    std::uint64_t refuted = 0; ///< Received records that said this node was Suspect or Dead.
    std::uint64_t nameConflicts = 0; ///< Received records of this node's name with a higher incarnation.
    std::uint64_t pauses = 0;
    std::uint64_t transferredRecords = 0;
};

class Membership
{
public:
    /// The constructor overwrites self.sequence and self.state.
    Membership(MemberRecord self, std::vector<Address> seeds, MonotonicTime now, Random &random);

    std::vector<OutgoingRequest> tick(MonotonicTime now, WallTime wall, Random &random);

    /// Returns nullopt if the message is addressed to another node or this node has left.
    std::optional<SyncReply> onSync(const SyncMessage &message, MonotonicTime now, WallTime wall);
    MembersReply onFetchMembers(const FetchMembers &request) const;

    void onSyncReply(const OutgoingRequest &sent, const SyncReply &reply, MonotonicTime now, WallTime wall);
    std::vector<OutgoingRequest> onSyncFailed(const OutgoingRequest &sent, MonotonicTime now, WallTime wall,
                                              Random &random);
    /// reached is nullopt if the member that was asked to probe did not answer.
    void onIndirectProbeResult(const OutgoingRequest &sent, std::optional<bool> reached, MonotonicTime now);
    void onMembersReply(const OutgoingRequest &sent, const MembersReply &reply, MonotonicTime now);
    void onMembersFailed(const OutgoingRequest &sent);

    /// Updates the local member's record; increments its sequence number if state, service, slots or coldStart change.
    void setOwnState(MemberState state, const ServiceName &service, Slots slots, TicketEpoch epoch, MonotonicTime now,
                     Duration coldStart = Duration(0));
    /// Marks the local member Dead and returns the messages that announce it to a few members.
    std::vector<OutgoingRequest> leave(MonotonicTime now, WallTime wall, Random &random);
    /// Sets contact addresses read from the store. Like seeds, they are only tried; they need not be members.
    void setContacts(std::vector<Address> contacts);
    /// Requests a transfer of the member records of the service.
    void wantService(const ServiceName &service);
    /// Returns the message with which this node probes target on behalf of another member.
    SyncMessage makeProbe(const NodeName &target, WallTime wall);

    const MemberRecord &self() const;
    const MemberTable &table() const;
    std::vector<MemberRecord> members() const;
    std::vector<DataCentreName> unreachable(WallTime now) const;
    const std::vector<NodeName> &watchers() const;
    const std::vector<NodeName> &relays() const;
    bool isWatcher() const;
    bool isRelay() const;
    /// False after a pause until the resync requests to other members have completed or ResyncTimeout has passed. While
    /// false, this node suspects nobody and declares nobody dead.
    bool viewTrusted() const;
    /// True if another live member of the local data centre is known and no transfer is pending.
    bool joined() const;
    int localHealthMultiplier() const;
    const MembershipCounters &counters() const;
    /// Returns up to count distinct Alive members of the local data centre, without this node.
    std::vector<NodeName> randomMembers(std::size_t count, Random &random) const;
    OutgoingRequest makeOutgoingRequest(const NodeName &to, RequestPurpose purpose, Duration timeout,
                                        ControlRequest content) const;

private:
    struct IndirectProbeState
    {
        std::size_t pending = 0;
        bool reached = false;
        bool answered = false;
    };

    bool mergeRecord(const MemberRecord &record, bool disseminate, MonotonicTime now);
    void mergeOwnRecord(const MemberRecord &record, MonotonicTime now);
    void incrementOwnSequence(MonotonicTime now);
    void enqueueUpdate(const NodeName &name);
    void declareState(const NodeName &name, MemberState state, MonotonicTime now);
    void finishIndirectProbe(const NodeName &target, const IndirectProbeState &state, MonotonicTime now);
    SyncMessage makeSyncMessage(const NodeName &to, const DataCentreName &dataCentre, WallTime wall);
    OutgoingRequest makeSyncRequest(const NodeName &to, RequestPurpose purpose, Duration timeout, WallTime wall);
    OutgoingRequest makeSyncRequestToAddress(const Address &address, RequestPurpose purpose, WallTime wall);
    std::vector<MemberRecord> findRecords(const std::vector<NodeName> &names) const;
    void resumeFromPause(std::vector<OutgoingRequest> &out, MonotonicTime now, WallTime wall, Random &random);
    void probeNextMember(std::vector<OutgoingRequest> &out, MonotonicTime now, WallTime wall, Random &random);
    void checkDeadMember(std::vector<OutgoingRequest> &out, WallTime wall, Random &random);
    void syncOtherDataCentres(std::vector<OutgoingRequest> &out, MonotonicTime now, WallTime wall, Random &random);
    void syncRandomDataCentre(std::vector<OutgoingRequest> &out, bool sameRegion, WallTime wall, Random &random);
    void syncDataCentre(std::vector<OutgoingRequest> &out, const DataCentreName &dataCentre, WallTime wall,
                        Random &random);
    void sendNextTransfer(std::vector<OutgoingRequest> &out, MonotonicTime now, Random &random);
    std::optional<Address> pickUnknownSeed(Random &random) const;
    RegionName regionOf(const DataCentreName &dataCentre) const;
    void refreshRoles() const;
    void onResyncRequestDone();

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
    std::map<NodeName, IndirectProbeState> m_indirectProbes;
    std::map<DataCentreName, int> m_digestMismatches;
    std::set<DataCentreName> m_dataCentresToConfirm;
    Random m_incarnationRandom; ///< For a new incarnation in functions that take no Random argument.
    bool m_left = false;
    int m_pendingResyncs = 0;
    MonotonicTime m_resyncDeadline;
    MonotonicTime m_nextSync;
    MonotonicTime m_nextIntraRegionSync;
    MonotonicTime m_nextInterRegionSync;
    MonotonicTime m_nextDeadCheck;
    std::size_t m_bucketListRotation = 0;
    mutable std::optional<std::uint64_t> m_rolesChangeCount; ///< Change count of the table when roles were chosen.
    mutable std::vector<NodeName> m_relays;
    mutable std::vector<NodeName> m_watchers;
};

} // namespace Geraniumsail

#endif
