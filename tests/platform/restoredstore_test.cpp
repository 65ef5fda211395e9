// Tests of hosts whose store is restored from an older copy.

#define BOOST_TEST_MODULE RestoredStore
#include <boost/test/unit_test.hpp>

#include "platformsite.h"

using namespace egrettide;
using egrettide::test::eventually;
using egrettide::test::LineClient;
using egrettide::test::PlatformSite;

namespace
{

// Number of registration changes that the copy lacks, by which the store's counter goes back.
constexpr int lostChanges = 40;

class Site : public PlatformSite
{
public:
    Site() : PlatformSite(3)
    {
        platform.setEpoch("1");
    }

    // Whether every host accepts callers of that route.
    bool allServe(const std::string &route) const
    {
        return std::ranges::all_of(addresses, [&route](const std::string &address) { return lets(address, route); });
    }

    bool noneServes(const std::string &route) const
    {
        return std::ranges::none_of(addresses, [&route](const std::string &address) { return lets(address, route); });
    }

    // Upstreams write their registrations.
    void registerUpstreams(int sequence)
    {
        for (const char *member : {"m1", "m2", "m3"}) {
            nlohmann::json registration = group.registration(member);
            registration["sequence"] = sequence;
            platform.putObject("servers", member, registration);
        }
    }

    // Takes a copy, makes changes that end with a new route, and restores the copy.
    void restoreAfterLosing(int version, const std::string &route)
    {
        platform.takeCopy();
        for (int i = 0; i < lostChanges; ++i) {
            registerUpstreams(100 + i);
        }
        configure(version, {route});
        BOOST_TEST_REQUIRE(eventually([&] { return allServe(route); }));
        platform.restoreCopy();
    }

    // Makes the primary unreachable until writes are served again.
    void replacePrimary()
    {
        const std::string lost = group.primary();
        group.setDark(lost, true);
        LineClient client(addresses.front());
        client.start("pay");
        BOOST_TEST_REQUIRE(eventually([&client] { return client.run("WRITE after 1").succeeded(); }),
                           "no write was served after " << lost << " was lost");
        group.setDark(lost, false);
        BOOST_TEST_REQUIRE(eventually([this] { return serves(addresses.front()); }));
    }

private:
    static bool lets(const std::string &address, const std::string &route)
    {
        LineClient client(address);
        return client.start(route).state == 'I';
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AStoreRestoredFromACopy, Site)

// Guards against hosts that ignore the store until its revisions exceed the last known ones.
BOOST_AUTO_TEST_CASE(IsFollowedFromWhereItGoesOn)
{
    restoreAfterLosing(22, "removed");
    registerUpstreams(200);
    configure(22, {"removed"});
    configure(26, {"added"});
    BOOST_TEST(eventually([this] { return noneServes("removed"); }), "a removed route is still served");
    BOOST_TEST(allServe("added"), "an added route is refused");
}

// Guards against hosts that others do not discover because the copy predates their registration.
BOOST_AUTO_TEST_CASE(GetsTheEntriesOfItsHostsBack)
{
    platform.removeObject("egrettide-hosts", "h2");
    platform.takeCopy();
    registerUpstreams(100);
    configure(2, {"added"});
    BOOST_TEST_REQUIRE(eventually([this] { return allServe("added"); }));
    platform.restoreCopy();
    BOOST_TEST(eventually([this] { return platform.objectOfKind("egrettide-hosts", "h2").has_value(); }));
}

// Guards against a database that stays without a primary because its fencing tokens decreased with the store's revisions.
BOOST_AUTO_TEST_CASE(GivesHigherFencingTokensThanBefore)
{
    platform.takeCopy();
    for (int i = 0; i < lostChanges; ++i) {
        registerUpstreams(100 + i);
    }
    replacePrimary();
    const std::uint64_t before = platform.promotions().back().fencingToken;
    platform.restoreCopy();
    registerUpstreams(200);
    replacePrimary();
    BOOST_TEST(platform.promotions().back().fencingToken > before);
}

// Guards against a host that starts with a restored store's older configuration, and against hosts that revert to it.
BOOST_AUTO_TEST_CASE(DoesNotOverrideHostsWithANewerConfiguration)
{
    configure(5, {"older"});
    BOOST_TEST_REQUIRE(eventually([this] { return allServe("older"); }));
    platform.takeCopy();
    configure(9, {"newer"});
    BOOST_TEST_REQUIRE(eventually([this] { return allServe("newer") && noneServes("older"); }));
    platform.setDown(true);
    platform.restoreCopy();
    platform.setDown(false);
    startHost("h4", "a");
    BOOST_TEST(eventually([this] { return allServe("newer") && noneServes("older"); }));
    platform.restoreCopy();
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST((allServe("newer") && noneServes("older")), "a host reverted to the store's older configuration");
    configure(9, {"newer"});
    configure(12, {"newest"});
    BOOST_TEST(eventually([this] { return allServe("newest") && noneServes("newer"); }));
}

// Guards against two promotions under one fencing token, or no promotion, when the restore loses the claim.
BOOST_AUTO_TEST_CASE(LosesAClaimAndStillOneHostPromotes)
{
    platform.takeCopy();
    for (int i = 0; i < lostChanges; ++i) {
        registerUpstreams(100 + i);
    }
    group.setDark("m1", true);
    BOOST_TEST_REQUIRE(eventually([this] { return platform.objectOfKind("egrettide-groups", "service").has_value(); }));
    platform.restoreCopy();
    registerUpstreams(200);
    LineClient client(addresses.front());
    client.start("pay");
    BOOST_TEST(eventually([&client] { return client.run("WRITE after 1").succeeded(); }));
    const auto orders = platform.promotions();
    for (std::size_t i = 1; i < orders.size(); ++i) {
        BOOST_TEST((orders[i].fencingToken > orders[i - 1].fencingToken || orders[i].holder == orders[i - 1].holder),
                   "two holders used one fencing token");
    }
}

BOOST_AUTO_TEST_SUITE_END()
