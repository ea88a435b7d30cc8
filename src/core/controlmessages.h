// Control messages between nodes. src/node/controlcodec.h encodes them as JSON.
#ifndef GERANIUMSAIL_CORE_CONTROLMESSAGES_H
#define GERANIUMSAIL_CORE_CONTROLMESSAGES_H

#include "core/configview.h"
#include "core/membertable.h"
#include "core/reachabilityview.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Geraniumsail {

/// Maximum lengths of the lists in a message. Senders do not exceed them; the decoder rejects longer lists.
constexpr std::size_t MaxUpdates = 16;
constexpr std::size_t MaxTransferRecords = 80;
constexpr std::size_t MaxDataCentres = 64;
constexpr std::size_t MaxBucketLists = 2;
constexpr std::size_t MaxServicesPerFetch = 32;
constexpr std::size_t MaxDocumentsPerMessage = 64;
constexpr std::size_t MaxDocumentSummaries = 2048;

struct DataCentreDigest
{
    DataCentreName dataCentre;
    std::uint64_t digest = 0;

    bool operator==(const DataCentreDigest &) const = default;
};

struct DataCentreBuckets
{
    DataCentreName dataCentre;
    BucketDigests buckets{};

    bool operator==(const DataCentreBuckets &) const = default;
};

/// Gossip message that also serves as a probe: member updates and the sender's digests.
struct SyncMessage
{
    NodeName to; ///< Empty if the sender knows only the address (a seed).
    MemberRecord self;
    std::vector<MemberRecord> updates;
    std::vector<DataCentreDigest> digests;
    std::uint64_t config = 0; ///< Digest of all configuration documents.
    std::vector<ReachabilityReport> reach; ///< Sent only within a data centre.

    bool operator==(const SyncMessage &) const = default;
};

struct SyncReply
{
    MemberRecord self;
    std::vector<MemberRecord> updates;
    std::vector<DataCentreBuckets> buckets; ///< For data centres whose digests differ, at most MaxBucketLists.
    std::uint64_t config = 0;
    std::vector<std::uint32_t> configBuckets; ///< Empty if the configuration digests agree.
    std::vector<ReachabilityReport> reach;

    bool operator==(const SyncReply &) const = default;
};

/// Asks the receiver to probe target on the sender's behalf.
struct IndirectProbe
{
    NodeName target;
    Address address;

    bool operator==(const IndirectProbe &) const = default;
};

struct ProbeReply
{
    bool reached = false;

    bool operator==(const ProbeReply &) const = default;
};

/// Asks for member records, in the order of names: of the services if any are given, otherwise of the buckets of the
/// data centre.
struct FetchMembers
{
    std::vector<ServiceName> services;
    DataCentreName dataCentre;
    std::vector<std::size_t> buckets;
    NodeName after; ///< Return only names after this one; earlier ones were received before.
    std::size_t limit = 0;

    bool operator==(const FetchMembers &) const = default;
};

struct MembersReply
{
    std::vector<MemberRecord> records;
    bool more = false;

    bool operator==(const MembersReply &) const = default;
};

struct PushConfig
{
    std::vector<ConfigDocument> documents;

    bool operator==(const PushConfig &) const = default;
};

struct PushReply
{
    std::size_t applied = 0;

    bool operator==(const PushReply &) const = default;
};

/// Asks for the documents of the buckets that are newer than the summaries, or for the named documents.
struct FetchConfig
{
    std::vector<DocumentName> names;
    std::vector<std::size_t> buckets;
    std::vector<DocumentSummary> summaries;
    std::size_t maxBytes = 0;

    bool operator==(const FetchConfig &) const = default;
};

struct ConfigReply
{
    std::vector<ConfigDocument> documents;
    std::vector<DocumentName> wanted; ///< Documents of which the requesting node has a newer version.

    bool operator==(const ConfigReply &) const = default;
};

using ControlRequest = std::variant<SyncMessage, IndirectProbe, FetchMembers, PushConfig, FetchConfig>;
using ControlReply = std::variant<SyncReply, ProbeReply, MembersReply, PushReply, ConfigReply>;

/// Why a request was sent; determines how its reply or failure is handled.
enum class RequestPurpose {
    Probe, ///< Direct probe of a member of the local data centre.
    IndirectProbe, ///< Probe through another member.
    Join, ///< To a seed or contact.
    DeadCheck, ///< To a member that is marked Dead, which reconnects the group after a partition has healed.
    CrossDataCentre, ///< Sync of a relay with a member of another data centre.
    Resync, ///< Comparison of views after a pause of this process.
    LeaveNotification, ///< Announces that this node leaves the group.
    Transfer, ///< Records or documents that digests showed to be missing.
    Push, ///< Configuration documents sent to members.
};

/// A request that the caller has to send. The caller passes it back together with the reply, or when it has failed.
struct OutgoingRequest
{
    NodeName to; ///< Empty for a seed.
    Address address;
    Duration timeout{};
    RequestPurpose purpose = RequestPurpose::Probe;
    DataCentreName dataCentre; ///< Of the receiver, if known.
    ControlRequest request;
};

} // namespace Geraniumsail

#endif
