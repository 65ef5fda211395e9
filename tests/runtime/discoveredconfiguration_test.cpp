// How hosts share what a few of them read in the store.

#define BOOST_TEST_MODULE DiscoveredConfiguration
#include <boost/test/unit_test.hpp>

#include "egrettide/core/jsontext.h"
#include "storefleet.h"
#include "wire/catalogentries.h"
#include "wire/difference.h"

#include <algorithm>
#include <numeric>
#include <random>

using namespace egrettide;
using egrettide::test::StoreFleet;

namespace
{

constexpr int manyRoutes = 1900;
// The minimum time that upstreams get to register again in a restored store.
constexpr milliseconds timeToWriteAgain{2000};

int callsOfAll(const StoreFleet &fleet)
{
    const auto calls = fleet.store.calls();
    return std::accumulate(calls.begin(), calls.end(), 0, [](int sum, const auto &entry) { return sum + entry.second; });
}

// Applies one random fault to a store reader or its links, or one change of a registration.
void disturb(StoreFleet &fleet, std::mt19937_64 &random, std::size_t hosts)
{
    const std::string host = "host-" + std::to_string(random() % hosts);
    switch (random() % 7) {
    case 0:
        fleet.store.cutOff(host, random() % 2 == 0);
        break;
    case 1:
        fleet.store.loseAnswersOf(host);
        break;
    case 2:
        fleet.restart(host);
        break;
    case 3:
        fleet.freeze(host, random() % 2 == 0);
        break;
    case 4:
        fleet.store.forgetHistory();
        break;
    case 5:
        fleet.store.setDown(random() % 3 == 0);
        break;
    default:
        fleet.store.put("registrations", "upstream-" + std::to_string(random() % 5), {{"term", random() % 9}});
        break;
    }
}

void heal(StoreFleet &fleet, std::size_t hosts)
{
    fleet.store.setDown(false);
    for (std::size_t i = 0; i < hosts; ++i) {
        fleet.store.cutOff("host-" + std::to_string(i), false);
        fleet.freeze("host-" + std::to_string(i), false);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostsThatShareAStore)

// If every host follows both collections by itself, the store's call rate and cost grow with
// hosts that change nothing; measured: 0.8 calls per second and host at 18 and at 295 hosts.
BOOST_AUTO_TEST_CASE(CallItOnceForAllOfThem)
{
    StoreFleet fleet(20, 1);
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.run(milliseconds{600});
    const int before = callsOfAll(fleet);
    for (int version = 2; version <= 4; ++version) {
        fleet.configure(static_cast<std::uint64_t>(version));
        BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(fleet.newest); }));
    }
    const int calls = callsOfAll(fleet) - before;
    BOOST_TEST(calls <= 2 * 4 + 2, "20 hosts made " << calls << " calls for three changes");
}

// If each of many changes goes to every host whole instead of as a difference, every change fills
// all links for a second with 1,900 routes.
BOOST_AUTO_TEST_CASE(SendEachOtherDifferences)
{
    StoreFleet fleet(20, 2);
    fleet.configure(1, manyRoutes);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.run(milliseconds{600});
    fleet.bytesSent = 0;
    fleet.store.put("registrations", "upstream-1", {{"term", 2}});
    fleet.run(milliseconds{2000});
    BOOST_TEST(fleet.bytesSent / 20 <= 4U * 1024U, "the change of one upstream took " << fleet.bytesSent / 20 << " bytes a host");
}

