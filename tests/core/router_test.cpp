// The choice of upstreams, its reasons, and which requests may be retried.

#define BOOST_TEST_MODULE Router
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/router.h"

#include <set>

using namespace egrettide;

namespace
{

const TimePoint start{std::chrono::seconds(100)};

Configuration configuration()
{
    DatabaseSpec database;
    database.name = "booking";
    database.upstreams = {{"a", "127.0.0.1:1", "east", 5, 30, false},
                          {"b", "127.0.0.1:2", "west", 5, 30, false},
                          {"c", "127.0.0.1:3", "north", 5, 30, false}};
    Configuration result;
    result.databases = {database};
    return result;
}

GroupHint hint(Term term, const std::string &primary, Position replayed = 100)
{
    GroupHint result;
    result.database = "booking";
    result.term = term;
    result.primary = primary;
    for (const char *name : {"a", "b", "c"}) {
        result.members.push_back(MemberHint{name, LogMark{term, replayed}, milliseconds(5), milliseconds(0), true, false});
    }
    return result;
}

StatementRequest request(StatementKind kind)
{
    StatementRequest result;
    result.database = "booking";
    result.kind = kind;
    result.deadline = start + milliseconds(1000);
    return result;
}

StatementReply refusal(ErrorKind kind, bool sent = false)
{
    StatementReply reply;
    reply.error = Error{kind, "refused; try again.", milliseconds(0)};
    reply.sent = sent;
    reply.hint = hint(1, "a");
    return reply;
}

struct Fixture {
    explicit Fixture(RoutingPolicy policy = RoutingPolicy::Replicas, SpendRetryHook spend = {})
        : router(options(policy), std::move(spend))
    {
        router.configure(configuration());
        router.learn(hint(1, "a"), "a", start);
    }

    static RouterOptions options(RoutingPolicy policy)
    {
        RouterOptions result;
        result.zone = "west";
        result.policy = policy;
        return result;
    }

    Route choose(const StatementRequest &about)
    {
        attempts = RouteAttempts{};
        return router.choose(about, attempts, start, random).value();
    }

    // The next upstream after a refusal; empty if the refusal goes to the caller.
    std::string after(const StatementRequest &about, const StatementReply &reply)
    {
        const auto decision = router.afterReply(about, reply, attempts, start, random);
        const auto *route = std::get_if<Route>(&decision);
        return route == nullptr ? std::string() : route->upstream;
    }

    Router router;
    RouteAttempts attempts;
    std::mt19937_64 random{7};
};

std::uint64_t countOf(const Router &router, PrimaryReason reason)
{
    return router.counters().readsByPrimary[static_cast<std::size_t>(reason)];
}

} // namespace

BOOST_AUTO_TEST_SUITE(Router_)

BOOST_AUTO_TEST_CASE(SendsWritesToThePrimaryAndReadsToTheReplicaOfItsZone)
{
    Fixture fixture;
    BOOST_TEST(fixture.choose(request(StatementKind::Write)).upstream == "a");
    BOOST_TEST(fixture.choose(request(StatementKind::Begin)).upstream == "a");
    BOOST_TEST((fixture.choose(request(StatementKind::Begin)).reason == PrimaryReason::Transaction));
    BOOST_TEST(fixture.choose(request(StatementKind::Read)).upstream == "b");
    BOOST_TEST(fixture.choose(request(StatementKind::BeginReadOnly)).upstream == "b");
}

BOOST_AUTO_TEST_CASE(LeavesItsZoneWhenThatIsBusy)
{
    Fixture fixture;
    GroupHint busy = hint(1, "a");
    busy.members[1].expectedWait = milliseconds(30);
    fixture.router.learn(busy, "a", start);
    BOOST_TEST(fixture.choose(request(StatementKind::Read)).upstream == "b", "only the wait in hints of b's own home may count");
    fixture.router.learn(busy, "b", start);
    BOOST_TEST(fixture.choose(request(StatementKind::Read)).upstream == "c");
}

// After a change of primary, a late reply of a slow home still has a hint of the old term. If
// the latest hint counted regardless of its term, writes would go to the replaced primary.
BOOST_AUTO_TEST_CASE(AHintOfALowerTermNeverReplacesAHigherOne)
{
    Fixture fixture;
    fixture.router.learn(hint(2, "b"), "b", start);
    fixture.router.learn(hint(1, "a"), "a", start + milliseconds(5));
    BOOST_TEST(fixture.router.primary("booking") == "b");
    BOOST_TEST(fixture.router.term("booking") == 2U);
}

