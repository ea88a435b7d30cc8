#include "core/failuredetector.h"

#include <algorithm>

namespace Geraniumsail {

std::optional<NodeName> FailureDetector::nextProbeTarget(const MemberTable &table, const DataCentreName &dataCentre,
                                                         const NodeName &self, Random &random)
{
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const NodeName name = m_probeOrder.back();
            m_probeOrder.pop_back();
            const MemberRecord *record = table.find(name);
            if (record != nullptr && record->state != MemberState::Dead && record->dataCentre == dataCentre) {
                return name;
            }
        }
        for (const auto &[name, changedAt] : table.names(dataCentre)) {
            if (name != self && table.find(name)->state != MemberState::Dead) {
                m_probeOrder.push_back(name);
            }
        }
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), random);
    }
    return std::nullopt;
}

void FailureDetector::onProbeSucceeded()
{
    m_localHealthMultiplier = std::max(1, m_localHealthMultiplier - 1);
}

void FailureDetector::onIndirectProbesUnanswered()
{
    m_localHealthMultiplier = std::min(MaxLocalHealthMultiplier, m_localHealthMultiplier + 1);
}

void FailureDetector::onSuspectedByOthers()
{
    m_localHealthMultiplier = std::min(MaxLocalHealthMultiplier, m_localHealthMultiplier + 1);
}

int FailureDetector::localHealthMultiplier() const
{
    return m_localHealthMultiplier;
}

void FailureDetector::startSuspicion(const NodeName &name, MonotonicTime now)
{
    m_suspectedSince.emplace(name, now);
}

void FailureDetector::clearSuspicion(const NodeName &name)
{
    m_suspectedSince.erase(name);
}

void FailureDetector::restartSuspicions(MonotonicTime now)
{
    for (auto &[name, since] : m_suspectedSince) {
        since = now;
    }
}

std::vector<NodeName> FailureDetector::takeExpiredSuspicions(MonotonicTime now)
{
    std::vector<NodeName> names;
    for (const auto &[name, since] : m_suspectedSince) {
        if (now - since >= SuspicionTimeout * m_localHealthMultiplier) {
            names.push_back(name);
        }
    }
    for (const auto &name : names) {
        m_suspectedSince.erase(name);
    }
    return names;
}

std::size_t FailureDetector::suspicionCount() const
{
    return m_suspectedSince.size();
}

} // namespace Geraniumsail
