// The context of one attempt as it travels between nodes in the header Geraniumsail-Context.
//
// The deadline travels as the remaining milliseconds, because clocks of two VMs are not comparable; the receiver adds
// them to its own monotonic time. A process that was paused with the head in its socket buffer therefore sees a later
// deadline than the caller did, which is why the attempt registry, not the deadline, decides whether a request runs.
#ifndef GERANIUMSAIL_CORE_CALLCONTEXT_H
#define GERANIUMSAIL_CORE_CALLCONTEXT_H

#include "core/ids.h"
#include "core/load.h"
#include "core/units.h"

#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

/// Longest chain that is accepted; a higher hop number is a routing loop.
constexpr int MaxHops = 64;

struct CallContext
{
    RequestId id; ///< Root request, the same at every hop.
    AttemptId attempt; ///< This attempt; for unrepeatable work the id of the ticket.
    KindName kind;
    Priority priority;
    MonotonicTime deadline;
    Allowance allowance{0}; ///< Retries lent to this attempt.
    int hop = 0; ///< 0 for the root call.
    CallerName caller;
    bool once = false; ///< True for unrepeatable work.
    std::optional<NodeName> voidedBy; ///< Earlier target of the ticket that stated that it voided it.
    std::optional<TicketEpoch> epoch; ///< Epoch of the ticket at this target.
    /// Incarnation that the ticket names. Epochs of two lives of a node overlap, so the epoch alone would let a
    /// restarted target run a ticket of its earlier life again.
    std::optional<Incarnation> incarnation;
    int ticketPosition = 0; ///< Place of this target in the ticket; over 0 only an attempt with voidedBy may start.
};

/// The header value; remaining time is deadline - now, at least 0 ms.
std::string encodeContext(const CallContext &context, MonotonicTime now);

/// Nothing if the text is malformed, has another version, an unknown or repeated field, or a value out of range.
std::optional<CallContext> decodeContext(std::string_view text, MonotonicTime now);

/// True for 1 to 128 characters of letters, digits, '-', '_', '.' and ':': safe in headers, logs and paths.
bool isIdentifier(std::string_view text);

} // namespace Geraniumsail

#endif
