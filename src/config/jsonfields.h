// Typed access to JSON objects written by other programs. An accessor returns nothing unless the field has the expected
// type and is in range, so that a decoder never converts a value that another writer chose freely.
#ifndef GERANIUMSAIL_CONFIG_JSONFIELDS_H
#define GERANIUMSAIL_CONFIG_JSONFIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Geraniumsail {

using Json = nlohmann::json;

/// Limits on a text that is parsed. A parsed value takes up to a hundred times the length of its text: an empty array
/// is two characters and 50 bytes, and deep nesting takes more.
constexpr int MaxJsonDepth = 64;
/// The largest configuration that the store accepts (1 MB) has fewer.
constexpr std::size_t MaxJsonValues = 200'000;
/// Texts up to this length are parsed without a check of these limits.
constexpr std::size_t UncheckedJsonBytes = 64UL * 1024;

/// Returns a discarded value if the text is not valid JSON, or is over the limits.
Json parseJson(std::string_view text);

inline const Json *findField(const Json &object, const char *name)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

inline std::optional<std::string> stringField(const Json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field == nullptr || !field->is_string()) {
        return std::nullopt;
    }
    return field->get<std::string>();
}

/// A non-negative integer.
inline std::optional<std::uint64_t> unsignedField(const Json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field == nullptr || !field->is_number_integer()
        || (!field->is_number_unsigned() && field->get<std::int64_t>() < 0)) {
        return std::nullopt;
    }
    return field->get<std::uint64_t>();
}

/// A non-negative integer up to max.
inline std::optional<std::uint64_t> unsignedField(const Json &object, const char *name, std::uint64_t max)
{
    const auto value = unsignedField(object, name);
    return value && *value <= max ? value : std::nullopt;
}

inline std::optional<bool> boolField(const Json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field == nullptr || !field->is_boolean()) {
        return std::nullopt;
    }
    return field->get<bool>();
}

inline std::optional<double> doubleField(const Json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field == nullptr || !field->is_number()) {
        return std::nullopt;
    }
    return field->get<double>();
}

/// Returns an empty array if the field is missing or not an array.
inline const Json &arrayField(const Json &object, const char *name)
{
    static const Json emptyArray = Json::array();
    const auto *field = findField(object, name);
    return field != nullptr && field->is_array() ? *field : emptyArray;
}

} // namespace Geraniumsail

#endif
