// Calls to the platform's store as values (docs/design.md, section 10).
#ifndef GERANIUMSAIL_CORE_STORECALL_H
#define GERANIUMSAIL_CORE_STORECALL_H

#include "core/units.h"

#include <cstdint>
#include <string>

namespace Geraniumsail {

enum class StoreOperation {
    Get,
    Put, ///< Compare-and-swap against expectedRevision; 0 means absent.
    Watch, ///< Waits until the revision is higher than expectedRevision.
};

struct StoreCall
{
    StoreOperation operation = StoreOperation::Get;
    std::string key;
    std::string value;
    std::uint64_t expectedRevision = 0;
    Duration wait{}; ///< For Watch: longest time until the store answers Unchanged.

    bool operator==(const StoreCall &) const = default;
};

enum class StoreStatus {
    Ok,
    NotFound,
    Conflict, ///< The revision was not the expected one; nothing was written.
    Unchanged, ///< End of a watch without a newer value.
    Failed, ///< No answer, or an error; a write may have taken effect.
};

struct StoreResult
{
    StoreStatus status = StoreStatus::Failed;
    std::string value;
    std::uint64_t revision = 0;
};

} // namespace Geraniumsail

#endif
