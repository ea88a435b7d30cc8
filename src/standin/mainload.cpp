// Load program with open-loop arrivals.
#include "core/version.h"

#include <docopt/docopt.h>

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
    docopt::docopt(Usage, {argv + 1, argv + argc}, true, Geraniumsail::Version);
    return 0;
}
