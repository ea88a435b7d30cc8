// The random number generator of the core. It is passed by reference, so that the seed makes a run reproducible.
#ifndef GERANIUMSAIL_CORE_RANDOM_H
#define GERANIUMSAIL_CORE_RANDOM_H

#include <random>

namespace Geraniumsail {

using Random = std::mt19937_64;

} // namespace Geraniumsail

#endif
