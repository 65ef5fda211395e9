// Rendezvous hashing with bounded loads.

#include "egrettide/core/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace egrettide
{

namespace
{

// Must never change, like the hash itself: hosts of different releases have to agree on every home
// during an upgrade.
constexpr std::uint64_t keySeed = 0x6567726574746964;

// When more than one in so many hosts of a zone have changed, its upstreams are all placed anew.
constexpr std::size_t maxChangedPart = 4;

std::size_t loadBound(double loadFactor, std::size_t upstreams, std::size_t hosts)
{
    const double mean = static_cast<double>(upstreams) / static_cast<double>(hosts);
    const auto even = static_cast<std::size_t>(std::ceil(mean));
    return std::max(even, static_cast<std::size_t>(std::floor(mean * loadFactor)));
}

} // namespace

std::uint64_t placementKey(std::string_view name)
{
    return XXH64(name.data(), name.size(), keySeed);
}

std::uint64_t rendezvousScore(std::uint64_t hostKey, std::uint64_t upstreamKey)
{
    const std::array<std::uint64_t, 2> pair{hostKey, upstreamKey};
    return XXH64(pair.data(), sizeof(pair), keySeed);
}

PlacementUpstreams::PlacementUpstreams(const std::vector<PlacementUpstream> &upstreams)
{
    std::map<std::string_view, std::vector<Upstream>> zones;
    for (const PlacementUpstream &upstream : upstreams) {
        zones[upstream.zone].push_back(Upstream{placementKey(upstream.name), upstream.name});
    }
    m_upstreams.reserve(upstreams.size());
    for (auto &[zone, members] : zones) {
        // Sorted by key, not by name, so that no host's share depends on how upstreams are named.
        std::sort(members.begin(), members.end(),
                  [](const Upstream &a, const Upstream &b) { return std::tie(a.key, a.name) < std::tie(b.key, b.name); });
        m_zones.push_back(Zone{std::string(zone), m_upstreams.size(), members.size()});
        m_upstreams.insert(m_upstreams.end(), std::make_move_iterator(members.begin()), std::make_move_iterator(members.end()));
    }
    m_indexes.reserve(m_upstreams.size());
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        m_indexes.insert_or_assign(m_upstreams[i].name, i);
    }
}

bool PlacementUpstreams::operator==(const PlacementUpstreams &other) const
{
    return m_zones == other.m_zones && m_upstreams == other.m_upstreams;
}

std::optional<std::size_t> PlacementUpstreams::indexOf(std::string_view name) const
{
    const auto found = m_indexes.find(absl::string_view(name.data(), name.size()));
    return found != m_indexes.end() ? std::optional(found->second) : std::nullopt;
}

Placement::Placement(std::vector<PlacementHost> hosts, const std::vector<PlacementUpstream> &upstreams, PlacementOptions options)
    : Placement(std::move(hosts), std::make_shared<const PlacementUpstreams>(upstreams), nullptr, options)
{
}

Placement::Placement(std::vector<PlacementHost> hosts, std::shared_ptr<const PlacementUpstreams> upstreams,
                     const Placement *previous, PlacementOptions options)
    : m_options(options), m_hosts(std::move(hosts)), m_upstreams(std::move(upstreams))
{
    std::sort(m_hosts.begin(), m_hosts.end(), [](const PlacementHost &a, const PlacementHost &b) { return a.name < b.name; });
    m_hostKeys.reserve(m_hosts.size());
    for (const PlacementHost &host : m_hosts) {
        m_hostKeys.push_back(placementKey(host.name));
    }
    if (!m_hosts.empty()) {
        const bool isUsable = previous != nullptr && !previous->m_hosts.empty() && previous->m_upstreams == m_upstreams;
        assign(isUsable ? previous : nullptr);
    }
}

// The hosts among which a zone's upstreams are distributed. Leaving hosts come after hosts of other
// zones, since upstreams placed on them would move again at once.
std::vector<std::size_t> Placement::candidatesFor(std::string_view zone) const
{
    const auto select = [this](const auto &accepts) {
        std::vector<std::size_t> selected;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (accepts(m_hosts[i])) {
                selected.push_back(i);
            }
        }
        return selected;
    };
    auto candidates = select([zone](const PlacementHost &host) { return !host.leaving && host.zone == zone; });
    if (candidates.empty()) {
        candidates = select([](const PlacementHost &host) { return !host.leaving; });
    }
    if (candidates.empty()) {
        candidates = select([zone](const PlacementHost &host) { return host.zone == zone; });
    }
    if (candidates.empty()) {
        candidates = select([](const PlacementHost &) { return true; });
    }
    return candidates;
}

