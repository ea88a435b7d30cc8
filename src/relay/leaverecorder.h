// Keeps the leaves of the upstream beside this node (core/leaverecord.h) in the platform's store, where they outlast
// the process of the node, its entry and its lease.
//
// The record is an item of its own, without a lease. The entry would not do: it is removed at a planned stop and when
// its lease ends, while an upstream that left may go on serving, and an older report of it may still be on its way.
// A new process reads the record before it delivers the first request. The record of a node is overwritten at the
// next leave, so the store holds one item of a few hundred bytes for each node that an upstream ever left.
#ifndef GERANIUMSAIL_RELAY_LEAVERECORDER_H
#define GERANIUMSAIL_RELAY_LEAVERECORDER_H

#include "core/backoff.h"
#include "net/clock.h"
#include "net/httpwire.h"
#include "relay/metadatastore.h"
#include "relay/relay.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace Geraniumsail {

template <MetadataStore Store>
class LeaveRecorder
{
public:
    /// Bounds of the backoff after a failed call.
    static constexpr Duration MinBackoff = std::chrono::milliseconds(100);
    static constexpr Duration MaxBackoff = std::chrono::milliseconds(800);

    LeaveRecorder(boost::asio::io_context &context, Store &store, Relay &relay)
        : m_store(store), m_relay(relay), m_random(std::random_device{}()), m_timer(context)
    {
    }

    void start()
    {
        m_relay.awaitEarlierLeaves();
        m_relay.setLeaveObserver([this] { m_timer.cancel(); });
        m_relay.supervisor().start("leaves", [this] { return run(); });
    }

private:
    boost::asio::awaitable<void> run()
    {
        while (true) {
            if (m_revision && m_stored.containsAll(m_relay.leaves())) {
                m_timer.expires_at(boost::asio::steady_timer::time_point::max());
                co_await m_timer.async_wait(AsTuple);
                continue;
            }
            const auto failure = m_revision ? co_await write() : co_await read();
            if (failure) {
                m_relay.onStoreState(false, "leaves", storeErrorLabel(*failure));
                m_timer.expires_after(nextBackoff(m_backoff, MaxBackoff, m_random));
                co_await m_timer.async_wait(AsTuple);
            } else {
                m_backoff = MinBackoff;
                m_relay.onStoreState(true, "leaves", "answered");
            }
        }
    }

    boost::asio::awaitable<std::optional<StoreError>> read()
    {
        const auto stored = co_await m_store.readLeaves(m_relay.settings().node);
        if (!stored) {
            co_return stored.error();
        }
        if (!stored->problem.empty()) {
            m_relay.reporter().logImportant(EventLine("leaves_ignored").add("reason", stored->problem));
        }
        m_revision = stored->revision;
        m_stored = stored->record;
        m_relay.restoreLeaves(m_stored, "leave record");
        if (m_relay.awaitsEarlierLeaves()) {
            m_relay.onEarlierLeavesKnown();
        }
        co_return std::nullopt;
    }

    boost::asio::awaitable<std::optional<StoreError>> write()
    {
        // It includes what read() returned.
        const auto record = m_relay.leaves();
        const auto revision = co_await m_store.writeLeaves(m_relay.settings().node, record, *m_revision);
        if (!revision) {
            // After any other error too the write may have taken effect, or may do so later.
            m_revision.reset();
            if (revision.error() == StoreError::Conflict) {
                co_return std::nullopt;
            }
            co_return revision.error();
        }
        m_revision = *revision;
        m_stored = record;
        m_relay.reporter().logImportant(EventLine("leaves_recorded")
                                            .add("leaves", static_cast<std::int64_t>(record.leaves().size()))
                                            .add("revision", static_cast<std::int64_t>(*revision)));
        co_return std::nullopt;
    }

    Store &m_store;
    Relay &m_relay;
    Random m_random;
    boost::asio::steady_timer m_timer; ///< Wakes run() when there are new leaves.
    Duration m_backoff = MinBackoff;
    LeaveRecord m_stored; ///< What the store holds at m_revision.
    std::optional<std::uint64_t> m_revision; ///< Unset before the record is read, and after a failed write.
};

} // namespace Geraniumsail

#endif
