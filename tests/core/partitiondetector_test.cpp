// Tests of when a host is considered cut off and when it moves its callers.

#define BOOST_TEST_MODULE PartitionDetector
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/partitiondetector.h"

#include <vector>

using namespace egrettide;
using std::chrono::seconds;

namespace
{

constexpr TimePoint start{seconds{1000}};

TimePoint at(int ms)
{
    return start + milliseconds{ms};
}

// Three zones of three hosts, as seen by one of the hosts.
constexpr HostReach whole{8, 0, 6, 0};
constexpr HostReach otherZonesLost{2, 6, 0, 6};

PartitionOptions options()
{
    PartitionOptions options;
    options.balancerNotice = milliseconds{2300};
    options.balancerMisses = 2;
    return options;
}

// A detector that has lost the other zones and queried the store at `at(0)`.
PartitionDetector suspicious()
{
    PartitionDetector detector(options());
    detector.onReach(whole, at(-1000));
    detector.onReach(otherZonesLost, at(0));
    BOOST_TEST_REQUIRE(detector.shouldQueryStore(at(0)));
    return detector;
}

// A detector that is considered cut off since `at(150)`.
PartitionDetector cutOff()
{
    PartitionDetector detector = suspicious();
    detector.onTimer(at(150));
    BOOST_TEST_REQUIRE(detector.isCutOff());
    return detector;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PartitionOfAHost)

// When two zones lose power, the hosts of the third receive no answer from other zones but the
// store answers. They are the surviving side and must keep their callers.
BOOST_AUTO_TEST_CASE(IsNoneWhileTheStoreAnswers)
{
    PartitionDetector detector = suspicious();
    detector.onStoreAnswer(true, at(4));
    detector.onTimer(at(150));
    BOOST_TEST(!detector.isCutOff());
    BOOST_TEST(!detector.shouldMoveCallers(at(60'000)), "callers of the surviving zone were moved");
    BOOST_TEST(detector.shouldQueryStore(at(1004)), "the store may be lost later, so it is asked again");
}

BOOST_AUTO_TEST_CASE(IsConfirmedWhenTheStoreIsSilentToo)
{
    PartitionDetector detector = suspicious();
    BOOST_TEST(!detector.isCutOff());
    BOOST_TEST((detector.nextEventAt() == at(150)), "the store's timeout has to be detected without another event");
    detector.onTimer(at(150));
    BOOST_TEST(detector.isCutOff());
}

// A slow store answers in 0.25 s.
BOOST_AUTO_TEST_CASE(IsTakenBackWhenTheStoreAnswersLate)
{
    PartitionDetector detector = cutOff();
    detector.onStoreAnswer(true, at(250));
    BOOST_TEST(!detector.isCutOff());
    BOOST_TEST(!detector.shouldMoveCallers(at(2400)), "callers were moved although the store has answered");
}

BOOST_AUTO_TEST_CASE(IsNoneWhenHostsOfOtherZonesAnswer)
{
    PartitionDetector detector(options());
    detector.onReach({2, 5, 1, 5}, at(0));
    BOOST_TEST(detector.isSuspected(), "fewer hosts are left than were lost");
    detector.onReach({5, 3, 3, 3}, at(1));
    BOOST_TEST(!detector.isSuspected(), "this side is the larger one");
    detector.onReach({1, 7, 1, 5}, at(2));
    BOOST_TEST(detector.isSuspected(), "one host of another zone does not make a majority");
}

BOOST_AUTO_TEST_CASE(IsNoneForAHostThatKnowsNoOther)
{
    PartitionDetector detector(options());
    detector.onReach({0, 0, 0, 0}, at(0));
    detector.onReach({2, 0, 0, 0}, at(1));
    BOOST_TEST(!detector.isSuspected());
}

// Losses older than the window are no longer counted, but no host has come back.
BOOST_AUTO_TEST_CASE(LastsBeyondTheLossWindow)
{
    PartitionDetector detector = cutOff();
    detector.onReach({2, 0, 0, 0}, at(60'000));
    BOOST_TEST(detector.isCutOff(), "a long partition was considered over");
}

BOOST_AUTO_TEST_CASE(EndsWhenTheOthersAnswerAgain)
{
    PartitionDetector detector = cutOff();
    detector.onReach({5, 3, 3, 3}, at(5000));
    BOOST_TEST(!detector.isCutOff());
    BOOST_TEST((detector.nextEventAt() == TimePoint::max()), "an event is due after the end of the partition");
}

BOOST_AUTO_TEST_CASE(MovesCallersOnceTheBalancerHasBeenToldTwice)
{
    PartitionDetector detector = cutOff();
    detector.onReadinessReported(false, at(400));
    BOOST_TEST(!detector.shouldMoveCallers(at(900)));
    detector.onReadinessReported(false, at(1400));
    BOOST_TEST(!detector.shouldMoveCallers(at(1400)), "the balancer's decision takes a moment");
    BOOST_TEST(detector.shouldMoveCallers(at(1450)));
}

// The balancer may not reach the host either.
BOOST_AUTO_TEST_CASE(MovesCallersAfterTheNoticeWithoutProbes)
{
    PartitionDetector detector = cutOff();
    BOOST_TEST(!detector.shouldMoveCallers(at(2449)));
    BOOST_TEST(detector.shouldMoveCallers(at(2450)));
}

// Callers have to be moved repeatedly: while one host of a cut-off zone has not detected the
// partition and still counts as ready, the balancer sends the zone's callers to all of its hosts,
// and after a single move they would stay there.
BOOST_AUTO_TEST_CASE(MovesCallersAgainAtGrowingIntervals)
{
    PartitionDetector detector = cutOff();
    std::vector<int> moves;
    for (int ms = 0; ms < 20'000; ms += 50) {
        if (detector.shouldMoveCallers(at(ms))) {
            moves.push_back(ms);
        }
    }
    const std::vector<int> expected{2450, 3450, 5450, 9450, 17'450};
    BOOST_TEST(moves == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(CanBeSwitchedOff)
{
    PartitionOptions off = options();
    off.enabled = false;
    PartitionDetector detector(off);
    detector.onReach(otherZonesLost, at(0));
    BOOST_TEST(!detector.shouldQueryStore(at(0)));
}

// Membership needs 1.5 s and more to report the losses of a large fleet. Until then a zone that is
// cut off keeps its callers.
BOOST_AUTO_TEST_CASE(IsSuspectedWhenNothingIsHeardFromOtherZones)
{
    PartitionDetector detector(options());
    detector.onReach(whole, at(-1000));
    detector.onOutsideContact({at(-600), 0}, at(-600));
    detector.onOutsideContact({at(-10), 0}, at(0));
    detector.onOutsideContact({at(-10), 2}, at(400));
    BOOST_TEST(!detector.isSuspected());
    BOOST_TEST((detector.nextEventAt() == at(590)), "the bound of the silence has to be noticed without another event");
    detector.onTimer(at(590));
    BOOST_TEST(detector.isSuspected());
    BOOST_TEST(detector.shouldNotifyZone(at(590)));
    BOOST_TEST(!detector.shouldNotifyZone(at(600)), "the zone is told once a second");
    BOOST_TEST(detector.shouldQueryStore(at(590)));
    detector.onTimer(at(740));
    BOOST_TEST(detector.isCutOff());
    detector.onOutsideContact({at(800), 2}, at(801));
    BOOST_TEST(!detector.isCutOff(), "a host of another zone was heard again");
}

// The silence of a zone that has nobody to ask says nothing: its other zones may be idle.
BOOST_AUTO_TEST_CASE(IsNotSuspectedBySilenceWithoutUnansweredPings)
{
    PartitionDetector detector(options());
    detector.onReach(whole, at(0));
    for (int ms = 0; ms <= 5000; ms += 200) {
        detector.onOutsideContact({at(0), 1}, at(ms));
        BOOST_TEST_REQUIRE(!detector.isSuspected());
    }
}

// A process that was paused has heard nobody either.
BOOST_AUTO_TEST_CASE(IsNotSuspectedAfterAPauseOfTheProcess)
{
    PartitionDetector detector(options());
    detector.onReach(whole, at(0));
    detector.onOutsideContact({at(0), 3}, at(100));
    detector.onOutsideContact({at(0), 3}, at(2000));
    BOOST_TEST(!detector.isSuspected());
    detector.onOutsideContact({at(0), 3}, at(2300));
    detector.onOutsideContact({at(0), 3}, at(2600));
    BOOST_TEST(detector.isSuspected());
}

BOOST_AUTO_TEST_CASE(IsSuspectedSoonerWhenTheZoneReportsSilence)
{
    PartitionDetector detector(options());
    detector.onReach(whole, at(0));
    detector.onOutsideContact({at(0), 0}, at(0));
    detector.onOutsideContact({at(0), 0}, at(200));
    detector.onNotice(at(250));
    BOOST_TEST(!detector.isSuspected());
    BOOST_TEST((detector.nextEventAt() == at(300)));
    detector.onTimer(at(300));
    BOOST_TEST(detector.isSuspected());
}

// One host with a broken link must not make its whole zone ask the store.
BOOST_AUTO_TEST_CASE(IsNotSuspectedByAReportWhileOtherZonesAreHeard)
{
    PartitionDetector detector(options());
    detector.onReach(whole, at(0));
    for (int ms = 0; ms <= 5000; ms += 100) {
        detector.onOutsideContact({at(ms), 0}, at(ms));
        detector.onNotice(at(ms));
        BOOST_TEST_REQUIRE(!detector.isSuspected());
    }
}

// Whatever the reachability of the others, a host that the store answers in time is ready and moves
// no callers.
BOOST_AUTO_TEST_CASE(NeverConsidersAHostCutOffThatTheStoreAnswers)
{
    BOOST_TEST(rc::check("a host whose store answers within the timeout stays ready", [] {
        PartitionDetector detector(options());
        TimePoint now = start;
        for (int i = 0; i < 60; ++i) {
            now += milliseconds{*rc::gen::inRange(0, 400)};
            const auto live = *rc::gen::inRange<std::size_t>(0, 9);
            const auto lost = *rc::gen::inRange<std::size_t>(0, 9);
            const auto liveElsewhere = *rc::gen::inRange<std::size_t>(0, live + 1);
            const auto lostElsewhere = *rc::gen::inRange<std::size_t>(0, lost + 1);
            detector.onTimer(now);
            detector.onReach({live, lost, liveElsewhere, lostElsewhere}, now);
            detector.onOutsideContact({now - milliseconds{*rc::gen::inRange(0, 2000)}, *rc::gen::inRange<std::size_t>(0, 5)},
                                      now);
            if (*rc::gen::arbitrary<bool>()) {
                detector.onNotice(now);
            }
            detector.onReadinessReported(!detector.isCutOff(), now);
            if (detector.shouldQueryStore(now)) {
                now += milliseconds{*rc::gen::inRange(0, 150)};
                detector.onStoreAnswer(true, now);
            }
            RC_ASSERT(!detector.isCutOff());
            RC_ASSERT(!detector.shouldMoveCallers(now));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
