// Which of several upstreams at one address runs there now.

#include "egrettide/core/upstreamsuccession.h"

#include <algorithm>
#include <set>

namespace egrettide
{

namespace
{

// A process that was seen before so many others at its address has been gone for long: a
// registration lapses within seconds.
constexpr std::size_t sightingsKept = 8;
// Addresses without an upstream are forgotten once there are more than this of them.
constexpr std::size_t idleAddressesKept = 1024;

} // namespace

std::vector<SupersededUpstream> UpstreamSuccession::settle(Configuration &configuration)
{
    // The heartbeats settle the order of those that are seen first in this call.
    std::vector<const UpstreamSpec *> all;
    for (const DatabaseSpec &database : configuration.databases) {
        for (const UpstreamSpec &upstream : database.upstreams) {
            all.push_back(&upstream);
        }
    }
    std::ranges::stable_sort(all, std::greater<>(), &UpstreamSpec::heartbeats);
    std::map<std::string, const UpstreamSpec *> latest;
    for (const UpstreamSpec *const upstream : all) {
        note(*upstream);
        const UpstreamSpec *&known = latest[upstream->address];
        if (known == nullptr || isLater(*upstream, *known)) {
            known = upstream;
        }
    }
    std::map<std::string, std::string> successors;
    for (const UpstreamSpec *const upstream : all) {
        const UpstreamSpec *const standing = latest.at(upstream->address);
        if (standing != upstream) {
            successors.emplace(upstream->name, standing->name);
        }
    }
    std::vector<SupersededUpstream> fresh;
    for (DatabaseSpec &database : configuration.databases) {
        std::erase_if(database.upstreams, [&](const UpstreamSpec &upstream) {
            const auto successor = successors.find(upstream.name);
            if (successor == successors.end()) {
                return false;
            }
            if (!m_superseded.contains(upstream.name)) {
                fresh.push_back({upstream.name, upstream.address, successor->second});
            }
            return true;
        });
    }
    m_superseded = std::move(successors);
    forgetOldAddresses(configuration);
    return fresh;
}

void UpstreamSuccession::note(const UpstreamSpec &upstream)
{
    Sightings &sightings = m_sightings[upstream.address];
    if (std::ranges::find(sightings, upstream.name) != sightings.end()) {
        return;
    }
    sightings.push_back(upstream.name);
    if (sightings.size() > sightingsKept) {
        sightings.pop_front();
    }
}

bool UpstreamSuccession::isLater(const UpstreamSpec &one, const UpstreamSpec &other) const
{
    if (one.startedAt && other.startedAt && *one.startedAt != *other.startedAt) {
        return *one.startedAt > *other.startedAt;
    }
    return seenAs(one) > seenAs(other);
}

std::size_t UpstreamSuccession::seenAs(const UpstreamSpec &upstream) const
{
    const Sightings &sightings = m_sightings.at(upstream.address);
    return static_cast<std::size_t>(std::ranges::find(sightings, upstream.name) - sightings.begin());
}

void UpstreamSuccession::forgetOldAddresses(const Configuration &configuration)
{
    std::set<std::string> used;
    for (const DatabaseSpec &database : configuration.databases) {
        for (const UpstreamSpec &upstream : database.upstreams) {
            used.insert(upstream.address);
        }
    }
    if (m_sightings.size() > used.size() + idleAddressesKept) {
        std::erase_if(m_sightings, [&used](const auto &entry) { return !used.contains(entry.first); });
    }
}

} // namespace egrettide
