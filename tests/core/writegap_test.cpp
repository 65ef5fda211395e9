// Tests of the detection of write outages as observed by callers.

#define BOOST_TEST_MODULE WriteGap
#include <boost/test/unit_test.hpp>

#include "egrettide/core/writegap.h"

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
    WriteGap gap;
    gap.onWrite(true, at(0));
    gap.onWrite(false, at(300));
    gap.onWrite(false, at(700));
    const auto outage = gap.onWrite(true, at(1200));
    BOOST_TEST_REQUIRE(outage.has_value());
    BOOST_TEST(outage->lasted.count() == 1200);
    BOOST_TEST(outage->failedWrites == 2U);
    BOOST_TEST(!gap.onWrite(true, at(1300)).has_value(), "an outage was reported twice");
}

BOOST_AUTO_TEST_CASE(AreNoneWithoutFailedWrites)
{
    WriteGap gap;
    gap.onWrite(true, at(0));
    BOOST_TEST(!gap.onWrite(true, at(60000)).has_value());
}

BOOST_AUTO_TEST_CASE(AreNoneForSingleFailures)
{
    WriteGap gap;
    gap.onWrite(true, at(0));
    gap.onWrite(false, at(20));
    BOOST_TEST(!gap.onWrite(true, at(40)).has_value());
}

BOOST_AUTO_TEST_CASE(OfADatabaseNeverWrittenCountFromItsFirstServedWrite)
{
    WriteGap gap;
    gap.onWrite(false, at(0));
    BOOST_TEST(!gap.onWrite(true, at(5000)).has_value(), "the time before the first successful write was counted");
}

BOOST_AUTO_TEST_SUITE_END()
