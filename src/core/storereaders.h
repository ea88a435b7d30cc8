// Chooses the source from which a node follows the store's content (the configuration and the directory entries): the
// store itself, or another node of its data centre.
//
// Reading from every node does not scale. A configuration of a few thousand routes is several hundred kilobytes, and
// all traffic between two regions shares a link of 30 to 150 Mbit/s: if each of forty nodes behind such a link read
// every version from the store, the last nodes would receive it too late. Each change of an entry would cost one call
// at every node, so that the calls grow with the square of the fleet. Store calls are limited and billed.
//
// Therefore one node of each data centre follows the store, and the others follow that node. The members of the data
// centre are ordered by rendezvous hash, so that nodes with the same member list agree on the order without
// communicating. A node follows the first of the MaxRank highest members that ranks above itself and has not failed; if
// there is none, it follows the store. A node only ever follows one that ranks above itself, so there are no cycles,
// whatever the nodes know of failures. While member lists differ, too many nodes may read the store; this is harmless.
//
// An answer of a node includes the age of its proof: the time since the store last confirmed that the content is
// current. A source without a recent proof counts as failed, so no node depends on another for longer than MaxProofAge.
#ifndef GERANIUMSAIL_CORE_STOREREADERS_H
#define GERANIUMSAIL_CORE_STOREREADERS_H

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <vector>

namespace Geraniumsail {

class StoreReaders
{
public:
    /// Number of the highest members that may be followed.
    static constexpr std::size_t MaxRank = 3;
    /// In a data centre with fewer members all nodes read the store, because sharing would save little.
    static constexpr std::size_t MinMembersToShare = 8;
    /// Time for which a failed source is not chosen again. Doubles with each further failure up to the maximum: the
    /// entry of a VM that was lost stays in the store until its lease ends.
    static constexpr Duration MinCooldown = std::chrono::seconds(2);
    static constexpr Duration MaxCooldown = std::chrono::seconds(16);
    /// A configuration must be in force 2.5 s after its publication. The remaining 0.9 s cover noticing that a proof
    /// has expired, reading the store instead, and one retry of that read.
    static constexpr Duration MaxProofAge = std::chrono::milliseconds(1600);

    explicit StoreReaders(NodeName own);

    /// Whether the data centre has enough members for its nodes to follow each other.
    bool isShared(const std::vector<NodeName> &members) const;
    /// Whether other nodes may follow this one. members are the known nodes of its data centre, with or without this
    /// node.
    bool isReader(const std::vector<NodeName> &members) const;
    /// Returns the node to follow, or nullopt for the store.
    std::optional<NodeName> choose(const std::vector<NodeName> &members, MonotonicTime now) const;
    /// Records that the node did not answer or had no recent proof.
    void onFailed(const NodeName &node, MonotonicTime now);
    void onAnswered(const NodeName &node);

private:
    struct Cooldown
    {
        MonotonicTime end;
        Duration length{};
    };

    /// The members that may be followed, highest first. Empty if the data centre has fewer than MinMembersToShare.
    std::vector<NodeName> readers(const std::vector<NodeName> &members) const;

    NodeName m_own;
    std::map<NodeName, Cooldown> m_cooldowns; ///< Of nodes that failed and have not answered since.
};

} // namespace Geraniumsail

#endif
