#include "core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace Geraniumsail {

std::vector<NodeName> selectByRendezvousHash(const std::vector<NodeName> &names, std::string_view salt,
                                             std::size_t count)
{
    const std::uint64_t seed = XXH3_64bits(salt.data(), salt.size());
    std::vector<std::pair<std::uint64_t, const NodeName *>> scores;
    scores.reserve(names.size());
    for (const auto &name : names) {
        scores.emplace_back(XXH3_64bits_withSeed(name.value().data(), name.value().size(), seed), &name);
    }
    const auto last = scores.begin() + static_cast<std::ptrdiff_t>(std::min(count, scores.size()));
    std::partial_sort(scores.begin(), last, scores.end(), std::greater<>());
    std::vector<NodeName> selected;
    for (auto score = scores.begin(); score != last; ++score) {
        selected.push_back(*score->second);
    }
    return selected;
}

std::vector<NodeName> selectLiveByRendezvousHash(const MemberTable &table, const DataCentreName &dataCentre,
                                                 std::string_view salt, std::size_t count)
{
    std::vector<NodeName> live;
    for (const auto &[name, changed] : table.names(dataCentre)) {
        if (table.find(name)->state == MemberState::Alive) {
            live.push_back(name);
        }
    }
    return selectByRendezvousHash(live, salt, count);
}

} // namespace Geraniumsail
