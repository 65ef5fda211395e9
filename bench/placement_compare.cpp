// Compares schemes that assign upstreams to their homes: rendezvous hashing without and with
// a load bound, and the hash ring with virtual nodes and the partition table of "Partition
// Ring vs. Hash Ring", the table updated incrementally or rebuilt. Measures the spread over
// the hosts, the upstreams that move when a host leaves or returns, time and memory.
// Run: build/release/placement-compare

#include "egrettide/core/placement.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

struct Fleet {
    std::vector<PlacementHost> hosts;
    std::vector<PlacementUpstream> upstreams;
};

using Homes = std::vector<std::string>;

// One scheme that assigns homes. build() is called after every change of the hosts and may
// keep state between calls; lookup() returns the home of one upstream.
class Scheme
{
public:
    virtual ~Scheme() = default;
    virtual std::string name() const = 0;
    virtual void build(const Fleet &fleet) = 0;
    virtual std::string lookup(const PlacementUpstream &upstream) const = 0;
    virtual std::size_t memoryBytes() const = 0;
    // True if the homes depend on earlier builds, so that a host that has just started and
    // knows only the current view may compute others.
    virtual bool needsHistory() const = 0;
};

class Rendezvous : public Scheme
{
public:
    explicit Rendezvous(double loadFactor) : m_loadFactor(loadFactor)
    {
    }

    std::string name() const override
    {
        char text[64];
        std::snprintf(text, sizeof text, m_loadFactor <= 0 ? "rendezvous" : "rendezvous, bound %.2f", m_loadFactor);
        return text;
    }

    void build(const Fleet &fleet) override
    {
        m_placement = std::make_unique<Placement>(fleet.hosts, fleet.upstreams, PlacementOptions{m_loadFactor});
        m_memory = fleet.hosts.size() * (sizeof(PlacementHost) + 8) + fleet.upstreams.size() * (sizeof(std::string) + 8 + 1);
    }

    std::string lookup(const PlacementUpstream &upstream) const override
    {
        return *m_placement->homeOf(upstream.name, upstream.zone);
    }

    std::size_t memoryBytes() const override
    {
        return m_memory;
    }

    bool needsHistory() const override
    {
        return false;
    }

private:
    double m_loadFactor;
    std::size_t m_memory = 0;
    std::unique_ptr<Placement> m_placement;
};

// Consistent hashing on a ring per zone: the sorted hashes of each host's virtual nodes. An
// upstream's home owns the first virtual node at or after the upstream's hash, or else the first
// of the ring.
class HashRing : public Scheme
{
public:
    static constexpr int virtualNodes = 100;

    std::string name() const override
    {
        return "hash ring, 100 virtual nodes";
    }

    void build(const Fleet &fleet) override
    {
        m_rings.clear();
        for (const PlacementHost &host : fleet.hosts) {
            for (int i = 0; i < virtualNodes; ++i) {
                m_rings[host.zone].emplace_back(placementKey(host.name + "#" + std::to_string(i)), host.name);
            }
        }
        for (auto &[zone, ring] : m_rings) {
            std::sort(ring.begin(), ring.end());
        }
    }

    std::string lookup(const PlacementUpstream &upstream) const override
    {
        const auto &ring = m_rings.at(upstream.zone);
        const auto key = placementKey(upstream.name);
        const auto found = std::lower_bound(ring.begin(), ring.end(), std::pair<std::uint64_t, std::string>(key, ""));
        return found == ring.end() ? ring.front().second : found->second;
    }

    std::size_t memoryBytes() const override
    {
        std::size_t nodes = 0;
        for (const auto &[zone, ring] : m_rings) {
            nodes += ring.size();
        }
        // Assumes a compact entry: a 64-bit hash and a 32-bit host index.
        return nodes * (8 + 4);
    }

    bool needsHistory() const override
    {
        return false;
    }

private:
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> m_rings;
};

// A table per zone from hash partitions to hosts. With history, partitions move only from a
// leaving host or to a joining host; without, every build assigns them round-robin to the
// sorted hosts.
class PartitionTable : public Scheme
{
public:
    PartitionTable(bool keepsHistory, std::size_t partitionsPerHost)
        : m_keepsHistory(keepsHistory), m_partitionsPerHost(partitionsPerHost)
    {
    }

    std::string name() const override
    {
        return std::string("partition table, ") + (m_keepsHistory ? "incremental" : "rebuilt") + ", "
            + std::to_string(m_partitionsPerHost) + "/host";
    }

