#include "core/storesync.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Geraniumsail {

namespace {

constexpr int MaxBackoffDoublings = 5;

/// Returns -1 if the known document is missing or older than the entry, 0 if equal and 1 if newer.
int compare(const ConfigDocument *known, const ManifestEntry &entry)
{
    if (known == nullptr) {
        return -1;
    }
    const auto own = std::tie(known->version, known->hash);
    const auto other = std::tie(entry.version, entry.hash);
    if (own == other) {
        return 0;
    }
    return own < other ? -1 : 1;
}

} // namespace

StoreSync::StoreSync(ManifestCodec codec) : m_codec(std::move(codec))
{
}

std::optional<StoreCall> StoreSync::next(bool watcher, const ConfigView &view, MonotonicTime now)
{
    if (m_callOutstanding) {
        return std::nullopt;
    }
    if (!watcher) {
        m_step = Step::Read;
        m_blobsToFetch.clear();
        m_writeBackScheduled = false;
        return std::nullopt;
    }
    if (now < m_nextCallTime) {
        return std::nullopt;
    }
    StoreCall call;
    call.key = ManifestKey;
    switch (m_step) {
    case Step::Read:
        break;
    case Step::Watch:
        call.operation = StoreOperation::Watch;
        call.expectedRevision = m_revision;
        call.wait = WatchTimeout;
        break;
    case Step::FetchBlob:
        call.key = blobKey(m_blobsToFetch.front(), m_manifest.at(m_blobsToFetch.front()).hash);
        break;
    case Step::WriteBlob:
    case Step::ConfirmBlob: {
        const auto &name =
            m_step == Step::WriteBlob ? m_documentsToWriteBack[m_blobsWritten] : m_blobsToConfirm.front();
        const ConfigDocument *document = view.find(name);
        call.operation = StoreOperation::Put;
        call.key = blobKey(document->name, document->hash);
        call.value = document->text;
        break;
    }
    case Step::WriteManifest: {
        Manifest merged = m_manifest;
        for (const auto &name : m_documentsToWriteBack) {
            const ConfigDocument *document = view.find(name);
            if (compare(document, merged[name]) > 0) {
                merged[name] = {document->version, document->hash, document->publication};
            }
        }
        call.operation = StoreOperation::Put;
        call.value = m_codec.encode(merged);
        call.expectedRevision = m_revision;
        break;
    }
    }
    m_callOutstanding = true;
    ++m_counters.calls;
    return call;
}

void StoreSync::onCallFailed(MonotonicTime now, Random &random)
{
    ++m_counters.failures;
    const Duration maxDelay = std::min(
        StoreMaxBackoff, Duration(StoreInitialBackoff * (1 << std::min(m_consecutiveFailures, MaxBackoffDoublings))));
    ++m_consecutiveFailures;
    m_nextCallTime = now + maxDelay / 2 + Duration(static_cast<Duration::rep>(random() % (maxDelay.count() / 2)));
    m_step = Step::Read;
    m_blobsToFetch.clear();
}

std::vector<ConfigDocument> StoreSync::onResult(const StoreResult &result, const ConfigView &view, MonotonicTime now,
                                                Random &random)
{
    m_callOutstanding = false;
    if (m_step == Step::WriteManifest && result.status != StoreStatus::Conflict) {
        m_blobsToConfirm.assign(m_documentsToWriteBack.begin(), m_documentsToWriteBack.end());
    }
    if (result.status == StoreStatus::Failed) {
        onCallFailed(now, random);
        return {};
    }
    switch (m_step) {
    case Step::Read:
    case Step::Watch:
        if (result.status == StoreStatus::Unchanged) {
            m_consecutiveFailures = 0;
            m_step = Step::Read;
            return {};
        }
        return onManifest(result, view, now, random);
    case Step::FetchBlob: {
        const DocumentName name = m_blobsToFetch.front();
        m_blobsToFetch.pop_front();
        const ManifestEntry &entry = m_manifest.at(name);
        std::vector<ConfigDocument> documents;
        if (result.status == StoreStatus::Ok && contentHash(result.value) == entry.hash) {
            documents.push_back({name, entry.version, entry.hash, entry.publication, result.value});
        } else {
            ++m_counters.invalidBlobs;
        }
        if (m_blobsToFetch.empty()) {
            // An unreadable blob must not block the write-back of other documents.
            planWriteBack(now, random);
        }
        return documents;
    }
    case Step::WriteBlob:
        if (++m_blobsWritten == m_documentsToWriteBack.size()) {
            m_step = Step::WriteManifest;
        }
        return {};
    case Step::ConfirmBlob:
        m_blobsToConfirm.pop_front();
        if (m_blobsToConfirm.empty()) {
            planWriteBack(now, random);
        }
        return {};
    case Step::WriteManifest:
        if (result.status == StoreStatus::Ok) {
            ++m_counters.writeBacks;
        }
        m_step = Step::Read;
        return {};
    }
    return {};
}

std::vector<ConfigDocument> StoreSync::onManifest(const StoreResult &result, const ConfigView &view, MonotonicTime now,
                                                  Random &random)
{
    Manifest manifest;
    if (result.status == StoreStatus::Ok) {
        auto decoded = m_codec.decode(result.value);
        if (!decoded) {
            onCallFailed(now, random);
            return {};
        }
        manifest = std::move(*decoded);
    }
    m_consecutiveFailures = 0;
    m_manifest = std::move(manifest);
    m_revision = result.status == StoreStatus::Ok ? result.revision : 0;
    m_blobsToFetch.clear();
    m_documentsToWriteBack.clear();
    m_blobsWritten = 0;
    std::vector<ConfigDocument> sameTextDocuments;
    for (const auto &[name, entry] : m_manifest) {
        const ConfigDocument *own = view.find(name);
        if (compare(own, entry) >= 0) {
            continue;
        }
        if (own != nullptr && own->hash == entry.hash) {
            sameTextDocuments.push_back({name, entry.version, entry.hash, entry.publication, own->text});
        } else {
            m_blobsToFetch.push_back(name);
        }
    }
    for (const auto &[name, document] : view.documents()) {
        const auto entry = m_manifest.find(name);
        if (entry == m_manifest.end() || compare(&document, entry->second) > 0) {
            m_documentsToWriteBack.push_back(name);
        }
    }
    std::erase_if(m_blobsToConfirm, [&](const DocumentName &name) {
        const auto entry = m_manifest.find(name);
        return entry == m_manifest.end() || compare(view.find(name), entry->second) != 0;
    });
    if (!m_blobsToFetch.empty()) {
        m_step = Step::FetchBlob;
    } else if (!m_blobsToConfirm.empty()) {
        m_step = Step::ConfirmBlob;
    } else {
        planWriteBack(now, random);
    }
    return sameTextDocuments;
}

void StoreSync::planWriteBack(MonotonicTime now, Random &random)
{
    if (m_documentsToWriteBack.empty()) {
        m_writeBackScheduled = false;
        m_step = Step::Watch;
    } else if (m_writeBackScheduled) {
        m_writeBackScheduled = false;
        m_step = Step::WriteBlob;
    } else {
        m_writeBackScheduled = true;
        m_step = Step::Read;
        m_nextCallTime = now + Duration(static_cast<Duration::rep>(random() % MaxWriteBackDelay.count()));
    }
}

const StoreSyncCounters &StoreSync::counters() const
{
    return m_counters;
}

} // namespace Geraniumsail
