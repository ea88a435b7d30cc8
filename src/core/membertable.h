// All known members with digests that are kept up to date at each change.
//
// A digest is the wrapping sum of the hashes of the records, so that adding and removing one record costs O(1) and the
// order of updates does not matter. Each data centre has one digest and MemberBuckets digests of its parts; two nodes
// compare the first, then the parts, and transfer only the parts that differ. A sum is no protection against a peer
// that wants to deceive; the control listener is closed to everyone but the operators' own address ranges.
#ifndef GERANIUMSAIL_CORE_MEMBERTABLE_H
#define GERANIUMSAIL_CORE_MEMBERTABLE_H

#include "core/member.h"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Geraniumsail {

using BucketDigests = std::array<std::uint32_t, MemberBuckets>;

class MemberTable
{
public:
    /// Takes the record if it supersedes the known one. A Dead record of an unknown member is not taken.
    bool apply(const MemberRecord &record, MonotonicTime now);
    const MemberRecord *find(const NodeName &name) const;
    /// Number of records that are not Dead.
    std::size_t liveCount() const;
    std::size_t size() const;
    std::size_t liveCount(const DataCentreName &dataCentre) const;

    std::vector<DataCentreName> dataCentres() const;
    std::uint64_t digest(const DataCentreName &dataCentre) const;
    BucketDigests buckets(const DataCentreName &dataCentre) const;
    /// Names of all records of the data centre, Dead ones included, in a fixed order.
    const std::map<NodeName, MonotonicTime> &names(const DataCentreName &dataCentre) const;
    /// Records of one bucket, tombstones included.
    std::vector<const MemberRecord *> bucket(const DataCentreName &dataCentre, std::size_t index) const;

    /// Removes Dead records that are older than the retention time.
    void removeTombstones(MonotonicTime now, Duration retention);
    /// Increases with each change of a record; lets a reader see that nothing changed.
    std::uint64_t changes() const;

    template <typename Visitor>
    void forEach(Visitor visitor) const
    {
        for (const auto &[name, record] : m_records) {
            visitor(record);
        }
    }

private:
    struct DataCentre
    {
        std::uint64_t digest = 0;
        std::array<std::uint64_t, MemberBuckets> buckets{};
        std::map<NodeName, MonotonicTime> changed; ///< Time of the last change of each record.
        std::size_t live = 0;
    };

    void count(const MemberRecord &record, bool add);

    std::unordered_map<NodeName, MemberRecord> m_records;
    std::map<DataCentreName, DataCentre> m_dataCentres;
    std::size_t m_live = 0;
    std::size_t m_dead = 0;
    std::uint64_t m_changes = 0;
};

} // namespace Geraniumsail

#endif
