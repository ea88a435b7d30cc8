#include "overloadcases.h"

#include "overloadsim.h"

#include <algorithm>
#include <array>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One kind of work: what is declared and what is asked for.
struct Work
{
    const char *name;
    std::uint8_t rank;
    double share;
    double meanSeconds;
    double load; ///< Offered work over slots.
    bool longRunning = false;
    Duration timeout = seconds(1);
};

constexpr int SlotCount = 50;
constexpr Duration WarmUp = seconds(4);

/// A service with its callers. Counts the requests of `length` after the warm-up.
struct Bed
{
    Bed(Simulation &simulation, const std::vector<Work> &works, const PolicySwitches &switches, Duration length,
        int resends = 1, std::optional<Duration> resendRefusedAfter = std::nullopt)
    {
        ServicePolicy policy;
        policy.slots = Slots(SlotCount);
        std::map<KindName, double> means;
        for (const Work &work : works) {
            policy.kinds.push_back({KindName(work.name), Rank(work.rank), Share(work.share)});
            policy.kinds.back().longRunning = work.longRunning;
            means[KindName(work.name)] = work.meanSeconds;
        }
        service = std::make_unique<FakeService>(simulation, policy, switches, means);
        const MonotonicTime from = simulation.now + WarmUp;
        for (const Work &work : works) {
            const double perSecond = work.load * SlotCount / work.meanSeconds;
            loops.push_back(
                std::make_unique<OpenLoop>(simulation, *service,
                                           Traffic{KindName(work.name), Rank(work.rank), perSecond, work.timeout,
                                                   resends, resendRefusedAfter, from, from + length}));
        }
    }
    double servedPart(std::size_t loop) const
    {
        return loops[loop]->served / std::max(1.0, loops[loop]->asked);
    }
    double servedInWindow(std::int64_t window) const
    {
        double sum = 0.0;
        for (const auto &loop : loops) {
            const auto found = loop->servedPerWindow.find(window);
            sum += found == loop->servedPerWindow.end() ? 0.0 : found->second;
        }
        return sum;
    }

    std::unique_ptr<FakeService> service;
    std::vector<std::unique_ptr<OpenLoop>> loops;
};

/// Whole answers over the most that the slots can give.
Figures goodput(bool earlyRefusal, const PolicySwitches &switches, std::uint64_t seed)
{
    constexpr Duration length = seconds(10);
    Figures figures;
    double peak = 1e-9;
    for (const double load : {0.5, 1.0, 1.5, 2.0, 3.0, 4.0}) {
        Simulation simulation(seed);
        const Bed bed(simulation,
                      {{"booking", 0, 0.2, 0.01, 0.15 * load},
                       {"lookup", 3, 0.2, 0.01, 0.25 * load},
                       {"search", 6, 0.1, 0.01, 0.30 * load},
                       {"bulk", 9, 0.1, 0.01, 0.30 * load}},
                      switches, length);
        bed.service->earlyRefusal = earlyRefusal && switches.admission;
        simulation.runUntil(simulation.now + WarmUp + length + seconds(2));
        double served = 0.0;
        for (const auto &loop : bed.loops) {
            served += loop->served;
        }
        const double part = served / std::chrono::duration<double>(length).count() / (SlotCount / 0.01);
        peak = std::max(peak, part);
        const std::string percent = std::to_string(static_cast<int>(load * 100.0)) + "%";
        figures.push_back({"goodput at " + percent, part});
        figures.push_back({"booking (15% of load) served at " + percent, bed.servedPart(0)});
    }
    figures.push_back({"goodput at 400% over peak", figures[figures.size() - 2].value / peak, 0.95});
    return figures;
}

/// One kind is offered at 4 times the capacity. Only whole answers count as kept.
Figures flood(std::vector<Work> works, std::size_t flooding, const PolicySwitches &switches, std::uint64_t seed)
{
    constexpr Duration length = seconds(10);
    works[flooding].load = 4.0;
    Simulation simulation(seed);
    const Bed bed(simulation, works, switches, length);
    simulation.runUntil(simulation.now + WarmUp + length + 2 * works[flooding].timeout);
    Figures figures;
    for (std::size_t i = 0; i < works.size(); ++i) {
        const std::string name = works[i].name;
        const bool other = i != flooding;
        const double served = bed.servedPart(i);
        figures.push_back({name + " served of asked", served});
        if (other && works[i].rank == 0) {
            figures.back().atLeast = 0.99;
        }
        figures.push_back(
            {name + " kept of share or less asked", served * works[i].load / std::min(works[i].share, works[i].load)});
        if (other) {
            figures.back().atLeast = 0.9;
        }
    }
    return figures;
}

std::vector<Work> mixedWork()
{
    return {{"booking", 0, 0.3, 0.01, 0.35},
            {"lookup", 3, 0.2, 0.005, 0.24},
            {"search", 6, 0.15, 0.04, 0.18},
            {"bulk", 9, 0.1, 0.02, 0.12}};
}

