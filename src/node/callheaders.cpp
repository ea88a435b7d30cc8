#include "node/callheaders.h"

#include "core/text.h"

#include <boost/beast/core/string.hpp>

#include <vector>

namespace Geraniumsail {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view OwnPrefix = "Geraniumsail-";
constexpr const char *AllowanceField = "Geraniumsail-Allowance-Left";
constexpr const char *ThresholdField = "Geraniumsail-Threshold";
constexpr const char *LoadField = "Geraniumsail-Load";
constexpr int MaxParallel = 1000;
constexpr std::int64_t MaxTimeoutMs = 86'400'000;

/// False if the field is there and malformed.
template <typename T>
bool readIdentifier(const http::fields &fields, std::string_view name, T &target)
{
    const auto text = fieldValue(fields, name);
    if (!text.empty()) {
        target = T(std::string(text));
    }
    return text.empty() || isIdentifier(text);
}

template <typename T>
bool readNumber(const http::fields &fields, std::string_view name, T min, T max, std::optional<T> &target)
{
    const auto text = fieldValue(fields, name);
    if (text.empty()) {
        return true;
    }
    target = parseNumber<T>(text);
    return target && *target >= min && *target <= max;
}

std::string serviceFromHost(const http::fields &fields)
{
    const auto host = fieldValue(fields, "Host");
    return std::string(host.substr(0, host.find_first_of(".:")));
}

bool readTicket(const http::fields &fields, std::optional<Ticket> &ticket)
{
    const auto text = fieldValue(fields, TicketField);
    if (text.empty()) {
        return true;
    }
    auto decoded = decodeTicket(text);
    if (!decoded) {
        return false;
    }
    ticket = std::move(decoded.value());
    return true;
}

} // namespace

boost::system::result<CallInput, ErrorKind> parseCall(const HttpRequest &request,
                                                      const boost::asio::ip::address &remote, bool mayHaveParent)
{
    const http::fields &fields = request.message;
    CallInput input;
    bool good = readIdentifier(fields, ServiceField, input.service)
        && readIdentifier(fields, "Geraniumsail-Kind", input.kind)
        && readIdentifier(fields, "Geraniumsail-Caller", input.caller) && readTicket(fields, input.ticket);
    if (input.service.empty()) {
        input.service = ServiceName(serviceFromHost(fields));
    }
    std::optional<std::int64_t> timeoutMs;
    std::optional<int> parallel;
    good = good && isIdentifier(input.service.value())
        && readNumber<std::int64_t>(fields, "Geraniumsail-Timeout-Ms", 1, MaxTimeoutMs, timeoutMs);
    if (mayHaveParent) {
        AttemptId parent;
        good = good && readIdentifier(fields, ParentField, parent)
            && readNumber<int>(fields, "Geraniumsail-Parallel", 1, MaxParallel, parallel);
        if (!parent.empty()) {
            input.parent = parent;
        }
    }
    IdempotencyKey key;
    good = good && readIdentifier(fields, "Idempotency-Key", key);
    if (!good) {
        return ErrorKind::BadRequest;
    }
    if (!key.empty()) {
        input.key = key;
    }
    // X-Request-Id is not ours: a form that we cannot carry is replaced, not refused.
    if (const auto id = fieldValue(fields, "X-Request-Id"); isIdentifier(id)) {
        input.id = RequestId(std::string(id));
    }
    if (input.caller.empty()) {
        input.caller = CallerName(remote.to_string());
    }
    input.timeout = timeoutMs ? std::optional<Duration>(std::chrono::milliseconds(*timeoutMs)) : std::nullopt;
    input.parallel = parallel.value_or(1);
    const auto method = request.message.method();
    input.safeMethod = method == http::verb::get || method == http::verb::head;
    input.streamed = request.rest != nullptr;
    input.size = bodySize(request);
    return input;
}

void removeOwnFields(http::fields &fields)
{
    removeHopFields(fields);
    std::vector<std::string> names;
    for (const auto &field : fields) {
        const auto name = field.name_string();
        if (name.size() > OwnPrefix.size()
            && boost::beast::iequals(name.substr(0, OwnPrefix.size()), {OwnPrefix.data(), OwnPrefix.size()})) {
            names.emplace_back(name);
        }
    }
    for (const auto &name : names) {
        fields.erase(name);
    }
}

ByteCount bodySize(const HttpRequest &request)
{
    const auto length = parseNumber<std::uint64_t>(fieldValue(request.message, "Content-Length"));
    return ByteCount(length.value_or(request.message.body().size()));
}

void setTargetReport(http::fields &fields, const TargetReport &report)
{
    fields.set(AllowanceField, std::to_string(report.unused.value()));
    fields.set(ThresholdField, encodeThreshold(report.threshold));
    fields.set(LoadField, encodeLoad(report.load));
}

AttemptAnswer readAttemptAnswer(const http::fields &fields)
{
    AttemptAnswer answer;
    answer.outcome = outcomeFromLabel(fieldValue(fields, OutcomeField)).value_or(Outcome::Unknown);
    if (const auto reason = fieldValue(fields, ReasonField); !reason.empty()) {
        answer.reason = errorKindFromLabel(reason);
    }
    const auto unused = parseNumber<std::uint32_t>(fieldValue(fields, AllowanceField));
    answer.unused = Allowance(unused.value_or(0));
    answer.load = decodeLoad(fieldValue(fields, LoadField));
    answer.threshold = decodeThreshold(fieldValue(fields, ThresholdField));
    return answer;
}

std::optional<StoredAnswer> storeAnswer(const HttpResponse &response)
{
    if (response.rest || response.message.body().size() > MaxStoredAnswerBytes) {
        return std::nullopt;
    }
    StoredAnswer stored;
    stored.status = static_cast<int>(response.message.result_int());
    for (const auto &field : response.message) {
        stored.fields.emplace_back(field.name_string(), field.value());
    }
    stored.body = response.message.body();
    return stored.size() <= MaxStoredAnswerBytes ? std::optional(std::move(stored)) : std::nullopt;
}

HttpResponse restoreAnswer(const StoredAnswer &stored)
{
    HttpResponse response;
    response.message.result(static_cast<unsigned>(stored.status));
    for (const auto &[name, value] : stored.fields) {
        response.message.insert(name, value);
    }
    response.message.body() = stored.body;
    return response;
}

} // namespace Geraniumsail
