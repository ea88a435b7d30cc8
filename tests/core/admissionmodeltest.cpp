// Property tests that compare admission control with a simple reference model, which searches vectors at each step.
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

/// A queued attempt in the model.
struct ModelEntry
{
    std::string id;
    int kind;
    Priority priority;
    std::uint64_t startTag;
    std::uint64_t arrival;
    MonotonicTime deadline;

    auto queueKey() const
    {
        return std::make_tuple(priority.rank, priority.score.value() / ScoresPerBand, startTag, priority.score,
                               arrival);
    }
    auto orderAcrossKinds() const
    {
        return std::make_tuple(priority.rank, priority.score, arrival);
    }
};

/// Predicts all decisions as long as no threshold applies, that is, within the first window of 100 ms.
class Model
{
public:
    /// The shares of the four kinds are given in tenths, so that all quotas are whole numbers with 10 or 20 slots.
    explicit Model(std::vector<int> shares) : m_tenths(std::move(shares))
    {
    }

    AdmissionDecisions offer(ModelEntry entry, const std::string &caller, MonotonicTime now)
    {
        AdmissionDecisions decisions = expire(now);
        if (!isUp()) {
            decisions.push_back({AttemptId(entry.id), unavailableReason()});
            return decisions;
        }
        if (entry.deadline <= now) {
            decisions.push_back({AttemptId(entry.id), ErrorKind::DeadlineBeforeStart});
            return decisions;
        }
        entry.arrival = m_arrivals++;
        entry.startTag = std::max(m_virtualTime[entry.kind], m_nextStartTags[{entry.kind, caller}]);
        const bool startsAtOnce = static_cast<int>(running.size()) < slots;
        if (!startsAtOnce && queued.size() >= QueueLength && !makeRoom(entry, decisions)) {
            decisions.push_back({AttemptId(entry.id), ErrorKind::QueueFull});
            return decisions;
        }
        m_nextStartTags[{entry.kind, caller}] = entry.startTag + 1;
        queued.push_back(entry);
        start(decisions);
        return decisions;
    }

    AdmissionDecisions expire(MonotonicTime now)
    {
        advance(now);
        AdmissionDecisions decisions;
        std::sort(queued.begin(), queued.end(),
                  [](const auto &a, const auto &b) { return std::tie(a.deadline, a.id) < std::tie(b.deadline, b.id); });
        while (!queued.empty() && queued.front().deadline <= now) {
            decisions.push_back({AttemptId(queued.front().id), ErrorKind::DeadlineBeforeStart});
            queued.erase(queued.begin());
        }
        start(decisions);
        return decisions;
    }

    AdmissionDecisions finish(const std::string &id, MonotonicTime now)
    {
        advance(now);
        running.erase(id);
        return expire(now);
    }

    AdmissionDecisions setUpstream(UpstreamState newState, int newSlots, MonotonicTime now)
    {
        advance(now);
        // Expired attempts are refused for their deadline even if the upstream becomes unavailable at the same time.
        slots = std::min(slots, 0);
        AdmissionDecisions decisions = expire(now);
        state = newState;
        slots = newSlots;
        if (!isUp()) {
            for (const ModelEntry &entry : queued) {
                decisions.push_back({AttemptId(entry.id), unavailableReason()});
            }
            queued.clear();
        }
        start(decisions);
        return decisions;
    }

    /// Updates the credit of each kind. Assumes the initial service time estimate of 10 ms for all kinds.
    void advance(MonotonicTime now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_now).count();
        m_now = now;
        for (int kind = 0; kind < 4; ++kind) {
            const double unusedQuota = quotaOf(kind) - std::min<double>(runningOf(kind), maxRunningWithCredit(kind));
            const double maxCredit = 0.02 + 0.1 * std::max(1.0, quotaOf(kind));
            if (m_tenths[kind] > 0 && (unusedQuota < 0.0 || queuedOf(kind) > 0)) {
                m_credit[kind] = std::clamp(m_credit[kind] + unusedQuota * elapsed, -maxCredit, maxCredit);
            }
        }
    }

    std::vector<ModelEntry> queued;
    std::map<std::string, int> running; ///< Kind by id.
    int slots = 10;
    UpstreamState state = UpstreamState::Up;

