// The operators' client of geraniumsail.
#include "core/version.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char Usage[] = R"(The operators' client of geraniumsail.

Usage:
  geraniumsail --help
  geraniumsail --version
)";

} // namespace

int main(int argc, char *argv[])
{
    docopt::docopt(Usage, {argv + 1, argv + argc}, true, Geraniumsail::Version);
    return 0;
}
