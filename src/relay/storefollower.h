// Keeps a relay node in step with the platform's store: follows the configuration, from the store or from another node,
// and the entries of all nodes, and keeps the own entry published under a lease.
//
// The store may be slow, away, or lose its history, and answers may be lost after a write took effect. Reads are
// repeated until they succeed; what is known stays in use meanwhile. The own entry is written under the condition that
// its revision is the one last seen, so that a write whose answer was lost and that takes effect late cannot replace a
// newer one.
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
    /// The watch of the configuration is renewed after this time, so that a silent connection is noticed within the
    /// time in which a configuration must be in force after connections were harmed (3 s and 2.5 s).
    static constexpr Duration ConfigurationWatchTime = std::chrono::milliseconds(2500);
    /// The same for a node from which others follow the configuration: its proof must not get too old between two
    /// answers of the store (ConfigurationSources::MaxProofAge).
    static constexpr Duration ReaderWatchTime = std::chrono::milliseconds(1000);
    /// Wait of one question to another node, and the time in which it must be answered beyond that.
    static constexpr Duration PeerWatchTime = std::chrono::milliseconds(500);
    static constexpr Duration PeerAnswerTime = std::chrono::milliseconds(300);
    /// Pause after a node answered at once that it has nothing newer, as one that stops does.
    static constexpr Duration PeerPause = std::chrono::milliseconds(100);
    /// A starting node waits so long for the entries that tell whom to ask for the configuration.
    static constexpr Duration EntriesWait = std::chrono::milliseconds(400);
    /// The watch of entries may be longer, because a failure of the other interrupts it. Each renewal is a call that
    /// the users pay for, at every node.
    static constexpr Duration EntriesWatchTime = std::chrono::milliseconds(8000);
    /// After entries changed, further changes are collected for this time: when a fleet starts, each change would else
    /// cost one call at every node.
    static constexpr Duration CollectTime = std::chrono::milliseconds(400);
    /// Lease of the own entry: four renewals may fail. A lost VM is noticed by failed connections much earlier.
    static constexpr Duration LeaseTime = std::chrono::milliseconds(5000);
    static constexpr Duration RenewInterval = std::chrono::milliseconds(1200);
    /// Pause after a failed call: entries must be back within two seconds of the store's return.
    static constexpr Duration LeastPause = std::chrono::milliseconds(100);
    static constexpr Duration MostPause = std::chrono::milliseconds(800);

    StoreFollower(boost::asio::io_context &context, Store &store, Relay &relay)
        : m_context(context), m_store(store), m_relay(relay), m_random(std::random_device{}()), m_publishTimer(context),
          m_peers(context.get_executor(), ClientLimits{.connect = PeerAnswerTime})
    {
    }

    void start()
    {
        m_relay.observeOwnEntry([this] {
            m_dirty = true;
            m_publishTimer.cancel();
        });
        boost::asio::co_spawn(m_context, followConfiguration(), boost::asio::detached);
        boost::asio::co_spawn(m_context, followEntries(), boost::asio::detached);
        boost::asio::co_spawn(m_context, publish(), boost::asio::detached);
    }

    /// Ends the lease, so that the own entry disappears at once, and publishes nothing any more.
    boost::asio::awaitable<void> leave()
    {
        m_left = true;
        if (m_lease) {
            co_await m_store.endLease(*m_lease);
        }
    }

