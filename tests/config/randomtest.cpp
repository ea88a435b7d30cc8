// Random damage to valid texts: no crash, and nothing accepted that breaks a rule of the documents.
#include "config/check.h"
#include "config/document.h"
#include "config/manifest.h"
#include "config/settings.h"

#include "config/texts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace Geraniumsail {

namespace {

/// Parts that damage a JSON text in ways that single bytes rarely reach.
const std::vector<std::string> &fragments()
{
    static const std::vector<std::string> all{"-1",   "1e999",   "1e-9", "0",           "99999999999999999999",
                                              "null", "true",    "\"\"", "[]",          "{}",
                                              "[[[",  "\\u0000", "NaN",  "0.5",         ",",
                                              ":",    "\"",      "}",    "\"rank\": 0", "\xff",
                                              "\n"};
    return all;
}

/// Replaces, removes or inserts bytes at a few places.
std::string damaged(std::string text)
{
    const auto edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 6);
        const auto part = *rc::gen::oneOf(rc::gen::elementOf(fragments()),
                                          rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        text.replace(at, length, part);
    }
    return text;
}

void assertPossible(const KindPolicy &kind)
{
    RC_ASSERT(!kind.name.empty());
    RC_ASSERT(kind.rank.value() <= 9);
    RC_ASSERT(std::isfinite(kind.share.value()) && kind.share.value() >= 0.0 && kind.share.value() <= 1.0);
    RC_ASSERT(kind.timeout > Duration::zero() && kind.timeout <= std::chrono::hours(24));
    RC_ASSERT(kind.retries.value() <= 16U);
}

void assertPossible(const ServicePolicy &policy)
{
    RC_ASSERT(!policy.service.empty());
    RC_ASSERT(policy.slots.value() > 0U);
    RC_ASSERT(policy.connections.value() >= policy.slots.value());
    RC_ASSERT(policy.queueLength > 0U);
    RC_ASSERT(policy.targetQueueDelay > Duration::zero());
    RC_ASSERT(policy.backoffBase > Duration::zero() && policy.backoffBase <= policy.backoffCap);
    RC_ASSERT(std::isfinite(policy.retryRatio) && policy.retryRatio >= 0.0 && policy.retryRatio <= 1.0);
    RC_ASSERT(!policy.kinds.empty());
    double shares = 0.0;
    int lowestEssential = -1;
    int highestOther = 10;
    for (const auto &kind : policy.kinds) {
        assertPossible(kind);
        shares += kind.share.value();
        if (kind.essential) {
            lowestEssential = std::max<int>(lowestEssential, kind.rank.value());
        } else {
            highestOther = std::min<int>(highestOther, kind.rank.value());
        }
    }
    RC_ASSERT(shares <= 1.000001);
    RC_ASSERT(lowestEssential < highestOther);
}

class RandomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RandomTest);
    CPPUNIT_TEST(damagedServices);
    CPPUNIT_TEST(damagedLinks);
    CPPUNIT_TEST(damagedManifest);
    CPPUNIT_TEST(arbitraryBytes);
    CPPUNIT_TEST(randomNumbers);
    CPPUNIT_TEST(deepNesting);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crash on, or acceptance of, a damaged service document.
    void damagedServices()
    {
        CPPUNIT_ASSERT(rc::check("damaged service documents", [] {
            const auto result = parseServiceDocument(damaged(BookingsText), "f");
            RC_ASSERT(result.value.has_value() == result.problems.empty());
            if (result.value) {
                assertPossible(*result.value);
                const auto text = canonicalText(*result.value);
                const auto again = parseServiceDocument(text);
                RC_ASSERT(again.value.has_value());
                RC_ASSERT(canonicalText(*again.value) == text);
            }
        }));
    }

    // Guards against a crash on, or acceptance of, damaged links.
    void damagedLinks()
    {
        CPPUNIT_ASSERT(rc::check("damaged links", [] {
            const auto result = parseLinksDocument(damaged(LinksText), "f");
            RC_ASSERT(result.value.has_value() == result.problems.empty());
            for (const auto &link : result.value.value_or(std::vector<LinkPolicy>{})) {
                RC_ASSERT(link.bytesPerSecond.value() > 0U);
                RC_ASSERT(link.from != link.to);
            }
        }));
    }

    // Guards against a crash on a damaged manifest, and against version 0, which means "none".
    void damagedManifest()
    {
        const auto good = encodeManifest({{DocumentName("links"), {ConfigVersion(17), contentHash("b"), "p-2"}}});
        CPPUNIT_ASSERT(rc::check("damaged manifests", [&] {
            const auto result = decodeManifest(damaged(good));
            RC_ASSERT(result.value.has_value() == result.problems.empty());
            for (const auto &[name, entry] : result.value.value_or(Manifest{})) {
                RC_ASSERT(entry.version.value() > 0U);
                RC_ASSERT(entry.hash.size() == 32U);
            }
        }));
    }

    // Guards against a crash on a file that is no JSON at all.
    void arbitraryBytes()
    {
        CPPUNIT_ASSERT(rc::check("arbitrary bytes", [](const std::string &text) {
            RC_ASSERT(!parseServiceDocument(text).value);
            RC_ASSERT(!parseLinksDocument(text).value);
            RC_ASSERT(!parseNodeSettings(text).value);
            RC_ASSERT(!decodeManifest(text).value);
        }));
    }

    // Guards against the acceptance of numbers out of range in well-formed documents.
    void randomNumbers()
    {
        CPPUNIT_ASSERT(rc::check("random numbers", [] {
            const std::vector<std::string> fields{"\"slots\": 50",   "\"connections\": 400",  "\"queue\": 200",
                                                  "\"ratio\": 0.1",  "\"backoffMs\": 10",     "\"backoffCapMs\": 200",
                                                  "\"share\": 0.5",  "\"targetQueueMs\": 20", "\"retries\": 2",
                                                  "\"rank\": 4",     "\"timeoutMs\": 2000",   "\"rank\": 0",
                                                  "\"share\": 0.25", "\"retries\": 1"};
            const auto field = *rc::gen::elementOf(fields);
            const auto number = *rc::gen::oneOf(
                rc::gen::map(rc::gen::arbitrary<std::int64_t>(), [](std::int64_t n) { return std::to_string(n); }),
                rc::gen::map(rc::gen::arbitrary<double>(), [](double n) { return std::to_string(n); }));
            const auto text = replaced(BookingsText, field, field.substr(0, field.find(' ') + 1) + number);
            const auto result = parseServiceDocument(text);
            RC_ASSERT(result.value.has_value() == result.problems.empty());
            if (result.value) {
                assertPossible(*result.value);
            }
        }));
    }

    // Guards against exhaustion of the stack by nested arrays or objects.
    void deepNesting()
    {
        const std::string arrays(500'000, '[');
        CPPUNIT_ASSERT(!parseServiceDocument(arrays).value);
        const auto nested = std::string(200'000, '[') + std::string(200'000, ']');
        CPPUNIT_ASSERT(!parseServiceDocument("{\"kinds\": " + nested + "}").value);
        CPPUNIT_ASSERT(!parseNodeSettings("{\"switches\": " + nested + "}").value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomTest);

} // namespace

} // namespace Geraniumsail