// The best host below the bound, or the best of all when there is none: an upstream without a home
// is worse than an overloaded host.
std::size_t Placement::choose(const std::vector<std::size_t> &candidates, std::uint64_t upstreamKey,
                              const std::vector<std::size_t> &loads, std::size_t bound) const
{
    std::size_t best = candidates.front();
    std::pair<bool, std::uint64_t> bestRank{false, 0};
    for (const std::size_t candidate : candidates) {
        const bool hasRoom = bound == 0 || loads[candidate] < bound;
        const std::pair<bool, std::uint64_t> rank{hasRoom, rendezvousScore(m_hostKeys[candidate], upstreamKey)};
        // Ties go to the first name, so that all hosts resolve them alike.
        if (rank > bestRank) {
            best = candidate;
            bestRank = rank;
        }
    }
    return best;
}

void Placement::assign(const Placement *previous)
{
    const std::size_t zones = m_upstreams->m_zones.size();
    m_homes.resize(m_upstreams->m_upstreams.size());
    m_zones.resize(zones);
    for (std::size_t zone = 0; zone < zones; ++zone) {
        const PlacementUpstreams::Zone &members = m_upstreams->m_zones[zone];
        ZoneHosts &hosts = m_zones[zone];
        hosts.candidates = candidatesFor(members.name);
        hosts.isElsewhere = m_hosts[hosts.candidates.front()].zone != members.name;
        const std::size_t sharing = hosts.isElsewhere ? m_homes.size() : members.count;
        hosts.bound = m_options.loadFactor <= 0 ? 0 : loadBound(m_options.loadFactor, sharing, hosts.candidates.size());
    }
    // Zones that have hosts are assigned first; upstreams of the other zones then use the remaining
    // room.
    std::vector<std::size_t> loads(m_hosts.size(), 0);
    for (const bool elsewhere : {false, true}) {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            if (m_zones[zone].isElsewhere != elsewhere) {
                continue;
            }
            if (elsewhere || previous == nullptr || !reassignZone(zone, *previous)) {
                assignZone(zone, loads);
                continue;
            }
            const PlacementUpstreams::Zone &members = m_upstreams->m_zones[zone];
            for (std::size_t i = members.first; i < members.first + members.count; ++i) {
                ++loads[m_homes[i]];
            }
        }
    }
}

void Placement::assignZone(std::size_t zone, std::vector<std::size_t> &loads)
{
    const PlacementUpstreams::Zone &members = m_upstreams->m_zones[zone];
    const ZoneHosts &hosts = m_zones[zone];
    for (std::size_t i = members.first; i < members.first + members.count; ++i) {
        m_homes[i] = choose(hosts.candidates, m_upstreams->m_upstreams[i].key, loads, hosts.bound);
        m_computedScores += hosts.candidates.size();
        ++loads[m_homes[i]];
    }
}

// Follows the assignment of a zone's upstreams one by one under the hosts before and those now, and
// keeps track of the hosts for which the two differ.
class Placement::Reassignment
{
public:
    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    Reassignment(const ZoneHosts &before, const ZoneHosts &now, std::size_t hostsBefore, std::size_t hostsNow)
        : m_boundBefore(before.bound)
        , m_boundNow(now.bound)
        , m_loadsBefore(hostsBefore, 0)
        , m_loadsNow(hostsNow, 0)
        , m_indexNow(hostsBefore, none)
        , m_indexBefore(hostsNow, none)
    {
    }

    void addKept(std::size_t before, std::size_t now)
    {
        m_indexNow[before] = now;
        m_indexBefore[now] = before;
    }

    void addNew(std::size_t now)
    {
        m_improved.push_back(now);
    }

    // The present index of a host; `none` when it is no candidate any more.
    std::size_t indexNow(std::size_t before) const
    {
        return m_indexNow[before];
    }

    bool hasRoomNow(std::size_t now) const
    {
        return m_boundNow == 0 || m_loadsNow[now] < m_boundNow;
    }

    // Whether a host that stays is full now where it had room before.
    bool hasWorsened(std::size_t now) const
    {
        return hadRoom(m_indexBefore[now]) && !hasRoomNow(now);
    }

    // Hosts that are new, or have room now where they were full before.
    const std::vector<std::size_t> &improved() const
    {
        return m_improved;
    }

    const std::vector<std::size_t> &loadsNow() const
    {
        return m_loadsNow;
    }

