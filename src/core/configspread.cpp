#include "core/configspread.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

/// A difference that two rounds in a row show is not a push on its way.
constexpr int MismatchesUntilFetch = 2;
/// A first version of a document is pushed on only while it is this new; at a join all documents are first versions.
constexpr Duration NewDocumentAge = std::chrono::seconds(60);
constexpr std::size_t MaxPushBytes = 64'000;

bool recent(ConfigVersion version, WallTime now)
{
    const auto oldest =
        std::chrono::duration_cast<std::chrono::milliseconds>((now - NewDocumentAge).time_since_epoch());
    return version.value() >= static_cast<std::uint64_t>(oldest.count());
}

} // namespace

const ConfigView &ConfigSpread::view() const
{
    return m_view;
}

std::vector<OutgoingRequest> ConfigSpread::apply(const std::vector<ConfigDocument> &documents,
                                                 const Membership &membership, WallTime wall, Random &random)
{
    std::vector<PushConfig> batches;
    std::size_t bytes = MaxPushBytes;
    for (const auto &document : documents) {
        const bool replaced = m_view.find(document.name) != nullptr;
        const ApplyResult result = m_view.apply(document);
        m_corrupt += result == ApplyResult::Corrupt ? 1 : 0;
        if (result != ApplyResult::Applied) {
            continue;
        }
        m_changed.push_back(document.name);
        if (!replaced && !recent(document.version, wall)) {
            continue;
        }
        if (bytes + document.text.size() > MaxPushBytes || batches.back().documents.size() >= MaxDocumentsPerMessage) {
            batches.emplace_back();
            bytes = 0;
        }
        bytes += document.text.size();
        batches.back().documents.push_back(document);
    }
    std::vector<OutgoingRequest> out;
    if (batches.empty()) {
        return out;
    }
    for (const auto &name : membership.randomMembers(PushMembers, random)) {
        for (const auto &batch : batches) {
            out.push_back(membership.makeOutgoingRequest(name, RequestPurpose::Push, ConfigTimeout, batch));
        }
    }
    return out;
}

std::vector<DocumentName> ConfigSpread::takeChanged()
{
    return std::exchange(m_changed, {});
}

void ConfigSpread::fillReply(const SyncMessage &message, SyncReply &reply) const
{
    const ConfigDigest &digest = m_view.digest();
    reply.config = digest.all;
    if (message.config != digest.all) {
        reply.configBuckets.assign(digest.buckets.begin(), digest.buckets.end());
    }
}

void ConfigSpread::onSyncReply(const OutgoingRequest &sent, const SyncReply &reply, const DataCentreName &own)
{
    const ConfigDigest &digest = m_view.digest();
    if (reply.config == digest.all || reply.configBuckets.size() != ConfigBuckets) {
        m_mismatches = 0;
        return;
    }
    ++m_mismatches;
    const bool near = reply.self.dataCentre == own && sent.purpose != RequestPurpose::Resync;
    if (m_wanted || m_inFlight || (near && m_mismatches < MismatchesUntilFetch && digest.all != 0)) {
        return;
    }
    Wanted wanted;
    wanted.source = reply.self.name;
    for (std::size_t i = 0; i < ConfigBuckets; ++i) {
        if (digest.buckets.at(i) != reply.configBuckets[i]) {
            wanted.buckets.push_back(i);
        }
    }
    if (!wanted.buckets.empty()) {
        m_wanted = std::move(wanted);
    }
}

std::vector<OutgoingRequest> ConfigSpread::tick(const Membership &membership, MonotonicTime now)
{
    if (!m_wanted || m_inFlight || now < m_nextFetch) {
        return {};
    }
    FetchConfig request;
    request.buckets = m_wanted->buckets;
    request.heads = m_view.heads(request.buckets);
    request.maxBytes = FetchBytes;
    if (request.heads.size() > MaxHeads) {
        request.heads.resize(MaxHeads);
    }
    m_inFlight = true;
    m_nextFetch = now + FetchPeriod;
    return {
        membership.makeOutgoingRequest(m_wanted->source, RequestPurpose::Transfer, ConfigTimeout, std::move(request))};
}

ConfigReply ConfigSpread::onFetch(const FetchConfig &request) const
{
    ConfigReply reply;
    const std::size_t maxBytes = std::min(request.maxBytes, MaxPushBytes);
    for (const auto &name : request.names) {
        if (const ConfigDocument *document = m_view.find(name)) {
            reply.documents.push_back(*document);
        }
    }
    for (auto &document : m_view.newerThan(request.heads, request.buckets, maxBytes)) {
        if (reply.documents.size() < MaxDocumentsPerMessage) {
            reply.documents.push_back(std::move(document));
        }
    }
    for (const auto &head : request.heads) {
        const ConfigDocument *own = m_view.find(head.name);
        const bool older = own == nullptr || own->version < head.version
            || (own->version == head.version && headOf(*own).hashStart < head.hashStart);
        if (older && reply.wanted.size() < MaxDocumentsPerMessage) {
            reply.wanted.push_back(head.name);
        }
    }
    return reply;
}

std::vector<OutgoingRequest> ConfigSpread::onFetchReply(const OutgoingRequest &sent, const ConfigReply &reply,
                                                        const Membership &membership, WallTime wall, Random &random)
{
    m_inFlight = false;
    auto out = apply(reply.documents, membership, wall, random);
    if (reply.documents.empty()) {
        m_wanted.reset();
    }
    PushConfig push;
    std::size_t bytes = 0;
    for (const auto &name : reply.wanted) {
        const ConfigDocument *document = m_view.find(name);
        if (document != nullptr && (push.documents.empty() || bytes + document->text.size() <= FetchBytes)) {
            bytes += document->text.size();
            push.documents.push_back(*document);
        }
    }
    if (!push.documents.empty()) {
        out.push_back(membership.makeOutgoingRequest(sent.to, RequestPurpose::Push, ConfigTimeout, std::move(push)));
    }
    return out;
}

void ConfigSpread::onFetchFailed()
{
    m_inFlight = false;
    m_wanted.reset();
}

std::uint64_t ConfigSpread::corruptDocuments() const
{
    return m_corrupt;
}

} // namespace Geraniumsail
