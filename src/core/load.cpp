#include "core/load.h"

#include "core/text.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

/// 3 % of the score range: three times the noise of a threshold.
constexpr std::uint16_t ChildCallScoreAdvantage = 2048;

} // namespace

Priority effectivePriority(const Priority &priority, int hop)
{
    const std::uint16_t score = priority.score.value();
    const std::uint16_t advantage = hop > 0 ? std::min(score, ChildCallScoreAdvantage) : std::uint16_t(0);
    return Priority{priority.rank, AdmissionScore(static_cast<std::uint16_t>(score - advantage))};
}

std::string encodeThreshold(const Threshold &threshold)
{
    if (!threshold.last) {
        return "none";
    }
    return std::to_string(threshold.last->rank.value()) + "/" + std::to_string(threshold.last->score.value());
}

std::optional<Threshold> decodeThreshold(std::string_view text)
{
    if (text == "none") {
        return Threshold{};
    }
    const auto parts = splitText(text, '/');
    if (parts.size() != 2) {
        return std::nullopt;
    }
    const auto rank = parseNumber<std::uint8_t>(parts[0]);
    const auto score = parseNumber<std::uint16_t>(parts[1]);
    if (!rank || !score || Rank(*rank) > LeastUrgentRank) {
        return std::nullopt;
    }
    return Threshold{Priority{Rank(*rank), AdmissionScore(*score)}};
}

std::string encodeLoad(const LoadReport &load)
{
    return std::to_string(load.running) + "/" + std::to_string(load.queued) + "/" + std::to_string(load.limit);
}

std::optional<LoadReport> decodeLoad(std::string_view text)
{
    const auto parts = splitText(text, '/');
    if (parts.size() != 3) {
        return std::nullopt;
    }
    const auto running = parseNumber<std::uint32_t>(parts[0]);
    const auto queued = parseNumber<std::uint32_t>(parts[1]);
    const auto limit = parseNumber<std::uint32_t>(parts[2]);
    if (!running || !queued || !limit || *limit == 0) {
        return std::nullopt;
    }
    return LoadReport{*running, *queued, *limit};
}

} // namespace Geraniumsail
