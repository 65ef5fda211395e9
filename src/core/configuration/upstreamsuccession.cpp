// Removal of upstreams whose address a later process has taken over.

#include "egrettide/core/upstreamsuccession.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <string_view>

namespace egrettide
{

namespace
{

// The number of names kept per address. Registrations lapse within seconds, so a process
// that was seen before this many others at its address has long been gone.
constexpr std::size_t maxNamesPerAddress = 8;
// Addresses without an upstream are removed once there are more than this number of them.
constexpr std::size_t maxIdleAddresses = 1024;

} // namespace

std::vector<SupersededUpstream> UpstreamSuccession::removeSuperseded(Configuration &configuration)
{
    // Heartbeats determine the order of upstreams that are first seen in this call.
    std::vector<const UpstreamSpec *> all;
    for (const DatabaseSpec &database : configuration.databases) {
        for (const UpstreamSpec &upstream : database.upstreams) {
            all.push_back(&upstream);
        }
    }
    std::ranges::stable_sort(all, std::greater<>(), &UpstreamSpec::heartbeats);
    absl::flat_hash_map<std::string_view, const UpstreamSpec *> latest;
    latest.reserve(all.size());
    for (const UpstreamSpec *const upstream : all) {
        recordFirstSeen(*upstream);
        const UpstreamSpec *&known = latest[upstream->address];
        if (known == nullptr || isLater(*upstream, *known)) {
            known = upstream;
        }
    }
    absl::flat_hash_map<std::string, std::string> successors;
    for (const UpstreamSpec *const upstream : all) {
        const UpstreamSpec *const current = latest.at(upstream->address);
        if (current != upstream) {
            successors.emplace(upstream->name, current->name);
        }
    }
    std::vector<SupersededUpstream> removed;
    if (successors.empty()) {
        m_superseded.clear();
        removeIdleAddresses(configuration);
        return removed;
    }
    for (DatabaseSpec &database : configuration.databases) {
        std::erase_if(database.upstreams, [&](const UpstreamSpec &upstream) {
            const auto successor = successors.find(upstream.name);
            if (successor == successors.end()) {
                return false;
            }
            if (!m_superseded.contains(upstream.name)) {
                removed.push_back({upstream.name, upstream.address, successor->second});
            }
            return true;
        });
    }
    m_superseded = std::move(successors);
    removeIdleAddresses(configuration);
    return removed;
}

void UpstreamSuccession::recordFirstSeen(const UpstreamSpec &upstream)
{
    Names &names = m_namesByAddress[upstream.address];
    if (std::ranges::find(names, upstream.name) != names.end()) {
        return;
    }
    names.push_back(upstream.name);
    if (names.size() > maxNamesPerAddress) {
        names.erase(names.begin());
    }
}

bool UpstreamSuccession::isLater(const UpstreamSpec &one, const UpstreamSpec &other) const
{
    if (one.startedAt && other.startedAt && *one.startedAt != *other.startedAt) {
        return *one.startedAt > *other.startedAt;
    }
    return firstSeenIndex(one) > firstSeenIndex(other);
}

std::size_t UpstreamSuccession::firstSeenIndex(const UpstreamSpec &upstream) const
{
    const Names &names = m_namesByAddress.at(upstream.address);
    return static_cast<std::size_t>(std::ranges::find(names, upstream.name) - names.begin());
}

void UpstreamSuccession::removeIdleAddresses(const Configuration &configuration)
{
    std::size_t upstreams = 0;
    for (const DatabaseSpec &database : configuration.databases) {
        upstreams += database.upstreams.size();
    }
    if (m_namesByAddress.size() <= upstreams + maxIdleAddresses) {
        return;
    }
    absl::flat_hash_set<std::string_view> used;
    for (const DatabaseSpec &database : configuration.databases) {
        for (const UpstreamSpec &upstream : database.upstreams) {
            used.insert(upstream.address);
        }
    }
    absl::erase_if(m_namesByAddress, [&used](const auto &entry) { return !used.contains(entry.first); });
}

} // namespace egrettide
