// The policies in force by service, with the safe defaults where operators declared nothing.
#ifndef GERANIUMSAIL_NODE_POLICYBOOK_H
#define GERANIUMSAIL_NODE_POLICYBOOK_H

#include "core/policy.h"

#include <unordered_map>

namespace Geraniumsail {

class PolicyBook
{
public:
    void set(const ServicePolicy &policy);
    void remove(const ServiceName &service);
    bool knows(const ServiceName &service) const;
    /// The declared policy, or one with the defaults and no kinds.
    ServicePolicy policy(const ServiceName &service) const;
    /// The declared kind; for an unknown kind the declared kind "default" or, without one, the lowest rank, no share,
    /// no retries, 1 s, repeatable only for safe methods.
    KindPolicy kind(const ServiceName &service, const KindName &kind, bool safeMethod) const;

private:
    std::unordered_map<ServiceName, ServicePolicy> m_policies;
};

} // namespace Geraniumsail

#endif
