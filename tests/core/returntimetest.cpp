// Tests of the time after which a refused caller is asked to return.
#include "core/returntime.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <queue>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RouteRule rule(Duration target)
{
    RouteRule result;
    result.name = RouteName("r");
    result.latencyTarget = target;
    return result;
}

class ReturnTimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReturnTimeTest);
    CPPUNIT_TEST(returnLeavesTimeForTheAnswer);
    CPPUNIT_TEST(delayStaysInItsBounds);
    CPPUNIT_TEST(moreCallersAreServedInTimeThanWithTheLongestDelay);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a return that can only get a late answer although an earlier one could be in time.
    void returnLeavesTimeForTheAnswer()
    {
        ReturnTime times;
        for (int i = 0; i < 200; ++i) {
            times.onServed(RouteName("r"), milliseconds(700));
        }
        for (int i = 0; i < 100; ++i) {
            const auto delay = times.delay(rule(milliseconds(1500)), m_random);
            CPPUNIT_ASSERT(delay <= milliseconds(800));
            CPPUNIT_ASSERT(delay >= milliseconds(300));
        }
    }

    // Guards against a delay of zero or less, and one that no caller honours.
    void delayStaysInItsBounds()
    {
        ReturnTime times;
        times.onServed(RouteName("r"), seconds(3));
        CPPUNIT_ASSERT(times.delay(rule(milliseconds(300)), m_random) == ReturnTime::LeastDelay);
        CPPUNIT_ASSERT(ReturnTime().delay(rule(seconds(60)), m_random) == ReturnTime::MostDelay);
    }

    // The load: 150 requests a second for 60 s on a service that answers 100 a second in 700 ms, each caller returning
    // once. Guards against callers that are asked back too late for an answer in time: with the longest delay none of
    // the returning requests can meet its target.
    void moreCallersAreServedInTimeThanWithTheLongestDelay()
    {
        ReturnTime times;
        times.onServed(RouteName("r"), Answer);
        const auto byTarget = servedInTime([&] { return times.delay(rule(Target), m_random); });
        const auto longest = servedInTime([] { return ReturnTime::MostDelay; });
        CPPUNIT_ASSERT(byTarget > longest);
        // All that the service could run in this time was in time for its caller.
        CPPUNIT_ASSERT(byTarget >= 99 * 60);
    }

private:
    static constexpr Duration Target = milliseconds(1500);
    static constexpr Duration Answer = milliseconds(700);

    struct Attempt
    {
        Duration at; ///< Since the start.
        Duration first; ///< When the caller sent its first attempt.
        bool operator>(const Attempt &other) const
        {
            return at > other.at;
        }
    };

    /// Callers answered within the target. The service starts 100 runs a second; up to ten unused ones are kept.
    static int servedInTime(const std::function<Duration()> &delay)
    {
        constexpr auto runInterval = milliseconds(10);
        std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> attempts;
        for (int i = 0; i < 150 * 60; ++i) {
            const Duration at = Duration(seconds(60)) * i / (150 * 60);
            attempts.push({at, at});
        }
        int inTime = 0;
        Duration nextRun(0);
        while (!attempts.empty()) {
            const auto attempt = attempts.top();
            attempts.pop();
            nextRun = std::max(nextRun, attempt.at - 10 * runInterval);
            if (attempt.at >= nextRun) {
                nextRun += runInterval;
                inTime += attempt.at + Answer - attempt.first <= Target ? 1 : 0;
            } else if (attempt.at == attempt.first) {
                attempts.push({attempt.at + delay(), attempt.first});
            }
        }
        return inTime;
    }

    Random m_random{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnTimeTest);

} // namespace

} // namespace Geraniumsail
