// The state machine of one publication (see docs/design.md).
//
// A publication reads the manifest, writes the blobs and replaces the manifest by compare-and-swap (the swap). It is
// accepted when the swap succeeds. The blobs are written again before each new swap, because a store that was restored
// from an older copy may have lost them.
//
// A swap without a response may still take effect later. Its outcome is decided only by a manifest read afterwards:
// - It contains the id of this publication: accepted.
// - Its revision has changed: the unconfirmed swap can no longer succeed, and the publication starts again.
// - It is unchanged: the same swap is sent again. At most one of the two succeeds, and both have the same content.
//
// With awaitNode, a publication is reported as accepted only after a node holds it. Otherwise a store that is restored
// from an older copy before any watcher has read the new manifest loses an accepted publication, and only the operator
// can know.
//
// At most one call is outstanding. The driver sends it and passes the result to onResult(); after a failure it waits
// for retryDelay() before the next call.
#ifndef GERANIUMSAIL_CORE_PUBLISHER_H
#define GERANIUMSAIL_CORE_PUBLISHER_H

#include "core/configview.h"
#include "core/manifest.h"
#include "core/random.h"
#include "core/storecall.h"

#include <optional>
#include <string>
#include <vector>

namespace Geraniumsail {

/// One document of a publication.
struct DocumentChange
{
    DocumentName name;
    std::string text;
    /// Version that the operator edited; 0 for a new document. Without a base any published version is overwritten.
    std::optional<ConfigVersion> base;
};

enum class PublicationOutcome {
    Accepted,
    Unchanged, ///< Every document is already published with this text.
    Conflict, ///< A document changed after the operator's base; the manifest was not changed.
    NotAccepted, ///< Gave up; the manifest was certainly not changed.
    Unknown, ///< Gave up without knowing whether the publication will be in force; publishing again is safe.
};

struct PublicationResult
{
    PublicationOutcome outcome = PublicationOutcome::NotAccepted;
    std::vector<DocumentSummary> versions; ///< Published versions, if accepted or unchanged.
    std::vector<DocumentName> conflicts;
    std::string reason;
};

struct PublicationOptions
{
    int maxConsecutiveFailures = 4; ///< Consecutive failed calls after which the publication ends.
    int maxSwapConflicts = 20; ///< Swaps lost to other publications after which it ends.
    bool awaitNode = false;
    int maxNodeChecks = 10; ///< Unsuccessful checks of the nodes after which it ends.
    ConfigVersion highestHeldVersion{0}; ///< Highest version known to be held by nodes; new versions are higher.
};

class Publication
{
public:
    Publication(std::string id, std::vector<DocumentChange> changes, ManifestCodec codec, PublicationOptions options);

    /// Returns the next call, or nullopt if the publication has finished or waits for a node.
    std::optional<StoreCall> next(WallTime now);
    void onResult(const StoreResult &result);
    /// Random delay before the next call; zero unless the last call failed or a swap has lost to another publication.
    Duration retryDelay(Random &random) const;

    /// Whether the manifest is written and a node has yet to confirm it; only with awaitNode.
    bool awaitsNode() const;
    /// Reports whether a node holds the versions. If not, the blobs are written and the manifest is read again, and the
    /// swap is repeated if necessary.
    void onNodeChecked(bool holds);

    bool finished() const;
    const PublicationResult &result() const;

private:
    enum class Step {
        Read,
        Blobs,
        Swap,
        AwaitNode,
        Done,
    };

    void onManifest(const StoreResult &result);
    void onBlob(const StoreResult &result);
    void confirmBlobs();
    void onSwap(const StoreResult &result);
    void onCallFailed();
    void finish(PublicationOutcome outcome, std::string reason);
    bool containsThisPublication(const Manifest &manifest) const;
    void onManifestWritten(const Manifest &manifest);

    std::string m_id;
    std::vector<DocumentChange> m_changes;
    ManifestCodec m_codec;
    PublicationOptions m_options;
    Step m_step = Step::Read;
    std::size_t m_blobIndex = 0;
    bool m_recheckManifest = false; ///< Read the manifest after the blobs are written, instead of replacing it.
    int m_nodeChecks = 0;
    Manifest m_manifest;
    std::uint64_t m_revision = 0;
    Manifest m_proposal;
    /// Expected revision of a swap that failed and may still take effect.
    std::optional<std::uint64_t> m_unconfirmedSwapRevision;
    bool m_hadUnconfirmedSwap = false;
    bool m_blobsConfirmed = false; ///< The blobs were written after the manifest was seen to name them.
    bool m_manifestWritten = false;
    int m_consecutiveFailures = 0;
    int m_swapConflicts = 0;
    PublicationResult m_result;
};

} // namespace Geraniumsail

#endif
