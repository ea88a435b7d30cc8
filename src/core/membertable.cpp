#include "core/membertable.h"

namespace Geraniumsail {

void MemberTable::updateTotals(const MemberRecord &record, bool add)
{
    auto &centre = m_dataCentres[record.dataCentre];
    const std::uint64_t digest = digestOf(record);
    auto &bucket = centre.buckets.at(bucketOf(record.name));
    auto &counter = record.state == MemberState::Dead ? m_dead : m_live;
    if (add) {
        centre.digest += digest;
        bucket += digest;
        ++counter;
    } else {
        centre.digest -= digest;
        bucket -= digest;
        --counter;
    }
    if (record.state != MemberState::Dead) {
        centre.live += add ? 1 : -1;
    }
}

bool MemberTable::apply(const MemberRecord &record, MonotonicTime now)
{
    const auto found = m_records.find(record.name);
    if (found == m_records.end()) {
        if (record.state == MemberState::Dead) {
            return false;
        }
        m_records.emplace(record.name, record);
    } else {
        if (!supersedes(record, found->second)) {
            return false;
        }
        updateTotals(found->second, false);
        if (found->second.dataCentre != record.dataCentre) {
            m_dataCentres[found->second.dataCentre].changedAt.erase(record.name);
        }
        found->second = record;
    }
    updateTotals(record, true);
    m_dataCentres[record.dataCentre].changedAt[record.name] = now;
    ++m_changeCount;
    return true;
}

const MemberRecord *MemberTable::find(const NodeName &name) const
{
    const auto found = m_records.find(name);
    return found == m_records.end() ? nullptr : &found->second;
}

std::size_t MemberTable::liveCount() const
{
    return m_live;
}

std::size_t MemberTable::size() const
{
    return m_records.size();
}

std::size_t MemberTable::liveCount(const DataCentreName &dataCentre) const
{
    const auto found = m_dataCentres.find(dataCentre);
    return found == m_dataCentres.end() ? 0 : found->second.live;
}

std::vector<DataCentreName> MemberTable::dataCentres() const
{
    std::vector<DataCentreName> names;
    for (const auto &[name, centre] : m_dataCentres) {
        if (centre.live > 0) {
            names.push_back(name);
        }
    }
    return names;
}

std::uint64_t MemberTable::digest(const DataCentreName &dataCentre) const
{
    const auto found = m_dataCentres.find(dataCentre);
    return found == m_dataCentres.end() ? 0 : found->second.digest;
}

BucketDigests MemberTable::buckets(const DataCentreName &dataCentre) const
{
    BucketDigests digests{};
    const auto found = m_dataCentres.find(dataCentre);
    if (found != m_dataCentres.end()) {
        for (std::size_t i = 0; i < MemberBuckets; ++i) {
            digests.at(i) = static_cast<std::uint32_t>(found->second.buckets.at(i) >> 32U);
        }
    }
    return digests;
}

const std::map<NodeName, MonotonicTime> &MemberTable::names(const DataCentreName &dataCentre) const
{
    static const std::map<NodeName, MonotonicTime> none;
    const auto found = m_dataCentres.find(dataCentre);
    return found == m_dataCentres.end() ? none : found->second.changedAt;
}

std::vector<const MemberRecord *> MemberTable::bucket(const DataCentreName &dataCentre, std::size_t index) const
{
    std::vector<const MemberRecord *> records;
    for (const auto &[name, changedAt] : names(dataCentre)) {
        if (bucketOf(name) == index) {
            records.push_back(find(name));
        }
    }
    return records;
}

void MemberTable::removeTombstones(MonotonicTime now, Duration retention)
{
    if (m_dead == 0) {
        return;
    }
    for (auto &[name, centre] : m_dataCentres) {
        for (auto entry = centre.changedAt.begin(); entry != centre.changedAt.end();) {
            const auto found = m_records.find(entry->first);
            if (found->second.state == MemberState::Dead && now - entry->second > retention) {
                m_records.erase(found);
                entry = centre.changedAt.erase(entry);
                --m_dead;
                ++m_changeCount;
            } else {
                ++entry;
            }
        }
    }
}

std::uint64_t MemberTable::changeCount() const
{
    return m_changeCount;
}

} // namespace Geraniumsail
