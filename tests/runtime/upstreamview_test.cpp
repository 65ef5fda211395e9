// What a home believes of its upstream after one of its connections broke.

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

// Symptom: one failover leaves several bookings of one desk with an unknown
// outcome.
// Sequence: the primary dies; the loss of its first connection is seen; the next
// booking goes out on a second connection, which breaks a moment later.
// Cause: what a round had proved before the loss was still believed after it.
BOOST_AUTO_TEST_CASE(BelievesNoRoundFromBeforeTheLoss)
{
    UpstreamView view("bookings", "a", GateOptions{});
    view.onSnapshot(confirmedAt(start));
    BOOST_TEST(view.isPrimarySinceLoss(), "no connection was lost yet");
    view.onConnectionLost(start + 5ms);
    BOOST_TEST(!view.isPrimarySinceLoss(), "the round at 0 ms says nothing of a loss at 5 ms");
    view.onSnapshot(confirmedAt(start + 4ms));
    BOOST_TEST(!view.isPrimarySinceLoss(), "a round that began at 4 ms and was published later says nothing of a loss at 5 ms");
    view.onSnapshot(confirmedAt(start + 6ms));
    BOOST_TEST(view.isPrimarySinceLoss(), "the round at 6 ms found the primary alive");
}

BOOST_AUTO_TEST_CASE(NeedsAConfirmedRoundAndNotAnyRound)
{
    UpstreamView view("bookings", "a", GateOptions{});
    view.onConnectionLost(start);
    GroupSnapshot unconfirmed = confirmedAt(start + 6ms);
    unconfirmed.primaryConfirmed = false;
    view.onSnapshot(unconfirmed);
    BOOST_TEST(!view.isPrimarySinceLoss(), "nobody confirmed the primary after the loss");
}

BOOST_AUTO_TEST_CASE(SaysNoForAnUpstreamThatWasReplaced)
{
    UpstreamView view("bookings", "b", GateOptions{});
    view.onSnapshot(confirmedAt(start));
    BOOST_TEST(!view.isPrimarySinceLoss());
}

BOOST_AUTO_TEST_SUITE_END()
