// Limits the bytes that this node sends over the links between regions, which are charged by volume.
//
// Each node may use an equal fraction of its region's link: configured rate / live nodes of the region. This keeps the
// sum of all nodes below the link's rate without coordination, but leaves capacity unused if only a few nodes need the
// link. Because links cost money by volume, a link that is not configured carries no calls.
#ifndef GERANIUMSAIL_CORE_LINKBUDGET_H
#define GERANIUMSAIL_CORE_LINKBUDGET_H

#include "core/ids.h"
#include "core/policy.h"
#include "core/units.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Geraniumsail {

/// Bucket capacity as a time at the node's rate. Allows a single large call after an idle period.
constexpr Duration LinkBurstDuration = std::chrono::seconds(1);

/// Token bucket of one link. While the balance is positive, a call of any size is admitted and may make it negative;
/// otherwise a call that is larger than the bucket could never be admitted.
class LinkBudget
{
public:
    LinkBudget(ByteCount bytesPerSecond, MonotonicTime now);

    void setRate(ByteCount bytesPerSecond, MonotonicTime now);
    bool available(MonotonicTime now);
    /// Deducts the bytes and returns true if the balance is positive; otherwise changes nothing and returns false.
    bool tryConsume(ByteCount bytes, MonotonicTime now);
    /// Deducts bytes unconditionally, for traffic whose size is known only after it was sent.
    void charge(ByteCount bytes, MonotonicTime now);

private:
    void refill(MonotonicTime now);
    double capacity() const;

    double m_bytesPerSecond;
    double m_availableBytes;
    MonotonicTime m_lastRefill;
};

/// Budgets of the links from this node's region to other regions.
class LinkBudgets
{
public:
    explicit LinkBudgets(RegionName ownRegion);

    /// Links that are still configured keep their balance. liveNodes is the number of live nodes of the own region; 0
    /// counts as 1.
    void setPolicy(const std::vector<LinkPolicy> &links, std::size_t liveNodes, MonotonicTime now);
    bool available(const RegionName &to, MonotonicTime now);
    bool tryConsume(const RegionName &to, ByteCount bytes, MonotonicTime now);
    void charge(const RegionName &to, ByteCount bytes, MonotonicTime now);
    const RegionName &ownRegion() const;

private:
    RegionName m_ownRegion;
    std::unordered_map<RegionName, LinkBudget> m_links;
};

} // namespace Geraniumsail

#endif
