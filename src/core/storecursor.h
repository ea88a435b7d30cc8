// Where a reader of the platform's store continues, and how long it waits before its next call.
//
// A reader takes the content as a whole once, and then asks for the changes since a revision. That revision means
// something only within one history of the store. After a failed call nothing is known of what happened meanwhile: the
// store may have come back from a copy and have given the revision out again for other changes, and a watch from there
// would leave some out without a sign. Therefore a position is only continued from while each call succeeds. After a
// failure the content is read as a whole. That also takes less time than all versions that were missed. The exception
// is a reader that must save bytes and whose store states its history: its watch is refused if the history is another
// one.
//
// A watch that is refused because the store no longer has the changes is not a failure of the store: the content is
// read at once. But if a whole read does not help, because the next watch is refused again, the pauses grow as after
// failures. Only a watch that succeeds sets them back.
#ifndef GERANIUMSAIL_CORE_STORECURSOR_H
#define GERANIUMSAIL_CORE_STORECURSOR_H

#include "core/backoff.h"

#include <cstdint>
#include <optional>

namespace Geraniumsail {

class StoreCursor
{
public:
    /// Bounds of the pause after a failed call. Entries must be back within two seconds of the store's return.
    static constexpr Duration MinPause = std::chrono::milliseconds(100);
    static constexpr Duration MaxPause = std::chrono::milliseconds(800);

    /// Revision to continue from; nothing if the content is to be read as a whole.
    std::optional<std::uint64_t> position() const
    {
        return m_position;
    }
    /// The content was read as a whole at this revision.
    void onRead(std::uint64_t revision);
    /// The changes up to this revision are known, from the store's answer to a watch or from another node.
    void onChanges(std::uint64_t revision);
    /// The content is to be read as a whole, though no call has failed.
    void forget()
    {
        m_position.reset();
    }
    /// A call failed. Returns the pause before the next one.
    Duration onFailure(Duration maxPause, Random &random);
    /// A call failed, and the store states its history. Like onFailure(), but keeps the position.
    Duration onFailureInStatedHistory(Duration maxPause, Random &random);
    /// The store no longer has the changes since position(). Returns the pause before the read.
    Duration onHistoryGone(Duration maxPause, Random &random);

private:
    std::optional<std::uint64_t> m_position;
    bool m_hasContinued = false; ///< A watch has succeeded since the last whole read.
    Duration m_pause = MinPause;
};

} // namespace Geraniumsail

#endif
