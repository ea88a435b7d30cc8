// Load program with open-loop arrivals.
#include "cli/arguments.h"
#include "config/settings.h"
#include "standin/loadrunner.h"
#include "standin/process.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

#include <fstream>

namespace {

using namespace Geraniumsail;

constexpr char Usage[] =
    R"(Load program: stand-in for callers, for tests and the demo only. Arrivals do not wait for answers.

Usage:
  geraniumsail-standin-load --scenario FILE [(--entry ADDRESS)...] [(--upstream ADDRESS)...] [--json FILE]
  geraniumsail-standin-load --help
  geraniumsail-standin-load --version

Options:
  --scenario FILE     What to send, as JSON.
  --entry ADDRESS     Caller listener of a node; added to the file's entries.
  --upstream ADDRESS  Stand-in upstream to ask for its executions; added to the file's upstreams.
  --json FILE         Write the result there; "-" is the standard output, without the table.

Checks that each answer belongs to its request and is whole, that no unrepeatable request was run twice, and that no
request was run whose caller was told that it was not. Exit codes: 0 all held, 1 one did not, 2 wrong usage or scenario,
3 the executions of an upstream could not be read.
)";

constexpr int ExitIncomplete = 3;

/// Adds the addresses of an option; false after an error line.
bool addAddresses(const Arguments &arguments, const std::string &option, std::vector<Address> &addresses)
{
    for (const auto &text : arguments.at(option).asStringList()) {
        if (!isAddress(text)) {
            std::cerr << option << ": expected an IPv4 address and port, found \"" << text << '"' << std::endl;
            return false;
        }
        addresses.emplace_back(text);
    }
    return true;
}

int finish(const Standin::Scenario &scenario, const Standin::LoadResult &result, const std::string &jsonFile)
{
    const auto text = Standin::toJson(scenario, result).dump(2) + "\n";
    if (jsonFile == "-") {
        std::cout << text;
    } else {
        std::cout << Standin::toTable(scenario, result);
    }
    if (!jsonFile.empty() && jsonFile != "-") {
        std::ofstream(jsonFile) << text;
    }
    const auto &checks = result.checks;
    if (checks.wrongAnswers + checks.doubled + checks.notRunButRan + checks.wholeWithoutRun > 0) {
        return Standin::ExitFailed;
    }
    return checks.passed() ? Standin::ExitOk : ExitIncomplete;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = parseArguments(Usage, argc, argv);
    const auto file = arguments.at("--scenario").asString();
    const auto text = Standin::readFile(file);
    if (!text) {
        return ExitWrongUsage;
    }
    auto scenario = Standin::parseScenario(*text, file);
    if (!scenario.value) {
        std::cerr << toText(scenario.problems);
        return ExitWrongUsage;
    }
    if (!addAddresses(arguments, "--entry", scenario.value->entries)
        || !addAddresses(arguments, "--upstream", scenario.value->upstreams)) {
        return ExitWrongUsage;
    }
    if (scenario.value->entries.empty()) {
        std::cerr << "no entry: name a caller listener in the scenario or with --entry" << std::endl;
        return ExitWrongUsage;
    }
    boost::asio::io_context context;
    Standin::LoadRunner runner(context.get_executor(), *scenario.value);
    auto result = boost::asio::co_spawn(context, runner.run(), boost::asio::use_future);
    context.run();
    return finish(*scenario.value, result.get(), optionOr(arguments, "--json", ""));
}
