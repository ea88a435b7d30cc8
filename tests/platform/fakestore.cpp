#include "fakestore.h"

#include "core/text.h"
#include "net/httpwire.h"

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

constexpr auto WatchPollInterval = std::chrono::milliseconds(5);
/// Longer than the timeout of any caller.
constexpr auto LostResponseDelay = std::chrono::seconds(3);

HttpResponse json(unsigned status, const Json &body)
{
    return makeResponse(status, "application/json", body.dump());
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> queryParameters(std::string_view target)
{
    std::map<std::string, std::string> query;
    const auto queryStart = target.find('?');
    if (queryStart != std::string_view::npos) {
        for (const auto parameter : splitText(target.substr(queryStart + 1), '&')) {
            const auto equals = parameter.find('=');
            query[std::string(parameter.substr(0, equals))] = percentDecoded(parameter.substr(equals + 1));
        }
    }
    return query;
}

} // namespace

FakeStore::FakeStore(asio::io_context &context)
    : m_context(context), m_server(context.get_executor(), ServerLimits{},
                                   [this](HttpRequest request, RequestScope &) { return answer(std::move(request)); }),
      m_address(m_server.listen(Address("127.0.0.1:0")))
{
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    change(key, Platform::encodeBase64(value), 0);
}

std::string FakeStore::valueOf(const std::string &key) const
{
    const auto item = m_items.find(key);
    return item == m_items.end() ? "" : Platform::decodeBase64(item->second.value).value_or("");
}

void FakeStore::change(const std::string &key, const std::string &base64, std::uint64_t lease)
{
    m_items[key] = Item{base64, ++m_revision, lease};
    m_history.push_back(Json{{"key", key}, {"value", base64}, {"revision", m_revision}, {"lease", lease}});
}

void FakeStore::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back(Json{{"key", key}, {"revision", ++m_revision}, {"deleted", true}});
    }
}

void FakeStore::revokeLeases()
{
    for (auto &[lease, expiryAndLifetime] : m_leases) {
        expiryAndLifetime.first = MonotonicTime{};
    }
    expireLeases();
}

void FakeStore::compact()
{
    m_history.clear();
    m_compactedAt = ++m_revision;
}

void FakeStore::expireLeases()
{
    const auto now = monotonicNow();
    std::erase_if(m_leases, [now](const auto &lease) { return lease.second.first < now; });
    std::vector<std::string> ended;
    for (const auto &[key, item] : m_items) {
        if (item.lease != 0 && !m_leases.contains(item.lease)) {
            ended.push_back(key);
        }
    }
    for (const auto &key : ended) {
        remove(key);
    }
}

std::shared_ptr<const FakeStore::Copy> FakeStore::copy() const
{
    return std::make_shared<Copy>(Copy{m_items, m_leases, m_revision, m_nextLease});
}

void FakeStore::restore(const Copy &copy)
{
    m_items = copy.items;
    m_leases = copy.leases;
    m_revision = copy.revision;
    m_nextLease = copy.nextLease;
    m_history.clear();
    m_compactedAt = m_revision;
    ++era;
}

asio::awaitable<HttpResponse> FakeStore::answer(HttpRequest request)
{
    auto response = co_await handle(std::move(request));
    if (statesEra) {
        response.message.set("Store-Era", std::to_string(era));
    }
    co_return response;
}

