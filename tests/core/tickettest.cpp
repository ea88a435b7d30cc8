// Tests of tickets: a damaged ticket that still decodes would let another target run the work.
#include "core/ticket.h"

#include "core/callcontext.h"

#include "core/rapidcheckutil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace Geraniumsail {

namespace {

bool decodes(const std::string &text)
{
    return decodeTicket(text).has_value();
}

Ticket sample(Random &random, std::size_t targets)
{
    std::vector<Ticket::Target> list;
    const std::vector<std::string> names{"dar-1.node:7", "1", "a.2.b"};
    for (std::size_t i = 0; i < targets; ++i) {
        list.push_back(Ticket::Target{NodeName(names[random() % names.size()]), Incarnation(random()),
                                      TicketEpoch(random() % 100)});
    }
    return createTicket(list, NodeName("creator"), Incarnation(1), random);
}

class TicketTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TicketTest);
    CPPUNIT_TEST(survivesTheWire);
    CPPUNIT_TEST(damagedTextIsRefused);
    CPPUNIT_TEST(malformedTextIsRefusedDespiteAChecksum);
    CPPUNIT_TEST(idsDifferDespiteEqualSeeds);
    CPPUNIT_TEST_SUITE_END();

public:
    void survivesTheWire()
    {
        // Guards against names with separators that shift the fields.
        checkProperty("decode(encode(ticket)) == ticket", [] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            const auto ticket = sample(random, 1 + random() % 3);
            RC_ASSERT(ticket.targets.size() <= MaxTicketTargets);
            const auto text = encodeTicket(ticket);
            RC_ASSERT(text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:")
                      == std::string::npos);
            const auto decoded = decodeTicket(text);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value() == ticket);
            RC_ASSERT(isIdentifier(ticket.id.value()));
        });
    }

    void damagedTextIsRefused()
    {
        // Guards against a flipped, lost or added character that names another incarnation or epoch.
        checkProperty("a damaged ticket does not decode", [] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            const auto good = encodeTicket(sample(random, 1 + random() % 2));
            auto bad = good;
            const auto at = random() % bad.size();
            switch (random() % 4) {
            case 0:
                bad[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                bad.erase(at, 1 + random() % 5);
                break;
            case 2:
                bad.insert(at, 1, "0123456789.a"[random() % 12]);
                break;
            default:
                bad.resize(at);
                break;
            }
            RC_ASSERT(bad == good || !decodes(bad));
        });
        CPPUNIT_ASSERT(!decodes(""));
    }

    void malformedTextIsRefusedDespiteAChecksum()
    {
        // Guards against a decoder that relies on the checksum alone: anyone can compute it.
        Random random(3);
        auto ticket = sample(random, 1);
        ticket.targets.clear();
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket = sample(random, 1);
        ticket.targets.resize(3, ticket.targets.front());
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket = sample(random, 1);
        ticket.targets.front().node = NodeName("a b");
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket.targets.front().node = NodeName("");
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket = sample(random, 1);
        ticket.id = AttemptId("ABCDEF00000000000000000000000000");
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket.id = AttemptId("00");
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
    }

    void idsDifferDespiteEqualSeeds()
    {
        // Guards against two nodes with one seed that give one id to two requests, whose answers would then be mixed.
        std::set<AttemptId> ids;
        for (int node = 0; node < 10; ++node) {
            for (std::uint64_t incarnation = 1; incarnation < 4; ++incarnation) {
                Random random(42);
                for (int i = 0; i < 20; ++i) {
                    const auto name = NodeName("n" + std::to_string(node));
                    CPPUNIT_ASSERT(ids.insert(createAttemptId(name, Incarnation(incarnation), random)).second);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketTest);

} // namespace

} // namespace Geraniumsail
