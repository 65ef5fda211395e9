// Which host is the home of an upstream: rendezvous hashing among the live hosts
// of the upstream's own zone, with a bound on how many upstreams one host gets.
// The choice is a pure function of the hosts and upstreams, so hosts with the
// same view and configuration agree without talking.

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
    // A leaving host is a home only while no other host is there.
    bool leaving = false;

    bool operator==(const PlacementHost &) const = default;
};

struct PlacementUpstream {
    std::string name;
    std::string zone;

    bool operator==(const PlacementUpstream &) const = default;
};

struct PlacementOptions {
    // A host gets at most this many times the mean number of upstreams of its
    // zone, rounded down, but never less than an even share rounded up. 0
    // switches the bound off.
    double loadFactor = 1.75;
};

// The homes of all upstreams under one view and one configuration. Immutable
// after construction and safe to share between threads as shared_ptr<const>.
class Placement
{
public:
    // Hosts must be neither dead nor listed twice; the order of both lists does not matter.
    Placement(std::vector<PlacementHost> hosts, const std::vector<PlacementUpstream> &upstreams, PlacementOptions options = {});

    // The home of the upstream, nothing when there is no host at all. Upstreams
    // that are not in the list are placed by rendezvous hashing without a bound.
    std::optional<std::string> homeOf(std::string_view upstreamName, std::string_view zone) const;
    // Listed upstreams whose home is this host, sorted by name.
    std::vector<std::string> upstreamsOf(std::string_view hostName) const;

private:
    void assign(const std::vector<PlacementUpstream> &upstreams, const PlacementOptions &options);
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

// The score of a host for an upstream; the host with the highest score is first
// choice. Fixed for all time: hosts of different builds have to agree.
std::uint64_t rendezvousScore(std::uint64_t hostKey, std::uint64_t upstreamKey);

// The stable key of a name.
std::uint64_t placementKey(std::string_view name);

} // namespace egrettide
