// Detection of network partitions and moves of callers.

#include "egrettide/core/partitiondetector.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

PartitionDetector::PartitionDetector(const PartitionOptions &options) : m_options(options)
{
}

void PartitionDetector::onReach(const HostReach &reach, TimePoint now)
{
    m_reach = reach;
    updateSuspicion(now);
}

void PartitionDetector::onOutsideContact(const OutsideContact &contact, TimePoint now)
{
    detectPause(now);
    m_contact = contact;
    updateSuspicion(now);
}

void PartitionDetector::onNotice(TimePoint now)
{
    m_noticeUntil = now + m_options.noticeInterval;
    updateSuspicion(now);
}

// Without this, a process that was paused takes its own pause for the silence of all others.
void PartitionDetector::detectPause(TimePoint now)
{
    if (m_silenceCountsFrom == TimePoint::max() || now - m_lastEventAt > m_options.pauseThreshold) {
        m_silenceCountsFrom = now;
    }
    m_lastEventAt = now;
}

void PartitionDetector::updateSuspicion(TimePoint now)
{
    if (!m_options.enabled) {
        return;
    }
    m_silent = isSilentOutside(now);
    if (!m_silent && !looksCutOff(m_reach)) {
        clearSuspicion();
        return;
    }
    m_maxLost = std::max(m_maxLost, m_reach.lost);
    m_maxLostElsewhere = std::max(m_maxLostElsewhere, m_reach.lostElsewhere);
    if (!m_suspected) {
        m_suspected = true;
        m_nextStoreQueryAt = now;
    }
}

// Once silent, other zones stay so until a message arrives, although the hosts there that owe an
// answer are considered dead by then and no longer counted.
bool PartitionDetector::isSilentOutside(TimePoint now) const
{
    const bool hasOthers = m_reach.liveElsewhere + m_reach.lostElsewhere > 0;
    if (!hasOthers || m_silenceCountsFrom == TimePoint::max()) {
        return false;
    }
    const auto silence = now - silentSince();
    if (m_silent || now < m_noticeUntil) {
        return silence >= m_options.reportedSilenceBound;
    }
    return silence >= m_options.silenceBound && lacksAnswers();
}

TimePoint PartitionDetector::silentSince() const
{
    return std::max(m_contact.lastHeardAt, m_silenceCountsFrom);
}

bool PartitionDetector::lacksAnswers() const
{
    const std::size_t elsewhere = m_reach.liveElsewhere + m_reach.lostElsewhere;
    return m_contact.unanswered >= std::min(m_options.minUnanswered, elsewhere);
}

// No host of another zone answers, or fewer hosts are left than were lost. While the partition
// lasts its losses count, however long ago they occurred.
bool PartitionDetector::looksCutOff(const HostReach &reach) const
{
    const bool zoneAlone = reach.liveElsewhere == 0 && std::max(m_maxLostElsewhere, reach.lostElsewhere) > 0;
    const bool minority = reach.live + 1 < std::max(m_maxLost, reach.lost);
    return zoneAlone || minority;
}

void PartitionDetector::onStoreAnswer(bool answered, TimePoint now)
{
    if (!m_suspected) {
        return;
    }
    m_nextStoreQueryAt = now + m_options.storeQueryInterval;
    m_storeTimeoutAt = TimePoint::max();
    if (answered) {
        // The store answers, so this host is on the surviving side.
        clearCutOff();
    } else {
        markCutOff(now);
    }
}

void PartitionDetector::onReadinessReported(bool ready, TimePoint now)
{
    if (ready || !m_cutOff) {
        m_notReadyAnswers = 0;
        return;
    }
    ++m_notReadyAnswers;
    if (m_notReadyAnswers == m_options.balancerMisses) {
        m_nextMoveAt = std::min(m_nextMoveAt, now + m_options.balancerDecisionTime);
    }
}

void PartitionDetector::onTimer(TimePoint now)
{
    updateSuspicion(now);
    if (now >= m_storeTimeoutAt) {
        m_storeTimeoutAt = TimePoint::max();
        markCutOff(now);
    }
}

void PartitionDetector::markCutOff(TimePoint now)
{
    if (std::exchange(m_cutOff, true)) {
        return;
    }
    m_notReadyAnswers = 0;
    m_nextMoveAt = now + m_options.balancerNotice;
    m_moveSpacing = m_options.firstMoveSpacing;
}

void PartitionDetector::clearCutOff()
{
    m_cutOff = false;
    m_nextMoveAt = TimePoint::max();
}

void PartitionDetector::clearSuspicion()
{
    clearCutOff();
    m_maxLost = 0;
    m_maxLostElsewhere = 0;
    m_suspected = false;
    m_nextStoreQueryAt = TimePoint::max();
    m_storeTimeoutAt = TimePoint::max();
}

TimePoint PartitionDetector::nextEventAt() const
{
    return std::min({m_nextStoreQueryAt, m_storeTimeoutAt, m_nextMoveAt, silenceCheckAt()});
}

// When the silence of other zones may reach a bound; max() while nothing suggests that it will.
TimePoint PartitionDetector::silenceCheckAt() const
{
    if (m_silent || !m_options.enabled || m_silenceCountsFrom == TimePoint::max()) {
        return TimePoint::max();
    }
    const TimePoint reportedBound = silentSince() + m_options.reportedSilenceBound;
    if (reportedBound < m_noticeUntil) {
        return reportedBound;
    }
    return m_contact.unanswered > 0 && lacksAnswers() ? silentSince() + m_options.silenceBound : TimePoint::max();
}

bool PartitionDetector::shouldQueryStore(TimePoint now)
{
    if (now < m_nextStoreQueryAt) {
        return false;
    }
    m_nextStoreQueryAt = TimePoint::max();
    m_storeTimeoutAt = now + m_options.storeAnswerTimeout;
    return true;
}

bool PartitionDetector::shouldNotifyZone(TimePoint now)
{
    if (!m_silent || now < m_nextNoticeAt) {
        return false;
    }
    m_nextNoticeAt = now + m_options.noticeInterval;
    return true;
}

bool PartitionDetector::shouldMoveCallers(TimePoint now)
{
    if (now < m_nextMoveAt) {
        return false;
    }
    m_nextMoveAt = now + m_moveSpacing;
    m_moveSpacing = std::min(m_moveSpacing * 2, m_options.maxMoveSpacing);
    return true;
}

bool PartitionDetector::isSuspected() const
{
    return m_suspected;
}

bool PartitionDetector::isCutOff() const
{
    return m_cutOff;
}

} // namespace egrettide
