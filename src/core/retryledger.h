// Retry allowance of one request, kept by the node that makes the calls of the request.
//
// Each attempt is granted a part of the allowance of its caller and returns what it did not use, so the retries of a
// whole call tree never exceed the allowance of its root. A grant is deducted when it is made and is returned at most
// once, and at most in full. If the answer is lost, the grant counts as spent, because the target may have spent it.
#ifndef GERANIUMSAIL_CORE_RETRYLEDGER_H
#define GERANIUMSAIL_CORE_RETRYLEDGER_H

#include "core/units.h"

#include <cstdint>
#include <vector>

namespace Geraniumsail {

/// Retries granted to one attempt.
struct AllowanceGrant
{
    std::uint64_t id = 0; ///< Unique within its ledger; 0 for an empty grant.
    Allowance amount{0};
};

class RetryLedger
{
public:
    /// The hop is that of the calls made with this ledger; it is 0 only at the node that received the root call. An
    /// allowance above MaxAllowance is reduced to it.
    RetryLedger(Allowance allowance, int hop);

    /// Deducts ceil(available / parallelCalls) from the ledger and grants it to an attempt. At hop 0, one unit is held
    /// back if more than one is available, so that the node can still retry once after a lost answer.
    AllowanceGrant allocate(int parallelCalls);

    /// Adds the unused part of a grant to the ledger, at most its amount. Has no effect if the grant was already
    /// returned or the ledger is closed.
    void returnUnused(const AllowanceGrant &grant, Allowance unused);

    /// Deducts one unit for a retry by this node. Returns false if none is available.
    bool spendOne();

    Allowance available() const;

    /// Closes the ledger and returns the allowance left for the caller. Outstanding grants count as spent.
    Allowance close();

private:
    int m_hop;
    std::uint32_t m_available;
    bool m_closed = false;
    std::uint64_t m_nextGrantId = 1;
    std::vector<AllowanceGrant> m_outstanding;
};

} // namespace Geraniumsail

#endif
