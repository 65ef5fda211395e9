// Determines which of several upstreams registered at one address is the process that
// currently runs there, and removes the others.

#pragma once

#include "egrettide/core/configuration.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

namespace egrettide
{

// An upstream whose address a later process, `successor`, has taken over.
struct SupersededUpstream {
    std::string name;
    std::string address;
    std::string successor;
};

// If an upstream crashes and another process starts at its address, the registration of
// the crashed one stays until it lapses, and one that was delayed by a network partition
// may reappear even later. If it counted as a member of its group, promotions could not
// reach a majority and a leaving primary would stay primary: with three restarted members
// and five stale registrations among eight, requests reached such a primary 16 ms to 1.1 s
// after the time by which it had to be out of service.
//
// Keeps the order in which upstreams were first seen at each address; memory is bounded.
class UpstreamSuccession
{
public:
    // Removes every upstream from `configuration` whose address a later process has taken
    // over. The later process is the one with the later start time, if both registrations
    // state one; otherwise the one that was first seen later; for two that were first seen in
    // the same call, the one with fewer heartbeats. Returns the upstreams that the previous
    // call had not removed.
    std::vector<SupersededUpstream> removeSuperseded(Configuration &configuration);

private:
    // Names of upstreams, in the order in which they were first seen.
    using Names = std::vector<std::string>;

    void recordFirstSeen(const UpstreamSpec &upstream);
    bool isLater(const UpstreamSpec &one, const UpstreamSpec &other) const;
    std::size_t firstSeenIndex(const UpstreamSpec &upstream) const;
    void removeIdleAddresses(const Configuration &configuration);

    // Keyed by address.
    absl::flat_hash_map<std::string, Names> m_namesByAddress;
    // The upstreams that the last call removed, with their successors.
    absl::flat_hash_map<std::string, std::string> m_superseded;
};

} // namespace egrettide
