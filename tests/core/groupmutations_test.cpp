// Shows that each mechanism is needed: with it switched off, the checks that hold
// for the whole (group_test.cpp) must find a violation. And the differential test:
// the naive version of the same job must be caught by the same checks.

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
                                             << "'; if none: the schedules no longer reach it");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Mutations)

BOOST_AUTO_TEST_CASE(AcknowledgingWithoutAMajorityIsCaught)
{
    checkCaught("acknowledged", [](WorldOptions &options) { options.gate.withoutMajority = true; });
}

BOOST_AUTO_TEST_CASE(PrimaryOnlyOnThePrimarysWordIsCaught)
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
        options.ambushPromotionOneIn = 2;
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

BOOST_AUTO_TEST_CASE(ConfirmingAPrimaryOnItsOwnWordIsCaught)
{
    checkCaught("watermark", [](WorldOptions &options) { options.monitor.faults.confirmWithoutMajority = true; });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Naive)

// Symptom: a payment is confirmed to a caller and missing afterwards.
// Sequence: the primary cannot be reached from one host; the host takes the lease in
// the store and promotes the replica that answers; the old primary goes on writing
// and other hosts go on acknowledging.
// Cause: a lease in the store says nothing to the group, and a primary's own word
// says nothing about its successor.
BOOST_AUTO_TEST_CASE(LeaseAndPrimarysWordAreCaughtWhereEgrettideHolds)
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
