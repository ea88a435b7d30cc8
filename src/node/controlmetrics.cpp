#include "node/controlmetrics.h"

namespace Geraniumsail {

ControlMetrics::ControlMetrics(prometheus::Registry &registry) : m_registry(registry)
{
}

void ControlMetrics::set(const std::string &name, const char *help, double value)
{
    auto &gauge = m_gauges[name];
    if (gauge == nullptr) {
        gauge = &prometheus::BuildGauge().Name("geraniumsail_control_" + name).Help(help).Register(m_registry).Add({});
    }
    gauge->Set(value);
}

void ControlMetrics::set(const ControlTask &control)
{
    const auto number = [](std::uint64_t value) {
        return static_cast<double>(value);
    };
    const auto &traffic = control.counters();
    set("bytes_sent", "Bytes of control messages sent since the start.", number(traffic.bytesSent));
    set("bytes_received", "Bytes of control messages received since the start.", number(traffic.bytesReceived));
    set("requests_sent", "Control requests sent since the start.", number(traffic.requestsSent));
    set("requests_failed", "Control requests without a valid answer since the start.", number(traffic.requestsFailed));
    set("requests_received", "Control requests received since the start.", number(traffic.requestsReceived));
    set("requests_refused", "Malformed or unknown control requests since the start.", number(traffic.requestsRefused));
    set("senders_refused", "Control requests from senders outside controlAllow since the start.",
        number(traffic.sendersRefused));
    set("documents_refused", "Configuration documents in force that could not be read.",
        number(traffic.documentsRefused));
    set("store_calls", "Calls to the store since the start; a waiting watch is one.",
        number(control.storeCounters().calls));
    set("store_failures", "Failed calls to the store since the start.", number(control.storeCounters().failures));
    const auto &membership = control.core().membership();
    set("members_live", "Members that are not held dead.", number(membership.table().liveCount()));
    set("local_health", "1: answers in time, 8: slowest.", membership.localHealthMultiplier());
    set("suspected", "Members that this node suspected first, since the start.",
        number(membership.counters().suspected));
    set("declared_dead", "Members that this node declared dead, since the start.",
        number(membership.counters().declaredDead));
    set("pauses", "Pauses of this process since the start.", number(membership.counters().pauses));
    set("documents", "Configuration documents in force.", number(control.core().config().documents().size()));
}

} // namespace Geraniumsail
