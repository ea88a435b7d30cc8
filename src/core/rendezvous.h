// Selects members by rendezvous (highest random weight) hashing, based on the local membership view.
//
// Each member has the score hash(salt, name), and the members with the highest scores are selected. Nodes with the same
// view select the same members without communication, and the loss of a member reassigns only that member's role. While
// views differ, more than the intended number of members may briefly hold a role. The two roles that are assigned this
// way, relay and watcher, tolerate that.
#ifndef GERANIUMSAIL_CORE_RENDEZVOUS_H
#define GERANIUMSAIL_CORE_RENDEZVOUS_H

#include "core/ids.h"
#include "core/membertable.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Geraniumsail {

/// Returns the names with the highest scores, at most count, in descending order of score.
std::vector<NodeName> selectByRendezvousHash(const std::vector<NodeName> &names, std::string_view salt,
                                             std::size_t count);

/// Returns the live members of the data centre with the highest scores, at most count, in descending order of score.
/// Members in state Leaving or Suspect are excluded.
std::vector<NodeName> selectLiveByRendezvousHash(const MemberTable &table, const DataCentreName &dataCentre,
                                                 std::string_view salt, std::size_t count);

} // namespace Geraniumsail

#endif
