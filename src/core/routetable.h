// Routes in force: which service runs a request, and what its operator allows.
//
// A route is selected by host and by the longest path prefix. A table is immutable once built; a newer version
// replaces it whole, so a request that started under one version keeps it to its end.
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

/// One destination of a route with its part of the requests.
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
    Duration timeout{}; ///< Longest wait for the final answer.
    Duration latencyTarget{};
    int maxAttempts = 1; ///< Upstreams that one request may be sent to.
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
    /// The rule with the longest prefix of path among those of host, or null. A port in host is ignored. The query, if
    /// path has one, does not take part. The rule lives as long as the table.
    const RouteRule *match(std::string_view host, std::string_view path) const;
    const ServiceRule *service(const ServiceName &name) const;

private:
    ConfigVersion m_version{0};
    std::map<std::string, std::map<std::string, RouteRule, std::less<>>, std::less<>> m_hosts;
    std::map<ServiceName, ServiceRule> m_services;
};

/// Distributes the requests of each route over its destinations in proportion to their weights.
///
/// Smooth weighted round robin: over any run of requests each share is off by less than one request, where a random
/// choice would be off by several in a hundred.
class SplitPicker
{
public:
    const ServiceName &pick(const RouteRule &rule);

private:
    struct Position
    {
        std::vector<WeightedService> destinations; ///< For which the credits were earned.
        std::vector<double> credits;
    };
    std::map<RouteName, Position> m_positions;
};

} // namespace Geraniumsail

#endif
