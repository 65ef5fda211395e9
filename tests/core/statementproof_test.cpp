// Tests what answers to ordinary statements prove, and which members a round need not probe
// because of them.

#define BOOST_TEST_MODULE StatementProof
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/groupmonitor.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

constexpr TimePoint start{std::chrono::seconds(100)};

MemberStatus statusOf(const std::string &upstream, UpstreamRole role, LogMark mark)
{
    MemberStatus status;
    status.upstream = upstream;
    status.role = role;
    status.promisedTerm = mark.term;
    status.received = mark;
    status.replayed = mark;
    status.followingTerm = mark.term;
    return status;
}

GroupMonitorOptions options(bool probesOnlySilent)
{
    GroupMonitorOptions options;
    options.primaryProvesItself = true;
    options.probesOnlySilent = probesOnlySilent;
    options.idleInterval = milliseconds{500};
    options.busyInterval = milliseconds{20};
    options.urgentInterval = milliseconds{20};
    return options;
}

// An observer at the home of the primary "a".
struct Fixture {
    GroupMonitor monitor{"bookings", {{"a", "x", false}, {"b", "y", false}, {"c", "z", false}}, options(true)};

    Fixture()
    {
        monitor.setHomes({"a"});
        answerRound(monitor.beginRound(at(0)), 0);
    }

    static TimePoint at(int milliseconds)
    {
        return start + std::chrono::milliseconds(milliseconds);
    }

    void answerRound(const ProbeRound &round, int milliseconds, Position position = 10)
    {
        for (const std::string &upstream : round.upstreams) {
            const auto role = upstream == "a" ? UpstreamRole::Primary : UpstreamRole::Replica;
            monitor.onStatus(round.id, statusOf(upstream, role, {1, position}), at(milliseconds + 2));
        }
    }

    void answer(const std::string &upstream, int sentAt, Position position, bool leads, Term sentUnder = 1)
    {
        const auto role = upstream == "a" ? UpstreamRole::Primary : UpstreamRole::Replica;
        monitor.onStatementAnswer({statusOf(upstream, role, {1, position}), at(sentAt), leads, sentUnder}, at(sentAt + 3));
    }

    // The members probed until `milliseconds`, while only statements of the primary are
    // answered besides probes.
    std::vector<std::string> askedUntil(int milliseconds, bool primaryAnswers)
    {
        std::vector<std::string> asked;
        for (int now = 10; now <= milliseconds; now += 10) {
            if (primaryAnswers && now % 50 == 0) {
                answer("a", now, 10 + static_cast<Position>(now), true);
            }
            if (monitor.nextProbeAt(at(now), false) <= at(now)) {
                const ProbeRound round = monitor.beginRound(at(now), RoundScope::Silent);
                answerRound(round, now, 10 + static_cast<Position>(now));
                asked.insert(asked.end(), round.upstreams.begin(), round.upstreams.end());
            }
        }
        return asked;
    }
};