    void build(const Fleet &fleet) override
    {
        std::map<std::string, std::vector<std::string>> byZone;
        for (const PlacementHost &host : fleet.hosts) {
            byZone[host.zone].push_back(host.name);
        }
        for (auto &[zone, hosts] : byZone) {
            std::sort(hosts.begin(), hosts.end());
            std::vector<std::string> &table = m_tables[zone];
            if (table.empty()) {
                std::size_t size = 1;
                while (size < hosts.size() * m_partitionsPerHost) {
                    size *= 2;
                }
                table.resize(size);
            }
            if (m_keepsHistory) {
                rebalance(table, hosts);
            } else {
                for (std::size_t i = 0; i < table.size(); ++i) {
                    table[i] = hosts[i % hosts.size()];
                }
            }
        }
    }

    std::string lookup(const PlacementUpstream &upstream) const override
    {
        const auto &table = m_tables.at(upstream.zone);
        return table[placementKey(upstream.name) & (table.size() - 1)];
    }

    std::size_t memoryBytes() const override
    {
        std::size_t partitions = 0;
        for (const auto &[zone, table] : m_tables) {
            partitions += table.size();
        }
        // Assumes a 16-bit host index per partition.
        return partitions * 2;
    }

    bool needsHistory() const override
    {
        return m_keepsHistory;
    }

private:
    static void rebalance(std::vector<std::string> &table, const std::vector<std::string> &hosts)
    {
        std::map<std::string, std::size_t> loads;
        for (const std::string &host : hosts) {
            loads[host] = 0;
        }
        for (std::string &owner : table) {
            const auto found = loads.find(owner);
            if (found == loads.end()) {
                owner.clear();
            } else {
                ++found->second;
            }
        }
        const auto leastLoaded = [&loads] {
            return std::min_element(loads.begin(), loads.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        };
        for (std::string &owner : table) {
            if (owner.empty()) {
                const auto target = leastLoaded();
                owner = target->first;
                ++target->second;
            }
        }
        const std::size_t evenShare = (table.size() + hosts.size() - 1) / hosts.size();
        for (std::string &owner : table) {
            const auto target = leastLoaded();
            if (loads[owner] > evenShare || (loads[owner] > target->second + 1)) {
                --loads[owner];
                owner = target->first;
                ++target->second;
            }
        }
    }

    bool m_keepsHistory;
    std::size_t m_partitionsPerHost;
    std::map<std::string, std::vector<std::string>> m_tables;
};

Fleet makeFleet(std::size_t hosts, std::size_t upstreams, std::size_t zones)
{
    Fleet fleet;
    for (std::size_t i = 0; i < hosts; ++i) {
        fleet.hosts.push_back(PlacementHost{"host-" + std::to_string(i), "zone-" + std::to_string(i % zones), false});
    }
    for (std::size_t i = 0; i < upstreams; ++i) {
        fleet.upstreams.push_back(
            PlacementUpstream{"db" + std::to_string(i / 3) + "-" + std::to_string(i % 3), "zone-" + std::to_string(i % zones)});
    }
    return fleet;
}

Homes homesOf(const Scheme &scheme, const Fleet &fleet)
{
    Homes homes;
    for (const PlacementUpstream &upstream : fleet.upstreams) {
        homes.push_back(scheme.lookup(upstream));
    }
    return homes;
}

std::size_t countMoved(const Homes &before, const Homes &after)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
        count += before[i] != after[i] ? 1 : 0;
    }
    return count;
}

struct LoadSpread {
    double mean = 0;
    std::size_t maximum = 0;
    std::size_t idleHosts = 0;
    double standardDeviation = 0;
};

LoadSpread spreadOf(const Homes &homes, const Fleet &fleet)
{
    std::map<std::string, std::size_t> loads;
    for (const PlacementHost &host : fleet.hosts) {
        loads[host.name] = 0;
    }
    for (const std::string &home : homes) {
        ++loads[home];
    }
    LoadSpread spread;
    spread.mean = static_cast<double>(homes.size()) / static_cast<double>(loads.size());
    for (const auto &[host, load] : loads) {
        spread.maximum = std::max(spread.maximum, load);
        spread.idleHosts += load == 0 ? 1 : 0;
        spread.standardDeviation += (static_cast<double>(load) - spread.mean) * (static_cast<double>(load) - spread.mean);
    }
    spread.standardDeviation = std::sqrt(spread.standardDeviation / static_cast<double>(loads.size()));
    return spread;
}

