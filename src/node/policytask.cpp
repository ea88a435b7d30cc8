#include "node/policytask.h"

#include "net/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace Geraniumsail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t InboxSize = 4096;
/// Bounds how late an expired attempt leaves the queue; admission needs at most 100 ms.
constexpr Duration TickInterval = std::chrono::milliseconds(20);

} // namespace

template <typename T>
std::shared_ptr<PolicyTask::Reply<T>> PolicyTask::makeReply() const
{
    return std::make_shared<Reply<T>>(m_executor, 1);
}

template <typename Channel>
auto PolicyTask::answerTo(const std::shared_ptr<Channel> &reply)
{
    return [reply](auto value) {
        reply->try_send(boost::system::error_code(), std::move(value));
    };
}

PolicyTask::PolicyTask(const asio::any_io_executor &executor, NodeIdentity self, const PolicySwitches &switches,
                       std::uint64_t seed, Metrics &metrics)
    : m_executor(executor), m_inbox(executor, InboxSize), m_timer(executor), m_self(std::move(self)), m_random(seed),
      m_metrics(metrics), m_target(m_self.incarnation, switches, m_book, m_random, monotonicNow()),
      m_calling(m_self, switches, m_book, m_random, metrics)
{
}

void PolicyTask::start()
{
    asio::co_spawn(m_executor, handleMessages(), asio::detached);
    asio::co_spawn(m_executor, tickLoop(), asio::detached);
}

void PolicyTask::stop()
{
    m_stopped = true;
    m_inbox.close();
    m_timer.cancel();
}

asio::awaitable<void> PolicyTask::handleMessages()
{
    while (!m_stopped) {
        auto [error, message] = co_await m_inbox.async_receive(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return;
        }
        std::visit([this](auto &m) { on(m, monotonicNow()); }, message);
    }
}

asio::awaitable<void> PolicyTask::tickLoop()
{
    auto last = monotonicNow();
    while (!m_stopped) {
        m_timer.expires_after(TickInterval);
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto now = monotonicNow();
        if (now - last > PauseThreshold) {
            m_metrics.countPause();
            LOG(WARNING) << "event=paused ms=" << (now - last).count() / 1000;
        }
        last = now;
        m_target.tick(now);
        m_calling.tick(now);
    }
}

void PolicyTask::post(Message message)
{
    if (m_inbox.try_send(boost::system::error_code(), std::move(message))) {
        return;
    }
    // try_send leaves the message untouched if the channel is full.
    auto later = [](PolicyTask *task, Message waiting) -> asio::awaitable<void> {
        co_await task->m_inbox.async_send(boost::system::error_code(), std::move(waiting),
                                          asio::as_tuple(asio::use_awaitable));
    };
    // NOLINTNEXTLINE(bugprone-use-after-move)
    asio::co_spawn(m_executor, later(this, std::move(message)), asio::detached);
}

asio::awaitable<CallStep> PolicyTask::beginCall(CallInput input)
{
    const auto reply = makeReply<CallStep>();
    post(CallBegins{std::move(input), answerTo(reply)});
    co_return co_await reply->async_receive(asio::use_awaitable);
}

asio::awaitable<CallStep> PolicyTask::reportCall(std::uint64_t call, CallEvent event)
{
    const auto reply = makeReply<CallStep>();
    post(CallReport{call, std::move(event), answerTo(reply)});
    co_return co_await reply->async_receive(asio::use_awaitable);
}

asio::awaitable<AttemptDecision> PolicyTask::offerAttempt(CallContext context, ServiceName service)
{
    const auto reply = makeReply<AttemptDecision>();
    post(AttemptOffered{std::move(context), std::move(service), answerTo(reply)});
    co_return co_await reply->async_receive(asio::use_awaitable);
}

asio::awaitable<TargetReport> PolicyTask::endAttempt(AttemptId id, AttemptEnd end)
{
    const auto reply = makeReply<TargetReport>();
    post(AttemptEnded{std::move(id), std::move(end), answerTo(reply)});
    co_return co_await reply->async_receive(asio::use_awaitable);
}

asio::awaitable<VoidVerdict> PolicyTask::voidAttempt(CallContext context)
{
    const auto reply = makeReply<VoidVerdict>();
    post(VoidAsked{std::move(context), answerTo(reply)});
    co_return co_await reply->async_receive(asio::use_awaitable);
}

asio::awaitable<PolicyStatus> PolicyTask::status()
{
    const auto reply = makeReply<PolicyStatus>();
    post(StatusAsked{answerTo(reply)});
    co_return co_await reply->async_receive(asio::use_awaitable);
}

void PolicyTask::cancelAttempt(AttemptId id)
{
    post(AttemptCancelled{std::move(id)});
}

void PolicyTask::endAttemptLater(AttemptId id, AttemptEnd end)
{
    post(AttemptEnded{std::move(id), std::move(end), nullptr});
}

void PolicyTask::announce(Announcement announcement)
{
    post(std::move(announcement));
}

void PolicyTask::upstreamUnreachable()
{
    post(UpstreamUnreachable{});
}

