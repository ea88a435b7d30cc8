#include "standin/loadresults.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Geraniumsail::Standin {

using Json = nlohmann::json;

namespace {

double percentileMs(const std::vector<std::int64_t> &sorted, double part)
{
    if (sorted.empty()) {
        return 0.0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return static_cast<double>(sorted[static_cast<std::size_t>(std::lround(last * part))]) / 1000.0;
}

Json latencyJson(std::vector<std::int64_t> latencies)
{
    std::sort(latencies.begin(), latencies.end());
    return {{"p50", percentileMs(latencies, 0.5)},
            {"p90", percentileMs(latencies, 0.9)},
            {"p99", percentileMs(latencies, 0.99)},
            {"max", percentileMs(latencies, 1.0)}};
}

Json streamJson(const StreamResult &result)
{
    return {{"sent", result.sent},       {"whole", result.whole},
            {"wrong", result.wrong},     {"resends", result.resends},
            {"overrun", result.overrun}, {"outcomes", result.outcomes},
            {"reasons", result.reasons}, {"latencyMs", latencyJson(result.latenciesUs)}};
}

std::map<int, StreamResult> byRank(const Scenario &scenario, const LoadResult &result)
{
    std::map<int, StreamResult> ranks;
    for (std::size_t i = 0; i < scenario.streams.size(); ++i) {
        ranks[scenario.streams[i].rank.value()].add(result.streams[i]);
    }
    return ranks;
}

Json checksJson(const LoadChecks &checks)
{
    return {{"wrongAnswers", checks.wrongAnswers},
            {"doubled", checks.doubled},
            {"notRunButRan", checks.notRunButRan},
            {"wholeWithoutRun", checks.wholeWithoutRun},
            {"upstreamsNotReached", checks.upstreamsNotReached},
            {"passed", checks.passed()}};
}

std::string reasonsText(const StreamResult &result)
{
    std::string text;
    for (const auto &[reason, count] : result.reasons) {
        text += (text.empty() ? "" : ", ") + reason + " " + std::to_string(count);
    }
    return text.empty() ? "-" : text;
}

void addCounts(std::map<std::string, std::uint64_t> &sums, const std::map<std::string, std::uint64_t> &counts)
{
    for (const auto &[name, count] : counts) {
        sums[name] += count;
    }
}

} // namespace

void StreamResult::add(const RequestEnd &end)
{
    resends += end.resends;
    ++outcomes[std::string(outcomeLabel(end.outcome))];
    if (end.whole) {
        ++whole;
        latenciesUs.push_back(end.latency.count());
        const auto interval = static_cast<std::size_t>(end.endedAt / ResultInterval);
        if (wholePerInterval.size() <= interval) {
            wholePerInterval.resize(interval + 1);
        }
        ++wholePerInterval[interval];
        return;
    }
    wrong += end.wrong ? 1 : 0;
    ++reasons[end.reason];
}

void StreamResult::add(const StreamResult &other)
{
    sent += other.sent;
    whole += other.whole;
    wrong += other.wrong;
    resends += other.resends;
    overrun += other.overrun;
    addCounts(outcomes, other.outcomes);
    addCounts(reasons, other.reasons);
    latenciesUs.insert(latenciesUs.end(), other.latenciesUs.begin(), other.latenciesUs.end());
}

bool LoadChecks::passed() const
{
    return wrongAnswers + doubled + notRunButRan + wholeWithoutRun + upstreamsNotReached == 0;
}

LoadChecks checkClaims(const TokenClaims &claims, const std::unordered_map<std::string, std::uint64_t> &executions,
                       bool complete)
{
    const auto runs = [&](const std::string &token) {
        const auto found = executions.find(token);
        return found == executions.end() ? 0 : found->second;
    };
    LoadChecks checks;
    for (const auto &token : claims.notRun) {
        checks.notRunButRan += runs(token) > 0 ? 1 : 0;
    }
    for (const auto &token : claims.once) {
        checks.doubled += runs(token) > 1 ? 1 : 0;
    }
    for (const auto &token : claims.whole) {
        checks.wholeWithoutRun += complete && runs(token) == 0 ? 1 : 0;
    }
    return checks;
}

nlohmann::json toJson(const Scenario &scenario, const LoadResult &result)
{
    StreamResult total;
    Json streams = Json::array();
    for (std::size_t i = 0; i < scenario.streams.size(); ++i) {
        const auto &stream = scenario.streams[i];
        auto json = streamJson(result.streams[i]);
        json["service"] = stream.service.value();
        json["kind"] = stream.kind.value();
        json["rank"] = stream.rank.value();
        json["wholePer100Ms"] = result.streams[i].wholePerInterval;
        streams.push_back(std::move(json));
        total.add(result.streams[i]);
    }
    Json ranks = Json::object();
    for (const auto &[rank, sums] : byRank(scenario, result)) {
        ranks[std::to_string(rank)] = streamJson(sums);
    }
    const auto seconds = std::chrono::duration<double>(scenario.duration).count();
    return {{"durationMs", std::chrono::duration_cast<std::chrono::milliseconds>(scenario.duration).count()},
            {"total", streamJson(total)},
            {"goodputPerSecond", static_cast<double>(total.whole) / seconds},
            {"ranks", ranks},
            {"streams", streams},
            {"checks", checksJson(result.checks)}};
}

std::string toTable(const Scenario &scenario, const LoadResult &result)
{
    std::ostringstream text;
    text << "rank     sent    whole   p50 ms   p99 ms  not whole, by reason\n" << std::fixed << std::setprecision(1);
    for (auto &[rank, sums] : byRank(scenario, result)) {
        auto sorted = sums.latenciesUs;
        std::sort(sorted.begin(), sorted.end());
        text << std::setw(4) << rank << std::setw(9) << sums.sent << std::setw(9) << sums.whole << std::setw(9)
             << percentileMs(sorted, 0.5) << std::setw(9) << percentileMs(sorted, 0.99) << "  " << reasonsText(sums)
             << "\n";
    }
    const auto &checks = result.checks;
    text << "checks: wrong answers " << checks.wrongAnswers << ", doubled runs " << checks.doubled
         << ", not-run but ran " << checks.notRunButRan << ", whole without run " << checks.wholeWithoutRun
         << ", upstreams not reached " << checks.upstreamsNotReached << "\n";
    return text.str();
}

} // namespace Geraniumsail::Standin
