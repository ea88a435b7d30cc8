// Small fakes for the call flow: three upstreams with their registries, two entry nodes and messages with delays.
//
// Time is simulated. Each fault is one function; violations() checks the promises of the design at the end.
#ifndef GERANIUMSAIL_TESTS_CORE_FAKEWORLD_H
#define GERANIUMSAIL_TESTS_CORE_FAKEWORLD_H

#include "core/attemptregistry.h"
#include "core/callflow.h"
#include "core/resendtable.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Geraniumsail {

enum class WorkKind {
    Repeatable, ///< From a caller; may run any number of times.
    Child, ///< Unrepeatable, from an upstream; the entry node makes the tickets.
    Ticketed, ///< Unrepeatable, from a caller with a ticket of two targets.
};

/// Where the first attempt of the call under test is.
enum class Step {
    BeforeSend,
    Sent,
    Queued,
    Running,
    Answered,
};

/// What can go wrong; each hits the target or the call under test.
enum class Fault {
    TargetKilled,
    TargetRestarted,
    TargetPaused,
    RequestLost,
    AnswerLost,
    CutTowards,
    CutFrom,
    TargetSlow,
    TargetDrains,
    ColdStart,
    UpstreamSheds,
    ResendSameNode,
    ResendOtherNodeMissing,
    ResendOtherNodeStale,
    CallerCancels,
    EpochExpiry,
    LateCopy,
    VoidLost,
};

constexpr std::size_t FaultCount = static_cast<std::size_t>(Fault::VoidLost) + 1;

class FakeWorld
{
public:
    static constexpr std::size_t TargetCount = 3;
    static constexpr std::size_t EntryCount = 2;
    static constexpr std::uint32_t KindRetries = 2;

    explicit FakeWorld(std::uint64_t seed, RegistryLimits limits = {});

    // Callers
    /// A ticket as the entry node gives it to a caller.
    std::optional<Ticket> fetchTicket(std::size_t entry);
    /// Makes a call; the same request text means the same work. Returns the number of the call.
    std::size_t call(WorkKind work, std::size_t entry, const std::string &request, const std::optional<Ticket> &ticket,
                     bool resend);
    void cancel(std::size_t call);
    /// Runs a function later.
    void after(Duration delay, std::function<void()> action);
    /// Plays all events until nothing is left.
    void run();
    /// Called whenever an attempt of any call reaches a step at a target.
    std::function<void(Step, std::size_t call, std::size_t target)> onStep;

    /// Lets a fault happen now.
    void inject(Fault fault, std::size_t call, std::size_t target);
    /// All clocks jump, as after a freeze of everything.
    void jump(Duration time);

    // Results
    /// Empty if I1, I3, I4 and I5 hold and each call was answered exactly once.
    std::vector<std::string> violations() const;
    /// What the call was told: "ran" or the label of the error kind; "cancelled" if nobody listened any more.
    std::string told(std::size_t call) const;
    std::optional<Outcome> outcome(std::size_t call) const;
    std::size_t callCount() const;
    int runs(const std::string &request) const;
    const std::optional<Ticket> &ticket(std::size_t call) const;

private:
    struct Target
    {
        NodeName name;
        bool alive = true;
        std::uint64_t life = 1;
        std::optional<AttemptRegistry> registry;
        std::map<AttemptId, std::vector<std::size_t>> waiting; ///< Connections by attempt.
        std::deque<std::function<void()>> frozen;
        bool draining = false;
        bool slow = false;
        int shed = 0;
        MonotonicTime pausedUntil;
        MonotonicTime cutTowardsUntil;
        MonotonicTime cutFromUntil;
        MonotonicTime fullUntil;
    };

    struct Entry
    {
        NodeName name;
        Router router{RegionName("r"), DataCentreName("d")};
        LinkBudgets links{RegionName("r")};
        RetryBudget budget;
        ResendTable resends;
    };

    struct Connection
    {
        std::size_t call = 0;
        std::size_t target = 0;
        bool open = true;
    };

    struct Call
    {
        WorkKind work = WorkKind::Repeatable;
        std::size_t entry = 0;
        std::string request;
        bool resend = false;
        std::optional<CallFlow> flow; ///< Absent if the call joined another.
        std::optional<ResendKey> key;
        std::uint64_t wait = 0; ///< Names the event that the flow waits for.
        std::size_t connection = 0;
        std::set<AttemptId> attempts;
        std::vector<std::size_t> joined;
        std::string payload;
        int answers = 0;
        bool cancelled = false;
        std::optional<ErrorKind> kind; ///< Absent for a forwarded answer.
        std::optional<Ticket> ticket;
    };

    using Event = std::function<void()>;

    void resend(std::size_t call, std::size_t entry, bool known);
    void kill(std::size_t target);
    void restart(std::size_t target);
    void pause(std::size_t target);
    void drain(std::size_t target);
    /// The entry node misses this target, or knows an earlier life of it.
    void forgetTarget(std::size_t entry, std::size_t target);
    void rememberEarlierLife(std::size_t entry, std::size_t target);
    FlowEnvironment environment(std::size_t entry);
    Duration wire();
    void refreshView(std::size_t entry);
    void membershipChanged();
    std::size_t firstTarget(const Call &call);
    static std::optional<ResendKey> keyFor(const Call &call);
    void carryOut(std::size_t call, const FlowAction &action);
    void send(std::size_t call, const SendAttempt &attempt);
    void connectAndDeliver(std::size_t connection, const CallContext &context);
    void sendVoidRequest(std::size_t call, const SendVoidRequest &voidRequest);
    void finishCall(std::size_t call, std::optional<ErrorKind> kind);
    void tell(std::size_t call, std::optional<ErrorKind> kind, const std::string &payload);
    void failed(std::size_t connection, ErrorKind kind);
    void onTarget(std::size_t target, std::uint64_t life, Event action);
    void thaw(std::size_t target);
    void arrive(std::size_t target, const CallContext &context, std::size_t connection);
    void start(std::size_t target, const CallContext &context);
    void finish(std::size_t target, const CallContext &context);
    void disconnect(std::size_t connection);
    void answerAll(std::size_t target, const CallContext &context, std::optional<ErrorKind> kind,
                   const std::string &payload);
    void answer(std::size_t connection, std::optional<ErrorKind> kind, const std::string &payload, Allowance unused);
    void step(Step step, std::size_t connection);
    std::string checkCall(std::size_t number) const;

    Random m_random;
    RegistryLimits m_limits;
    MonotonicTime m_now{std::chrono::hours(1)};
    std::multimap<MonotonicTime, Event> m_events;
    std::array<Target, TargetCount> m_targets;
    std::array<Entry, EntryCount> m_entries;
    std::vector<Connection> m_connections;
    std::deque<Call> m_calls;
    std::map<AttemptId, int> m_runsByAttempt;
    std::map<std::string, int> m_runsByRequest;
    ServicePolicy m_policy;
    PolicySwitches m_switches;
    std::uint64_t m_nextWait = 1;
    int m_loseRequests = 0;
    int m_loseAnswers = 0;
    int m_loseVoids = 0;
    int m_copyRequests = 0;
    bool m_tooLong = false;
};

} // namespace Geraniumsail

#endif
