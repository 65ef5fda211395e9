// Tests that statements of different transactions are never mixed on one connection. Many
// sessions interleave transactions and single writes on a home with fewer connections than
// sessions, and some sessions disconnect. Afterwards the table must have the contents that
// sessions with their own connections would produce. The differential test runs the same
// sessions on a pool that assigns connections per statement.

#define BOOST_TEST_MODULE TransactionMix
#include <boost/test/unit_test.hpp>

#include "tests/runtime/homecluster.h"

#include <libpq-fe.h>

#include <memory>
#include <random>
#include <set>

using namespace egrettide;
using namespace egrettide::testing;

namespace
{

constexpr int sessionCount = 8;
constexpr int stepCount = 400;
constexpr milliseconds connectionTimeout{50};

enum class Step { Begin, Write, Commit, Rollback, Vanish };

// Runs one step of a session; returns whether it succeeded.
using RunStep = std::function<bool(int session, Step step, const std::string &sql)>;

struct SessionsOutcome {
    // Ids whose commit was acknowledged, and ids that were rolled back or abandoned.
    std::set<std::string> kept;
    std::set<std::string> dropped;
    int commits = 0;
    int rollbacks = 0;
    int vanished = 0;
    int single = 0;
    // The number of steps while at least two transactions were open.
    int interleaved = 0;
};

std::string insert(const std::string &id)
{
    return "INSERT INTO pitch VALUES (" + id + ", 'x')";
}

// The steps depend only on the seed and on the results of earlier steps.
SessionsOutcome runSessions(std::uint64_t seed, const RunStep &run)
{
    struct Session {
        bool open = false;
        std::set<std::string> ids;
    };
    std::mt19937_64 random(seed);
    std::array<Session, sessionCount> sessions;
    SessionsOutcome outcome;
    int lastId = 0;
    const auto end = [&outcome](Session &session, bool keep) {
        (keep ? outcome.kept : outcome.dropped).insert(session.ids.begin(), session.ids.end());
        session = Session{};
    };
    for (int step = 0; step < stepCount; ++step) {
        const int number = static_cast<int>(random() % sessionCount);
        Session &session = sessions[static_cast<std::size_t>(number)];
        const auto open = std::count_if(sessions.begin(), sessions.end(), [](const Session &each) { return each.open; });
        outcome.interleaved += open >= 2 ? 1 : 0;
        const std::string id = std::to_string(++lastId);
        const auto choice = random() % 10;
        if (!session.open && choice < 6) {
            session.open = run(number, Step::Begin, "BEGIN");
        } else if (!session.open) {
            if (run(number, Step::Write, insert(id))) {
                outcome.kept.insert(id);
                ++outcome.single;
            }
        } else if (choice < 6) {
            if (run(number, Step::Write, insert(id))) {
                session.ids.insert(id);
            }
        } else if (choice < 8) {
            if (run(number, Step::Commit, "COMMIT")) {
                ++outcome.commits;
                end(session, true);
            }
        } else if (choice < 9) {
            run(number, Step::Rollback, "ROLLBACK");
            ++outcome.rollbacks;
            end(session, false);
        } else {
            run(number, Step::Vanish, "");
            ++outcome.vanished;
            end(session, false);
        }
    }
    for (int number = 0; number < sessionCount; ++number) {
        Session &session = sessions[static_cast<std::size_t>(number)];
        if (session.open) {
            run(number, Step::Rollback, "ROLLBACK");
            end(session, false);
        }
    }
    return outcome;
}

// Describes the ids that are present but should not be, and those that are missing.
std::vector<std::string> wrongIds(const SessionsOutcome &outcome, const std::vector<std::string> &present)
{
    const std::set<std::string> there(present.begin(), present.end());
    std::vector<std::string> wrong;
    for (const std::string &id : outcome.kept) {
        if (!there.contains(id)) {
            wrong.push_back(id + " was acknowledged but is missing");
        }
    }
    for (const std::string &id : outcome.dropped) {
        if (there.contains(id)) {
            wrong.push_back(id + " was rolled back but is present");
        }
    }
    return wrong;
}

// Runs sessions at the home of "a", as fronts do.
class HomeSessions
{
public:
    explicit HomeSessions(Cluster &cluster) : m_cluster(cluster)
    {
    }

