// Keeps the leaves of the upstream beside this node (core/leaverecord.h) where they outlast the process of the node,
// its entry and its lease: in an item of the platform's store, without a lease.
//
// The entry would not do: it is removed at a planned stop and when its lease ends, while an upstream that left may go
// on serving, and an older report of it may still be on its way. A new process reads the record before it delivers the
// first request. The record of a node is overwritten at the next leave, so the store holds one item of a few hundred
// bytes for each node that an upstream ever left.
//
// A leave is acknowledged only when the store has the record, see confirm(). Only the store outlasts the processes, all
// of which may be killed at once. If the store is away for this node, the record is handed over to other nodes, which
// write it once the store takes it, and tell this node, whose process may be a new one by then. While no node can write
// it, the upstream is not acknowledged, and repeats its report, also to a new process.
#ifndef GERANIUMSAIL_RELAY_LEAVERECORDER_H
#define GERANIUMSAIL_RELAY_LEAVERECORDER_H

#include "core/backoff.h"
#include "core/rendezvous.h"
#include "net/clock.h"
#include "net/httpwire.h"
#include "relay/leavehandover.h"
#include "relay/leaveitem.h"
#include "relay/notifier.h"
#include "relay/relay.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace Geraniumsail {

template <MetadataStore Store>
class LeaveRecorder
{
public:
    /// Bounds of the backoff after a failed call.
    static constexpr Duration MinBackoff = std::chrono::milliseconds(100);
    static constexpr Duration MaxBackoff = std::chrono::milliseconds(800);
    /// An upstream waits for its acknowledgement for a second.
    static constexpr Duration MaxConfirmTime = std::chrono::milliseconds(750);
    /// Other nodes are asked when the store has failed or has not answered for this time.
    static constexpr Duration StoreResponseTime = std::chrono::milliseconds(200);
    /// How long a node to which a record is handed over tries to store it before it answers.
    static constexpr Duration HandoverStoreTime = std::chrono::milliseconds(150);
    /// Time for a handover to another region, with that wait.
    static constexpr Duration HandoverTimeout = std::chrono::milliseconds(300);
    /// A record is handed over to this many nodes, because those that hold it may end as well.
    static constexpr std::size_t Holders = 3;
    /// Nodes that are asked in turn for each of them.
    static constexpr std::size_t CandidatesPerHolder = 3;
    /// Failed attempts to tell a node of a record that is stored, until the node is given up. A process of that node
    /// that starts later reads the record from the store.
    static constexpr int MaxFailedTells = 5;
    /// A record that the store did not take for this time is given up.
    static constexpr Duration MaxHoldTime = std::chrono::minutes(10);
    /// Limit on the nodes whose records are held.
    static constexpr std::size_t MaxHeldNodes = 256;

    LeaveRecorder(boost::asio::io_context &context, Store &store, Relay &relay)
        : m_context(context), m_store(store), m_relay(relay), m_random(std::random_device{}()),
          m_ownItem(store, relay.reporter(), relay.settings().node), m_changes(context.get_executor()),
          m_peerClient(context.get_executor(), ClientLimits{.connect = HandoverTimeout})
    {
    }

    void start()
    {
        m_relay.awaitEarlierLeaves();
        m_store.observeRestores([this](const StoreRestore &) { onStoreRestored(); });
        m_relay.setLeaveObserver([this] { m_changes.notifyAll(); });
        m_relay.setLeaveHandoverHandler([this](HttpRequest request) { return onHandover(std::move(request)); });
        m_relay.supervisor().start("leaves", [this] { return run(); });
    }

    /// Completes when the store holds all leaves that were reported, so that they may be acknowledged. Returns false if
    /// it does not take them in time; the report is to be repeated then.
    boost::asio::awaitable<bool> confirm()
    {
        const auto startedAt = monotonicNow();
        const auto failuresBefore = m_storeFailures;
        const auto leaves = m_relay.leaves();
        bool isHandedOver = false;
        while (!m_ownItem.contains(leaves) && !m_storedByOthers.containsAll(leaves)) {
            const auto now = monotonicNow();
            if (now >= startedAt + MaxConfirmTime) {
                co_return false;
            }
            if (!isHandedOver && (m_storeFailures != failuresBefore || now >= startedAt + StoreResponseTime)) {
                isHandedOver = true;
                startHandovers(leaves, startedAt + MaxConfirmTime);
                continue;
            }
            co_await m_changes.wait(isHandedOver ? startedAt + MaxConfirmTime : startedAt + StoreResponseTime);
        }
        co_return true;
    }

private:
    /// A record of another node that is to be stored.
    struct HeldRecord
    {
        LeaveRecord record;
        LeaveItem<Store> item;
    };

