// Findings of the checks on JSON texts. All findings of a text are collected; none hides another.
#ifndef GERANIUMSAIL_CONFIG_PROBLEM_H
#define GERANIUMSAIL_CONFIG_PROBLEM_H

#include <optional>
#include <string>
#include <vector>

namespace Geraniumsail {

/// One finding: where, what was expected there, and what was found.
struct Problem
{
    std::string file; ///< Path as the operator knows it; empty if the text did not come from a file.
    std::string field; ///< Path inside the text, such as "kinds[2].rank"; empty for the whole text.
    std::string expected;
    std::string found;

    bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

/// One line: "FILE: FIELD: expected E, found F".
std::string toText(const Problem &problem);
/// One line for each finding.
std::string toText(const Problems &problems);

/// A value, or every reason why there is none. The value is set exactly if there are no problems.
template <typename T>
struct Checked
{
    std::optional<T> value;
    Problems problems;
};

} // namespace Geraniumsail

#endif
