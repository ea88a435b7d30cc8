// Discrete-event simulation of calls: three upstreams and their attempt registries, two entry nodes and network delays.
//
// inject() triggers a fault. After a run, violations() checks the invariants:
//   I1: a call sends at most one attempt plus its allowed retries; a call marked as a resend is not retried.
//   I3: an answer belongs to the request of its call.
//   I4: if the caller was told that the work did not run, none of the attempts of the call ran.
//   I5: an attempt, and unrepeatable work as a whole, runs at most once.
#ifndef GERANIUMSAIL_TESTS_CORE_CALLSIMULATION_H
#define GERANIUMSAIL_TESTS_CORE_CALLSIMULATION_H

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
    Child, ///< Unrepeatable, from an upstream; the entry node creates the tickets.
    Ticketed, ///< Unrepeatable, from a caller with a ticket of two targets.
};

/// Progress of an attempt of the call under test.
enum class Step {
    BeforeSend,
    Sent,
    Queued,
    Running,
    Answered,
};

/// Faults that can be injected into the target or the call under test.
enum class Fault {
    TargetKilled,
    TargetRestarted,
    TargetPaused,
    RequestLost,
    AnswerLost,
    LinkToTargetCut,
    LinkFromTargetCut,
    TargetSlow,
    TargetDrains,
    ColdStart,
    UpstreamSheds,
    ResendSameNode,
    ResendOtherNodeMissing,
    ResendOtherNodeStale,
    CallerCancels,
    EpochExpiry,
    DelayedDuplicate,
    VoidLost,
};

constexpr std::size_t FaultCount = static_cast<std::size_t>(Fault::VoidLost) + 1;

class CallSimulation
{
public:
    static constexpr std::size_t TargetCount = 3;
    static constexpr std::size_t EntryCount = 2;
    static constexpr std::uint32_t KindRetries = 2;

    explicit CallSimulation(std::uint64_t seed, RegistryLimits limits = {});

    // Actions of callers
    /// Requests a ticket from the entry node, as a caller does.
    std::optional<Ticket> fetchTicket(std::size_t entry);
    /// Starts a call and returns its number. Calls with the same request text are for the same work.
    std::size_t call(WorkKind work, std::size_t entry, const std::string &request, const std::optional<Ticket> &ticket,
                     bool resend);
    void cancel(std::size_t call);
    /// Schedules a function to run after the delay.
    void after(Duration delay, std::function<void()> action);
    /// Processes events until none is left.
    void run();
    /// Called whenever an attempt of any call reaches a step at a target.
    std::function<void(Step, std::size_t call, std::size_t target)> onStep;

    /// Triggers a fault now.
    void inject(Fault fault, std::size_t call, std::size_t target);
    /// Advances all clocks at once without processing events, as if all processes had been suspended.
    void advanceClock(Duration time);

    // Results
    /// Returns a description of each violated invariant. Also checks that each call was answered exactly once and that
    /// the simulation ended.
    std::vector<std::string> violations() const;
    /// Returns the result that the caller received: "ran", the label of the error kind, or "nothing" without an answer.
    std::string result(std::size_t call) const;
    std::optional<Outcome> outcome(std::size_t call) const;
    std::size_t callCount() const;
    int runs(const std::string &request) const;
    const std::optional<Ticket> &ticket(std::size_t call) const;

private:
    struct Target
    {
        NodeName name;
        bool alive = true;
        std::uint64_t incarnation = 1;
        std::optional<AttemptRegistry> registry;
        std::map<AttemptId, std::vector<std::size_t>> waiting; ///< Connections that wait for the answer of an attempt.
        std::deque<std::function<void()>> deferred;
        bool draining = false;
        bool slow = false;
        int shed = 0;
        MonotonicTime pausedUntil;
        MonotonicTime linkToTargetCutUntil;
        MonotonicTime linkFromTargetCutUntil;
        MonotonicTime overloadedUntil;
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
        std::optional<CallFlow> flow; ///< Not set if the call joined another call.
        std::optional<ResendKey> key;
        std::uint64_t awaitedEventId = 0; ///< Id of the event that the flow waits for.
        std::size_t connection = 0;
        std::set<AttemptId> attempts;
        std::vector<std::size_t> joined;
        std::string payload;
        int answers = 0;
        bool cancelled = false;
        std::optional<ErrorKind> kind; ///< Not set for a forwarded answer.
        std::optional<Ticket> ticket;
    };

    using Event = std::function<void()>;

    void resend(std::size_t call, std::size_t entry, bool markedAsResend);
    void kill(std::size_t target);
    void restart(std::size_t target);
    void pause(std::size_t target);
    void drain(std::size_t target);
    /// Removes the target from the entry node's members.
    void forgetTarget(std::size_t entry, std::size_t target);
    /// Replaces the incarnation of the target in the entry node's members with an outdated one.
    void restorePreviousIncarnation(std::size_t entry, std::size_t target);
    FlowEnvironment environment(std::size_t entry);
    Duration networkDelay();
    void updateMembers(std::size_t entry);
    void scheduleMemberUpdates();
    std::size_t firstTarget(const Call &call);
    static std::optional<ResendKey> keyFor(const Call &call);
    void execute(std::size_t call, const FlowAction &action);
    void send(std::size_t call, const SendAttempt &attempt);
    void connectAndDeliver(std::size_t connection, const CallContext &context);
    void sendVoidRequest(std::size_t call, const SendVoidRequest &voidRequest);
    void finishCall(std::size_t call, std::optional<ErrorKind> kind);
    void deliverResult(std::size_t call, std::optional<ErrorKind> kind, const std::string &payload);
    void attemptFailed(std::size_t connection, ErrorKind kind);
    void runOnTarget(std::size_t target, std::uint64_t incarnation, Event action);
    void resume(std::size_t target);
    void receive(std::size_t target, const CallContext &context, std::size_t connection);
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
    std::uint64_t m_nextEventId = 1;
    int m_loseRequests = 0;
    int m_loseAnswers = 0;
    int m_loseVoids = 0;
    int m_duplicateRequests = 0;
    bool m_eventLimitExceeded = false;
};

} // namespace Geraniumsail

#endif
