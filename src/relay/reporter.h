// Log and metrics that the components of a relay node share.
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

    /// Logs a decision that failed a request or changed the state of the node.
    void logImportant(const EventLine &line) const
    {
        log.write(EventPriority::Important, line, monotonicNow(), wallNow());
    }
    /// Logs the normal completion of a request.
    void logRoutine(const EventLine &line) const
    {
        log.write(EventPriority::Routine, line, monotonicNow(), wallNow());
    }
};

} // namespace Geraniumsail

#endif
