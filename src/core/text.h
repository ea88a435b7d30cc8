// Parsing of small text fields: strict, whole-string, no exceptions.
#ifndef GERANIUMSAIL_CORE_TEXT_H
#define GERANIUMSAIL_CORE_TEXT_H

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Geraniumsail {

/// The whole of text as a decimal integer in the range of T, or nothing.
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

/// The parts of text between separators; an empty text has one empty part.
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
