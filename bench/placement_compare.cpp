// Compares ways to choose homes: rendezvous hashing without and with a bound,
// a hash ring with virtual nodes, and the partition table of the paper, with
// history and without. Run: build/release/placement-compare

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

// One way to choose homes. `build` sees the fleet after every change of hosts
// and may keep state between calls; `lookup` answers for one upstream.
class Scheme
{
public:
    virtual ~Scheme() = default;
    virtual std::string name() const = 0;
    virtual void build(const Fleet &fleet) = 0;
    virtual std::string lookup(const PlacementUpstream &upstream) const = 0;
    virtual std::size_t memoryBytes() const = 0;
    // Whether a host that just started, knowing only the view, gets the same homes.
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

// The more common ring of the paper: sorted hashes of virtual nodes.
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
        // A hash and an index of a host, as a lean implementation would keep.
        return nodes * (8 + 4);
    }

    bool needsHistory() const override
    {
        return false;
    }

private:
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> m_rings;
};

// The paper's partition table, one per zone. With history, partitions move only
// from a host that goes or to a host that comes; without, the table is dealt
// anew from the sorted list of hosts.
class PartitionTable : public Scheme
{
public:
    PartitionTable(bool keepsHistory, std::size_t partitionsPerHost)
        : m_keepsHistory(keepsHistory), m_partitionsPerHost(partitionsPerHost)
    {
    }

    std::string name() const override
    {
        return std::string("partition table, ") + (m_keepsHistory ? "kept" : "dealt anew") + ", "
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
        const auto least = [&loads] {
            return std::min_element(loads.begin(), loads.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        };
        for (std::string &owner : table) {
            if (owner.empty()) {
                const auto to = least();
                owner = to->first;
                ++to->second;
            }
        }
        const std::size_t most = (table.size() + hosts.size() - 1) / hosts.size();
        for (std::string &owner : table) {
            const auto to = least();
            if (loads[owner] > most || (loads[owner] > to->second + 1)) {
                --loads[owner];
                owner = to->first;
                ++to->second;
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

std::size_t moved(const Homes &before, const Homes &after)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
        count += before[i] != after[i] ? 1 : 0;
    }
    return count;
}

struct Spread {
    double mean = 0;
    std::size_t most = 0;
    std::size_t idle = 0;
    double deviation = 0;
};

Spread spreadOf(const Homes &homes, const Fleet &fleet)
{
    std::map<std::string, std::size_t> loads;
    for (const PlacementHost &host : fleet.hosts) {
        loads[host.name] = 0;
    }
    for (const std::string &home : homes) {
        ++loads[home];
    }
    Spread spread;
    spread.mean = static_cast<double>(homes.size()) / static_cast<double>(loads.size());
    for (const auto &[host, load] : loads) {
        spread.most = std::max(spread.most, load);
        spread.idle += load == 0 ? 1 : 0;
        spread.deviation += (static_cast<double>(load) - spread.mean) * (static_cast<double>(load) - spread.mean);
    }
    spread.deviation = std::sqrt(spread.deviation / static_cast<double>(loads.size()));
    return spread;
}

double nanosecondsEach(std::size_t times, const std::function<void()> &work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < times; ++i) {
        work();
    }
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / static_cast<double>(times);
}

// Upstreams whose home changes when one host goes, and when it comes back, as
// means over several hosts. `needless` leaves out those that were on that host.
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
        Fleet smaller = fleet;
        const std::size_t gone = trial * fleet.hosts.size() / trials;
        const auto own = std::count(before.begin(), before.end(), fleet.hosts[gone].name);
        smaller.hosts.erase(smaller.hosts.begin() + static_cast<std::ptrdiff_t>(gone));
        scheme.build(smaller);
        const Homes without = homesOf(scheme, fleet);
        scheme.build(fleet);
        const Homes again = homesOf(scheme, fleet);
        movement.removed += static_cast<double>(moved(before, without));
        movement.needless += static_cast<double>(moved(before, without)) - static_cast<double>(own);
        movement.returned += static_cast<double>(moved(without, again));
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
    const Spread spread = spreadOf(homes, fleet);
    std::size_t next = 0;
    std::size_t sink = 0;
    const double lookup = nanosecondsEach(200000, [&] {
        sink += scheme.lookup(fleet.upstreams[next]).size();
        next = (next + 1) % fleet.upstreams.size();
    });
    const double build = nanosecondsEach(20, [&] { scheme.build(fleet); });
    const Movement movement = movementOf(scheme, fleet);
    std::printf("%-38s %5.2f %4zu %5.2f %5zu %8.2f %9.2f %8.2f %8.0f %9.0f %8zu  %s\n", scheme.name().c_str(), spread.mean,
                spread.most, spread.deviation, spread.idle, movement.removed, movement.needless, movement.returned, lookup,
                build / 1000, scheme.memoryBytes(), scheme.needsHistory() ? "yes" : "no");
    if (sink == 0) {
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
