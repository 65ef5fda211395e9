// How often a recomputation runs while changes keep coming.

#define BOOST_TEST_MODULE RecomputationPace
#include <boost/test/unit_test.hpp>

#include "egrettide/core/recomputationpace.h"

#include <algorithm>
#include <optional>

using namespace egrettide;

namespace
{

struct Load {
    int recomputations = 0;
    milliseconds busy{0};
    // The longest time from a change to the end of the recomputation that took it over.
    milliseconds longestWait{0};
};

// Plays `changes` changes, one every `spacing`, to a recomputation that takes `cost`.
Load play(int changes, milliseconds spacing, milliseconds cost)
{
    RecomputationPace pace;
    Load load;
    TimePoint free;
    std::optional<TimePoint> pending;
    const auto runUntil = [&](TimePoint until) {
        while (pending) {
            const TimePoint begins = pace.dueAt(std::max(free, *pending));
            if (begins > until) {
                return;
            }
            free = begins + cost;
            pace.onDone(begins, free);
            ++load.recomputations;
            load.busy += cost;
            load.longestWait = std::max(load.longestWait, std::chrono::duration_cast<milliseconds>(free - *pending));
            pending.reset();
        }
    };
    for (int i = 0; i < changes; ++i) {
        const TimePoint changedAt = TimePoint() + std::chrono::hours(1) + i * spacing;
        runUntil(changedAt);
        pending = pending.value_or(changedAt);
    }
    runUntil(TimePoint::max());
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Recomputations)

BOOST_AUTO_TEST_CASE(TakeASingleChangeOverAtOnce)
{
    const Load load = play(3, milliseconds{5000}, milliseconds{80});
    BOOST_TEST(load.recomputations == 3);
    BOOST_TEST(load.longestWait.count() == 80);
}

// Guards against a host that does nothing else while hundreds of others start or die: each change
// costs more in a larger fleet, and there are more of them.
BOOST_AUTO_TEST_CASE(TakeABoundedShareOfTheTimeInABurstOfAnySize)
{
    for (const int hosts : {100, 1000, 2000}) {
        // 80 ms for 1,000 hosts on a slow core, and a change every 10 ms.
        const milliseconds cost{80 * hosts / 1000};
        const Load load = play(hosts, milliseconds{10}, cost);
        const milliseconds burst = hosts * milliseconds{10};
        BOOST_TEST(load.busy <= burst / 4 + 2 * cost,
                   hosts << " changes took " << load.busy.count() << " of " << burst.count() << " ms");
        BOOST_TEST(load.longestWait <= milliseconds{500} + 2 * cost, "a change waited " << load.longestWait.count() << " ms");
    }
}

// Guards against homes that stay at dead hosts because the process was suspended during a
// recomputation.
BOOST_AUTO_TEST_CASE(PauseNoLongerThanTheBound)
{
    RecomputationPace pace;
    const TimePoint began = TimePoint() + std::chrono::hours(1);
    const TimePoint ended = began + std::chrono::seconds(30);
    pace.onDone(began, ended);
    BOOST_TEST((pace.dueAt(ended) <= ended + milliseconds{500}));
}

BOOST_AUTO_TEST_SUITE_END()
