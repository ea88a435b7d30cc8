// Tests for where a reader of the store continues, and for its pauses.
#include "core/storecursor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

class StoreCursorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreCursorTest);
    CPPUNIT_TEST(failureEndsTheSequence);
    CPPUNIT_TEST(positionIsKeptInAStatedHistory);
    CPPUNIT_TEST(lostHistoryIsReadAtOnce);
    CPPUNIT_TEST(pausesGrowWhileReadsDoNotHelp);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a watch that continues across a time of which nothing is known.
    void failureEndsTheSequence()
    {
        CPPUNIT_ASSERT(!m_cursor.position());
        m_cursor.onRead(5);
        m_cursor.onChanges(7);
        CPPUNIT_ASSERT(m_cursor.position() == std::uint64_t(7));
        m_cursor.onFailure(StoreCursor::MaxPause, m_random);
        CPPUNIT_ASSERT(!m_cursor.position());
    }

    void positionIsKeptInAStatedHistory()
    {
        m_cursor.onRead(5);
        m_cursor.onFailureInStatedHistory(StoreCursor::MaxPause, m_random);
        CPPUNIT_ASSERT(m_cursor.position() == std::uint64_t(5));
    }

    void lostHistoryIsReadAtOnce()
    {
        for (int i = 0; i < 10; ++i) {
            m_cursor.onFailure(StoreCursor::MaxPause, m_random);
        }
        m_cursor.onRead(5);
        m_cursor.onChanges(6);
        CPPUNIT_ASSERT(m_cursor.onHistoryGone(StoreCursor::MaxPause, m_random) == Duration(0));
        CPPUNIT_ASSERT(!m_cursor.position());
    }

    // Guards against a loop of refused watches and successful reads without pauses.
    void pausesGrowWhileReadsDoNotHelp()
    {
        m_cursor.onRead(5);
        m_cursor.onChanges(6);
        m_cursor.onHistoryGone(StoreCursor::MaxPause, m_random);
        auto bound = StoreCursor::MinPause;
        for (int i = 0; i < 6; ++i) {
            m_cursor.onRead(7);
            const auto pause = m_cursor.onHistoryGone(StoreCursor::MaxPause, m_random);
            CPPUNIT_ASSERT(pause >= bound / 2 && pause <= bound);
            bound = std::min(bound * 2, StoreCursor::MaxPause);
        }
        m_cursor.onRead(8);
        m_cursor.onChanges(9);
        m_cursor.onHistoryGone(StoreCursor::MaxPause, m_random);
        m_cursor.onRead(10);
        CPPUNIT_ASSERT(m_cursor.onHistoryGone(StoreCursor::MaxPause, m_random) <= StoreCursor::MinPause);
    }

private:
    StoreCursor m_cursor;
    Random m_random{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreCursorTest);

} // namespace

} // namespace Geraniumsail
