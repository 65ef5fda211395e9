// Tests of callers that present keys: which are admitted, for which workspace upstreams run their
// statements, and what is refused above a quota.

#define BOOST_TEST_MODULE Workspaces
#include <boost/test/unit_test.hpp>

#include "tests/platform/platformsite.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace egrettide;
using namespace egrettide::test;

namespace
{

// Waits until every host requires keys and serves callers with this key, or admits none with it.
// A newly started host counts nothing until it has determined whether it is alone.
bool allHosts(const PlatformSite &site, const std::string &key, bool letIn)
{
    return std::ranges::all_of(site.addresses, [&](const std::string &address) {
        return eventually([&] {
            LineClient stranger(address);
            if (stranger.start("log", "nobody's").state == 'I') {
                return false;
            }
            LineClient probe(address);
            const bool started = probe.start("log", key).state == 'I';
            return letIn ? started && probe.run("READ item").succeeded() : !started;
        });
    });
}

nlohmann::json deskAndFamily()
{
    return {PlatformSite::workspace("desk", {"desk-1", "desk-2"}), PlatformSite::workspace("family", {"family-1"})};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Keys)

BOOST_AUTO_TEST_CASE(ThatAreUnknownAreRefusedWhetherTheDatabaseExistsOrNot)
{
    // Guards against serving callers with an unknown key, or revealing to them which databases
    // exist. The key must be checked, and before the database is looked up.
    PlatformSite site;
    site.configure(2, {}, deskAndFamily());
    BOOST_TEST_REQUIRE(allHosts(site, "desk-1", true));
    for (const char *route : {"log", "nowhere"}) {
        LineClient stranger(site.addresses[0]);
        const LineAnswer answer = stranger.start(route, "nobody's");
        BOOST_TEST(answer.failedWith("UNAUTH"), "a caller with an unknown key was answered '" << answer.first() << "'");
        BOOST_TEST(answer.first().find("nobody's") == std::string::npos, "the answer repeats the key");
    }
    LineClient lost(site.addresses[0]);
    BOOST_TEST(lost.start("nowhere", "desk-1").failedWith("NODB"));
}

BOOST_AUTO_TEST_CASE(NameTheWorkspaceToUpstreamsAndNeverLeave)
{
    // Guards against a statement of one workspace that runs in the name of another. Sessions of two
    // workspaces alternate on the same hosts; a connection opened for one workspace must not be
    // reused for the other.
    PlatformSite site(2);
    site.configure(2, {}, deskAndFamily());
    BOOST_TEST_REQUIRE(allHosts(site, "family-1", true));
    const std::map<std::string, std::string> workspaceOf{{"desk-1", "desk"}, {"desk-2", "desk"}, {"family-1", "family"}};
    std::map<std::string, std::string> expected;
    // Kept open, so that no two of them assign the same ids to their statements.
    std::vector<std::unique_ptr<LineClient>> clients;
    for (int round = 0; round < 5; ++round) {
        for (const auto &[key, workspace] : workspaceOf) {
            clients.push_back(std::make_unique<LineClient>(site.addresses[static_cast<std::size_t>(round) % 2]));
            LineClient &client = *clients.back();
            client.start("log", key);
            for (const char *text : {"WRITE item x", "READ item", "BEGIN", "READ item", "WRITE item y", "COMMIT"}) {
                BOOST_TEST(client.run(text).succeeded());
                expected[client.lastId] = workspace;
            }
        }
    }
    for (const standin::RanStatement &statement : site.group.ran()) {
        const auto found = expected.find(statement.id);
        if (found != expected.end()) {
            BOOST_TEST(statement.caller == found->second,
                       statement.text << " of " << found->second << " ran in the name of " << statement.caller);
        }
        BOOST_TEST(!workspaceOf.contains(statement.caller), "an upstream received a key");
    }
}

BOOST_AUTO_TEST_CASE(ThatAreTakenAwayEndWhatIsOpenUnderThem)
{
    // Guards against a customer that continues for hours after its key was revoked, because keys
    // were checked only at the start of a session. Sessions are idle, between two statements and
    // inside a transaction while a new version removes their key; a session with another key of the
    // same workspace is not affected.
    PlatformSite site;
    site.configure(2, {}, deskAndFamily());
    BOOST_TEST_REQUIRE(allHosts(site, "desk-1", true));
    LineClient idle(site.addresses[0]);
    idle.start("log", "desk-1");
    LineClient inside(site.addresses[0]);
    inside.start("log", "desk-1");
    BOOST_TEST(inside.run("PREPARE s1 WRITE shape").succeeded());
    BOOST_TEST(inside.run("BEGIN").state == 'T');
    BOOST_TEST(inside.run("WRITE left x").succeeded());
    LineClient committing(site.addresses[0]);
    committing.start("log", "desk-1");
    BOOST_TEST(committing.run("BEGIN").state == 'T');
    BOOST_TEST(committing.run("WRITE left y").succeeded());
    LineClient other(site.addresses[0]);
    other.start("log", "desk-2");

    site.configure(3, {}, {PlatformSite::workspace("desk", {"desk-2"}), PlatformSite::workspace("family", {"family-1"})});
    BOOST_TEST_REQUIRE(allHosts(site, "desk-1", false));

    BOOST_TEST(idle.run("READ item").failedWith("UNAUTH"));
    BOOST_TEST(idle.run("SET tz x").failedWith("UNAUTH"));
    const LineAnswer refused = inside.run("EXECUTE s1 left z");
    BOOST_TEST(refused.failedWith("UNAUTH"));
    BOOST_TEST(refused.state == 'E', "a refused transaction is in state '" << refused.state << "'");
    BOOST_TEST(inside.run("ROLLBACK").state == 'I');
    const LineAnswer commit = committing.run("COMMIT");
    BOOST_TEST(commit.failedWith("UNAUTH"));
    BOOST_TEST(commit.state == 'I');
    BOOST_TEST(other.run("READ left").first() == "DATAROW -", "a transaction without a key was committed");
}

BOOST_AUTO_TEST_CASE(ThatAreAddedLetTheirCallersIn)
{
    PlatformSite site(2);
    site.configure(2, {}, deskAndFamily());
    BOOST_TEST_REQUIRE(allHosts(site, "family-1", true));
    site.configure(3, {},
                   {PlatformSite::workspace("desk", {"desk-1"}), PlatformSite::workspace("family", {"family-1", "family-2"})});
    BOOST_TEST(allHosts(site, "family-2", true));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Quotas)

BOOST_AUTO_TEST_CASE(HoldOverAllHostsTogether)
{
    // Guards against granting a workspace its quota once per host, as happens when every host counts
    // separately. Callers of one workspace send requests at full speed through three hosts, for
    // longer than the quota's window.
    constexpr double perSecond = 20;
    PlatformSite site(3);
    site.configure(
        2, {}, {PlatformSite::workspace("busy", {"busy-1"}, perSecond), PlatformSite::workspace("calm", {"calm-1"}, perSecond)});
    BOOST_TEST_REQUIRE(allHosts(site, "busy-1", true));
    const TimePoint begun = Clock::now();
    const TimePoint until = begun + std::chrono::seconds(4);
    std::vector<std::thread> threads;
    std::atomic<int> refused{0};
    std::atomic<int> truthful{0};
    // With fewer callers, each waiting for its answer, requests would be paced and never refused.
    constexpr std::size_t callers = 15;
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&, address = site.addresses[i % site.addresses.size()]] {
            LineClient client(address);
            client.start("log", "busy-1");
            while (Clock::now() < until) {
                const LineAnswer answer = client.run("READ item");
                refused += answer.failedWith("BUSY") ? 1 : 0;
                truthful += answer.first().find("Come back in") != std::string::npos ? 1 : 0;
                std::this_thread::sleep_for(milliseconds(2));
            }
        });
    }
    LineClient calm(site.addresses[0]);
    calm.start("log", "calm-1");
    int calmRefused = 0;
    while (Clock::now() < until) {
        calmRefused += calm.run("READ item").succeeded() ? 0 : 1;
        std::this_thread::sleep_for(milliseconds(200));
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    long ran = 0;
    for (const standin::RanStatement &statement : site.group.ran()) {
        ran += statement.caller == "busy" ? 1 : 0;
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - begun).count();
    BOOST_TEST(static_cast<double>(ran) <= perSecond * seconds + perSecond, "" << ran << " requests ran in " << seconds << " s");
    BOOST_TEST(refused > 0);
    BOOST_TEST(truthful == refused, "a refusal did not state when to retry");
    BOOST_TEST(calmRefused == 0, "a workspace below its quota was refused " << calmRefused << " times");
}

