// Queue of member updates that still have to be told to others.
//
// Each update is sent in a number of messages that grows with the logarithm of the group, which is enough for an
// epidemic to reach nearly all members; digests find the rest. Only the name is queued: a message carries the record
// that is current when it is sent.
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
    /// Starts the count of a name anew; groupSize is the number of members that the update has to reach.
    void add(const NodeName &name, std::size_t groupSize);
    /// Names for one message, least often sent first, each counted as sent once.
    std::vector<NodeName> take(std::size_t limit);
    /// As take(), without counting: for messages to another data centre, which is a second group to reach.
    std::vector<NodeName> peek(std::size_t limit) const;
    std::size_t size() const;

private:
    std::unordered_map<NodeName, int> m_remaining;
};

} // namespace Geraniumsail

#endif
