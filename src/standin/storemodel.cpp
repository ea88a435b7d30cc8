#include "standin/storemodel.h"

#include <utility>

namespace Geraniumsail::Standin {

void StoreModel::expire(MonotonicTime now)
{
    std::erase_if(m_content.leases, [&](const auto &entry) { return entry.second.expiry <= now; });
    std::erase_if(m_content.entries, [&](const auto &entry) {
        return !entry.second.lease.empty() && !m_content.leases.contains(entry.second.lease);
    });
}

std::uint64_t StoreModel::revisionOf(const std::string &key) const
{
    const auto found = m_content.entries.find(key);
    return found == m_content.entries.end() ? 0 : found->second.revision;
}

std::optional<StoreEntry> StoreModel::get(const std::string &key, MonotonicTime now)
{
    expire(now);
    const auto found = m_content.entries.find(key);
    if (found == m_content.entries.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<std::pair<std::string, StoreEntry>> StoreModel::list(const std::string &prefix, MonotonicTime now)
{
    expire(now);
    std::vector<std::pair<std::string, StoreEntry>> result;
    for (auto at = m_content.entries.lower_bound(prefix);
         at != m_content.entries.end() && at->first.starts_with(prefix); ++at) {
        result.emplace_back(at->first, at->second);
    }
    return result;
}

SwapResult StoreModel::put(const std::string &key, std::string value, std::uint64_t expected, const std::string &lease,
                           MonotonicTime now)
{
    expire(now);
    const auto present = revisionOf(key);
    if (present != expected || (!lease.empty() && !m_content.leases.contains(lease))) {
        return {false, present};
    }
    ++m_content.revision;
    m_content.entries[key] = {std::move(value), m_content.revision, lease};
    return {true, m_content.revision};
}

SwapResult StoreModel::remove(const std::string &key, std::uint64_t expected, MonotonicTime now)
{
    expire(now);
    const auto present = revisionOf(key);
    if (present == 0 || present != expected) {
        return {false, present};
    }
    m_content.entries.erase(key);
    return {true, ++m_content.revision};
}

std::string StoreModel::grantLease(Duration ttl, MonotonicTime now)
{
    expire(now);
    auto id = "lease-" + std::to_string(++m_content.leaseCount);
    m_content.leases[id] = {ttl, now + ttl};
    return id;
}

bool StoreModel::renewLease(const std::string &lease, MonotonicTime now)
{
    expire(now);
    const auto found = m_content.leases.find(lease);
    if (found == m_content.leases.end()) {
        return false;
    }
    found->second.expiry = now + found->second.ttl;
    return true;
}

void StoreModel::snapshot()
{
    m_snapshot = m_content;
}

void StoreModel::restore()
{
    m_content = m_snapshot;
}

} // namespace Geraniumsail::Standin
