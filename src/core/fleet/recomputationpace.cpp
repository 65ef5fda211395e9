// Bounds the share of the time that recomputations take.

#include "egrettide/core/recomputationpace.h"

#include <algorithm>

namespace egrettide
{

RecomputationPace::RecomputationPace(RecomputationOptions options) : m_options(options)
{
}

TimePoint RecomputationPace::dueAt(TimePoint now) const
{
    return std::max(now, m_pausedUntil);
}

void RecomputationPace::onDone(TimePoint began, TimePoint ended)
{
    const Clock::duration pause = std::min<Clock::duration>((ended - began) * m_options.pauseFactor, m_options.maxPause);
    m_pausedUntil = ended + pause;
}

} // namespace egrettide
