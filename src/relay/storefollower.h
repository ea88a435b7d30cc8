// Synchronizes a relay node with the platform's store. Follows the configuration, from the store or from another node,
// and the directory entries of all nodes, and keeps this node's own entry published under a lease.
//
// The store may be slow, unreachable or lose its history, and a response may be lost after the write took effect. Reads
// are retried until they succeed; the last known state stays in use meanwhile. The own entry is written with a
// compare-and-set on its last seen revision, so that a delayed write whose response was lost cannot replace newer data.
#ifndef GERANIUMSAIL_RELAY_STOREFOLLOWER_H
#define GERANIUMSAIL_RELAY_STOREFOLLOWER_H

#include "net/clock.h"
#include "net/httpwire.h"
#include "relay/metadatastore.h"
#include "relay/relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>

namespace Geraniumsail {

template <MetadataStore Store>
class StoreFollower
{
public:
    /// Renewing the watch this often detects a dead connection early enough for a new configuration to be in force
    /// within the limits that hold after connection failures (3 s and 2.5 s).
    static constexpr Duration ConfigurationWatchTimeout = std::chrono::milliseconds(2500);
    /// Watch timeout of a node that serves the configuration to others: its proof must not exceed
    /// ConfigurationSources::MaxProofAge between two responses of the store.
    static constexpr Duration ReaderWatchTimeout = std::chrono::milliseconds(1000);
    /// How long a peer may hold a request open, and the additional time allowed for its response.
    static constexpr Duration PeerWatchTimeout = std::chrono::milliseconds(500);
    static constexpr Duration PeerResponseTimeout = std::chrono::milliseconds(300);
    /// Delay before the next poll if a peer responded immediately without a newer version, as a stopping node does.
    static constexpr Duration PeerPollDelay = std::chrono::milliseconds(100);
    /// How long a starting node waits for the directory entries, which tell it which nodes to ask for
    /// the configuration.
    static constexpr Duration InitialEntriesTimeout = std::chrono::milliseconds(400);
    /// Longer than the configuration watch, because a failure there cancels this watch too. Every renewal is a store
    /// call at each node, which the users pay for.
    static constexpr Duration EntriesWatchTimeout = std::chrono::milliseconds(8000);
    /// Entry changes are batched for this time. Otherwise each change during the start of a fleet would cost one store
    /// call at every node.
    static constexpr Duration EntriesBatchDelay = std::chrono::milliseconds(400);
    /// Lease of the own entry; four renewals may fail. The loss of a VM is detected much earlier by failed connections.
    static constexpr Duration LeaseLifetime = std::chrono::milliseconds(5000);
    static constexpr Duration LeaseRenewInterval = std::chrono::milliseconds(1200);
    /// Bounds of the backoff after a failed call. Entries must be back within two seconds of the store's return.
    static constexpr Duration MinBackoff = std::chrono::milliseconds(100);
    static constexpr Duration MaxBackoff = std::chrono::milliseconds(800);

    StoreFollower(boost::asio::io_context &context, Store &store, Relay &relay)
        : m_context(context), m_store(store), m_relay(relay), m_random(std::random_device{}()), m_publishTimer(context),
          m_peerClient(context.get_executor(), ClientLimits{.connect = PeerResponseTimeout})
    {
    }

    void start()
    {
        m_relay.setOwnEntryObserver([this] {
            m_dirty = true;
            m_publishTimer.cancel();
        });
        boost::asio::co_spawn(m_context, followConfiguration(), boost::asio::detached);
        boost::asio::co_spawn(m_context, followEntries(), boost::asio::detached);
        boost::asio::co_spawn(m_context, publish(), boost::asio::detached);
    }

    /// Revokes the lease, which removes the own entry immediately, and stops publishing.
    boost::asio::awaitable<void> unpublish()
    {
        m_unpublished = true;
        if (m_lease) {
            co_await m_store.revokeLease(*m_lease);
        }
    }

private:
    /// Returns a random delay between half and all of the current backoff, and doubles the backoff up to MaxBackoff.
    Duration nextBackoff(Duration &backoff)
    {
        const auto current = backoff;
        backoff = std::min(backoff * 2, MaxBackoff);
        std::uniform_int_distribution<Duration::rep> jitter(current.count() / 2, current.count());
        return Duration(jitter(m_random));
    }

    boost::asio::awaitable<void> sleep(Duration duration)
    {
        boost::asio::steady_timer timer(m_context, std::chrono::steady_clock::now() + duration);
        co_await timer.async_wait(AsTuple);
    }

    void reportFailure(std::string_view operation, StoreError error)
    {
        m_relay.onStoreState(false, operation, storeErrorLabel(error));
    }

