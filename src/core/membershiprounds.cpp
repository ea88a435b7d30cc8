// Requests that a member sends from time to time: probes, syncs across data centres, transfers.
#include "core/membership.h"

#include "core/membershiprules.h"
#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

void Membership::probeNext(std::vector<Outgoing> &out, MonotonicTime now, WallTime wall, Random &random)
{
    const auto target = m_detector.nextTarget(m_table, m_self.dataCentre, m_self.name, random);
    if (target) {
        out.push_back(sync(*target, RequestPurpose::Probe, ProbeTimeout, wall));
        return;
    }
    if (const auto seed = unknownSeed(random)) {
        out.push_back(syncAddress(*seed, RequestPurpose::Join, wall));
    }
    m_nextSync = now + SyncPeriod;
}

void Membership::checkDead(std::vector<Outgoing> &out, WallTime wall, Random &random)
{
    std::vector<NodeName> dead;
    for (const auto &[name, changed] : m_table.names(m_self.dataCentre)) {
        if (m_table.find(name)->state == MemberState::Dead && name != m_self.name) {
            dead.push_back(name);
        }
    }
    if (!dead.empty()) {
        out.push_back(sync(pickOne(dead, random), RequestPurpose::DeadCheck, ProbeTimeout, wall));
    }
    if (isRelay()) {
        if (const auto seed = unknownSeed(random)) {
            out.push_back(syncAddress(*seed, RequestPurpose::Join, wall));
        }
    }
}

void Membership::crossSync(std::vector<Outgoing> &out, MonotonicTime now, WallTime wall, Random &random)
{
    if (now >= m_nextRegionSync) {
        m_nextRegionSync = now + RegionSyncPeriod;
        syncRandomCentre(out, true, wall, random);
        for (const auto &dataCentre : std::exchange(m_confirmSoon, {})) {
            syncCentre(out, dataCentre, wall, random);
        }
    }
    if (now >= m_nextFarSync) {
        m_nextFarSync = now + FarSyncPeriod;
        syncRandomCentre(out, false, wall, random);
    }
}

void Membership::syncRandomCentre(std::vector<Outgoing> &out, bool sameRegion, WallTime wall, Random &random)
{
    std::vector<DataCentreName> centres;
    for (const auto &name : m_table.dataCentres()) {
        if (name != m_self.dataCentre && (regionOf(name) == m_self.region) == sameRegion) {
            centres.push_back(name);
        }
    }
    if (!centres.empty()) {
        syncCentre(out, pickOne(centres, random), wall, random);
    }
}

void Membership::syncCentre(std::vector<Outgoing> &out, const DataCentreName &dataCentre, WallTime wall, Random &random)
{
    auto candidates = selectLiveByRendezvousHash(m_table, dataCentre, RelaySalt, Relays);
    if (m_reach.hasFailures(dataCentre) || candidates.empty()) {
        // The relays in the own, possibly old view did not answer; any member of that data centre will do.
        candidates.clear();
        for (const auto &[name, changed] : m_table.names(dataCentre)) {
            if (m_table.find(name)->state != MemberState::Dead) {
                candidates.push_back(name);
            }
        }
    }
    if (!candidates.empty()) {
        out.push_back(sync(pickOne(candidates, random), RequestPurpose::CrossDataCentre, FarTimeout, wall));
    }
}

void Membership::transferNext(std::vector<Outgoing> &out, MonotonicTime now, Random &random)
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
    out.push_back(request(fetch->source, RequestPurpose::Transfer, TransferTimeout, std::move(fetch->request)));
}

void Membership::resumeFromPause(std::vector<Outgoing> &out, MonotonicTime now, WallTime wall, Random &random)
{
    ++m_counters.pauses;
    m_detector.restartSuspicions(now);
    m_indirect.clear();
    raiseOwn(now);
    const auto members = randomMembers(ResyncMembers, random);
    m_resyncsLeft = static_cast<int>(members.size());
    m_resyncDeadline = now + ResyncTime;
    for (const auto &name : members) {
        out.push_back(sync(name, RequestPurpose::Resync, FarTimeout, wall));
    }
}

void Membership::endResyncStep()
{
    m_resyncsLeft = std::max(0, m_resyncsLeft - 1);
}

SyncMessage Membership::makeSync(const NodeName &to, const DataCentreName &dataCentre, WallTime wall)
{
    SyncMessage message;
    message.to = to;
    message.self = m_self;
    const bool near = dataCentre == m_self.dataCentre;
    const MemberRecord *receiver = m_table.find(to);
    if (receiver != nullptr && receiver->state >= MemberState::Suspect) {
        // A receiver that lives after all learns what it has to refute.
        message.updates.push_back(*receiver);
    }
    const std::size_t room = UpdatesPerMessage - message.updates.size();
    for (auto &record : records(near ? m_queue.take(room) : m_queue.peek(room))) {
        message.updates.push_back(std::move(record));
    }
    for (const auto &name : m_table.dataCentres()) {
        if (message.digests.size() < MaxDataCentres) {
            message.digests.push_back({name, m_table.digest(name)});
        }
    }
    if (near) {
        message.reach = m_reach.reports(wall);
    }
    return message;
}

std::vector<MemberRecord> Membership::records(const std::vector<NodeName> &names) const
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

Outgoing Membership::request(const NodeName &to, RequestPurpose purpose, Duration timeout, ControlRequest content) const
{
    Outgoing out;
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

Outgoing Membership::sync(const NodeName &to, RequestPurpose purpose, Duration timeout, WallTime wall)
{
    const MemberRecord *record = m_table.find(to);
    return request(to, purpose, timeout, makeSync(to, record->dataCentre, wall));
}

Outgoing Membership::syncAddress(const Address &address, RequestPurpose purpose, WallTime wall)
{
    Outgoing out;
    out.address = address;
    out.timeout = FarTimeout;
    out.purpose = purpose;
    out.request = makeSync(NodeName(), DataCentreName(), wall);
    return out;
}

SyncMessage Membership::probeFor(const NodeName &target, WallTime wall)
{
    const MemberRecord *record = m_table.find(target);
    return makeSync(target, record == nullptr ? DataCentreName() : record->dataCentre, wall);
}

} // namespace Geraniumsail
