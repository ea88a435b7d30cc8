#include "relay/entrycodec.h"

#include <nlohmann/json.hpp>

namespace Geraniumsail {

namespace {

using Json = nlohmann::json;

std::optional<UpstreamPhase> parsePhase(const std::string &label)
{
    for (const auto phase : {UpstreamPhase::Ready, UpstreamPhase::Draining, UpstreamPhase::Gone}) {
        if (label == phaseLabel(phase)) {
            return phase;
        }
    }
    return std::nullopt;
}

} // namespace

std::string encodeEntry(const DirectoryEntry &entry)
{
    const Json json{{"node", entry.node.value()},         {"nodeStartedMs", entry.nodeStartedMs},
                    {"peer", entry.peer.value()},         {"dataCentre", entry.dataCentre.value()},
                    {"region", entry.region.value()},     {"service", entry.service.value()},
                    {"upstream", entry.upstream.value()}, {"phase", phaseLabel(entry.phase)},
                    {"slots", entry.slots.value()},       {"coldUs", entry.coldRemaining.count()}};
    return json.dump();
}

std::optional<DirectoryEntry> decodeEntry(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    try {
        const auto phase = parsePhase(json.at("phase").get<std::string>());
        if (!phase) {
            return std::nullopt;
        }
        DirectoryEntry entry;
        entry.node = NodeName(json.at("node").get<std::string>());
        entry.nodeStartedMs = json.at("nodeStartedMs").get<std::int64_t>();
        entry.peer = Address(json.at("peer").get<std::string>());
        entry.dataCentre = DataCentreName(json.at("dataCentre").get<std::string>());
        entry.region = RegionName(json.at("region").get<std::string>());
        entry.service = ServiceName(json.at("service").get<std::string>());
        entry.upstream = UpstreamId(json.at("upstream").get<std::string>());
        entry.phase = *phase;
        entry.slots = Slots(json.at("slots").get<std::uint32_t>());
        entry.coldRemaining = Duration(json.at("coldUs").get<std::int64_t>());
        return entry;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Geraniumsail
