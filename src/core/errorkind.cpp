#include "core/errorkind.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

constexpr std::array<ErrorRow, ErrorKindCount> Rows{{
    {ErrorKind::BadRequest, 400, Outcome::NotRun, Retriable::Never, "bad-request"},
    {ErrorKind::HeadTooLarge, 431, Outcome::NotRun, Retriable::Never, "head-too-large"},
    {ErrorKind::BodyTooLarge, 413, Outcome::NotRun, Retriable::Never, "body-too-large"},
    {ErrorKind::SlowSender, 408, Outcome::NotRun, Retriable::Never, "slow-sender"},
    {ErrorKind::UnknownService, 404, Outcome::NotRun, Retriable::Never, "unknown-service"},
    {ErrorKind::NoUpstream, 503, Outcome::NotRun, Retriable::Never, "no-upstream"},
    {ErrorKind::Draining, 503, Outcome::NotRun, Retriable::Always, "draining"},
    {ErrorKind::Overloaded, 503, Outcome::NotRun, Retriable::Always, "overloaded"},
    {ErrorKind::QueueFull, 503, Outcome::NotRun, Retriable::Always, "queue-full"},
    {ErrorKind::EarlyRefusal, 503, Outcome::NotRun, Retriable::Never, "early-refusal"},
    {ErrorKind::ConnectionLimit, 503, Outcome::NotRun, Retriable::Always, "connection-limit"},
    {ErrorKind::LinkBudget, 503, Outcome::NotRun, Retriable::Never, "link-budget"},
    {ErrorKind::UpstreamShed, 503, Outcome::NotRun, Retriable::Always, "upstream-shed"},
    {ErrorKind::DeadlineBeforeStart, 504, Outcome::NotRun, Retriable::Never, "deadline-before-start"},
    {ErrorKind::ConnectFailed, 502, Outcome::NotRun, Retriable::Always, "connect-failed"},
    {ErrorKind::CancelledBeforeStart, 499, Outcome::NotRun, Retriable::Never, "cancelled-before-start"},
    {ErrorKind::TicketRequired, 428, Outcome::NotRun, Retriable::Never, "ticket-required"},
    {ErrorKind::TicketVoided, 409, Outcome::NotRun, Retriable::Never, "ticket-voided"},
    {ErrorKind::TicketExpired, 409, Outcome::Unknown, Retriable::Never, "ticket-expired"},
    {ErrorKind::IncarnationGone, 503, Outcome::Unknown, Retriable::Never, "incarnation-gone"},
    {ErrorKind::AnswerGone, 409, Outcome::Ran, Retriable::Never, "answer-gone"},
    {ErrorKind::ConnectionLost, 502, Outcome::Unknown, Retriable::IfRepeatable, "connection-lost"},
    {ErrorKind::TimedOut, 504, Outcome::Unknown, Retriable::IfRepeatable, "timed-out"},
    {ErrorKind::TruncatedAnswer, 502, Outcome::Unknown, Retriable::IfRepeatable, "truncated-answer"},
    {ErrorKind::CancelledAfterStart, 499, Outcome::Unknown, Retriable::Never, "cancelled-after-start"},
    {ErrorKind::Internal, 500, Outcome::Unknown, Retriable::Never, "internal"},
}};

constexpr std::array<std::string_view, 3> OutcomeLabels{"ran", "not-run", "unknown"};

} // namespace

const ErrorRow &errorRow(ErrorKind kind)
{
    return Rows.at(static_cast<std::size_t>(kind));
}

const std::array<ErrorRow, ErrorKindCount> &errorRows()
{
    return Rows;
}

std::optional<ErrorKind> errorKindFromLabel(std::string_view label)
{
    const auto row = std::find_if(Rows.begin(), Rows.end(), [&](const ErrorRow &r) { return r.label == label; });
    if (row == Rows.end()) {
        return std::nullopt;
    }
    return row->kind;
}

std::string_view outcomeLabel(Outcome outcome)
{
    return OutcomeLabels.at(static_cast<std::size_t>(outcome));
}

std::optional<Outcome> outcomeFromLabel(std::string_view label)
{
    const auto found = std::find(OutcomeLabels.begin(), OutcomeLabels.end(), label);
    if (found == OutcomeLabels.end()) {
        return std::nullopt;
    }
    return static_cast<Outcome>(found - OutcomeLabels.begin());
}

} // namespace Geraniumsail
