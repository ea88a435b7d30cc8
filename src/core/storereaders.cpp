#include "core/storereaders.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

constexpr std::string_view Salt = "configuration";
/// Failures of more nodes are forgotten, the oldest first.
constexpr std::size_t MaxCooldowns = 64;

} // namespace

StoreReaders::StoreReaders(NodeName own) : m_own(std::move(own))
{
}

std::vector<NodeName> StoreReaders::readers(const std::vector<NodeName> &members) const
{
    if (!isShared(members)) {
        return {};
    }
    auto all = members;
    if (std::find(all.begin(), all.end(), m_own) == all.end()) {
        all.push_back(m_own);
    }
    return selectByRendezvousHash(all, Salt, MaxRank);
}

bool StoreReaders::isShared(const std::vector<NodeName> &members) const
{
    const bool isMember = std::find(members.begin(), members.end(), m_own) != members.end();
    return members.size() + (isMember ? 0 : 1) >= MinMembersToShare;
}

bool StoreReaders::isReader(const std::vector<NodeName> &members) const
{
    const auto all = readers(members);
    return std::find(all.begin(), all.end(), m_own) != all.end();
}

std::optional<NodeName> StoreReaders::choose(const std::vector<NodeName> &members, MonotonicTime now) const
{
    for (const auto &reader : readers(members)) {
        if (reader == m_own) {
            break;
        }
        const auto cooldown = m_cooldowns.find(reader);
        if (cooldown == m_cooldowns.end() || cooldown->second.end <= now) {
            return reader;
        }
    }
    return std::nullopt;
}

void StoreReaders::onFailed(const NodeName &node, MonotonicTime now)
{
    if (m_cooldowns.size() >= MaxCooldowns && !m_cooldowns.contains(node)) {
        m_cooldowns.erase(std::min_element(m_cooldowns.begin(), m_cooldowns.end(),
                                           [](const auto &a, const auto &b) { return a.second.end < b.second.end; }));
    }
    auto &cooldown = m_cooldowns[node];
    cooldown.length = std::clamp(cooldown.length * 2, MinCooldown, MaxCooldown);
    cooldown.end = now + cooldown.length;
}

void StoreReaders::onAnswered(const NodeName &node)
{
    m_cooldowns.erase(node);
}

} // namespace Geraniumsail
