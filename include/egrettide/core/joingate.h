// When a host that has just started may become the home of upstreams.
//
// What goes wrong without it: a host that has just started knows nobody, then two
// others, then all of them. It would take itself for the home of every upstream, then
// of many, open connections and close them again; when many start together, upstreams
// refuse connections to all, and callers wait for seconds. So it holds nothing until
// it knows the hosts of its zone; a host that nobody answers is alone, or cut off, and
// serves what it can.
//
// Pure: time comes in, the time to join comes out.

#pragma once

#include "egrettide/core/membership.h"
#include "egrettide/core/types.h"

#include <string>
#include <vector>

namespace egrettide
{

struct JoinOptions {
    // A host that starts hears from the others within two heartbeats; twice that.
    milliseconds bound{1500};
    // Of seven hosts that started within 0.2 s, each saw the last of the others at most
    // 0.25 s after the one before.
    milliseconds settleTime{300};
};

// The decision of one host. Not thread-safe; lives on the control thread.
class JoinGate
{
public:
    JoinGate(std::string zone, JoinOptions options, TimePoint startedAt);

    // Takes the newest view. `hasMetZone` says that every listed host of the zone is known.
    void onView(const MembershipView &view, bool hasMetZone, TimePoint now);
    // When the host joins, unless a view changes it; never later than the bound.
    TimePoint joinsAt() const;

private:
    const std::string m_zone;
    const JoinOptions m_options;
    const TimePoint m_bound;
    // Never after m_bound.
    TimePoint m_joinsAt;
    // The living hosts of the zone: homes of its upstreams depend on these alone.
    std::vector<std::string> m_zoneHosts;
    bool m_trusted = false;
};

} // namespace egrettide
