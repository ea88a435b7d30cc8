// Handling of received messages, replies and failed requests, and the resulting changes of the member table.
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
    const bool sameDataCentre = message.self.dataCentre == m_self.dataCentre;
    mergeRecord(message.self, true, now);
    for (const auto &record : message.updates) {
        mergeRecord(record, true, now);
    }
    SyncReply reply;
    reply.self = m_self;
    const MemberRecord *sender = m_table.find(message.self.name);
    if (sender != nullptr && supersedes(*sender, message.self)) {
        reply.updates.push_back(*sender);
    }
    const std::size_t room = UpdatesPerMessage - reply.updates.size();
    for (auto &record : findRecords(sameDataCentre ? m_queue.take(room) : m_queue.peek(room))) {
        reply.updates.push_back(std::move(record));
    }
    if (sameDataCentre) {
        m_reach.merge(message.reach, wall);
        reply.reach = m_reach.reports(wall);
    } else {
        m_reach.onContact(message.self.dataCentre, wall);
    }
    std::map<DataCentreName, std::uint64_t> remoteDigests;
    for (const auto &digest : message.digests) {
        remoteDigests[digest.dataCentre] = digest.digest;
    }
    std::vector<DataCentreName> differing;
    for (const auto &name : m_table.dataCentres()) {
        const auto found = remoteDigests.find(name);
        if (found == remoteDigests.end() || found->second != m_table.digest(name)) {
            differing.push_back(name);
        }
    }
    // A reply lists the buckets of at most MaxBucketLists data centres: the sender's own first, the others by rotation,
    // so that each one is compared within a few rounds.
    if (!differing.empty()) {
        std::rotate(differing.begin(),
                    differing.begin() + static_cast<std::ptrdiff_t>(m_bucketListRotation++ % differing.size()),
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

void Membership::onSyncReply(const OutgoingRequest &sent, const SyncReply &reply, MonotonicTime now, WallTime wall)
{
    const bool sameDataCentre = reply.self.dataCentre == m_self.dataCentre;
    mergeRecord(reply.self, true, now);
    for (const auto &record : reply.updates) {
        mergeRecord(record, true, now);
    }
    if (sameDataCentre) {
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
        const int mismatches = ++m_digestMismatches[list.dataCentre];
        if (unknown || !sameDataCentre || sent.purpose == RequestPurpose::Resync
            || mismatches >= MismatchesUntilTransfer) {
            m_transfer.wantBuckets(list.dataCentre, buckets, reply.self.name);
        }
    }
    if (reply.buckets.size() < MaxBucketLists) {
        // The reply listed all differing data centres.
        for (auto &[name, mismatches] : m_digestMismatches) {
            if (differing.count(name) == 0) {
                mismatches = 0;
            }
        }
    }
    if (sent.purpose == RequestPurpose::Probe) {
        m_detector.onProbeSucceeded();
    } else if (sent.purpose == RequestPurpose::Resync) {
        onResyncRequestDone();
    }
}

std::vector<OutgoingRequest> Membership::onSyncFailed(const OutgoingRequest &sent, MonotonicTime now, WallTime wall,
                                                      Random &random)
{
    std::vector<OutgoingRequest> out;
    if (sent.purpose == RequestPurpose::Resync) {
        onResyncRequestDone();
    } else if (sent.purpose == RequestPurpose::CrossDataCentre) {
        if (m_reach.onFailure(sent.dataCentre, wall)) {
            m_dataCentresToConfirm.insert(sent.dataCentre);
        }
    }
    const MemberRecord *target = m_table.find(sent.to);
    if (sent.purpose != RequestPurpose::Probe || !viewTrusted() || target == nullptr
        || target->state == MemberState::Dead || m_indirectProbes.count(sent.to) > 0) {
        return out;
    }
    IndirectProbeState state;
    for (const auto &prober : randomMembers(IndirectProbeCount + 1, random)) {
        if (prober != sent.to && state.pending < IndirectProbeCount) {
            out.push_back(makeOutgoingRequest(prober, RequestPurpose::IndirectProbe, IndirectProbeTimeout,
                                              IndirectProbe{sent.to, target->control}));
            ++state.pending;
        }
    }
    if (state.pending == 0) {
        declareState(sent.to, target->state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect, now);
    } else {
        m_indirectProbes[sent.to] = state;
    }
    return out;
}

void Membership::onIndirectProbeResult(const OutgoingRequest &sent, std::optional<bool> reached, MonotonicTime now)
{
    const auto *probe = std::get_if<IndirectProbe>(&sent.request);
    const auto found = probe == nullptr ? m_indirectProbes.end() : m_indirectProbes.find(probe->target);
    if (found == m_indirectProbes.end()) {
        return;
    }
    IndirectProbeState &state = found->second;
    state.answered = state.answered || reached.has_value();
    state.reached = state.reached || reached.value_or(false);
    if (--state.pending == 0) {
        const IndirectProbeState last = state;
        m_indirectProbes.erase(found);
        finishIndirectProbe(probe->target, last, now);
    }
}

void Membership::finishIndirectProbe(const NodeName &target, const IndirectProbeState &state, MonotonicTime now)
{
    if (state.reached) {
        return;
    }
    if (!state.answered) {
        m_detector.onIndirectProbesUnanswered();
    }
    const MemberRecord *record = m_table.find(target);
    if (record != nullptr && viewTrusted()) {
        declareState(target, record->state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect, now);
    }
}

void Membership::declareState(const NodeName &name, MemberState state, MonotonicTime now)
{
    const MemberRecord *known = m_table.find(name);
    if (known == nullptr || known->dataCentre != m_self.dataCentre || known->state >= state) {
        return;
    }
    MemberRecord record = *known;
    record.state = state;
    if (mergeRecord(record, true, now)) {
        ++(state == MemberState::Dead ? m_counters.declaredDead : m_counters.suspected);
    }
}

bool Membership::mergeRecord(const MemberRecord &record, bool disseminate, MonotonicTime now)
{
    if (record.name == m_self.name) {
        mergeOwnRecord(record, now);
        return false;
    }
    if (!m_table.apply(record, now)) {
        return false;
    }
    if (disseminate) {
        enqueueUpdate(record.name);
    }
    if (record.dataCentre == m_self.dataCentre) {
        if (record.state == MemberState::Suspect) {
            m_detector.startSuspicion(record.name, now);
        } else {
            m_detector.clearSuspicion(record.name);
        }
    }
    return true;
}

void Membership::mergeOwnRecord(const MemberRecord &record, MonotonicTime now)
{
    if (m_left || !supersedes(record, m_self)) {
        return;
    }
    if (record.incarnation > m_self.incarnation) {
        // The clock was set back before this process started, or another process uses the same name.
        ++m_counters.nameConflicts;
        m_self.incarnation = incarnationAbove(record.incarnation, m_incarnationRandom);
    } else {
        ++m_counters.refuted;
        m_detector.onSuspectedByOthers();
        m_self.sequence = std::max(m_self.sequence, record.sequence);
    }
    incrementOwnSequence(now);
}

void Membership::incrementOwnSequence(MonotonicTime now)
{
    ++m_self.sequence;
    m_table.apply(m_self, now);
}

void Membership::enqueueUpdate(const NodeName &name)
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

void Membership::onMembersReply(const OutgoingRequest &sent, const MembersReply &reply, MonotonicTime now)
{
    const auto &request = std::get<FetchMembers>(sent.request);
    m_transfer.onReply(request, reply);
    m_counters.transferredRecords += reply.records.size();
    // Records from another data centre are disseminated, since they may be new to the whole local data centre. Records
    // from a local member reach the others by digest comparison.
    const bool disseminate = sent.dataCentre != m_self.dataCentre;
    for (const auto &record : reply.records) {
        mergeRecord(record, disseminate, now);
    }
}

void Membership::onMembersFailed(const OutgoingRequest &sent)
{
    m_transfer.onFailed(std::get<FetchMembers>(sent.request));
}

} // namespace Geraniumsail
