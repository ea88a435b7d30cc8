#include "core/ticket.h"

#include "core/callcontext.h"
#include "core/text.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <optional>

namespace Geraniumsail {

namespace {

constexpr std::size_t IdLength = 32;
constexpr std::string_view HexDigits = "0123456789abcdef";

std::string hexText(std::uint64_t value)
{
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = HexDigits[value & 0xF];
        value >>= 4;
    }
    return text;
}

bool isId(std::string_view text)
{
    return text.size() == IdLength && text.find_first_not_of(HexDigits) == std::string_view::npos;
}

/// Reads dot-separated fields from the front of a text.
class FieldReader
{
public:
    explicit FieldReader(std::string_view text) : m_rest(text)
    {
    }

    std::optional<std::string_view> next()
    {
        const auto dot = m_rest.find('.');
        return dot == std::string_view::npos ? std::nullopt : take(dot);
    }

    template <typename T>
    std::optional<T> number()
    {
        const auto field = next();
        return field ? parseNumber<T>(*field) : std::nullopt;
    }

    /// A field of known length that may contain dots.
    std::optional<std::string_view> take(std::size_t length)
    {
        if (m_rest.size() <= length || m_rest[length] != '.') {
            return std::nullopt;
        }
        const auto field = m_rest.substr(0, length);
        m_rest.remove_prefix(length + 1);
        return field;
    }

private:
    std::string_view m_rest;
};

std::optional<Ticket::Target> readTarget(FieldReader &reader)
{
    const auto length = reader.number<std::size_t>();
    const auto name = length ? reader.take(*length) : std::nullopt;
    const auto incarnation = name ? reader.number<std::uint64_t>() : std::nullopt;
    const auto epoch = incarnation ? reader.number<std::uint64_t>() : std::nullopt;
    if (!epoch || !isIdentifier(*name)) {
        return std::nullopt;
    }
    return Ticket::Target{NodeName(std::string(*name)), Incarnation(*incarnation), TicketEpoch(*epoch)};
}

std::optional<Ticket> readTicket(std::string_view text)
{
    FieldReader reader(text);
    const auto version = reader.next();
    const auto id = reader.next();
    const auto count = reader.number<std::size_t>();
    if (version != "1" || !id || !isId(*id) || !count || *count == 0 || *count > MaxTicketTargets) {
        return std::nullopt;
    }
    Ticket ticket{AttemptId(std::string(*id)), {}};
    for (std::size_t i = 0; i < *count; ++i) {
        auto target = readTarget(reader);
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
    const std::array<std::uint64_t, 3> drawn{random(), random(), incarnation.value()};
    std::string seed(reinterpret_cast<const char *>(drawn.data()), sizeof drawn);
    seed += creator.value();
    const auto hash = XXH3_128bits(seed.data(), seed.size());
    return AttemptId(hexText(hash.high64) + hexText(hash.low64));
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
    return text + "." + hexText(XXH3_64bits(text.data(), text.size()));
}

boost::leaf::result<Ticket> decodeTicket(std::string_view text)
{
    auto ticket = readTicket(text);
    // Encoding again also checks the checksum and rejects leading zeros and trailing text.
    if (!ticket || encodeTicket(*ticket) != text) {
        return boost::leaf::new_error(ErrorKind::BadRequest);
    }
    return std::move(*ticket);
}

} // namespace Geraniumsail
