// When a host that has just started may become the home of upstreams.

#include "egrettide/core/joingate.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

JoinGate::JoinGate(std::string zone, JoinOptions options, TimePoint startedAt)
    : m_zone(std::move(zone)), m_options(options), m_bound(startedAt + options.bound), m_joinsAt(m_bound)
{
}

void JoinGate::onView(const MembershipView &view, bool hasMetZone, TimePoint now)
{
    std::vector<std::string> zoneHosts;
    for (const PlacementHost &host : view.placementHosts()) {
        if (host.zone == m_zone) {
            zoneHosts.push_back(host.name);
        }
    }
    const bool isNews = zoneHosts != m_zoneHosts || view.trusted != m_trusted;
    m_zoneHosts = std::move(zoneHosts);
    m_trusted = view.trusted;
    if (!view.trusted) {
        m_joinsAt = m_bound;
    } else if (hasMetZone) {
        m_joinsAt = std::min(m_joinsAt, now);
    } else if (isNews) {
        m_joinsAt = std::min(now + m_options.settleTime, m_bound);
    }
}

TimePoint JoinGate::joinsAt() const
{
    return m_joinsAt;
}

} // namespace egrettide