BOOST_AUTO_TEST_CASE(FallsBackToThePrimaryAndGivesTheReason)
{
    Fixture fixture;
    StatementRequest beyondFloor = request(StatementKind::Read);
    GroupHint slow = hint(1, "a");
    fixture.router.learn(hint(1, "a", 101), "a", start + milliseconds(1000));
    beyondFloor.freshness.floor = LogMark{1, 100000};
    BOOST_TEST((fixture.choose(beyondFloor).reason == PrimaryReason::Floor));

    StatementRequest withMaxAge = request(StatementKind::Read);
    withMaxAge.freshness.maxAge = milliseconds(100);
    for (MemberHint &each : slow.members) {
        each.age = milliseconds(900);
    }
    fixture.router.learn(slow, "a", start);
    BOOST_TEST((fixture.choose(withMaxAge).reason == PrimaryReason::Age));

    GroupHint gone = hint(1, "a");
    gone.members[1].reachable = false;
    gone.members[2].leaving = true;
    fixture.router.learn(gone, "a", start);
    BOOST_TEST((fixture.choose(request(StatementKind::Read)).reason == PrimaryReason::Health));
}

BOOST_AUTO_TEST_CASE(TheBaselineSendsUnknownSessionsAndUnprovenFloorsToThePrimary)
{
    StatementRequest unknown = request(StatementKind::Read);
    unknown.freshness.latest = true;
    StatementRequest ahead = request(StatementKind::Read);
    ahead.freshness.floor = LogMark{1, 101};
    Fixture baseline(RoutingPolicy::Baseline);
    BOOST_TEST(baseline.choose(unknown).upstream == "a");
    BOOST_TEST(baseline.choose(ahead).upstream == "a");
    BOOST_TEST(baseline.choose(request(StatementKind::Read)).upstream == "b");
    Fixture replicas;
    BOOST_TEST(replicas.choose(unknown).upstream == "b");
    BOOST_TEST(replicas.choose(ahead).upstream == "b");
}

BOOST_AUTO_TEST_CASE(TriesEachUpstreamOnceAndCountsWhereTheReadEnded)
{
    Fixture fixture;
    const StatementRequest read = request(StatementKind::Read);
    BOOST_TEST(fixture.choose(read).upstream == "b");
    BOOST_TEST(fixture.after(read, refusal(ErrorKind::Overloaded)) == "c");
    BOOST_TEST(fixture.after(read, refusal(ErrorKind::Overloaded)) == "a");
    BOOST_TEST(fixture.after(read, refusal(ErrorKind::Overloaded)).empty());
    BOOST_TEST(countOf(fixture.router, PrimaryReason::Capacity) == 1U);
    BOOST_TEST(fixture.router.counters().retries == 2U);

    fixture.choose(read);
    StatementReply answer;
    answer.hint = hint(1, "a");
    BOOST_TEST(fixture.after(read, answer).empty());
    BOOST_TEST(fixture.router.counters().replicaShare() == 0.5);
}

BOOST_AUTO_TEST_CASE(FollowsAMovedPrimary)
{
    Fixture fixture;
    const StatementRequest write = request(StatementKind::Write);
    BOOST_TEST(fixture.choose(write).upstream == "a");
    StatementReply moved = refusal(ErrorKind::Moved);
    moved.hint = hint(2, "c");
    BOOST_TEST(fixture.after(write, moved) == "c");
}

BOOST_AUTO_TEST_CASE(AsksAnyHomeWhileNoPrimaryIsKnown)
{
    Router router(RouterOptions{});
    router.configure(configuration());
    RouteAttempts attempts;
    std::mt19937_64 random(1);
    const StatementRequest write = request(StatementKind::Write);
    BOOST_TEST(router.choose(write, attempts, start, random).value().upstream == "a");
    StatementReply moved = refusal(ErrorKind::Moved);
    moved.hint = hint(3, "c");
    const auto next = router.afterReply(write, moved, attempts, start, random);
    BOOST_TEST(std::get<Route>(next).upstream == "c");
    StatementRequest elsewhere = write;
    elsewhere.database = "pitches";
    RouteAttempts none;
    BOOST_TEST((router.choose(elsewhere, none, start, random).error().kind == ErrorKind::UnknownDatabase));
}

