// Membership and configuration of one node together: events in, requests out. The control task is its only I/O.
#ifndef GERANIUMSAIL_CORE_CONTROLCORE_H
#define GERANIUMSAIL_CORE_CONTROLCORE_H

#include "core/configspread.h"
#include "core/membership.h"

#include <optional>
#include <vector>

namespace Geraniumsail {

class ControlCore
{
public:
    ControlCore(MemberRecord self, std::vector<Address> seeds, MonotonicTime now, Random &random);

    /// To be called every TickPeriod, or as soon as possible after it.
    std::vector<Outgoing> tick(MonotonicTime now, WallTime wall, Random &random);

    struct Handled
    {
        std::optional<ControlReply> reply; ///< Nothing: the request is for another node.
        std::vector<Outgoing> out;
    };
    /// All requests but IndirectProbe, which needs a message to the target first (Membership::probeFor).
    Handled onRequest(const ControlRequest &request, MonotonicTime now, WallTime wall, Random &random);
    std::vector<Outgoing> onReply(const Outgoing &sent, const ControlReply &reply, MonotonicTime now, WallTime wall,
                                  Random &random);
    std::vector<Outgoing> onFailed(const Outgoing &sent, MonotonicTime now, WallTime wall, Random &random);

    /// Documents that a watcher read from the store.
    std::vector<Outgoing> applyDocuments(const std::vector<ConfigDocument> &documents, WallTime wall, Random &random);
    std::vector<Outgoing> leave(MonotonicTime now, WallTime wall, Random &random);
    SyncMessage probeFor(const NodeName &target, WallTime wall);

    Membership &membership();
    const Membership &membership() const;
    const ConfigView &config() const;
    ConfigSpread &configSpread();

private:
    void fillDigests(std::vector<Outgoing> &out) const;

    Membership m_membership;
    ConfigSpread m_config;
};

constexpr Duration TickPeriod = std::chrono::milliseconds(200);

} // namespace Geraniumsail

#endif
