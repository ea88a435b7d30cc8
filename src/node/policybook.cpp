#include "node/policybook.h"

#include <algorithm>

namespace Geraniumsail {

void PolicyBook::set(const ServicePolicy &policy)
{
    m_policies[policy.service] = policy;
}

void PolicyBook::remove(const ServiceName &service)
{
    m_policies.erase(service);
}

bool PolicyBook::knows(const ServiceName &service) const
{
    return m_policies.contains(service);
}

ServicePolicy PolicyBook::policy(const ServiceName &service) const
{
    if (const auto found = m_policies.find(service); found != m_policies.end()) {
        return found->second;
    }
    ServicePolicy defaults;
    defaults.service = service;
    return defaults;
}

KindPolicy PolicyBook::kind(const ServiceName &service, const KindName &kind, bool safeMethod) const
{
    const KindName defaultName("default");
    KindPolicy fallback;
    fallback.name = defaultName;
    fallback.repeatable = safeMethod;
    const auto found = m_policies.find(service);
    if (found == m_policies.end()) {
        return fallback;
    }
    for (const auto &name : {kind, defaultName}) {
        const auto &kinds = found->second.kinds;
        const auto match = std::find_if(kinds.begin(), kinds.end(), [&](const auto &k) { return k.name == name; });
        if (match != kinds.end()) {
            return *match;
        }
    }
    return fallback;
}

} // namespace Geraniumsail
