// Probe schedule of a connection. Counts unanswered probes instead of elapsed time, so that a pause
// of this process does not look like a silent peer.

#include "egrettide/core/linkprobe.h"

#include <algorithm>

namespace egrettide
{

LinkProbe::LinkProbe(LinkProbeOptions options) : m_options(options)
{
}

void LinkProbe::markUnproven(TimePoint now)
{
    m_unprovenSince = now;
}

bool LinkProbe::isUnproven(TimePoint lastReceivedAt) const
{
    return lastReceivedAt < m_unprovenSince;
}

bool LinkProbe::hasMissedProbe() const
{
    return m_missed > 0;
}

LinkProbeStep LinkProbe::next(TimePoint lastReceivedAt, bool awaitingAnswer, TimePoint now)
{
    const bool isAnswered = lastReceivedAt >= m_lastPingAt;
    if (isAnswered) {
        m_missed = 0;
    }
    if (!awaitingAnswer && !isUnproven(lastReceivedAt)) {
        m_missed = 0;
        return LinkProbeStep::Wait;
    }
    const milliseconds quiet = awaitingAnswer ? m_options.quietInterval : m_options.messageInterval;
    const bool isQuiet = now - std::max(lastReceivedAt, m_lastPingAt) >= quiet;
    const bool isRepeated = now - m_lastPingAt >= m_options.pingInterval;
    // Messages without an answer cause at most one answered probe per interval, however many they
    // are.
    const bool isDue = awaitingAnswer || !isAnswered ? isQuiet || isRepeated : isQuiet && isRepeated;
    if (!isDue) {
        return LinkProbeStep::Wait;
    }
    m_missed += isAnswered ? 0 : 1;
    if (m_missed >= m_options.maxMissedProbes) {
        return LinkProbeStep::GiveUp;
    }
    m_lastPingAt = now;
    return LinkProbeStep::Ping;
}

} // namespace egrettide
