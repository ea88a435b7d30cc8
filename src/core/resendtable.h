// Deduplicates calls with the same idempotency key at one node.
//
// A call whose key is already in flight waits for the end of the first call. For unrepeatable child calls the ticket is
// kept after the end, so that a resend goes to the same target instead of running the work again. Such an entry is
// never evicted. If the table is full, new unrepeatable keys are refused; the refusal may report that the work did not
// run, because an unknown key was never sent.
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

/// A key is unique within its scope: the attempt id of the parent for child calls, the caller and service for others.
struct ResendKey
{
    std::string scope;
    IdempotencyKey key;

    auto operator<=>(const ResendKey &) const = default;
};

struct ResendVerdict
{
    enum class Kind {
        New, ///< Entry added: make the call and report its end.
        Join, ///< Wait for the end of the call in flight with this number.
        Resend, ///< Entry reused: make the call as a resend with the kept ticket and report its end.
        Untracked, ///< The table is full: make the repeatable call without an entry.
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

    /// The owner chooses the call number; it identifies the call in flight to calls that join it.
    ResendVerdict arrive(const ResendKey &key, std::uint64_t call, bool repeatable, MonotonicTime now);

    /// Ends the call in flight. Unless the call did not run, the ticket is kept until all tickets created by now have
    /// expired and the scope has ended.
    void end(const ResendKey &key, Outcome outcome, const std::optional<Ticket> &ticket, MonotonicTime scopeEnd,
             MonotonicTime now);

    void prune(MonotonicTime now);
    std::size_t size() const;

private:
    struct Entry
    {
        std::optional<std::uint64_t> call; ///< Number of the call in flight, if any.
        std::optional<Ticket> ticket;
        MonotonicTime keepUntil;
    };

    std::size_t m_maxEntries;
    std::map<ResendKey, Entry> m_entries;
    std::set<std::pair<MonotonicTime, ResendKey>> m_expiry;
};

} // namespace Geraniumsail

#endif
