#include "standin/storeserver.h"

#include "net/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace Geraniumsail::Standin {

namespace asio = boost::asio;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view KeyPath = "/v1/kv/";
constexpr std::string_view WatchPath = "/v1/watch/";
constexpr std::string_view ListPath = "/v1/list/";
constexpr std::string_view LeasePath = "/v1/leases";
constexpr std::string_view RenewSuffix = "/renew";
/// A JSON text of the largest value: escapes may double its length.
constexpr std::size_t MaxBodyBytes = 2 * MaxStoreValueBytes + 1000;
constexpr std::uint64_t MaxWatchMs = 60'000;
constexpr auto SilentTime = std::chrono::seconds(60);
constexpr std::size_t MaxConnections = 4096;

HttpResponse failure(unsigned status, const std::string &error)
{
    return jsonResponse(status, {{"error", error}});
}

std::string after(const std::string &path, std::string_view start)
{
    return path.substr(start.size());
}

Json entryJson(const StoreEntry &entry)
{
    return {{"value", entry.value}, {"revision", entry.revision}};
}

void readNumber(const Json &json, const char *name, std::uint64_t &value)
{
    const auto field = json.find(name);
    if (field != json.end() && field->is_number_unsigned()) {
        value = field->get<std::uint64_t>();
    }
}

void readFlag(const Json &json, const char *name, bool &value)
{
    const auto field = json.find(name);
    if (field != json.end() && field->is_boolean()) {
        value = field->get<bool>();
    }
}

ServerLimits storeLimits()
{
    ServerLimits limits;
    limits.connections = MaxConnections;
    limits.bodyBytes = MaxBodyBytes;
    return limits;
}

} // namespace

StoreServer::StoreServer(const asio::any_io_executor &executor)
    : m_executor(executor), m_server(executor, storeLimits(), [this](HttpRequest request, RequestScope &scope) {
          return handle(std::move(request), scope);
      })
{
}

Address StoreServer::listen(const Address &address)
{
    return m_server.listen(address);
}

void StoreServer::stop()
{
    for (const auto &[key, timer] : m_watches) {
        timer->cancel();
    }
    m_server.stop();
}

bool StoreServer::admit(bool isWrite, bool isWatch)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(monotonicNow().time_since_epoch()).count();
    if (second != m_second) {
        m_second = second;
        m_readsInSecond = 0;
        m_writesInSecond = 0;
    }
    auto &total = isWatch ? m_counts.watches : isWrite ? m_counts.writes : m_counts.reads;
    auto &rate = isWrite ? m_writesInSecond : m_readsInSecond;
    auto &peak = isWrite ? m_counts.peakWritesPerSecond : m_counts.peakReadsPerSecond;
    const auto limit = isWrite ? m_faults.writesPerSecond : m_faults.readsPerSecond;
    ++total;
    peak = std::max(peak, ++rate);
    if (limit != 0 && rate > limit) {
        ++m_counts.rejected;
        return false;
    }
    return true;
}

StoreServer::Answer StoreServer::handle(HttpRequest request, RequestScope &scope)
{
    const std::string method(request.message.method_string());
    const auto target = parseTarget(std::string_view(request.message.target()));
    auto body = co_await readWhole(std::move(request.message.body()), request.rest.get(), MaxBodyBytes);
    if (!body) {
        co_return failure(413, "body too large or cut off");
    }
    if (target.path.starts_with("/standin/")) {
        co_return control(method, target.path, *body);
    }
    if (m_faults.silent) {
        co_await pause(SilentTime, scope.cancellation);
        co_return lostResponse();
    }
    if (m_faults.down) {
        co_return failure(503, "store is down");
    }
    if (m_faults.delay > Duration::zero() && !co_await pause(m_faults.delay, scope.cancellation)) {
        co_return lostResponse();
    }
    co_return co_await dispatch(method, target, *body, scope);
}

StoreServer::Answer StoreServer::dispatch(const std::string &method, const Target &target, const std::string &body,
                                          RequestScope &scope)
{
    const bool isRead = method == "GET";
    const bool isWatch = target.path.starts_with(WatchPath);
    if (!admit(!isRead, isWatch)) {
        co_return failure(429, "rate exceeded");
    }
    if (isRead && isWatch) {
        co_return co_await watch(target, after(target.path, WatchPath), scope);
    }
    if (isRead) {
        co_return read(target.path);
    }
    auto response = write(method, target, body);
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        co_return lostResponse();
    }
    co_return response;
}

HttpResponse StoreServer::read(const std::string &path)
{
    const auto now = monotonicNow();
    if (path.starts_with(KeyPath)) {
        const auto entry = m_model.get(after(path, KeyPath), now);
        return entry ? jsonResponse(200, entryJson(*entry)) : failure(404, "no such key");
    }
    if (path.starts_with(ListPath)) {
        Json keys = Json::array();
        for (const auto &[key, entry] : m_model.list(after(path, ListPath), now)) {
            auto json = entryJson(entry);
            json["key"] = key;
            keys.push_back(std::move(json));
        }
        return jsonResponse(200, {{"keys", keys}});
    }
    return failure(404, "no such path");
}

HttpResponse StoreServer::write(const std::string &method, const Target &target, const std::string &body)
{
    if (method == "PUT" && target.path.starts_with(KeyPath)) {
        return put(after(target.path, KeyPath), body);
    }
    if (method == "DELETE" && target.path.starts_with(KeyPath)) {
        const auto result =
            m_model.remove(after(target.path, KeyPath), target.number("expectedRevision", 0), monotonicNow());
        return jsonResponse(result.done ? 200 : 409, {{"revision", result.revision}});
    }
    if (method == "POST" && target.path.starts_with(LeasePath)) {
        return lease(target.path, body);
    }
    return failure(404, "no such path");
}