long countOf(const std::vector<std::string> &asked, const std::string &upstream)
{
    return std::ranges::count(asked, upstream);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(OrdinaryAnswers, Fixture)

BOOST_AUTO_TEST_CASE(OfAPrimaryThatLeadsStandInForProbes)
{
    // Beyond the time after the first change in which all members are probed often.
    askedUntil(6000, true);
    answer("a", 6001, 7000, true);
    BOOST_TEST((monitor.newestWatermark()->mark == LogMark{1, 7000}));
    BOOST_TEST((monitor.newestWatermark()->sentAt == at(6001)), "a proof counts from when the statement was sent");
    BOOST_TEST(monitor.snapshot()->primaryConfirmed);
}

// Guards against a late answer of a primary proving a state under the later term that it leads.
BOOST_AUTO_TEST_CASE(FromAnEarlierTermOfThePrimaryProveNothing)
{
    monitor.onStatus(monitor.beginRound(at(100)).id, statusOf("b", UpstreamRole::Primary, {2, 12}), at(102));
    monitor.onStatus(monitor.beginRound(at(200)).id, statusOf("a", UpstreamRole::Primary, {3, 20}), at(202));
    BOOST_REQUIRE((monitor.newestWatermark()->mark == LogMark{3, 20}));
    answer("a", 201, 11, true, 1);
    BOOST_TEST((monitor.newestWatermark()->mark == LogMark{3, 20}));
    BOOST_TEST((monitor.newestWatermark()->sentAt == at(200)));
}

BOOST_AUTO_TEST_CASE(SpareThePrimaryAndLeaveOthersToTheirHomes)
{
    const auto asked = askedUntil(20000, true);
    BOOST_TEST(countOf(asked, "a") == 0, "a primary that answers every 50 ms was asked " << countOf(asked, "a") << " times");
    // 5 s at the idle interval after the change, then one probe every 3 s.
    BOOST_TEST(countOf(asked, "b") <= 16, "a member of another home was asked " << countOf(asked, "b") << " times in 20 s");
    BOOST_TEST(countOf(asked, "b") >= 14, "a member of another home was not probed often enough");
}

BOOST_AUTO_TEST_CASE(ThatStopAreFollowedByProbesWithinTheIdleInterval)
{
    askedUntil(6000, true);
    answer("a", 6000, 7000, true);
    BOOST_TEST((monitor.nextProbeAt(at(6001), false) <= at(6500)));
    const ProbeRound round = monitor.beginRound(at(6500), RoundScope::Silent);
    BOOST_TEST(std::ranges::count(round.upstreams, "a") == 1, "a silent primary was not asked");
    // While it is unanswered, the next probe is sent sooner, and the suspicion is raised.
    BOOST_TEST((monitor.nextProbeAt(at(6501), false) <= at(6750)));
    monitor.beginRound(at(6750), RoundScope::Silent);
    for (int now = 6750; now < 9000; now += 50) {
        monitor.onTimer(at(now));
    }
    BOOST_TEST(monitor.suspicion(at(9000)).has_value(), "a primary that answers nothing was not suspected");
}

BOOST_AUTO_TEST_CASE(ThatDoNotProveLeadershipProveNoState)
{
    // A replaced primary may continue to answer reads. If any of its answers proved that it
    // leads, its position would count as everything acknowledged, and a caller would read
    // an outdated state.
    const auto before = monitor.newestWatermark();
    answer("a", 100, 50, false);
    BOOST_TEST((monitor.newestWatermark()->sentAt == before->sentAt));
    answer("b", 110, 60, true);
    BOOST_TEST((monitor.newestWatermark()->sentAt == before->sentAt), "an upstream that is not the primary proved a state");
    BOOST_TEST((monitor.nextProbeAt(at(500), false) <= at(500)), "a read kept the primary from being probed");
}

BOOST_AUTO_TEST_CASE(DoNotShortenRoundsOfAChange)
{
    answer("a", 100, 50, true);
    BOOST_TEST(monitor.beginRound(at(110), RoundScope::All).upstreams.size() == 3U);
    BOOST_TEST(monitor.beginRound(at(130), RoundScope::Proof).upstreams.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DoNotUndoAStepDown)
{
    const ProbeRound round = monitor.beginRound(at(600), RoundScope::All);
    monitor.onStatus(round.id, statusOf("a", UpstreamRole::Replica, {2, 20}), at(602));
    BOOST_TEST(monitor.snapshot()->primary.empty());
    answer("a", 601, 20, true);
    BOOST_TEST(monitor.snapshot()->primary.empty(), "an answer sent before the step-down made it the primary again");
}

// While a zone is cut off from the primary, waiting reads must not make its observer probe
// the reachable members every 20 ms: the cut of 6 s caused half of a day's status calls. A
// member becomes the primary only by an order, which is announced. In 6 s without a
// primary: 300 rounds with waiting reads counted, 28 without.
BOOST_AUTO_TEST_CASE(LookForAPrimaryAtIntervalsOfTheirOwn)
{
    const ProbeRound lost = monitor.beginRound(at(600), RoundScope::All);
    monitor.onStatus(lost.id, statusOf("a", UpstreamRole::Replica, {1, 10}), at(602));
    BOOST_TEST_REQUIRE(monitor.snapshot()->primary.empty());
    int rounds = 0;
    for (int now = 610; now < 6610; now += 10) {
        if (monitor.nextProbeAt(at(now), true) <= at(now)) {
            monitor.beginRound(at(now), RoundScope::Proof);
            ++rounds;
        }
    }
    BOOST_TEST(rounds == 28, rounds << " rounds");
    monitor.onRequestFailed(at(6610));
    BOOST_TEST((monitor.nextProbeAt(at(6610), false) <= at(6630)), "an opinion would have to wait too long for a round");
}

BOOST_AUTO_TEST_CASE(WithoutTheOptionChangeNoRound)
{
    GroupMonitor all("bookings", {{"a", "x", false}, {"b", "y", false}}, options(false));
    all.beginRound(at(0));
    BOOST_TEST(all.beginRound(at(500), RoundScope::Silent).upstreams.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
