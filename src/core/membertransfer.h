// Rate-limited transfer of member records: those that a digest comparison showed to be missing, and all members of a
// service on demand.
//
// Services that the node needs have priority, followed by the own data centre and the other data centres. Only one
// request is in flight at a time. A token bucket of TransferBytesPerSecond limits its size, so that a node that joins a
// cluster with thousands of records stays within its control traffic limit.
#ifndef GERANIUMSAIL_CORE_MEMBERTRANSFER_H
#define GERANIUMSAIL_CORE_MEMBERTRANSFER_H

#include "core/controlmessages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Geraniumsail {

constexpr double TransferBytesPerSecond = 8000;
/// Assumed wire size of one record, for rate limiting; see docs/CAPACITY.md.
constexpr double TransferRecordBytes = 125;

class MemberTransfer
{
public:
    /// Queues a service whose members are needed soon.
    void wantService(const ServiceName &service);
    /// Queues digest buckets of a data centre that differ from those of source.
    void wantBuckets(const DataCentreName &dataCentre, const std::set<std::size_t> &buckets, const NodeName &source);
    bool pending() const;

    struct Fetch
    {
        FetchMembers request;
        NodeName source; ///< Member to ask; empty for a service, which any member can answer.
    };
    /// Returns the request to send now, unless there is none or the rate limit forbids it. The caller must report the
    /// result with onReply() or onFailed().
    std::optional<Fetch> nextFetch(const DataCentreName &own, MonotonicTime now);
    void onReply(const FetchMembers &request, const MembersReply &reply);
    void onFailed(const FetchMembers &request);

private:
    struct Pending
    {
        std::set<std::size_t> buckets;
        NodeName source;
        NodeName cursor; ///< Name of the last record received.
    };

    void refill(MonotonicTime now);

    std::deque<ServiceName> m_services;
    NodeName m_serviceCursor;
    std::map<DataCentreName, Pending> m_pending;
    bool m_inFlight = false;
    double m_tokens = TransferBytesPerSecond;
    std::optional<MonotonicTime> m_lastRefill;
};

} // namespace Geraniumsail

#endif
