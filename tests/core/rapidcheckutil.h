// Runs a RapidCheck property in a CppUnit test. The environment variable RC_PARAMS sets seed and number of runs.
#ifndef GERANIUMSAIL_TESTS_CORE_RAPIDCHECKUTIL_H
#define GERANIUMSAIL_TESTS_CORE_RAPIDCHECKUTIL_H

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <string>

namespace Geraniumsail {

template <typename Property>
void checkProperty(const std::string &description, Property property)
{
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, property));
}

} // namespace Geraniumsail

#endif
