#include "core/resendtable.h"

#include "core/attemptregistry.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

/// One epoch longer than a ticket is valid at its target, because the epoch of the target may have begun later.
constexpr Duration TicketRetention = TicketEpochLength * (TicketLifetimeEpochs + 1);

} // namespace

ResendTable::ResendTable(std::size_t maxEntries) : m_maxEntries(maxEntries)
{
}

ResendVerdict ResendTable::arrive(const ResendKey &key, std::uint64_t call, bool repeatable, MonotonicTime now)
{
    using Kind = ResendVerdict::Kind;
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        auto &entry = found->second;
        if (entry.call) {
            return ResendVerdict{Kind::Join, *entry.call, std::nullopt};
        }
        m_expiry.erase({entry.keepUntil, key});
        entry.call = call;
        return ResendVerdict{Kind::Resend, call, entry.ticket};
    }
    if (m_entries.size() >= m_maxEntries) {
        prune(now);
    }
    if (m_entries.size() >= m_maxEntries) {
        return ResendVerdict{repeatable ? Kind::Untracked : Kind::Full, call, std::nullopt};
    }
    m_entries.emplace(key, Entry{call, std::nullopt, now});
    return ResendVerdict{Kind::New, call, std::nullopt};
}

void ResendTable::end(const ResendKey &key, Outcome outcome, const std::optional<Ticket> &ticket,
                      MonotonicTime scopeEnd, MonotonicTime now)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || !found->second.call) {
        return;
    }
    if (outcome == Outcome::NotRun || !ticket) {
        m_entries.erase(found);
        return;
    }
    auto &entry = found->second;
    entry.call.reset();
    entry.ticket = ticket;
    entry.keepUntil = std::max(now + TicketRetention, scopeEnd);
    m_expiry.emplace(entry.keepUntil, key);
}

void ResendTable::prune(MonotonicTime now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        m_entries.erase(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
}

std::size_t ResendTable::size() const
{
    return m_entries.size();
}

} // namespace Geraniumsail
