// How a stand-in upstream behaves, from a JSON file.
#ifndef GERANIUMSAIL_STANDIN_BEHAVIOUR_H
#define GERANIUMSAIL_STANDIN_BEHAVIOUR_H

#include "config/problem.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Geraniumsail::Standin {

/// A call that an upstream makes while it runs a request.
struct ChildCall
{
    ServiceName service;
    KindName kind;
    bool once = false; ///< Sent as POST with an idempotency key.
};

struct KindBehaviour
{
    Duration serviceTime = std::chrono::milliseconds(5); ///< Mean, with a free slot.
    double spread = 0.3; ///< Service times are uniform in mean * (1 - spread) to mean * (1 + spread).
    std::size_t answerBytes = 500;
    std::uint64_t bytesPerSecond = 0; ///< Of a streamed answer; 0 sends the answer at once.
    bool parallelCalls = false;
    std::vector<ChildCall> calls;
};

struct ServiceBehaviour
{
    Slots slots{50};
    Connections connections{400};
    Duration connectionCost = std::chrono::milliseconds(1); ///< Added to the first request of a connection.
    Duration coldStart{}; ///< Service times fall from ColdStartFactor to 1 times the usual in this time.
    std::map<KindName, KindBehaviour> kinds; ///< Other kinds have the defaults.
};

constexpr double ColdStartFactor = 5.0;

/// {"services": {"bookings": {"slots", "connections", "connectionCostMs", "coldStartMs", "kinds": {"KIND":
/// {"serviceMs", "spread", "answerBytes", "bytesPerSecond", "parallelCalls", "calls": [{"service", "kind",
/// "once"}]}}}}}
Checked<std::map<ServiceName, ServiceBehaviour>> parseBehaviour(std::string_view text, const std::string &file);

} // namespace Geraniumsail::Standin

#endif
