// Constants and helpers that the parts of Membership share: membership.cpp (own state, roles), membershiprounds.cpp
// (requests that are sent from time to time) and membershipevents.cpp (messages and their failures).
#ifndef GERANIUMSAIL_CORE_MEMBERSHIPRULES_H
#define GERANIUMSAIL_CORE_MEMBERSHIPRULES_H

#include "core/controlmessages.h"
#include "core/random.h"
#include "core/units.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Geraniumsail {

/// Members that confirm the own view after a pause.
constexpr int ResyncMembers = 3;
constexpr Duration ResyncTime = std::chrono::seconds(5);
/// A difference that two rounds in a row show is not an update on its way.
constexpr int MismatchesUntilTransfer = 2;
constexpr std::size_t FarewellMembers = 3;
/// A node sends about two messages a second and receives as many. With 16 updates in each, 200 nodes that started
/// together spent up to 13.7 KB/s for a minute, over the 11 KB/s of docs/design.md 1.7.
constexpr std::size_t UpdatesPerMessage = 8;
static_assert(UpdatesPerMessage <= MaxUpdates);
constexpr std::string_view RelaySalt = "relay";
constexpr std::string_view WatcherSalt = "watcher";

/// Any of the values; there must be one.
template <typename T>
const T &pickOne(const std::vector<T> &values, Random &random)
{
    return values[random() % values.size()];
}

} // namespace Geraniumsail

#endif
