#include "cli/timeline.h"

#include <algorithm>
#include <array>

namespace Geraniumsail::Cli {

namespace {

/// The decisive input of each reason that a final line names. {field} stands for the value of that field.
struct ReasonText
{
    std::string_view reason;
    std::string_view text;
};

constexpr std::array Reasons{
    ReasonText{"early-refusal",
               "refused at the entry node before any work: a service behind route {route} was overloaded, so that "
               "{part} of its requests were admitted (learned {part_age_ms} ms before), and this one drew {draw}"},
    ReasonText{"queue-full",
               "refused by {refusals} nodes, {node} last: it had waited, or would have waited, longer than its "
               "latency target allows"},
    ReasonText{"upstream-shed", "rejected by the upstream beside {node}, which did not run it; no attempt was left"},
    ReasonText{"deadline-before-start", "not started: it could not have ended before its deadline at {node}"},
    ReasonText{"no-upstream", "no usable upstream of {service} was known, or the one chosen had been replaced"},
    ReasonText{"draining", "the upstream beside {node} was leaving, and no other one could be tried"},
    ReasonText{"connect-failed", "node {node} refused the connection or did not answer it"},
    ReasonText{"connection-limit", "all connections that the upstream beside {node} allows were in use"},
    ReasonText{"cancelled-before-start", "its caller left before an upstream received it"},
    ReasonText{"cancelled-after-start", "its caller left while the upstream beside {node} worked on it"},
    ReasonText{"connection-lost",
               "the connection broke after the request was sent to {node}: it may have run, so it was not sent again"},
    ReasonText{"timed-out", "no answer of the upstream beside {node} before the deadline: it may have run"},
    ReasonText{"truncated-answer", "the upstream beside {node} answered with something that is not its whole answer"},
};

/// Replaces {field} by the value of the field; "an unknown" if the line lacks it.
std::string filled(std::string_view text, const LogLine &line)
{
    std::string result;
    while (!text.empty()) {
        const auto open = text.find('{');
        const auto close = text.find('}', open == std::string_view::npos ? 0 : open);
        if (open == std::string_view::npos || close == std::string_view::npos) {
            result += text;
            break;
        }
        result += text.substr(0, open);
        const auto value = line.field(text.substr(open + 1, close - open - 1));
        result += value.empty() ? std::string_view("an unknown") : value;
        text.remove_prefix(close + 1);
    }
    return result;
}

std::string_view eventText(std::string_view event)
{
    constexpr std::array<std::pair<std::string_view, std::string_view>, 6> texts{{
        {"answered", "answered {status} ({outcome}) after {took_ms} ms, {arrivals} attempts reached an upstream"},
        {"unrouted", "no route for {host}{path} in configuration {config}: {reason}"},
        {"retry", "sent again after {after} at {node}, {left_ms} ms left, {budget} repeats in the budget"},
        {"target_refused",
         "not delivered: {reason} after a wait of {waited_ms} ms; {running} running, {waiting} waiting, limit {limit}"},
        {"delivery_failed", "exchange with upstream {upstream} failed after {took_ms} ms: {reason}"},
        {"upstream_answer_rejected", "answer {status} of upstream {upstream} not passed on: {reason}"},
    }};
    const auto found = std::find_if(texts.begin(), texts.end(), [&](const auto &text) { return text.first == event; });
    return found == texts.end() ? std::string_view() : found->second;
}

bool isFinal(const LogLine &line)
{
    return line.event == "answered" || line.event == "unrouted";
}

} // namespace

Timeline::Timeline(std::string requestId) : m_id(std::move(requestId))
{
}

void Timeline::add(std::string_view text, const std::string &source)
{
    if (text.find(m_id) == std::string_view::npos) {
        return;
    }
    auto line = parseLogLine(text);
    if (!line) {
        ++m_unreadable;
        return;
    }
    const auto id = line->field("id");
    if (id != m_id && !id.starts_with(m_id + '.')) {
        return;
    }
    if (line->source.empty()) {
        line->source = source;
    }
    m_lines.push_back(std::move(*line));
}

std::vector<LogLine> Timeline::lines() const
{
    auto ordered = m_lines;
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const LogLine &left, const LogLine &right) { return left.time < right.time; });
    return ordered;
}

const LogLine *Timeline::finalLine() const
{
    const auto found = std::find_if(m_lines.begin(), m_lines.end(),
                                    [&](const LogLine &line) { return isFinal(line) && line.field("id") == m_id; });
    return found == m_lines.end() ? nullptr : &*found;
}

std::string Timeline::cause() const
{
    const auto *line = finalLine();
    if (line == nullptr) {
        return "";
    }
    if (line->event == "unrouted") {
        return filled("configuration {config} has no route for {host}{path}: {reason}", *line);
    }
    const auto reason = line->field("reason");
    const auto text =
        std::find_if(Reasons.begin(), Reasons.end(), [&](const ReasonText &row) { return row.reason == reason; });
    if (text != Reasons.end()) {
        return filled(text->text, *line);
    }
    if (line->field("outcome") != "ran") {
        return filled("reason {reason}", *line);
    }
    // An upstream whose calls fail answers with an error of its own: the first failed call is the cause.
    for (const auto &other : lines()) {
        const bool failed = isFinal(other) && other.field("id") != m_id && !other.field("status").starts_with('2');
        if (failed) {
            auto text = filled("upstream beside {node} answered {status}", *line);
            text += "; its call ";
            text += other.field("id");
            text += " failed: ";
            text += describeLine(other);
            return text;
        }
    }
    return filled("run by the upstream beside {node}, which answered {status}", *line);
}

std::string describeLine(const LogLine &line)
{
    const auto text = eventText(line.event);
    if (!text.empty()) {
        auto words = filled(text, line);
        const auto reason = line.field("reason");
        if (line.event == "answered" && !reason.empty()) {
            words += ": " + std::string(reason);
        }
        return words;
    }
    std::string words = line.event;
    for (const auto &[name, value] : line.fields) {
        words += ' ';
        words += name;
        words += '=';
        words += value;
    }
    return words;
}

} // namespace Geraniumsail::Cli
