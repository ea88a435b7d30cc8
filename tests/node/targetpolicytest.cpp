// Tests of the target role: what an arrival that does not run tells its sender.
#include "node/targetpolicy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

const ServiceName Service("charts");
constexpr Incarnation Life{7};

CallContext context(const std::string &attempt, Allowance allowance)
{
    CallContext result;
    result.id = RequestId("request");
    result.attempt = AttemptId(attempt);
    result.kind = KindName("harbour-chart");
    result.deadline = MonotonicTime(std::chrono::seconds(60));
    result.allowance = allowance;
    result.caller = CallerName("warden");
    return result;
}

CallContext ticketContext(const std::string &attempt, Allowance allowance)
{
    auto result = context(attempt, allowance);
    result.unrepeatable = true;
    result.epoch = TicketEpoch(1);
    result.incarnation = Life;
    return result;
}

class TargetPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetPolicyTest);
    CPPUNIT_TEST(refusalReturnsTheWholeGrant);
    CPPUNIT_TEST(repeatedArrivalReturnsItsOwnGrant);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_policy = std::make_unique<TargetPolicy>(Life, PolicySwitches{}, m_book, m_random, m_now);
        Announcement announcement;
        announcement.service = Service;
        announcement.address = Address("127.0.0.1:1");
        announcement.slots = Slots(4);
        announcement.connections = Connections(4);
        m_policy->announce(announcement, m_now);
    }

    /// A refusal that kept the grant left the sender without the retry that the refusal calls for.
    void refusalReturnsTheWholeGrant()
    {
        m_policy->drain(m_now);
        const auto decision = arrive(context("a", Allowance(3)));
        CPPUNIT_ASSERT(std::get<RefuseAttempt>(decision->action).kind == ErrorKind::Draining);
        CPPUNIT_ASSERT(decision->report.unused == Allowance(3));
    }

    /// A duplicate never runs, so its grant is unused, whatever the first arrival spent.
    void repeatedArrivalReturnsItsOwnGrant()
    {
        CPPUNIT_ASSERT(std::holds_alternative<RunAttempt>(arrive(ticketContext("t", Allowance(5)))->action));
        const auto joined = arrive(ticketContext("t", Allowance(2)));
        CPPUNIT_ASSERT(!joined->report.unused.value());
        m_policy->end(AttemptId("t"),
                      AttemptEnd{Outcome::Unknown, ErrorKind::ConnectionLost, std::nullopt, std::nullopt}, m_now);
        CPPUNIT_ASSERT(std::get<RefuseAttempt>(joined->action).kind == ErrorKind::ConnectionLost);
        CPPUNIT_ASSERT(joined->report.unused == Allowance(2));
    }

private:
    std::shared_ptr<AttemptDecision> arrive(const CallContext &context)
    {
        auto decision = std::make_shared<AttemptDecision>();
        m_policy->arrive(context, Service, m_now, [decision](const AttemptDecision &given) { *decision = given; });
        return decision;
    }

    PolicyBook m_book;
    Random m_random{1};
    MonotonicTime m_now{std::chrono::seconds(1)};
    std::unique_ptr<TargetPolicy> m_policy;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPolicyTest);

} // namespace

} // namespace Geraniumsail
