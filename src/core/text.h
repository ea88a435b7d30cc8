// Strict parsing of short text fields; reports errors without exceptions.
#ifndef GERANIUMSAIL_CORE_TEXT_H
#define GERANIUMSAIL_CORE_TEXT_H

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Geraniumsail {

/// Parses text as an integer of the given base. Returns no value unless all of text is a number in the range of T.
template <typename T>
std::optional<T> parseNumber(std::string_view text, int base = 10)
{
    static_assert(std::is_integral_v<T>);
    T value{};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, base);
    if (text.empty() || error != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

/// Whether text can be passed on as an identifier: 1 to 128 printable ASCII characters, none of which separates values
/// in a path, a query or a header field.
inline bool isToken(std::string_view text)
{
    constexpr std::size_t maxLength = 128;
    return !text.empty() && text.size() <= maxLength && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < 0x7f && std::string_view("\"#%&,/;<=>?\\").find(c) == std::string_view::npos;
    });
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
