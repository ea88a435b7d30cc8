// In-process fake of the platform's metadata store, written from its protocol description, with fault injection.
#ifndef GERANIUMSAIL_TESTS_PLATFORM_FAKESTORE_H
#define GERANIUMSAIL_TESTS_PLATFORM_FAKESTORE_H

#include "config/jsonfields.h"
#include "net/clock.h"
#include "net/httpserver.h"
#include "platform/values.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
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
    /// Writes as the operator does, unaffected by injected faults.
    void put(const std::string &key, const std::string &value);
    bool has(const std::string &key) const
    {
        return m_items.contains(key);
    }
    std::string valueOf(const std::string &key) const;
    /// Expires all leases immediately, without a request that shows it.
    void revokeLeases();
    /// Discards the history, so that watches get 410 until the keys are read again.
    void compact();

    /// Everything that the store holds. restore() puts it in place, as the platform does with a copy.
    struct Copy;
    std::shared_ptr<const Copy> copy() const;
    void restore(const Copy &copy);

    bool unavailable = false; ///< Every request gets 503.
    bool refusesWatches = false; ///< Every watch gets 410.
    bool statesEra = true; ///< Answers have the header "Store-Era".
    std::uint64_t era = 1; ///< As stated; restore() raises it.
    std::size_t pageSize = 500; ///< Items in one range response.
    int lostWriteResponses = 0; ///< Number of next writes that take effect but get no response in time.
    std::map<std::string, int> calls; ///< By path.
    std::map<std::string, int> watches; ///< By prefix.
    std::map<std::string, int> reads; ///< Of single keys, by key.

private:
    struct Item
    {
        std::string value; ///< Base64.
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    boost::asio::awaitable<HttpResponse> answer(HttpRequest request);
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
    HttpResponse read(const std::string &key) const;
    HttpResponse range(const std::string &prefix, const std::string &after) const;
    boost::asio::awaitable<HttpResponse> watch(std::string prefix, std::uint64_t after, int waitMs);
    boost::asio::awaitable<HttpResponse> transact(std::string body);
    void change(const std::string &key, const std::string &base64, std::uint64_t lease);
    void remove(const std::string &key);
    void expireLeases();

    boost::asio::io_context &m_context;
    HttpServer m_server;
    Address m_address;
    std::map<std::string, Item> m_items;
    std::vector<Json> m_history;
    std::map<std::uint64_t, std::pair<MonotonicTime, Duration>> m_leases; ///< Expiry and lifetime by lease.
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedAt = 0;
    std::uint64_t m_nextLease = 100;
};

struct FakeStore::Copy
{
    std::map<std::string, Item> items;
    std::map<std::uint64_t, std::pair<MonotonicTime, Duration>> leases;
    std::uint64_t revision = 0;
    std::uint64_t nextLease = 0;
};

} // namespace Geraniumsail

#endif
