#include "config/document.h"

#include "config/check.h"
#include "config/reader.h"

#include <chrono>
#include <set>
#include <utility>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t MaxSlots = 100'000;
constexpr std::uint64_t MaxConnections = 1'000'000;
constexpr std::uint64_t MaxQueueLength = 100'000;
/// Delays over a minute would outlast every caller.
constexpr std::uint64_t MaxDelayMs = 60'000;
/// The longest time limit that a call context can carry: one day.
constexpr std::uint64_t MaxTimeoutMs = 86'400'000;
constexpr std::uint64_t MaxKbitPerSecond = 1'000'000'000;
constexpr std::uint64_t BytesPerKbit = 125;

// An invalid field is replaced by a value that cannot cause a further problem between fields, so that all checks run on
// every document.

Duration readDelay(ObjectReader &reader, const std::string &name, Duration fallback, std::uint64_t replacementMs)
{
    if (!reader.has(name)) {
        return fallback;
    }
    return milliseconds(reader.integer(name, 1, MaxDelayMs).value_or(replacementMs));
}

bool readFlag(ObjectReader &reader, const std::string &name)
{
    return reader.has(name) && reader.boolean(name).value_or(false);
}

void readLimits(ObjectReader reader, ServicePolicy &policy)
{
    policy.slots = Slots(static_cast<std::uint32_t>(reader.integer("slots", 1, MaxSlots).value_or(1)));
    policy.connections = Connections(
        static_cast<std::uint32_t>(reader.integer("connections", 1, MaxConnections).value_or(MaxConnections)));
    if (reader.has("queue")) {
        policy.queueLength = reader.integer("queue", 1, MaxQueueLength).value_or(1);
    }
    policy.targetQueueDelay = readDelay(reader, "targetQueueMs", policy.targetQueueDelay, 1);
    reader.finish();
}

void readRetry(ObjectReader reader, ServicePolicy &policy)
{
    if (reader.has("ratio")) {
        policy.retryRatio = reader.number("ratio", 0.0, 1.0).value_or(0.0);
    }
    policy.backoffBase = readDelay(reader, "backoffMs", policy.backoffBase, 1);
    policy.backoffCap = readDelay(reader, "backoffCapMs", policy.backoffCap, MaxDelayMs);
    reader.finish();
}

KindPolicy readKind(ObjectReader reader)
{
    KindPolicy kind;
    kind.name = KindName(reader.identifier("name").value_or(""));
    const auto rank = reader.integer("rank", MostUrgentRank.value(), LeastUrgentRank.value());
    kind.share = Share(reader.number("share", 0.0, 1.0).value_or(0.0));
    kind.repeatable = reader.boolean("repeatable").value_or(false);
    kind.essential = readFlag(reader, "essential");
    const auto neutralRank = kind.essential ? MostUrgentRank : LeastUrgentRank;
    kind.rank = Rank(static_cast<std::uint8_t>(rank.value_or(neutralRank.value())));
    kind.longRunning = readFlag(reader, "longRunning");
    kind.timeout = milliseconds(reader.integer("timeoutMs", 1, MaxTimeoutMs).value_or(1));
    kind.retries =
        Allowance(static_cast<std::uint32_t>(reader.integer("retries", 0, MaxAllowance.value()).value_or(0)));
    reader.finish();
    return kind;
}

bool checkSize(std::string_view text, const std::string &file, Problems &problems)
{
    if (text.size() <= MaxDocumentBytes) {
        return true;
    }
    problems.push_back(
        {file, "", "at most " + std::to_string(MaxDocumentBytes) + " bytes", std::to_string(text.size()) + " bytes"});
    return false;
}

/// Adds the problems between fields, except where a field itself is already reported.
template <typename T>
Checked<T> finished(T value, Problems problems, const Problems &between)
{
    std::set<std::string> reported;
    for (const auto &problem : problems) {
        reported.insert(problem.field);
    }
    for (const auto &problem : between) {
        if (!reported.contains(problem.field)) {
            problems.push_back(problem);
        }
    }
    Checked<T> result;
    if (problems.empty()) {
        result.value = std::move(value);
    }
    result.problems = std::move(problems);
    return result;
}

} // namespace

Checked<ServicePolicy> parseServiceDocument(std::string_view text, const std::string &file)
{
    Problems problems;
    if (!checkSize(text, file, problems)) {
        return {std::nullopt, problems};
    }
    const auto json = parseObject(text, file, problems);
    if (!json) {
        return {std::nullopt, problems};
    }
    ServicePolicy policy;
    ObjectReader reader(*json, file, "", problems);
    policy.service = ServiceName(reader.identifier("service").value_or(""));
    readLimits(reader.object("limits"), policy);
    if (reader.has("retry")) {
        readRetry(reader.object("retry"), policy);
    }
    reader.array("kinds", [&](const Json &element, const std::string &path) {
        policy.kinds.push_back(readKind(ObjectReader(element, file, path, problems)));
    });
    reader.finish();
    const auto between = checkService(policy, file);
    return finished(std::move(policy), std::move(problems), between);
}

Checked<std::vector<LinkPolicy>> parseLinksDocument(std::string_view text, const std::string &file)
{
    Problems problems;
    if (!checkSize(text, file, problems)) {
        return {std::nullopt, problems};
    }
    const auto json = parseObject(text, file, problems);
    if (!json) {
        return {std::nullopt, problems};
    }
    std::vector<LinkPolicy> links;
    ObjectReader reader(*json, file, "", problems);
    reader.array("links", [&](const Json &element, const std::string &path) {
        ObjectReader entry(element, file, path, problems);
        LinkPolicy link;
        link.from = RegionName(entry.identifier("from").value_or(""));
        link.to = RegionName(entry.identifier("to").value_or(""));
        link.bytesPerSecond = ByteCount(entry.integer("kbitPerSecond", 1, MaxKbitPerSecond).value_or(1) * BytesPerKbit);
        entry.finish();
        links.push_back(link);
    });
    reader.finish();
    const auto between = checkLinks(links, file);
    return finished(std::move(links), std::move(problems), between);
}

} // namespace Geraniumsail
