#include "core/configgossip.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

/// A difference seen in one sync round only may be a push that is still in flight.
constexpr int MismatchesUntilFetch = 2;
/// A document that this node did not have before is pushed only if its version is at most this old. To a joining node
/// all documents are new, and it must not push all of them.
constexpr Duration MaxFirstVersionPushAge = std::chrono::seconds(60);
constexpr std::size_t MaxPushBytes = 64'000;

bool isRecent(ConfigVersion version, WallTime now)
{
    const auto oldest =
        std::chrono::duration_cast<std::chrono::milliseconds>((now - MaxFirstVersionPushAge).time_since_epoch());
    return version.value() >= static_cast<std::uint64_t>(oldest.count());
}

} // namespace

const ConfigView &ConfigGossip::view() const
{
    return m_view;
}

std::vector<OutgoingRequest> ConfigGossip::apply(const std::vector<ConfigDocument> &documents,
                                                 const Membership &membership, WallTime wall, Random &random)
{
    std::vector<PushConfig> batches;
    std::size_t bytes = MaxPushBytes;
    for (const auto &document : documents) {
        const bool replaced = m_view.find(document.name) != nullptr;
        const ApplyResult result = m_view.apply(document);
        m_corruptDocuments += result == ApplyResult::Corrupt ? 1 : 0;
        if (result != ApplyResult::Applied) {
            continue;
        }
        m_changedDocuments.push_back(document.name);
        if (!replaced && !isRecent(document.version, wall)) {
            continue;
        }
        if (bytes + document.text.size() > MaxPushBytes || batches.back().documents.size() >= MaxDocumentsPerMessage) {
            batches.emplace_back();
            bytes = 0;
        }
        bytes += document.text.size();
        batches.back().documents.push_back(document);
    }
    std::vector<OutgoingRequest> requests;
    if (batches.empty()) {
        return requests;
    }
    for (const auto &name : membership.randomMembers(PushFanout, random)) {
        for (const auto &batch : batches) {
            requests.push_back(membership.makeOutgoingRequest(name, RequestPurpose::Push, ConfigRequestTimeout, batch));
        }
    }
    return requests;
}

std::vector<DocumentName> ConfigGossip::takeChangedDocuments()
{
    return std::exchange(m_changedDocuments, {});
}

void ConfigGossip::fillReply(const SyncMessage &message, SyncReply &reply) const
{
    const ConfigDigest &digest = m_view.digest();
    reply.config = digest.all;
    if (message.config != digest.all) {
        reply.configBuckets.assign(digest.buckets.begin(), digest.buckets.end());
    }
}

void ConfigGossip::onSyncReply(const OutgoingRequest &sent, const SyncReply &reply, const DataCentreName &own)
{
    const ConfigDigest &digest = m_view.digest();
    if (reply.config == digest.all || reply.configBuckets.size() != ConfigBucketCount) {
        m_consecutiveMismatches = 0;
        return;
    }
    ++m_consecutiveMismatches;
    const bool pushExpected = reply.self.dataCentre == own && sent.purpose != RequestPurpose::Resync;
    if (m_pendingFetch || m_fetchInFlight
        || (pushExpected && m_consecutiveMismatches < MismatchesUntilFetch && digest.all != 0)) {
        return;
    }
    PendingFetch pendingFetch;
    pendingFetch.source = reply.self.name;
    for (std::size_t i = 0; i < ConfigBucketCount; ++i) {
        if (digest.buckets.at(i) != reply.configBuckets[i]) {
            pendingFetch.buckets.push_back(i);
        }
    }
    if (!pendingFetch.buckets.empty()) {
        m_pendingFetch = std::move(pendingFetch);
    }
}

std::vector<OutgoingRequest> ConfigGossip::tick(const Membership &membership, MonotonicTime now)
{
    if (!m_pendingFetch || m_fetchInFlight || now < m_nextFetch) {
        return {};
    }
    FetchConfig request;
    request.buckets = m_pendingFetch->buckets;
    request.summaries = m_view.summaries(request.buckets);
    request.maxBytes = MaxFetchBytes;
    if (request.summaries.size() > MaxDocumentSummaries) {
        request.summaries.resize(MaxDocumentSummaries);
    }
    m_fetchInFlight = true;
    m_nextFetch = now + FetchInterval;
    return {membership.makeOutgoingRequest(m_pendingFetch->source, RequestPurpose::Transfer, ConfigRequestTimeout,
                                           std::move(request))};
}

ConfigReply ConfigGossip::onFetch(const FetchConfig &request) const
{
    ConfigReply reply;
    const std::size_t maxBytes = std::min(request.maxBytes, MaxPushBytes);
    for (const auto &name : request.names) {
        if (const ConfigDocument *document = m_view.find(name)) {
            reply.documents.push_back(*document);
        }
    }
    for (auto &document : m_view.newerThan(request.summaries, request.buckets, maxBytes)) {
        if (reply.documents.size() < MaxDocumentsPerMessage) {
            reply.documents.push_back(std::move(document));
        }
    }
    for (const auto &summary : request.summaries) {
        const ConfigDocument *own = m_view.find(summary.name);
        const bool older = own == nullptr || own->version < summary.version
            || (own->version == summary.version && summaryOf(*own).hashPrefix < summary.hashPrefix);
        if (older && reply.wanted.size() < MaxDocumentsPerMessage) {
            reply.wanted.push_back(summary.name);
        }
    }
    return reply;
}

std::vector<OutgoingRequest> ConfigGossip::onFetchReply(const OutgoingRequest &sent, const ConfigReply &reply,
                                                        const Membership &membership, WallTime wall, Random &random)
{
    m_fetchInFlight = false;
    auto requests = apply(reply.documents, membership, wall, random);
    if (reply.documents.empty()) {
        m_pendingFetch.reset();
    }
    PushConfig push;
    std::size_t bytes = 0;
    for (const auto &name : reply.wanted) {
        const ConfigDocument *document = m_view.find(name);
        if (document != nullptr && (push.documents.empty() || bytes + document->text.size() <= MaxFetchBytes)) {
            bytes += document->text.size();
            push.documents.push_back(*document);
        }
    }
    if (!push.documents.empty()) {
        requests.push_back(
            membership.makeOutgoingRequest(sent.to, RequestPurpose::Push, ConfigRequestTimeout, std::move(push)));
    }
    return requests;
}

void ConfigGossip::onFetchFailed()
{
    m_fetchInFlight = false;
    m_pendingFetch.reset();
}

std::uint64_t ConfigGossip::corruptDocuments() const
{
    return m_corruptDocuments;
}

} // namespace Geraniumsail