asio::awaitable<HttpResponse> FakeStore::handle(HttpRequest request)
{
    const std::string target(request.message.target());
    const auto path = target.substr(0, target.find('?'));
    ++calls[path];
    if (unavailable) {
        co_return json(503, Json::object());
    }
    expireLeases();
    auto query = queryParameters(target);
    if (path == "/kv-key") {
        ++reads[query["key"]];
        co_return read(query["key"]);
    }
    if (path == "/kv-range") {
        co_return range(query["prefix"], query["after"]);
    }
    if (path == "/kv-watch") {
        const auto after = parseNumber<std::uint64_t>(query["after"]).value_or(0);
        const auto waitMs = parseNumber<int>(query["wait_ms"]).value_or(0);
        ++watches[query["prefix"]];
        co_return co_await watch(query["prefix"], after, waitMs);
    }
    if (path == "/kv-txn") {
        co_return co_await transact(request.message.body());
    }
    if (path == "/kv-lease") {
        const auto body = parseJson(request.message.body());
        const auto lifetime = Platform::parseDuration(stringField(body, "ttl_time").value_or(""));
        const auto lease = ++m_nextLease;
        m_leases[lease] = {monotonicNow() + lifetime.value_or(Duration(0)), lifetime.value_or(Duration(0))};
        co_return json(200, Json{{"lease", lease}, {"ttl_time", Platform::formatDuration(*lifetime)}});
    }
    const auto lease = parseNumber<std::uint64_t>(path.substr(path.rfind('/') + 1)).value_or(0);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        co_return json(404, Json::object());
    }
    if (path.starts_with("/kv-keep/")) {
        found->second.first = monotonicNow() + found->second.second;
        co_return json(200, Json{{"ttl_time", Platform::formatDuration(found->second.second)}});
    }
    m_leases.erase(found);
    expireLeases();
    co_return json(200, Json::object());
}

HttpResponse FakeStore::read(const std::string &key) const
{
    const auto item = m_items.find(key);
    if (item == m_items.end()) {
        return json(404, Json{{"at", m_revision}});
    }
    return json(200,
                Json{{"key", key},
                     {"value", item->second.value},
                     {"revision", item->second.revision},
                     {"lease", item->second.lease},
                     {"at", m_revision}});
}

HttpResponse FakeStore::range(const std::string &prefix, const std::string &after) const
{
    auto items = Json::array();
    bool hasMore = false;
    for (const auto &[key, item] : m_items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        hasMore = items.size() == pageSize;
        if (hasMore) {
            break;
        }
        items.push_back(Json{{"key", key}, {"value", item.value}, {"revision", item.revision}});
    }
    return json(200, Json{{"items", items}, {"has_more", hasMore}, {"at", m_revision}});
}

asio::awaitable<HttpResponse> FakeStore::watch(std::string prefix, std::uint64_t after, int waitMs)
{
    asio::steady_timer timer(m_context);
    const auto end = monotonicNow() + std::chrono::milliseconds(waitMs);
    auto events = Json::array();
    bool waiting = true;
    while (waiting) {
        if (refusesWatches || after < m_compactedAt || after > m_revision) {
            co_return json(410, Json::object());
        }
        expireLeases();
        for (const auto &event : m_history) {
            if (event.at("revision").get<std::uint64_t>() > after
                && event.at("key").get<std::string>().starts_with(prefix)) {
                events.push_back(event);
            }
        }
        waiting = events.empty() && monotonicNow() < end;
        if (waiting) {
            timer.expires_after(WatchPollInterval);
            co_await timer.async_wait(AsTuple);
        }
    }
    co_return json(200, Json{{"events", events}, {"at", m_revision}});
}

asio::awaitable<HttpResponse> FakeStore::transact(std::string body)
{
    const auto request = parseJson(body);
    for (const auto &row : arrayField(request, "expected_rev")) {
        const auto item = m_items.find(*stringField(row, "key"));
        const auto present = item == m_items.end() ? 0 : item->second.revision;
        if (present != *unsignedField(row, "revision")) {
            co_return json(412, Json{{"items", Json::array()}});
        }
    }
    for (const auto &put : arrayField(request, "puts")) {
        const auto lease = unsignedField(put, "lease").value_or(0);
        if (lease != 0 && !m_leases.contains(lease)) {
            co_return json(404, Json::object());
        }
        change(*stringField(put, "key"), *stringField(put, "value"), lease);
    }
    const auto revision = m_revision;
    if (lostWriteResponses > 0) {
        --lostWriteResponses;
        asio::steady_timer timer(m_context, LostResponseDelay);
        co_await timer.async_wait(AsTuple);
    }
    co_return json(200, Json{{"revision", revision}});
}

} // namespace Geraniumsail
