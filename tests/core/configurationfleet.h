// A simulated fleet of hosts that receive configurations and send reads, over a seeded
// schedule of faults. Membership, Placement, ConfigurationState and Router are the real
// classes; the store is a fake. ConfigurationKeeper and UpstreamHome do their own I/O, so
// the rules by which they request, offer, pull, push and refuse are reimplemented here and
// have to be kept in step with src/runtime/configuration/configurationkeeper.cpp and
// UpstreamHome::refusalOf. serveIfUpToDate() is the rule of ConfigurationKeeper::mayPutInForce(),
// except that it doesn't require that the host holds a configuration.
//
// Checked at every step: no process reverts to a lower version, and a leaving upstream gets
// no new work after the bound. Checked after the faults: all hosts have the newest version.

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

// Switches that disable single mechanisms, and one for the naive algorithm.
struct ConfigurationFleetFaults {
    // Hosts accept the last version received instead of the newest one.
    bool acceptLower = false;
    // Neither offers nor heartbeats report versions; only the store distributes them.
    bool peersReportNoVersions = false;
    // Fronts ignore the leaving flags of the configuration and of hints.
    bool frontsIgnoreLeaving = false;
    // Homes accept new work for a leaving upstream.
    bool homesIgnoreLeaving = false;
    // A new host serves with the first value that it reads. ConfigurationKeeper instead waits until
    // a peer has reported a version and none newer than its own is known, at most until 2 s after
    // its start; see docs/PROOFS.md.
    bool servesFirstRead = false;
    // Every host polls the store and accepts whatever version it reads.
    bool naive = false;
};

// Counts of the events that a schedule has to contain to be meaningful.
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
    // The time in which a configuration has to be in force at all hosts. It applies to fleets
    // of 510 hosts; the small fleet of this test has no more.
    static constexpr std::chrono::seconds bound{6};

    ConfigurationFleet(std::uint64_t seed, ConfigurationFleetFaults faults)
        : m_faults(faults), m_random(seed * 0x9E3779B97F4A7C15ULL + 1), m_fleet(seed)
    {
        m_fleet.onReceive = [this](const std::string &to, const GossipMessage &message) {
            if (!m_faults.peersReportNoVersions) {
                onVersionReported(to, message.from, message.catalogVersion.intent);
            }
        };
        for (int i = 0; i < hostCount; ++i) {
            startHost(i);
        }
    }

    // Runs the schedule and returns the first violation, or an empty string.
    std::string run()
    {
        acceptFile(false);
        m_fleet.runFor(std::chrono::seconds{4});
        runFaults();
        endFaults();
        expectNewestEverywhere("after the faults were healed");
        checkLeavingDuringCut();
        return m_violation;
    }

    const ConfigurationFleetCounts &counts() const
    {
        return m_counts;
    }

