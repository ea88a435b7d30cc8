#include "relay/entrycodec.h"

#include "config/jsonfields.h"
#include "core/text.h"
#include "net/httpwire.h"

namespace Geraniumsail {

namespace {

/// An entry has about 300 bytes. Longer ones are not parsed, because deep nesting takes a hundred times its size.
constexpr std::size_t MaxEntryBytes = 4096;
/// A record of LeaveRecord::MaxLeaves ids of usual length has about 4 KB.
constexpr std::size_t MaxLeavesBytes = 32768;
constexpr Duration MaxColdStart = std::chrono::hours(1);

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
                    {"upstream", entry.upstream.value()}, {"upstreamStartedMs", entry.upstreamStartedMs},
                    {"upstreamLeft", entry.upstreamLeft}, {"phase", phaseLabel(entry.phase)},
                    {"slots", entry.slots.value()},       {"coldUs", entry.coldRemaining.count()}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<DirectoryEntry> decodeEntry(std::string_view text)
{
    if (text.size() > MaxEntryBytes) {
        return std::nullopt;
    }
    const auto json = parseJson(text);
    const auto node = stringField(json, "node");
    const auto nodeStarted = unsignedField(json, "nodeStartedMs", MaxUnixMs);
    const auto peer = stringField(json, "peer");
    const auto dataCentre = stringField(json, "dataCentre");
    const auto region = stringField(json, "region");
    const auto service = stringField(json, "service");
    const auto upstream = stringField(json, "upstream");
    const auto phase = parsePhase(stringField(json, "phase").value_or(""));
    const auto slots = unsignedField(json, "slots", MaxSlots.value());
    const auto coldUs = unsignedField(json, "coldUs", MaxColdStart.count());
    if (!node || !nodeStarted || !peer || !dataCentre || !region || !service || !upstream || !phase || !slots
        || !coldUs) {
        return std::nullopt;
    }
    const auto endpoint = parseEndpoint(*peer);
    if (!endpoint || endpoint->port() == 0 || !isToken(*upstream)) {
        return std::nullopt;
    }
    DirectoryEntry entry;
    entry.node = NodeName(*node);
    entry.nodeStartedMs = static_cast<std::int64_t>(*nodeStarted);
    entry.peer = Address(*peer);
    entry.dataCentre = DataCentreName(*dataCentre);
    entry.region = RegionName(*region);
    entry.service = ServiceName(*service);
    entry.upstream = UpstreamId(*upstream);
    // Nodes of an earlier version do not write these two fields.
    entry.upstreamStartedMs =
        static_cast<std::int64_t>(unsignedField(json, "upstreamStartedMs", MaxUnixMs).value_or(0));
    entry.upstreamLeft = boolField(json, "upstreamLeft").value_or(false);
    entry.phase = *phase;
    entry.slots = Slots(static_cast<std::uint32_t>(*slots));
    entry.coldRemaining = Duration(static_cast<Duration::rep>(*coldUs));
    return entry;
}

std::string encodeChanges(const EntryChanges &changes)
{
    Json json{{"revision", changes.revision},
              {"snapshot", changes.isSnapshot},
              {"entries", Json::array()},
              {"removed", Json::array()}};
    for (const auto &[entry, revision] : changes.entries) {
        json["entries"].push_back({{"revision", revision}, {"entry", encodeEntry(entry)}});
    }
    for (const auto &[node, revision] : changes.removed) {
        json["removed"].push_back({{"revision", revision}, {"node", node.value()}});
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<EntryChanges> decodeChanges(std::string_view text)
{
    const auto json = parseJson(text);
    const auto revision = unsignedField(json, "revision");
    const auto isSnapshot = boolField(json, "snapshot");
    if (!revision || !isSnapshot) {
        return std::nullopt;
    }
    EntryChanges changes;
    changes.revision = *revision;
    changes.isSnapshot = *isSnapshot;
    for (const auto &item : arrayField(json, "entries")) {
        const auto entryRevision = unsignedField(item, "revision");
        const auto entry = decodeEntry(stringField(item, "entry").value_or(""));
        if (!entryRevision || !entry) {
            return std::nullopt;
        }
        changes.entries.emplace_back(*entry, *entryRevision);
    }
    for (const auto &item : arrayField(json, "removed")) {
        const auto removedRevision = unsignedField(item, "revision");
        const auto node = stringField(item, "node");
        if (!removedRevision || !node) {
            return std::nullopt;
        }
        changes.removed.emplace_back(NodeName(*node), *removedRevision);
    }
    return changes;
}

std::string encodeLeaves(const LeaveRecord &record)
{
    Json json{{"left", Json::array()}};
    for (const auto &[id, startedMs] : record.leaves()) {
        json["left"].push_back({{"upstream", id.value()}, {"startedMs", startedMs}});
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<LeaveRecord> decodeLeaves(std::string_view text)
{
    if (text.size() > MaxLeavesBytes) {
        return std::nullopt;
    }
    const auto json = parseJson(text);
    const auto *left = findField(json, "left");
    if (left == nullptr || !left->is_array()) {
        return std::nullopt;
    }
    LeaveRecord record;
    for (const auto &item : *left) {
        const auto upstream = stringField(item, "upstream");
        const auto startedMs = unsignedField(item, "startedMs", MaxUnixMs);
        if (!upstream || !startedMs) {
            return std::nullopt;
        }
        record.add(UpstreamId(*upstream), static_cast<std::int64_t>(*startedMs));
    }
    return record;
}

} // namespace Geraniumsail
