// Property test of AttemptRegistry: random life cycles of tickets at two targets, with duplicated, delayed and
// reordered messages, concurrent voids, restarts, pauses, clock steps and full tables. The test counts the runs of each
// ticket and records for which tickets "not run" was reported.
#include "core/attemptregistry.h"
#include "core/random.h"
#include "core/ticket.h"

#include "core/rapidcheckutil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <map>
#include <set>
#include <string>

namespace Geraniumsail {

namespace {

constexpr std::size_t TicketCount = 6;
constexpr std::size_t TargetCount = 2;

/// Simulates two targets and the tickets issued for them, each of which names both targets in random order.
class TicketSimulation
{
public:
    explicit TicketSimulation(Random &random) : m_random(random)
    {
        for (std::size_t i = 0; i < TargetCount; ++i) {
            restart(i);
        }
    }

    void step()
    {
        switch (draw(14)) {
        case 0:
            createNewTicket();
            break;
        case 1:
        case 2:
        case 3:
            arrive();
            break;
        case 4:
        case 5:
        case 6:
            start();
            break;
        case 7:
            finish();
            break;
        case 8:
            refuse();
            break;
        case 9:
        case 10:
            sendVoidRequest();
            break;
        case 11:
            if (draw(7) == 0) {
                restart(draw(TargetCount));
            }
            break;
        case 12:
            m_registries[draw(TargetCount)]->prune(m_now);
            break;
        default:
            advanceTime();
            break;
        }
    }

    void check() const
    {
        for (const auto &[id, runs] : m_runs) {
            RC_ASSERT(runs <= 1);
            RC_ASSERT(!m_reportedNotRun.contains(id));
        }
        RC_ASSERT(m_wrongAnswers == 0);
    }

    std::size_t runs() const
    {
        return m_runs.size();
    }

private:
    struct IssuedTicket
    {
        Ticket ticket;
        std::array<std::size_t, TargetCount> order{};
        std::array<bool, TargetCount> voided{};
    };

    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_random);
    }

    static NodeName nameOf(std::size_t target)
    {
        return NodeName("t" + std::to_string(target));
    }

    void restart(std::size_t target)
    {
        RegistryLimits limits;
        limits.unrepeatableEntries = 4;
        limits.answerBytes = 64;
        m_incarnations[target] = Incarnation(m_nextIncarnation++);
        m_registries[target].emplace(m_incarnations[target], m_now, limits);
    }

    void advanceTime()
    {
        switch (draw(8)) {
        case 0: // A pause longer than the lifetime of a ticket.
            m_now += TicketEpochLength * 11;
            break;
        case 1: // A clock that steps back.
            m_now -= TicketEpochLength * 2;
            break;
        case 2:
            m_now += TicketEpochLength;
            break;
        default:
            m_now += std::chrono::milliseconds(draw(500));
            break;
        }
    }

    void createNewTicket()
    {
        IssuedTicket issued;
        issued.order = draw(2) == 0 ? std::array<std::size_t, 2>{0, 1} : std::array<std::size_t, 2>{1, 0};
        std::vector<Ticket::Target> targets;
        for (const auto target : issued.order) {
            // The membership may publish the epoch late.
            const auto epoch = m_registries[target]->epoch(m_now).value();
            targets.push_back(
                Ticket::Target{nameOf(target), m_incarnations[target], TicketEpoch(epoch > 1 ? epoch - draw(2) : 1)});
        }
        issued.ticket = createTicket(targets, NodeName("entry"), Incarnation(1), m_random);
        if (m_issued.size() < TicketCount) {
            m_issued.push_back(issued);
        } else {
            m_issued[draw(TicketCount)] = issued;
        }
    }

    IssuedTicket *randomTicket()
    {
        return m_issued.empty() ? nullptr : &m_issued[draw(m_issued.size())];
    }

