// Paced transfer of member records that digests showed to be missing, and of whole services on demand.
//
// Services that the node needs come first, then the own data centre, then the others. One request is in flight at a
// time, and its size is bounded by a token bucket of TransferBytesPerSecond, so that a join of thousands of records
// stays within the node's control traffic.
#ifndef GERANIUMSAIL_CORE_TRANSFER_H
#define GERANIUMSAIL_CORE_TRANSFER_H

#include "core/controlmessages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Geraniumsail {

constexpr double TransferBytesPerSecond = 8000;
/// Wire size of one record, for pacing; docs/CAPACITY.md has the measured size.
constexpr double TransferRecordBytes = 125;

class Transfer
{
public:
    /// A service whose members are needed soon.
    void wantService(const ServiceName &service);
    /// Buckets that differ from those of source.
    void wantBuckets(const DataCentreName &dataCentre, const std::set<std::size_t> &buckets, const NodeName &source);
    bool pending() const;

    struct Step
    {
        FetchMembers request;
        NodeName source; ///< Empty for a service: any member will do.
    };
    /// The next request, if the pace allows one; the caller sends it and reports the end of it.
    std::optional<Step> next(const DataCentreName &own, MonotonicTime now);
    void onReply(const FetchMembers &request, const MembersReply &reply);
    void onFailed(const FetchMembers &request);

private:
    struct Pending
    {
        std::set<std::size_t> buckets;
        NodeName source;
        NodeName after;
    };

    void refill(MonotonicTime now);

    std::deque<ServiceName> m_services;
    NodeName m_serviceAfter;
    std::map<DataCentreName, Pending> m_pending;
    bool m_inFlight = false;
    double m_tokens = TransferBytesPerSecond;
    std::optional<MonotonicTime> m_refilled;
};

} // namespace Geraniumsail

#endif
