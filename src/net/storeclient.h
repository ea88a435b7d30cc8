// Client of the platform's key-value store (docs/design.md, section 10).
//
// Every call is made once and counted; retries belong to the callers, which know whether a write may be repeated.
// Any answer that is not one of the protocol's is Failed: a write may have taken effect.
#ifndef GERANIUMSAIL_NET_STORECLIENT_H
#define GERANIUMSAIL_NET_STORECLIENT_H

#include "core/storecall.h"
#include "net/httpclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Geraniumsail {

struct StoreCounters
{
    std::uint64_t calls = 0; ///< A waiting watch is one call.
    std::uint64_t failures = 0;
    std::uint64_t bytesSent = 0; ///< Bodies only.
    std::uint64_t bytesReceived = 0;
};

class StoreClient
{
public:
    StoreClient(boost::asio::any_io_executor executor, Address store);

    /// The lease is used by Put only.
    boost::asio::awaitable<StoreResult> call(StoreCall call, std::string lease = {});
    /// Id of a new lease, or nothing.
    boost::asio::awaitable<std::optional<std::string>> grantLease(Duration time);
    /// False if the lease is gone; nothing if the store did not answer.
    boost::asio::awaitable<std::optional<bool>> renewLease(std::string lease);
    /// Keys and values with the prefix, or nothing if the store did not answer.
    boost::asio::awaitable<std::optional<std::vector<std::pair<std::string, std::string>>>> list(std::string prefix);

    const StoreCounters &counters() const;
    void closeIdle(MonotonicTime now);

private:
    struct Answer
    {
        unsigned status = 0; ///< 0: no whole answer.
        std::string body;
    };

    boost::asio::awaitable<Answer> exchange(boost::beast::http::verb method, std::string target, std::string body,
                                            Duration timeout);

    HttpClient m_client;
    Address m_store;
    StoreCounters m_counters;
};

} // namespace Geraniumsail

#endif
