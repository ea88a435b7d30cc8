// Runs every registered CppUnit suite. Prints the line "N passed, N failed" last and returns 1 on any failure.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int main()
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = static_cast<int>(collector.testFailuresTotal());
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    const bool ok = collector.wasSuccessful() && collector.runTests() > 0;
    return ok ? 0 : 1;
}
