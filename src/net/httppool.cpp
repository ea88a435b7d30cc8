#include "net/httppool.h"

#include "net/clock.h"

namespace Geraniumsail {

HttpClient::Lease::Lease(std::shared_ptr<State> state, Address address)
    : m_state(std::move(state)), m_address(std::move(address))
{
}

HttpClient::Lease::~Lease()
{
    if (m_connection) {
        m_connection->stream.close();
        --m_state->pools[m_address].open;
    }
}

bool HttpClient::Lease::acquire(bool newOnly)
{
    auto &pool = m_state->pools[m_address];
    const auto oldest = monotonicNow() - m_state->limits.idle;
    while (!newOnly && !pool.idle.empty()) {
        auto candidate = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (candidate->idleSince >= oldest && peekSocket(candidate->stream.socket()) == SocketState::Quiet) {
            m_connection = std::move(candidate);
            m_connected = true;
            return true;
        }
        candidate->stream.close();
        --pool.open;
    }
    if (pool.limit > 0 && pool.open >= pool.limit) {
        return false;
    }
    ++pool.open;
    m_connection = std::make_unique<Connection>(m_state->executor);
    return true;
}

void HttpClient::Lease::giveBack()
{
    auto &pool = m_state->pools[m_address];
    const bool overLimit = pool.limit > 0 && pool.open > pool.limit;
    if (pool.idle.size() >= m_state->limits.idlePerAddress || overLimit) {
        return;
    }
    m_connection->stream.expires_never();
    m_connection->idleSince = monotonicNow();
    pool.idle.push_back(std::move(m_connection));
}

void HttpClient::setConnectionLimit(const Address &address, std::size_t limit)
{
    m_state->pools[address].limit = limit;
}

std::size_t HttpClient::openConnections(const Address &address) const
{
    const auto pool = m_state->pools.find(address);
    return pool == m_state->pools.end() ? 0 : pool->second.open;
}

std::size_t HttpClient::idleConnections(const Address &address) const
{
    const auto pool = m_state->pools.find(address);
    return pool == m_state->pools.end() ? 0 : pool->second.idle.size();
}

void HttpClient::dropIdle(const Address &address)
{
    const auto pool = m_state->pools.find(address);
    if (pool != m_state->pools.end()) {
        pool->second.open -= pool->second.idle.size();
        pool->second.idle.clear();
    }
}

void HttpClient::closeIdle(MonotonicTime now)
{
    for (auto &[address, pool] : m_state->pools) {
        const auto closed = std::erase_if(pool.idle, [&](const std::unique_ptr<Connection> &connection) {
            const bool old = now - connection->idleSince > m_state->limits.idle;
            return old || peekSocket(connection->stream.socket()) != SocketState::Quiet;
        });
        pool.open -= closed;
    }
    std::erase_if(m_state->pools, [](const auto &entry) { return entry.second.open == 0 && entry.second.limit == 0; });
}

} // namespace Geraniumsail
