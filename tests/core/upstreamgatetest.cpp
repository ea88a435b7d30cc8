// Tests of UpstreamGate with reports that are late, out of order, from earlier incarnations or about other upstreams.
#include "core/upstreamgate.h"

#include "core/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace Geraniumsail {

namespace {

using std::chrono::seconds;

UpstreamReport report(const std::string &id, std::int64_t started, std::uint64_t sequence, UpstreamPhase phase)
{
    UpstreamReport result;
    result.id = UpstreamId(id);
    result.service = ServiceName("bookings");
    result.address = Address("127.0.0.1:80");
    result.slots = Slots(10);
    result.phase = phase;
    result.sequence = sequence;
    result.startedMs = started;
    return result;
}

class UpstreamGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamGateTest);
    CPPUNIT_TEST(closedUntilTheFirstReport);
    CPPUNIT_TEST(drainingIsFinalForItsIncarnation);
    CPPUNIT_TEST(deregistrationIsFinalAlsoWithoutDraining);
    CPPUNIT_TEST(laterIncarnationWithSameIdOpensTheGate);
    CPPUNIT_TEST(foreignReportsAreIgnored);
    CPPUNIT_TEST(gateClosesWithoutReports);
    CPPUNIT_TEST(rememberedLeavesAreBounded);
    CPPUNIT_TEST(earlierLeaveClosesTheGate);
    CPPUNIT_TEST(reportOrderDoesNotMatter);
    CPPUNIT_TEST(lateLeaveIsRecorded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against deliveries after a node restart, before the upstream has reported its incarnation.
    void closedUntilTheFirstReport()
    {
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
        CPPUNIT_ASSERT(m_gate.onReport(report("i1", 5, 1, UpstreamPhase::Ready), m_now) == ReportVerdict::Applied);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) != nullptr);
    }

    // Guards against a late "ready" report that reopens the gate after draining was acknowledged.
    void drainingIsFinalForItsIncarnation()
    {
        m_gate.onReport(report("i1", 5, 1, UpstreamPhase::Ready), m_now);
        m_gate.onReport(report("i1", 5, 3, UpstreamPhase::Draining), m_now);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
        CPPUNIT_ASSERT(m_gate.onReport(report("i1", 5, 2, UpstreamPhase::Ready), m_now) == ReportVerdict::Stale);
        m_gate.onReport(report("i1", 5, 9, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
    }

    // Guards against a leave that is acknowledged and not recorded because its report arrives after one of a later
    // incarnation: a report of the earlier one would open the gate of the next process of the node.
    void lateLeaveIsRecorded()
    {
        m_gate.onReport(report("i2", 6, 1, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.onReport(report("i1", 5, 4, UpstreamPhase::Draining), m_now) == ReportVerdict::Stale);
        CPPUNIT_ASSERT(m_gate.leaves().contains(UpstreamId("i1"), 5));
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) != nullptr);
        m_gate.onReport(report("i2", 6, 3, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.onReport(report("i2", 6, 2, UpstreamPhase::Draining), m_now) == ReportVerdict::Stale);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
    }

    // Guards against deliveries to an upstream that deregistered but still accepts requests for a while.
    void deregistrationIsFinalAlsoWithoutDraining()
    {
        m_gate.onReport(report("i1", 5, 1, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.onLeave(UpstreamId("i1"), 0, m_wallNow) == ReportVerdict::Applied);
        m_gate.onReport(report("i1", 5, 2, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
    }

    // Guards against a gate that stays closed for a new incarnation because its id was used before.
    void laterIncarnationWithSameIdOpensTheGate()
    {
        m_gate.onReport(report("i1", 5, 8, UpstreamPhase::Ready), m_now);
        m_gate.onLeave(UpstreamId("i1"), 5, m_wallNow);
        m_gate.onReport(report("i1", 6, 1, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) != nullptr);
        CPPUNIT_ASSERT(m_gate.onLeave(UpstreamId("i1"), 5, m_wallNow) == ReportVerdict::Stale);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) != nullptr);
    }

    // Guards against deliveries to a VM of another service that took over the address, and against reports of another
    // upstream at another address.
    void foreignReportsAreIgnored()
    {
        auto other = report("i2", 9, 1, UpstreamPhase::Ready);
        other.service = ServiceName("charts");
        CPPUNIT_ASSERT(m_gate.onReport(other, m_now) == ReportVerdict::Foreign);
        other = report("i2", 9, 1, UpstreamPhase::Ready);
        other.address = Address("127.0.0.1:81");
        CPPUNIT_ASSERT(m_gate.onReport(other, m_now) == ReportVerdict::Foreign);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
    }

    // Guards against a gate that stays open for an upstream that crashed without deregistering.
    void gateClosesWithoutReports()
    {
        m_gate.onReport(report("i1", 5, 1, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now + UpstreamGate::ReportLifetime) != nullptr);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now + UpstreamGate::ReportLifetime + seconds(1)) == nullptr);
    }

    // Guards against memory that grows with each deregistration of an upstream that is not known here.
    void rememberedLeavesAreBounded()
    {
        for (int i = 0; i < 5000; ++i) {
            m_gate.onLeave(UpstreamId("other-" + std::to_string(i)), i + 1, m_wallNow);
        }
        CPPUNIT_ASSERT(m_gate.leaves().leaves().size() <= LeaveRecord::MaxLeaves);
        // The latest are still known.
        m_gate.onReport(report("other-4999", 5000, 1, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
    }

    // Guards against a delayed report that opens the gate of a restarted node for an upstream that had left before.
    void earlierLeaveClosesTheGate()
    {
        m_gate.onReport(report("i1", 5, 1, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.restoreLeave(UpstreamId("i1"), 5));
        CPPUNIT_ASSERT(!m_gate.restoreLeave(UpstreamId("i1"), 5));
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
        m_gate.onReport(report("i1", 5, 9, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) == nullptr);
        m_gate.onReport(report("i1", 6, 1, UpstreamPhase::Ready), m_now);
        CPPUNIT_ASSERT(m_gate.availableUpstream(m_now) != nullptr);
    }

    // Shuffles the reports of two incarnations. Guards against an order that leaves the gate open for a draining one.
    void reportOrderDoesNotMatter()
    {
        const std::vector<UpstreamReport> reports{
            report("i1", 5, 1, UpstreamPhase::Ready), report("i1", 5, 2, UpstreamPhase::Draining),
            report("i2", 8, 1, UpstreamPhase::Ready), report("i2", 8, 2, UpstreamPhase::Draining)};
        Random random(11);
        for (int round = 0; round < 200; ++round) {
            UpstreamGate gate(ServiceName("bookings"), Address("127.0.0.1:80"));
            auto order = reports;
            std::shuffle(order.begin(), order.end(), random);
            for (const auto &next : order) {
                gate.onReport(next, m_now);
                const auto *upstream = gate.availableUpstream(m_now);
                CPPUNIT_ASSERT(upstream == nullptr || upstream->report.sequence == 1);
            }
            CPPUNIT_ASSERT(gate.availableUpstream(m_now) == nullptr);
        }
    }

private:
    MonotonicTime m_now{seconds(100)};
    WallTime m_wallNow{seconds(1000)};
    UpstreamGate m_gate{ServiceName("bookings"), Address("127.0.0.1:80")};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamGateTest);

} // namespace

} // namespace Geraniumsail
