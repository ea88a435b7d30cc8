// Structured log on standard output: one line per event, "time=... event=... key=value ...".
//
// Lines are buffered in memory and written by flush(), which never blocks. Data that the reader of the pipe does not
// accept stays in a bounded buffer; when it is full, lines are dropped. The line rate is limited by a token bucket, of
// which a part is reserved for important lines, so that routine lines are dropped first. Dropped lines are counted and
// reported in a separate line.
#ifndef GERANIUMSAIL_RELAY_EVENTLOG_H
#define GERANIUMSAIL_RELAY_EVENTLOG_H

#include "core/units.h"

#include <string>
#include <string_view>

namespace Geraniumsail {

enum class EventPriority {
    Routine, ///< For example a successful response.
    Important, ///< A refusal, a failure, a further attempt or a state change.
};

/// Builds one log line. Values with spaces, quotes, equals signs, backslashes or control characters are
/// quoted and escaped.
class EventLine
{
public:
    explicit EventLine(std::string_view event);
    EventLine &add(std::string_view key, std::string_view value);
    EventLine &add(std::string_view key, std::int64_t value);
    /// In milliseconds, formatted as by addNumber().
    EventLine &add(std::string_view key, Duration value);
    /// With three significant digits, or as a whole number from 1000 on.
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
    /// Token bucket: average rate and burst size. At the request rates of the deployments the average allows about ten
    /// lines per request; at 200 bytes per line it is 60 kB/s.
    static constexpr double MaxLinesPerSecond = 300;
    static constexpr double MaxBurstLines = 600;
    /// Routine lines are dropped while less than this fraction of the burst is available.
    static constexpr double ImportantReserveFraction = 0.4;
    /// Limit on data that the reader has not accepted yet.
    static constexpr std::size_t MaxBufferBytes = 256UL * 1024;

    /// Interval between reports of dropped lines.
    static constexpr Duration DroppedReportInterval = std::chrono::seconds(1);

    /// Writes to the given file descriptor. Does not change its flags or close it.
    explicit EventLog(int descriptor);

    void write(EventPriority priority, const EventLine &line, MonotonicTime now, WallTime wall);
    /// Writes as much as the descriptor accepts without blocking.
    void flush(MonotonicTime now, WallTime wall);
    std::uint64_t droppedLines() const
    {
        return m_droppedLines;
    }

private:
    void append(const EventLine &line, WallTime wall);

    int m_descriptor;
    std::string m_buffer;
    double m_tokens = MaxBurstLines;
    MonotonicTime m_refilledAt;
    std::uint64_t m_unreportedDroppedLines = 0;
    std::uint64_t m_droppedLines = 0;
    MonotonicTime m_droppedLinesReportedAt;
};

} // namespace Geraniumsail

#endif
