#include "relay/attemptcodec.h"

#include "core/text.h"

#include <array>

namespace Geraniumsail {

namespace {

constexpr std::string_view ContextField = "Geraniumsail-Attempt";
constexpr std::string_view ResultField = "Geraniumsail-Result";
/// Fields of a refusal by a node's server, before it reached a handler (see errorResponse()).
constexpr std::string_view OutcomeField = "Geraniumsail-Outcome";
constexpr std::string_view ReasonField = "Geraniumsail-Reason";
constexpr std::array NodeFields{ContextField, ResultField, OutcomeField, ReasonField};
/// Number of values in the context field; writeContext() defines their order.
constexpr std::size_t ContextValueCount = 10;
/// Number of values in the result field; encodeResult() defines their order.
constexpr std::size_t ResultValueCount = 5;
/// Maximum of the durations in a context.
constexpr std::int64_t MaxTimeLeftMs = 3600L * 1000;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Replaces characters that separate values or are not allowed in a header field by "%" and two hexadecimal digits.
std::string escapeValue(std::string_view value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string escaped;
    escaped.reserve(value.size());
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte > ' ' && byte < 0x7f && c != ';' && c != '%') {
            escaped += c;
        } else {
            escaped += '%';
            escaped += digits[byte >> 4U];
            escaped += digits[byte & 15U];
        }
    }
    return escaped;
}

/// Returns nothing if an escape sequence is incomplete or has other characters than hexadecimal digits.
std::optional<std::string> unescapeValue(std::string_view escaped)
{
    std::string value;
    value.reserve(escaped.size());
    while (!escaped.empty()) {
        if (escaped.front() != '%') {
            value += escaped.front();
            escaped.remove_prefix(1);
            continue;
        }
        const auto byte = parseNumber<std::uint8_t>(escaped.substr(1, 2), 16);
        if (escaped.size() < 3 || !byte) {
            return std::nullopt;
        }
        value += static_cast<char>(*byte);
        escaped.remove_prefix(3);
    }
    return value;
}

std::optional<QueueLoad> readLoad(std::string_view text)
{
    const auto parts = splitText(text, ',');
    if (parts.size() != 5) {
        return std::nullopt;
    }
    const auto running = parseNumber<std::uint32_t>(parts[0]);
    const auto waiting = parseNumber<std::uint32_t>(parts[1]);
    const auto limit = parseNumber<std::uint32_t>(parts[2]);
    const auto serviceTime = parseNumber<std::int64_t>(parts[3]);
    if (!running || !waiting || !limit || !serviceTime || *serviceTime < 0) {
        return std::nullopt;
    }
    return QueueLoad{*running, *waiting, *limit, Duration(*serviceTime), parts[4] != "leaf"};
}

std::optional<AdmittedFraction> readFraction(std::string_view text)
{
    const auto thousandths = parseNumber<int>(text);
    if (!thousandths || *thousandths < 0 || *thousandths > 1000) {
        return std::nullopt;
    }
    return AdmittedFraction(*thousandths / 1000.0);
}

} // namespace

void writeContext(const AttemptContext &context, HttpRequestMessage &message)
{
    std::string text = escapeValue(context.service.value());
    text += ';' + escapeValue(context.upstream.value());
    text += ';' + escapeValue(context.callerService.value());
    text += context.origin == Origin::Call ? ";call" : ";root";
    text += context.repeatability == Repeatability::Idempotent ? ";idempotent" : ";once";
    text += ';' + std::to_string(context.rank.value());
    text += ';' + std::to_string(toMs(context.timeLeft));
    text += ';' + std::to_string(toMs(context.maxWait));
    text += ';' + std::to_string(context.configVersion.value());
    text += ';' + escapeValue(context.route.value());
    message.set(std::string(ContextField), text);
}

