// Tests of the operators' file: all faults are reported together, each with its place and
// remedy, and a written file parses to the same configuration.

#define BOOST_TEST_MODULE ConfigurationFile
#include <boost/test/unit_test.hpp>

#include "egrettide/core/configurationfile.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

using namespace egrettide;
using nlohmann::json;

namespace
{

json validFile()
{
    return json::parse(R"({
        "databases": [{"name": "bookings", "durability": "majority", "maxAgeMs": 500, "replicaWaitMs": 20, "upstreams": [
            {"name": "b1", "address": "10.0.0.1:5432", "zone": "a", "slots": 5, "connections": 30},
            {"name": "b2", "address": "10.0.0.2:5432", "zone": "b", "slots": 5, "connections": 30},
            {"name": "b3", "address": "[fd00::3]:5432", "zone": "c", "slots": 5, "connections": 30}]}],
        "classes": [{"name": "desks", "reservedShare": 0.5, "timeoutMs": 5000, "priority": 10}],
        "tenants": [{"name": "oak", "class": "desks", "password": "secret", "share": 0.25}]})");
}

// The messages of all faults, one per line.
std::string faultsOf(const json &file)
{
    const auto parsed = parseConfiguration(file);
    std::string messages;
    if (!parsed) {
        for (const Error &error : parsed.error()) {
            messages += error.message + '\n';
        }
    }
    return messages;
}

void expectFault(const json &file, const std::string &place, const std::string &words)
{
    const std::string faults = faultsOf(file);
    const std::string line = faults.substr(std::min(faults.find(place + ": "), faults.size()));
    BOOST_TEST(line.substr(0, line.find('\n')).find(words) != std::string::npos,
               "expected a fault at " << place << " that says '" << words << "', and got:\n"
                                      << faults);
}

std::string textOf(const std::string &path)
{
    const char *root = std::getenv("EGRETTIDE_SOURCE");
    std::ifstream stream(std::string(root != nullptr ? root : ".") + '/' + path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

Configuration arbitraryConfiguration()
{
    Configuration made;
    const int databases = *rc::gen::inRange(1, 4);
    for (int index = 0; index < databases; ++index) {
        DatabaseSpec database;
        database.name = "db" + std::to_string(index);
        database.durability = *rc::gen::element(Durability::Majority, Durability::PrimaryOnly);
        if (*rc::gen::arbitrary<bool>()) {
            database.maxAge = milliseconds(*rc::gen::inRange(0, 100000));
        }
        database.replicaWait = milliseconds(*rc::gen::inRange(0, 60001));
        const int upstreams = *rc::gen::inRange(1, 5);
        for (int member = 0; member < upstreams; ++member) {
            const std::string name = database.name + "-" + std::to_string(member);
            database.upstreams.push_back({name, "127.0.0.1:" + std::to_string(1000 + member), "z" + std::to_string(member),
                                          *rc::gen::inRange(1, 50), *rc::gen::inRange(1, 50),
                                          member > 0 && *rc::gen::arbitrary<bool>()});
        }
        made.databases.push_back(database);
    }
    made.classes.push_back(
        {"desks", *rc::gen::inRange(0, 101) / 100.0, milliseconds(*rc::gen::inRange(1, 10000)), *rc::gen::inRange(-5, 5)});
    made.tenants.push_back(
        {"oak", "desks", *rc::gen::element(std::string(), std::string("p\"w\n")), *rc::gen::inRange(0, 101) / 100.0});
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationFileForm)

BOOST_AUTO_TEST_CASE(ReadsEveryField)
{
    const auto parsed = parseConfiguration(validFile());
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), faultsOf(validFile()));
    const DatabaseSpec *database = parsed->database("bookings");
    BOOST_REQUIRE(database != nullptr);
    BOOST_TEST((database->durability == Durability::Majority));
    BOOST_TEST((database->maxAge == milliseconds(500)));
    BOOST_TEST(database->upstream("b3")->address == "[fd00::3]:5432");
    BOOST_TEST(database->upstream("b1")->slots == 5);
    BOOST_TEST(parsed->classNamed("desks")->reservedShare == 0.5);
    BOOST_TEST((parsed->classNamed("desks")->timeout == milliseconds(5000)));
    BOOST_TEST(parsed->tenant("oak")->className == "desks");
    BOOST_TEST(parsed->tenant("oak")->share == 0.25);
    BOOST_TEST((parsed->tenant("elm") == nullptr));
}

