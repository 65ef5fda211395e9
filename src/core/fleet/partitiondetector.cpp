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
    if (!m_options.enabled) {
        return;
    }
    if (!looksCutOff(reach)) {
        clearSuspicion();
        return;
    }
    m_maxLost = std::max(m_maxLost, reach.lost);
    m_maxLostElsewhere = std::max(m_maxLostElsewhere, reach.lostElsewhere);
    if (!m_suspected) {
        m_suspected = true;
        m_nextStoreQueryAt = now;
    }
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
    return std::min({m_nextStoreQueryAt, m_storeTimeoutAt, m_nextMoveAt});
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