HttpResponse StoreServer::put(const std::string &key, const std::string &body)
{
    const auto json = parseJsonObject(body);
    if (!json || !json->contains("value") || !(*json)["value"].is_string()) {
        return failure(400, "expected {\"value\", \"expectedRevision\"}");
    }
    auto value = (*json)["value"].get<std::string>();
    if (value.size() > MaxStoreValueBytes) {
        return failure(413, "value over 1 MB");
    }
    std::uint64_t expected = 0;
    readNumber(*json, "expectedRevision", expected);
    const auto leaseField = json->find("lease");
    const auto lease = leaseField != json->end() && leaseField->is_string() ? leaseField->get<std::string>() : "";
    const auto result = m_model.put(key, std::move(value), expected, lease, monotonicNow());
    if (result.done) {
        wake(key);
    }
    return jsonResponse(result.done ? 200 : 409, {{"revision", result.revision}});
}

HttpResponse StoreServer::lease(const std::string &path, const std::string &body)
{
    if (path == LeasePath) {
        const auto json = parseJsonObject(body);
        std::uint64_t ttl = 0;
        if (json) {
            readNumber(*json, "ttlMs", ttl);
        }
        if (ttl == 0) {
            return failure(400, "expected {\"ttlMs\"}");
        }
        return jsonResponse(200, {{"lease", m_model.grantLease(milliseconds(ttl), monotonicNow())}});
    }
    if (path.ends_with(RenewSuffix) && path.size() > LeasePath.size() + 1 + RenewSuffix.size()) {
        const auto start = LeasePath.size() + 1;
        const auto id = path.substr(start, path.size() - start - RenewSuffix.size());
        return m_model.renewLease(id, monotonicNow()) ? jsonResponse(200, {{"lease", id}})
                                                      : failure(404, "no such lease");
    }
    return failure(404, "no such path");
}

StoreServer::Answer StoreServer::watch(const Target &target, const std::string &key, RequestScope &scope)
{
    const auto known = target.number("after", 0);
    const auto wait = milliseconds(std::min(target.number("timeoutMs", 0), MaxWatchMs));
    const auto end = monotonicNow() + wait;
    while (true) {
        const auto now = monotonicNow();
        const auto entry = m_model.get(key, now);
        if (entry && entry->revision > known) {
            co_return jsonResponse(200, entryJson(*entry));
        }
        if (now >= end || scope.cancellation.isCancelled()) {
            HttpResponse empty;
            empty.message.result(204);
            co_return empty;
        }
        asio::steady_timer timer(m_executor, end - now);
        const auto registration = scope.cancellation.onCancel([&timer] { timer.cancel(); });
        const auto position = m_watches.emplace(key, &timer);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        m_watches.erase(position);
    }
}

void StoreServer::wake(const std::string &key)
{
    const auto [first, last] = m_watches.equal_range(key);
    for (auto at = first; at != last; ++at) {
        at->second->cancel();
    }
}

HttpResponse StoreServer::control(const std::string &method, const std::string &path, const std::string &body)
{
    if (method == "GET" && path == "/standin/counts") {
        return showCounts();
    }
    if (method == "POST" && path == "/standin/faults") {
        return setFaults(body);
    }
    if (method == "POST" && path == "/standin/snapshot") {
        m_model.snapshot();
        return jsonResponse(200, {{"done", true}});
    }
    if (method == "POST" && path == "/standin/restore") {
        m_model.restore();
        return jsonResponse(200, {{"done", true}});
    }
    return failure(404, "no such path");
}

HttpResponse StoreServer::setFaults(const std::string &body)
{
    const auto json = parseJsonObject(body);
    if (!json) {
        return failure(400, "expected a JSON object");
    }
    readFlag(*json, "down", m_faults.down);
    readFlag(*json, "silent", m_faults.silent);
    std::uint64_t delayMs =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(m_faults.delay).count());
    readNumber(*json, "delayMs", delayMs);
    m_faults.delay = milliseconds(delayMs);
    readNumber(*json, "loseAnswers", m_faults.loseAnswers);
    if (json->contains("rejectOver") && (*json)["rejectOver"].is_object()) {
        readNumber((*json)["rejectOver"], "readsPerSecond", m_faults.readsPerSecond);
        readNumber((*json)["rejectOver"], "writesPerSecond", m_faults.writesPerSecond);
    }
    return jsonResponse(
        200,
        {{"down", m_faults.down},
         {"silent", m_faults.silent},
         {"delayMs", delayMs},
         {"loseAnswers", m_faults.loseAnswers},
         {"rejectOver", {{"readsPerSecond", m_faults.readsPerSecond}, {"writesPerSecond", m_faults.writesPerSecond}}}});
}

HttpResponse StoreServer::showCounts() const
{
    return jsonResponse(200,
                        {{"reads", m_counts.reads},
                         {"writes", m_counts.writes},
                         {"watches", m_counts.watches},
                         {"rejected", m_counts.rejected},
                         {"peakReadsPerSecond", m_counts.peakReadsPerSecond},
                         {"peakWritesPerSecond", m_counts.peakWritesPerSecond}});
}

} // namespace Geraniumsail::Standin
