// The item of the platform's store that holds the leaves of one node, as last seen.
#ifndef GERANIUMSAIL_RELAY_LEAVEITEM_H
#define GERANIUMSAIL_RELAY_LEAVEITEM_H

#include "relay/metadatastore.h"
#include "relay/reporter.h"

#include <optional>

namespace Geraniumsail {

template <MetadataStore Store>
class LeaveItem
{
public:
    LeaveItem(Store &store, const Reporter &reporter, NodeName node)
        : m_store(store), m_reporter(reporter), m_node(std::move(node))
    {
    }

    /// Whether the item was read and has not been found to be out of date since.
    bool isRead() const
    {
        return m_revision.has_value();
    }
    const LeaveRecord &record() const
    {
        return m_record;
    }
    bool contains(const LeaveRecord &record) const
    {
        return isRead() && m_record.containsAll(record);
    }

    /// The store may have lost the item.
    void forget()
    {
        m_revision.reset();
    }

    boost::asio::awaitable<std::optional<StoreError>> read()
    {
        const auto stored = co_await m_store.readLeaves(m_node);
        if (!stored) {
            co_return stored.error();
        }
        if (!stored->problem.empty()) {
            m_reporter.logImportant(
                EventLine("leaves_ignored").add("node", m_node.value()).add("reason", stored->problem));
        }
        m_revision = stored->revision;
        m_record = stored->record;
        co_return std::nullopt;
    }

    /// Replaces the record. After a failure the item has to be read again, because the write may have taken effect. A
    /// conflict with another writer is no error.
    boost::asio::awaitable<std::optional<StoreError>> write(LeaveRecord record)
    {
        const auto revision = co_await m_store.writeLeaves(m_node, record, m_revision.value_or(0));
        if (!revision) {
            m_revision.reset();
            if (revision.error() == StoreError::Conflict) {
                co_return std::nullopt;
            }
            co_return revision.error();
        }
        m_revision = *revision;
        m_record = std::move(record);
        m_reporter.logImportant(EventLine("leaves_recorded")
                                    .add("node", m_node.value())
                                    .add("leaves", static_cast<std::int64_t>(m_record.leaves().size()))
                                    .add("revision", static_cast<std::int64_t>(*revision)));
        co_return std::nullopt;
    }

private:
    Store &m_store;
    const Reporter &m_reporter;
    NodeName m_node;
    LeaveRecord m_record; ///< What the store holds at m_revision.
    std::optional<std::uint64_t> m_revision; ///< 0 if there is no item; unset if it has to be read.
};

} // namespace Geraniumsail

#endif
