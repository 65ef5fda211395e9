// Tests of the detection of write outages as observed by callers.

#define BOOST_TEST_MODULE WriteOutageTracker
#include <boost/test/unit_test.hpp>

#include "egrettide/core/writeoutagetracker.h"

using namespace egrettide;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(100)) + std::chrono::milliseconds(milliseconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OutagesOfWrites)

BOOST_AUTO_TEST_CASE(LastFromTheLastServedWriteToTheNext)
{
    WriteOutageTracker tracker;
    tracker.onWrite(true, at(0));
    tracker.onWrite(false, at(300));
    tracker.onWrite(false, at(700));
    const auto outage = tracker.onWrite(true, at(1200));
    BOOST_TEST_REQUIRE(outage.has_value());
    BOOST_TEST(outage->duration.count() == 1200);
    BOOST_TEST(outage->failedWrites == 2U);
    BOOST_TEST(!tracker.onWrite(true, at(1300)).has_value(), "an outage was reported twice");
}

BOOST_AUTO_TEST_CASE(AreNoneWithoutFailedWrites)
{
    WriteOutageTracker tracker;
    tracker.onWrite(true, at(0));
    BOOST_TEST(!tracker.onWrite(true, at(60000)).has_value());
}

BOOST_AUTO_TEST_CASE(AreNoneForSingleFailures)
{
    WriteOutageTracker tracker;
    tracker.onWrite(true, at(0));
    tracker.onWrite(false, at(20));
    BOOST_TEST(!tracker.onWrite(true, at(40)).has_value());
}

BOOST_AUTO_TEST_CASE(OfADatabaseNeverWrittenCountFromItsFirstServedWrite)
{
    WriteOutageTracker tracker;
    tracker.onWrite(false, at(0));
    BOOST_TEST(!tracker.onWrite(true, at(5000)).has_value(), "the time before the first successful write was counted");
}

BOOST_AUTO_TEST_SUITE_END()
