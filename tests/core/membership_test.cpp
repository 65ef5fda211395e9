// Tests of membership views under lost, delayed and outdated messages.

#define BOOST_TEST_MODULE Membership
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "tests/core/gossipfleet.h"

#include <algorithm>
#include <optional>
#include <random>
#include <set>

using namespace egrettide;
using egrettide::testing::GossipFleet;
using std::chrono::seconds;

namespace
{

std::string inMilliseconds(const std::optional<milliseconds> &time)
{
    return time ? std::to_string(time->count()) + " ms" : "never";
}

bool isDead(const HostRecord &record)
{
    return record.health == HostHealth::Dead;
}

// A fleet in which every host knows all others.
std::unique_ptr<GossipFleet> settledFleet(int hosts, int zones, std::uint64_t seed, MembershipOptions options = {})
{
    auto fleet = std::make_unique<GossipFleet>(seed, options);
    fleet->startMany(hosts, zones);
    const auto settled = fleet->runUntil(seconds{30}, [&] { return fleet->agreeOnAll(); });
    RC_ASSERT(settled.has_value());
    fleet->runFor(seconds{2});
    return fleet;
}

HostRecord recordOf(const std::string &name, std::uint64_t incarnation, HostHealth health)
{
    HostRecord record{name, "zone-0", "10.0.0.9:1", "10.0.0.9:2", "10.0.0.9:3"};
    record.incarnation = incarnation;
    record.health = health;
    return record;
}

GossipMessage messageFrom(const std::string &from, std::vector<HostRecord> records)
{
    GossipMessage message;
    message.kind = GossipKind::Ack;
    message.from = from;
    message.fromAddress = "10.0.0.8:1";
    message.fromIncarnation = 1;
    message.records = std::move(records);
    return message;
}

// Feeds random, partly outdated records of one host and returns whether a dead incarnation of it
// was revived.
bool resurrects(const MembershipOptions &options, const std::vector<std::pair<int, int>> &records)
{
    TimePoint now{seconds{1000}};
    Membership membership(recordOf("self", 1, HostHealth::Live), options, 1, now);
    std::optional<std::uint64_t> deadIncarnation;
    for (const auto &[incarnation, health] : records) {
        now += milliseconds{10};
        const auto record = recordOf("other", static_cast<std::uint64_t>(incarnation), static_cast<HostHealth>(health));
        membership.onMessage(messageFrom("teller", {record}), now);
        const HostRecord *seen = membership.view()->host("other");
        if (seen == nullptr) {
            continue;
        }
        if (deadIncarnation && !isDead(*seen) && seen->incarnation <= *deadIncarnation) {
            return true;
        }
        if (isDead(*seen)) {
            deadIncarnation = std::max(deadIncarnation.value_or(0), seen->incarnation);
        }
    }
    return false;
}

// False deaths among running hosts, in any host's view.
int falseDeaths(const MembershipOptions &options, double loss, seconds duration)
{
    auto fleet = settledFleet(9, 3, 5, options);
    fleet->loss = loss;
    std::set<std::pair<std::string, std::uint64_t>> died;
    fleet->runUntil(duration, [&] {
        for (const std::string &name : fleet->names()) {
            for (const HostRecord &record : fleet->host(name).view()->hosts) {
                if (isDead(record)) {
                    died.emplace(record.name, record.incarnation);
                }
            }
        }
        return false;
    });
    return static_cast<int>(died.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipOfHosts)

BOOST_AUTO_TEST_CASE(FindsAllHostsOfTheList)
{
    GossipFleet fleet(1);
    fleet.startMany(9, 4);
    const auto settled = fleet.runUntil(seconds{10}, [&] { return fleet.agreeOnAll(); });
    BOOST_TEST(settled.has_value(), "9 hosts that list each other did not find each other within 10 s");
}

// Guards against slow discovery after a power failure: hosts that start within 200 ms and each ping
// one listed host per period need three periods until their views settle, so no home is taken for a
// second or more.
BOOST_AUTO_TEST_CASE(DiscoversAllHostsAtOnceWhenTheyStartTogether)
{
    BOOST_TEST(rc::check("known to all within a few round trips of the last start", [] {
        const int hosts = *rc::gen::inRange(2, 25);
        GossipFleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        std::vector<HostSeed> seeds;
        for (int i = 0; i < hosts; ++i) {
            seeds.push_back(HostSeed{GossipFleet::nameOf(i), GossipFleet::zoneOf(i, 4), GossipFleet::addressOf(i)});
        }
        for (int i = 0; i < hosts; ++i) {
            fleet.start(GossipFleet::nameOf(i), GossipFleet::zoneOf(i, 4), i, 1000, seeds);
            fleet.runFor(milliseconds{200 / hosts});
        }
        fleet.runFor(milliseconds{20});
        RC_ASSERT(fleet.agreeOnAll());
    }));
}

// Guards against pinging only hosts without a record: a host that receives the records of others
// before its list would contact none of them, they would learn of it late, and homes would be taken
// 0.3 to 0.7 s after the last host is back.
BOOST_AUTO_TEST_CASE(DiscoversAllHostsAtOnceWhenRecordsArriveBeforeItsList)
{
    BOOST_TEST(rc::check("known to all within a few round trips of the last list", [] {
        const int hosts = *rc::gen::inRange(3, 25);
        GossipFleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        fleet.listDelay = milliseconds{8};
        std::vector<HostSeed> seeds;
        for (int i = 0; i < hosts; ++i) {
            seeds.push_back(HostSeed{GossipFleet::nameOf(i), GossipFleet::zoneOf(i, 4), GossipFleet::addressOf(i)});
        }
        for (int i = 0; i < hosts; ++i) {
            fleet.start(GossipFleet::nameOf(i), GossipFleet::zoneOf(i, 4), i, 1000, seeds);
            fleet.runFor(milliseconds{*rc::gen::inRange(0, 16)});
        }
        fleet.runFor(fleet.listDelay + milliseconds{20});
        RC_ASSERT(fleet.agreeOnAll());
    }));
}

// A large fleet's list is not pinged as a whole; hosts of the own zone come first.
BOOST_AUTO_TEST_CASE(PingsItsOwnZoneFirstAndABoundedNumber)
{
    std::vector<HostSeed> seeds;
    for (int i = 0; i < 500; ++i) {
        seeds.push_back(HostSeed{GossipFleet::nameOf(i), GossipFleet::zoneOf(i, 50), GossipFleet::addressOf(i)});
    }
    const TimePoint now{seconds{1000}};
    const MembershipOptions options;
    Membership membership(recordOf("self", 1, HostHealth::Live), options, 1, now);
    const auto sends = membership.onHostList(seeds, true, now);
    BOOST_TEST(sends.size() == options.introductions, "pinged " << sends.size() << " hosts, not " << options.introductions);
    const auto inZone = std::count_if(sends.begin(), sends.end(), [&seeds](const GossipSend &send) {
        return std::any_of(seeds.begin(), seeds.end(),
                           [&send](const HostSeed &seed) { return seed.name == send.peer && seed.zone == "zone-0"; });
    });
    BOOST_TEST(inZone == 10, "pinged " << inZone << " of the 10 hosts of its zone");
    BOOST_TEST(membership.onHostList(seeds, true, now).empty(), "only the first list is pinged");
}

// A host has to distinguish a partition from the loss of single hosts, here when one zone of three
// is cut off; otherwise hosts of the cut-off zone would go on serving as before.
BOOST_AUTO_TEST_CASE(CountsNoLiveHostElsewhereInAZoneThatIsCutOff)
{
    GossipFleet fleet(7);
    fleet.startMany(9, 3);
    fleet.runFor(seconds{3});
    BOOST_TEST(fleet.host("h0").reach(fleet.now()).live == 8U);
    fleet.cut({"zone-0"});
    const auto detectsCut = [&fleet](const std::string &name) {
        const HostReach reach = fleet.host(name).reach(fleet.now());
        const bool isCut = fleet.zone(name) == "zone-0";
        return reach == (isCut ? HostReach{2, 6, 0, 6} : HostReach{5, 3, 3, 3});
    };
    const std::vector<std::string> names = fleet.names();
    const auto seen = fleet.runUntil(seconds{4}, [&] { return std::ranges::all_of(names, detectsCut); });
    BOOST_TEST(seen.has_value(), "the cut is not seen by all hosts within 4 s");
}

// A planned stop does not count as a loss.
BOOST_AUTO_TEST_CASE(CountsADepartedHostNowhere)
{
    GossipFleet fleet(8);
    fleet.startMany(6, 3);
    fleet.runFor(seconds{3});
    fleet.apply("h1", [](Membership &host, TimePoint now) { return host.leave(now); });
    fleet.runFor(seconds{2});
    BOOST_TEST(fleet.host("h0").reach(fleet.now()).live == 5U, "a leaving host still answers");
    fleet.apply("h1", [](Membership &host, TimePoint now) { return host.depart(now); });
    fleet.crash("h1");
    fleet.runFor(seconds{2});
    const HostReach reach = fleet.host("h0").reach(fleet.now());
    BOOST_TEST(reach.live == 4U);
    BOOST_TEST(reach.lost == 0U, "a planned stop shows as " << reach.lost << " lost hosts");
}

BOOST_AUTO_TEST_CASE(KnowsWhetherItHasDiscoveredItsZone)
{
    const TimePoint now{seconds{1000}};
    Membership membership(recordOf("self", 1, HostHealth::Live), MembershipOptions{}, 1, now);
    BOOST_TEST(!membership.hasDiscoveredZone(), "before the first list the zone must count as unknown");
    membership.onHostList({HostSeed{"other", "zone-0", "10.0.0.8:1"}, HostSeed{"far", "zone-1", "10.0.0.7:1"}}, true, now);
    BOOST_TEST(!membership.hasDiscoveredZone(), "the other host of the zone is not known yet");
    membership.onMessage(messageFrom("other", {recordOf("other", 1, HostHealth::Live)}), now);
    BOOST_TEST(membership.hasDiscoveredZone(), "all hosts of the zone are known");
}

// The platform's list lags, so a host may know only one other.
BOOST_AUTO_TEST_CASE(FindsAllHostsThroughAChainOfLists)
{
    GossipFleet fleet(2);
    constexpr int count = 12;
    for (int i = 0; i < count; ++i) {
        std::vector<HostSeed> seeds;
        if (i > 0) {
            seeds.push_back(HostSeed{GossipFleet::nameOf(i - 1), "zone-0", GossipFleet::addressOf(i - 1)});
        }
        fleet.start(GossipFleet::nameOf(i), "zone-0", i, 1, seeds);
    }
    const auto settled = fleet.runUntil(seconds{30}, [&] { return fleet.agreeOnAll(); });
    BOOST_TEST(settled.has_value(), "hosts that list only their predecessor did not find each other within 30 s");
}

BOOST_AUTO_TEST_CASE(TrustsItsViewOnceAPeerAnsweredOrNoneDid)
{
    GossipFleet fleet(3);
    fleet.start("alone", "zone-0", 1, 1, {HostSeed{"nobody", "zone-0", GossipFleet::addressOf(2)}});
    BOOST_TEST(!fleet.host("alone").view()->trusted, "a view without any evidence must not be trusted");
    const auto trusted = fleet.runUntil(seconds{10}, [&] { return fleet.host("alone").view()->trusted; });
    BOOST_TEST(trusted.has_value(), "a host that is cut off alone has to go on serving");
}

// Guards against slow failure detection: the homes of a dead host move, and writes resume, only
// once it is considered dead.
BOOST_AUTO_TEST_CASE(FindsADeadHostWithinAboutASecond)
{
    milliseconds worst{0};
    milliseconds sum{0};
    constexpr int trials = 100;
    for (std::uint64_t trial = 0; trial < trials; ++trial) {
        auto fleet = settledFleet(9, 4, trial);
        fleet->pause("h4"); // Silent, but its address still accepts messages.
        const auto found = fleet->runUntil(seconds{10}, [&] {
            const auto names = fleet->names();
            return std::all_of(names.begin(), names.end(), [&](const std::string &name) {
                return name == "h4" || isDead(*fleet->host(name).view()->host("h4"));
            });
        });
        BOOST_REQUIRE_MESSAGE(found.has_value(), "trial " << trial << ": a silent host was never found dead");
        worst = std::max(worst, *found);
        sum += *found;
    }
    BOOST_TEST_MESSAGE("found dead by all after " << sum.count() / trials << " ms on average, " << worst.count()
                                                  << " ms at worst");
    BOOST_TEST(worst.count() <= 2000,
               "the slowest of " << trials << " detections took " << worst.count() << " ms of simulated time");
}

BOOST_AUTO_TEST_CASE(SpreadsThatAHostIsLeaving)
{
    BOOST_TEST(rc::check("known everywhere within a few periods", [] {
        const int hosts = *rc::gen::inRange(2, 40);
        auto fleet = settledFleet(hosts, 4, *rc::gen::arbitrary<std::uint64_t>());
        fleet->loss = *rc::gen::element(0.0, 0.1);
        fleet->apply("h1", [](Membership &host, TimePoint now) { return host.leave(now); });
        const auto known = fleet->runUntil(
            seconds{5}, [&] { return fleet->allSee("h1", [](const HostRecord &record) { return record.leaving; }); });
        RC_LOG() << inMilliseconds(known);
        RC_ASSERT(known.has_value());
    }));
}

BOOST_AUTO_TEST_CASE(ConsidersADepartedHostDeadAtOnce)
{
    auto fleet = settledFleet(9, 4, 11);
    fleet->apply("h3", [](Membership &host, TimePoint now) { return host.depart(now); });
    fleet->runFor(milliseconds{5});
    fleet->crash("h3");
    const auto known = fleet->runUntil(seconds{2}, [&] { return fleet->allSee("h3", isDead); });
    BOOST_TEST(known.has_value(), "a departure has to spread without waiting for a suspicion");
}

// Guards against a partition that never heals: each side considers the other dead, so unless hosts
// ping dead ones, neither side contacts the other again.
BOOST_AUTO_TEST_CASE(SeparatesWithACutAndComesTogetherAgain)
{
    BOOST_TEST(rc::check("views follow the cut and the healing", [] {
        const int zones = *rc::gen::inRange(2, 5);
        const int hosts = *rc::gen::inRange(zones, 25);
        auto fleet = settledFleet(hosts, zones, *rc::gen::arbitrary<std::uint64_t>());
        const std::string gone = GossipFleet::zoneOf(*rc::gen::inRange(0, zones), zones);
        fleet->cut({gone});
        const auto separated = fleet->runUntil(seconds{30}, [&] {
            const auto names = fleet->names();
            return std::all_of(names.begin(), names.end(), [&](const std::string &name) {
                std::set<std::string> reachable;
                for (const std::string &other : names) {
                    if ((fleet->zone(other) == gone) == (fleet->zone(name) == gone)) {
                        reachable.insert(other);
                    }
                }
                return fleet->livingIn(name) == reachable;
            });
        });
        RC_ASSERT(separated.has_value());
        fleet->runFor(seconds{*rc::gen::inRange(0, 600)});
        fleet->cut({});
        const auto healed = fleet->runUntil(seconds{30}, [&] { return fleet->agreeOnAll(); });
        RC_LOG() << "separated after " << inMilliseconds(separated) << ", healed after " << inMilliseconds(healed);
        RC_ASSERT(healed.has_value());
    }));
}

// Guards against a replaced host that stays in the view so that its upstreams get no home: the
// successor answers at the same address, so the old host seems live.
BOOST_AUTO_TEST_CASE(ReplacesAHostUnderTheSameAddress)
{
    auto fleet = settledFleet(9, 4, 13);
    fleet->crash("h5");
    fleet->start("h5-new", "zone-1", 5, 1, {HostSeed{"h0", "zone-0", GossipFleet::addressOf(0)}});
    const auto settled = fleet->runUntil(seconds{10}, [&] { return fleet->agreeOnAll(); });
    BOOST_TEST(settled.has_value(), "the old host has to be dead and the new one living everywhere");
}

BOOST_AUTO_TEST_CASE(AcceptsARestartedHost)
{
    auto fleet = settledFleet(9, 4, 17);
    fleet->crash("h5");
    fleet->runFor(seconds{5});
    fleet->start("h5", "zone-1", 5, 5000, {HostSeed{"h0", "zone-0", GossipFleet::addressOf(0)}});
    const auto settled = fleet->runUntil(seconds{10}, [&] {
        return fleet->agreeOnAll() && fleet->allSee("h5", [](const HostRecord &record) { return record.incarnation >= 5000; });
    });
    BOOST_TEST(settled.has_value());
}

// A restart with a clock behind the earlier process's: the fleet still retains a higher incarnation
// as dead.
BOOST_AUTO_TEST_CASE(AcceptsARestartedHostWithALowerIncarnation)
{
    auto fleet = settledFleet(9, 4, 19);
    fleet->crash("h5");
    fleet->runFor(seconds{5});
    fleet->start("h5", "zone-1", 5, 3, {HostSeed{"h0", "zone-0", GossipFleet::addressOf(0)}});
    const auto settled = fleet->runUntil(seconds{10}, [&] { return fleet->agreeOnAll(); });
    BOOST_TEST(settled.has_value(), "it has to raise its incarnation above what is remembered");
}

// Whether a healed partition makes a host consider a host of its own zone dead. Each side receives
// on the first contact that its own neighbours are dead; if it applied that without verification,
// homes would move all over the fleet and abort transactions.
bool disturbsNeighbours(const MembershipOptions &options)
{
    auto fleet = settledFleet(24, 4, 41, options);
    fleet->cut({"zone-0", "zone-1"});
    fleet->runFor(seconds{60});
    fleet->cut({});
    bool disturbed = false;
    const auto healed = fleet->runUntil(seconds{60}, [&] {
        for (const std::string &name : fleet->names()) {
            for (const HostRecord &record : fleet->host(name).view()->hosts) {
                disturbed = disturbed || (isDead(record) && record.zone == fleet->zone(name));
            }
        }
        return fleet->agreeOnAll();
    });
    BOOST_TEST(healed.has_value(), "the partition never healed");
    return disturbed;
}

BOOST_AUTO_TEST_CASE(HealsWithoutDisturbingNeighbours)
{
    BOOST_TEST(!disturbsNeighbours(MembershipOptions{}), "a host considered a reachable host of its zone dead");
}

BOOST_AUTO_TEST_CASE(DisturbsNeighboursWithUnverifiedDeathReports)
{
    MembershipOptions mutant;
    mutant.verifiesDeathReports = false;
    BOOST_TEST(disturbsNeighbours(mutant), "unverified death reports have to cause false deaths; the test above detects nothing");
}

// Guards against requests to a dead host: a record from its lifetime may arrive after the record of
// its death and must not revive it.
BOOST_AUTO_TEST_CASE(NeverRevivesADeadIncarnation)
{
    BOOST_TEST(rc::check("only a higher incarnation brings a host back", [] {
        const auto records =
            *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(1, 5), rc::gen::inRange(0, 3)));
        RC_ASSERT(!resurrects(MembershipOptions{}, records));
    }));
}

