// An upstream that is leaving gets no new work after a few seconds, also where its
// own zone's hosts are cut off from the store and learn it from peers only; see
// configurationfleet.h. The change of a leaving primary is proven in group_test.

#define BOOST_TEST_MODULE Leaving
#include <boost/test/unit_test.hpp>

#include "tests/core/configurationfleet.h"

#include <rapidcheck.h>

using namespace egrettide;
using namespace egrettide::testing;

namespace
{

// Looked through until a schedule shows what a missing mechanism does. Of 200, 8 show it
// where peers are silent, the first at 33.
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
    // Work reaches it before the news does, or the bound is never tried.
    BOOST_TEST(counts.readsAtLeaving > schedules);
    BOOST_TEST(counts.refusedByHome > 0U, "no front was behind its home; the home's refusal was never tried");
    BOOST_TEST(counts.reads > 100 * schedules);
}

// Symptom: a drained upstream still runs statements, and stopping it cuts them.
// Sequence: fronts that do not know send it reads; its home lets them in.
// Cause: nobody looks at the flag.
BOOST_AUTO_TEST_CASE(ThatNobodyAvoidsAreCaught)
{
    ConfigurationFleetFaults faults;
    faults.frontsIgnoreLeaving = true;
    faults.homesIgnoreLeaving = true;
    const std::string violation = firstViolation(faults);
    BOOST_TEST(violation.find("got new work") != std::string::npos, "found '" << violation << "'");
}

// Symptom: as above, in a zone that is cut off from the store.
// Sequence: the file is accepted; the hosts of the zone do not hear of it.
// Cause: versions travel through the store alone.
BOOST_AUTO_TEST_CASE(OfAZoneWithoutTheStoreAreCaughtWhenPeersAreSilent)
{
    ConfigurationFleetFaults faults;
    faults.silentPeers = true;
    bool caught = false;
    for (std::uint64_t seed = 1; seed <= schedulesToCatch && !caught; ++seed) {
        caught = ConfigurationFleet(seed, faults).run().find("got new work") != std::string::npos;
    }
    BOOST_TEST(caught, "the leaving upstream got no work although nobody told its zone");
}

// Symptom: a drained upstream gets reads again, many seconds after it was drained.
// Sequence: the host that is its home is replaced; the fresh host reads an old value
// from the store, by which the upstream is not leaving, and takes reads for it until
// a peer tells it of the newer file.
// Cause: the first value that a host reads is in force at once.
BOOST_AUTO_TEST_CASE(GetWorkThroughFreshHostsThatServeUnheard)
{
    ConfigurationFleetFaults faults;
    faults.servesUnheard = true;
    const std::string violation = firstViolation(faults);
    BOOST_TEST(violation.find("got new work") != std::string::npos, "found '" << violation << "'");
}

// The home alone protects the upstream from fronts that do not know or do not care.
BOOST_AUTO_TEST_CASE(AreProtectedByTheirHomeFromFrontsThatIgnoreIt)
{
    ConfigurationFleetFaults faults;
    faults.frontsIgnoreLeaving = true;
    BOOST_TEST(firstViolation(faults) == "");
}

BOOST_AUTO_TEST_SUITE_END()
