// The calling role: for each call that arrives at this node, which attempt goes where and what the caller is told.
//
// It finds the kind's policy, the deadline, the ledger and the priority of the call, joins resends with the same
// idempotency key, and drives one CallFlow per call. Pure decisions without I/O.
#ifndef GERANIUMSAIL_NODE_CALLINGPOLICY_H
#define GERANIUMSAIL_NODE_CALLINGPOLICY_H

#include "core/resendtable.h"
#include "node/metrics.h"
#include "node/targetpolicy.h"

#include <unordered_map>
#include <vector>

namespace Geraniumsail {

/// Who this node is.
struct NodeIdentity
{
    NodeName name;
    Incarnation incarnation;
    RegionName region;
    DataCentreName dataCentre;
};

class CallingPolicy
{
public:
    CallingPolicy(NodeIdentity self, const PolicySwitches &switches, const PolicyBook &book, Random &random,
                  Metrics &metrics);

    /// parent is null for a call from outside.
    void arrive(const CallInput &input, const ParentCall *parent, MonotonicTime now, const Answer<CallStep> &answer);
    void event(std::uint64_t call, const CallEvent &event, MonotonicTime now, const Answer<CallStep> &answer);

    /// Replaces the targets of one service.
    void setMembers(const ServiceName &service, const std::vector<RouteTarget> &members, MonotonicTime now);
    void setLinks(const std::vector<LinkPolicy> &links, std::size_t liveNodes, MonotonicTime now);
    void policyChanged(const ServiceName &service);
    void tick(MonotonicTime now);
    void fillStatus(PolicyStatus &status) const;

private:
    struct Service
    {
        Router router;
        RetryBudget budget;
        ServicePolicy policy;
        Duration expectedTime{0};
    };
    struct Call
    {
        CallFlow flow;
        ServiceName service;
        MonotonicTime deadline;
        MonotonicTime scopeEnd;
        std::optional<ResendKey> key;
        std::vector<std::pair<std::uint64_t, Answer<CallStep>>> joiners;
        std::shared_ptr<const StoredAnswer> copy;
        ErrorKind lastFailure = ErrorKind::Internal;
        MonotonicTime sentAt;
    };

    Service &service(const ServiceName &name);
    CallRequest requestFor(const CallInput &input, const ParentCall *parent, MonotonicTime now);
    bool joins(const CallInput &input, const ParentCall *parent, std::uint64_t number, CallRequest &request,
               std::optional<ResendKey> &key, MonotonicTime now, const Answer<CallStep> &answer);
    FlowEnvironment environmentFor(Service &service, MonotonicTime now);
    FlowAction dispatch(Call &call, const CallEvent &event, MonotonicTime now);
    void advance(std::uint64_t number, Call &call, FlowAction action, MonotonicTime now,
                 const Answer<CallStep> &answer);
    void finish(std::uint64_t number, const CallAction &action, MonotonicTime now);

    NodeIdentity m_self;
    PolicySwitches m_switches;
    const PolicyBook &m_book;
    Random &m_random;
    Metrics &m_metrics;
    LinkBudgets m_links;
    ResendTable m_resends;
    std::unordered_map<ServiceName, Service> m_services;
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::uint64_t m_nextCall = 1;
};

} // namespace Geraniumsail

#endif
