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
    ServiceName service; ///< Service of the upstream beside this node.
    Address upstream;
    Address callerListen; ///< For requests of the callers and the upstream on this VM.
    Address peerListen; ///< For requests of other nodes.
    Address readyListen;
    Address announceListen; ///< For reports of the upstream.
    Address metricsListen;
    Address store;
    Duration stopGrace = std::chrono::seconds(6); ///< Time from SIGTERM to SIGKILL.
    Duration minLeaseTime = std::chrono::seconds(1); ///< Shortest lease that the store grants.
    double redeliveryRatio = 0.2; ///< Redeliveries per request, averaged over all nodes.

    bool operator==(const RelaySettings &) const = default;
};

} // namespace Geraniumsail

#endif
