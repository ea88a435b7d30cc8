#include "standin/announcer.h"

#include "net/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace Geraniumsail::Standin {

namespace asio = boost::asio;

namespace {

constexpr auto Interval = std::chrono::seconds(1);
constexpr auto AnnounceTimeout = std::chrono::milliseconds(900);

} // namespace

Announcer::Announcer(const asio::any_io_executor &executor, HttpClient &client, Address node, AnnouncedFacts facts)
    : m_timer(executor), m_client(client), m_node(std::move(node)), m_facts(std::move(facts))
{
    m_changes.push_back({monotonicNow(), {}});
}

asio::awaitable<void> Announcer::run()
{
    while (!m_stopped) {
        // Started before the announcement, so that a slow node does not lengthen the interval.
        m_timer.expires_after(Interval);
        if (m_enabled) {
            co_await announce();
        }
        if (m_stopped) {
            break;
        }
        boost::system::error_code error;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<void> Announcer::announce()
{
    const auto state = stateToTell();
    const nlohmann::json body{
        {"service", m_facts.service.value()},
        {"address", m_facts.address.value()},
        {"slots", m_facts.slots.value()},
        {"connections", m_facts.connections.value()},
        {"coldStartMs", std::chrono::duration_cast<std::chrono::milliseconds>(m_facts.coldStart).count()},
        {"state", state.draining ? "draining" : "up"},
        {"shedding", state.shedding}};
    auto request = makeRequest(boost::beast::http::verb::post, "/geraniumsail/announce", m_node.value(), body.dump());
    request.message.set(boost::beast::http::field::content_type, "application/json");
    const auto answer = co_await m_client.send(m_node, std::move(request), {monotonicNow() + AnnounceTimeout, nullptr});
    if (answer && answer->message.result_int() < 300) {
        ++m_accepted;
        m_drainsAccepted += state.draining ? 1 : 0;
    }
}

AnnouncedState Announcer::stateToTell() const
{
    const auto until = monotonicNow() - m_lag;
    auto state = m_changes.front().state;
    for (const auto &change : m_changes) {
        if (change.at <= until) {
            state = change.state;
        }
    }
    return state;
}

void Announcer::setState(AnnouncedState state)
{
    m_changes.push_back({monotonicNow(), state});
    m_timer.cancel();
}

void Announcer::setLag(Duration lag)
{
    m_lag = lag;
}

void Announcer::setEnabled(bool enabled)
{
    m_enabled = enabled;
}

void Announcer::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

std::uint64_t Announcer::accepted() const
{
    return m_accepted;
}

std::uint64_t Announcer::drainsAccepted() const
{
    return m_drainsAccepted;
}

} // namespace Geraniumsail::Standin
