// Tests of what may start while the keeper of a quota is silent.

#define BOOST_TEST_MODULE QuotaGrace
#include <boost/test/unit_test.hpp>

#include "egrettide/core/quotagrace.h"

using namespace egrettide;

namespace
{

const TimePoint begin = TimePoint(std::chrono::hours(1));
const QuotaVerdict calmGrant{QuotaVerdict::Kind::Granted, milliseconds{0}, true};
const QuotaVerdict hotGrant{QuotaVerdict::Kind::Granted, milliseconds{0}, false};

int taken(QuotaGrace &grace)
{
    int count = 0;
    while (grace.tryStart("desk")) {
        ++count;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaGraces)

BOOST_AUTO_TEST_CASE(RepeatWhatWasGrantedInTheWindowBefore)
{
    QuotaGrace grace(milliseconds{5000});
    for (int i = 0; i < 8; ++i) {
        grace.onVerdict("desk", calmGrant, begin + std::chrono::seconds(i));
    }
    BOOST_TEST(taken(grace) == 0, "a request was granted although the keeper answers");
    grace.onKeeperTimeout("desk", begin + std::chrono::seconds(8));
    BOOST_TEST(taken(grace) == 5);
}

BOOST_AUTO_TEST_CASE(GrantNothingToHotOrUnknownWorkspaces)
{
    QuotaGrace grace(milliseconds{5000});
    grace.onKeeperTimeout("desk", begin);
    BOOST_TEST(taken(grace) == 0);
    grace.onVerdict("desk", calmGrant, begin);
    grace.onVerdict("desk", hotGrant, begin);
    grace.onKeeperTimeout("desk", begin);
    BOOST_TEST(taken(grace) == 0);
}

BOOST_AUTO_TEST_CASE(GrantInOneSilencePerWindow)
{
    // When a host's links flap, a keeper falls silent and answers again many times. Granting
    // requests anew in every silence would give a workspace a multiple of its quota.
    QuotaGrace grace(milliseconds{5000});
    grace.onVerdict("desk", calmGrant, begin);
    int all = 0;
    for (int i = 0; i < 40; ++i) {
        const TimePoint now = begin + milliseconds(100 * i);
        grace.onKeeperTimeout("desk", now);
        all += taken(grace);
        grace.onVerdict("desk", calmGrant, now);
    }
    BOOST_TEST(all == 1);
    grace.onKeeperTimeout("desk", begin + milliseconds(6000));
    BOOST_TEST(taken(grace) > 1);
}

BOOST_AUTO_TEST_SUITE_END()
