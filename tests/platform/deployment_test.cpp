// Tests of the translation of the platform's store content into a configuration.

#define BOOST_TEST_MODULE Deployment
#include <boost/test/unit_test.hpp>

#include "platform/deployment.h"
#include "platform/registration.h"

#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

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
    return {{"service", service}, {"address", "10.0.0.9:8080"}, {"zone", "a"},     {"slots", 5},
            {"state", state},     {"dbRole", "replica"},        {"version", "v1"}, {"coldRemainingMs", 0},
            {"sequence", 3}};
}

RegisteredUpstreams parsed(const NamedObjects &registrations)
{
    RegisteredUpstreams upstreams;
    for (const auto &[id, value] : registrations) {
        if (const auto one = platform::parseRegistration(id, value)) {
            upstreams.emplace(id, *one);
        }
    }
    return upstreams;
}

tl::expected<Configuration, Error> configured(const NamedObjects &objects, const RegisteredUpstreams &upstreams)
{
    const auto translated = platform::translate(objects);
    return translated ? tl::expected<Configuration, Error>(withUpstreams(*translated, upstreams))
                      : tl::unexpected(translated.error());
}

// A complete entry with one field replaced, or removed when `value` is null.
json withField(const std::string &field, const json &value)
{
    json entry = registration("bookings", "ready");
    if (value.is_null()) {
        entry.erase(field);
    } else {
        entry[field] = value;
    }
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Deployments)

BOOST_AUTO_TEST_CASE(GiveRoutesTheirFreshnessAndClass)
{
    const auto configuration = configured(intent(), {});
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
    BOOST_TEST(first->priority > second->priority, "0 is the highest priority on the wire; here higher numbers take precedence");
    BOOST_TEST((configuration->transactionIdleTimeout == milliseconds{3000}));
}

