// bench-overload: measures the admission policy in virtual time, with the mechanism on and off, over 5 seeds.
#include "overloadcases.h"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <future>

namespace {

using namespace Geraniumsail;

const char *const Usage = R"(Overload experiments of geraniumsail in virtual time.

Usage: bench-overload [--only=NAME] [--json=FILE]

Options:
  --only=NAME  Run only the experiments whose name contains NAME.
  --json=FILE  Write the figures to FILE as JSON.
)";

constexpr std::uint64_t Seeds = 5;

/// The figures of each seed; one thread per seed.
std::vector<Figures> measure(const Experiment &experiment, const PolicySwitches &switches)
{
    std::vector<std::future<Figures>> pending;
    pending.reserve(Seeds);
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        pending.push_back(std::async(std::launch::async, experiment.run, switches, seed));
    }
    std::vector<Figures> runs;
    runs.reserve(Seeds);
    for (auto &run : pending) {
        runs.push_back(run.get());
    }
    return runs;
}

nlohmann::json spreadOf(const std::vector<Figures> &runs, std::size_t index)
{
    std::array<double, Seeds> values{};
    std::transform(runs.begin(), runs.end(), values.begin(), [index](const Figures &run) { return run[index].value; });
    std::sort(values.begin(), values.end());
    return {{"median", values[Seeds / 2]}, {"min", values.front()}, {"max", values.back()}};
}

nlohmann::json report(const Experiment &experiment)
{
    const auto runsOn = measure(experiment, PolicySwitches{});
    const auto runsOff = measure(experiment, experiment.off);
    std::printf("%s\n", experiment.name.c_str());
    nlohmann::json figures;
    for (std::size_t i = 0; i < runsOn.front().size(); ++i) {
        const Figure &figure = runsOn.front()[i];
        const nlohmann::json on = spreadOf(runsOn, i);
        const nlohmann::json off = spreadOf(runsOff, i);
        const double median = on["median"];
        const bool held = median >= figure.atLeast.value_or(median) && median <= figure.atMost.value_or(median);
        const char *result = !figure.atLeast && !figure.atMost ? "" : held ? "held" : "MISSED";
        std::printf("  %-40s on %6.3f [%6.3f %6.3f]  off %6.3f [%6.3f %6.3f]  %s\n", figure.name.c_str(), median,
                    on["min"].get<double>(), on["max"].get<double>(), off["median"].get<double>(),
                    off["min"].get<double>(), off["max"].get<double>(), result);
        figures.push_back({{"figure", figure.name}, {"on", on}, {"off", off}, {"target", result}});
    }
    std::fflush(stdout);
    return {{"experiment", experiment.name}, {"figures", figures}};
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    const std::string only = arguments.at("--only") ? arguments.at("--only").asString() : "";
    std::printf("median [least most] of %d seeds\n", static_cast<int>(Seeds));
    nlohmann::json results;
    for (const Experiment &experiment : overloadExperiments()) {
        if (experiment.name.find(only) != std::string::npos) {
            results.push_back(report(experiment));
        }
    }
    if (arguments.at("--json")) {
        std::ofstream(arguments.at("--json").asString()) << results.dump(2) << '\n';
    }
    return 0;
}