BOOST_AUTO_TEST_CASE(RevivesTheDeadOnceIncarnationsAreForgotten)
{
    MembershipOptions mutant;
    mutant.keepsIncarnations = false;
    const std::vector<std::pair<int, int>> records{{2, 0}, {2, 1}, {2, 2}, {1, 0}};
    BOOST_TEST(resurrects(mutant, records),
               "without incarnations old records have to revive a dead host; the test above detects nothing");
    BOOST_TEST(!resurrects(MembershipOptions{}, records));
}

BOOST_AUTO_TEST_CASE(KeepsLivingHostsDespiteLostMessages)
{
    const int deaths = falseDeaths(MembershipOptions{}, 0.1, seconds{120});
    BOOST_TEST(deaths == 0, deaths << " false deaths in 120 s with a tenth of the messages lost");
}

BOOST_AUTO_TEST_CASE(DeclaresLiveHostsDeadWhenTheyCannotRefute)
{
    MembershipOptions mutant;
    mutant.refutes = false;
    mutant.confirmsIndirectly = false;
    const int deaths = falseDeaths(mutant, 0.1, seconds{120});
    BOOST_TEST(deaths > 0,
               "without refutation and indirect probes lost messages have to cause false deaths; the test above detects nothing");
}

// Guards against a resumed host that moves homes: all its timers are overdue, and it must not take
// its own pause for the silence of others.
BOOST_AUTO_TEST_CASE(DistrustsItsViewAfterAPause)
{
    auto fleet = settledFleet(9, 4, 23);
    fleet->pause("h2");
    fleet->runFor(seconds{30});
    fleet->cut({fleet->zone("h2")});
    fleet->resume("h2");
    BOOST_TEST(!fleet->host("h2").view()->trusted, "messages buffered during the pause must not restore trust");
    const std::size_t living = fleet->host("h2").liveCount();
    BOOST_TEST(living == 9U, "" << 9 - living << " hosts were declared dead after the pause");
    fleet->cut({});
    const auto back = fleet->runUntil(seconds{10}, [&] { return fleet->host("h2").view()->trusted && fleet->agreeOnAll(); });
    BOOST_TEST(back.has_value(), "the host has to trust its view again and rejoin");
}

