// When a host holds itself for cut off, and when it moves its callers.

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

// Three zones of three hosts, as one of them sees them.
constexpr HostReach whole{8, 0, 6, 0};
constexpr HostReach otherZonesLost{2, 6, 0, 6};

PartitionOptions options()
{
    PartitionOptions options;
    options.balancerNotice = milliseconds{2300};
    options.balancerMisses = 2;
    return options;
}

// A detector that has lost the other zones and asked the store at `at(0)`.
PartitionDetector suspicious()
{
    PartitionDetector detector(options());
    detector.onReach(whole, at(-1000));
    detector.onReach(otherZonesLost, at(0));
    BOOST_TEST_REQUIRE(detector.asksStore(at(0)));
    return detector;
}

// A detector that holds itself for cut off since `at(150)`.
PartitionDetector cutOff()
{
    PartitionDetector detector = suspicious();
    detector.onTimer(at(150));
    BOOST_TEST_REQUIRE(detector.isCutOff());
    return detector;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PartitionOfAHost)

// Symptom: two zones lose power, and the third one turns its callers away as well.
// Sequence: no host of another zone answers any more; the store does.
// Cause: who sees nobody took itself for the one that was cut off.
BOOST_AUTO_TEST_CASE(IsNoneWhileTheStoreAnswers)
{
    PartitionDetector detector = suspicious();
    detector.onStoreAnswer(true, at(4));
    detector.onTimer(at(150));
    BOOST_TEST(!detector.isCutOff());
    BOOST_TEST(!detector.movesCallers(at(60'000)), "callers of the zone that is left were sent away");
    BOOST_TEST(detector.asksStore(at(1004)), "the store may be lost later, so it is asked again");
}

BOOST_AUTO_TEST_CASE(IsBelievedWhenTheStoreIsSilentToo)
{
    PartitionDetector detector = suspicious();
    BOOST_TEST(!detector.isCutOff());
    BOOST_TEST((detector.nextEventAt() == at(150)), "the store's silence has to be noticed without another event");
    detector.onTimer(at(150));
    BOOST_TEST(detector.isCutOff());
}

// A store that is slow answers in a quarter of a second.
BOOST_AUTO_TEST_CASE(IsTakenBackWhenTheStoreAnswersLate)
{
    PartitionDetector detector = cutOff();
    detector.onStoreAnswer(true, at(250));
    BOOST_TEST(!detector.isCutOff());
    BOOST_TEST(!detector.movesCallers(at(2400)), "callers were moved although the store has answered");
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

BOOST_AUTO_TEST_CASE(IsNoneForAHostThatHasMetNobody)
{
    PartitionDetector detector(options());
    detector.onReach({0, 0, 0, 0}, at(0));
    detector.onReach({2, 0, 0, 0}, at(1));
    BOOST_TEST(!detector.isSuspected());
}

// Losses older than the window count nowhere any more, and nobody has come back.
BOOST_AUTO_TEST_CASE(LastsHoweverLongItLasts)
{
    PartitionDetector detector = cutOff();
    detector.onReach({2, 0, 0, 0}, at(60'000));
    BOOST_TEST(detector.isCutOff(), "a long partition was taken for its end");
}

BOOST_AUTO_TEST_CASE(EndsWhenTheOthersAnswerAgain)
{
    PartitionDetector detector = cutOff();
    detector.onReach({5, 3, 3, 3}, at(5000));
    BOOST_TEST(!detector.isCutOff());
    BOOST_TEST((detector.nextEventAt() == TimePoint::max()), "a partition that is over leaves something to do");
}

BOOST_AUTO_TEST_CASE(MovesCallersOnceTheBalancerHasBeenToldTwice)
{
    PartitionDetector detector = cutOff();
    detector.onReadinessTold(false, at(400));
    BOOST_TEST(!detector.movesCallers(at(900)));
    detector.onReadinessTold(false, at(1400));
    BOOST_TEST(!detector.movesCallers(at(1400)), "the balancer's decision takes a moment");
    BOOST_TEST(detector.movesCallers(at(1450)));
}

// The balancer may not reach the host either.
BOOST_AUTO_TEST_CASE(MovesCallersAfterTheNoticeWhenNobodyAsks)
{
    PartitionDetector detector = cutOff();
    BOOST_TEST(!detector.movesCallers(at(2449)));
    BOOST_TEST(detector.movesCallers(at(2450)));
}

// Symptom: callers of a zone that is cut off reconnect to it and stay there.
// Sequence: one host of the zone finds out late; until then it counts as ready, and the
// balancer sends the zone's callers to all of its hosts.
// Cause: callers were moved once.
BOOST_AUTO_TEST_CASE(MovesCallersAgainMoreAndMoreSeldom)
{
    PartitionDetector detector = cutOff();
    std::vector<int> moves;
    for (int ms = 0; ms < 20'000; ms += 50) {
        if (detector.movesCallers(at(ms))) {
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
    BOOST_TEST(!detector.asksStore(at(0)));
}

// Whatever is seen of the others: a host that the store answers in time is ready, and
// moves nobody.
BOOST_AUTO_TEST_CASE(NeverHoldsAHostForCutOffThatTheStoreAnswers)
{
    BOOST_TEST(rc::check("a host whose store answers within the patience stays ready", [] {
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
            detector.onReadinessTold(!detector.isCutOff(), now);
            if (detector.asksStore(now)) {
                now += milliseconds{*rc::gen::inRange(0, 150)};
                detector.onStoreAnswer(true, now);
            }
            RC_ASSERT(!detector.isCutOff());
            RC_ASSERT(!detector.movesCallers(now));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
