// End-to-end tests on the platform: callers that use the line protocol, hosts, and stand-ins for
// the upstreams and the store.

#define BOOST_TEST_MODULE PlatformHost
#include <boost/test/unit_test.hpp>

#include "tests/platform/platformsite.h"

#include <algorithm>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace egrettide;
using namespace egrettide::test;

BOOST_AUTO_TEST_SUITE(Sessions)

BOOST_AUTO_TEST_CASE(ReadWhatTheyWroteAlsoWhenReplicasLag)
{
    // Guards against a session that does not see its own acknowledged write. Without the mark of
    // that write, the next read can go to a replica that has not received it yet.
    standin::LineGroupOptions options;
    options.lag = milliseconds(100);
    PlatformSite site(2, options);
    LineClient client(site.addresses[0]);
    BOOST_TEST(client.start("log").state == 'I');
    for (int i = 0; i < 20; ++i) {
        const std::string value = "v" + std::to_string(i);
        BOOST_TEST_REQUIRE(client.run("WRITE item " + value).succeeded());
        const LineAnswer read = client.run("READ item");
        BOOST_TEST(read.first() == "DATAROW " + value, "a session read '" << read.first() << "' after it wrote " << value);
    }
}

BOOST_AUTO_TEST_CASE(OfPrimaryRoutesSeeEveryAcknowledgedWrite)
{
    standin::LineGroupOptions options;
    options.lag = milliseconds(100);
    PlatformSite site(2, options);
    LineClient writer(site.addresses[0]);
    LineClient reader(site.addresses[1]);
    writer.start("pay");
    reader.start("pay");
    for (int i = 0; i < 20; ++i) {
        const std::string value = "v" + std::to_string(i);
        BOOST_TEST_REQUIRE(writer.run("WRITE item " + value).succeeded());
        BOOST_TEST(reader.run("READ item").first() == "DATAROW " + value);
    }
}

BOOST_AUTO_TEST_CASE(KeepTheirValuesAndPreparedStatementsOverSharedConnections)
{
    // Guards against a statement that runs with another session's settings. Two sessions set
    // different values and prepare different statements under the same names and share a few
    // connections; the values and names must belong to the session and not to the connection.
    PlatformSite site(2);
    constexpr int callers = 4;
    std::vector<std::unique_ptr<LineClient>> clients;
    std::map<std::string, int> callerOf;
    for (int i = 0; i < callers; ++i) {
        clients.push_back(std::make_unique<LineClient>(site.addresses[static_cast<std::size_t>(i) % 2]));
        clients.back()->start("log");
        const std::string own = std::to_string(i);
        BOOST_TEST(clients.back()->run("SET tz zone" + own).succeeded());
        BOOST_TEST(clients.back()->run("PREPARE s1 READ shape" + own).succeeded());
    }
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < callers; ++i) {
            LineClient &client = *clients[static_cast<std::size_t>(i)];
            BOOST_TEST(client.run("EXECUTE s1 item").succeeded());
            callerOf[client.lastId] = i;
            BOOST_TEST(client.run("WRITE item" + std::to_string(i) + " x").succeeded());
            callerOf[client.lastId] = i;
        }
    }
    for (const standin::RanStatement &statement : site.group.ran()) {
        const auto caller = callerOf.find(statement.id);
        if (caller == callerOf.end()) {
            continue;
        }
        const std::string own = std::to_string(caller->second);
        const std::map<std::string, std::string> expected{{"tz", "zone" + own}};
        BOOST_TEST((statement.values == expected), "statement " << statement.text << " ran with another session's values");
        if (!statement.shape.empty()) {
            BOOST_TEST(statement.shape == "READ shape" + own);
        }
    }
}

