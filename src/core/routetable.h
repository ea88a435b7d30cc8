// Routes of the current configuration: which service runs a request, and under which rules.
//
// A route is selected by host and by longest path prefix. A table is immutable once built; a newer version replaces it
// as a whole, so a request that started under one version keeps it to its end.
#ifndef GERANIUMSAIL_CORE_ROUTETABLE_H
#define GERANIUMSAIL_CORE_ROUTETABLE_H

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Geraniumsail {

using RouteName = StrongString<struct RouteNameTag>;

/// Whether a request may be run a second time.
enum class Repeatability {
    Idempotent,
    AtMostOnce,
};

/// One destination of a route and its weight in the traffic split.
struct WeightedService
{
    ServiceName service;
    double weight = 1;
};

struct RouteRule
{
    RouteName name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<WeightedService> destinations; ///< At least one; weights are positive.
    Repeatability repeatability = Repeatability::AtMostOnce;
    Duration timeout{}; ///< Maximum time until the final response.
    Duration latencyTarget{};
    int maxAttempts = 1; ///< Maximum number of upstreams that one request is sent to.
    Rank rank = LeastUrgentRank;
};

/// What the configuration declares about a service.
struct ServiceRule
{
    ServiceName service;
    Connections maxConnections{0};
};

class RouteTable
{
public:
    RouteTable() = default;
    RouteTable(ConfigVersion version, std::vector<RouteRule> rules, std::vector<ServiceRule> services);

    ConfigVersion version() const
    {
        return m_version;
    }
    std::size_t size() const;
    /// The rule of the host with the longest matching prefix of path, or null. Ignores a port in host and a query or
    /// fragment in path. The pointer is valid as long as the table.
    const RouteRule *match(std::string_view host, std::string_view path) const;
    const ServiceRule *service(const ServiceName &name) const;

private:
    ConfigVersion m_version{0};
    std::map<std::string, std::map<std::string, RouteRule, std::less<>>, std::less<>> m_hosts;
    std::map<ServiceName, ServiceRule> m_services;
};

/// Distributes the requests of each route over its destinations in proportion to their weights.
///
/// Uses smooth weighted round robin: over any run of requests each share is off by less than one request. A random
/// choice would be off by several in a hundred.
class TrafficSplitter
{
public:
    const ServiceName &pick(const RouteRule &rule);

private:
    struct SplitState
    {
        std::vector<WeightedService> destinations; ///< The credits are reset when these change.
        std::vector<double> credits; ///< Current weight of each destination in the round robin.
    };
    std::map<RouteName, SplitState> m_states;
};

} // namespace Geraniumsail

#endif