BOOST_AUTO_TEST_CASE(AreCountedWhileConfigurationsChange)
{
    // Guards against a host that answers a peer at an address in a membership view that another
    // thread has just replaced and freed (a use after free, reported by the sanitizers). Callers
    // keep the hosts exchanging quota messages while each new configuration replaces the view.
    PlatformSite site(3);
    const nlohmann::json workspaces{PlatformSite::workspace("busy", {"busy-1"}, 200)};
    site.configure(2, {}, workspaces);
    BOOST_TEST_REQUIRE(allHosts(site, "busy-1", true));
    const TimePoint until = Clock::now() + std::chrono::seconds(3);
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    constexpr std::size_t callers = 6;
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&, address = site.addresses[i % site.addresses.size()]] {
            LineClient client(address);
            client.start("log", "busy-1");
            bool open = true;
            while (open && Clock::now() < until) {
                const LineAnswer answer = client.run("READ item");
                answered += answer.succeeded() ? 1 : 0;
                open = !answer.broken;
            }
        });
    }
    for (int version = 3; Clock::now() < until; ++version) {
        site.configure(version, {}, workspaces);
        std::this_thread::sleep_for(milliseconds(5));
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(answered > 0);
    BOOST_TEST(allHosts(site, "busy-1", true), "a host serves no callers after the changes");
}

BOOST_AUTO_TEST_SUITE_END()
