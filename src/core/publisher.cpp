#include "core/publisher.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(100);
constexpr int MaxRetryDoublings = 5;

std::uint64_t milliseconds(WallTime time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

} // namespace

Publication::Publication(std::string id, std::vector<DocumentChange> changes, ManifestCodec codec,
                         PublicationOptions options)
    : m_id(std::move(id)), m_changes(std::move(changes)), m_codec(std::move(codec)), m_options(options)
{
}

std::optional<StoreCall> Publication::next(WallTime now)
{
    StoreCall call;
    switch (m_step) {
    case Step::Read:
        call.operation = StoreOperation::Get;
        call.key = ManifestKey;
        return call;
    case Step::Blobs: {
        const auto &change = m_changes[m_blobIndex];
        call.operation = StoreOperation::Put;
        call.key = blobKey(change.name, contentHash(change.text));
        call.value = change.text;
        return call;
    }
    case Step::Swap:
        if (!m_unconfirmedSwapRevision) {
            m_proposal = m_manifest;
            for (const auto &change : m_changes) {
                auto &entry = m_proposal[change.name];
                const std::string hash = contentHash(change.text);
                if (entry.hash == hash && entry.version > ConfigVersion(0)) {
                    continue;
                }
                const std::uint64_t base = change.base ? change.base->value() : 0;
                const std::uint64_t previous =
                    std::max({entry.version.value(), base, m_options.highestHeldVersion.value()});
                entry.version = ConfigVersion(std::max(previous + 1, milliseconds(now)));
                entry.hash = hash;
                entry.publication = m_id;
            }
        }
        call.operation = StoreOperation::Put;
        call.key = ManifestKey;
        call.value = m_codec.encode(m_proposal);
        call.expectedRevision = m_revision;
        return call;
    case Step::AwaitNode:
    case Step::Done:
        break;
    }
    return std::nullopt;
}

void Publication::onResult(const StoreResult &result)
{
    if (result.status == StoreStatus::Failed) {
        onCallFailed();
        return;
    }
    switch (m_step) {
    case Step::Read:
        onManifest(result);
        break;
    case Step::Blobs:
        onBlob(result);
        break;
    case Step::Swap:
        onSwap(result);
        break;
    case Step::AwaitNode:
    case Step::Done:
        break;
    }
}

void Publication::onCallFailed()
{
    if (m_step == Step::Swap) {
        // The write may have taken effect or may still take effect.
        m_unconfirmedSwapRevision = m_revision;
        m_hadUnconfirmedSwap = true;
        m_step = Step::Read;
    }
    if (++m_consecutiveFailures >= m_options.maxConsecutiveFailures) {
        if (m_hadUnconfirmedSwap || m_manifestWritten) {
            finish(PublicationOutcome::Unknown, "the store does not answer; publish again to confirm");
        } else {
            finish(PublicationOutcome::NotAccepted, "the store does not answer; nothing was published");
        }
    }
}

bool Publication::containsThisPublication(const Manifest &manifest) const
{
    return std::any_of(m_changes.begin(), m_changes.end(), [&](const auto &change) {
        const auto found = manifest.find(change.name);
        return found != manifest.end() && found->second.publication == m_id
            && found->second.hash == contentHash(change.text);
    });
}

void Publication::onManifestWritten(const Manifest &manifest)
{
    m_manifestWritten = true;
    m_unconfirmedSwapRevision.reset();
    m_result.versions.clear();
    for (const auto &change : m_changes) {
        const auto found = manifest.find(change.name);
        if (found != manifest.end()) {
            m_result.versions.push_back(
                {change.name, found->second.version, found->second.hash.substr(0, HashPrefixLength)});
        }
    }
    if (m_options.awaitNode) {
        m_step = Step::AwaitNode;
    } else {
        finish(PublicationOutcome::Accepted, "accepted");
    }
}

