#include "core/leaverecord.h"

#include <algorithm>

namespace Geraniumsail {

bool LeaveRecord::add(const UpstreamId &id, std::int64_t startedMs)
{
    if (contains(id, startedMs)) {
        return false;
    }
    m_leaves.insert_or_assign(id, startedMs);
    if (m_leaves.size() > MaxLeaves) {
        m_leaves.erase(std::min_element(m_leaves.begin(), m_leaves.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        }));
    }
    return true;
}

void LeaveRecord::merge(const LeaveRecord &other)
{
    for (const auto &[id, startedMs] : other.m_leaves) {
        add(id, startedMs);
    }
}

bool LeaveRecord::contains(const UpstreamId &id, std::int64_t startedMs) const
{
    const auto found = m_leaves.find(id);
    return found != m_leaves.end() && startedMs <= found->second;
}

bool LeaveRecord::containsAll(const LeaveRecord &other) const
{
    return std::all_of(other.m_leaves.begin(), other.m_leaves.end(),
                       [this](const auto &leave) { return contains(leave.first, leave.second); });
}

} // namespace Geraniumsail
