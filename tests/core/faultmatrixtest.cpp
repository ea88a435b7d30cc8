// Fault matrix: injects each fault at each step of a call, alone and in pairs, for each kind of work.
//
// After each scenario the caller repeats an unrepeatable request with the same ticket or key, through each entry node
// that it can use and also after the tickets have expired, because a second execution is often caused by a later
// request. Then the invariants I1, I3, I4 and I5 are checked (see callsimulation.h). A table cell shows the outcome
// that the caller received (ran, no = not run, ? = unknown) and how often the work ran.
#include "core/callsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string_view>

namespace Geraniumsail {

namespace {

constexpr std::array<std::string_view, FaultCount> FaultNames{
    "target killed",        "incarnation change", "target paused",       "request lost",     "answer lost",
    "one-way cut towards",  "one-way cut from",   "target slow",         "target drains",    "cold start",
    "upstream sheds",       "resend same node",   "resend, view misses", "resend, view old", "caller cancels",
    "ticket epoch expires", "delayed duplicate",  "void request lost",
};

constexpr std::array<std::string_view, 5> StepNames{"before", "sent", "queued", "running", "answered"};
constexpr std::array<std::string_view, 3> WorkNames{"repeatable", "child", "ticketed"};
const std::string Request = "booking-1";

// One seed in sanitizer builds, which are slow and only look for memory errors. The normal build checks both seeds.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t PairSeeds = 1;
#else
constexpr std::uint64_t PairSeeds = 2;
#endif

struct PlacedFault
{
    Fault fault;
    Step step;
};

/// One run of the simulation with the given faults.
class Scenario
{
public:
    Scenario(WorkKind work, std::vector<PlacedFault> faults, std::uint64_t seed)
        : m_work(work), m_faults(std::move(faults)), m_simulation(seed)
    {
    }

    void run()
    {
        if (m_work == WorkKind::Ticketed) {
            m_ticket = m_simulation.fetchTicket(0);
        }
        m_simulation.onStep = [this](Step step, std::size_t call, std::size_t target) {
            onStep(step, call, target);
        };
        m_simulation.call(m_work, 0, Request, m_ticket, false);
        // A concurrent unrelated call detects answers that are sent to the wrong caller.
        m_simulation.call(WorkKind::Repeatable, 1, "other", std::nullopt, false);
        m_simulation.run();
        m_runs = m_simulation.runs(Request);
        repeatRequest();
    }

    CallSimulation &simulation()
    {
        return m_simulation;
    }

    std::string resultCell() const
    {
        static constexpr std::array<std::string_view, 3> outcomeTexts{"ran", "no", "?"};
        const auto outcome = m_simulation.outcome(0);
        return std::string(outcome ? outcomeTexts.at(static_cast<std::size_t>(*outcome)) : "none") + " "
            + std::to_string(m_runs);
    }

    std::size_t injectedCount() const
    {
        return m_injectedCount;
    }

private:
    void onStep(Step step, std::size_t call, std::size_t target)
    {
        if (call != 0) {
            return;
        }
        auto pending = std::move(m_faults);
        m_faults.clear();
        for (const auto &placed : pending) {
            if (placed.step == step) {
                ++m_injectedCount;
                m_simulation.inject(placed.fault, call, target);
            } else {
                m_faults.push_back(placed);
            }
        }
    }

    void repeatRequest()
    {
        m_simulation.onStep = nullptr;
        if (m_work == WorkKind::Repeatable) {
            return;
        }
        const std::size_t entries = m_work == WorkKind::Ticketed ? 2 : 1;
        for (const auto wait : {Duration(0), Duration(TicketEpochLength * TicketLifetimeEpochs)}) {
            for (std::size_t entry = 0; entry < entries; ++entry) {
                m_simulation.advanceClock(wait);
                m_simulation.call(m_work, entry, Request, m_ticket, entry == 0);
                m_simulation.run();
            }
        }
    }

