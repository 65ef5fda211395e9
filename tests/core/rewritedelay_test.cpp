// Tests of the load on a restored store when all hosts rewrite their data.

#define BOOST_TEST_MODULE RewriteDelay
#include <boost/test/unit_test.hpp>

#include "egrettide/core/rewritedelay.h"

#include <algorithm>
#include <vector>

using namespace egrettide;

namespace
{

// The write rate of the store in the smallest deployments; larger ones accept more.
constexpr std::size_t writesPerSecond = 400;

// The maximum number of writes within one second.
std::size_t busiestSecond(std::size_t hosts, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<milliseconds> delays(hosts);
    std::ranges::generate(delays, [&] { return rewriteDelay(hosts, random); });
    std::ranges::sort(delays);
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < hosts; ++last) {
        while (delays[last] - delays[first] >= milliseconds{1000}) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RewriteDelays)

// If all hosts wrote at the same time, the store would refuse the writes of operators and
// upstreams.
BOOST_AUTO_TEST_CASE(LeaveMostOfTheStoresRateToOthers)
{
    for (const std::size_t hosts : {10, 30, 100, 300, 510}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const std::size_t most = busiestSecond(hosts, seed);
            BOOST_TEST(most <= writesPerSecond / 2, hosts << " hosts, seed " << seed << ": " << most << " writes in a second");
        }
    }
}

BOOST_AUTO_TEST_CASE(EndWithinTheTimeThatTheFleetTakes)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 1000; ++i) {
        const milliseconds delay = rewriteDelay(300, random);
        BOOST_TEST(delay >= milliseconds{0});
        BOOST_TEST(delay <= milliseconds{3000});
    }
}

BOOST_AUTO_TEST_SUITE_END()