private:
    bool isUp() const
    {
        return state == UpstreamState::Up && slots > 0;
    }
    ErrorKind unavailableReason() const
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
    int queuedOf(int kind) const
    {
        return static_cast<int>(
            std::count_if(queued.begin(), queued.end(), [kind](const auto &entry) { return entry.kind == kind; }));
    }
    /// Returns the first or last queued attempt of a kind.
    const ModelEntry *firstOrLast(int kind, bool first) const
    {
        const ModelEntry *best = nullptr;
        for (const ModelEntry &entry : queued) {
            if (entry.kind == kind && (!best || (entry.queueKey() < best->queueKey()) == first)) {
                best = &entry;
            }
        }
        return best;
    }
    double maxRunningWithCredit(int kind) const
    {
        return quotaOf(kind) > 0.0 ? 2.0 * quotaOf(kind) + 1.0 : 0.0;
    }
    double quotaOf(int kind) const
    {
        return m_tenths[kind] / 10.0 * slots;
    }
    bool makeRoom(const ModelEntry &arriving, AdmissionDecisions &decisions)
    {
        const auto protectedQueue = [this](int kind) {
            return static_cast<int>(QueueLength) * m_tenths[kind] / 10;
        };
        const ModelEntry *candidate = nullptr;
        for (int kind = 0; kind < 4; ++kind) {
            const ModelEntry *last = queuedOf(kind) > protectedQueue(kind) ? firstOrLast(kind, false) : nullptr;
            if (last && (!candidate || candidate->orderAcrossKinds() < last->orderAcrossKinds())) {
                candidate = last;
            }
        }
        const bool isProtected = queuedOf(arriving.kind) < protectedQueue(arriving.kind);
        if (!candidate || (!isProtected && candidate->orderAcrossKinds() < arriving.orderAcrossKinds())) {
            return false;
        }
        decisions.push_back({AttemptId(candidate->id), ErrorKind::QueueFull});
        queued.erase(queued.begin() + (candidate - queued.data()));
        return true;
    }
    void start(AdmissionDecisions &decisions)
    {
        while (!queued.empty() && static_cast<int>(running.size()) < slots) {
            const ModelEntry *best = nullptr;
            bool bestWithinShare = false;
            for (int kind = 0; kind < 4; ++kind) {
                const ModelEntry *first = firstOrLast(kind, true);
                const bool withinShare = runningOf(kind) * 10 < m_tenths[kind] * slots
                    || (m_credit[kind] > 0.0 && runningOf(kind) < maxRunningWithCredit(kind));
                if (first
                    && (!best || withinShare > bestWithinShare
                        || (withinShare == bestWithinShare && first->orderAcrossKinds() < best->orderAcrossKinds()))) {
                    best = first;
                    bestWithinShare = withinShare;
                }
            }
            m_virtualTime[best->kind] = std::max(m_virtualTime[best->kind], best->startTag);
            running[best->id] = best->kind;
            decisions.push_back({AttemptId(best->id), std::nullopt});
            queued.erase(queued.begin() + (best - queued.data()));
        }
    }

    std::vector<int> m_tenths;
    std::uint64_t m_arrivals = 0;
    MonotonicTime m_now{};
    std::array<double, 4> m_credit{};
    std::map<int, std::uint64_t> m_virtualTime;
    std::map<std::pair<int, std::string>, std::uint64_t> m_nextStartTags;
};

/// Compares without order, because the order of the refusals within one call has no meaning.
bool sameDecisions(AdmissionDecisions left, AdmissionDecisions right)
{
    const auto before = [](const AdmissionDecision &a, const AdmissionDecision &b) {
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
    CPPUNIT_TEST(decisionsMatchTheModel);
    CPPUNIT_TEST(everyAttemptGetsExactlyOneDecisionUnderOverload);
    CPPUNIT_TEST(everyKindGetsItsShareDuringAFlood);
    CPPUNIT_TEST_SUITE_END();

    /// Applies one random operation to the model and to the controller, and compares the decisions.
    static void step(Model &model, AdmissionController &admission, MonotonicTime now, Random &random, int number)
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
            const auto decisions = admission.offer(AttemptId(entry.id), request, now, random);
            RC_ASSERT(sameDecisions(model.offer(entry, caller, now), decisions));
        } else if (action < 16 && !model.running.empty()) {
            const std::string id = pickFrom(model.running).first;
            const auto decisions = admission.finish(AttemptId(id), milliseconds(1), now);
            RC_ASSERT(sameDecisions(model.finish(id, now), decisions));
        } else if (action < 17 && !model.queued.empty()) {
            const std::string id = pickFrom(model.queued).id;
            RC_ASSERT(admission.withdraw(AttemptId(id), now));
            model.advance(now);
            std::erase_if(model.queued, [&id](const ModelEntry &entry) { return entry.id == id; });
        } else if (action < 18) {
            const auto state = *rc::gen::weightedElement<UpstreamState>(
                {{6, UpstreamState::Up}, {1, UpstreamState::Draining}, {1, UpstreamState::Shedding}});
            const int slots = *rc::gen::element(0, 10, 10, 20);
            const auto decisions = admission.setUpstream(state, Slots(static_cast<std::uint32_t>(slots)), now);
            RC_ASSERT(sameDecisions(model.setUpstream(state, slots, now), decisions));
        } else {
            RC_ASSERT(sameDecisions(model.expire(now), admission.expire(now)));
        }
    }

