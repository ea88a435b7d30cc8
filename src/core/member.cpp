#include "core/member.h"

#include <xxhash.h>

#include <array>
#include <string>

namespace Geraniumsail {

namespace {

constexpr int IncarnationRandomBits = 20;
constexpr std::uint64_t IncarnationRandomMask = (1U << IncarnationRandomBits) - 1;

} // namespace

std::uint64_t digestOf(const MemberRecord &record)
{
    if (record.state == MemberState::Dead) {
        return 0;
    }
    const std::array<std::uint64_t, 3> order = {record.incarnation.value(), record.sequence,
                                                static_cast<std::uint64_t>(record.state)};
    const std::string &name = record.name.value();
    return XXH3_64bits_withSeed(order.data(), sizeof(order), XXH3_64bits(name.data(), name.size()));
}

std::size_t bucketOf(const NodeName &name)
{
    return XXH3_64bits(name.value().data(), name.value().size()) % MemberBuckets;
}

Incarnation makeIncarnation(WallTime now, Random &random)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    return Incarnation((static_cast<std::uint64_t>(ms) << IncarnationRandomBits) | (random() & IncarnationRandomMask));
}

Incarnation incarnationAbove(Incarnation other, Random &random)
{
    const std::uint64_t next = ((other.value() >> IncarnationRandomBits) + 1) << IncarnationRandomBits;
    return Incarnation(next | (random() & IncarnationRandomMask));
}

} // namespace Geraniumsail
