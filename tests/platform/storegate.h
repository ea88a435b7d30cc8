// Stands between a node and the fake store, to disturb the calls of that node alone.
#ifndef GERANIUMSAIL_TESTS_PLATFORM_STOREGATE_H
#define GERANIUMSAIL_TESTS_PLATFORM_STOREGATE_H

#include "net/clock.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/httpwire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Geraniumsail {

class StoreGate
{
public:
    StoreGate(boost::asio::io_context &context, Address store)
        : m_context(context), m_client(context.get_executor(), ClientLimits{}), m_store(std::move(store)),
          m_server(context.get_executor(), ServerLimits{},
                   [this](HttpRequest request, RequestScope &) { return forward(std::move(request)); }),
          address(m_server.listen(Address("127.0.0.1:0")))
    {
    }

private:
    /// Longer than the timeout of any caller.
    static constexpr auto LostAnswerDelay = std::chrono::seconds(10);
    static constexpr auto HoldInterval = std::chrono::milliseconds(5);

    boost::asio::awaitable<HttpResponse> forward(HttpRequest request)
    {
        if (refuses) {
            co_return makeResponse(503, "application/json", "{}");
        }
        ExchangeOptions options;
        options.deadline = monotonicNow() + std::chrono::seconds(5);
        auto response = co_await m_client.send(m_store, std::move(request), options);
        if (losesAnswers) {
            boost::asio::steady_timer timer(m_context, LostAnswerDelay);
            co_await timer.async_wait(AsTuple);
        }
        while (holdsAnswers) {
            boost::asio::steady_timer timer(m_context, HoldInterval);
            co_await timer.async_wait(AsTuple);
        }
        if (refuses || !response) {
            co_return makeResponse(503, "application/json", "{}");
        }
        co_return std::move(*response);
    }

    boost::asio::io_context &m_context;
    HttpClient m_client;
    Address m_store;
    HttpServer m_server;

public:
    Address address;
    bool refuses = false; ///< Every request gets 503.
    bool holdsAnswers = false; ///< Answers that are due meanwhile arrive later.
    bool losesAnswers = false; ///< Answers that are due meanwhile never arrive; their connections stay open.
};

} // namespace Geraniumsail

#endif
