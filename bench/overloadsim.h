// Virtual time, a fake upstream behind the real AdmissionController, and open-loop callers that send again after a
// timeout.
//
// The fakes know nothing of networks: a call reaches admission at once, and the upstream runs each started call for an
// exponentially distributed time. The callers' rate does not depend on the answers.
#ifndef GERANIUMSAIL_BENCH_OVERLOADSIM_H
#define GERANIUMSAIL_BENCH_OVERLOADSIM_H

#include "core/admission.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>

namespace Geraniumsail {

struct Simulation
{
    struct Event
    {
        MonotonicTime at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    explicit Simulation(std::uint64_t seed) : random(seed)
    {
    }
    void after(Duration delay, std::function<void()> action);
    void runUntil(MonotonicTime end);
    Duration drawExponential(double meanSeconds);

    Random random;
    MonotonicTime now{std::chrono::seconds(1)};
    std::priority_queue<Event> events;
    std::uint64_t sequence = 0;
};

struct Call
{
    KindName kind;
    Priority priority;
    MonotonicTime deadline;
    CallerName caller;
    /// Told once: true for a whole answer.
    std::function<void(bool)> done;
    int hop = 0;
};

/// One upstream with its admission.
class FakeService
{
public:
    FakeService(Simulation &simulation, const ServicePolicy &policy, const PolicySwitches &switches,
                std::map<KindName, double> meanSeconds);
    void call(Call call);

    /// Callers refuse by the last threshold and let 1 in 20 through, as calling nodes do.
    bool earlyRefusal = false;
    /// Calls that are due between these times end one service time after the second.
    MonotonicTime stallFrom{};
    MonotonicTime stallTo{};
    /// Where calls of the kind "chain" go on; their slot here is kept meanwhile.
    FakeService *next = nullptr;

private:
    void handle(const AdmissionDecisions &decisions);
    void end(const AttemptId &id, MonotonicTime started, bool whole);
    void tick();

    Simulation &m_simulation;
    AdmissionController m_admission;
    std::map<KindName, double> m_meanSeconds;
    std::unordered_map<AttemptId, Call> m_calls;
    std::uint64_t m_nextId = 0;
};

struct Traffic
{
    KindName kind;
    Rank rank;
    double perSecond;
    Duration timeout;
    int resends; ///< After a timeout.
    std::optional<Duration> resendRefusedAfter; ///< Also send again after a refusal, this long after it.
    MonotonicTime countFrom; ///< Requests that begin from here to countTo are counted.
    MonotonicTime countTo;
};

class OpenLoop
{
public:
    OpenLoop(Simulation &simulation, FakeService &service, Traffic traffic);

    double asked = 0.0;
    double served = 0.0;
    /// Whole answers by 100 ms of the time of the answer.
    std::map<std::int64_t, int> servedPerWindow;

private:
    struct Request
    {
        Priority priority;
        CallerName caller;
        bool counted;
        bool ended = false;
        int attempts = 0;
    };
    void scheduleNext();
    void send(const std::shared_ptr<Request> &request);
    void answered(Request &request);

    Simulation &m_simulation;
    FakeService &m_service;
    Traffic m_traffic;
    std::uint16_t m_nextScore;
};

} // namespace Geraniumsail

#endif