    /// The store may have lost records that it had acknowledged. They are read and written again.
    void onStoreRestored()
    {
        m_ownItem.forget();
        m_storedByOthers = {};
        for (auto &[node, held] : m_held) {
            held.item.forget();
        }
        m_changes.notifyAll();
    }

    /// Reads the own record, and writes it after each leave.
    boost::asio::awaitable<void> run()
    {
        while (true) {
            if (m_ownItem.contains(m_relay.leaves())) {
                co_await m_changes.wait(MonotonicTime::max());
                continue;
            }
            const bool isWrite = m_ownItem.isRead();
            std::optional<StoreError> failure;
            if (isWrite) {
                // Includes what read() returned.
                failure = co_await m_ownItem.write(m_relay.leaves());
            } else {
                failure = co_await m_ownItem.read();
            }
            if (failure) {
                ++m_storeFailures;
                m_changes.notifyAll();
                m_relay.onStoreState(false, "leaves", storeErrorLabel(*failure));
                co_await sleep(nextBackoff(m_backoff, MaxBackoff, m_random));
                continue;
            }
            m_backoff = MinBackoff;
            m_relay.onStoreState(true, "leaves", "answered");
            if (!isWrite) {
                m_relay.restoreLeaves(m_ownItem.record(), "leave record");
                if (m_relay.awaitsEarlierLeaves()) {
                    m_relay.onEarlierLeavesKnown();
                }
            }
            m_changes.notifyAll();
        }
    }

    /// Asks other nodes to store the record, Holders at a time, until the given time.
    void startHandovers(const LeaveRecord &record, MonotonicTime end)
    {
        auto candidates = m_relay.knownNodes();
        std::erase(candidates, m_relay.settings().node);
        candidates = selectByRendezvousHash(candidates, m_relay.settings().node.value(), Holders * CandidatesPerHolder);
        for (std::size_t i = 0; i < Holders; ++i) {
            std::vector<NodeName> own;
            for (std::size_t j = i; j < candidates.size(); j += Holders) {
                own.push_back(candidates[j]);
            }
            m_relay.supervisor().startOnce("leave handover",
                                           [this, own, record, end] { return handOver(own, record, end); });
        }
    }

    /// Asks the nodes one after the other until one keeps the record, and that one until it has stored it.
    boost::asio::awaitable<void> handOver(std::vector<NodeName> nodes, LeaveRecord record, MonotonicTime end)
    {
        const LeaveHandover handover{m_relay.settings().node, record};
        for (const auto &node : nodes) {
            auto result = co_await send(node, handover);
            if (result == HandoverResult::Failed) {
                continue;
            }
            logHandover(node, result);
            while (result == HandoverResult::Held && monotonicNow() < end) {
                co_await sleep(MinBackoff);
                result = co_await send(node, handover);
            }
            if (result == HandoverResult::Stored) {
                m_storedByOthers.merge(record);
                m_changes.notifyAll();
            }
            co_return;
        }
    }

    void logHandover(const NodeName &node, HandoverResult result) const
    {
        m_relay.reporter().logImportant(EventLine("leaves_handed_over")
                                            .add("node", node.value())
                                            .add("stored", result == HandoverResult::Stored ? "yes" : "no"));
    }

    boost::asio::awaitable<HandoverResult> send(NodeName receiver, LeaveHandover handover)
    {
        const auto *known = m_relay.findEntry(receiver);
        if (known == nullptr) {
            co_return HandoverResult::Failed;
        }
        const auto address = known->entry.peer;
        ExchangeOptions options;
        options.deadline = monotonicNow() + HandoverTimeout;
        options.newConnection = true;
        auto response = co_await m_peerClient.send(address, buildLeaveHandover(address, handover), options);
        co_return decodeHandoverResponse(response);
    }

