// Runs a scenario: open-loop arrivals, then a comparison with what the upstreams ran.
#ifndef GERANIUMSAIL_STANDIN_LOADRUNNER_H
#define GERANIUMSAIL_STANDIN_LOADRUNNER_H

#include "core/random.h"
#include "standin/loadcaller.h"
#include "standin/loadresults.h"
#include "standin/scenario.h"

#include <boost/asio/any_io_executor.hpp>

namespace Geraniumsail::Standin {

/// Arrivals are Poisson and do not wait for answers, as those of many independent callers.
class LoadRunner
{
public:
    LoadRunner(const boost::asio::any_io_executor &executor, const Scenario &scenario);

    /// Ends when the time is over and every request in flight has ended, and the executions are collected.
    boost::asio::awaitable<LoadResult> run();

private:
    boost::asio::awaitable<void> arrive(std::size_t stream);
    boost::asio::awaitable<void> carryOut(std::size_t stream, RequestIdentity identity);
    boost::asio::awaitable<void> collect();
    RequestIdentity nextIdentity(const LoadStream &stream);

    boost::asio::any_io_executor m_executor;
    const Scenario &m_scenario;
    Random m_random;
    HttpClient m_client;
    TokenClaims m_claims;
    LoadCaller m_caller;
    LoadResult m_result;
    MonotonicTime m_start;
    std::size_t m_inFlight = 0;
    std::size_t m_arriving = 0;
    std::uint64_t m_count = 0;
    std::string m_prefix; ///< Of the tokens, so that two runs against the same upstreams differ.
};

} // namespace Geraniumsail::Standin

#endif
