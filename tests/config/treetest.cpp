#include "config/check.h"
#include "config/diff.h"
#include "config/manifest.h"

#include "config/texts.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

class TreeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TreeTest);
    CPPUNIT_TEST(acceptsTree);
    CPPUNIT_TEST(reportsProblemsOfAllFiles);
    CPPUNIT_TEST(refusesDoubleServices);
    CPPUNIT_TEST(refusesEmptyTree);
    CPPUNIT_TEST(manifestRoundTrip);
    CPPUNIT_TEST(refusesDamagedManifest);
    CPPUNIT_TEST(diffNamesFields);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against documents that are checked but not published.
    void acceptsTree()
    {
        const auto result = checkTree({{"bookings/geraniumsail.json", BookingsText}, {"links.json", LinksText}});
        CPPUNIT_ASSERT_MESSAGE(toText(result.problems), result.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.value->texts.size());
        CPPUNIT_ASSERT(result.value->services.contains(ServiceName("bookings")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.value->links.size());
    }

    // Guards against a check that stops at the first bad file.
    void reportsProblemsOfAllFiles()
    {
        const auto result =
            checkTree({{"a/geraniumsail.json", "{"}, {"b/geraniumsail.json", "[]"}, {"links.json", "{\"links\": 1}"}});
        CPPUNIT_ASSERT(!result.value);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(toText(result.problems), std::size_t{3}, result.problems.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b/geraniumsail.json: expected a JSON object, found an array"),
                             toText(result.problems.at(1)));
    }

    // Guards against two files of one service of which one silently wins.
    void refusesDoubleServices()
    {
        const auto result =
            checkTree({{"bookings/geraniumsail.json", BookingsText}, {"copy/geraniumsail.json", BookingsText}});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(toText(result.problems), std::size_t{2}, result.problems.size());
        const auto reserved = replaced(BookingsText, "\"bookings\"", "\"links\"");
        CPPUNIT_ASSERT(!checkTree({{"links/geraniumsail.json", reserved}}).value);
    }

    // Guards against a mistyped path that publishes nothing and reports success.
    void refusesEmptyTree()
    {
        CPPUNIT_ASSERT(!checkTree({}).value);
        CPPUNIT_ASSERT(!checkTree({{"links.json", LinksText}}).value);
    }

    // Guards against a manifest that loses versions on its way through the store.
    void manifestRoundTrip()
    {
        const Manifest manifest{
            {DocumentName("bookings"), {ConfigVersion(UINT64_MAX), contentHash("a"), "p-1"}},
            {DocumentName("links"), {ConfigVersion(1), contentHash("b"), "p-2"}},
        };
        const auto decoded = decodeManifest(encodeManifest(manifest));
        CPPUNIT_ASSERT_MESSAGE(toText(decoded.problems), decoded.value);
        CPPUNIT_ASSERT(manifest == *decoded.value);
        CPPUNIT_ASSERT_EQUAL(std::string("config/docs/links/00"), blobKey(DocumentName("links"), "00"));
    }

    // Guards against acting on a manifest of another format or with damaged entries.
    void refusesDamagedManifest()
    {
        const auto good = encodeManifest({{DocumentName("links"), {ConfigVersion(1), contentHash("b"), "p-2"}}});
        for (const auto &bad : {replaced(good, "\"v\":1", "\"v\":2"), replaced(good, "\"version\":1", "\"version\":0"),
                                replaced(good, "\"hash\":\"", "\"hash\":\"0"), replaced(good, "p-2", "p 2"),
                                replaced(good, "\"documents\"", "\"docs\""), std::string("[]")}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !decodeManifest(bad).value);
        }
    }

    // Guards against differences that are hidden by the order of kinds or reported without their field.
    void diffNamesFields()
    {
        const DocumentName name("bookings");
        const auto before = canonicalText(*parseServiceDocument(BookingsText).value);
        auto text = replaced(BookingsText, "\"share\": 0.25", "\"share\": 0.125");
        text = replaced(text, "berth-schedule", "a-schedule");
        const auto same = diffDocuments({{name, before}}, {{name, before}});
        CPPUNIT_ASSERT(same.empty());
        const auto share = canonicalText(*parseServiceDocument(replaced(BookingsText, "0.25", "0.125")).value);
        const auto one = diffDocuments({{name, before}}, {{name, share}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.size());
        CPPUNIT_ASSERT_EQUAL(std::string("bookings: kinds[berth-schedule].share: 0.25 -> 0.125"), toText(one.at(0)));
        const auto renamed = canonicalText(*parseServiceDocument(text).value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, diffDocuments({{name, before}}, {{name, renamed}}).size());
        const auto added = diffDocuments({}, {{name, before}});
        CPPUNIT_ASSERT_EQUAL(std::string("bookings: absent -> present"), toText(added.at(0)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TreeTest);

} // namespace

} // namespace Geraniumsail
