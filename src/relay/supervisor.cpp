#include "relay/supervisor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Geraniumsail {

namespace asio = boost::asio;

Supervisor::Supervisor(asio::io_context &context, const Reporter &reporter) : m_context(context), m_reporter(reporter)
{
}

void Supervisor::start(const std::string &name, const Task &task)
{
    asio::co_spawn(m_context, task(), [this, name, task](const std::exception_ptr &thrown) {
        if (thrown) {
            reportUnhandled(m_reporter, name, thrown);
            restartLater(name, task);
        }
    });
}

void Supervisor::startOnce(const std::string &name, const Task &task)
{
    asio::co_spawn(m_context, task(), [this, name](const std::exception_ptr &thrown) {
        if (thrown) {
            reportUnhandled(m_reporter, name, thrown);
        }
    });
}

void Supervisor::restartLater(const std::string &name, const Task &task)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, RestartDelay);
    timer->async_wait([this, name, task, timer](const boost::system::error_code &) { start(name, task); });
}

void reportUnhandled(const Reporter &reporter, std::string_view task, const std::exception_ptr &thrown)
{
    std::string reason = "not a standard exception";
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception &e) {
        reason = e.what();
    } catch (...) {
        // The reason stays as it is.
    }
    reporter.metrics.countTaskFailure(task);
    reporter.logImportant(EventLine("task_failed").add("task", task).add("reason", reason));
}

} // namespace Geraniumsail
