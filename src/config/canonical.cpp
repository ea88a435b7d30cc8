// Canonical texts of documents.
#include "config/document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>

namespace Geraniumsail {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t BytesPerKbit = 125;

std::int64_t inMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json kindJson(const KindPolicy &kind)
{
    return {{"name", kind.name.value()},       {"rank", kind.rank.value()},      {"share", kind.share.value()},
            {"repeatable", kind.repeatable},   {"essential", kind.essential},    {"longRunning", kind.longRunning},
            {"timeoutMs", inMs(kind.timeout)}, {"retries", kind.retries.value()}};
}

} // namespace

std::string canonicalText(const ServicePolicy &policy)
{
    auto kinds = policy.kinds;
    std::sort(kinds.begin(), kinds.end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    Json json{{"service", policy.service.value()},
              {"limits",
               {{"slots", policy.slots.value()},
                {"connections", policy.connections.value()},
                {"queue", policy.queueLength},
                {"targetQueueMs", inMs(policy.targetQueueDelay)}}},
              {"retry",
               {{"ratio", policy.retryRatio},
                {"backoffMs", inMs(policy.backoffBase)},
                {"backoffCapMs", inMs(policy.backoffCap)}}},
              {"kinds", Json::array()}};
    for (const auto &kind : kinds) {
        json["kinds"].push_back(kindJson(kind));
    }
    return json.dump();
}

std::string canonicalText(const std::vector<LinkPolicy> &links)
{
    auto sorted = links;
    std::sort(sorted.begin(), sorted.end(),
              [](const auto &a, const auto &b) { return std::tie(a.from, a.to) < std::tie(b.from, b.to); });
    Json json{{"links", Json::array()}};
    for (const auto &link : sorted) {
        json["links"].push_back({{"from", link.from.value()},
                                 {"to", link.to.value()},
                                 {"kbitPerSecond", link.bytesPerSecond.value() / BytesPerKbit}});
    }
    return json.dump();
}

} // namespace Geraniumsail
