// Tests of the home of an upstream against stand-ins: confirmed writes, fresh reads,
// transactions, connections and limits.

#define BOOST_TEST_MODULE Home
#include <boost/test/unit_test.hpp>

#include "tests/runtime/homecluster.h"

#include <set>

using namespace egrettide;
using namespace egrettide::testing;

namespace
{

std::string insert(int id)
{
    return "INSERT INTO pitch VALUES (" + std::to_string(id) + ", 'v" + std::to_string(id) + "')";
}

// The number of upstreams that report a log up to `mark`.
int holderCount(Cluster &cluster, LogMark mark)
{
    int count = 0;
    for (const std::string &name : upstreamNames) {
        count += cluster.upstream(name).status().received >= mark ? 1 : 0;
    }
    return count;
}

void leaveAll(Cluster &cluster)
{
    Configuration next = *cluster.currentConfiguration();
    ++next.version;
    for (UpstreamSpec &upstream : next.databases.front().upstreams) {
        upstream.leaving = true;
    }
    cluster.configure(next);
}

StatementRequest readWithFloor(Cluster &cluster, const std::string &upstream, const std::string &sql,
                               std::optional<LogMark> floor)
{
    StatementRequest read = cluster.request(upstream, StatementKind::Read, sql);
    read.freshness.floor = floor;
    return read;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Writes)

BOOST_AUTO_TEST_CASE(AreAnsweredOnceAMajorityHoldsThem)
{
    Cluster cluster;
    cluster.createTable();
    for (int id = 0; id < 20; ++id) {
        const StatementReply reply = cluster.run("a", StatementKind::Write, insert(id));
        BOOST_REQUIRE_MESSAGE(!reply.error, "write " << id << " was not acknowledged: " << textOf(reply));
        BOOST_REQUIRE(reply.seen.has_value());
        const int count = holderCount(cluster, *reply.seen);
        BOOST_TEST(count >= 2,
                   "the write at " << *reply.seen << " was acknowledged while only " << count << " upstreams held it");
    }
}

// If an answer is passed on before a majority holds the write, an acknowledged write is
// lost when the primary fails and a replica without it is promoted. Here the replicas are
// cut off.
BOOST_AUTO_TEST_CASE(HaveAnUnknownOutcomeWhileNoMajorityHoldsThem)
{
    Cluster cluster;
    cluster.createTable();
    cluster.upstream("b").cut(true);
    cluster.upstream("c").cut(true);
    const StatementReply reply = cluster.run("a", StatementKind::Write, insert(1), milliseconds{400});
    BOOST_REQUIRE_MESSAGE(reply.error.has_value(), "a write that one upstream of three holds was acknowledged");
    BOOST_TEST((outcomeOf(reply.error->kind) == Outcome::Unknown), "expected an unknown outcome, got " << textOf(reply));
    BOOST_TEST(reply.sent);
}

// A deadline that passes after sending needs its own text. With the text for unsent
// requests, the caller of a write to a frozen primary cannot decide whether to repeat it.
BOOST_AUTO_TEST_CASE(AreNeverReportedAsUnsentOnceSent)
{
    Cluster cluster;
    cluster.createTable();
    cluster.upstream("a").freeze(true);
    const StatementReply reply = cluster.run("a", StatementKind::Write, insert(1), milliseconds{250});
    cluster.upstream("a").freeze(false);
    BOOST_REQUIRE_MESSAGE(reply.error.has_value(), "a suspended primary answered");
    const bool saysUnsent = reply.error->message.find("before anything was sent") != std::string::npos;
    BOOST_TEST(saysUnsent == !reply.sent, "sent: " << reply.sent << ", but the caller received: " << reply.error->message);
}

BOOST_AUTO_TEST_CASE(WouldBeAcknowledgedUnprovenWithoutConfirmation)
{
    ClusterOptions options;
    options.settings.home.faults.skipConfirmation = true;
    Cluster cluster(options);
    cluster.createTable();
    cluster.upstream("b").cut(true);
    cluster.upstream("c").cut(true);
    const StatementReply reply = cluster.run("a", StatementKind::Write, insert(1), milliseconds{400});
    BOOST_TEST(!reply.error.has_value(), "the test of confirmation does not detect that the mechanism is off");
}

BOOST_AUTO_TEST_CASE(AreNotSentToAnUpstreamThatIsNoPrimary)
{
    Cluster cluster;
    cluster.createTable();
    const std::uint64_t before = cluster.upstream("b").statistics().commits;
    const StatementReply reply = cluster.run("b", StatementKind::Write, insert(1));
    BOOST_REQUIRE(reply.error.has_value());
    BOOST_TEST((reply.error->kind == ErrorKind::Moved), "expected moved, got " << textOf(reply));
    BOOST_TEST(!reply.sent);
    BOOST_TEST(reply.hint.primary == "a");
    BOOST_TEST(cluster.upstream("b").statistics().commits == before);
}

// A write may reach a fenced primary before its home receives the change. If the
// upstream's refusal is passed on or counted as sent, the front does not try the new
// primary, and the write fails although nothing of it ran.
BOOST_AUTO_TEST_CASE(AtAFencedPrimaryAreNotRunAndMayGoElsewhere)
{
    Cluster cluster;
    cluster.createTable();
    const StatementReply fenced = cluster.run("a", StatementKind::Write, "SELECT * FROM group_fence(2, 'stranger')");
    BOOST_TEST_MESSAGE("fence: " << textOf(fenced));
    BOOST_REQUIRE((cluster.upstream("a").status().role == UpstreamRole::Fenced));
    const StatementReply reply = cluster.run("a", StatementKind::Write, insert(1));
    BOOST_REQUIRE_MESSAGE(reply.error.has_value(), "a fenced upstream took a write");
    BOOST_TEST((outcomeOf(reply.error->kind) == Outcome::NotRun), textOf(reply));
    BOOST_TEST(!reply.sent, "a write that is proven not to have run counts as sent: " << textOf(reply));
}

BOOST_AUTO_TEST_CASE(PassTheUpstreamsOwnErrorOn)
{
    Cluster cluster;
    cluster.createTable();
    BOOST_TEST(!cluster.run("a", StatementKind::Write, insert(1)).error.has_value());
    const StatementReply reply = cluster.run("a", StatementKind::Write, insert(1));
    BOOST_TEST(!reply.error.has_value(), "the upstream's own answer was replaced by " << textOf(reply));
    BOOST_TEST(sqlStateIn(reply) == "23505");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Reads)

// A replica may have received a write without having replayed it. Unless its replayed
// position is checked, a session does not see its own acknowledged write there.
BOOST_AUTO_TEST_CASE(OnAReplicaSeeTheSessionsOwnWrites)
{
    ClusterOptions options;
    options.replicationLag = milliseconds{30};
    Cluster cluster(options);
    cluster.createTable();
    int served = 0;
    for (int id = 0; id < 15; ++id) {
        const StatementReply written = cluster.run("a", StatementKind::Write, insert(id));
        BOOST_REQUIRE_MESSAGE(!written.error, textOf(written));
        const std::string sql = "SELECT id FROM pitch WHERE id = " + std::to_string(id);
        const StatementReply reply = cluster.run(readWithFloor(cluster, "b", sql, written.seen));
        if (reply.error) {
            BOOST_TEST((reply.error->kind == ErrorKind::NotFresh), "expected not_fresh, got " << textOf(reply));
            continue;
        }
        ++served;
        BOOST_TEST(rowsOf(reply).size() == 1U, "the replica answered without the session's own write " << id);
        BOOST_TEST((reply.seen >= written.seen), "the floor decreased from " << *written.seen << " to " << *reply.seen);
    }
    BOOST_TEST(served > 0, "no read was served by the replica; waiting for its replay does not work");
}

BOOST_AUTO_TEST_CASE(WouldMissWritesWithoutTheFreshnessGate)
{
    ClusterOptions options;
    options.replicationLag = milliseconds{200};
    options.settings.home.faults.skipFreshness = true;
    Cluster cluster(options);
    cluster.createTable();
    const StatementReply written = cluster.run("a", StatementKind::Write, insert(1));
    BOOST_REQUIRE(!written.error.has_value());
    const StatementReply reply = cluster.run(readWithFloor(cluster, "b", "SELECT id FROM pitch WHERE id = 1", written.seen));
    BOOST_TEST((sqlStateIn(reply) == "42P01" || rowsOf(reply).empty()),
               "the test of own writes does not detect that the gate is off");
}

BOOST_AUTO_TEST_CASE(ThatAskForTheLatestStateAreServedByAReplica)
{
    Cluster cluster;
    cluster.createTable();
    BOOST_TEST(!cluster.run("a", StatementKind::Write, insert(1)).error.has_value());
    StatementRequest read = cluster.request("c", StatementKind::Read, "SELECT id FROM pitch");
    read.freshness.latest = true;
    const StatementReply reply = cluster.run(read);
    BOOST_TEST(!reply.error.has_value(), textOf(reply));
    BOOST_TEST(rowsOf(reply).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Connections)

// If the connection of a read that passed its deadline returns to the pool, the late answer
// arrives as the answer to the next request, and a caller gets rows of another one.
BOOST_AUTO_TEST_CASE(WithAnAnswerOutstandingAreNeverUsedAgain)
{
    ClusterOptions options;
    options.slots = 2;
    options.serviceTime = milliseconds{30};
    Cluster cluster(options);
    cluster.createTable();
    std::vector<std::pair<std::string, std::future<StatementReply>>> reads;
    for (int i = 0; i < 60; ++i) {
        const std::string value = std::to_string(i);
        const milliseconds timeout{i % 3 == 0 ? 10 : 4000};
        reads.emplace_back(value, cluster.send(cluster.request("b", StatementKind::Read, "SELECT " + value, timeout)));
    }
    int answered = 0;
    for (auto &[value, future] : reads) {
        const StatementReply reply = Cluster::await(std::move(future));
        if (reply.error) {
            continue;
        }
        ++answered;
        const auto rows = rowsOf(reply);
        BOOST_REQUIRE_EQUAL(rows.size(), 1U);
        BOOST_TEST(rows.front().front() == value, "the caller of " << value << " got " << rows.front().front());
    }
    BOOST_TEST(answered >= 40, "only " << answered << " of 60 reads were answered");
}

BOOST_AUTO_TEST_CASE(StayWithinTheUpstreamsLimits)
{
    ClusterOptions options;
    options.slots = 2;
    options.connections = 14;
    options.serviceTime = milliseconds{5};
    Cluster cluster(options);
    cluster.createTable();
    std::vector<std::future<StatementReply>> reads;
    for (int i = 0; i < 150; ++i) {
        reads.push_back(cluster.send(cluster.request("b", StatementKind::Read, "SELECT 1")));
    }
    for (auto &read : reads) {
        const StatementReply reply = Cluster::await(std::move(read));
        BOOST_TEST((!reply.error || outcomeOf(reply.error->kind) == Outcome::NotRun), textOf(reply));
    }
    const UpstreamStatistics statistics = cluster.upstream("b").statistics();
    BOOST_TEST(statistics.maxConnections <= options.connections,
               statistics.maxConnections << " connections at an upstream that takes " << options.connections);
    BOOST_TEST(statistics.refusedConnections == 0);
    BOOST_TEST(statistics.maxQueue <= 1,
               statistics.maxQueue << " statements queued inside the upstream; the home should queue them");
}

BOOST_AUTO_TEST_CASE(PrepareWhatABatchRefersToOnce)
{
    Cluster cluster;
    StatementRequest request = cluster.request("b", StatementKind::Read, "");
    PreparedStatement statement{"s1", ""};
    pg::appendParse(statement.parseMessage, "s1", "SELECT 7", std::string(2, '\0'));
    request.prepared.push_back(statement);
    request.batch.clear();
    const std::string bind = std::string("\0s1\0", 4) + std::string("\0\0\0\0\0\0", 6);
    pg::appendMessage(request.batch, 'B', bind);
    pg::appendMessage(request.batch, 'E', std::string("\0\0\0\0\0", 5));
    pg::appendMessage(request.batch, 'S', "");
    for (int i = 0; i < 3; ++i) {
        request.id += 100;
        request.deadline = Clock::now() + maxWait;
        const StatementReply reply = cluster.run(request);
        BOOST_REQUIRE_MESSAGE(!reply.error && sqlStateIn(reply).empty(), "run " << i << ": " << textOf(reply));
        BOOST_TEST(reply.bytes.front() == '2', "the answer starts with " << reply.bytes.front() << " instead of BindComplete");
        BOOST_TEST(rowsOf(reply).size() == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Transactions)

BOOST_AUTO_TEST_CASE(KeepTheirConnectionToThemselves)
{
    Cluster cluster;
    cluster.createTable();
    const StatementReply begun = cluster.run("a", StatementKind::Begin, "BEGIN");
    BOOST_REQUIRE_MESSAGE(!begun.error, textOf(begun));
    BOOST_REQUIRE(begun.transaction != 0U);
    BOOST_TEST(begun.transactionState == 'T');
    StatementRequest inside = cluster.request("a", StatementKind::Write, insert(1));
    inside.transaction = begun.transaction;
    BOOST_TEST(cluster.run(inside).transaction == begun.transaction);
    // Other requests do not see its changes and run outside it.
    for (int id = 10; id < 20; ++id) {
        const StatementReply other = cluster.run("a", StatementKind::Write, insert(id));
        BOOST_TEST(!other.error.has_value(), textOf(other));
        BOOST_TEST(other.transactionState == 'I');
        BOOST_TEST(rowsOf(cluster.run("a", StatementKind::Write, "SELECT id FROM pitch WHERE id = 1")).empty());
    }
    StatementRequest commit = cluster.request("a", StatementKind::Commit, "COMMIT");
    commit.transaction = begun.transaction;
    const StatementReply committed = cluster.run(commit);
    BOOST_TEST(!committed.error.has_value(), textOf(committed));
    BOOST_TEST(committed.transaction == 0U);
    BOOST_REQUIRE(committed.seen.has_value());
    BOOST_TEST(holderCount(cluster, *committed.seen) >= 2);
    BOOST_TEST(cluster.idsAtPrimary().size() == 11U);
}

BOOST_AUTO_TEST_CASE(BelongToTheFrontThatBeganThem)
{
    Cluster cluster;
    cluster.createTable();
    const StatementReply begun = cluster.run("a", StatementKind::Begin, "BEGIN");
    StatementRequest foreign = cluster.request("a", StatementKind::Write, insert(1));
    foreign.transaction = begun.transaction;
    const StatementReply reply = cluster.run(foreign, "another front");
    BOOST_REQUIRE(reply.error.has_value());
    BOOST_TEST((outcomeOf(reply.error->kind) == Outcome::NotRun));
    BOOST_TEST(!reply.sent);
}

// If the home keeps the transaction of a front that has failed, its locks are never released.
BOOST_AUTO_TEST_CASE(AreRolledBackWhenTheirFrontIsGone)
{
    Cluster cluster;
    cluster.createTable();
    const StatementReply begun = cluster.run("a", StatementKind::Begin, "BEGIN");
    StatementRequest inside = cluster.request("a", StatementKind::Write, insert(1));
    inside.transaction = begun.transaction;
    BOOST_TEST(!cluster.run(inside).error.has_value());
    cluster.home("a").abandonFront("front");
    const StatementReply again = cluster.run(cluster.request("a", StatementKind::Write, insert(1)), "another front");
    BOOST_TEST(!again.error.has_value(), textOf(again));
    BOOST_TEST(sqlStateIn(again).empty(), "the lost transaction still holds its row: " << sqlStateIn(again));
    inside.id += 1000;
    inside.deadline = Clock::now() + maxWait;
    const StatementReply late = cluster.run(inside);
    BOOST_REQUIRE_MESSAGE(late.error.has_value(), "a statement ran in a transaction that was rolled back");
    BOOST_TEST((outcomeOf(late.error->kind) == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(ThatStayIdleAreRolledBack)
{
    ClusterOptions options;
    options.settings.home.idleTransactionTimeout = milliseconds{50};
    Cluster cluster(options);
    cluster.createTable();
    const StatementReply begun = cluster.run("a", StatementKind::Begin, "BEGIN");
    BOOST_REQUIRE(begun.transaction != 0U);
    Cluster::awaitTrue(
        [&] {
            StatementRequest inside = cluster.request("a", StatementKind::Read, "SELECT 1");
            inside.transaction = begun.transaction;
            std::this_thread::sleep_for(milliseconds{80});
            return cluster.run(inside).error.has_value();
        },
        "the rollback of an idle transaction");
}

// Guards against a statement running in the transaction that another caller opened at a later home.
BOOST_AUTO_TEST_CASE(AreNotFoundAgainAtALaterHomeOfTheirUpstream)
{
    ClusterOptions options;
    options.settings.home.idleTransactionTimeout = milliseconds{300};
    Cluster cluster(options);
    cluster.createTable();
    const StatementReply rested = cluster.run("a", StatementKind::Begin, "BEGIN");
    BOOST_REQUIRE_MESSAGE(!rested.error, textOf(rested));
    cluster.leaveHome("a");
    cluster.takeHomeAgain("a");
    const StatementReply other = cluster.run("a", StatementKind::Begin, "BEGIN");
    BOOST_REQUIRE_MESSAGE(!other.error, textOf(other));
    StatementRequest late = cluster.request("a", StatementKind::Write, insert(1));
    late.transaction = rested.transaction;
    const StatementReply reply = cluster.run(late);
    BOOST_REQUIRE_MESSAGE(reply.error.has_value(), "a statement ran in another caller's transaction");
    BOOST_TEST((outcomeOf(reply.error->kind) == Outcome::NotRun));
    BOOST_TEST(!reply.sent);
}

// Guards against a host ending its record of one upstream's transaction with that of another's.
BOOST_AUTO_TEST_CASE(OfTwoUpstreamsAtOneHostHaveDifferentIds)
{
    ClusterOptions options;
    options.hosts = 1;
    Cluster cluster(options);
    const StatementReply first = cluster.run("a", StatementKind::Begin, "BEGIN");
    const StatementReply second = cluster.run("b", StatementKind::BeginReadOnly, "BEGIN READ ONLY");
    BOOST_REQUIRE_MESSAGE(!first.error, textOf(first));
    BOOST_REQUIRE_MESSAGE(!second.error, textOf(second));
    BOOST_TEST(first.transaction != 0U);
    BOOST_TEST(first.transaction != second.transaction);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Requests)

// A reply handler may send the next request. Unless the home processes it in the same pass,
// it waits until the next unrelated event.
BOOST_AUTO_TEST_CASE(SentFromAReplyHandlerAreProcessedAtOnce)
{
    Cluster cluster;
    std::promise<int> done;
    int answers = 0;
    std::function<void(StatementReply)> again = [&](const StatementReply &reply) {
        answers += reply.error ? 0 : 1;
        if (reply.error || answers == 200) {
            done.set_value(answers);
            return;
        }
        cluster.home("b").execute(cluster.request("b", StatementKind::Read, "SELECT 1"), "front", again);
    };
    cluster.home("b").execute(cluster.request("b", StatementKind::Read, "SELECT 1"), "front", again);
    auto future = done.get_future();
    BOOST_REQUIRE(future.wait_for(maxWait) == std::future_status::ready);
    BOOST_TEST(future.get() == 200, "a read of the chain was refused");
}

BOOST_AUTO_TEST_CASE(ThatAreCancelledAreAnsweredAtOnce)
{
    ClusterOptions options;
    options.slots = 1;
    options.serviceTime = milliseconds{500};
    Cluster cluster(options);
    StatementRequest running = cluster.request("b", StatementKind::Read, "SELECT 1", maxWait);
    StatementRequest queued = cluster.request("b", StatementKind::Read, "SELECT 2", maxWait);
    auto first = cluster.send(running);
    auto second = cluster.send(queued);
    Cluster::awaitTrue([&] { return cluster.sentBy("b") > 0U; }, "the first read to be sent");
    cluster.home("b").cancel("front", queued.id);
    cluster.home("b").cancel("front", running.id);
    const StatementReply secondReply = Cluster::await(std::move(second));
    const StatementReply firstReply = Cluster::await(std::move(first));
    BOOST_TEST(secondReply.error.has_value());
    BOOST_TEST(!secondReply.sent);
    BOOST_TEST(firstReply.error.has_value(), "the cancelled read was answered: " << textOf(firstReply));
    const StatementReply next = cluster.run("b", StatementKind::Read, "SELECT 3", milliseconds{10000});
    BOOST_REQUIRE_MESSAGE(!next.error, textOf(next));
    BOOST_TEST(rowsOf(next).front().front() == "3");
}

// When a connection breaks before the answer, the write may have run. Reported as not run,
// it would be repeated and applied twice.
BOOST_AUTO_TEST_CASE(WhoseConnectionBreaksHaveAnUnknownOutcomeUnlessTheyOnlyRead)
{
    ClusterOptions options;
    options.serviceTime = milliseconds{300};
    Cluster cluster(options);
    auto write = cluster.send(cluster.request("a", StatementKind::Write, "CREATE TABLE x (id int)", maxWait));
    auto read = cluster.send(cluster.request("a", StatementKind::Read, "SELECT 1", maxWait));
    std::this_thread::sleep_for(milliseconds{100});
    cluster.upstream("a").kill();
    const StatementReply writeReply = Cluster::await(std::move(write));
    BOOST_REQUIRE(writeReply.error.has_value());
    BOOST_TEST((outcomeOf(writeReply.error->kind) == Outcome::Unknown), textOf(writeReply));
    const StatementReply readReply = Cluster::await(std::move(read));
    BOOST_REQUIRE(readReply.error.has_value());
    BOOST_TEST((outcomeOf(readReply.error->kind) == Outcome::NotRun), textOf(readReply));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Drain)

BOOST_AUTO_TEST_CASE(FinishesWhatIsInProgressAndRefusesTheRestAsNotRun)
{
    ClusterOptions options;
    options.slots = 2;
    options.serviceTime = milliseconds{40};
    Cluster cluster(options);
    cluster.createTable();
    std::vector<std::future<StatementReply>> writes;
    for (int id = 0; id < 10; ++id) {
        writes.push_back(cluster.send(cluster.request("a", StatementKind::Write, insert(id))));
    }
    std::this_thread::sleep_for(milliseconds{20});
    std::promise<void> drained;
    cluster.home("a").drain([&drained] { drained.set_value(); });
    std::size_t acknowledged = 0;
    for (auto &write : writes) {
        const StatementReply reply = Cluster::await(std::move(write));
        BOOST_TEST((!reply.error || outcomeOf(reply.error->kind) == Outcome::NotRun),
                   "the drain interrupted a write: " << textOf(reply));
        acknowledged += reply.error ? 0 : 1;
    }
    BOOST_REQUIRE(drained.get_future().wait_for(maxWait) == std::future_status::ready);
    BOOST_TEST(acknowledged > 0U);
    const StatementReply late = cluster.run("a", StatementKind::Write, insert(99));
    BOOST_REQUIRE(late.error.has_value());
    BOOST_TEST((late.error->kind == ErrorKind::Moved), textOf(late));
}

BOOST_AUTO_TEST_CASE(ALeavingReplicaGetsNothingNew)
{
    Cluster cluster;
    cluster.createTable();
    Configuration next = *cluster.currentConfiguration();
    next.version = 2;
    next.databases.front().upstreams.at(1).leaving = true;
    cluster.configure(next);
    Cluster::awaitTrue([&] { return cluster.run("b", StatementKind::Read, "SELECT 1").error.has_value(); },
                       "the refusal of a leaving upstream");
    const StatementReply reply = cluster.run("b", StatementKind::Read, "SELECT 1");
    BOOST_TEST((reply.error && reply.error->kind == ErrorKind::Leaving), textOf(reply));
}

// Guards against a primary that gets requests until it ends because no successor can be found.
BOOST_AUTO_TEST_CASE(ALeavingPrimaryWithoutSuccessorGetsNothingNewAfterItsBound)
{
    ClusterOptions options;
    options.settings.leavingBound = milliseconds{1300};
    Cluster cluster(options);
    cluster.createTable();
    leaveAll(cluster);
    BOOST_TEST(!cluster.run("a", StatementKind::Write, insert(1)).error.has_value());
    StatementReply reply;
    Cluster::awaitTrue(
        [&] {
            reply = cluster.run("a", StatementKind::Write, "SELECT 1");
            return reply.error.has_value();
        },
        "the refusal of a leaving primary");
    BOOST_TEST((reply.error->kind == ErrorKind::NoPrimary), textOf(reply));
    BOOST_TEST(!reply.sent);
}

// Guards against requests that wait in the queue of a leaving upstream and run there after its bound.
BOOST_AUTO_TEST_CASE(ALeavingUpstreamRunsNothingThatWaitedBeyondItsBound)
{
    ClusterOptions options;
    options.slots = 1;
    options.serviceTime = milliseconds{400};
    options.settings.leavingBound = milliseconds{1050};
    Cluster cluster(options);
    std::vector<std::future<StatementReply>> reads;
    for (int i = 0; i < 6; ++i) {
        reads.push_back(cluster.send(cluster.request("a", StatementKind::Read, "SELECT 1")));
    }
    leaveAll(cluster);
    const StatementReply last = Cluster::await(std::move(reads.back()));
    BOOST_REQUIRE_MESSAGE(last.error.has_value(), "a read that waited ran at an upstream that is leaving");
    BOOST_TEST((last.error->kind == ErrorKind::Leaving), textOf(last));
    BOOST_TEST(!last.sent);
}

BOOST_AUTO_TEST_SUITE_END()
