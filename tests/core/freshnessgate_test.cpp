// Tests single decisions of the gate, one rule at a time; freshness_test.cpp checks them
// together against random histories.

#define BOOST_TEST_MODULE FreshnessGate
#include <boost/test/unit_test.hpp>

#include "egrettide/core/freshnessgate.h"

using namespace egrettide;

namespace
{

const TimePoint start{std::chrono::seconds(100)};

TimePoint at(int ms)
{
    return start + milliseconds(ms);
}

MemberView member(const std::string &name, LogMark replayed)
{
    MemberView view;
    view.upstream = name;
    view.received = replayed;
    view.replayed = replayed;
    view.followingTerm = 2;
    view.observedAt = at(0);
    view.replayRate = 1000;
    view.reachable = true;
    view.reachabilityKnown = true;
    return view;
}

// Term 2, primary p at 100, replica r at 90, one confirmed round sent at 0 ms.
GroupSnapshot group()
{
    GroupSnapshot snapshot;
    snapshot.database = "booking";
    snapshot.term = 2;
    snapshot.primary = "p";
    snapshot.primaryConfirmed = true;
    snapshot.watermarks = {{at(-50), LogMark{2, 80}}, {at(0), LogMark{2, 100}}};
    snapshot.members = {member("p", LogMark{2, 100}), member("r", LogMark{2, 90})};
    snapshot.members[0].role = UpstreamRole::Primary;
    return snapshot;
}

FreshnessRequest request(Freshness freshness, TimePoint receivedAt = at(10))
{
    return FreshnessRequest{freshness, receivedAt, receivedAt + milliseconds(1000), receivedAt + milliseconds(20), receivedAt};
}

Freshness withFloor(LogMark mark)
{
    Freshness freshness;
    freshness.floor = mark;
    return freshness;
}

Freshness withAge(int ms)
{
    Freshness freshness;
    freshness.maxAge = milliseconds(ms);
    return freshness;
}

Freshness latest()
{
    Freshness freshness;
    freshness.latest = true;
    return freshness;
}

std::string text(const GateDecision &decision)
{
    if (const auto *serve = std::get_if<Serve>(&decision)) {
        return "serve " + std::to_string(serve->shown.term) + ":" + std::to_string(serve->shown.position);
    }
    if (const auto *wait = std::get_if<WaitUntil>(&decision)) {
        return "wait " + std::string(nameOf(wait->reason));
    }
    return "elsewhere " + std::string(nameOf(std::get<GoElsewhere>(decision).reason));
}

std::string decide(const Freshness &freshness, const GroupSnapshot &snapshot, std::string_view upstream, int now = 10,
                   GateOptions options = {})
{
    return text(FreshnessGate(options).decide(request(freshness), snapshot, upstream, at(now)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(FreshnessGate_)

BOOST_AUTO_TEST_CASE(ServesAReplayedFloorAndWaitsForANearOne)
{
    BOOST_TEST(decide(withFloor({2, 90}), group(), "r") == "serve 2:90");
    BOOST_TEST(decide(withFloor({1, 500}), group(), "r") == "serve 2:90", "a higher term supersedes lower positions");
    BOOST_TEST(decide(withFloor({2, 95}), group(), "r") == "wait floor");
}

BOOST_AUTO_TEST_CASE(SendsAReadElsewhereWhenReplayIsTooSlow)
{
    GroupSnapshot snapshot = group();
    snapshot.members[1].replayRate = 10;
    BOOST_TEST(decide(withFloor({2, 100}), snapshot, "r") == "elsewhere floor");
    GateOptions never;
    never.waitPolicy = WaitPolicy::Never;
    BOOST_TEST(decide(withFloor({2, 91}), group(), "r", 10, never) == "elsewhere floor");
    GateOptions whole;
    whole.waitPolicy = WaitPolicy::WholeBudget;
    BOOST_TEST(decide(withFloor({2, 100}), snapshot, "r", 10, whole) == "wait floor");
    BOOST_TEST(decide(withFloor({2, 100}), snapshot, "r", 30, whole) == "elsewhere floor", "the budget of 20 ms is used up");
}

BOOST_AUTO_TEST_CASE(ThePrimaryOfTheFloorsTermServesItBeforeAProbeSaysSo)
{
    BOOST_TEST(decide(withFloor({2, 140}), group(), "p") == "serve 2:100");
    BOOST_TEST(decide(withFloor({3, 1}), group(), "p") == "wait floor");
}

BOOST_AUTO_TEST_CASE(CountsAnAgeFromTheSendingOfTheProbe)
{
    BOOST_TEST(decide(withAge(62), group(), "r", 10) == "serve 2:90", "shows 2:80, proven 60 ms ago");
    BOOST_TEST(decide(withAge(60), group(), "r", 10) == "wait age", "1 ms of margin is missing");
    BOOST_TEST(decide(withAge(12), group(), "p", 10) == "serve 2:100");
}

BOOST_AUTO_TEST_CASE(LatestNeedsAConfirmationSentAfterTheReceipt)
{
    GroupSnapshot snapshot = group();
    BOOST_TEST(decide(latest(), snapshot, "r") == "wait latest");
    BOOST_TEST(decide(latest(), snapshot, "p") == "wait latest");
    snapshot.watermarks.push_back({at(11), LogMark{2, 104}});
    BOOST_TEST(decide(latest(), snapshot, "p", 14) == "serve 2:100");
    BOOST_TEST(decide(latest(), snapshot, "r", 14) == "wait latest");
    snapshot.members[1].replayed = LogMark{2, 104};
    BOOST_TEST(decide(latest(), snapshot, "r", 14) == "serve 2:104");
}

// A probe round, the acknowledgement of a write and the receipt of a read may share one
// clock reading. Counting that confirmation as later than the receipt, and so in place of
// the floor, let about one random schedule in 80,000 miss its own write.
BOOST_AUTO_TEST_CASE(AConfirmationOfTheSameMomentIsNotALaterOne)
{
    GroupSnapshot snapshot = group();
    snapshot.members[1].replayed = LogMark{2, 100};
    snapshot.watermarks.push_back({at(10), LogMark{2, 100}});
    BOOST_TEST(decide(latest(), snapshot, "r", 14) == "wait latest");
    BOOST_TEST(decide(withFloor({2, 101}), snapshot, "r", 14) == "wait floor");
}

// With a pipelined write and read, a round may be sent after the receipt of both but before
// the write is acknowledged. The mark of that round must not replace the floor, or the
// caller misses its own write.
BOOST_AUTO_TEST_CASE(AConfirmationFromBeforeTheFloorDoesNotStandInForIt)
{
    GroupSnapshot snapshot = group();
    snapshot.members[1].replayed = LogMark{2, 100};
    snapshot.watermarks.push_back({at(11), LogMark{2, 100}});
    FreshnessRequest pipelined = request(withFloor({2, 101}));
    pipelined.floorSince = at(12);
    const FreshnessGate gate;
    BOOST_TEST(text(gate.decide(pipelined, snapshot, "r", at(14))) == "wait floor");
    pipelined.floorSince.reset();
    BOOST_TEST(text(gate.decide(pipelined, snapshot, "r", at(14))) == "wait floor", "an unknown time gives no bound");
    pipelined.floorSince = at(10);
    BOOST_TEST(text(gate.decide(pipelined, snapshot, "r", at(14))) == "serve 2:100");
}

BOOST_AUTO_TEST_CASE(AnUnconfirmedPrimaryProvesNothing)
{
    GroupSnapshot snapshot = group();
    snapshot.primaryConfirmed = false;
    BOOST_TEST(decide(latest(), snapshot, "r") == "elsewhere unconfirmed");
    BOOST_TEST(decide(latest(), snapshot, "p") == "wait unconfirmed");
    BOOST_TEST(decide(withFloor({2, 90}), snapshot, "r") == "serve 2:90",
               "a zone that is cut off continues to serve reads with a floor");
}

BOOST_AUTO_TEST_CASE(AMemberOfAnotherTermServesNothing)
{
    GroupSnapshot snapshot = group();
    snapshot.members[1].followingTerm = 1;
    BOOST_TEST(decide(Freshness{}, snapshot, "r") == "elsewhere not_following");
    snapshot.members[1].reachable = false;
    BOOST_TEST(decide(Freshness{}, snapshot, "r") == "elsewhere unreachable");
    BOOST_TEST(decide(Freshness{}, snapshot, "x") == "elsewhere unreachable");
}

// A read may arrive before the first probe is answered, because the upstream has just
// started or this host has just become its home. A member without an answer must not count
// as unreachable, or a session's read after its write is refused.
BOOST_AUTO_TEST_CASE(WaitsForTheFirstStatusOfAnUnknownMember)
{
    GateOptions checksMarks;
    checksMarks.upstreamChecksMarks = true;
    GroupSnapshot snapshot = group();
    snapshot.members[1].reachable = false;
    snapshot.members[1].reachabilityKnown = false;
    for (const GateOptions &options : {GateOptions{}, checksMarks}) {
        BOOST_TEST(decide(withFloor({2, 90}), snapshot, "r", 10, options) == "wait unreachable");
        BOOST_TEST(decide(withFloor({2, 90}), snapshot, "r", 30, options) == "elsewhere unreachable",
                   "a read waits for a replica for 20 ms, not longer");
    }
    snapshot.members[1].reachabilityKnown = true;
    BOOST_TEST(decide(withFloor({2, 90}), snapshot, "r", 10, checksMarks) == "elsewhere unreachable");
}

// After a restore from a backup, a token may name a floor above all marks of the group,
// which no replay reaches. Its session must get an answer after one confirmation instead of
// waiting for the floor.
BOOST_AUTO_TEST_CASE(AnInvalidFloorCostsOneConfirmationAndNoMore)
{
    GroupSnapshot snapshot = group();
    const Freshness invalid = withFloor({99, 1ULL << 60U});
    BOOST_TEST(decide(invalid, snapshot, "r") == "elsewhere floor");
    BOOST_TEST(decide(invalid, snapshot, "p") == "wait floor");
    snapshot.watermarks.push_back({at(11), LogMark{2, 100}});
    BOOST_TEST(decide(invalid, snapshot, "p", 14) == "serve 2:100");
    snapshot.members[1].replayed = LogMark{2, 100};
    BOOST_TEST(decide(invalid, snapshot, "r", 14) == "serve 2:100");
}

BOOST_AUTO_TEST_CASE(ReportsTheProvenAge)
{
    const FreshnessGate gate;
    const GroupSnapshot snapshot = group();
    BOOST_TEST(gate.provenAge(snapshot, snapshot.members[0], at(10))->count() == 10);
    BOOST_TEST(gate.provenAge(snapshot, snapshot.members[1], at(10))->count() == 60);
    MemberView behind = member("s", LogMark{2, 1});
    BOOST_TEST(!gate.provenAge(snapshot, behind, at(10)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// Upstreams that check a required mark against their own log.
namespace
{

GateOptions checkedByUpstreams()
{
    GateOptions options;
    options.upstreamChecksMarks = true;
    return options;
}

std::optional<LogMark> requiredMark(const Freshness &freshness, const GroupSnapshot &snapshot, TimePoint now)
{
    const GateDecision decision = FreshnessGate(checkedByUpstreams()).decide(request(freshness), snapshot, "r", now);
    const auto *serve = std::get_if<Serve>(&decision);
    BOOST_TEST_REQUIRE((serve != nullptr), "the read was not served but answered " << text(decision));
    return serve->requiredMark;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MarksThatUpstreamsCheck)

BOOST_AUTO_TEST_CASE(NameTheOldestProofThatIsYoungEnough)
{
    // Most replicas hold the older mark.
    BOOST_TEST((requiredMark(withAge(100), group(), at(10)) == LogMark{2, 80}));
    BOOST_TEST((requiredMark(withAge(30), group(), at(10)) == LogMark{2, 100}));
}

BOOST_AUTO_TEST_CASE(AreWaitedForWhileNoProofIsYoungEnough)
{
    // If no round has confirmed the primary within the accepted age, the newest mark proves
    // nothing about that age. Requiring it would let a read show an older state than its
    // caller accepts.
    const GateDecision decision = FreshnessGate(checkedByUpstreams()).decide(request(withAge(5)), group(), "r", at(10));
    BOOST_TEST(std::holds_alternative<WaitUntil>(decision), "the read was answered " << text(decision));
}

BOOST_AUTO_TEST_CASE(CoverTheSessionsFloorAndTheAge)
{
    Freshness both = withAge(100);
    both.floor = LogMark{2, 95};
    BOOST_TEST((requiredMark(both, group(), at(10)) == LogMark{2, 95}));
    both.floor = LogMark{2, 20};
    BOOST_TEST((requiredMark(both, group(), at(10)) == LogMark{2, 80}));
}

BOOST_AUTO_TEST_CASE(ReplaceAFloorThatAChangeOfPrimaryMayHaveDiscarded)
{
    // A session's floor of term 1 may name an entry that the new primary lacks. No log will
    // ever hold it, so requiring it would refuse every read of the session.
    BOOST_TEST((requiredMark(withFloor({1, 500}), group(), at(10)) == LogMark{2, 100}));
}

BOOST_AUTO_TEST_CASE(OfLatestReadsAreProvenAfterTheirReceipt)
{
    const GateDecision before = FreshnessGate(checkedByUpstreams()).decide(request(latest(), at(0)), group(), "r", at(10));
    BOOST_TEST(std::holds_alternative<WaitUntil>(before), "a proof of the same moment was taken for a later one");
    const GateDecision after = FreshnessGate(checkedByUpstreams()).decide(request(latest(), at(-1)), group(), "r", at(10));
    BOOST_TEST(std::holds_alternative<Serve>(after));
}

BOOST_AUTO_TEST_SUITE_END()
