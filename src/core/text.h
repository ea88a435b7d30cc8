// Strict parsing of short text fields; reports errors without exceptions.
#ifndef GERANIUMSAIL_CORE_TEXT_H
#define GERANIUMSAIL_CORE_TEXT_H

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Geraniumsail {

/// Parses text as a decimal integer. Returns no value unless all of text is a number in the range of T.
template <typename T>
std::optional<T> parseNumber(std::string_view text)
{
    static_assert(std::is_integral_v<T>);
    T value{};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

/// Splits text at each separator. An empty text gives one empty part.
inline std::vector<std::string_view> splitText(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto at = text.find(separator);
        parts.push_back(text.substr(0, at));
        if (at == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(at + 1);
    }
}

} // namespace Geraniumsail

#endif
