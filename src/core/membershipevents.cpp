// Messages of other members, their answers and failures, and what they change in the table.
#include "core/membership.h"

#include "core/membershiprules.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

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
        reply.reach = m_reach.reports(wall);
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

} // namespace Geraniumsail
