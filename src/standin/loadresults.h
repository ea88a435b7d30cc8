// What the callers of the load program saw, and whether it agrees with what the upstreams did.
#ifndef GERANIUMSAIL_STANDIN_LOADRESULTS_H
#define GERANIUMSAIL_STANDIN_LOADRESULTS_H

#include "core/errorkind.h"
#include "standin/scenario.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Geraniumsail::Standin {

/// End of one request as its caller sees it.
struct RequestEnd
{
    bool whole = false; ///< The complete answer to the own request.
    bool wrong = false; ///< An answer of another request, or a cut one that claims to be whole.
    Outcome outcome = Outcome::Unknown;
    std::string reason; ///< Why it is not whole: a label of the error table, or what the connection did.
    Duration latency{}; ///< From the arrival, with all resends.
    Duration endedAt{}; ///< Since the start of the run.
    std::uint32_t resends = 0;
};

/// Sums of one stream.
struct StreamResult
{
    std::uint64_t sent = 0;
    std::uint64_t whole = 0;
    std::uint64_t wrong = 0;
    std::uint64_t resends = 0;
    std::uint64_t overrun = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<std::int64_t> latenciesUs; ///< Of whole answers.
    std::vector<std::uint64_t> wholePerInterval;

    void add(const RequestEnd &end);
    void add(const StreamResult &other);
};

constexpr Duration ResultInterval = std::chrono::milliseconds(100);

/// What callers were told about single tokens.
struct TokenClaims
{
    std::vector<std::string> notRun; ///< Told that the request was not run.
    std::vector<std::string> whole; ///< Received the whole answer.
    std::vector<std::string> once; ///< Of unrepeatable requests.
};

/// Contradictions between the callers' and the upstreams' records; all must be 0.
struct LoadChecks
{
    std::uint64_t wrongAnswers = 0;
    std::uint64_t doubled = 0; ///< Unrepeatable requests that were started more than once.
    std::uint64_t notRunButRan = 0;
    std::uint64_t wholeWithoutRun = 0;
    std::uint64_t upstreamsNotReached = 0; ///< Their executions are missing.

    bool passed() const;
};

/// executions: how often the upstreams together started each token.
LoadChecks checkClaims(const TokenClaims &claims, const std::unordered_map<std::string, std::uint64_t> &executions,
                       bool complete);

struct LoadResult
{
    std::vector<StreamResult> streams; ///< In the order of the scenario.
    LoadChecks checks;
};

nlohmann::json toJson(const Scenario &scenario, const LoadResult &result);
/// One line for each rank: sent, whole, not whole by reason, latency percentiles.
std::string toTable(const Scenario &scenario, const LoadResult &result);

} // namespace Geraniumsail::Standin

#endif
