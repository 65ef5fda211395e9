// Tests that an accepted configuration comes into force at all hosts within seconds and
// never reverts, over seeded schedules of faults; see configurationfleet.h.

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

// The first violation that contains `expected`, or else the first one, over all schedules.
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
    // The test is only meaningful if the schedules contain enough of each event.
    BOOST_TEST(counts.accepted > 3 * run);
    BOOST_TEST(counts.staleOffers > run);
    BOOST_TEST(counts.staleReads > run / 2);
    BOOST_TEST(counts.learnedFromPeers > run);
    BOOST_TEST(counts.replaced > run);
    BOOST_TEST(counts.paused > run / 2);
    BOOST_TEST(counts.cuts > run / 2);
    BOOST_TEST(counts.outages > run / 2);
}

BOOST_AUTO_TEST_CASE(HoldForArbitrarySchedules)
{
    BOOST_TEST(rc::check("the newest file is in force at all hosts and no host reverts", [] {
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        RC_LOG() << "schedule " << seed;
        RC_ASSERT(ConfigurationFleet(seed, {}).run() == "");
    }));
}

// A host that accepts the last file received instead of the newest one reverts to an earlier
// file when an answer of the store or a push arrives late.
BOOST_AUTO_TEST_CASE(AcceptingLowerVersionsIsDetected)
{
    ConfigurationFleetFaults faults;
    faults.acceptLower = true;
    const std::string violation = firstViolation(faults, "reverted from");
    BOOST_TEST(violation.find("reverted from") != std::string::npos, "a reverting host was not detected: '" << violation << "'");
}

// If versions are distributed through the store only, hosts that do not reach the store keep
// an old file although a reachable peer holds the newest one.
BOOST_AUTO_TEST_CASE(MissingVersionReportsBetweenPeersAreDetected)
{
    ConfigurationFleetFaults faults;
    faults.peersReportNoVersions = true;
    const std::string violation = firstViolation(faults, "not in force everywhere");
    BOOST_TEST(violation.find("not in force everywhere") != std::string::npos,
               "missing reports were not detected: '" << violation << "'");
}

// Compares with hosts that poll the store and accept whatever version they read.
BOOST_AUTO_TEST_CASE(NaivePollingIsDetectedOnTheSameSchedules)
{
    ConfigurationFleetFaults naive;
    naive.naive = true;
    std::size_t violations = 0;
    constexpr std::uint64_t runs = 20;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        violations += ConfigurationFleet(seed, naive).run().empty() ? 0 : 1;
        BOOST_TEST(ConfigurationFleet(seed, {}).run() == "");
    }
    BOOST_TEST_MESSAGE("naive polling over " << runs << " schedules; schedules with a violation: " << violations);
    BOOST_TEST(violations > runs / 2);
}

BOOST_AUTO_TEST_SUITE_END()