/// Downloads of 5 s beside reads of 5 ms.
std::vector<Work> downloadWork(std::uint8_t rank)
{
    return {{"offering", 0, 0.3, 0.01, 0.25},
            {"browse", 3, 0.3, 0.005, 0.33},
            {"search", 6, 0.15, 0.04, 0.18},
            {"download", rank, 0.15, 5.0, 0.2, true, seconds(20)}};
}

/// Time after a 10 s stall until goodput over 1 s is back at 0.95 and stays so over the next 5 s.
Figures recovery(bool earlyRefusal, const PolicySwitches &switches, std::uint64_t seed)
{
    constexpr std::int64_t never = 300; // Windows of 100 ms.
    const std::vector<Work> works{
        {"booking", 0, 0.3, 0.01, 0.3}, {"lookup", 5, 0.2, 0.01, 0.3}, {"bulk", 9, 0.1, 0.01, 0.3}};
    Simulation simulation(seed);
    const Bed bed(simulation, works, switches, seconds(1), 20, milliseconds(50));
    bed.service->earlyRefusal = earlyRefusal && switches.admission;
    bed.service->stallFrom = simulation.now + WarmUp + seconds(4);
    bed.service->stallTo = bed.service->stallFrom + seconds(10);
    simulation.runUntil(bed.service->stallTo + seconds(37));
    const std::int64_t to = bed.service->stallTo.time_since_epoch() / milliseconds(100);
    const auto mean = [&bed](std::int64_t first, std::int64_t count) {
        double sum = 0.0;
        for (std::int64_t i = first; i < first + count; ++i) {
            sum += bed.servedInWindow(i) / static_cast<double>(count);
        }
        return sum;
    };
    const double enough = 0.95 * mean(to - 140, 40);
    std::int64_t after = 0;
    while (after < never && (mean(to + after, 10) < enough || mean(to + after, 50) < enough)) {
        ++after;
    }
    return {{"seconds to 0.95 of goodput (30: never)", static_cast<double>(after) / 10.0, std::nullopt, 2.0}};
}

/// Chains of several depths to the end of 29 services, each of which gets 1.6 times its capacity of other calls.
Figures chain(const PolicySwitches &switches, std::uint64_t seed)
{
    constexpr std::size_t serviceCount = 29;
    constexpr Duration length = seconds(8);
    constexpr double chainsPerSecond = 12.0;
    const std::vector<Work> works{{"cross", 5, 0.0, 0.01, 1.6}, {"chain", 5, 0.0, 0.01, 1e-6}};
    Simulation simulation(seed);
    std::vector<Bed> beds;
    for (std::size_t i = 0; i < serviceCount; ++i) {
        beds.emplace_back(simulation, works, switches, length);
        if (i > 0) {
            beds[i - 1].service->next = beds[i].service.get();
        }
    }
    const MonotonicTime from = simulation.now + WarmUp;
    const Traffic traffic{KindName("chain"), Rank(5), chainsPerSecond, seconds(3), 0,
                          std::nullopt,      from,    from + length};
    constexpr std::array<std::size_t, 5> depths{1, 5, 10, 20, 29};
    std::vector<std::unique_ptr<OpenLoop>> chains;
    chains.reserve(depths.size());
    for (const std::size_t depth : depths) {
        chains.push_back(std::make_unique<OpenLoop>(simulation, *beds[serviceCount - depth].service, traffic));
    }
    simulation.runUntil(from + length + seconds(3));
    double admitted = 0.0;
    for (const Bed &bed : beds) {
        admitted += bed.servedPart(0) / serviceCount;
    }
    Figures figures{{"admitted share of single calls", admitted}};
    for (std::size_t i = 0; i < depths.size(); ++i) {
        const std::string depth = std::to_string(depths[i]);
        figures.push_back({"whole chains over admitted at depth " + depth,
                           chains[i]->served / chains[i]->asked / std::max(admitted, 1e-9), 0.95});
    }
    return figures;
}

} // namespace

std::vector<Experiment> overloadExperiments()
{
    using namespace std::placeholders;
    PolicySwitches plainQueue;
    plainQueue.admission = false;
    plainQueue.adaptiveLimit = false;
    PolicySwitches scorePerHop;
    scorePerHop.requestScore = false;
    return {{"goodput", std::bind(goodput, false, _1, _2), plainQueue},
            {"goodput, early refusal", std::bind(goodput, true, _1, _2), plainQueue},
            {"flood of least urgent", std::bind(flood, mixedWork(), 3, _1, _2), plainQueue},
            {"flood of most urgent", std::bind(flood, mixedWork(), 0, _1, _2), plainQueue},
            {"flood of downloads, least urgent", std::bind(flood, downloadWork(9), 3, _1, _2), plainQueue},
            {"flood of downloads, more urgent than search", std::bind(flood, downloadWork(5), 3, _1, _2), plainQueue},
            {"recovery after a stall", std::bind(recovery, false, _1, _2), plainQueue},
            {"recovery after a stall, early refusal", std::bind(recovery, true, _1, _2), plainQueue},
            {"chain", chain, scorePerHop}};
}

} // namespace Geraniumsail
