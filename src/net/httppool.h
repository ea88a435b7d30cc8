// Connections of the HTTP client, pooled by address. Internal to gs-net.
#ifndef GERANIUMSAIL_NET_HTTPPOOL_H
#define GERANIUMSAIL_NET_HTTPPOOL_H

#include "net/httpclient.h"
#include "net/httpwire.h"

#include <unordered_map>
#include <vector>

namespace Geraniumsail {

struct HttpClient::Connection
{
    explicit Connection(const boost::asio::any_io_executor &executor) : stream(executor)
    {
    }

    Stream stream;
    Buffer buffer{WholeBodyLimit};
    MonotonicTime idleSince;
};

struct HttpClient::Pool
{
    std::vector<std::unique_ptr<Connection>> idle; ///< The last used is at the end and is taken first.
    std::size_t open = 0;
    std::size_t limit = 0;
};

struct HttpClient::State
{
    boost::asio::any_io_executor executor;
    ClientLimits limits;
    std::unordered_map<Address, Pool> pools;
};

/// One connection in use. It is closed on destruction unless it was given back.
class HttpClient::Lease
{
public:
    Lease(std::shared_ptr<State> state, Address address);
    Lease(const Lease &) = delete;
    Lease &operator=(const Lease &) = delete;
    ~Lease();

    /// Takes an idle connection that is still open, or makes an unconnected one; false if the pool is full. newOnly
    /// leaves the idle ones alone.
    bool acquire(bool newOnly);
    /// Only after a whole answer with nothing behind it.
    void giveBack();

    Connection &connection()
    {
        return *m_connection;
    }
    bool isConnected() const
    {
        return m_connected;
    }
    const Address &address() const
    {
        return m_address;
    }
    const ClientLimits &limits() const
    {
        return m_state->limits;
    }

private:
    std::shared_ptr<State> m_state;
    Address m_address;
    std::unique_ptr<Connection> m_connection;
    bool m_connected = false;
};

} // namespace Geraniumsail

#endif
