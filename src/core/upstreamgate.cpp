#include "core/upstreamgate.h"

#include <algorithm>

namespace Geraniumsail {

const char *phaseLabel(UpstreamPhase phase)
{
    switch (phase) {
    case UpstreamPhase::Ready:
        return "ready";
    case UpstreamPhase::Draining:
        return "draining";
    case UpstreamPhase::Gone:
        return "gone";
    }
    return "unknown";
}

UpstreamGate::UpstreamGate(ServiceName service, Address address)
    : m_service(std::move(service)), m_address(std::move(address))
{
}

ReportVerdict UpstreamGate::onReport(const UpstreamReport &report, MonotonicTime now)
{
    if (report.service != m_service || report.address != m_address) {
        return ReportVerdict::Foreign;
    }
    if (m_known) {
        const auto &current = m_known->report;
        const bool sameIncarnation = current.id == report.id && current.startedMs == report.startedMs;
        const bool older = sameIncarnation ? report.sequence <= current.sequence : report.startedMs < current.startedMs;
        if (older) {
            return ReportVerdict::Stale;
        }
    }
    auto applied = report;
    const IncarnationKey key(report.id, report.startedMs);
    const auto finalPhase = m_finalPhases.find(key);
    if (finalPhase != m_finalPhases.end()) {
        applied.phase = finalPhase->second;
    } else if (report.phase != UpstreamPhase::Ready) {
        recordFinalPhase(key, report.phase);
    }
    m_known = KnownUpstream{applied, now + applied.coldRemaining, now};
    m_unreachable = false;
    return ReportVerdict::Applied;
}

void UpstreamGate::recordFinalPhase(const IncarnationKey &key, UpstreamPhase phase)
{
    m_finalPhases.insert_or_assign(key, phase);
    if (m_finalPhases.size() > MaxFinalPhases) {
        const auto startedEarlier = [](const auto &left, const auto &right) {
            return left.first.second < right.first.second;
        };
        m_finalPhases.erase(std::min_element(m_finalPhases.begin(), m_finalPhases.end(), startedEarlier));
    }
}

ReportVerdict UpstreamGate::onLeave(const UpstreamId &id, std::int64_t startedMs)
{
    if (!m_known || m_known->report.id != id) {
        recordFinalPhase({id, startedMs}, UpstreamPhase::Gone);
        return ReportVerdict::Stale;
    }
    auto &current = m_known->report;
    if (startedMs != 0 && startedMs != current.startedMs) {
        recordFinalPhase({id, startedMs}, UpstreamPhase::Gone);
        return ReportVerdict::Stale;
    }
    current.phase = UpstreamPhase::Gone;
    recordFinalPhase({id, current.startedMs}, UpstreamPhase::Gone);
    return ReportVerdict::Applied;
}

bool UpstreamGate::restoreLeave(const UpstreamId &id, std::int64_t startedMs)
{
    const IncarnationKey key(id, startedMs);
    const bool isNew = !m_finalPhases.contains(key);
    if (isNew) {
        recordFinalPhase(key, UpstreamPhase::Draining);
    }
    if (isNew && m_known && m_known->report.id == id && m_known->report.startedMs == startedMs) {
        m_known->report.phase = UpstreamPhase::Draining;
    }
    return isNew;
}

void UpstreamGate::onIncarnationMismatch(const UpstreamId &expected)
{
    if (m_known && m_known->report.id == expected) {
        m_unreachable = true;
    }
}

void UpstreamGate::onConnectionRefused(const UpstreamId &id)
{
    if (m_known && m_known->report.id == id) {
        m_unreachable = true;
    }
}

const KnownUpstream *UpstreamGate::availableUpstream(MonotonicTime now) const
{
    if (!m_known || m_unreachable || m_known->report.phase != UpstreamPhase::Ready) {
        return nullptr;
    }
    return now - m_known->reportedAt > ReportLifetime ? nullptr : &*m_known;
}

} // namespace Geraniumsail
