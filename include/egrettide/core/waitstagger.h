// When a call ends that waits for changes, while another call waits beside it.

#pragma once

#include "egrettide/core/types.h"

#include <optional>

namespace egrettide
{

// The end of a waiting call that begins at `now` and may last until `latest`, so that it does not
// end shortly after one that ends at `other`. Calls that end alternately show twice as often
// whether the store answers, and cost no more.
TimePoint staggeredEnd(TimePoint now, TimePoint latest, std::optional<TimePoint> other);

} // namespace egrettide
