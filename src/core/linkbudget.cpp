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
    : m_bytesPerSecond(static_cast<double>(bytesPerSecond.value())), m_bytes(burst()), m_filledAt(now)
{
}

void LinkBudget::setRate(ByteCount bytesPerSecond, MonotonicTime now)
{
    refill(now);
    m_bytesPerSecond = static_cast<double>(bytesPerSecond.value());
    m_bytes = std::min(m_bytes, burst());
}

bool LinkBudget::available(MonotonicTime now)
{
    refill(now);
    return m_bytes > 0.0;
}

bool LinkBudget::take(ByteCount bytes, MonotonicTime now)
{
    if (!available(now)) {
        return false;
    }
    m_bytes -= static_cast<double>(bytes.value());
    return true;
}

void LinkBudget::charge(ByteCount bytes, MonotonicTime now)
{
    refill(now);
    m_bytes -= static_cast<double>(bytes.value());
}

void LinkBudget::refill(MonotonicTime now)
{
    if (now <= m_filledAt) {
        return;
    }
    m_bytes = std::min(burst(), m_bytes + m_bytesPerSecond * seconds(now - m_filledAt));
    m_filledAt = now;
}

double LinkBudget::burst() const
{
    return m_bytesPerSecond * seconds(LinkBurst);
}

LinkBudgets::LinkBudgets(RegionName own) : m_own(std::move(own))
{
}

void LinkBudgets::setPolicy(const std::vector<LinkPolicy> &links, std::size_t liveNodes, MonotonicTime now)
{
    std::unordered_map<RegionName, LinkBudget> next;
    for (const auto &link : links) {
        if (link.from != m_own) {
            continue;
        }
        const ByteCount part(link.bytesPerSecond.value() / std::max<std::size_t>(liveNodes, 1));
        const auto known = m_links.find(link.to);
        auto budget = known != m_links.end() ? known->second : LinkBudget(part, now);
        budget.setRate(part, now);
        next.insert_or_assign(link.to, budget);
    }
    m_links = std::move(next);
}

bool LinkBudgets::available(const RegionName &to, MonotonicTime now)
{
    const auto link = m_links.find(to);
    return link != m_links.end() && link->second.available(now);
}

bool LinkBudgets::take(const RegionName &to, ByteCount bytes, MonotonicTime now)
{
    const auto link = m_links.find(to);
    return link != m_links.end() && link->second.take(bytes, now);
}

void LinkBudgets::charge(const RegionName &to, ByteCount bytes, MonotonicTime now)
{
    if (const auto link = m_links.find(to); link != m_links.end()) {
        link->second.charge(bytes, now);
    }
}

const RegionName &LinkBudgets::ownRegion() const
{
    return m_own;
}

} // namespace Geraniumsail
