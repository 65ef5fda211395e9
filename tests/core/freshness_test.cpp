// Checks the guarantees of reads with random histories of a simple group model against the
// real observer, gate, router and session state (freshnessworld.h). For each mechanism a
// mutation switches it off, and the checks have to detect that.

#define BOOST_TEST_MODULE Freshness
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "freshnessworld.h"

using namespace egrettide;
using namespace egrettide::model;

namespace
{

Schedule randomSchedule(std::uint32_t seed, std::size_t length)
{
    std::mt19937 random(seed);
    Schedule schedule(length);
    for (Command &command : schedule) {
        const std::uint32_t bits = random();
        command = {opAt(random()), static_cast<std::uint8_t>(bits), static_cast<std::uint8_t>(bits >> 8U),
                   static_cast<std::uint8_t>(bits >> 16U)};
    }
    return schedule;
}

constexpr std::size_t scheduleLength = 600;
constexpr std::uint32_t mutationSeeds = 3000;

// The first violation of one of `claims` that a seeded schedule produces.
std::optional<Violation> findViolation(const Mutation &mutation, const std::set<Claim> &claims)
{
    for (std::uint32_t seed = 0; seed < mutationSeeds; ++seed) {
        auto violation = World(mutation).run(randomSchedule(seed, scheduleLength));
        if (violation && claims.contains(violation->claim)) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << violation->details);
            return violation;
        }
    }
    return std::nullopt;
}

// A steady load over three seconds of model time: continuous writes, replicas a few
// milliseconds behind with pauses of 30 ms, and callers that move now and then, half of
// them without a token.
Schedule steadySchedule(std::uint32_t seed)
{
    constexpr int milliseconds = 3000;
    constexpr std::uint8_t session = 0;
    constexpr std::uint8_t latest = 2;
    constexpr std::uint8_t age60 = 5;
    std::mt19937 random(seed);
    const auto chance = [&random](std::uint32_t percent) { return random() % 100 < percent; };
    const auto any = [&random] { return static_cast<std::uint8_t>(random()); };
    Schedule schedule;
    for (int time = 0; time < milliseconds; ++time) {
        schedule.push_back({Op::Pass, 0, 0, 0});
        if (chance(30)) {
            schedule.push_back({Op::WriteByOthers, 0, 0, 0});
        }
        for (std::uint8_t replica = 1; replica < Group::size; ++replica) {
            schedule.push_back({Op::Replicate, replica, 3, 0});
            const bool pauses = time % 400 < 30 && replica == 1 + (time / 400) % 2;
            if (!pauses && chance(40)) {
                schedule.push_back({Op::Replay, replica, 3, 0});
            }
            schedule.push_back({Op::Confirm, replica, 0, 0});
        }
        schedule.push_back({Op::Acknowledge, 0, 0, 0});
        if (chance(5)) {
            schedule.push_back({Op::Write, 0, any(), 0});
        }
        if (chance(3)) {
            // Even: the token is carried along; b % 8 == 1 would be an invalid one.
            schedule.push_back({Op::Move, any(), static_cast<std::uint8_t>(chance(50) ? 0 : 3), 0});
        }
        const std::uint8_t wish = chance(70) ? session : chance(33) ? latest : age60;
        schedule.push_back({Op::RoutedRead, 0, any(), wish});
    }
    return schedule;
}

struct PolicyResult {
    RoutingCounters routing;
    double meanWait = 0; // milliseconds
};

PolicyResult runSteadyLoad(const Policy &policy)
{
    constexpr std::uint32_t runs = 3;
    PolicyResult result;
    Instant waited = 0;
    std::size_t reads = 0;
    for (std::uint32_t seed = 0; seed < runs; ++seed) {
        World world(Mutation{}, policy);
        const auto violation = world.run(steadySchedule(seed));
        BOOST_REQUIRE_MESSAGE(!violation, "seed " << seed << ": " << violation->details);
        const RoutingCounters one = world.routing();
        result.routing.readsByReplica += one.readsByReplica;
        for (std::size_t i = 0; i < primaryReasonCount; ++i) {
            result.routing.readsByPrimary[i] += one.readsByPrimary[i];
        }
        waited += world.counts().waited;
        reads += world.counts().reads;
    }
    result.meanWait = static_cast<double>(waited) / static_cast<double>(reads);
    return result;
}

