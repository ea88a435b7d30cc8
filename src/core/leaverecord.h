// Which incarnations of the upstreams beside one node have left, that is, were acknowledged as draining or gone.
//
// An id may be used again by an upstream that starts later, so the record holds for each id the start of the latest
// incarnation that left. Incarnations of the same id that started earlier have left too, and those that started later
// have not.
//
// Reports may be delayed, also beyond the restart of the node that they are for. The record therefore has to outlast
// the process of the node: see relay/leaverecorder.h.
#ifndef GERANIUMSAIL_CORE_LEAVERECORD_H
#define GERANIUMSAIL_CORE_LEAVERECORD_H

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace Geraniumsail {

/// Identifies one incarnation of an upstream. The upstream rejects requests that name another incarnation.
using UpstreamId = StrongString<struct UpstreamIdTag>;

class LeaveRecord
{
public:
    /// Number of ids that are remembered. Those whose incarnations started first are forgotten first.
    static constexpr std::size_t MaxLeaves = 64;

    /// Records that the incarnation left. startedMs is its start, Unix time in milliseconds; 0 if unknown. Returns
    /// false if this is known.
    bool add(const UpstreamId &id, std::int64_t startedMs);
    /// Adds all leaves of the other record.
    void merge(const LeaveRecord &other);
    bool contains(const UpstreamId &id, std::int64_t startedMs) const;
    bool containsAll(const LeaveRecord &other) const;

    /// Start of the latest incarnation that left, by id.
    const std::map<UpstreamId, std::int64_t> &leaves() const
    {
        return m_leaves;
    }

    bool operator==(const LeaveRecord &) const = default;

private:
    std::map<UpstreamId, std::int64_t> m_leaves;
};

} // namespace Geraniumsail

#endif
