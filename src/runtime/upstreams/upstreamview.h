// How a home sees its upstream's group: the newest snapshot of the observer, plus
// what the upstream itself said with its answers since.

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

    // A connection to the upstream broke at that moment.
    void onConnectionLost(TimePoint at);
    // False from the loss of a connection until a round that began later has
    // confirmed this upstream as primary.
    //
    // What goes wrong without it: the primary dies, and its connections break one
    // after the other. A write that follows the first loss goes out on the next
    // connection and its outcome is unknown as well, though the loss was known.
    // One would notice several unknown outcomes for each failover. Held back, such
    // writes are not run and go to the successor.
    bool isPrimarySinceLoss() const;

    // True once a snapshot has come in.
    bool observed() const;
    // True when the upstream is the confirmed or last known primary.
    bool isPrimary() const;
    const std::string &primary() const;
    Term term() const;
    GateDecision decide(const FreshnessRequest &request, TimePoint now) const;
    // The group as fronts may know it; `expectedWait` is this upstream's own.
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
