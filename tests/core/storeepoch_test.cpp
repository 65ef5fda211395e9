// Which epoch a store is taken to be in.

#define BOOST_TEST_MODULE StoreEpoch
#include <boost/test/unit_test.hpp>

#include "egrettide/core/storeepoch.h"

using namespace egrettide;

BOOST_AUTO_TEST_SUITE(StoreEpochs)

BOOST_AUTO_TEST_CASE(AreNotNamedByEveryStore)
{
    StoreEpochTracker tracker;
    BOOST_TEST((tracker.onAnswer("") == EpochNews::Current));
    BOOST_TEST(tracker.current() == 0U);
}

BOOST_AUTO_TEST_CASE(OnlyRise)
{
    StoreEpochTracker tracker;
    BOOST_TEST((tracker.onAnswer("3") == EpochNews::Advanced));
    BOOST_TEST((tracker.onAnswer("3") == EpochNews::Current));
    BOOST_TEST((tracker.onAnswer("2") == EpochNews::Fallen));
    BOOST_TEST(tracker.current() == 3U);
    BOOST_TEST((tracker.onAnswer("5") == EpochNews::Advanced));
    BOOST_TEST((tracker.onAnswer("") == EpochNews::Current));
    BOOST_TEST(tracker.current() == 5U);
}

BOOST_AUTO_TEST_CASE(AreNumbers)
{
    StoreEpochTracker tracker;
    tracker.onAnswer("3");
    for (const char *text : {"x", "4x", "-4", "4.5", "99999999999999999999999"}) {
        BOOST_TEST((tracker.onAnswer(text) == EpochNews::Malformed), text << " was taken");
    }
    BOOST_TEST(tracker.current() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