    WorkKind m_work;
    std::vector<PlacedFault> m_faults;
    CallSimulation m_simulation;
    std::optional<Ticket> m_ticket;
    int m_runs = 0;
    std::size_t m_injectedCount = 0;
};

std::string describe(WorkKind work, const std::vector<PlacedFault> &faults, const std::vector<std::string> &violations)
{
    std::ostringstream text;
    text << WorkNames.at(static_cast<std::size_t>(work));
    for (const auto &placed : faults) {
        text << ", " << FaultNames.at(static_cast<std::size_t>(placed.fault)) << " at "
             << StepNames.at(static_cast<std::size_t>(placed.step));
    }
    for (const auto &violation : violations) {
        text << "; " << violation;
    }
    return text.str();
}

std::vector<PlacedFault> allPlacedFaults()
{
    std::vector<PlacedFault> placed;
    for (std::size_t fault = 0; fault < FaultNames.size(); ++fault) {
        for (std::size_t step = 0; step < StepNames.size(); ++step) {
            placed.push_back(PlacedFault{static_cast<Fault>(fault), static_cast<Step>(step)});
        }
    }
    return placed;
}

/// Runs a scenario and asserts that no invariant is violated. Returns its table cell, or "-" if not all of its faults
/// were injected.
std::string runAndCheck(WorkKind work, const std::vector<PlacedFault> &faults, std::uint64_t seed)
{
    Scenario scenario(work, faults, seed);
    scenario.run();
    const auto violations = scenario.simulation().violations();
    CPPUNIT_ASSERT_MESSAGE(describe(work, faults, violations) + "; seed " + std::to_string(seed), violations.empty());
    return scenario.injectedCount() == faults.size() ? scenario.resultCell() : std::string("-");
}

class FaultMatrixTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultMatrixTest);
    CPPUNIT_TEST(callsWithoutFaultsRunOnce);
    CPPUNIT_TEST(singleFaults);
    CPPUNIT_TEST(pairsOfFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void callsWithoutFaultsRunOnce()
    {
        // Guards against a simulation in which no call succeeds, so that all invariants hold trivially.
        for (const auto work : {WorkKind::Repeatable, WorkKind::Child, WorkKind::Ticketed}) {
            CPPUNIT_ASSERT_EQUAL(std::string("ran 1"), runAndCheck(work, {}, 1));
        }
    }

    void singleFaults()
    {
        // Guards against a single fault that violates I1, I3, I4 or I5.
        std::ostringstream table;
        for (const auto work : {WorkKind::Repeatable, WorkKind::Child, WorkKind::Ticketed}) {
            printHeader(table, WorkNames.at(static_cast<std::size_t>(work)));
            for (const auto &placed : allPlacedFaults()) {
                if (placed.step == Step::BeforeSend) {
                    table << std::left << std::setw(22) << FaultNames.at(static_cast<std::size_t>(placed.fault));
                }
                table << std::setw(10) << runAndCheck(work, {placed}, 11);
                if (placed.step == Step::Answered) {
                    table << '\n';
                }
            }
        }
        std::cout << table.str();
    }

    void pairsOfFaults()
    {
        // Guards against invariant violations that need a combination of two faults.
        std::ostringstream table;
        const auto placed = allPlacedFaults();
        for (const auto work : {WorkKind::Repeatable, WorkKind::Child, WorkKind::Ticketed}) {
            std::map<std::string, int> counts;
            for (std::size_t i = 0; i < placed.size(); ++i) {
                for (std::size_t j = 0; j < placed.size(); ++j) {
                    // The order matters only if both faults are injected at the same step.
                    if (j < i && placed[i].step != placed[j].step) {
                        continue;
                    }
                    for (std::uint64_t seed = 0; seed < PairSeeds; ++seed) {
                        ++counts[runAndCheck(work, {placed[i], placed[j]}, 100 + seed)];
                    }
                }
            }
            table << "\npairs, " << WorkNames.at(static_cast<std::size_t>(work)) << ":";
            for (const auto &[resultCell, count] : counts) {
                table << "  " << resultCell << ": " << count;
            }
        }
        std::cout << table.str() << '\n';
    }

private:
    static void printHeader(std::ostream &table, std::string_view title)
    {
        table << '\n' << std::left << std::setw(22) << title;
        for (const auto &name : StepNames) {
            table << std::setw(10) << name;
        }
        table << '\n';
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

} // namespace

} // namespace Geraniumsail