double meanNanoseconds(std::size_t times, const std::function<void()> &work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < times; ++i) {
        work();
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
    return elapsed.count() / static_cast<double>(times);
}

// Mean numbers, over several hosts, of upstreams whose home changes when one host leaves and
// when it returns. `needless` excludes those whose home was that host.
struct Movement {
    double removed = 0;
    double needless = 0;
    double returned = 0;
};

Movement movementOf(Scheme &scheme, const Fleet &fleet)
{
    constexpr std::size_t maxTrials = 40;
    const std::size_t trials = std::min(maxTrials, fleet.hosts.size());
    Movement movement;
    for (std::size_t trial = 0; trial < trials; ++trial) {
        scheme.build(fleet);
        const Homes before = homesOf(scheme, fleet);
        Fleet remaining = fleet;
        const std::size_t removedIndex = trial * fleet.hosts.size() / trials;
        const auto homesOnRemoved = std::count(before.begin(), before.end(), fleet.hosts[removedIndex].name);
        remaining.hosts.erase(remaining.hosts.begin() + static_cast<std::ptrdiff_t>(removedIndex));
        scheme.build(remaining);
        const Homes afterRemoval = homesOf(scheme, fleet);
        scheme.build(fleet);
        const Homes afterReturn = homesOf(scheme, fleet);
        movement.removed += static_cast<double>(countMoved(before, afterRemoval));
        movement.needless += static_cast<double>(countMoved(before, afterRemoval)) - static_cast<double>(homesOnRemoved);
        movement.returned += static_cast<double>(countMoved(afterRemoval, afterReturn));
    }
    movement.removed /= static_cast<double>(trials);
    movement.needless /= static_cast<double>(trials);
    movement.returned /= static_cast<double>(trials);
    return movement;
}

void report(Scheme &scheme, const Fleet &fleet)
{
    scheme.build(fleet);
    const Homes homes = homesOf(scheme, fleet);
    const LoadSpread spread = spreadOf(homes, fleet);
    std::size_t next = 0;
    // Uses the results, so that the compiler does not remove the lookups.
    std::size_t totalLength = 0;
    const double lookupNanoseconds = meanNanoseconds(200000, [&] {
        totalLength += scheme.lookup(fleet.upstreams[next]).size();
        next = (next + 1) % fleet.upstreams.size();
    });
    const double buildNanoseconds = meanNanoseconds(20, [&] { scheme.build(fleet); });
    const Movement movement = movementOf(scheme, fleet);
    std::printf("%-38s %5.2f %4zu %5.2f %5zu %8.2f %9.2f %8.2f %8.0f %9.0f %8zu  %s\n", scheme.name().c_str(), spread.mean,
                spread.maximum, spread.standardDeviation, spread.idleHosts, movement.removed, movement.needless,
                movement.returned, lookupNanoseconds, buildNanoseconds / 1000, scheme.memoryBytes(),
                scheme.needsHistory() ? "yes" : "no");
    if (totalLength == 0) {
        std::printf("unreachable\n");
    }
}

void compare(std::size_t hosts, std::size_t upstreams, std::size_t zones)
{
    const Fleet fleet = makeFleet(hosts, upstreams, zones);
    std::printf("\n%zu hosts, %zu upstreams, %zu zones\n", hosts, upstreams, zones);
    std::printf("%-38s %5s %4s %5s %5s %8s %9s %8s %8s %9s %8s  %s\n", "scheme", "mean", "max", "sd", "idle", "moved -1",
                "needless", "moved +1", "look ns", "build us", "bytes", "history");
    std::vector<std::unique_ptr<Scheme>> schemes;
    schemes.push_back(std::make_unique<Rendezvous>(0));
    for (const double factor : {1.0, 1.25, 1.5, 1.75, 2.0}) {
        schemes.push_back(std::make_unique<Rendezvous>(factor));
    }
    schemes.push_back(std::make_unique<HashRing>());
    schemes.push_back(std::make_unique<PartitionTable>(true, 16));
    schemes.push_back(std::make_unique<PartitionTable>(true, 128));
    schemes.push_back(std::make_unique<PartitionTable>(false, 16));
    for (const auto &scheme : schemes) {
        report(*scheme, fleet);
    }
}

} // namespace

int main()
{
    compare(9, 9, 4);
    compare(510, 2040, 8);
    return 0;
}
