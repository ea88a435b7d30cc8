#include "core/retryledger.h"

#include <algorithm>

namespace Geraniumsail {

RetryLedger::RetryLedger(Allowance allowance, int hop)
    : m_hop(hop), m_available(std::min(allowance, MaxAllowance).value())
{
}

AllowanceGrant RetryLedger::allocate(int parallelCalls)
{
    const std::uint32_t reserve = m_hop == 0 && m_available > 1 ? 1 : 0;
    const std::uint32_t parts = static_cast<std::uint32_t>(std::max(parallelCalls, 1));
    const std::uint32_t grantable = m_available - reserve;
    // (grantable + parts - 1) / parts would overflow for a large number of parts.
    const std::uint32_t amount = grantable / parts + (grantable % parts != 0 ? 1 : 0);
    if (amount == 0) {
        return AllowanceGrant{};
    }
    m_available -= amount;
    m_outstanding.push_back(AllowanceGrant{m_nextGrantId++, Allowance(amount)});
    return m_outstanding.back();
}

void RetryLedger::returnUnused(const AllowanceGrant &grant, Allowance unused)
{
    const auto found = std::find_if(m_outstanding.begin(), m_outstanding.end(),
                                    [&](const AllowanceGrant &other) { return other.id == grant.id; });
    if (m_closed || found == m_outstanding.end()) {
        return;
    }
    m_available += std::min(found->amount, unused).value();
    m_outstanding.erase(found);
}

bool RetryLedger::spendOne()
{
    if (m_available == 0) {
        return false;
    }
    --m_available;
    return true;
}

Allowance RetryLedger::available() const
{
    return Allowance(m_available);
}

Allowance RetryLedger::close()
{
    const Allowance rest(m_available);
    m_available = 0;
    m_closed = true;
    m_outstanding.clear();
    return rest;
}

} // namespace Geraniumsail
