// Tests of the adaptive concurrency limit.
#include "core/concurrencylimit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <random>
#include <set>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;

/// A simulated upstream that always runs as many requests as the limit allows. Service times vary by up to half around
/// the given one.
struct Upstream
{
    using ServiceTime = std::function<Duration(int inFlight)>;
    using Running = std::pair<MonotonicTime, MonotonicTime>; // end, start

    void run(Duration length, const KindName &kind, const ServiceTime &serviceTime)
    {
        const MonotonicTime end = now + length;
        while (now < end) {
            while (static_cast<int>(running.size()) < limit.limit()) {
                const Duration mean = serviceTime(limit.limit());
                running.emplace(
                    now + Duration(static_cast<Duration::rep>(static_cast<double>(mean.count()) * variation(random))),
                    now);
            }
            const Running first = *running.begin();
            now = first.first;
            limit.onFinish(kind, now - first.second, static_cast<int>(running.size()), now);
            running.erase(running.begin());
        }
    }

    ConcurrencyLimit limit;
    MonotonicTime now{};
    std::multiset<Running> running;
    std::mt19937_64 random{5};
    std::uniform_real_distribution<double> variation{0.5, 1.5};
};

class ConcurrencyLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
    CPPUNIT_TEST(shrinksWhenConcurrencyCausesLatency);
    CPPUNIT_TEST(recoversWhenTheUpstreamDoes);
    CPPUNIT_TEST(doesNotCollapseWhenADependencyIsSlow);
    CPPUNIT_TEST(doesNotShrinkWhenTheMixOfKindsChanges);
    CPPUNIT_TEST(doesNotShrinkOnTheBacklogOfOnePause);
    CPPUNIT_TEST(longRunningWorkIsNotSampled);
    CPPUNIT_TEST(staysWithinSlots);
    CPPUNIT_TEST_SUITE_END();

    const KindName m_read{"read"};

    static Upstream::ServiceTime constant(int ms)
    {
        return [ms](int) {
            return Duration(milliseconds(ms));
        };
    }

    /// Service time under processor sharing: grows in proportion once more requests run than there are processors.
    static Upstream::ServiceTime sharedProcessor(int ms, int processors)
    {
        return [ms, processors](int inFlight) {
            return Duration(milliseconds(ms)) * std::max(processors, inFlight) / processors;
        };
    }

public:
    // Guards against a limit that leaves an upstream overloaded because it announced far more slots than it can serve.
    void shrinksWhenConcurrencyCausesLatency()
    {
        Upstream upstream;
        upstream.limit.setSlots(Slots(50));
        upstream.run(std::chrono::seconds(2), m_read, constant(10));
        upstream.run(std::chrono::seconds(5), m_read, sharedProcessor(10, 10));
        CPPUNIT_ASSERT(upstream.limit.limit() <= 25);
        CPPUNIT_ASSERT(upstream.limit.limit() >= 10);
    }

    // Guards against a limit that stays low after the cause of the latency has gone.
    void recoversWhenTheUpstreamDoes()
    {
        Upstream upstream;
        upstream.limit.setSlots(Slots(50));
        upstream.run(std::chrono::seconds(2), m_read, constant(10));
        upstream.run(std::chrono::seconds(5), m_read, sharedProcessor(10, 10));
        upstream.run(std::chrono::seconds(5), m_read, constant(10));
        CPPUNIT_ASSERT_EQUAL(50, upstream.limit.limit());
    }

    // Guards against reducing the limit to one request when a slow dependency, not concurrency, causes the latency.
    void doesNotCollapseWhenADependencyIsSlow()
    {
        Upstream upstream;
        upstream.limit.setSlots(Slots(50));
        upstream.run(std::chrono::seconds(2), m_read, constant(10));
        int lowest = 50;
        for (int i = 0; i < 100; ++i) {
            upstream.run(milliseconds(200), m_read, constant(200));
            lowest = std::min(lowest, upstream.limit.limit());
        }
        CPPUNIT_ASSERT(lowest >= 30);
        CPPUNIT_ASSERT_EQUAL(50, upstream.limit.limit());
    }

    // Guards against mistaking a change in the mix of kinds for a slower upstream.
    void doesNotShrinkWhenTheMixOfKindsChanges()
    {
        ConcurrencyLimit limit;
        limit.setSlots(Slots(50));
        std::mt19937_64 random(7);
        MonotonicTime now{};
        for (int i = 0; i < 20000; ++i) {
            const bool slow = i > 10000 ? i % 10 != 0 : i % 10 == 0;
            const KindName kind(slow ? "search" : "read");
            const double meanUs = slow ? 400000.0 : 5000.0;
            std::exponential_distribution<double> serviceUs(1.0 / meanUs);
            now += milliseconds(1);
            limit.onFinish(kind, Duration(static_cast<Duration::rep>(serviceUs(random))), limit.limit(), now);
            CPPUNIT_ASSERT(limit.limit() >= 45);
        }
    }

    // Guards against a slow recovery after a pause, when all requests end at once with a long service time.
    void doesNotShrinkOnTheBacklogOfOnePause()
    {
        Upstream upstream;
        upstream.limit.setSlots(Slots(50));
        upstream.run(std::chrono::seconds(2), m_read, constant(10));
        upstream.run(std::chrono::seconds(10), m_read, constant(10000));
        upstream.run(std::chrono::seconds(1), m_read, constant(10));
        CPPUNIT_ASSERT_EQUAL(50, upstream.limit.limit());
    }

    // Guards against downloads of 30 s reducing the limit of an upstream that also serves reads of 5 ms.
    void longRunningWorkIsNotSampled()
    {
        Upstream upstream;
        upstream.limit.setSlots(Slots(50));
        for (int i = 0; i < 100; ++i) {
            upstream.run(milliseconds(100), m_read, constant(5));
            upstream.limit.onFinish(KindName("download"), std::nullopt, 50, upstream.now);
        }
        CPPUNIT_ASSERT_EQUAL(50, upstream.limit.limit());
    }

    // Guards against a limit above the slots, and against a minimum of 1 for an upstream without slots.
    void staysWithinSlots()
    {
        Upstream upstream;
        upstream.limit.setSlots(Slots(8));
        upstream.run(std::chrono::seconds(2), m_read, constant(5));
        CPPUNIT_ASSERT_EQUAL(8, upstream.limit.limit());
        upstream.limit.setSlots(Slots(0));
        CPPUNIT_ASSERT_EQUAL(0, upstream.limit.limit());
        upstream.limit.setSlots(Slots(3));
        CPPUNIT_ASSERT_EQUAL(3, upstream.limit.limit());
        upstream.limit.setSlots(Slots(9));
        CPPUNIT_ASSERT_EQUAL(9, upstream.limit.limit());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimitTest);

} // namespace

} // namespace Geraniumsail
