#include "relay/storefeed.h"

#include "core/storerevision.h"
#include "core/text.h"
#include "net/clock.h"
#include "net/httpwire.h"
#include "relay/entrycodec.h"

#include <algorithm>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

constexpr std::string_view PathPrefix = "/geraniumsail/store?";
constexpr std::string_view AfterParameter = "after=";
constexpr std::string_view EntriesParameter = "entries=";
constexpr std::string_view WaitParameter = "wait_ms=";
constexpr std::string_view ProofAgeHeader = "Geraniumsail-Proof-Age-Ms";
constexpr std::string_view RevisionHeader = "Geraniumsail-Store-Revision";
constexpr std::string_view EntriesAgeHeader = "Geraniumsail-Entries-Age-Ms";
constexpr std::string_view ContentHeader = "Geraniumsail-Content";
constexpr std::string_view EntriesContent = "entries";
constexpr std::string_view ConfigurationContent = "configuration";
/// Four times the largest value that the store accepts.
constexpr std::size_t MaxResponseBytes = 4UL * 1024 * 1024;
constexpr std::uint64_t MaxWaitMs = 60000;

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

void setAge(HttpResponse &response, std::string_view header, std::optional<MonotonicTime> time, MonotonicTime now)
{
    if (time) {
        response.message.set(std::string(header), std::to_string(toMs(std::max(Duration(0), now - *time))));
    }
}

std::optional<Duration> readAge(const HttpResponse &response, std::string_view header)
{
    const auto age = parseNumber<std::int64_t>(fieldValue(response.message, header));
    return age && *age >= 0 && *age <= toMs(std::chrono::hours(24)) ? std::optional(std::chrono::milliseconds(*age))
                                                                    : std::nullopt;
}

} // namespace

StoreFeed::StoreFeed(asio::any_io_executor executor) : m_executor(std::move(executor))
{
}

void StoreFeed::publish(ConfigVersion version, std::string text)
{
    if (version <= m_version) {
        return;
    }
    m_version = version;
    m_text = std::move(text);
    wakeWaiters();
}

void StoreFeed::recordProof(MonotonicTime asOf, std::uint64_t revision)
{
    const bool hadRecentProof = hasRecentProof(asOf);
    m_proofTime = m_proofTime ? std::max(*m_proofTime, asOf) : asOf;
    // Within a history the higher one is the later one, whoever reported it.
    const bool isSameHistory = storeHistoryOf(revision) == storeHistoryOf(m_revision);
    m_revision = isSameHistory ? std::max(m_revision, revision) : revision;
    if (!hadRecentProof) {
        wakeWaiters();
    }
}

std::optional<Duration> StoreFeed::proofAge(MonotonicTime now) const
{
    return m_proofTime ? std::optional(now - *m_proofTime) : std::nullopt;
}

bool StoreFeed::recordEntries(MonotonicTime asOf, const EntryChanges &changes)
{
    if (!m_entries.apply(changes)) {
        return false;
    }
    onEntries(asOf, changes);
    return true;
}

void StoreFeed::replaceEntries(MonotonicTime asOf, const EntryChanges &snapshot)
{
    m_entries.replace(snapshot);
    onEntries(asOf, snapshot);
}

void StoreFeed::onEntries(MonotonicTime asOf, const EntryChanges &changes)
{
    m_entriesTime = m_entriesTime ? std::max(*m_entriesTime, asOf) : asOf;
    if (!changes.entries.empty() || !changes.removed.empty()) {
        wakeWaiters();
    }
}

bool StoreFeed::hasRecentProof(MonotonicTime now) const
{
    return m_proofTime && now - *m_proofTime < StoreReaders::MaxProofAge;
}

void StoreFeed::wakeWaiters()
{
    for (auto *timer : m_waitTimers) {
        timer->cancel();
    }
}

bool StoreFeed::isFeedRequest(const HttpRequestMessage &message)
{
    return std::string_view(message.target()).starts_with(PathPrefix);
}

asio::awaitable<HttpResponse> StoreFeed::respond(HttpRequest request)
{
    const std::string target(request.message.target());
    const auto after = numericParameter(target, AfterParameter);
    const auto entriesAfter = numericParameter(target, EntriesParameter);
    const auto wait = numericParameter(target, WaitParameter);
    if (!after || !entriesAfter || !wait) {
        co_return errorResponse(ErrorKind::BadRequest);
    }
    const bool knowsHistories = *entriesAfter == 0 || storeHistoryOf(*entriesAfter) > 0;
    if (!knowsHistories && storeHistoryOf(m_entries.revision()) > 0) {
        co_return errorResponse(ErrorKind::BadRequest);
    }
    const auto startedAt = monotonicNow();
    const auto maxWait = std::min<Duration>(std::chrono::milliseconds(std::min(*wait, MaxWaitMs)), MaxWait);
    auto end = startedAt + maxWait;
    if (hasRecentProof(startedAt)) {
        end = std::min(end, *m_proofTime + StoreReaders::MaxProofAge);
    }
    auto changes = m_entries.since(*entriesAfter);
    if (m_version.value() <= *after && changes.entries.empty() && changes.removed.empty()) {
        asio::steady_timer timer(m_executor, toSteady(end));
        m_waitTimers.insert(&timer);
        co_await timer.async_wait(AsTuple);
        m_waitTimers.erase(&timer);
        changes = m_entries.since(*entriesAfter);
    }
    std::string_view content;
    std::string body;
    if (m_version.value() > *after) {
        content = ConfigurationContent;
        body = m_text;
    } else if (changes.revision > *entriesAfter && (!changes.entries.empty() || !changes.removed.empty())) {
        content = EntriesContent;
        body = encodeChanges(changes);
    }
    auto response = makeResponse(200, "application/json", std::move(body));
    if (!content.empty()) {
        response.message.set(std::string(ContentHeader), content);
    }
    const auto now = monotonicNow();
    setAge(response, ProofAgeHeader, m_proofTime, now);
    setAge(response, EntriesAgeHeader, m_entriesTime, now);
    response.message.set(std::string(RevisionHeader), std::to_string(m_revision));
    co_return response;
}

HttpRequest StoreFeed::buildRequest(const Address &node, FeedPosition after, Duration wait)
{
    std::string target(PathPrefix);
    target += std::string(AfterParameter) + std::to_string(after.configuration.value());
    target += '&' + std::string(EntriesParameter) + std::to_string(after.entriesRevision);
    target += '&' + std::string(WaitParameter) + std::to_string(toMs(wait));
    return makeRequest(boost::beast::http::verb::get, target, node.value());
}

asio::awaitable<std::optional<FeedResponse>> StoreFeed::readResponse(HttpResponse response)
{
    if (response.message.result_int() != 200) {
        co_return std::nullopt;
    }
    FeedResponse feedResponse;
    feedResponse.proofAge = readAge(response, ProofAgeHeader);
    feedResponse.entriesAge = readAge(response, EntriesAgeHeader);
    feedResponse.revision = parseNumber<std::uint64_t>(fieldValue(response.message, RevisionHeader)).value_or(0);
    const std::string content(fieldValue(response.message, ContentHeader));
    auto text = co_await wholeBody(std::move(response), MaxResponseBytes);
    if (!text) {
        co_return std::nullopt;
    }
    if (content == ConfigurationContent) {
        feedResponse.configuration = std::move(*text);
    } else if (content == EntriesContent) {
        feedResponse.entries = decodeChanges(*text);
        if (!feedResponse.entries) {
            co_return std::nullopt;
        }
    }
    co_return feedResponse;
}

} // namespace Geraniumsail
