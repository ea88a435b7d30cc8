#include "config/check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace Geraniumsail {

namespace {

Checked<Configuration> checkExample(const std::string &name)
{
    const auto root = std::filesystem::path(GS_SOURCE_DIR) / "examples" / name;
    std::vector<SourceFile> files;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
        if (entry.is_regular_file()) {
            std::ostringstream text;
            text << std::ifstream(entry.path()).rdbuf();
            files.push_back({entry.path().lexically_relative(root).string(), text.str()});
        }
    }
    return checkTree(files);
}

class ExamplesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExamplesTest);
    CPPUNIT_TEST(examplesPass);
    CPPUNIT_TEST(essentialWorkIsUnrepeatable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against examples that the check refuses or reads only in part.
    void examplesPass()
    {
        for (const auto *name : {"mooring-authority", "sermon-archive", "lucernaria"}) {
            const auto result = checkExample(name);
            CPPUNIT_ASSERT_MESSAGE(toText(result.problems), result.value);
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, result.value->services.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.value->links.size());
        }
    }

    // Guards against an example in which a booking, offering or licence grant could run twice.
    void essentialWorkIsUnrepeatable()
    {
        std::size_t essential = 0;
        for (const auto *name : {"mooring-authority", "sermon-archive", "lucernaria"}) {
            const auto result = checkExample(name);
            CPPUNIT_ASSERT(result.value);
            for (const auto &[service, policy] : result.value->services) {
                for (const auto &kind : policy.kinds) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(kind.name.value(), kind.essential, !kind.repeatable);
                    essential += kind.essential ? 1 : 0;
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, essential);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

} // namespace

} // namespace Geraniumsail
