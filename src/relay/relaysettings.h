// Settings of a relay node.
#ifndef GERANIUMSAIL_RELAY_RELAYSETTINGS_H
#define GERANIUMSAIL_RELAY_RELAYSETTINGS_H

#include "core/ids.h"
#include "core/units.h"

namespace Geraniumsail {

struct RelaySettings
{
    NodeName node;
    RegionName region;
    DataCentreName dataCentre;
    ServiceName service; ///< Of the upstream beside this node.
    Address upstream;
    Address callerListen; ///< Requests of the callers and the upstream on this VM.
    Address peerListen; ///< Requests of other nodes.
    Address readyListen;
    Address announceListen; ///< Reports of the upstream.
    Address metricsListen;
    Address store;
    Duration stopGrace = std::chrono::seconds(6); ///< From SIGTERM to SIGKILL.
    Duration minLeaseTime = std::chrono::seconds(1); ///< Shortest lease of the store.
    double retryRatio = 0.2; ///< Repeats per request, over the fleet.

    bool operator==(const RelaySettings &) const = default;
};

} // namespace Geraniumsail

#endif
