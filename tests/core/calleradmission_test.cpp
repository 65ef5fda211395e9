// Tests of the admission of callers by their key.

#define BOOST_TEST_MODULE CallerAdmission
#include <boost/test/unit_test.hpp>

#include "egrettide/core/calleradmission.h"

using namespace egrettide;

namespace
{

Configuration configurationWith(bool requiresKeys)
{
    Configuration configuration;
    configuration.requiresKeys = requiresKeys;
    TenantSpec desk;
    desk.name = "desk";
    desk.keys = {"k1", "k2"};
    configuration.tenants = {desk};
    RouteSpec closed;
    closed.name = "closed";
    RouteSpec open;
    open.name = "open";
    open.allowsUnknownKeys = true;
    configuration.routes = {closed, open};
    return configuration;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerAdmission)

BOOST_AUTO_TEST_CASE(FindsTheHolderOfAKeyOnEveryRoute)
{
    const Configuration configuration = configurationWith(true);
    for (const char *route : {"closed", "open", "missing"}) {
        BOOST_TEST(workspaceFor(configuration, route, "k2").value_or("refused") == "desk");
    }
}

BOOST_AUTO_TEST_CASE(RefusesUnknownKeysUnlessTheRouteAdmitsThem)
{
    const Configuration configuration = configurationWith(true);
    for (const char *key : {"", "k", "k11", "K1"}) {
        for (const char *route : {"closed", "missing"}) {
            const auto refused = workspaceFor(configuration, route, key);
            BOOST_TEST_REQUIRE(!refused.has_value());
            BOOST_TEST((refused.error().kind == ErrorKind::AuthenticationFailed));
        }
        BOOST_TEST(workspaceFor(configuration, "open", key).value_or("refused").empty());
    }
}

BOOST_AUTO_TEST_CASE(AdmitsAnyKeyWhereNoKeysAreRequired)
{
    BOOST_TEST(workspaceFor(configurationWith(false), "closed", "anybody").value_or("refused").empty());
}

BOOST_AUTO_TEST_SUITE_END()
