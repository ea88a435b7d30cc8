// Admission control for root requests: the entry node refuses a share of them while a service deeper in the call tree
// is overloaded.
//
// Calls fan out, and the smallest service is often at the end of the call tree. A root request that is admitted and
// then fails three calls deep wastes the work of every service above. Each node therefore reports an admitted fraction
// in its responses: the minimum of its own queue's fraction and of the fractions that it received in responses to its
// upstream's calls. The entry node admits that share of a route's root requests. Calls are never refused here, because
// their root request was admitted.
//
// OverloadController computes the fraction of one queue: it falls while requests are refused or wait too long, and
// rises slowly otherwise. DecayingFraction holds the fraction received for one route and returns to 1 without updates.
// RootAdmission keeps one DecayingFraction for each route and decides.
#ifndef GERANIUMSAIL_CORE_ROOTADMISSION_H
#define GERANIUMSAIL_CORE_ROOTADMISSION_H

#include "core/routetable.h"
#include "core/units.h"

#include <map>
#include <optional>

namespace Geraniumsail {

/// Fraction of root requests that a service can handle, from 0 to 1.
using AdmittedFraction = StrongNumber<struct AdmittedFractionTag, double>;

/// Computes the admitted fraction of one queue from the refusals and waits in each control interval.
class OverloadController
{
public:
    /// Long enough for a few requests to finish at usual service times.
    static constexpr Duration ControlInterval = std::chrono::milliseconds(200);
    /// A longer wait in the queue counts as overload.
    static constexpr Duration OverloadWait = std::chrono::milliseconds(60);
    /// Lower bound, which admits enough requests to detect the end of the overload.
    static constexpr double MinFraction = 0.1;

    /// A request started after this wait in the queue; zero if it started on arrival.
    void onStarted(Duration wait);
    void onRefused();
    /// Updates the fraction if the control interval has ended.
    void tick(MonotonicTime now);
    AdmittedFraction admittedFraction() const
    {
        return AdmittedFraction(m_fraction);
    }

private:
    std::uint32_t m_longWaits = 0;
    std::uint32_t m_refused = 0;
    std::uint32_t m_total = 0;
    double m_fraction = 1;
    MonotonicTime m_intervalEnd;
};

/// Moving average of the admitted fractions received for one route; decays towards 1 without updates.
class DecayingFraction
{
public:
    /// No decay for this time after an update: routes with few requests get a response about every half second.
    static constexpr Duration HoldTime = std::chrono::milliseconds(1000);
    /// Half-life of the decay after HoldTime.
    static constexpr Duration HalfLife = std::chrono::milliseconds(2000);

    /// weight: of the new value in the moving average, 0 to 1.
    void update(AdmittedFraction fraction, double weight, MonotonicTime now);
    AdmittedFraction value(MonotonicTime now) const;
    MonotonicTime updatedAt() const
    {
        return m_updatedAt;
    }

private:
    double m_fraction = 1;
    MonotonicTime m_updatedAt;
};

class RootAdmission
{
public:
    /// A response to a request of this route carried an admitted fraction.
    void onResponse(const RouteName &route, AdmittedFraction fraction, MonotonicTime now);
    /// Fraction of the route's root requests that is admitted now.
    AdmittedFraction admittedFraction(const RouteName &route, MonotonicTime now) const;
    /// Time since the last update for the route; nullopt if there was none.
    std::optional<Duration> fractionAge(const RouteName &route, MonotonicTime now) const;
    /// Whether a root request is admitted. draw: uniform in [0, 1), derived from the request.
    bool admit(const RouteRule &rule, double draw, MonotonicTime now) const;

private:
    std::map<RouteName, DecayingFraction> m_fractions;
};

} // namespace Geraniumsail

#endif
