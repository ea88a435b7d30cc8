// Random tests of admission against a slow, plain model: vectors that are searched in full at each step.
#include "core/admission.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t QueueLength = 6;

/// What the model knows of a waiting attempt.
struct ModelEntry
{
    std::string id;
    int kind;
    Priority priority;
    std::uint64_t turn;
    std::uint64_t arrival;
    MonotonicTime deadline;

    auto place() const
    {
        return std::make_tuple(priority.rank, priority.score.value() / ScoresPerBand, turn, priority.score, arrival);
    }
    auto acrossKinds() const
    {
        return std::make_tuple(priority.rank, priority.score, arrival);
    }
};

/// Predicts every decision while no threshold is in force (that is, within the first window of 100 ms).
class Model
{
public:
    /// Shares of the four kinds in tenths; all quotas are whole numbers at 10 or 20 slots.
    explicit Model(std::vector<int> shares) : m_tenths(std::move(shares))
    {
    }

    AdmissionEvents offer(ModelEntry entry, const std::string &caller, MonotonicTime now)
    {
        AdmissionEvents events = expire(now);
        if (!isUp()) {
            events.push_back({AttemptId(entry.id), refusalWhileDown()});
            return events;
        }
        if (entry.deadline <= now) {
            events.push_back({AttemptId(entry.id), ErrorKind::DeadlineBeforeStart});
            return events;
        }
        entry.arrival = m_arrivals++;
        entry.turn = std::max(m_turn[entry.kind], m_next[{entry.kind, caller}]);
        const bool startsAtOnce = static_cast<int>(running.size()) < slots;
        if (!startsAtOnce && waiting.size() >= QueueLength && !makeRoom(entry, events)) {
            events.push_back({AttemptId(entry.id), ErrorKind::QueueFull});
            return events;
        }
        m_next[{entry.kind, caller}] = entry.turn + 1;
        waiting.push_back(entry);
        start(events);
        return events;
    }

    AdmissionEvents expire(MonotonicTime now)
    {
        passTime(now);
        AdmissionEvents events;
        std::sort(waiting.begin(), waiting.end(),
                  [](const auto &a, const auto &b) { return std::tie(a.deadline, a.id) < std::tie(b.deadline, b.id); });
        while (!waiting.empty() && waiting.front().deadline <= now) {
            events.push_back({AttemptId(waiting.front().id), ErrorKind::DeadlineBeforeStart});
            waiting.erase(waiting.begin());
        }
        start(events);
        return events;
    }

    AdmissionEvents finish(const std::string &id, MonotonicTime now)
    {
        passTime(now);
        running.erase(id);
        return expire(now);
    }

    AdmissionEvents setUpstream(UpstreamState newState, int newSlots, MonotonicTime now)
    {
        passTime(now);
        // Expired attempts are told so even if the upstream goes down at the same time.
        slots = std::min(slots, 0);
        AdmissionEvents events = expire(now);
        state = newState;
        slots = newSlots;
        if (!isUp()) {
            for (const ModelEntry &entry : waiting) {
                events.push_back({AttemptId(entry.id), refusalWhileDown()});
            }
            waiting.clear();
        }
        start(events);
        return events;
    }

    /// Counts the quota that waiting work did not get. All service times are the initial estimate of 10 ms.
    void passTime(MonotonicTime now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_now).count();
        m_now = now;
        for (int kind = 0; kind < 4; ++kind) {
            const double owed = quotaOf(kind) - std::min<double>(runningOf(kind), mostWithCredit(kind));
            const double bound = 0.02 + 0.1 * std::max(1.0, quotaOf(kind));
            if (m_tenths[kind] > 0 && (owed < 0.0 || waitingOf(kind) > 0)) {
                m_credit[kind] = std::clamp(m_credit[kind] + owed * elapsed, -bound, bound);
            }
        }
    }

    std::vector<ModelEntry> waiting;
    std::map<std::string, int> running; ///< Kind by id.
    int slots = 10;
    UpstreamState state = UpstreamState::Up;

