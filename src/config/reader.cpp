#include "config/reader.h"

#include "config/settings.h"
#include "core/callcontext.h"

#include <cmath>
#include <utility>

namespace Geraniumsail {

namespace {

/// Values are written recursively when they are described; deeper texts could exhaust the stack.
constexpr int MaxNesting = 32;
constexpr std::size_t MaxDescribedLength = 80;
constexpr const char *IdentifierText = "1 to 128 letters, digits, '-', '_', '.' or ':'";
constexpr const char *AddressText = "an IPv4 address and port, such as \"127.0.0.1:8080\"";

const Json &emptyObject()
{
    static const Json empty = Json::object();
    return empty;
}

/// Collects what the plain parser of the library accepts silently.
struct ParseWatch
{
    std::vector<std::set<std::string>> names;
    std::set<std::string> repeated;
    bool tooDeep = false;

    bool operator()(int depth, Json::parse_event_t event, Json &value)
    {
        if (depth > MaxNesting) {
            tooDeep = true;
            return false;
        }
        switch (event) {
        case Json::parse_event_t::object_start:
            names.emplace_back();
            break;
        case Json::parse_event_t::object_end:
            names.pop_back();
            break;
        case Json::parse_event_t::key:
            if (!names.empty() && !names.back().insert(value.get<std::string>()).second) {
                repeated.insert(value.get<std::string>());
            }
            break;
        default:
            break;
        }
        return true;
    }
};

std::string numberText(double value)
{
    return Json(value).dump();
}

} // namespace

std::string describe(const Json &value)
{
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array";
    }
    auto text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > MaxDescribedLength) {
        text.resize(MaxDescribedLength);
        text += "...";
    }
    return text;
}

std::optional<Json> parseObject(std::string_view text, const std::string &file, Problems &problems)
{
    ParseWatch watch;
    Json value;
    try {
        value = Json::parse(text, std::ref(watch));
    } catch (const Json::exception &error) {
        problems.push_back({file, "", "valid JSON", error.what()});
        return std::nullopt;
    }
    if (watch.tooDeep) {
        problems.push_back({file, "", "at most " + std::to_string(MaxNesting) + " levels of nesting", "more"});
        return std::nullopt;
    }
    for (const auto &name : watch.repeated) {
        problems.push_back({file, describe(Json(name)), "each field once in its object", "a repeated field"});
    }
    if (!value.is_object()) {
        problems.push_back({file, "", "a JSON object", describe(value)});
        return std::nullopt;
    }
    return value;
}

ObjectReader::ObjectReader(const Json &object, std::string file, std::string path, Problems &problems)
    : m_object(object.is_object() ? object : emptyObject()), m_file(std::move(file)), m_path(std::move(path)),
      m_problems(problems)
{
    if (!object.is_object()) {
        m_problems.push_back({m_file, m_path, "an object", describe(object)});
    }
}

std::string ObjectReader::pathOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

void ObjectReader::report(const std::string &name, std::string expected, std::string found)
{
    m_problems.push_back({m_file, pathOf(name), std::move(expected), std::move(found)});
}

bool ObjectReader::has(const std::string &name) const
{
    return m_object.contains(name);
}

const Json *ObjectReader::find(const std::string &name, const std::string &expected)
{
    m_known.insert(name);
    const auto field = m_object.find(name);
    if (field == m_object.end()) {
        report(name, expected, "nothing");
        return nullptr;
    }
    return &*field;
}

std::optional<std::string> ObjectReader::identifier(const std::string &name)
{
    const auto *field = find(name, IdentifierText);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_string() || !isIdentifier(field->get_ref<const std::string &>())) {
        report(name, IdentifierText, describe(*field));
        return std::nullopt;
    }
    return field->get<std::string>();
}

std::optional<std::string> ObjectReader::address(const std::string &name)
{
    const auto *field = find(name, AddressText);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_string() || !isAddress(field->get_ref<const std::string &>())) {
        report(name, AddressText, describe(*field));
        return std::nullopt;
    }
    return field->get<std::string>();
}

std::optional<std::string> ObjectReader::text(const std::string &name, const std::string &expected)
{
    const auto *field = find(name, expected);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_string()) {
        report(name, expected, describe(*field));
        return std::nullopt;
    }
    return field->get<std::string>();
}

std::optional<std::uint64_t> ObjectReader::integer(const std::string &name, std::uint64_t min, std::uint64_t max)
{
    const auto expected = "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    const auto *field = find(name, expected);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_number_unsigned() || field->get<std::uint64_t>() < min || field->get<std::uint64_t>() > max) {
        report(name, expected, describe(*field));
        return std::nullopt;
    }
    return field->get<std::uint64_t>();
}

std::optional<double> ObjectReader::number(const std::string &name, double min, double max)
{
    const auto expected = "a number from " + numberText(min) + " to " + numberText(max);
    const auto *field = find(name, expected);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_number() || !std::isfinite(field->get<double>()) || field->get<double>() < min
        || field->get<double>() > max) {
        report(name, expected, describe(*field));
        return std::nullopt;
    }
    return field->get<double>();
}

std::optional<bool> ObjectReader::boolean(const std::string &name)
{
    const auto *field = find(name, "true or false");
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_boolean()) {
        report(name, "true or false", describe(*field));
        return std::nullopt;
    }
    return field->get<bool>();
}

void ObjectReader::array(const std::string &name, const std::function<void(const Json &, const std::string &)> &visit)
{
    const auto *field = find(name, "an array");
    if (field == nullptr) {
        return;
    }
    if (!field->is_array()) {
        report(name, "an array", describe(*field));
        return;
    }
    std::size_t index = 0;
    for (const auto &element : *field) {
        visit(element, pathOf(name) + "[" + std::to_string(index++) + "]");
    }
}

ObjectReader ObjectReader::object(const std::string &name)
{
    const auto *field = find(name, "an object");
    return {field == nullptr ? emptyObject() : *field, m_file, pathOf(name), m_problems};
}

void ObjectReader::finish()
{
    for (const auto &[name, value] : m_object.items()) {
        if (!m_known.contains(name)) {
            m_problems.push_back({m_file, pathOf(name), "no such field", describe(value)});
        }
    }
}

} // namespace Geraniumsail
