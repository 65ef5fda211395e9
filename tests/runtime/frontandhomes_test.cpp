// The front and real homes between libpq clients and a replicated group of stand-in
// upstreams.

#define BOOST_TEST_MODULE FrontAndHomes
#include <boost/test/unit_test.hpp>

#include "runtime/callers/front.h"
#include "tests/runtime/homecluster.h"

#include <libpq-fe.h>

#include <set>

using namespace egrettide;
using namespace egrettide::testing;

namespace
{

class Deployment
{
public:
    Deployment()
    {
        cluster.createTable();
        FrontHooks hooks;
        hooks.configuration = [this] { return cluster.currentConfiguration(); };
        hooks.execute = [this](StatementRequest request, ReplyHandler handler) {
            HomeService &service = cluster.home(request.upstream);
            service.execute(std::move(request), "front", std::move(handler));
        };
        hooks.observe = [this](const RequestObservation &observation) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_observations.push_back(observation);
        };
        FrontOptions options;
        options.zone = "zone-b";
        m_front = std::make_unique<Front>(m_accept.context(), std::vector{&m_traffic.context()}, options, hooks);
        BOOST_REQUIRE(m_front->listen("127.0.0.1", 0).has_value());
    }

    ~Deployment()
    {
        m_front->stop();
        const TimePoint end = Clock::now() + maxWait;
        while (m_front->openConnections() > 0 && Clock::now() < end) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        m_accept.end();
        m_traffic.end();
    }

    std::string connection() const
    {
        return "host=127.0.0.1 dbname=booking user=branch port=" + std::to_string(m_front->port());
    }

    std::vector<RequestObservation> observations() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_observations;
    }

private:
    // Declared before the cluster, whose homes may still answer during its destruction. The
    // accepting context is destroyed first: a pending accept holds a socket of the traffic
    // context.
    ContextThread m_traffic;
    ContextThread m_accept;

public:
    Cluster cluster;

private:
    std::unique_ptr<Front> m_front;
    mutable std::mutex m_mutex;
    std::vector<RequestObservation> m_observations;
};

