// Tests for the configuration documents in force at a node.
#include "core/configview.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

namespace Geraniumsail {

namespace {

ConfigDocument document(const std::string &name, std::uint64_t version, const std::string &text)
{
    return {DocumentName(name), ConfigVersion(version), contentHash(text), "p", text};
}

std::vector<std::size_t> allBuckets()
{
    std::vector<std::size_t> buckets(ConfigBucketCount);
    std::iota(buckets.begin(), buckets.end(), 0);
    return buckets;
}

class ConfigViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigViewTest);
    CPPUNIT_TEST(highestVersionWins);
    CPPUNIT_TEST(corruptTextIsRejected);
    CPPUNIT_TEST(contentHashIsStable);
    CPPUNIT_TEST(applyOrderDoesNotMatter);
    CPPUNIT_TEST(antiEntropyConverges);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an old version that arrives late and replaces a newer one.
    void highestVersionWins()
    {
        ConfigView view;
        CPPUNIT_ASSERT(view.apply(document("a", 5, "five")) == ApplyResult::Applied);
        CPPUNIT_ASSERT(view.apply(document("a", 4, "four")) == ApplyResult::Known);
        CPPUNIT_ASSERT(view.apply(document("a", 5, "five")) == ApplyResult::Known);
        CPPUNIT_ASSERT_EQUAL(std::string("five"), view.find(DocumentName("a"))->text);
        CPPUNIT_ASSERT(view.apply(document("a", 6, "six")) == ApplyResult::Applied);
        CPPUNIT_ASSERT_EQUAL(std::string("six"), view.find(DocumentName("a"))->text);
    }

    // Guards against a document from a corrupt blob or message that comes into force.
    void corruptTextIsRejected()
    {
        ConfigView view;
        auto damaged = document("a", 5, "five");
        damaged.text = "fife";
        CPPUNIT_ASSERT(view.apply(damaged) == ApplyResult::Corrupt);
        CPPUNIT_ASSERT(view.apply(document("a", 5, std::string(MaxDocumentBytes + 1, 'x'))) == ApplyResult::Corrupt);
        CPPUNIT_ASSERT(view.documents().empty());
        CPPUNIT_ASSERT(view.digest() == ConfigDigest{});
    }

    // Guards against a change of the hash function, which would make all published blobs invalid. The expected value is
    // the reference value of 128-bit XXH3 for empty input.
    void contentHashIsStable()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("99aa06d3014798d86001c324468d497f"), contentHash(""));
    }

    // Guards against nodes that never converge because they received the same documents in a different order.
    void applyOrderDoesNotMatter()
    {
        CPPUNIT_ASSERT(rc::check("order does not matter", [](const std::vector<std::pair<int, int>> &versions) {
            std::vector<ConfigDocument> documents;
            documents.reserve(versions.size());
            for (const auto &[name, version] : versions) {
                documents.push_back(document("d" + std::to_string(name % 5), version & 7, std::to_string(name)));
            }
            ConfigView left;
            ConfigView right;
            std::for_each(documents.begin(), documents.end(), [&](const auto &each) { left.apply(each); });
            std::for_each(documents.rbegin(), documents.rend(), [&](const auto &each) { right.apply(each); });
            RC_ASSERT(left.documents() == right.documents());
            RC_ASSERT(left.digest() == right.digest());
        }));
    }

    // Guards against anti-entropy that stops transferring documents while two views still differ.
    void antiEntropyConverges()
    {
        CPPUNIT_ASSERT(rc::check("fetch both ways until equal", [](const std::vector<std::pair<int, bool>> &content) {
            ConfigView left;
            ConfigView right;
            for (std::size_t i = 0; i < content.size(); ++i) {
                const auto each = document("d" + std::to_string(content[i].first % 40), i, std::string(100, 'x'));
                (content[i].second ? left : right).apply(each);
            }
            for (int round = 0; round < 100 && !(left.digest() == right.digest()); ++round) {
                for (const auto &each : right.newerThan(left.summaries(allBuckets()), allBuckets(), 250)) {
                    left.apply(each);
                }
                for (const auto &each : left.newerThan(right.summaries(allBuckets()), allBuckets(), 250)) {
                    right.apply(each);
                }
            }
            RC_ASSERT(left.documents() == right.documents());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigViewTest);

} // namespace

} // namespace Geraniumsail
