#include "core/rootadmission.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

/// Relative decrease per control interval in full overload: halves the fraction in 1.4 s.
constexpr double MaxDecrease = 0.1;
/// Increase per control interval without overload: recovers from MinFraction in about 6 s.
constexpr double RecoveryStep = 0.03;
/// Share of refused requests up to which the fraction does not fall. It is small because a root request with eight
/// calls to this service fails if one of them does.
constexpr double ToleratedRefusalRatio = 0.01;
/// Share of refused requests from which the fraction falls by MaxDecrease.
constexpr double FullRefusalRatio = 0.08;
/// Share of requests waiting longer than OverloadWait up to which the fraction does not fall.
constexpr double ToleratedLongWaitRatio = 0.3;
/// Share of such requests from which the fraction falls by MaxDecrease.
constexpr double FullLongWaitRatio = 0.8;
/// Weight of one response in the moving average of its route.
constexpr double ResponseWeight = 0.5;

} // namespace

void OverloadController::onStarted(Duration wait)
{
    ++m_total;
    if (wait > OverloadWait) {
        ++m_longWaits;
    }
}

void OverloadController::onRefused()
{
    ++m_total;
    ++m_refused;
}

void OverloadController::tick(MonotonicTime now)
{
    if (now < m_intervalEnd) {
        return;
    }
    m_intervalEnd = now + ControlInterval;
    const double total = std::max(1U, m_total);
    const double refusalOverload =
        (m_refused / total - ToleratedRefusalRatio) / (FullRefusalRatio - ToleratedRefusalRatio);
    const double waitOverload =
        (m_longWaits / total - ToleratedLongWaitRatio) / (FullLongWaitRatio - ToleratedLongWaitRatio);
    const double overload = std::min(1.0, std::max(refusalOverload, waitOverload));
    if (overload > 0) {
        m_fraction = std::max(MinFraction, m_fraction * (1 - MaxDecrease * overload));
    } else {
        m_fraction = std::min(1.0, m_fraction + RecoveryStep);
    }
    m_longWaits = 0;
    m_refused = 0;
    m_total = 0;
}

void DecayingFraction::update(AdmittedFraction fraction, double weight, MonotonicTime now)
{
    const double before = value(now).value();
    m_fraction = before + (fraction.value() - before) * weight;
    m_updatedAt = now;
}

AdmittedFraction DecayingFraction::value(MonotonicTime now) const
{
    const auto age = static_cast<double>(std::max(Duration(0), now - m_updatedAt - HoldTime).count());
    const auto weight = std::exp2(-age / static_cast<double>(HalfLife.count()));
    return AdmittedFraction(1 - (1 - m_fraction) * weight);
}

void RootAdmission::onResponse(const RouteName &route, AdmittedFraction fraction, MonotonicTime now)
{
    m_fractions[route].update(fraction, ResponseWeight, now);
}

AdmittedFraction RootAdmission::admittedFraction(const RouteName &route, MonotonicTime now) const
{
    const auto found = m_fractions.find(route);
    return found == m_fractions.end() ? AdmittedFraction(1) : found->second.value(now);
}

std::optional<Duration> RootAdmission::fractionAge(const RouteName &route, MonotonicTime now) const
{
    const auto found = m_fractions.find(route);
    if (found == m_fractions.end()) {
        return std::nullopt;
    }
    return now - found->second.updatedAt();
}

bool RootAdmission::admit(const RouteRule &rule, double draw, MonotonicTime now) const
{
    // The most urgent rank is always admitted; the queues alone schedule it.
    if (rule.rank == MostUrgentRank) {
        return true;
    }
    return draw < admittedFraction(rule.name, now).value();
}

} // namespace Geraniumsail
