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

BOOST_AUTO_TEST_SUITE_END()
