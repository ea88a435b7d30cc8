// Publications and watchers against a store with every fault at every step, singly, in pairs and at random.
//
// The oracle: an accepted publication is in force at every watcher in the end and in the store's manifest, or a later
// accepted one of the same document is; a publication that was reported as not accepted or as a conflict is never in
// force anywhere; a version in force never decreases.
#include "core/publisher.h"
#include "core/storesync.h"
#include "fakestore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration CallTime = milliseconds(100);
constexpr Duration WatcherTick = milliseconds(250);

/// Calls of a publication at which a fault can be injected.
enum class At {
    Read,
    Blob,
    Swap,
    Done,
    Count,
};
constexpr std::array<const char *, 4> AtNames = {"read", "blob", "swap", "after-end"};

enum class Fault {
    None,
    Down,
    DownToEnd,
    LostAnswer,
    LostAnswersThrice,
    Slow,
    RestoreBefore,
    RestoreAfter,
    RaceSame,
    RaceOther,
    Crash,
    Count,
};
constexpr std::array<const char *, 11> FaultNames = {
    "none",           "down once",     "down to the end", "answer lost",    "answers lost x3", "slow, late write",
    "restore before", "restore after", "race same doc",   "race other doc", "crash, re-run"};

struct Injection
{
    Fault fault = Fault::None;
    At at = At::Read;
};

const char *outcomeName(PublicationOutcome outcome)
{
    switch (outcome) {
    case PublicationOutcome::Accepted:
        return "accepted";
    case PublicationOutcome::Unchanged:
        return "unchanged";
    case PublicationOutcome::Conflict:
        return "conflict";
    case PublicationOutcome::NotAccepted:
        return "not-accepted";
    case PublicationOutcome::Unknown:
        break;
    }
    return "unknown";
}

/// A store, two watchers that tell each other what they learn, and operators.
class World
{
public:
    explicit World(std::uint64_t seed) : m_random(seed), m_codec(plainManifestCodec())
    {
        for (int i = 0; i < 2; ++i) {
            m_watchers.push_back(std::make_unique<Watcher>(Watcher{StoreSync(m_codec), ConfigView()}));
        }
        publishClean("a", "a-first");
        store.snapshot();
        publishClean("a", "a-base");
        publishClean("b", "b-base");
        settle();
    }

    Publication publication(const std::string &name, const std::string &text)
    {
        return publication(name, text, base(name));
    }
    Publication publication(const std::string &name, const std::string &text, std::optional<ConfigVersion> base)
    {
        PublicationOptions options;
        options.awaitNode = true;
        return Publication("p" + std::to_string(++m_publications), {{DocumentName(name), text, base}}, m_codec,
                           options);
    }
    std::optional<ConfigVersion> base(const std::string &name) const
    {
        const ConfigDocument *document = m_watchers.front()->view.find(DocumentName(name));
        return document == nullptr ? ConfigVersion(0) : document->version;
    }
    /// One call of the publication, or one look at the nodes.
    void step(Publication &publication, StoreFault fault)
    {
        advance(CallTime);
        if (publication.awaitsNode()) {
            runWatchers(seconds(8));
            const auto &versions = publication.result().versions;
            publication.onNodeChecked(std::all_of(versions.begin(), versions.end(), [&](const ConfigHead &head) {
                return std::any_of(m_watchers.begin(), m_watchers.end(), [&](const auto &watcher) {
                    const ConfigDocument *held = watcher->view.find(head.name);
                    return held != nullptr && held->version >= head.version;
                });
            }));
            return;
        }
        if (const auto call = publication.next(m_wall)) {
            publication.onResult(store.call(*call, fault));
        }
    }
    PublicationOutcome runToEnd(Publication &publication)
    {
        for (int i = 0; i < 500 && !publication.finished(); ++i) {
            step(publication, StoreFault::None);
        }
        return publication.result().outcome;
    }
    PublicationOutcome publishClean(const std::string &name, const std::string &text)
    {
        Publication clean = publication(name, text);
        return runToEnd(clean);
    }
    void runWatchers(Duration time)
    {
        for (Duration passed{}; passed < time; passed += WatcherTick) {
            advance(WatcherTick);
            for (auto &watcher : m_watchers) {
                if (const auto call = watcher->sync.next(true, watcher->view, m_now)) {
                    const auto result = store.call(*call);
                    apply(watcher->sync.onResult(result, watcher->view, m_now, m_random), *watcher);
                }
            }
        }
    }
    /// Ends all faults and gives the watchers time.
    void settle()
    {
        store.down = false;
        store.flush();
        runWatchers(seconds(25));
        for (std::size_t i = 0; i < m_watchers.size(); ++i) {
            for (const auto &[name, document] : m_watchers[i]->view.documents()) {
                apply({document}, *m_watchers[1 - i]);
            }
        }
        runWatchers(seconds(10));
    }
    /// The text in force at all watchers and in the manifest, or a description of the difference.
    std::string inForce(const std::string &name) const
    {
        const ConfigDocument *first = m_watchers[0]->view.find(DocumentName(name));
        const ConfigDocument *second = m_watchers[1]->view.find(DocumentName(name));
        const auto manifest = m_codec.decode(store.value(std::string(ManifestKey)));
        if (first == nullptr || second == nullptr || !(*first == *second)) {
            return "watchers differ";
        }
        const auto entry = manifest->find(DocumentName(name));
        if (entry == manifest->end() || entry->second.version != first->version) {
            return "manifest differs";
        }
        if (store.value(blobKey(first->name, first->hash)) != first->text) {
            return "blob missing";
        }
        return first->text;
    }
    bool everInForce(const std::string &text) const
    {
        return m_seen.count(text) > 0;
    }
    bool decreased() const
    {
        return m_decreased;
    }

