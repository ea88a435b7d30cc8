// Prometheus counters, gauges and latency histograms of a relay node. Reason labels are those of the error table.
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

/// Stages of a request for which latency is measured.
enum class Stage {
    Queue, ///< Waiting in the queue of the target node.
    Upstream, ///< Processing by the upstream.
    Peer, ///< From sending a request to another node to receiving its response.
    Total, ///< At the entry node, from the request header to the end of the response header.
};

class RelayMetrics
{
public:
    /// Limit on routes with their own histogram; further routes share the label "other". A configuration may contain
    /// hundreds of routes without traffic.
    static constexpr std::size_t MaxRouteHistograms = 40;

    RelayMetrics();

    /// Counts an answer to a caller: from the upstream if there is no reason, otherwise from the error table.
    void countAnswer(std::optional<ErrorKind> reason);
    /// Counts a further attempt after the given failure.
    void countRetry(ErrorKind reason);
    /// Counts an attempt that is not made because the retry budget of the service is exhausted.
    void countRetryRefusal();
    void countRootRefusal();
    void countTargetRefusal(ErrorKind reason);
    void countUpstreamReport(std::string_view verdict);
    void countStoreCall(std::string_view operation);
    void countStoreError(std::string_view operation, std::string_view error);
    void countStoreRead(std::string_view operation, std::string_view verdict);
    /// Counts an exception that a task of the node did not handle.
    void countTaskFailure(std::string_view task);
    void countInvalidConfiguration();
    void observe(Stage stage, Duration time);
    void observeRoute(const RouteName &route, Duration time);
    void setLoad(const QueueLoad &load, double admittedFraction);
    void setConfigVersion(ConfigVersion version);
    void setDirectorySize(std::size_t size);
    void setStoreUp(bool up);
    void setDroppedLogLines(std::uint64_t lines);

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    prometheus::Histogram &routeHistogram(const RouteName &route);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_reports;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Counter> &m_storeErrors;
    prometheus::Family<prometheus::Counter> &m_storeReads;
    prometheus::Family<prometheus::Counter> &m_taskFailures;
    prometheus::Family<prometheus::Counter> &m_invalidConfigurations;
    prometheus::Family<prometheus::Gauge> &m_gauges;
    prometheus::Family<prometheus::Histogram> &m_stages;
    prometheus::Family<prometheus::Histogram> &m_routes;
    std::map<RouteName, prometheus::Histogram *> m_routeHistograms;
    std::map<Stage, prometheus::Histogram *> m_stageHistograms;
};

} // namespace Geraniumsail

#endif
