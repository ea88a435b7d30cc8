// The state machine of one publication (docs/design.md, section 5).
//
// Read the manifest, write the blobs, swap the manifest. The blobs are written again before each new swap, because a
// store that was restored from an older copy may have lost them. The publication is accepted when the swap succeeded. A
// failed swap may still take effect later, so its outcome is concluded only from a manifest that was read afterwards:
// it holds the own publication id (accepted), or its revision has moved on (the lost swap can no longer succeed), or it
// is unchanged (the same swap is sent again; at most one of the two succeeds, with the same content).
//
// If asked to await a node, an accepted publication is reported only after a node holds it. Without that, a store that
// is restored from an older copy before any watcher has read the new manifest loses an accepted publication, and only
// the operator can know.
//
// One call is outstanding at any time; the driver sends it and feeds the result back. After a failure the driver waits
// for retryDelay() before it sends the next call.
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
    /// Version that the operator started from; 0 for a new document. Nothing: overwrite whatever is published.
    std::optional<ConfigVersion> base;
};

enum class PublicationOutcome {
    Accepted,
    Unchanged, ///< Every document is published with this text already.
    Conflict, ///< A document changed since the operator's base; nothing was written to the manifest.
    NotAccepted, ///< The store could not be used; the manifest was certainly not changed.
    Unknown, ///< The answer to the swap was lost and could not be cleared up; publishing again is safe.
};

struct PublicationResult
{
    PublicationOutcome outcome = PublicationOutcome::NotAccepted;
    std::vector<ConfigHead> versions; ///< In force when accepted or unchanged.
    std::vector<DocumentName> conflicts;
    std::string reason;
};

struct PublicationOptions
{
    int attemptsPerStep = 4; ///< Failed calls in a row before the publication gives up.
    int swapRounds = 20; ///< Lost races before it gives up.
    bool awaitNode = false;
    int nodeChecks = 10; ///< Looks at the nodes before it gives up.
    ConfigVersion floor{0}; ///< Highest version that nodes are known to hold; the new versions are above it.
};

class Publication
{
public:
    Publication(std::string id, std::vector<DocumentChange> changes, ManifestCodec codec, PublicationOptions options);

    /// The call to send next; nothing when the publication ended or waits for a node.
    std::optional<StoreCall> next(WallTime now);
    void onResult(const StoreResult &result);
    /// Pause before the next call: zero unless the last one failed or lost a race.
    Duration retryDelay(Random &random) const;

    /// True while the manifest is written and a node has to confirm it (awaitNode).
    bool awaitsNode() const;
    /// Whether a node was seen to hold the versions. If not, the manifest is read again and the swap repeated if
    /// needed.
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
    void onSwap(const StoreResult &result);
    void onFailure();
    void finish(PublicationOutcome outcome, std::string reason);
    bool holdsOwn(const Manifest &manifest) const;
    void written(const Manifest &manifest);

    std::string m_id;
    std::vector<DocumentChange> m_changes;
    ManifestCodec m_codec;
    PublicationOptions m_options;
    Step m_step = Step::Read;
    std::size_t m_blob = 0;
    bool m_checkAgain = false; ///< After the blobs read the manifest instead of swapping it.
    int m_nodeChecks = 0;
    Manifest m_manifest;
    std::uint64_t m_revision = 0;
    Manifest m_proposal;
    /// Expected revision of a swap whose answer was lost.
    std::optional<std::uint64_t> m_lostSwap;
    bool m_everLost = false;
    bool m_everWritten = false;
    int m_failures = 0;
    int m_rounds = 0;
    PublicationResult m_result;
};

} // namespace Geraniumsail

#endif