private:
    static constexpr int hostCount = 8;
    static constexpr int zoneCount = 4;
    // How long a new host waits for a peer that may report a newer version than the store.
    static constexpr std::chrono::seconds peerWait{2};
    static constexpr const char *watchKey = "watch";
    static constexpr const char *leavingUpstream = "b";

    struct Host {
        std::unique_ptr<ConfigurationState> state;
        std::unique_ptr<Router> router;
        TimePoint pullBefore;
        TimePoint startedAt;
        std::string zone;
        bool peerReported = false;
        // True once its configuration is in force; before that it waits for a peer's report.
        bool serves = false;
    };

    static std::string nameOf(int i)
    {
        return GossipFleet::nameOf(i);
    }

    std::uint64_t randomBelow(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    milliseconds randomDelay(int most)
    {
        return milliseconds{randomBelow(static_cast<std::uint64_t>(most) + 1)};
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
        m_fleet.after(name, randomDelay(200), [this, name] { pollStore(name); });
        m_fleet.after(name, peerWait, [this, name] { serveIfUpToDate(name); });
        m_fleet.after(name, randomDelay(100), [this, name] { sendPeriodicRead(name); });
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
        return !m_storeDown && !m_cutFromStore.contains(m_hosts.at(name).zone);
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

    bool isStoreReader(const std::string &name)
    {
        return placementOf(name).homeOf(watchKey, m_hosts.at(name).zone) == name;
    }

    // ---- The rules of ConfigurationKeeper

    void pollStore(const std::string &name)
    {
        const Host &host = m_hosts.at(name);
        const bool watches = isStoreReader(name);
        const bool asks = watches || host.state->version() == 0 || host.state->isBehind();
        if (m_faults.naive || asks) {
            askStore(name, watches);
        }
        const milliseconds pause = m_faults.naive ? milliseconds{2000} : milliseconds{watches ? 100 : 500};
        m_fleet.after(name, pause, [this, name] { pollStore(name); });
    }

    void askStore(const std::string &name, bool watches)
    {
        if (!reachesStore(name) || randomBelow(20) == 0) {
            return;
        }
        // A watch returns a newer version than the one held; a read may return a state of the
        // store that is some versions old.
        std::uint64_t version = m_version;
        if (!watches && m_version > 1 && randomBelow(3) == 0) {
            version -= 1 + randomBelow(std::min<std::uint64_t>(3, m_version - 1));
            ++m_counts.staleReads;
        }
        m_fleet.after(name, milliseconds{2} + randomDelay(randomBelow(10) == 0 ? 800 : 20),
                      [this, name, version] { offerVersion(name, version); });
    }

    void offerVersion(const std::string &name, std::uint64_t version)
    {
        Host &host = m_hosts.at(name);
        const std::uint64_t before = host.state->version();
        const OfferResult result = host.state->offer(m_files.at(version));
        m_counts.staleOffers += result == OfferResult::Stale ? 1 : 0;
        if (host.state->version() < before) {
            fail(absl::StrCat(name, " reverted from version ", before, " to ", host.state->version()));
        }
        if (result != OfferResult::Accepted) {
            return;
        }
        serveIfUpToDate(name);
        m_fleet.host(name).setCatalogVersion({version, 0});
        announceVersion(name);
    }

    // A new host waits for a peer's report before it serves. Without the wait, a host that was
    // replaced could read an old value in which an upstream is not leaving and, as its home,
    // accept work for it until a peer reports the newer version.
    void serveIfUpToDate(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        const bool waited = m_fleet.now() >= host.startedAt + peerWait;
        const bool known = host.peerReported && !host.state->isBehind();
        host.serves = host.serves || known || waited || m_faults.servesFirstRead;
        if (host.serves && host.state->current()) {
            host.router->configure(seenByFront(*host.state->current()));
        }
    }

    void announceVersion(const std::string &name)
    {
        if (m_faults.peersReportNoVersions || m_faults.naive) {
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
            send(name, other, [this, name, other, version] { onVersionReported(other, name, version); });
        }
    }

    void onVersionReported(const std::string &name, const std::string &from, std::uint64_t version)
    {
        Host &host = m_hosts.at(name);
        host.state->noteKnownVersion(version);
        host.peerReported = true;
        if (!host.serves) {
            serveIfUpToDate(name);
        }
        if (m_faults.naive || version <= host.state->version() || m_fleet.now() < host.pullBefore) {
            return;
        }
        host.pullBefore = m_fleet.now() + std::chrono::seconds{1};
        const std::uint64_t own = host.state->version();
        send(name, from, [this, name, from, own] { answerPull(from, name, own); });
    }

    void answerPull(const std::string &name, const std::string &by, std::uint64_t peerVersion)
    {
        const std::uint64_t version = m_hosts.at(name).state->version();
        if (version <= peerVersion) {
            return;
        }
        send(name, by, [this, by, version] {
            m_hosts.at(by).pullBefore = TimePoint{};
            m_counts.learnedFromPeers += version > m_hosts.at(by).state->version() ? 1 : 0;
            offerVersion(by, version);
        });
    }

    // Sends with a random delay, so that messages may be reordered, and sometimes twice.
    void send(const std::string &from, const std::string &to, const std::function<void()> &action)
    {
        for (std::uint64_t copies = randomBelow(10) == 0 ? 2 : 1; copies > 0; --copies) {
            m_fleet.transmit(from, to, randomDelay(randomBelow(8) == 0 ? 1500 : 10), action);
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

    void sendPeriodicRead(const std::string &name)
    {
        m_fleet.after(name, milliseconds{100}, [this, name] { sendPeriodicRead(name); });
        auto work = std::make_shared<PendingRead>();
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

    struct PendingRead {
        std::string front;
        StatementRequest request;
        RouteAttempts attempts;
    };

    void sendRead(const std::shared_ptr<PendingRead> &work, const std::string &upstream)
    {
        const UpstreamSpec *spec = newestConfiguration().databases.front().upstream(upstream);
        const auto home = placementOf(work->front).homeOf(upstream, spec->zone);
        if (home) {
            m_fleet.transmit(work->front, *home, randomDelay(5),
                             [this, work, upstream, home] { handleAtHome(work, upstream, *home); });
        }
    }

    // As UpstreamHome::refusalOf, for a read outside a transaction.
    void handleAtHome(const std::shared_ptr<PendingRead> &work, const std::string &upstream, const std::string &home)
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
            recordNewWork(upstream);
        }
        m_fleet.transmit(home, work->front, randomDelay(5), [this, work, reply] { onReply(work, reply); });
    }

    void onReply(const std::shared_ptr<PendingRead> &work, const StatementReply &reply)
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

    // Records that new work reached an upstream.
    void recordNewWork(const std::string &upstream)
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

    void acceptFile(bool leaving)
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

    void runFaults()
    {
        for (int step = 0; step < 24 && m_violation.empty(); ++step) {
            injectFault();
            m_fleet.runFor(milliseconds{100} + randomDelay(500));
        }
    }

    void injectFault()
    {
        const int chosen = static_cast<int>(randomBelow(hostCount));
        switch (randomBelow(8)) {
        case 0:
        case 1:
            if (!m_storeDown) {
                acceptFile(randomBelow(2) == 0);
            }
            break;
        case 2:
            cutOneZone();
            break;
        case 3:
            m_storeDown = !m_storeDown;
            m_counts.outages += m_storeDown ? 1 : 0;
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
            m_fleet.loss = randomBelow(2) == 0 ? 0.0 : 0.15;
            break;
        }
    }

    // Cuts a zone off from other zones, from the store, or from both; or ends the cuts.
    void cutOneZone()
    {
        const std::string zone = GossipFleet::zoneOf(static_cast<int>(randomBelow(zoneCount)), zoneCount);
        const std::uint64_t what = randomBelow(4);
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

    // Ends all faults except an outage of the store, which continues in half of the schedules.
    void endFaults()
    {
        m_fleet.cut({});
        m_cutFromStore.clear();
        m_fleet.loss = 0;
        for (const std::string &name : std::exchange(m_paused, {})) {
            m_fleet.resume(name);
        }
    }

    // The newest version that hosts can still receive: the store's or, while the store is
    // down, the highest that a host holds.
    std::uint64_t newestWithinReach() const
    {
        std::uint64_t newest = m_storeDown ? 0 : m_version;
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

    // An upstream leaves while the hosts of its zone and of another one are cut off from the
    // store, so that they have to receive the change from peers.
    void checkLeavingDuringCut()
    {
        if (!m_violation.empty()) {
            return;
        }
        m_storeDown = false;
        if (m_version > 0 && newestConfiguration().databases.front().upstream(leavingUpstream)->leaving) {
            acceptFile(false);
        }
        expectNewestEverywhere("after the store returned");
        m_cutFromStore = {"zone-1", GossipFleet::zoneOf(static_cast<int>(randomBelow(zoneCount)), zoneCount)};
        m_fleet.runFor(milliseconds{500});
        acceptFile(true);
        m_noWorkAfter = m_fleet.now() + bound;
        m_fleet.runFor(bound + std::chrono::seconds{1});
        replaceHost(1); // a host of the leaving upstream's zone; receives the change from peers only
        m_fleet.runFor(std::chrono::seconds{2});
        m_cutFromStore.clear();
        expectNewestEverywhere("after the cut from the store ended");
        replaceHostsOfTheZone();
    }

    // Replaces hosts of the leaving upstream's zone. Some of the new hosts read an old value in
    // which the upstream is not leaving.
    void replaceHostsOfTheZone()
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
    // The files that the store accepted, by version; versions only increase.
    std::map<std::uint64_t, Configuration> m_files;
    std::uint64_t m_version = 0;
    TimePoint m_appliedAt;
    TimePoint m_noWorkAfter = TimePoint::max();
    bool m_storeDown = false;
    std::set<std::string> m_cutFromStore;
    std::set<std::string> m_paused;
    ConfigurationFleetCounts m_counts;
    std::string m_violation;
};

} // namespace egrettide::testing
