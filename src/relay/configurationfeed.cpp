#include "relay/configurationfeed.h"

#include "core/text.h"
#include "net/clock.h"
#include "net/httpwire.h"

#include <algorithm>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

constexpr std::string_view PathPrefix = "/geraniumsail/configuration?";
constexpr std::string_view AfterParameter = "after=";
constexpr std::string_view WaitParameter = "wait_ms=";
constexpr std::string_view ProofAgeHeader = "Geraniumsail-Proof-Age-Ms";
constexpr std::string_view RevisionHeader = "Geraniumsail-Store-Revision";

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Returns the numeric value of a query parameter; nothing if it is missing or malformed.
std::optional<std::uint64_t> numericParameter(std::string_view target, std::string_view name)
{
    for (const auto parameter : splitText(target.substr(std::min(PathPrefix.size(), target.size())), '&')) {
        if (parameter.starts_with(name)) {
            return parseNumber<std::uint64_t>(parameter.substr(name.size()));
        }
    }
    return std::nullopt;
}

} // namespace

ConfigurationFeed::ConfigurationFeed(asio::any_io_executor executor) : m_executor(std::move(executor))
{
}

void ConfigurationFeed::publish(ConfigVersion version, std::string text)
{
    if (version <= m_version) {
        return;
    }
    m_version = version;
    m_text = std::move(text);
    wakeWaiters();
}

void ConfigurationFeed::recordProof(MonotonicTime asOf, std::uint64_t revision)
{
    const bool hadRecentProof = hasRecentProof(asOf);
    m_proofTime = m_proofTime ? std::max(*m_proofTime, asOf) : asOf;
    m_revision = std::max(m_revision, revision);
    if (!hadRecentProof) {
        wakeWaiters();
    }
}

bool ConfigurationFeed::hasRecentProof(MonotonicTime now) const
{
    return m_proofTime && now - *m_proofTime < ConfigurationSources::MaxProofAge;
}

void ConfigurationFeed::wakeWaiters()
{
    for (auto *timer : m_waitTimers) {
        timer->cancel();
    }
}

bool ConfigurationFeed::isFeedRequest(const HttpRequestMessage &message)
{
    return std::string_view(message.target()).starts_with(PathPrefix);
}

asio::awaitable<HttpResponse> ConfigurationFeed::respond(HttpRequest request)
{
    const std::string target(request.message.target());
    const auto after = numericParameter(target, AfterParameter);
    const auto wait = numericParameter(target, WaitParameter);
    if (!after || !wait) {
        co_return errorResponse(ErrorKind::BadRequest);
    }
    const auto startedAt = monotonicNow();
    const auto maxWait = std::min<Duration>(std::chrono::milliseconds(std::min<std::uint64_t>(*wait, 60000)), MaxWait);
    auto end = startedAt + maxWait;
    if (hasRecentProof(startedAt)) {
        end = std::min(end, *m_proofTime + ConfigurationSources::MaxProofAge);
    }
    if (m_version.value() <= *after) {
        asio::steady_timer timer(m_executor, toSteady(end));
        m_waitTimers.insert(&timer);
        co_await timer.async_wait(AsTuple);
        m_waitTimers.erase(&timer);
    }
    const bool isNewer = m_version.value() > *after;
    auto response = makeResponse(200, "application/json", isNewer ? m_text : std::string());
    if (m_proofTime) {
        const auto age = std::max(Duration(0), monotonicNow() - *m_proofTime);
        response.message.set(std::string(ProofAgeHeader), std::to_string(toMs(age)));
        response.message.set(std::string(RevisionHeader), std::to_string(m_revision));
    }
    co_return response;
}

HttpRequest ConfigurationFeed::buildRequest(const Address &node, ConfigVersion after, Duration wait)
{
    std::string target(PathPrefix);
    target += std::string(AfterParameter) + std::to_string(after.value());
    target += '&' + std::string(WaitParameter) + std::to_string(toMs(wait));
    return makeRequest(boost::beast::http::verb::get, target, node.value());
}

asio::awaitable<std::optional<FeedResponse>> ConfigurationFeed::readResponse(HttpResponse response)
{
    if (response.message.result_int() != 200) {
        co_return std::nullopt;
    }
    FeedResponse feedResponse;
    const auto age = parseNumber<std::int64_t>(fieldValue(response.message, ProofAgeHeader));
    if (age && *age >= 0) {
        feedResponse.proofAge = std::chrono::milliseconds(*age);
    }
    feedResponse.revision = parseNumber<std::uint64_t>(fieldValue(response.message, RevisionHeader)).value_or(0);
    auto text = co_await wholeBody(std::move(response));
    if (!text) {
        co_return std::nullopt;
    }
    feedResponse.text = std::move(*text);
    co_return feedResponse;
}

} // namespace Geraniumsail