private:
    bool isUp() const
    {
        return state == UpstreamState::Up && slots > 0;
    }
    ErrorKind refusalWhileDown() const
    {
        return state == UpstreamState::Draining ? ErrorKind::Draining
            : state == UpstreamState::Shedding  ? ErrorKind::UpstreamShed
            : state == UpstreamState::Gone      ? ErrorKind::ConnectFailed
                                                : ErrorKind::Overloaded;
    }
    int runningOf(int kind) const
    {
        return static_cast<int>(
            std::count_if(running.begin(), running.end(), [kind](const auto &entry) { return entry.second == kind; }));
    }
    int waitingOf(int kind) const
    {
        return static_cast<int>(
            std::count_if(waiting.begin(), waiting.end(), [kind](const auto &entry) { return entry.kind == kind; }));
    }
    /// The waiting attempt of a kind at one end of its order.
    const ModelEntry *end(int kind, bool first) const
    {
        const ModelEntry *best = nullptr;
        for (const ModelEntry &entry : waiting) {
            if (entry.kind == kind && (!best || (entry.place() < best->place()) == first)) {
                best = &entry;
            }
        }
        return best;
    }
    double mostWithCredit(int kind) const
    {
        return quotaOf(kind) > 0.0 ? 2.0 * quotaOf(kind) + 1.0 : 0.0;
    }
    double quotaOf(int kind) const
    {
        return m_tenths[kind] / 10.0 * slots;
    }
    bool makeRoom(const ModelEntry &arriving, AdmissionEvents &events)
    {
        const auto keeps = [this](int kind) {
            return static_cast<int>(QueueLength) * m_tenths[kind] / 10;
        };
        const ModelEntry *worst = nullptr;
        for (int kind = 0; kind < 4; ++kind) {
            const ModelEntry *last = waitingOf(kind) > keeps(kind) ? end(kind, false) : nullptr;
            if (last && (!worst || worst->acrossKinds() < last->acrossKinds())) {
                worst = last;
            }
        }
        const bool kept = waitingOf(arriving.kind) < keeps(arriving.kind);
        if (!worst || (!kept && worst->acrossKinds() < arriving.acrossKinds())) {
            return false;
        }
        events.push_back({AttemptId(worst->id), ErrorKind::QueueFull});
        waiting.erase(waiting.begin() + (worst - waiting.data()));
        return true;
    }
    void start(AdmissionEvents &events)
    {
        while (!waiting.empty() && static_cast<int>(running.size()) < slots) {
            const ModelEntry *best = nullptr;
            bool bestInShare = false;
            for (int kind = 0; kind < 4; ++kind) {
                const ModelEntry *first = end(kind, true);
                const bool inShare = runningOf(kind) * 10 < m_tenths[kind] * slots
                    || (m_credit[kind] > 0.0 && runningOf(kind) < mostWithCredit(kind));
                if (first
                    && (!best || inShare > bestInShare
                        || (inShare == bestInShare && first->acrossKinds() < best->acrossKinds()))) {
                    best = first;
                    bestInShare = inShare;
                }
            }
            m_turn[best->kind] = std::max(m_turn[best->kind], best->turn);
            running[best->id] = best->kind;
            events.push_back({AttemptId(best->id), std::nullopt});
            waiting.erase(waiting.begin() + (best - waiting.data()));
        }
    }

    std::vector<int> m_tenths;
    std::uint64_t m_arrivals = 0;
    MonotonicTime m_now{};
    std::array<double, 4> m_credit{};
    std::map<int, std::uint64_t> m_turn;
    std::map<std::pair<int, std::string>, std::uint64_t> m_next;
};

/// Compares as sets: the order of refusals within one call carries no meaning.
bool sameEvents(AdmissionEvents left, AdmissionEvents right)
{
    const auto before = [](const AdmissionEvent &a, const AdmissionEvent &b) {
        return a.attempt < b.attempt;
    };
    std::sort(left.begin(), left.end(), before);
    std::sort(right.begin(), right.end(), before);
    return left == right;
}

const std::vector<std::string> KindNames{"a", "b", "c", "d"};
constexpr std::array<std::uint8_t, 4> Ranks{0, 3, 3, 9};

ServicePolicy policyOf(const std::vector<int> &tenths, std::uint32_t slots, std::size_t queueLength)
{
    ServicePolicy policy;
    policy.slots = Slots(slots);
    policy.queueLength = queueLength;
    for (std::size_t i = 0; i < tenths.size(); ++i) {
        KindPolicy kind;
        kind.name = KindName(KindNames[i]);
        kind.rank = Rank(Ranks[i]);
        kind.share = Share(tenths[i] / 10.0);
        policy.kinds.push_back(kind);
    }
    return policy;
}

PolicySwitches fixedLimit()
{
    PolicySwitches switches;
    switches.adaptiveLimit = false;
    return switches;
}

/// A random element of a non-empty container.
template <typename Container>
const auto &pickFrom(const Container &container)
{
    return *std::next(container.begin(), *rc::gen::inRange<int>(0, static_cast<int>(container.size())));
}

class AdmissionModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionModelTest);
    CPPUNIT_TEST(decisionsAreThoseOfTheModel);
    CPPUNIT_TEST(everyAttemptGetsOneDecisionUnderOverload);
    CPPUNIT_TEST(everyKindKeepsItsShareInAFlood);
    CPPUNIT_TEST_SUITE_END();

    /// One random step in the model and the real thing.
    static void step(Model &model, Admission &admission, MonotonicTime now, Random &random, int number)
    {
        const int action = *rc::gen::inRange(0, 20);
        if (action < 11) {
            const int kind = *rc::gen::inRange(0, 4);
            const auto score = static_cast<std::uint16_t>(*rc::gen::inRange(0, 4) * 3000);
            const std::string caller = *rc::gen::element<std::string>("x", "y", "z");
            const Duration left = milliseconds(*rc::gen::inRange(0, 40));
            const ModelEntry entry{
                "i" + std::to_string(number), kind, {Rank(Ranks[kind]), AdmissionScore(score)}, 0, 0, now + left};
            const AdmissionRequest request{KindName(KindNames[kind]), entry.priority, entry.deadline,
                                           CallerName(caller)};
            const auto events = admission.offer(AttemptId(entry.id), request, now, random);
            RC_ASSERT(sameEvents(model.offer(entry, caller, now), events));
        } else if (action < 16 && !model.running.empty()) {
            const std::string id = pickFrom(model.running).first;
            const auto events = admission.finish(AttemptId(id), milliseconds(1), now);
            RC_ASSERT(sameEvents(model.finish(id, now), events));
        } else if (action < 17 && !model.waiting.empty()) {
            const std::string id = pickFrom(model.waiting).id;
            RC_ASSERT(admission.withdraw(AttemptId(id), now));
            model.passTime(now);
            std::erase_if(model.waiting, [&id](const ModelEntry &entry) { return entry.id == id; });
        } else if (action < 18) {
            const auto state = *rc::gen::weightedElement<UpstreamState>(
                {{6, UpstreamState::Up}, {1, UpstreamState::Draining}, {1, UpstreamState::Shedding}});
            const int slots = *rc::gen::element(0, 10, 10, 20);
            const auto events = admission.setUpstream(state, Slots(static_cast<std::uint32_t>(slots)), now);
            RC_ASSERT(sameEvents(model.setUpstream(state, slots, now), events));
        } else {
            RC_ASSERT(sameEvents(model.expire(now), admission.expire(now)));
        }
    }

public:
    // Guards against a wrong order of starts, a wrong eviction, a lost or a second decision, and more running
    // attempts than slots.
    void decisionsAreThoseOfTheModel()
    {
        CPPUNIT_ASSERT(rc::check("decisions are those of the model", [] {
            const auto tenths =
                *rc::gen::elementOf(std::vector<std::vector<int>>{{5, 2, 2, 1}, {0, 0, 0, 0}, {1, 0, 3, 2}});
            Admission admission(policyOf(tenths, 20, QueueLength), fixedLimit());
            Model model(tenths);
            Random random(1);
            MonotonicTime now(seconds(1));
            RC_ASSERT(sameEvents(model.setUpstream(UpstreamState::Up, 10, now),
                                 admission.setUpstream(UpstreamState::Up, Slots(10), now)));
            // Less than one threshold window in all: the model knows no thresholds.
            for (int i = 0; i < 99; ++i) {
                now += Duration(*rc::gen::inRange(0, 1000));
                step(model, admission, now, random, i);
                const LoadReport load = admission.load();
                RC_ASSERT(load.running == model.running.size());
                RC_ASSERT(load.queued == model.waiting.size() && load.queued <= QueueLength);
            }
        }));
    }

    // Guards against lost or second decisions, and starts beyond the limit, when thresholds, the adaptive limit and
    // changes of the policy work together.
    void everyAttemptGetsOneDecisionUnderOverload()
    {
        CPPUNIT_ASSERT(rc::check("one decision for each attempt", [] {
            const std::vector<int> tenths{3, 2, 0, 1};
            Admission admission(policyOf(tenths, 5, 20));
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            MonotonicTime now(seconds(1));
            std::set<AttemptId> offered;
            std::set<AttemptId> running;
            const auto take = [&](const AdmissionEvents &events) {
                bool started = false;
                for (const AdmissionEvent &event : events) {
                    RC_ASSERT(offered.erase(event.attempt) == 1U);
                    started = started || event.starts();
                    if (event.starts()) {
                        running.insert(event.attempt);
                    }
                }
                RC_ASSERT(!started || running.size() <= admission.load().limit);
                RC_ASSERT(admission.load().running == running.size());
            };
            for (int i = 0; i < 3000; ++i) {
                now += Duration(static_cast<Duration::rep>(random() % 2000));
                const AttemptId id("i" + std::to_string(i));
                const auto kind = random() % 4;
                offered.insert(id);
                take(admission.offer(id,
                                     {KindName(KindNames[kind]),
                                      {Rank(Ranks[kind]), AdmissionScore(static_cast<std::uint16_t>(random()))},
                                      now + milliseconds(1 + random() % 200),
                                      CallerName("c")},
                                     now, random));
                if (random() % 2 == 0 && !running.empty()) {
                    const AttemptId ended = *running.begin();
                    running.erase(ended);
                    take(admission.finish(ended, milliseconds(1 + random() % 50), now));
                }
                if (random() % 100 == 0) {
                    const auto slots = Slots(static_cast<std::uint32_t>(random() % 6));
                    take(admission.setUpstream(static_cast<UpstreamState>(random() % 4), slots, now));
                } else if (random() % 20 == 0) {
                    take(admission.setUpstream(UpstreamState::Up, Slots(5), now));
                } else if (random() % 100 == 0) {
                    take(admission.setPolicy(policyOf({0, static_cast<int>(random() % 5)}, 4, random() % 20), now));
                } else if (random() % 100 == 0) {
                    take(admission.setPolicy(policyOf(tenths, 5, 20), now));
                }
            }
            take(admission.expire(now + seconds(10)));
            RC_ASSERT(offered.empty());
        }));
    }

    // Guards against a kind that loses its declared share to a flood of any rank, also when the quota is a fraction of
    // a slot (0.1 of 5 or 15 slots) or the other kind's requests run much longer.
    void everyKindKeepsItsShareInAFlood()
    {
        const std::vector<int> tenths{3, 2, 2, 1};
        const std::array<std::uint32_t, 3> slotCounts{5, 15, 20};
        const std::array<double, 3> means{5.0, 10.0, 50.0};
        for (unsigned seed = 1; seed <= 12; ++seed) {
            Random random(seed);
            const std::uint32_t slots = slotCounts.at(seed % 3);
            const std::size_t flooding = seed % 4;
            std::vector<double> meanMs(4);
            std::generate(meanMs.begin(), meanMs.end(), [&] { return means.at(random() % 3); });
            const auto used = slotsUsedInFlood(tenths, slots, meanMs, flooding, random);
            for (std::size_t i = 0; i < 4; ++i) {
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " kind " + KindNames[i] + " used "
                                           + std::to_string(used[i]),
                                       used[i] >= 0.9 * tenths[i] / 10.0 * slots);
            }
        }
    }

