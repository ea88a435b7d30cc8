// One member of the group: the node of one upstream, as the group knows it.
//
// Records of one member are ordered by (incarnation, sequence, state). Only the member itself raises its incarnation
// (a new life of the process) and its sequence; others may only move the state of a known sequence towards Dead. Two
// nodes that hold the same set of updates therefore hold the same record, in whatever order the updates arrived.
#ifndef GERANIUMSAIL_CORE_MEMBER_H
#define GERANIUMSAIL_CORE_MEMBER_H

#include "core/ids.h"
#include "core/random.h"
#include "core/units.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <tuple>

namespace Geraniumsail {

/// The order of the values is the order of precedence within one sequence.
enum class MemberState : std::uint8_t {
    Alive,
    Leaving, ///< Takes no new work; set by the member itself.
    Suspect, ///< Did not answer a direct and two indirect probes.
    Dead,
};

struct MemberRecord
{
    NodeName name;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< Raised by the member itself, never by others.
    RegionName region;
    DataCentreName dataCentre;
    ServiceName service; ///< Empty until the upstream has announced itself.
    Address peer;
    Address control;
    Slots slots;
    MemberState state = MemberState::Alive;
    Duration coldStart{0}; ///< Announced time from the start of the upstream to full capacity; whole milliseconds.
    TicketEpoch epoch; ///< Epoch of the member's own clock when it made this record.

    bool operator==(const MemberRecord &) const = default;
};

using MemberOrder = std::tuple<std::uint64_t, std::uint64_t, MemberState>;

inline MemberOrder orderOf(const MemberRecord &record)
{
    return {record.incarnation.value(), record.sequence, record.state};
}

/// True if candidate replaces known.
inline bool supersedes(const MemberRecord &candidate, const MemberRecord &known)
{
    return orderOf(candidate) > orderOf(known);
}

/// True if new work may be sent to the member. A suspected member stays usable until it is declared dead, because the
/// router ejects it on its own evidence and a false suspicion must not take capacity away.
inline bool takesWork(const MemberRecord &record)
{
    return record.state == MemberState::Alive || record.state == MemberState::Suspect;
}

/// Contribution of a record to a digest; Dead records contribute 0, so that the removal of a tombstone, which happens
/// at a different moment on each node, never makes two digests differ.
std::uint64_t digestOf(const MemberRecord &record);

/// Buckets by name within one data centre; one bucket of 490 members is about 15 records.
constexpr std::size_t MemberBuckets = 32;
std::size_t bucketOf(const NodeName &name);

/// Wall clock milliseconds << 20 | random, so that a restarted process has a higher incarnation than its former life.
Incarnation makeIncarnation(WallTime now, Random &random);
/// An incarnation above other, for a process whose clock was set back between two lives.
Incarnation incarnationAbove(Incarnation other, Random &random);

} // namespace Geraniumsail

#endif
