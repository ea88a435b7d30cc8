#include "core/linkbudget.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LinkBudget::LinkBudget(ByteCount bytesPerSecond, MonotonicTime now)
    : m_bytesPerSecond(static_cast<double>(bytesPerSecond.value())), m_availableBytes(capacity()), m_lastRefill(now)
{
}

void LinkBudget::setRate(ByteCount bytesPerSecond, MonotonicTime now)
{
    refill(now);
    m_bytesPerSecond = static_cast<double>(bytesPerSecond.value());
    m_availableBytes = std::min(m_availableBytes, capacity());
}

bool LinkBudget::available(MonotonicTime now)
{
    refill(now);
    return m_availableBytes > 0.0;
}

bool LinkBudget::tryConsume(ByteCount bytes, MonotonicTime now)
{
    if (!available(now)) {
        return false;
    }
    m_availableBytes -= static_cast<double>(bytes.value());
    return true;
}

void LinkBudget::charge(ByteCount bytes, MonotonicTime now)
{
    refill(now);
    m_availableBytes -= static_cast<double>(bytes.value());
}

void LinkBudget::refill(MonotonicTime now)
{
    if (now <= m_lastRefill) {
        return;
    }
    m_availableBytes = std::min(capacity(), m_availableBytes + m_bytesPerSecond * seconds(now - m_lastRefill));
    m_lastRefill = now;
}

double LinkBudget::capacity() const
{
    return m_bytesPerSecond * seconds(LinkBurstDuration);
}

LinkBudgets::LinkBudgets(RegionName ownRegion) : m_ownRegion(std::move(ownRegion))
{
}

void LinkBudgets::setPolicy(const std::vector<LinkPolicy> &links, std::size_t liveNodes, MonotonicTime now)
{
    std::unordered_map<RegionName, LinkBudget> updated;
    for (const auto &link : links) {
        if (link.from != m_ownRegion) {
            continue;
        }
        const ByteCount nodeRate(link.bytesPerSecond.value() / std::max<std::size_t>(liveNodes, 1));
        const auto existing = m_links.find(link.to);
        auto budget = existing != m_links.end() ? existing->second : LinkBudget(nodeRate, now);
        budget.setRate(nodeRate, now);
        updated.insert_or_assign(link.to, budget);
    }
    m_links = std::move(updated);
}

bool LinkBudgets::available(const RegionName &to, MonotonicTime now)
{
    const auto link = m_links.find(to);
    return link != m_links.end() && link->second.available(now);
}

bool LinkBudgets::tryConsume(const RegionName &to, ByteCount bytes, MonotonicTime now)
{
    const auto link = m_links.find(to);
    return link != m_links.end() && link->second.tryConsume(bytes, now);
}

void LinkBudgets::charge(const RegionName &to, ByteCount bytes, MonotonicTime now)
{
    if (const auto link = m_links.find(to); link != m_links.end()) {
        link->second.charge(bytes, now);
    }
}

const RegionName &LinkBudgets::ownRegion() const
{
    return m_ownRegion;
}

} // namespace Geraniumsail
