// Counters of the node, by prometheus-cpp. Label values of reasons are those of the error table.
#ifndef GERANIUMSAIL_NODE_METRICS_H
#define GERANIUMSAIL_NODE_METRICS_H

#include "core/errorkind.h"
#include "core/retrypolicy.h"
#include "node/policymessages.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <string>

namespace Geraniumsail {

/// Which listener gave an answer.
enum class ListenerName {
    Caller,
    Local,
    Peer,
};

class Metrics
{
public:
    Metrics();

    /// An answer of the upstream (no reason), or one of the error table.
    void countAnswer(ListenerName listener, std::optional<ErrorKind> reason);
    /// Another attempt follows after this failure.
    void countRetry(ErrorKind reason);
    void countRetryRefusal(RetryRefusal refusal);
    void observeCall(Duration time);
    void countPause();
    void countTruncatedStream();
    void setStatus(const PolicyStatus &status);
    void setConnections(ListenerName listener, std::size_t count);

    prometheus::Registry &registry();
    /// The text format of Prometheus.
    std::string text() const;

private:
    using ReasonCounters = std::array<prometheus::Counter *, ErrorKindCount + 1>;

    prometheus::Registry m_registry;
    std::array<ReasonCounters, 3> m_answers{};
    std::array<prometheus::Counter *, ErrorKindCount> m_retries{};
    std::map<RetryRefusal, prometheus::Counter *> m_retryRefusals;
    std::map<std::string, prometheus::Gauge *> m_gauges;
    std::array<prometheus::Gauge *, 3> m_connections{};
    prometheus::Histogram *m_callSeconds = nullptr;
    prometheus::Counter *m_pauses = nullptr;
    prometheus::Counter *m_truncated = nullptr;
};

} // namespace Geraniumsail

#endif