std::string describe(const PolicyResult &result)
{
    std::ostringstream out;
    out << "replica share " << result.routing.replicaShare() << ", mean wait " << result.meanWait << " ms, to the primary:";
    for (std::size_t i = 0; i < primaryReasonCount; ++i) {
        if (result.routing.readsByPrimary[i] > 0) {
            out << " " << static_cast<PrimaryReason>(i) << " " << result.routing.readsByPrimary[i];
        }
    }
    return out.str();
}

void expectCaught(const Mutation &mutation, const std::set<Claim> &claims)
{
    BOOST_TEST(findViolation(mutation, claims).has_value(),
               "none of " << mutationSeeds
                          << " schedules detected the missing mechanism; the schedules have to cover more cases");
}

} // namespace

namespace rc
{
template <> struct Arbitrary<Command> {
    static Gen<egrettide::model::Command> arbitrary()
    {
        const auto number = gen::inRange(0, 256);
        return gen::map(gen::tuple(gen::inRange<std::uint32_t>(0, 1000), number, number, number), [](const auto &numbers) {
            return egrettide::model::Command{
                egrettide::model::opAt(std::get<0>(numbers)), static_cast<std::uint8_t>(std::get<1>(numbers)),
                static_cast<std::uint8_t>(std::get<2>(numbers)), static_cast<std::uint8_t>(std::get<3>(numbers))};
        });
    }
};
} // namespace rc

BOOST_AUTO_TEST_SUITE(FreshnessProof)

BOOST_AUTO_TEST_CASE(EveryServedReadKeepsItsPromises)
{
    BOOST_TEST(rc::check("no schedule breaks a promise", [] {
        // RapidCheck's own sizes end at 100 steps, too few for a write, a failover and a move.
        const auto schedule = *rc::gen::scale(5.0, rc::gen::arbitrary<Schedule>());
        const auto violation = World(Mutation{}).run(schedule);
        if (violation) {
            RC_FAIL(violation->details);
        }
    }));
}

BOOST_AUTO_TEST_CASE(LongSchedulesKeepThePromisesAndExerciseThem)
{
    Counts total;
    for (std::uint32_t seed = 0; seed < mutationSeeds; ++seed) {
        World world{Mutation{}};
        const auto violation = world.run(randomSchedule(seed, scheduleLength));
        BOOST_REQUIRE_MESSAGE(!violation, "seed " << seed << ": " << violation->details);
        total.reads += world.counts().reads;
        total.byReplica += world.counts().byReplica;
        total.aged += world.counts().aged;
        total.latest += world.counts().latest;
        total.moves += world.counts().moves;
        total.acknowledged += world.counts().acknowledged;
        total.terms += world.counts().terms;
    }
    BOOST_TEST_MESSAGE("reads " << total.reads << ", by replicas " << total.byReplica << ", with an age " << total.aged
                                << ", latest " << total.latest << ", moves " << total.moves << ", acknowledged writes "
                                << total.acknowledged << ", terms " << total.terms);
    // The schedules must exercise the guarantees, otherwise the check proves nothing.
    BOOST_TEST(total.byReplica > mutationSeeds);
    BOOST_TEST(total.aged > mutationSeeds);
    BOOST_TEST(total.latest > mutationSeeds);
    BOOST_TEST(total.acknowledged > mutationSeeds);
    BOOST_TEST(total.terms > 2 * mutationSeeds);
}

// A round, the acknowledgement of a write and the receipt of a read may fall within one
// millisecond. A confirmation of that moment must not count as later than the receipt, in
// place of an unreachable floor: one in 80,000 schedules missed its own write.
BOOST_AUTO_TEST_CASE(KeepsReadYourWritesWithinOneTickOfTheClock)
{
    const Schedule schedule = {
        {Op::Move, 143, 127, 92},      {Op::Failover, 37, 141, 212}, {Op::Follow, 30, 27, 229},   {Op::Round, 128, 235, 2},
        {Op::Replicate, 66, 157, 123}, {Op::Replay, 243, 154, 252},  {Op::Pass, 133, 115, 69},    {Op::Round, 245, 154, 198},
        {Op::Write, 16, 175, 223},     {Op::Replicate, 24, 165, 20}, {Op::Confirm, 133, 35, 190}, {Op::Confirm, 233, 110, 140},
        {Op::Acknowledge, 4, 107, 71}, {Op::RoutedRead, 116, 43, 2}, {Op::Pass, 163, 34, 241},
    };
    const auto violation = World(Mutation{}).run(schedule);
    BOOST_TEST(!violation.has_value(), "" << (violation ? violation->details : std::string()));
}