private:
    /// Full jitter between half and all of the present pause, which doubles up to the most.
    Duration nextPause(Duration &pause)
    {
        const auto now = pause;
        pause = std::min(pause * 2, MostPause);
        std::uniform_int_distribution<Duration::rep> jitter(now.count() / 2, now.count());
        return Duration(jitter(m_random));
    }

    boost::asio::awaitable<void> sleep(Duration duration)
    {
        boost::asio::steady_timer timer(m_context, std::chrono::steady_clock::now() + duration);
        co_await timer.async_wait(AsTuple);
    }

    void noteFailure(std::string_view operation, StoreError error)
    {
        m_relay.onStoreState(false, operation, storeErrorLabel(error));
    }

    boost::asio::awaitable<void> followConfiguration()
    {
        const auto begun = monotonicNow();
        while (!m_entriesRead && monotonicNow() - begun < EntriesWait) {
            co_await sleep(LeastPause / 2);
        }
        Duration pause = LeastPause;
        while (true) {
            if (const auto peer = m_relay.configurationPeer()) {
                const auto problem = co_await followPeer(*peer);
                if (!problem.empty()) {
                    m_relay.onConfigurationPeerFailed(peer->node, problem);
                }
                continue;
            }
            const auto failure = co_await followStore();
            if (failure) {
                noteFailure("configuration", *failure);
                m_store.interruptEntriesWatch();
                co_await sleep(nextPause(pause));
            } else {
                pause = LeastPause;
                m_relay.onStoreState(true, "configuration", "answered");
            }
        }
    }

    /// Asks another node once. Returns why it cannot be followed; empty if it can.
    boost::asio::awaitable<std::string> followPeer(Relay::ConfigurationPeer peer)
    {
        const auto begun = monotonicNow();
        ExchangeOptions options;
        options.deadline = begun + PeerWatchTime + PeerAnswerTime;
        auto question = ConfigurationFeed::question(peer.address, m_relay.configurationVersion(), PeerWatchTime);
        auto response = co_await m_peers.send(peer.address, std::move(question), options);
        if (!response) {
            m_peers.dropIdle(peer.address);
            co_return "no answer";
        }
        auto answer = co_await ConfigurationFeed::readAnswer(std::move(*response));
        if (!answer) {
            co_return "malformed answer";
        }
        if (!answer->text.empty()) {
            auto document = m_store.decodeConfiguration(std::move(answer->text));
            takeConfiguration(document, peer.node.value());
            if (!document.problem.empty()) {
                co_return "invalid configuration";
            }
        }
        if (!answer->proofAge || *answer->proofAge >= ConfigurationSources::MaxProofAge) {
            co_return "no recent proof";
        }
        const auto now = monotonicNow();
        m_relay.configurationFeed().prove(now - *answer->proofAge, answer->revision);
        m_configurationRevision = std::max(m_configurationRevision.value_or(0), answer->revision);
        if (now - begun < PeerPause) {
            co_await sleep(PeerPause);
        }
        co_return "";
    }

    /// Reads or watches the configuration in the store once.
    boost::asio::awaitable<std::optional<StoreError>> followStore()
    {
        const bool isWatch = m_configurationRevision.has_value();
        const auto wait = m_relay.readsConfigurationForOthers() ? ReaderWatchTime : ConfigurationWatchTime;
        StoreResult<ConfigurationChange> change = StoreError::Unreachable;
        if (isWatch) {
            change = co_await m_store.watchConfiguration(*m_configurationRevision, wait);
        } else {
            change = co_await m_store.readConfiguration();
        }
        if (!change) {
            // A watch that was cut goes on from the same revision: what is in force need not be read again.
            if (change.error() == StoreError::HistoryGone || change.error() == StoreError::Malformed) {
                m_configurationRevision.reset();
            }
            co_return change.error();
        }
        for (auto &document : change->value) {
            takeConfiguration(document, isWatch ? "watch" : "read");
        }
        m_configurationRevision = change->revision;
        m_relay.configurationFeed().prove(monotonicNow(), change->revision);
        co_return std::nullopt;
    }

    void takeConfiguration(ConfigurationDocument &document, std::string_view source)
    {
        if (document.table) {
            m_relay.onConfiguration(std::move(*document.table), std::move(document.text), source);
        } else {
            m_relay.reporter().important(EventLine("configuration")
                                             .add("source", source)
                                             .add("verdict", "invalid")
                                             .add("reason", document.problem));
        }
    }

    boost::asio::awaitable<void> followEntries()
    {
        Duration pause = LeastPause;
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
                auto changes = co_await m_store.watchEntries(*revision, EntriesWatchTime);
                if (changes) {
                    reportInvalid(changes->invalid);
                    for (const auto &[entry, entryRevision] : changes->entries) {
                        m_relay.onEntry(entry, entryRevision);
                    }
                    for (const auto &[node, goneRevision] : changes->gone) {
                        m_relay.onEntryGone(node, goneRevision);
                    }
                    revision = changes->revision;
                    if (!changes->entries.empty() || !changes->gone.empty()) {
                        co_await sleep(CollectTime);
                    }
                } else {
                    failure = changes.error();
                }
            }
            if (failure) {
                noteFailure("entries", *failure);
                revision.reset();
                co_await sleep(nextPause(pause));
            } else {
                pause = LeastPause;
            }
        }
    }

    void reportInvalid(const std::vector<std::string> &problems)
    {
        for (const auto &problem : problems) {
            m_relay.reporter().important(EventLine("entry_ignored").add("reason", problem));
        }
    }

    boost::asio::awaitable<void> publish()
    {
        Duration pause = LeastPause;
        while (true) {
            Duration next = RenewInterval;
            const auto entry = m_relay.ownEntry();
            m_dirty = false;
            if (entry && !m_left) {
                const auto failure = co_await publishOnce(*entry);
                if (failure) {
                    noteFailure("publish", *failure);
                    if (*failure == StoreError::Unreachable) {
                        m_store.interruptEntriesWatch();
                    }
                    next = nextPause(pause);
                } else {
                    pause = LeastPause;
                    m_relay.onStoreState(true, "publish", "answered");
                }
            }
            if (!m_dirty) {
                m_publishTimer.expires_after(next);
                co_await m_publishTimer.async_wait(AsTuple);
            }
        }
    }

    /// Renews the lease and writes the entry if it is not stored as it should be.
    boost::asio::awaitable<std::optional<StoreError>> publishOnce(const DirectoryEntry &entry)
    {
        if (m_lease) {
            const auto renewed = co_await m_store.renewLease(*m_lease);
            if (!renewed && renewed.error() != StoreError::NotFound) {
                co_return renewed.error();
            }
            if (!renewed) {
                m_lease.reset();
                m_stored.reset();
                m_relay.reporter().important(EventLine("lease_lost").add("node", entry.node.value()));
            }
        }
        if (!m_lease) {
            const auto lease = co_await m_store.grantLease(std::max(LeaseTime, m_relay.settings().minLeaseTime));
            if (!lease) {
                co_return lease.error();
            }
            m_lease = *lease;
            m_stored.reset();
        }
        if (m_stored && sameState(*m_stored, entry)) {
            co_return std::nullopt;
        }
        auto written = co_await m_store.writeEntry(entry, *m_lease, m_revision);
        if (!written && written.error() == StoreError::Conflict) {
            // Another write took effect: an own one whose answer was lost, or one of an earlier life of this node.
            const auto present = co_await m_store.readEntryRevision(entry.node);
            if (!present) {
                co_return present.error();
            }
            m_revision = *present;
            written = co_await m_store.writeEntry(entry, *m_lease, m_revision);
        }
        if (!written) {
            if (written.error() == StoreError::NotFound) {
                m_lease.reset();
            }
            co_return written.error();
        }
        m_revision = *written;
        m_stored = entry;
        m_relay.reporter().important(EventLine("entry_published")
                                         .add("upstream", entry.upstream.value())
                                         .add("phase", phaseLabel(entry.phase))
                                         .add("revision", static_cast<std::int64_t>(m_revision)));
        co_return std::nullopt;
    }

    /// The remaining time of a cold start shrinks with each report and is not worth a write.
    static bool sameState(DirectoryEntry left, const DirectoryEntry &right)
    {
        left.coldRemaining = right.coldRemaining;
        return left == right;
    }

    boost::asio::io_context &m_context;
    Store &m_store;
    Relay &m_relay;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_publishTimer;
    HttpClient m_peers; ///< For the configuration of other nodes.
    std::optional<std::uint64_t> m_configurationRevision; ///< Up to which the configuration is known.
    bool m_entriesRead = false;
    bool m_dirty = false;
    bool m_left = false;
    std::optional<LeaseId> m_lease;
    std::uint64_t m_revision = 0; ///< Of the own entry in the store, as last seen; 0 for absent.
    std::optional<DirectoryEntry> m_stored;
};

} // namespace Geraniumsail

#endif
