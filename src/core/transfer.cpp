#include "core/transfer.h"

#include <algorithm>
#include <chrono>

namespace Geraniumsail {

namespace {

/// Requests below this size cost more in message heads than they carry.
constexpr double MinRecordsPerRequest = 16;
/// Bounds the memory that calls to made-up service names can take.
constexpr std::size_t MaxPendingServices = 256;

} // namespace

void Transfer::wantService(const ServiceName &service)
{
    if (m_services.size() < MaxPendingServices
        && std::find(m_services.begin(), m_services.end(), service) == m_services.end()) {
        m_services.push_back(service);
    }
}

void Transfer::wantBuckets(const DataCentreName &dataCentre, const std::set<std::size_t> &buckets,
                           const NodeName &source)
{
    if (!buckets.empty() && m_pending.count(dataCentre) == 0) {
        m_pending[dataCentre] = {buckets, source, NodeName()};
    }
}

bool Transfer::pending() const
{
    return m_inFlight || !m_services.empty() || !m_pending.empty();
}

void Transfer::refill(MonotonicTime now)
{
    if (m_refilled) {
        const std::chrono::duration<double> elapsed = now - *m_refilled;
        m_tokens = std::min(TransferBytesPerSecond, m_tokens + elapsed.count() * TransferBytesPerSecond);
    }
    m_refilled = now;
}

std::optional<Transfer::Step> Transfer::next(const DataCentreName &own, MonotonicTime now)
{
    refill(now);
    if (m_inFlight || (m_services.empty() && m_pending.empty())
        || m_tokens < MinRecordsPerRequest * TransferRecordBytes) {
        return std::nullopt;
    }
    Step step;
    step.request.limit = std::min(MaxTransferRecords, static_cast<std::size_t>(m_tokens / TransferRecordBytes));
    if (!m_services.empty()) {
        step.request.services = {m_services.front()};
        step.request.after = m_serviceAfter;
    } else {
        auto entry = m_pending.find(own);
        if (entry == m_pending.end()) {
            entry = m_pending.begin();
        }
        step.request.dataCentre = entry->first;
        step.request.buckets.assign(entry->second.buckets.begin(), entry->second.buckets.end());
        step.request.after = entry->second.after;
        step.source = entry->second.source;
    }
    m_inFlight = true;
    return step;
}

void Transfer::onReply(const FetchMembers &request, const MembersReply &reply)
{
    m_inFlight = false;
    m_tokens -= static_cast<double>(reply.records.size()) * TransferRecordBytes;
    const bool more = reply.more && !reply.records.empty();
    if (!request.services.empty()) {
        m_serviceAfter = more ? reply.records.back().name : NodeName();
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
        found->second.after = reply.records.back().name;
    } else {
        m_pending.erase(found);
    }
}

void Transfer::onFailed(const FetchMembers &request)
{
    m_inFlight = false;
    if (request.services.empty()) {
        // The next digest names the missing buckets again, with a source that answers.
        m_pending.erase(request.dataCentre);
    } else if (!m_services.empty()) {
        // Dropped, not repeated: a service that nobody answers for must not hold up the rest of the table.
        m_services.pop_front();
        m_serviceAfter = NodeName();
    }
}

} // namespace Geraniumsail
