#include "node/controlcodec.h"

#include "core/callcontext.h"
#include "core/text.h"
#include "rpc/jsonrpc.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <limits>
#include <set>

namespace Geraniumsail {

namespace {

using Json = nlohmann::json;

constexpr int FormatVersion = 1;
constexpr std::size_t RecordFields = 12;
constexpr std::size_t DocumentFields = 5;
constexpr std::size_t HashLength = 32;
constexpr std::size_t HexPerByte = 2;
constexpr std::size_t MaxReach = MaxDataCentres;
/// One day; a larger value is an error of the sender.
constexpr std::uint64_t MaxColdStartMs = 86'400'000;

std::uint64_t milliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

[[noreturn]] void refuse(const std::string &place, const std::string &expected)
{
    throw RpcError(RpcInvalidParams, place + ": expected " + expected);
}

template <typename T>
std::string toHex(T value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(HexPerByte * sizeof(T), '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[value & 0xFU];
        value >>= 4U;
    }
    return text;
}

template <typename T>
T fromHex(std::string_view text, const char *place)
{
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() != HexPerByte * sizeof(T) || error != std::errc{} || end != text.data() + text.size()) {
        refuse(place, std::to_string(HexPerByte * sizeof(T)) + " hexadecimal digits");
    }
    return value;
}

/// The fields of one message; each must be asked for, and all must be there.
class Fields
{
public:
    Fields(std::string_view text, const char *place) : m_json(Json::parse(text, nullptr, false)), m_place(place)
    {
        if (!m_json.is_object()) {
            refuse(m_place, "an object");
        }
        const Json &version = take("v");
        if (!version.is_number_unsigned() || version != FormatVersion) {
            refuse(m_place + ".v", "version 1");
        }
    }
    const Json &take(const char *name)
    {
        m_known.insert(name);
        const auto found = m_json.find(name);
        if (found == m_json.end()) {
            refuse(m_place + "." + name, "a value");
        }
        return *found;
    }
    void finish() const
    {
        for (const auto &[name, value] : m_json.items()) {
            if (m_known.count(name) == 0) {
                refuse(m_place, "no unknown field");
            }
        }
    }

private:
    Json m_json;
    std::string m_place;
    std::set<std::string> m_known;
};

std::uint64_t number(const Json &json, const char *place, std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
{
    if (!json.is_number_unsigned() || json.get<std::uint64_t>() > max) {
        refuse(place, "a whole number up to " + std::to_string(max));
    }
    return json.get<std::uint64_t>();
}

const std::string &text(const Json &json, const char *place)
{
    if (!json.is_string()) {
        refuse(place, "a text");
    }
    return json.get_ref<const std::string &>();
}

template <typename Name>
Name identifier(const Json &json, const char *place)
{
    const std::string &value = text(json, place);
    if (!isIdentifier(value)) {
        refuse(place, "a name");
    }
    return Name(value);
}

template <typename Name>
Name identifierOrEmpty(const Json &json, const char *place)
{
    return text(json, place).empty() ? Name() : identifier<Name>(json, place);
}

const Json &list(const Json &json, const char *place, std::size_t max)
{
    if (!json.is_array() || json.size() > max) {
        refuse(place, "a list of at most " + std::to_string(max));
    }
    return json;
}

const Json &row(const Json &json, const char *place, std::size_t size)
{
    if (!json.is_array() || json.size() != size) {
        refuse(place, "a list of " + std::to_string(size));
    }
    return json;
}

template <typename T, typename Decode>
std::vector<T> decodeList(const Json &json, const char *place, std::size_t max, Decode decode)
{
    std::vector<T> result;
    result.reserve(list(json, place, max).size());
    for (const auto &item : json) {
        result.push_back(decode(item));
    }
    return result;
}

template <typename T, typename Encode>
Json encodeList(const std::vector<T> &values, Encode encode)
{
    Json json = Json::array();
    for (const auto &value : values) {
        json.push_back(encode(value));
    }
    return json;
}

Json encodeRecord(const MemberRecord &record)
{
    return Json::array({record.name.value(), record.incarnation.value(), record.sequence, record.region.value(),
                        record.dataCentre.value(), record.service.value(), record.peer.value(), record.control.value(),
                        record.slots.value(), static_cast<int>(record.state), record.epoch.value(),
                        milliseconds(record.coldStart)});
}

MemberRecord decodeRecord(const Json &json)
{
    row(json, "record", RecordFields);
    MemberRecord record;
    record.name = identifier<NodeName>(json[0], "record.name");
    record.incarnation = Incarnation(number(json[1], "record.incarnation"));
    record.sequence = number(json[2], "record.sequence");
    record.region = identifier<RegionName>(json[3], "record.region");
    record.dataCentre = identifier<DataCentreName>(json[4], "record.dataCentre");
    record.service = identifierOrEmpty<ServiceName>(json[5], "record.service");
    record.peer = identifier<Address>(json[6], "record.peer");
    record.control = identifier<Address>(json[7], "record.control");
    record.slots =
        Slots(static_cast<std::uint32_t>(number(json[8], "record.slots", std::numeric_limits<std::uint32_t>::max())));
    record.state =
        static_cast<MemberState>(number(json[9], "record.state", static_cast<std::uint64_t>(MemberState::Dead)));
    record.epoch = TicketEpoch(number(json[10], "record.epoch"));
    record.coldStart = std::chrono::milliseconds(number(json[11], "record.coldStart", MaxColdStartMs));
    return record;
}

std::vector<MemberRecord> decodeRecords(const Json &json, const char *place, std::size_t max)
{
    return decodeList<MemberRecord>(json, place, max, decodeRecord);
}

Json encodeDocument(const ConfigDocument &document)
{
    return Json::array(
        {document.name.value(), document.version.value(), document.hash, document.publication, document.text});
}

ConfigDocument decodeDocument(const Json &json)
{
    row(json, "document", DocumentFields);
    ConfigDocument document;
    document.name = identifier<DocumentName>(json[0], "document.name");
    document.version = ConfigVersion(number(json[1], "document.version"));
    document.hash = text(json[2], "document.hash");
    if (document.hash.size() != HashLength || !isIdentifier(document.hash)) {
        refuse("document.hash", "32 hexadecimal digits");
    }
    document.publication = identifierOrEmpty<DocumentName>(json[3], "document.publication").value();
    document.text = text(json[4], "document.text");
    if (document.text.size() > MaxDocumentBytes) {
        refuse("document.text", "at most " + std::to_string(MaxDocumentBytes) + " bytes");
    }
    return document;
}

std::vector<ConfigDocument> decodeDocuments(const Json &json)
{
    return decodeList<ConfigDocument>(json, "documents", MaxDocumentsPerMessage, decodeDocument);
}

Json encodeReach(const std::vector<ReachabilityReport> &reach)
{
    return encodeList(reach, [](const ReachabilityReport &each) {
        return Json::array({each.dataCentre.value(), each.timestampMs, each.reachable ? 1 : 0});
    });
}

std::vector<ReachabilityReport> decodeReach(const Json &json)
{
    return decodeList<ReachabilityReport>(json, "reach", MaxReach, [](const Json &item) {
        row(item, "reach", 3);
        // The bound keeps sums with a stamp free of overflow.
        constexpr std::uint64_t maxStamp = std::numeric_limits<std::uint64_t>::max() / 2;
        return ReachabilityReport{identifier<DataCentreName>(item[0], "reach.dataCentre"),
                                  number(item[1], "reach.stamp", maxStamp), number(item[2], "reach.reachable", 1) == 1};
    });
}

std::vector<std::uint32_t> decodeDigests(const Json &json, const char *place, std::size_t count)
{
    const std::string &digits = text(json, place);
    constexpr std::size_t each = HexPerByte * sizeof(std::uint32_t);
    if (digits.size() != each * count) {
        refuse(place, std::to_string(each * count) + " hexadecimal digits");
    }
    std::vector<std::uint32_t> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(fromHex<std::uint32_t>(std::string_view(digits).substr(i * each, each), place));
    }
    return result;
}

template <typename Digests>
std::string encodeDigests(const Digests &digests)
{
    std::string result;
    for (const std::uint32_t digest : digests) {
        result += toHex(digest);
    }
    return result;
}

std::vector<std::size_t> decodeBuckets(const Json &json, std::size_t count)
{
    return decodeList<std::size_t>(json, "buckets", count, [count](const Json &item) {
        return static_cast<std::size_t>(number(item, "buckets", count - 1));
    });
}

Json encodeSummary(const DocumentSummary &summary)
{
    return Json::array({summary.name.value(), summary.version.value(), summary.hashPrefix});
}

DocumentSummary decodeSummary(const Json &json)
{
    row(json, "head", 3);
    DocumentSummary summary{identifier<DocumentName>(json[0], "head.name"),
                            ConfigVersion(number(json[1], "head.version")), text(json[2], "head.hash")};
    if (summary.hashPrefix.size() != HashPrefixLength || !isIdentifier(summary.hashPrefix)) {
        refuse("head.hash", "8 hexadecimal digits");
    }
    return summary;
}

template <typename Name>
Json encodeNames(const std::vector<Name> &names)
{
    return encodeList(names, [](const Name &name) { return name.value(); });
}

template <typename Name>
std::vector<Name> decodeNames(const Json &json, const char *place, std::size_t max)
{
    return decodeList<Name>(json, place, max, [place](const Json &item) { return identifier<Name>(item, place); });
}

struct RequestEncoder
{
    Json operator()(const SyncMessage &message) const
    {
        return {{"t", message.to.value()},
                {"s", encodeRecord(message.self)},
                {"u", encodeList(message.updates, encodeRecord)},
                {"d",
                 encodeList(message.digests,
                            [](const DataCentreDigest &digest) {
                                return Json::array({digest.dataCentre.value(), toHex(digest.digest)});
                            })},
                {"c", toHex(message.config)},
                {"r", encodeReach(message.reach)}};
    }
    Json operator()(const IndirectProbe &message) const
    {
        return {{"t", message.target.value()}, {"a", message.address.value()}};
    }
    Json operator()(const FetchMembers &message) const
    {
        return {{"s", encodeNames(message.services)},
                {"d", message.dataCentre.value()},
                {"b", message.buckets},
                {"a", message.after.value()},
                {"l", message.limit}};
    }
    Json operator()(const PushConfig &message) const
    {
        return {{"d", encodeList(message.documents, encodeDocument)}};
    }
    Json operator()(const FetchConfig &message) const
    {
        return {{"n", encodeNames(message.names)},
                {"b", message.buckets},
                {"h", encodeList(message.summaries, encodeSummary)},
                {"l", message.maxBytes}};
    }
};

struct ReplyEncoder
{
    Json operator()(const SyncReply &reply) const
    {
        return {{"s", encodeRecord(reply.self)},
                {"u", encodeList(reply.updates, encodeRecord)},
                {"b",
                 encodeList(reply.buckets,
                            [](const DataCentreBuckets &each) {
                                return Json::array({each.dataCentre.value(), encodeDigests(each.buckets)});
                            })},
                {"c", toHex(reply.config)},
                {"k", encodeDigests(reply.configBuckets)},
                {"r", encodeReach(reply.reach)}};
    }
    Json operator()(const ProbeReply &reply) const
    {
        return {{"r", reply.reached ? 1 : 0}};
    }
    Json operator()(const MembersReply &reply) const
    {
        return {{"u", encodeList(reply.records, encodeRecord)}, {"m", reply.more ? 1 : 0}};
    }
    Json operator()(const PushReply &reply) const
    {
        return {{"a", reply.applied}};
    }
    Json operator()(const ConfigReply &reply) const
    {
        return {{"d", encodeList(reply.documents, encodeDocument)}, {"w", encodeNames(reply.wanted)}};
    }
};

SyncMessage decodeSync(Fields &fields)
{
    SyncMessage message;
    message.to = identifierOrEmpty<NodeName>(fields.take("t"), "sync.t");
    message.self = decodeRecord(fields.take("s"));
    message.updates = decodeRecords(fields.take("u"), "sync.u", MaxUpdates);
    message.digests = decodeList<DataCentreDigest>(fields.take("d"), "sync.d", MaxDataCentres, [](const Json &item) {
        row(item, "sync.d", 2);
        return DataCentreDigest{identifier<DataCentreName>(item[0], "sync.d"),
                                fromHex<std::uint64_t>(text(item[1], "sync.d"), "sync.d")};
    });
    message.config = fromHex<std::uint64_t>(text(fields.take("c"), "sync.c"), "sync.c");
    message.reach = decodeReach(fields.take("r"));
    return message;
}

FetchMembers decodeFetchMembers(Fields &fields)
{
    FetchMembers message;
    message.services = decodeNames<ServiceName>(fields.take("s"), "fetchMembers.s", MaxServicesPerFetch);
    message.dataCentre = identifierOrEmpty<DataCentreName>(fields.take("d"), "fetchMembers.d");
    message.buckets = decodeBuckets(fields.take("b"), MemberBuckets);
    message.after = identifierOrEmpty<NodeName>(fields.take("a"), "fetchMembers.a");
    message.limit = number(fields.take("l"), "fetchMembers.l", MaxTransferRecords);
    return message;
}

FetchConfig decodeFetchConfig(Fields &fields)
{
    FetchConfig message;
    message.names = decodeNames<DocumentName>(fields.take("n"), "fetchConfig.n", MaxDocumentsPerMessage);
    message.buckets = decodeBuckets(fields.take("b"), ConfigBucketCount);
    message.summaries =
        decodeList<DocumentSummary>(fields.take("h"), "fetchConfig.h", MaxDocumentSummaries, decodeSummary);
    message.maxBytes = number(fields.take("l"), "fetchConfig.l", MaxControlBytes);
    return message;
}

SyncReply decodeSyncReply(Fields &fields)
{
    SyncReply reply;
    reply.self = decodeRecord(fields.take("s"));
    reply.updates = decodeRecords(fields.take("u"), "sync.u", MaxUpdates);
    reply.buckets = decodeList<DataCentreBuckets>(fields.take("b"), "sync.b", MaxBucketLists, [](const Json &item) {
        row(item, "sync.b", 2);
        DataCentreBuckets each;
        each.dataCentre = identifier<DataCentreName>(item[0], "sync.b");
        const auto digests = decodeDigests(item[1], "sync.b", MemberBuckets);
        std::copy(digests.begin(), digests.end(), each.buckets.begin());
        return each;
    });
    reply.config = fromHex<std::uint64_t>(text(fields.take("c"), "sync.c"), "sync.c");
    const Json &buckets = fields.take("k");
    if (!text(buckets, "sync.k").empty()) {
        reply.configBuckets = decodeDigests(buckets, "sync.k", ConfigBucketCount);
    }
    reply.reach = decodeReach(fields.take("r"));
    return reply;
}

ConfigReply decodeConfigReply(Fields &fields)
{
    ConfigReply reply;
    reply.documents = decodeDocuments(fields.take("d"));
    reply.wanted = decodeNames<DocumentName>(fields.take("w"), "fetchConfig.w", MaxDocumentsPerMessage);
    return reply;
}

template <typename Variant, typename Encoder>
std::string encode(const Variant &content, Encoder encoder)
{
    Json json = std::visit(encoder, content);
    json["v"] = FormatVersion;
    // Text that is not UTF-8 is replaced; the receiver then refuses the document by its hash.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string_view methodOf(const ControlRequest &request)
{
    constexpr std::array<std::string_view, 5> methods = {"sync", "indirectProbe", "fetchMembers", "pushConfig",
                                                         "fetchConfig"};
    return methods.at(request.index());
}

std::string encodeRequest(const ControlRequest &request)
{
    return encode(request, RequestEncoder{});
}

std::string encodeReply(const ControlReply &reply)
{
    return encode(reply, ReplyEncoder{});
}

ControlRequest decodeRequest(std::string_view method, std::string_view params)
{
    Fields fields(params, "params");
    ControlRequest request;
    if (method == "sync") {
        request = decodeSync(fields);
    } else if (method == "indirectProbe") {
        request = IndirectProbe{identifier<NodeName>(fields.take("t"), "indirectProbe.t"),
                                identifier<Address>(fields.take("a"), "indirectProbe.a")};
    } else if (method == "fetchMembers") {
        request = decodeFetchMembers(fields);
    } else if (method == "pushConfig") {
        request = PushConfig{decodeDocuments(fields.take("d"))};
    } else if (method == "fetchConfig") {
        request = decodeFetchConfig(fields);
    } else {
        throw RpcError(RpcMethodNotFound, "unknown method");
    }
    fields.finish();
    return request;
}

ControlReply decodeReply(std::string_view method, std::string_view result)
{
    Fields fields(result, "result");
    ControlReply reply;
    if (method == "sync") {
        reply = decodeSyncReply(fields);
    } else if (method == "indirectProbe") {
        reply = ProbeReply{number(fields.take("r"), "indirectProbe.r", 1) == 1};
    } else if (method == "fetchMembers") {
        MembersReply members;
        members.records = decodeRecords(fields.take("u"), "fetchMembers.u", MaxTransferRecords);
        members.more = number(fields.take("m"), "fetchMembers.m", 1) == 1;
        reply = std::move(members);
    } else if (method == "pushConfig") {
        reply = PushReply{number(fields.take("a"), "pushConfig.a", MaxDocumentsPerMessage)};
    } else if (method == "fetchConfig") {
        reply = decodeConfigReply(fields);
    } else {
        throw RpcError(RpcMethodNotFound, "unknown method");
    }
    fields.finish();
    return reply;
}

} // namespace Geraniumsail
