// Bounds the requests that this node sends to a second upstream, for each service.
//
// The fleet must keep the repeats of a service in any window below a share of its requests plus a fixed slack. Nodes do
// not coordinate: each may repeat a share of the first deliveries it made itself, with a burst of one. A repeat of a
// request near the root of a call tree repeats all calls below it, so the share of one node is a fraction of the
// fleet's: with four levels, each level may add one quarter of half of it.
//
// A bucket starts empty and earns from first deliveries only, so a node that just started, and a fleet that just lost
// its memory, repeats nothing.
#ifndef GERANIUMSAIL_CORE_REDELIVERYBUDGET_H
#define GERANIUMSAIL_CORE_REDELIVERYBUDGET_H

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace Geraniumsail {

class RedeliveryBudget
{
public:
    /// Levels of calls over which the fleet's ratio is divided; deeper call trees are not known on these deployments.
    static constexpr double CallLevels = 4;
    /// Part of the fleet's ratio that is used; the rest covers repeats that sit in two windows.
    static constexpr double UsedPart = 0.6;
    /// Tokens that a bucket holds at most.
    static constexpr double Burst = 2;

    /// ratio: the fleet's bound, repeats per request.
    explicit RedeliveryBudget(double ratio);

    void onFirstDelivery(const ServiceName &service);
    /// Takes one repeat if the budget has it.
    bool take(const ServiceName &service);
    double left(const ServiceName &service) const;

private:
    double m_earned;
    std::map<ServiceName, double> m_tokens;
};

} // namespace Geraniumsail

#endif
