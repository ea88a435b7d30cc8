// Load program with open-loop arrivals.
#include "cli/arguments.h"

#include <iostream>

namespace {

constexpr char Usage[] = R"(Load program with open-loop arrivals.

Usage:
  geraniumsail-standin-load --help
  geraniumsail-standin-load --version
)";

} // namespace

int main(int argc, char *argv[])
{
    Geraniumsail::parseArguments(Usage, argc, argv);
    return 0;
}
