// Start and end of the stand-in programs.
#ifndef GERANIUMSAIL_STANDIN_PROCESS_H
#define GERANIUMSAIL_STANDIN_PROCESS_H

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Geraniumsail::Standin {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;

/// Calls the function at the first SIGTERM or SIGINT. The object must live as long as the io_context runs.
class StopSignal
{
public:
    StopSignal(boost::asio::io_context &context, std::function<void()> onStop);
    ~StopSignal();
    StopSignal(const StopSignal &) = delete;
    StopSignal &operator=(const StopSignal &) = delete;

    /// Stops waiting, so that the io_context can run out of work.
    void cancel();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// The whole text of a file, or nothing after an error line on the standard error output.
std::optional<std::string> readFile(const std::string &path);

} // namespace Geraniumsail::Standin

#endif
