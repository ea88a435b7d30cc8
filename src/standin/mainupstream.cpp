// Stand-in for an upstream.
#include "cli/arguments.h"

#include <iostream>

namespace {

constexpr char Usage[] = R"(Stand-in for an upstream.

Usage:
  geraniumsail-standin-upstream --help
  geraniumsail-standin-upstream --version
)";

} // namespace

int main(int argc, char *argv[])
{
    Geraniumsail::parseArguments(Usage, argc, argv);
    return 0;
}
