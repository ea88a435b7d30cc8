// Joins calls with the same idempotency key at one node.
//
// A call whose key is in flight waits for the end of the first call. For unrepeatable child calls the ticket stays
// after the end, so that a resend asks the same target instead of running the work again. Such an entry is never
// evicted; if the table is full, new unrepeatable keys are refused, which is true as not run because an unknown key was
// never sent.
#ifndef GERANIUMSAIL_CORE_RESENDTABLE_H
#define GERANIUMSAIL_CORE_RESENDTABLE_H

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/ticket.h"
#include "core/units.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Geraniumsail {

/// A key counts within its scope: the attempt id of the parent for child calls, the caller and service for others.
struct ResendKey
{
    std::string scope;
    IdempotencyKey key;

    auto operator<=>(const ResendKey &) const = default;
};

struct ResendVerdict
{
    enum class Kind {
        New, ///< Entered; make the call and report its end.
        Join, ///< Wait for the end of the call with the given number.
        Again, ///< Entered; make the call with the kept ticket as a resend and report its end.
        Untracked, ///< The table is full; make the repeatable call without an entry.
        Full, ///< Refuse the unrepeatable call with Overloaded.
    };

    Kind kind = Kind::New;
    std::uint64_t call = 0;
    std::optional<Ticket> ticket;
};

class ResendTable
{
public:
    explicit ResendTable(std::size_t maxEntries = 16'384);

    /// The call number is chosen by the owner and names the call in flight for later joins.
    ResendVerdict arrive(const ResendKey &key, std::uint64_t call, bool repeatable, MonotonicTime now);

    /// Ends the call in flight. The ticket is kept until all tickets of its time have expired and the scope has ended,
    /// unless the call did not run.
    void end(const ResendKey &key, Outcome outcome, const std::optional<Ticket> &ticket, MonotonicTime scopeEnd,
             MonotonicTime now);

    void prune(MonotonicTime now);
    std::size_t size() const;

private:
    struct Entry
    {
        std::optional<std::uint64_t> call; ///< Of the call in flight.
        std::optional<Ticket> ticket;
        MonotonicTime keepUntil;
    };

    std::size_t m_maxEntries;
    std::map<ResendKey, Entry> m_entries;
    std::set<std::pair<MonotonicTime, ResendKey>> m_expiry;
};

} // namespace Geraniumsail

#endif
