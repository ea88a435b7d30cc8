#include "standin/loadrunner.h"

#include "net/clock.h"
#include "standin/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace Geraniumsail::Standin {

namespace asio = boost::asio;

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr auto CollectTimeout = std::chrono::seconds(10);
constexpr std::size_t MaxExecutionsBytes = 500'000'000;
constexpr std::size_t IdleConnections = 4096;

ClientLimits limits()
{
    ClientLimits result;
    result.idlePerAddress = IdleConnections;
    return result;
}

} // namespace

LoadRunner::LoadRunner(const asio::any_io_executor &executor, const Scenario &scenario)
    : m_executor(executor), m_scenario(scenario), m_random(scenario.randomSeed), m_client(executor, limits()),
      m_caller(m_client, m_claims), m_prefix("t" + std::to_string(wallNow().time_since_epoch().count()))
{
    m_result.streams.resize(scenario.streams.size());
}

asio::awaitable<LoadResult> LoadRunner::run()
{
    m_start = monotonicNow();
    m_arriving = m_scenario.streams.size();
    for (std::size_t i = 0; i < m_scenario.streams.size(); ++i) {
        asio::co_spawn(m_executor, arrive(i), asio::detached);
    }
    Cancellation none;
    while (m_arriving > 0 || m_inFlight > 0) {
        co_await pause(PollInterval, none);
        m_client.closeIdle(monotonicNow());
    }
    co_await collect();
    co_return std::move(m_result);
}

asio::awaitable<void> LoadRunner::arrive(std::size_t index)
{
    const auto &stream = m_scenario.streams[index];
    auto &result = m_result.streams[index];
    const auto end = m_start + (stream.until > Duration::zero() ? stream.until : m_scenario.duration);
    auto next = m_start + stream.from;
    Cancellation none;
    while (stream.ratePerSecond > 0.0) {
        std::exponential_distribution<double> gap(stream.ratePerSecond);
        next += Duration(static_cast<std::int64_t>(gap(m_random) * 1e6));
        if (next >= end) {
            break;
        }
        if (next > monotonicNow()) {
            co_await pause(next - monotonicNow(), none);
        }
        if (m_inFlight >= m_scenario.maxInFlight) {
            ++result.overrun;
            continue;
        }
        ++result.sent;
        ++m_inFlight;
        asio::co_spawn(m_executor, carryOut(index, nextIdentity(stream)), asio::detached);
    }
    --m_arriving;
}

RequestIdentity LoadRunner::nextIdentity(const LoadStream &stream)
{
    const auto number = m_count++;
    std::uniform_int_distribution<std::uint32_t> caller(0, stream.callers - 1);
    return {m_prefix + "-" + std::to_string(number),
            stream.kind.value() + "-caller-" + std::to_string(caller(m_random)),
            m_scenario.entries[number % m_scenario.entries.size()]};
}

asio::awaitable<void> LoadRunner::carryOut(std::size_t index, RequestIdentity identity)
{
    auto end = co_await m_caller.send(m_scenario.streams[index], std::move(identity));
    end.endedAt = monotonicNow() - m_start;
    m_result.streams[index].add(end);
    --m_inFlight;
}

asio::awaitable<void> LoadRunner::collect()
{
    std::unordered_map<std::string, std::uint64_t> executions;
    std::uint64_t missing = 0;
    for (const auto &upstream : m_scenario.upstreams) {
        auto answer = co_await m_client.send(
            upstream, makeRequest(boost::beast::http::verb::get, "/standin/executions", upstream.value()),
            {monotonicNow() + CollectTimeout, nullptr});
        std::optional<std::string> body;
        if (answer) {
            body = co_await readWhole(std::move(answer->message.body()), answer->rest.get(), MaxExecutionsBytes);
        }
        const auto json = parseJsonObject(body.value_or(""));
        if (!json || !json->contains("executions")) {
            ++missing;
            continue;
        }
        for (const auto &[token, count] : (*json)["executions"].items()) {
            executions[token] += count.get<std::uint64_t>();
        }
    }
    m_result.checks = checkClaims(m_claims, executions, missing == 0 && !m_scenario.upstreams.empty());
    m_result.checks.upstreamsNotReached = missing;
    for (const auto &stream : m_result.streams) {
        m_result.checks.wrongAnswers += stream.wrong;
    }
}

} // namespace Geraniumsail::Standin