// While a primary is promoted, no home knows one, and a waiting request starts a new round
// again and again. If each round asked all homes, every waiting caller would cause 150
// requests to the homes of its database and take processor time from the promotion.
BOOST_AUTO_TEST_CASE(AsksOneHomeInEachFurtherRoundAndAnotherOneEachTime)
{
    Router router(RouterOptions{});
    router.configure(configuration());
    RouteAttempts attempts;
    std::mt19937_64 random(1);
    const StatementRequest write = request(StatementKind::Write);
    StatementReply noPrimary = refusal(ErrorKind::NoPrimary);
    noPrimary.hint = {};
    std::set<std::string> asked;
    const auto sendsOfOneRound = [&] {
        int sends = 0;
        RouteDecision next = router.choose(write, attempts, start, random).value();
        while (const auto *route = std::get_if<Route>(&next)) {
            ++sends;
            asked.insert(route->upstream);
            next = router.afterReply(write, noPrimary, attempts, start, random);
        }
        return sends;
    };
    BOOST_TEST(sendsOfOneRound() == 3, "the first round must ask all homes");
    asked.clear();
    for (int round = 0; round < 3; ++round) {
        attempts.startOver();
        BOOST_TEST(sendsOfOneRound() == 1);
    }
    BOOST_TEST(asked.size() == 3U, "each home must be asked again, since it may be the only one that knows the primary");
    attempts.startOver();
    router.choose(write, attempts, start, random).value();
    StatementReply moved = refusal(ErrorKind::Moved);
    moved.hint = hint(3, "c");
    const auto next = router.afterReply(write, moved, attempts, start, random);
    BOOST_REQUIRE(std::holds_alternative<Route>(next));
    BOOST_TEST(std::get<Route>(next).upstream == "c", "a primary that is named in a hint must be tried");
}

BOOST_AUTO_TEST_CASE(NotifiesWhenAPrimaryBecomesKnown)
{
    std::vector<std::string> notified;
    Router router(RouterOptions{}, {}, [&notified](const std::string &database) { notified.push_back(database); });
    router.configure(configuration());
    router.learn(hint(1, "a"), "a", start);
    router.learn(hint(1, "a"), "b", start);
    BOOST_TEST(notified.size() == 1U, "the same primary must not be notified twice");
    router.learn(hint(2, "b"), "b", start);
    router.learn(hint(1, "a"), "a", start);
    BOOST_TEST(notified.size() == 2U);
}

BOOST_AUTO_TEST_CASE(SpendsTheRetryBudgetOnOverloadOnly)
{
    Fixture fixture(RoutingPolicy::Replicas, [](TimePoint) { return false; });
    const StatementRequest read = request(StatementKind::Read);
    fixture.choose(read);
    BOOST_TEST(fixture.after(read, refusal(ErrorKind::Overloaded)).empty());
    fixture.choose(read);
    BOOST_TEST(fixture.after(read, refusal(ErrorKind::NotFresh)) == "c");
}

// While the link to one home is broken, its replies carry no hint. If a lost read did not
// exclude the replica for a while, every read of the front would be lost there first and be
// late.
BOOST_AUTO_TEST_CASE(AvoidsAReplicaThatLostARead)
{
    Fixture fixture;
    const StatementRequest read = request(StatementKind::Read);
    BOOST_TEST(fixture.choose(read).upstream == "b");
    StatementReply lost;
    lost.error = Error{ErrorKind::UnknownOutcome, "lost; try again.", milliseconds(0)};
    BOOST_TEST(fixture.after(read, lost) == "c");
    BOOST_TEST(fixture.choose(read).upstream == "c");
    RouteAttempts later;
    BOOST_TEST(fixture.router.choose(read, later, start + milliseconds(201), fixture.random).value().upstream == "b");
}

// The home of a zone that is cut off reports all other upstreams as unreachable. If this
// replaced the hints of their own homes, reads of healthy zones would go to the primary.
BOOST_AUTO_TEST_CASE(PrefersHintsOfAnUpstreamsOwnHome)
{
    Fixture fixture;
    GroupHint cutOff = hint(1, "a");
    cutOff.members[1].reachable = false;
    fixture.router.learn(hint(1, "a"), "b", start);
    fixture.router.learn(cutOff, "a", start);
    BOOST_TEST(fixture.choose(request(StatementKind::Read)).upstream == "b");
    fixture.router.learn(cutOff, "a", start + milliseconds(1000));
    BOOST_TEST(fixture.choose(request(StatementKind::Read)).upstream == "c");
}