public:
    // Guards against a wrong start order, wrong evictions, missing or repeated decisions, and more running attempts
    // than slots.
    void decisionsMatchTheModel()
    {
        CPPUNIT_ASSERT(rc::check("decisions are those of the model", [] {
            const auto tenths =
                *rc::gen::elementOf(std::vector<std::vector<int>>{{5, 2, 2, 1}, {0, 0, 0, 0}, {1, 0, 3, 2}});
            AdmissionController admission(policyOf(tenths, 20, QueueLength), fixedLimit());
            Model model(tenths);
            Random random(1);
            MonotonicTime now(seconds(1));
            RC_ASSERT(sameDecisions(model.setUpstream(UpstreamState::Up, 10, now),
                                    admission.setUpstream(UpstreamState::Up, Slots(10), now)));
            // The steps take less than one threshold window in total, because the model has no thresholds.
            for (int i = 0; i < 99; ++i) {
                now += Duration(*rc::gen::inRange(0, 1000));
                step(model, admission, now, random, i);
                const LoadReport load = admission.load();
                RC_ASSERT(load.running == model.running.size());
                RC_ASSERT(load.queued == model.queued.size() && load.queued <= QueueLength);
            }
        }));
    }

    // Guards against missing or repeated decisions and starts beyond the limit when thresholds, the adaptive limit and
    // policy changes interact.
    void everyAttemptGetsExactlyOneDecisionUnderOverload()
    {
        CPPUNIT_ASSERT(rc::check("one decision for each attempt", [] {
            const std::vector<int> tenths{3, 2, 0, 1};
            AdmissionController admission(policyOf(tenths, 5, 20));
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            MonotonicTime now(seconds(1));
            std::set<AttemptId> offered;
            std::set<AttemptId> running;
            const auto recordDecisions = [&](const AdmissionDecisions &decisions) {
                bool started = false;
                for (const AdmissionDecision &decision : decisions) {
                    RC_ASSERT(offered.erase(decision.attempt) == 1U);
                    started = started || decision.starts();
                    if (decision.starts()) {
                        running.insert(decision.attempt);
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
                recordDecisions(
                    admission.offer(id,
                                    {KindName(KindNames[kind]),
                                     {Rank(Ranks[kind]), AdmissionScore(static_cast<std::uint16_t>(random()))},
                                     now + milliseconds(1 + random() % 200),
                                     CallerName("c")},
                                    now, random));
                if (random() % 2 == 0 && !running.empty()) {
                    const AttemptId ended = *running.begin();
                    running.erase(ended);
                    recordDecisions(admission.finish(ended, milliseconds(1 + random() % 50), now));
                }
                if (random() % 100 == 0) {
                    const auto slots = Slots(static_cast<std::uint32_t>(random() % 6));
                    recordDecisions(admission.setUpstream(static_cast<UpstreamState>(random() % 4), slots, now));
                } else if (random() % 20 == 0) {
                    recordDecisions(admission.setUpstream(UpstreamState::Up, Slots(5), now));
                } else if (random() % 100 == 0) {
                    recordDecisions(
                        admission.setPolicy(policyOf({0, static_cast<int>(random() % 5)}, 4, random() % 20), now));
                } else if (random() % 100 == 0) {
                    recordDecisions(admission.setPolicy(policyOf(tenths, 5, 20), now));
                }
            }
            recordDecisions(admission.expire(now + seconds(10)));
            RC_ASSERT(offered.empty());
        }));
    }

    // Guards against a kind losing its declared share to a flood of requests of any rank, also if its quota is not a
    // whole number of slots (0.1 of 5 or 15 slots) or the requests of the other kind run much longer.
    void everyKindGetsItsShareDuringAFlood()
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
    /// Returns the mean slots used per kind, measured after 2 s. The flooding kind demands 3 times all slots, and every
    /// other kind demands 1.5 times its share.
    static std::vector<double> slotsUsedInFlood(const std::vector<int> &tenths, std::uint32_t slots,
                                                const std::vector<double> &meanMs, std::size_t flooding, Random &random)
    {
        const MonotonicTime begin(seconds(2));
        // Each case runs for the same number of slot-seconds: 10 s of half a slot would be only 100 requests of 50 ms.
        const MonotonicTime end = begin + seconds(120 / slots);
        AdmissionController admission(policyOf(tenths, slots, 200), fixedLimit());
        std::multimap<MonotonicTime, std::pair<AttemptId, Duration>> ends;
        std::map<AttemptId, std::size_t> kinds;
        std::vector<double> used(4, 0.0);
        std::vector<MonotonicTime> next(4);
        const auto draw = [&random](double meanUs) {
            return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution(1.0 / meanUs)(random)));
        };
        const auto applyDecisions = [&](const AdmissionDecisions &decisions, MonotonicTime now) {
            for (const AdmissionDecision &decision : decisions) {
                if (decision.starts()) {
                    const std::size_t kind = kinds.at(decision.attempt);
                    const Duration time = draw(meanMs[kind] * 1000.0);
                    ends.emplace(now + time, std::make_pair(decision.attempt, time));
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
                applyDecisions(admission.finish(id, time, now), now);
                continue;
            }
            const double load = kind == flooding ? 3.0 : 1.5 * tenths[kind] / 10.0;
            next[kind] += draw(meanMs[kind] * 1000.0 / (load * slots));
            const AttemptId id(std::to_string(number));
            kinds[id] = kind;
            const AdmissionScore score(static_cast<std::uint16_t>(random()));
            applyDecisions(admission.offer(id,
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
