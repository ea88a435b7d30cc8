#include "cli/logline.h"

#include <algorithm>
#include <charconv>

namespace Geraniumsail::Cli {

namespace {

constexpr std::string_view TimeKey = "time=";

/// Takes a quoted value from the front of text, which begins behind the opening quote; nothing if the closing quote is
/// missing.
std::optional<std::string> takeQuoted(std::string_view &text)
{
    std::string value;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '"') {
            text.remove_prefix(i + 1);
            return value;
        }
        const bool escaped = text[i] == '\\' && i + 1 < text.size();
        if (!escaped) {
            value += text[i];
            continue;
        }
        ++i;
        int code = 0;
        if (text[i] == 'x' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ec == std::errc{}) {
            value += static_cast<char>(code);
            i += 2;
        } else {
            value += text[i];
        }
    }
    return std::nullopt;
}

/// Takes "key=value" from the front of text; nothing if there is no whole pair.
std::optional<std::pair<std::string, std::string>> takePair(std::string_view &text)
{
    const auto equals = text.find('=');
    const auto space = text.find(' ');
    if (equals == std::string_view::npos || equals == 0 || (space != std::string_view::npos && space < equals)) {
        return std::nullopt;
    }
    std::pair<std::string, std::string> pair{text.substr(0, equals), ""};
    text.remove_prefix(equals + 1);
    if (text.starts_with('"')) {
        text.remove_prefix(1);
        auto value = takeQuoted(text);
        if (!value) {
            return std::nullopt;
        }
        pair.second = std::move(*value);
    } else {
        const auto end = std::min(text.find(' '), text.size());
        pair.second = text.substr(0, end);
        text.remove_prefix(end);
    }
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    return pair;
}

std::string lastWord(std::string_view text)
{
    const auto end = text.find_last_not_of(" \t:|");
    if (end == std::string_view::npos) {
        return "";
    }
    const auto begin = text.find_last_of(" \t", end);
    return std::string(text.substr(begin == std::string_view::npos ? 0 : begin + 1, end - (begin + 1) + 1));
}

} // namespace

std::string_view LogLine::field(std::string_view name) const
{
    const auto found =
        std::find_if(fields.begin(), fields.end(), [&](const auto &field) { return field.first == name; });
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const auto begin = text.find(TimeKey);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    LogLine line;
    line.source = lastWord(text.substr(0, begin));
    text.remove_prefix(begin);
    while (!text.empty()) {
        auto pair = takePair(text);
        if (!pair) {
            return std::nullopt;
        }
        if (pair->first == "time") {
            const auto &value = pair->second;
            if (std::from_chars(value.data(), value.data() + value.size(), line.time).ec != std::errc{}) {
                return std::nullopt;
            }
        } else if (pair->first == "event") {
            line.event = std::move(pair->second);
        } else {
            line.fields.push_back(std::move(*pair));
        }
    }
    if (line.event.empty()) {
        return std::nullopt;
    }
    return line;
}

} // namespace Geraniumsail::Cli
