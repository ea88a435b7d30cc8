// One caller's request of the load program: tickets, resends, and the check of the answer.
#ifndef GERANIUMSAIL_STANDIN_LOADCALLER_H
#define GERANIUMSAIL_STANDIN_LOADCALLER_H

#include "net/httpclient.h"
#include "standin/loadresults.h"

#include <boost/asio/any_io_executor.hpp>

#include <string>

namespace Geraniumsail::Standin {

/// What differs between two requests of a stream.
struct RequestIdentity
{
    std::string token; ///< Unique in the run.
    std::string caller;
    Address entry;
};

class LoadCaller
{
public:
    LoadCaller(HttpClient &client, TokenClaims &claims);

    /// Sends the request until it has its answer or its resends are used up.
    ///
    /// An unrepeatable request keeps one token. It is sent again with the same ticket while its outcome is unknown, and
    /// with a fresh ticket only after it was told that it was not run. A repeatable one has a token for each attempt.
    boost::asio::awaitable<RequestEnd> send(const LoadStream &stream, RequestIdentity identity);

private:
    struct Exchange
    {
        RequestEnd end;
        std::string ticket; ///< Offered with TicketRequired.
    };

    boost::asio::awaitable<Exchange> exchange(const LoadStream &stream, const RequestIdentity &identity,
                                              const std::string &token, const std::string &ticket);
    boost::asio::awaitable<Exchange> exchangeOnce(const LoadStream &stream, const RequestIdentity &identity,
                                                  std::string &ticket);

    HttpClient &m_client;
    TokenClaims &m_claims;
};

} // namespace Geraniumsail::Standin

#endif