    boost::asio::awaitable<void> followConfiguration()
    {
        const auto startedAt = monotonicNow();
        while (!m_entriesRead && monotonicNow() - startedAt < InitialEntriesTimeout) {
            co_await sleep(MinBackoff / 2);
        }
        Duration backoff = MinBackoff;
        while (true) {
            if (const auto peer = m_relay.configurationPeer()) {
                const auto problem = co_await pollPeer(*peer);
                if (!problem.empty()) {
                    m_relay.onConfigurationPeerFailed(peer->node, problem);
                }
                continue;
            }
            const auto failure = co_await pollStore();
            if (failure) {
                reportFailure("configuration", *failure);
                m_store.cancelEntriesWatch();
                co_await sleep(nextBackoff(backoff));
            } else {
                backoff = MinBackoff;
                m_relay.onStoreState(true, "configuration", "answered");
            }
        }
    }

    /// Polls a peer once. Returns why it cannot be used as a source, or an empty string if it can.
    boost::asio::awaitable<std::string> pollPeer(Relay::ConfigurationPeer peer)
    {
        const auto startedAt = monotonicNow();
        ExchangeOptions options;
        options.deadline = startedAt + PeerWatchTimeout + PeerResponseTimeout;
        auto request = ConfigurationFeed::buildRequest(peer.address, m_relay.configurationVersion(), PeerWatchTimeout);
        auto response = co_await m_peerClient.send(peer.address, std::move(request), options);
        if (!response) {
            m_peerClient.dropIdle(peer.address);
            co_return "no answer";
        }
        auto feedResponse = co_await ConfigurationFeed::readResponse(std::move(*response));
        if (!feedResponse) {
            co_return "malformed answer";
        }
        if (!feedResponse->text.empty()) {
            auto document = m_store.decodeConfiguration(std::move(feedResponse->text));
            applyConfiguration(document, peer.node.value());
            if (!document.problem.empty()) {
                co_return "invalid configuration";
            }
        }
        if (!feedResponse->proofAge || *feedResponse->proofAge >= ConfigurationSources::MaxProofAge) {
            co_return "no recent proof";
        }
        const auto now = monotonicNow();
        m_relay.configurationFeed().recordProof(now - *feedResponse->proofAge, feedResponse->revision);
        m_configurationRevision = std::max(m_configurationRevision.value_or(0), feedResponse->revision);
        if (now - startedAt < PeerPollDelay) {
            co_await sleep(PeerPollDelay);
        }
        co_return "";
    }

    /// Reads the configuration from the store, or waits for its next change, once.
    boost::asio::awaitable<std::optional<StoreError>> pollStore()
    {
        const bool isWatch = m_configurationRevision.has_value();
        const auto wait = m_relay.isConfigurationReader() ? ReaderWatchTimeout : ConfigurationWatchTimeout;
        StoreResult<ConfigurationChange> change = StoreError::Unreachable;
        if (isWatch) {
            change = co_await m_store.watchConfiguration(*m_configurationRevision, wait);
        } else {
            change = co_await m_store.readConfiguration();
        }
        if (!change) {
            // An interrupted watch resumes from the same revision without reading the configuration again.
            if (change.error() == StoreError::Compacted || change.error() == StoreError::Malformed) {
                m_configurationRevision.reset();
            }
            co_return change.error();
        }
        for (auto &document : change->documents) {
            applyConfiguration(document, isWatch ? "watch" : "read");
        }
        m_configurationRevision = change->revision;
        m_relay.configurationFeed().recordProof(monotonicNow(), change->revision);
        co_return std::nullopt;
    }

    void applyConfiguration(ConfigurationDocument &document, std::string_view source)
    {
        if (document.table) {
            m_relay.onConfiguration(std::move(*document.table), std::move(document.text), source);
        } else {
            m_relay.reporter().logImportant(EventLine("configuration")
                                                .add("source", source)
                                                .add("verdict", "invalid")
                                                .add("reason", document.problem));
        }
    }

