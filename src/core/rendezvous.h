// Choice of a few members by rendezvous hash, in the chooser's own view.
//
// Every member has a score hash(salt, name); the members with the highest scores are chosen. Nodes with the same view
// choose the same members without any message, and the loss of one member moves only its own role. While views differ,
// more members than wanted may take the role for a moment; both roles (relay, watcher) allow that.
#ifndef GERANIUMSAIL_CORE_RENDEZVOUS_H
#define GERANIUMSAIL_CORE_RENDEZVOUS_H

#include "core/ids.h"
#include "core/membertable.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Geraniumsail {

/// At most count of these names with the highest scores, best first.
std::vector<NodeName> highestByRendezvous(const std::vector<NodeName> &names, std::string_view salt, std::size_t count);

/// At most count live members of the data centre with the highest scores, best first. Members that are Leaving or
/// Suspect are passed over.
std::vector<NodeName> chooseByRendezvous(const MemberTable &table, const DataCentreName &dataCentre,
                                         std::string_view salt, std::size_t count);

} // namespace Geraniumsail

#endif
