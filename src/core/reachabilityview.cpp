#include "core/reachabilityview.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

/// More than one, because a restart of a single relay commonly loses one request.
constexpr int FailuresUntilUnreachable = 2;
/// Reports with a timestamp further in the future are ignored, because later reports could not override them.
constexpr Duration MaxClockLead = std::chrono::seconds(60);

std::uint64_t toUnixMs(WallTime time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

bool isCurrent(const ReachabilityReport &report, WallTime now)
{
    return report.timestampMs + toUnixMs(WallTime(ReachabilityReportLifetime)) >= toUnixMs(now);
}

} // namespace

void ReachabilityView::onContact(const DataCentreName &dataCentre, WallTime now)
{
    m_consecutiveFailures[dataCentre] = 0;
    const auto found = m_reports.find(dataCentre);
    if (found != m_reports.end() && !found->second.reachable) {
        found->second.reachable = true;
        found->second.timestampMs = std::max(found->second.timestampMs + 1, toUnixMs(now));
    }
}

bool ReachabilityView::onFailure(const DataCentreName &dataCentre, WallTime now)
{
    int &failures = m_consecutiveFailures[dataCentre];
    ++failures;
    if (failures >= FailuresUntilUnreachable) {
        auto &report = m_reports[dataCentre];
        report = {dataCentre, std::max(report.timestampMs + 1, toUnixMs(now)), false};
    }
    return failures < FailuresUntilUnreachable;
}

bool ReachabilityView::hasFailures(const DataCentreName &dataCentre) const
{
    const auto found = m_consecutiveFailures.find(dataCentre);
    return found != m_consecutiveFailures.end() && found->second > 0;
}

void ReachabilityView::merge(const std::vector<ReachabilityReport> &reports, WallTime now)
{
    for (const auto &report : reports) {
        if (report.timestampMs > toUnixMs(now + MaxClockLead)) {
            continue;
        }
        auto &known = m_reports[report.dataCentre];
        if (report.timestampMs > known.timestampMs) {
            known = report;
        }
    }
}

std::vector<ReachabilityReport> ReachabilityView::reports(WallTime now) const
{
    std::vector<ReachabilityReport> result;
    for (const auto &[name, report] : m_reports) {
        if (isCurrent(report, now)) {
            result.push_back(report);
        }
    }
    return result;
}

std::vector<DataCentreName> ReachabilityView::unreachable(WallTime now) const
{
    std::vector<DataCentreName> names;
    for (const auto &[name, report] : m_reports) {
        if (!report.reachable && isCurrent(report, now)) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace Geraniumsail
