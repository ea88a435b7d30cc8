// Runs a rapidcheck property inside a CppUnit test. Seeds and counts come from RC_PARAMS.
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
