#include "core/membership.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

/// Members that confirm the own view after a pause.
constexpr int ResyncMembers = 3;
constexpr Duration ResyncTime = std::chrono::seconds(5);
/// A difference that two rounds in a row show is not an update on its way.
constexpr int MismatchesUntilTransfer = 2;
constexpr std::size_t FarewellMembers = 3;
/// A node sends about two messages a second and receives as many. With 16 updates in each, 200 nodes that started
/// together spent up to 13.7 KB/s for a minute, over the 11 KB/s of docs/design.md 1.7.
constexpr std::size_t UpdatesPerMessage = 8;
static_assert(UpdatesPerMessage <= MaxUpdates);
constexpr std::string_view RelaySalt = "relay";
constexpr std::string_view WatcherSalt = "watcher";

template <typename T>
const T &pick(const std::vector<T> &values, Random &random)
{
    return values[random() % values.size()];
}

Duration randomPart(Duration whole, Random &random)
{
    return Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(whole.count())));
}

} // namespace

Membership::Membership(MemberRecord self, std::vector<Address> seeds, MonotonicTime now, Random &random)
    : m_self(std::move(self)), m_seeds(std::move(seeds)), m_ownRandom(random()), m_nextSync(now),
      m_nextRegionSync(now + randomPart(RegionSyncPeriod, random)),
      m_nextFarSync(now + randomPart(FarSyncPeriod, random)), m_nextDeadCheck(now + randomPart(DeadCheckPeriod, random))
{
    m_self.sequence = 1;
    m_self.state = MemberState::Alive;
    m_table.apply(m_self, now);
}

std::vector<Outgoing> Membership::tick(MonotonicTime now, WallTime wall, Random &random)
{
    std::vector<Outgoing> out;
    if (m_left) {
        return out;
    }
    if (m_pause.tick(now)) {
        resumeFromPause(out, now, wall, random);
    }
    if (m_resyncsLeft > 0 && now >= m_resyncDeadline) {
        m_resyncsLeft = 0;
    }
    if (viewTrusted()) {
        for (const auto &name : m_detector.expired(now)) {
            declare(name, MemberState::Dead, now);
        }
    }
    m_table.removeTombstones(now, TombstoneRetention);
    if (now >= m_nextSync) {
        // Fixed period with jitter, so that nodes that started together do not stay in step.
        m_nextSync = now + SyncPeriod - SyncPeriod / 20 + randomPart(SyncPeriod / 10, random);
        probeNext(out, now, wall, random);
    }
    if (now >= m_nextDeadCheck) {
        m_nextDeadCheck = now + DeadCheckPeriod;
        checkDead(out, wall, random);
    }
    if (isRelay()) {
        crossSync(out, now, wall, random);
    }
    transferNext(out, now, random);
    return out;
}

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
        out.push_back(sync(pick(dead, random), RequestPurpose::DeadCheck, ProbeTimeout, wall));
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
        syncCentre(out, pick(centres, random), wall, random);
    }
}

void Membership::syncCentre(std::vector<Outgoing> &out, const DataCentreName &dataCentre, WallTime wall, Random &random)
{
    auto candidates = chooseByRendezvous(m_table, dataCentre, RelaySalt, Relays);
    if (m_reach.failing(dataCentre) || candidates.empty()) {
        // The relays in the own, possibly old view did not answer; any member of that data centre will do.
        candidates.clear();
        for (const auto &[name, changed] : m_table.names(dataCentre)) {
            if (m_table.find(name)->state != MemberState::Dead) {
                candidates.push_back(name);
            }
        }
    }
    if (!candidates.empty()) {
        out.push_back(sync(pick(candidates, random), RequestPurpose::CrossDataCentre, FarTimeout, wall));
    }
}

