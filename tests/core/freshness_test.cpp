// Proves what reads are promised: random histories of a naive group against the
// real observer, gate, router and session state (freshnessworld.h). For each
// mechanism there is a mutation that switches it off, and the proof has to notice.

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

// The first violation of one of the claims that seeded schedules provoke.
std::optional<Violation> findViolation(const Mutation &mutation, const std::set<Claim> &claims)
{
    for (std::uint32_t seed = 0; seed < mutationSeeds; ++seed) {
        const auto violation = World(mutation).run(randomSchedule(seed, scheduleLength));
        if (violation && claims.contains(violation->claim)) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << violation->details);
            return violation;
        }
    }
    return std::nullopt;
}

void expectCaught(const Mutation &mutation, const std::set<Claim> &claims)
{
    BOOST_TEST(findViolation(mutation, claims).has_value(),
               "no schedule out of " << mutationSeeds
                                     << " noticed the missing mechanism; the proof is too weak, widen its schedules");
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
    // A proof over schedules that do nothing would prove nothing.
    BOOST_TEST(total.byReplica > mutationSeeds);
    BOOST_TEST(total.aged > mutationSeeds);
    BOOST_TEST(total.latest > mutationSeeds);
    BOOST_TEST(total.acknowledged > mutationSeeds);
    BOOST_TEST(total.terms > 2 * mutationSeeds);
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

BOOST_AUTO_TEST_CASE(NoticesAPrimaryThatConfirmsItself)
{
    Mutation mutation;
    mutation.monitor.confirmWithoutMajority = true;
    expectCaught(mutation, {Claim::MaxAge, Claim::Latest});
}

BOOST_AUTO_TEST_CASE(NoticesAPrimaryTakenForFreshUnasked)
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

// Symptom: a session that moved misses its own write, or time goes back for it.
// Sequence: it writes through one host, arrives at another without a token and reads a late replica.
// Cause: an unknown arrival counted as one that has seen nothing.
BOOST_AUTO_TEST_CASE(NoticesArrivalsTakenForNewSessions)
{
    Mutation mutation;
    mutation.forgetArrival = true;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads});
}

BOOST_AUTO_TEST_CASE(NoticesArrivalsThatUseOldConfirmations)
{
    Mutation mutation;
    mutation.arrivalFromThePast = true;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads, Claim::Latest});
}

// Symptom: a session sees a booking on one replica and not on the next.
// Sequence: replay goes on between the observer's probe and the read; the floor rises to the probe's mark alone.
// Cause: the floor took the lower bound of what the read showed.
BOOST_AUTO_TEST_CASE(NoticesFloorsTakenBeforeTheRead)
{
    Mutation mutation;
    mutation.floorFromLowerBound = true;
    expectCaught(mutation, {Claim::MonotonicReads});
}

BOOST_AUTO_TEST_SUITE_END()
