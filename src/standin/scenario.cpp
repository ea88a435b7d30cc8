#include "standin/scenario.h"

#include "config/reader.h"
#include "config/settings.h"

#include <utility>

namespace Geraniumsail::Standin {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t MaxMs = 3'600'000;
constexpr double MaxRate = 100'000.0;
constexpr std::uint64_t MaxBodyBytes = 16'000'000;
constexpr std::uint64_t MaxResends = 1000;
constexpr std::uint64_t MaxCallers = 10'000;
constexpr std::uint64_t MaxInFlight = 100'000;

Duration readMs(ObjectReader &reader, const std::string &name, Duration fallback)
{
    return reader.has(name) ? milliseconds(reader.integer(name, 0, MaxMs).value_or(0)) : fallback;
}

std::uint64_t readCount(ObjectReader &reader, const std::string &name, std::uint64_t min, std::uint64_t max,
                        std::uint64_t fallback)
{
    return reader.has(name) ? reader.integer(name, min, max).value_or(min) : fallback;
}

std::vector<Address> readAddresses(ObjectReader &reader, const std::string &name, const std::string &file,
                                   Problems &problems)
{
    std::vector<Address> addresses;
    reader.array(name, [&](const Json &element, const std::string &path) {
        if (element.is_string() && isAddress(element.get_ref<const std::string &>())) {
            addresses.emplace_back(element.get<std::string>());
        } else {
            problems.push_back({file, path, "an IPv4 address and port", describe(element)});
        }
    });
    return addresses;
}

LoadStream readStream(ObjectReader reader)
{
    LoadStream stream;
    stream.service = ServiceName(reader.identifier("service").value_or(""));
    stream.kind = KindName(reader.identifier("kind").value_or(""));
    stream.rank = Rank(static_cast<std::uint8_t>(reader.integer("rank", 0, LeastUrgentRank.value()).value_or(0)));
    stream.ratePerSecond = reader.number("ratePerSecond", 0.0, MaxRate).value_or(0.0);
    stream.from = readMs(reader, "fromMs", stream.from);
    stream.until = readMs(reader, "untilMs", stream.until);
    if (reader.has("once")) {
        stream.once = reader.boolean("once").value_or(false);
    }
    stream.timeout = readMs(reader, "timeoutMs", stream.timeout);
    stream.resends = static_cast<std::uint32_t>(readCount(reader, "resends", 0, MaxResends, stream.resends));
    stream.resendWait = readMs(reader, "resendWaitMs", stream.resendWait);
    stream.callers = static_cast<std::uint32_t>(readCount(reader, "callers", 1, MaxCallers, stream.callers));
    stream.bodyBytes = readCount(reader, "bodyBytes", 0, MaxBodyBytes, stream.bodyBytes);
    reader.finish();
    return stream;
}

} // namespace

Checked<Scenario> parseScenario(std::string_view text, const std::string &file)
{
    Checked<Scenario> result;
    const auto json = parseObject(text, file, result.problems);
    if (!json) {
        return result;
    }
    Scenario scenario;
    ObjectReader reader(*json, file, "", result.problems);
    scenario.duration = milliseconds(reader.integer("durationMs", 1, MaxMs).value_or(1));
    scenario.randomSeed = readCount(reader, "randomSeed", 0, UINT64_MAX, scenario.randomSeed);
    scenario.maxInFlight = readCount(reader, "maxInFlight", 1, MaxInFlight, scenario.maxInFlight);
    if (reader.has("entries")) {
        scenario.entries = readAddresses(reader, "entries", file, result.problems);
    }
    if (reader.has("upstreams")) {
        scenario.upstreams = readAddresses(reader, "upstreams", file, result.problems);
    }
    reader.array("streams", [&](const Json &element, const std::string &path) {
        scenario.streams.push_back(readStream(ObjectReader(element, file, path, result.problems)));
    });
    reader.finish();
    if (result.problems.empty()) {
        result.value = std::move(scenario);
    }
    return result;
}

} // namespace Geraniumsail::Standin