// A charge, a write that is not idempotent, is sent to the primary and its answer is lost. If
// the front took that as "not run" and retried it, the charge would run twice.
BOOST_AUTO_TEST_CASE(NeverRetriesAChargeThatWasSent)
{
    int chargesLeft = 0;
    int chargesRetried = 0;
    int repeatableRetried = 0;
    int corrected = 0;
    BOOST_TEST(rc::check("a request that was sent is retried only if it is read-only or idempotent", [&] {
        Fixture fixture;
        StatementRequest about = request(
            *rc::gen::elementOf(std::vector<StatementKind>{StatementKind::Read, StatementKind::Write, StatementKind::Begin,
                                                           StatementKind::BeginReadOnly, StatementKind::Commit}));
        about.idempotent = *rc::gen::arbitrary<bool>();
        about.transaction = *rc::gen::elementOf(std::vector<std::uint64_t>{0, 0, 5});
        fixture.choose(about);
        bool unknown = false;
        for (int attempt = 0; attempt < 8; ++attempt) {
            const auto kind = static_cast<ErrorKind>(*rc::gen::inRange(0, static_cast<int>(ErrorKind::Internal) + 1));
            const bool sent = *rc::gen::arbitrary<bool>();
            StatementReply reply = refusal(kind, sent);
            reply.hint = hint(*rc::gen::inRange<Term>(1, 4), *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"}));
            unknown = unknown || sent || outcomeOf(kind) == Outcome::Unknown;
            const auto decision = fixture.router.afterReply(about, reply, fixture.attempts, start, fixture.random);
            const bool repeatable = about.kind == StatementKind::Read || about.kind == StatementKind::BeginReadOnly
                || (about.idempotent && about.kind == StatementKind::Write);
            if (std::holds_alternative<Route>(decision)) {
                RC_ASSERT(about.transaction == 0U);
                RC_ASSERT(repeatable || !unknown);
                (repeatable ? repeatableRetried : chargesRetried) += 1;
                continue;
            }
            const auto &finish = std::get<Finish>(decision);
            chargesLeft += unknown && !repeatable ? 1 : 0;
            corrected += finish.replacementError ? 1 : 0;
            const Error &given = finish.replacementError ? *finish.replacementError : *reply.error;
            // A refusal that reports "not run" must hold for every attempt.
            RC_ASSERT(!unknown || outcomeOf(given.kind) != Outcome::NotRun);
            return;
        }
        RC_FAIL("the request is sent without end");
    }));
    BOOST_TEST_MESSAGE(chargesLeft << " charges sent, " << chargesRetried << " retried before they were sent, "
                                   << repeatableRetried << " others retried, " << corrected << " refusals corrected");
    // Without these the claim is not exercised.
    BOOST_TEST(chargesLeft > 0);
    BOOST_TEST(chargesRetried > 0);
    BOOST_TEST(repeatableRetried > 0);
    BOOST_TEST(corrected > 0);
}

// An idempotent charge is lost, the front waits for a primary, starts a new round and is
// refused. If the new round dropped the unknown outcome, the caller would get "not run", send
// a new charge and pay twice.
BOOST_AUTO_TEST_CASE(StartingOverKeepsAnUnknownOutcome)
{
    Fixture fixture;
    StatementRequest charge = request(StatementKind::Write);
    charge.idempotent = true;
    fixture.choose(charge);
    StatementReply lost = refusal(ErrorKind::UnknownOutcome, true);
    lost.hint = hint(2, "b");
    BOOST_TEST(fixture.after(charge, lost) == "b");
    fixture.attempts.startOver();
    BOOST_TEST(fixture.router.choose(charge, fixture.attempts, start, fixture.random).value().upstream == "b");
    const auto last = fixture.router.afterReply(charge, refusal(ErrorKind::Overloaded), fixture.attempts, start, fixture.random);
    BOOST_REQUIRE(std::holds_alternative<Finish>(last));
    BOOST_REQUIRE(std::get<Finish>(last).replacementError.has_value());
    BOOST_TEST((std::get<Finish>(last).replacementError->kind == ErrorKind::UnknownOutcome));
}

BOOST_AUTO_TEST_CASE(NeverTriesAnUpstreamTwiceInOneTerm)
{
    BOOST_TEST(rc::check("one try for each upstream and term", [] {
        Fixture fixture;
        const StatementRequest read =
            request(*rc::gen::elementOf(std::vector<StatementKind>{StatementKind::Read, StatementKind::Write}));
        std::set<std::pair<std::string, Term>> tried{{fixture.choose(read).upstream, 1}};
        for (int attempt = 0; attempt < 8; ++attempt) {
            StatementReply reply =
                refusal(*rc::gen::elementOf(std::vector<ErrorKind>{ErrorKind::Moved, ErrorKind::NotFresh, ErrorKind::Leaving}));
            reply.hint = hint(*rc::gen::inRange<Term>(1, 3), *rc::gen::elementOf(std::vector<std::string>{"", "a", "b", "c"}));
            const std::string next = fixture.after(read, reply);
            if (next.empty()) {
                return;
            }
            RC_ASSERT(tried.emplace(next, fixture.router.term("booking")).second);
        }
        RC_FAIL("the request is sent without end");
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReadsThatNeedThePrimary)

BOOST_FIXTURE_TEST_CASE(AreSentOnlyThere, Fixture)
{
    StatementRequest read = request(StatementKind::Read);
    read.needsPrimary = true;
    const Route first = choose(read);
    BOOST_TEST(first.upstream == "a");
    BOOST_TEST((first.reason == PrimaryReason::Latest));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReplicasThatAreBehind)

namespace
{

StatementReply notFresh()
{
    StatementReply reply = refusal(ErrorKind::NotFresh);
    reply.hint.members.clear();
    return reply;
}

// Routes one read and returns its outcome; appends each upstream that was tried to `asked`.
std::string sendRead(Router &router, const StatementRequest &request, const std::set<std::string> &laggingUpstreams,
                     TimePoint now, std::vector<std::string> &asked)
{
    std::mt19937_64 random(1);
    RouteAttempts attempts;
    auto route = router.choose(request, attempts, now, random);
    while (route) {
        asked.push_back(route->upstream);
        StatementReply reply = laggingUpstreams.contains(route->upstream) ? notFresh() : StatementReply{};
        if (route->primary) {
            reply = refusal(ErrorKind::Overloaded);
            reply.hint.members.clear();
        }
        const auto decision = router.afterReply(request, reply, attempts, now, random);
        const Route *next = std::get_if<Route>(&decision);
        if (next == nullptr) {
            return reply.error ? std::string(nameOf(reply.error->kind)) : "served by " + route->upstream;
        }
        route = *next;
    }
    return "no upstream";
}

} // namespace

// Both replicas are seconds behind and the primary has no free slot. If each read tried both
// replicas again, it would be refused by all three upstreams within three milliseconds, and
// its caller would get NotFresh without a time to retry instead of Overloaded, and retry at
// once.
BOOST_AUTO_TEST_CASE(AreBackedOffForSuchReads)
{
    Router router(RouterOptions{});
    router.configure(configuration());
    router.learn(hint(1, "a"), "a", start);
    StatementRequest read = request(StatementKind::Read);
    read.freshness.maxAge = milliseconds(1500);
    read.deadline = start + std::chrono::seconds(60);
    std::vector<std::string> asked;
    std::string last;
    int overloaded = 0;
    for (int i = 0; i < 600; ++i) {
        last = sendRead(router, read, {"b", "c"}, start + milliseconds(1000 + 10 * i), asked);
        overloaded += last == nameOf(ErrorKind::Overloaded) ? 1 : 0;
    }
    const auto replicas = std::ranges::count_if(asked, [](const std::string &upstream) { return upstream != "a"; });
    BOOST_TEST(replicas <= 40, "600 reads in 6 s asked replicas that are behind " << replicas << " times");
    BOOST_TEST(overloaded >= 560, "only " << overloaded << " of 600 were refused as overloaded, the last: " << last);
    asked.clear();
    const TimePoint caughtUp = start + milliseconds(8000);
    BOOST_TEST(sendRead(router, read, {}, caughtUp, asked).starts_with("served by "));
    BOOST_TEST(asked.front() != "a", "a replica that may have caught up must be tried again");
}

BOOST_AUTO_TEST_CASE(ForASessionsOwnWritesMayServeOlderState)
{
    Router router(RouterOptions{});
    router.configure(configuration());
    router.learn(hint(1, "a"), "a", start);
    StatementRequest own = request(StatementKind::Read);
    own.freshness.floor = LogMark{1, 200};
    StatementRequest old = request(StatementKind::Read);
    old.freshness.maxAge = milliseconds(1500);
    std::vector<std::string> asked;
    sendRead(router, own, {"b", "c"}, start, asked);
    asked.clear();
    BOOST_TEST(sendRead(router, old, {}, start + milliseconds(1), asked) != "served by a");
    BOOST_TEST(asked.front() != "a", "a read with a maximum age must still go to a replica");
}

BOOST_AUTO_TEST_SUITE_END()
