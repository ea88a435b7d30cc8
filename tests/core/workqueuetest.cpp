// Tests of the queue in front of an upstream.
#include "core/workqueue.h"

#include "core/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WorkQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkQueueTest);
    CPPUNIT_TEST(runsUpToTheLimitAndThenWaits);
    CPPUNIT_TEST(lowerClassGoesFirst);
    CPPUNIT_TEST(refusesWhatCannotStartInTime);
    CPPUNIT_TEST(expiresWhatWaitedTooLong);
    CPPUNIT_TEST(givesUpWhatCouldNotEndInTime);
    CPPUNIT_TEST(expiredItemDoesNotHoldUpOthers);
    CPPUNIT_TEST(whatStartsUnderOverloadEndsInTime);
    CPPUNIT_TEST(floodOfTheLastClassDoesNotDelayTheFirst);
    CPPUNIT_TEST(everyItemEndsOnceAndTheLimitHolds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more requests at the upstream than its slots.
    void runsUpToTheLimitAndThenWaits()
    {
        m_queue.setLimit(2);
        CPPUNIT_ASSERT(offer(1, 0) == OfferVerdict::Run);
        CPPUNIT_ASSERT(offer(2, 0) == OfferVerdict::Run);
        CPPUNIT_ASSERT(offer(3, 0) == OfferVerdict::Wait);
        CPPUNIT_ASSERT(m_queue.start(m_now).empty());
        m_queue.finish(milliseconds(100));
        CPPUNIT_ASSERT(m_queue.start(m_now) == std::vector<WorkId>{WorkId(3)});
    }

    // Guards against urgent requests behind others.
    void lowerClassGoesFirst()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        offer(2, 2);
        offer(3, 1);
        offer(4, 0);
        std::vector<WorkId> order;
        for (int i = 0; i < 3; ++i) {
            m_queue.finish(milliseconds(100));
            for (const auto id : m_queue.start(m_now)) {
                order.push_back(id);
            }
        }
        CPPUNIT_ASSERT(order == (std::vector<WorkId>{WorkId(4), WorkId(3), WorkId(2)}));
    }

    // Guards against a wait that is known to be in vain; the caller could have used the time elsewhere.
    void refusesWhatCannotStartInTime()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        CPPUNIT_ASSERT(m_queue.offer({WorkId(2), WorkClass(0), m_now + seconds(1), milliseconds(50), {}}, m_now)
                       == OfferVerdict::RefuseWait);
        CPPUNIT_ASSERT(m_queue.offer({WorkId(3), WorkClass(0), m_now + milliseconds(80), seconds(1), {}}, m_now)
                       == OfferVerdict::RefuseDeadline);
        CPPUNIT_ASSERT(m_queue.offer({WorkId(4), WorkClass(0), m_now, seconds(1), {}}, m_now)
                       == OfferVerdict::RefuseDeadline);
    }

    // Guards against held requests that neither run nor get an answer.
    void expiresWhatWaitedTooLong()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        m_queue.offer({WorkId(2), WorkClass(0), m_now + seconds(5), milliseconds(200), {}}, m_now);
        CPPUNIT_ASSERT(m_queue.nextExpiry() == m_now + milliseconds(200));
        CPPUNIT_ASSERT(m_queue.expire(m_now + milliseconds(199)).empty());
        CPPUNIT_ASSERT(m_queue.expire(m_now + milliseconds(200)) == std::vector<WorkId>{WorkId(2)});
        CPPUNIT_ASSERT(m_queue.nextExpiry() == MonotonicTime::max());
    }

    // Guards against a request that starts so late that it holds a slot until its deadline and fails.
    void givesUpWhatCouldNotEndInTime()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        const WorkItem item{WorkId(2), WorkClass(0), m_now + milliseconds(900), seconds(5), milliseconds(600)};
        CPPUNIT_ASSERT(m_queue.offer(item, m_now) == OfferVerdict::Wait);
        CPPUNIT_ASSERT(m_queue.nextExpiry() == m_now + milliseconds(300));
        const WorkItem hopeless{WorkId(3), WorkClass(0), m_now + milliseconds(650), seconds(5), milliseconds(600)};
        CPPUNIT_ASSERT(m_queue.offer(hopeless, m_now) == OfferVerdict::RefuseDeadline);
    }

    // Guards against a free slot that stays empty until the queue is next cleaned.
    void expiredItemDoesNotHoldUpOthers()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        m_queue.offer({WorkId(2), WorkClass(0), m_now + seconds(5), milliseconds(120), {}}, m_now);
        offer(3, 0);
        m_queue.finish(milliseconds(100));
        CPPUNIT_ASSERT(m_queue.start(m_now + milliseconds(130)) == std::vector<WorkId>{WorkId(3)});
        CPPUNIT_ASSERT(m_queue.expire(m_now + milliseconds(130)) == std::vector<WorkId>{WorkId(2)});
    }

    // The load: short calls take half of the slots, and requests of 600 ms with a timeout of 1.5 s ask for twice the
    // other half, for 20 s. Guards against work that is started and thrown away because the mean of all service times
    // is far below that of the long requests.
    void whatStartsUnderOverloadEndsInTime()
    {
        constexpr auto longRun = milliseconds(600);
        constexpr auto shortRun = milliseconds(20);
        constexpr auto timeout = milliseconds(1500);
        m_queue.setLimit(20);
        std::map<std::uint64_t, MonotonicTime> deadlines; // Of the long requests.
        std::vector<std::pair<MonotonicTime, Duration>> ends;
        int late = 0;
        int inTime = 0;
        const auto begin = [&](std::uint64_t id, MonotonicTime now) {
            const auto found = deadlines.find(id);
            const Duration run = found == deadlines.end() ? shortRun : longRun;
            ends.emplace_back(now + run, run);
            if (found != deadlines.end()) {
                (now + run <= found->second ? inTime : late) += 1;
            }
        };
        std::uint64_t id = 0;
        for (int ms = 0; ms < 20000; ++ms) {
            const auto now = m_now + milliseconds(ms);
            std::erase_if(ends, [&](const auto &end) {
                if (end.first <= now) {
                    m_queue.finish(end.second);
                }
                return end.first <= now;
            });
            for (const auto started : m_queue.start(now)) {
                begin(started.value(), now);
            }
            if (ms % 50 == 0) {
                m_queue.expire(now);
            }
            const auto offerNow = [&](Duration run, std::uint8_t workClass) {
                ++id;
                if (run == longRun) {
                    deadlines[id] = now + timeout;
                }
                const WorkItem item{WorkId(id), WorkClass(workClass), now + timeout, seconds(1), run};
                if (m_queue.offer(item, now) == OfferVerdict::Run) {
                    begin(id, now);
                }
            };
            if (ms % 2 == 0) {
                offerNow(shortRun, 1);
            }
            if (ms % 30 == 0) {
                offerNow(longRun, 2);
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, late);
        // Ten slots are left for them, each for one run of 600 ms at a time.
        CPPUNIT_ASSERT(inTime >= 10 * 20000 / 600 * 9 / 10);
    }

    // The load: ten times the capacity in the last class for 20 s, a tenth of it in the first. Guards against a flood
    // that delays or displaces urgent requests.
    void floodOfTheLastClassDoesNotDelayTheFirst()
    {
        constexpr int slots = 10;
        constexpr auto service = milliseconds(100);
        m_queue.setLimit(slots);
        std::vector<MonotonicTime> ends;
        std::uint64_t id = 0;
        int urgentRun = 0;
        int urgentOffered = 0;
        std::set<std::uint64_t> urgentWaiting;
        for (int ms = 0; ms < 20000; ++ms) {
            const auto now = m_now + milliseconds(ms);
            for (std::size_t i = 0; i < ends.size();) {
                if (ends[i] <= now) {
                    ends.erase(ends.begin() + static_cast<std::ptrdiff_t>(i));
                    m_queue.finish(service);
                } else {
                    ++i;
                }
            }
            for (const auto started : m_queue.start(now)) {
                ends.push_back(now + service);
                urgentRun += static_cast<int>(urgentWaiting.erase(started.value()));
            }
            m_queue.expire(now);
            const bool urgent = ms % 100 == 0;
            const WorkItem item{WorkId(++id), WorkClass(urgent ? 0 : 2), now + seconds(1), milliseconds(150), {}};
            const auto verdict = m_queue.offer(item, now);
            urgentOffered += urgent ? 1 : 0;
            if (verdict == OfferVerdict::Run) {
                ends.push_back(now + service);
                urgentRun += urgent ? 1 : 0;
            } else if (urgent && verdict == OfferVerdict::Wait) {
                urgentWaiting.insert(id);
            }
        }
        CPPUNIT_ASSERT(urgentRun >= urgentOffered * 99 / 100);
    }

    // Guards against lost or doubled items and a leaking count, over random operations.
    void everyItemEndsOnceAndTheLimitHolds()
    {
        Random random(3);
        const auto draw = [&](int most) {
            return std::uniform_int_distribution<int>(0, most)(random);
        };
        for (int round = 0; round < 100; ++round) {
            WorkQueue queue;
            queue.setLimit(3);
            std::set<WorkId> waiting;
            std::uint32_t running = 0;
            auto now = m_now;
            for (std::uint64_t i = 1; i < 200; ++i) {
                now += milliseconds(draw(20));
                const WorkItem item{WorkId(i), WorkClass(static_cast<std::uint8_t>(draw(2))),
                                    now + milliseconds(draw(400)), milliseconds(draw(300)), milliseconds(draw(50))};
                const auto verdict = queue.offer(item, now);
                running += verdict == OfferVerdict::Run ? 1 : 0;
                if (verdict == OfferVerdict::Wait) {
                    waiting.insert(item.id);
                }
                if (running > 0 && draw(1) == 0) {
                    queue.finish(milliseconds(draw(100)));
                    --running;
                }
                for (const auto id : queue.start(now)) {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), waiting.erase(id));
                    ++running;
                }
                for (const auto id : queue.expire(now)) {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), waiting.erase(id));
                }
                CPPUNIT_ASSERT(running <= 3);
                CPPUNIT_ASSERT_EQUAL(running, queue.load().running);
                CPPUNIT_ASSERT_EQUAL(waiting.size(), std::size_t(queue.load().waiting));
            }
        }
    }

private:
    OfferVerdict offer(std::uint64_t id, std::uint8_t workClass)
    {
        return m_queue.offer({WorkId(id), WorkClass(workClass), m_now + seconds(10), seconds(5), {}}, m_now);
    }

    MonotonicTime m_now{seconds(100)};
    WorkQueue m_queue;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkQueueTest);

} // namespace

} // namespace Geraniumsail
