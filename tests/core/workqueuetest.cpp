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
    CPPUNIT_TEST(queuesItemsBeyondTheLimit);
    CPPUNIT_TEST(lowerPriorityClassStartsFirst);
    CPPUNIT_TEST(refusesItemsThatCannotStartInTime);
    CPPUNIT_TEST(expiresItemsThatWaitedTooLong);
    CPPUNIT_TEST(expiresItemsThatCannotFinishInTime);
    CPPUNIT_TEST(expiredItemDoesNotBlockOthers);
    CPPUNIT_TEST(startedItemsMeetTheirDeadlinesUnderOverload);
    CPPUNIT_TEST(lowPriorityFloodDoesNotDelayUrgentItems);
    CPPUNIT_TEST(randomOperationsKeepItemCountsAndLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sending the upstream more requests than it has slots.
    void queuesItemsBeyondTheLimit()
    {
        m_queue.setLimit(2);
        CPPUNIT_ASSERT(offer(1, 0) == OfferResult::Started);
        CPPUNIT_ASSERT(offer(2, 0) == OfferResult::Started);
        CPPUNIT_ASSERT(offer(3, 0) == OfferResult::Queued);
        CPPUNIT_ASSERT(m_queue.startWaiting(m_now).empty());
        m_queue.finish(milliseconds(100));
        CPPUNIT_ASSERT(m_queue.startWaiting(m_now) == std::vector<WorkId>{WorkId(3)});
    }

    // Guards against urgent requests that wait behind others.
    void lowerPriorityClassStartsFirst()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        offer(2, 2);
        offer(3, 1);
        offer(4, 0);
        std::vector<WorkId> order;
        for (int i = 0; i < 3; ++i) {
            m_queue.finish(milliseconds(100));
            for (const auto id : m_queue.startWaiting(m_now)) {
                order.push_back(id);
            }
        }
        CPPUNIT_ASSERT(order == (std::vector<WorkId>{WorkId(4), WorkId(3), WorkId(2)}));
    }

    // Guards against queueing a request that cannot meet its deadline; an early refusal lets the caller try elsewhere.
    void refusesItemsThatCannotStartInTime()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        CPPUNIT_ASSERT(m_queue.offer({WorkId(2), PriorityClass(0), m_now + seconds(1), milliseconds(50), {}}, m_now)
                       == OfferResult::WaitTooLong);
        CPPUNIT_ASSERT(m_queue.offer({WorkId(3), PriorityClass(0), m_now + milliseconds(80), seconds(1), {}}, m_now)
                       == OfferResult::DeadlineTooNear);
        CPPUNIT_ASSERT(m_queue.offer({WorkId(4), PriorityClass(0), m_now, seconds(1), {}}, m_now)
                       == OfferResult::DeadlineTooNear);
    }

    // Guards against queued requests that neither start nor get a response.
    void expiresItemsThatWaitedTooLong()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        m_queue.offer({WorkId(2), PriorityClass(0), m_now + seconds(5), milliseconds(200), {}}, m_now);
        CPPUNIT_ASSERT(m_queue.nextExpiry() == m_now + milliseconds(200));
        CPPUNIT_ASSERT(m_queue.expire(m_now + milliseconds(199)).empty());
        CPPUNIT_ASSERT(m_queue.expire(m_now + milliseconds(200)) == std::vector<WorkId>{WorkId(2)});
        CPPUNIT_ASSERT(m_queue.nextExpiry() == MonotonicTime::max());
    }

    // Guards against a request that starts so late that it holds a slot until its deadline and fails.
    void expiresItemsThatCannotFinishInTime()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        const WorkItem item{WorkId(2), PriorityClass(0), m_now + milliseconds(900), seconds(5), milliseconds(600)};
        CPPUNIT_ASSERT(m_queue.offer(item, m_now) == OfferResult::Queued);
        CPPUNIT_ASSERT(m_queue.nextExpiry() == m_now + milliseconds(300));
        const WorkItem tooLate{WorkId(3), PriorityClass(0), m_now + milliseconds(650), seconds(5), milliseconds(600)};
        CPPUNIT_ASSERT(m_queue.offer(tooLate, m_now) == OfferResult::DeadlineTooNear);
    }

    // Guards against a free slot that stays unused until the next call of expire().
    void expiredItemDoesNotBlockOthers()
    {
        m_queue.setLimit(1);
        offer(1, 0);
        m_queue.offer({WorkId(2), PriorityClass(0), m_now + seconds(5), milliseconds(120), {}}, m_now);
        offer(3, 0);
        m_queue.finish(milliseconds(100));
        CPPUNIT_ASSERT(m_queue.startWaiting(m_now + milliseconds(130)) == std::vector<WorkId>{WorkId(3)});
        CPPUNIT_ASSERT(m_queue.expire(m_now + milliseconds(130)) == std::vector<WorkId>{WorkId(2)});
    }

    // For 20 s, short calls take half of the slots, and requests of 600 ms with a timeout of 1.5 s need twice the other
    // half. Guards against starting requests that miss their deadline because the mean of all service times is far
    // below that of the long requests.
    void startedItemsMeetTheirDeadlinesUnderOverload()
    {
        constexpr auto longServiceTime = milliseconds(600);
        constexpr auto shortServiceTime = milliseconds(20);
        constexpr auto timeout = milliseconds(1500);
        m_queue.setLimit(20);
        std::map<std::uint64_t, MonotonicTime> deadlines; // Of the long requests.
        std::vector<std::pair<MonotonicTime, Duration>> ends;
        int late = 0;
        int inTime = 0;
        const auto begin = [&](std::uint64_t id, MonotonicTime now) {
            const auto found = deadlines.find(id);
            const Duration run = found == deadlines.end() ? shortServiceTime : longServiceTime;
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
            for (const auto started : m_queue.startWaiting(now)) {
                begin(started.value(), now);
            }
            if (ms % 50 == 0) {
                m_queue.expire(now);
            }
            const auto offerNow = [&](Duration run, std::uint8_t priorityClass) {
                ++id;
                if (run == longServiceTime) {
                    deadlines[id] = now + timeout;
                }
                const WorkItem item{WorkId(id), PriorityClass(priorityClass), now + timeout, seconds(1), run};
                if (m_queue.offer(item, now) == OfferResult::Started) {
                    begin(id, now);
                }
            };
            if (ms % 2 == 0) {
                offerNow(shortServiceTime, 1);
            }
            if (ms % 30 == 0) {
                offerNow(longServiceTime, 2);
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, late);
        // Ten slots are left for the long requests, which take 600 ms each.
        CPPUNIT_ASSERT(inTime >= 10 * 20000 / 600 * 9 / 10);
    }

    // For 20 s, ten times the capacity arrives in the last class and a tenth of it in the first. Guards against a flood
    // of low-priority requests that delays or displaces urgent ones.
    void lowPriorityFloodDoesNotDelayUrgentItems()
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
            for (const auto started : m_queue.startWaiting(now)) {
                ends.push_back(now + service);
                urgentRun += static_cast<int>(urgentWaiting.erase(started.value()));
            }
            m_queue.expire(now);
            const bool urgent = ms % 100 == 0;
            const WorkItem item{WorkId(++id), PriorityClass(urgent ? 0 : 2), now + seconds(1), milliseconds(150), {}};
            const auto result = m_queue.offer(item, now);
            urgentOffered += urgent ? 1 : 0;
            if (result == OfferResult::Started) {
                ends.push_back(now + service);
                urgentRun += urgent ? 1 : 0;
            } else if (urgent && result == OfferResult::Queued) {
                urgentWaiting.insert(id);
            }
        }
        CPPUNIT_ASSERT(urgentRun >= urgentOffered * 99 / 100);
    }

    // Random operations. Guards against lost or duplicate items and a leaking count of running items.
    void randomOperationsKeepItemCountsAndLimit()
    {
        Random random(3);
        const auto draw = [&](int maxValue) {
            return std::uniform_int_distribution<int>(0, maxValue)(random);
        };
        for (int round = 0; round < 100; ++round) {
            WorkQueue queue;
            queue.setLimit(3);
            std::set<WorkId> waiting;
            std::uint32_t running = 0;
            auto now = m_now;
            for (std::uint64_t i = 1; i < 200; ++i) {
                now += milliseconds(draw(20));
                const WorkItem item{WorkId(i), PriorityClass(static_cast<std::uint8_t>(draw(2))),
                                    now + milliseconds(draw(400)), milliseconds(draw(300)), milliseconds(draw(50))};
                const auto result = queue.offer(item, now);
                running += result == OfferResult::Started ? 1 : 0;
                if (result == OfferResult::Queued) {
                    waiting.insert(item.id);
                }
                if (running > 0 && draw(1) == 0) {
                    queue.finish(milliseconds(draw(100)));
                    --running;
                }
                for (const auto id : queue.startWaiting(now)) {
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
    OfferResult offer(std::uint64_t id, std::uint8_t priorityClass)
    {
        return m_queue.offer({WorkId(id), PriorityClass(priorityClass), m_now + seconds(10), seconds(5), {}}, m_now);
    }

    MonotonicTime m_now{seconds(100)};
    WorkQueue m_queue;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkQueueTest);

} // namespace

} // namespace Geraniumsail
