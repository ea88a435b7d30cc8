// The retry allowance of one request, kept by the node that makes the request's calls.
//
// The allowance of a call tree is lent downwards and given back upwards, so that the retries of the whole tree never
// exceed what the root had. Nothing is ever created: a loan leaves the ledger when it is made and returns at most once,
// and at most whole. A loan whose answer is lost counts as spent, because the other side may have spent all of it.
#ifndef GERANIUMSAIL_CORE_RETRYLEDGER_H
#define GERANIUMSAIL_CORE_RETRYLEDGER_H

#include "core/units.h"

#include <cstdint>
#include <vector>

namespace Geraniumsail {

/// Retries lent to one attempt.
struct Loan
{
    std::uint64_t number = 0; ///< Names the loan within its ledger; 0 for an empty loan.
    Allowance amount{0};
};

class RetryLedger
{
public:
    /// The hop is that of the calls made with this ledger: 0 only at the node that received the call from outside. An
    /// allowance over MaxAllowance is cut to it.
    RetryLedger(Allowance allowance, int hop);

    /// Takes ceil(available / parallel) out of the ledger. At hop 0 one unit stays if more than one is available, so
    /// that a lost answer still leaves the node one retry of its own.
    Loan lend(int parallel);

    /// Returns the unused part of a loan, at most its amount. A second return of the same loan and a return after
    /// close() have no effect.
    void giveBack(const Loan &loan, Allowance unused);

    /// Takes one unit for a retry by this node; false if none is available.
    bool spendOwn();

    Allowance available() const;

    /// Ends the ledger and returns what its own lender gets back. Loans still out count as spent.
    Allowance close();

private:
    int m_hop;
    std::uint32_t m_available;
    bool m_closed = false;
    std::uint64_t m_nextNumber = 1;
    std::vector<Loan> m_outstanding;
};

} // namespace Geraniumsail

#endif
