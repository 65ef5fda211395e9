// Shows that each mechanism is needed: with it switched off, the invariants that hold
// otherwise (group_test.cpp) must be violated. A differential test checks that the same
// invariants detect the faults of a simple lease-based design.

#define BOOST_TEST_MODULE GroupMutations
#include <boost/test/unit_test.hpp>

#include "testing/support/groupworld.h"

using namespace egrettide;
using namespace egrettide::testing;

namespace
{

constexpr std::uint64_t scheduleLimit = 4000;

// The first violation among the schedules, empty when none was found.
std::string firstViolation(const std::function<void(WorldOptions &)> &mutate)
{
    for (std::uint64_t seed = 1; seed <= scheduleLimit; ++seed) {
        WorldOptions options = quickWorld(seed);
        mutate(options);
        World world(options);
        std::string violation = world.run();
        if (!violation.empty()) {
            BOOST_TEST_MESSAGE("caught after " << seed << " schedules: " << violation);
            return violation;
        }
    }
    return "";
}

void checkCaught(const std::string &expected, const std::function<void(WorldOptions &)> &mutate)
{
    const std::string violation = firstViolation(mutate);
    BOOST_TEST(violation.find(expected) != std::string::npos,
               "expected a violation with '" << expected << "', found '" << violation
                                             << "'; if none, the schedules no longer reach it");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Mutations)

BOOST_AUTO_TEST_CASE(AcknowledgingWithoutAMajorityIsCaught)
{
    checkCaught("acknowledged", [](WorldOptions &options) { options.gate.withoutMajority = true; });
}

BOOST_AUTO_TEST_CASE(PrimaryOnlyOnThePrimarysStatusAloneIsCaught)
{
    checkCaught("replaced primary", [](WorldOptions &options) {
        options.durability = Durability::PrimaryOnly;
        options.gate.withoutMajority = true;
    });
}

BOOST_AUTO_TEST_CASE(ConfirmingWhateverWasPromisedIsCaught)
{
    checkCaught("acknowledged", [](WorldOptions &options) { options.gate.ignorePromises = true; });
}

BOOST_AUTO_TEST_CASE(PromotingWithoutAFencedMajorityIsCaught)
{
    checkCaught("acknowledged", [](WorldOptions &options) { options.promoter.faults.withoutMajority = true; });
}

BOOST_AUTO_TEST_CASE(ChoosingAnyPromiserIsCaught)
{
    checkCaught("acknowledged", [](WorldOptions &options) { options.promoter.faults.ignoreMarks = true; });
}

BOOST_AUTO_TEST_CASE(SharingATokenIsCaught)
{
    checkCaught("two primaries", [](WorldOptions &options) {
        options.promoter.faults.sharedToken = true;
        options.storeOut = true;
    });
}

BOOST_AUTO_TEST_CASE(ASecondCandidateInOneTermIsCaught)
{
    checkCaught("two primaries", [](WorldOptions &options) {
        options.promoter.faults.secondCandidateSameTerm = true;
        options.promotionFaultOneIn = 2;
    });
}

BOOST_AUTO_TEST_CASE(DatingWatermarksByTheirAnswersIsCaught)
{
    checkCaught("watermark", [](WorldOptions &options) { options.monitor.faults.watermarkAtAnswer = true; });
}

BOOST_AUTO_TEST_CASE(TrustAfterAClockGapIsCaught)
{
    checkCaught("acknowledged", [](WorldOptions &options) { options.monitor.faults.trustAfterClockGap = true; });
}

BOOST_AUTO_TEST_CASE(ConfirmingAPrimaryOnItsOwnStatusAloneIsCaught)
{
    checkCaught("watermark", [](WorldOptions &options) { options.monitor.faults.confirmWithoutMajority = true; });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Naive)

// The simple design takes a lease in the store when its host cannot reach the primary, and
// promotes any replica that answers. The old primary continues to write, and other hosts
// continue to acknowledge its writes, which are then missing: a lease in the store does not
// bind the group, and a primary's own answer does not exclude a successor.
BOOST_AUTO_TEST_CASE(ALeaseAndThePrimarysStatusAloneAreCaughtWhereEgrettideHolds)
{
    std::size_t naiveViolations = 0;
    std::size_t violations = 0;
    constexpr std::uint64_t schedules = 200;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        WorldOptions options = quickWorld(seed);
        World world(options);
        violations += world.run().empty() ? 0 : 1;
        options.naive = true;
        World naive(options);
        naiveViolations += naive.run().empty() ? 0 : 1;
    }
    BOOST_TEST_MESSAGE("of " << schedules << " schedules the naive version breaks " << naiveViolations << ", egrettide "
                             << violations);
    BOOST_TEST(naiveViolations > schedules / 10);
    BOOST_TEST(violations == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
