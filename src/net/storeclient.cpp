#include "net/storeclient.h"

#include "net/clock.h"

#include <nlohmann/json.hpp>

namespace Geraniumsail {

namespace {

using Json = nlohmann::json;
using boost::beast::http::verb;

constexpr Duration StoreTimeout = std::chrono::seconds(2);
/// Largest answer: a value of 1 MB with every byte escaped, or a list of contacts.
constexpr std::size_t MaxAnswerBytes = 8'000'000;
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNoContent = 204;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpConflict = 409;

std::optional<std::uint64_t> numberField(const Json &json, const char *name)
{
    const auto found = json.is_object() ? json.find(name) : json.end();
    if (found == json.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<std::string> textField(const Json &json, const char *name)
{
    const auto found = json.is_object() ? json.find(name) : json.end();
    if (found == json.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::string targetOf(const StoreCall &call)
{
    if (call.operation == StoreOperation::Watch) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(call.wait).count();
        return "/v1/watch/" + call.key + "?after=" + std::to_string(call.expectedRevision)
            + "&timeoutMs=" + std::to_string(wait);
    }
    return "/v1/kv/" + call.key;
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string leaseBody(Duration time)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return Json{{"ttlMs", static_cast<std::uint64_t>(ms)}}.dump();
}

std::string putBody(const StoreCall &call, const std::string &lease)
{
    Json json{{"value", call.value}, {"expectedRevision", call.expectedRevision}};
    if (!lease.empty()) {
        json["lease"] = lease;
    }
    return dump(json);
}

} // namespace

StoreClient::StoreClient(boost::asio::any_io_executor executor, Address store)
    : m_client(std::move(executor), ClientLimits{}), m_store(std::move(store))
{
}

boost::asio::awaitable<StoreClient::Answer> StoreClient::exchange(verb method, std::string target, std::string body,
                                                                  Duration timeout)
{
    ++m_counters.calls;
    m_counters.bytesSent += body.size();
    auto request = makeRequest(method, target, m_store.value(), std::move(body));
    auto result = co_await m_client.send(m_store, std::move(request), {monotonicNow() + timeout, nullptr});
    Answer answer;
    if (result) {
        answer.body = std::move(result->message.body());
        bool whole = true;
        while (result->rest && whole) {
            auto part = co_await result->rest->next();
            if (!part || answer.body.size() + part->size() > MaxAnswerBytes) {
                whole = false;
            } else if (part->empty()) {
                break;
            } else {
                answer.body += *part;
            }
        }
        if (whole) {
            answer.status = result->message.result_int();
        }
    }
    m_counters.bytesReceived += answer.body.size();
    if (answer.status != HttpOk && answer.status != HttpNoContent && answer.status != HttpNotFound
        && answer.status != HttpConflict) {
        ++m_counters.failures;
    }
    co_return answer;
}

boost::asio::awaitable<StoreResult> StoreClient::call(StoreCall call, std::string lease)
{
    std::string body;
    if (call.operation == StoreOperation::Put) {
        body = putBody(call, lease);
    }
    const auto method = call.operation == StoreOperation::Put ? verb::put : verb::get;
    const Answer answer = co_await exchange(method, targetOf(call), std::move(body), StoreTimeout + call.wait);
    StoreResult result;
    const Json json = Json::parse(answer.body, nullptr, false);
    const auto revision = numberField(json, "revision");
    if (answer.status == HttpOk && revision) {
        const auto value = textField(json, "value");
        if (call.operation == StoreOperation::Put || value) {
            result = {StoreStatus::Ok, value.value_or(""), *revision};
        }
    } else if (answer.status == HttpNoContent && call.operation == StoreOperation::Watch) {
        result.status = StoreStatus::Unchanged;
    } else if (answer.status == HttpNotFound && call.operation == StoreOperation::Get) {
        result.status = StoreStatus::NotFound;
    } else if (answer.status == HttpConflict && call.operation == StoreOperation::Put) {
        result.status = StoreStatus::Conflict;
        result.revision = revision.value_or(0);
    }
    co_return result;
}

boost::asio::awaitable<std::optional<std::string>> StoreClient::grantLease(Duration time)
{
    std::string body = leaseBody(time);
    const Answer answer = co_await exchange(verb::post, "/v1/leases", std::move(body), StoreTimeout);
    if (answer.status != HttpOk) {
        co_return std::nullopt;
    }
    co_return textField(Json::parse(answer.body, nullptr, false), "lease");
}

boost::asio::awaitable<std::optional<bool>> StoreClient::renewLease(std::string lease)
{
    const Answer answer = co_await exchange(verb::post, "/v1/leases/" + lease + "/renew", "{}", StoreTimeout);
    if (answer.status != HttpOk && answer.status != HttpNotFound) {
        co_return std::nullopt;
    }
    co_return answer.status == HttpOk;
}

boost::asio::awaitable<std::optional<std::vector<std::pair<std::string, std::string>>>>
StoreClient::list(std::string prefix)
{
    const Answer answer = co_await exchange(verb::get, "/v1/list/" + prefix, {}, StoreTimeout);
    const Json json = Json::parse(answer.body, nullptr, false);
    if (answer.status != HttpOk || !json.is_object() || !json.contains("keys") || !json["keys"].is_array()) {
        co_return std::nullopt;
    }
    std::vector<std::pair<std::string, std::string>> entries;
    for (const auto &entry : json["keys"]) {
        const auto key = textField(entry, "key");
        const auto value = textField(entry, "value");
        if (key && value) {
            entries.emplace_back(*key, *value);
        }
    }
    co_return entries;
}

const StoreCounters &StoreClient::counters() const
{
    return m_counters;
}

void StoreClient::closeIdle(MonotonicTime now)
{
    m_client.closeIdle(now);
}

} // namespace Geraniumsail
