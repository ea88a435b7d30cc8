// The stand-ins judge the node, so their own judgement is tested.
#include "standin/echo.h"
#include "standin/loadresults.h"
#include "standin/storemodel.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail::Standin {

namespace {

MonotonicTime at(int ms)
{
    return MonotonicTime(std::chrono::milliseconds(ms));
}

class StandinTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StandinTest);
    CPPUNIT_TEST(checksFindContradictions);
    CPPUNIT_TEST(echoPartsJoin);
    CPPUNIT_TEST(storeSwaps);
    CPPUNIT_TEST(storeLeasesExpire);
    CPPUNIT_TEST(storeRestores);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a load program that reports success whatever the upstreams did.
    void checksFindContradictions()
    {
        const TokenClaims claims{{"a", "b"}, {"c", "d"}, {"b", "c", "e"}};
        const auto good = checkClaims(claims, {{"c", 1}, {"d", 2}, {"e", 1}}, true);
        CPPUNIT_ASSERT(good.passed());
        const auto bad = checkClaims(claims, {{"b", 1}, {"c", 2}, {"e", 3}}, true);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bad.notRunButRan);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, bad.doubled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bad.wholeWithoutRun);
        CPPUNIT_ASSERT(!bad.passed());
        // Executions that could not be read prove nothing about answers without a run.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, checkClaims(claims, {}, false).wholeWithoutRun);
    }

    // Guards against streamed answers that fail the check of their content by the way they are cut into parts.
    void echoPartsJoin()
    {
        const auto whole = echoPart("token-1", 0, 1000);
        CPPUNIT_ASSERT_EQUAL(std::string("token-1\ntoken-1\n"), whole.substr(0, 16));
        std::string joined;
        for (std::size_t offset = 0; offset < whole.size(); offset += 100) {
            joined += echoPart("token-1", offset, 100);
        }
        CPPUNIT_ASSERT_EQUAL(whole, joined);
    }

    // Guards against a store that accepts a write over a revision that the writer has not seen.
    void storeSwaps()
    {
        StoreModel store;
        CPPUNIT_ASSERT(store.put("k", "1", 0, "", at(0)).done);
        const auto conflict = store.put("k", "2", 0, "", at(0));
        CPPUNIT_ASSERT(!conflict.done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, conflict.revision);
        CPPUNIT_ASSERT(store.put("k", "2", 1, "", at(0)).done);
        CPPUNIT_ASSERT(!store.remove("k", 1, at(0)).done);
        CPPUNIT_ASSERT(store.remove("k", 2, at(0)).done);
        CPPUNIT_ASSERT(!store.get("k", at(0)));
    }

    // Guards against entries that outlive the lease of a holder that is gone.
    void storeLeasesExpire()
    {
        StoreModel store;
        const auto lease = store.grantLease(std::chrono::milliseconds(100), at(0));
        CPPUNIT_ASSERT(store.put("k", "1", 0, lease, at(50)).done);
        CPPUNIT_ASSERT(store.renewLease(lease, at(90)));
        CPPUNIT_ASSERT(store.get("k", at(180)));
        CPPUNIT_ASSERT(!store.get("k", at(190)));
        CPPUNIT_ASSERT(!store.renewLease(lease, at(191)));
        CPPUNIT_ASSERT(!store.put("k", "1", 0, lease, at(192)).done);
    }

    // Guards against a restore that keeps the newer revision counter and so hides the fault that it stands for.
    void storeRestores()
    {
        StoreModel store;
        store.put("k", "old", 0, "", at(0));
        store.snapshot();
        store.put("k", "new", 1, "", at(0));
        store.restore();
        CPPUNIT_ASSERT_EQUAL(std::string("old"), store.get("k", at(0))->value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.put("k", "other", 1, "", at(0)).revision);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinTest);

} // namespace

} // namespace Geraniumsail::Standin
