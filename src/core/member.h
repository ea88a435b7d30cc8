// Record of one group member, which is the node beside one upstream.
//
// Records of one member are ordered by (incarnation, sequence, state). Only the member itself increases its incarnation
// (when its process restarts) and its sequence; other members may only move the state of a known sequence towards Dead.
// Merging is therefore independent of order: nodes that received the same updates have the same record.
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

/// Within one sequence a later value takes precedence over an earlier one.
enum class MemberState : std::uint8_t {
    Alive,
    Leaving, ///< Accepts no new requests; set by the member itself.
    Suspect, ///< Answered neither a direct probe nor two indirect probes.
    Dead,
};

struct MemberRecord
{
    NodeName name;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< Increased only by the member itself.
    RegionName region;
    DataCentreName dataCentre;
    ServiceName service; ///< Empty until the upstream has announced itself.
    Address peer;
    Address control;
    Slots slots;
    MemberState state = MemberState::Alive;
    Duration coldStart{0}; ///< Announced time from upstream start to full capacity, in whole milliseconds.
    TicketEpoch epoch; ///< Ticket epoch when the member's process started, by its own clock; see ticketEpochOf().

    bool operator==(const MemberRecord &) const = default;
};

using MemberVersion = std::tuple<std::uint64_t, std::uint64_t, MemberState>;

inline MemberVersion versionOf(const MemberRecord &record)
{
    return {record.incarnation.value(), record.sequence, record.state};
}

/// Returns true if candidate is newer than known and replaces it.
inline bool supersedes(const MemberRecord &candidate, const MemberRecord &known)
{
    return versionOf(candidate) > versionOf(known);
}

/// Returns true if new requests may be sent to the member. This includes Suspect members: a false suspicion must not
/// reduce capacity, and the router ejects a failing upstream by its own observations.
inline bool acceptsNewRequests(const MemberRecord &record)
{
    return record.state == MemberState::Alive || record.state == MemberState::Suspect;
}

/// Returns the contribution of a record to a digest. Dead records contribute 0, because nodes remove tombstones at
/// different times and that must not make their digests differ.
std::uint64_t digestOf(const MemberRecord &record);

/// Number of hash buckets of member names per data centre; with 490 members a bucket has about 15 records.
constexpr std::size_t MemberBuckets = 32;
std::size_t bucketOf(const NodeName &name);

/// Estimates the current ticket epoch of the member from the start time in its incarnation, so that the record need not
/// change with each epoch. The estimate is about one epoch behind, because the member refuses an epoch ahead of its own
/// clock. If clocks differ by more than one epoch, tickets expire early or are refused, but are never executed twice.
TicketEpoch ticketEpochOf(const MemberRecord &record, Duration epochLength, WallTime now);

/// Returns (wall clock in milliseconds << 20) | 20 random bits, so that a process has a higher incarnation after a
/// restart than before.
Incarnation makeIncarnation(WallTime now, Random &random);
/// Returns an incarnation higher than other, for a process whose clock was set back before it restarted.
Incarnation incarnationAbove(Incarnation other, Random &random);

} // namespace Geraniumsail

#endif
