// Tests of the ticket encoding. If a corrupted ticket could be decoded, the wrong target might run the work.
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

Ticket randomTicket(Random &random, std::size_t targets)
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
    CPPUNIT_TEST(encodingRoundTrips);
    CPPUNIT_TEST(corruptedTextIsRejected);
    CPPUNIT_TEST(malformedTextWithValidChecksumIsRejected);
    CPPUNIT_TEST(idsAreUniqueDespiteEqualSeeds);
    CPPUNIT_TEST_SUITE_END();

public:
    void encodingRoundTrips()
    {
        // Guards against names that contain the separator and so shift the following fields.
        checkProperty("decode(encode(ticket)) == ticket", [] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            const auto ticket = randomTicket(random, 1 + random() % 3);
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

    void corruptedTextIsRejected()
    {
        // Guards against a changed, missing or extra character that turns into another incarnation or epoch.
        checkProperty("a damaged ticket does not decode", [] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            const auto encoded = encodeTicket(randomTicket(random, 1 + random() % 2));
            auto corrupted = encoded;
            const auto at = random() % corrupted.size();
            switch (random() % 4) {
            case 0:
                corrupted[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                corrupted.erase(at, 1 + random() % 5);
                break;
            case 2:
                corrupted.insert(at, 1, "0123456789.a"[random() % 12]);
                break;
            default:
                corrupted.resize(at);
                break;
            }
            RC_ASSERT(corrupted == encoded || !decodes(corrupted));
        });
        CPPUNIT_ASSERT(!decodes(""));
    }

    void malformedTextWithValidChecksumIsRejected()
    {
        // Guards against a decoder that relies on the checksum alone, which anyone can compute.
        Random random(3);
        auto ticket = randomTicket(random, 1);
        ticket.targets.clear();
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket = randomTicket(random, 1);
        ticket.targets.resize(3, ticket.targets.front());
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket = randomTicket(random, 1);
        ticket.targets.front().node = NodeName("a b");
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket.targets.front().node = NodeName("");
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket = randomTicket(random, 1);
        ticket.id = AttemptId("ABCDEF00000000000000000000000000");
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
        ticket.id = AttemptId("00");
        CPPUNIT_ASSERT(!decodes(encodeTicket(ticket)));
    }

    void idsAreUniqueDespiteEqualSeeds()
    {
        // Guards against two nodes with the same seed that give the same id to two requests, whose answers would then
        // be confused.
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
