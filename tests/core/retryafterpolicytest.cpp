// Tests of the Retry-After delay for refused requests.
#include "core/retryafterpolicy.h"

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

class RetryAfterPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryAfterPolicyTest);
    CPPUNIT_TEST(delayLeavesTimeForTheResponse);
    CPPUNIT_TEST(delayIsBounded);
    CPPUNIT_TEST(targetBasedDelayServesMoreCallersInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry that can only get a late response although an earlier one could meet the target.
    void delayLeavesTimeForTheResponse()
    {
        RetryAfterPolicy policy;
        for (int i = 0; i < 200; ++i) {
            policy.onResponse(RouteName("r"), milliseconds(700));
        }
        for (int i = 0; i < 100; ++i) {
            const auto delay = policy.delay(rule(milliseconds(1500)), m_random);
            CPPUNIT_ASSERT(delay <= milliseconds(800));
            CPPUNIT_ASSERT(delay >= milliseconds(300));
        }
    }

    // Guards against a delay of zero or less, and against one that is too long for callers to honour.
    void delayIsBounded()
    {
        RetryAfterPolicy policy;
        policy.onResponse(RouteName("r"), seconds(3));
        CPPUNIT_ASSERT(policy.delay(rule(milliseconds(300)), m_random) == RetryAfterPolicy::MinDelay);
        CPPUNIT_ASSERT(RetryAfterPolicy().delay(rule(seconds(60)), m_random) == RetryAfterPolicy::MaxDelay);
    }

    // 150 requests a second for 60 s on a service that responds to 100 a second in 700 ms; each caller retries once.
    // Guards against a delay that is too long for the retry to meet the target: with MaxDelay no retry can meet it.
    void targetBasedDelayServesMoreCallersInTime()
    {
        RetryAfterPolicy policy;
        policy.onResponse(RouteName("r"), ResponseTime);
        const auto withTarget = servedInTime([&] { return policy.delay(rule(Target), m_random); });
        const auto withMaxDelay = servedInTime([] { return RetryAfterPolicy::MaxDelay; });
        CPPUNIT_ASSERT(withTarget > withMaxDelay);
        // Nearly all requests that the service could run in this time met their target.
        CPPUNIT_ASSERT(withTarget >= 99 * 60);
    }

private:
    static constexpr Duration Target = milliseconds(1500);
    static constexpr Duration ResponseTime = milliseconds(700);

    struct Attempt
    {
        Duration at; ///< Since the start.
        Duration first; ///< Time of the caller's first attempt.
        bool operator>(const Attempt &other) const
        {
            return at > other.at;
        }
    };

    /// Number of callers that get a response within the target. The service starts 100 requests a second, and up to ten
    /// unused starts carry over.
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
                inTime += attempt.at + ResponseTime - attempt.first <= Target ? 1 : 0;
            } else if (attempt.at == attempt.first) {
                attempts.push({attempt.at + delay(), attempt.first});
            }
        }
        return inTime;
    }

    Random m_random{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAfterPolicyTest);

} // namespace

} // namespace Geraniumsail
