// Tests that the structured log is bounded in lines and bytes and never blocks on its reader.
#include "relay/eventlog.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <vector>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A pipe that is read only on request.
class Pipe
{
public:
    Pipe()
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_ends.data()));
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;
    ~Pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    int writeEnd() const
    {
        return m_ends[1];
    }
    std::string read() const
    {
        std::string text;
        std::array<char, 65536> block{};
        ssize_t count = ::read(m_ends[0], block.data(), block.size());
        while (count > 0) {
            text.append(block.data(), static_cast<std::size_t>(count));
            count = ::read(m_ends[0], block.data(), block.size());
        }
        return text;
    }

private:
    std::array<int, 2> m_ends{};
};

class EventLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLogTest);
    CPPUNIT_TEST(valuesAreEscaped);
    CPPUNIT_TEST(numbersHaveNoExponent);
    CPPUNIT_TEST(fullPipeDropsLinesWithoutBlocking);
    CPPUNIT_TEST(excessRoutineLinesAreDroppedFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against "1e+03", which tools that read the log do not take for a whole number.
    void numbersHaveNoExponent()
    {
        for (const auto &[value, text] : std::vector<std::pair<double, std::string>>{{0.5, "0.5"},
                                                                                     {999.4, "999"},
                                                                                     {999.5, "1000"},
                                                                                     {999.9, "1000"},
                                                                                     {-999.7, "-1000"},
                                                                                     {1234567.0, "1234567"}}) {
            CPPUNIT_ASSERT_EQUAL("event=e n=" + text, EventLine("e").addNumber("n", value).text());
        }
    }

    // Guards against values that split a line or forge a field.
    void valuesAreEscaped()
    {
        Pipe pipe;
        EventLog log(pipe.writeEnd());
        EventLine line("answered");
        line.add("id", std::string_view("a b\n\"c\"=d"))
            .add("took_ms", Duration(milliseconds(12)))
            .add("n", std::int64_t(3));
        log.write(EventPriority::Important, line, m_now, WallTime(milliseconds(1500)));
        log.flush(m_now, WallTime(milliseconds(1500)));
        CPPUNIT_ASSERT_EQUAL(std::string("time=1.500 event=answered id=\"a b\\x0a\\\"c\\\"=d\" took_ms=12 n=3\n"),
                             pipe.read());
    }

    // Guards against a node that blocks because nobody reads its log.
    void fullPipeDropsLinesWithoutBlocking()
    {
        Pipe pipe;
        EventLog log(pipe.writeEnd());
        const EventLine line = EventLine("x").add("filler", std::string(900, 'f'));
        for (int i = 0; i < 2000; ++i) {
            m_now += milliseconds(10);
            log.write(EventPriority::Important, line, m_now, WallTime{});
            log.flush(m_now, WallTime{});
        }
        CPPUNIT_ASSERT(log.droppedLines() > 0);
        const auto text = pipe.read();
        CPPUNIT_ASSERT(text.size() <= EventLog::MaxBufferBytes);
        log.flush(m_now, WallTime{});
        CPPUNIT_ASSERT(pipe.read().find("event=") != std::string::npos);
    }

    // The load is ten times the line rate; every eleventh line is important. Guards against a log that grows with the
    // load, and against routine lines that displace failures.
    void excessRoutineLinesAreDroppedFirst()
    {
        Pipe pipe;
        EventLog log(pipe.writeEnd());
        std::string text;
        for (int i = 0; i < 30000; ++i) {
            m_now += std::chrono::microseconds(333);
            const bool important = i % 11 == 0;
            log.write(important ? EventPriority::Important : EventPriority::Routine,
                      EventLine(important ? "failure" : "answer"), m_now, WallTime{});
            log.flush(m_now, WallTime{});
            text += pipe.read();
        }
        const auto lines = static_cast<double>(std::count(text.begin(), text.end(), '\n'));
        CPPUNIT_ASSERT(lines < EventLog::MaxBurstLines + 11 * (EventLog::MaxLinesPerSecond + 1));
        std::size_t failures = 0;
        for (auto at = text.find("event=failure"); at != std::string::npos; at = text.find("event=failure", at + 1)) {
            ++failures;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2728), failures);
        CPPUNIT_ASSERT(text.find("event=log_lines_dropped") != std::string::npos);
    }

private:
    MonotonicTime m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace

} // namespace Geraniumsail
