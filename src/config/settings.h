// Settings of one node, read once at start from a JSON file beside the process.
//
// Settings hold what differs between VMs: names, addresses, where to find others. What operators declare for services
// is published as configuration documents instead.
#ifndef GERANIUMSAIL_CONFIG_SETTINGS_H
#define GERANIUMSAIL_CONFIG_SETTINGS_H

#include "config/problem.h"
#include "core/ids.h"
#include "core/policy.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Geraniumsail {

/// True for "ip:port" with an IPv4 address and a port from 1 to 65535.
bool isAddress(std::string_view text);

/// A range of IPv4 addresses in CIDR notation.
class AddressRange
{
public:
    /// Nothing if the text is not "a.b.c.d/n" with n from 0 to 32, or has bits set after the prefix.
    static std::optional<AddressRange> parse(std::string_view text);

    /// False also for a text that is no IPv4 address.
    bool contains(std::string_view ip) const;
    std::string text() const;

private:
    std::uint32_t m_network = 0;
    std::uint32_t m_mask = 0;
    std::string m_text;
};

/// Listening addresses of a node.
struct ListenSettings
{
    Address caller;
    Address local;
    Address peer; ///< Announced to other nodes, so it must not be 0.0.0.0.
    Address control; ///< Announced to other nodes, so it must not be 0.0.0.0.
    Address admin;
};

struct NodeSettings
{
    NodeName name;
    RegionName region;
    DataCentreName dataCentre;
    ListenSettings listen;
    std::vector<AddressRange> controlAllow; ///< Senders that the control listener accepts.
    std::vector<Address> seeds; ///< Control addresses of members to join through.
    std::optional<Address> store;
    std::optional<std::uint64_t> randomSeed; ///< Without it the seed comes from the system.
    PolicySwitches switches;

    /// True if the control listener accepts a sender with that IP address.
    bool controlAllowed(std::string_view ip) const;
};

/// Parses the text of a settings file; every problem is reported at once, with file as its place.
Checked<NodeSettings> parseNodeSettings(std::string_view text, const std::string &file = "");

} // namespace Geraniumsail

#endif
