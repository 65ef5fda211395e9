// Staggers the ends of two waiting calls.

#include "egrettide/core/waitstagger.h"

#include <algorithm>

namespace egrettide
{

namespace
{

// The least distance between two ends, as a part of the longest wait. It leaves two calls that
// already alternate as they are, although answers come somewhat before the ends.
constexpr int leastDistanceTenths = 3;

} // namespace

TimePoint staggeredEnd(TimePoint now, TimePoint latest, std::optional<TimePoint> other)
{
    const auto longest = latest - now;
    if (!other || latest - *other >= longest * leastDistanceTenths / 10) {
        return latest;
    }
    return std::clamp(*other - longest / 2, now, latest);
}

} // namespace egrettide
