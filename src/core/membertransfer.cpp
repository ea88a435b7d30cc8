#include "core/membertransfer.h"

#include <algorithm>
#include <chrono>

namespace Geraniumsail {

namespace {

/// The message overhead of smaller requests would exceed their content.
constexpr double MinRecordsPerRequest = 16;
/// Limits the memory used by calls to service names that do not exist.
constexpr std::size_t MaxPendingServices = 256;

} // namespace

void MemberTransfer::wantService(const ServiceName &service)
{
    if (m_services.size() < MaxPendingServices
        && std::find(m_services.begin(), m_services.end(), service) == m_services.end()) {
        m_services.push_back(service);
    }
}

void MemberTransfer::wantBuckets(const DataCentreName &dataCentre, const std::set<std::size_t> &buckets,
                                 const NodeName &source)
{
    if (!buckets.empty() && m_pending.count(dataCentre) == 0) {
        m_pending[dataCentre] = {buckets, source, NodeName()};
    }
}

bool MemberTransfer::pending() const
{
    return m_inFlight || !m_services.empty() || !m_pending.empty();
}

void MemberTransfer::refill(MonotonicTime now)
{
    if (m_lastRefill) {
        const std::chrono::duration<double> elapsed = now - *m_lastRefill;
        m_tokens = std::min(TransferBytesPerSecond, m_tokens + elapsed.count() * TransferBytesPerSecond);
    }
    m_lastRefill = now;
}

std::optional<MemberTransfer::Fetch> MemberTransfer::nextFetch(const DataCentreName &own, MonotonicTime now)
{
    refill(now);
    if (m_inFlight || (m_services.empty() && m_pending.empty())
        || m_tokens < MinRecordsPerRequest * TransferRecordBytes) {
        return std::nullopt;
    }
    Fetch fetch;
    fetch.request.limit = std::min(MaxTransferRecords, static_cast<std::size_t>(m_tokens / TransferRecordBytes));
    if (!m_services.empty()) {
        fetch.request.services = {m_services.front()};
        fetch.request.after = m_serviceCursor;
    } else {
        auto entry = m_pending.find(own);
        if (entry == m_pending.end()) {
            entry = m_pending.begin();
        }
        fetch.request.dataCentre = entry->first;
        fetch.request.buckets.assign(entry->second.buckets.begin(), entry->second.buckets.end());
        fetch.request.after = entry->second.cursor;
        fetch.source = entry->second.source;
    }
    m_inFlight = true;
    return fetch;
}

void MemberTransfer::onReply(const FetchMembers &request, const MembersReply &reply)
{
    m_inFlight = false;
    m_tokens -= static_cast<double>(reply.records.size()) * TransferRecordBytes;
    const bool more = reply.more && !reply.records.empty();
    if (!request.services.empty()) {
        m_serviceCursor = more ? reply.records.back().name : NodeName();
        if (!more && !m_services.empty()) {
            m_services.pop_front();
        }
        return;
    }
    const auto found = m_pending.find(request.dataCentre);
    if (found == m_pending.end()) {
        return;
    }
    if (more) {
        found->second.cursor = reply.records.back().name;
    } else {
        m_pending.erase(found);
    }
}

void MemberTransfer::onFailed(const FetchMembers &request)
{
    m_inFlight = false;
    if (request.services.empty()) {
        // The next digest comparison queues the missing buckets again, with a source that responds.
        m_pending.erase(request.dataCentre);
    } else if (!m_services.empty()) {
        // Not retried, because a service without a responding source must not delay the rest of the table.
        m_services.pop_front();
        m_serviceCursor = NodeName();
    }
}

} // namespace Geraniumsail
