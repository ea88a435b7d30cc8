#include "core/controlcore.h"

#include <iterator>
#include <utility>

namespace Geraniumsail {

namespace {

void append(std::vector<OutgoingRequest> &out, std::vector<OutgoingRequest> more)
{
    out.insert(out.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

} // namespace

ControlCore::ControlCore(MemberRecord self, std::vector<Address> seeds, MonotonicTime now, Random &random)
    : m_membership(std::move(self), std::move(seeds), now, random)
{
}

void ControlCore::setConfigDigests(std::vector<OutgoingRequest> &out) const
{
    for (auto &request : out) {
        if (auto *sync = std::get_if<SyncMessage>(&request.request)) {
            sync->config = m_config.view().digest().all;
        }
    }
}

std::vector<OutgoingRequest> ControlCore::tick(MonotonicTime now, WallTime wall, Random &random)
{
    auto out = m_membership.tick(now, wall, random);
    append(out, m_config.tick(m_membership, now));
    setConfigDigests(out);
    return out;
}

ControlCore::HandledRequest ControlCore::onRequest(const ControlRequest &request, MonotonicTime now, WallTime wall,
                                                   Random &random)
{
    HandledRequest handled;
    if (const auto *sync = std::get_if<SyncMessage>(&request)) {
        if (auto reply = m_membership.onSync(*sync, now, wall)) {
            m_config.fillReply(*sync, *reply);
            handled.reply = std::move(*reply);
        }
    } else if (const auto *fetch = std::get_if<FetchMembers>(&request)) {
        handled.reply = m_membership.onFetchMembers(*fetch);
    } else if (const auto *push = std::get_if<PushConfig>(&request)) {
        handled.requests = m_config.apply(push->documents, m_membership, wall, random);
        handled.reply = PushReply{push->documents.size()};
    } else if (const auto *config = std::get_if<FetchConfig>(&request)) {
        handled.reply = m_config.onFetch(*config);
    }
    return handled;
}

std::vector<OutgoingRequest> ControlCore::onReply(const OutgoingRequest &sent, const ControlReply &reply,
                                                  MonotonicTime now, WallTime wall, Random &random)
{
    std::vector<OutgoingRequest> out;
    if (const auto *sync = std::get_if<SyncReply>(&reply)) {
        m_membership.onSyncReply(sent, *sync, now, wall);
        m_config.onSyncReply(sent, *sync, m_membership.self().dataCentre);
    } else if (const auto *probe = std::get_if<ProbeReply>(&reply)) {
        m_membership.onIndirectProbeResult(sent, probe->reached, now);
    } else if (const auto *members = std::get_if<MembersReply>(&reply)) {
        m_membership.onMembersReply(sent, *members, now);
    } else if (const auto *config = std::get_if<ConfigReply>(&reply)) {
        append(out, m_config.onFetchReply(sent, *config, m_membership, wall, random));
    }
    return out;
}

std::vector<OutgoingRequest> ControlCore::onFailed(const OutgoingRequest &sent, MonotonicTime now, WallTime wall,
                                                   Random &random)
{
    std::vector<OutgoingRequest> out;
    if (std::holds_alternative<SyncMessage>(sent.request)) {
        append(out, m_membership.onSyncFailed(sent, now, wall, random));
    } else if (std::holds_alternative<IndirectProbe>(sent.request)) {
        m_membership.onIndirectProbeResult(sent, std::nullopt, now);
    } else if (std::holds_alternative<FetchMembers>(sent.request)) {
        m_membership.onMembersFailed(sent);
    } else if (std::holds_alternative<FetchConfig>(sent.request)) {
        m_config.onFetchFailed();
    }
    return out;
}

std::vector<OutgoingRequest> ControlCore::applyDocuments(const std::vector<ConfigDocument> &documents, WallTime wall,
                                                         Random &random)
{
    return m_config.apply(documents, m_membership, wall, random);
}

std::vector<OutgoingRequest> ControlCore::leave(MonotonicTime now, WallTime wall, Random &random)
{
    auto out = m_membership.leave(now, wall, random);
    setConfigDigests(out);
    return out;
}

SyncMessage ControlCore::makeProbe(const NodeName &target, WallTime wall)
{
    auto message = m_membership.makeProbe(target, wall);
    message.config = m_config.view().digest().all;
    return message;
}

Membership &ControlCore::membership()
{
    return m_membership;
}

const Membership &ControlCore::membership() const
{
    return m_membership;
}

const ConfigView &ControlCore::config() const
{
    return m_config.view();
}

ConfigGossip &ControlCore::configGossip()
{
    return m_config;
}

} // namespace Geraniumsail
