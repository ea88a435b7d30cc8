// Synchronizes a relay node with the platform's store. Follows the configuration and the directory entries of all
// nodes, from the store or from another node (see core/storereaders.h), and keeps this node's own entry published under
// a lease.
//
// The store may be slow, unreachable or lose its history, and a response may be lost after the write took effect. Reads
// are retried until they succeed; the last known state stays in use meanwhile. The own entry is written with a
// compare-and-set on its last seen revision, so that a delayed write whose response was lost cannot replace newer data.
//
// The lease is long, because its renewals are the calls that grow with the fleet. A VM that is lost is detected much
// earlier by the nodes that send requests to it. An entry that is missing or was overwritten although its node lives is
// noticed by that node in the changes that it follows, and written again.
#ifndef GERANIUMSAIL_RELAY_STOREFOLLOWER_H
#define GERANIUMSAIL_RELAY_STOREFOLLOWER_H

#include "core/backoff.h"
#include "core/storecursor.h"
#include "core/storerevision.h"
#include "net/clock.h"
#include "net/httpwire.h"
#include "relay/metadatastore.h"
#include "relay/relay.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace Geraniumsail {

template <MetadataStore Store>
class StoreFollower
{
public:
    /// A watch whose connection went silent, or whose answer was lost, is noticed only when its answer is overdue. A
    /// configuration must be in force 2.5 s after its publication; the other 1.2 s cover the time that the store has
    /// for its answer at the end of the wait (0.9 s), the pause, and reading the configuration on a new connection.
    static constexpr Duration ConfigurationWatchTimeout = std::chrono::milliseconds(1300);
    /// Watch timeout of a node that others may follow: its proof must not exceed StoreReaders::MaxProofAge between two
    /// responses of the store.
    static constexpr Duration ReaderWatchTimeout = std::chrono::milliseconds(1000);
    /// Watch timeout of such a node while its proof is already old.
    static constexpr Duration MinReaderWatchTimeout = std::chrono::milliseconds(50);
    /// How long another node may hold a request open, and the additional time allowed for its response.
    static constexpr Duration PeerWatchTimeout = std::chrono::milliseconds(500);
    static constexpr Duration PeerResponseTimeout = std::chrono::milliseconds(300);
    /// After this many failed polls of other nodes in a row the store is asked, so that together they delay a
    /// configuration by less than it may take to come into force.
    static constexpr int MaxFailedSources = 2;
    /// Delay before the next poll if another node responded immediately without news, as a stopping node does.
    static constexpr Duration PeerPollDelay = std::chrono::milliseconds(100);
    /// Age of a source's entries from which it is not followed. Longer than a renewal of its watch takes.
    static constexpr Duration MaxEntriesAge = std::chrono::seconds(6);
    /// How long a starting node waits for the directory entries, which tell it which nodes to ask.
    static constexpr Duration InitialEntriesTimeout = std::chrono::milliseconds(400);
    /// How long a node waits after its start, and after its first reads, before it watches the store, unless it knows
    /// enough nodes to share the store with. When a fleet starts, the entries appear one by one, and each would end the
    /// watches of all nodes.
    static constexpr Duration SettlingTime = std::chrono::milliseconds(2000);
    /// Entry changes are batched for longer during this time after the start.
    static constexpr Duration StartTime = std::chrono::seconds(5);
    static constexpr Duration StartBatchDelay = std::chrono::milliseconds(1000);
    /// Longer than the configuration watch, because a failure there cancels this watch too.
    static constexpr Duration EntriesWatchTimeout = std::chrono::milliseconds(8000);
    /// Of a node that others may follow; below MaxEntriesAge.
    static constexpr Duration ReaderEntriesWatchTimeout = std::chrono::milliseconds(4000);
    /// Entry changes are batched for this time. Otherwise each change during the start of a fleet would cost one store
    /// call at every node that follows the store.
    static constexpr Duration EntriesBatchDelay = std::chrono::milliseconds(300);
    /// Lease of the own entry; one renewal may fail.
    static constexpr Duration LeaseLifetime = std::chrono::seconds(40);
    static constexpr Duration LeaseRenewInterval = std::chrono::seconds(15);
    /// Pause after a failed renewal while the lease is still valid.
    static constexpr Duration RenewRetryInterval = std::chrono::seconds(3);
    /// Bounds of the pause after a failed publication.
    static constexpr Duration MinBackoff = StoreCursor::MinPause;
    static constexpr Duration MaxBackoff = StoreCursor::MaxPause;
    /// Upper bound of the pause of a node that asks the store only because it found no other source.
    static constexpr Duration MaxFallbackPause = std::chrono::milliseconds(1600);
    /// Interval between looks at the conditions for the next call.
    static constexpr Duration PollInterval = std::chrono::milliseconds(100);

