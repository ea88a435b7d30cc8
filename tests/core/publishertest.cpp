// Runs publications and watchers against a store with faults: each fault at each step, all pairs of faults, and random
// sequences of events.
//
// Invariants checked once all faults have ended:
// - An accepted publication, or a later accepted one of the same document, is in force at every watcher and in the
//   store's manifest.
// - A publication that was reported as a conflict or as not accepted has never been in force anywhere.
// - The version of a document in force at a watcher never decreases.
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

constexpr Duration CallDuration = milliseconds(100);
constexpr Duration WatcherInterval = milliseconds(250);

/// Steps of a publication at which a fault can be injected.
enum class FaultPoint {
    Read,
    Blob,
    Swap,
    AfterEnd,
    Count,
};
constexpr std::array<const char *, 4> FaultPointNames = {"read", "blob", "swap", "after-end"};

enum class Fault {
    None,
    Down,
    DownUntilEnd,
    LostResponse,
    ThreeLostResponses,
    DelayedExecution,
    RestoreBefore,
    RestoreAfter,
    RaceOnSameDocument,
    RaceOnOtherDocument,
    Crash,
    Count,
};
constexpr std::array<const char *, 11> FaultNames = {
    "none",           "down once",     "down to the end", "answer lost",    "answers lost x3", "slow, late write",
    "restore before", "restore after", "race same doc",   "race other doc", "crash, re-run"};

