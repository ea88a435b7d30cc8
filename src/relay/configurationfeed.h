// Serves the configuration to other nodes of the data centre (see core/configurationsources.h).
//
// A node requests "GET /geraniumsail/configuration?after=VERSION&wait_ms=TIME" (long polling). The response is sent as
// soon as this node has a newer version, when its proof that there is none becomes too old, or when the wait ends. It
// states the age of that proof. A response with a body carries a newer version, as stored.
#ifndef GERANIUMSAIL_RELAY_CONFIGURATIONFEED_H
#define GERANIUMSAIL_RELAY_CONFIGURATIONFEED_H

#include "core/configurationsources.h"
#include "net/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace Geraniumsail {

/// Decoded response of a feed.
struct FeedResponse
{
    std::string text; ///< Newer version; empty if there is none.
    std::optional<Duration> proofAge; ///< Unset if the node never had a proof.
    std::uint64_t revision = 0; ///< Store revision up to which nothing newer was written.
};

class ConfigurationFeed
{
public:
    /// Limit on the wait_ms of a request.
    static constexpr Duration MaxWait = std::chrono::seconds(2);

    explicit ConfigurationFeed(boost::asio::any_io_executor executor);

    /// Makes a valid version available to other nodes.
    void publish(ConfigVersion version, std::string text);
    /// Records that no newer version had been written up to this store revision, as confirmed at the given time by the
    /// store or by a node with a proof of that age.
    void recordProof(MonotonicTime asOf, std::uint64_t revision);

    /// Returns whether a request from another node asks for the configuration.
    static bool isFeedRequest(const HttpRequestMessage &message);
    boost::asio::awaitable<HttpResponse> respond(HttpRequest request);

    static HttpRequest buildRequest(const Address &node, ConfigVersion after, Duration wait);
    /// Returns nothing if the response does not come from a feed.
    static boost::asio::awaitable<std::optional<FeedResponse>> readResponse(HttpResponse response);

private:
    bool hasRecentProof(MonotonicTime now) const;
    void wakeWaiters();

    boost::asio::any_io_executor m_executor;
    ConfigVersion m_version{0};
    std::string m_text;
    std::optional<MonotonicTime> m_proofTime;
    std::uint64_t m_revision = 0;
    std::set<boost::asio::steady_timer *> m_waitTimers; ///< One per pending request.
};

} // namespace Geraniumsail

#endif
