// Budget of bytes that this node may send over the paid links between regions.
//
// Each node takes an equal part of its region's link: configured rate / live nodes of the region. The sum of all nodes
// stays under the link's rate without any coordination, at the price of unused parts when few nodes need the link.
// A link that is not configured carries no calls, because it is paid for by volume.
#ifndef GERANIUMSAIL_CORE_LINKBUDGET_H
#define GERANIUMSAIL_CORE_LINKBUDGET_H

#include "core/ids.h"
#include "core/policy.h"
#include "core/units.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Geraniumsail {

/// The bucket holds this much time of the node's part, so that a single large call passes after a quiet time.
constexpr Duration LinkBurst = std::chrono::seconds(1);

/// Token bucket of one link. A call of any size is admitted while the bucket is above zero and may leave a debt;
/// otherwise a call that is larger than the bucket could never pass.
class LinkBudget
{
public:
    LinkBudget(ByteCount bytesPerSecond, MonotonicTime now);

    void setRate(ByteCount bytesPerSecond, MonotonicTime now);
    bool available(MonotonicTime now);
    /// Takes the bytes; false, with nothing taken, while there is a debt.
    bool take(ByteCount bytes, MonotonicTime now);
    /// Takes bytes whose number was known only after they were sent.
    void charge(ByteCount bytes, MonotonicTime now);

private:
    void refill(MonotonicTime now);
    double burst() const;

    double m_bytesPerSecond;
    double m_bytes;
    MonotonicTime m_filledAt;
};

/// The links that leave this node's region.
class LinkBudgets
{
public:
    explicit LinkBudgets(RegionName own);

    /// Keeps the level of links that stay. The number of live nodes of the own region counts at least as 1.
    void setPolicy(const std::vector<LinkPolicy> &links, std::size_t liveNodes, MonotonicTime now);
    bool available(const RegionName &to, MonotonicTime now);
    bool take(const RegionName &to, ByteCount bytes, MonotonicTime now);
    void charge(const RegionName &to, ByteCount bytes, MonotonicTime now);
    const RegionName &ownRegion() const;

private:
    RegionName m_own;
    std::unordered_map<RegionName, LinkBudget> m_links;
};

} // namespace Geraniumsail

#endif