void Publication::onManifest(const StoreResult &result)
{
    m_consecutiveFailures = 0;
    Manifest manifest;
    if (result.status == StoreStatus::Ok) {
        auto decoded = m_codec.decode(result.value);
        if (!decoded) {
            finish(m_hadUnconfirmedSwap ? PublicationOutcome::Unknown : PublicationOutcome::NotAccepted,
                   "the manifest in the store is damaged");
            return;
        }
        manifest = std::move(*decoded);
    }
    const std::uint64_t revision = result.status == StoreStatus::Ok ? result.revision : 0;
    if (containsThisPublication(manifest)) {
        if (m_hadUnconfirmedSwap && !m_blobsConfirmed) {
            confirmBlobs();
            return;
        }
        onManifestWritten(manifest);
        return;
    }
    // A store that was restored from an older copy reuses revision numbers, so the content is compared as well.
    if (m_unconfirmedSwapRevision && revision == *m_unconfirmedSwapRevision && manifest == m_manifest) {
        m_step = Step::Blobs;
        m_blobIndex = 0;
        return;
    }
    m_unconfirmedSwapRevision.reset();
    m_blobsConfirmed = m_blobsConfirmed && revision == m_revision;
    m_manifest = std::move(manifest);
    m_revision = revision;
    bool unchanged = true;
    m_result.conflicts.clear();
    for (const auto &change : m_changes) {
        const auto found = m_manifest.find(change.name);
        const bool exists = found != m_manifest.end();
        if (exists && found->second.hash == contentHash(change.text)) {
            continue;
        }
        unchanged = false;
        const ConfigVersion version = exists ? found->second.version : ConfigVersion(0);
        // A version lower than the base means that the store was restored from an older copy. The operator's base is
        // then still the newest version, and the new version is higher than both.
        if (change.base && version > *change.base) {
            m_result.conflicts.push_back(change.name);
        }
    }
    if (unchanged && !m_blobsConfirmed) {
        confirmBlobs();
        return;
    }
    if (unchanged) {
        onManifestWritten(m_manifest);
        if (finished() && !m_hadUnconfirmedSwap) {
            m_result.outcome = PublicationOutcome::Unchanged;
        }
        return;
    }
    if (!m_result.conflicts.empty() && m_manifestWritten) {
        finish(PublicationOutcome::Accepted, "accepted, and replaced by a later publication since");
        return;
    }
    if (!m_result.conflicts.empty()) {
        // An unconfirmed swap may have succeeded and then been replaced by the other publication.
        finish(m_hadUnconfirmedSwap ? PublicationOutcome::Unknown : PublicationOutcome::Conflict,
               "a document was changed by another publication");
        return;
    }
    m_step = Step::Blobs;
    m_blobIndex = 0;
}

/// Writes the blobs that the manifest in the store names, and reads the manifest again. A swap that took effect after
/// the store was restored from an older copy names blobs that were lost.
void Publication::confirmBlobs()
{
    m_step = Step::Blobs;
    m_blobIndex = 0;
    m_recheckManifest = true;
    m_blobsConfirmed = true;
}

void Publication::onBlob(const StoreResult &result)
{
    // A conflict means that the blob already exists with this content, because its key contains the content hash.
    if (result.status != StoreStatus::Ok && result.status != StoreStatus::Conflict) {
        onCallFailed();
        return;
    }
    m_consecutiveFailures = 0;
    if (++m_blobIndex == m_changes.size()) {
        m_step = m_recheckManifest ? Step::Read : Step::Swap;
        m_recheckManifest = false;
    }
}

void Publication::onSwap(const StoreResult &result)
{
    if (result.status == StoreStatus::Ok) {
        onManifestWritten(m_proposal);
        return;
    }
    m_consecutiveFailures = 0;
    m_step = Step::Read;
    if (++m_swapConflicts >= m_options.maxSwapConflicts) {
        finish(m_hadUnconfirmedSwap || m_manifestWritten ? PublicationOutcome::Unknown
                                                         : PublicationOutcome::NotAccepted,
               "other publications won every race for the manifest");
    }
}

Duration Publication::retryDelay(Random &random) const
{
    const int attempts = std::max(m_consecutiveFailures, m_swapConflicts);
    if (attempts == 0) {
        return Duration(0);
    }
    const Duration maxDelay = InitialRetryDelay * (1 << std::min(attempts - 1, MaxRetryDoublings));
    return Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(maxDelay.count())));
}

bool Publication::awaitsNode() const
{
    return m_step == Step::AwaitNode;
}

void Publication::onNodeChecked(bool holds)
{
    if (m_step != Step::AwaitNode) {
        return;
    }
    if (holds) {
        finish(PublicationOutcome::Accepted, "accepted and in force at a node");
        return;
    }
    if (++m_nodeChecks >= m_options.maxNodeChecks) {
        finish(PublicationOutcome::Unknown, "written to the store, but no node holds it yet");
        return;
    }
    // The store may have been restored from an older copy and have lost the manifest, blobs, or both.
    m_step = Step::Blobs;
    m_blobIndex = 0;
    m_recheckManifest = true;
}

void Publication::finish(PublicationOutcome outcome, std::string reason)
{
    m_step = Step::Done;
    m_result.outcome = outcome;
    m_result.reason = std::move(reason);
}

bool Publication::finished() const
{
    return m_step == Step::Done;
}

const PublicationResult &Publication::result() const
{
    return m_result;
}

} // namespace Geraniumsail
