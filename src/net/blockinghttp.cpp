#include "net/blockinghttp.h"

#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

asio::awaitable<HttpClient::Result> readWhole(HttpClient &client, Address address, HttpRequest request,
                                              Duration timeout)
{
    auto answer = co_await client.send(std::move(address), std::move(request), {monotonicNow() + timeout, nullptr});
    while (answer && answer->rest) {
        auto part = co_await answer->rest->next();
        if (!part) {
            co_return part.error();
        }
        answer->message.body() += *part;
        if (part->empty()) {
            answer->rest.reset();
        }
    }
    co_return answer;
}

} // namespace

HttpClient::Result sendBlocking(const Address &address, HttpRequest request, Duration timeout)
{
    asio::io_context context;
    HttpClient client(context.get_executor(), ClientLimits{});
    auto answer = asio::co_spawn(context, readWhole(client, address, std::move(request), timeout), asio::use_future);
    context.run();
    return answer.get();
}

} // namespace Geraniumsail