// If one change makes every host parse and send all registrations again, a start at which 3,000
// upstreams register one after the other costs each host as many times the whole.
BOOST_AUTO_TEST_CASE(TakeOverAChangeWithTheSameWorkWhateverTheirNumber)
{
    for (const std::size_t upstreams : {30U, 3000U}) {
        StoreFleet fleet(5, 14);
        for (std::size_t i = 0; i < upstreams; ++i) {
            fleet.store.put("registrations", "upstream-" + std::to_string(i), {{"heartbeats", 1}});
        }
        fleet.configure(1);
        BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1) && fleet.allKnowUpstreams(upstreams); }));
        fleet.run(milliseconds{1500});
        const DiscoveryWork before = fleet.work();
        fleet.bytesSent = 0;
        fleet.store.put("registrations", "upstream-7", {{"heartbeats", 2}, {"leaving", true}});
        BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.knowAsLeaving("upstream-7") == 5; }));
        fleet.run(milliseconds{500});
        const DiscoveryWork after = fleet.work();
        const std::uint64_t parsed = after.parsedRegistrations - before.parsedRegistrations;
        const std::uint64_t sent = after.sentEntries - before.sentEntries;
        BOOST_TEST(parsed == 5U, "five hosts parsed " << parsed << " registrations of " << upstreams << " after one change");
        BOOST_TEST(after.translatedIntents == before.translatedIntents);
        // Several hosts may read the store and send the change; none sends anything else.
        BOOST_TEST(sent >= 1U);
        BOOST_TEST(sent <= 10U, "they sent " << sent << " entries of " << upstreams << " after one change");
        BOOST_TEST(fleet.bytesSent <= 20U * 1024U, "they sent " << fleet.bytesSent << " bytes after one change");
    }
}

// Guards against a host that starts into a running fleet and has no configuration for seconds, since
// it waits for others to send it a collection that takes several calls to list.
BOOST_AUTO_TEST_CASE(ProvideANewHostWithALongCollection)
{
    StoreFleet fleet(6, 15);
    fleet.store.pageSize = 200;
    for (std::size_t i = 0; i < 3000; ++i) {
        fleet.store.put("registrations", "upstream-" + std::to_string(i), {{"heartbeats", 1}});
    }
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1) && fleet.allKnowUpstreams(3000); }));
    fleet.run(milliseconds{500});
    const auto before = fleet.store.calls();
    fleet.restart("host-4");
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }, milliseconds{2000}));
    fleet.run(milliseconds{7000});
    const int calls = fleet.store.calls().at("host-4") - before.at("host-4");
    BOOST_TEST(calls <= 2, "the new host made " << calls << " calls to a store of 3,000 upstreams");
    BOOST_TEST(fleet.allKnowUpstreams(3000));
}

// When the answer to the reader's waiting call is lost, a reader that trusts the call until its
// end leaves its zone with an old configuration.
BOOST_AUTO_TEST_CASE(ReceiveChangesFromAnotherHostWhenTheReadersAnswerIsLost)
{
    StoreFleet fleet(6, 3);
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.run(milliseconds{600});
    fleet.store.loseAnswersOf("host-0");
    fleet.restart("host-3");
    fleet.configure(2);
    fleet.restart("host-4");
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(2); }));
}

BOOST_AUTO_TEST_CASE(FollowItsReturnTogether)
{
    StoreFleet fleet(20, 4);
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.store.setDown(true);
    fleet.run(milliseconds{3000});
    const int before = callsOfAll(fleet);
    fleet.run(milliseconds{3000});
    const int whileDown = callsOfAll(fleet) - before;
    // Three readers, two collections each, every 0.8 s.
    BOOST_TEST(whileDown <= 3 * 2 * 5, "20 hosts called a store that is down " << whileDown << " times in 3 s");
    fleet.configure(2);
    fleet.store.setDown(false);
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(2); }));
}

// Guards against hosts that keep an upstream whose removal their readers found only by listing.
BOOST_AUTO_TEST_CASE(InformEachOtherOfARemovalThatAListShows)
{
    StoreFleet fleet(6, 8);
    fleet.store.put("registrations", "upstream-1", {{"term", 1}});
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allKnowUpstreams(1); }));
    fleet.store.setDown(true);
    fleet.run(milliseconds{200});
    fleet.store.remove("registrations", "upstream-1");
    fleet.store.forgetHistory();
    fleet.store.setDown(false);
    BOOST_TEST(fleet.runUntil([&] { return fleet.allKnowUpstreams(0); }, milliseconds{15000}));
}

