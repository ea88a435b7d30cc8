// Queue of member updates that are piggybacked on gossip messages.
//
// Each update is sent a number of times that grows with the logarithm of the group size, which lets gossip reach nearly
// all members; digest comparison repairs the rest. The queue contains only names: a message carries the record that is
// current when the message is sent.
#ifndef GERANIUMSAIL_CORE_DISSEMINATION_H
#define GERANIUMSAIL_CORE_DISSEMINATION_H

#include "core/ids.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Geraniumsail {

class DisseminationQueue
{
public:
    /// Queues the name, or resets its send count if it is already queued. groupSize is the number of members that the
    /// update has to reach.
    void add(const NodeName &name, std::size_t groupSize);
    /// Returns the names for one message, those with the most sends left first, and counts one send for each.
    std::vector<NodeName> take(std::size_t limit);
    /// Like take(), but without counting the sends. Used for messages to another data centre, because they do not
    /// spread the update in the local one.
    std::vector<NodeName> peek(std::size_t limit) const;
    std::size_t size() const;

private:
    std::unordered_map<NodeName, int> m_remaining;
};

} // namespace Geraniumsail

#endif
