// How a zone follows a store that answers some of its hosts only.

#define BOOST_TEST_MODULE SilentStore
#include <boost/test/unit_test.hpp>

#include "tests/runtime/storefleet.h"

#include <set>
#include <string>

using namespace egrettide;
using namespace egrettide::test;

namespace
{

// Hosts that had no configuration of that version when the time was up; `silent` ones do not count.
std::string lateHosts(const StoreFleet &fleet, std::size_t hosts, const std::set<std::string> &silent, std::uint64_t version)
{
    std::string late;
    for (std::size_t i = 0; i < hosts; ++i) {
        const std::string name = "host-" + std::to_string(i);
        if (!silent.contains(name) && fleet.versionAt(name) != version) {
            late += " " + name;
        }
    }
    return late;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostsThatTheStoreAnswers)

// Guards against hosts that never receive a change because the store answers none of the first three candidates.
BOOST_AUTO_TEST_CASE(ReceiveChangesAlsoWhenItAnswersNoneOfTheFirst)
{
    constexpr std::size_t hosts = 9;
    for (const std::size_t silentHosts : {3U, 7U}) {
        StoreFleet fleet(hosts, 91);
        fleet.configure(1);
        BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
        fleet.run(milliseconds{600});
        std::set<std::string> silent;
        for (std::size_t i = 0; i < silentHosts; ++i) {
            silent.insert("host-" + std::to_string(i));
            fleet.store.silence("host-" + std::to_string(i), true);
        }
        fleet.configure(2);
        const bool inForce = fleet.runUntil([&] { return lateHosts(fleet, hosts, silent, 2).empty(); }, milliseconds{12000});
        BOOST_TEST(inForce, "without the change:" << lateHosts(fleet, hosts, silent, 2));
    }
}

BOOST_AUTO_TEST_SUITE_END()
