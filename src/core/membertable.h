// Table of all known members, with incrementally updated digests.
//
// A digest is the sum of the record hashes modulo 2^64, so that adding or removing a record costs O(1) and the order of
// updates does not matter. Each data centre has one digest of all its records and one per hash bucket. Two nodes
// compare the data centre digests, then the bucket digests, and transfer only the buckets that differ. A sum does not
// detect deliberate forgery; the control listener accepts connections only from the operators' own address ranges.
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
    /// Stores the record if it supersedes the known one, and returns whether it did. A Dead record of an unknown member
    /// is ignored.
    bool apply(const MemberRecord &record, MonotonicTime now);
    const MemberRecord *find(const NodeName &name) const;
    /// Number of records that are not Dead.
    std::size_t liveCount() const;
    /// Number of all records, including Dead ones.
    std::size_t size() const;
    std::size_t liveCount(const DataCentreName &dataCentre) const;

    /// Data centres with at least one record that is not Dead.
    std::vector<DataCentreName> dataCentres() const;
    std::uint64_t digest(const DataCentreName &dataCentre) const;
    BucketDigests buckets(const DataCentreName &dataCentre) const;
    /// Names of all members of the data centre, including Dead ones, with the time of the last change of each record.
    const std::map<NodeName, MonotonicTime> &names(const DataCentreName &dataCentre) const;
    /// Records of one hash bucket, including Dead ones.
    std::vector<const MemberRecord *> bucket(const DataCentreName &dataCentre, std::size_t index) const;

    /// Removes records that have been Dead for longer than retention.
    void removeTombstones(MonotonicTime now, Duration retention);
    /// Number of changes to the table so far; an equal value means that the table is unchanged.
    std::uint64_t changeCount() const;

    template <typename Visitor>
    void forEach(Visitor visitor) const
    {
        for (const auto &[name, record] : m_records) {
            visitor(record);
        }
    }

private:
    struct DataCentreState
    {
        std::uint64_t digest = 0;
        std::array<std::uint64_t, MemberBuckets> buckets{};
        std::map<NodeName, MonotonicTime> changedAt; ///< Time of the last change of each record.
        std::size_t live = 0;
    };

    void updateTotals(const MemberRecord &record, bool add);

    std::unordered_map<NodeName, MemberRecord> m_records;
    std::map<DataCentreName, DataCentreState> m_dataCentres;
    std::size_t m_live = 0;
    std::size_t m_dead = 0;
    std::uint64_t m_changeCount = 0;
};

} // namespace Geraniumsail

#endif
