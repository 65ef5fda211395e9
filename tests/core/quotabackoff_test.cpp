// Tests of how many requests beyond a quota are sent to the keeper.

#define BOOST_TEST_MODULE QuotaBackoff
#include <boost/test/unit_test.hpp>

#include "egrettide/core/quotabackoff.h"

#include <algorithm>

using namespace egrettide;

namespace
{

const TimePoint begin = TimePoint(std::chrono::hours(1));

// Sends requests of one workspace through one host for ten seconds to a keeper that grants
// `grantedPerSecond`, and counts those that reached it and those it granted.
struct Load {
    int asked = 0;
    int granted = 0;

    Load(int perSecond, int grantedPerSecond)
    {
        QuotaBackoff backoff;
        double tokens = 0;
        for (int i = 0; i < 10 * perSecond; ++i) {
            const TimePoint now = begin + std::chrono::microseconds(1000000LL * i / perSecond);
            tokens = std::min(10.0, tokens + static_cast<double>(grantedPerSecond) / perSecond);
            if (backoff.localRefusal("hot", now)) {
                continue;
            }
            ++asked;
            if (tokens >= 1) {
                tokens -= 1;
                ++granted;
            } else {
                backoff.onRefused("hot", milliseconds{20}, now);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaBackoffs)

BOOST_AUTO_TEST_CASE(SparesTheKeeperMostOfWhatItWouldRefuse)
{
    // A hot workspace sends eight times its quota, and three times as much when it is refused. If
    // all of that reached the keeper, requests of other workspaces counted there would be delayed.
    const Load load(480, 20);
    BOOST_TEST(load.asked <= 1200, "the keeper was asked about " << load.asked << " of 4800 requests");
    BOOST_TEST(load.granted >= 160, "" << load.granted << " of 200 were granted");
}

BOOST_AUTO_TEST_CASE(DoesNotAffectWorkspacesWithoutRefusals)
{
    const Load load(50, 60);
    BOOST_TEST(load.asked == 500);
    QuotaBackoff backoff;
    backoff.onRefused("hot", milliseconds{20}, begin);
    BOOST_TEST(!backoff.localRefusal("other", begin).has_value());
}

BOOST_AUTO_TEST_CASE(EndsSoonAfterTheLastRefusal)
{
    QuotaBackoff backoff;
    for (int i = 0; i < 20; ++i) {
        backoff.onRefused("hot", milliseconds{20}, begin);
    }
    const auto refusal = backoff.localRefusal("hot", begin);
    BOOST_TEST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->count() == 20);
    BOOST_TEST(!backoff.localRefusal("hot", begin + std::chrono::seconds(2)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
