// Decides from where a node follows the configuration: from the store, or from another node of its data centre.
//
// The load it answers: a configuration of a few thousand routes is several hundred kilobytes, and the link between two
// regions carries 30 to 60 Mbit/s for everything. If each of forty nodes behind that link reads every version from the
// store, the link is full for seconds: requests between the regions fail and the last nodes get the version too late.
// Store calls are paid for as well, and their number must not grow with the fleet as fast as the fleet does.
//
// In each data centre a few nodes, the readers, follow the store; the others follow a reader. The readers are those
// with the highest rendezvous scores, so nodes that know the same members choose the same readers without a message.
// While views differ, more nodes than needed read the store, which is harmless. A reader's answer says how old its own
// proof is that the configuration is current. A node whose reader fails or has no recent proof tries the next reader,
// then the store itself; no node depends on another for longer than MaxProofAge.
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
    /// Readers of one data centre; two, so that the loss of one moves nobody to the store.
    static constexpr std::size_t Readers = 2;
    /// In smaller data centres all nodes read the store: there is little to save.
    static constexpr std::size_t LeastMembers = 8;
    /// A reader that failed is not asked again for this time.
    static constexpr Duration AvoidTime = std::chrono::seconds(2);
    /// A configuration must be in force 2.5 s after its publication. This leaves the time to notice the end of a
    /// reader's proof, to read the store instead, and one repeat of that.
    static constexpr Duration MaxProofAge = std::chrono::milliseconds(1600);

    explicit ConfigurationSources(NodeName own);

    /// Whether this node is a reader of its data centre. members: the nodes known there; this one need not be among
    /// them.
    bool isReader(const std::vector<NodeName> &members) const;
    /// The node to follow; nothing for the store.
    std::optional<NodeName> choose(const std::vector<NodeName> &members, MonotonicTime now) const;
    /// The node did not answer, or had no recent proof.
    void onFailed(const NodeName &node, MonotonicTime now);

private:
    /// Nothing if the data centre is too small to share.
    std::vector<NodeName> readers(const std::vector<NodeName> &members) const;

    NodeName m_own;
    std::map<NodeName, MonotonicTime> m_avoidUntil;
};

} // namespace Geraniumsail

#endif
