// What lies in the platform's store, read as a configuration.

#define BOOST_TEST_MODULE Deployment
#include <boost/test/unit_test.hpp>

#include "platform/deployment.h"

using namespace egrettide;
using nlohmann::json;

namespace
{

json route(const std::string &host, const std::string &type, int priority)
{
    return {{"name", "r-" + host},    {"host", host},         {"type", type},          {"timeoutMs", 1000},
            {"targetLatencyMs", 200}, {"priority", priority}, {"service", "bookings"}, {"maxStalenessMs", 1500}};
}

NamedObjects intent()
{
    const json document{
        {"version", 7},
        {"routes", {route("pay", "primary", 1), route("browse", "bounded_staleness", 2), route("log", "read_your_writes", 2)}},
        {"services", {{{"name", "bookings"}, {"maxConnections", 33}, {"syncReplicas", 0}}}},
        {"limits", {{"txIdleMs", 3000}}}};
    return {{"main", document}};
}

json registration(const std::string &service, const std::string &state)
{
    return {{"service", service}, {"address", "10.0.0.9:8080"}, {"zone", "a"}, {"slots", 5},
            {"state", state},     {"dbRole", "replica"}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Deployments)

BOOST_AUTO_TEST_CASE(GiveRoutesTheirFreshnessAndClass)
{
    const auto configuration = platform::translate(intent(), {});
    BOOST_TEST_REQUIRE(configuration.has_value());
    BOOST_TEST(configuration->version == 7U);
    const RouteSpec *pay = configuration->route("pay");
    const RouteSpec *browse = configuration->route("browse");
    BOOST_TEST_REQUIRE((pay != nullptr && browse != nullptr && configuration->route("log") != nullptr));
    BOOST_TEST((pay->freshness == RouteFreshness::Latest));
    BOOST_TEST((browse->freshness == RouteFreshness::Bounded));
    BOOST_TEST((configuration->route("log")->freshness == RouteFreshness::OwnWrites));
    BOOST_TEST((browse->maxAge == milliseconds{1500}));
    BOOST_TEST((browse->latencyObjective == milliseconds{200}));
    const ClassSpec *first = configuration->classNamed(pay->className);
    const ClassSpec *second = configuration->classNamed(browse->className);
    BOOST_TEST_REQUIRE((first != nullptr && second != nullptr));
    BOOST_TEST(first->priority > second->priority, "0 is the highest priority there; here higher numbers go first");
    BOOST_TEST((configuration->transactionIdleTimeout == milliseconds{3000}));
}

BOOST_AUTO_TEST_CASE(PutUpstreamsUnderTheirService)
{
    const auto configuration = platform::translate(intent(),
                                                   {{"i-1", registration("bookings", "ready")},
                                                    {"i-2", registration("bookings", "draining")},
                                                    {"i-3", registration("another", "ready")}});
    BOOST_TEST_REQUIRE(configuration.has_value());
    const DatabaseSpec *database = configuration->database("bookings");
    BOOST_TEST_REQUIRE((database != nullptr && database->upstreams.size() == 2U));
    BOOST_TEST(!database->upstream("i-1")->leaving);
    BOOST_TEST(database->upstream("i-2")->leaving);
    BOOST_TEST(database->upstream("i-1")->connections == 33);
    BOOST_TEST(database->upstream("i-1")->slots == 5);
}

BOOST_AUTO_TEST_CASE(WithoutTheOperatorsObjectAreRefused)
{
    BOOST_TEST(!platform::translate({}, {}).has_value());
    BOOST_TEST(!platform::translate({{"main", 5}}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(WithDamagedPartsCrashNothing)
{
    const json damaged{
        {"version", "x"}, {"routes", {1, "two", {{"host", 3}}}}, {"services", {{{"name", 4}}}}, {"limits", "none"}};
    const auto read = platform::translate({{"main", damaged}}, {{"i-1", "text"}, {"i-2", json::array()}});
    BOOST_TEST((!read.has_value() || read->route("pay") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
