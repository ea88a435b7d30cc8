// Refuses root requests at the entry when a service that their calls lead to is overloaded.
//
// The load it answers: calls fan out, and the smallest service is at the end of the tree. A request that is admitted at
// the entry and fails three calls deep has wasted the work of every service above. So each node publishes an admitted
// part with its answers, a number from 0 to 1: the least of its own queue's part and of what it learned from the
// answers to its upstream's calls. At the entry that number decides which share of a route's root requests is admitted.
// Calls are never refused here: their root was admitted.
//
// OverloadSignal controls the part at one queue: it falls while requests are refused or wait, and rises slowly
// otherwise. RoutePart is a part that was heard for one route and is
// forgotten without news. RootAdmission keeps one for each route and decides.
#ifndef GERANIUMSAIL_CORE_ROOTADMISSION_H
#define GERANIUMSAIL_CORE_ROOTADMISSION_H

#include "core/routetable.h"
#include "core/units.h"

#include <map>
#include <optional>

namespace Geraniumsail {

/// Part of root requests that a service can take, from 0 to 1.
using AdmittedPart = StrongNumber<struct AdmittedPartTag, double>;

class OverloadSignal
{
public:
    /// Length of one control step; a few requests end in it at the usual service times.
    static constexpr Duration Step = std::chrono::milliseconds(200);
    /// Wait in the queue that counts as overload.
    static constexpr Duration TargetWait = std::chrono::milliseconds(60);
    /// Lowest part: keeps enough requests flowing to notice that the overload has ended.
    static constexpr double Floor = 0.1;

    /// A request left the queue after this wait.
    void onWait(Duration wait);
    void onRefused();
    /// Applies the steps that have passed.
    void tick(MonotonicTime now);
    AdmittedPart part() const
    {
        return AdmittedPart(m_part);
    }

private:
    std::uint32_t m_waited = 0;
    std::uint32_t m_refused = 0;
    std::uint32_t m_total = 0;
    double m_part = 1;
    MonotonicTime m_stepEnd;
};

/// A part learned from answers.
class RoutePart
{
public:
    /// What was heard counts in full for this time: routes with few requests get an answer about every half second.
    static constexpr Duration HoldTime = std::chrono::milliseconds(1000);
    /// After that it counts half as much after each further span of this length.
    static constexpr Duration HalfLife = std::chrono::milliseconds(2000);

    /// weight: of this answer in the average, 0 to 1.
    void hear(AdmittedPart part, double weight, MonotonicTime now);
    AdmittedPart value(MonotonicTime now) const;
    /// When the last part was heard.
    MonotonicTime heardAt() const
    {
        return m_at;
    }

private:
    double m_part = 1;
    MonotonicTime m_at;
};

class RootAdmission
{
public:
    /// An answer to a request of this route carried a part.
    void onAnswer(const RouteName &route, AdmittedPart part, MonotonicTime now);
    /// The part in force for a route.
    AdmittedPart part(const RouteName &route, MonotonicTime now) const;
    /// Age of the part; nothing if none was ever heard.
    std::optional<Duration> partAge(const RouteName &route, MonotonicTime now) const;
    /// Whether a root request is admitted. draw: uniform in [0, 1), from the request.
    bool admit(const RouteRule &rule, double draw, MonotonicTime now) const;

private:
    std::map<RouteName, RoutePart> m_parts;
};

} // namespace Geraniumsail

#endif
