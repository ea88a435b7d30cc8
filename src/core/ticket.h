// Tickets: the right to run one piece of unrepeatable work once.
//
// A ticket names in order the upstream incarnations that may run the work. Each target decides from its own attempt
// registry; the second target runs the work only after the first stated that it voided the ticket. A ticket is not a
// secret and its checksum guards against corruption only.
//
// Text form: 1.<id>.<number of targets>{.<length of name>.<name>.<incarnation>.<epoch>}.<checksum>. Names may contain
// the separator, so their length comes first. Only the exact text that encodeTicket() gives is accepted.
#ifndef GERANIUMSAIL_CORE_TICKET_H
#define GERANIUMSAIL_CORE_TICKET_H

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/units.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Geraniumsail {

constexpr std::size_t MaxTicketTargets = 2;

struct Ticket
{
    struct Target
    {
        NodeName node;
        Incarnation incarnation;
        TicketEpoch epoch; ///< Of the target's own clock when the ticket was made.

        bool operator==(const Target &) const = default;
    };

    AttemptId id; ///< 32 hexadecimal digits.
    std::vector<Target> targets; ///< 1 to MaxTicketTargets, in the order in which they may run the work.

    bool operator==(const Ticket &) const = default;
};

/// A new id of 32 hexadecimal digits. The creator and its incarnation are mixed in, so that two nodes with the same
/// seed, or one node restarted with it, never give the same id to two requests.
AttemptId createAttemptId(const NodeName &creator, Incarnation incarnation, Random &random);

/// A ticket for the first MaxTicketTargets of the targets; at least one is needed.
Ticket createTicket(const std::vector<Ticket::Target> &targets, const NodeName &creator, Incarnation incarnation,
                    Random &random);

/// The header value: letters, digits, '-', '_', '.' and ':' only.
std::string encodeTicket(const Ticket &ticket);

/// ErrorKind::BadRequest for every text that encodeTicket() does not give.
boost::leaf::result<Ticket> decodeTicket(std::string_view text);

} // namespace Geraniumsail

#endif
