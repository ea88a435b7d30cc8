// Command explain: from the id of a request to what decided its outcome, by the logs of the nodes.
#include "cli/commands.h"
#include "cli/timeline.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <fstream>
#include <iomanip>
#include <iostream>

namespace Geraniumsail::Cli {

namespace {

void printJson(const Timeline &timeline)
{
    auto lines = nlohmann::json::array();
    for (const auto &line : timeline.lines()) {
        auto fields = nlohmann::json::object();
        for (const auto &[name, value] : line.fields) {
            fields[name] = value;
        }
        lines.push_back({{"time", line.time}, {"node", line.source}, {"event", line.event}, {"fields", fields}});
    }
    const nlohmann::json result{{"cause", timeline.cause()}, {"lines", lines}, {"unreadable", timeline.unreadable()}};
    std::cout << result.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
}

void printText(const Timeline &timeline)
{
    const auto lines = timeline.lines();
    const double start = lines.front().time;
    for (const auto &line : lines) {
        std::cout << std::fixed << std::setprecision(3) << std::setw(8) << line.time - start << " s  " << line.source
                  << "  " << line.field("id") << "  " << describeLine(line) << "\n";
    }
    const auto cause = timeline.cause();
    std::cout << "cause: " << (cause.empty() ? "not known, the line of its answer is missing" : cause) << std::endl;
}

} // namespace

int explain(const std::string &requestId, const std::vector<std::string> &logs, bool json)
{
    Timeline timeline(requestId);
    const bool interactive = ::isatty(STDERR_FILENO) == 1;
    const auto progress = [interactive](std::uint64_t count) {
        if (interactive) {
            std::cerr << count << " lines read" << std::endl;
        }
    };
    if (logs.empty()) {
        timeline.read(std::cin, "stdin", progress);
    }
    for (const auto &path : logs) {
        std::ifstream log(path);
        if (!log) {
            std::cerr << path << ": cannot be read" << std::endl;
            return ExitRefused;
        }
        timeline.read(log, path, progress);
    }
    if (timeline.unreadable() > 0) {
        std::cerr << timeline.unreadable() << " lines with this id could not be read" << std::endl;
    }
    if (timeline.lines().empty()) {
        std::cerr << "no line about request \"" << requestId
                  << "\"; ordinary answers are dropped from the logs first under load" << std::endl;
        return ExitRefused;
    }
    if (json) {
        printJson(timeline);
    } else {
        printText(timeline);
    }
    return ExitDone;
}

} // namespace Geraniumsail::Cli
