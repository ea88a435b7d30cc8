// The random source of the core, passed by reference to each function that draws from it, so that a seed fixes a run.
#ifndef GERANIUMSAIL_CORE_RANDOM_H
#define GERANIUMSAIL_CORE_RANDOM_H

#include <random>

namespace Geraniumsail {

using Random = std::mt19937_64;

} // namespace Geraniumsail

#endif
