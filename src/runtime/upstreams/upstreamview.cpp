// A home's view of its upstream's group.

#include "runtime/upstreams/upstreamview.h"

#include "runtime/group/grouphint.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

UpstreamView::UpstreamView(std::string database, std::string upstream, const GateOptions &gate)
    : m_upstream(std::move(upstream)), m_gate(gate)
{
    m_snapshot.database = std::move(database);
}

bool UpstreamView::onSnapshot(const GroupSnapshot &snapshot)
{
    const bool changed = snapshot.primary != m_snapshot.primary || snapshot.term != m_snapshot.term;
    m_snapshot = snapshot;
    overlayOwnStatus();
    return changed;
}

void UpstreamView::onStatus(const MemberStatus &status, TimePoint at)
{
    m_ownStatus = status;
    m_ownStatusAt = at;
    overlayOwnStatus();
}

// Each answer carries the upstream's marks, which are newer than those of the last round,
// so that reads after a write need not wait for the next round. Only marks of the same
// term that were taken after the round are used: an upstream that has lost its state in
// between must not appear fresher than it is.
void UpstreamView::overlayOwnStatus()
{
    if (!m_ownStatus) {
        return;
    }
    for (MemberView &member : m_snapshot.members) {
        const bool comparable = member.upstream == m_upstream && m_ownStatus->followingTerm == member.followingTerm
            && m_ownStatusAt >= member.observedAt;
        if (comparable) {
            member.replayed = std::max(member.replayed, m_ownStatus->replayed);
            member.received = std::max(member.received, m_ownStatus->received);
        }
    }
}

void UpstreamView::onConnectionLost(TimePoint at)
{
    m_connectionLostAt = at;
}

bool UpstreamView::isPrimaryConfirmedSinceLoss() const
{
    if (!m_connectionLostAt) {
        return isPrimary();
    }
    const bool confirmedSince = m_snapshot.primaryConfirmed && !m_snapshot.watermarks.empty()
        && m_snapshot.watermarks.back().sentAt > *m_connectionLostAt;
    return isPrimary() && confirmedSince;
}

bool UpstreamView::observed() const
{
    return !m_snapshot.members.empty();
}

bool UpstreamView::isPrimary() const
{
    return m_snapshot.primary == m_upstream;
}

const std::string &UpstreamView::primary() const
{
    return m_snapshot.primary;
}

Term UpstreamView::term() const
{
    return m_snapshot.term;
}

GateDecision UpstreamView::decide(const FreshnessRequest &request, TimePoint now) const
{
    return m_gate.decide(request, m_snapshot, m_upstream, now);
}

GroupHint UpstreamView::hint(milliseconds expectedWait, bool leaving, TimePoint now) const
{
    GroupHint hint = hintOf(m_snapshot, m_gate, now);
    for (MemberHint &member : hint.members) {
        if (member.upstream == m_upstream) {
            member.expectedWait = expectedWait;
            member.leaving = leaving;
        }
    }
    return hint;
}

} // namespace egrettide
