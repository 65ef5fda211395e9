// How a configuration reaches every host and never reverts, also during store outages.

#define BOOST_TEST_MODULE ConfigurationKeeper
#include <boost/test/unit_test.hpp>

#include "egrettide/core/configurationapply.h"
#include "egrettide/core/configurationfile.h"
#include "runtime/configuration/configurationkeeper.h"
#include "tests/runtime/controlplane.h"

#include <nlohmann/json.hpp>

#include <map>

using namespace egrettide;

namespace
{

nlohmann::json objectWithReplicaWait(int waitMs, const std::string &applyId)
{
    const nlohmann::json upstream{
        {"name", "u1"}, {"address", "127.0.0.1:5432"}, {"zone", "a"}, {"slots", 1}, {"connections", 10}};
    const nlohmann::json file{
        {"databases", {{{"name", "d"}, {"durability", "majority"}, {"replicaWaitMs", waitMs}, {"upstreams", {upstream}}}}},
        {"classes", {{{"name", "desk"}, {"reservedShare", 0.1}, {"timeoutMs", 1000}, {"priority", 1}}}},
        {"tenants", {{{"name", "desk"}, {"class", "desk"}, {"share", 1.0}}}}};
    ConfigurationHead head;
    head.applyId = applyId;
    head.who = "test";
    return configurationObject(head, file);
}

// Several keepers on one control context; messages between them arrive at once.
struct Fleet : test::ControlPlane {
    struct Host {
        std::unique_ptr<ConfigurationKeeper> keeper;
        std::vector<std::uint64_t> accepted;
        bool isStoreReader = false;
        bool cutOff = false;
    };
    std::map<std::string, Host> hosts;

    void add(const std::string &name, bool isStoreReader)
    {
        Host &host = hosts[name];
        host.isStoreReader = isStoreReader;
        host.keeper = std::make_unique<ConfigurationKeeper>(
            control, store,
            ConfigurationKeeperHooks{
                [&host](const std::shared_ptr<const Configuration> &configuration) {
                    host.accepted.push_back(configuration->version);
                },
                [this, name](const std::string &to, hop::HopMessage message) { deliver(name, to, std::move(message)); },
                [this, name](std::size_t) { return others(name); }, [&host] { return host.isStoreReader; }});
    }

    ~Fleet()
    {
        for (auto &[name, host] : hosts) {
            host.keeper->stop();
        }
        control.restart();
        control.poll();
    }

    std::vector<std::string> others(const std::string &name) const
    {
        std::vector<std::string> names;
        for (const auto &[other, host] : hosts) {
            if (other != name) {
                names.push_back(other);
            }
        }
        return names;
    }

    void deliver(const std::string &from, const std::string &to, hop::HopMessage message)
    {
        // Some cases name peers that have no keeper and send their messages directly.
        if (!hosts.contains(to) || hosts.at(from).cutOff || hosts.at(to).cutOff) {
            return;
        }
        boost::asio::post(control, [this, from, to, message = std::move(message)] {
            ConfigurationKeeper &keeper = *hosts.at(to).keeper;
            if (const auto *offer = std::get_if<hop::ConfigOffer>(&message)) {
                keeper.onOffer(from, *offer);
            } else if (const auto *pull = std::get_if<hop::ConfigPull>(&message)) {
                keeper.onPull(from, *pull);
            } else if (const auto *push = std::get_if<hop::ConfigPush>(&message)) {
                keeper.onPush(from, *push);
            }
        });
    }

    bool allAt(std::uint64_t version)
    {
        return runUntil([&] {
            return std::all_of(hosts.begin(), hosts.end(), [&](const auto &entry) {
                const auto current = entry.second.keeper->current();
                return entry.second.cutOff || (current && current->version == version);
            });
        });
    }

