// Tests that a leaving upstream gets no new work after a few seconds, even if the hosts of
// its zone are cut off from the store and receive the change from peers only; see
// configurationfleet.h. group_test covers the replacement of a leaving primary.

#define BOOST_TEST_MODULE Leaving
#include <boost/test/unit_test.hpp>

#include "tests/core/configurationfleet.h"

#include <rapidcheck.h>

using namespace egrettide;
using namespace egrettide::testing;

namespace
{

// The schedules that are searched for one in which a missing mechanism leads to a violation.
// With silent peers 8 of 200 do so, the first at seed 33.
constexpr std::uint64_t schedulesToCatch = 60;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t schedules = 20;
#else
constexpr std::uint64_t schedules = 60;
#endif

std::string firstViolation(const ConfigurationFleetFaults &faults)
{
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const std::string violation = ConfigurationFleet(seed, faults).run();
        if (!violation.empty()) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << violation);
            return violation;
        }
    }
    return "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingUpstreams)

BOOST_AUTO_TEST_CASE(GetNoNewWorkAfterAFewSeconds)
{
    ConfigurationFleetCounts counts;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        ConfigurationFleet fleet(seed, {});
        const std::string violation = fleet.run();
        BOOST_TEST_REQUIRE(violation == "", "seed " << seed << ": " << violation);
        counts.add(fleet.counts());
    }
    BOOST_TEST_MESSAGE(counts.reads << " reads, " << counts.readsAtLeaving << " at the leaving upstream within the bound, "
                                    << counts.refusedByHome << " refused by its home");
    // Some work must reach it before the change does, as the bound is not tested otherwise.
    BOOST_TEST(counts.readsAtLeaving > schedules);
    BOOST_TEST(counts.refusedByHome > 0U, "no front lagged behind the home; the home's refusal was not tested");
    BOOST_TEST(counts.reads > 100 * schedules);
}

// If neither fronts nor homes check the flag, a drained upstream still runs statements, which
// fail when it is stopped.
BOOST_AUTO_TEST_CASE(ThatFrontsAndHomesIgnoreAreDetected)
{
    ConfigurationFleetFaults faults;
    faults.frontsIgnoreLeaving = true;
    faults.homesIgnoreLeaving = true;
    const std::string violation = firstViolation(faults);
    BOOST_TEST(violation.find("got new work") != std::string::npos, "found '" << violation << "'");
}

// If versions are distributed through the store only, hosts of a zone that is cut off from
// the store do not receive the file and keep sending work.
BOOST_AUTO_TEST_CASE(OfAZoneWithoutTheStoreAreDetectedWhenPeersAreSilent)
{
    ConfigurationFleetFaults faults;
    faults.peersReportNoVersions = true;
    bool caught = false;
    for (std::uint64_t seed = 1; seed <= schedulesToCatch && !caught; ++seed) {
        caught = ConfigurationFleet(seed, faults).run().find("got new work") != std::string::npos;
    }
    BOOST_TEST(caught, "the leaving upstream got no work although its zone did not receive the change");
}

// The home of a drained upstream is replaced. The new host reads an old value from the store,
// in which the upstream is not leaving. If that value is in force at once, the upstream gets
// reads again, many seconds after the drain, until a peer reports the newer version.
BOOST_AUTO_TEST_CASE(GetWorkThroughNewHostsThatServeTheirFirstRead)
{
    ConfigurationFleetFaults faults;
    faults.servesFirstRead = true;
    const std::string violation = firstViolation(faults);
    BOOST_TEST(violation.find("got new work") != std::string::npos, "found '" << violation << "'");
}

// The home protects the upstream from fronts that have an old configuration or ignore the flag.
BOOST_AUTO_TEST_CASE(AreProtectedByTheirHomeFromFrontsThatIgnoreIt)
{
    ConfigurationFleetFaults faults;
    faults.frontsIgnoreLeaving = true;
    BOOST_TEST(firstViolation(faults) == "");
}

BOOST_AUTO_TEST_SUITE_END()
