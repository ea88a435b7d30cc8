// How configuration documents travel between nodes.
//
// A new version is pushed at once to PushMembers random members of the data centre, and each of them does the same
// when it takes the version. Digests in the sync messages find what pushes missed: buckets that differ are fetched
// from the peer, and what the peer lacks is pushed to it. Transfers are paced by FetchPeriod and FetchBytes.
#ifndef GERANIUMSAIL_CORE_CONFIGSPREAD_H
#define GERANIUMSAIL_CORE_CONFIGSPREAD_H

#include "core/controlmessages.h"
#include "core/membership.h"

#include <optional>
#include <vector>

namespace Geraniumsail {

constexpr std::size_t PushMembers = 3;
constexpr Duration FetchPeriod = std::chrono::seconds(1);
constexpr std::size_t FetchBytes = 8000;
constexpr Duration ConfigTimeout = std::chrono::seconds(3);

class ConfigSpread
{
public:
    const ConfigView &view() const;

    /// Applies documents, from wherever they came, and returns the pushes that follow. Names of the applied ones are
    /// added to changed().
    std::vector<OutgoingRequest> apply(const std::vector<ConfigDocument> &documents, const Membership &membership,
                                       WallTime wall, Random &random);
    /// Names of documents that changed since the last call.
    std::vector<DocumentName> takeChanged();

    void fillReply(const SyncMessage &message, SyncReply &reply) const;
    void onSyncReply(const OutgoingRequest &sent, const SyncReply &reply, const DataCentreName &own);
    std::vector<OutgoingRequest> tick(const Membership &membership, MonotonicTime now);

    ConfigReply onFetch(const FetchConfig &request) const;
    std::vector<OutgoingRequest> onFetchReply(const OutgoingRequest &sent, const ConfigReply &reply,
                                              const Membership &membership, WallTime wall, Random &random);
    void onFetchFailed();
    std::uint64_t corruptDocuments() const;

private:
    struct Wanted
    {
        NodeName source;
        std::vector<std::size_t> buckets;
    };

    ConfigView m_view;
    std::vector<DocumentName> m_changed;
    std::optional<Wanted> m_wanted;
    bool m_inFlight = false;
    int m_mismatches = 0;
    MonotonicTime m_nextFetch;
    std::uint64_t m_corrupt = 0;
};

} // namespace Geraniumsail

#endif
