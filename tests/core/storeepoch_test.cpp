// Tests of the tracking of store epochs and of the order of revisions.

#define BOOST_TEST_MODULE StoreEpoch
#include <boost/test/unit_test.hpp>

#include "egrettide/core/storeepoch.h"

using namespace egrettide;

BOOST_AUTO_TEST_SUITE(StoreEpochs)

BOOST_AUTO_TEST_CASE(AreOptional)
{
    StoreEpochTracker tracker;
    BOOST_TEST((tracker.onAnswer("") == EpochChange::Current));
    BOOST_TEST(tracker.current() == 0U);
}

BOOST_AUTO_TEST_CASE(OnlyRise)
{
    StoreEpochTracker tracker;
    BOOST_TEST((tracker.onAnswer("3") == EpochChange::Advanced));
    BOOST_TEST((tracker.onAnswer("3") == EpochChange::Current));
    BOOST_TEST((tracker.onAnswer("2") == EpochChange::Decreased));
    BOOST_TEST(tracker.current() == 3U);
    BOOST_TEST((tracker.onAnswer("5") == EpochChange::Advanced));
    BOOST_TEST((tracker.onAnswer("") == EpochChange::Current));
    BOOST_TEST(tracker.current() == 5U);
}

BOOST_AUTO_TEST_CASE(AreNumbers)
{
    StoreEpochTracker tracker;
    tracker.onAnswer("3");
    for (const char *text : {"x", "4x", "-4", "4.5", "16777216", "99999999999999999999999"}) {
        BOOST_TEST((tracker.onAnswer(text) == EpochChange::Malformed), text << " was accepted");
    }
    BOOST_TEST(tracker.current() == 3U);
}

// A restored store continues with lower revision numbers, which must not count as older.
BOOST_AUTO_TEST_CASE(OrderRevisionsBeforeTheirNumbers)
{
    const StoreRevision before{1, 500};
    const StoreRevision after{2, 12};
    BOOST_TEST((before < after));
    BOOST_TEST(after.ordered() > before.ordered());
    BOOST_TEST((StoreRevision::fromOrdered(after.ordered()) == after));
    BOOST_TEST((StoreRevision{0, 7}.ordered()) == 7U, "a store without epochs keeps its numbers");
}

BOOST_AUTO_TEST_SUITE_END()
