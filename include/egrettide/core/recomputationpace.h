// When a recomputation whose cost grows with the fleet may run again while changes keep coming.

#pragma once

#include "egrettide/core/types.h"

namespace egrettide
{

struct RecomputationOptions {
    // After each recomputation, this multiple of its duration passes before the next one. This
    // bounds the share of the time that recomputations take at any rate of changes, as long as
    // maxPause does not end the pause.
    int pauseFactor = 4;
    // Longest pause. A recomputation also seems long when the process was suspended meanwhile.
    milliseconds maxPause{500};
};

// Answers bursts of changes, such as the start or the loss of many hosts: a change is taken over at
// once when nothing was computed shortly before, and later changes together.
class RecomputationPace
{
public:
    explicit RecomputationPace(RecomputationOptions options = {});

    // When a change at `now` may be taken over; `now` if at once.
    TimePoint dueAt(TimePoint now) const;
    void onDone(TimePoint began, TimePoint ended);

private:
    RecomputationOptions m_options;
    // The pause after the last recomputation ends then.
    TimePoint m_pausedUntil;
};

} // namespace egrettide
