// The settings file of a host: defaults, complete error reports and changes while a host runs.

#define BOOST_TEST_MODULE Settings
#include <boost/test/unit_test.hpp>

#include "runtime/host/mechanisms.h"
#include "runtime/host/settings.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace egrettide;

namespace
{

nlohmann::json validSettings()
{
    return {{"host", "a1"},
            {"zone", "a"},
            {"callerAddress", "127.0.0.1:6432"},
            {"peerAddress", "127.0.0.1:6433"},
            {"operatorAddress", "127.0.0.1:6434"},
            {"platformAddress", "127.0.0.1:7000"},
            {"sessionKey", "0123456789abcdef"}};
}

bool anyMentions(const std::vector<Error> &faults, const std::string &text)
{
    return std::any_of(faults.begin(), faults.end(),
                       [&](const Error &fault) { return fault.message.find(text) != std::string::npos; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFile)

BOOST_AUTO_TEST_CASE(IsReadWithDefaults)
{
    const auto settings = parseSettings(validSettings().dump());
    BOOST_TEST_REQUIRE(settings.has_value(), "a valid file was refused");
    BOOST_TEST(settings->host == "a1");
    BOOST_TEST(settings->trafficThreads == 2);
    BOOST_TEST(settings->idleProbe.count() == 50);
    BOOST_TEST(settings->routingPolicy == "adaptive");
}

BOOST_AUTO_TEST_CASE(ReportsAllFaultsAtOnceWithTheirPaths)
{
    auto document = validSettings();
    document["trafficThreads"] = 0;
    document["logLevel"] = "loud";
    document["peerAdress"] = "127.0.0.1:1";
    const auto settings = parseSettings(document.dump());
    BOOST_TEST_REQUIRE(!settings.has_value(), "an invalid file was accepted");
    for (const char *fault : {"trafficThreads", "logLevel", "peerAdress"}) {
        BOOST_TEST(anyMentions(settings.error(), fault), "no fault names " << fault << "; all must be reported at once");
    }
}

BOOST_AUTO_TEST_CASE(AcceptsTheIdleProbeIntervalWithinItsBounds)
{
    auto document = validSettings();
    document["idleProbeMs"] = 1000;
    const auto settings = parseSettings(document.dump());
    BOOST_TEST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->idleProbe.count() == 1000);
    document["idleProbeMs"] = 0;
    BOOST_TEST(!parseSettings(document.dump()).has_value(), "an interval of 0 ms would probe without pause");
}

BOOST_AUTO_TEST_CASE(RefusesInvalidJson)
{
    BOOST_TEST(!parseSettings("{\"host\": ").has_value());
    BOOST_TEST(!parseSettings("").has_value());
}

BOOST_AUTO_TEST_CASE(ShipsTheSchemaThatItChecks)
{
    const char *source = std::getenv("EGRETTIDE_SOURCE");
    BOOST_TEST_REQUIRE(source != nullptr, "set EGRETTIDE_SOURCE to the repository");
    std::ifstream file(std::string(source) + "/schema/settings.schema.json");
    std::ostringstream shipped;
    shipped << file.rdbuf();
    BOOST_TEST((nlohmann::json::parse(shipped.str()) == nlohmann::json::parse(settingsSchema())),
               "schema/settings.schema.json and src/runtime/settings.cpp differ; make them equal");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ChangedSettings)

BOOST_AUTO_TEST_CASE(AreSeparatedByWhetherTheyNeedARestart)
{
    const Settings running = parseSettings(validSettings().dump()).value();
    Settings next = running;
    next.logLevel = "debug";
    next.platformAddress = "127.0.0.1:7001";
    next.callerAddress = "127.0.0.1:6439";
    const SettingsDifference difference = differenceBetween(running, next);
    BOOST_TEST(difference.applied == (std::vector<std::string>{"logLevel", "platformAddress"}), boost::test_tools::per_element());
    BOOST_TEST(difference.needRestart == std::vector<std::string>{"callerAddress"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ThatNeedARestartAreNotApplied)
{
    Settings running = parseSettings(validSettings().dump()).value();
    Settings next = running;
    next.stopBound = milliseconds(1234);
    next.callerAddress = "127.0.0.1:6439";
    applyLive(running, next);
    BOOST_TEST(running.stopBound.count() == 1234);
    BOOST_TEST(running.callerAddress == "127.0.0.1:6432");
}

BOOST_AUTO_TEST_CASE(ThatAreTheSameChangeNothing)
{
    const Settings running = parseSettings(validSettings().dump()).value();
    BOOST_TEST(differenceBetween(running, running).applied.empty());
    BOOST_TEST(differenceBetween(running, running).needRestart.empty());
}

BOOST_AUTO_TEST_CASE(NameEveryMechanismThatCanBeSwitchedOff)
{
    nlohmann::json document = validSettings();
    for (const std::string_view name : Mechanisms::names()) {
        document["mechanismsOff"] = {name};
        const auto settings = parseSettings(document.dump());
        BOOST_TEST_REQUIRE(settings.has_value(), "the schema does not contain " << name);
        BOOST_TEST(Mechanisms(settings->mechanismsOff).isOff(name));
    }
    document["mechanismsOff"] = {"everything"};
    BOOST_TEST(!parseSettings(document.dump()).has_value());
    BOOST_TEST(parseSettings(validSettings().dump())->mechanismsOff.empty());
}

// Guards against a running host that ends when it reads a changed file.
BOOST_AUTO_TEST_CASE(RefusesDeeplyNestedFiles)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    const auto settings = parseSettings(R"({"host":)" + deep + "}");
    BOOST_TEST_REQUIRE(!settings.has_value());
    BOOST_TEST(settings.error().front().message.find("nested too deeply") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
