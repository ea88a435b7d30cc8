// Tests of EntryHistory against a plain model of the store: nodes that follow any source, change it at any time and
// miss changes must end up with what the store holds.
#include "core/entryhistory.h"

#include "core/random.h"
#include "core/storerevision.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace Geraniumsail {

namespace {

DirectoryEntry entryOf(int node, int content)
{
    DirectoryEntry entry;
    entry.node = NodeName("vm-" + std::to_string(node));
    entry.upstream = UpstreamId("i-" + std::to_string(content));
    return entry;
}

/// The store: the present entries and the whole history.
class StoreModel
{
public:
    void put(int node)
    {
        const auto entry = entryOf(node, static_cast<int>(++m_revision));
        m_present[entry.node] = {entry, m_revision};
        m_log.push_back({entry.node, m_present[entry.node], m_revision});
    }
    void remove(int node)
    {
        const auto name = entryOf(node, 0).node;
        if (m_present.erase(name) > 0) {
            m_log.push_back({name, std::nullopt, ++m_revision});
        }
    }
    EntryChanges snapshot() const
    {
        EntryChanges changes;
        changes.isSnapshot = true;
        changes.revision = m_revision;
        for (const auto &[node, item] : m_present) {
            changes.entries.push_back(item);
        }
        return changes;
    }
    /// All changes after the revision, as a watch delivers them.
    EntryChanges since(std::uint64_t revision) const
    {
        EntryChanges changes;
        changes.revision = m_revision;
        for (const auto &change : m_log) {
            if (change.revision <= revision) {
                continue;
            }
            if (change.item) {
                changes.entries.push_back(*change.item);
            } else {
                changes.removed.emplace_back(change.node, change.revision);
            }
        }
        return changes;
    }
    /// The entries as they were at a revision.
    std::map<NodeName, std::uint64_t> at(std::uint64_t revision) const
    {
        std::map<NodeName, std::uint64_t> view;
        for (const auto &change : m_log) {
            if (change.revision <= revision) {
                view.erase(change.node);
                if (change.item) {
                    view[change.node] = change.revision;
                }
            }
        }
        return view;
    }

    /// This model, as an older copy, becomes the beginning of another history.
    void beginHistory(std::uint64_t history)
    {
        const auto renumber = [history](std::uint64_t &revision) {
            revision = makeStoreRevision(history, storeNumberOf(revision));
        };
        renumber(m_revision);
        for (auto &[node, item] : m_present) {
            renumber(item.second);
        }
        for (auto &change : m_log) {
            renumber(change.revision);
            if (change.item) {
                renumber(change.item->second);
            }
        }
    }
    std::uint64_t history() const
    {
        return storeHistoryOf(m_revision);
    }

private:
    using Item = std::pair<DirectoryEntry, std::uint64_t>;
    struct Change
    {
        NodeName node;
        std::optional<Item> item; ///< Empty for a removal.
        std::uint64_t revision = 0;
    };

