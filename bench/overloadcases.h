// The overload experiments. Each runs once with the given switches and seed and returns its figures by name.
#ifndef GERANIUMSAIL_BENCH_OVERLOADCASES_H
#define GERANIUMSAIL_BENCH_OVERLOADCASES_H

#include "core/policy.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Geraniumsail {

/// One measured value. The bounds are the targets of section 1.3 of docs/design.md.
struct Figure
{
    std::string name;
    double value;
    std::optional<double> atLeast = std::nullopt;
    std::optional<double> atMost = std::nullopt;
};

using Figures = std::vector<Figure>;

struct Experiment
{
    std::string name;
    std::function<Figures(const PolicySwitches &, std::uint64_t seed)> run;
    PolicySwitches off; ///< What it is compared with; all mechanisms are on otherwise.
};

std::vector<Experiment> overloadExperiments();

} // namespace Geraniumsail

#endif