void PolicyTask::setMembers(ServiceName service, std::vector<RouteTarget> members)
{
    post(MembersChanged{std::move(service), std::move(members)});
}

void PolicyTask::setPolicy(ServicePolicy policy)
{
    post(std::move(policy));
}

void PolicyTask::removePolicy(ServiceName service)
{
    post(PolicyRemoved{std::move(service)});
}

void PolicyTask::setLinks(std::vector<LinkPolicy> links, std::size_t liveNodes)
{
    post(LinksChanged{std::move(links), liveNodes});
}

void PolicyTask::setOwnTarget(Address peer, Address control)
{
    post(OwnTarget{std::move(peer), std::move(control)});
}

void PolicyTask::drain()
{
    post(DrainBegins{});
}

void PolicyTask::on(CallBegins &message, MonotonicTime now)
{
    const auto refuse = [&](ErrorKind kind) {
        const auto told = message.input.ticket ? unknownOutcomeKind(kind) : kind;
        message.answer(CallStep{0, AnswerWithError{told, std::nullopt}, now, false});
    };
    if (!message.input.parent) {
        if (m_target.draining()) {
            return refuse(ErrorKind::Draining);
        }
        return m_calling.arrive(message.input, nullptr, now, message.answer);
    }
    // A call for a request that has ended is work for nobody.
    const auto *parent = m_target.runningParent(*message.input.parent);
    if (parent == nullptr) {
        return refuse(ErrorKind::CancelledBeforeStart);
    }
    m_calling.arrive(message.input, parent, now, message.answer);
}

void PolicyTask::on(CallReport &message, MonotonicTime now)
{
    m_calling.event(message.call, message.event, now, message.answer);
}

void PolicyTask::on(AttemptOffered &message, MonotonicTime now)
{
    m_target.arrive(message.context, message.service, now, message.answer);
}

void PolicyTask::on(AttemptEnded &message, MonotonicTime now)
{
    const auto report = m_target.end(message.id, message.end, now);
    if (message.answer) {
        message.answer(report);
    }
}

void PolicyTask::on(AttemptCancelled &message, MonotonicTime now)
{
    m_target.cancel(message.id, now);
}

void PolicyTask::on(VoidAsked &message, MonotonicTime now)
{
    message.answer(m_target.voidAttempt(message.context, now));
}

void PolicyTask::on(StatusAsked &message, MonotonicTime now)
{
    PolicyStatus status;
    m_target.fillStatus(status, now);
    m_calling.fillStatus(status);
    message.answer(status);
}

void PolicyTask::on(Announcement &message, MonotonicTime now)
{
    const auto before = m_target.upstream();
    m_target.announce(message, now);
    if (before && before->service != message.service) {
        refreshTargets(before->service, now);
    }
    refreshTargets(message.service, now);
}

void PolicyTask::on(UpstreamUnreachable &, MonotonicTime now)
{
    m_target.upstreamUnreachable(now);
}

void PolicyTask::on(MembersChanged &message, MonotonicTime now)
{
    m_members[message.service] = std::move(message.members);
    refreshTargets(message.service, now);
}

void PolicyTask::on(ServicePolicy &message, MonotonicTime now)
{
    m_book.set(message);
    m_calling.policyChanged(message.service);
    m_target.policyChanged(now);
}

void PolicyTask::on(PolicyRemoved &message, MonotonicTime now)
{
    m_book.remove(message.service);
    m_calling.policyChanged(message.service);
    m_target.policyChanged(now);
}

void PolicyTask::on(LinksChanged &message, MonotonicTime now)
{
    m_calling.setLinks(message.links, message.liveNodes, now);
}

void PolicyTask::on(OwnTarget &message, MonotonicTime now)
{
    m_ownTarget = message;
    if (m_target.upstream()) {
        refreshTargets(m_target.upstream()->service, now);
    }
}

void PolicyTask::on(DrainBegins &, MonotonicTime now)
{
    m_target.drain(now);
    if (m_target.upstream()) {
        refreshTargets(m_target.upstream()->service, now);
    }
}

/// The own upstream is known exactly, so it does not wait for membership.
void PolicyTask::refreshTargets(const ServiceName &service, MonotonicTime now)
{
    auto targets = m_members[service];
    std::erase_if(targets, [this](const RouteTarget &target) { return target.node == m_self.name; });
    const auto &upstream = m_target.upstream();
    if (upstream && upstream->service == service) {
        PolicyStatus status;
        m_target.fillStatus(status, now);
        RouteTarget own;
        own.node = m_self.name;
        own.incarnation = m_self.incarnation;
        own.epoch = status.epoch;
        own.region = m_self.region;
        own.dataCentre = m_self.dataCentre;
        own.peer = m_ownTarget.peer;
        own.control = m_ownTarget.control;
        own.usable = !upstream->draining && !m_target.draining();
        own.coldStart = upstream->coldStart;
        targets.push_back(std::move(own));
    }
    m_calling.setMembers(service, targets, now);
}

} // namespace Geraniumsail
