// Tickets permit at-most-once execution of unrepeatable work.
//
// A ticket lists, in order, the upstream incarnations that may run the work. Each target decides from its own attempt
// registry whether to run it. The second target runs the work only after the first has confirmed that it voided the
// ticket. A ticket is not a secret, and its checksum detects corruption but not forgery.
//
// Text format: 1.<id>.<number of targets>{.<length of name>.<name>.<incarnation>.<epoch>}.<checksum>. Each name is
// prefixed with its length because names may contain the separator. Only the canonical text that encodeTicket() returns
// is accepted.
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
        TicketEpoch epoch; ///< Epoch of the target's own clock at the time the ticket was created.

        bool operator==(const Target &) const = default;
    };

    AttemptId id; ///< 32 hexadecimal digits.
    std::vector<Target> targets; ///< 1 to MaxTicketTargets entries, in the order in which they may run the work.

    bool operator==(const Ticket &) const = default;
};

/// Returns a new id of 32 hexadecimal digits. The creator and its incarnation are part of the hash input, so that two
/// nodes with the same random seed, or one node restarted with it, do not give the same id to two requests.
AttemptId createAttemptId(const NodeName &creator, Incarnation incarnation, Random &random);

/// Creates a ticket for the first MaxTicketTargets of the targets, which must not be empty.
Ticket createTicket(const std::vector<Ticket::Target> &targets, const NodeName &creator, Incarnation incarnation,
                    Random &random);

/// Returns the header value, which consists of letters, digits, '-', '_', '.' and ':'.
std::string encodeTicket(const Ticket &ticket);

/// Fails with ErrorKind::BadRequest for any text that encodeTicket() does not return.
boost::leaf::result<Ticket> decodeTicket(std::string_view text);

} // namespace Geraniumsail

#endif
