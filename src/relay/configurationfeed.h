// Passes the configuration on to other nodes of the data centre (see core/configurationsources.h).
//
// A node asks "GET /geraniumsail/configuration?after=VERSION&wait_ms=TIME". It is answered as soon as this node has a
// newer version than that, when the proof that there is none gets too old, or after the wait. Each answer states the
// age of that proof; one with a body is a newer version, as stored.
#ifndef GERANIUMSAIL_RELAY_CONFIGURATIONFEED_H
#define GERANIUMSAIL_RELAY_CONFIGURATIONFEED_H

#include "core/configurationsources.h"
#include "net/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace Geraniumsail {

/// What a node says about the configuration.
struct FeedAnswer
{
    std::string text; ///< Of a newer version; empty if there is none.
    std::optional<Duration> proofAge; ///< Nothing if the node never had a proof.
    std::uint64_t revision = 0; ///< Of the store, up to which nothing newer was written.
};

class ConfigurationFeed
{
public:
    /// Longest wait of one question.
    static constexpr Duration MaxWait = std::chrono::seconds(2);

    explicit ConfigurationFeed(boost::asio::any_io_executor executor);

    /// A usable version was read.
    void publish(ConfigVersion version, std::string text);
    /// The store, or a node with a proof of this age, said that nothing newer was written up to this revision.
    void prove(MonotonicTime asOf, std::uint64_t revision);

    /// Whether a request of another node is a question about the configuration.
    static bool isQuestion(const HttpRequestMessage &message);
    boost::asio::awaitable<HttpResponse> answer(HttpRequest request);

    static HttpRequest question(const Address &node, ConfigVersion after, Duration wait);
    /// Nothing if the answer is not one of a feed.
    static boost::asio::awaitable<std::optional<FeedAnswer>> readAnswer(HttpResponse response);

private:
    bool isProven(MonotonicTime now) const;
    void wakeAll();

    boost::asio::any_io_executor m_executor;
    ConfigVersion m_version{0};
    std::string m_text;
    std::optional<MonotonicTime> m_provenAt;
    std::uint64_t m_revision = 0;
    std::set<boost::asio::steady_timer *> m_waiting;
};

} // namespace Geraniumsail

#endif
