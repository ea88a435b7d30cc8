// Which other data centres cannot be reached, as seen by the relays of the own one and told to its members.
//
// Unreachable is a hint for routing: the records stay as they are and nobody is declared dead. The latest statement
// wins; a statement that is not repeated for ReachRetention is forgotten, so that a relay that left cannot block a
// route.
#ifndef GERANIUMSAIL_CORE_REACHVIEW_H
#define GERANIUMSAIL_CORE_REACHVIEW_H

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Geraniumsail {

constexpr Duration ReachRetention = std::chrono::seconds(60);

struct Reachability
{
    DataCentreName dataCentre;
    std::uint64_t stampMs = 0; ///< Wall clock of the relay that made the statement.
    bool reachable = true;

    bool operator==(const Reachability &) const = default;
};

class ReachView
{
public:
    /// A message to or from the data centre arrived.
    void onContact(const DataCentreName &dataCentre, WallTime now);
    /// A request to the data centre failed. True if the next attempt should follow soon, to confirm.
    bool onFailure(const DataCentreName &dataCentre, WallTime now);
    bool failing(const DataCentreName &dataCentre) const;
    void merge(const std::vector<Reachability> &statements, WallTime now);
    /// Statements worth telling others.
    std::vector<Reachability> statements(WallTime now) const;
    std::vector<DataCentreName> unreachable(WallTime now) const;

private:
    std::map<DataCentreName, int> m_failures;
    std::map<DataCentreName, Reachability> m_statements;
};

} // namespace Geraniumsail

#endif
