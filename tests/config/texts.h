// Documents that several tests of gs-config start from.
#ifndef GERANIUMSAIL_TESTS_CONFIG_TEXTS_H
#define GERANIUMSAIL_TESTS_CONFIG_TEXTS_H

#include "config/problem.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace Geraniumsail {

constexpr const char *BookingsText = R"({"service": "bookings",
    "limits": {"slots": 50, "connections": 400, "queue": 200, "targetQueueMs": 20},
    "retry": {"ratio": 0.1, "backoffMs": 10, "backoffCapMs": 200},
    "kinds": [{"name": "mooring-booking", "rank": 0, "share": 0.5, "repeatable": false, "essential": true,
               "longRunning": false, "timeoutMs": 2000, "retries": 2},
              {"name": "berth-schedule", "rank": 4, "share": 0.25, "repeatable": true, "timeoutMs": 800,
               "retries": 1}]})";

constexpr const char *LinksText = R"({"links": [{"from": "west-sea", "to": "south-sea", "kbitPerSecond": 20000},
                                              {"from": "south-sea", "to": "west-sea", "kbitPerSecond": 20000}]})";

/// The text with the first occurrence of one part replaced; fails the test if the part is absent.
inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
    return text.replace(at, from.size(), to);
}

inline bool hasProblemAt(const Problems &problems, const std::string &field)
{
    return std::any_of(problems.begin(), problems.end(), [&](const Problem &p) { return p.field == field; });
}

} // namespace Geraniumsail

#endif