    StoreFollower(boost::asio::io_context &context, Store &store, Relay &relay)
        : m_context(context), m_store(store), m_relay(relay), m_random(std::random_device{}()), m_publishTimer(context),
          m_sourceTimer(context), m_peerClient(context.get_executor(), ClientLimits{.connect = PeerResponseTimeout})
    {
    }

    void start()
    {
        m_relay.setOwnEntryObserver([this] {
            m_dirty = true;
            m_publishTimer.cancel();
        });
        m_store.observeRestores([this](const StoreRestore &restore) { onStoreRestored(restore); });
        m_startedAt = monotonicNow();
        m_relay.supervisor().start("configuration", [this] { return followConfiguration(); });
        m_relay.supervisor().start("entries", [this] { return followEntries(); });
        m_relay.supervisor().start("publication", [this] { return publish(); });
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
    /// The store may have lost the own entry and its lease.
    void onStoreRestored(const StoreRestore &restore)
    {
        m_relay.reporter().logImportant(EventLine("store_restored")
                                            .add("history_before", static_cast<std::int64_t>(restore.historyBefore))
                                            .add("history", static_cast<std::int64_t>(restore.history))
                                            .add("evidence", restore.evidence)
                                            .add("configuration_position", positionText(m_configuration.position()))
                                            .add("entries_position", positionText(m_entries.position()))
                                            .add("effect", "everything is read, entry and leaves are written again"));
        m_lease.reset();
        m_publishedEntry.reset();
        m_dirty = true;
        m_publishTimer.cancel();
        m_configuration.forget();
        m_entries.forget();
        // A watch that waits in the earlier history would end late.
        m_store.cancelEntriesWatch();
    }

    boost::asio::awaitable<void> sleep(Duration duration)
    {
        boost::asio::steady_timer timer(m_context, duration);
        co_await timer.async_wait(AsTuple);
    }

    void reportFailure(std::string_view operation, StoreError error, std::optional<std::uint64_t> position = {})
    {
        m_relay.onStoreState(false, operation, storeErrorLabel(error), positionText(position));
    }

    static std::string positionText(std::optional<std::uint64_t> position)
    {
        return position ? storeRevisionText(*position) : "none";
    }

    std::optional<std::uint64_t> knownEntriesRevision() const
    {
        const auto revision = m_relay.storeFeed().entries().revision();
        return revision == 0 ? std::nullopt : std::optional(revision);
    }

    /// Whether this node asks the store only because it found no other source.
    bool isFallback() const
    {
        return m_relay.sharesStore() && !m_relay.isStoreReader();
    }

    Duration pauseAfter(StoreCursor &cursor, StoreError error)
    {
        const bool fallsBack = isFallback();
        const auto maxPause = fallsBack ? MaxFallbackPause : StoreCursor::MaxPause;
        if (error == StoreError::Compacted) {
            return cursor.onHistoryGone(maxPause, m_random);
        }
        // When the store has been away, all nodes of a data centre fall back at once. A large configuration, read by
        // each of them, would saturate the link between two regions.
        if (fallsBack && m_store.statesHistory() && error != StoreError::Malformed) {
            return cursor.onFailureInStatedHistory(maxPause, m_random);
        }
        return cursor.onFailure(maxPause, m_random);
    }

    /// A whole read, unlike a watch, can contradict what this node knows.
    void reportRead(std::string_view operation, std::uint64_t revision, std::optional<std::uint64_t> known,
                    std::string_view verdict)
    {
        m_relay.onStoreRead(operation, verdict);
        m_relay.reporter().logImportant(EventLine("store_read")
                                            .add("operation", operation)
                                            .add("revision", storeRevisionText(revision))
                                            .add("known", positionText(known))
                                            .add("verdict", verdict));
    }

    boost::asio::awaitable<void> followConfiguration()
    {
        while (!knownEntriesRevision() && monotonicNow() - m_startedAt < InitialEntriesTimeout) {
            co_await sleep(PollInterval / 2);
        }
        int failedSources = 0;
        while (true) {
            const auto source = m_relay.storeSource();
            if (source && failedSources < MaxFailedSources) {
                const auto problem = co_await pollNode(*source);
                if (problem.empty()) {
                    failedSources = 0;
                    m_relay.onStoreSourceAnswered(source->node);
                    setFollowsNode(true);
                } else {
                    ++failedSources;
                    m_relay.onStoreSourceFailed(source->node, problem);
                }
                continue;
            }
            failedSources = 0;
            setFollowsNode(false);
            // The first watch of the entries, which ends at once if there are more of them, shows what node to follow.
            if (m_configuration.position() && isSettling(PollInterval * 2)) {
                co_await sleep(PollInterval);
                continue;
            }
            const auto position = m_configuration.position();
            const auto failure = co_await pollStore();
            if (failure) {
                reportFailure("configuration", *failure, position);
                if (*failure != StoreError::Compacted) {
                    m_store.cancelEntriesWatch();
                }
                co_await sleep(pauseAfter(m_configuration, *failure));
            } else {
                m_relay.onStoreState(true, "configuration", "answered");
            }
        }
    }

    bool isSettling(Duration additional = Duration(0)) const
    {
        return monotonicNow() - m_startedAt < SettlingTime + additional && !m_relay.sharesStore();
    }

    /// Whether the entries come from another node together with the configuration.
    void setFollowsNode(bool follows)
    {
        if (follows == m_followsNode) {
            return;
        }
        m_followsNode = follows;
        if (follows) {
            m_store.cancelEntriesWatch();
        } else if (!m_store.statesHistory()) {
            // What the other node knew last may be of an earlier history.
            m_configuration.forget();
            m_entries.forget();
        }
        m_sourceTimer.cancel();
    }

    /// Polls another node once. Returns why it cannot be used as a source, or an empty string if it can.
    boost::asio::awaitable<std::string> pollNode(Relay::StoreSource source)
    {
        const auto startedAt = monotonicNow();
        auto &feed = m_relay.storeFeed();
        ExchangeOptions options;
        options.deadline = startedAt + PeerWatchTimeout + PeerResponseTimeout;
        const FeedPosition position{m_relay.configurationVersion(), feed.entries().revision()};
        auto request = StoreFeed::buildRequest(source.address, position, PeerWatchTimeout);
        auto response = co_await m_peerClient.send(source.address, std::move(request), options);
        if (!response) {
            m_peerClient.dropIdle(source.address);
            co_return "no answer";
        }
        auto feedResponse = co_await StoreFeed::readResponse(std::move(*response));
        if (!feedResponse) {
            co_return "malformed answer";
        }
        const auto now = monotonicNow();
        const bool hasNews = !feedResponse->configuration.empty() || feedResponse->entries;
        if (!feedResponse->configuration.empty()) {
            auto document = m_store.decodeConfiguration(std::move(feedResponse->configuration));
            applyConfiguration(document, source.node.value());
            if (!document.problem.empty()) {
                co_return "invalid configuration";
            }
        }
        const auto entriesAge = feedResponse->entriesAge.value_or(Duration::max());
        if (feedResponse->entries) {
            applyEntries(now - std::min(entriesAge, MaxEntriesAge), *feedResponse->entries);
        }
        if (!feedResponse->proofAge || *feedResponse->proofAge >= StoreReaders::MaxProofAge) {
            co_return "no recent proof";
        }
        if (entriesAge >= MaxEntriesAge) {
            co_return "no recent entries";
        }
        if (!hasCurrentHistory(*feedResponse, now)) {
            co_return "earlier history";
        }
        m_store.onRevision(feedResponse->revision);
        if (!m_sourceIsBehindSince) {
            feed.recordProof(now - *feedResponse->proofAge, feedResponse->revision);
        }
        EntryChanges unchanged;
        unchanged.revision = feed.entries().revision();
        feed.recordEntries(now - entriesAge, unchanged);
        m_configuration.onChanges(std::max(m_configuration.position().value_or(0), feedResponse->revision));
        if (unchanged.revision != 0) {
            m_entries.onChanges(unchanged.revision);
        }
        if (!hasNews && now - startedAt < PeerPollDelay) {
            co_await sleep(PeerPollDelay);
        }
        co_return "";
    }

    /// Reads the configuration from the store, or waits for its next change, once.
    boost::asio::awaitable<std::optional<StoreError>> pollStore()
    {
        const auto position = m_configuration.position();
        const bool isWatch = position.has_value();
        const auto startedAt = monotonicNow();
        auto wait = ConfigurationWatchTimeout;
        if (m_relay.isStoreReader()) {
            const auto proofAge = m_relay.storeFeed().proofAge(startedAt).value_or(ReaderWatchTimeout);
            wait = std::max(ReaderWatchTimeout - proofAge, MinReaderWatchTimeout);
        }
        StoreResult<ConfigurationChange> change = StoreError::Unreachable;
        if (isWatch) {
            change = co_await m_store.watchConfiguration(*position, wait);
        } else {
            change = co_await m_store.readConfiguration();
        }
        if (!change) {
            co_return change.error();
        }
        const auto versionBefore = m_relay.configurationVersion();
        for (auto &document : change->documents) {
            applyConfiguration(document, isWatch ? "watch" : "read");
        }
        m_sourceIsBehindSince.reset();
        if (isWatch) {
            m_configuration.onChanges(change->revision);
        } else {
            reportRead("configuration", change->revision, m_lastConfigurationRevision,
                       m_relay.configurationVersion() == versionBefore ? "nothing new" : "taken");
            m_configuration.onRead(change->revision);
        }
        m_lastConfigurationRevision = change->revision;
        // The response of a read may have been on its way since the call; that of a watch was sent at its end.
        m_relay.storeFeed().recordProof(isWatch ? monotonicNow() : startedAt, change->revision);
        co_return std::nullopt;
    }

    void applyConfiguration(ConfigurationDocument &document, std::string_view source)
    {
        if (document.table) {
            m_relay.onConfiguration(std::move(*document.table), std::move(document.text), source);
        } else {
            m_relay.onInvalidConfiguration(document.problem, source);
        }
    }

    boost::asio::awaitable<void> followEntries()
    {
        while (true) {
            const auto position = m_entries.position();
            if (m_followsNode || (position && isSettling())) {
                // Woken when the source changes.
                m_sourceTimer.expires_after(m_followsNode ? EntriesWatchTimeout : PollInterval);
                co_await m_sourceTimer.async_wait(AsTuple);
                continue;
            }
            const auto wait = m_relay.isStoreReader() ? ReaderEntriesWatchTimeout : EntriesWatchTimeout;
            StoreResult<EntryChanges> changes = StoreError::Unreachable;
            if (position) {
                changes = co_await m_store.watchEntries(*position, wait);
            } else {
                changes = co_await m_store.readEntries();
            }
            if (!changes) {
                if (m_followsNode) {
                    // The watch was cancelled in favour of the other node.
                    continue;
                }
                reportFailure("entries", changes.error(), position);
                co_await sleep(pauseAfter(m_entries, changes.error()));
                continue;
            }
            reportInvalid(changes->invalid);
            if (position) {
                applyEntries(monotonicNow(), *changes);
                m_entries.onChanges(changes->revision);
            } else {
                replaceEntries(*changes);
                m_entries.onRead(changes->revision);
            }
            m_relay.onStoreState(true, "entries", "answered");
            if (position && (!changes->entries.empty() || !changes->removed.empty())) {
                co_await sleep(monotonicNow() - m_startedAt < StartTime ? StartBatchDelay : EntriesBatchDelay);
            }
        }
    }

    /// Applies a whole read of the store. It counts also if it is older than what was known: then the store has come
    /// back from an older copy, or what was known is wrong.
    void replaceEntries(const EntryChanges &snapshot)
    {
        const auto known = knownEntriesRevision();
        reportRead("entries", snapshot.revision, known, "taken");
        m_relay.storeFeed().replaceEntries(monotonicNow(), snapshot);
        onEntriesApplied(snapshot);
    }

    void applyEntries(MonotonicTime asOf, const EntryChanges &changes)
    {
        if (!m_relay.storeFeed().recordEntries(asOf, changes)) {
            m_relay.reporter().logImportant(EventLine("entries_ignored")
                                                .add("reason", "older than known")
                                                .add("revision", storeRevisionText(changes.revision))
                                                .add("known", positionText(knownEntriesRevision())));
            return;
        }
        onEntriesApplied(changes);
    }

    void onEntriesApplied(const EntryChanges &changes)
    {
        m_relay.onEntryChanges(changes);
        if (isOwnEntryLost(changes)) {
            m_publishedEntry.reset();
            m_dirty = true;
            m_publishTimer.cancel();
        }
    }

    /// Whether the proof of another node may be used. After a restore, the node may have read the entries of the new
    /// history and not the configuration yet, as long as its proof is recent. A node that stays behind knows no
    /// histories, or has a wrong one.
    bool hasCurrentHistory(const FeedResponse &response, MonotonicTime now)
    {
        const auto known = std::max(storeHistoryOf(m_relay.storeFeed().entries().revision()), m_store.history());
        if (storeHistoryOf(response.revision) >= known) {
            m_sourceIsBehindSince.reset();
            return true;
        }
        m_sourceIsBehindSince = m_sourceIsBehindSince.value_or(now);
        return now - *m_sourceIsBehindSince < StoreReaders::MaxProofAge;
    }

    /// Whether the changes show that the store no longer holds the own entry as it was published.
    bool isOwnEntryLost(const EntryChanges &changes) const
    {
        if (!m_publishedEntry) {
            return false;
        }
        const auto &own = m_relay.settings().node;
        if (changes.isSnapshot) {
            // The read may have been answered before the entry was written.
            const bool isEarlier = changes.revision < m_entryRevision
                && storeHistoryOf(changes.revision) == storeHistoryOf(m_entryRevision);
            return !isEarlier && std::none_of(changes.entries.begin(), changes.entries.end(), [&](const auto &entry) {
                return entry.first.node == own && equalExceptColdRemaining(entry.first, *m_publishedEntry);
            });
        }
        std::uint64_t latest = 0;
        bool isLost = false;
        for (const auto &[entry, revision] : changes.entries) {
            if (entry.node == own && revision >= latest) {
                latest = revision;
                isLost = !equalExceptColdRemaining(entry, *m_publishedEntry);
            }
        }
        for (const auto &[node, revision] : changes.removed) {
            if (node == own && revision >= latest) {
                latest = revision;
                isLost = true;
            }
        }
        return isLost && latest > m_entryRevision;
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
                    next = isPublished(*entry) ? RenewRetryInterval : nextBackoff(backoff, MaxBackoff, m_random);
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

    /// Whether the store holds the entry under a lease that is valid for some time.
    bool isPublished(const DirectoryEntry &entry) const
    {
        return m_lease && m_publishedEntry && equalExceptColdRemaining(*m_publishedEntry, entry)
            && monotonicNow() < m_renewedAt + m_leaseLifetime - 2 * RenewRetryInterval;
    }

    /// Renews the lease if that is due, and writes the entry if it differs from the published one.
    boost::asio::awaitable<std::optional<StoreError>> publishOnce(const DirectoryEntry &entry)
    {
        const auto startedAt = monotonicNow();
        if (m_lease && startedAt - m_renewedAt >= LeaseRenewInterval) {
            const auto renewed = co_await m_store.renewLease(*m_lease);
            if (!renewed && renewed.error() != StoreError::NotFound) {
                co_return renewed.error();
            }
            if (renewed) {
                m_renewedAt = startedAt;
            } else {
                m_lease.reset();
                m_publishedEntry.reset();
                m_relay.reporter().logImportant(EventLine("lease_lost").add("node", entry.node.value()));
            }
        }
        if (!m_lease) {
            m_leaseLifetime = std::max(LeaseLifetime, m_relay.settings().minLeaseTime);
            const auto lease = co_await m_store.grantLease(m_leaseLifetime);
            if (!lease) {
                co_return lease.error();
            }
            m_lease = *lease;
            m_renewedAt = startedAt;
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
    Random m_random;
    boost::asio::steady_timer m_publishTimer;
    boost::asio::steady_timer m_sourceTimer; ///< Wakes followEntries() when the source changes.
    HttpClient m_peerClient; ///< Polls other nodes.
    StoreCursor m_configuration;
    StoreCursor m_entries;
    std::optional<std::uint64_t> m_lastConfigurationRevision; ///< Of the last answer of the store, for the log.
    MonotonicTime m_startedAt;
    bool m_followsNode = false; ///< The source is another node and not the store.
    /// Since when the proofs of the followed node are of an earlier history than what this node knows.
    std::optional<MonotonicTime> m_sourceIsBehindSince;
    bool m_dirty = false;
    bool m_unpublished = false;
    std::optional<LeaseId> m_lease;
    MonotonicTime m_renewedAt; ///< When the last successful renewal was sent.
    Duration m_leaseLifetime = LeaseLifetime;
    std::uint64_t m_entryRevision = 0; ///< Last seen revision of the own entry in the store; 0 if it is absent.
    std::optional<DirectoryEntry> m_publishedEntry;
};

} // namespace Geraniumsail

#endif
