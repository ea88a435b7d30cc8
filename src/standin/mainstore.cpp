// Stand-in for the platform's key-value store.
#include "core/version.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char Usage[] = R"(Stand-in for the platform's key-value store.

Usage:
  geraniumsail-standin-store --help
  geraniumsail-standin-store --version
)";

} // namespace

int main(int argc, char *argv[])
{
    docopt::docopt(Usage, {argv + 1, argv + argc}, true, Geraniumsail::Version);
    return 0;
}
