#include "config/settings.h"

#include "config/reader.h"
#include "core/text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace Geraniumsail {

namespace {

constexpr const char *RangeText = "an IPv4 range such as \"127.0.0.0/8\"";

std::optional<std::uint32_t> parseIpv4(std::string_view text)
{
    in_addr parsed{};
    // inet_pton stops at a null byte; the text must not hide one.
    if (text.find('\0') != std::string_view::npos || inet_pton(AF_INET, std::string(text).c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return ntohl(parsed.s_addr);
}

struct NamedSwitch
{
    const char *name;
    bool PolicySwitches::*member;
};

constexpr std::array<NamedSwitch, 7> Switches{{
    {"admission", &PolicySwitches::admission},
    {"shares", &PolicySwitches::shares},
    {"adaptiveLimit", &PolicySwitches::adaptiveLimit},
    {"earlyRefusal", &PolicySwitches::earlyRefusal},
    {"requestScore", &PolicySwitches::requestScore},
    {"retryLedger", &PolicySwitches::retryLedger},
    {"retryBudget", &PolicySwitches::retryBudget},
}};

PolicySwitches readSwitches(ObjectReader reader)
{
    PolicySwitches switches;
    for (const auto &entry : Switches) {
        if (reader.has(entry.name)) {
            switches.*entry.member = reader.boolean(entry.name).value_or(true);
        }
    }
    reader.finish();
    return switches;
}

/// Two listeners on one address would make the second fail at start, after the node has joined.
class ListenReader
{
public:
    explicit ListenReader(ObjectReader reader) : m_reader(std::move(reader))
    {
    }

    Address read(const std::string &name, bool announced)
    {
        const auto text = m_reader.address(name);
        if (!text) {
            return {};
        }
        if (announced && text->starts_with("0.0.0.0:")) {
            m_reader.report(name, "an address that other nodes can reach", '"' + *text + '"');
        }
        if (const auto [other, fresh] = m_used.emplace(*text, name); !fresh) {
            m_reader.report(name, "an address of its own", '"' + *text + "\", as in " + other->second);
        }
        return Address(*text);
    }

    ListenSettings readAll()
    {
        ListenSettings listen;
        listen.caller = read("caller", false);
        listen.local = read("local", false);
        listen.peer = read("peer", true);
        listen.control = read("control", true);
        listen.admin = read("admin", false);
        m_reader.finish();
        return listen;
    }

private:
    ObjectReader m_reader;
    std::map<std::string, std::string> m_used;
};

std::vector<AddressRange> readRanges(ObjectReader &reader, const std::string &file, Problems &problems)
{
    std::vector<AddressRange> ranges;
    reader.array("controlAllow", [&](const Json &element, const std::string &path) {
        const auto range =
            element.is_string() ? AddressRange::parse(element.get_ref<const std::string &>()) : std::nullopt;
        if (range) {
            ranges.push_back(*range);
        } else {
            problems.push_back({file, path, RangeText, describe(element)});
        }
    });
    return ranges;
}

std::vector<Address> readSeeds(ObjectReader &reader, const std::string &file, Problems &problems)
{
    std::vector<Address> seeds;
    reader.array("seeds", [&](const Json &element, const std::string &path) {
        if (element.is_string() && isAddress(element.get_ref<const std::string &>())) {
            seeds.emplace_back(element.get<std::string>());
        } else {
            problems.push_back({file, path, "an IPv4 address and port", describe(element)});
        }
    });
    return seeds;
}

} // namespace

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    return parseIpv4(text.substr(0, colon)) && parseNumber<std::uint16_t>(text.substr(colon + 1)).value_or(0) > 0;
}

std::optional<AddressRange> AddressRange::parse(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto network = parseIpv4(text.substr(0, slash));
    const auto prefix = parseNumber<std::uint32_t>(text.substr(slash + 1));
    if (!network || !prefix || *prefix > 32) {
        return std::nullopt;
    }
    AddressRange range;
    range.m_mask = *prefix == 0 ? 0 : UINT32_MAX << (32 - *prefix);
    range.m_network = *network;
    range.m_text = std::string(text);
    if ((range.m_network & ~range.m_mask) != 0) {
        return std::nullopt;
    }
    return range;
}

bool AddressRange::contains(std::string_view ip) const
{
    const auto address = parseIpv4(ip);
    return address && (*address & m_mask) == m_network;
}

std::string AddressRange::text() const
{
    return m_text;
}

bool NodeSettings::controlAllowed(std::string_view ip) const
{
    return std::any_of(controlAllow.begin(), controlAllow.end(),
                       [&](const AddressRange &range) { return range.contains(ip); });
}

Checked<NodeSettings> parseNodeSettings(std::string_view text, const std::string &file)
{
    Checked<NodeSettings> result;
    const auto json = parseObject(text, file, result.problems);
    if (!json) {
        return result;
    }
    NodeSettings settings;
    ObjectReader reader(*json, file, "", result.problems);
    settings.name = NodeName(reader.identifier("name").value_or(""));
    settings.region = RegionName(reader.identifier("region").value_or(""));
    settings.dataCentre = DataCentreName(reader.identifier("dataCentre").value_or(""));
    settings.listen = ListenReader(reader.object("listen")).readAll();
    settings.controlAllow = readRanges(reader, file, result.problems);
    if (reader.has("seeds")) {
        settings.seeds = readSeeds(reader, file, result.problems);
    }
    if (reader.has("store")) {
        settings.store = Address(reader.address("store").value_or(""));
    }
    if (reader.has("randomSeed")) {
        settings.randomSeed = reader.integer("randomSeed", 0, UINT64_MAX);
    }
    if (reader.has("switches")) {
        settings.switches = readSwitches(reader.object("switches"));
    }
    reader.finish();
    if (result.problems.empty()) {
        result.value = std::move(settings);
    }
    return result;
}

} // namespace Geraniumsail
