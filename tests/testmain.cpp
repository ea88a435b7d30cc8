// Runs every registered CppUnit suite, or those tests whose name contains the argument. Prints the line
// "N passed, N failed" last and returns 1 on any failure, or if no test ran.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <memory>
#include <string>

namespace {

void runMatching(CppUnit::Test &test, const std::string &part, CppUnit::TestResult &result)
{
    if (part.empty() || test.getName().find(part) != std::string::npos) {
        test.run(&result);
        return;
    }
    for (int i = 0; i < test.getChildTestCount(); ++i) {
        runMatching(*test.getChildTestAt(i), part, result);
    }
}

} // namespace

int main(int argc, char *argv[])
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    const std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runMatching(*all, argc > 1 ? argv[1] : "", result);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = static_cast<int>(collector.testFailuresTotal());
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    const bool ok = collector.wasSuccessful() && collector.runTests() > 0;
    return ok ? 0 : 1;
}
