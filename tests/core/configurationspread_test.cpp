// An accepted configuration is in force everywhere within seconds and never
// reverts, over seeded schedules of faults; see configurationfleet.h.

#define BOOST_TEST_MODULE ConfigurationSpread
#include <boost/test/unit_test.hpp>

#include "tests/core/configurationfleet.h"

#include <rapidcheck.h>

using namespace egrettide;
using namespace egrettide::testing;

namespace
{

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t schedules = 20;
#else
constexpr std::uint64_t schedules = 100;
#endif

// The first violation among the schedules that contains the text, else any.
std::string firstViolation(const ConfigurationFleetFaults &faults, const std::string &expected)
{
    std::string other;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const std::string violation = ConfigurationFleet(seed, faults).run();
        if (violation.find(expected) != std::string::npos) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << violation);
            return violation;
        }
        other = other.empty() ? violation : other;
    }
    return other;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Configurations)

BOOST_AUTO_TEST_CASE(AreInForceEverywhereWithinSecondsAndNeverRevert)
{
    ConfigurationFleetCounts counts;
    std::uint64_t run = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed, ++run) {
        ConfigurationFleet fleet(seed, {});
        const std::string violation = fleet.run();
        BOOST_TEST_REQUIRE(violation == "", "seed " << seed << ": " << violation);
        counts.add(fleet.counts());
    }
    BOOST_TEST_MESSAGE(run << " schedules: " << counts.accepted << " files, " << counts.staleReads << " reads of old values, "
                           << counts.staleOffers << " stale offers, " << counts.learnedFromPeers << " learned from peers, "
                           << counts.replaced << " hosts replaced, " << counts.paused << " paused, " << counts.cuts << " cuts, "
                           << counts.outages << " outages; slowest spread " << counts.slowestSpread.count() << " ms");
    // A schedule without these proves nothing.
    BOOST_TEST(counts.accepted > 3 * run);
    BOOST_TEST(counts.staleOffers > run);
    BOOST_TEST(counts.staleReads > run / 2);
    BOOST_TEST(counts.learnedFromPeers > run);
    BOOST_TEST(counts.replaced > run);
    BOOST_TEST(counts.paused > run / 2);
    BOOST_TEST(counts.cuts > run / 2);
    BOOST_TEST(counts.outages > run / 2);
}

BOOST_AUTO_TEST_CASE(HoldForSchedulesThatNobodyChose)
{
    BOOST_TEST(rc::check("the newest file is everywhere and nobody goes back", [] {
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        RC_LOG() << "schedule " << seed;
        RC_ASSERT(ConfigurationFleet(seed, {}).run() == "");
    }));
}

// Symptom: a change that was in force vanishes from some hosts.
// Sequence: a late answer of the store, or a late push, brings an earlier file.
// Cause: a host takes what came last in place of what is newest.
BOOST_AUTO_TEST_CASE(TakingLowerVersionsIsCaught)
{
    ConfigurationFleetFaults faults;
    faults.acceptLower = true;
    const std::string violation = firstViolation(faults, "went back");
    BOOST_TEST(violation.find("went back") != std::string::npos, "reverting hosts went unnoticed: '" << violation << "'");
}

// Symptom: hosts that are cut off from the store keep an old file.
// Sequence: the store is out or cut off; a host that has the newest file meets them.
// Cause: versions travel through the store alone.
BOOST_AUTO_TEST_CASE(HostsThatDoNotTellEachOtherAreCaught)
{
    ConfigurationFleetFaults faults;
    faults.silentPeers = true;
    const std::string violation = firstViolation(faults, "not in force everywhere");
    BOOST_TEST(violation.find("not in force everywhere") != std::string::npos,
               "silent hosts went unnoticed: '" << violation << "'");
}

// The differential test: hosts that poll the store and take what it says.
BOOST_AUTO_TEST_CASE(NaivePollingIsCaughtWhereEgrettideHolds)
{
    ConfigurationFleetFaults naive;
    naive.naive = true;
    std::size_t violations = 0;
    constexpr std::uint64_t runs = 20;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        violations += ConfigurationFleet(seed, naive).run().empty() ? 0 : 1;
        BOOST_TEST(ConfigurationFleet(seed, {}).run() == "");
    }
    BOOST_TEST_MESSAGE("of " << runs << " schedules polling breaks " << violations);
    BOOST_TEST(violations > runs / 2);
}

BOOST_AUTO_TEST_SUITE_END()