    boost::asio::awaitable<void> followEntries()
    {
        Duration backoff = MinBackoff;
        std::optional<std::uint64_t> revision;
        while (true) {
            std::optional<StoreError> failure;
            if (!revision) {
                auto all = co_await m_store.readEntries();
                if (all) {
                    reportInvalid(all->invalid);
                    m_relay.onAllEntries(all->entries, all->revision);
                    m_entriesRead = true;
                    m_relay.onStoreState(true, "entries", "answered");
                    revision = all->revision;
                } else {
                    failure = all.error();
                }
            } else {
                auto changes = co_await m_store.watchEntries(*revision, EntriesWatchTimeout);
                if (changes) {
                    reportInvalid(changes->invalid);
                    for (const auto &[entry, entryRevision] : changes->entries) {
                        m_relay.onEntry(entry, entryRevision);
                    }
                    for (const auto &[node, removedRevision] : changes->removed) {
                        m_relay.onEntryDeleted(node, removedRevision);
                    }
                    revision = changes->revision;
                    if (!changes->entries.empty() || !changes->removed.empty()) {
                        co_await sleep(EntriesBatchDelay);
                    }
                } else {
                    failure = changes.error();
                }
            }
            if (failure) {
                reportFailure("entries", *failure);
                revision.reset();
                co_await sleep(nextBackoff(backoff));
            } else {
                backoff = MinBackoff;
            }
        }
    }

    void reportInvalid(const std::vector<std::string> &problems)
    {
        for (const auto &problem : problems) {
            m_relay.reporter().logImportant(EventLine("entry_ignored").add("reason", problem));
        }
    }

    boost::asio::awaitable<void> publish()
    {
        Duration backoff = MinBackoff;
        while (true) {
            Duration next = LeaseRenewInterval;
            const auto entry = m_relay.ownEntry();
            m_dirty = false;
            if (entry && !m_unpublished) {
                const auto failure = co_await publishOnce(*entry);
                if (failure) {
                    reportFailure("publish", *failure);
                    if (*failure == StoreError::Unreachable) {
                        m_store.cancelEntriesWatch();
                    }
                    next = nextBackoff(backoff);
                } else {
                    backoff = MinBackoff;
                    m_relay.onStoreState(true, "publish", "answered");
                }
            }
            if (!m_dirty) {
                m_publishTimer.expires_after(next);
                co_await m_publishTimer.async_wait(AsTuple);
            }
        }
    }

    /// Renews the lease, and writes the entry if it differs from the published one.
    boost::asio::awaitable<std::optional<StoreError>> publishOnce(const DirectoryEntry &entry)
    {
        if (m_lease) {
            const auto renewed = co_await m_store.renewLease(*m_lease);
            if (!renewed && renewed.error() != StoreError::NotFound) {
                co_return renewed.error();
            }
            if (!renewed) {
                m_lease.reset();
                m_publishedEntry.reset();
                m_relay.reporter().logImportant(EventLine("lease_lost").add("node", entry.node.value()));
            }
        }
        if (!m_lease) {
            const auto lease = co_await m_store.grantLease(std::max(LeaseLifetime, m_relay.settings().minLeaseTime));
            if (!lease) {
                co_return lease.error();
            }
            m_lease = *lease;
            m_publishedEntry.reset();
        }
        if (m_publishedEntry && equalExceptColdRemaining(*m_publishedEntry, entry)) {
            co_return std::nullopt;
        }
        auto written = co_await m_store.writeEntry(entry, *m_lease, m_entryRevision);
        if (!written && written.error() == StoreError::Conflict) {
            // Another write took effect: one whose response was lost, or one of an earlier incarnation of this node.
            const auto present = co_await m_store.readEntryRevision(entry.node);
            if (!present) {
                co_return present.error();
            }
            m_entryRevision = *present;
            written = co_await m_store.writeEntry(entry, *m_lease, m_entryRevision);
        }
        if (!written) {
            if (written.error() == StoreError::NotFound) {
                m_lease.reset();
            }
            co_return written.error();
        }
        m_entryRevision = *written;
        m_publishedEntry = entry;
        m_relay.reporter().logImportant(EventLine("entry_published")
                                            .add("upstream", entry.upstream.value())
                                            .add("phase", phaseLabel(entry.phase))
                                            .add("revision", static_cast<std::int64_t>(m_entryRevision)));
        co_return std::nullopt;
    }

    /// The remaining cold start time shrinks with each report; a change of it alone does not justify a write.
    static bool equalExceptColdRemaining(DirectoryEntry left, const DirectoryEntry &right)
    {
        left.coldRemaining = right.coldRemaining;
        return left == right;
    }

    boost::asio::io_context &m_context;
    Store &m_store;
    Relay &m_relay;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_publishTimer;
    HttpClient m_peerClient; ///< Reads the configuration from other nodes.
    std::optional<std::uint64_t> m_configurationRevision; ///< Store revision up to which the configuration is known.
    bool m_entriesRead = false;
    bool m_dirty = false;
    bool m_unpublished = false;
    std::optional<LeaseId> m_lease;
    std::uint64_t m_entryRevision = 0; ///< Last seen revision of the own entry in the store; 0 if it is absent.
    std::optional<DirectoryEntry> m_publishedEntry;
};

} // namespace Geraniumsail

#endif
