// Measures the latency of kept-alive calls, alternating between an upstream directly and an entry node.
//
// Calls of both ways are made in the same run at the same moderate rate, so that noise of the machine meets both. Each
// worker sends the next call at its due time or, if it is late, at once; the latency is that of the exchange alone.
#include "core/text.h"
#include "net/clock.h"
#include "net/httpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace Geraniumsail {

namespace {

namespace asio = boost::asio;

constexpr char Usage[] = R"(Latency of calls, directly and through nodes.

Usage:
  bench-latency --direct ADDRESS --entry ADDRESS --service NAME --kind NAME [--rate N] [--seconds N] [--workers N]

Options:
  --direct ADDRESS  The upstream.
  --entry ADDRESS   Caller listener of the entry node.
  --service NAME    Service to call.
  --kind NAME       Kind of the calls.
  --rate N          Calls per second of each way [default: 500].
  --seconds N       Duration [default: 10].
  --workers N       Calls at the same time at most, of each way [default: 8].
)";

constexpr Duration CallTimeout = std::chrono::seconds(5);
constexpr auto WarmUp = std::chrono::seconds(1);

struct Way
{
    Address address;
    std::vector<std::int64_t> latencies; ///< Microseconds.
    std::size_t failed = 0;
};

struct Plan
{
    std::string service;
    std::string kind;
    Duration interval{0}; ///< Between two calls of one worker.
    MonotonicTime measureFrom;
    MonotonicTime end;
};

asio::awaitable<void> work(HttpClient &client, Way &way, const Plan &plan, Duration offset)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    auto due = plan.measureFrom - WarmUp + offset;
    while (due < plan.end) {
        timer.expires_at(toSteady(due));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto request = makeRequest(boost::beast::http::verb::get, "/latency", plan.service);
        request.message.set("Geraniumsail-Service", plan.service);
        request.message.set("Geraniumsail-Kind", plan.kind);
        const auto begin = monotonicNow();
        const auto answer = co_await client.send(way.address, std::move(request), {begin + CallTimeout, nullptr});
        const auto now = monotonicNow();
        if (begin >= plan.measureFrom) {
            const bool good = answer && !answer->rest && answer->message.result_int() == 200;
            way.failed += good ? 0 : 1;
            way.latencies.push_back((now - begin).count());
        }
        due = std::max(due + plan.interval, now);
    }
}

nlohmann::json summary(Way &way)
{
    auto &sorted = way.latencies;
    std::sort(sorted.begin(), sorted.end());
    const auto at = [&](double part) {
        return sorted.empty()
            ? 0.0
            : static_cast<double>(sorted[static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * part)])
                / 1000.0;
    };
    constexpr double median = 0.5;
    constexpr double high = 0.99;
    return {{"calls", sorted.size()}, {"failed", way.failed}, {"p50Ms", at(median)}, {"p99Ms", at(high)}};
}

int run(const std::map<std::string, docopt::value> &arguments)
{
    const auto number = [&](const char *name) {
        return parseNumber<std::int64_t>(arguments.at(name).asString()).value_or(0);
    };
    const auto rate = number("--rate");
    const auto seconds = number("--seconds");
    const auto workers = number("--workers");
    if (rate < 1 || seconds < 1 || workers < 1) {
        std::cerr << "rate, seconds and workers must be whole numbers from 1" << std::endl;
        return 2;
    }
    asio::io_context context(1);
    ClientLimits limits;
    limits.idle = std::chrono::seconds(30);
    HttpClient client(context.get_executor(), limits);
    Plan plan;
    plan.service = arguments.at("--service").asString();
    plan.kind = arguments.at("--kind").asString();
    plan.interval = Duration(std::chrono::seconds(1)) * workers / rate;
    plan.measureFrom = monotonicNow() + WarmUp;
    plan.end = plan.measureFrom + std::chrono::seconds(seconds);
    Way direct{Address(arguments.at("--direct").asString()), {}, 0};
    Way entry{Address(arguments.at("--entry").asString()), {}, 0};
    for (std::int64_t i = 0; i < workers; ++i) {
        // The two ways take turns within the interval of one worker.
        const auto offset = plan.interval * i / workers;
        const auto turn = plan.interval / (2 * workers);
        asio::co_spawn(context, work(client, direct, plan, offset), asio::detached);
        asio::co_spawn(context, work(client, entry, plan, offset + turn), asio::detached);
    }
    context.run();
    nlohmann::json result{{"direct", summary(direct)}, {"throughNodes", summary(entry)}};
    for (const auto *name : {"p50Ms", "p99Ms"}) {
        result["added"][name] = result["throughNodes"][name].get<double>() - result["direct"][name].get<double>();
    }
    std::cout << result.dump() << std::endl;
    return direct.failed + entry.failed == 0 ? 0 : 1;
}

} // namespace

} // namespace Geraniumsail

int main(int argc, char *argv[])
{
    return Geraniumsail::run(docopt::docopt(Geraniumsail::Usage, {argv + 1, argv + argc}));
}
