// Serves what this node knows of the store, the configuration and the directory entries, to other nodes of the data
// centre (see core/storereaders.h).
//
// A node requests "GET /geraniumsail/store?after=VERSION&entries=REVISION&wait_ms=TIME" (long polling), with what it
// already knows. The response is sent as soon as this node knows more, when its proof that there is nothing newer
// becomes too old, or when the wait ends. It states the age of that proof. Its body carries either a newer
// configuration, as stored, or changes of entries.
//
// Nodes of a version that knows no histories of the store (core/storerevision.h) are refused once this node knows one:
// such a node would take the numbers here for those of the store, and would then follow neither.
#ifndef GERANIUMSAIL_RELAY_STOREFEED_H
#define GERANIUMSAIL_RELAY_STOREFEED_H

#include "core/entryhistory.h"
#include "core/storereaders.h"
#include "net/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace Geraniumsail {

/// What a node already knows when it asks another one.
struct FeedPosition
{
    ConfigVersion configuration{0};
    std::uint64_t entriesRevision = 0; ///< 0 if it knows no entries.
};

/// Decoded response of a feed.
struct FeedResponse
{
    std::string configuration; ///< Newer version; empty if there is none.
    std::optional<EntryChanges> entries; ///< Unset if there are no changes.
    std::optional<Duration> proofAge; ///< Unset if the node never had a proof.
    std::uint64_t revision = 0; ///< Store revision up to which no newer configuration was written.
    std::optional<Duration> entriesAge; ///< Time since the store last confirmed the entries; unset if it never did.
};

class StoreFeed
{
public:
    /// Limit on the wait_ms of a request.
    static constexpr Duration MaxWait = std::chrono::seconds(2);

    explicit StoreFeed(boost::asio::any_io_executor executor);

    /// Makes a valid version available to other nodes.
    void publish(ConfigVersion version, std::string text);
    /// Records that no newer version had been written up to this store revision, as confirmed at the given time by the
    /// store or by a node with a proof of that age.
    void recordProof(MonotonicTime asOf, std::uint64_t revision);
    /// Time since the last proof; unset before the first.
    std::optional<Duration> proofAge(MonotonicTime now) const;
    /// Records entries that were current at the given time. Returns false if they are older than what is known.
    bool recordEntries(MonotonicTime asOf, const EntryChanges &changes);
    /// Records all entries, as the store itself holds them.
    void replaceEntries(MonotonicTime asOf, const EntryChanges &snapshot);
    const EntryHistory &entries() const
    {
        return m_entries;
    }

    /// Returns whether a request from another node asks for the feed.
    static bool isFeedRequest(const HttpRequestMessage &message);
    boost::asio::awaitable<HttpResponse> respond(HttpRequest request);

    static HttpRequest buildRequest(const Address &node, FeedPosition after, Duration wait);
    /// Returns nothing if the response does not come from a feed.
    static boost::asio::awaitable<std::optional<FeedResponse>> readResponse(HttpResponse response);

private:
    void onEntries(MonotonicTime asOf, const EntryChanges &changes);
    bool hasRecentProof(MonotonicTime now) const;
    void wakeWaiters();

    boost::asio::any_io_executor m_executor;
    ConfigVersion m_version{0};
    std::string m_text;
    std::optional<MonotonicTime> m_proofTime;
    std::uint64_t m_revision = 0;
    EntryHistory m_entries;
    std::optional<MonotonicTime> m_entriesTime;
    std::set<boost::asio::steady_timer *> m_waitTimers; ///< One per pending request.
};

} // namespace Geraniumsail

#endif