// Guards against a lone line feed in data that lets its end run as a statement of its own.
BOOST_AUTO_TEST_CASE(KeepALoneLineFeedInTheirTexts)
{
    PlatformSite site;
    LineClient client(site.addresses[0]);
    client.start("log");
    const std::string data = "note\nQUERY fedc WRITE other smuggled";
    BOOST_TEST(client.run("SET tz " + data).succeeded());
    BOOST_TEST(client.run("WRITE item " + data).succeeded());
    const std::string id = client.lastId;
    BOOST_TEST(client.run("READ item").first() == "DATAROW " + data);
    for (const standin::RanStatement &statement : site.group.ran()) {
        BOOST_TEST(statement.id != "fedc", "a part of the data ran as a statement");
        BOOST_TEST((statement.id != id || statement.text == "WRITE item " + data), "the text ran as '" << statement.text << "'");
        BOOST_TEST((statement.id != id || statement.values.at("tz") == data));
    }
}

BOOST_AUTO_TEST_CASE(ToUnknownDatabasesAreRefused)
{
    PlatformSite site;
    LineClient client(site.addresses[0]);
    const LineAnswer answer = client.start("nobody");
    BOOST_TEST(answer.failedWith("NODB"), "an unknown database was answered '" << answer.first() << "'");
    BOOST_TEST(answer.broken);
}

