// The node of geraniumsail: one process on each upstream VM.
#include "core/version.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char Usage[] = R"(The node of geraniumsail: one process on each upstream VM.

Usage:
  geraniumsail-node --help
  geraniumsail-node --version
)";

} // namespace

int main(int argc, char *argv[])
{
    docopt::docopt(Usage, {argv + 1, argv + argc}, true, Geraniumsail::Version);
    return 0;
}
