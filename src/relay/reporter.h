// Where the parts of a relay node write log lines and count.
#ifndef GERANIUMSAIL_RELAY_REPORTER_H
#define GERANIUMSAIL_RELAY_REPORTER_H

#include "net/clock.h"
#include "relay/eventlog.h"
#include "relay/relaymetrics.h"

namespace Geraniumsail {

struct Reporter
{
    EventLog &log;
    RelayMetrics &metrics;

    /// A decision that lost work or changed a belief.
    void important(const EventLine &line) const
    {
        log.write(EventPriority::Important, line, monotonicNow(), wallNow());
    }
    void routine(const EventLine &line) const
    {
        log.write(EventPriority::Routine, line, monotonicNow(), wallNow());
    }
};

} // namespace Geraniumsail

#endif
