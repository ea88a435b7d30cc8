#include "core/membership.h"

#include "core/membershiprules.h"
#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

Duration randomDuration(Duration limit, Random &random)
{
    return Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(limit.count())));
}

} // namespace

Membership::Membership(MemberRecord self, std::vector<Address> seeds, MonotonicTime now, Random &random)
    : m_self(std::move(self)), m_seeds(std::move(seeds)), m_incarnationRandom(random()), m_nextSync(now),
      m_nextIntraRegionSync(now + randomDuration(IntraRegionSyncPeriod, random)),
      m_nextInterRegionSync(now + randomDuration(InterRegionSyncPeriod, random)),
      m_nextDeadCheck(now + randomDuration(DeadCheckPeriod, random))
{
    m_self.sequence = 1;
    m_self.state = MemberState::Alive;
    m_table.apply(m_self, now);
}

std::vector<OutgoingRequest> Membership::tick(MonotonicTime now, WallTime wall, Random &random)
{
    std::vector<OutgoingRequest> out;
    if (m_left) {
        return out;
    }
    if (m_pause.tick(now)) {
        resumeFromPause(out, now, wall, random);
    }
    if (m_pendingResyncs > 0 && now >= m_resyncDeadline) {
        m_pendingResyncs = 0;
    }
    if (viewTrusted()) {
        for (const auto &name : m_detector.takeExpiredSuspicions(now)) {
            declareState(name, MemberState::Dead, now);
        }
    }
    m_table.removeTombstones(now, TombstoneRetention);
    if (now >= m_nextSync) {
        // Jitter keeps nodes that started together from staying synchronised.
        m_nextSync = now + SyncPeriod - SyncPeriod / 20 + randomDuration(SyncPeriod / 10, random);
        probeNextMember(out, now, wall, random);
    }
    if (now >= m_nextDeadCheck) {
        m_nextDeadCheck = now + DeadCheckPeriod;
        checkDeadMember(out, wall, random);
    }
    if (isRelay()) {
        syncOtherDataCentres(out, now, wall, random);
    }
    sendNextTransfer(out, now, random);
    return out;
}

void Membership::setOwnState(MemberState state, const ServiceName &service, Slots slots, TicketEpoch epoch,
                             MonotonicTime now, Duration coldStart)
{
    if (m_left
        || (m_self.state == state && m_self.service == service && m_self.slots == slots
            && m_self.coldStart == coldStart)) {
        return;
    }
    m_self.state = state;
    m_self.service = service;
    m_self.slots = slots;
    m_self.coldStart = coldStart;
    m_self.epoch = epoch;
    incrementOwnSequence(now);
}

std::vector<OutgoingRequest> Membership::leave(MonotonicTime now, WallTime wall, Random &random)
{
    m_self.state = MemberState::Dead;
    incrementOwnSequence(now);
    std::vector<OutgoingRequest> out;
    for (const auto &name : randomMembers(LeaveNotificationCount, random)) {
        out.push_back(makeSyncRequest(name, RequestPurpose::LeaveNotification, ProbeTimeout, wall));
    }
    m_left = true;
    return out;
}

void Membership::setContacts(std::vector<Address> contacts)
{
    m_contacts = std::move(contacts);
}

void Membership::wantService(const ServiceName &service)
{
    m_transfer.wantService(service);
}

std::optional<Address> Membership::pickUnknownSeed(Random &random) const
{
    std::set<Address> known{m_self.control};
    m_table.forEach([&](const MemberRecord &record) {
        if (record.state != MemberState::Dead) {
            known.insert(record.control);
        }
    });
    std::vector<Address> candidates;
    for (const auto *list : {&m_seeds, &m_contacts}) {
        std::copy_if(list->begin(), list->end(), std::back_inserter(candidates),
                     [&](const auto &address) { return known.count(address) == 0; });
    }
    return candidates.empty() ? std::nullopt : std::optional(pickRandom(candidates, random));
}

RegionName Membership::regionOf(const DataCentreName &dataCentre) const
{
    const auto &names = m_table.names(dataCentre);
    return names.empty() ? RegionName() : m_table.find(names.begin()->first)->region;
}

std::vector<NodeName> Membership::randomMembers(std::size_t count, Random &random) const
{
    std::vector<NodeName> names;
    for (const auto &[name, changedAt] : m_table.names(m_self.dataCentre)) {
        if (name != m_self.name && m_table.find(name)->state == MemberState::Alive) {
            names.push_back(name);
        }
    }
    for (std::size_t i = 0; i < std::min(count, names.size()); ++i) {
        std::swap(names[i], names[i + random() % (names.size() - i)]);
    }
    names.resize(std::min(count, names.size()));
    return names;
}

void Membership::refreshRoles() const
{
    if (m_rolesChangeCount != m_table.changeCount()) {
        m_relays = selectLiveByRendezvousHash(m_table, m_self.dataCentre, RelaySalt, RelayCount);
        m_watchers = selectLiveByRendezvousHash(m_table, m_self.dataCentre, WatcherSalt, WatcherCount);
        m_rolesChangeCount = m_table.changeCount();
    }
}

const std::vector<NodeName> &Membership::watchers() const
{
    refreshRoles();
    return m_watchers;
}

const std::vector<NodeName> &Membership::relays() const
{
    refreshRoles();
    return m_relays;
}

bool Membership::isWatcher() const
{
    const auto &names = watchers();
    return std::find(names.begin(), names.end(), m_self.name) != names.end();
}

bool Membership::isRelay() const
{
    const auto &names = relays();
    return std::find(names.begin(), names.end(), m_self.name) != names.end();
}

const MemberRecord &Membership::self() const
{
    return m_self;
}

const MemberTable &Membership::table() const
{
    return m_table;
}

std::vector<MemberRecord> Membership::members() const
{
    std::vector<MemberRecord> result;
    result.reserve(m_table.size());
    m_table.forEach([&](const MemberRecord &record) { result.push_back(record); });
    return result;
}

std::vector<DataCentreName> Membership::unreachable(WallTime now) const
{
    return m_reach.unreachable(now);
}

bool Membership::viewTrusted() const
{
    return m_pendingResyncs == 0;
}

bool Membership::joined() const
{
    return m_table.liveCount(m_self.dataCentre) > 1 && !m_transfer.pending();
}

int Membership::localHealthMultiplier() const
{
    return m_detector.localHealthMultiplier();
}

const MembershipCounters &Membership::counters() const
{
    return m_counters;
}

} // namespace Geraniumsail
