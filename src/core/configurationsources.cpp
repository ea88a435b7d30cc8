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
    if (all.size() < LeastMembers) {
        return {};
    }
    return selectByRendezvousHash(all, Salt, Readers);
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
    // The followers of a data centre divide themselves between its readers.
    const auto first = std::hash<std::string>()(m_own.value()) % chosen.size();
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const auto &reader = chosen[(first + i) % chosen.size()];
        const auto avoided = m_avoidUntil.find(reader);
        if (avoided == m_avoidUntil.end() || avoided->second <= now) {
            return reader;
        }
    }
    return std::nullopt;
}

void ConfigurationSources::onFailed(const NodeName &node, MonotonicTime now)
{
    std::erase_if(m_avoidUntil, [now](const auto &entry) { return entry.second <= now; });
    m_avoidUntil[node] = now + AvoidTime;
}

} // namespace Geraniumsail