// A libpq client.
class Caller
{
public:
    explicit Caller(const Deployment &deployment) : m_connection(PQconnectdb(deployment.connection().c_str()))
    {
    }
    ~Caller()
    {
        PQfinish(m_connection);
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    // Returns the first value, the command tag or the SQLSTATE.
    std::string run(const std::string &sql)
    {
        return valueOf(PQexec(m_connection, sql.c_str()));
    }
    std::string prepare(const char *name, const char *sql)
    {
        return valueOf(PQprepare(m_connection, name, sql, 0, nullptr));
    }
    std::string execute(const char *name, const std::vector<const char *> &values)
    {
        return valueOf(PQexecPrepared(m_connection, name, static_cast<int>(values.size()), values.data(), nullptr, nullptr, 0));
    }
    std::string withParameters(const char *sql, const std::vector<const char *> &values)
    {
        return valueOf(
            PQexecParams(m_connection, sql, static_cast<int>(values.size()), nullptr, values.data(), nullptr, nullptr, 0));
    }

private:
    static std::string valueOf(PGresult *raw)
    {
        const std::unique_ptr<PGresult, decltype(&PQclear)> result(raw, PQclear);
        if (PQresultStatus(raw) == PGRES_TUPLES_OK) {
            return PQntuples(raw) > 0 ? PQgetvalue(raw, 0, 0) : "none";
        }
        if (PQresultStatus(raw) == PGRES_COMMAND_OK) {
            return PQcmdStatus(raw);
        }
        const char *sqlState = PQresultErrorField(raw, PG_DIAG_SQLSTATE);
        return sqlState != nullptr ? sqlState : PQresultErrorMessage(raw);
    }

    PGconn *m_connection;
};

constexpr const char *insertPitch = "INSERT INTO pitch VALUES ($1, $2)";
constexpr const char *selectVendor = "SELECT vendor FROM pitch WHERE id = $1";

// Writes a booking and reads it back immediately, `count` times; returns the first failure.
std::string bookAndRead(const Deployment &deployment, int first, int count)
{
    Caller caller(deployment);
    caller.prepare("book", insertPitch);
    caller.prepare("look", selectVendor);
    for (int id = first; id < first + count; ++id) {
        const std::string text = std::to_string(id);
        const std::string vendor = "v" + text;
        if (const std::string booked = caller.execute("book", {text.c_str(), vendor.c_str()}); booked != "INSERT 0 1") {
            return "booking " + text + " gave " + booked;
        }
        if (const std::string seen = caller.execute("look", {text.c_str()}); seen != vendor) {
            return "the caller of booking " + text + " does not see it, but " + seen;
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(FrontWithHomes)

BOOST_AUTO_TEST_CASE(CallersSeeTheirOwnBookingsFromReplicas)
{
    constexpr int callers = 6;
    constexpr int bookings = 60;
    Deployment deployment;
    std::vector<std::future<std::string>> runs;
    for (int i = 0; i < callers; ++i) {
        runs.push_back(std::async(std::launch::async, [&, i] { return bookAndRead(deployment, i * bookings, bookings); }));
    }
    for (auto &run : runs) {
        BOOST_TEST(run.get() == "");
    }
    int reads = 0;
    int byReplica = 0;
    for (const RequestObservation &observation : deployment.observations()) {
        reads += observation.kind == StatementKind::Read ? 1 : 0;
        byReplica += observation.kind == StatementKind::Read && !observation.byPrimary ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(byReplica << " of " << reads << " reads were served by replicas");
    BOOST_TEST(byReplica > 0);
}

BOOST_AUTO_TEST_CASE(TransactionsCommitAndRollBackAsAWhole)
{
    Deployment deployment;
    Caller caller(deployment);
    BOOST_TEST(caller.run("BEGIN") == "BEGIN");
    BOOST_TEST(caller.withParameters(insertPitch, {"1", "one"}) == "INSERT 0 1");
    BOOST_TEST(caller.run("ROLLBACK") == "ROLLBACK");
    BOOST_TEST(caller.withParameters(selectVendor, {"1"}) == "none");
    BOOST_TEST(caller.run("BEGIN") == "BEGIN");
    BOOST_TEST(caller.withParameters(insertPitch, {"2", "two"}) == "INSERT 0 1");
    BOOST_TEST(caller.withParameters(insertPitch, {"2", "again"}) == "23505");
    BOOST_TEST(caller.run("COMMIT") == "ROLLBACK");
    BOOST_TEST(caller.run("BEGIN") == "BEGIN");
    BOOST_TEST(caller.withParameters(insertPitch, {"3", "three"}) == "INSERT 0 1");
    BOOST_TEST(caller.run("COMMIT") == "COMMIT");
    BOOST_TEST(caller.withParameters(selectVendor, {"3"}) == "three");
}

// A caller binds a name that it never prepared. If the name reached the upstream, the upstream
// would answer 26000, the home would assume that the connection lost its statements and
// prepare them again, and the statements of other callers would fail with 42P05.
BOOST_AUTO_TEST_CASE(AnUnknownNameDoesNotAffectSharedStatements)
{
    Deployment deployment;
    Caller caller(deployment);
    caller.prepare("look", selectVendor);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(caller.execute("nothing", {"1"}) == "26000");
        BOOST_TEST(caller.execute("look", {"1"}) == "none");
    }
}

// Callers write while the primary fails and a replica is promoted. If any step confused a lost
// answer with a refusal, an acknowledged booking would be missing, or a booking reported as
// "not run" would be present.
BOOST_AUTO_TEST_CASE(FailoverLosesNoAcknowledgedBookingAndRunsNoRefusedOne)
{
    constexpr int callers = 4;
    Deployment deployment;
    std::atomic<bool> stops{false};
    std::mutex mutex;
    std::set<int> acknowledged;
    std::set<int> refused;
    std::vector<std::future<void>> runs;
    for (int i = 0; i < callers; ++i) {
        runs.push_back(std::async(std::launch::async, [&, i] {
            Caller caller(deployment);
            for (int id = i; !stops; id += callers) {
                const std::string text = std::to_string(id);
                const std::string result = caller.withParameters(insertPitch, {text.c_str(), "x"});
                const std::lock_guard<std::mutex> lock(mutex);
                if (result == "INSERT 0 1") {
                    acknowledged.insert(id);
                } else if (result != "08007") {
                    refused.insert(id);
                }
            }
        }));
    }
    const auto count = [&] {
        const std::lock_guard<std::mutex> lock(mutex);
        return acknowledged.size();
    };
    Cluster::awaitTrue([&] { return count() >= 50; }, "bookings before the failover");
    deployment.cluster.upstream("a").kill();
    Cluster::awaitTrue(
        [&] {
            const auto view = deployment.cluster.view();
            return view->primary != "a" && view->primaryConfirmed;
        },
        "a new primary");
    const std::size_t before = count();
    Cluster::awaitTrue([&] { return count() >= before + 50; }, "bookings after the failover");
    stops = true;
    for (auto &run : runs) {
        run.get();
    }
    std::set<int> present;
    for (const std::string &id : deployment.cluster.idsAtPrimary()) {
        present.insert(std::stoi(id));
    }
    for (const int id : acknowledged) {
        BOOST_TEST(present.contains(id), "booking " << id << " was acknowledged and is missing");
    }
    for (const int id : refused) {
        BOOST_TEST(!present.contains(id), "booking " << id << " was refused as not run and is present");
    }
    BOOST_TEST_MESSAGE(acknowledged.size() << " bookings acknowledged, " << refused.size() << " refused");
}

BOOST_AUTO_TEST_SUITE_END()
