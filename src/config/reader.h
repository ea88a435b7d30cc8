// Strict reading of JSON values: each accessor either returns a valid value or records a problem and returns nothing.
//
// Included only by the sources of gs-config, because the JSON library is slow to compile.
#ifndef GERANIUMSAIL_CONFIG_READER_H
#define GERANIUMSAIL_CONFIG_READER_H

#include "config/problem.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Geraniumsail {

using Json = nlohmann::json;

/// Parses a JSON object. Syntax errors, a nesting over 32 levels and repeated field names are problems.
std::optional<Json> parseObject(std::string_view text, const std::string &file, Problems &problems);

/// A short description of a value for the "found" part of a problem.
std::string describe(const Json &value);

/// Reads the fields of one JSON object. finish() reports the fields that nobody asked for.
class ObjectReader
{
public:
    /// The object and the list of problems must outlive the reader. A value that is no object is a problem.
    ObjectReader(const Json &object, std::string file, std::string path, Problems &problems);

    bool has(const std::string &name) const;

    std::optional<std::string> identifier(const std::string &name);
    /// "ip:port" with an IPv4 address and a port from 1 to 65535.
    std::optional<std::string> address(const std::string &name);
    /// Any text; expected describes it in a problem.
    std::optional<std::string> text(const std::string &name, const std::string &expected);
    std::optional<std::uint64_t> integer(const std::string &name, std::uint64_t min, std::uint64_t max);
    std::optional<double> number(const std::string &name, double min, double max);
    std::optional<bool> boolean(const std::string &name);

    /// Calls visit for each element with its path. A missing or wrong array is a problem and visits nothing.
    void array(const std::string &name, const std::function<void(const Json &, const std::string &)> &visit);
    /// A nested object; the reader must be finished as well. A missing one reads as an empty object.
    ObjectReader object(const std::string &name);

    /// Records a problem at a field of this object.
    void report(const std::string &name, std::string expected, std::string found);
    /// Reports unknown fields.
    void finish();

    std::string pathOf(const std::string &name) const;

private:
    /// The field, or null after recording that it is missing.
    const Json *find(const std::string &name, const std::string &expected);

    const Json &m_object;
    std::string m_file;
    std::string m_path;
    Problems &m_problems;
    std::set<std::string> m_known;
};

} // namespace Geraniumsail

#endif