// Guards against a host that stays behind because one answer was lost and no heartbeat comes.
BOOST_AUTO_TEST_CASE(RequestAgainWithoutAnotherAnnouncement)
{
    boost::asio::io_context context{1};
    egrettide::test::SharedStore store{context};
    store.put("intent", "main", {{"version", 1}});
    int requests = 0;
    ConfigurationKeeperHooks hooks;
    hooks.accepted = [](const std::shared_ptr<const Configuration> &) {};
    hooks.send = [&requests](const std::string &, const hop::HopMessage &message) {
        requests += std::holds_alternative<hop::CatalogPull>(message) ? 1 : 0;
    };
    hooks.someHosts = [](std::size_t) { return std::vector<std::string>{}; };
    hooks.zone = [] { return ZoneHosts{true, {"reader", "self"}, {"reader"}}; };
    DiscoveryParts parts{store.sourceFor("self", "intent"), store.sourceFor("self", "registrations"),
                         [](const std::string &, const nlohmann::json &) -> tl::expected<RegisteredUpstream, Error> {
                             return RegisteredUpstream{};
                         },
                         [](const NamedObjects &) -> tl::expected<TranslatedIntent, Error> { return TranslatedIntent{}; }};
    DiscoveredConfiguration source(context, "self", std::move(parts), std::move(hooks));
    source.start();
    context.run_until(Clock::now() + milliseconds{100});
    BOOST_TEST_REQUIRE(source.current() != nullptr);
    source.noteKnownVersion("other", CatalogVersion{100, 0});
    for (const TimePoint end = Clock::now() + milliseconds{10000}; requests < 3 && Clock::now() < end;) {
        context.run_for(std::chrono::milliseconds(10));
    }
    source.stop();
    BOOST_TEST(requests == 3);
}

// A host that starts while the store is unavailable receives the configuration from the other
// hosts.
BOOST_AUTO_TEST_CASE(SendItToNewHosts)
{
    StoreFleet fleet(5, 5);
    fleet.configure(7, manyRoutes);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(7); }));
    fleet.store.setDown(true);
    fleet.restart("host-2");
    BOOST_TEST(fleet.runUntil([&] { return fleet.versionAt("host-2") == 7; }));
}

// Damaged differences are refused, the whole text is requested, and no host returns to an older
// version.
BOOST_AUTO_TEST_CASE(RefuseDamagedDifferences)
{
    StoreFleet fleet(6, 6);
    fleet.configure(1, 50);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    std::mt19937_64 random(6);
    fleet.onSend = [&random](hop::HopMessage &message) {
        auto *push = std::get_if<hop::CatalogPush>(&message);
        for (std::string *bytes :
             {push != nullptr ? &push->difference : nullptr, push != nullptr ? &push->entries.bytes : nullptr}) {
            if (bytes != nullptr && !bytes->empty() && random() % 2 == 0) {
                (*bytes)[random() % bytes->size()] ^= 0x55;
            }
        }
    };
    for (std::uint64_t version = 2; version <= 5; ++version) {
        fleet.configure(version, 50);
        BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(fleet.newest); }), "version " << version << " did not arrive");
    }
    BOOST_TEST(fleet.regressions == 0);
}

