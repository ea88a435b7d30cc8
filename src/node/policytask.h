// Owns every decision about calls: admission, attempts, ledgers and routing.
//
// Connection coroutines send typed messages through one channel and wait for the decision. The task handles one message
// at a time and never waits inside, so its state needs no locks and is seen by nobody else.
#ifndef GERANIUMSAIL_NODE_POLICYTASK_H
#define GERANIUMSAIL_NODE_POLICYTASK_H

#include "node/callingpolicy.h"
#include "node/policybook.h"
#include "node/targetpolicy.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Geraniumsail {

/// A gap of the tick over this time means that the process did not run.
constexpr Duration PauseThreshold = std::chrono::seconds(2);

class PolicyTask
{
public:
    PolicyTask(const boost::asio::any_io_executor &executor, NodeIdentity self, const PolicySwitches &switches,
               std::uint64_t seed, Metrics &metrics);
    PolicyTask(const PolicyTask &) = delete;
    PolicyTask &operator=(const PolicyTask &) = delete;
    ~PolicyTask() = default;

    /// Handles messages until stop().
    void start();
    void stop();

    boost::asio::awaitable<CallStep> beginCall(CallInput input);
    boost::asio::awaitable<CallStep> reportCall(std::uint64_t call, CallEvent event);
    boost::asio::awaitable<AttemptDecision> offerAttempt(CallContext context, ServiceName service);
    boost::asio::awaitable<TargetReport> endAttempt(AttemptId id, AttemptEnd end);
    boost::asio::awaitable<VoidVerdict> voidAttempt(CallContext context);
    boost::asio::awaitable<PolicyStatus> status();

    /// Without an answer.
    void cancelAttempt(AttemptId id);
    void endAttemptLater(AttemptId id, AttemptEnd end);
    void announce(Announcement announcement);
    void upstreamUnreachable();
    /// Targets of one service; the own upstream is added by the task.
    void setMembers(ServiceName service, std::vector<RouteTarget> members);
    void setPolicy(ServicePolicy policy);
    void removePolicy(ServiceName service);
    void setLinks(std::vector<LinkPolicy> links, std::size_t liveNodes);
    void setOwnTarget(Address peer, Address control);
    void drain();

private:
    struct CallBegins
    {
        CallInput input;
        Answer<CallStep> answer;
    };
    struct CallReport
    {
        std::uint64_t call = 0;
        CallEvent event;
        Answer<CallStep> answer;
    };
    struct AttemptOffered
    {
        CallContext context;
        ServiceName service;
        Answer<AttemptDecision> answer;
    };
    struct AttemptEnded
    {
        AttemptId id;
        AttemptEnd end;
        Answer<TargetReport> answer; ///< May be empty.
    };
    struct AttemptCancelled
    {
        AttemptId id;
    };
    struct VoidAsked
    {
        CallContext context;
        Answer<VoidVerdict> answer;
    };
    struct StatusAsked
    {
        Answer<PolicyStatus> answer;
    };
    struct UpstreamUnreachable
    {
    };
    struct MembersChanged
    {
        ServiceName service;
        std::vector<RouteTarget> members;
    };
    struct PolicyRemoved
    {
        ServiceName service;
    };
    struct LinksChanged
    {
        std::vector<LinkPolicy> links;
        std::size_t liveNodes = 1;
    };
    struct OwnTarget
    {
        Address peer;
        Address control;
    };
    struct DrainBegins
    {
    };
    using Message = std::variant<CallBegins, CallReport, AttemptOffered, AttemptEnded, AttemptCancelled, VoidAsked,
                                 StatusAsked, Announcement, UpstreamUnreachable, MembersChanged, ServicePolicy,
                                 PolicyRemoved, LinksChanged, OwnTarget, DrainBegins>;
    using Inbox = boost::asio::experimental::channel<void(boost::system::error_code, Message)>;

    template <typename T>
    using Reply = boost::asio::experimental::channel<void(boost::system::error_code, T)>;

    boost::asio::awaitable<void> handleMessages();
    boost::asio::awaitable<void> tickLoop();
    void post(Message message);
    template <typename T>
    std::shared_ptr<Reply<T>> makeReply() const;
    template <typename Channel>
    static auto answerTo(const std::shared_ptr<Channel> &reply);

    void on(CallBegins &message, MonotonicTime now);
    void on(CallReport &message, MonotonicTime now);
    void on(AttemptOffered &message, MonotonicTime now);
    void on(AttemptEnded &message, MonotonicTime now);
    void on(AttemptCancelled &message, MonotonicTime now);
    void on(VoidAsked &message, MonotonicTime now);
    void on(StatusAsked &message, MonotonicTime now);
    void on(Announcement &message, MonotonicTime now);
    void on(UpstreamUnreachable &message, MonotonicTime now);
    void on(MembersChanged &message, MonotonicTime now);
    void on(ServicePolicy &message, MonotonicTime now);
    void on(PolicyRemoved &message, MonotonicTime now);
    void on(LinksChanged &message, MonotonicTime now);
    void on(OwnTarget &message, MonotonicTime now);
    void on(DrainBegins &message, MonotonicTime now);
    void refreshTargets(const ServiceName &service, MonotonicTime now);

    boost::asio::any_io_executor m_executor;
    Inbox m_inbox;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
    NodeIdentity m_self;
    OwnTarget m_ownTarget;
    Random m_random;
    Metrics &m_metrics;
    PolicyBook m_book;
    TargetPolicy m_target;
    CallingPolicy m_calling;
    std::unordered_map<ServiceName, std::vector<RouteTarget>> m_members;
};

} // namespace Geraniumsail

#endif
