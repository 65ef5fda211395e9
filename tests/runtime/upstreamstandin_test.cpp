// The upstream stand-in, driven by libpq as an independent client.

#define BOOST_TEST_MODULE UpstreamStandIn
#include <boost/test/unit_test.hpp>

#include "testing/upstream/upstreamstandin.h"

#include <libpq-fe.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

namespace
{

using egrettide::Clock;
using egrettide::LogMark;
using egrettide::milliseconds;
using egrettide::UpstreamRole;
using egrettide::testing::UpstreamOptions;
using egrettide::testing::UpstreamStandIn;

constexpr milliseconds waitTimeout{20000};
constexpr milliseconds pollInterval{2};
constexpr const char *createBookings = "CREATE TABLE booking (slot int8 PRIMARY KEY, family text NOT NULL, paid int4)";

using Result = std::unique_ptr<PGresult, decltype(&PQclear)>;
using Connection = std::unique_ptr<PGconn, decltype(&PQfinish)>;

Connection connectTo(const UpstreamStandIn &upstream)
{
    const std::string info =
        "host=127.0.0.1 user=test dbname=test sslmode=prefer connect_timeout=20 port=" + std::to_string(upstream.port());
    return {PQconnectdb(info.c_str()), &PQfinish};
}

Connection connected(const UpstreamStandIn &upstream)
{
    Connection connection = connectTo(upstream);
    BOOST_REQUIRE_MESSAGE(PQstatus(connection.get()) == CONNECTION_OK,
                          "The stand-in refused a connection: " << PQerrorMessage(connection.get())
                                                                << "; check its connection limit.");
    return connection;
}

Result run(const Connection &connection, const std::string &sql)
{
    return {PQexec(connection.get(), sql.c_str()), &PQclear};
}

std::string sqlState(const Result &result)
{
    const char *state = PQresultErrorField(result.get(), PG_DIAG_SQLSTATE);
    return state == nullptr ? "" : state;
}

// The SQLSTATE of one statement, empty when it succeeded.
std::string stateOf(const Connection &connection, const std::string &sql)
{
    return sqlState(run(connection, sql));
}

void mustRun(const Connection &connection, const std::string &sql)
{
    const Result result = run(connection, sql);
    BOOST_REQUIRE_MESSAGE(sqlState(result).empty(),
                          "\"" << sql << "\" failed: " << PQresultErrorMessage(result.get()) << "; it has to succeed here.");
}

// Rows joined with '|' and ','.
std::string rowsOf(const Connection &connection, const std::string &sql)
{
    const Result result = run(connection, sql);
    if (!sqlState(result).empty()) {
        return "error " + sqlState(result);
    }
    std::string text;
    for (int row = 0; row < PQntuples(result.get()); ++row) {
        text += row == 0 ? "" : ",";
        for (int column = 0; column < PQnfields(result.get()); ++column) {
            text += column == 0 ? "" : "|";
            text += PQgetisnull(result.get(), row, column) != 0 ? "NULL" : PQgetvalue(result.get(), row, column);
        }
    }
    return text;
}

bool eventually(const std::function<bool()> &condition)
{
    const auto deadline = Clock::now() + waitTimeout;
    while (Clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

bool isReadable(const Connection &connection, milliseconds bound)
{
    pollfd descriptor{PQsocket(connection.get()), POLLIN, 0};
    return ::poll(&descriptor, 1, static_cast<int>(bound.count())) > 0;
}

UpstreamOptions primaryOptions()
{
    UpstreamOptions options;
    options.name = "a";
    options.primaryTerm = 1;
    return options;
}

// A primary with a table for bookings.
struct PrimaryFixture {
    PrimaryFixture()
    {
        primary.start();
        mustRun(connected(primary), createBookings);
    }

    UpstreamStandIn primary{primaryOptions()};
};

// A primary `a` and two replicas `b` and `c`, all at the same mark.
struct GroupFixture : PrimaryFixture {
    GroupFixture()
    {
        b.start();
        c.start();
        BOOST_REQUIRE(caughtUp(b, primary));
        BOOST_REQUIRE(caughtUp(c, primary));
    }

    UpstreamOptions replicaOptions(const std::string &name) const
    {
        UpstreamOptions options;
        options.name = name;
        options.follow = primary.endpoint();
        return options;
    }

    static bool caughtUp(const UpstreamStandIn &replica, const UpstreamStandIn &leader)
    {
        return eventually([&] { return replica.status().replayed == leader.status().received; });
    }

    UpstreamStandIn b{replicaOptions("b")};
    UpstreamStandIn c{replicaOptions("c")};
};

std::string granted(const UpstreamStandIn &upstream, const std::string &call)
{
    return rowsOf(connected(upstream), "SELECT * FROM " + call).substr(0, 1);
}

std::vector<std::string> pipelined(const Connection &connection, const std::vector<std::string> &statements)
{
    BOOST_REQUIRE_EQUAL(PQenterPipelineMode(connection.get()), 1);
    for (const std::string &sql : statements) {
        BOOST_REQUIRE_EQUAL(PQsendQueryParams(connection.get(), sql.c_str(), 0, nullptr, nullptr, nullptr, nullptr, 0), 1);
    }
    BOOST_REQUIRE_EQUAL(PQpipelineSync(connection.get()), 1);
    std::vector<std::string> outcomes;
    while (true) {
        const Result result(PQgetResult(connection.get()), &PQclear);
        if (!result) {
            continue;
        }
        const ExecStatusType status = PQresultStatus(result.get());
        if (status == PGRES_PIPELINE_SYNC) {
            break;
        }
        const bool isSkipped = status == PGRES_PIPELINE_ABORTED;
        const std::string state = sqlState(result);
        outcomes.push_back(isSkipped ? "skipped" : state.empty() ? PQcmdStatus(result.get()) : state);
    }
    BOOST_REQUIRE_EQUAL(PQexitPipelineMode(connection.get()), 1);
    return outcomes;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Sql, PrimaryFixture)

BOOST_AUTO_TEST_CASE(BookingsOfATransactionAppearTogetherAtItsCommit)
{
    const Connection family = connected(primary);
    const Connection reader = connected(primary);
    mustRun(family, "BEGIN");
    mustRun(family, "INSERT INTO booking VALUES (1, 'Roy', 0), (2, 'Roy', 0)");
    mustRun(family, "UPDATE booking SET paid = paid + 40 WHERE slot = 1");
    BOOST_TEST(rowsOf(family, "SELECT * FROM booking ORDER BY slot DESC") == "2|Roy|0,1|Roy|40");
    BOOST_TEST(rowsOf(reader, "SELECT count(*) FROM booking") == "0");
    const LogMark before = primary.status().received;
    mustRun(family, "COMMIT");
    BOOST_TEST(rowsOf(reader, "SELECT slot, paid FROM booking ORDER BY slot") == "1|40,2|0");
    BOOST_TEST(primary.status().received.position == before.position + 1);
}

BOOST_AUTO_TEST_CASE(RollbackDiscardsAllWrites)
{
    const Connection family = connected(primary);
    mustRun(family, "BEGIN");
    mustRun(family, "INSERT INTO booking VALUES (1, 'Roy', 0)");
    mustRun(family, "ROLLBACK");
    BOOST_TEST(rowsOf(family, "SELECT count(*) FROM booking") == "0");
}

BOOST_AUTO_TEST_CASE(ASlotIsBookedOnce)
{
    const Connection family = connected(primary);
    mustRun(family, "INSERT INTO booking VALUES (1, 'Roy', 0)");
    BOOST_TEST(stateOf(family, "INSERT INTO booking VALUES (1, 'Tremblay', 0)") == "23505");
    BOOST_TEST(stateOf(family, "INSERT INTO booking VALUES (2, 'Roy', 0), (2, 'Roy', 0)") == "23505");
    mustRun(family, "INSERT INTO booking VALUES (1, 'Tremblay', 0) ON CONFLICT DO NOTHING");
    BOOST_TEST(rowsOf(family, "SELECT slot, family FROM booking") == "1|Roy");
}

BOOST_AUTO_TEST_CASE(TheFirstToCommitARowWins)
{
    // Guards against a lost update: two transactions update the same row and both
    // commit, the second one with values computed from an outdated row.
    const Connection first = connected(primary);
    const Connection second = connected(primary);
    mustRun(first, "INSERT INTO booking VALUES (1, 'Roy', 0)");
    mustRun(first, "BEGIN");
    mustRun(second, "BEGIN");
    mustRun(first, "UPDATE booking SET paid = paid + 1 WHERE slot = 1");
    mustRun(second, "UPDATE booking SET paid = paid + 10 WHERE slot = 1");
    mustRun(first, "COMMIT");
    BOOST_TEST(stateOf(second, "COMMIT") == "40001");
    BOOST_TEST(PQtransactionStatus(second.get()) == PQTRANS_IDLE);
    BOOST_TEST(rowsOf(first, "SELECT paid FROM booking") == "1");
}

BOOST_AUTO_TEST_CASE(AFailedTransactionRefusesFurtherStatements)
{
    const Connection family = connected(primary);
    mustRun(family, "BEGIN");
    mustRun(family, "INSERT INTO booking VALUES (1, 'Roy', 0)");
    BOOST_TEST(stateOf(family, "SELECT nothing FROM booking") == "42703");
    BOOST_TEST(PQtransactionStatus(family.get()) == PQTRANS_INERROR);
    BOOST_TEST(stateOf(family, "SELECT 1") == "25P02");
    const Result commit = run(family, "COMMIT");
    BOOST_TEST(std::string(PQcmdStatus(commit.get())) == "ROLLBACK");
    BOOST_TEST(rowsOf(family, "SELECT count(*) FROM booking") == "0");
}

BOOST_AUTO_TEST_CASE(ReadOnlyTransactionsRefuseWrites)
{
    const Connection committee = connected(primary);
    mustRun(committee, "BEGIN READ ONLY");
    BOOST_TEST(stateOf(committee, "INSERT INTO booking VALUES (1, 'Roy', 0)") == "25006");
}

BOOST_AUTO_TEST_CASE(StatementsOfOneQueryAreAtomic)
{
    const Connection family = connected(primary);
    BOOST_TEST(stateOf(family, "INSERT INTO booking VALUES (1, 'Roy', 0); INSERT INTO booking VALUES (1, 'Roy', 0)") == "23505");
    BOOST_TEST(rowsOf(family, "SELECT count(*) FROM booking") == "0");
}

BOOST_AUTO_TEST_CASE(ConditionsFollowSql)
{
    const Connection client = connected(primary);
    mustRun(client, "INSERT INTO booking VALUES (1, 'Roy', 10), (2, 'Gagnon', NULL), (3, 'Roy', 30), (10, 'Caron', 0)");
    const std::map<std::string, std::string> expected = {
        {"SELECT slot FROM booking WHERE paid <> 10", "3,10"},
        {"SELECT slot FROM booking WHERE paid IS NULL OR slot = 1", "1,2"},
        {"SELECT slot FROM booking WHERE NOT (family = 'Roy') AND paid IS NOT NULL", "10"},
        {"SELECT slot FROM booking WHERE slot BETWEEN 2 AND 9 ORDER BY slot DESC LIMIT 1", "3"},
        {"SELECT slot FROM booking WHERE slot IN (2, 10) ORDER BY slot", "2,10"},
        {"SELECT slot FROM booking ORDER BY paid, slot OFFSET 1 LIMIT 2", "1,3"},
        {"SELECT max(slot), min(family), sum(paid), count(paid) FROM booking", "10|Caron|40|3"},
        {"SELECT sum(paid) FROM booking WHERE slot > 100", "NULL"},
        {"SELECT 1, 'x', NULL", "1|x|NULL"},
        {"DELETE FROM booking WHERE family = 'Roy' RETURNING slot", "1,3"},
        {"SELECT slot FROM nowhere", "error 42P01"},
        {"SELEC 1", "error 42601"},
        {"SELECT a.slot FROM booking a, booking b", "error 0A000"},
    };
    for (const auto &[sql, rows] : expected) {
        if (sql.rfind("DELETE", 0) != 0) {
            BOOST_TEST(rowsOf(client, sql) == rows, sql << " answered " << rowsOf(client, sql) << " instead of " << rows);
        }
    }
    BOOST_TEST(rowsOf(client, "DELETE FROM booking WHERE family = 'Roy' RETURNING slot") == "1,3");
}

BOOST_AUTO_TEST_CASE(ColumnsCarryTheirTypes)
{
    const Connection client = connected(primary);
    const Result result = run(client, "SELECT * FROM booking");
    BOOST_TEST(PQftype(result.get(), 0) == 20U);
    BOOST_TEST(PQftype(result.get(), 1) == 25U);
    BOOST_TEST(PQftype(result.get(), 2) == 23U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ExtendedQuery, PrimaryFixture)

BOOST_AUTO_TEST_CASE(PreparedStatementsTakeTextParameters)
{
    const Connection family = connected(primary);
    const Result prepared(PQprepare(family.get(), "book", "INSERT INTO booking VALUES ($1, $2, $3) RETURNING slot", 0, nullptr),
                          &PQclear);
    BOOST_TEST(sqlState(prepared) == "");
    const char *values[] = {"7", "O'Brien", nullptr};
    const Result inserted(PQexecPrepared(family.get(), "book", 3, values, nullptr, nullptr, 0), &PQclear);
    BOOST_TEST(std::string(PQcmdStatus(inserted.get())) == "INSERT 0 1");
    BOOST_TEST(std::string(PQgetvalue(inserted.get(), 0, 0)) == "7");
    BOOST_TEST(rowsOf(family, "SELECT * FROM booking") == "7|O'Brien|NULL");
}

BOOST_AUTO_TEST_CASE(DescribeNamesParametersAndColumns)
{
    const Connection client = connected(primary);
    const char *sql = "SELECT family, paid FROM booking WHERE slot = $1 AND family > $2 AND paid = $3";
    BOOST_REQUIRE(Result(PQprepare(client.get(), "find", sql, 0, nullptr), &PQclear));
    const Result described(PQdescribePrepared(client.get(), "find"), &PQclear);
    BOOST_TEST(PQnparams(described.get()) == 3);
    BOOST_TEST(PQparamtype(described.get(), 0) == 20U);
    BOOST_TEST(PQparamtype(described.get(), 1) == 25U);
    BOOST_TEST(PQparamtype(described.get(), 2) == 23U);
    BOOST_TEST(PQnfields(described.get()) == 2);
    BOOST_TEST(PQftype(described.get(), 1) == 23U);
}

BOOST_AUTO_TEST_CASE(BinaryIntegersGoBothWays)
{
    const Connection client = connected(primary);
    mustRun(client, "INSERT INTO booking VALUES (258, 'Roy', 5)");
    const std::string slot("\0\0\0\0\0\0\1\2", 8);
    const char *values[] = {slot.data()};
    const int lengths[] = {8};
    const int formats[] = {1};
    const Result result(
        PQexecParams(client.get(), "SELECT slot FROM booking WHERE slot = $1", 1, nullptr, values, lengths, formats, 1),
        &PQclear);
    BOOST_REQUIRE_EQUAL(PQntuples(result.get()), 1);
    BOOST_TEST(std::string(PQgetvalue(result.get(), 0, 0), 8) == slot);
}

BOOST_AUTO_TEST_CASE(PipelineRunsInOrderAsOneTransaction)
{
    const Connection family = connected(primary);
    const auto outcomes = pipelined(
        family,
        {"INSERT INTO booking VALUES (1, 'Roy', 0)", "UPDATE booking SET paid = 40 WHERE slot = 1", "SELECT paid FROM booking"});
    const std::vector<std::string> expected = {"INSERT 0 1", "UPDATE 1", "SELECT 1"};
    BOOST_TEST(outcomes == expected, boost::test_tools::per_element());
    BOOST_TEST(rowsOf(family, "SELECT paid FROM booking") == "40");
}

BOOST_AUTO_TEST_CASE(AnErrorSkipsTheRestUpToSync)
{
    const Connection family = connected(primary);
    const auto outcomes = pipelined(
        family,
        {"INSERT INTO booking VALUES (1, 'Roy', 0)", "SELECT missing FROM booking", "INSERT INTO booking VALUES (2, 'Roy', 0)"});
    const std::vector<std::string> expected = {"INSERT 0 1", "42703", "skipped"};
    BOOST_TEST(outcomes == expected, boost::test_tools::per_element());
    BOOST_TEST(rowsOf(family, "SELECT count(*) FROM booking") == "0");
}

BOOST_AUTO_TEST_CASE(CancelEndsARunningStatement)
{
    const Connection family = connected(primary);
    BOOST_REQUIRE_EQUAL(PQsendQuery(family.get(), "SELECT pg_sleep(600)"), 1);
    BOOST_REQUIRE(eventually([&] { return primary.statistics().statements >= 2; }));
    const std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> cancel(PQgetCancel(family.get()), &PQfreeCancel);
    std::string error(256, '\0');
    BOOST_TEST(PQcancel(cancel.get(), error.data(), static_cast<int>(error.size())) == 1);
    const Result result(PQgetResult(family.get()), &PQclear);
    BOOST_TEST(sqlState(result) == "57014");
    BOOST_TEST(!Result(PQgetResult(family.get()), &PQclear));
    BOOST_TEST(rowsOf(family, "SELECT 1") == "1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Replication, GroupFixture)

BOOST_AUTO_TEST_CASE(ReplicasShowWhatThePrimaryCommitted)
{
    mustRun(connected(primary), "INSERT INTO booking VALUES (1, 'Roy', 0)");
    BOOST_REQUIRE(caughtUp(b, primary));
    BOOST_TEST(rowsOf(connected(b), "SELECT * FROM booking") == "1|Roy|0");
    BOOST_TEST(stateOf(connected(b), "INSERT INTO booking VALUES (2, 'Roy', 0)") == "25006");
}

BOOST_AUTO_TEST_CASE(LagDelaysReplayButNotReceipt)
{
    b.setReplicationLag(milliseconds{3600000});
    const LogMark before = b.status().replayed;
    mustRun(connected(primary), "INSERT INTO booking VALUES (1, 'Roy', 0)");
    const LogMark written = primary.status().received;
    BOOST_REQUIRE(eventually([&] { return b.status().received == written; }));
    BOOST_TEST(b.status().replayed == before);
    BOOST_TEST(rowsOf(connected(b), "SELECT count(*) FROM booking") == "0");
    mustRun(connected(b), "SELECT standin_set('lag_ms', '0')");
    BOOST_TEST(rowsOf(connected(b), "SELECT count(*) FROM booking") == "1");
    BOOST_TEST(b.status().replayed == written);
}

BOOST_AUTO_TEST_CASE(ABurstDelaysReplay)
{
    UpstreamOptions options = replicaOptions("d");
    options.burstEvery = milliseconds{1};
    options.burstLength = milliseconds{3600000};
    options.burstLag = milliseconds{3600000};
    UpstreamStandIn bursty(options);
    bursty.start();
    const Connection caller = connected(primary);
    // Some entries are replayed before the first burst begins; then none is.
    BOOST_TEST(eventually([&] {
        mustRun(caller, "INSERT INTO booking VALUES (1, 'Roy', 0) ON CONFLICT DO NOTHING");
        mustRun(caller, "DELETE FROM booking WHERE slot = 1");
        return bursty.status().received.position > bursty.status().replayed.position + 10;
    }));
    BOOST_REQUIRE(caughtUp(b, primary));
}

BOOST_AUTO_TEST_CASE(StatusHasTheDocumentedColumns)
{
    const LogMark mark = primary.status().received;
    const std::string position = std::to_string(mark.position);
    BOOST_TEST(rowsOf(connected(primary), "SELECT * FROM group_status()")
               == "a|primary|1|initial|1|" + position + "|1|" + position + "|1");
    BOOST_TEST(rowsOf(connected(b), "SELECT * FROM group_status()")
               == "b|replica|1|initial|1|" + position + "|1|" + position + "|1");
    const Result result = run(connected(b), "SELECT * FROM group_fence(1, 'other')");
    BOOST_TEST(std::string(PQfname(result.get(), 0)) == "granted");
    BOOST_TEST(std::string(PQfname(result.get(), 9)) == "following_term");
    BOOST_TEST(std::string(PQgetvalue(result.get(), 0, 0)) == "f");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Terms, GroupFixture)

BOOST_AUTO_TEST_CASE(ATermIsGrantedToOneTokenOnly)
{
    BOOST_TEST(granted(b, "group_fence(2, 'x')") == "t");
    BOOST_TEST(granted(b, "group_fence(2, 'x')") == "t");
    BOOST_TEST(granted(b, "group_fence(2, 'y')") == "f");
    BOOST_TEST(granted(b, "group_fence(1, 'initial')") == "f");
    BOOST_TEST(granted(b, "group_promote(2, 'y')") == "f");
    BOOST_TEST(granted(b, "group_promote(3, 'x')") == "f");
    BOOST_TEST(granted(b, "group_promote(2, 'x')") == "t");
    const LogMark mark = b.status().received;
    BOOST_TEST(granted(b, "group_promote(2, 'x')") == "t");
    BOOST_TEST(b.status().received == mark);
    BOOST_TEST(mark.term == 2U);
    BOOST_TEST(granted(b, "group_follow(2, 'x', '127.0.0.1:1')") == "f");
}

BOOST_AUTO_TEST_CASE(AFencedPrimaryReadsButNeverCommits)
{
    // Guards against a commit acknowledged by a replaced primary: the primary is fenced
    // between a transaction's write and its commit, so a check at the write alone
    // misses the fence.
    const Connection family = connected(primary);
    mustRun(family, "INSERT INTO booking VALUES (1, 'Roy', 0)");
    mustRun(family, "BEGIN");
    mustRun(family, "INSERT INTO booking VALUES (2, 'Roy', 0)");
    BOOST_TEST(granted(primary, "group_fence(2, 'x')") == "t");
    BOOST_TEST((primary.status().role == UpstreamRole::Fenced));
    BOOST_TEST(primary.status().followingTerm == 0U);
    BOOST_TEST(stateOf(family, "COMMIT") == "25006");
    BOOST_TEST(stateOf(family, "INSERT INTO booking VALUES (3, 'Roy', 0)") == "25006");
    BOOST_TEST(rowsOf(family, "SELECT slot FROM booking") == "1");
}

BOOST_AUTO_TEST_CASE(ATransactionNeverCommitsUnderALaterTerm)
{
    // Guards against a transaction that writes under term 1 and commits after the same
    // upstream was fenced and promoted at term 2: a check of the role alone passes.
    const Connection family = connected(primary);
    mustRun(family, "BEGIN");
    mustRun(family, "INSERT INTO booking VALUES (2, 'Roy', 0)");
    BOOST_TEST(granted(primary, "group_fence(2, 'x')") == "t");
    BOOST_TEST(granted(primary, "group_promote(2, 'x')") == "t");
    BOOST_TEST(stateOf(family, "COMMIT") == "25006");
    BOOST_TEST(rowsOf(family, "SELECT count(*) FROM booking") == "0");
}

BOOST_AUTO_TEST_CASE(AFencedReplicaReceivesNothingFromTheOldPrimary)
{
    BOOST_TEST(granted(b, "group_fence(2, 'x')") == "t");
    const LogMark promised = b.status().received;
    mustRun(connected(primary), "INSERT INTO booking VALUES (1, 'Roy', 0)");
    BOOST_REQUIRE(caughtUp(c, primary));
    BOOST_TEST(b.status().received == promised);
    BOOST_TEST(b.status().followingTerm == 0U);
    // After an order to follow term 2, it also refuses a primary that is still of term 1.
    BOOST_TEST(granted(b, "group_follow(2, 'x', '" + primary.endpoint() + "')") == "t");
    mustRun(connected(primary), "INSERT INTO booking VALUES (2, 'Roy', 0)");
    BOOST_REQUIRE(caughtUp(c, primary));
    BOOST_TEST(b.status().received == promised);
}

BOOST_AUTO_TEST_CASE(FollowingTruncatesADivergedSuffix)
{
    // Guards against a replaced primary that shows bookings no other member has: it is
    // cut off and commits twice more, b and c move to term 2 and commit another booking,
    // then the old primary follows b. Its log has a suffix that the group never confirmed.
    const Connection caller = connected(primary);
    mustRun(caller, "INSERT INTO booking VALUES (1, 'Roy', 0)");
    BOOST_REQUIRE(caughtUp(b, primary));
    BOOST_REQUIRE(caughtUp(c, primary));
    BOOST_TEST(granted(b, "group_fence(2, 'x')") == "t");
    BOOST_TEST(granted(c, "group_fence(2, 'x')") == "t");
    mustRun(caller, "INSERT INTO booking VALUES (2, 'Lost', 0)");
    mustRun(caller, "UPDATE booking SET family = 'Lost' WHERE slot = 1");
    mustRun(caller, "INSERT INTO booking VALUES (3, 'Lost', 0)");
    BOOST_TEST(granted(b, "group_promote(2, 'x')") == "t");
    BOOST_TEST(granted(c, "group_follow(2, 'x', '" + b.endpoint() + "')") == "t");
    mustRun(connected(b), "INSERT INTO booking VALUES (2, 'Gagnon', 0)");
    BOOST_TEST(granted(primary, "group_follow(2, 'x', '" + b.endpoint() + "')") == "t");
    BOOST_REQUIRE(caughtUp(primary, b));
    BOOST_REQUIRE(caughtUp(c, b));
    BOOST_TEST(rowsOf(caller, "SELECT slot, family FROM booking") == "1|Roy,2|Gagnon");
    BOOST_TEST(rowsOf(connected(c), "SELECT slot, family FROM booking") == "1|Roy,2|Gagnon");
    BOOST_TEST(stateOf(connected(b), "INSERT INTO booking VALUES (2, 'Roy', 0)") == "23505");
}

BOOST_AUTO_TEST_CASE(AResumedPrimaryStillActsAsPrimary)
{
    // A primary that is suspended while the others move to term 2 still acts as primary
    // when it resumes. Only the other members' promises keep its writes from replicating.
    const Connection caller = connected(primary);
    const Connection idle = connected(b);
    primary.freeze(true);
    BOOST_REQUIRE_EQUAL(PQsendQuery(caller.get(), "INSERT INTO booking VALUES (1, 'Roy', 0)"), 1);
    BOOST_TEST(granted(b, "group_fence(2, 'x')") == "t");
    BOOST_TEST(granted(c, "group_fence(2, 'x')") == "t");
    BOOST_TEST(granted(b, "group_promote(2, 'x')") == "t");
    BOOST_TEST(!isReadable(caller, milliseconds{50}));
    primary.freeze(false);
    const Result result(PQgetResult(caller.get()), &PQclear);
    BOOST_TEST(std::string(PQcmdStatus(result.get())) == "INSERT 0 1");
    BOOST_TEST((primary.status().role == UpstreamRole::Primary));
    BOOST_TEST(rowsOf(idle, "SELECT count(*) FROM booking") == "0");
    BOOST_TEST(c.status().received < primary.status().received);
}

BOOST_AUTO_TEST_CASE(ACutDelaysAnswersAndReplication)
{
    const Connection caller = connected(primary);
    primary.setServiceTime(std::chrono::milliseconds{50});
    BOOST_REQUIRE_EQUAL(PQsendQuery(caller.get(), "INSERT INTO booking VALUES (1, 'Roy', 0)"), 1);
    BOOST_REQUIRE(eventually([&] { return primary.statistics().statements >= 2; }));
    primary.cut(true);
    // It runs the statement it has received, but the answer is held back.
    BOOST_REQUIRE(eventually([&] { return primary.status().received > b.status().received; }));
    BOOST_TEST(!isReadable(caller, milliseconds{50}));
    primary.cut(false);
    const Result result(PQgetResult(caller.get()), &PQclear);
    BOOST_TEST(std::string(PQcmdStatus(result.get())) == "INSERT 0 1");
    BOOST_REQUIRE(caughtUp(b, primary));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Limits)

BOOST_AUTO_TEST_CASE(OneConnectionTooManyIsRefused)
{
    UpstreamOptions options = primaryOptions();
    options.connections = 2;
    UpstreamStandIn upstream(options);
    upstream.start();
    const Connection first = connected(upstream);
    Connection second = connected(upstream);
    const Connection third = connectTo(upstream);
    BOOST_TEST(PQstatus(third.get()) == CONNECTION_BAD);
    BOOST_TEST(std::string(PQerrorMessage(third.get())).find("too many clients") != std::string::npos);
    BOOST_TEST(upstream.statistics().refusedConnections == 1);
    second.reset();
    BOOST_REQUIRE(eventually([&] { return upstream.statistics().connections == 1; }));
    BOOST_TEST(PQstatus(connectTo(upstream).get()) == CONNECTION_OK);
    BOOST_TEST(upstream.statistics().maxConnections == 2);
}

BOOST_AUTO_TEST_CASE(RefusalOfConnectionsCanBeSwitched)
{
    UpstreamStandIn upstream(primaryOptions());
    upstream.start();
    const Connection control = connected(upstream);
    mustRun(control, "SELECT standin_set('refuse_connections', '1')");
    BOOST_TEST(PQstatus(connectTo(upstream).get()) == CONNECTION_BAD);
    mustRun(control, "SELECT standin_set('refuse_connections', '0')");
    BOOST_TEST(PQstatus(connectTo(upstream).get()) == CONNECTION_OK);
    BOOST_TEST(stateOf(control, "SELECT standin_set('unheard_of', '0')") == "42704");
}

BOOST_AUTO_TEST_CASE(StatementsBeyondTheSlotsQueue)
{
    UpstreamOptions options = primaryOptions();
    options.slots = 1;
    UpstreamStandIn upstream(options);
    upstream.start();
    std::vector<Connection> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(connected(upstream));
        BOOST_REQUIRE_EQUAL(PQsendQuery(callers.back().get(), "SELECT pg_sleep(0.05)"), 1);
    }
    const Connection control = connected(upstream);
    BOOST_REQUIRE(eventually([&] { return upstream.statistics().maxQueue == 2; }));
    // Control functions need no slot.
    BOOST_TEST(rowsOf(control, "SELECT * FROM group_status()").substr(0, 9) == "a|primary");
    for (const Connection &caller : callers) {
        const Result result(PQgetResult(caller.get()), &PQclear);
        BOOST_TEST(std::string(PQcmdStatus(result.get())) == "SELECT 1");
    }
    BOOST_TEST(rowsOf(control, "SELECT standin_stats()").find("max_queue|2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AFreezeSetOverSqlIsAnsweredFirst)
{
    UpstreamStandIn upstream(primaryOptions());
    upstream.start();
    const Connection control = connected(upstream);
    mustRun(control, "SELECT standin_set('frozen_ms', '3600000')");
    BOOST_REQUIRE_EQUAL(PQsendQuery(control.get(), "SELECT 1"), 1);
    BOOST_TEST(!isReadable(control, milliseconds{50}), "The stand-in answered while it was frozen.");
    upstream.freeze(false);
    const Result result(PQgetResult(control.get()), &PQclear);
    BOOST_TEST(std::string(PQcmdStatus(result.get())) == "SELECT 1");
}

BOOST_AUTO_TEST_CASE(AKilledUpstreamDropsConnectionsAndRestartsEmpty)
{
    UpstreamStandIn upstream(primaryOptions());
    upstream.start();
    const Connection caller = connected(upstream);
    mustRun(caller, createBookings);
    upstream.kill();
    BOOST_TEST(run(caller, "SELECT 1").get() != nullptr);
    BOOST_TEST(PQstatus(caller.get()) == CONNECTION_BAD);
    upstream.start();
    BOOST_TEST(stateOf(connected(upstream), "SELECT count(*) FROM booking") == "42P01");
}

BOOST_AUTO_TEST_SUITE_END()
