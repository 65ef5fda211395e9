// A home's view of its upstream's group: the observer's newest snapshot, combined with
// the status in later answers of the upstream itself.

#pragma once

#include "egrettide/core/freshnessgate.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"

#include <optional>
#include <string>

namespace egrettide
{

class UpstreamView
{
public:
    UpstreamView(std::string database, std::string upstream, const GateOptions &gate);

    // True when the primary or the term changed.
    bool onSnapshot(const GroupSnapshot &snapshot);
    // The upstream's status, taken after `at`.
    void onStatus(const MemberStatus &status, TimePoint at);

    // A connection to the upstream was lost at that time.
    void onConnectionLost(TimePoint at);
    // False from the loss of a connection until a round that began later has confirmed
    // this upstream as the primary. The connections of a failed primary break one after
    // the other; without this check, a write after the first loss is sent on the next
    // connection, and one failover causes several unknown outcomes. Writes that are held
    // back instead do not run and go to the successor.
    bool isPrimaryConfirmedSinceLoss() const;

    // True once a snapshot has been received.
    bool observed() const;
    // True when the upstream is the confirmed or last known primary.
    bool isPrimary() const;
    const std::string &primary() const;
    Term term() const;
    GateDecision decide(const FreshnessRequest &request, TimePoint now) const;
    // The state of the group for fronts; `expectedWait` is that of this upstream.
    GroupHint hint(milliseconds expectedWait, bool leaving, TimePoint now) const;

private:
    void overlayOwnStatus();

    const std::string m_upstream;
    const FreshnessGate m_gate;
    GroupSnapshot m_snapshot;
    // The upstream's newest status and the time after which it was taken.
    std::optional<MemberStatus> m_ownStatus;
    TimePoint m_ownStatusAt;
    std::optional<TimePoint> m_connectionLostAt;
};

} // namespace egrettide
