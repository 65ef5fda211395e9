// Assigns upstreams to their homes (the one host that holds an upstream's connections and slots):
// rendezvous hashing among the live hosts of the upstream's zone, with a bound on the upstreams per
// host. The assignment is a pure function of hosts and upstreams, so hosts with the same view and
// configuration agree without communicating.

#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

struct PlacementHost {
    std::string name;
    std::string zone;
    // A leaving host is a home only while no other host is available.
    bool leaving = false;

    bool operator==(const PlacementHost &) const = default;
};

struct PlacementUpstream {
    std::string name;
    std::string zone;

    bool operator==(const PlacementUpstream &) const = default;
};

struct PlacementOptions {
    // Maximum upstreams per host, as a multiple of the mean of its zone, rounded down but never
    // less than an even share rounded up. 0 disables the bound.
    double loadFactor = 1.75;
};

// The upstreams to be placed, prepared once for all placements of one configuration. Immutable and
// safe to share between threads as shared_ptr<const>.
class PlacementUpstreams
{
public:
    // Upstreams must not be listed twice; their order does not matter.
    explicit PlacementUpstreams(const std::vector<PlacementUpstream> &upstreams);
    PlacementUpstreams(const PlacementUpstreams &) = delete;
    PlacementUpstreams &operator=(const PlacementUpstreams &) = delete;

    bool operator==(const PlacementUpstreams &other) const;

private:
    friend class Placement;

    struct Upstream {
        std::uint64_t key = 0;
        std::string name;

        bool operator==(const Upstream &) const = default;
    };

    // The upstreams of one zone: a range of m_upstreams.
    struct Zone {
        std::string name;
        std::size_t first = 0;
        std::size_t count = 0;

        bool operator==(const Zone &) const = default;
    };

    std::optional<std::size_t> indexOf(std::string_view name) const;

    // By zone, in the order of their assignment.
    std::vector<Upstream> m_upstreams;
    std::vector<Zone> m_zones;
    // Refers to the names in m_upstreams.
    absl::flat_hash_map<absl::string_view, std::size_t> m_indexes;
};

// The homes of all upstreams under one view and one configuration. Immutable
// after construction and safe to share between threads as shared_ptr<const>.
class Placement
{
public:
    // Hosts must be neither dead nor listed twice; the order of both lists does not matter.
    Placement(std::vector<PlacementHost> hosts, const std::vector<PlacementUpstream> &upstreams, PlacementOptions options = {});
    // The same placement. What `previous` placed, if it has the same upstreams, is placed again only
    // where a change of the hosts can make a difference: a change of a few hosts costs as much as there
    // are upstreams, and not as upstreams times hosts.
    Placement(std::vector<PlacementHost> hosts, std::shared_ptr<const PlacementUpstreams> upstreams, const Placement *previous,
              PlacementOptions options = {});

    // The home of the upstream, nullopt when there is no host. Upstreams that are not listed are
    // placed by rendezvous hashing without a bound.
    std::optional<std::string> homeOf(std::string_view upstreamName, std::string_view zone) const;
    bool isHomeOf(std::string_view hostName, std::string_view upstreamName, std::string_view zone) const;
    // Listed upstreams whose home is this host, sorted by name.
    std::vector<std::string> upstreamsOf(std::string_view hostName) const;
    // Scores that were computed for this placement, which is nearly all of its cost.
    std::size_t computedScores() const;

private:
    // The hosts among which the upstreams of a zone are distributed.
    struct ZoneHosts {
        // Indexes into m_hosts, in order.
        std::vector<std::size_t> candidates;
        // Maximum upstreams per host; 0 for none.
        std::size_t bound = 0;
        // True when the zone has no host, so that its upstreams use the room of other zones' hosts.
        bool isElsewhere = false;
    };

    class Reassignment;

    void assign(const Placement *previous);
    void assignZone(std::size_t zone, std::vector<std::size_t> &loads);
    bool reassignZone(std::size_t zone, const Placement &previous);
    // Index into m_hosts; there must be a host.
    std::size_t indexOfHome(std::string_view upstreamName, std::string_view zone) const;
    std::optional<std::size_t> indexOfHost(std::string_view name) const;
    std::vector<std::size_t> candidatesFor(std::string_view zone) const;
    std::size_t choose(const std::vector<std::size_t> &candidates, std::uint64_t upstreamKey,
                       const std::vector<std::size_t> &loads, std::size_t bound) const;

    const PlacementOptions m_options;
    // Sorted by name.
    std::vector<PlacementHost> m_hosts;
    // Seeds of the hosts' scores; parallel to m_hosts.
    std::vector<std::uint64_t> m_hostKeys;
    std::shared_ptr<const PlacementUpstreams> m_upstreams;
    // Parallel to the zones of m_upstreams; empty without hosts.
    std::vector<ZoneHosts> m_zones;
    // Indexes into m_hosts, parallel to the upstreams; empty without hosts.
    std::vector<std::size_t> m_homes;
    std::size_t m_computedScores = 0;
};

// Score of a host for an upstream; the host with the highest score is the first choice. The
// function must never change, since hosts of different builds have to agree.
std::uint64_t rendezvousScore(std::uint64_t hostKey, std::uint64_t upstreamKey);

// Stable key of a name; must never change either.
std::uint64_t placementKey(std::string_view name);

} // namespace egrettide
