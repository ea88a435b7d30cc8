#include "relay/relaymetrics.h"

#include <prometheus/text_serializer.h>

namespace Geraniumsail {

namespace {

/// Upper bounds of the latency buckets in seconds, from a local hop to the longest route timeouts.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                                             0.3,   0.5,   0.8,  1.2,  2.0,  4.0, 8.0};
constexpr double MicrosecondsPerSecond = 1e6;

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

std::string stageLabel(Stage stage)
{
    switch (stage) {
    case Stage::Queue:
        return "queue";
    case Stage::Upstream:
        return "upstream";
    case Stage::Peer:
        return "peer";
    case Stage::Total:
        return "whole";
    }
    return "unknown";
}

template <typename Builder>
auto &registerFamily(prometheus::Registry &registry, const char *name, const char *help, Builder builder)
{
    return builder.Name(name).Help(help).Register(registry);
}

} // namespace

RelayMetrics::RelayMetrics()
    : m_answers(registerFamily(m_registry, "geraniumsail_answers_total", "Answers to callers by reason",
                               prometheus::BuildCounter())),
      m_retries(registerFamily(m_registry, "geraniumsail_retries_total", "Further attempts by the failure before them",
                               prometheus::BuildCounter())),
      m_refusals(registerFamily(m_registry, "geraniumsail_refusals_total", "Refused requests by place and reason",
                                prometheus::BuildCounter())),
      m_reports(registerFamily(m_registry, "geraniumsail_upstream_reports_total", "Reports of the upstream by verdict",
                               prometheus::BuildCounter())),
      m_storeCalls(registerFamily(m_registry, "geraniumsail_store_calls_total",
                                  "Calls to the platform's store by operation", prometheus::BuildCounter())),
      m_storeErrors(registerFamily(m_registry, "geraniumsail_store_errors_total",
                                   "Failed calls to the platform's store", prometheus::BuildCounter())),
      m_storeReads(registerFamily(m_registry, "geraniumsail_store_reads_total",
                                  "Reads of the whole content of the platform's store", prometheus::BuildCounter())),
      m_taskFailures(registerFamily(m_registry, "geraniumsail_task_failures_total",
                                    "Exceptions that a task of the node did not handle", prometheus::BuildCounter())),
      m_invalidConfigurations(registerFamily(m_registry, "geraniumsail_invalid_configurations_total",
                                             "Configurations that were rejected as a whole",
                                             prometheus::BuildCounter())),
      m_gauges(registerFamily(m_registry, "geraniumsail_state", "Present state of the node", prometheus::BuildGauge())),
      m_stages(registerFamily(m_registry, "geraniumsail_stage_seconds", "Time by stage", prometheus::BuildHistogram())),
      m_routes(registerFamily(m_registry, "geraniumsail_route_seconds", "Time at the entry node by route",
                              prometheus::BuildHistogram()))
{
    for (const auto stage : {Stage::Queue, Stage::Upstream, Stage::Peer, Stage::Total}) {
        m_stageHistograms[stage] = &m_stages.Add({{"stage", stageLabel(stage)}}, LatencyBuckets);
    }
}

void RelayMetrics::countAnswer(std::optional<ErrorKind> reason)
{
    m_answers.Add({{"reason", reason ? std::string(errorRow(*reason).label) : "answered"}}).Increment();
}

void RelayMetrics::countRetry(ErrorKind reason)
{
    m_retries.Add({{"reason", std::string(errorRow(reason).label)}}).Increment();
}

void RelayMetrics::countRetryRefusal()
{
    m_refusals.Add({{"place", "retry"}, {"reason", "budget"}}).Increment();
}

void RelayMetrics::countRootRefusal()
{
    m_refusals.Add({{"place", "entry"}, {"reason", "admitted-part"}}).Increment();
}

void RelayMetrics::countTargetRefusal(ErrorKind reason)
{
    m_refusals.Add({{"place", "target"}, {"reason", std::string(errorRow(reason).label)}}).Increment();
}

void RelayMetrics::countUpstreamReport(std::string_view verdict)
{
    m_reports.Add({{"verdict", std::string(verdict)}}).Increment();
}

void RelayMetrics::countStoreCall(std::string_view operation)
{
    m_storeCalls.Add({{"operation", std::string(operation)}}).Increment();
}

void RelayMetrics::countStoreError(std::string_view operation, std::string_view error)
{
    m_storeErrors.Add({{"operation", std::string(operation)}, {"error", std::string(error)}}).Increment();
}

void RelayMetrics::countStoreRead(std::string_view operation, std::string_view verdict)
{
    m_storeReads.Add({{"operation", std::string(operation)}, {"verdict", std::string(verdict)}}).Increment();
}

void RelayMetrics::countTaskFailure(std::string_view task)
{
    m_taskFailures.Add({{"task", std::string(task)}}).Increment();
}

void RelayMetrics::countInvalidConfiguration()
{
    m_invalidConfigurations.Add({}).Increment();
}

void RelayMetrics::observe(Stage stage, Duration time)
{
    m_stageHistograms.at(stage)->Observe(toSeconds(time));
}

prometheus::Histogram &RelayMetrics::routeHistogram(const RouteName &route)
{
    const auto found = m_routeHistograms.find(route);
    if (found != m_routeHistograms.end()) {
        return *found->second;
    }
    const auto label = m_routeHistograms.size() < MaxRouteHistograms ? route.value() : "other";
    auto &histogram = m_routes.Add({{"route", label}}, LatencyBuckets);
    if (m_routeHistograms.size() < MaxRouteHistograms) {
        m_routeHistograms.emplace(route, &histogram);
    }
    return histogram;
}

void RelayMetrics::observeRoute(const RouteName &route, Duration time)
{
    routeHistogram(route).Observe(toSeconds(time));
}

void RelayMetrics::setLoad(const QueueLoad &load, double admittedFraction)
{
    m_gauges.Add({{"value", "running"}}).Set(load.running);
    m_gauges.Add({{"value", "waiting"}}).Set(load.waiting);
    m_gauges.Add({{"value", "limit"}}).Set(load.limit);
    m_gauges.Add({{"value", "service_seconds"}}).Set(toSeconds(load.serviceTime));
    m_gauges.Add({{"value", "admitted_part"}}).Set(admittedFraction);
}

void RelayMetrics::setConfigVersion(ConfigVersion version)
{
    m_gauges.Add({{"value", "config_version"}}).Set(static_cast<double>(version.value()));
}

void RelayMetrics::setDirectorySize(std::size_t size)
{
    m_gauges.Add({{"value", "directory_entries"}}).Set(static_cast<double>(size));
}

void RelayMetrics::setStoreUp(bool up)
{
    m_gauges.Add({{"value", "store_up"}}).Set(up ? 1 : 0);
}

void RelayMetrics::setDroppedLogLines(std::uint64_t lines)
{
    m_gauges.Add({{"value", "log_lines_dropped"}}).Set(static_cast<double>(lines));
}

std::string RelayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace Geraniumsail
