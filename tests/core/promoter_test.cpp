// Tests the steps of a promotion, one decision at a time. The interaction of several
// promoters under faults is tested in group_test.cpp.

#define BOOST_TEST_MODULE Promoter
#include <boost/test/unit_test.hpp>

#include "egrettide/core/promoter.h"

#include <algorithm>

using namespace egrettide;

namespace
{

constexpr TimePoint start{std::chrono::seconds(100)};

template <typename Action> std::vector<Action> only(const PromoterActions &actions)
{
    std::vector<Action> found;
    for (const PromoterAction &action : actions) {
        if (const auto *each = std::get_if<Action>(&action)) {
            found.push_back(*each);
        }
    }
    return found;
}

struct Fixture {
    Promoter promoter{
        {"bookings", "b", "10.0.0.2/1"}, {{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}}, 7};
    Suspicion suspicion{SuspicionReason::PrimarySilent, "a", 4};
    AttemptId attempt = 0;
    Term term = 0;
    std::string token;

    TimePoint at(int milliseconds) const
    {
        return start + std::chrono::milliseconds(milliseconds);
    }

    ControlAnswer granted(const std::string &upstream, LogMark received, UpstreamRole role = UpstreamRole::Replica) const
    {
        ControlAnswer answer;
        answer.granted = true;
        answer.status.upstream = upstream;
        answer.status.role = role;
        answer.status.promisedTerm = term;
        answer.status.promisedTo = token;
        answer.status.received = received;
        answer.status.replayed = received;
        return answer;
    }

    ControlAnswer refused(const std::string &upstream, Term promised) const
    {
        ControlAnswer answer;
        answer.status.upstream = upstream;
        answer.status.promisedTerm = promised;
        answer.status.promisedTo = "another promoter";
        return answer;
    }

    void storeAttempt(const PromoterActions &actions)
    {
        const auto fences = only<SendFence>(actions);
        BOOST_REQUIRE(!fences.empty());
        attempt = fences[0].attempt;
        term = fences[0].term;
        token = fences[0].token;
    }

    // Runs an attempt up to its fences, with the store out of service.
    void reachFences(int milliseconds = 0)
    {
        const auto asked = only<AskOpinions>(promoter.onSuspicion(suspicion, 4, at(milliseconds)));
        BOOST_REQUIRE_EQUAL(asked.size(), 1U);
        promoter.onOpinion(asked[0].attempt, "c", true, at(milliseconds));
        storeAttempt(promoter.onRecordRead(asked[0].attempt, std::nullopt, at(milliseconds)));
    }