// Guards against hosts that end by, or pass on, a deeply nested object that a host of an earlier release
// has read.
BOOST_AUTO_TEST_CASE(RefuseDeeplyNestedObjectsOfEachOther)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    StoreFleet fleet(3, 9);
    fleet.configure(1);
    fleet.store.put("registrations", "upstream-1", {{"leaving", false}});
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1) && fleet.allKnowUpstreams(1); }));
    for (const std::string host : {"host-1", "host-2"}) {
        fleet.store.cutOff(host, true);
    }
    bool isEarlierRelease = true;
    int odd = 0;
    int deepSent = 0;
    const auto intentWith = [&deep](std::uint64_t version) {
        return R"({"main":{"version":)" + std::to_string(version) + R"(},"odd":)" + deep + "}";
    };
    fleet.onSend = [&](hop::HopMessage &message) {
        auto *push = std::get_if<hop::CatalogPush>(&message);
        if (push == nullptr) {
            return;
        }
        if (!isEarlierRelease) {
            const auto text = push->baseDigest == 0 ? applyDifference({}, push->difference, push->digest) : std::string();
            const auto entries = unpackEntries(push->entries);
            const bool isDeepEntry = entries
                && std::ranges::any_of(entries->entries, [](const StoredEntry &entry) { return !isWithinJsonDepth(entry.text); });
            deepSent += (text && !isWithinJsonDepth(*text)) || isDeepEntry ? 1 : 0;
            return;
        }
        ++odd;
        const std::string text = intentWith(push->version.intent);
        push->baseDigest = 0;
        push->difference = makeDifference({}, text);
        push->digest = digestOf(text);
        CollectionDelta delta{push->registrationsSince, push->through.registrations, push->version.registrations, {}};
        delta.entries.push_back({"upstream-1", push->version.registrations, R"({"leaving":false})"});
        delta.entries.push_back({"upstream-odd", push->version.registrations, deep});
        push->entries = packEntries(delta);
    };
    fleet.configure(2);
    fleet.store.put("registrations", "upstream-2", {{"leaving", false}});
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(2); }));
    BOOST_TEST(odd > 0);
    isEarlierRelease = false;
    fleet.freeze("host-0", true);
    fleet.restart("host-2");
    BOOST_TEST(fleet.runUntil([&] { return fleet.versionAt("host-2") == 2; }));
    BOOST_TEST(deepSent == 0);
}

// Guards against hosts that accept no changes while the store holds an older configuration than
// they have.
BOOST_AUTO_TEST_CASE(FollowRegistrationsWhileOperatorsHaveNotWrittenAgain)
{
    StoreFleet fleet(6, 9);
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.store.takeCopy();
    fleet.configure(5);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(5); }));
    fleet.store.restoreCopy();
    fleet.run(milliseconds{500});
    fleet.store.put("registrations", "upstream-1", {{"term", 1}});
    BOOST_TEST(fleet.runUntil([&] { return fleet.allKnowUpstreams(1); }));
    BOOST_TEST(fleet.allHave(5));
    fleet.configure(5);
    fleet.configure(6);
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(6); }));
    BOOST_TEST(fleet.regressions == 0);
}

// Guards against a host that starts before operators have written again and keeps the store's
// older configuration.
BOOST_AUTO_TEST_CASE(SendNewHostsTheConfigurationThatTheStoreHasLost)
{
    StoreFleet fleet(6, 10);
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.store.takeCopy();
    fleet.configure(5);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(5); }));
    fleet.store.restoreCopy();
    fleet.run(milliseconds{300});
    fleet.restart("host-0");
    fleet.restart("host-3");
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(5); }));
    BOOST_TEST(fleet.regressions == 0);
}

// Guards against a host that is cut off from the store and keeps the state from before the
// restore.
BOOST_AUTO_TEST_CASE(InformHostsThatCannotReachItOfItsReturn)
{
    StoreFleet fleet(6, 11);
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.store.takeCopy();
    for (int term = 1; term <= 20; ++term) {
        fleet.store.put("registrations", "lost", {{"term", term}});
    }
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allKnowUpstreams(1); }));
    for (const char *host : {"host-0", "host-4", "host-5"}) {
        fleet.store.cutOff(host, true);
    }
    fleet.store.restoreCopy();
    fleet.configure(2);
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(2) && fleet.allKnowUpstreams(0); }));
    BOOST_TEST(fleet.regressions == 0);
}

