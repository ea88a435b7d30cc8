// Revisions of the platform's store, as all nodes order them.
//
// The store may come back from an older copy. It then gives out again revisions that it had given out before, for other
// changes: a new history begins. A revision of this product therefore carries the number of its history in its upper
// bits, so that it is greater than all revisions of earlier histories. Leases are numbered in the same way.
#ifndef GERANIUMSAIL_CORE_STOREREVISION_H
#define GERANIUMSAIL_CORE_STOREREVISION_H

#include <cstdint>
#include <string>

namespace Geraniumsail {

/// Bits of a revision below those of its history.
constexpr unsigned StoreHistoryShift = 48;
/// The highest number that the store itself may give out.
constexpr std::uint64_t MaxStoreNumber = (std::uint64_t{1} << StoreHistoryShift) - 1;
constexpr std::uint64_t MaxStoreHistory = (std::uint64_t{1} << (64 - StoreHistoryShift)) - 1;

constexpr std::uint64_t makeStoreRevision(std::uint64_t history, std::uint64_t number)
{
    return history << StoreHistoryShift | number;
}

constexpr std::uint64_t storeHistoryOf(std::uint64_t revision)
{
    return revision >> StoreHistoryShift;
}

/// The number as the store gave it out.
constexpr std::uint64_t storeNumberOf(std::uint64_t revision)
{
    return revision & MaxStoreNumber;
}

/// "HISTORY.NUMBER", for log lines.
inline std::string storeRevisionText(std::uint64_t revision)
{
    return std::to_string(storeHistoryOf(revision)) + "." + std::to_string(storeNumberOf(revision));
}

} // namespace Geraniumsail

#endif
