// Keeps the view of a watcher (a node that follows the store) and the store in sync, in both directions.
//
// The manifest is read and then watched. For entries that are newer than the view, the blobs are read. If the view is
// newer than the manifest, the store was restored from an older copy. The manifest is then read again after a random
// delay, and what is still missing is written back: first the blobs, then the manifest by compare-and-swap. Then the
// blobs are written once more: a store that was restored between the two steps has lost them, and may accept the
// manifest all the same, because its revisions start again from those of the copy.
//
// A watch ends after WatchTimeout and the manifest is read again, because the revisions of a restored store may start
// from a lower number, and a watch for a higher revision would not end.
#ifndef GERANIUMSAIL_CORE_STORESYNC_H
#define GERANIUMSAIL_CORE_STORESYNC_H

#include "core/configview.h"
#include "core/manifest.h"
#include "core/random.h"
#include "core/storecall.h"

#include <deque>
#include <optional>
#include <vector>

namespace Geraniumsail {

constexpr Duration WatchTimeout = std::chrono::seconds(5);
/// The delay is random, so that most watchers find the documents already written back by another one.
constexpr Duration MaxWriteBackDelay = std::chrono::seconds(2);
constexpr Duration StoreInitialBackoff = std::chrono::milliseconds(500);
constexpr Duration StoreMaxBackoff = std::chrono::seconds(10);

struct StoreSyncCounters
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t writeBacks = 0;
    std::uint64_t invalidBlobs = 0; ///< Missing, or the text does not match the hash.
};

class StoreSync
{
public:
    explicit StoreSync(ManifestCodec codec);

    /// Returns the call to send now, if any; at most one is outstanding.
    std::optional<StoreCall> next(bool watcher, const ConfigView &view, MonotonicTime now);
    /// Returns the documents to apply to the view.
    std::vector<ConfigDocument> onResult(const StoreResult &result, const ConfigView &view, MonotonicTime now,
                                         Random &random);
    const StoreSyncCounters &counters() const;

private:
    enum class Step {
        Read,
        Watch,
        FetchBlob,
        WriteBlob,
        WriteManifest,
        ConfirmBlob,
    };

    std::vector<ConfigDocument> onManifest(const StoreResult &result, const ConfigView &view, MonotonicTime now,
                                           Random &random);
    void planWriteBack(MonotonicTime now, Random &random);
    void onCallFailed(MonotonicTime now, Random &random);

    ManifestCodec m_codec;
    Step m_step = Step::Read;
    bool m_callOutstanding = false;
    Manifest m_manifest;
    std::uint64_t m_revision = 0;
    std::deque<DocumentName> m_blobsToFetch;
    std::vector<DocumentName> m_documentsToWriteBack;
    std::size_t m_blobsWritten = 0;
    std::deque<DocumentName> m_blobsToConfirm; ///< Of documents that a written manifest names.
    bool m_writeBackScheduled = false;
    MonotonicTime m_nextCallTime;
    int m_consecutiveFailures = 0;
    StoreSyncCounters m_counters;
};

} // namespace Geraniumsail

#endif
