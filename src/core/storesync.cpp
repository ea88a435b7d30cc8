#include "core/storesync.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Geraniumsail {

namespace {

constexpr int MaxBackoffDoublings = 5;

/// Negative if the view is older than the entry, 0 if equal, positive if it is newer.
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
    if (m_outstanding) {
        return std::nullopt;
    }
    if (!watcher) {
        m_step = Step::Read;
        m_fetch.clear();
        m_writeBackDue = false;
        return std::nullopt;
    }
    if (now < m_notBefore) {
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
        call.wait = WatchTime;
        break;
    case Step::FetchBlob:
        call.key = blobKey(m_fetch.front(), m_manifest.at(m_fetch.front()).hash);
        break;
    case Step::WriteBlob: {
        const ConfigDocument *document = view.find(m_writeBack[m_written]);
        call.operation = StoreOperation::Put;
        call.key = blobKey(document->name, document->hash);
        call.value = document->text;
        break;
    }
    case Step::WriteManifest: {
        Manifest merged = m_manifest;
        for (const auto &name : m_writeBack) {
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
    m_outstanding = true;
    ++m_counters.calls;
    return call;
}

void StoreSync::onFailure(MonotonicTime now, Random &random)
{
    ++m_counters.failures;
    const Duration cap =
        std::min(StoreMaxBackoff, Duration(StoreFirstBackoff * (1 << std::min(m_failures, MaxBackoffDoublings))));
    ++m_failures;
    m_notBefore = now + cap / 2 + Duration(static_cast<Duration::rep>(random() % (cap.count() / 2)));
    m_step = Step::Read;
    m_fetch.clear();
}

std::vector<ConfigDocument> StoreSync::onResult(const StoreResult &result, const ConfigView &view, MonotonicTime now,
                                                Random &random)
{
    m_outstanding = false;
    if (result.status == StoreStatus::Failed) {
        onFailure(now, random);
        return {};
    }
    switch (m_step) {
    case Step::Read:
    case Step::Watch:
        if (result.status == StoreStatus::Unchanged) {
            m_failures = 0;
            m_step = Step::Read;
            return {};
        }
        return onManifest(result, view, now, random);
    case Step::FetchBlob: {
        const DocumentName name = m_fetch.front();
        m_fetch.pop_front();
        const ManifestEntry &entry = m_manifest.at(name);
        std::vector<ConfigDocument> documents;
        if (result.status == StoreStatus::Ok && contentHash(result.value) == entry.hash) {
            documents.push_back({name, entry.version, entry.hash, entry.publication, result.value});
        } else {
            ++m_counters.badBlobs;
        }
        if (m_fetch.empty()) {
            // A blob that cannot be read must not hold up the write-back of other documents.
            planWriteBack(now, random);
        }
        return documents;
    }
    case Step::WriteBlob:
        if (++m_written == m_writeBack.size()) {
            m_step = Step::WriteManifest;
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
            onFailure(now, random);
            return {};
        }
        manifest = std::move(*decoded);
    }
    m_failures = 0;
    m_manifest = std::move(manifest);
    m_revision = result.status == StoreStatus::Ok ? result.revision : 0;
    m_fetch.clear();
    m_writeBack.clear();
    m_written = 0;
    std::vector<ConfigDocument> known;
    for (const auto &[name, entry] : m_manifest) {
        const ConfigDocument *own = view.find(name);
        if (compare(own, entry) >= 0) {
            continue;
        }
        if (own != nullptr && own->hash == entry.hash) {
            known.push_back({name, entry.version, entry.hash, entry.publication, own->text});
        } else {
            m_fetch.push_back(name);
        }
    }
    for (const auto &[name, document] : view.documents()) {
        const auto entry = m_manifest.find(name);
        if (entry == m_manifest.end() || compare(&document, entry->second) > 0) {
            m_writeBack.push_back(name);
        }
    }
    if (!m_fetch.empty()) {
        m_step = Step::FetchBlob;
    } else {
        planWriteBack(now, random);
    }
    return known;
}

void StoreSync::planWriteBack(MonotonicTime now, Random &random)
{
    if (m_writeBack.empty()) {
        m_writeBackDue = false;
        m_step = Step::Watch;
    } else if (m_writeBackDue) {
        m_writeBackDue = false;
        m_step = Step::WriteBlob;
    } else {
        m_writeBackDue = true;
        m_step = Step::Read;
        m_notBefore = now + Duration(static_cast<Duration::rep>(random() % WriteBackDelay.count()));
    }
}

const StoreSyncCounters &StoreSync::counters() const
{
    return m_counters;
}

} // namespace Geraniumsail