BOOST_AUTO_TEST_CASE(EndWithTheirRoute)
{
    PlatformSite site;
    site.configure(2, {"extra"});
    BOOST_TEST(eventually([&] {
        LineClient probe(site.addresses[0]);
        return probe.start("extra").state == 'I';
    }));
    LineClient client(site.addresses[0]);
    client.start("extra");
    BOOST_TEST(client.run("READ item").succeeded());
    site.configure(3);
    BOOST_TEST(eventually([&] { return client.run("READ item").failedWith("NODB"); }),
               "a session went on under a route that the operators removed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BadInput)

BOOST_AUTO_TEST_CASE(IsAnsweredWithoutAffectingOtherSessions)
{
    PlatformSite site;
    LineClient good(site.addresses[0]);
    good.start("log");
    LineClient bad(site.addresses[0]);
    bad.start("log");
    BOOST_TEST(bad.run("DROP everything").failedWith("MALFORMED"));
    BOOST_TEST(bad.run("COMMIT").failedWith("MALFORMED"), "a COMMIT outside a transaction was accepted");
    BOOST_TEST(bad.run("EXECUTE none item").failedWith("NOSTMT"));
    BOOST_TEST(bad.run("READ item").succeeded(), "a malformed statement ended its session");
    BOOST_TEST(bad.exchange("HELLO").failedWith("MALFORMED"));
    LineClient startless(site.addresses[0]);
    BOOST_TEST(startless.run("READ item").failedWith("MALFORMED"));
    BOOST_TEST(good.run("READ item").succeeded());
}

BOOST_AUTO_TEST_CASE(OverTheBoundEndsItsOwnSession)
{
    PlatformSite site;
    LineClient good(site.addresses[0]);
    good.start("log");
    LineClient bad(site.addresses[0]);
    bad.start("log");
    const LineAnswer answer = bad.run("WRITE item " + std::string(std::size_t{1200} * 1024, 'x'));
    BOOST_TEST((answer.failedWith("MALFORMED") || answer.broken));
    BOOST_TEST(good.run("READ item").succeeded());
}

BOOST_AUTO_TEST_CASE(InAFailedTransactionIsRefusedUntilItsEnd)
{
    PlatformSite site;
    LineClient client(site.addresses[0]);
    client.start("log");
    BOOST_TEST(client.run("BEGIN").state == 'T');
    BOOST_TEST(client.run("NONSENSE").state == 'E');
    BOOST_TEST(client.run("READ item").failedWith("MALFORMED"));
    BOOST_TEST(client.run("SET a b").failedWith("MALFORMED"));
    BOOST_TEST(client.run("ROLLBACK").state == 'I');
    BOOST_TEST(client.run("READ item").succeeded());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Transactions)

BOOST_AUTO_TEST_CASE(StayOnOneConnectionAndAreNotMixed)
{
    PlatformSite site(2);
    std::vector<std::thread> threads;
    std::vector<std::vector<std::string>> ids(4);
    for (std::size_t i = 0; i < ids.size(); ++i) {
        threads.emplace_back([&, i] {
            LineClient client(site.addresses[i % 2]);
            client.start("pay");
            for (int round = 0; round < 5; ++round) {
                client.run("BEGIN");
                for (const char *text : {"READ a", "WRITE a x", "READ b", "COMMIT"}) {
                    client.run(text);
                    ids[i].push_back(client.lastId);
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const auto ran = site.group.ran();
    for (const auto &caller : ids) {
        for (std::size_t at = 0; at < caller.size(); at += 4) {
            std::vector<std::uint64_t> connections;
            for (const standin::RanStatement &statement : ran) {
                if (std::find(caller.begin() + static_cast<long>(at), caller.begin() + static_cast<long>(at) + 4, statement.id)
                    != caller.begin() + static_cast<long>(at) + 4) {
                    connections.push_back(statement.connection);
                }
            }
            BOOST_TEST(connections.size() == 4U, "a transaction ran " << connections.size() << " of its 4 statements");
            BOOST_TEST((std::adjacent_find(connections.begin(), connections.end(), std::not_equal_to<>()) == connections.end()),
                       "a transaction used two connections");
        }
    }
}

BOOST_AUTO_TEST_CASE(WhoseCallerLeavesAreRolledBack)
{
    PlatformSite site;
    LineClient client(site.addresses[0]);
    client.start("log");
    client.run("BEGIN");
    BOOST_TEST(client.run("WRITE left x").succeeded());
    client.close();
    LineClient other(site.addresses[0]);
    other.start("pay");
    BOOST_TEST(other.run("WRITE after x").succeeded());
    BOOST_TEST(other.run("READ left").first() == "DATAROW -", "a write of a caller that left was committed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LostAnswers)

BOOST_AUTO_TEST_CASE(OfWritesAreUnknownAndRunOnce)
{
    // Guards against a write that takes effect twice. When the upstream runs a write and its answer
    // is lost, treating the loss as a refusal makes the host repeat the write or report to the
    // caller that it has not run.
    PlatformSite site;
    LineClient client(site.addresses[0]);
    client.start("pay");
    site.group.loseNextAnswers("m1", 1);
    const LineAnswer answer = client.run("WRITE charge 1");
    BOOST_TEST(answer.failedWith("UNKNOWN"), "a lost answer was reported as '" << answer.first() << "'");
    BOOST_TEST(site.timesRan(client.lastId) == 1);
}

BOOST_AUTO_TEST_CASE(OfReadsAreReplacedByAnotherUpstreams)
{
    PlatformSite site;
    LineClient client(site.addresses[0]);
    client.start("browse");
    for (const char *member : {"m2", "m3"}) {
        site.group.loseNextAnswers(member, 1);
    }
    BOOST_TEST(client.run("READ item").succeeded());
}

BOOST_AUTO_TEST_CASE(AreNotAssumedForRefusedWrites)
{
    PlatformSite site;
    LineClient client(site.addresses[0]);
    client.start("pay");
    site.group.refuseNext("m1", 1);
    const LineAnswer answer = client.run("WRITE full 1");
    BOOST_TEST((answer.succeeded() || answer.failedWith("BUSY")));
    BOOST_TEST(site.timesRan(client.lastId) == (answer.succeeded() ? 1 : 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promotions)

BOOST_AUTO_TEST_CASE(FollowTheLossOfAPrimaryUnderOneRisingToken)
{
    PlatformSite site(2);
    site.group.setDark("m1", true);
    LineClient client(site.addresses[0]);
    client.start("pay");
    BOOST_TEST(eventually([&] { return client.run("WRITE after 1").succeeded(); }),
               "no write was served after the primary was lost");
    BOOST_TEST(site.group.primary() != "m1");
    const auto orders = site.platform.promotions();
    BOOST_TEST_REQUIRE(!orders.empty());
    for (std::size_t i = 0; i < orders.size(); ++i) {
        BOOST_TEST(orders[i].fencingToken > 0U, "an order was sent without a claim");
        BOOST_TEST((i == 0 || orders[i].fencingToken > orders[i - 1].fencingToken || orders[i].holder == orders[i - 1].holder),
                   "two holders used one fencing token");
    }
    BOOST_TEST(eventually([&] { return !site.group.isPaused("m2") && !site.group.isPaused("m3"); }),
               "a replica stayed paused after the promotion");
}

BOOST_AUTO_TEST_CASE(NeverHappenWithoutAClaim)
{
    // Guards against two hosts that promote under the same fencing token, or under none. The primary
    // is lost while the store is unavailable; a host must not proceed without a claim.
    PlatformSite site;
    site.platform.setDown(true);
    site.group.setDark("m1", true);
    LineClient client(site.addresses[0]);
    client.start("pay");
    BOOST_TEST(!client.run("WRITE during 1").succeeded());
    BOOST_TEST(site.platform.promotions().empty());
    site.platform.setDown(false);
    BOOST_TEST(eventually([&] { return client.run("WRITE after 1").succeeded(); }));
}

BOOST_AUTO_TEST_CASE(LeaveNoReplicaPaused)
{
    // Guards against a replica that stays paused without any report. A promoter pauses it and fails
    // before its next order; if only that promoter could resume it, it would never receive again.
    PlatformSite site;
    site.group.pause("m2", 5);
    BOOST_TEST(eventually([&] { return !site.group.isPaused("m2"); }),
               "nobody resumed a replica that a dead promoter had paused");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Hosts)

BOOST_AUTO_TEST_CASE(ThatStopFinishOpenTransactions)
{
    PlatformSite site(2);
    LineClient busy(site.addresses[0]);
    busy.start("pay");
    busy.run("BEGIN");
    LineClient idle(site.addresses[0]);
    idle.start("pay");
    site.daemons[0]->beginStop();
    BOOST_TEST(idle.receive().broken, "an idle session of a leaving host was kept");
    BOOST_TEST(busy.run("WRITE last 1").succeeded());
    BOOST_TEST(busy.run("COMMIT").succeeded(), "a stop interrupted a transaction in progress");
    site.daemons[0]->wait();
    LineClient other(site.addresses[1]);
    other.start("pay");
    BOOST_TEST(eventually([&] { return other.run("READ last").first() == "DATAROW 1"; }));
}

// Guards against refusing the callers of a partitioned zone for the duration of the partition.
// The host of the other zone disappears without notice and the store does not answer, then the
// store returns. A host that still counted as ready would keep its sessions.
BOOST_AUTO_TEST_CASE(ThatAreCutOffSendTheirCallersElsewhere)
{
    PlatformSite site(2);
    LineClient idle(site.addresses[0]);
    idle.start("pay");
    BOOST_TEST_REQUIRE(statusLineOf(site.operatorAddresses[0], "/ready") == "HTTP/1.1 200 OK");
    site.platform.setDown(true);
    site.daemons[1].reset();
    BOOST_TEST(idle.receive().broken, "a partitioned host kept a session");
    BOOST_TEST(statusLineOf(site.operatorAddresses[0], "/ready") == "HTTP/1.1 503 Service Unavailable");
    LineClient later(site.addresses[0]);
    BOOST_TEST(later.start("pay").state == 'I', "a caller without a better host was refused");
    site.platform.setDown(false);
    BOOST_TEST(eventually([&] { return statusLineOf(site.operatorAddresses[0], "/ready") == "HTTP/1.1 200 OK"; }),
               "a host that reaches the store is what is left");
}

// The same while the store answers: the host is the only one left and continues to serve.
BOOST_AUTO_TEST_CASE(ThatAreLeftAloneGoOn)
{
    PlatformSite site(2);
    LineClient client(site.addresses[0]);
    client.start("pay");
    site.daemons[1].reset();
    const TimePoint bound = Clock::now() + milliseconds(3000);
    while (Clock::now() < bound) {
        BOOST_TEST_REQUIRE(statusLineOf(site.operatorAddresses[0], "/ready") == "HTTP/1.1 200 OK");
    }
    BOOST_TEST(client.run("WRITE alone 1").succeeded(), "a session of the host that is left was closed");
}

BOOST_AUTO_TEST_CASE(ServeWithoutTheStore)
{
    PlatformSite site;
    site.platform.setDown(true);
    LineClient client(site.addresses[0]);
    client.start("pay");
    BOOST_TEST(client.run("WRITE without 1").succeeded());
    BOOST_TEST(client.run("READ without").succeeded());
}

// Guards against hosts that each take all homes and read the store for all others after a start of
// the whole fleet: the list of hosts may be older than that start.
BOOST_AUTO_TEST_CASE(ThatStartTogetherDoNotTakeThemselvesForAlone)
{
    PlatformSite site(0);
    site.platform.emptyStaleLists(true);
    site.startHost("h1", "a");
    site.startHost("h2", "a");
    std::this_thread::sleep_for(milliseconds{2500});
    BOOST_TEST(site.platform.calls().watches == 0U, "hosts with an outdated list read the store for others");
    site.platform.emptyStaleLists(false);
    for (const std::string &address : site.addresses) {
        BOOST_TEST(eventually([&] { return PlatformSite::serves(address); }));
    }
}

BOOST_AUTO_TEST_CASE(NeverExceedTheUpstreamsConnections)
{
    PlatformSite site(3);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 60; ++i) {
        callers.emplace_back([&site, i] {
            LineClient client(site.addresses[i % 3]);
            client.start("pay");
            client.run("BEGIN");
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST(site.group.refusedConnections("m1") == 0, "the primary refused connections above its limit");
    BOOST_TEST(site.group.mostConnections("m1") <= 33);
}

// Guards against hosts that crash or send requests to invalid addresses because they accept any
// entry. Another program leaves entries among the upstreams' registrations, one of them briefly
// in place of a real one.
BOOST_AUTO_TEST_CASE(GoOnBesideRegistrationsOfAnotherWriter)
{
    PlatformSite site;
    nlohmann::json nowhere = site.group.registration("m1");
    nowhere["address"] = "nowhere";
    nlohmann::json resting = site.group.registration("m2");
    resting["state"] = "resting";
    site.platform.putObject("servers", "odd-1", "text");
    site.platform.putObject("servers", "odd-2", nowhere);
    site.platform.putObject("servers", "odd-3", resting);
    site.platform.putObject("servers", "m3", 7);
    LineClient client(site.addresses[0]);
    client.start("log");
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(client.run("WRITE item " + std::to_string(i)).succeeded());
        BOOST_TEST(client.run("READ item").succeeded());
    }
    site.platform.putObject("servers", "m3", site.group.registration("m3"));
    BOOST_TEST(client.run("READ item").succeeded());
}

// Guards against a session that is refused permanently, or served by a process without its
// state. The upstreams restart under the same ids, and the connections and positions of the
// previous processes must not be applied to the new ones.
BOOST_AUTO_TEST_CASE(FollowUpstreamsThatStartAgainUnderTheirIds)
{
    PlatformSite site;
    LineClient client(site.addresses[0]);
    client.start("log");
    for (int start = 1; start <= 3; ++start) {
        for (const char *member : {"m1", "m2", "m3"}) {
            nlohmann::json registration = site.group.registration(member);
            registration["born"] = 1775980000000 + start;
            site.group.dropConnections(member);
            site.platform.putObject("servers", member, registration);
        }
        BOOST_TEST(eventually([&] { return client.run("WRITE item x" + std::to_string(start)).succeeded(); }),
                   "no write was served after start " << start);
        BOOST_TEST(client.run("READ item").first() == "DATAROW x" + std::to_string(start));
    }
    site.group.setDark("m1", true);
    BOOST_TEST(eventually([&] { return client.run("WRITE item last").succeeded(); }),
               "an upstream that had started again could not be promoted");
}

BOOST_AUTO_TEST_SUITE_END()