    bool operator()(int session, Step step, const std::string &sql)
    {
        const std::string front = "front-" + std::to_string(session);
        if (step == Step::Vanish) {
            m_cluster.home("a").abandonFront(front);
            m_transactions[session] = 0;
            return true;
        }
        static const std::map<Step, StatementKind> kinds = {{Step::Begin, StatementKind::Begin},
                                                            {Step::Write, StatementKind::Write},
                                                            {Step::Commit, StatementKind::Commit},
                                                            {Step::Rollback, StatementKind::Rollback}};
        StatementRequest request = m_cluster.request("a", kinds.at(step), sql);
        request.transaction = m_transactions[session];
        if (request.transaction == 0) {
            // There are more sessions than connections. A short deadline keeps sessions
            // without one from waiting for most of the test.
            request.deadline = Clock::now() + connectionTimeout;
        }
        const StatementReply reply = m_cluster.run(std::move(request), front);
        m_transactions[session] = reply.transaction;
        return !reply.error && sqlStateIn(reply).empty();
    }

private:
    Cluster &m_cluster;
    std::map<int, std::uint64_t> m_transactions;
};

// Two connections that are assigned to statements in turn, ignoring transactions.
class PerStatementPool
{
public:
    explicit PerStatementPool(const std::string &endpoint)
    {
        const std::size_t colon = endpoint.find(':');
        const std::string settings = "host=" + endpoint.substr(0, colon) + " port=" + endpoint.substr(colon + 1)
            + " user=naive dbname=booking sslmode=disable gssencmode=disable";
        for (auto &connection : m_connections) {
            connection = {PQconnectdb(settings.c_str()), PQfinish};
            BOOST_REQUIRE_MESSAGE(PQstatus(connection.get()) == CONNECTION_OK, PQerrorMessage(connection.get()));
        }
    }

    bool operator()(int /*session*/, Step step, const std::string &sql)
    {
        if (step == Step::Vanish) {
            return true;
        }
        PGconn *const connection = m_connections[m_next++ % m_connections.size()].get();
        const std::unique_ptr<PGresult, decltype(&PQclear)> result(PQexec(connection, sql.c_str()), PQclear);
        return PQresultStatus(result.get()) == PGRES_COMMAND_OK;
    }

    void finish()
    {
        for (const auto &connection : m_connections) {
            PQclear(PQexec(connection.get(), "ROLLBACK"));
        }
    }

private:
    std::array<std::unique_ptr<PGconn, decltype(&PQfinish)>, 2> m_connections{{{nullptr, PQfinish}, {nullptr, PQfinish}}};
    std::size_t m_next = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Transactions)

BOOST_AUTO_TEST_CASE(AreNeverMixedOnOneConnection)
{
    for (const std::uint64_t seed : {1, 2}) {
        ClusterOptions options;
        // A home that is not confirmed uses a quarter of the connections beyond the
        // control reserve: 6 connections for 8 sessions.
        options.connections = 30;
        Cluster cluster(options);
        cluster.createTable();
        const SessionsOutcome outcome = runSessions(seed, HomeSessions(cluster));
        for (const std::string &wrong : wrongIds(outcome, cluster.idsAtPrimary())) {
            BOOST_TEST(false, "seed " << seed << ": " << wrong);
        }
        BOOST_TEST_MESSAGE("seed " << seed << ": " << outcome.commits << " commits, " << outcome.rollbacks << " rollbacks, "
                                   << outcome.vanished << " vanished, " << outcome.single << " single writes, "
                                   << outcome.interleaved << " steps during two open transactions");
        // The test is meaningful only if each of these occurred.
        BOOST_TEST(outcome.commits > 5);
        BOOST_TEST(outcome.rollbacks > 5);
        BOOST_TEST(outcome.vanished > 5);
        BOOST_TEST(outcome.single > 5);
        BOOST_TEST(outcome.interleaved > stepCount / 10);
    }
}

// Shows that the test detects mixed transactions. If connections are assigned per statement,
// a session writes within the transaction of another one, and its acknowledged write is lost
// when that one rolls back.
BOOST_AUTO_TEST_CASE(AreMixedByAPoolThatAssignsPerStatement)
{
    Cluster cluster;
    cluster.createTable();
    PerStatementPool pool(cluster.upstream("a").endpoint());
    const SessionsOutcome outcome =
        runSessions(1, [&pool](int session, Step step, const std::string &sql) { return pool(session, step, sql); });
    pool.finish();
    BOOST_TEST(!wrongIds(outcome, cluster.idsAtPrimary()).empty(), "the test does not detect a pool that mixes transactions");
}

BOOST_AUTO_TEST_SUITE_END()
