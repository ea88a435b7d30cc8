#include "core/upstreamgate.h"

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
            if (report.phase != UpstreamPhase::Ready) {
                restoreLeave(report.id, report.startedMs);
            }
            return ReportVerdict::Stale;
        }
    }
    auto applied = report;
    if (m_leaves.contains(report.id, report.startedMs)) {
        const bool isGone = isCurrent(report.id, report.startedMs) && m_known->report.phase == UpstreamPhase::Gone;
        applied.phase = isGone ? UpstreamPhase::Gone : UpstreamPhase::Draining;
    } else if (report.phase != UpstreamPhase::Ready) {
        m_leaves.add(report.id, report.startedMs);
    }
    m_known = KnownUpstream{applied, now + applied.coldRemaining, now};
    m_unreachable = false;
    return ReportVerdict::Applied;
}

bool UpstreamGate::isCurrent(const UpstreamId &id, std::int64_t startedMs) const
{
    return m_known && m_known->report.id == id && m_known->report.startedMs == startedMs;
}

ReportVerdict UpstreamGate::onLeave(const UpstreamId &id, std::int64_t startedMs, WallTime now)
{
    const bool isKnownId = m_known && m_known->report.id == id;
    if (startedMs == 0) {
        const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
        startedMs = isKnownId ? m_known->report.startedMs : nowMs;
    }
    m_leaves.add(id, startedMs);
    if (!isCurrent(id, startedMs)) {
        return ReportVerdict::Stale;
    }
    m_known->report.phase = UpstreamPhase::Gone;
    return ReportVerdict::Applied;
}

bool UpstreamGate::restoreLeave(const UpstreamId &id, std::int64_t startedMs)
{
    if (!m_leaves.add(id, startedMs)) {
        return false;
    }
    if (m_known && m_leaves.contains(m_known->report.id, m_known->report.startedMs)
        && m_known->report.phase == UpstreamPhase::Ready) {
        m_known->report.phase = UpstreamPhase::Draining;
    }
    return true;
}

void UpstreamGate::awaitEarlierLeaves()
{
    m_awaitsEarlierLeaves = true;
}

void UpstreamGate::onEarlierLeavesKnown()
{
    m_awaitsEarlierLeaves = false;
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
    if (m_awaitsEarlierLeaves || !m_known || m_unreachable || m_known->report.phase != UpstreamPhase::Ready) {
        return nullptr;
    }
    return now - m_known->reportedAt > ReportLifetime ? nullptr : &*m_known;
}

} // namespace Geraniumsail
