// Callbacks of requests that wait for a primary.

#define BOOST_TEST_MODULE PrimaryWaits
#include <boost/test/unit_test.hpp>

#include "runtime/callers/primarywaits.h"

#include <memory>
#include <vector>

using egrettide::detail::PrimaryWaits;

BOOST_AUTO_TEST_SUITE(WaitsForAPrimary)

BOOST_AUTO_TEST_CASE(EndOnceWhenThePrimaryOfTheirDatabaseIsKnown)
{
    PrimaryWaits waits;
    const auto waiter = std::make_shared<int>(0);
    int bookings = 0;
    int pitches = 0;
    waits.add("bookings", waiter, [&bookings] { ++bookings; });
    waits.add("bookings", waiter, [&bookings] { ++bookings; });
    waits.add("pitches", waiter, [&pitches] { ++pitches; });
    for (const auto &onPrimary : waits.take("bookings")) {
        onPrimary();
    }
    BOOST_TEST(bookings == 2);
    BOOST_TEST(pitches == 0);
    BOOST_TEST(waits.take("bookings").empty());
    BOOST_TEST(waits.take("unknown").empty());
}

// While a database has no primary, for hours perhaps, thousands of requests wait for one and
// give up. If each of them left an entry until the next primary is known, the memory of the
// host would grow without bound.
BOOST_AUTO_TEST_CASE(OfRequestsThatGaveUpAreRemoved)
{
    PrimaryWaits waits;
    const auto liveWaiter = std::make_shared<int>(0);
    bool isCalled = false;
    waits.add("bookings", liveWaiter, [&isCalled] { isCalled = true; });
    for (int i = 0; i < 10000; ++i) {
        const auto waiter = std::make_shared<int>(i);
        waits.add("bookings", waiter, [] {});
    }
    BOOST_TEST(waits.entryCount("bookings") <= 128U,
               waits.entryCount("bookings") << " entries of 10,000 requests that have ended");
    for (const auto &onPrimary : waits.take("bookings")) {
        onPrimary();
    }
    BOOST_TEST(isCalled, "the entry of a live waiter was removed");
}

BOOST_AUTO_TEST_SUITE_END()
