#include "core/rootadmission.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

/// Decrease of one step in full overload, and increase of one step without: the part halves in 1.4 s and recovers from
/// the floor in about 6 s.
constexpr double Decrease = 0.1;
constexpr double Increase = 0.03;
/// Share of requests that may wait or be refused before the part falls.
constexpr double Tolerated = 0.05;
/// Weight of one answer in the part of its route.
constexpr double AnswerWeight = 0.1;

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
    const double bad = m_total == 0 ? 0 : static_cast<double>(m_waited + m_refused) / m_total;
    if (bad > Tolerated) {
        m_part = std::max(Floor, m_part * (1 - Decrease * std::min(1.0, bad * 2)));
    } else {
        m_part = std::min(1.0, m_part + Increase);
    }
    m_waited = 0;
    m_refused = 0;
    m_total = 0;
}

void RootAdmission::onAnswer(const RouteName &route, AdmittedPart part, MonotonicTime now)
{
    auto &heard = m_heard[route];
    const double before = this->part(route, now).value();
    heard.part = before + (part.value() - before) * AnswerWeight;
    heard.at = now;
}

AdmittedPart RootAdmission::part(const RouteName &route, MonotonicTime now) const
{
    const auto found = m_heard.find(route);
    if (found == m_heard.end()) {
        return AdmittedPart(1);
    }
    const auto age = static_cast<double>((now - found->second.at).count());
    const auto weight = std::exp2(-age / static_cast<double>(HalfLife.count()));
    return AdmittedPart(1 - (1 - found->second.part) * weight);
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
