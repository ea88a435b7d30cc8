// The closed list of error kinds and the table from kind to answer.
//
// Three outcomes are kept apart everywhere: Ran (a whole answer exists), NotRun (the upstream did not and will not
// start the request) and Unknown. Only NotRun may be retried for work that is not repeatable.
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

/// Whether another attempt may be sent after a failure.
enum class Retriable {
    Never,
    Always,
    IfRepeatable,
};

/// The answer that belongs to an error kind.
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

/// The kind with that label, or nothing.
std::optional<ErrorKind> errorKindFromLabel(std::string_view label);

/// "ran", "not-run" or "unknown".
std::string_view outcomeLabel(Outcome outcome);
std::optional<Outcome> outcomeFromLabel(std::string_view label);

} // namespace Geraniumsail

#endif
