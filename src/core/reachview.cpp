#include "core/reachview.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

/// One lost request is common when a single relay restarts.
constexpr int FailuresUntilUnreachable = 2;
/// Statements from a clock further ahead than this are not believed, because nothing could override them.
constexpr Duration MaxClockLead = std::chrono::seconds(60);

std::uint64_t milliseconds(WallTime time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

bool fresh(const Reachability &statement, WallTime now)
{
    return statement.stampMs + milliseconds(WallTime(ReachRetention)) >= milliseconds(now);
}

} // namespace

void ReachView::onContact(const DataCentreName &dataCentre, WallTime now)
{
    m_failures[dataCentre] = 0;
    const auto found = m_statements.find(dataCentre);
    if (found != m_statements.end() && !found->second.reachable) {
        found->second.reachable = true;
        found->second.stampMs = std::max(found->second.stampMs + 1, milliseconds(now));
    }
}

bool ReachView::onFailure(const DataCentreName &dataCentre, WallTime now)
{
    int &failures = m_failures[dataCentre];
    ++failures;
    if (failures >= FailuresUntilUnreachable) {
        auto &statement = m_statements[dataCentre];
        statement = {dataCentre, std::max(statement.stampMs + 1, milliseconds(now)), false};
    }
    return failures < FailuresUntilUnreachable;
}

bool ReachView::failing(const DataCentreName &dataCentre) const
{
    const auto found = m_failures.find(dataCentre);
    return found != m_failures.end() && found->second > 0;
}

void ReachView::merge(const std::vector<Reachability> &statements, WallTime now)
{
    for (const auto &statement : statements) {
        if (statement.stampMs > milliseconds(now + MaxClockLead)) {
            continue;
        }
        auto &known = m_statements[statement.dataCentre];
        if (statement.stampMs > known.stampMs) {
            known = statement;
        }
    }
}

std::vector<Reachability> ReachView::statements(WallTime now) const
{
    std::vector<Reachability> result;
    for (const auto &[name, statement] : m_statements) {
        if (fresh(statement, now)) {
            result.push_back(statement);
        }
    }
    return result;
}

std::vector<DataCentreName> ReachView::unreachable(WallTime now) const
{
    std::vector<DataCentreName> names;
    for (const auto &[name, statement] : m_statements) {
        if (!statement.reachable && fresh(statement, now)) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace Geraniumsail
