#include "node/metrics.h"

#include <prometheus/text_serializer.h>

namespace Geraniumsail {

namespace {

constexpr std::array<const char *, 3> ListenerLabels{"caller", "local", "peer"};
constexpr std::array RetryRefusals{RetryRefusal::NotRetriable, RetryRefusal::NotRepeatable,
                                   RetryRefusal::AllowanceSpent, RetryRefusal::BudgetSpent,
                                   RetryRefusal::DeadlineTooNear};

} // namespace

Metrics::Metrics()
{
    auto &answers = prometheus::BuildCounter()
                        .Name("geraniumsail_answers_total")
                        .Help("Answers by listener and reason; reason ran is an answer of the upstream.")
                        .Register(m_registry);
    auto &retries = prometheus::BuildCounter()
                        .Name("geraniumsail_retries_total")
                        .Help("Retries by the reason of the failed attempt.")
                        .Register(m_registry);
    auto &refusals = prometheus::BuildCounter()
                         .Name("geraniumsail_retry_refusals_total")
                         .Help("Failed attempts without a retry, by what forbade it.")
                         .Register(m_registry);
    auto &connections = prometheus::BuildGauge()
                            .Name("geraniumsail_connections")
                            .Help("Open connections by listener.")
                            .Register(m_registry);
    for (std::size_t listener = 0; listener < ListenerLabels.size(); ++listener) {
        for (const auto &row : errorRows()) {
            m_answers[listener][static_cast<std::size_t>(row.kind)] =
                &answers.Add({{"listener", ListenerLabels[listener]}, {"reason", std::string(row.label)}});
        }
        m_answers[listener][ErrorKindCount] = &answers.Add({{"listener", ListenerLabels[listener]}, {"reason", "ran"}});
        m_connections[listener] = &connections.Add({{"listener", ListenerLabels[listener]}});
    }
    for (const auto &row : errorRows()) {
        m_retries[static_cast<std::size_t>(row.kind)] = &retries.Add({{"reason", std::string(row.label)}});
    }
    for (const auto refusal : RetryRefusals) {
        m_retryRefusals[refusal] = &refusals.Add({{"reason", std::string(retryRefusalLabel(refusal))}});
    }
    for (const auto *name : {"running", "queued", "limit", "calls", "attempts", "tickets", "targets", "ejected",
                             "draining", "upstream_up"}) {
        m_gauges[name] = &prometheus::BuildGauge()
                              .Name(std::string("geraniumsail_") + name)
                              .Help("Present value; see /status.")
                              .Register(m_registry)
                              .Add({});
    }
    m_callSeconds = &prometheus::BuildHistogram()
                         .Name("geraniumsail_call_seconds")
                         .Help("Time from the arrival of a caller's call to the head of its answer.")
                         .Register(m_registry)
                         .Add({},
                              prometheus::Histogram::BucketBoundaries{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                                      0.1, 0.2, 0.5, 1, 2, 5, 10});
    m_pauses = &prometheus::BuildCounter()
                    .Name("geraniumsail_pauses_total")
                    .Help("Gaps of the clock tick that show that the process did not run.")
                    .Register(m_registry)
                    .Add({});
    m_truncated = &prometheus::BuildCounter()
                       .Name("geraniumsail_truncated_streams_total")
                       .Help("Long answers that ended early after their head was forwarded.")
                       .Register(m_registry)
                       .Add({});
}

void Metrics::countAnswer(ListenerName listener, std::optional<ErrorKind> reason)
{
    const auto index = reason ? static_cast<std::size_t>(*reason) : ErrorKindCount;
    m_answers[static_cast<std::size_t>(listener)][index]->Increment();
}

void Metrics::countRetry(ErrorKind reason)
{
    m_retries[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countRetryRefusal(RetryRefusal refusal)
{
    if (const auto counter = m_retryRefusals.find(refusal); counter != m_retryRefusals.end()) {
        counter->second->Increment();
    }
}

void Metrics::observeCall(Duration time)
{
    m_callSeconds->Observe(std::chrono::duration<double>(time).count());
}

void Metrics::countPause()
{
    m_pauses->Increment();
}

void Metrics::countTruncatedStream()
{
    m_truncated->Increment();
}

void Metrics::setStatus(const PolicyStatus &status)
{
    m_gauges["running"]->Set(status.load.running);
    m_gauges["queued"]->Set(status.load.queued);
    m_gauges["limit"]->Set(status.load.limit);
    m_gauges["calls"]->Set(static_cast<double>(status.calls));
    m_gauges["attempts"]->Set(static_cast<double>(status.attempts));
    m_gauges["tickets"]->Set(static_cast<double>(status.tickets));
    m_gauges["targets"]->Set(static_cast<double>(status.targets));
    m_gauges["ejected"]->Set(static_cast<double>(status.ejected));
    m_gauges["draining"]->Set(status.draining ? 1 : 0);
    m_gauges["upstream_up"]->Set(status.state == UpstreamState::Up ? 1 : 0);
}

void Metrics::setConnections(ListenerName listener, std::size_t count)
{
    m_connections[static_cast<std::size_t>(listener)]->Set(static_cast<double>(count));
}

prometheus::Registry &Metrics::registry()
{
    return m_registry;
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace Geraniumsail