BOOST_AUTO_TEST_CASE(KeepsMoreReadsOffThePrimaryThanTheBaseline)
{
    const PolicyResult baseline = runSteadyLoad({RoutingPolicy::Baseline, WaitPolicy::Never, true});
    const PolicyResult neverWaiting = runSteadyLoad({RoutingPolicy::Replicas, WaitPolicy::Never, true});
    const PolicyResult predicting = runSteadyLoad({RoutingPolicy::Replicas, WaitPolicy::Predict, true});
    BOOST_TEST_MESSAGE("baseline: " << describe(baseline));
    BOOST_TEST_MESSAGE("replicas, never waiting: " << describe(neverWaiting));
    BOOST_TEST_MESSAGE("replicas, predicted waits: " << describe(predicting));
    BOOST_TEST(predicting.routing.replicaShare() > baseline.routing.replicaShare());
    BOOST_TEST(predicting.routing.replicaShare() > neverWaiting.routing.replicaShare());
}

BOOST_AUTO_TEST_CASE(NoticesAnIgnoredFloor)
{
    Mutation mutation;
    mutation.gate.floor = false;
    expectCaught(mutation, {Claim::ReadYourWrites});
}

BOOST_AUTO_TEST_CASE(NoticesFloorsComparedWithoutTheirTerm)
{
    Mutation mutation;
    mutation.gate.floorTerm = false;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads});
}

BOOST_AUTO_TEST_CASE(NoticesReadsFromMembersOfAnotherTerm)
{
    Mutation mutation;
    mutation.gate.following = false;
    expectCaught(mutation, {Claim::History});
}

BOOST_AUTO_TEST_CASE(NoticesAgesCountedFromTheAnswer)
{
    Mutation mutation;
    mutation.monitor.watermarkAtAnswer = true;
    expectCaught(mutation, {Claim::MaxAge, Claim::Latest});
}

// The clock of a suspended virtual machine may not count the suspension. Watermarks from
// before the gap then appear younger than they are, and a read returns older data than its
// caller accepts.
BOOST_AUTO_TEST_CASE(NoticesProofsKeptOverAGapInTheClock)
{
    Mutation mutation;
    mutation.monitor.trustAfterClockGap = true;
    expectCaught(mutation, {Claim::MaxAge});
}

BOOST_AUTO_TEST_CASE(NoticesAPrimaryThatConfirmsItself)
{
    Mutation mutation;
    mutation.monitor.confirmWithoutMajority = true;
    expectCaught(mutation, {Claim::MaxAge, Claim::Latest});
}

BOOST_AUTO_TEST_CASE(NoticesAPrimaryAssumedFreshWithoutAProbe)
{
    Mutation mutation;
    mutation.gate.confirmation = false;
    expectCaught(mutation, {Claim::MaxAge, Claim::Latest});
}

BOOST_AUTO_TEST_CASE(NoticesLatestReadsThatDoNotWait)
{
    Mutation mutation;
    mutation.gate.latest = false;
    expectCaught(mutation, {Claim::Latest});
}

// A session that writes through one host and arrives at another without a token may read a
// replica that lags. Treating the arrival as a new session would miss its own write or go
// back in time.
BOOST_AUTO_TEST_CASE(NoticesArrivalsTakenForNewSessions)
{
    Mutation mutation;
    mutation.arrivalHasEmptyFloor = true;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads});
}

BOOST_AUTO_TEST_CASE(NoticesArrivalsThatUseOldConfirmations)
{
    Mutation mutation;
    mutation.useEarlierConfirmations = true;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads, Claim::Latest});
}

BOOST_AUTO_TEST_CASE(NoticesConfirmationsThatAreOlderThanTheFloor)
{
    Mutation mutation;
    mutation.floorSinceReceipt = true;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads});
}

// Replay continues between the observer's probe and the read. If the floor rises only to
// the probe's mark, a lower bound of what the read showed, the session may see an entry on
// one replica and not on the next.
BOOST_AUTO_TEST_CASE(NoticesFloorsTakenBeforeTheRead)
{
    Mutation mutation;
    mutation.floorFromLowerBound = true;
    expectCaught(mutation, {Claim::MonotonicReads});
}

BOOST_AUTO_TEST_SUITE_END()