// Guards against control traffic that grows with the fleet, as when a host contacts all others
// every period.
BOOST_AUTO_TEST_CASE(KeepsItsFanOutWhateverTheSizeOfTheFleet)
{
    const auto busiest = [](int hosts) {
        auto fleet = settledFleet(hosts, 4, 29);
        std::map<std::string, std::size_t> sent;
        std::map<std::string, std::set<std::string>> peers;
        fleet->onSend = [&](const std::string &from, const GossipSend &send) {
            ++sent[from];
            peers[from].insert(send.peer);
        };
        fleet->runFor(seconds{10});
        std::pair<std::size_t, std::size_t> most;
        for (const auto &[host, count] : sent) {
            most.first = std::max(most.first, count);
            most.second = std::max(most.second, peers[host].size());
        }
        return most;
    };
    const auto [fewMessages, fewPeers] = busiest(16);
    const auto [manyMessages, manyPeers] = busiest(128);
    BOOST_TEST(manyMessages <= fewMessages, "messages in 10 s grew from " << fewMessages << " to " << manyMessages);
    // 3 watched and 3 watching, and one or two more where a host is the successor in two rings of
    // another, which then watches the host after it instead.
    BOOST_TEST(manyPeers <= 8U, manyPeers << " peers of one host among 128, " << fewPeers << " among 16");
}

