// Announces a stand-in upstream to its node every second, and at once when its state changes.
#ifndef GERANIUMSAIL_STANDIN_ANNOUNCER_H
#define GERANIUMSAIL_STANDIN_ANNOUNCER_H

#include "core/ids.h"
#include "core/units.h"
#include "net/httpclient.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace Geraniumsail::Standin {

/// What an upstream says about itself.
struct AnnouncedState
{
    bool draining = false;
    bool shedding = false;
};

struct AnnouncedFacts
{
    ServiceName service;
    Address address;
    Slots slots;
    Connections connections;
    Duration coldStart{};
};

class Announcer
{
public:
    Announcer(const boost::asio::any_io_executor &executor, HttpClient &client, Address node, AnnouncedFacts facts);

    /// Announces until stop(); runs as one coroutine.
    boost::asio::awaitable<void> run();
    void stop();

    void setState(AnnouncedState state);
    /// Announcements tell the state of that time ago.
    void setLag(Duration lag);
    /// False: the node hears nothing any more, as from an upstream that lost its network.
    void setEnabled(bool enabled);
    /// Announcements that the node accepted.
    std::uint64_t accepted() const;
    /// Accepted announcements that said that the upstream is draining.
    std::uint64_t drainsAccepted() const;

private:
    struct Change
    {
        MonotonicTime at;
        AnnouncedState state;
    };

    AnnouncedState stateToTell() const;
    boost::asio::awaitable<void> announce();

    boost::asio::steady_timer m_timer;
    HttpClient &m_client;
    Address m_node;
    AnnouncedFacts m_facts;
    std::deque<Change> m_changes;
    Duration m_lag{};
    bool m_enabled = true;
    bool m_stopped = false;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_drainsAccepted = 0;
};

} // namespace Geraniumsail::Standin

#endif
