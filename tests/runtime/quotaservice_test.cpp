// Requests that another host counts: grants, refusals and keepers that do not answer.

#define BOOST_TEST_MODULE QuotaService
#include <boost/test/unit_test.hpp>

#include "runtime/fleet/quotaservice.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <bitset>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

// A quota service of the host "self" with a configurable keeper; records the messages it sends.
struct Fixture {
    Fixture()
        : service(context, "self", QuotaKeeperOptions{},
                  QuotaServiceHooks{[this](std::size_t) { return keeper; },
                                    [this](const std::string &host, hop::HopMessage message) {
                                        if (const auto *ask = std::get_if<hop::QuotaAsk>(&message)) {
                                            asked.emplace_back(host, *ask);
                                        }
                                    }})
    {
        TenantSpec limited;
        limited.name = "limited";
        limited.quota = RequestQuota{1000, 1000};
        TenantSpec unlimited;
        unlimited.name = "unlimited";
        Configuration configuration;
        configuration.tenants = {limited, unlimited};
        service.configure(configuration);
        service.setKeptSlots(std::bitset<quotaSlots>().set(), 1);
    }

    void admit(const std::string &workspace, milliseconds timeout = milliseconds{10000})
    {
        service.admit(workspace, Clock::now() + timeout, [this](tl::expected<void, Error> result) {
            results.push_back(result ? std::nullopt : std::optional(result.error().kind));
        });
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint bound = Clock::now() + std::chrono::seconds(30);
        while (!condition() && Clock::now() < bound) {
            context.restart();
            context.run_one_for(milliseconds{20});
        }
        BOOST_TEST_REQUIRE(condition());
    }

    boost::asio::io_context context;
    std::string keeper = "self";
    std::vector<std::pair<std::string, hop::QuotaAsk>> asked;
    // The kind of each error; nothing for a request that may start.
    std::vector<std::optional<ErrorKind>> results;
    QuotaService service;
};

const QuotaVerdict calmGrant{QuotaVerdict::Kind::Granted, milliseconds{0}, true};

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaServices)

BOOST_AUTO_TEST_CASE(AnswerAtOnceForLocalSlotsAndWorkspacesWithoutQuota)
{
    Fixture fixture;
    fixture.admit("limited");
    fixture.admit("unlimited");
    fixture.keeper = "other";
    fixture.admit("unlimited");
    BOOST_TEST(fixture.results.size() == 3U);
    BOOST_TEST(fixture.asked.empty());
}

BOOST_AUTO_TEST_CASE(ReportTheVerdictOfTheKeeper)
{
    Fixture fixture;
    fixture.keeper = "other";
    fixture.admit("limited");
    fixture.admit("limited");
    BOOST_TEST_REQUIRE(fixture.asked.size() == 2U);
    BOOST_TEST(fixture.asked[0].first == "other");
    BOOST_TEST(fixture.results.empty());
    fixture.service.onReply({fixture.asked[0].second.id, calmGrant});
    fixture.service.onReply({fixture.asked[1].second.id, {QuotaVerdict::Kind::Refused, milliseconds{70}, false}});
    // A second answer to the same message has no effect.
    fixture.service.onReply({fixture.asked[1].second.id, calmGrant});
    BOOST_TEST_REQUIRE(fixture.results.size() == 2U);
    BOOST_TEST(!fixture.results[0].has_value());
    BOOST_TEST((fixture.results[1] == ErrorKind::QuotaExceeded));
}

BOOST_AUTO_TEST_CASE(StartARequestAtTheTimeItIsGrantedFor)
{
    Fixture fixture;
    fixture.keeper = "other";
    fixture.admit("limited");
    fixture.service.onReply({fixture.asked[0].second.id, {QuotaVerdict::Kind::Granted, milliseconds{60}, true}});
    BOOST_TEST(fixture.results.empty());
    fixture.runUntil([&] { return fixture.results.size() == 1; });
    BOOST_TEST(!fixture.results[0].has_value());
}

BOOST_AUTO_TEST_CASE(AskTheNextKeeperWhenOneIsSilent)
{
    Fixture fixture;
    fixture.keeper = "dead";
    fixture.admit("limited");
    fixture.keeper = "other";
    fixture.runUntil([&] { return fixture.asked.size() >= 2; });
    BOOST_TEST(fixture.asked.back().first == "other");
    fixture.service.onReply({fixture.asked.back().second.id, calmGrant});
    BOOST_TEST(fixture.results.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefuseAsNotRunWhenNoKeeperAnswers)
{
    Fixture fixture;
    fixture.keeper = "dead";
    fixture.admit("limited", milliseconds{150});
    fixture.runUntil([&] { return fixture.results.size() == 1; });
    BOOST_TEST((fixture.results[0] == ErrorKind::Overloaded));
    BOOST_TEST((outcomeOf(*fixture.results[0]) == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(GrantCalmWorkspacesTheirGraceWhileTheKeeperIsSilent)
{
    // After a network partition, requests whose keeper is on the other side must not wait for an
    // answer and be refused for a second or two when the keeper had last reported the workspace
    // as calm.
    Fixture fixture;
    fixture.keeper = "other";
    for (int i = 0; i < 2; ++i) {
        fixture.admit("limited");
        fixture.service.onReply({fixture.asked.back().second.id, calmGrant});
    }
    fixture.keeper = "cut off";
    for (int i = 0; i < 3; ++i) {
        fixture.admit("limited", milliseconds{400});
    }
    fixture.runUntil([&] { return fixture.results.size() == 5; });
    const auto refused = std::ranges::count_if(fixture.results, [](const auto &result) { return result.has_value(); });
    BOOST_TEST(refused == 1, "of 3 requests " << refused << " were refused where 2 had been granted before");
}

BOOST_AUTO_TEST_SUITE_END()