BOOST_AUTO_TEST_CASE(SpreadsAConfigurationVersionAndWhoHasIt)
{
    auto fleet = settledFleet(40, 4, 31);
    fleet->host("h7").setCatalogVersion({12, 0});
    const auto spread = fleet->runUntil(seconds{6}, [&] {
        const auto names = fleet->names();
        return std::all_of(names.begin(), names.end(), [&](const std::string &name) {
            return fleet->host(name).highestCatalogVersion() == CatalogVersion{12, 0};
        });
    });
    BOOST_REQUIRE_MESSAGE(spread.has_value(), "a version did not reach every host within 6 s");
    BOOST_TEST(*fleet->host("h0").holderOfHighestCatalog() == "h7");
    BOOST_TEST(!fleet->host("h7").holderOfHighestCatalog().has_value(), "the holder needs to pull from no other host");
}

// Guards against hosts that know half of the fleet for many seconds after all have started together:
// views are reconciled less and less often the larger a fleet is, and hosts that know few others
// gain little from each other.
BOOST_AUTO_TEST_CASE(KnowsAllHostsSoonWhenManyStartTogether)
{
    for (const int hosts : {64, 256}) {
        GossipFleet fleet(47);
        fleet.listDelay = milliseconds{300};
        fleet.startMany(hosts, 6);
        const auto known = fleet.runUntil(seconds{30}, [&] {
            return std::ranges::all_of(fleet.names(), [&](const std::string &name) {
                return fleet.host(name).liveCount() == static_cast<std::size_t>(hosts);
            });
        });
        BOOST_REQUIRE(known.has_value());
        BOOST_TEST(known->count() <= 5000, hosts << " hosts know each other only after " << known->count() << " ms");
    }
}

