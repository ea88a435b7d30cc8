// Command lines of all programs: docopt with fixed exit codes.
//
// Header-only, so that only the programs link docopt. docopt's own entry point exits with 255 on wrong usage.
#ifndef GERANIUMSAIL_CLI_ARGUMENTS_H
#define GERANIUMSAIL_CLI_ARGUMENTS_H

#include "core/version.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

namespace Geraniumsail {

constexpr int ExitWrongUsage = 2;

using Arguments = std::map<std::string, docopt::value>;

/// Parses the command line by the usage text. Ends the process with 0 after --help and --version, with 2 on wrong
/// usage.
inline Arguments parseArguments(const std::string &usage, int argc, char *argv[])
{
    try {
        return docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage << std::flush;
        std::exit(EXIT_SUCCESS);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << Version << std::endl;
        std::exit(EXIT_SUCCESS);
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << "\n" << usage << std::flush;
        std::exit(ExitWrongUsage);
    }
}

/// Value of an option, or the fallback if it is absent.
inline std::string optionOr(const Arguments &arguments, const std::string &name, const std::string &fallback)
{
    const auto &value = arguments.at(name);
    return value ? value.asString() : fallback;
}

} // namespace Geraniumsail

#endif
