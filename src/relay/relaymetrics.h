// Counters and latency histograms of a relay node, by prometheus-cpp. Reason labels are those of the error table.
#ifndef GERANIUMSAIL_RELAY_RELAYMETRICS_H
#define GERANIUMSAIL_RELAY_RELAYMETRICS_H

#include "core/errorkind.h"
#include "core/routetable.h"
#include "core/workqueue.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace Geraniumsail {

/// Parts of the time that a request spends in the system.
enum class Stage {
    Queue, ///< In the target node's queue.
    Upstream, ///< At the upstream.
    Peer, ///< From sending to another node to its answer.
    Whole, ///< At the entry node, from the head of the request to the end of its answer's head.
};

class RelayMetrics
{
public:
    /// Routes with a histogram of their own; further ones share the label "other". The configuration may grow by
    /// hundreds of routes that carry nothing.
    static constexpr std::size_t MaxRoutes = 40;

    RelayMetrics();

    /// An answer to a caller: the upstream's (no reason) or one of the error table.
    void countAnswer(std::optional<ErrorKind> reason);
    /// Another attempt follows after this failure.
    void countRetry(ErrorKind reason);
    /// No attempt follows because the budget of the service is spent.
    void countRetryRefused();
    void countRootRefused();
    void countTargetRefusal(ErrorKind reason);
    void countReport(std::string_view verdict);
    void countStoreError(std::string_view operation, std::string_view error);
    void observe(Stage stage, Duration time);
    void observeRoute(const RouteName &route, Duration time);
    void setLoad(const QueueLoad &load, double admittedPart);
    void setConfigVersion(ConfigVersion version);
    void setDirectorySize(std::size_t size);
    void setDependencyUp(bool up);
    void setLogDropped(std::uint64_t lines);

    /// The text format of Prometheus.
    std::string text() const;

private:
    prometheus::Histogram &routeHistogram(const RouteName &route);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_reports;
    prometheus::Family<prometheus::Counter> &m_storeErrors;
    prometheus::Family<prometheus::Gauge> &m_gauges;
    prometheus::Family<prometheus::Histogram> &m_stages;
    prometheus::Family<prometheus::Histogram> &m_routes;
    std::map<RouteName, prometheus::Histogram *> m_routeHistograms;
    std::map<Stage, prometheus::Histogram *> m_stageHistograms;
};

} // namespace Geraniumsail

#endif
