// Which of several upstreams at one address is the process that runs there now.

#pragma once

#include "egrettide/core/configuration.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace egrettide
{

struct SupersededUpstream {
    std::string name;
    std::string address;
    std::string successor;
};

// What goes wrong without it: an upstream crashes and another process starts at its
// address, while the registration of the crashed one stands until it lapses; registrations
// that were held up behind a cut may even come back after that. The dead one counts as a
// member of its group, so a promotion waits for a majority that can't be had. It shows as
// a leaving primary that keeps its place: with three members started anew and five dead
// registrations among eight, requests reached it 16 ms to 1.1 s after its last moment.
//
// Keeps the order in which upstreams were first seen at each address; bounded.
class UpstreamSuccession
{
public:
    // Takes every upstream out of `configuration` whose address a later process has taken
    // over. The later one is the one that started later, where both tell their start; else
    // the one that was first seen later; else, of two that were first seen together, the
    // one with fewer heartbeats. Returns those that were not out already.
    std::vector<SupersededUpstream> settle(Configuration &configuration);

private:
    // First seen first.
    using Sightings = std::deque<std::string>;

    void note(const UpstreamSpec &upstream);
    bool isLater(const UpstreamSpec &one, const UpstreamSpec &other) const;
    std::size_t seenAs(const UpstreamSpec &upstream) const;
    void forgetOldAddresses(const Configuration &configuration);

    // By address.
    std::map<std::string, Sightings> m_sightings;
    // Out since an earlier call.
    std::map<std::string, std::string> m_superseded;
};

} // namespace egrettide
