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

struct KeyedUpstream {
    std::uint64_t key = 0;
    std::string name;
};

// The upstreams of each zone, in the order of their assignment.
using ZoneUpstreams = std::map<std::string, std::vector<KeyedUpstream>, std::less<>>;

ZoneUpstreams byZone(const std::vector<PlacementUpstream> &upstreams)
{
    ZoneUpstreams zones;
    for (const PlacementUpstream &upstream : upstreams) {
        zones[upstream.zone].push_back(KeyedUpstream{placementKey(upstream.name), upstream.name});
    }
    // Sorted by key, not by name, so that no host's share depends on how upstreams are named.
    for (auto &[zone, members] : zones) {
        std::sort(members.begin(), members.end(), [](const KeyedUpstream &a, const KeyedUpstream &b) {
            return std::tie(a.key, a.name) < std::tie(b.key, b.name);
        });
    }
    return zones;
}

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

Placement::Placement(std::vector<PlacementHost> hosts, const std::vector<PlacementUpstream> &upstreams, PlacementOptions options)
    : m_hosts(std::move(hosts))
{
    std::sort(m_hosts.begin(), m_hosts.end(), [](const PlacementHost &a, const PlacementHost &b) { return a.name < b.name; });
    m_hostKeys.reserve(m_hosts.size());
    for (const PlacementHost &host : m_hosts) {
        m_hostKeys.push_back(placementKey(host.name));
    }
    if (!m_hosts.empty()) {
        assign(upstreams, options);
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

void Placement::assign(const std::vector<PlacementUpstream> &upstreams, const PlacementOptions &options)
{
    std::vector<std::size_t> loads(m_hosts.size(), 0);
    m_homes.reserve(upstreams.size());
    const auto assignZone = [&](const std::vector<KeyedUpstream> &members, const std::vector<std::size_t> &candidates,
                                std::size_t sharing) {
        const std::size_t bound = options.loadFactor <= 0 ? 0 : loadBound(options.loadFactor, sharing, candidates.size());
        for (const KeyedUpstream &upstream : members) {
            const std::size_t host = choose(candidates, upstream.key, loads, bound);
            ++loads[host];
            m_homes.insert_or_assign(upstream.name, host);
        }
    };
    // Zones that have hosts are assigned first; upstreams of the other zones then use the remaining
    // room.
    std::vector<std::pair<const std::vector<KeyedUpstream> *, std::vector<std::size_t>>> zonesWithoutHosts;
    const ZoneUpstreams zones = byZone(upstreams);
    for (const auto &[zone, members] : zones) {
        auto candidates = candidatesFor(zone);
        if (m_hosts[candidates.front()].zone != zone) {
            zonesWithoutHosts.emplace_back(&members, std::move(candidates));
        } else {
            assignZone(members, candidates, members.size());
        }
    }
    for (const auto &[members, candidates] : zonesWithoutHosts) {
        assignZone(*members, candidates, upstreams.size());
    }
}

std::size_t Placement::indexOfHome(std::string_view upstreamName, std::string_view zone) const
{
    const auto found = m_homes.find(absl::string_view(upstreamName.data(), upstreamName.size()));
    return found != m_homes.end() ? found->second : choose(candidatesFor(zone), placementKey(upstreamName), {}, 0);
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
    for (const auto &[upstream, host] : m_homes) {
        if (m_hosts[host].name == hostName) {
            names.push_back(upstream);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace egrettide