private:
    /// Mean slots per kind after 2 s; every kind asks for 1.5 times its share and one for 3 times all slots.
    static std::vector<double> slotsUsedInFlood(const std::vector<int> &tenths, std::uint32_t slots,
                                                const std::vector<double> &meanMs, std::size_t flooding, Random &random)
    {
        const MonotonicTime begin(seconds(2));
        // The same number of slot-seconds for each case: 10 s of half a slot are only 100 requests of 50 ms.
        const MonotonicTime end = begin + seconds(120 / slots);
        Admission admission(policyOf(tenths, slots, 200), fixedLimit());
        std::multimap<MonotonicTime, std::pair<AttemptId, Duration>> ends;
        std::map<AttemptId, std::size_t> kinds;
        std::vector<double> used(4, 0.0);
        std::vector<MonotonicTime> next(4);
        const auto draw = [&random](double meanUs) {
            return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution(1.0 / meanUs)(random)));
        };
        const auto take = [&](const AdmissionEvents &events, MonotonicTime now) {
            for (const AdmissionEvent &event : events) {
                if (event.starts()) {
                    const std::size_t kind = kinds.at(event.attempt);
                    const Duration time = draw(meanMs[kind] * 1000.0);
                    ends.emplace(now + time, std::make_pair(event.attempt, time));
                    const auto inside = std::min(now + time, end) - std::max(now, begin);
                    used[kind] +=
                        std::max(0.0, static_cast<double>(inside.count())) / static_cast<double>((end - begin).count());
                }
            }
        };
        for (int number = 0;; ++number) {
            const auto kind = static_cast<std::size_t>(std::min_element(next.begin(), next.end()) - next.begin());
            const MonotonicTime now = ends.empty() ? next[kind] : std::min(next[kind], ends.begin()->first);
            if (now >= end) {
                return used;
            }
            if (now < next[kind]) {
                const auto [id, time] = ends.begin()->second;
                ends.erase(ends.begin());
                take(admission.finish(id, time, now), now);
                continue;
            }
            const double load = kind == flooding ? 3.0 : 1.5 * tenths[kind] / 10.0;
            next[kind] += draw(meanMs[kind] * 1000.0 / (load * slots));
            const AttemptId id(std::to_string(number));
            kinds[id] = kind;
            const AdmissionScore score(static_cast<std::uint16_t>(random()));
            take(admission.offer(id,
                                 {KindName(KindNames[kind]),
                                  {Rank(Ranks[kind]), score},
                                  now + seconds(1),
                                  CallerName(std::to_string(number % 7))},
                                 now, random),
                 now);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionModelTest);

} // namespace

} // namespace Geraniumsail
