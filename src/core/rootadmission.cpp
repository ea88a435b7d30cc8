#include "core/rootadmission.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

/// Decrease of one step in full overload, and increase of one step without: the part halves in 1.4 s and recovers from
/// the floor in about 6 s.
constexpr double Decrease = 0.1;
constexpr double Increase = 0.03;
/// Share of requests that may be refused before the part falls. A root request with eight calls to this service fails
/// if one of them does.
constexpr double ToleratedRefusals = 0.01;
/// Share of refusals at which the part falls at the full rate.
constexpr double FullRefusals = 0.08;
/// Share of requests that may wait longer than TargetWait, and the share at which the part falls at the full rate.
constexpr double ToleratedWaits = 0.3;
constexpr double FullWaits = 0.8;
/// Weight of one answer in the part of its route.
constexpr double AnswerWeight = 0.5;

} // namespace

void OverloadSignal::onWait(Duration wait)
{
    ++m_total;
    if (wait > TargetWait) {
        ++m_waited;
    }
}

void OverloadSignal::onRefused()
{
    ++m_total;
    ++m_refused;
}

void OverloadSignal::tick(MonotonicTime now)
{
    if (now < m_stepEnd) {
        return;
    }
    m_stepEnd = now + Step;
    const double total = std::max(1U, m_total);
    const double byRefusals = (m_refused / total - ToleratedRefusals) / (FullRefusals - ToleratedRefusals);
    const double byWaits = (m_waited / total - ToleratedWaits) / (FullWaits - ToleratedWaits);
    const double overload = std::min(1.0, std::max(byRefusals, byWaits));
    if (overload > 0) {
        m_part = std::max(Floor, m_part * (1 - Decrease * overload));
    } else {
        m_part = std::min(1.0, m_part + Increase);
    }
    m_waited = 0;
    m_refused = 0;
    m_total = 0;
}

void RoutePart::hear(AdmittedPart part, double weight, MonotonicTime now)
{
    const double before = value(now).value();
    m_part = before + (part.value() - before) * weight;
    m_at = now;
}

AdmittedPart RoutePart::value(MonotonicTime now) const
{
    const auto age = static_cast<double>(std::max(Duration(0), now - m_at - HoldTime).count());
    const auto remembered = std::exp2(-age / static_cast<double>(HalfLife.count()));
    return AdmittedPart(1 - (1 - m_part) * remembered);
}

void RootAdmission::onAnswer(const RouteName &route, AdmittedPart part, MonotonicTime now)
{
    m_parts[route].hear(part, AnswerWeight, now);
}

AdmittedPart RootAdmission::part(const RouteName &route, MonotonicTime now) const
{
    const auto found = m_parts.find(route);
    return found == m_parts.end() ? AdmittedPart(1) : found->second.value(now);
}

std::optional<Duration> RootAdmission::partAge(const RouteName &route, MonotonicTime now) const
{
    const auto found = m_parts.find(route);
    if (found == m_parts.end()) {
        return std::nullopt;
    }
    return now - found->second.heardAt();
}

bool RootAdmission::admit(const RouteRule &rule, double draw, MonotonicTime now) const
{
    // The most urgent rank is ordered by the queues alone.
    if (rule.rank == MostUrgentRank) {
        return true;
    }
    return draw < part(rule.name, now).value();
}

} // namespace Geraniumsail
