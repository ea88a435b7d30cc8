// Runs the tasks of a node that must go on until the process ends, such as following the configuration.
//
// An exception that leaves a detached coroutine is lost, and the task ends without a trace: the node goes on with what
// it last knew. The supervisor logs and counts the exception and starts the task again after RestartDelay. A task must
// therefore keep what it knows in members of its object and not in local variables.
#ifndef GERANIUMSAIL_RELAY_SUPERVISOR_H
#define GERANIUMSAIL_RELAY_SUPERVISOR_H

#include "relay/reporter.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>
#include <string>

namespace Geraniumsail {

class Supervisor
{
public:
    using Task = std::function<boost::asio::awaitable<void>()>;
    /// Limits the log lines and the load of a task that fails again and again.
    static constexpr auto RestartDelay = std::chrono::milliseconds(200);

    /// The supervisor and the reporter must outlive the context's run.
    Supervisor(boost::asio::io_context &context, const Reporter &reporter);

    /// Runs the task until it returns normally.
    void start(const std::string &name, const Task &task);
    /// Runs the task once; an exception is logged and counted.
    void startOnce(const std::string &name, const Task &task);

private:
    void restartLater(const std::string &name, const Task &task);

    boost::asio::io_context &m_context;
    const Reporter &m_reporter;
};

/// Logs and counts an exception that nothing else handled. task: where it came from.
void reportUnhandled(const Reporter &reporter, std::string_view task, const std::exception_ptr &thrown);

} // namespace Geraniumsail

#endif
