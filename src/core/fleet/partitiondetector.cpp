// Whether this host is on the losing side of a network partition.

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
        mend();
        return;
    }
    m_lost = std::max(m_lost, reach.lost);
    m_lostElsewhere = std::max(m_lostElsewhere, reach.lostElsewhere);
    if (!m_suspected) {
        m_suspected = true;
        m_askAt = now;
    }
}

// No host of another zone answers, or fewer hosts than were lost. While the partition
// lasts its losses count, however long ago they were.
bool PartitionDetector::looksCutOff(const HostReach &reach) const
{
    const bool zoneAlone = reach.liveElsewhere == 0 && std::max(m_lostElsewhere, reach.lostElsewhere) > 0;
    const bool minority = reach.live + 1 < std::max(m_lost, reach.lost);
    return zoneAlone || minority;
}

void PartitionDetector::onStoreAnswer(bool answered, TimePoint now)
{
    if (!m_suspected) {
        return;
    }
    m_askAt = now + m_options.askAgain;
    m_silentAt = TimePoint::max();
    if (answered) {
        // The others are gone, and this host is what is left.
        reconnect();
    } else {
        holdForCutOff(now);
    }
}

void PartitionDetector::onReadinessTold(bool ready, TimePoint now)
{
    if (ready || !m_cutOff) {
        m_misses = 0;
        return;
    }
    ++m_misses;
    if (m_misses == m_options.balancerMisses) {
        m_moveAt = std::min(m_moveAt, now + m_options.missSettles);
    }
}

void PartitionDetector::onTimer(TimePoint now)
{
    if (now >= m_silentAt) {
        m_silentAt = TimePoint::max();
        holdForCutOff(now);
    }
}

void PartitionDetector::holdForCutOff(TimePoint now)
{
    if (std::exchange(m_cutOff, true)) {
        return;
    }
    m_misses = 0;
    m_moveAt = now + m_options.balancerNotice;
    m_moveSpacing = m_options.firstMoveSpacing;
}

void PartitionDetector::reconnect()
{
    m_cutOff = false;
    m_moveAt = TimePoint::max();
}

void PartitionDetector::mend()
{
    reconnect();
    m_lost = 0;
    m_lostElsewhere = 0;
    m_suspected = false;
    m_askAt = TimePoint::max();
    m_silentAt = TimePoint::max();
}

TimePoint PartitionDetector::nextEventAt() const
{
    return std::min({m_askAt, m_silentAt, m_moveAt});
}

bool PartitionDetector::asksStore(TimePoint now)
{
    if (now < m_askAt) {
        return false;
    }
    m_askAt = TimePoint::max();
    m_silentAt = now + m_options.storePatience;
    return true;
}

bool PartitionDetector::movesCallers(TimePoint now)
{
    if (now < m_moveAt) {
        return false;
    }
    m_moveAt = now + m_moveSpacing;
    m_moveSpacing = std::min(m_moveSpacing * 2, m_options.longestMoveSpacing);
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
