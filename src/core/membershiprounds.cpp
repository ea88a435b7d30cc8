// Periodic requests of a member: probes, syncs with other data centres, transfers; and the resync after a pause.
#include "core/membership.h"

#include "core/membershiprules.h"
#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

void Membership::probeNextMember(std::vector<OutgoingRequest> &out, MonotonicTime now, WallTime wall, Random &random)
{
    const auto target = m_detector.nextProbeTarget(m_table, m_self.dataCentre, m_self.name, random);
    if (target) {
        out.push_back(makeSyncRequest(*target, RequestPurpose::Probe, ProbeTimeout, wall));
        return;
    }
    if (const auto seed = pickUnknownSeed(random)) {
        out.push_back(makeSyncRequestToAddress(*seed, RequestPurpose::Join, wall));
    }
    m_nextSync = now + SyncPeriod;
}

void Membership::checkDeadMember(std::vector<OutgoingRequest> &out, WallTime wall, Random &random)
{
    std::vector<NodeName> dead;
    for (const auto &[name, changedAt] : m_table.names(m_self.dataCentre)) {
        if (m_table.find(name)->state == MemberState::Dead && name != m_self.name) {
            dead.push_back(name);
        }
    }
    if (!dead.empty()) {
        out.push_back(makeSyncRequest(pickRandom(dead, random), RequestPurpose::DeadCheck, ProbeTimeout, wall));
    }
    if (isRelay()) {
        if (const auto seed = pickUnknownSeed(random)) {
            out.push_back(makeSyncRequestToAddress(*seed, RequestPurpose::Join, wall));
        }
    }
}

void Membership::syncOtherDataCentres(std::vector<OutgoingRequest> &out, MonotonicTime now, WallTime wall,
                                      Random &random)
{
    if (now >= m_nextIntraRegionSync) {
        m_nextIntraRegionSync = now + IntraRegionSyncPeriod;
        syncRandomDataCentre(out, true, wall, random);
        for (const auto &dataCentre : std::exchange(m_dataCentresToConfirm, {})) {
            syncDataCentre(out, dataCentre, wall, random);
        }
    }
    if (now >= m_nextInterRegionSync) {
        m_nextInterRegionSync = now + InterRegionSyncPeriod;
        syncRandomDataCentre(out, false, wall, random);
    }
}

void Membership::syncRandomDataCentre(std::vector<OutgoingRequest> &out, bool sameRegion, WallTime wall, Random &random)
{
    std::vector<DataCentreName> dataCentres;
    for (const auto &name : m_table.dataCentres()) {
        if (name != m_self.dataCentre && (regionOf(name) == m_self.region) == sameRegion) {
            dataCentres.push_back(name);
        }
    }
    if (!dataCentres.empty()) {
        syncDataCentre(out, pickRandom(dataCentres, random), wall, random);
    }
}

void Membership::syncDataCentre(std::vector<OutgoingRequest> &out, const DataCentreName &dataCentre, WallTime wall,
                                Random &random)
{
    auto candidates = selectLiveByRendezvousHash(m_table, dataCentre, RelaySalt, RelayCount);
    if (m_reach.hasFailures(dataCentre) || candidates.empty()) {
        // The relays in this node's view did not answer, possibly because the view is outdated; try any member.
        candidates.clear();
        for (const auto &[name, changedAt] : m_table.names(dataCentre)) {
            if (m_table.find(name)->state != MemberState::Dead) {
                candidates.push_back(name);
            }
        }
    }
    if (!candidates.empty()) {
        out.push_back(
            makeSyncRequest(pickRandom(candidates, random), RequestPurpose::CrossDataCentre, SyncTimeout, wall));
    }
}

