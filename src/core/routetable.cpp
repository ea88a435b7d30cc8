#include "core/routetable.h"

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace {

bool sameDestinations(const std::vector<WeightedService> &left, const std::vector<WeightedService> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const WeightedService &a, const WeightedService &b) {
                          return a.service == b.service && a.weight == b.weight;
                      });
}

} // namespace

RouteTable::RouteTable(ConfigVersion version, std::vector<RouteRule> rules, std::vector<ServiceRule> services)
    : m_version(version)
{
    for (auto &rule : rules) {
        auto &prefixes = m_hosts[rule.host];
        auto prefix = rule.prefix;
        prefixes.insert_or_assign(std::move(prefix), std::move(rule));
    }
    for (auto &service : services) {
        auto name = service.service;
        m_services.insert_or_assign(std::move(name), std::move(service));
    }
}

std::size_t RouteTable::size() const
{
    std::size_t count = 0;
    for (const auto &[host, prefixes] : m_hosts) {
        count += prefixes.size();
    }
    return count;
}

const RouteRule *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto rules = m_hosts.find(host.substr(0, host.find(':')));
    if (rules == m_hosts.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find_first_of("?#"));
    // Prefixes end with a slash, so only the prefixes of path that end with one are looked up.
    while (true) {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto rule = rules->second.find(path.substr(0, slash + 1));
        if (rule != rules->second.end()) {
            return &rule->second;
        }
        path = path.substr(0, slash);
    }
}

const ServiceRule *RouteTable::service(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const ServiceName &TrafficSplitter::pick(const RouteRule &rule)
{
    if (rule.destinations.size() == 1) {
        return rule.destinations.front().service;
    }
    auto &state = m_states[rule.name];
    if (!sameDestinations(state.destinations, rule.destinations)) {
        state.destinations = rule.destinations;
        state.credits.assign(rule.destinations.size(), 0.0);
    }
    double total = 0;
    for (std::size_t i = 0; i < rule.destinations.size(); ++i) {
        state.credits[i] += rule.destinations[i].weight;
        total += rule.destinations[i].weight;
    }
    const auto best = std::max_element(state.credits.begin(), state.credits.end());
    *best -= total;
    return rule.destinations[static_cast<std::size_t>(best - state.credits.begin())].service;
}

} // namespace Geraniumsail
