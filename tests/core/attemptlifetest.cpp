// Random life cycles of tickets at two targets against a simple oracle: duplicated, delayed and reordered messages,
// void races, restarts, pauses, clock jumps and full tables. The oracle counts runs and remembers what was promised.
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

/// Two targets, some tickets that name both in random order, and everything that was ever sent.
class LifePlayer
{
public:
    explicit LifePlayer(Random &random) : m_random(random)
    {
        for (std::size_t i = 0; i < TargetCount; ++i) {
            restart(i);
        }
    }

    void step()
    {
        switch (draw(14)) {
        case 0:
            createTicketNow();
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
            askVoid();
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
            passTime();
            break;
        }
    }

    void check() const
    {
        for (const auto &[id, runs] : m_runs) {
            RC_ASSERT(runs <= 1);
            RC_ASSERT(!m_toldNotRun.contains(id));
        }
        RC_ASSERT(m_answersMixed == 0);
    }

    std::size_t runs() const
    {
        return m_runs.size();
    }

private:
    struct Known
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
        limits.onceEntries = 4;
        limits.answerBytes = 64;
        m_lives[target] = Incarnation(m_nextLife++);
        m_registries[target].emplace(m_lives[target], m_now, limits);
    }

    void passTime()
    {
        switch (draw(8)) {
        case 0: // A pause longer than any ticket lives.
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

    void createTicketNow()
    {
        Known known;
        known.order = draw(2) == 0 ? std::array<std::size_t, 2>{0, 1} : std::array<std::size_t, 2>{1, 0};
        std::vector<Ticket::Target> targets;
        for (const auto target : known.order) {
            // Membership tells the epoch late.
            const auto epoch = m_registries[target]->epoch(m_now).value();
            targets.push_back(
                Ticket::Target{nameOf(target), m_lives[target], TicketEpoch(epoch > 1 ? epoch - draw(2) : 1)});
        }
        known.ticket = createTicket(targets, NodeName("entry"), Incarnation(1), m_random);
        if (m_known.size() < TicketCount) {
            m_known.push_back(known);
        } else {
            m_known[draw(TicketCount)] = known;
        }
    }

    Known *anyTicket()
    {
        return m_known.empty() ? nullptr : &m_known[draw(m_known.size())];
    }

    CallContext contextOf(const Known &known, std::size_t position) const
    {
        CallContext context;
        context.attempt = known.ticket.id;
        context.once = true;
        context.epoch = known.ticket.targets[position].epoch;
        context.incarnation = known.ticket.targets[position].incarnation;
        context.ticketPosition = static_cast<int>(position);
        if (position > 0 && known.voided[0]) {
            context.voidedBy = known.ticket.targets[0].node;
        }
        return context;
    }

    void arrive()
    {
        auto *known = anyTicket();
        if (known == nullptr) {
            return;
        }
        const auto position = draw(TargetCount);
        const auto arrival = m_registries[known->order[position]]->arrive(contextOf(*known, position), m_now);
        if (arrival.kind == Arrival::Kind::Stored) {
            m_answersMixed += arrival.answer->body == known->ticket.id.value() ? 0 : 1;
        }
        if (arrival.kind == Arrival::Kind::Refused && refusalVoids(arrival.refusal)) {
            noteVoided(*known, position);
        }
    }

    void start()
    {
        // Targets start whatever they hold, also entries that were voided since.
        if (auto *known = anyTicket()) {
            const auto target = known->order[draw(TargetCount)];
            if (m_registries[target]->start(known->ticket.id, m_now) == StartVerdict::Start) {
                ++m_runs[known->ticket.id];
            }
        }
    }

    void finish()
    {
        if (auto *known = anyTicket()) {
            const auto &id = known->ticket.id;
            const auto outcome = draw(2) == 0 ? Outcome::Ran : Outcome::Unknown;
            m_registries[known->order[draw(TargetCount)]]->finish(id, outcome, ErrorKind::ConnectionLost,
                                                                  StoredAnswer{200, {}, id.value()}, m_now);
        }
    }

    void refuse()
    {
        if (auto *known = anyTicket()) {
            const auto position = draw(TargetCount);
            const auto target = known->order[position];
            if (known->ticket.targets[position].incarnation == m_lives[target]
                && m_registries[target]->refuse(known->ticket.id, m_now)) {
                noteVoided(*known, position);
            }
        }
    }

    void askVoid()
    {
        if (auto *known = anyTicket()) {
            const auto position = draw(TargetCount);
            const auto verdict = m_registries[known->order[position]]->voidAttempt(contextOf(*known, position), m_now);
            if (verdict == VoidVerdict::Voided) {
                noteVoided(*known, position);
            }
        }
    }

    /// A calling node learns that a target voided the ticket; once both did, the caller is told "not run".
    void noteVoided(Known &known, std::size_t position)
    {
        known.voided[position] = true;
        if (known.voided[0] && known.voided[1]) {
            m_toldNotRun.insert(known.ticket.id);
        }
    }

    Random &m_random;
    MonotonicTime m_now{std::chrono::hours(1)};
    std::uint64_t m_nextLife = 1;
    std::array<Incarnation, TargetCount> m_lives;
    std::array<std::optional<AttemptRegistry>, TargetCount> m_registries;
    std::vector<Known> m_known;
    std::map<AttemptId, int> m_runs;
    std::set<AttemptId> m_toldNotRun;
    int m_answersMixed = 0;
};

class AttemptLifeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptLifeTest);
    CPPUNIT_TEST(ticketsRunAtMostOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void ticketsRunAtMostOnce()
    {
        // Guards against a second run of a ticket (I5), and a run of a ticket that was told "not run" (I4).
        std::size_t runs = 0;
        checkProperty("at most one run per ticket; not run means no run, ever", [&runs] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            LifePlayer player(random);
            for (int i = 0; i < 600; ++i) {
                player.step();
            }
            player.check();
            runs += player.runs();
        });
        // The property is empty if hardly anything runs.
        CPPUNIT_ASSERT(runs > 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptLifeTest);

} // namespace

} // namespace Geraniumsail
