// Tracks which other data centres are unreachable, as detected by the relays of the own data centre and distributed to
// its members.
//
// Unreachability only affects routing: member records do not change and no member is declared dead. The report with the
// latest timestamp wins. A report that is not renewed within ReachabilityReportLifetime expires, so that a relay that
// has left cannot block a route.
#ifndef GERANIUMSAIL_CORE_REACHABILITYVIEW_H
#define GERANIUMSAIL_CORE_REACHABILITYVIEW_H

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Geraniumsail {

constexpr Duration ReachabilityReportLifetime = std::chrono::seconds(60);

/// States whether a data centre is reachable, as detected by a relay.
struct ReachabilityReport
{
    DataCentreName dataCentre;
    std::uint64_t timestampMs = 0; ///< Wall clock time of the reporting relay.
    bool reachable = true;

    bool operator==(const ReachabilityReport &) const = default;
};

class ReachabilityView
{
public:
    /// Records that a request or a reply from the data centre was received.
    void onContact(const DataCentreName &dataCentre, WallTime now);
    /// Records a failed request to the data centre. Returns true if a second attempt should soon confirm the failure.
    bool onFailure(const DataCentreName &dataCentre, WallTime now);
    /// True if requests to the data centre have failed since the last contact.
    bool hasFailures(const DataCentreName &dataCentre) const;
    /// Takes over the reports that are newer than those already known.
    void merge(const std::vector<ReachabilityReport> &reports, WallTime now);
    /// Returns the reports that have not expired, for distribution to other members.
    std::vector<ReachabilityReport> reports(WallTime now) const;
    std::vector<DataCentreName> unreachable(WallTime now) const;

private:
    std::map<DataCentreName, int> m_consecutiveFailures;
    std::map<DataCentreName, ReachabilityReport> m_reports;
};

} // namespace Geraniumsail

#endif