BOOST_AUTO_TEST_CASE(WrittenFilesReadBackTheSame)
{
    const bool held = rc::check("parse(toJson(c)) is c", [] {
        const Configuration made = arbitraryConfiguration();
        const auto read = parseConfiguration(std::string_view(toJson(made).dump()));
        RC_ASSERT(read.has_value());
        RC_ASSERT(toJson(*read) == toJson(made));
        RC_ASSERT(diff(made, *read).empty());
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(ReportsAllFaultsAtOnce)
{
    json file = validFile();
    file["databases"][0]["durability"] = "sometimes";
    file["databases"][0]["upstreams"][1]["slots"] = 0;
    file["databases"][0]["upstreams"][1]["address"] = "localhost:5432";
    file["databases"][0]["upstreams"][2].erase("connections");
    file["tenants"][0]["class"] = "parents";
    file["colour"] = "blue";
    expectFault(file, "/databases/0/durability", "primary-only");
    expectFault(file, "/databases/0/upstreams/1/slots", "\"minimum\":1");
    expectFault(file, "/databases/0/upstreams/1/address", "10.0.0.1:5432");
    expectFault(file, "/databases/0/upstreams/2", "'connections'; add it");
    expectFault(file, "/tenants/0/class", "no class 'parents'");
    expectFault(file, "/", "'colour'");
    const std::string faults = faultsOf(file);
    BOOST_TEST(std::count(faults.begin(), faults.end(), '\n') == 6,
               "expected exactly six faults, each reported once, and got:\n"
                   << faults);
}

BOOST_AUTO_TEST_CASE(FindsInconsistenciesBetweenEntries)
{
    json file = validFile();
    file["databases"].push_back(file["databases"][0]);
    expectFault(file, "/databases/1/name", "make it unique");
    expectFault(file, "/databases/1/upstreams/0/name", "/databases/0/upstreams/0/name");

    file = validFile();
    file["databases"][0]["upstreams"][1]["address"] = "10.0.0.1:5432";
    expectFault(file, "/databases/0/upstreams/1/address", "make it unique");

    file = validFile();
    file["classes"].push_back({{"name", "parents"}, {"reservedShare", 0.6}});
    expectFault(file, "/classes", "add up to at most 1");

    file = validFile();
    for (json &upstream : file["databases"][0]["upstreams"]) {
        upstream["leaving"] = true;
    }
    expectFault(file, "/databases/0/upstreams", "keep one");
}

BOOST_AUTO_TEST_CASE(AcceptsSharesThatAddUpToOneInDecimals)
{
    json file = validFile();
    file["classes"] = json::array();
    for (int index = 0; index < 10; ++index) {
        file["classes"].push_back({{"name", "c" + std::to_string(index)}, {"reservedShare", 0.1}});
    }
    file["tenants"] = json::array();
    BOOST_TEST(faultsOf(file) == "");
}

BOOST_AUTO_TEST_CASE(AddressesAreIpAndPort)
{
    for (const char *address :
         {"10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0:1", "host:1", ":1", "10.0.0.1:1x", "fd00::1:5", "[]:1"}) {
        json file = validFile();
        file["databases"][0]["upstreams"][0]["address"] = address;
        expectFault(file, "/databases/0/upstreams/0/address", "is not IP:port");
    }
}

BOOST_AUTO_TEST_CASE(RefusesDuplicateMembers)
{
    // JSON parsers keep the last of two members with the same name, so that the first value
    // would silently not be in force.
    const auto parsed = parseConfiguration(std::string_view(R"({"databases":[],"classes":[],"classes":[]})"));
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST(parsed.error().front().message.find("'classes' twice") != std::string::npos, parsed.error().front().message);
}

BOOST_AUTO_TEST_CASE(InvalidInputIsRefusedWithAPath)
{
    for (const char *text : {"", "[1", "3", "null", "[]", R"({"databases":{}})", R"({"databases":[3,[],null]})",
                             R"({"databases":[{"name":1e300,"upstreams":[{"slots":99999999999999999999}]}],"tenants":3})"}) {
        const auto parsed = parseConfiguration(std::string_view(text));
        BOOST_REQUIRE_MESSAGE(!parsed.has_value(), "this should be refused: " << text);
        for (const Error &error : parsed.error()) {
            BOOST_TEST((error.kind == ErrorKind::InvalidInput));
            BOOST_TEST(error.message.front() == '/');
        }
    }
}

BOOST_AUTO_TEST_CASE(WarnsOfGroupsThatOneZoneCanTakeDown)
{
    json file = validFile();
    file["databases"][0]["upstreams"][1]["zone"] = "a";
    const auto warnings = configurationWarnings(*parseConfiguration(file));
    BOOST_REQUIRE(warnings.size() == 1u);
    BOOST_TEST(warnings.front().find("availability zone a") != std::string::npos, warnings.front());
    BOOST_TEST(configurationWarnings(*parseConfiguration(validFile())).empty());
}

BOOST_AUTO_TEST_CASE(DiffNamesEveryChangeAndNoPassword)
{
    json file = validFile();
    file["databases"][0]["upstreams"][0]["slots"] = 6;
    file["databases"][0]["upstreams"][0]["leaving"] = true;
    file["databases"][0]["upstreams"].erase(2);
    file["databases"][0]["maxAgeMs"] = 900;
    file["tenants"][0]["password"] = "other";
    file["tenants"].push_back({{"name", "elm"}, {"class", "desks"}});
    const auto changes = diff(*parseConfiguration(validFile()), *parseConfiguration(file));
    const std::vector<std::string> expected{"database bookings: maxAge 500ms -> 900ms", "database bookings: upstream b3 removed",
                                            "database bookings: upstream b1: slots 5 -> 6, leaving no -> yes", "tenant elm added",
                                            "tenant oak: password changed"};
    BOOST_TEST(std::is_permutation(changes.begin(), changes.end(), expected.begin(), expected.end()), json(changes).dump(2));
}

BOOST_AUTO_TEST_CASE(BuiltInSchemaIsThePublishedOne)
{
    BOOST_TEST(textOf("schema/configuration.schema.json") == configurationSchema(),
               "copy schema/configuration.schema.json into src/core/configuration/configurationschema.cpp");
}

BOOST_AUTO_TEST_CASE(SamplesOfBothDeploymentsAreValidWithoutWarnings)
{
    for (const char *path : {"samples/lakeshore.json", "samples/legoff.json"}) {
        const auto parsed = parseConfiguration(std::string_view(textOf(path)));
        BOOST_REQUIRE_MESSAGE(parsed.has_value(), path << " has a fault: " << (parsed ? "" : parsed.error().front().message));
        BOOST_TEST(parsed->databases.size() == 3u);
        BOOST_TEST(configurationWarnings(*parsed).empty());
    }
}

// Guards against a stack overflow while a file is checked against its schema.
BOOST_AUTO_TEST_CASE(RefusesDeeplyNestedFiles)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    const std::string text = R"({"databases":)" + deep + "}";
    const auto parsed = parseConfiguration(std::string_view(text));
    BOOST_TEST_REQUIRE(!parsed.has_value());
    BOOST_TEST(parsed.error().front().message.find("nested too deeply") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