// Guards against new work on an upstream that is leaving, caused by its older state in the
// restored copy.
BOOST_AUTO_TEST_CASE(KeepTheNewerStateOfAnUpstreamUntilItHadTheTimeToWriteAgain)
{
    constexpr std::size_t hosts = 4;
    StoreFleet fleet(hosts, 12);
    fleet.store.put("registrations", "upstream-1", {{"heartbeats", 5}});
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1) && fleet.allKnowUpstreams(1); }));
    fleet.store.takeCopy();
    fleet.store.put("registrations", "upstream-1", {{"heartbeats", 6}, {"leaving", true}});
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.knowAsLeaving("upstream-1") == hosts; }));
    fleet.store.restoreCopy();
    fleet.configure(2);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(2); }));
    // An upstream that does not write again has no newer state, so the store's state applies.
    BOOST_TEST(fleet.runUntil([&] { return fleet.knowAsLeaving("upstream-1") == 0; }), "the older state never applied");
    BOOST_TEST(fleet.earliestLoss >= timeToWriteAgain,
               "an older state was applied after " << fleet.earliestLoss.count() << " ms");
}

// Guards against upstreams that count as gone while they register again in the restored store.
BOOST_AUTO_TEST_CASE(KeepUpstreamsThatTheStoreHasLostUntilTheyHadTheTimeToWriteAgain)
{
    StoreFleet fleet(4, 13);
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.store.takeCopy();
    fleet.store.put("registrations", "returns", {{"heartbeats", 1}});
    fleet.store.put("registrations", "gone", {{"heartbeats", 1}});
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allKnowUpstreams(2); }));
    fleet.store.restoreCopy();
    fleet.configure(2);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(2); }));
    fleet.store.put("registrations", "returns", {{"heartbeats", 2}});
    BOOST_TEST(fleet.runUntil([&] { return fleet.allKnowUpstreams(1); }));
    BOOST_TEST(fleet.earliestLoss >= timeToWriteAgain, "one counted as gone after " << fleet.earliestLoss.count() << " ms");
}

// After any schedule of restores, lost and late messages, restarts, cuts and outages, every host
// has the last state that operators and upstreams wrote, and none returned to an older version.
BOOST_AUTO_TEST_CASE(EndWithWhatWasWrittenLastUnderAnyScheduleOfRestores)
{
    constexpr std::size_t hosts = 7;
    for (std::uint64_t seed = 21; seed <= 26; ++seed) {
        StoreFleet fleet(hosts, seed);
        fleet.lossPercent = 20;
        fleet.delayPercent = 30;
        std::mt19937_64 random(seed);
        for (std::uint64_t version = 1; version <= 12; ++version) {
            if (random() % 3 == 0) {
                fleet.store.takeCopy();
            }
            fleet.configure(version * 10, 20);
            disturb(fleet, random, hosts);
            fleet.run(milliseconds{static_cast<int>(random() % 250)});
            if (version % 3 == 0) {
                fleet.store.restoreCopy();
                fleet.run(milliseconds{static_cast<int>(random() % 400)});
                fleet.configure(fleet.newest, 20);
            }
        }
        heal(fleet, hosts);
        std::size_t registered = 0;
        for (int i = 0; i < 5; ++i) {
            registered += fleet.store.holds("registrations", "upstream-" + std::to_string(i)) ? 1 : 0;
        }
        BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(fleet.newest) && fleet.allKnowUpstreams(registered); }),
                   "seed " << seed << ": not all hosts have what was written last");
        BOOST_TEST(fleet.regressions == 0, "seed " << seed << ": a host returned to an older version");
    }
}

// After any schedule of lost, late and reordered messages, restarts, frozen hosts and store
// outages, every host has the version that was accepted last, and none returned to an older
// version.
BOOST_AUTO_TEST_CASE(EndWithTheNewestVersionUnderAnySchedule)
{
    constexpr std::size_t hosts = 7;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        StoreFleet fleet(hosts, seed);
        fleet.lossPercent = 20;
        fleet.delayPercent = 30;
        std::mt19937_64 random(seed);
        for (std::uint64_t version = 1; version <= 12; ++version) {
            fleet.configure(version * 10, 20);
            disturb(fleet, random, hosts);
            fleet.run(milliseconds{static_cast<int>(random() % 250)});
        }
        heal(fleet, hosts);
        BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(fleet.newest); }), "seed " << seed << ": not all hosts have it");
        BOOST_TEST(fleet.regressions == 0, "seed " << seed << ": a host returned to an older version");
    }
}

BOOST_AUTO_TEST_SUITE_END()
