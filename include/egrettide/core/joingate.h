// Decides when a host that has just started may become the home of upstreams.
//
// A host learns of the others one after another while it starts. Without a delay it would take
// itself for the home of every upstream, then of many, and open connections only to close them
// again; when many hosts start together, upstreams refuse connections to all of them and callers
// wait for seconds. A starting host therefore becomes a home only once it knows the hosts of its
// zone. A host that receives no answer is alone or cut off, and joins at the bound to serve what it
// can.
//
// Pure: time is passed in, the time to join is returned.

#pragma once

#include "egrettide/core/membership.h"
#include "egrettide/core/types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace egrettide
{

struct JoinOptions {
    // Longest delay after the start: twice the two heartbeats within which a starting host receives
    // messages from the others.
    milliseconds maxDelay{1500};
    // Time without a change of the zone's hosts after which the host joins. Of seven hosts that
    // started within 0.2 s, each discovered the last of the others at most 0.25 s after the one
    // before.
    milliseconds settleTime{300};
    // Added to maxDelay for each listed host of the zone: the larger the zone, the longer until its
    // hosts know each other.
    milliseconds delayPerListedHost{20};
    // How far the platform's list may lag behind: a host with an outdated list waits this long after
    // its start for others of its zone.
    milliseconds maxListLag{5000};
};

// The join decision of one host. Not thread-safe; lives on the control thread.
class JoinGate
{
public:
    JoinGate(std::string zone, JoinOptions options, TimePoint startedAt);

    // Processes the number of hosts of the zone on the platform's list. The list may hold hosts that
    // are gone. An outdated one may lack all that started with this host, so it does not show that
    // this host is alone.
    void onListed(std::size_t zoneHosts, bool isCurrent, TimePoint now);
    // Processes the newest view. `hasDiscoveredZone` is true when every listed host of the zone is known.
    void onView(const MembershipView &view, bool hasDiscoveredZone, TimePoint now);
    // When the host joins unless a later view changes it; never later than the bound.
    TimePoint joinsAt() const;

private:
    bool knowsNearlyAll() const;

    const std::string m_zone;
    const JoinOptions m_options;
    const TimePoint m_startedAt;
    TimePoint m_latestJoin;
    // Invariant: never after m_latestJoin.
    TimePoint m_joinsAt;
    // Live and suspect hosts of the zone. The homes of its upstreams depend on these alone.
    std::vector<std::string> m_zoneHosts;
    bool m_trusted = false;
    std::size_t m_listedHosts = 0;
    bool m_hasCurrentList = false;
    // When the first current list arrived; the hosts on it become known from then on.
    TimePoint m_listedAt;
    // Whether each list until now was outdated; false before the first one.
    bool m_listIsOutdated = false;
};

} // namespace egrettide
