// Tests what a round of probes proves, and what it does not.

#define BOOST_TEST_MODULE GroupMonitor
#include <boost/test/unit_test.hpp>

#include "egrettide/core/groupmonitor.h"

#include <rapidcheck.h>

#include <random>

using namespace egrettide;

namespace
{

constexpr TimePoint start{std::chrono::seconds(100)};

MemberStatus status(const std::string &upstream, Term promised, LogMark received, UpstreamRole role = UpstreamRole::Replica)
{
    MemberStatus status;
    status.upstream = upstream;
    status.role = role;
    status.promisedTerm = promised;
    status.received = received;
    status.replayed = received;
    status.followingTerm = received.term;
    return status;
}

MemberStatus primary(const std::string &upstream, Term term, Position position)
{
    return status(upstream, term, {term, position}, UpstreamRole::Primary);
}

struct Fixture {
    GroupMonitor monitor{"bookings", {{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}}};

    TimePoint at(int milliseconds) const
    {
        return start + std::chrono::milliseconds(milliseconds);
    }

    // A round in which all members stand by term 1 of a.
    void settledRound(int milliseconds, Position position)
    {
        const RoundId round = monitor.beginRound(at(milliseconds)).id;
        monitor.onStatus(round, primary("a", 1, position), at(milliseconds + 2));
        monitor.onStatus(round, status("b", 1, {1, position}), at(milliseconds + 2));
        monitor.onStatus(round, status("c", 1, {1, position}), at(milliseconds + 2));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Rounds, Fixture)

BOOST_AUTO_TEST_CASE(ConfirmAPrimaryWithOneMoreMemberThatStandsByIt)
{
    const RoundId round = monitor.beginRound(at(0)).id;
    monitor.onStatus(round, primary("a", 1, 7), at(2));
    BOOST_TEST(!monitor.snapshot()->primaryConfirmed, "one member of three is no majority");
    monitor.onStatus(round, status("c", 1, {1, 5}), at(3));
    BOOST_TEST(monitor.snapshot()->primaryConfirmed);
    BOOST_TEST(monitor.snapshot()->primary == "a");
}

BOOST_AUTO_TEST_CASE(DateWatermarksBySendingNotByAnswering)
{
    const RoundId round = monitor.beginRound(at(0)).id;
    monitor.onStatus(round, primary("a", 1, 7), at(40));
    monitor.onStatus(round, status("b", 1, {1, 7}), at(80));
    BOOST_TEST((monitor.newestWatermark()->sentAt == at(0)));
    BOOST_TEST((monitor.newestWatermark()->mark == LogMark{1, 7}));
}

BOOST_AUTO_TEST_CASE(ProveNothingFromAnswersOfDifferentRounds)
{
    const RoundId first = monitor.beginRound(at(0)).id;
    const RoundId second = monitor.beginRound(at(50)).id;
    monitor.onStatus(first, primary("a", 1, 7), at(60));
    monitor.onStatus(second, status("b", 1, {1, 7}), at(60));
    BOOST_TEST(!monitor.snapshot()->primaryConfirmed);
    BOOST_TEST(!monitor.newestWatermark().has_value());
}

BOOST_AUTO_TEST_CASE(CountADoubledAnswerOnce)
{
    const RoundId round = monitor.beginRound(at(0)).id;
    monitor.onStatus(round, primary("a", 1, 7), at(2));
    monitor.onStatus(round, primary("a", 1, 7), at(3));
    BOOST_TEST(!monitor.snapshot()->primaryConfirmed);
}

BOOST_AUTO_TEST_CASE(WithdrawAPrimaryWhenAMajorityPromisedMore)
{
    settledRound(0, 7);
    const RoundId round = monitor.beginRound(at(50)).id;
    monitor.onStatus(round, status("b", 2, {1, 7}), at(52));
    BOOST_TEST(monitor.snapshot()->primary == "a");
    monitor.onStatus(round, status("c", 2, {1, 7}), at(52));
    BOOST_TEST(monitor.snapshot()->primary == "");
    BOOST_TEST(!monitor.snapshot()->primaryConfirmed);
}

BOOST_AUTO_TEST_CASE(NeverReturnToAnEarlierTerm)
{
    settledRound(0, 7);
    const RoundId old = monitor.beginRound(at(50)).id;
    const RoundId fresh = monitor.beginRound(at(100)).id;
    monitor.onStatus(fresh, primary("b", 2, 8), at(102));
    monitor.onStatus(fresh, status("c", 2, {2, 8}), at(102));
    monitor.onStatus(old, primary("a", 1, 7), at(103));
    monitor.onStatus(old, status("b", 1, {1, 7}), at(104));
    BOOST_TEST(monitor.snapshot()->primary == "b");
    BOOST_TEST(monitor.snapshot()->term == 2U);
    BOOST_TEST(monitor.snapshot()->primaryConfirmed);
}

BOOST_AUTO_TEST_CASE(UseALateAnswerForItsOwnRoundAndKeepTheNewerView)
{
    const RoundId old = monitor.beginRound(at(0)).id;
    monitor.onStatus(old, status("b", 1, {1, 4}), at(2));
    const RoundId fresh = monitor.beginRound(at(50)).id;
    monitor.onStatus(fresh, primary("a", 1, 9), at(52));
    monitor.onStatus(old, primary("a", 1, 5), at(53));
    BOOST_TEST((monitor.newestWatermark()->sentAt == at(0)));
    BOOST_TEST((monitor.newestWatermark()->mark == LogMark{1, 5}));
    BOOST_TEST((monitor.snapshot()->members[0].received == LogMark{1, 9}));
}

BOOST_AUTO_TEST_CASE(EndTheConfirmationWhenOneOfThemFails)
{
    settledRound(0, 7);
    const RoundId round = monitor.beginRound(at(50)).id;
    monitor.onStatus(round, primary("a", 1, 8), at(52));
    monitor.onProbeFailed(round, "b", ProbeFailure::Reset, at(52));
    monitor.onProbeFailed(round, "c", ProbeFailure::Reset, at(52));
    BOOST_TEST(!monitor.snapshot()->primaryConfirmed);
    BOOST_TEST(monitor.snapshot()->primary == "a", "it is not replaced, only not confirmed");
}

// A host may be suspended, together with its clock, while a round is open. When it resumes,
// its clock has not moved, and answers that it dates by that clock would let reads accept
// older data than they allow.
BOOST_AUTO_TEST_CASE(ProveNothingAcrossAClockGap)
{
    settledRound(0, 7);
    const RoundId round = monitor.beginRound(at(50)).id;
    monitor.onClockGap(at(51));
    monitor.onStatus(round, primary("a", 1, 8), at(52));
    monitor.onStatus(round, status("b", 1, {1, 8}), at(52));
    BOOST_TEST(!monitor.newestWatermark().has_value());
    BOOST_TEST(!monitor.snapshot()->primaryConfirmed);
    settledRound(60, 9);
    BOOST_TEST(monitor.snapshot()->primaryConfirmed);
}

BOOST_AUTO_TEST_CASE(LeaveOutASilentMemberButNoOther)
{
    for (int i = 0; i < 10; ++i) {
        const ProbeRound round = monitor.beginRound(at(10 * i));
        monitor.onStatus(round.id, primary("a", 1, 7), at(10 * i + 2));
        monitor.onStatus(round.id, status("b", 1, {1, 7}), at(10 * i + 2));
        BOOST_TEST(round.upstreams.size() == (i < 4 ? 3U : 2U));
        BOOST_TEST(monitor.snapshot()->primaryConfirmed);
    }
}

BOOST_AUTO_TEST_CASE(DoNotCallAMemberReachableThatNeverAnswered)
{
    const RoundId round = monitor.beginRound(at(0)).id;
    monitor.onProbeFailed(round, "b", ProbeFailure::Refused, at(1));
    BOOST_TEST(!monitor.snapshot()->members[1].reachable);
}

BOOST_AUTO_TEST_CASE(JudgeAMemberOnceItHasAnsweredRefusedOrBeenSilent)
{
    const auto reachabilityKnown = [this](std::size_t member) {
        return monitor.snapshot()->members.at(member).reachabilityKnown;
    };
    BOOST_TEST(!reachabilityKnown(0), "nothing is known of a member that was never probed");
    const RoundId round = monitor.beginRound(at(0)).id;
    BOOST_TEST(!reachabilityKnown(0), "an unanswered probe says nothing yet");
    monitor.onStatus(round, primary("a", 1, 7), at(1));
    monitor.onProbeFailed(round, "b", ProbeFailure::Refused, at(1));
    BOOST_TEST(reachabilityKnown(0));
    BOOST_TEST(reachabilityKnown(1));
    BOOST_TEST(!reachabilityKnown(2));
    monitor.beginRound(at(10));
    monitor.onTimer(at(5000));
    BOOST_TEST(reachabilityKnown(2), "silence beyond the timeout counts as a failure");
}

BOOST_AUTO_TEST_CASE(FollowCloselyWhileARequestWaits)
{
    settledRound(0, 7);
    BOOST_TEST((monitor.nextProbeAt(at(3), true) == at(2)));
    BOOST_TEST((monitor.nextProbeAt(at(3), false) == at(50)));
    monitor.beginRound(at(50));
    monitor.onClockGap(at(60));
    BOOST_TEST((monitor.nextProbeAt(at(60), false) == at(60)), "after a gap the next proof is urgent");
}

BOOST_AUTO_TEST_CASE(AreDueAtOnceAfterAFailedRequest)
{
    settledRound(0, 7);
    monitor.onRequestFailed(at(10));
    BOOST_TEST((monitor.nextProbeAt(at(10), false) <= at(10)));
    settledRound(11, 7);
    BOOST_TEST((monitor.nextProbeAt(at(13), false) == at(61)), "one round after the failure is enough");
}

BOOST_AUTO_TEST_CASE(KeepFewWatermarksAndJudgeAgesOfSeconds)
{
    for (int i = 0; i < 5000; ++i) {
        settledRound(2 * i, static_cast<Position>(i) + 1);
    }
    const auto snapshot = monitor.snapshot();
    BOOST_TEST(snapshot->watermarks.size() < 120U);
    const TimePoint now = at(10'000);
    for (const int age : {10, 100, 1000, 5000, 9000}) {
        // The newest watermark that is at least that old is not much older.
        const auto found =
            std::ranges::find_if(snapshot->watermarks.rbegin(), snapshot->watermarks.rend(),
                                 [&](const Watermark &each) { return now - each.sentAt >= std::chrono::milliseconds(age); });
        BOOST_REQUIRE((found != snapshot->watermarks.rend()));
        const auto measuredAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - found->sentAt).count();
        BOOST_TEST(measuredAge <= age + age / 4 + 8, "age " << age << " ms is judged as " << measuredAge << " ms");
    }
}

BOOST_AUTO_TEST_CASE(KeepOneWatermarkOfAnIdlePrimary)
{
    for (int i = 0; i < 100; ++i) {
        settledRound(50 * i, 7);
    }
    BOOST_TEST(monitor.snapshot()->watermarks.size() == 1U);
    BOOST_TEST((monitor.newestWatermark()->sentAt == at(4950)));
}

BOOST_AUTO_TEST_CASE(MeasureTheReplayRate)
{
    for (int i = 0; i < 100; ++i) {
        settledRound(50 * i, 10 * static_cast<Position>(i));
    }
    BOOST_TEST(monitor.snapshot()->members[1].replayRate == 200.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Suspicions, Fixture)

BOOST_AUTO_TEST_CASE(AreRaisedByRefusalsOfThePrimaryOnly)
{
    settledRound(0, 7);
    for (int i = 1; i <= 3; ++i) {
        const RoundId round = monitor.beginRound(at(50 * i)).id;
        monitor.onProbeFailed(round, "a", ProbeFailure::Refused, at(50 * i + 2));
        monitor.onProbeFailed(round, "b", ProbeFailure::Refused, at(50 * i + 2));
    }
    BOOST_TEST(monitor.suspects("b", at(160)));
    BOOST_REQUIRE(monitor.suspicion(at(160)).has_value());
    BOOST_TEST((monitor.suspicion(at(160))->reason == SuspicionReason::PrimaryRefuses));
    BOOST_TEST(monitor.agrees("a", 1, at(160)));
    BOOST_TEST(!monitor.agrees("a", 0, at(160)), "an opinion about an earlier term must not count");
}

BOOST_AUTO_TEST_CASE(GiveARunningPromotionTime)
{
    settledRound(0, 7);
    const RoundId round = monitor.beginRound(at(50)).id;
    monitor.onStatus(round, status("b", 2, {1, 7}), at(52));
    monitor.onStatus(round, status("c", 2, {1, 7}), at(52));
    BOOST_TEST(!monitor.suspicion(at(60)).has_value());
    BOOST_REQUIRE(monitor.suspicion(at(500)).has_value());
    BOOST_TEST((monitor.suspicion(at(500))->reason == SuspicionReason::NoPrimary));
}

BOOST_AUTO_TEST_CASE(EndWithAnAnnouncement)
{
    settledRound(0, 7);
    const RoundId round = monitor.beginRound(at(50)).id;
    monitor.onStatus(round, status("b", 2, {1, 7}), at(52));
    monitor.onStatus(round, status("c", 2, {1, 7}), at(52));
    monitor.onAnnounced(2, "b", at(60));
    BOOST_TEST(!monitor.suspicion(at(500)).has_value());
    BOOST_TEST(monitor.snapshot()->primary == "b");
    BOOST_TEST(!monitor.snapshot()->primaryConfirmed, "an announcement of another host is not a proof");
    monitor.onAnnounced(1, "a", at(61));
    BOOST_TEST(monitor.snapshot()->primary == "b", "a late announcement of an earlier term must be dropped");
}

// All upstreams answer, but no write is confirmed: a led term 1 and was cut off; b was
// promoted in term 2 by a promoter that lost the answer and crashed after it fenced c for
// term 3. Now a stands by 1, b by 2 and c by 3. The primary b is neither unreachable nor
// missing, so the split promises themselves must raise the suspicion.
BOOST_AUTO_TEST_CASE(AreRaisedBySplitPromises)
{
    for (int i = 0; i < 30; ++i) {
        const RoundId round = monitor.beginRound(at(50 * i)).id;
        monitor.onStatus(round, primary("a", 1, 7), at(50 * i + 2));
        monitor.onStatus(round, primary("b", 2, 8), at(50 * i + 2));
        monitor.onStatus(round, status("c", 3, {1, 7}), at(50 * i + 2));
        monitor.onTimer(at(50 * i + 3));
    }
    BOOST_REQUIRE(monitor.suspicion(at(1500)).has_value());
    BOOST_TEST((monitor.suspicion(at(1500))->reason == SuspicionReason::SplitPromises));
    BOOST_TEST(monitor.agrees("b", 2, at(1500)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Majorities)

BOOST_AUTO_TEST_CASE(OverlapWhenOneUpstreamComesOrGoes)
{
    BOOST_TEST(majoritiesOverlap({"a", "b", "c"}, {"a", "b", "c"}));
    BOOST_TEST(majoritiesOverlap({"a", "b", "c"}, {"a", "b", "c", "d"}));
    BOOST_TEST(majoritiesOverlap({"a", "b", "c", "d"}, {"b", "c", "d"}));
}

BOOST_AUTO_TEST_CASE(DoNotOverlapWhenOneUpstreamReplacesAnother)
{
    // {a, c} of the old list and {b, d} of the new one have no common member.
    BOOST_TEST(!majoritiesOverlap({"a", "b", "c"}, {"b", "c", "d"}));
    BOOST_TEST(!majoritiesOverlap({"a", "b", "c"}, {"d", "e", "f"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Order)

BOOST_AUTO_TEST_CASE(OfAnswersDoesNotChangeWhatIsProven)
{
    BOOST_TEST(rc::check("shuffled and doubled answers give the same watermarks and primary", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const std::vector<MemberSpec> members{{"a", "", false}, {"b", "", false}, {"c", "", false}};
        GroupMonitorOptions options;
        options.outstandingLimit = 100;
        GroupMonitor ordered("db", members, options);
        GroupMonitor shuffled("db", members, options);
        struct Answer {
            RoundId round;
            MemberStatus status;
        };
        std::vector<Answer> answers;
        Position position = 1;
        for (int i = 0; i < 12; ++i) {
            const RoundId round = ordered.beginRound(start + milliseconds(10) * i).id;
            RC_ASSERT(shuffled.beginRound(start + milliseconds(10) * i).id == round);
            position += random() % 3;
            answers.push_back({round, primary("a", 1, position)});
            answers.push_back({round, status("b", 1, {1, position - random() % 2})});
            answers.push_back({round, status("c", 1, {1, position - random() % 2})});
        }
        const TimePoint end = start + milliseconds(140);
        for (const Answer &answer : answers) {
            ordered.onStatus(answer.round, answer.status, end);
        }
        const std::vector<Answer> originals = answers;
        answers.insert(answers.end(), originals.begin(), originals.end());
        std::ranges::shuffle(answers, random);
        for (const Answer &answer : answers) {
            shuffled.onStatus(answer.round, answer.status, end);
        }
        RC_ASSERT(ordered.newestWatermark()->sentAt == shuffled.newestWatermark()->sentAt);
        RC_ASSERT(ordered.newestWatermark()->mark == shuffled.newestWatermark()->mark);
        RC_ASSERT(shuffled.snapshot()->primaryConfirmed);
        RC_ASSERT(ordered.snapshot()->members[1].received == shuffled.snapshot()->members[1].received);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

// Groups whose replaced primaries detect their replacement.
namespace
{

struct SelfProvingFixture {
    GroupMonitor monitor{"bookings", {{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}}, [] {
                             GroupMonitorOptions options;
                             options.primaryProvesItself = true;
                             return options;
                         }()};

    TimePoint at(int milliseconds) const
    {
        return start + std::chrono::milliseconds(milliseconds);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PrimariesThatProveThemselves, SelfProvingFixture)

BOOST_AUTO_TEST_CASE(NeedNoMajority)
{
    const RoundId round = monitor.beginRound(at(0)).id;
    monitor.onStatus(round, primary("a", 1, 7), at(2));
    BOOST_TEST(monitor.snapshot()->primaryConfirmed);
    BOOST_TEST((monitor.newestWatermark()->mark == LogMark{1, 7}));
}

BOOST_AUTO_TEST_CASE(DropTheWatermarksOfTheReplacedOne)
{
    // A watermark of the old primary may name an entry that the new one lacks. If
    // watermarks were kept over the change, every bounded read would be refused for a
    // while.
    monitor.onStatus(monitor.beginRound(at(0)).id, primary("a", 1, 500), at(2));
    monitor.onStatus(monitor.beginRound(at(10)).id, primary("b", 2, 400), at(12));
    BOOST_TEST(monitor.snapshot()->primary == "b");
    for (const Watermark &watermark : monitor.snapshot()->watermarks) {
        BOOST_TEST((watermark.mark <= LogMark{2, 400}), "a mark of the replaced primary is still required");
    }
    BOOST_TEST(monitor.snapshot()->watermarks.size() == 1U);
}

// Guards against reads that are served below their floor because the view names an older mark.
BOOST_AUTO_TEST_CASE(ProveNothingByALateAnswerFromBeforeTheirReplacement)
{
    monitor.onStatus(monitor.beginRound(at(0)).id, primary("a", 1, 90), at(2));
    const RoundId late = monitor.beginRound(at(10)).id;
    monitor.onStatus(monitor.beginRound(at(20)).id, primary("b", 2, 100), at(22));
    monitor.onStatus(late, primary("a", 1, 95), at(30));
    BOOST_REQUIRE_EQUAL(monitor.snapshot()->watermarks.size(), 1U);
    BOOST_TEST((monitor.newestWatermark()->mark == LogMark{2, 100}));
}

// Guards against an observer that reaches replicas alone and claims over term 0.
BOOST_AUTO_TEST_CASE(AreKnownToHaveLedByTheReplicasThatFollowThem)
{
    const RoundId round = monitor.beginRound(at(0)).id;
    monitor.onStatus(round, status("b", 4, {4, 90}), at(2));
    monitor.onProbeFailed(round, "a", ProbeFailure::Refused, at(2));
    BOOST_TEST(monitor.snapshot()->term == 4U);
    const auto suspicion = monitor.suspicion(at(1000));
    BOOST_REQUIRE(suspicion.has_value());
    BOOST_TEST(suspicion->term == 4U);
}

// Guards against a removed primary hiding that its term has had one.
BOOST_AUTO_TEST_CASE(ThatAreNoMembersAnyMoreLeaveTheirTerm)
{
    monitor.onStatus(monitor.beginRound(at(0)).id, primary("a", 1, 90), at(2));
    monitor.onTermLearned(3, "removed", at(10));
    BOOST_TEST(monitor.snapshot()->term == 3U);
    BOOST_TEST(monitor.snapshot()->primary.empty());
    BOOST_TEST(monitor.snapshot()->watermarks.empty());
    monitor.onTermLearned(2, "b", at(11));
    BOOST_TEST(monitor.snapshot()->term == 3U);
}

// Guards against an announced primary being dropped by an answer from before its promotion.
BOOST_AUTO_TEST_CASE(ThatAreAnnouncedStayUntilALaterRoundContradicts)
{
    monitor.onStatus(monitor.beginRound(at(0)).id, primary("a", 1, 90), at(2));
    const RoundId before = monitor.beginRound(at(10)).id;
    monitor.onAnnounced(2, "b", at(11));
    BOOST_TEST(monitor.snapshot()->watermarks.empty());
    monitor.onStatus(before, status("b", 1, {1, 90}), at(12));
    BOOST_TEST(monitor.snapshot()->primary == "b");
    monitor.onStatus(monitor.beginRound(at(20)).id, status("b", 1, {1, 90}), at(22));
    BOOST_TEST(monitor.snapshot()->primary.empty());
    BOOST_TEST(monitor.snapshot()->term == 2U);
}

BOOST_AUTO_TEST_CASE(StayInForceWhileReplicasAreFenced)
{
    const RoundId round = monitor.beginRound(at(0)).id;
    monitor.onStatus(round, primary("a", 1, 7), at(2));
    monitor.onStatus(round, status("b", 5, {1, 7}), at(2));
    monitor.onStatus(round, status("c", 5, {1, 7}), at(2));
    BOOST_TEST(monitor.snapshot()->primary == "a", "fenced replicas are no majority against a primary that leads");
}

BOOST_AUTO_TEST_SUITE_END()
