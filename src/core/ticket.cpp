#include "core/ticket.h"

#include "core/callcontext.h"
#include "core/text.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <optional>

namespace Geraniumsail {

namespace {

constexpr std::size_t AttemptIdLength = 32;
constexpr std::string_view HexDigits = "0123456789abcdef";

std::string toHex(std::uint64_t value)
{
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = HexDigits[value & 0xF];
        value >>= 4;
    }
    return text;
}

bool isAttemptId(std::string_view text)
{
    return text.size() == AttemptIdLength && text.find_first_not_of(HexDigits) == std::string_view::npos;
}

/// Reads dot-separated fields from the front of a text.
class FieldReader
{
public:
    explicit FieldReader(std::string_view text) : m_remaining(text)
    {
    }

    std::optional<std::string_view> nextField()
    {
        const auto dot = m_remaining.find('.');
        return dot == std::string_view::npos ? std::nullopt : nextFieldOfLength(dot);
    }

    template <typename T>
    std::optional<T> nextNumber()
    {
        const auto field = nextField();
        return field ? parseNumber<T>(*field) : std::nullopt;
    }

    /// Reads a field of known length, which may contain dots.
    std::optional<std::string_view> nextFieldOfLength(std::size_t length)
    {
        if (m_remaining.size() <= length || m_remaining[length] != '.') {
            return std::nullopt;
        }
        const auto field = m_remaining.substr(0, length);
        m_remaining.remove_prefix(length + 1);
        return field;
    }

private:
    std::string_view m_remaining;
};

std::optional<Ticket::Target> parseTarget(FieldReader &reader)
{
    const auto length = reader.nextNumber<std::size_t>();
    const auto name = length ? reader.nextFieldOfLength(*length) : std::nullopt;
    const auto incarnation = name ? reader.nextNumber<std::uint64_t>() : std::nullopt;
    const auto epoch = incarnation ? reader.nextNumber<std::uint64_t>() : std::nullopt;
    if (!epoch || !isIdentifier(*name)) {
        return std::nullopt;
    }
    return Ticket::Target{NodeName(std::string(*name)), Incarnation(*incarnation), TicketEpoch(*epoch)};
}

std::optional<Ticket> parseTicket(std::string_view text)
{
    FieldReader reader(text);
    const auto version = reader.nextField();
    const auto id = reader.nextField();
    const auto count = reader.nextNumber<std::size_t>();
    if (version != "1" || !id || !isAttemptId(*id) || !count || *count == 0 || *count > MaxTicketTargets) {
        return std::nullopt;
    }
    Ticket ticket{AttemptId(std::string(*id)), {}};
    for (std::size_t i = 0; i < *count; ++i) {
        auto target = parseTarget(reader);
        if (!target) {
            return std::nullopt;
        }
        ticket.targets.push_back(std::move(*target));
    }
    return ticket;
}

} // namespace

AttemptId createAttemptId(const NodeName &creator, Incarnation incarnation, Random &random)
{
    const std::array<std::uint64_t, 3> seedWords{random(), random(), incarnation.value()};
    std::string hashInput(reinterpret_cast<const char *>(seedWords.data()), sizeof seedWords);
    hashInput += creator.value();
    const auto hash = XXH3_128bits(hashInput.data(), hashInput.size());
    return AttemptId(toHex(hash.high64) + toHex(hash.low64));
}

Ticket createTicket(const std::vector<Ticket::Target> &targets, const NodeName &creator, Incarnation incarnation,
                    Random &random)
{
    Ticket ticket{createAttemptId(creator, incarnation, random), targets};
    ticket.targets.resize(std::min(ticket.targets.size(), MaxTicketTargets));
    return ticket;
}

std::string encodeTicket(const Ticket &ticket)
{
    std::string text = "1." + ticket.id.value() + "." + std::to_string(ticket.targets.size());
    for (const auto &target : ticket.targets) {
        const auto &name = target.node.value();
        text += "." + std::to_string(name.size()) + "." + name + "." + std::to_string(target.incarnation.value()) + "."
            + std::to_string(target.epoch.value());
    }
    return text + "." + toHex(XXH3_64bits(text.data(), text.size()));
}

boost::leaf::result<Ticket> decodeTicket(std::string_view text)
{
    auto ticket = parseTicket(text);
    // Comparing with the canonical encoding verifies the checksum and rejects leading zeros and trailing text.
    if (!ticket || encodeTicket(*ticket) != text) {
        return boost::leaf::new_error(ErrorKind::BadRequest);
    }
    return std::move(*ticket);
}

} // namespace Geraniumsail
