// The version that all programs print.
#ifndef GERANIUMSAIL_CORE_VERSION_H
#define GERANIUMSAIL_CORE_VERSION_H

namespace Geraniumsail {

constexpr const char *Version = "0.1.0";

} // namespace Geraniumsail

#endif
