// Replicates configuration documents between nodes by gossip.
//
// A node that applies a new version pushes it at once to PushFanout random members of its data centre. Anti-entropy
// repairs lost pushes: sync messages carry digests, buckets whose digests differ are fetched from the peer, and
// documents that the peer lacks are pushed to it. FetchInterval and MaxFetchBytes limit the rate of these transfers.
#ifndef GERANIUMSAIL_CORE_CONFIGGOSSIP_H
#define GERANIUMSAIL_CORE_CONFIGGOSSIP_H

#include "core/controlmessages.h"
#include "core/membership.h"

#include <optional>
#include <vector>

namespace Geraniumsail {

constexpr std::size_t PushFanout = 3;
constexpr Duration FetchInterval = std::chrono::seconds(1);
constexpr std::size_t MaxFetchBytes = 8000;
constexpr Duration ConfigRequestTimeout = std::chrono::seconds(3);

class ConfigGossip
{
public:
    const ConfigView &view() const;

    /// Applies documents from any source and returns the resulting pushes. The names of the applied documents are
    /// added to those that takeChangedDocuments() returns.
    std::vector<OutgoingRequest> apply(const std::vector<ConfigDocument> &documents, const Membership &membership,
                                       WallTime wall, Random &random);
    /// Returns the names of the documents that changed since the last call.
    std::vector<DocumentName> takeChangedDocuments();

    void fillReply(const SyncMessage &message, SyncReply &reply) const;
    void onSyncReply(const OutgoingRequest &sent, const SyncReply &reply, const DataCentreName &own);
    std::vector<OutgoingRequest> tick(const Membership &membership, MonotonicTime now);

    ConfigReply onFetch(const FetchConfig &request) const;
    std::vector<OutgoingRequest> onFetchReply(const OutgoingRequest &sent, const ConfigReply &reply,
                                              const Membership &membership, WallTime wall, Random &random);
    void onFetchFailed();
    std::uint64_t corruptDocuments() const;

private:
    struct PendingFetch
    {
        NodeName source;
        std::vector<std::size_t> buckets;
    };

    ConfigView m_view;
    std::vector<DocumentName> m_changedDocuments;
    std::optional<PendingFetch> m_pendingFetch;
    bool m_fetchInFlight = false;
    int m_consecutiveMismatches = 0;
    MonotonicTime m_nextFetch;
    std::uint64_t m_corruptDocuments = 0;
};

} // namespace Geraniumsail

#endif
