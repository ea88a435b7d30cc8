// A relay node: its listeners, RequestRouter, UpstreamProxy, and the start and stop of the process.
//
// After beginStop() the node reports "not ready", makes callers reconnect to other nodes by sending Connection: close,
// and refuses requests of other nodes. It still accepts requests of callers for AcceptTimeAfterStop, because callers
// keep sending until two readiness checks have failed. Requests that it has read later are refused if they might not
// end before the process does. The node stops when no request is in progress, at the latest shortly before stopGrace
// has passed.
#ifndef GERANIUMSAIL_RELAY_RELAY_H
#define GERANIUMSAIL_RELAY_RELAY_H

#include "core/pausedetector.h"
#include "core/storereaders.h"
#include "net/httpserver.h"
#include "relay/relaysettings.h"
#include "relay/requestrouter.h"
#include "relay/storefeed.h"
#include "relay/supervisor.h"
#include "relay/upstreamproxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Geraniumsail {

class Relay
{
public:
    /// Time after beginStop() during which new requests are accepted: callers check readiness once a second, and stop
    /// sending after two failed checks.
    static constexpr Duration AcceptTimeAfterStop = std::chrono::milliseconds(2800);

    /// announcements handles the reports of the upstream beside this node, whose protocol depends on the deployment.
    Relay(boost::asio::io_context &context, RelaySettings settings, HeaderNames names,
          HttpServer::Handler announcements);

    /// Opens all listeners. Throws boost::system::system_error on failure.
    void start();
    void beginStop();
    /// Completes when the node has stopped after beginStop().
    boost::asio::awaitable<void> stopped();

    ReportVerdict onUpstreamReport(const UpstreamReport &report);
    ReportVerdict onUpstreamDeregistration(const UpstreamId &id, std::int64_t startedMs);
    /// Incarnations of the upstream beside this node that were acknowledged as draining or gone.
    const LeaveRecord &leaves() const
    {
        return m_upstreamProxy.gate().leaves();
    }
    /// Delivers nothing to the upstream, and publishes no entry, until onEarlierLeavesKnown().
    void awaitEarlierLeaves();
    bool awaitsEarlierLeaves() const
    {
        return m_upstreamProxy.gate().awaitsEarlierLeaves();
    }
    /// Earlier processes of this node had acknowledged these leaves.
    void restoreLeaves(const LeaveRecord &record, std::string_view source);
    void onEarlierLeavesKnown();
    /// The observer is called when leaves() may have changed.
    void setLeaveObserver(std::function<void()> observer);
    /// The handler serves the requests by which other nodes hand over leaves (relay/leavehandover.h).
    void setLeaveHandoverHandler(std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)> handler);
    bool isStopping() const
    {
        return m_stopping;
    }
    /// Applies a configuration; returns false if it is not newer than the current one. text is the encoded document,
    /// which is passed on to other nodes.
    bool onConfiguration(RouteTable table, std::string text, std::string_view source);
    void onInvalidConfiguration(std::string_view problem, std::string_view source);
    /// Current version; 0 before the first configuration.
    ConfigVersion configurationVersion() const
    {
        return m_router.routes().version();
    }
    StoreFeed &storeFeed()
    {
        return m_storeFeed;
    }
    /// A node from which the store's content can be followed.
    struct StoreSource
    {
        NodeName node;
        Address address;
    };
    /// Returns the node to follow; nothing if the store is to be followed.
    std::optional<StoreSource> storeSource() const;
    /// Whether the data centre has enough known nodes to share what one of them reads from the store.
    bool sharesStore() const;
    /// Whether other nodes may follow this one.
    bool isStoreReader() const;
    void onStoreSourceFailed(const NodeName &node, std::string_view reason);
    void onStoreSourceAnswered(const NodeName &node);

    /// Returns the directory entry of this node; nothing before the first report of the upstream, and until it is known
    /// which incarnations had left.
    std::optional<DirectoryEntry> ownEntry() const;
    /// The observer is called after each change of ownEntry().
    void setOwnEntryObserver(std::function<void()> observer);

    /// The observer is called during a stop, once the node no longer accepts requests.
    void setAcceptEndObserver(std::function<void()> observer);

    /// Applies changes of the directory, or all of its entries.
    void onEntryChanges(const EntryChanges &changes);
    void onStoreCall(std::string_view operation);
    /// Records whether the last call of an operation on the store succeeded, and logs changes of that and of the
    /// reason. position: the revision from which the operation had continued, if it is one that continues.
    void onStoreState(bool up, std::string_view operation, std::string_view reason, std::string_view position = {});
    /// Counts a read of the whole content, with what became of it.
    void onStoreRead(std::string_view operation, std::string_view verdict)
    {
        m_metrics.countStoreRead(operation, verdict);
    }

    /// Number of nodes in the directory, with this one.
    std::size_t knownEntries() const
    {
        return m_router.directory().size();
    }

    std::vector<NodeName> knownNodes() const
    {
        return m_router.directory().nodes();
    }

    /// Runs the long-lived tasks of this node.
    Supervisor &supervisor()
    {
        return m_supervisor;
    }
    /// The directory entry of a node, or null.
    const KnownEntry *findEntry(const NodeName &node) const
    {
        return m_router.directory().find(node);
    }

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
    void onOwnStoredEntry(const DirectoryEntry &entry);
    bool restoreLeave(const UpstreamId &id, std::int64_t startedMs, std::string_view source);
    void reportEntryChange(const NodeName &node, DirectoryChange change, std::uint64_t revision);
    void notifyOwnEntry();
    void notifyLeaves();
    void reportStoreCalls(MonotonicTime now);

    boost::asio::io_context &m_context;
    RelaySettings m_settings;
    HeaderNames m_names;
    EventLog m_log;
    RelayMetrics m_metrics;
    Reporter m_reporter;
    UpstreamProxy m_upstreamProxy;
    Supervisor m_supervisor;
    PauseDetector m_pauses;
    RequestRouter m_router;
    StoreFeed m_storeFeed;
    StoreReaders m_storeReaders;
    HttpServer m_callerServer;
    HttpServer m_peerServer;
    HttpServer m_readinessServer;
    HttpServer m_announcementServer;
    HttpServer m_metricsServer;
    std::function<void()> m_ownEntryObserver;
    std::function<void()> m_leaveObserver;
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)> m_leaveHandoverHandler;
    std::function<void()> m_acceptEndObserver;
    std::int64_t m_processStartedMs;
    /// Reason of the last failure by operation; empty if its last call succeeded.
    std::map<std::string, std::string, std::less<>> m_storeFailures;
    std::map<std::string, std::int64_t, std::less<>> m_storeCalls; ///< By operation, since the start.
    bool m_storeCallsChanged = false;
    MonotonicTime m_nextStoreCallReport;
    bool m_stopping = false;
    std::size_t m_activeRequests = 0; ///< Requests of callers and other nodes in progress.
};

} // namespace Geraniumsail

#endif
