// Reads one line of a node's structured log: "time=SECONDS event=NAME key=value ...".
//
// A collector may put text before "time=", such as the name of the node; its last word is taken as the source.
#ifndef GERANIUMSAIL_CLI_LOGLINE_H
#define GERANIUMSAIL_CLI_LOGLINE_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Geraniumsail::Cli {

struct LogLine
{
    std::string source; ///< Who wrote the line; empty if the line does not say.
    double time = 0; ///< Seconds since the Unix epoch, by the clock of the source.
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< In the order of the line, unquoted.

    /// Value of a field; empty if it is missing.
    std::string_view field(std::string_view name) const;
};

/// Nothing if the text is no line of a node, or was cut.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace Geraniumsail::Cli

#endif