// Guards against hosts that stay alone for seconds because the list that they read first was older
// than the start of all of them: later lists were not pinged, and an empty list counted as a
// discovered zone.
BOOST_AUTO_TEST_CASE(KnowsAllHostsSoonAfterAnOutdatedList)
{
    for (const int hosts : {16, 128}) {
        GossipFleet fleet(59);
        std::vector<HostSeed> seeds;
        for (int i = 0; i < hosts; ++i) {
            seeds.push_back(HostSeed{GossipFleet::nameOf(i), GossipFleet::zoneOf(i, 4), GossipFleet::addressOf(i)});
        }
        for (int i = 0; i < hosts; ++i) {
            fleet.start(GossipFleet::nameOf(i), GossipFleet::zoneOf(i, 4), i, 1000, {}, false);
            BOOST_TEST(!fleet.host(GossipFleet::nameOf(i)).hasDiscoveredZone(), "an outdated list does not show the zone");
        }
        fleet.runFor(seconds{1});
        for (int i = 0; i < hosts; ++i) {
            fleet.list(GossipFleet::nameOf(i), seeds);
        }
        const auto known = fleet.runUntil(seconds{30}, [&] {
            return std::ranges::all_of(fleet.names(), [&](const std::string &name) {
                return fleet.host(name).liveCount() == static_cast<std::size_t>(hosts);
            });
        });
        BOOST_REQUIRE(known.has_value());
        BOOST_TEST(known->count() <= 1000, hosts << " hosts know each other only after " << known->count() << " ms");
    }
}

