// Which members a round probes, and when the next round is due.

#include "egrettide/core/groupmonitor.h"

#include <algorithm>

namespace egrettide
{

TimePoint GroupMonitor::nextProbeAt(TimePoint now, bool waitersPresent) const
{
    if (!m_lastRoundAt) {
        return now;
    }
    const Member *const primary = member(m_primary);
    if (m_options.probesOnlySilent && primary && !waitersPresent) {
        TimePoint next = TimePoint::max();
        for (const Member &each : m_members) {
            next = std::min(next, dueAt(each, now));
        }
        return std::max(next, *m_lastRoundAt + m_options.busyInterval);
    }
    if (m_options.probesOnlySilent && !primary) {
        return nextSearchAt(now);
    }
    // A round without the primary proves nothing, so it is not accelerated.
    const bool trouble = m_troubleAt && *m_troubleAt >= *m_lastRoundAt;
    if ((waitersPresent || trouble) && !(primary && saturated(*primary))) {
        return *m_lastRoundAt + m_options.busyInterval;
    }
    const bool refusing = primary && primary->detector.refusing() && !primary->detector.refused();
    const bool urgent = refusing || (!m_confirmed && now < m_urgentUntil);
    return *m_lastRoundAt + (urgent ? std::min(m_options.urgentInterval, m_options.idleInterval) : m_options.idleInterval);
}

TimePoint GroupMonitor::nextSearchAt(TimePoint now) const
{
    const bool trouble = m_troubleAt && *m_troubleAt >= *m_lastRoundAt;
    if (trouble) {
        return *m_lastRoundAt + m_options.busyInterval;
    }
    const bool recentlyLost = now < m_urgentUntil;
    return *m_lastRoundAt + (recentlyLost ? std::min(m_options.searchInterval, m_options.idleInterval) : m_options.idleInterval);
}

bool GroupMonitor::isUrgent(TimePoint now) const
{
    const Member *const primary = member(m_primary);
    const bool refusing = primary && primary->detector.refusing() && !primary->detector.refused();
    const bool trouble = m_troubleAt && *m_troubleAt >= *m_lastRoundAt;
    return refusing || trouble || (!m_confirmed && now < m_urgentUntil);
}

// How long a member may go without an answer before it is probed.
milliseconds GroupMonitor::intervalOf(const Member &member, TimePoint now) const
{
    if (member.spec.upstream == m_primary && isUrgent(now)) {
        return std::min(m_options.urgentInterval, m_options.idleInterval);
    }
    const bool matters = m_homes.contains(member.spec.upstream) || member.spec.upstream == m_primary;
    if (matters && member.detector.awaitsAnswer()) {
        return m_options.idleInterval / 2;
    }
    const bool changedLately = now < m_changedAt + m_options.changeSpan;
    return matters || changedLately ? m_options.idleInterval : m_options.restInterval;
}

TimePoint GroupMonitor::dueAt(const Member &member, TimePoint now) const
{
    if (saturated(member)) {
        return TimePoint::max();
    }
    return std::max(member.lastAnswerSentAt, member.probedAt) + intervalOf(member, now);
}

bool GroupMonitor::isAsked(const Member &each, RoundScope scope, TimePoint now) const
{
    if (!m_options.probesOnlySilent || scope == RoundScope::All || m_primary.empty()) {
        return true;
    }
    const bool wanted = scope == RoundScope::Proof && each.spec.upstream == m_primary;
    return wanted || now >= dueAt(each, now);
}

bool GroupMonitor::saturated(const Member &member) const
{
    return member.outstanding.size() >= m_options.outstandingLimit;
}

} // namespace egrettide