void Membership::sendNextTransfer(std::vector<OutgoingRequest> &out, MonotonicTime now, Random &random)
{
    auto fetch = m_transfer.nextFetch(m_self.dataCentre, now);
    if (!fetch) {
        return;
    }
    if (fetch->source.empty() || m_table.find(fetch->source) == nullptr) {
        const auto any = randomMembers(1, random);
        if (any.empty()) {
            m_transfer.onFailed(fetch->request);
            return;
        }
        fetch->source = any.front();
    }
    out.push_back(
        makeOutgoingRequest(fetch->source, RequestPurpose::Transfer, TransferTimeout, std::move(fetch->request)));
}

void Membership::resumeFromPause(std::vector<OutgoingRequest> &out, MonotonicTime now, WallTime wall, Random &random)
{
    ++m_counters.pauses;
    m_detector.restartSuspicions(now);
    m_indirectProbes.clear();
    incrementOwnSequence(now);
    const auto members = randomMembers(ResyncMemberCount, random);
    m_pendingResyncs = static_cast<int>(members.size());
    m_resyncDeadline = now + ResyncTimeout;
    for (const auto &name : members) {
        out.push_back(makeSyncRequest(name, RequestPurpose::Resync, SyncTimeout, wall));
    }
}

void Membership::onResyncRequestDone()
{
    m_pendingResyncs = std::max(0, m_pendingResyncs - 1);
}

SyncMessage Membership::makeSyncMessage(const NodeName &to, const DataCentreName &dataCentre, WallTime wall)
{
    SyncMessage message;
    message.to = to;
    message.self = m_self;
    const bool sameDataCentre = dataCentre == m_self.dataCentre;
    const MemberRecord *receiver = m_table.find(to);
    if (receiver != nullptr && receiver->state >= MemberState::Suspect) {
        // Lets a receiver that is alive see the record that it has to refute.
        message.updates.push_back(*receiver);
    }
    const std::size_t room = UpdatesPerMessage - message.updates.size();
    for (auto &record : findRecords(sameDataCentre ? m_queue.take(room) : m_queue.peek(room))) {
        message.updates.push_back(std::move(record));
    }
    for (const auto &name : m_table.dataCentres()) {
        if (message.digests.size() < MaxDataCentres) {
            message.digests.push_back({name, m_table.digest(name)});
        }
    }
    if (sameDataCentre) {
        message.reach = m_reach.reports(wall);
    }
    return message;
}

std::vector<MemberRecord> Membership::findRecords(const std::vector<NodeName> &names) const
{
    std::vector<MemberRecord> result;
    for (const auto &name : names) {
        const MemberRecord *record = m_table.find(name);
        if (record != nullptr && name != m_self.name) {
            result.push_back(*record);
        }
    }
    return result;
}

OutgoingRequest Membership::makeOutgoingRequest(const NodeName &to, RequestPurpose purpose, Duration timeout,
                                                ControlRequest content) const
{
    OutgoingRequest out;
    out.to = to;
    if (const MemberRecord *record = m_table.find(to)) {
        out.address = record->control;
        out.dataCentre = record->dataCentre;
    }
    out.timeout = timeout;
    out.purpose = purpose;
    out.request = std::move(content);
    return out;
}

OutgoingRequest Membership::makeSyncRequest(const NodeName &to, RequestPurpose purpose, Duration timeout, WallTime wall)
{
    const MemberRecord *record = m_table.find(to);
    return makeOutgoingRequest(to, purpose, timeout, makeSyncMessage(to, record->dataCentre, wall));
}

OutgoingRequest Membership::makeSyncRequestToAddress(const Address &address, RequestPurpose purpose, WallTime wall)
{
    OutgoingRequest out;
    out.address = address;
    out.timeout = SyncTimeout;
    out.purpose = purpose;
    out.request = makeSyncMessage(NodeName(), DataCentreName(), wall);
    return out;
}

SyncMessage Membership::makeProbe(const NodeName &target, WallTime wall)
{
    const MemberRecord *record = m_table.find(target);
    return makeSyncMessage(target, record == nullptr ? DataCentreName() : record->dataCentre, wall);
}

} // namespace Geraniumsail
