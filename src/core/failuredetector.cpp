#include "core/failuredetector.h"

#include <algorithm>

namespace Geraniumsail {

std::optional<NodeName> FailureDetector::nextTarget(const MemberTable &table, const DataCentreName &dataCentre,
                                                    const NodeName &own, Random &random)
{
    for (int round = 0; round < 2; ++round) {
        while (!m_round.empty()) {
            const NodeName name = m_round.back();
            m_round.pop_back();
            const MemberRecord *record = table.find(name);
            if (record != nullptr && record->state != MemberState::Dead && record->dataCentre == dataCentre) {
                return name;
            }
        }
        for (const auto &[name, changed] : table.names(dataCentre)) {
            if (name != own && table.find(name)->state != MemberState::Dead) {
                m_round.push_back(name);
            }
        }
        std::shuffle(m_round.begin(), m_round.end(), random);
    }
    return std::nullopt;
}

void FailureDetector::onProbeSucceeded()
{
    m_health = std::max(1, m_health - 1);
}

void FailureDetector::onHelpersSilent()
{
    m_health = std::min(MaxLocalHealth, m_health + 1);
}

void FailureDetector::onSuspectedByOthers()
{
    m_health = std::min(MaxLocalHealth, m_health + 1);
}

int FailureDetector::localHealth() const
{
    return m_health;
}

void FailureDetector::suspect(const NodeName &name, MonotonicTime now)
{
    m_suspectedSince.emplace(name, now);
}

void FailureDetector::clear(const NodeName &name)
{
    m_suspectedSince.erase(name);
}

void FailureDetector::restartSuspicions(MonotonicTime now)
{
    for (auto &[name, since] : m_suspectedSince) {
        since = now;
    }
}

std::vector<NodeName> FailureDetector::expired(MonotonicTime now)
{
    std::vector<NodeName> names;
    for (const auto &[name, since] : m_suspectedSince) {
        if (now - since >= SuspicionTime * m_health) {
            names.push_back(name);
        }
    }
    for (const auto &name : names) {
        m_suspectedSince.erase(name);
    }
    return names;
}

std::size_t FailureDetector::suspicions() const
{
    return m_suspectedSince.size();
}

} // namespace Geraniumsail
