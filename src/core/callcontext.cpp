#include "core/callcontext.h"

#include "core/text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <map>

namespace Geraniumsail {

namespace {

constexpr std::size_t MaxIdentifierLength = 128;
/// One day. A longer remaining time is an error of the sender.
constexpr std::uint64_t MaxRemainingMs = 86'400'000;
constexpr std::array<std::string_view, 15> KnownFields{"v",     "id",      "attempt", "kind", "rank",
                                                       "score", "left",    "allow",   "hop",  "caller",
                                                       "once",  "void-by", "epoch",   "inc",  "pos"};
/// Highest index of a target in a ticket.
constexpr int MaxTicketPosition = 1;

using Fields = std::map<std::string_view, std::string_view>;

std::optional<Fields> parseFields(std::string_view text)
{
    Fields fields;
    for (const auto part : splitText(text, ';')) {
        const auto equals = part.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        const auto name = part.substr(0, equals);
        const bool known = std::find(KnownFields.begin(), KnownFields.end(), name) != KnownFields.end();
        if (!known || !fields.emplace(name, part.substr(equals + 1)).second) {
            return std::nullopt;
        }
    }
    return fields;
}

std::optional<std::string> identifierField(const Fields &fields, std::string_view name)
{
    const auto field = fields.find(name);
    if (field == fields.end() || !isIdentifier(field->second)) {
        return std::nullopt;
    }
    return std::string(field->second);
}

template <typename T>
std::optional<T> numberField(const Fields &fields, std::string_view name, T max)
{
    const auto field = fields.find(name);
    if (field == fields.end()) {
        return std::nullopt;
    }
    const auto value = parseNumber<T>(field->second);
    return value && *value <= max ? value : std::nullopt;
}

} // namespace

bool isIdentifier(std::string_view text)
{
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
    };
    return !text.empty() && text.size() <= MaxIdentifierLength && std::all_of(text.begin(), text.end(), allowed);
}

std::string encodeContext(const CallContext &context, MonotonicTime now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - now).count();
    std::string text = "v=1;id=" + context.id.value() + ";attempt=" + context.attempt.value()
        + ";kind=" + context.kind.value() + ";rank=" + std::to_string(context.priority.rank.value()) + ";score="
        + std::to_string(context.priority.score.value()) + ";left=" + std::to_string(std::max<std::int64_t>(left, 0))
        + ";allow=" + std::to_string(context.allowance.value()) + ";hop=" + std::to_string(context.hop)
        + ";caller=" + context.caller.value() + ";once=" + (context.unrepeatable ? "1" : "0");
    if (context.voidedBy) {
        text += ";void-by=" + context.voidedBy->value();
    }
    if (context.epoch) {
        text += ";epoch=" + std::to_string(context.epoch->value());
    }
    if (context.incarnation) {
        text += ";inc=" + std::to_string(context.incarnation->value());
    }
    if (context.ticketPosition != 0) {
        text += ";pos=" + std::to_string(context.ticketPosition);
    }
    return text;
}

std::optional<CallContext> decodeContext(std::string_view text, MonotonicTime now)
{
    const auto fields = parseFields(text);
    if (!fields || numberField<int>(*fields, "v", 1).value_or(0) != 1) {
        return std::nullopt;
    }
    const auto id = identifierField(*fields, "id");
    const auto attempt = identifierField(*fields, "attempt");
    const auto kind = identifierField(*fields, "kind");
    const auto caller = identifierField(*fields, "caller");
    const auto rank = numberField<std::uint8_t>(*fields, "rank", LeastUrgentRank.value());
    const auto score = numberField<std::uint16_t>(*fields, "score", UINT16_MAX);
    const auto left = numberField<std::uint64_t>(*fields, "left", MaxRemainingMs);
    const auto allowance = numberField<std::uint32_t>(*fields, "allow", MaxAllowance.value());
    const auto hop = numberField<int>(*fields, "hop", MaxHops);
    const auto once = numberField<std::uint8_t>(*fields, "once", 1);
    if (!id || !attempt || !kind || !caller || !rank || !score || !left || !allowance || !hop || *hop < 0 || !once) {
        return std::nullopt;
    }
    CallContext context;
    context.id = RequestId(*id);
    context.attempt = AttemptId(*attempt);
    context.kind = KindName(*kind);
    context.priority = Priority{Rank(*rank), AdmissionScore(*score)};
    context.deadline = now + std::chrono::milliseconds(*left);
    context.allowance = Allowance(*allowance);
    context.hop = *hop;
    context.caller = CallerName(*caller);
    context.unrepeatable = *once == 1;
    if (fields->contains("void-by")) {
        const auto node = identifierField(*fields, "void-by");
        if (!node) {
            return std::nullopt;
        }
        context.voidedBy = NodeName(*node);
    }
    if (fields->contains("epoch")) {
        const auto epoch = numberField<std::uint64_t>(*fields, "epoch", UINT64_MAX);
        if (!epoch) {
            return std::nullopt;
        }
        context.epoch = TicketEpoch(*epoch);
    }
    if (fields->contains("inc")) {
        const auto incarnation = numberField<std::uint64_t>(*fields, "inc", UINT64_MAX);
        if (!incarnation) {
            return std::nullopt;
        }
        context.incarnation = Incarnation(*incarnation);
    }
    if (fields->contains("pos")) {
        const auto position = numberField<int>(*fields, "pos", MaxTicketPosition);
        if (!position || *position < 0) {
            return std::nullopt;
        }
        context.ticketPosition = *position;
    }
    return context;
}

} // namespace Geraniumsail
