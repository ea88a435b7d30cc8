// What the load program sends, from a JSON file.
#ifndef GERANIUMSAIL_STANDIN_SCENARIO_H
#define GERANIUMSAIL_STANDIN_SCENARIO_H

#include "config/problem.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Geraniumsail::Standin {

/// A stream of requests of one kind. A flood is a second stream of the same kind with its own start and end.
struct LoadStream
{
    ServiceName service;
    KindName kind;
    Rank rank; ///< As configured; it only groups the results.
    double ratePerSecond = 0.0; ///< Mean of Poisson arrivals, whatever the answers.
    Duration from{};
    Duration until{}; ///< 0: until the end of the run.
    bool once = false; ///< Unrepeatable: sent with a ticket.
    Duration timeout = std::chrono::seconds(1);
    std::uint32_t resends = 0; ///< Further attempts of the caller after a failure, however it is told to wait.
    Duration resendWait = std::chrono::milliseconds(20);
    std::uint32_t callers = 4; ///< Different caller names.
    std::size_t bodyBytes = 0;
};

struct Scenario
{
    Duration duration = std::chrono::seconds(5);
    std::uint64_t randomSeed = 1;
    std::size_t maxInFlight = 20'000; ///< Arrivals beyond it are counted as overrun and not sent.
    std::vector<Address> entries; ///< Caller listeners of nodes, used in turn; the command line may add some.
    std::vector<Address> upstreams; ///< Asked for their executions after the run.
    std::vector<LoadStream> streams;
};

/// {"durationMs", "randomSeed", "maxInFlight", "entries": [ADDRESS], "upstreams": [ADDRESS], "streams": [{"service",
/// "kind", "rank", "ratePerSecond", "fromMs", "untilMs", "once", "timeoutMs", "resends", "resendWaitMs", "callers",
/// "bodyBytes"}]}
Checked<Scenario> parseScenario(std::string_view text, const std::string &file);

} // namespace Geraniumsail::Standin

#endif
