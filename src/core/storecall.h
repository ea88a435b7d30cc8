// Calls to the platform's store and their results (see docs/design.md).
#ifndef GERANIUMSAIL_CORE_STORECALL_H
#define GERANIUMSAIL_CORE_STORECALL_H

#include "core/units.h"

#include <cstdint>
#include <string>

namespace Geraniumsail {

enum class StoreOperation {
    Get,
    Put, ///< Compare-and-swap: writes only at expectedRevision; 0 means that the key does not exist.
    Watch, ///< Returns the value as soon as its revision is higher than expectedRevision.
};

struct StoreCall
{
    StoreOperation operation = StoreOperation::Get;
    std::string key;
    std::string value;
    std::uint64_t expectedRevision = 0;
    Duration wait{}; ///< For Watch: time after which the store returns Unchanged.

    bool operator==(const StoreCall &) const = default;
};

enum class StoreStatus {
    Ok,
    NotFound,
    Conflict, ///< The revision differs from expectedRevision; nothing was written.
    Unchanged, ///< A watch ended without a newer value.
    Failed, ///< No response, or an error; a write may have taken effect.
};

struct StoreResult
{
    StoreStatus status = StoreStatus::Failed;
    std::string value;
    std::uint64_t revision = 0;
};

} // namespace Geraniumsail

#endif
