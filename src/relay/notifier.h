// Lets coroutines of one context wait for a change of state, with a time limit.
#ifndef GERANIUMSAIL_RELAY_NOTIFIER_H
#define GERANIUMSAIL_RELAY_NOTIFIER_H

#include "net/clock.h"
#include "net/httpwire.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace Geraniumsail {

class Notifier
{
public:
    explicit Notifier(boost::asio::any_io_executor executor) : m_executor(std::move(executor))
    {
    }
    Notifier(const Notifier &) = delete;
    Notifier &operator=(const Notifier &) = delete;

    /// Completes at the next notifyAll(), at the latest at the given time.
    boost::asio::awaitable<void> wait(MonotonicTime until)
    {
        boost::asio::steady_timer timer(m_executor, toSteady(until));
        m_timers.insert(&timer);
        co_await timer.async_wait(AsTuple);
        m_timers.erase(&timer);
    }
    void notifyAll()
    {
        for (auto *timer : m_timers) {
            timer->cancel();
        }
    }

private:
    boost::asio::any_io_executor m_executor;
    std::set<boost::asio::steady_timer *> m_timers; ///< One per waiting coroutine.
};

} // namespace Geraniumsail

#endif
