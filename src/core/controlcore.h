// Membership and configuration distribution of one node, without I/O: the functions return the requests to send, and
// the control task sends them.
#ifndef GERANIUMSAIL_CORE_CONTROLCORE_H
#define GERANIUMSAIL_CORE_CONTROLCORE_H

#include "core/configgossip.h"
#include "core/membership.h"

#include <optional>
#include <vector>

namespace Geraniumsail {

class ControlCore
{
public:
    ControlCore(MemberRecord self, std::vector<Address> seeds, MonotonicTime now, Random &random);

    /// Must be called every TickPeriod, or as soon as possible after it.
    std::vector<OutgoingRequest> tick(MonotonicTime now, WallTime wall, Random &random);

    struct HandledRequest
    {
        std::optional<ControlReply> reply; ///< nullopt if the request is addressed to another node.
        std::vector<OutgoingRequest> requests;
    };
    /// Handles all requests except IndirectProbe, for which the caller first sends makeProbe() to the target.
    HandledRequest onRequest(const ControlRequest &request, MonotonicTime now, WallTime wall, Random &random);
    std::vector<OutgoingRequest> onReply(const OutgoingRequest &sent, const ControlReply &reply, MonotonicTime now,
                                         WallTime wall, Random &random);
    std::vector<OutgoingRequest> onFailed(const OutgoingRequest &sent, MonotonicTime now, WallTime wall,
                                          Random &random);

    /// Applies documents that a watcher has read from the store.
    std::vector<OutgoingRequest> applyDocuments(const std::vector<ConfigDocument> &documents, WallTime wall,
                                                Random &random);
    std::vector<OutgoingRequest> leave(MonotonicTime now, WallTime wall, Random &random);
    SyncMessage makeProbe(const NodeName &target, WallTime wall);

    Membership &membership();
    const Membership &membership() const;
    const ConfigView &config() const;
    ConfigGossip &configGossip();

private:
    void setConfigDigests(std::vector<OutgoingRequest> &out) const;

    Membership m_membership;
    ConfigGossip m_config;
};

constexpr Duration TickPeriod = std::chrono::milliseconds(200);

} // namespace Geraniumsail

#endif
