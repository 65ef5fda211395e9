// Counts probes instead of time, so that a pause of this process does not look like a
// silent peer.

#include "egrettide/core/linkprobe.h"

#include <algorithm>

namespace egrettide
{

LinkProbe::LinkProbe(LinkProbeOptions options) : m_options(options)
{
}

void LinkProbe::doubt(TimePoint now)
{
    m_doubtedAt = now;
}

bool LinkProbe::isUnproven(TimePoint heardAt) const
{
    return heardAt < m_doubtedAt;
}

bool LinkProbe::isSilent() const
{
    return m_missed > 0;
}

LinkProbeStep LinkProbe::next(TimePoint heardAt, bool working, TimePoint now)
{
    const bool isAnswered = heardAt >= m_pingAt;
    if (isAnswered) {
        m_missed = 0;
    }
    if (!working && !isUnproven(heardAt)) {
        m_missed = 0;
        return LinkProbeStep::Wait;
    }
    const milliseconds quiet = working ? m_options.quietInterval : m_options.messageInterval;
    const bool isQuiet = now - std::max(heardAt, m_pingAt) >= quiet;
    const bool isRepeated = now - m_pingAt >= m_options.pingInterval;
    // Messages alone are worth one answered probe an interval, however many they are.
    const bool isDue = working || !isAnswered ? isQuiet || isRepeated : isQuiet && isRepeated;
    if (!isDue) {
        return LinkProbeStep::Wait;
    }
    m_missed += isAnswered ? 0 : 1;
    if (m_missed >= m_options.mostMissed) {
        return LinkProbeStep::GiveUp;
    }
    m_pingAt = now;
    return LinkProbeStep::Ping;
}

} // namespace egrettide
