// Constants and helpers shared by the implementation files of Membership: membership.cpp (local state, roles),
// membershiprounds.cpp (periodic requests) and membershipevents.cpp (received messages and failed requests).
#ifndef GERANIUMSAIL_CORE_MEMBERSHIPRULES_H
#define GERANIUMSAIL_CORE_MEMBERSHIPRULES_H

#include "core/controlmessages.h"
#include "core/random.h"
#include "core/units.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Geraniumsail {

/// Number of members with which a node compares its view after a pause.
constexpr int ResyncMemberCount = 3;
constexpr Duration ResyncTimeout = std::chrono::seconds(5);
/// Consecutive digest mismatches that start a transfer; a single mismatch may be caused by an update in flight.
constexpr int MismatchesUntilTransfer = 2;
constexpr std::size_t LeaveNotificationCount = 3;
/// A node sends about two messages a second and receives as many. With 16 updates per message, 200 nodes that started
/// together used up to 13.7 KB/s for a minute, which exceeds the limit of 11 KB/s of control traffic per node.
constexpr std::size_t UpdatesPerMessage = 8;
static_assert(UpdatesPerMessage <= MaxUpdates);
constexpr std::string_view RelaySalt = "relay";
constexpr std::string_view WatcherSalt = "watcher";

/// Returns a random element; values must not be empty.
template <typename T>
const T &pickRandom(const std::vector<T> &values, Random &random)
{
    return values[random() % values.size()];
}

} // namespace Geraniumsail

#endif
