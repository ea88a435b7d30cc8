// Figures of the control task in the metrics registry, copied when the registry is read.
#ifndef GERANIUMSAIL_NODE_CONTROLMETRICS_H
#define GERANIUMSAIL_NODE_CONTROLMETRICS_H

#include "node/controltask.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace Geraniumsail {

class ControlMetrics
{
public:
    explicit ControlMetrics(prometheus::Registry &registry);
    void set(const ControlTask &control);

private:
    void set(const std::string &name, const char *help, double value);

    prometheus::Registry &m_registry;
    std::map<std::string, prometheus::Gauge *> m_gauges;
};

} // namespace Geraniumsail

#endif
