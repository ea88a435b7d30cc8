#include "config/diff.h"

#include "config/reader.h"

#include <set>

namespace Geraniumsail {

namespace {

using Fields = std::map<std::string, std::string>;

/// Name of an array element for its path: its own name, the direction of a link, or its position.
std::string elementLabel(const Json &element, std::size_t index)
{
    if (element.is_object() && element.contains("name") && element["name"].is_string()) {
        return element["name"].get<std::string>();
    }
    if (element.is_object() && element.contains("from") && element.contains("to")) {
        return describe(element["from"]) + " to " + describe(element["to"]);
    }
    return std::to_string(index);
}

std::string memberPath(const std::string &path, const std::string &name)
{
    return path.empty() ? name : std::string(path).append(".").append(name);
}

void flatten(const Json &value, const std::string &path, Fields &fields)
{
    if (value.is_object()) {
        for (const auto &[name, member] : value.items()) {
            flatten(member, memberPath(path, name), fields);
        }
    } else if (value.is_array()) {
        std::size_t index = 0;
        for (const auto &element : value) {
            flatten(element, path + "[" + elementLabel(element, index++) + "]", fields);
        }
    } else {
        fields[path] = describe(value);
    }
}

/// A text that is no JSON object counts as one field, so that a damaged document still shows as a difference.
Fields fieldsOf(const std::string &text)
{
    Fields fields;
    Problems problems;
    if (const auto json = parseObject(text, "", problems)) {
        flatten(*json, "", fields);
    } else {
        fields["(text)"] = "not readable";
    }
    return fields;
}

template <typename Map>
std::set<typename Map::key_type> keysOf(const Map &a, const Map &b)
{
    std::set<typename Map::key_type> keys;
    for (const auto &[key, value] : a) {
        keys.insert(key);
    }
    for (const auto &[key, value] : b) {
        keys.insert(key);
    }
    return keys;
}

template <typename Map>
std::optional<std::string> valueAt(const Map &map, const typename Map::key_type &key)
{
    const auto found = map.find(key);
    return found == map.end() ? std::nullopt : std::optional<std::string>(found->second);
}

void diffFields(const DocumentName &name, const Fields &before, const Fields &after, std::vector<Difference> &result)
{
    for (const auto &field : keysOf(before, after)) {
        auto old = valueAt(before, field);
        auto fresh = valueAt(after, field);
        if (old != fresh) {
            result.push_back({name, field, std::move(old), std::move(fresh)});
        }
    }
}

} // namespace

std::vector<Difference> diffDocuments(const std::map<DocumentName, std::string> &before,
                                      const std::map<DocumentName, std::string> &after)
{
    std::vector<Difference> result;
    for (const auto &name : keysOf(before, after)) {
        const auto old = valueAt(before, name);
        const auto fresh = valueAt(after, name);
        if (old && fresh) {
            diffFields(name, fieldsOf(*old), fieldsOf(*fresh), result);
        } else {
            result.push_back({name, "", old ? std::optional<std::string>("present") : std::nullopt,
                              fresh ? std::optional<std::string>("present") : std::nullopt});
        }
    }
    return result;
}

std::string toText(const Difference &difference)
{
    std::string text = difference.document.value() + ": ";
    if (!difference.field.empty()) {
        text += difference.field + ": ";
    }
    return text + difference.before.value_or("absent") + " -> " + difference.after.value_or("absent");
}

} // namespace Geraniumsail
