// The ends of two waiting calls beside each other.

#define BOOST_TEST_MODULE WaitStagger
#include <boost/test/unit_test.hpp>

#include "egrettide/core/waitstagger.h"

#include <rapidcheck.h>

#include <algorithm>

using namespace egrettide;

namespace
{

constexpr milliseconds longest{2500};
// The store answers a call without changes this long before its end.
constexpr milliseconds margin{400};

} // namespace

BOOST_AUTO_TEST_SUITE(WaitsOfTwoCollections)

// Guards against two calls that end together, so that a store that stops answering shows twice as late.
BOOST_AUTO_TEST_CASE(EndAlternatelyFromAnyStart)
{
    const bool holds = rc::check([] {
        const TimePoint start{std::chrono::seconds{100}};
        TimePoint ends[2] = {start + milliseconds{*rc::gen::inRange(401, 2501)},
                             start + milliseconds{*rc::gen::inRange(401, 2501)}};
        TimePoint answeredAt = start;
        milliseconds longestSilence{0};
        int calls = 0;
        for (int answer = 0; answer < 40; ++answer) {
            const int next = ends[0] <= ends[1] ? 0 : 1;
            const TimePoint now = std::max(answeredAt, ends[next] - margin) + milliseconds{2};
            if (answer >= 4) {
                longestSilence = std::max(longestSilence, std::chrono::duration_cast<milliseconds>(now - answeredAt));
                ++calls;
            }
            answeredAt = now;
            ends[next] = staggeredEnd(now, now + longest, ends[1 - next]);
        }
        RC_ASSERT(longestSilence <= milliseconds{1400});
        // No more calls than two that last their whole time would make.
        RC_ASSERT(answeredAt - start >= (longest - margin) * (calls - 4) / 2);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(LastTheirWholeTimeBesideNoOther)
{
    const TimePoint now{std::chrono::seconds{100}};
    BOOST_TEST((staggeredEnd(now, now + longest, std::nullopt) == now + longest));
    BOOST_TEST((staggeredEnd(now, now + longest, now + longest) == now + longest / 2));
}

BOOST_AUTO_TEST_SUITE_END()
