// Requests that another host counts: grants, refusals and keepers that do not answer.

#define BOOST_TEST_MODULE QuotaDesk
#include <boost/test/unit_test.hpp>

#include "runtime/fleet/quotadesk.h"

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
struct Desk {
    Desk()
        : desk(context, "self", QuotaKeeperOptions{},
               QuotaDeskHooks{[this](std::size_t) { return keeper; },
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
        desk.configure(configuration);
        desk.keep(std::bitset<quotaSlots>().set(), 1);
    }

    void admit(const std::string &workspace, milliseconds timeout = milliseconds{10000})
    {
        desk.admit(workspace, Clock::now() + timeout, [this](tl::expected<void, Error> result) {
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
    QuotaDesk desk;
};

const QuotaVerdict calmGrant{QuotaVerdict::Kind::Granted, milliseconds{0}, true};

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaDesks)

BOOST_AUTO_TEST_CASE(AnswerAtOnceForLocalSlotsAndWorkspacesWithoutQuota)
{
    Desk desk;
    desk.admit("limited");
    desk.admit("unlimited");
    desk.keeper = "other";
    desk.admit("unlimited");
    BOOST_TEST(desk.results.size() == 3U);
    BOOST_TEST(desk.asked.empty());
}

BOOST_AUTO_TEST_CASE(ReportTheVerdictOfTheKeeper)
{
    Desk desk;
    desk.keeper = "other";
    desk.admit("limited");
    desk.admit("limited");
    BOOST_TEST_REQUIRE(desk.asked.size() == 2U);
    BOOST_TEST(desk.asked[0].first == "other");
    BOOST_TEST(desk.results.empty());
    desk.desk.onReply({desk.asked[0].second.id, calmGrant});
    desk.desk.onReply({desk.asked[1].second.id, {QuotaVerdict::Kind::Refused, milliseconds{70}, false}});
    // A second answer to the same message has no effect.
    desk.desk.onReply({desk.asked[1].second.id, calmGrant});
    BOOST_TEST_REQUIRE(desk.results.size() == 2U);
    BOOST_TEST(!desk.results[0].has_value());
    BOOST_TEST((desk.results[1] == ErrorKind::QuotaExceeded));
}

BOOST_AUTO_TEST_CASE(StartARequestAtTheTimeItIsGrantedFor)
{
    Desk desk;
    desk.keeper = "other";
    desk.admit("limited");
    desk.desk.onReply({desk.asked[0].second.id, {QuotaVerdict::Kind::Granted, milliseconds{60}, true}});
    BOOST_TEST(desk.results.empty());
    desk.runUntil([&] { return desk.results.size() == 1; });
    BOOST_TEST(!desk.results[0].has_value());
}

BOOST_AUTO_TEST_CASE(AskTheNextKeeperWhenOneIsSilent)
{
    Desk desk;
    desk.keeper = "dead";
    desk.admit("limited");
    desk.keeper = "other";
    desk.runUntil([&] { return desk.asked.size() >= 2; });
    BOOST_TEST(desk.asked.back().first == "other");
    desk.desk.onReply({desk.asked.back().second.id, calmGrant});
    BOOST_TEST(desk.results.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefuseAsNotRunWhenNoKeeperAnswers)
{
    Desk desk;
    desk.keeper = "dead";
    desk.admit("limited", milliseconds{150});
    desk.runUntil([&] { return desk.results.size() == 1; });
    BOOST_TEST((desk.results[0] == ErrorKind::Overloaded));
    BOOST_TEST((outcomeOf(*desk.results[0]) == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(GrantCalmWorkspacesTheirGraceWhileTheKeeperIsSilent)
{
    // After a network partition, requests whose keeper is on the other side must not wait for an
    // answer and be refused for a second or two when the keeper had last reported the workspace
    // as calm.
    Desk desk;
    desk.keeper = "other";
    for (int i = 0; i < 2; ++i) {
        desk.admit("limited");
        desk.desk.onReply({desk.asked.back().second.id, calmGrant});
    }
    desk.keeper = "cut off";
    for (int i = 0; i < 3; ++i) {
        desk.admit("limited", milliseconds{400});
    }
    desk.runUntil([&] { return desk.results.size() == 5; });
    const auto refused = std::ranges::count_if(desk.results, [](const auto &result) { return result.has_value(); });
    BOOST_TEST(refused == 1, "of 3 requests " << refused << " were refused where 2 had been granted before");
}

BOOST_AUTO_TEST_SUITE_END()
