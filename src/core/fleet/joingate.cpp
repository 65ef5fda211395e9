// Join decision of a host that has just started.

#include "egrettide/core/joingate.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

// A host that knows all but one in so many listed hosts of its zone need not wait for the rest.
constexpr std::size_t maxUnknownPart = 8;

} // namespace

JoinGate::JoinGate(std::string zone, JoinOptions options, TimePoint startedAt)
    : m_zone(std::move(zone))
    , m_options(options)
    , m_startedAt(startedAt)
    , m_latestJoin(startedAt + options.maxDelay)
    , m_joinsAt(m_latestJoin)
{
}

void JoinGate::onListed(std::size_t zoneHosts, bool isCurrent, TimePoint now)
{
    const bool waitsForBound = m_joinsAt == m_latestJoin;
    m_listedHosts = zoneHosts;
    m_listIsOutdated = !isCurrent && !m_hasCurrentList;
    if (m_listIsOutdated) {
        m_latestJoin = m_startedAt + m_options.maxListLag;
        m_joinsAt = m_latestJoin;
        return;
    }
    if (!std::exchange(m_hasCurrentList, true)) {
        m_listedAt = now;
    }
    m_latestJoin = m_listedAt + m_options.maxDelay + m_options.delayPerListedHost * zoneHosts;
    if (waitsForBound || 2 * m_zoneHosts.size() < zoneHosts) {
        m_joinsAt = m_latestJoin;
    }
}

void JoinGate::onView(const MembershipView &view, bool hasDiscoveredZone, TimePoint now)
{
    std::vector<std::string> zoneHosts;
    for (const PlacementHost &host : view.placementHosts()) {
        if (host.zone == m_zone) {
            zoneHosts.push_back(host.name);
        }
    }
    const bool hasChanged = zoneHosts != m_zoneHosts || view.trusted != m_trusted;
    m_zoneHosts = std::move(zoneHosts);
    m_trusted = view.trusted;
    // In a large zone a pause between two discoveries does not show that they are over.
    const bool knowsFew = !hasDiscoveredZone && 2 * m_zoneHosts.size() < m_listedHosts;
    const bool seemsAlone = m_listIsOutdated && m_zoneHosts.size() <= 1;
    if (!view.trusted || knowsFew || seemsAlone) {
        m_joinsAt = m_latestJoin;
    } else if (hasDiscoveredZone || knowsNearlyAll()) {
        m_joinsAt = std::min(m_joinsAt, now);
    } else if (hasChanged) {
        m_joinsAt = std::min(now + m_options.settleTime, m_latestJoin);
    }
}

// With one host of eight unknown, hardly any upstream of the zone has another home than with all of
// them. In a large zone the last ones become known several tenths of a second after the others, and
// some of the listed ones may be gone.
bool JoinGate::knowsNearlyAll() const
{
    const std::size_t inZone = m_listedHosts + 1;
    return m_hasCurrentList && m_zoneHosts.size() * maxUnknownPart >= inZone * (maxUnknownPart - 1);
}

TimePoint JoinGate::joinsAt() const
{
    return m_joinsAt;
}

} // namespace egrettide
