// Tests of a home's view of its upstream after one of its connections was lost.

#define BOOST_TEST_MODULE UpstreamView
#include <boost/test/unit_test.hpp>

#include "runtime/upstreams/upstreamview.h"

using namespace egrettide;
using namespace std::chrono_literals;

namespace
{

const TimePoint start{1h};

GroupSnapshot confirmedAt(TimePoint sentAt)
{
    GroupSnapshot snapshot;
    snapshot.database = "bookings";
    snapshot.term = 3;
    snapshot.primary = "a";
    snapshot.primaryConfirmed = true;
    snapshot.watermarks.push_back(Watermark{sentAt, LogMark{3, 10}});
    snapshot.members.push_back(MemberView{});
    snapshot.members.back().upstream = "a";
    return snapshot;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamViewAfterALoss)

// When the primary fails, its connections break one after the other. If a round from before
// the first loss still counted, the next write would be sent on another connection that
// breaks a moment later, and one failover would cause several unknown outcomes.
BOOST_AUTO_TEST_CASE(IgnoresRoundsFromBeforeTheLoss)
{
    UpstreamView view("bookings", "a", GateOptions{});
    view.onSnapshot(confirmedAt(start));
    BOOST_TEST(view.isPrimaryConfirmedSinceLoss(), "no connection has been lost yet");
    view.onConnectionLost(start + 5ms);
    BOOST_TEST(!view.isPrimaryConfirmedSinceLoss(), "the round at 0 ms does not cover a loss at 5 ms");
    view.onSnapshot(confirmedAt(start + 4ms));
    BOOST_TEST(!view.isPrimaryConfirmedSinceLoss(),
               "a round that began at 4 ms and was published later does not cover a loss at 5 ms");
    view.onSnapshot(confirmedAt(start + 6ms));
    BOOST_TEST(view.isPrimaryConfirmedSinceLoss(), "the round at 6 ms confirmed the primary");
}

BOOST_AUTO_TEST_CASE(NeedsAConfirmedRound)
{
    UpstreamView view("bookings", "a", GateOptions{});
    view.onConnectionLost(start);
    GroupSnapshot unconfirmed = confirmedAt(start + 6ms);
    unconfirmed.primaryConfirmed = false;
    view.onSnapshot(unconfirmed);
    BOOST_TEST(!view.isPrimaryConfirmedSinceLoss(), "no round has confirmed the primary after the loss");
}

BOOST_AUTO_TEST_CASE(RejectsAReplacedPrimary)
{
    UpstreamView view("bookings", "b", GateOptions{});
    view.onSnapshot(confirmedAt(start));
    BOOST_TEST(!view.isPrimaryConfirmedSinceLoss());
}

BOOST_AUTO_TEST_SUITE_END()
