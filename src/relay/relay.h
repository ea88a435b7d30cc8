// A relay node: listeners, the entry and target sides, and the life of the process.
//
// Stop: after beginStop() the node answers "not ready", asks callers to reconnect elsewhere with Connection: close and
// refuses requests of other nodes. Its own listener stays open for AcceptTime, because callers go on sending until two
// readiness checks have failed. The node ends when nothing is in flight, at the latest shortly before stopGrace.
#ifndef GERANIUMSAIL_RELAY_RELAY_H
#define GERANIUMSAIL_RELAY_RELAY_H

#include "core/configurationsources.h"
#include "net/httpserver.h"
#include "relay/configurationfeed.h"
#include "relay/entryside.h"
#include "relay/relaysettings.h"
#include "relay/targetside.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Geraniumsail {

class Relay
{
public:
    /// Time after beginStop() during which new requests are accepted: two readiness checks, one a second.
    static constexpr Duration AcceptTime = std::chrono::milliseconds(2800);

    /// announcements handles requests of the upstream beside this node; it belongs to the protocol of a deployment.
    Relay(boost::asio::io_context &context, RelaySettings settings, HeaderNames names,
          HttpServer::Handler announcements);

    /// Opens all listeners; throws boost::system::system_error.
    void start();
    void beginStop();
    /// Completes when the node has stopped serving.
    boost::asio::awaitable<void> stopped();

    ReportVerdict onUpstreamReport(const UpstreamReport &report);
    ReportVerdict onUpstreamLeave(const UpstreamId &id, std::int64_t startedMs);
    /// Takes over a newer configuration; false if it is not newer. text: the document, for other nodes.
    bool onConfiguration(RouteTable table, std::string text, std::string_view source);
    /// Version in force; 0 before the first.
    ConfigVersion configurationVersion() const
    {
        return m_entry.routes().version();
    }
    ConfigurationFeed &configurationFeed()
    {
        return m_feed;
    }
    /// The node from which to follow the configuration; nothing for the store.
    struct ConfigurationPeer
    {
        NodeName node;
        Address address;
    };
    std::optional<ConfigurationPeer> configurationPeer() const;
    /// Whether other nodes follow the configuration from this one.
    bool readsConfigurationForOthers() const;
    void onConfigurationPeerFailed(const NodeName &node, std::string_view reason);

    /// The own entry as it should be published; nothing before the first report of the upstream.
    std::optional<DirectoryEntry> ownEntry() const;
    /// Called after each change of ownEntry().
    void observeOwnEntry(std::function<void()> observer);

    /// Called during a stop, when the node accepts no requests any more.
    void observeAcceptEnd(std::function<void()> observer);

    void onEntry(const DirectoryEntry &entry, std::uint64_t revision);
    void onEntryGone(const NodeName &node, std::uint64_t revision);
    void onAllEntries(const std::vector<std::pair<DirectoryEntry, std::uint64_t>> &entries, std::uint64_t revision);
    /// The store became reachable or unreachable.
    void onStoreState(bool up, std::string_view operation, std::string_view reason);

    const Reporter &reporter() const
    {
        return m_reporter;
    }
    const RelaySettings &settings() const
    {
        return m_settings;
    }

private:
    boost::asio::awaitable<HttpResponse> handlePeer(HttpRequest request, RequestScope &scope);
    boost::asio::awaitable<HttpResponse> handleCaller(HttpRequest request, RequestScope &scope);
    boost::asio::awaitable<HttpResponse> handleReady();
    boost::asio::awaitable<HttpResponse> handleMetrics();
    boost::asio::awaitable<void> tickLoop();
    void reportEntryChange(const NodeName &node, DirectoryChange change, std::uint64_t revision);
    void notifyOwnEntry();

    boost::asio::io_context &m_context;
    RelaySettings m_settings;
    HeaderNames m_names;
    EventLog m_log;
    RelayMetrics m_metrics;
    Reporter m_reporter;
    TargetSide m_target;
    EntrySide m_entry;
    ConfigurationFeed m_feed;
    ConfigurationSources m_sources;
    HttpServer m_callers;
    HttpServer m_peers;
    HttpServer m_ready;
    HttpServer m_announcements;
    HttpServer m_metricsServer;
    std::function<void()> m_ownEntryObserver;
    std::function<void()> m_acceptEndObserver;
    std::int64_t m_startedMs;
    std::optional<bool> m_storeUp;
    bool m_stopping = false;
    std::size_t m_active = 0; ///< Requests of callers and nodes in flight.
};

} // namespace Geraniumsail

#endif
