// Chooses the source from which a node follows the configuration: the store, or another node of its data centre.
//
// Reading from every node does not scale. A configuration of a few thousand routes is several hundred kilobytes, and
// all traffic between two regions shares a link of 30 to 60 Mbit/s. If each of forty nodes behind such a link read
// every version from the store, the link would be saturated for seconds: requests between the regions would fail, and
// the last nodes would receive the version too late. Store calls are also billed, so their number has to grow more
// slowly than the number of nodes.
//
// Therefore only a few nodes of each data centre, the readers, follow the store, and the others follow a reader. The
// readers are the nodes with the highest rendezvous hash scores: nodes with the same member list select the same
// readers without communicating. While member lists differ, too many nodes may read the store; this is harmless.
//
// A reader's response includes the age of its proof: the time since the store last confirmed that the configuration is
// current. A node whose reader fails, or has no recent proof, tries the next reader and then the store, so no node
// depends on another for longer than MaxProofAge.
#ifndef GERANIUMSAIL_CORE_CONFIGURATIONSOURCES_H
#define GERANIUMSAIL_CORE_CONFIGURATIONSOURCES_H

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <vector>

namespace Geraniumsail {

class ConfigurationSources
{
public:
    /// Two, so that the followers of a failed reader move to the other one and not to the store.
    static constexpr std::size_t ReadersPerDataCentre = 2;
    /// In a data centre with fewer members all nodes read the store, because sharing would save little.
    static constexpr std::size_t MinMembersToShare = 8;
    /// Time for which a failed reader is not chosen again.
    static constexpr Duration FailedReaderCooldown = std::chrono::seconds(2);
    /// A configuration must be in force 2.5 s after its publication. The remaining 0.9 s cover noticing that a reader's
    /// proof has expired, reading the store instead, and one retry of that read.
    static constexpr Duration MaxProofAge = std::chrono::milliseconds(1600);

    explicit ConfigurationSources(NodeName own);

    /// Whether this node is a reader, or the data centre too small to have readers. members are the known nodes of its
    /// data centre, with or without this node.
    bool isReader(const std::vector<NodeName> &members) const;
    /// Returns the node to follow, or nullopt for the store.
    std::optional<NodeName> choose(const std::vector<NodeName> &members, MonotonicTime now) const;
    /// Records that the node did not respond or had no recent proof.
    void onFailed(const NodeName &node, MonotonicTime now);

private:
    /// Empty if the data centre has fewer than MinMembersToShare members.
    std::vector<NodeName> readers(const std::vector<NodeName> &members) const;

    NodeName m_own;
    std::map<NodeName, MonotonicTime> m_cooldownEnd;
};

} // namespace Geraniumsail

#endif
