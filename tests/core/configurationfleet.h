// A fleet of hosts that learn configurations and send reads under them, over a
// seeded schedule of faults: real Membership, Placement, ConfigurationState and
// Router; a fake store; and the rules by which ConfigurationKeeper asks, offers,
// pulls and pushes and by which UpstreamHome refuses, written down once more,
// because those parts do their own I/O. What it proves of the rules is proven of
// that copy: src/runtime/configurationkeeper.cpp and UpstreamHome::refusalOf have to
// stay the same. One rule, serveIfKnown, is not in the product yet.
//
// Checked at every step: no process goes back to a lower version; an upstream that
// is leaving starts no new work once its bound has passed. Checked once the faults
// are over: every host has the newest version.

#pragma once

#include "egrettide/core/configurationstate.h"
#include "egrettide/core/placement.h"
#include "egrettide/core/router.h"
#include "tests/core/gossipfleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egrettide::testing
{

// Switches that take one mechanism out, and the naive version.
struct ConfigurationFleetFaults {
    // Takes what came last in place of what is newest.
    bool acceptLower = false;
    // Neither offers nor heartbeats tell of versions: the store alone does.
    bool silentPeers = false;
    // Fronts do not look at the configuration's leaving flags, nor at hints'.
    bool frontsIgnoreLeaving = false;
    // Homes take new work for a leaving upstream.
    bool homesIgnoreLeaving = false;
    // A fresh host serves by the first value that it reads. ConfigurationKeeper does
    // so today; see docs/PROOFS.md.
    bool servesUnheard = false;
    // Every host reads the store now and then and takes what it reads.
    bool naive = false;
};

// How often the schedule reached what it is about.
struct ConfigurationFleetCounts {
    std::size_t accepted = 0;
    std::size_t staleReads = 0;
    std::size_t staleOffers = 0;
    std::size_t learnedFromPeers = 0;
    std::size_t replaced = 0;
    std::size_t paused = 0;
    std::size_t cuts = 0;
    std::size_t outages = 0;
    std::size_t readsAtLeaving = 0;
    std::size_t refusedByHome = 0;
    std::size_t reads = 0;
    milliseconds slowestSpread{0};

    void add(const ConfigurationFleetCounts &other)
    {
        accepted += other.accepted;
        staleReads += other.staleReads;
        staleOffers += other.staleOffers;
        learnedFromPeers += other.learnedFromPeers;
        replaced += other.replaced;
        paused += other.paused;
        cuts += other.cuts;
        outages += other.outages;
        readsAtLeaving += other.readsAtLeaving;
        refusedByHome += other.refusedByHome;
        reads += other.reads;
        slowestSpread = std::max(slowestSpread, other.slowestSpread);
    }
};

class ConfigurationFleet
{
public:
    // "Within seconds": 510 hosts have 6 s; these few hosts get no more.
    static constexpr std::chrono::seconds bound{6};

    ConfigurationFleet(std::uint64_t seed, ConfigurationFleetFaults faults)
        : m_faults(faults), m_random(seed * 0x9E3779B97F4A7C15ULL + 1), m_fleet(seed)
    {
        m_fleet.onReceive = [this](const std::string &to, const GossipMessage &message) {
            if (!m_faults.silentPeers) {
                heardOf(to, message.from, message.catalogVersion.intent);
            }
        };
        for (int i = 0; i < hostCount; ++i) {
            startHost(i);
        }
    }

    // Runs the schedule and gives the first violation, empty when there is none.
    std::string run()
    {
        apply(false);
        m_fleet.runFor(std::chrono::seconds{4});
        faultyTime();
        heal();
        expectNewestEverywhere("after the faults were healed");
        leavingUnderACut();
        return m_violation;
    }

    const ConfigurationFleetCounts &counts() const
    {
        return m_counts;
    }

private:
    static constexpr int hostCount = 8;
    static constexpr int zoneCount = 4;
    // How long a fresh host waits for a peer that knows more than the store told.
    static constexpr std::chrono::seconds hearsPeersFor{2};
    static constexpr const char *watchKey = "watch";
    static constexpr const char *leavingUpstream = "b";

    struct Host {
        std::unique_ptr<ConfigurationState> state;
        std::unique_ptr<Router> router;
        TimePoint pullBefore;
        TimePoint startedAt;
        std::string zone;
        bool heardPeer = false;
        // Whether its file is in force or still waits for a peer's word.
        bool serves = false;
    };

    static std::string nameOf(int i)
    {
        return GossipFleet::nameOf(i);
    }

    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    milliseconds upTo(int most)
    {
        return milliseconds{below(static_cast<std::uint64_t>(most) + 1)};
    }

    // ---- Hosts

    void startHost(int i)
    {
        const std::string name = nameOf(i);
        std::vector<HostSeed> seeds;
        for (int other = 0; other < hostCount; ++other) {
            seeds.push_back(HostSeed{nameOf(other), GossipFleet::zoneOf(other, zoneCount), GossipFleet::addressOf(other)});
        }
        Host host;
        host.zone = GossipFleet::zoneOf(i, zoneCount);
        host.startedAt = m_fleet.now();
        host.state = std::make_unique<ConfigurationState>(ConfigurationState::Mutation{m_faults.acceptLower || m_faults.naive});
        RouterOptions options;
        options.zone = host.zone;
        host.router = std::make_unique<Router>(options);
        m_hosts[name] = std::move(host);
        m_fleet.start(name, GossipFleet::zoneOf(i, zoneCount), i, ++m_incarnation, seeds);
        m_fleet.after(name, upTo(200), [this, name] { look(name); });
        m_fleet.after(name, hearsPeersFor, [this, name] { serveIfKnown(name); });
        m_fleet.after(name, upTo(100), [this, name] { read(name); });
    }

    void replaceHost(int i)
    {
        if (m_fleet.isRunning(nameOf(i))) {
            m_fleet.crash(nameOf(i));
        }
        startHost(i);
        ++m_counts.replaced;
    }

    bool reachesStore(const std::string &name) const
    {
        return !m_storeOut && !m_cutFromStore.contains(m_hosts.at(name).zone);
    }

    Placement placementOf(const std::string &name)
    {
        const auto view = m_fleet.host(name).view();
        const auto newest = newestConfiguration();
        std::vector<PlacementUpstream> upstreams;
        for (const UpstreamSpec &upstream : newest.databases.front().upstreams) {
            upstreams.push_back({upstream.name, upstream.zone});
        }
        return Placement(view->placementHosts(), upstreams);
    }

    bool isWatcher(const std::string &name)
    {
        return placementOf(name).homeOf(watchKey, m_hosts.at(name).zone) == name;
    }

    // ---- The keeper's rules

    void look(const std::string &name)
    {
        const Host &host = m_hosts.at(name);
        const bool watches = isWatcher(name);
        const bool asks = watches || host.state->version() == 0 || host.state->isBehind();
        if (m_faults.naive || asks) {
            askStore(name, watches);
        }
        const milliseconds pause = m_faults.naive ? milliseconds{2000} : milliseconds{watches ? 100 : 500};
        m_fleet.after(name, pause, [this, name] { look(name); });
    }

    void askStore(const std::string &name, bool watches)
    {
        if (!reachesStore(name) || below(20) == 0) {
            return;
        }
        // A watch waits for a version above the one held; a read may be answered
        // from a state that the store had some versions ago.
        std::uint64_t version = m_version;
        if (!watches && m_version > 1 && below(3) == 0) {
            version -= 1 + below(std::min<std::uint64_t>(3, m_version - 1));
            ++m_counts.staleReads;
        }
        m_fleet.after(name, milliseconds{2} + upTo(below(10) == 0 ? 800 : 20), [this, name, version] { take(name, version); });
    }

    void take(const std::string &name, std::uint64_t version)
    {
        Host &host = m_hosts.at(name);
        const std::uint64_t before = host.state->version();
        const OfferResult result = host.state->offer(m_files.at(version));
        m_counts.staleOffers += result == OfferResult::Stale ? 1 : 0;
        if (host.state->version() < before) {
            fail(absl::StrCat(name, " went back from version ", before, " to ", host.state->version()));
        }
        if (result != OfferResult::Accepted) {
            return;
        }
        serveIfKnown(name);
        m_fleet.host(name).setCatalogVersion({version, 0});
        spread(name);
    }

    // What goes wrong without the wait: a host is replaced and reads an old value, by
    // which an upstream is not leaving; as its home it lets work in until a peer
    // tells it of the newer file.
    void serveIfKnown(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        const bool waited = m_fleet.now() >= host.startedAt + hearsPeersFor;
        const bool known = host.heardPeer && !host.state->isBehind();
        host.serves = host.serves || known || waited || m_faults.servesUnheard;
        if (host.serves && host.state->current()) {
            host.router->configure(seenByFront(*host.state->current()));
        }
    }

    void spread(const std::string &name)
    {
        if (m_faults.silentPeers || m_faults.naive) {
            return;
        }
        std::vector<std::string> others;
        for (const PlacementHost &other : m_fleet.host(name).view()->placementHosts()) {
            if (other.name != name) {
                others.push_back(other.name);
            }
        }
        const std::uint64_t version = m_hosts.at(name).state->version();
        for (const std::string &other : others) {
            send(name, other, [this, name, other, version] { heardOf(other, name, version); });
        }
    }

    void heardOf(const std::string &name, const std::string &from, std::uint64_t version)
    {
        Host &host = m_hosts.at(name);
        host.state->heardOf(version);
        host.heardPeer = true;
        if (!host.serves) {
            serveIfKnown(name);
        }
        if (m_faults.naive || version <= host.state->version() || m_fleet.now() < host.pullBefore) {
            return;
        }
        host.pullBefore = m_fleet.now() + std::chrono::seconds{1};
        const std::uint64_t mine = host.state->version();
        send(name, from, [this, name, from, mine] { pulled(from, name, mine); });
    }

    void pulled(const std::string &name, const std::string &by, std::uint64_t theirs)
    {
        const std::uint64_t version = m_hosts.at(name).state->version();
        if (version <= theirs) {
            return;
        }
        send(name, by, [this, by, version] {
            m_hosts.at(by).pullBefore = TimePoint{};
            m_counts.learnedFromPeers += version > m_hosts.at(by).state->version() ? 1 : 0;
            take(by, version);
        });
    }

    // Delayed at random, so that messages overtake each other, and now and then doubled.
    void send(const std::string &from, const std::string &to, const std::function<void()> &action)
    {
        for (std::uint64_t copies = below(10) == 0 ? 2 : 1; copies > 0; --copies) {
            m_fleet.transmit(from, to, upTo(below(8) == 0 ? 1500 : 10), action);
        }
    }

    // ---- Reads under the configuration

    Configuration seenByFront(Configuration configuration) const
    {
        for (UpstreamSpec &upstream : configuration.databases.front().upstreams) {
            upstream.leaving = upstream.leaving && !m_faults.frontsIgnoreLeaving;
        }
        return configuration;
    }

    void read(const std::string &name)
    {
        m_fleet.after(name, milliseconds{100}, [this, name] { read(name); });
        auto work = std::make_shared<Work>();
        work->front = name;
        work->request.database = "booking";
        work->request.kind = StatementKind::Read;
        work->request.deadline = m_fleet.now() + milliseconds{1000};
        const auto route = m_hosts.at(name).router->choose(work->request, work->attempts, m_fleet.now(), m_random);
        if (route) {
            ++m_counts.reads;
            sendRead(work, route->upstream);
        }
    }

    struct Work {
        std::string front;
        StatementRequest request;
        RouteAttempts attempts;
    };

    void sendRead(const std::shared_ptr<Work> &work, const std::string &upstream)
    {
        const UpstreamSpec *spec = newestConfiguration().databases.front().upstream(upstream);
        const auto home = placementOf(work->front).homeOf(upstream, spec->zone);
        if (home) {
            m_fleet.transmit(work->front, *home, upTo(5), [this, work, upstream, home] { atHome(work, upstream, *home); });
        }
    }

    // UpstreamHome::refusalOf, for a read outside a transaction.
    void atHome(const std::shared_ptr<Work> &work, const std::string &upstream, const std::string &home)
    {
        StatementReply reply;
        const Host &host = m_hosts.at(home);
        const auto held = host.serves ? host.state->current() : nullptr;
        reply.hint = hintOf(held);
        const UpstreamSpec *spec = held ? held->databases.front().upstream(upstream) : nullptr;
        const bool leaving = spec == nullptr || spec->leaving;
        const bool primary = upstream == reply.hint.primary;
        if (leaving && !primary && !m_faults.homesIgnoreLeaving) {
            ++m_counts.refusedByHome;
            reply.error = Error{ErrorKind::Leaving, "The upstream is leaving; use another one.", milliseconds{20}};
        } else {
            started(upstream);
        }
        m_fleet.transmit(home, work->front, upTo(5), [this, work, reply] { answered(work, reply); });
    }

    void answered(const std::shared_ptr<Work> &work, const StatementReply &reply)
    {
        Router &router = *m_hosts.at(work->front).router;
        const auto next = router.afterReply(work->request, reply, work->attempts, m_fleet.now(), m_random);
        if (const auto *route = std::get_if<Route>(&next)) {
            sendRead(work, route->upstream);
        }
    }

    GroupHint hintOf(const std::shared_ptr<const Configuration> &held) const
    {
        GroupHint hint{"booking", 1, "a", {}};
        for (const UpstreamSpec &upstream : newestConfiguration().databases.front().upstreams) {
            const UpstreamSpec *spec = held ? held->databases.front().upstream(upstream.name) : nullptr;
            const bool leaving = spec != nullptr && spec->leaving && !m_faults.frontsIgnoreLeaving;
            hint.members.push_back(MemberHint{upstream.name, {1, 1}, milliseconds{0}, milliseconds{0}, true, leaving});
        }
        return hint;
    }

    // New work reaches an upstream.
    void started(const std::string &upstream)
    {
        if (upstream != leavingUpstream || !newestConfiguration().databases.front().upstream(upstream)->leaving) {
            return;
        }
        ++m_counts.readsAtLeaving;
        if (m_fleet.now() > m_noWorkAfter) {
            fail(absl::StrCat("the leaving upstream ", upstream, " got new work ",
                              std::chrono::duration_cast<milliseconds>(m_fleet.now() - m_appliedAt).count(),
                              " ms after the file was accepted"));
        }
    }

    // ---- The store and the schedule

    const Configuration &newestConfiguration() const
    {
        return m_files.at(m_version);
    }

    void apply(bool leaving)
    {
        Configuration file;
        file.version = ++m_version;
        file.applyId = absl::StrCat("id", m_version);
        DatabaseSpec database;
        database.name = "booking";
        database.upstreams = {{"a", "127.0.0.1:1", "zone-0", 5, 30, false},
                              {"b", "127.0.0.1:2", "zone-1", 5, 30, leaving},
                              {"c", "127.0.0.1:3", "zone-2", 5, 30, false}};
        file.databases = {database};
        m_files[m_version] = std::move(file);
        m_appliedAt = m_fleet.now();
        ++m_counts.accepted;
    }

    void faultyTime()
    {
        for (int step = 0; step < 24 && m_violation.empty(); ++step) {
            oneFault();
            m_fleet.runFor(milliseconds{100} + upTo(500));
        }
    }

    void oneFault()
    {
        const int chosen = static_cast<int>(below(hostCount));
        switch (below(8)) {
        case 0:
        case 1:
            if (!m_storeOut) {
                apply(below(2) == 0);
            }
            break;
        case 2:
            cutOneZone();
            break;
        case 3:
            m_storeOut = !m_storeOut;
            m_counts.outages += m_storeOut ? 1 : 0;
            break;
        case 4:
        case 5:
            m_paused.erase(nameOf(chosen));
            replaceHost(chosen);
            break;
        case 6:
            pauseOrResume(nameOf(chosen));
            break;
        default:
            m_fleet.loss = below(2) == 0 ? 0.0 : 0.15;
            break;
        }
    }

    // From other zones, from the store, or from both; or heals both.
    void cutOneZone()
    {
        const std::string zone = GossipFleet::zoneOf(static_cast<int>(below(zoneCount)), zoneCount);
        const std::uint64_t what = below(4);
        m_fleet.cut((what & 1U) != 0 ? std::set<std::string>{zone} : std::set<std::string>{});
        m_cutFromStore = (what & 2U) != 0 ? std::set<std::string>{zone} : std::set<std::string>{};
        m_counts.cuts += what == 0 ? 0 : 1;
    }

    void pauseOrResume(const std::string &name)
    {
        if (m_paused.erase(name) != 0) {
            m_fleet.resume(name);
            return;
        }
        m_fleet.pause(name);
        m_paused.insert(name);
        ++m_counts.paused;
    }

    // The store stays as it is: in half of the schedules it is still out.
    void heal()
    {
        m_fleet.cut({});
        m_cutFromStore.clear();
        m_fleet.loss = 0;
        for (const std::string &name : std::exchange(m_paused, {})) {
            m_fleet.resume(name);
        }
    }

    // The newest version that can still be learned: the store's, or while that is
    // out the highest that any host holds.
    std::uint64_t newestWithinReach() const
    {
        std::uint64_t newest = m_storeOut ? 0 : m_version;
        for (const auto &[name, host] : m_hosts) {
            newest = std::max(newest, host.state->version());
        }
        return newest;
    }

    void expectNewestEverywhere(const std::string &when)
    {
        const std::uint64_t newest = newestWithinReach();
        std::string behind;
        const auto all = [&] {
            behind.clear();
            for (const auto &[name, host] : m_hosts) {
                if (host.state->version() < newest) {
                    absl::StrAppend(&behind, " ", name, ":", host.state->version());
                }
            }
            return behind.empty();
        };
        const auto took = m_fleet.runUntil(bound, all);
        if (!took) {
            fail(absl::StrCat("version ", newest, " is not in force everywhere ", bound.count(), " s ", when, ":", behind));
            return;
        }
        m_counts.slowestSpread = std::max(m_counts.slowestSpread, *took);
    }

    // An upstream leaves while its zone, and with it the zone's hosts, is cut off
    // from the store or while others are; peers have to tell them.
    void leavingUnderACut()
    {
        if (!m_violation.empty()) {
            return;
        }
        m_storeOut = false;
        if (m_version > 0 && newestConfiguration().databases.front().upstream(leavingUpstream)->leaving) {
            apply(false);
        }
        expectNewestEverywhere("after the store returned");
        m_cutFromStore = {"zone-1", GossipFleet::zoneOf(static_cast<int>(below(zoneCount)), zoneCount)};
        m_fleet.runFor(milliseconds{500});
        apply(true);
        m_noWorkAfter = m_fleet.now() + bound;
        m_fleet.runFor(bound + std::chrono::seconds{1});
        replaceHost(1); // a host of the leaving upstream's zone, which has to learn it from peers
        m_fleet.runFor(std::chrono::seconds{2});
        m_cutFromStore.clear();
        expectNewestEverywhere("after the cut from the store ended");
        freshHostsOfTheZone();
    }

    // Hosts of the leaving upstream's zone are replaced; some read an old value, by
    // which the upstream is not leaving.
    void freshHostsOfTheZone()
    {
        for (int round = 0; round < 4; ++round) {
            replaceHost(round % 2 == 0 ? 1 : 5);
            m_fleet.runFor(milliseconds{1500});
        }
        expectNewestEverywhere("after hosts were replaced");
    }

    void fail(const std::string &what)
    {
        if (m_violation.empty()) {
            m_violation = what;
        }
    }

    const ConfigurationFleetFaults m_faults;
    std::mt19937_64 m_random;
    GossipFleet m_fleet;
    std::uint64_t m_incarnation = 1000;
    std::map<std::string, Host> m_hosts;
    // What the store accepted, by version; versions only rise.
    std::map<std::uint64_t, Configuration> m_files;
    std::uint64_t m_version = 0;
    TimePoint m_appliedAt;
    TimePoint m_noWorkAfter = TimePoint::max();
    bool m_storeOut = false;
    std::set<std::string> m_cutFromStore;
    std::set<std::string> m_paused;
    ConfigurationFleetCounts m_counts;
    std::string m_violation;
};

} // namespace egrettide::testing
