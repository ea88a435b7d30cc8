#include "relay/configurationfeed.h"

#include "core/text.h"
#include "net/clock.h"
#include "net/httpwire.h"

#include <algorithm>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

constexpr std::string_view Path = "/geraniumsail/configuration?";
constexpr std::string_view AfterKey = "after=";
constexpr std::string_view WaitKey = "wait_ms=";
constexpr std::string_view ProofAgeField = "Geraniumsail-Proof-Age-Ms";
constexpr std::string_view RevisionField = "Geraniumsail-Store-Revision";

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// The number behind key in the query; nothing if it is missing or malformed.
std::optional<std::uint64_t> queryNumber(std::string_view target, std::string_view key)
{
    for (const auto part : splitText(target.substr(std::min(Path.size(), target.size())), '&')) {
        if (part.starts_with(key)) {
            return parseNumber<std::uint64_t>(part.substr(key.size()));
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
    wakeAll();
}

void ConfigurationFeed::prove(MonotonicTime asOf, std::uint64_t revision)
{
    const bool wasProven = isProven(asOf);
    m_provenAt = m_provenAt ? std::max(*m_provenAt, asOf) : asOf;
    m_revision = std::max(m_revision, revision);
    if (!wasProven) {
        wakeAll();
    }
}

bool ConfigurationFeed::isProven(MonotonicTime now) const
{
    return m_provenAt && now - *m_provenAt < ConfigurationSources::MaxProofAge;
}

void ConfigurationFeed::wakeAll()
{
    for (auto *timer : m_waiting) {
        timer->cancel();
    }
}

bool ConfigurationFeed::isQuestion(const HttpRequestMessage &message)
{
    return std::string_view(message.target()).starts_with(Path);
}

asio::awaitable<HttpResponse> ConfigurationFeed::answer(HttpRequest request)
{
    const std::string target(request.message.target());
    const auto after = queryNumber(target, AfterKey);
    const auto wait = queryNumber(target, WaitKey);
    if (!after || !wait) {
        co_return errorResponse(ErrorKind::BadRequest);
    }
    const auto begun = monotonicNow();
    const auto longest = std::min<Duration>(std::chrono::milliseconds(std::min<std::uint64_t>(*wait, 60000)), MaxWait);
    auto end = begun + longest;
    if (isProven(begun)) {
        end = std::min(end, *m_provenAt + ConfigurationSources::MaxProofAge);
    }
    if (m_version.value() <= *after) {
        asio::steady_timer timer(m_executor, toSteady(end));
        m_waiting.insert(&timer);
        co_await timer.async_wait(AsTuple);
        m_waiting.erase(&timer);
    }
    const bool isNewer = m_version.value() > *after;
    auto response = makeResponse(200, "application/json", isNewer ? m_text : std::string());
    if (m_provenAt) {
        const auto age = std::max(Duration(0), monotonicNow() - *m_provenAt);
        response.message.set(std::string(ProofAgeField), std::to_string(toMs(age)));
        response.message.set(std::string(RevisionField), std::to_string(m_revision));
    }
    co_return response;
}

HttpRequest ConfigurationFeed::question(const Address &node, ConfigVersion after, Duration wait)
{
    std::string target(Path);
    target += std::string(AfterKey) + std::to_string(after.value());
    target += '&' + std::string(WaitKey) + std::to_string(toMs(wait));
    return makeRequest(boost::beast::http::verb::get, target, node.value());
}

asio::awaitable<std::optional<FeedAnswer>> ConfigurationFeed::readAnswer(HttpResponse response)
{
    if (response.message.result_int() != 200) {
        co_return std::nullopt;
    }
    FeedAnswer answer;
    const auto age = parseNumber<std::int64_t>(fieldValue(response.message, ProofAgeField));
    if (age && *age >= 0) {
        answer.proofAge = std::chrono::milliseconds(*age);
    }
    answer.revision = parseNumber<std::uint64_t>(fieldValue(response.message, RevisionField)).value_or(0);
    auto text = co_await wholeBody(std::move(response));
    if (!text) {
        co_return std::nullopt;
    }
    answer.text = std::move(*text);
    co_return answer;
}

} // namespace Geraniumsail