    // Runs it on to the promotion of c.
    void reachPromotion()
    {
        reachFences();
        promoter.onFence(attempt, granted("b", {4, 10}), at(2));
        promoter.onFence(attempt, granted("c", {4, 11}), at(2));
        const auto promotions = only<SendPromote>(promoter.onMemberFailed(attempt, "a", at(3)));
        BOOST_REQUIRE_EQUAL(promotions.size(), 1U);
        BOOST_REQUIRE_EQUAL(promotions[0].upstream, "c");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Opinions, Fixture)

BOOST_AUTO_TEST_CASE(AreNeededFromAMajorityOfHomes)
{
    const auto asked = only<AskOpinions>(promoter.onSuspicion(suspicion, 4, at(0)));
    BOOST_REQUIRE_EQUAL(asked.size(), 1U);
    BOOST_TEST(promoter.onOpinion(asked[0].attempt, "b", true, at(1)).empty(), "its own home must not count twice");
    BOOST_TEST(promoter.onOpinion(asked[0].attempt, "x", true, at(1)).empty(), "an unknown home must not count");
    BOOST_TEST(only<ReadRecord>(promoter.onOpinion(asked[0].attempt, "c", true, at(1))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(OfAHomeWhoseUpstreamWasRemovedDoNotCount)
{
    promoter.setMembers({{"a", "zone-a", false}, {"c", "zone-c", false}, {"d", "zone-d", false}}, at(0));
    const auto asked = only<AskOpinions>(promoter.onSuspicion(suspicion, 4, at(0)));
    BOOST_REQUIRE_EQUAL(asked.size(), 1U);
    BOOST_TEST(promoter.onOpinion(asked[0].attempt, "c", true, at(1)).empty());
    BOOST_TEST(only<ReadRecord>(promoter.onOpinion(asked[0].attempt, "d", true, at(1))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ThatDoNotComeStopTheAttempt)
{
    promoter.onSuspicion(suspicion, 4, at(0));
    BOOST_TEST(promoter.onTimer(at(299)).empty());
    const auto ended = only<GiveUp>(promoter.onTimer(at(300)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::NoAgreement));
    BOOST_TEST(promoter.onSuspicion(suspicion, 4, ended[0].until - milliseconds(1)).empty());
    BOOST_TEST(!promoter.onSuspicion(suspicion, 4, ended[0].until).empty());
}

BOOST_AUTO_TEST_CASE(AgainstItStopTheAttemptAtOnce)
{
    const auto asked = only<AskOpinions>(promoter.onSuspicion(suspicion, 4, at(0)));
    BOOST_TEST(promoter.onOpinion(asked[0].attempt, "a", false, at(1)).empty());
    BOOST_TEST(only<GiveUp>(promoter.onOpinion(asked[0].attempt, "c", false, at(1))).size() == 1U);
}

// The network separates the primary from its own zone only. Its home there suspects it, but
// the other homes reach it and disagree. Writes go only through that home, so they would
// stop for as long as the majority's opinion decides.
BOOST_AUTO_TEST_CASE(OfOthersDoNotBindThePrimarysOwnHomeForEver)
{
    const Suspicion own{SuspicionReason::PrimarySilent, "b", 4};
    bool reached = false;
    for (int milliseconds = 0; milliseconds <= 2000 && !reached; milliseconds += 50) {
        for (const AskOpinions &question : only<AskOpinions>(promoter.onSuspicion(own, 4, at(milliseconds)))) {
            promoter.onOpinion(question.attempt, "a", false, at(milliseconds));
            const auto last = promoter.onOpinion(question.attempt, "c", false, at(milliseconds));
            reached = reached || !only<ReadRecord>(last).empty() || promoter.running();
            BOOST_TEST((!reached || milliseconds >= 1500), "acted alone after " << milliseconds << " ms");
        }
    }
    BOOST_TEST(reached);
}

BOOST_AUTO_TEST_CASE(AreNeededByThePrimarysOwnHomeThatGetsNoAnswers)
{
    const Suspicion own{SuspicionReason::PrimarySilent, "b", 4};
    for (int milliseconds = 0; milliseconds <= 5000; milliseconds += 50) {
        promoter.onSuspicion(own, 4, at(milliseconds));
        BOOST_TEST(only<ReadRecord>(promoter.onTimer(at(milliseconds))).empty(), "a home that is cut off must not act");
    }
}

BOOST_AUTO_TEST_CASE(OfOthersBindAHomeWhoseSuspicionComesAndGoes)
{
    const Suspicion own{SuspicionReason::PrimarySilent, "b", 4};
    for (int milliseconds = 0; milliseconds <= 5000; milliseconds += 300) {
        for (const AskOpinions &question : only<AskOpinions>(promoter.onSuspicion(own, 4, at(milliseconds)))) {
            promoter.onOpinion(question.attempt, "a", false, at(milliseconds));
            promoter.onOpinion(question.attempt, "c", false, at(milliseconds));
        }
        BOOST_TEST(!promoter.running());
    }
}

BOOST_AUTO_TEST_CASE(AreDroppedWhenThePrimaryAnswersAgain)
{
    promoter.onSuspicion(suspicion, 4, at(0));
    GroupSnapshot snapshot;
    snapshot.term = 4;
    snapshot.primary = "a";
    snapshot.primaryConfirmed = true;
    snapshot.watermarks = {{at(-10), {4, 1}}};
    BOOST_TEST(promoter.onGroup(snapshot, {}, at(1)).empty(), "a proof from before the suspicion says nothing");
    snapshot.watermarks = {{at(1), {4, 1}}};
    const auto ended = only<GiveUp>(promoter.onGroup(snapshot, {}, at(2)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::PrimaryReturned));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Claims, Fixture)

// Runs the attempt to its claim over the given record; returns the claim.
ClaimInStore reachClaim(Fixture &fixture, const VersionedRecord &record)
{
    const auto asked = only<AskOpinions>(fixture.promoter.onSuspicion(fixture.suspicion, 4, fixture.at(0)));
    fixture.promoter.onOpinion(asked[0].attempt, "c", true, fixture.at(0));
    const auto claims = only<ClaimInStore>(fixture.promoter.onRecordRead(asked[0].attempt, record, fixture.at(1)));
    BOOST_REQUIRE_EQUAL(claims.size(), 1U);
    BOOST_TEST(claims[0].expectedVersion == record.version);
    BOOST_TEST(claims[0].record.claimHolder == "10.0.0.2/1");
    return claims[0];
}

BOOST_AUTO_TEST_CASE(AreSkippedWhenTheStoreDoesNotAnswer)
{
    reachClaim(*this, {9, {}});
    BOOST_TEST(promoter.onTimer(at(150)).empty());
    BOOST_TEST(only<SendFence>(promoter.onTimer(at(200))).size() == 3U);
}

BOOST_AUTO_TEST_CASE(WhoseAnswerIsLostAreReadBack)
{
    const ClaimInStore claim = reachClaim(*this, {9, {}});
    const auto reads = only<ReadRecord>(promoter.onClaim(claim.attempt, {ClaimResult::LostAnswer, {}}, at(2)));
    BOOST_REQUIRE_EQUAL(reads.size(), 1U);
    const VersionedRecord standing{10, claim.record};
    BOOST_TEST(only<SendFence>(promoter.onRecordRead(claim.attempt, standing, at(3))).size() == 3U);
}

BOOST_AUTO_TEST_CASE(OfOthersAreRespectedForAWhileOnly)
{
    GroupRecord foreign;
    foreign.claimToken = "10.0.0.3/1/c/1";
    foreign.claimHolder = "10.0.0.3/1";
    foreign.claimedOver = 4;
    const auto attemptAt = [&](int milliseconds) {
        const auto asked = only<AskOpinions>(promoter.onSuspicion(suspicion, 4, at(milliseconds)));
        BOOST_REQUIRE_EQUAL(asked.size(), 1U);
        promoter.onOpinion(asked[0].attempt, "c", true, at(milliseconds));
        const auto actions = promoter.onRecordRead(asked[0].attempt, VersionedRecord{10, foreign}, at(milliseconds));
        const bool respected = only<GiveUp>(actions).size() == 1;
        BOOST_TEST(respected == (milliseconds < 1000), "claim seen for " << milliseconds << " ms");
    };
    attemptAt(0);
    attemptAt(500);
    attemptAt(1000);
}

BOOST_AUTO_TEST_CASE(OnAnEarlierTermAreOver)
{
    GroupRecord finished;
    finished.claimToken = "10.0.0.3/1/c/1";
    finished.claimHolder = "10.0.0.3/1";
    finished.claimedOver = 3;
    reachClaim(*this, {10, finished});
}

BOOST_AUTO_TEST_CASE(ThatConflictWithAnAnnouncementOnlyAreMadeAgain)
{
    const AttemptId claiming = reachClaim(*this, {9, {}}).attempt;
    GroupRecord announced;
    announced.term = 4;
    announced.primary = "a";
    const auto claims = only<ClaimInStore>(promoter.onClaim(claiming, {ClaimResult::Conflict, {11, announced}}, at(2)));
    BOOST_REQUIRE_EQUAL(claims.size(), 1U);
    BOOST_TEST(claims[0].expectedVersion == 11U);
    BOOST_TEST(claims[0].record.primary == "a", "a claim must keep the announced primary");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Fences, Fixture)

BOOST_AUTO_TEST_CASE(RefuseToPromoteWhenAMajorityIsOutOfReach)
{
    reachFences();
    BOOST_TEST(term == 5U);
    promoter.onFence(attempt, granted("b", {4, 10}), at(2));
    promoter.onMemberFailed(attempt, "a", at(2));
    BOOST_TEST(only<SendPromote>(promoter.onMemberFailed(attempt, "c", at(2))).empty());
    const auto ended = only<GiveUp>(promoter.onTimer(at(500)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::NoMajority));
}

BOOST_AUTO_TEST_CASE(OfTwoPromotersOfOneProcessCarryDifferentTokens)
{
    reachFences();
    const std::string first = token;
    Promoter next{{"bookings", "b", "10.0.0.2/1"}, {{"b", "zone-b", false}}, 7};
    const auto asked = only<ReadRecord>(next.onSuspicion(suspicion, 4, at(700)));
    BOOST_REQUIRE_EQUAL(asked.size(), 1U);
    storeAttempt(next.onRecordRead(asked[0].attempt, std::nullopt, at(700)));
    BOOST_TEST(token != first, "a home that moves away and back must not share promises with its former promoter");
}

BOOST_AUTO_TEST_CASE(CountAMemberOnceHoweverOftenItAnswers)
{
    reachFences();
    promoter.onFence(attempt, granted("b", {4, 10}), at(2));
    BOOST_TEST(only<SendPromote>(promoter.onFence(attempt, granted("b", {4, 10}), at(3))).empty());
    BOOST_TEST(only<SendPromote>(promoter.onTimer(at(40))).empty());
}

BOOST_AUTO_TEST_CASE(DoNotCountAPromiseToAnotherPromoter)
{
    reachFences();
    promoter.onFence(attempt, granted("b", {4, 10}), at(2));
    ControlAnswer foreign = granted("c", {4, 11});
    foreign.status.promisedTo = "10.0.0.3/1/c/1";
    promoter.onFence(attempt, foreign, at(2));
    BOOST_TEST(only<SendPromote>(promoter.onTimer(at(40))).empty());
}

BOOST_AUTO_TEST_CASE(ChooseTheMostAdvancedPromiser)
{
    reachFences();
    promoter.onFence(attempt, granted("b", {4, 10}), at(2));
    promoter.onFence(attempt, granted("c", {3, 99}), at(2));
    const auto promotions = only<SendPromote>(promoter.onTimer(at(12)));
    BOOST_REQUIRE_EQUAL(promotions.size(), 1U);
    BOOST_TEST(promotions[0].upstream == "b", "a higher position of an earlier term is no more advanced");
}

BOOST_AUTO_TEST_CASE(WaitAMomentForAMoreAdvancedMember)
{
    reachFences();
    promoter.onFence(attempt, granted("b", {4, 10}), at(2));
    BOOST_TEST(only<SendPromote>(promoter.onFence(attempt, granted("c", {4, 10}), at(2))).empty());
    const auto promotions = only<SendPromote>(promoter.onFence(attempt, granted("a", {4, 12}, UpstreamRole::Fenced), at(5)));
    BOOST_REQUIRE_EQUAL(promotions.size(), 1U);
    BOOST_TEST(promotions[0].upstream == "a");
}

BOOST_AUTO_TEST_CASE(PutLeavingUpstreamsLastAmongEquals)
{
    promoter.setMembers({{"a", "zone-a", false}, {"b", "zone-b", true}, {"c", "zone-c", false}}, at(0));
    reachFences();
    promoter.onFence(attempt, granted("b", {4, 10}), at(2));
    promoter.onFence(attempt, granted("c", {4, 10}), at(2));
    const auto promotions = only<SendPromote>(promoter.onMemberFailed(attempt, "a", at(3)));
    BOOST_REQUIRE_EQUAL(promotions.size(), 1U);
    BOOST_TEST(promotions[0].upstream == "c");
}

BOOST_AUTO_TEST_CASE(AreSentAgainOnlyToThoseThatDidNotPromise)
{
    reachFences();
    promoter.onFence(attempt, granted("b", {4, 10}), at(2));
    const auto fences = only<SendFence>(promoter.onTimer(at(50)));
    BOOST_REQUIRE_EQUAL(fences.size(), 2U);
    BOOST_TEST(fences[0].token == token, "a resent fence must carry the same token");
}

BOOST_AUTO_TEST_CASE(ThatAreOutbidBackOffAndReturnAboveTheOther)
{
    reachFences();
    const auto ended = only<GiveUp>(promoter.onFence(attempt, refused("b", 8), at(2)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::Outbid));
    reachFences(2000);
    BOOST_TEST(term == 9U);
}

// During a store outage, with a failed, this home may hold the promise of b and another one
// that of c. Both must not wait for the suspected primary a until their timeout, which
// would prolong the failover by half a second.
BOOST_AUTO_TEST_CASE(DoNotWaitForTheSuspectedPrimaryOnceOutbid)
{
    reachFences();
    promoter.onFence(attempt, granted("b", {4, 10}), at(2));
    const auto ended = only<GiveUp>(promoter.onFence(attempt, refused("c", 5), at(2)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::Outbid));
}

// During a store outage two homes may fence at the same time, refuse each other and back
// off. The next attempt must start after the backoff: if only the monitor's
// noPrimaryTimeout started it, writes would be unavailable for half a second longer.
BOOST_AUTO_TEST_CASE(ThatAreOutbidAreRepeatedAfterTheBackoffUnlessAPrimaryAppears)
{
    reachFences();
    const auto ended = only<GiveUp>(promoter.onFence(attempt, refused("b", 8), at(2)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((promoter.nextTimerAt() == ended[0].until));
    GroupSnapshot snapshot;
    snapshot.term = 4;
    promoter.onGroup(snapshot, {}, at(3));
    BOOST_TEST(only<AskOpinions>(promoter.onTimer(ended[0].until)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ThatAreOutbidAreNotRepeatedOnceAPrimaryAppears)
{
    reachFences();
    const auto ended = only<GiveUp>(promoter.onFence(attempt, refused("b", 8), at(2)));
    GroupSnapshot snapshot;
    snapshot.term = 8;
    snapshot.primary = "c";
    promoter.onGroup(snapshot, {}, at(3));
    BOOST_TEST(only<AskOpinions>(promoter.onTimer(ended.at(0).until)).empty());
}

BOOST_AUTO_TEST_CASE(OfADroppedAttemptAreIgnored)
{
    reachFences();
    const AttemptId before = attempt;
    const ControlAnswer late = granted("c", {4, 11});
    promoter.onFence(before, granted("b", {4, 10}), at(2));
    BOOST_TEST(only<GiveUp>(promoter.onClockGap(at(3))).size() == 1U);
    BOOST_TEST(promoter.onFence(before, late, at(4)).empty(), "a promoter that was paused must start from new probes");
    BOOST_TEST(promoter.onTimer(at(600)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Promotions, Fixture)

BOOST_AUTO_TEST_CASE(EndInAnnouncementFollowersAndRecord)
{
    reachPromotion();
    const auto actions = promoter.onPromote(attempt, granted("c", {5, 12}, UpstreamRole::Primary), at(5));
    BOOST_REQUIRE_EQUAL(only<Announce>(actions).size(), 1U);
    BOOST_TEST(only<Announce>(actions)[0].primary == "c");
    BOOST_TEST(only<SendFollow>(actions).size() == 2U);
    BOOST_REQUIRE_EQUAL(only<RecordInStore>(actions).size(), 1U);
    BOOST_TEST(only<RecordInStore>(actions)[0].record.term == 5U);
    BOOST_TEST(only<RecordInStore>(actions)[0].record.claimToken == "", "the claim ends with the promotion");
    BOOST_TEST(!promoter.running());
}

// The order to promote reaches c, but its answer is lost. If the promoter then ordered b,
// which promised the same term to the same token, the term would have two primaries, each
// with writes that the other lacks.
BOOST_AUTO_TEST_CASE(NeverOrderASecondCandidateInTheSameTerm)
{
    reachPromotion();
    const Term first = term;
    const std::string firstToken = token;
    storeAttempt(promoter.onMemberFailed(attempt, "c", at(10)));
    BOOST_TEST(term == first + 1);
    BOOST_TEST(token != firstToken);
}

BOOST_AUTO_TEST_CASE(AreOrderedAgainWithTheSameTokenBeforeTheCandidateIsGivenUp)
{
    reachPromotion();
    const auto again = only<SendPromote>(promoter.onTimer(at(60)));
    BOOST_REQUIRE_EQUAL(again.size(), 1U);
    BOOST_TEST(again[0].token == token);
    BOOST_TEST(only<SendFence>(promoter.onTimer(at(303))).size() == 3U, "after the deadline a new term begins");
}

BOOST_AUTO_TEST_CASE(WhoseAnswerIsLostAreSeenInTheGroup)
{
    reachPromotion();
    GroupSnapshot snapshot;
    snapshot.term = term;
    snapshot.primary = "c";
    BOOST_TEST(only<Announce>(promoter.onGroup(snapshot, {}, at(5))).size() == 1U);
    BOOST_TEST(!promoter.running());
    BOOST_TEST(promoter.onPromote(attempt, granted("c", {5, 12}, UpstreamRole::Primary), at(6)).empty());
}

BOOST_AUTO_TEST_CASE(ThatAreOvertakenStop)
{
    reachPromotion();
    GroupSnapshot snapshot;
    snapshot.term = 7;
    snapshot.primary = "a";
    const auto ended = only<GiveUp>(promoter.onGroup(snapshot, {}, at(5)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::Outbid));
}

BOOST_AUTO_TEST_CASE(OfAPlannedChangePreferTheSuccessorAmongEqualsOnly)
{
    storeAttempt(promoter.startPlanned("c", 4, at(0)));
    promoter.onFence(attempt, granted("a", {4, 10}, UpstreamRole::Fenced), at(1));
    promoter.onFence(attempt, granted("b", {4, 10}), at(1));
    const auto promotions = only<SendPromote>(promoter.onFence(attempt, granted("c", {4, 10}), at(1)));
    BOOST_REQUIRE_EQUAL(promotions.size(), 1U);
    BOOST_TEST(promotions[0].upstream == "c");
}

BOOST_AUTO_TEST_CASE(OfAPlannedChangeNeverLoseAWriteForTheSuccessor)
{
    storeAttempt(promoter.startPlanned("c", 4, at(0)));
    promoter.onFence(attempt, granted("a", {4, 11}, UpstreamRole::Fenced), at(1));
    promoter.onFence(attempt, granted("b", {4, 10}), at(1));
    const auto promotions = only<SendPromote>(promoter.onFence(attempt, granted("c", {4, 10}), at(1)));
    BOOST_REQUIRE_EQUAL(promotions.size(), 1U);
    BOOST_TEST(promotions[0].upstream == "a", "it holds a write that may have been acknowledged");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Followers, Fixture)

GroupSnapshot ledBy(const std::string &primary, Term term, bool confirmed)
{
    GroupSnapshot snapshot;
    snapshot.term = term;
    snapshot.primary = primary;
    snapshot.primaryConfirmed = confirmed;
    return snapshot;
}

MemberStatus member(const std::string &upstream, Term promised, Term following, UpstreamRole role)
{
    MemberStatus status;
    status.upstream = upstream;
    status.role = role;
    status.promisedTerm = promised;
    status.promisedTo = "token-" + std::to_string(promised);
    status.followingTerm = following;
    return status;
}

BOOST_AUTO_TEST_CASE(IncludeAnOldPrimaryThatReturns)
{
    const std::vector<MemberStatus> statuses{member("a", 4, 4, UpstreamRole::Primary), member("b", 5, 5, UpstreamRole::Primary),
                                             member("c", 5, 5, UpstreamRole::Replica)};
    const auto orders = only<SendFollow>(promoter.onGroup(ledBy("b", 5, true), statuses, at(0)));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "a");
    BOOST_TEST(orders[0].primary == "b");
    BOOST_TEST(orders[0].token == "token-5", "the promise of a term goes to its own token only");
    BOOST_TEST(only<SendFollow>(promoter.onTimer(at(100))).empty());
    BOOST_TEST(only<SendFollow>(promoter.onTimer(at(200))).size() == 1U);
}

// A promoter orders b to lead term 2, loses the answer, fences c for term 3 and crashes. a
// still leads term 1 and has no order to follow b. If orders to follow were sent only for
// confirmed primaries, b would never be confirmed, since that requires a to follow it.
BOOST_AUTO_TEST_CASE(AreOrderedBeforeThePrimaryIsConfirmed)
{
    const std::vector<MemberStatus> statuses{member("a", 1, 1, UpstreamRole::Primary), member("b", 2, 2, UpstreamRole::Primary),
                                             member("c", 3, 1, UpstreamRole::Replica)};
    const auto orders = only<SendFollow>(promoter.onGroup(ledBy("b", 2, false), statuses, at(0)));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "a");
}

BOOST_AUTO_TEST_CASE(ThatAreStrandedOnAHigherPromiseCallForARenewal)
{
    const std::vector<MemberStatus> statuses{member("a", 5, 5, UpstreamRole::Replica), member("b", 5, 5, UpstreamRole::Primary),
                                             member("c", 6, 4, UpstreamRole::Replica)};
    promoter.onGroup(ledBy("b", 5, true), statuses, at(0));
    BOOST_TEST(!promoter.needsRenewal(), "another promotion may be under way");
    promoter.onGroup(ledBy("b", 5, true), statuses, at(2000));
    BOOST_TEST(promoter.needsRenewal());
}

BOOST_AUTO_TEST_CASE(AreLeftToTheHomeOfThePrimary)
{
    const std::vector<MemberStatus> statuses{member("a", 4, 4, UpstreamRole::Primary), member("c", 5, 5, UpstreamRole::Primary)};
    BOOST_TEST(promoter.onGroup(ledBy("c", 5, true), statuses, at(0)).empty());
    promoter.setHomes({"c"});
    BOOST_TEST(only<SendFollow>(promoter.onGroup(ledBy("c", 5, true), statuses, at(0))).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// Promotions that a third party carries out under a fencing token.
namespace
{

struct OrderedFixture : Fixture {
    OrderedFixture()
    {
        makePromoter();
    }

    void makePromoter()
    {
        PromoterOptions options;
        options.promoteBy = PromoteBy::ThirdParty;
        ordered = std::make_unique<Promoter>(
            PromoterIdentity{"bookings", "b", "10.0.0.2/1"},
            std::vector<MemberSpec>{{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}}, 7, options);
    }

    AttemptId agreed(int milliseconds = 0)
    {
        const auto asked = only<AskOpinions>(ordered->onSuspicion(suspicion, 4, at(milliseconds)));
        BOOST_REQUIRE_EQUAL(asked.size(), 1U);
        ordered->onOpinion(asked[0].attempt, "c", true, at(milliseconds));
        return asked[0].attempt;
    }

    // Runs an attempt to its fences, over the record as it stands in the store.
    void fence(int milliseconds = 0)
    {
        const AttemptId asked = agreed(milliseconds);
        const auto claims = only<ClaimInStore>(ordered->onRecordRead(asked, store, at(milliseconds)));
        BOOST_REQUIRE_EQUAL(claims.size(), 1U);
        storeAttempt(ordered->onClaim(asked, write(claims[0]), at(milliseconds)));
    }

    // Answers a write of the record by carrying it out.
    ClaimAnswer write(const ClaimInStore &claim)
    {
        BOOST_REQUIRE_EQUAL(claim.expectedVersion, store.version);
        store = VersionedRecord{store.version + 1, claim.record};
        return ClaimAnswer{ClaimResult::Claimed, store};
    }

    // Answers the fences, and the write of the order that follows.
    PromoterActions promise(const std::vector<ControlAnswer> &promises, const std::string &silent, int milliseconds)
    {
        for (const ControlAnswer &answer : promises) {
            ordered->onFence(attempt, answer, at(milliseconds));
        }
        PromoterActions actions = ordered->onMemberFailed(attempt, silent, at(milliseconds + 1));
        if (actions.empty()) {
            actions = ordered->onTimer(at(milliseconds + 58));
        }
        const auto recorded = only<ClaimInStore>(actions);
        return recorded.empty() ? actions : ordered->onClaim(attempt, write(recorded[0]), at(milliseconds + 1));
    }

    // Runs an attempt up to the order to promote, whose record has that version.
    std::vector<SendPromote> order(std::uint64_t version, int milliseconds = 0)
    {
        store.version = version - 2;
        fence(milliseconds);
        return only<SendPromote>(promise({granted("b", {4, 10}), granted("c", {4, 11})}, "a", milliseconds + 2));
    }

    // Runs the attempt that repeats the last one to its fences.
    void fenceAgain(int milliseconds)
    {
        const auto asked = only<AskOpinions>(ordered->onTimer(at(milliseconds)));
        BOOST_REQUIRE_EQUAL(asked.size(), 1U);
        const AttemptId next = asked[0].attempt;
        PromoterActions actions = ordered->onOpinion(next, "c", true, at(milliseconds));
        if (!only<ReadRecord>(actions).empty()) {
            actions = ordered->onRecordRead(next, store, at(milliseconds));
        }
        const auto claims = only<ClaimInStore>(actions);
        BOOST_REQUIRE_EQUAL(claims.size(), 1U);
        storeAttempt(ordered->onClaim(next, write(claims[0]), at(milliseconds)));
    }

    void accept(const SendPromote &order)
    {
        ControlAnswer accepted;
        accepted.granted = true;
        accepted.status.upstream = order.upstream;
        ordered->onPromote(order.attempt, accepted, at(10));
    }

    static std::vector<MemberSpec> withNewcomer()
    {
        return {{"a", "zone-a", true}, {"b", "zone-b", false}, {"c", "zone-c", false}, {"d", "zone-a", false}};
    }

    std::unique_ptr<Promoter> ordered;
    VersionedRecord store;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OrdersToAThirdParty, OrderedFixture)

BOOST_AUTO_TEST_CASE(CarryTheVersionOfTheirRecord)
{
    const auto orders = order(41);
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "c");
    BOOST_TEST(orders[0].fencingToken == 41U);
}

BOOST_AUTO_TEST_CASE(AreNotGivenWithoutAClaim)
{
    // Without a claim there is no unique fencing token. If the promoter continued while the
    // store does not answer, two holders could promote under one token.
    const AttemptId asked = agreed();
    const auto ended = only<GiveUp>(ordered->onRecordRead(asked, std::nullopt, at(1)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::NoClaim));
}

BOOST_AUTO_TEST_CASE(AreGivenOnceForEachClaim)
{
    // An unanswered order may still be carried out. If it were sent again, or another
    // candidate ordered under the same token, the first order could be carried out last,
    // after it was superseded.
    order(41);
    for (int milliseconds = 10; milliseconds < 290; milliseconds += 20) {
        BOOST_TEST(only<SendPromote>(ordered->onTimer(at(milliseconds))).empty(), "an order was sent twice");
    }
    const auto ended = ordered->onMemberFailed(attempt, "c", at(295));
    BOOST_TEST(only<SendPromote>(ordered->onTimer(at(320))).empty());
    BOOST_REQUIRE_EQUAL(only<GiveUp>(ended).size(), 1U);
}

BOOST_AUTO_TEST_CASE(NeedNoAnswerOfMembersThatLeave)
{
    // The primary is being removed and its replacement starts in the same zone, which is
    // then cut off. The two members outside are no majority of four, so if a leaving member
    // counted, the group would have no primary until the cut ends.
    ordered->setMembers({{"a", "zone-a", true}, {"b", "zone-b", false}, {"c", "zone-c", false}, {"d", "zone-a", false}}, at(0));
    const auto orders = order(41);
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "c");
}

BOOST_AUTO_TEST_CASE(AreGivenUpSoonWhenUnanswered)
{
    // An unanswered order may be carried out late or never. If it were waited for as long
    // as an accepted one, writes would stop for seconds after the loss of the primary.
    order(41);
    BOOST_REQUIRE(ordered->nextTimerAt().has_value());
    BOOST_TEST((*ordered->nextTimerAt() > at(3)), "a timer in the past would fire repeatedly");
    BOOST_TEST(only<GiveUp>(ordered->onTimer(at(300))).empty());
    BOOST_REQUIRE_EQUAL(only<GiveUp>(ordered->onTimer(at(420))).size(), 1U);
}

BOOST_AUTO_TEST_CASE(ThatWereAcceptedGetMoreTime)
{
    order(41);
    ControlAnswer taken;
    taken.granted = true;
    taken.status.upstream = "c";
    ordered->onPromote(attempt, taken, at(10));
    BOOST_TEST(only<GiveUp>(ordered->onTimer(at(300))).empty());
    BOOST_TEST(ordered->running());
}

BOOST_AUTO_TEST_CASE(AreDoneWhenTheGroupShowsIt)
{
    const auto orders = order(41);
    ControlAnswer taken;
    taken.granted = true;
    taken.status.upstream = "c";
    BOOST_TEST(ordered->onPromote(attempt, taken, at(5)).empty(), "an accepted order is not yet carried out");
    GroupSnapshot snapshot;
    snapshot.term = orders[0].term;
    snapshot.primary = "c";
    BOOST_TEST(only<Announce>(ordered->onGroup(snapshot, {}, at(200))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ReleaseMembersFencedByAFailedPromoter)
{
    GroupSnapshot snapshot;
    snapshot.term = 4;
    snapshot.primary = "b";
    MemberStatus held;
    held.upstream = "c";
    held.followingTerm = 4;
    held.promisedTerm = 9;
    ordered->onGroup(snapshot, {held}, at(0));
    BOOST_TEST(only<SendFollow>(ordered->onTimer(at(100))).empty(), "a promotion may be under way; it needs time");
    PromoterActions late = ordered->onGroup(snapshot, {held}, at(5000));
    BOOST_TEST(only<SendFollow>(late).size() == 1U, "a member fenced by a failed promoter was not ordered to follow");
}

// Guards against two candidates leading one after the other when a member joins.
BOOST_AUTO_TEST_CASE(AreWaitedForWhenTheMembersChange)
{
    const auto orders = order(41);
    accept(orders[0]);
    BOOST_TEST(ordered->setMembers(withNewcomer(), at(300)).empty(), "an accepted order was given up");
    BOOST_TEST(ordered->awaitsPromotion());
    GroupSnapshot snapshot;
    snapshot.term = 5;
    snapshot.primary = "c";
    BOOST_TEST(only<Announce>(ordered->onGroup(snapshot, {}, at(800))).size() == 1U);
}

// Guards against ordering another candidate while an unanswered order may still be carried out.
BOOST_AUTO_TEST_CASE(ThatAreUnansweredBindLaterAttemptsUntilTheyExpire)
{
    order(41);
    ordered->onTimer(at(420));
    ordered->setMembers(withNewcomer(), at(450));
    fenceAgain(1000);
    const std::vector<ControlAnswer> promises{granted("b", {4, 10}), granted("c", {4, 11}), granted("d", {4, 20})};
    const auto refused = only<GiveUp>(promise(promises, "a", 1002));
    BOOST_REQUIRE_EQUAL(refused.size(), 1U);
    BOOST_TEST((refused[0].reason == GiveUpReason::OrderPending));
    fenceAgain(13'100);
    const auto orders =
        only<SendPromote>(promise({granted("b", {4, 10}), granted("c", {4, 11}), granted("d", {4, 20})}, "a", 13'102));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "d");
}

// Guards against a group without a primary because the candidate of an unanswered order has died.
BOOST_AUTO_TEST_CASE(AreRepeatedForTheSameCandidateUntilItIsRefused)
{
    order(41);
    ordered->onTimer(at(420));
    fenceAgain(1000);
    const auto again = only<SendPromote>(promise({granted("a", {4, 9}), granted("b", {4, 10})}, "c", 1002));
    BOOST_REQUIRE_EQUAL(again.size(), 1U);
    BOOST_TEST(again[0].upstream == "c");
    ControlAnswer conflict;
    conflict.status.upstream = "c";
    ordered->onPromote(attempt, conflict, at(1010));
    fenceAgain(2000);
    const auto next = only<SendPromote>(promise({granted("a", {4, 9}), granted("b", {4, 10})}, "c", 2002));
    BOOST_REQUIRE_EQUAL(next.size(), 1U);
    BOOST_TEST(next[0].upstream == "b");
}

// Guards against a group without a primary because an accepted order was not carried out.
BOOST_AUTO_TEST_CASE(ThatWereAcceptedAndNotCarriedOutBindNobody)
{
    accept(order(41)[0]);
    ordered->onTimer(at(310));
    fenceAgain(1000);
    const auto next = only<SendPromote>(promise({granted("a", {4, 12}), granted("b", {4, 10})}, "c", 1002));
    BOOST_REQUIRE_EQUAL(next.size(), 1U);
    BOOST_TEST(next[0].upstream == "a");
}

// Guards against waiting for a candidate that has left the group.
BOOST_AUTO_TEST_CASE(ForAnUpstreamThatIsNoMemberAnyMoreBindNobody)
{
    order(41);
    ordered->onTimer(at(420));
    ordered->setMembers({{"a", "zone-a", false}, {"b", "zone-b", false}, {"d", "zone-c", false}}, at(450));
    const auto asked = only<AskOpinions>(ordered->onTimer(at(1000)));
    BOOST_REQUIRE_EQUAL(asked.size(), 1U);
    ordered->onOpinion(asked[0].attempt, "a", true, at(1000));
    const auto claims = only<ClaimInStore>(ordered->onRecordRead(asked[0].attempt, store, at(1000)));
    BOOST_REQUIRE_EQUAL(claims.size(), 1U);
    BOOST_TEST(!claims[0].record.order.has_value(), "an order that cannot be carried out any more stays in the record");
    storeAttempt(ordered->onClaim(claims[0].attempt, write(claims[0]), at(1000)));
    const auto next = only<SendPromote>(promise({granted("b", {4, 10}), granted("d", {4, 12})}, "a", 1002));
    BOOST_REQUIRE_EQUAL(next.size(), 1U);
    BOOST_TEST(next[0].upstream == "d");
}

// Guards against a promoter that is replaced, as its home moves, and forgets or prolongs the bound.
BOOST_AUTO_TEST_CASE(BindThePromoterThatReplacesThisOneForTheRestOfTheirTime)
{
    order(41);
    const PendingOrder passedOn = ordered->pendingOrder();
    makePromoter();
    ordered->setPendingOrder(passedOn);
    fence(12'900);
    const auto refused = only<GiveUp>(promise({granted("a", {4, 9}), granted("b", {4, 12})}, "c", 12'902));
    BOOST_REQUIRE_EQUAL(refused.size(), 1U);
    BOOST_TEST((refused[0].reason == GiveUpReason::OrderPending));
    fenceAgain(16'000);
    BOOST_TEST(only<SendPromote>(promise({granted("a", {4, 9}), granted("b", {4, 12})}, "c", 16'002)).size() == 1U);
}

// Guards against hosts that each order another candidate.
BOOST_AUTO_TEST_CASE(OfAnotherHostBindThisOne)
{
    store.record.order = PromotionOrder{"c", 4, {4, 8}, "10.0.0.3/1/c/1"};
    fence();
    const auto ended = only<GiveUp>(promise({granted("a", {4, 9}), granted("b", {4, 10})}, "c", 2));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::OrderPending));
}

// Guards against an order under a token that another host's order has passed.
BOOST_AUTO_TEST_CASE(AreNotGivenWhenAnotherHostClaimsBeforeTheyAreRecorded)
{
    fence();
    ordered->onFence(attempt, granted("b", {4, 10}), at(2));
    ordered->onFence(attempt, granted("c", {4, 11}), at(2));
    const auto recorded = only<ClaimInStore>(ordered->onMemberFailed(attempt, "a", at(3)));
    BOOST_REQUIRE_EQUAL(recorded.size(), 1U);
    const auto actions = ordered->onClaim(attempt, ClaimAnswer{ClaimResult::Conflict, {9, {}}}, at(5));
    BOOST_TEST(only<SendPromote>(actions).empty());
    BOOST_TEST(only<GiveUp>(actions).size() == 1U);
}

// Guards against an order whose record may not stand, or that is recorded and never given.
BOOST_AUTO_TEST_CASE(WhoseRecordGetsNoAnswerAreReadBack)
{
    fence();
    ordered->onFence(attempt, granted("b", {4, 10}), at(2));
    ordered->onFence(attempt, granted("c", {4, 11}), at(2));
    const auto recorded = only<ClaimInStore>(ordered->onMemberFailed(attempt, "a", at(3)));
    BOOST_REQUIRE_EQUAL(recorded.size(), 1U);
    write(recorded[0]);
    const auto reads = only<ReadRecord>(ordered->onClaim(attempt, ClaimAnswer{ClaimResult::LostAnswer, {}}, at(5)));
    BOOST_REQUIRE_EQUAL(reads.size(), 1U);
    const auto orders = only<SendPromote>(ordered->onRecordRead(attempt, store, at(9)));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].fencingToken == store.version);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LaterTerms, OrderedFixture)

void requireSuperseded(Fixture &, const PromoterActions &actions)
{
    const auto ended = only<GiveUp>(actions);
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::Superseded));
}

// Guards against replacing a primary that leads by a promotion begun for an earlier term.
BOOST_AUTO_TEST_CASE(InTheRecordEndAnAttemptBeforeItsClaim)
{
    store = VersionedRecord{7, {}};
    store.record.term = 5;
    store.record.primary = "c";
    const auto actions = ordered->onRecordRead(agreed(), store, at(1));
    requireSuperseded(*this, actions);
    const auto learnt = only<LearnTerm>(actions);
    BOOST_REQUIRE_EQUAL(learnt.size(), 1U);
    BOOST_TEST(learnt[0].term == 5U);
    BOOST_TEST(learnt[0].primary == "c");
    BOOST_TEST(ordered->onSuspicion(suspicion, 4, at(5000)).empty(), "the suspicion of the earlier term began another attempt");
}

// Guards against choosing among members while one of them follows a later primary.
BOOST_AUTO_TEST_CASE(OfAMemberEndAnAttemptThatFences)
{
    fence();
    ControlAnswer later = granted("c", {5, 3});
    later.status.followingTerm = 5;
    const auto actions = ordered->onFence(attempt, later, at(2));
    requireSuperseded(*this, actions);
    BOOST_TEST(only<LearnTerm>(actions).size() == 1U);
}

// Guards against an attempt that outlives the news of a later primary, or begins again after it.
BOOST_AUTO_TEST_CASE(InTheViewEndAnAttemptForGood)
{
    const AttemptId asked = only<AskOpinions>(ordered->onSuspicion(suspicion, 7, at(0))).at(0).attempt;
    ordered->onOpinion(asked, "c", true, at(0));
    const auto claims = only<ClaimInStore>(ordered->onRecordRead(asked, store, at(0)));
    storeAttempt(ordered->onClaim(asked, write(claims.at(0)), at(0)));
    BOOST_REQUIRE_EQUAL(term, 8U);
    GroupSnapshot snapshot;
    snapshot.term = 5;
    snapshot.primary = "c";
    requireSuperseded(*this, ordered->onGroup(snapshot, {}, at(5)));
    BOOST_TEST(ordered->onTimer(at(5000)).empty(), "the attempt began again");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AbandonedBranches, OrderedFixture)

void began(OrderedFixture &fixture, LogMark mark, bool isExact)
{
    fixture.store = VersionedRecord{7, {}};
    fixture.store.record.term = 4;
    fixture.store.record.primary = "b";
    fixture.store.record.beginnings = {{4, mark, isExact}};
    fixture.suspicion.primary = "b";
}

// Guards against promoting a former primary whose last commits were rolled back by another promotion.
BOOST_AUTO_TEST_CASE(RankBelowMembersOfTheLatestTermsLog)
{
    began(*this, {1, 52}, true);
    fence();
    const auto orders = only<SendPromote>(promise({granted("a", {1, 60}), granted("c", {1, 50})}, "b", 2));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "c");
}

// Guards against the same where only the order of the promotion is known.
BOOST_AUTO_TEST_CASE(RankBelowWhenTheBeginningIsNotExact)
{
    began(*this, {}, true);
    store.record.beginnings.clear();
    store.record.order = PromotionOrder{"b", 3, {1, 52}, "another promoter"};
    fence();
    const auto orders = only<SendPromote>(promise({granted("a", {1, 60}), granted("c", {1, 50})}, "b", 2));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "c");
}

// Guards against bringing back abandoned commits because the other members have not answered yet.
BOOST_AUTO_TEST_CASE(WaitForAMemberThatHasNotAnswered)
{
    began(*this, {1, 52}, true);
    ordered->setMembers({{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}, {"d", "zone-a", true}}, at(0));
    fence();
    ordered->onFence(attempt, granted("a", {1, 60}), at(2));
    ordered->onFence(attempt, granted("d", {1, 58}), at(2));
    BOOST_TEST(only<ClaimInStore>(ordered->onTimer(at(60))).empty());
    const auto recorded = only<ClaimInStore>(ordered->onFence(attempt, granted("c", {1, 51}), at(300)));
    BOOST_REQUIRE_EQUAL(recorded.size(), 1U);
    BOOST_REQUIRE(recorded[0].record.order.has_value());
    BOOST_TEST(recorded[0].record.order->upstream == "c");
}

// Guards against a group without a primary for ever because the others are lost.
BOOST_AUTO_TEST_CASE(LeadOnceTheOthersAreTakenForLost)
{
    began(*this, {1, 52}, true);
    fence();
    ordered->onFence(attempt, granted("a", {1, 60}), at(2));
    ordered->onFence(attempt, granted("c", {1, 58}), at(2));
    ordered->onTimer(at(60));
    const auto ended = only<GiveUp>(ordered->onTimer(at(500)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::AwaitsMembers));
    fenceAgain(20'100);
    const auto orders = only<SendPromote>(promise({granted("a", {1, 60}), granted("c", {1, 58})}, "b", 20'102));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "a");
}

// Guards against losing the beginning of a term with the outcome of its promotion.
BOOST_AUTO_TEST_CASE(AreKnownFromTheRecordOfTheOutcome)
{
    const auto orders = order(41);
    accept(orders[0]);
    GroupSnapshot snapshot;
    snapshot.term = 5;
    snapshot.primary = "c";
    MemberStatus leading;
    leading.upstream = "c";
    leading.role = UpstreamRole::Primary;
    leading.followingTerm = 5;
    leading.received = {4, 13};
    const auto outcome = only<RecordInStore>(ordered->onGroup(snapshot, {leading}, at(200)));
    BOOST_REQUIRE_EQUAL(outcome.size(), 1U);
    const std::vector<TermBeginning> expected{{5, {4, 13}, true}};
    BOOST_TEST((outcome[0].record.beginnings == expected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ReturnedPrimaries, OrderedFixture)

// A view in which b leads term 4 and the others are fenced for term 9.
std::vector<MemberStatus> fenced(Term promised = 9)
{
    std::vector<MemberStatus> statuses;
    for (const char *name : {"a", "c"}) {
        MemberStatus status;
        status.upstream = name;
        status.followingTerm = 4;
        status.promisedTerm = promised;
        statuses.push_back(status);
    }
    return statuses;
}

GroupSnapshot ledByB()
{
    GroupSnapshot snapshot;
    snapshot.term = 4;
    snapshot.primary = "b";
    return snapshot;
}

std::vector<std::string> released(const PromoterActions &actions)
{
    std::vector<std::string> names;
    for (const SendFollow &each : only<SendFollow>(actions)) {
        names.push_back(each.upstream);
    }
    return names;
}

// Runs until the members may be released, with this order in the record.
void readRecordBeforeRelease(OrderedFixture &fixture)
{
    fixture.ordered->onGroup(ledByB(), fenced(), fixture.at(0));
    const auto actions = fixture.ordered->onGroup(ledByB(), fenced(), fixture.at(2000));
    BOOST_TEST(released(actions).empty(), "members were released before the record was read");
    const auto reads = only<ReadRecord>(actions);
    BOOST_REQUIRE_EQUAL(reads.size(), 1U);
    fixture.ordered->onRecordRead(reads[0].attempt, fixture.store, fixture.at(2004));
}

// Guards against commits that only a released member acknowledged while the order for another one may
// still be carried out.
BOOST_AUTO_TEST_CASE(ReleaseTheCandidateAloneUntilTheOrderHasEnded)
{
    ordered->setAcknowledgingReplicas(1);
    store.version = 7;
    store.record.order = PromotionOrder{"c", 4, {4, 11}, "another host"};
    readRecordBeforeRelease(*this);
    const std::vector<std::string> candidate{"c"};
    BOOST_TEST(released(ordered->onGroup(ledByB(), fenced(), at(2050))) == candidate, boost::test_tools::per_element());
    BOOST_TEST(released(ordered->onGroup(ledByB(), fenced(), at(14'900))) == candidate, boost::test_tools::per_element());
    const auto later = released(ordered->onGroup(ledByB(), fenced(), at(15'100)));
    BOOST_TEST(std::ranges::count(later, "a") == 1, "a member stayed fenced after the order had ended");
}

BOOST_AUTO_TEST_CASE(ReleaseAllWithoutAnOrder)
{
    ordered->setAcknowledgingReplicas(1);
    readRecordBeforeRelease(*this);
    BOOST_TEST(released(ordered->onGroup(ledByB(), fenced(), at(2050))).size() == 2U);
}

// Guards against a release by what the record said before another promotion began.
BOOST_AUTO_TEST_CASE(ReadTheRecordAgainForALaterFence)
{
    ordered->setAcknowledgingReplicas(1);
    readRecordBeforeRelease(*this);
    ordered->onGroup(ledByB(), fenced(10), at(2010));
    BOOST_TEST(released(ordered->onGroup(ledByB(), fenced(10), at(3900))).empty());
    BOOST_TEST(only<ReadRecord>(ordered->onGroup(ledByB(), fenced(10), at(4100))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(KeepTheFenceWhileTheRecordIsNotAnswered)
{
    ordered->setAcknowledgingReplicas(1);
    ordered->onGroup(ledByB(), fenced(), at(0));
    BOOST_TEST(only<ReadRecord>(ordered->onGroup(ledByB(), fenced(), at(2000))).size() == 1U);
    ordered->onRecordRead(releaseReadId, std::nullopt, at(2200));
    BOOST_TEST(only<ReadRecord>(ordered->onGroup(ledByB(), fenced(), at(2300))).empty());
    const auto again = ordered->onGroup(ledByB(), fenced(), at(3000));
    BOOST_TEST(only<ReadRecord>(again).size() == 1U);
    BOOST_TEST(released(again).empty());
}

// Guards against releasing a member that another host has fenced meanwhile.
BOOST_AUTO_TEST_CASE(RepeatNoReleaseOnceTheyAreGone)
{
    ordered->setAcknowledgingReplicas(1);
    readRecordBeforeRelease(*this);
    BOOST_TEST(released(ordered->onGroup(ledByB(), fenced(), at(2050))).size() == 2U);
    BOOST_TEST(released(ordered->onTimer(at(2300))).size() == 2U, "an unanswered release is repeated");
    GroupSnapshot gone;
    gone.term = 4;
    ordered->onGroup(gone, fenced(10), at(2350));
    BOOST_TEST(released(ordered->onTimer(at(4000))).empty());
}

// Guards against releasing a member that this attempt has fenced.
BOOST_AUTO_TEST_CASE(RepeatNoReleaseDuringAnAttempt)
{
    ordered->setAcknowledgingReplicas(1);
    readRecordBeforeRelease(*this);
    BOOST_TEST(released(ordered->onGroup(ledByB(), fenced(), at(2050))).size() == 2U);
    fence(2100);
    BOOST_TEST(released(ordered->onTimer(at(2300))).empty());
}

BOOST_AUTO_TEST_CASE(ReleaseAllWhereNoReplicaAcknowledges)
{
    store.record.order = PromotionOrder{"c", 4, {4, 11}, "another host"};
    ordered->onGroup(ledByB(), fenced(), at(0));
    BOOST_TEST(released(ordered->onGroup(ledByB(), fenced(), at(2000))).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AcknowledgingReplicas, OrderedFixture)

// Guards against losing commits that only a replica which leaves had received.
BOOST_AUTO_TEST_CASE(AreAllHeardWithoutThePrimaryAlsoThoseThatLeave)
{
    ordered->setAcknowledgingReplicas(1);
    ordered->setMembers({{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}, {"d", "zone-b", true}}, at(0));
    fence();
    ordered->onFence(attempt, granted("b", {4, 10}), at(2));
    ordered->onFence(attempt, granted("c", {4, 11}), at(2));
    BOOST_TEST(only<ClaimInStore>(ordered->onTimer(at(20))).empty(), "a silent replica may hold what was acknowledged");
    const auto recorded = only<ClaimInStore>(ordered->onFence(attempt, granted("d", {4, 15}), at(44)));
    BOOST_REQUIRE_EQUAL(recorded.size(), 1U);
    BOOST_REQUIRE(recorded[0].record.order.has_value());
    BOOST_TEST(recorded[0].record.order->upstream == "d");
}

BOOST_AUTO_TEST_CASE(AreWaitedForFromAttemptToAttempt)
{
    ordered->setAcknowledgingReplicas(1);
    ordered->setMembers({{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}, {"d", "zone-b", true}}, at(0));
    fence();
    ordered->onFence(attempt, granted("b", {4, 10}), at(2));
    ordered->onFence(attempt, granted("c", {4, 11}), at(2));
    ordered->onMemberFailed(attempt, "d", at(3));
    ordered->onTimer(at(20));
    const auto ended = only<GiveUp>(ordered->onTimer(at(500)));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST((ended[0].reason == GiveUpReason::AwaitsMembers));
    BOOST_TEST((ended[0].until > at(500)));
}

// Guards against waiting for ever for a replica that is known not to run any more.
BOOST_AUTO_TEST_CASE(ThatAreNoMembersAnyMoreAreNotWaitedFor)
{
    ordered->setAcknowledgingReplicas(1);
    ordered->setMembers({{"b", "zone-b", false}, {"c", "zone-c", false}}, at(0));
    fence();
    ordered->onFence(attempt, granted("b", {4, 10}), at(2));
    const auto recorded = only<ClaimInStore>(ordered->onFence(attempt, granted("c", {4, 11}), at(2)));
    BOOST_TEST(recorded.size() == 1U);
}

BOOST_AUTO_TEST_CASE(NeedNotAllBeHeardIfSeveralAcknowledge)
{
    ordered->setAcknowledgingReplicas(2);
    ordered->setMembers({{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}, {"d", "zone-b", true}}, at(0));
    fence();
    ordered->onFence(attempt, granted("b", {4, 10}), at(2));
    ordered->onFence(attempt, granted("c", {4, 11}), at(2));
    BOOST_TEST(only<ClaimInStore>(ordered->onTimer(at(20))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(NeedNotAllBeHeardWithThePrimary)
{
    ordered->setAcknowledgingReplicas(1);
    fence();
    ordered->onFence(attempt, granted("a", {4, 12}), at(2));
    ordered->onFence(attempt, granted("b", {4, 10}), at(2));
    BOOST_TEST(only<ClaimInStore>(ordered->onTimer(at(20))).size() == 1U);
}

// Guards against losing a commit that only a member on an abandoned branch holds besides the primary.
BOOST_AUTO_TEST_CASE(CountWhatABranchSharesWithTheLatestTerm)
{
    ordered->setAcknowledgingReplicas(1);
    store.record.beginnings = {{4, {3, 52}, true}};
    suspicion.primary = "b";
    fence();
    const auto orders = only<SendPromote>(promise({granted("a", {3, 60}), granted("c", {3, 51})}, "b", 2));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "a");
}

BOOST_AUTO_TEST_CASE(PreferAMemberOfTheLatestTermsLogIfBothShareAsMuch)
{
    ordered->setAcknowledgingReplicas(1);
    store.record.beginnings = {{4, {3, 52}, true}};
    suspicion.primary = "b";
    fence();
    const auto orders = only<SendPromote>(promise({granted("a", {3, 60}), granted("c", {3, 52})}, "b", 2));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "c");
}

// Guards against losing acknowledged commits beyond the known part of a term's beginning.
BOOST_AUTO_TEST_CASE(RankEntriesBeyondAnInexactBeginningByTheirPosition)
{
    ordered->setAcknowledgingReplicas(1);
    store.record.beginnings = {{4, {3, 52}, false}};
    suspicion.primary = "b";
    fence();
    const auto orders = only<SendPromote>(promise({granted("a", {3, 54}), granted("c", {3, 50})}, "b", 2));
    BOOST_REQUIRE_EQUAL(orders.size(), 1U);
    BOOST_TEST(orders[0].upstream == "a");
}

BOOST_AUTO_TEST_SUITE_END()
