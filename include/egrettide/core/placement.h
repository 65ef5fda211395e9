// Assigns upstreams to their homes (the one host that holds an upstream's connections and slots):
// rendezvous hashing among the live hosts of the upstream's zone, with a bound on the upstreams per
// host. The assignment is a pure function of hosts and upstreams, so hosts with the same view and
// configuration agree without communicating.

#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
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

// The homes of all upstreams under one view and one configuration. Immutable
// after construction and safe to share between threads as shared_ptr<const>.
class Placement
{
public:
    // Hosts must be neither dead nor listed twice; the order of both lists does not matter.
    Placement(std::vector<PlacementHost> hosts, const std::vector<PlacementUpstream> &upstreams, PlacementOptions options = {});

    // The home of the upstream, nullopt when there is no host. Upstreams that are not listed are
    // placed by rendezvous hashing without a bound.
    std::optional<std::string> homeOf(std::string_view upstreamName, std::string_view zone) const;
    bool isHomeOf(std::string_view hostName, std::string_view upstreamName, std::string_view zone) const;
    // Listed upstreams whose home is this host, sorted by name.
    std::vector<std::string> upstreamsOf(std::string_view hostName) const;

private:
    void assign(const std::vector<PlacementUpstream> &upstreams, const PlacementOptions &options);
    // Index into m_hosts; there must be a host.
    std::size_t indexOfHome(std::string_view upstreamName, std::string_view zone) const;
    std::vector<std::size_t> candidatesFor(std::string_view zone) const;
    std::size_t choose(const std::vector<std::size_t> &candidates, std::uint64_t upstreamKey,
                       const std::vector<std::size_t> &loads, std::size_t bound) const;

    // Sorted by name.
    std::vector<PlacementHost> m_hosts;
    // Seeds of the hosts' scores; parallel to m_hosts.
    std::vector<std::uint64_t> m_hostKeys;
    // Index into m_hosts by upstream name.
    absl::flat_hash_map<std::string, std::size_t> m_homes;
};

// Score of a host for an upstream; the host with the highest score is the first choice. The
// function must never change, since hosts of different builds have to agree.
std::uint64_t rendezvousScore(std::uint64_t hostKey, std::uint64_t upstreamKey);

// Stable key of a name; must never change either.
std::uint64_t placementKey(std::string_view name);

} // namespace egrettide
