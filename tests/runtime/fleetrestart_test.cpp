// What hosts that start together read in the store.

#define BOOST_TEST_MODULE FleetRestart
#include <boost/test/unit_test.hpp>

#include "tests/runtime/storefleet.h"

#include <string>

using namespace egrettide;
using namespace egrettide::test;

BOOST_AUTO_TEST_SUITE(HostsThatStartTogether)

// Guards against a fleet that does not serve after all its hosts have restarted: each reads the whole
// intent, together more than the link of the store carries within a call, and all repeat it.
BOOST_AUTO_TEST_CASE(ReadTheWholeIntentAsOftenWhateverTheirNumber)
{
    for (const std::size_t hosts : {4U, 24U}) {
        StoreFleet fleet(hosts, 71);
        fleet.configure(1);
        BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
        const int before = fleet.store.listsOf("intent");
        for (std::size_t i = 0; i < hosts; ++i) {
            fleet.restart("host-" + std::to_string(i));
        }
        BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
        const int lists = fleet.store.listsOf("intent") - before;
        BOOST_TEST(lists <= 4, hosts << " hosts of one zone read the whole intent " << lists << " times");
    }
}

// Guards against a fleet that reads its configuration only when its hosts have found each other: 0.3
// of the 0.45 s from the start of 138 hosts to their first answer.
BOOST_AUTO_TEST_CASE(ReceiveTheFirstIntentBeforeTheyKnowEachOther)
{
    for (const std::size_t hosts : {9U, 46U, 164U}) {
        StoreFleet fleet(hosts, 72);
        fleet.configure(1);
        BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
        const int before = fleet.store.listsOf("intent");
        fleet.zonesAreKnown = false;
        for (std::size_t i = 0; i < hosts; ++i) {
            fleet.restart("host-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            fleet.listAt("host-" + std::to_string(i));
        }
        // Without the list's order, a host of a large zone reads after 3 s at the earliest.
        BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(1); }, milliseconds{2500}), hosts << " hosts wait for each other");
        const int lists = fleet.store.listsOf("intent") - before;
        BOOST_TEST(lists <= (hosts <= 9 ? 9 : 4), hosts << " hosts of one zone read the whole intent " << lists << " times");
    }
}

// Guards against hosts that wait for a reader which is on the list and no longer exists.
BOOST_AUTO_TEST_CASE(AskTheNextReaderWhenOneOfTheListIsGone)
{
    StoreFleet fleet(20, 73);
    fleet.configure(1);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.allHave(1); }));
    fleet.zonesAreKnown = false;
    // The names are listed in the order of preference.
    for (const std::string gone : {"host-0", "host-1"}) {
        fleet.freeze(gone, true);
    }
    for (std::size_t i = 2; i < 20; ++i) {
        fleet.restart("host-" + std::to_string(i));
    }
    for (std::size_t i = 2; i < 20; ++i) {
        fleet.listAt("host-" + std::to_string(i));
    }
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHave(1); }, milliseconds{2500}));
}

BOOST_AUTO_TEST_SUITE_END()
