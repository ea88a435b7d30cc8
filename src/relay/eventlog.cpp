#include "relay/eventlog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Geraniumsail {

namespace {

/// If poll() reports a pipe as writable, a write of at most this size (PIPE_BUF) does not block.
constexpr std::size_t AtomicWriteBytes = 4096;
constexpr double MicrosecondsPerSecond = 1e6;

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
               return static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '\\' || c == '=' || c == 0x7f;
           });
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\x%02x",
                          static_cast<unsigned>(static_cast<unsigned char>(c)));
            text += escape.data();
        } else {
            text += c;
        }
    }
    return text + '"';
}

} // namespace

EventLine::EventLine(std::string_view event)
{
    m_text.reserve(256);
    m_text += "event=";
    m_text += event;
}

EventLine &EventLine::add(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (needsQuotes(value)) {
        m_text += quoted(value);
    } else {
        m_text += value;
    }
    return *this;
}

EventLine &EventLine::add(std::string_view key, std::int64_t value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    m_text += std::to_string(value);
    return *this;
}

EventLine &EventLine::add(std::string_view key, Duration value)
{
    return addNumber(key, static_cast<double>(value.count()) / 1000.0);
}

EventLine &EventLine::addNumber(std::string_view key, double value)
{
    std::array<char, 32> number{};
    std::snprintf(number.data(), number.size(), "%.3g", value);
    // "%.3g" prints numbers that round to 1000 with an exponent.
    if (value >= 999.5 || value <= -999.5) {
        std::snprintf(number.data(), number.size(), "%.0f", value);
    }
    return add(key, std::string_view(number.data()));
}

EventLog::EventLog(int descriptor) : m_descriptor(descriptor)
{
}

void EventLog::append(const EventLine &line, WallTime wall)
{
    const auto micros = wall.time_since_epoch().count();
    std::array<char, 40> time{};
    std::snprintf(time.data(), time.size(), "time=%lld.%03lld ", static_cast<long long>(micros / 1000000),
                  static_cast<long long>(micros / 1000 % 1000));
    m_buffer += time.data();
    m_buffer += line.text();
    m_buffer += '\n';
}

void EventLog::write(EventPriority priority, const EventLine &line, MonotonicTime now, WallTime wall)
{
    const auto passed = static_cast<double>((now - m_refilledAt).count()) / MicrosecondsPerSecond;
    m_tokens = std::min(MaxBurstLines, m_tokens + passed * MaxLinesPerSecond);
    m_refilledAt = now;
    const double needed = priority == EventPriority::Routine ? MaxBurstLines * ImportantReserveFraction : 1.0;
    if (m_tokens < needed || m_buffer.size() + line.text().size() > MaxBufferBytes) {
        ++m_unreportedDroppedLines;
        ++m_droppedLines;
        return;
    }
    m_tokens -= 1;
    append(line, wall);
}

void EventLog::flush(MonotonicTime now, WallTime wall)
{
    const bool due = now - m_droppedLinesReportedAt >= DroppedReportInterval;
    if (m_unreportedDroppedLines > 0 && due && m_buffer.size() < MaxBufferBytes / 2) {
        const auto droppedLines = m_unreportedDroppedLines;
        m_unreportedDroppedLines = 0;
        m_droppedLinesReportedAt = now;
        append(EventLine("log_lines_dropped").add("count", static_cast<std::int64_t>(droppedLines)), wall);
    }
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const auto count =
            ::write(m_descriptor, m_buffer.data() + written, std::min(AtomicWriteBytes, m_buffer.size() - written));
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

} // namespace Geraniumsail
