// Stand-in for an upstream.
#include "core/version.h"

#include <docopt/docopt.h>

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
    docopt::docopt(Usage, {argv + 1, argv + argc}, true, Geraniumsail::Version);
    return 0;
}