struct Injection
{
    Fault fault = Fault::None;
    FaultPoint point = FaultPoint::Read;
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

/// Simulates a store, publications by operators, and two watchers that exchange documents in settle().
class StoreSimulation
{
public:
    explicit StoreSimulation(std::uint64_t seed) : m_random(seed), m_codec(plainManifestCodec())
    {
        for (int i = 0; i < 2; ++i) {
            m_watchers.push_back(std::make_unique<Watcher>(Watcher{StoreSync(m_codec), ConfigView()}));
        }
        publishWithoutFaults("a", "a-first");
        store.snapshot();
        publishWithoutFaults("a", "a-base");
        publishWithoutFaults("b", "b-base");
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
    /// Runs one store call of the publication, or one check of whether a node holds it.
    void step(Publication &publication, StoreFault fault)
    {
        advance(CallDuration);
        if (publication.awaitsNode()) {
            runWatchers(seconds(8));
            const auto &versions = publication.result().versions;
            publication.onNodeChecked(
                std::all_of(versions.begin(), versions.end(), [&](const DocumentSummary &summary) {
                    return std::any_of(m_watchers.begin(), m_watchers.end(), [&](const auto &watcher) {
                        const ConfigDocument *held = watcher->view.find(summary.name);
                        return held != nullptr && held->version >= summary.version;
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
    PublicationOutcome publishWithoutFaults(const std::string &name, const std::string &text)
    {
        Publication clean = publication(name, text);
        return runToEnd(clean);
    }
    void runWatchers(Duration time)
    {
        for (Duration passed{}; passed < time; passed += WatcherInterval) {
            advance(WatcherInterval);
            for (auto &watcher : m_watchers) {
                if (const auto call = watcher->sync.next(true, watcher->view, m_now)) {
                    const auto result = store.call(*call);
                    apply(watcher->sync.onResult(result, watcher->view, m_now, m_random), *watcher);
                }
            }
        }
    }
    /// Ends all faults and runs the watchers until they have converged.
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
    /// Returns the text in force at both watchers and in the store, or else a description of the difference.
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
    bool wasEverInForce(const std::string &text) const
    {
        return m_appliedTexts.count(text) > 0;
    }
    bool versionDecreased() const
    {
        return m_versionDecreased;
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
            m_versionDecreased = m_versionDecreased || watcher.view.find(document.name)->version < before;
            m_appliedTexts.insert(watcher.view.find(document.name)->text);
        }
    }

    Random m_random;
    ManifestCodec m_codec;
    std::vector<std::unique_ptr<Watcher>> m_watchers;
    MonotonicTime m_now;
    WallTime m_wall{std::chrono::hours(480'000)};
    std::set<std::string> m_appliedTexts;
    bool m_versionDecreased = false;
    int m_publications = 0;
};

struct RunResult
{
    PublicationOutcome outcome = PublicationOutcome::Unknown;
    std::string violation;
};

/// Publishes document "a" while injecting each fault at the first call of its step.
class FaultScenario
{
public:
    FaultScenario(std::vector<Injection> injections, bool runWatchersBetweenCalls)
        : m_simulation(1), m_injections(std::move(injections)), m_runWatchersBetweenCalls(runWatchersBetweenCalls)
    {
    }

    RunResult run()
    {
        const auto base = m_simulation.base("a");
        auto publication = std::make_unique<Publication>(m_simulation.publication("a", "a-mine", base));
        for (int i = 0; i < 500 && !publication->finished(); ++i) {
            if (m_runWatchersBetweenCalls) {
                m_simulation.runWatchers(seconds(1));
            }
            const auto call = publication->next(WallTime(std::chrono::hours(480'000)));
            const StoreFault fault = call ? inject(faultPointOf(*call)) : StoreFault::None;
            m_simulation.step(*publication, fault);
            afterCall();
            if (m_crash) {
                m_crash = false;
                publication = std::make_unique<Publication>(m_simulation.publication("a", "a-mine", base));
            }
        }
        inject(FaultPoint::AfterEnd);
        afterCall();
        m_simulation.settle();
        return checkInvariants(publication->result().outcome);
    }

private:
    static FaultPoint faultPointOf(const StoreCall &call)
    {
        if (call.operation == StoreOperation::Get) {
            return FaultPoint::Read;
        }
        return call.key == ManifestKey ? FaultPoint::Swap : FaultPoint::Blob;
    }
    StoreFault inject(FaultPoint point)
    {
        StoreFault result = StoreFault::None;
        if (m_lostResponsesLeft > 0) {
            --m_lostResponsesLeft;
            result = StoreFault::LostResponse;
        }
        for (auto &injection : m_injections) {
            if (injection.fault != Fault::None && injection.point == point) {
                const StoreFault next = startFault(std::exchange(injection.fault, Fault::None));
                result = next == StoreFault::None ? result : next;
            }
        }
        return result;
    }
    StoreFault startFault(Fault fault)
    {
        switch (fault) {
        case Fault::Down:
            return StoreFault::Down;
        case Fault::DownUntilEnd:
            m_simulation.store.down = true;
            break;
        case Fault::LostResponse:
            return StoreFault::LostResponse;
        case Fault::ThreeLostResponses:
            m_lostResponsesLeft = 2;
            return StoreFault::LostResponse;
        case Fault::DelayedExecution:
            return StoreFault::DelayedExecution;
        case Fault::RestoreBefore:
            m_simulation.store.restore();
            break;
        case Fault::RestoreAfter:
            m_restoreAfterCall = true;
            break;
        case Fault::RaceOnSameDocument:
            m_otherOperatorAccepted =
                m_otherOperatorAccepted || accepted(m_simulation.publishWithoutFaults("a", "a-other"));
            break;
        case Fault::RaceOnOtherDocument:
            m_otherDocumentAccepted =
                m_otherDocumentAccepted || accepted(m_simulation.publishWithoutFaults("b", "b-other"));
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
        if (std::exchange(m_restoreAfterCall, false)) {
            m_simulation.store.restore();
        }
    }
    static bool accepted(PublicationOutcome outcome)
    {
        return outcome == PublicationOutcome::Accepted || outcome == PublicationOutcome::Unchanged;
    }
    RunResult checkInvariants(PublicationOutcome outcome) const
    {
        RunResult result{outcome, {}};
        const std::string text = m_simulation.inForce("a");
        const std::string other = m_simulation.inForce("b");
        if (accepted(outcome) && text != "a-mine" && !(m_otherOperatorAccepted && text == "a-other")) {
            result.violation = "accepted, but in force is: " + text;
        } else if (m_otherOperatorAccepted && text != "a-other" && text != "a-mine") {
            result.violation = "the other operator's accepted publication is lost: " + text;
        } else if (other != (m_otherDocumentAccepted ? "b-other" : "b-base")) {
            result.violation = "document b: " + other;
        } else if (m_simulation.versionDecreased()) {
            result.violation = "a version decreased";
        } else if (!m_hadCrash && !accepted(outcome) && outcome != PublicationOutcome::Unknown
                   && (text == "a-mine" || m_simulation.wasEverInForce("a-mine"))) {
            result.violation = "reported as not in force, but was";
        }
        return result;
    }

    StoreSimulation m_simulation;
    std::vector<Injection> m_injections;
    bool m_runWatchersBetweenCalls;
    bool m_crash = false;
    bool m_hadCrash = false;
    bool m_restoreAfterCall = false;
    int m_lostResponsesLeft = 0;
    bool m_otherOperatorAccepted = false;
    bool m_otherDocumentAccepted = false;
};

/// Tabulates the reported outcome for each fault at each step; '!' marks a violated invariant.
std::string singleFaultTable(std::vector<std::string> &violations)
{
    std::ostringstream table;
    table << std::left << std::setw(18) << "fault"
          << " |";
    for (const char *name : FaultPointNames) {
        table << std::setw(14) << name << "|";
    }
    table << "\n";
    for (int fault = 1; fault < static_cast<int>(Fault::Count); ++fault) {
        table << std::setw(18) << FaultNames.at(fault) << " |";
        for (int point = 0; point < static_cast<int>(FaultPoint::Count); ++point) {
            std::string cell;
            for (const bool runWatchersBetweenCalls : {false, true}) {
                const auto result = FaultScenario({{static_cast<Fault>(fault), static_cast<FaultPoint>(point)}},
                                                  runWatchersBetweenCalls)
                                        .run();
                cell = outcomeName(result.outcome) + std::string(result.violation.empty() ? "" : "!");
                if (!result.violation.empty()) {
                    violations.push_back(std::string(FaultNames.at(fault)) + " at " + FaultPointNames.at(point) + ": "
                                         + result.violation);
                }
            }
            table << std::setw(14) << cell << "|";
        }
        table << "\n";
    }
    return table.str();
}

/// Runs every ordered pair of faults at every pair of steps and tabulates the number of runs by outcome.
std::string faultPairTable(std::vector<std::string> &violations, int &runs)
{
    std::ostringstream table;
    table << "accepted/conflict/not-accepted/unknown over 16 pairs of steps, watchers idle and active\n";
    for (int first = 1; first < static_cast<int>(Fault::Count); ++first) {
        table << std::left << std::setw(18) << FaultNames.at(first) << " |";
        for (int second = 1; second < static_cast<int>(Fault::Count); ++second) {
            std::array<int, 4> counts{};
            for (int steps = 0; steps < 32; ++steps) {
                const auto firstPoint = static_cast<FaultPoint>(steps % 4);
                const auto secondPoint = static_cast<FaultPoint>(steps / 4 % 4);
                const auto result =
                    FaultScenario({{static_cast<Fault>(first), firstPoint}, {static_cast<Fault>(second), secondPoint}},
                                  steps >= 16)
                        .run();
                ++runs;
                const auto index = result.outcome == PublicationOutcome::Unchanged
                    ? 0
                    : std::array<int, 5>{0, 0, 1, 2, 3}.at(static_cast<std::size_t>(result.outcome));
                ++counts.at(index);
                if (!result.violation.empty()) {
                    violations.push_back(std::string(FaultNames.at(first)) + " at "
                                         + FaultPointNames.at(static_cast<int>(firstPoint)) + " and "
                                         + FaultNames.at(second) + " at "
                                         + FaultPointNames.at(static_cast<int>(secondPoint)) + ": " + result.violation);
                }
            }
            table << " " << counts[0] << "/" << counts[1] << "/" << counts[2] << "/" << counts[3] << " |";
        }
        table << "\n";
    }
    return table.str();
}

std::string joinLines(const std::vector<std::string> &lines)
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
    CPPUNIT_TEST(publicationWithoutFaultsIsInForce);
    CPPUNIT_TEST(staleBaseIsAConflict);
    CPPUNIT_TEST(versionIsAboveRestoredAndKnownVersions);
    CPPUNIT_TEST(swapIsNotRepeatedAfterContentChanged);
    CPPUNIT_TEST(writeBackSurvivesARestoreBetweenItsSteps);
    CPPUNIT_TEST(watcherLimitsItsCallRate);
    CPPUNIT_TEST(everyFaultAtEveryStep);
    CPPUNIT_TEST(everyPairOfFaults);
    CPPUNIT_TEST(racingOperatorsAndRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void publicationWithoutFaultsIsInForce()
    {
        const auto result = FaultScenario({}, false).run();
        CPPUNIT_ASSERT(result.outcome == PublicationOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::string(), result.violation);
    }

    // Guards against an operator overwriting a change that was published after the base of the edit.
    void staleBaseIsAConflict()
    {
        StoreSimulation simulation(1);
        const auto base = simulation.base("a");
        simulation.publishWithoutFaults("a", "a-other");
        auto publication = simulation.publication("a", "a-mine", base);
        CPPUNIT_ASSERT(simulation.runToEnd(publication) == PublicationOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), publication.result().conflicts.size());
        simulation.settle();
        CPPUNIT_ASSERT_EQUAL(std::string("a-other"), simulation.inForce("a"));
    }

    // Guards against a publication that never comes into force because nodes hold a higher version, which happens if
    // the store was restored from an older copy and the operator's clock is behind.
    void versionIsAboveRestoredAndKnownVersions()
    {
        const auto codec = plainManifestCodec();
        PublicationOptions options;
        options.highestHeldVersion = ConfigVersion(900);
        Publication publication("p", {{DocumentName("a"), "text", ConfigVersion(500)}}, codec, options);
        FakeStore store;
        for (int i = 0; i < 10 && !publication.finished(); ++i) {
            publication.onResult(store.call(*publication.next(WallTime())));
        }
        CPPUNIT_ASSERT(publication.result().versions.at(0).version == ConfigVersion(901));
    }

    // Guards against a repeated swap that overwrites another operator's entry: after a restore from an older copy, the
    // store can reach the expected revision again with different content.
    void swapIsNotRepeatedAfterContentChanged()
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

    // Guards against a manifest that names a document whose content is missing: the store is restored from an older
    // copy after the content was written back, and accepts the manifest because its revisions are those of the copy.
    void writeBackSurvivesARestoreBetweenItsSteps()
    {
        const auto codec = plainManifestCodec();
        FakeStore store;
        store.snapshot();
        ConfigView view;
        view.apply({DocumentName("a"), ConfigVersion(7), contentHash("text"), "p", "text"});
        StoreSync sync(codec);
        Random random(1);
        MonotonicTime now;
        bool isRestored = false;
        for (int i = 0; i < 200; ++i, now += milliseconds(100)) {
            const auto call = sync.next(true, view, now);
            if (!call) {
                continue;
            }
            const bool isManifest = call->operation == StoreOperation::Put && call->key == ManifestKey;
            if (isManifest && !isRestored) {
                store.restore();
                isRestored = true;
            }
            sync.onResult(store.call(*call), view, now, random);
        }
        CPPUNIT_ASSERT(isRestored);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), codec.decode(store.value(std::string(ManifestKey)))->size());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), store.value(blobKey(DocumentName("a"), contentHash("text"))));
    }

    // Guards against watchers that retry without delay while the store is down, and against store calls by a node that
    // is not a watcher.
    void watcherLimitsItsCallRate()
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
        // One minute with an exponential backoff from 0.5 s to 10 s.
        CPPUNIT_ASSERT(sync.counters().calls >= 6 && sync.counters().calls <= 20);
        CPPUNIT_ASSERT(!sync.next(false, view, now + seconds(60)));
    }

    void everyFaultAtEveryStep()
    {
        std::vector<std::string> violations;
        const std::string table = singleFaultTable(violations);
        std::cout << "\nFault matrix of a publication, one fault:\n" << table;
        CPPUNIT_ASSERT_MESSAGE(joinLines(violations), violations.empty());
    }

    void everyPairOfFaults()
    {
        std::vector<std::string> violations;
        int runs = 0;
        const std::string table = faultPairTable(violations, runs);
        std::cout << "\nFault matrix of a publication, pairs of faults:\n" << table << runs << " runs\n";
        CPPUNIT_ASSERT_MESSAGE(joinLines(violations), violations.empty());
    }

    // Guards against failures in interleavings that the fault matrices do not cover.
    void racingOperatorsAndRandomFaults()
    {
        CPPUNIT_ASSERT(rc::check("accepted publications are in force", [](std::uint64_t seed) {
            const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 8)));
            StoreSimulation simulation(seed);
            const std::array<std::string, 3> texts = {"a-one", "a-two", "b-three"};
            std::array<Publication, 3> operators = {simulation.publication("a", texts[0]),
                                                    simulation.publication("a", texts[1]),
                                                    simulation.publication("b", texts[2])};
            for (const auto &[actor, fault] : events) {
                if (actor < 3) {
                    simulation.step(operators.at(actor), fault < 4 ? static_cast<StoreFault>(fault) : StoreFault::None);
                } else if (actor == 3) {
                    simulation.runWatchers(seconds(fault));
                } else if (actor == 4) {
                    simulation.store.down = fault < 2;
                } else if (fault < 2) {
                    simulation.store.restore();
                }
            }
            simulation.store.down = false;
            std::array<bool, 3> accepted{};
            for (std::size_t i = 0; i < operators.size(); ++i) {
                const auto outcome = simulation.runToEnd(operators.at(i));
                RC_ASSERT(operators.at(i).finished());
                accepted.at(i) = outcome == PublicationOutcome::Accepted || outcome == PublicationOutcome::Unchanged;
            }
            simulation.settle();
            RC_ASSERT(!simulation.versionDecreased());
            const std::string a = simulation.inForce("a");
            const std::string b = simulation.inForce("b");
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
