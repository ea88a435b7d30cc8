#include "core/configurationsources.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

constexpr std::string_view Salt = "configuration";

} // namespace

ConfigurationSources::ConfigurationSources(NodeName own) : m_own(std::move(own))
{
}

std::vector<NodeName> ConfigurationSources::readers(const std::vector<NodeName> &members) const
{
    auto all = members;
    if (std::find(all.begin(), all.end(), m_own) == all.end()) {
        all.push_back(m_own);
    }
    if (all.size() < MinMembersToShare) {
        return {};
    }
    return selectByRendezvousHash(all, Salt, ReadersPerDataCentre);
}

bool ConfigurationSources::isReader(const std::vector<NodeName> &members) const
{
    const auto chosen = readers(members);
    return chosen.empty() || std::find(chosen.begin(), chosen.end(), m_own) != chosen.end();
}

std::optional<NodeName> ConfigurationSources::choose(const std::vector<NodeName> &members, MonotonicTime now) const
{
    const auto chosen = readers(members);
    if (chosen.empty() || std::find(chosen.begin(), chosen.end(), m_own) != chosen.end()) {
        return std::nullopt;
    }
    // Distributes the followers over the readers by a hash of the name.
    const auto first = std::hash<std::string>()(m_own.value()) % chosen.size();
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const auto &reader = chosen[(first + i) % chosen.size()];
        const auto cooldownEnd = m_cooldownEnd.find(reader);
        if (cooldownEnd == m_cooldownEnd.end() || cooldownEnd->second <= now) {
            return reader;
        }
    }
    return std::nullopt;
}

void ConfigurationSources::onFailed(const NodeName &node, MonotonicTime now)
{
    std::erase_if(m_cooldownEnd, [now](const auto &entry) { return entry.second <= now; });
    m_cooldownEnd[node] = now + FailedReaderCooldown;
}

} // namespace Geraniumsail