    FakeStore store;

private:
    struct Watcher
    {
        StoreSync sync;
        ConfigView view;
    };

    void advance(Duration time)
    {
        m_now += time;
        m_wall += time;
    }
    void apply(const std::vector<ConfigDocument> &documents, Watcher &watcher)
    {
        for (const auto &document : documents) {
            const ConfigDocument *known = watcher.view.find(document.name);
            const ConfigVersion before = known == nullptr ? ConfigVersion(0) : known->version;
            watcher.view.apply(document);
            m_decreased = m_decreased || watcher.view.find(document.name)->version < before;
            m_seen.insert(watcher.view.find(document.name)->text);
        }
    }

    Random m_random;
    ManifestCodec m_codec;
    std::vector<std::unique_ptr<Watcher>> m_watchers;
    MonotonicTime m_now;
    WallTime m_wall{std::chrono::hours(480'000)};
    std::set<std::string> m_seen;
    bool m_decreased = false;
    int m_publications = 0;
};

struct RunResult
{
    PublicationOutcome outcome = PublicationOutcome::Unknown;
    std::string violation;
};

/// One publication of document "a" with the injections, each at the first call of its step.
class FaultRun
{
public:
    FaultRun(std::vector<Injection> injections, bool watchersBetween)
        : m_world(1), m_injections(std::move(injections)), m_watchersBetween(watchersBetween)
    {
    }

    RunResult run()
    {
        const auto base = m_world.base("a");
        auto publication = std::make_unique<Publication>(m_world.publication("a", "a-mine", base));
        for (int i = 0; i < 500 && !publication->finished(); ++i) {
            if (m_watchersBetween) {
                m_world.runWatchers(seconds(1));
            }
            const auto call = publication->next(WallTime(std::chrono::hours(480'000)));
            const StoreFault fault = call ? inject(stepOf(*call)) : StoreFault::None;
            m_world.step(*publication, fault);
            afterCall();
            if (m_crash) {
                m_crash = false;
                publication = std::make_unique<Publication>(m_world.publication("a", "a-mine", base));
            }
        }
        inject(At::Done);
        afterCall();
        m_world.settle();
        return judge(publication->result().outcome);
    }

private:
    static At stepOf(const StoreCall &call)
    {
        if (call.operation == StoreOperation::Get) {
            return At::Read;
        }
        return call.key == ManifestKey ? At::Swap : At::Blob;
    }
    StoreFault inject(At step)
    {
        StoreFault result = StoreFault::None;
        if (m_lostAnswersLeft > 0) {
            --m_lostAnswersLeft;
            result = StoreFault::LostAnswer;
        }
        for (auto &injection : m_injections) {
            if (injection.fault != Fault::None && injection.at == step) {
                const StoreFault next = start(std::exchange(injection.fault, Fault::None));
                result = next == StoreFault::None ? result : next;
            }
        }
        return result;
    }
    StoreFault start(Fault fault)
    {
        switch (fault) {
        case Fault::Down:
            return StoreFault::Down;
        case Fault::DownToEnd:
            m_world.store.down = true;
            break;
        case Fault::LostAnswer:
            return StoreFault::LostAnswer;
        case Fault::LostAnswersThrice:
            m_lostAnswersLeft = 2;
            return StoreFault::LostAnswer;
        case Fault::Slow:
            return StoreFault::Slow;
        case Fault::RestoreBefore:
            m_world.store.restore();
            break;
        case Fault::RestoreAfter:
            m_restore = true;
            break;
        case Fault::RaceSame:
            m_othersAccepted = m_othersAccepted || accepted(m_world.publishClean("a", "a-other"));
            break;
        case Fault::RaceOther:
            m_otherDocument = m_otherDocument || accepted(m_world.publishClean("b", "b-other"));
            break;
        case Fault::Crash:
            m_crash = true;
            m_hadCrash = true;
            break;
        case Fault::None:
        case Fault::Count:
            break;
        }
        return StoreFault::None;
    }
    void afterCall()
    {
        if (std::exchange(m_restore, false)) {
            m_world.store.restore();
        }
    }
    static bool accepted(PublicationOutcome outcome)
    {
        return outcome == PublicationOutcome::Accepted || outcome == PublicationOutcome::Unchanged;
    }
    RunResult judge(PublicationOutcome outcome) const
    {
        RunResult result{outcome, {}};
        const std::string text = m_world.inForce("a");
        const std::string other = m_world.inForce("b");
        if (accepted(outcome) && text != "a-mine" && !(m_othersAccepted && text == "a-other")) {
            result.violation = "accepted, but in force is: " + text;
        } else if (m_othersAccepted && text != "a-other" && text != "a-mine") {
            result.violation = "the other operator's accepted publication is lost: " + text;
        } else if (other != (m_otherDocument ? "b-other" : "b-base")) {
            result.violation = "document b: " + other;
        } else if (m_world.decreased()) {
            result.violation = "a version decreased";
        } else if (!m_hadCrash && !accepted(outcome) && outcome != PublicationOutcome::Unknown
                   && (text == "a-mine" || m_world.everInForce("a-mine"))) {
            result.violation = "reported as not in force, but was";
        }
        return result;
    }

    World m_world;
    std::vector<Injection> m_injections;
    bool m_watchersBetween;
    bool m_crash = false;
    bool m_hadCrash = false;
    bool m_restore = false;
    int m_lostAnswersLeft = 0;
    bool m_othersAccepted = false;
    bool m_otherDocument = false;
};

/// What an operator sees at each fault and step; a violation is marked with '!'.
std::string singleFaultTable(std::vector<std::string> &violations)
{
    std::ostringstream table;
    table << std::left << std::setw(18) << "fault"
          << " |";
    for (const char *name : AtNames) {
        table << std::setw(14) << name << "|";
    }
    table << "\n";
    for (int fault = 1; fault < static_cast<int>(Fault::Count); ++fault) {
        table << std::setw(18) << FaultNames.at(fault) << " |";
        for (int at = 0; at < static_cast<int>(At::Count); ++at) {
            std::string cell;
            for (const bool between : {false, true}) {
                const auto result = FaultRun({{static_cast<Fault>(fault), static_cast<At>(at)}}, between).run();
                cell = outcomeName(result.outcome) + std::string(result.violation.empty() ? "" : "!");
                if (!result.violation.empty()) {
                    violations.push_back(std::string(FaultNames.at(fault)) + " at " + AtNames.at(at) + ": "
                                         + result.violation);
                }
            }
            table << std::setw(14) << cell << "|";
        }
        table << "\n";
    }
    return table.str();
}

/// Runs every ordered pair of faults at every pair of steps; counts the outcomes for each pair of faults.
std::string pairTable(std::vector<std::string> &violations, int &runs)
{
    std::ostringstream table;
    table << "accepted/conflict/not-accepted/unknown over 16 pairs of steps, watchers idle and active\n";
    for (int first = 1; first < static_cast<int>(Fault::Count); ++first) {
        table << std::left << std::setw(18) << FaultNames.at(first) << " |";
        for (int second = 1; second < static_cast<int>(Fault::Count); ++second) {
            std::array<int, 4> counts{};
            for (int steps = 0; steps < 32; ++steps) {
                const auto firstAt = static_cast<At>(steps % 4);
                const auto secondAt = static_cast<At>(steps / 4 % 4);
                const auto result =
                    FaultRun({{static_cast<Fault>(first), firstAt}, {static_cast<Fault>(second), secondAt}},
                             steps >= 16)
                        .run();
                ++runs;
                const auto index = result.outcome == PublicationOutcome::Unchanged
                    ? 0
                    : std::array<int, 5>{0, 0, 1, 2, 3}.at(static_cast<std::size_t>(result.outcome));
                ++counts.at(index);
                if (!result.violation.empty()) {
                    violations.push_back(std::string(FaultNames.at(first)) + " at "
                                         + AtNames.at(static_cast<int>(firstAt)) + " and " + FaultNames.at(second)
                                         + " at " + AtNames.at(static_cast<int>(secondAt)) + ": " + result.violation);
                }
            }
            table << " " << counts[0] << "/" << counts[1] << "/" << counts[2] << "/" << counts[3] << " |";
        }
        table << "\n";
    }
    return table.str();
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text = std::to_string(lines.size()) + " violations";
    for (std::size_t i = 0; i < std::min<std::size_t>(lines.size(), 40); ++i) {
        text += "\n" + lines[i];
    }
    return text;
}

class PublisherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PublisherTest);
    CPPUNIT_TEST(plainPublicationIsInForce);
    CPPUNIT_TEST(staleBaseIsAConflict);
    CPPUNIT_TEST(versionIsAboveRestoredAndKnownVersions);
    CPPUNIT_TEST(swapIsNotRepeatedOntoOtherContent);
    CPPUNIT_TEST(watcherUsesFewCalls);
    CPPUNIT_TEST(everyFaultAtEveryStep);
    CPPUNIT_TEST(everyPairOfFaults);
    CPPUNIT_TEST(racingOperatorsAndRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void plainPublicationIsInForce()
    {
        const auto result = FaultRun({}, false).run();
        CPPUNIT_ASSERT(result.outcome == PublicationOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::string(), result.violation);
    }

    // Guards against an operator who overwrites a change that he has not seen.
    void staleBaseIsAConflict()
    {
        World world(1);
        const auto base = world.base("a");
        world.publishClean("a", "a-other");
        auto publication = world.publication("a", "a-mine", base);
        CPPUNIT_ASSERT(world.runToEnd(publication) == PublicationOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), publication.result().conflicts.size());
        world.settle();
        CPPUNIT_ASSERT_EQUAL(std::string("a-other"), world.inForce("a"));
    }

    // Guards against a publication after a restore that loses against what the nodes already hold, even if the
    // operator's clock is behind.
    void versionIsAboveRestoredAndKnownVersions()
    {
        const auto codec = plainManifestCodec();
        PublicationOptions options;
        options.floor = ConfigVersion(900);
        Publication publication("p", {{DocumentName("a"), "text", ConfigVersion(500)}}, codec, options);
        FakeStore store;
        for (int i = 0; i < 10 && !publication.finished(); ++i) {
            publication.onResult(store.call(*publication.next(WallTime())));
        }
        CPPUNIT_ASSERT(publication.result().versions.at(0).version == ConfigVersion(901));
    }

    // Guards against a repeated swap that overwrites another operator's entry after the store was restored and has
    // counted its revisions up to the same number again.
    void swapIsNotRepeatedOntoOtherContent()
    {
        const auto codec = plainManifestCodec();
        FakeStore store;
        store.snapshot();
        Publication first("p1", {{DocumentName("a"), "one", std::nullopt}}, codec, {});
        for (int i = 0; i < 10 && !first.finished(); ++i) {
            first.onResult(store.call(*first.next(WallTime(seconds(1)))));
        }
        Publication second("p2", {{DocumentName("b"), "two", std::nullopt}}, codec, {});
        second.onResult(store.call(*second.next(WallTime(seconds(2)))));
        second.onResult(store.call(*second.next(WallTime(seconds(2)))));
        second.onResult(store.call(*second.next(WallTime(seconds(2))), StoreFault::Down));
        store.restore();
        Publication third("p3", {{DocumentName("c"), "three", std::nullopt}}, codec, {});
        for (int i = 0; i < 10 && !third.finished(); ++i) {
            third.onResult(store.call(*third.next(WallTime(seconds(3)))));
        }
        for (int i = 0; i < 10 && !second.finished(); ++i) {
            second.onResult(store.call(*second.next(WallTime(seconds(4)))));
        }
        const auto manifest = codec.decode(store.value(std::string(ManifestKey)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), manifest->count(DocumentName("b")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), manifest->count(DocumentName("c")));
    }

    // Guards against watchers that poll a store that is down without pause, and against idle watchers that call often.
    void watcherUsesFewCalls()
    {
        const auto codec = plainManifestCodec();
        StoreSync sync(codec);
        ConfigView view;
        Random random(1);
        MonotonicTime now;
        for (int i = 0; i < 600; ++i, now += milliseconds(100)) {
            if (sync.next(true, view, now)) {
                sync.onResult(StoreResult{}, view, now, random);
            }
        }
        // One minute with a backoff that doubles from 0.5 s to 10 s.
        CPPUNIT_ASSERT(sync.counters().calls >= 6 && sync.counters().calls <= 20);
        CPPUNIT_ASSERT(!sync.next(false, view, now + seconds(60)));
    }

    void everyFaultAtEveryStep()
    {
        std::vector<std::string> violations;
        const std::string table = singleFaultTable(violations);
        std::cout << "\nFault matrix of a publication, one fault:\n" << table;
        CPPUNIT_ASSERT_MESSAGE(joined(violations), violations.empty());
    }

    void everyPairOfFaults()
    {
        std::vector<std::string> violations;
        int runs = 0;
        const std::string table = pairTable(violations, runs);
        std::cout << "\nFault matrix of a publication, pairs of faults:\n" << table << runs << " runs\n";
        CPPUNIT_ASSERT_MESSAGE(joined(violations), violations.empty());
    }

    // Guards against interleavings that the matrix does not contain.
    void racingOperatorsAndRandomFaults()
    {
        CPPUNIT_ASSERT(rc::check("accepted publications are in force", [](std::uint64_t seed) {
            const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 8)));
            World world(seed);
            const std::array<std::string, 3> texts = {"a-one", "a-two", "b-three"};
            std::array<Publication, 3> operators = {world.publication("a", texts[0]), world.publication("a", texts[1]),
                                                    world.publication("b", texts[2])};
            for (const auto &[actor, fault] : events) {
                if (actor < 3) {
                    world.step(operators.at(actor), fault < 4 ? static_cast<StoreFault>(fault) : StoreFault::None);
                } else if (actor == 3) {
                    world.runWatchers(seconds(fault));
                } else if (actor == 4) {
                    world.store.down = fault < 2;
                } else if (fault < 2) {
                    world.store.restore();
                }
            }
            world.store.down = false;
            std::array<bool, 3> accepted{};
            for (std::size_t i = 0; i < operators.size(); ++i) {
                const auto outcome = world.runToEnd(operators.at(i));
                RC_ASSERT(operators.at(i).finished());
                accepted.at(i) = outcome == PublicationOutcome::Accepted || outcome == PublicationOutcome::Unchanged;
            }
            world.settle();
            RC_ASSERT(!world.decreased());
            const std::string a = world.inForce("a");
            const std::string b = world.inForce("b");
            if (accepted[0] || accepted[1]) {
                RC_ASSERT(a == texts[0] || a == texts[1]);
            }
            if (accepted[0] != accepted[1]) {
                const auto other = operators.at(accepted[0] ? 1 : 0).result().outcome;
                if (other != PublicationOutcome::Unknown) {
                    RC_ASSERT(a == texts.at(accepted[0] ? 0 : 1));
                }
            }
            if (accepted[2]) {
                RC_ASSERT(b == texts[2]);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublisherTest);

} // namespace

} // namespace Geraniumsail
