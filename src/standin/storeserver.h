// Stand-in for the platform's key-value store: HTTP/JSON protocol, counts and fault switches (docs/design.md, 10).
#ifndef GERANIUMSAIL_STANDIN_STORESERVER_H
#define GERANIUMSAIL_STANDIN_STORESERVER_H

#include "core/ids.h"
#include "net/httpserver.h"
#include "standin/http.h"
#include "standin/storemodel.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace Geraniumsail::Standin {

/// Switches of POST /standin/faults; a field that is absent keeps its value.
struct StoreFaults
{
    bool down = false; ///< Answers 503 and does nothing.
    bool silent = false; ///< Does nothing and answers only after the caller gave up.
    Duration delay{}; ///< Before each call takes effect.
    std::uint64_t loseAnswers = 0; ///< Number of further writes that take effect and whose answer is lost.
    std::uint64_t readsPerSecond = 0; ///< 429 above this rate; 0 is no limit.
    std::uint64_t writesPerSecond = 0;
};

/// Calls since the start; rates are of the fullest second.
struct StoreCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t rejected = 0;
    std::uint64_t peakReadsPerSecond = 0; ///< Including watches.
    std::uint64_t peakWritesPerSecond = 0;
};

class StoreServer
{
public:
    explicit StoreServer(const boost::asio::any_io_executor &executor);

    /// Returns the bound address.
    Address listen(const Address &address);
    void stop();

    StoreModel &model()
    {
        return m_model;
    }
    StoreFaults &faults()
    {
        return m_faults;
    }
    const StoreCounts &counts() const
    {
        return m_counts;
    }

private:
    using Answer = boost::asio::awaitable<HttpResponse>;

    Answer handle(HttpRequest request, RequestScope &scope);
    Answer dispatch(const std::string &method, const Target &target, const std::string &body, RequestScope &scope);
    Answer watch(const Target &target, const std::string &key, RequestScope &scope);
    HttpResponse read(const std::string &path);
    HttpResponse write(const std::string &method, const Target &target, const std::string &body);
    HttpResponse put(const std::string &key, const std::string &body);
    HttpResponse lease(const std::string &path, const std::string &body);
    HttpResponse control(const std::string &method, const std::string &path, const std::string &body);
    HttpResponse setFaults(const std::string &body);
    HttpResponse showCounts() const;
    /// Counts a call; false if it is above the rate.
    bool admit(bool isWrite, bool isWatch);
    void wake(const std::string &key);

    boost::asio::any_io_executor m_executor;
    StoreModel m_model;
    StoreFaults m_faults;
    StoreCounts m_counts;
    std::int64_t m_second = 0;
    std::uint64_t m_readsInSecond = 0;
    std::uint64_t m_writesInSecond = 0;
    std::multimap<std::string, boost::asio::steady_timer *> m_watches;
    HttpServer m_server;
};

} // namespace Geraniumsail::Standin

#endif