    /// Another node hands over a record: of the upstream beside that node, or of the one beside this node.
    boost::asio::awaitable<HttpResponse> onHandover(HttpRequest request)
    {
        const auto handover = decodeLeaveHandover(request.message);
        if (!handover) {
            m_relay.reporter().logImportant(EventLine("peer_request_rejected").add("reason", "malformed leave record"));
            co_return errorResponse(ErrorKind::BadRequest);
        }
        // What a stopping process knows is lost with it.
        if (m_relay.isStopping()) {
            co_return buildHandoverResponse(HandoverResult::Failed);
        }
        if (handover->node == m_relay.settings().node) {
            m_relay.restoreLeaves(handover->record, "another node");
            co_return buildHandoverResponse(HandoverResult::Held);
        }
        if (m_held.size() >= MaxHeldNodes && !m_held.contains(handover->node)) {
            co_return buildHandoverResponse(HandoverResult::Failed);
        }
        const auto end = monotonicNow() + HandoverStoreTime;
        const auto [held, isNew] = m_held.try_emplace(
            handover->node, HeldRecord{{}, LeaveItem<Store>(m_store, m_relay.reporter(), handover->node)});
        held->second.record.merge(handover->record);
        if (isNew) {
            m_relay.supervisor().start("held leaves", [this, node = handover->node] { return keep(node); });
        }
        while (!isStored(handover->node, handover->record) && monotonicNow() < end) {
            co_await m_changes.wait(end);
        }
        co_return buildHandoverResponse(isStored(handover->node, handover->record) ? HandoverResult::Stored
                                                                                   : HandoverResult::Held);
    }

    bool isStored(const NodeName &node, const LeaveRecord &record) const
    {
        const auto held = m_held.find(node);
        return held != m_held.end() && held->second.item.contains(record);
    }

    /// Stores the record of another node and tells that node, until both are done.
    boost::asio::awaitable<void> keep(NodeName node)
    {
        const auto heldSince = monotonicNow();
        auto backoff = MinBackoff;
        int failedTells = 0;
        while (true) {
            auto &held = m_held.at(node);
            std::optional<StoreError> failure;
            while (!failure && !held.item.contains(held.record)) {
                failure = co_await storeOnce(held);
            }
            m_changes.notifyAll();
            const LeaveHandover handover{node, held.record};
            const auto told = co_await send(node, handover);
            failedTells += told == HandoverResult::Failed ? 1 : 0;
            const bool isTold = told != HandoverResult::Failed || failedTells >= MaxFailedTells;
            if (isTold && held.item.contains(held.record) && handover.record == held.record) {
                break;
            }
            if (monotonicNow() - heldSince > MaxHoldTime) {
                m_relay.reporter().logImportant(
                    EventLine("leaves_given_up").add("node", node.value()).add("reason", "not stored in time"));
                break;
            }
            co_await sleep(nextBackoff(backoff, MaxBackoff, m_random));
        }
        m_held.erase(node);
    }

    boost::asio::awaitable<std::optional<StoreError>> storeOnce(HeldRecord &held)
    {
        if (!held.item.isRead()) {
            co_return co_await held.item.read();
        }
        auto merged = held.item.record();
        merged.merge(held.record);
        co_return co_await held.item.write(std::move(merged));
    }

    boost::asio::awaitable<void> sleep(Duration duration)
    {
        boost::asio::steady_timer timer(m_context, duration);
        co_await timer.async_wait(AsTuple);
    }

    boost::asio::io_context &m_context;
    Store &m_store;
    Relay &m_relay;
    Random m_random;
    Duration m_backoff = MinBackoff;
    LeaveItem<Store> m_ownItem;
    std::uint64_t m_storeFailures = 0; ///< Failed calls for the own item.
    Notifier m_changes; ///< Of all members below and of the own leaves.
    HttpClient m_peerClient;
    LeaveRecord m_storedByOthers; ///< Own leaves that other nodes have stored.
    std::map<NodeName, HeldRecord> m_held;
};

} // namespace Geraniumsail

#endif