    void onAssigned(std::size_t before, std::size_t now)
    {
        ++m_loadsBefore[before];
        ++m_loadsNow[now];
        if (m_indexNow[before] != none) {
            update(m_indexNow[before]);
        }
        if (m_indexBefore[now] != none) {
            update(now);
        }
    }

private:
    bool hadRoom(std::size_t before) const
    {
        return m_boundBefore == 0 || m_loadsBefore[before] < m_boundBefore;
    }

    void update(std::size_t now)
    {
        std::erase(m_improved, now);
        if (hasRoomNow(now) && !hadRoom(m_indexBefore[now])) {
            m_improved.push_back(now);
        }
    }

    const std::size_t m_boundBefore;
    const std::size_t m_boundNow;
    std::vector<std::size_t> m_loadsBefore;
    std::vector<std::size_t> m_loadsNow;
    std::vector<std::size_t> m_indexNow;
    std::vector<std::size_t> m_indexBefore;
    std::vector<std::size_t> m_improved;
};

// Assigns a zone's upstreams by what changed since `previous`; returns false when that is much.
//
// An upstream's home is the candidate with the highest rank. When its home before is still a
// candidate whose rank has not fallen, only candidates whose rank has risen can come before it.
bool Placement::reassignZone(std::size_t zone, const Placement &previous)
{
    const ZoneHosts &before = previous.m_zones[zone];
    const ZoneHosts &now = m_zones[zone];
    if (before.isElsewhere) {
        return false;
    }
    Reassignment reassignment(before, now, previous.m_hosts.size(), m_hosts.size());
    std::size_t kept = 0;
    auto known = before.candidates.begin();
    for (const std::size_t host : now.candidates) {
        while (known != before.candidates.end() && previous.m_hosts[*known].name < m_hosts[host].name) {
            ++known;
        }
        if (known != before.candidates.end() && previous.m_hosts[*known].name == m_hosts[host].name) {
            reassignment.addKept(*known, host);
            ++kept;
        } else {
            reassignment.addNew(host);
        }
    }
    const std::size_t changed = before.candidates.size() + now.candidates.size() - 2 * kept;
    if (changed * maxChangedPart > now.candidates.size()) {
        return false;
    }
    const PlacementUpstreams::Zone &members = m_upstreams->m_zones[zone];
    for (std::size_t i = members.first; i < members.first + members.count; ++i) {
        const std::uint64_t key = m_upstreams->m_upstreams[i].key;
        const std::size_t homeBefore = previous.m_homes[i];
        const std::size_t home = reassignment.indexNow(homeBefore);
        if (home == Reassignment::none || reassignment.hasWorsened(home)) {
            m_homes[i] = choose(now.candidates, key, reassignment.loadsNow(), now.bound);
            m_computedScores += now.candidates.size();
        } else if (reassignment.improved().empty()) {
            m_homes[i] = home;
        } else {
            std::vector<std::size_t> candidates = reassignment.improved();
            candidates.push_back(home);
            std::ranges::sort(candidates);
            m_homes[i] = choose(candidates, key, reassignment.loadsNow(), now.bound);
            m_computedScores += candidates.size();
        }
        reassignment.onAssigned(homeBefore, m_homes[i]);
    }
    return true;
}

std::size_t Placement::indexOfHome(std::string_view upstreamName, std::string_view zone) const
{
    const auto index = m_upstreams->indexOf(upstreamName);
    return index ? m_homes[*index] : choose(candidatesFor(zone), placementKey(upstreamName), {}, 0);
}

std::optional<std::size_t> Placement::indexOfHost(std::string_view name) const
{
    const auto found = std::lower_bound(m_hosts.begin(), m_hosts.end(), name,
                                        [](const PlacementHost &host, std::string_view wanted) { return host.name < wanted; });
    return found != m_hosts.end() && found->name == name ? std::optional(static_cast<std::size_t>(found - m_hosts.begin()))
                                                         : std::nullopt;
}

std::optional<std::string> Placement::homeOf(std::string_view upstreamName, std::string_view zone) const
{
    return m_hosts.empty() ? std::nullopt : std::optional(m_hosts[indexOfHome(upstreamName, zone)].name);
}

bool Placement::isHomeOf(std::string_view hostName, std::string_view upstreamName, std::string_view zone) const
{
    return !m_hosts.empty() && m_hosts[indexOfHome(upstreamName, zone)].name == hostName;
}

std::vector<std::string> Placement::upstreamsOf(std::string_view hostName) const
{
    std::vector<std::string> names;
    const auto host = indexOfHost(hostName);
    for (std::size_t i = 0; host && i < m_homes.size(); ++i) {
        if (m_homes[i] == *host) {
            names.push_back(m_upstreams->m_upstreams[i].name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::size_t Placement::computedScores() const
{
    return m_computedScores;
}

} // namespace egrettide