    std::map<NodeName, Item> m_present;
    std::vector<Change> m_log;
    std::uint64_t m_revision = 5;
};

std::map<NodeName, std::uint64_t> viewOf(const EntryHistory &history)
{
    std::map<NodeName, std::uint64_t> view;
    for (const auto &[entry, revision] : history.since(0).entries) {
        view[entry.node] = revision;
    }
    return view;
}

class EntryHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryHistoryTest);
    CPPUNIT_TEST(everyNodeEndsWithTheContentOfTheStore);
    CPPUNIT_TEST(everyNodeEndsWithTheContentOfTheLastHistory);
    CPPUNIT_TEST(olderViewIsRejected);
    CPPUNIT_TEST(nodeFarBehindGetsASnapshot);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change that a follower misses when it changes its source, and against one that comes back.
    void everyNodeEndsWithTheContentOfTheStore()
    {
        Random random(20261205);
        const auto draw = [&random](int limit) {
            return std::uniform_int_distribution<int>(0, limit - 1)(random);
        };
        for (int run = 0; run < 200; ++run) {
            StoreModel store;
            // The first two follow the store, the others any node.
            std::vector<EntryHistory> nodes(6);
            for (int step = 0; step < 300; ++step) {
                const int action = draw(10);
                const auto index = static_cast<std::size_t>(draw(6));
                auto &node = nodes[index];
                const auto before = node.revision();
                if (action < 3) {
                    store.put(draw(12));
                } else if (action < 5) {
                    store.remove(draw(12));
                } else if (index < 2) {
                    node.apply(node.revision() == 0 || draw(8) == 0 ? store.snapshot() : store.since(node.revision()));
                } else {
                    node.apply(nodes[static_cast<std::size_t>(draw(6))].since(node.revision()));
                }
                CPPUNIT_ASSERT(node.revision() >= before);
                CPPUNIT_ASSERT(node.revision() == 0 || viewOf(node) == store.at(node.revision()));
            }
        }
    }

    // Guards against an entry that a node keeps or misses because the store has come back from an older copy. A node
    // that follows another one does not know when that has happened.
    void everyNodeEndsWithTheContentOfTheLastHistory()
    {
        Random random(20261207);
        const auto draw = [&random](int limit) {
            return std::uniform_int_distribution<int>(0, limit - 1)(random);
        };
        const auto readStore = [](EntryHistory &node, const StoreModel &store) {
            if (node.revision() == 0 || storeHistoryOf(node.revision()) != store.history()) {
                node.replace(store.snapshot());
            } else {
                node.apply(store.since(node.revision()));
            }
        };
        for (int run = 0; run < 200; ++run) {
            StoreModel store;
            StoreModel copy;
            std::vector<EntryHistory> nodes(6);
            for (int step = 0; step < 300; ++step) {
                const int action = draw(12);
                auto &node = nodes[static_cast<std::size_t>(draw(6))];
                if (action < 3) {
                    store.put(draw(12));
                } else if (action < 5) {
                    store.remove(draw(12));
                } else if (action == 5 && draw(4) == 0) {
                    copy = store;
                } else if (action == 6 && draw(8) == 0) {
                    const auto history = store.history() + 1;
                    store = copy;
                    store.beginHistory(history);
                } else if (action < 9) {
                    readStore(node, store);
                } else {
                    node.apply(nodes[static_cast<std::size_t>(draw(6))].since(node.revision()));
                }
            }
            readStore(nodes[0], store);
            for (auto &node : nodes) {
                node.apply(nodes[0].since(node.revision()));
                CPPUNIT_ASSERT(node.revision() == nodes[0].revision());
                CPPUNIT_ASSERT(viewOf(node) == store.at(node.revision()));
            }
        }
    }

    void olderViewIsRejected()
    {
        StoreModel store;
        store.put(1);
        const auto old = store.snapshot();
        store.remove(1);
        EntryHistory history;
        CPPUNIT_ASSERT(!history.apply(store.since(0)));
        CPPUNIT_ASSERT(history.apply(store.snapshot()));
        CPPUNIT_ASSERT(!history.apply(old));
        CPPUNIT_ASSERT(viewOf(history).empty());
    }

    // Guards against removals that a node never learns of because they are no longer remembered.
    void nodeFarBehindGetsASnapshot()
    {
        StoreModel store;
        store.put(0);
        EntryHistory history;
        history.apply(store.snapshot());
        EntryHistory behind = history;
        for (std::size_t i = 0; i < EntryHistory::MaxRemovals + 10; ++i) {
            store.put(1);
            store.remove(1);
            history.apply(store.since(history.revision()));
        }
        store.remove(0);
        history.apply(store.since(history.revision()));
        const auto changes = history.since(behind.revision());
        CPPUNIT_ASSERT(changes.isSnapshot);
        CPPUNIT_ASSERT(behind.apply(changes));
        CPPUNIT_ASSERT(viewOf(behind).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHistoryTest);

} // namespace

} // namespace Geraniumsail