// Guards against live hosts that count as dead in a large fleet: with several stalled at any time,
// refutations waited behind other updates until the suspicions had ended, and homes moved.
BOOST_AUTO_TEST_CASE(DeclaresNoHostDeadThatStallsBriefly)
{
    for (const int hosts : {40, 320}) {
        auto fleet = settledFleet(hosts, 4, 61);
        std::mt19937 random(61);
        int deaths = 0;
        const auto countDeaths = [&] {
            for (const std::string &name : fleet->names()) {
                deaths += hosts - static_cast<int>(fleet->host(name).liveCount());
            }
        };
        // In each step of half a second another tenth of the hosts stalls for its length.
        for (int step = 0; step < 30; ++step) {
            std::set<std::string> stalled;
            while (static_cast<int>(stalled.size()) < hosts / 10) {
                stalled.insert(GossipFleet::nameOf(static_cast<int>(random() % static_cast<unsigned>(hosts))));
            }
            for (const std::string &name : stalled) {
                fleet->pause(name);
            }
            fleet->runFor(milliseconds{500});
            for (const std::string &name : stalled) {
                fleet->resume(name);
            }
            countDeaths();
        }
        BOOST_TEST(deaths == 0, "among " << hosts << " hosts, stalled ones counted as dead " << deaths << " times");
    }
}