std::optional<AttemptContext> readContext(const HttpRequestMessage &message, std::string_view requestId)
{
    const auto parts = splitText(fieldValue(message, ContextField), ';');
    if (parts.size() != ContextValueCount) {
        return std::nullopt;
    }
    const auto rank = parseNumber<std::uint8_t>(parts[5]);
    const auto timeLeft = parseNumber<std::int64_t>(parts[6]);
    const auto maxWait = parseNumber<std::int64_t>(parts[7]);
    const auto version = parseNumber<std::uint64_t>(parts[8]);
    const bool inRange = timeLeft && maxWait && *timeLeft >= 0 && *timeLeft <= MaxTimeLeftMs && *maxWait >= 0
        && *maxWait <= MaxTimeLeftMs;
    const auto service = unescapeValue(parts[0]);
    const auto upstream = unescapeValue(parts[1]);
    const auto callerService = unescapeValue(parts[2]);
    const auto route = unescapeValue(parts[9]);
    if (!rank || !inRange || !version || !service || !upstream || !callerService || !route || requestId.empty()) {
        return std::nullopt;
    }
    AttemptContext context;
    context.service = ServiceName(*service);
    context.upstream = UpstreamId(*upstream);
    context.callerService = ServiceName(*callerService);
    context.origin = parts[3] == "call" ? Origin::Call : Origin::Root;
    context.repeatability = parts[4] == "idempotent" ? Repeatability::Idempotent : Repeatability::AtMostOnce;
    context.rank = Rank(*rank);
    context.timeLeft = std::chrono::milliseconds(*timeLeft);
    context.maxWait = std::chrono::milliseconds(*maxWait);
    context.configVersion = ConfigVersion(*version);
    context.route = RouteName(*route);
    context.requestId = RequestId(std::string(requestId));
    return context;
}

HttpResponse encodeResult(AttemptResult result)
{
    const bool ran = result.outcome == Outcome::Ran;
    std::string text(outcomeLabel(result.outcome));
    text += ';' + std::string(ran ? "" : errorRow(result.error).label);
    text += result.mayBeDelivered ? ";1;" : ";0;";
    if (result.load) {
        const auto &load = *result.load;
        text += std::to_string(load.running) + ',' + std::to_string(load.waiting) + ',' + std::to_string(load.limit)
            + ',' + std::to_string(load.serviceTime.count()) + (load.makesCalls ? ",calls" : ",leaf");
    }
    text += ';';
    if (result.admittedFraction) {
        text += std::to_string(static_cast<int>(result.admittedFraction->value() * 1000));
    }
    HttpResponse response = ran ? std::move(result.response) : errorResponse(result.error);
    response.message.set(std::string(ResultField), text);
    return response;
}

AttemptResult decodeResult(HttpResponse response)
{
    AttemptResult result;
    const auto &message = response.message;
    auto outcomeText = fieldValue(message, OutcomeField);
    auto reasonText = fieldValue(message, ReasonField);
    std::optional<bool> arrived;
    const auto parts = splitText(fieldValue(message, ResultField), ';');
    if (parts.size() == ResultValueCount) {
        outcomeText = parts[0];
        reasonText = parts[1];
        arrived = parts[2] != "0";
        result.load = readLoad(parts[3]);
        result.admittedFraction = readFraction(parts[4]);
    }
    const auto outcome = outcomeFromLabel(outcomeText);
    // Missing if the node's server refused the request before it reached a handler.
    result.mayBeDelivered = arrived.value_or(outcome != Outcome::NotRun);
    const auto kind = errorKindFromLabel(reasonText);
    if (outcome == Outcome::Ran) {
        result.outcome = Outcome::Ran;
        result.response = std::move(response);
        removeNodeFields(result.response.message);
    } else if (outcome == Outcome::NotRun) {
        result.outcome = Outcome::NotRun;
        result.error = kind.value_or(ErrorKind::NoUpstream);
    } else {
        result.outcome = Outcome::Unknown;
        result.error = kind.value_or(ErrorKind::ConnectionLost);
    }
    return result;
}

void removeNodeFields(boost::beast::http::fields &fields)
{
    for (const auto field : NodeFields) {
        fields.erase(std::string(field));
    }
}

} // namespace Geraniumsail
