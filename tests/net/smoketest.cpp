// Guards against a test program that runs no test.
#include "core/version.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

class SmokeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SmokeTest);
    CPPUNIT_TEST(versionIsSet);
    CPPUNIT_TEST_SUITE_END();

public:
    void versionIsSet()
    {
        CPPUNIT_ASSERT(Version[0] != '\0');
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SmokeTest);

} // namespace

} // namespace Geraniumsail