    CallContext contextOf(const IssuedTicket &issued, std::size_t position) const
    {
        CallContext context;
        context.attempt = issued.ticket.id;
        context.unrepeatable = true;
        context.epoch = issued.ticket.targets[position].epoch;
        context.incarnation = issued.ticket.targets[position].incarnation;
        context.ticketPosition = static_cast<int>(position);
        if (position > 0 && issued.voided[0]) {
            context.voidedBy = issued.ticket.targets[0].node;
        }
        return context;
    }

    void arrive()
    {
        auto *issued = randomTicket();
        if (issued == nullptr) {
            return;
        }
        const auto position = draw(TargetCount);
        const auto arrival = m_registries[issued->order[position]]->arrive(contextOf(*issued, position), m_now);
        if (arrival.kind == Arrival::Kind::Stored) {
            m_wrongAnswers += arrival.answer->body == issued->ticket.id.value() ? 0 : 1;
        }
        if (arrival.kind == Arrival::Kind::Refused && refusalVoidsTicket(arrival.refusal)) {
            recordVoided(*issued, position);
        }
    }

    void start()
    {
        // A target tries to start any ticket, also one that was voided meanwhile.
        if (auto *issued = randomTicket()) {
            const auto target = issued->order[draw(TargetCount)];
            if (m_registries[target]->start(issued->ticket.id, m_now) == StartVerdict::Start) {
                ++m_runs[issued->ticket.id];
            }
        }
    }

    void finish()
    {
        if (auto *issued = randomTicket()) {
            const auto &id = issued->ticket.id;
            const auto outcome = draw(2) == 0 ? Outcome::Ran : Outcome::Unknown;
            m_registries[issued->order[draw(TargetCount)]]->finish(id, outcome, ErrorKind::ConnectionLost,
                                                                   StoredAnswer{200, {}, id.value()}, m_now);
        }
    }

    void refuse()
    {
        if (auto *issued = randomTicket()) {
            const auto position = draw(TargetCount);
            const auto target = issued->order[position];
            if (issued->ticket.targets[position].incarnation == m_incarnations[target]
                && m_registries[target]->refuse(issued->ticket.id, m_now)) {
                recordVoided(*issued, position);
            }
        }
    }

    void sendVoidRequest()
    {
        if (auto *issued = randomTicket()) {
            const auto position = draw(TargetCount);
            const auto verdict =
                m_registries[issued->order[position]]->voidAttempt(contextOf(*issued, position), m_now);
            if (verdict == VoidVerdict::Voided) {
                recordVoided(*issued, position);
            }
        }
    }

    /// A calling node learns that a target voided the ticket. Once both targets did, it reports "not run".
    void recordVoided(IssuedTicket &issued, std::size_t position)
    {
        issued.voided[position] = true;
        if (issued.voided[0] && issued.voided[1]) {
            m_reportedNotRun.insert(issued.ticket.id);
        }
    }

    Random &m_random;
    MonotonicTime m_now{std::chrono::hours(1)};
    std::uint64_t m_nextIncarnation = 1;
    std::array<Incarnation, TargetCount> m_incarnations;
    std::array<std::optional<AttemptRegistry>, TargetCount> m_registries;
    std::vector<IssuedTicket> m_issued;
    std::map<AttemptId, int> m_runs;
    std::set<AttemptId> m_reportedNotRun;
    int m_wrongAnswers = 0;
};

class AttemptLifeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptLifeTest);
    CPPUNIT_TEST(ticketsRunAtMostOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void ticketsRunAtMostOnce()
    {
        // Guards against running a ticket twice, and against running a ticket after it was reported as "not run".
        std::size_t runs = 0;
        checkProperty("at most one run per ticket; not run means no run, ever", [&runs] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            TicketSimulation simulation(random);
            for (int i = 0; i < 600; ++i) {
                simulation.step();
            }
            simulation.check();
            runs += simulation.runs();
        });
        // Without enough runs, the property would check nothing.
        CPPUNIT_ASSERT(runs > 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptLifeTest);

} // namespace

} // namespace Geraniumsail
