// Context of one attempt, sent between nodes in the header Geraniumsail-Context.
//
// The deadline is sent as the remaining time in milliseconds, because the clocks of two VMs are not comparable; the
// receiver adds it to its own monotonic time. A receiver that was paused with the request head in its socket buffer
// computes a later deadline than the caller did. Therefore the attempt registry, not the deadline, decides whether a
// request runs.
#ifndef GERANIUMSAIL_CORE_CALLCONTEXT_H
#define GERANIUMSAIL_CORE_CALLCONTEXT_H

#include "core/ids.h"
#include "core/load.h"
#include "core/units.h"

#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

/// Longest accepted call chain. A higher hop number indicates a routing loop.
constexpr int MaxHops = 64;

struct CallContext
{
    RequestId id; ///< Id of the root request, the same at every hop.
    AttemptId attempt; ///< Id of this attempt; the id of the ticket for unrepeatable work.
    KindName kind;
    Priority priority;
    MonotonicTime deadline;
    Allowance allowance{0}; ///< Retries granted to this attempt.
    int hop = 0; ///< 0 for the root call.
    CallerName caller;
    bool unrepeatable = false; ///< True if the work must not run twice.
    std::optional<NodeName> voidedBy; ///< Previous target of the ticket, which confirmed that it voided it.
    std::optional<TicketEpoch> epoch; ///< Epoch of the ticket at this target.
    /// Incarnation of the target that the ticket names. The epochs of two incarnations of a node overlap, so with the
    /// epoch alone a restarted target could run a ticket of its previous incarnation again.
    std::optional<Incarnation> incarnation;
    int ticketPosition = 0; ///< Index of this target in the ticket. If above 0, the attempt starts only with voidedBy.
};

/// Returns the header value. The remaining time is deadline - now, at least 0 ms.
std::string encodeContext(const CallContext &context, MonotonicTime now);

/// Returns nullopt if the text is malformed, or has another version, an unknown or repeated field, or an invalid value.
std::optional<CallContext> decodeContext(std::string_view text, MonotonicTime now);

/// True for 1 to 128 letters, digits, '-', '_', '.' and ':'. Such a text is safe in headers, logs and paths.
bool isIdentifier(std::string_view text);

} // namespace Geraniumsail

#endif