// Guards against a fleet whose hosts all ask one host for the newest copy.
BOOST_AUTO_TEST_CASE(AsksDifferentHostsForANewerCopy)
{
    auto fleet = settledFleet(40, 4, 53);
    for (int i = 0; i < 20; ++i) {
        // Each holder has read one change more than the one before it.
        fleet->host("h" + std::to_string(i)).setCatalogVersion({5, 100 + static_cast<std::uint64_t>(i)});
    }
    fleet->runFor(seconds{20});
    std::map<std::string, int> askers;
    for (int i = 20; i < 40; ++i) {
        const auto holder = fleet->host("h" + std::to_string(i)).newerCatalog(7);
        BOOST_TEST_REQUIRE(holder.has_value());
        ++askers[holder->host];
    }
    const auto busiest = std::ranges::max_element(askers, {}, [](const auto &entry) { return entry.second; });
    BOOST_TEST(busiest->second <= 8, busiest->second << " of 20 hosts ask " << busiest->first);
    BOOST_TEST(!fleet->host("h19").newerCatalog(7).has_value());
}

// Guards against heartbeats that are filled with the versions of all hosts after every change of a
// registration: each host announces a version, and each announcement used to go to every other one.
BOOST_AUTO_TEST_CASE(SpreadsAVersionThatAllTakeOverWithTheSameNumberOfNotesWhateverTheirNumber)
{
    const auto notesPerHost = [](int hosts) {
        auto fleet = settledFleet(hosts, 4, 43);
        std::size_t notes = 0;
        fleet->onSend = [&notes](const std::string &, const GossipSend &sent) { notes += sent.message.versionNotes.size(); };
        fleet->host("h3").setCatalogVersion({12, 100});
        const auto adoptAll = [&] {
            bool all = true;
            for (const std::string &name : fleet->names()) {
                const CatalogVersion newest = fleet->host(name).highestCatalogVersion();
                fleet->host(name).setCatalogVersion(newest);
                all = all && newest == CatalogVersion{12, 100};
            }
            return all;
        };
        BOOST_REQUIRE(fleet->runUntil(seconds{20}, adoptAll).has_value());
        // New versions of the intent are spread of each host.
        fleet->runFor(seconds{60});
        fleet->host("h5").setCatalogVersion({12, 101});
        notes = 0;
        const auto adoptNext = [&] {
            adoptAll();
            return std::ranges::all_of(fleet->names(), [&](const std::string &name) {
                return fleet->host(name).self().catalogVersion == CatalogVersion{12, 101};
            });
        };
        BOOST_REQUIRE(fleet->runUntil(seconds{20}, adoptNext).has_value());
        fleet->runFor(seconds{10});
        return static_cast<double>(notes) / hosts;
    };
    const double few = notesPerHost(16);
    const double many = notesPerHost(128);
    // An update is sent once per bit of the fleet's size, and a host may hear of it from two others.
    BOOST_TEST(many <= 2 * few + 8, "a host sent " << few << " notes among 16 and " << many << " among 128");
}

BOOST_AUTO_TEST_CASE(ComputesHomesAnewOnlyWhenTheyMayChange)
{
    auto fleet = settledFleet(9, 4, 37);
    const std::uint64_t before = fleet->host("h0").view()->placementVersion;
    const GossipMessage falseSuspicion = messageFrom("h1", {[&] {
                                                         HostRecord record = *fleet->host("h0").view()->host("h3");
                                                         record.health = HostHealth::Suspect;
                                                         return record;
                                                     }()});
    fleet->apply("h0", [&](Membership &host, TimePoint now) { return host.onMessage(falseSuspicion, now); });
    BOOST_TEST((fleet->host("h0").view()->host("h3")->health == HostHealth::Suspect));
    fleet->runFor(seconds{5});
    BOOST_TEST((fleet->host("h0").view()->host("h3")->health == HostHealth::Live), "a false suspicion has to be refuted");
    BOOST_TEST(fleet->host("h0").view()->placementVersion == before, "a suspicion must not move homes");
}

BOOST_AUTO_TEST_SUITE_END()
