// Joins the log lines of all nodes about one request into a timeline, and names what decided its outcome.
//
// The ids of calls that an upstream made for a request extend the id of the request by a dot and more, so a timeline
// holds the whole call tree. Lines are ordered by the clocks of their nodes, which may differ by some milliseconds.
#ifndef GERANIUMSAIL_CLI_TIMELINE_H
#define GERANIUMSAIL_CLI_TIMELINE_H

#include "cli/logline.h"

#include <cstdint>
#include <istream>

namespace Geraniumsail::Cli {

class Timeline
{
public:
    explicit Timeline(std::string requestId);

    /// Reads a log to its end. source: who wrote lines that do not say it themselves. progress is called with the
    /// number of lines after every ProgressLines.
    template <typename Progress>
    void read(std::istream &log, const std::string &source, const Progress &progress)
    {
        std::string text;
        std::uint64_t count = 0;
        while (std::getline(log, text)) {
            add(text, source);
            if (++count % ProgressLines == 0) {
                progress(count);
            }
        }
    }
    static constexpr std::uint64_t ProgressLines = 1000000;

    /// Lines about the request and its calls, in order of time.
    std::vector<LogLine> lines() const;
    /// One sentence about what decided the outcome of the request; empty without its final line.
    std::string cause() const;
    /// Lines with the id that could not be read: cut, or not written by a node.
    std::uint64_t unreadable() const
    {
        return m_unreadable;
    }

private:
    void add(std::string_view text, const std::string &source);
    const LogLine *finalLine() const;

    std::string m_id;
    std::vector<LogLine> m_lines;
    std::uint64_t m_unreadable = 0;
};

/// One line of a timeline in words.
std::string describeLine(const LogLine &line);

} // namespace Geraniumsail::Cli

#endif
