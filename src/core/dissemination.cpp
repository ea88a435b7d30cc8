#include "core/dissemination.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace Geraniumsail {

namespace {

/// Sends of an update per doubling of the group size. With 3, gossip in requests and replies misses less than one
/// member in a thousand.
constexpr int SendsPerDoubling = 3;

} // namespace

void DisseminationQueue::add(const NodeName &name, std::size_t groupSize)
{
    m_remaining[name] = SendsPerDoubling * static_cast<int>(std::bit_width(groupSize + 1));
}

std::vector<NodeName> DisseminationQueue::peek(std::size_t limit) const
{
    std::vector<std::pair<int, const NodeName *>> order;
    order.reserve(m_remaining.size());
    for (const auto &[name, remaining] : m_remaining) {
        order.emplace_back(-remaining, &name);
    }
    const auto last = order.begin() + static_cast<std::ptrdiff_t>(std::min(limit, order.size()));
    std::partial_sort(order.begin(), last, order.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first < right.first : *left.second < *right.second;
    });
    std::vector<NodeName> names;
    for (auto entry = order.begin(); entry != last; ++entry) {
        names.push_back(*entry->second);
    }
    return names;
}

std::vector<NodeName> DisseminationQueue::take(std::size_t limit)
{
    auto names = peek(limit);
    for (const auto &name : names) {
        const auto found = m_remaining.find(name);
        if (--found->second <= 0) {
            m_remaining.erase(found);
        }
    }
    return names;
}

std::size_t DisseminationQueue::size() const
{
    return m_remaining.size();
}

} // namespace Geraniumsail