    std::uint64_t versionAt(const std::string &name) const
    {
        const auto current = hosts.at(name).keeper->current();
        return current ? current->version : 0;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationKeeperSuite)

BOOST_FIXTURE_TEST_CASE(SpreadsFromTheZonesReaderToAllHosts, Fleet)
{
    for (const char *name : {"a", "b", "c", "d"}) {
        add(name, std::string(name) == "a");
    }
    for (auto &[name, host] : hosts) {
        host.keeper->start();
    }
    const std::uint64_t first = platform.put(std::string(ConfigurationKey), objectWithReplicaWait(10, "one"));
    BOOST_TEST(allAt(first), "not every host took version " << first);
    const std::uint64_t second = platform.put(std::string(ConfigurationKey), objectWithReplicaWait(20, "two"));
    BOOST_TEST(allAt(second), "not every host took version " << second);
}

BOOST_FIXTURE_TEST_CASE(ANewHostReceivesItFromOthersDuringAStoreOutage, Fleet)
{
    // If the store is the only source, a host that is replaced during a store outage has no
    // configuration and refuses all callers.
    add("a", true);
    hosts.at("a").keeper->start();
    const std::uint64_t version = platform.put(std::string(ConfigurationKey), objectWithReplicaWait(10, "one"));
    BOOST_TEST_REQUIRE(allAt(version));
    platform.setDown(true);
    add("fresh", false);
    hosts.at("fresh").keeper->start();
    hosts.at("fresh").keeper->noteKnownVersion("a", {version, 0});
    BOOST_TEST(allAt(version), "the fresh host stayed without a configuration");
}

BOOST_FIXTURE_TEST_CASE(ANewHostPutsNoOldValueInForceOnceAPeerReportedANewerOne, Fleet)
{
    // If a replaced host serves with the first value that it reads, which is old, statements
    // reach an upstream that is leaving according to a peer's newer value and was to be empty.
    add("fresh", false);
    const std::uint64_t oldVersion = platform.put(std::string(ConfigurationKey), objectWithReplicaWait(10, "one"));
    hosts.at("fresh").keeper->noteKnownVersion("peer", {oldVersion + 1, 0});
    hosts.at("fresh").keeper->onPush("lagging", hop::ConfigPush{oldVersion, objectWithReplicaWait(10, "one").dump()});
    BOOST_TEST(versionAt("fresh") == 0U, "an old value was put in force though a peer reported a newer one");
    hosts.at("fresh").keeper->onPush("peer", hop::ConfigPush{oldVersion + 1, objectWithReplicaWait(20, "two").dump()});
    BOOST_TEST(versionAt("fresh") == oldVersion + 1);
}

BOOST_FIXTURE_TEST_CASE(AnOldPushNeverReverts, Fleet)
{
    // If a host accepts the last value that arrives instead of the newest, an accepted change is
    // undone minutes later, when a host that was cut off returns and sends its old configuration.
    add("a", true);
    hosts.at("a").keeper->start();
    const auto oldObject = objectWithReplicaWait(10, "one");
    const std::uint64_t oldVersion = platform.put(std::string(ConfigurationKey), oldObject);
    const std::uint64_t newVersion = platform.put(std::string(ConfigurationKey), objectWithReplicaWait(20, "two"));
    BOOST_TEST_REQUIRE(allAt(newVersion));
    hosts.at("a").keeper->onPush("returned", hop::ConfigPush{oldVersion, oldObject.dump()});
    BOOST_TEST(versionAt("a") == newVersion);
    const auto &accepted = hosts.at("a").accepted;
    BOOST_TEST(std::is_sorted(accepted.begin(), accepted.end()), "versions in force must only rise");
}

BOOST_FIXTURE_TEST_CASE(ADamagedObjectLeavesTheLastGoodOneInForce, Fleet)
{
    // If a host watches from the version in force while the store holds a newer object that no
    // host can read, the watch returns at once each time: the host loops and fills its log.
    add("a", true);
    hosts.at("a").keeper->start();
    const std::uint64_t good = platform.put(std::string(ConfigurationKey), objectWithReplicaWait(10, "one"));
    BOOST_TEST_REQUIRE(allAt(good));
    platform.put(std::string(ConfigurationKey), {{"file", "nonsense"}});
    runUntil([rounds = 0]() mutable { return ++rounds > 20; });
    BOOST_TEST(versionAt("a") == good);
    BOOST_TEST(platform.calls().watches < 10U,
               platform.calls().watches << " watches for one damaged object; each must wait for a newer one");
    const std::uint64_t better = platform.put(std::string(ConfigurationKey), objectWithReplicaWait(30, "three"));
    BOOST_TEST(allAt(better), "a good version after a damaged one was not taken");
}

BOOST_FIXTURE_TEST_CASE(MalformedPushesAreIgnored, Fleet)
{
    add("a", false);
    hosts.at("a").keeper->start();
    hosts.at("a").keeper->onPush("peer", hop::ConfigPush{99, "{not json"});
    hosts.at("a").keeper->onPush("peer", hop::ConfigPush{99, "[]"});
    BOOST_TEST(versionAt("a") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