BOOST_AUTO_TEST_CASE(PutUpstreamsUnderTheirService)
{
    const auto configuration = configured(intent(),
                                          parsed({{"i-1", registration("bookings", "ready")},
                                                  {"i-2", registration("bookings", "draining")},
                                                  {"i-3", registration("another", "ready")}}));
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
    BOOST_TEST(!configured({}, {}).has_value());
    BOOST_TEST(!configured({{"main", 5}}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(WithDamagedPartsCrashNothing)
{
    const json damaged{
        {"version", "x"}, {"routes", {1, "two", {{"host", 3}}}}, {"services", {{{"name", 4}}}}, {"limits", "none"}};
    const auto read = configured({{"main", damaged}}, parsed({{"i-1", "text"}, {"i-2", json::array()}}));
    BOOST_TEST((!read.has_value() || read->route("pay") == nullptr));
}

BOOST_AUTO_TEST_CASE(WithNumbersBeyondRangeAreKeptWithinIt)
{
    const json damaged{{"version", 1e300},
                       {"routes", {{{"host", "pay"}, {"service", "bookings"}, {"priority", 1e19}, {"timeoutMs", -1e18}}}},
                       {"services", {{{"name", "bookings"}, {"maxConnections", 9007199254740993.0e10}}}},
                       {"limits", {{"txIdleMs", 1e30}}}};
    const auto read = configured({{"main", damaged}}, parsed({{"i-1", registration("bookings", "ready")}}));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read->version == 0U);
    BOOST_TEST(read->database("bookings")->upstream("i-1")->connections >= 1);
    BOOST_TEST(!read->transactionIdleTimeout.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Registrations)

// Guards against requests to an upstream that does not exist and against a crash of every host
// when another program writes an entry among the registrations: an unknown state counted as
// ready, a missing address was used, and a field of another type reached a cast that throws.
BOOST_AUTO_TEST_CASE(OfAnotherWriterNameNoUpstream)
{
    const std::vector<std::pair<std::string, json>> faults{{"service", nullptr},
                                                           {"service", 4},
                                                           {"service", ""},
                                                           {"address", nullptr},
                                                           {"address", 8080},
                                                           {"address", "somewhere"},
                                                           {"address", "10.0.0.9"},
                                                           {"address", "10.0.0.9:0"},
                                                           {"address", "10.0.0.9:99999"},
                                                           {"zone", nullptr},
                                                           {"zone", json::array()},
                                                           {"slots", nullptr},
                                                           {"slots", "5"},
                                                           {"slots", 0},
                                                           {"slots", -3},
                                                           {"slots", 2.5},
                                                           {"slots", 1e300},
                                                           {"slots", std::numeric_limits<std::uint64_t>::max()},
                                                           {"state", nullptr},
                                                           {"state", "resting"},
                                                           {"state", true},
                                                           {"dbRole", "emperor"},
                                                           {"dbRole", 1},
                                                           {"dbRole", nullptr},
                                                           {"coldRemainingMs", "soon"},
                                                           {"sequence", -1},
                                                           {"sequence", nullptr},
                                                           {"version", 3},
                                                           {"born", "yesterday"},
                                                           {"born", 1.5},
                                                           {"born", -1},
                                                           {"born", 1e300}};
    for (const auto &[field, value] : faults) {
        const auto read = platform::parseRegistration("i-1", withField(field, value));
        BOOST_TEST(!read.has_value(), "an entry whose " << field << " is " << value << " named an upstream");
        BOOST_TEST((read.has_value() || read.error().message.find(field) != std::string::npos),
                   "the error does not name the field " << field << ": " << read.error().message);
    }
    for (const json &value : {json(), json("text"), json::array(), json(7), json::object()}) {
        BOOST_TEST(!platform::parseRegistration("i-1", value).has_value());
    }
}

BOOST_AUTO_TEST_CASE(WithUnknownFieldsAreAccepted)
{
    BOOST_TEST(platform::parseRegistration("i-1", withField("colour", "green")).has_value());
    BOOST_TEST(platform::parseRegistration("i-1", withField("slots", 5.0)).has_value());
}

// Guards against applying the positions and roles of a failed process to its successor. An
// upstream that crashes restarts under the same id, so state kept by id alone would survive.
BOOST_AUTO_TEST_CASE(OfAProcessThatStartedAgainNameAnother)
{
    const auto first = platform::parseRegistration("i-1", withField("born", 1775980000000));
    const auto second = platform::parseRegistration("i-1", withField("born", 1775980009000));
    const auto earlier = platform::parseRegistration("i-1", withField("born", 1775970000000));
    BOOST_TEST_REQUIRE((first.has_value() && second.has_value() && earlier.has_value()));
    BOOST_TEST(first->upstream.name != second->upstream.name);
    BOOST_TEST(first->upstream.name != earlier->upstream.name, "an earlier start time also denotes another process");
    for (const auto *one : {&first, &second, &earlier}) {
        BOOST_TEST(platform::instanceIdOf((*one)->upstream.name) == "i-1", "upstreams identify themselves by their id alone");
    }
    BOOST_TEST(platform::instanceIdOf("i-1") == "i-1");
}

BOOST_AUTO_TEST_CASE(OfAnyContentThrowNothing)
{
    const bool holds = rc::check("whatever an entry holds, it names a usable upstream or none", [] {
        json entry = registration("bookings", "ready");
        const auto fields = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
        const char *const names[] = {"service", "address",         "zone",     "slots", "state",
                                     "dbRole",  "coldRemainingMs", "sequence", "born"};
        for (const int field : fields) {
            const int kind = *rc::gen::inRange(0, 5);
            json &value = entry[names[field]];
            value = kind == 0 ? json(*rc::gen::arbitrary<std::string>())
                : kind == 1   ? json(*rc::gen::arbitrary<std::int64_t>())
                : kind == 2   ? json(*rc::gen::arbitrary<double>())
                : kind == 3   ? json(nullptr)
                              : json::array({1, "x"});
        }
        const auto read = platform::parseRegistration("i-1", entry);
        RC_ASSERT(!read || (read->upstream.slots > 0 && !read->upstream.address.empty() && !read->database.empty()));
        if (read) {
            RC_ASSERT(configured(intent(), {{"i-1", *read}}).has_value());
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Workspaces)

namespace
{

NamedObjects withWorkspaces(const json &workspaces)
{
    NamedObjects objects = intent();
    objects["main"]["tenants"] = workspaces;
    objects["main"]["routes"][1]["allowAnonymous"] = true;
    return objects;
}

json workspace(const std::string &name, const json &keys)
{
    return {{"name", name}, {"apiKeys", keys}, {"priority", 1}, {"ratePerS", 12.5}, {"burst", 20}};
}

} // namespace

BOOST_AUTO_TEST_CASE(AreTakenOverWithKeysAndQuota)
{
    const auto configuration = configured(withWorkspaces(json::array({workspace("desk", {"k1", "k2"})})), {});
    BOOST_TEST_REQUIRE(configuration.has_value());
    BOOST_TEST(configuration->requiresKeys);
    const TenantSpec *desk = configuration->tenantOfKey("k2");
    BOOST_TEST_REQUIRE((desk != nullptr && desk->quota.has_value()));
    BOOST_TEST(desk->name == "desk");
    BOOST_TEST(desk->quota->perSecond == 12.5);
    BOOST_TEST(desk->quota->burst == 20);
    BOOST_TEST(configuration->route("browse")->allowsUnknownKeys);
    BOOST_TEST(!configuration->route("pay")->allowsUnknownKeys);
}

BOOST_AUTO_TEST_CASE(AreNotRequiredWhereThePlatformListsNone)
{
    const auto configuration = configured(intent(), {});
    BOOST_TEST_REQUIRE(configuration.has_value());
    BOOST_TEST(!configuration->requiresKeys);
}

BOOST_AUTO_TEST_CASE(WithADamagedEntryAdmitNoCaller)
{
    // Guards against serving a caller with an empty key. An entry may lack its name, have an empty
    // key or have numbers in place of keys; unreadable values must not match any key.
    const json damaged{workspace("", json::array({"k1"})),
                       workspace("two words", json::array({"k2"})),
                       "nonsense",
                       workspace("desk", {"", 7, "k3"}),
                       {{"name", "keyless"}},
                       {{"name", "odd"}, {"apiKeys", "k4"}, {"ratePerS", "many"}}};
    const auto configuration = configured(withWorkspaces(damaged), {});
    BOOST_TEST_REQUIRE(configuration.has_value());
    for (const char *key : {"", "k1", "k2", "7", "k4"}) {
        BOOST_TEST((configuration->tenantOfKey(key) == nullptr), "the key '" << key << "' admits a caller");
    }
    BOOST_TEST_REQUIRE((configuration->tenantOfKey("k3") != nullptr));
    BOOST_TEST(configuration->tenantOfKey("k3")->name == "desk");
}

BOOST_AUTO_TEST_CASE(ThatShareAKeyAreRefusedTogether)
{
    const auto configuration =
        configured(withWorkspaces(json::array({workspace("desk", json::array({"k1"})), workspace("site", {"k2", "k1"})})), {});
    BOOST_TEST_REQUIRE(!configuration.has_value());
    BOOST_TEST(configuration.error().message.find("k1") == std::string::npos, "an error message contains a key");
}

BOOST_AUTO_TEST_SUITE_END()
