// Tests of LeaveRecord.
#include "core/leaverecord.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

class LeaveRecordTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaveRecordTest);
    CPPUNIT_TEST(laterIncarnationOfAnIdHasNotLeft);
    CPPUNIT_TEST(mergedRecordsHoldTheLatestLeaves);
    CPPUNIT_TEST(earliestLeavesAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an upstream that is never served again because an earlier one with its id left.
    void laterIncarnationOfAnIdHasNotLeft()
    {
        CPPUNIT_ASSERT(m_record.add(UpstreamId("i1"), 5));
        CPPUNIT_ASSERT(!m_record.add(UpstreamId("i1"), 5));
        CPPUNIT_ASSERT(!m_record.add(UpstreamId("i1"), 4));
        CPPUNIT_ASSERT(m_record.contains(UpstreamId("i1"), 4));
        CPPUNIT_ASSERT(!m_record.contains(UpstreamId("i1"), 6));
        CPPUNIT_ASSERT(!m_record.contains(UpstreamId("i2"), 5));
    }

    // Guards against a leave that is lost when two processes recorded different ones.
    void mergedRecordsHoldTheLatestLeaves()
    {
        m_record.add(UpstreamId("i1"), 5);
        m_record.add(UpstreamId("i2"), 9);
        LeaveRecord other;
        other.add(UpstreamId("i1"), 7);
        other.add(UpstreamId("i3"), 1);
        CPPUNIT_ASSERT(!m_record.containsAll(other));
        m_record.merge(other);
        CPPUNIT_ASSERT(m_record.containsAll(other));
        CPPUNIT_ASSERT(m_record.contains(UpstreamId("i1"), 7));
        CPPUNIT_ASSERT(m_record.contains(UpstreamId("i2"), 9));
    }

    void earliestLeavesAreForgotten()
    {
        for (std::size_t i = 0; i < LeaveRecord::MaxLeaves + 10; ++i) {
            m_record.add(UpstreamId("i" + std::to_string(i)), static_cast<std::int64_t>(i) + 1);
        }
        CPPUNIT_ASSERT_EQUAL(LeaveRecord::MaxLeaves, m_record.leaves().size());
        CPPUNIT_ASSERT(!m_record.contains(UpstreamId("i9"), 10));
        CPPUNIT_ASSERT(m_record.contains(UpstreamId("i10"), 11));
    }

private:
    LeaveRecord m_record;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaveRecordTest);

} // namespace

} // namespace Geraniumsail
