#include "config/problem.h"

namespace Geraniumsail {

std::string toText(const Problem &problem)
{
    std::string text;
    if (!problem.file.empty()) {
        text += problem.file + ": ";
    }
    if (!problem.field.empty()) {
        text += problem.field + ": ";
    }
    return text + "expected " + problem.expected + ", found " + problem.found;
}

std::string toText(const Problems &problems)
{
    std::string text;
    for (const auto &problem : problems) {
        text += toText(problem) + "\n";
    }
    return text;
}

} // namespace Geraniumsail
