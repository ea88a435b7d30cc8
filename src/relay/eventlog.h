// Structured log on standard output: one line per event, "time=... event=... key=value ...".
//
// Lines are collected in memory and written by flush(), which never waits: bytes that the reader of the pipe does not
// take stay in a bounded buffer, and lines beyond it are dropped. The number of lines a second is bounded as well.
// Routine lines are dropped first; lines about lost work and changed beliefs use the whole budget. Dropped lines are
// counted and reported in a line of their own.
#ifndef GERANIUMSAIL_RELAY_EVENTLOG_H
#define GERANIUMSAIL_RELAY_EVENTLOG_H

#include "core/units.h"

#include <string>
#include <string_view>

namespace Geraniumsail {

enum class EventWeight {
    Routine, ///< An ordinary answer.
    Important, ///< A refusal, a failure, a repeat, or a changed belief.
};

/// One line under construction. Values with spaces, quotes or control characters are quoted and escaped.
class EventLine
{
public:
    explicit EventLine(std::string_view event);
    EventLine &add(std::string_view key, std::string_view value);
    EventLine &add(std::string_view key, std::int64_t value);
    /// In milliseconds with one decimal.
    EventLine &add(std::string_view key, Duration value);
    EventLine &addNumber(std::string_view key, double value);
    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

class EventLog
{
public:
    /// Lines a second on average, and at once after a quiet time. About ten lines for each request that one node
    /// carries at the rates of the deployments; at 200 bytes a line 60 kB/s.
    static constexpr double LinesPerSecond = 300;
    static constexpr double Burst = 600;
    /// Routine lines stop when less than this part of the burst is left.
    static constexpr double RoutineReserve = 0.4;
    /// Bytes kept for a reader that does not take them.
    static constexpr std::size_t BufferLimit = 256UL * 1024;

    /// Between two lines about dropped lines.
    static constexpr Duration DroppedInterval = std::chrono::seconds(1);

    /// Writes to this file descriptor, which is not changed or closed.
    explicit EventLog(int descriptor);

    void write(EventWeight weight, const EventLine &line, MonotonicTime now, WallTime wall);
    /// Writes what the descriptor takes without waiting.
    void flush(MonotonicTime now, WallTime wall);
    std::uint64_t dropped() const
    {
        return m_droppedTotal;
    }

private:
    void append(const EventLine &line, WallTime wall);

    int m_descriptor;
    std::string m_buffer;
    double m_tokens = Burst;
    MonotonicTime m_refilledAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTotal = 0;
    MonotonicTime m_droppedReportedAt;
};

} // namespace Geraniumsail

#endif