void Membership::transferNext(std::vector<Outgoing> &out, MonotonicTime now, Random &random)
{
    auto step = m_transfer.next(m_self.dataCentre, now);
    if (!step) {
        return;
    }
    if (step->source.empty() || m_table.find(step->source) == nullptr) {
        const auto any = randomMembers(1, random);
        if (any.empty()) {
            m_transfer.onFailed(step->request);
            return;
        }
        step->source = any.front();
    }
    out.push_back(request(step->source, RequestPurpose::Transfer, TransferTimeout, std::move(step->request)));
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
        message.reach = m_reach.statements(wall);
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

std::optional<SyncReply> Membership::onSync(const SyncMessage &message, MonotonicTime now, WallTime wall)
{
    if (m_left || (!message.to.empty() && message.to != m_self.name)) {
        return std::nullopt;
    }
    const bool near = message.self.dataCentre == m_self.dataCentre;
    merge(message.self, true, now);
    for (const auto &record : message.updates) {
        merge(record, true, now);
    }
    SyncReply reply;
    reply.self = m_self;
    const MemberRecord *sender = m_table.find(message.self.name);
    if (sender != nullptr && supersedes(*sender, message.self)) {
        reply.updates.push_back(*sender);
    }
    const std::size_t room = UpdatesPerMessage - reply.updates.size();
    for (auto &record : records(near ? m_queue.take(room) : m_queue.peek(room))) {
        reply.updates.push_back(std::move(record));
    }
    if (near) {
        m_reach.merge(message.reach, wall);
        reply.reach = m_reach.statements(wall);
    } else {
        m_reach.onContact(message.self.dataCentre, wall);
    }
    std::map<DataCentreName, std::uint64_t> theirs;
    for (const auto &digest : message.digests) {
        theirs[digest.dataCentre] = digest.digest;
    }
    std::vector<DataCentreName> differing;
    for (const auto &name : m_table.dataCentres()) {
        const auto found = theirs.find(name);
        if (found == theirs.end() || found->second != m_table.digest(name)) {
            differing.push_back(name);
        }
    }
    // The sender's own data centre first, the others in turn, so that each gets compared within a few rounds.
    if (!differing.empty()) {
        std::rotate(differing.begin(), differing.begin() + static_cast<std::ptrdiff_t>(m_rotation++ % differing.size()),
                    differing.end());
        std::stable_partition(differing.begin(), differing.end(),
                              [&](const auto &name) { return name == message.self.dataCentre; });
    }
    for (const auto &name : differing) {
        if (reply.buckets.size() < MaxBucketLists) {
            reply.buckets.push_back({name, m_table.buckets(name)});
        }
    }
    return reply;
}

void Membership::onSyncReply(const Outgoing &sent, const SyncReply &reply, MonotonicTime now, WallTime wall)
{
    const bool near = reply.self.dataCentre == m_self.dataCentre;
    merge(reply.self, true, now);
    for (const auto &record : reply.updates) {
        merge(record, true, now);
    }
    if (near) {
        m_reach.merge(reply.reach, wall);
    } else {
        m_reach.onContact(reply.self.dataCentre, wall);
    }
    std::set<DataCentreName> differing;
    for (const auto &list : reply.buckets) {
        const auto own = m_table.buckets(list.dataCentre);
        std::set<std::size_t> buckets;
        for (std::size_t i = 0; i < MemberBuckets; ++i) {
            if (own.at(i) != list.buckets.at(i)) {
                buckets.insert(i);
            }
        }
        if (buckets.empty()) {
            continue;
        }
        differing.insert(list.dataCentre);
        const bool unknown = m_table.liveCount(list.dataCentre) == 0;
        const int mismatches = ++m_mismatches[list.dataCentre];
        if (unknown || !near || sent.purpose == RequestPurpose::Resync || mismatches >= MismatchesUntilTransfer) {
            m_transfer.wantBuckets(list.dataCentre, buckets, reply.self.name);
        }
    }
    if (reply.buckets.size() < MaxBucketLists) {
        // All differences were listed.
        for (auto &[name, mismatches] : m_mismatches) {
            if (differing.count(name) == 0) {
                mismatches = 0;
            }
        }
    }
    if (sent.purpose == RequestPurpose::Probe) {
        m_detector.onProbeSucceeded();
    } else if (sent.purpose == RequestPurpose::Resync) {
        endResyncStep();
    }
}

std::vector<Outgoing> Membership::onSyncFailed(const Outgoing &sent, MonotonicTime now, WallTime wall, Random &random)
{
    std::vector<Outgoing> out;
    if (sent.purpose == RequestPurpose::Resync) {
        endResyncStep();
    } else if (sent.purpose == RequestPurpose::CrossDataCentre) {
        if (m_reach.onFailure(sent.dataCentre, wall)) {
            m_confirmSoon.insert(sent.dataCentre);
        }
    }
    const MemberRecord *target = m_table.find(sent.to);
    if (sent.purpose != RequestPurpose::Probe || !viewTrusted() || target == nullptr
        || target->state == MemberState::Dead || m_indirect.count(sent.to) > 0) {
        return out;
    }
    IndirectState state;
    for (const auto &helper : randomMembers(IndirectHelpers + 1, random)) {
        if (helper != sent.to && state.waiting < IndirectHelpers) {
            out.push_back(
                request(helper, RequestPurpose::Helper, IndirectProbeTimeout, IndirectProbe{sent.to, target->control}));
            ++state.waiting;
        }
    }
    if (state.waiting == 0) {
        declare(sent.to, target->state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect, now);
    } else {
        m_indirect[sent.to] = state;
    }
    return out;
}

void Membership::onHelperResult(const Outgoing &sent, std::optional<bool> reached, MonotonicTime now)
{
    const auto *probe = std::get_if<IndirectProbe>(&sent.request);
    const auto found = probe == nullptr ? m_indirect.end() : m_indirect.find(probe->target);
    if (found == m_indirect.end()) {
        return;
    }
    IndirectState &state = found->second;
    state.answered = state.answered || reached.has_value();
    state.reached = state.reached || reached.value_or(false);
    if (--state.waiting == 0) {
        const IndirectState last = state;
        m_indirect.erase(found);
        concludeIndirect(probe->target, last, now);
    }
}

void Membership::concludeIndirect(const NodeName &target, const IndirectState &state, MonotonicTime now)
{
    if (state.reached) {
        return;
    }
    if (!state.answered) {
        m_detector.onHelpersSilent();
    }
    const MemberRecord *record = m_table.find(target);
    if (record != nullptr && viewTrusted()) {
        declare(target, record->state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect, now);
    }
}

void Membership::declare(const NodeName &name, MemberState state, MonotonicTime now)
{
    const MemberRecord *known = m_table.find(name);
    if (known == nullptr || known->dataCentre != m_self.dataCentre || known->state >= state) {
        return;
    }
    MemberRecord record = *known;
    record.state = state;
    if (merge(record, true, now)) {
        ++(state == MemberState::Dead ? m_counters.declaredDead : m_counters.suspected);
    }
}

bool Membership::merge(const MemberRecord &record, bool spread, MonotonicTime now)
{
    if (record.name == m_self.name) {
        mergeOwn(record, now);
        return false;
    }
    if (!m_table.apply(record, now)) {
        return false;
    }
    if (spread) {
        enqueue(record.name);
    }
    if (record.dataCentre == m_self.dataCentre) {
        if (record.state == MemberState::Suspect) {
            m_detector.suspect(record.name, now);
        } else {
            m_detector.clear(record.name);
        }
    }
    return true;
}

void Membership::mergeOwn(const MemberRecord &record, MonotonicTime now)
{
    if (m_left || !supersedes(record, m_self)) {
        return;
    }
    if (record.incarnation > m_self.incarnation) {
        // The clock was set back between two lives, or a second process uses this name.
        ++m_counters.nameConflicts;
        m_self.incarnation = incarnationAbove(record.incarnation, m_ownRandom);
    } else {
        ++m_counters.refuted;
        m_detector.onSuspectedByOthers();
        m_self.sequence = std::max(m_self.sequence, record.sequence);
    }
    raiseOwn(now);
}

void Membership::raiseOwn(MonotonicTime now)
{
    ++m_self.sequence;
    m_table.apply(m_self, now);
}

void Membership::enqueue(const NodeName &name)
{
    m_queue.add(name, m_table.liveCount(m_self.dataCentre));
}

MembersReply Membership::onFetchMembers(const FetchMembers &request) const
{
    std::vector<const MemberRecord *> found;
    if (!request.services.empty()) {
        m_table.forEach([&](const MemberRecord &record) {
            if (record.name > request.after
                && std::find(request.services.begin(), request.services.end(), record.service)
                    != request.services.end()) {
                found.push_back(&record);
            }
        });
    } else {
        const std::set<std::size_t> buckets(request.buckets.begin(), request.buckets.end());
        const auto &names = m_table.names(request.dataCentre);
        for (auto entry = names.upper_bound(request.after); entry != names.end(); ++entry) {
            if (buckets.count(bucketOf(entry->first)) > 0) {
                found.push_back(m_table.find(entry->first));
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const auto *left, const auto *right) { return left->name < right->name; });
    const std::size_t limit = std::min({request.limit, MaxTransferRecords, found.size()});
    MembersReply reply;
    for (std::size_t i = 0; i < limit; ++i) {
        reply.records.push_back(found[i]->name == m_self.name ? m_self : *found[i]);
    }
    reply.more = limit < found.size();
    return reply;
}

void Membership::onMembersReply(const Outgoing &sent, const MembersReply &reply, MonotonicTime now)
{
    const auto &request = std::get<FetchMembers>(sent.request);
    m_transfer.onReply(request, reply);
    m_counters.transferredRecords += reply.records.size();
    // What another data centre told is news to the own one; what a neighbour told reaches the others by digests.
    const bool spread = sent.dataCentre != m_self.dataCentre;
    for (const auto &record : reply.records) {
        merge(record, spread, now);
    }
}

void Membership::onMembersFailed(const Outgoing &sent)
{
    m_transfer.onFailed(std::get<FetchMembers>(sent.request));
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
    raiseOwn(now);
}

std::vector<Outgoing> Membership::leave(MonotonicTime now, WallTime wall, Random &random)
{
    m_self.state = MemberState::Dead;
    raiseOwn(now);
    std::vector<Outgoing> out;
    for (const auto &name : randomMembers(FarewellMembers, random)) {
        out.push_back(sync(name, RequestPurpose::Farewell, ProbeTimeout, wall));
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

std::optional<Address> Membership::unknownSeed(Random &random) const
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
    return candidates.empty() ? std::nullopt : std::optional(pick(candidates, random));
}

RegionName Membership::regionOf(const DataCentreName &dataCentre) const
{
    const auto &names = m_table.names(dataCentre);
    return names.empty() ? RegionName() : m_table.find(names.begin()->first)->region;
}

std::vector<NodeName> Membership::randomMembers(std::size_t count, Random &random) const
{
    std::vector<NodeName> names;
    for (const auto &[name, changed] : m_table.names(m_self.dataCentre)) {
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
    if (m_rolesAt != m_table.changes()) {
        m_relays = chooseByRendezvous(m_table, m_self.dataCentre, RelaySalt, Relays);
        m_watchers = chooseByRendezvous(m_table, m_self.dataCentre, WatcherSalt, Watchers);
        m_rolesAt = m_table.changes();
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
    return m_resyncsLeft == 0;
}

bool Membership::joined() const
{
    return m_table.liveCount(m_self.dataCentre) > 1 && !m_transfer.pending();
}

int Membership::localHealth() const
{
    return m_detector.localHealth();
}

const MembershipCounters &Membership::counters() const
{
    return m_counters;
}

} // namespace Geraniumsail
