// Staggers the ends of two waiting calls.

#include "egrettide/core/waitstagger.h"

#include <algorithm>

namespace egrettide
{

TimePoint staggeredEnd(TimePoint now, TimePoint latest, std::optional<TimePoint> other)
{
    const auto longest = latest - now;
    if (!other || latest - *other >= longest * 3 / 10) {
        return latest;
    }
    return std::clamp(*other - longest / 2, now, latest);
}

} // namespace egrettide
