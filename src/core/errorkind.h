// All error kinds, and the table that maps each kind to its answer.
//
// There are three outcomes: Ran (there is a complete answer), NotRun (the upstream did not start the request and never
// will) and Unknown. Work that is not repeatable may be retried only after NotRun.
#ifndef GERANIUMSAIL_CORE_ERRORKIND_H
#define GERANIUMSAIL_CORE_ERRORKIND_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Geraniumsail {

enum class Outcome {
    Ran,
    NotRun,
    Unknown,
};

enum class ErrorKind {
    BadRequest,
    HeadTooLarge,
    BodyTooLarge,
    SlowSender,
    UnknownService,
    NoUpstream,
    Draining,
    Overloaded,
    QueueFull,
    EarlyRefusal,
    ConnectionLimit,
    LinkBudget,
    UpstreamShed,
    DeadlineBeforeStart,
    ConnectFailed,
    CancelledBeforeStart,
    TicketRequired,
    TicketVoided,
    TicketExpired,
    IncarnationGone,
    AnswerGone,
    ConnectionLost,
    TimedOut,
    TruncatedAnswer,
    CancelledAfterStart,
    Internal,
};

constexpr std::size_t ErrorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// Whether a failed attempt may be retried.
enum class Retriable {
    Never,
    Always,
    IfRepeatable,
};

/// Answer and properties of an error kind.
struct ErrorRow
{
    ErrorKind kind;
    int httpStatus;
    Outcome outcome;
    Retriable retriable;
    std::string_view label; ///< Value of Geraniumsail-Reason and of the metric label "reason".
};

const ErrorRow &errorRow(ErrorKind kind);
const std::array<ErrorRow, ErrorKindCount> &errorRows();

/// Returns the kind with this label, or nullopt if there is none.
std::optional<ErrorKind> errorKindFromLabel(std::string_view label);

/// Returns "ran", "not-run" or "unknown".
std::string_view outcomeLabel(Outcome outcome);
std::optional<Outcome> outcomeFromLabel(std::string_view label);

} // namespace Geraniumsail

#endif
