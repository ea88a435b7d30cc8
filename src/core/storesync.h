// What a watcher does with the store: learn new versions, and write back what the store lost.
//
// The manifest is read, then watched. Entries that are newer than the view lead to reads of their blobs. If the view is
// newer than the manifest, the store was restored from an older copy: after a random delay the manifest is read again,
// and what is still missing is written back, blobs first, then the manifest by compare-and-swap. A watch ends after
// WatchTime and the manifest is read again, because a restored store may count its revisions from a lower number and
// would not wake a watch that waits for a higher one.
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

constexpr Duration WatchTime = std::chrono::seconds(5);
/// Spreads the write-backs of all watchers, so that most find the work done.
constexpr Duration WriteBackDelay = std::chrono::seconds(2);
constexpr Duration StoreFirstBackoff = std::chrono::milliseconds(500);
constexpr Duration StoreMaxBackoff = std::chrono::seconds(10);

struct StoreSyncCounters
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t writeBacks = 0;
    std::uint64_t badBlobs = 0; ///< Missing, or not matching the hash.
};

class StoreSync
{
public:
    explicit StoreSync(ManifestCodec codec);

    /// The call to send now, if any; at most one is outstanding.
    std::optional<StoreCall> next(bool watcher, const ConfigView &view, MonotonicTime now);
    /// Documents to apply to the view.
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
    };

    std::vector<ConfigDocument> onManifest(const StoreResult &result, const ConfigView &view, MonotonicTime now,
                                           Random &random);
    void planWriteBack(MonotonicTime now, Random &random);
    void onFailure(MonotonicTime now, Random &random);

    ManifestCodec m_codec;
    Step m_step = Step::Read;
    bool m_outstanding = false;
    Manifest m_manifest;
    std::uint64_t m_revision = 0;
    std::deque<DocumentName> m_fetch;
    std::vector<DocumentName> m_writeBack;
    std::size_t m_written = 0;
    bool m_writeBackDue = false;
    MonotonicTime m_notBefore;
    int m_failures = 0;
    StoreSyncCounters m_counters;
};

} // namespace Geraniumsail

#endif
