// A stand-in of the platform's metadata store, written from its protocol page, with faults that a test switches.
#ifndef GERANIUMSAIL_TESTS_PLATFORM_FAKESTORE_H
#define GERANIUMSAIL_TESTS_PLATFORM_FAKESTORE_H

#include "net/clock.h"
#include "net/httpserver.h"
#include "platform/fields.h"
#include "platform/values.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>

namespace Geraniumsail {

class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &context);

    Address address() const
    {
        return m_address;
    }
    /// Writes as the operator does, past all faults.
    void put(const std::string &key, const std::string &value);
    bool has(const std::string &key) const
    {
        return m_items.contains(key);
    }
    std::string valueOf(const std::string &key) const;
    /// Ends all leases at once; no request shows it.
    void revokeLeases();
    /// Drops all history, so that watches are answered 410 until they read again.
    void compact();

    bool refuse = false; ///< Answers 503 to everything.
    int loseWriteAnswers = 0; ///< So many next writes are done and not answered in time.
    std::map<std::string, int> calls; ///< By path.
    std::map<std::string, int> watches; ///< By prefix.

private:
    struct Item
    {
        std::string value; ///< Base64.
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
    HttpResponse read(const std::string &key) const;
    HttpResponse range(const std::string &prefix) const;
    boost::asio::awaitable<HttpResponse> watch(std::string prefix, std::uint64_t after, int waitMs);
    boost::asio::awaitable<HttpResponse> transact(std::string body);
    void change(const std::string &key, const std::string &base64, std::uint64_t lease);
    void remove(const std::string &key);
    void expireLeases();

    boost::asio::io_context &m_context;
    HttpServer m_server;
    Address m_address;
    std::map<std::string, Item> m_items;
    std::vector<Platform::Json> m_history;
    std::map<std::uint64_t, std::pair<MonotonicTime, Duration>> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedAt = 0;
    std::uint64_t m_nextLease = 100;
};

} // namespace Geraniumsail

#endif
