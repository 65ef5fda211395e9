// The front between libpq clients and fake homes.

#define BOOST_TEST_MODULE Front
#include <boost/test/unit_test.hpp>

#include "runtime/callers/front.h"
#include "tests/runtime/fakehome.h"
#include "wire/pgwire.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <libpq-fe.h>

#include <array>
#include <atomic>
#include <future>

using namespace egrettide;
using egrettide::test::FakeHome;
namespace asio = boost::asio;

namespace
{

std::shared_ptr<const Configuration> sampleConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    DatabaseSpec database;
    database.name = "bookings";
    for (const char *name : {"u1", "u2"}) {
        UpstreamSpec upstream;
        upstream.name = name;
        upstream.address = "127.0.0.1:1";
        upstream.zone = "a";
        database.upstreams.push_back(upstream);
    }
    configuration->databases.push_back(database);
    configuration->classes.push_back({"desks", 0.2, milliseconds{10000}, 2});
    configuration->classes.push_back({"parents", 0, milliseconds{5000}, 0});
    configuration->tenants.push_back({"branch", "desks", "", 1.0});
    configuration->tenants.push_back({"office", "desks", "secret", 1.0});
    return configuration;
}

// A front on two traffic threads.
class RunningFront
{
public:
    // Wraps the execute hook between the front and its homes.
    using Wrapper = std::function<ExecuteHook(ExecuteHook)>;

    explicit RunningFront(FrontOptions options = {},
                          const std::shared_ptr<const Configuration> &configuration = sampleConfiguration(),
                          const Wrapper &wrapper = {})
        : m_acceptWork(asio::make_work_guard(m_accept))
    {
        std::vector<asio::io_context *> traffic;
        for (asio::io_context &context : m_traffic) {
            m_work.push_back(asio::make_work_guard(context));
            traffic.push_back(&context);
        }
        FrontHooks hooks;
        hooks.configuration = [this, configuration] { return m_isConfigured ? configuration : nullptr; };
        hooks.execute = wrapper ? wrapper(home.executeHook()) : home.executeHook();
        hooks.cancel = home.cancelHook();
        hooks.observe = [this](const RequestObservation &observation) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_observations.push_back(observation);
        };
        options.zone = "a";
        front = std::make_unique<Front>(m_accept, traffic, options, hooks);
        BOOST_REQUIRE(front->listen("127.0.0.1", 0).has_value());
        front->learn(FakeHome::hint(), "u1");
        m_threads.emplace_back([this] { m_accept.run(); });
        for (asio::io_context &context : m_traffic) {
            m_threads.emplace_back([&context] { context.run(); });
        }
    }

    ~RunningFront()
    {
        front->stop();
        waitForConnections(0);
        m_accept.stop();
        for (asio::io_context &context : m_traffic) {
            context.stop();
        }
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    void setConfigured(bool isConfigured)
    {
        m_isConfigured = isConfigured;
        front->resumeStartups();
    }

    std::vector<RequestObservation> observations() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_observations;
    }

    bool waitForConnections(std::size_t count) const
    {
        const auto end = Clock::now() + std::chrono::seconds(20);
        while (front->openConnections() != count && Clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return front->openConnections() == count;
    }

private:
    // Declared before all members that hold their sockets and timers.
    std::array<asio::io_context, 2> m_traffic;
    asio::io_context m_accept;

public:
    FakeHome home;
    std::unique_ptr<Front> front;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_acceptWork;
    std::vector<asio::executor_work_guard<asio::io_context::executor_type>> m_work;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isConfigured{true};
    mutable std::mutex m_mutex;
    std::vector<RequestObservation> m_observations;
};

using Result = std::unique_ptr<PGresult, decltype(&PQclear)>;

// A libpq connection.
class Caller
{
public:
    explicit Caller(const RunningFront &running, const std::string &more = "user=branch")
        : m_connection(PQconnectdb(("host=127.0.0.1 dbname=bookings connect_timeout=20 gssencmode=prefer port="
                                    + std::to_string(running.front->port()) + " " + more)
                                       .c_str()))
    {
    }
    ~Caller()
    {
        PQfinish(m_connection);
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    PGconn *connection() const
    {
        return m_connection;
    }
    bool isConnected() const
    {
        return PQstatus(m_connection) == CONNECTION_OK;
    }
    std::string message() const
    {
        return PQerrorMessage(m_connection);
    }
    Result run(const std::string &sql) const
    {
        return {PQexec(m_connection, sql.c_str()), PQclear};
    }
    // Returns the first value, the command tag when there are no rows, or the SQLSTATE.
    std::string value(const std::string &sql) const
    {
        return valueOf(run(sql));
    }
    static std::string valueOf(const Result &result)
    {
        if (PQresultStatus(result.get()) == PGRES_TUPLES_OK) {
            return PQntuples(result.get()) > 0 ? PQgetvalue(result.get(), 0, 0) : "";
        }
        if (PQresultStatus(result.get()) == PGRES_COMMAND_OK) {
            return PQcmdStatus(result.get());
        }
        const char *sqlState = PQresultErrorField(result.get(), PG_DIAG_SQLSTATE);
        return sqlState != nullptr ? sqlState : "no result: " + std::string(PQresultErrorMessage(result.get()));
    }
    std::string withParameter(const std::string &sql, const char *parameter) const
    {
        return valueOf({PQexecParams(m_connection, sql.c_str(), 1, nullptr, &parameter, nullptr, nullptr, 0), PQclear});
    }
    PGTransactionStatusType transaction() const
    {
        return PQtransactionStatus(m_connection);
    }

private:
    PGconn *m_connection;
};

std::string hintOf(const Result &result)
{
    const char *hint = PQresultErrorField(result.get(), PG_DIAG_MESSAGE_HINT);
    return hint != nullptr ? hint : "";
}

// Sends raw bytes and reads the answer until the connection is closed.
std::string rawAnswer(const RunningFront &running, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), running.front->port()});
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    boost::system::error_code error;
    while (!error) {
        char chunk[4096];
        const std::size_t count = socket.read_some(asio::buffer(chunk), error);
        answer.append(chunk, count);
    }
    return answer;
}

std::string startupBytes()
{
    std::string bytes;
    pg::appendStartup(bytes, {{"user", "branch"}, {"database", "bookings"}});
    return bytes;
}

// Answers batches that contain `text` with `reply`.
FakeHome::Script answering(std::string text, StatementReply reply)
{
    return [text = std::move(text), reply = std::move(reply)](const StatementRequest &request) -> std::optional<StatementReply> {
        return request.batch.find(text) != std::string::npos ? std::optional(reply) : std::nullopt;
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(FrontStartup)

BOOST_AUTO_TEST_CASE(ReportsTheParametersThatDriversRead)
{
    const RunningFront running;
    const Caller caller(running);
    BOOST_REQUIRE_MESSAGE(caller.isConnected(), caller.message());
    BOOST_TEST(PQserverVersion(caller.connection()) == 150000);
    for (const char *name : {"server_encoding", "client_encoding", "DateStyle", "TimeZone", "integer_datetimes",
                             "standard_conforming_strings", "egrettide.session"}) {
        BOOST_TEST(PQparameterStatus(caller.connection(), name) != nullptr, "no " << name << " was reported; add it");
    }
    BOOST_TEST(PQbackendPID(caller.connection()) != 0);
}

BOOST_AUTO_TEST_CASE(RequiresThePasswordOfATenantThatHasOne)
{
    const RunningFront running;
    BOOST_TEST(Caller(running, "user=office password=secret").isConnected());
    const Caller wrong(running, "user=office password=secreT");
    BOOST_TEST(!wrong.isConnected());
    BOOST_TEST(wrong.message().find("password") != std::string::npos);
    BOOST_TEST(!Caller(running, "user=office password=secretsecret").isConnected());
}

BOOST_AUTO_TEST_CASE(RefusesUnknownDatabases)
{
    const RunningFront running;
    const Caller caller(running, "user=branch dbname=elsewhere");
    BOOST_TEST(!caller.isConnected());
    BOOST_TEST(caller.message().find("elsewhere") != std::string::npos);
}

// Guards against callers that are refused by all hosts of a fleet which has just started, and have no
// attempt left when its hosts are configured some tenths of a second later.
BOOST_AUTO_TEST_CASE(HoldsCallersUntilThereIsAConfiguration)
{
    FrontOptions options;
    options.startupHold = std::chrono::seconds(20);
    RunningFront running(options);
    running.setConfigured(false);
    std::vector<std::future<bool>> connected;
    for (int i = 0; i < 8; ++i) {
        connected.push_back(std::async(std::launch::async, [&running] { return Caller(running).isConnected(); }));
    }
    BOOST_TEST_REQUIRE(running.waitForConnections(8));
    running.setConfigured(true);
    for (auto &each : connected) {
        BOOST_TEST(each.get());
    }
}

BOOST_AUTO_TEST_CASE(HoldsNoMoreCallersThanItMay)
{
    FrontOptions options;
    options.startupHold = std::chrono::seconds(20);
    options.maxHeldStartups = 0;
    RunningFront running(options);
    running.setConfigured(false);
    BOOST_TEST(!Caller(running).isConnected());
}

BOOST_AUTO_TEST_CASE(HoldsNobodyOnceItLeaves)
{
    FrontOptions options;
    options.startupHold = std::chrono::seconds(20);
    RunningFront running(options);
    running.setConfigured(false);
    auto connected = std::async(std::launch::async, [&running] { return Caller(running).isConnected(); });
    BOOST_TEST_REQUIRE(running.waitForConnections(1));
    running.front->beginDrain();
    BOOST_TEST(!connected.get());
}

BOOST_AUTO_TEST_CASE(RefusesWithoutAConfigurationAndSaysWhenToRetry)
{
    const RunningFront running({}, nullptr);
    std::string answer = rawAnswer(running, startupBytes());
    BOOST_TEST(answer.find("57P03") != std::string::npos);
    BOOST_TEST(answer.find("Not run. Come back in 1000 ms.") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(TakesSettingsFromStartupOptionsAndSet)
{
    const RunningFront running;
    const Caller caller(running, "user=branch options='-c egrettide.timeout=700ms -c egrettide.freshness=latest'");
    BOOST_REQUIRE_MESSAGE(caller.isConnected(), caller.message());
    BOOST_TEST(caller.value("SHOW egrettide.timeout") == "700ms");
    BOOST_TEST(caller.value("SET egrettide.timeout = '250ms'") == "SET");
    BOOST_TEST(caller.value("SHOW egrettide.timeout") == "250ms");
    BOOST_TEST(caller.value("SET egrettide.timeout = 'soon'") == "08P01");
    BOOST_TEST(caller.value("SET egrettide.class = 'parents'") == "SET");
    BOOST_TEST(caller.value("SET application_name = 'desk 4'") == "SET");
    BOOST_TEST(PQparameterStatus(caller.connection(), "application_name") == std::string("desk 4"));
    BOOST_TEST(running.home.requests().empty());
    caller.run("SELECT 1");
    const auto requests = running.home.requests();
    BOOST_REQUIRE_EQUAL(requests.size(), 1U);
    BOOST_TEST(requests[0].className == "parents");
    BOOST_TEST(requests[0].freshness.latest);
}

// Shared connections cannot keep a search_path of the startup message. If it were ignored
// without an error, the caller would read the tables of another schema.
BOOST_AUTO_TEST_CASE(RefusesStartupSettingsThatCannotBeKept)
{
    const RunningFront running;
    const Caller refused(running, "user=branch options='-c egrettide.timeout=1s -c search_path=other'");
    BOOST_TEST(!refused.isConnected());
    BOOST_TEST(refused.message().find("search_path") != std::string::npos, refused.message());
    const Caller harmless(running, "user=branch options='--geqo=off -cjit=off' client_encoding=UTF8");
    BOOST_TEST(harmless.isConnected(), harmless.message());
    BOOST_TEST(!Caller(running, "user=branch client_encoding=LATIN1").isConnected());
}

BOOST_AUTO_TEST_CASE(ClosesConnectionsThatNeverStart)
{
    FrontOptions options;
    options.startupTimeout = milliseconds{50};
    const RunningFront running(options);
    BOOST_TEST(rawAnswer(running, "").empty());
    BOOST_TEST(running.waitForConnections(0));
}

BOOST_AUTO_TEST_CASE(RefusesConnectionsBeyondTheLimit)
{
    FrontOptions options;
    options.maxConnections = 1;
    const RunningFront running(options);
    const Caller first(running);
    BOOST_TEST(first.isConnected());
    BOOST_TEST(rawAnswer(running, startupBytes()).find("53300") != std::string::npos);
    BOOST_TEST(first.value("SELECT 1") == "1");
}

BOOST_AUTO_TEST_CASE(NegotiatesNewerMinorVersions)
{
    const RunningFront running;
    std::string bytes = startupBytes();
    bytes[7] = 2; // version 3.2
    pg::appendMessage(bytes, 'X', {});
    const std::string answer = rawAnswer(running, bytes);
    BOOST_TEST(answer.starts_with('v'));
    BOOST_TEST(answer.find('R') != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FrontQueries)

BOOST_AUTO_TEST_CASE(AnswersSimpleAndExtendedQueries)
{
    const RunningFront running;
    const Caller caller(running);
    BOOST_TEST(caller.value("SELECT 7") == "7");
    BOOST_TEST(caller.value("INSERT INTO t VALUES (1)") == "INSERT 0 1");
    BOOST_TEST(caller.withParameter("SELECT $1", "kept") == "kept");
    BOOST_TEST(PQresultStatus(caller.run("").get()) == PGRES_EMPTY_QUERY);
}

BOOST_AUTO_TEST_CASE(PreparedStatementsOutliveTheConnectionTheyRanOn)
{
    const RunningFront running;
    const Caller caller(running);
    const Result prepared(PQprepare(caller.connection(), "q", "SELECT $1", 1, nullptr), PQclear);
    BOOST_TEST(PQresultStatus(prepared.get()) == PGRES_COMMAND_OK);
    for (const char *value : {"one", "two"}) {
        const Result result(PQexecPrepared(caller.connection(), "q", 1, &value, nullptr, nullptr, 0), PQclear);
        BOOST_TEST(Caller::valueOf(result) == value);
    }
    const Result described(PQdescribePrepared(caller.connection(), "q"), PQclear);
    BOOST_TEST(PQresultStatus(described.get()) == PGRES_COMMAND_OK);
    const Result bad(PQprepare(caller.connection(), "bad", "BAD", 0, nullptr), PQclear);
    BOOST_TEST(Caller::valueOf(bad) == "42601");
    BOOST_TEST(caller.value("DEALLOCATE q") == "DEALLOCATE");
    const char *value = "three";
    const Result gone(PQexecPrepared(caller.connection(), "q", 1, &value, nullptr, nullptr, 0), PQclear);
    BOOST_TEST(Caller::valueOf(gone) == "26000");
}

BOOST_AUTO_TEST_CASE(PipelinesAreAnsweredCompletelyAndInOrder)
{
    constexpr int batches = 200;
    FrontOptions options;
    options.maxQueuedBatches = 4;
    const RunningFront running(options);
    const Caller caller(running);
    PGconn *connection = caller.connection();
    BOOST_REQUIRE(PQenterPipelineMode(connection) == 1);
    for (int i = 0; i < batches; ++i) {
        const std::string text = std::to_string(i);
        const char *value = text.c_str();
        const char *sql = i % 10 == 7 ? "SELECT FAIL" : "SELECT $1";
        BOOST_REQUIRE(PQsendQueryParams(connection, sql, 1, nullptr, &value, nullptr, nullptr, 0) == 1);
        BOOST_REQUIRE(PQsendQueryParams(connection, "SELECT again", 0, nullptr, nullptr, nullptr, nullptr, 0) == 1);
        BOOST_REQUIRE(PQpipelineSync(connection) == 1);
    }
    for (int i = 0; i < batches; ++i) {
        const bool fails = i % 10 == 7;
        const Result first(PQgetResult(connection), PQclear);
        BOOST_TEST(Caller::valueOf(first) == (fails ? "22012" : std::to_string(i)));
        BOOST_TEST(PQgetResult(connection) == nullptr);
        const Result second(PQgetResult(connection), PQclear);
        BOOST_TEST(PQresultStatus(second.get()) == (fails ? PGRES_PIPELINE_ABORTED : PGRES_TUPLES_OK));
        BOOST_TEST(PQgetResult(connection) == nullptr);
        const Result third(PQgetResult(connection), PQclear);
        BOOST_TEST(PQresultStatus(third.get()) == PGRES_PIPELINE_SYNC);
    }
}

BOOST_AUTO_TEST_CASE(AFlushGivesTheAnswerBeforeTheSync)
{
    const RunningFront running;
    const Caller caller(running);
    PGconn *connection = caller.connection();
    BOOST_REQUIRE(PQenterPipelineMode(connection) == 1);
    BOOST_REQUIRE(PQsendPrepare(connection, "p", "SELECT kept", 0, nullptr) == 1);
    BOOST_REQUIRE(PQsendFlushRequest(connection) == 1);
    BOOST_REQUIRE(PQflush(connection) == 0);
    const Result prepared(PQgetResult(connection), PQclear);
    BOOST_TEST(PQresultStatus(prepared.get()) == PGRES_COMMAND_OK);
    BOOST_TEST(PQgetResult(connection) == nullptr);
    BOOST_REQUIRE(PQsendQueryPrepared(connection, "p", 0, nullptr, nullptr, nullptr, 0) == 1);
    BOOST_REQUIRE(PQpipelineSync(connection) == 1);
    const Result result(PQgetResult(connection), PQclear);
    BOOST_TEST(Caller::valueOf(result) == "kept");
}

BOOST_AUTO_TEST_CASE(AnUnsupportedFlushIsRefusedUpToTheSync)
{
    const RunningFront running;
    const Caller caller(running);
    PGconn *connection = caller.connection();
    BOOST_REQUIRE(PQenterPipelineMode(connection) == 1);
    BOOST_REQUIRE(PQsendQueryParams(connection, "INSERT x", 0, nullptr, nullptr, nullptr, nullptr, 0) == 1);
    BOOST_REQUIRE(PQsendFlushRequest(connection) == 1);
    BOOST_REQUIRE(PQsendQueryParams(connection, "INSERT y", 0, nullptr, nullptr, nullptr, nullptr, 0) == 1);
    BOOST_REQUIRE(PQpipelineSync(connection) == 1);
    const Result refused(PQgetResult(connection), PQclear);
    BOOST_TEST(Caller::valueOf(refused) == "0A000");
    BOOST_TEST(PQgetResult(connection) == nullptr);
    const Result skipped(PQgetResult(connection), PQclear);
    BOOST_TEST(PQresultStatus(skipped.get()) == PGRES_PIPELINE_ABORTED);
    BOOST_TEST(PQgetResult(connection) == nullptr);
    const Result synced(PQgetResult(connection), PQclear);
    BOOST_TEST(PQresultStatus(synced.get()) == PGRES_PIPELINE_SYNC);
    BOOST_TEST(running.home.ran().empty());
}

BOOST_AUTO_TEST_CASE(APipelinedTransactionIsOneWrite)
{
    const RunningFront running;
    const Caller caller(running);
    PGconn *connection = caller.connection();
    BOOST_REQUIRE(PQenterPipelineMode(connection) == 1);
    for (const char *sql : {"BEGIN", "INSERT x", "COMMIT"}) {
        BOOST_REQUIRE(PQsendQueryParams(connection, sql, 0, nullptr, nullptr, nullptr, nullptr, 0) == 1);
    }
    BOOST_REQUIRE(PQpipelineSync(connection) == 1);
    for (const char *tag : {"BEGIN", "INSERT 0 1", "COMMIT"}) {
        const Result result(PQgetResult(connection), PQclear);
        BOOST_TEST(Caller::valueOf(result) == tag);
        BOOST_TEST(PQgetResult(connection) == nullptr);
    }
    const auto requests = running.home.requests();
    BOOST_REQUIRE_EQUAL(requests.size(), 1U);
    BOOST_TEST((requests[0].kind == StatementKind::Write));
    BOOST_TEST(requests[0].upstream == "u1");
}

BOOST_AUTO_TEST_CASE(RefusesWhatSharedConnectionsCannotSupport)
{
    const RunningFront running;
    const Caller caller(running);
    BOOST_TEST(caller.value("COPY t FROM STDIN") == "0A000");
    BOOST_TEST(caller.value("LISTEN x") == "0A000");
    BOOST_TEST(caller.withParameter("LISTEN x", "1") == "0A000");
    BOOST_TEST(running.home.requests().empty());
    BOOST_TEST(caller.value("SELECT 1") == "1");
}

BOOST_AUTO_TEST_CASE(AnswersSettingsOfTheExtendedProtocol)
{
    const RunningFront running;
    const Caller caller(running);
    const auto execute = [&](const char *sql) {
        return Caller::valueOf({PQexecParams(caller.connection(), sql, 0, nullptr, nullptr, nullptr, nullptr, 0), PQclear});
    };
    BOOST_TEST(execute("SET extra_float_digits = 3") == "SET");
    BOOST_TEST(execute("SET egrettide.timeout = '900ms'") == "SET");
    BOOST_TEST(execute("SHOW egrettide.timeout") == "900ms");
    BOOST_TEST(running.home.requests().empty());
}

BOOST_AUTO_TEST_CASE(ReportsTheSessionTokenAndAcceptsItOnAnotherConnection)
{
    const RunningFront running;
    const Caller first(running);
    first.run("INSERT INTO t VALUES (1)");
    const std::string token = PQparameterStatus(first.connection(), "egrettide.session");
    BOOST_TEST(!token.empty());
    const Caller second(running, "user=branch options='-c egrettide.session=" + token + "'");
    second.run("SELECT 1");
    const auto requests = running.home.requests();
    BOOST_REQUIRE(requests.back().freshness.floor.has_value());
    BOOST_TEST(*requests.back().freshness.floor == (LogMark{1, 1}));
    BOOST_TEST(!requests.back().freshness.latest);
}

BOOST_AUTO_TEST_CASE(ObservesEachRequestOnce)
{
    const RunningFront running;
    const Caller caller(running);
    caller.run("INSERT INTO t VALUES (1)");
    caller.run("SELECT 1");
    const auto observed = running.observations();
    BOOST_REQUIRE_EQUAL(observed.size(), 2U);
    BOOST_TEST(observed[0].upstream == "u1");
    BOOST_TEST(observed[0].byPrimary);
    BOOST_TEST(observed[0].tenant == "branch");
    BOOST_TEST(observed[0].className == "desks");
    BOOST_TEST(observed[0].attempts == 1);
    BOOST_TEST((observed[1].kind == StatementKind::Read));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FrontOutcomes)

BOOST_AUTO_TEST_CASE(ReportsThatARefusedWriteDidNotRunAndWhenToRetry)
{
    RunningFront running;
    const Caller caller(running);
    running.home.setScript(answering("INSERT", FakeHome::refusal(ErrorKind::Overloaded, false, milliseconds{70})));
    const Result result = caller.run("INSERT INTO t VALUES (1)");
    BOOST_TEST(Caller::valueOf(result) == "53400");
    BOOST_TEST(hintOf(result) == "Not run. Come back in 70 ms.");
    BOOST_TEST(running.home.requests().size() == 1U);
    BOOST_TEST(caller.value("SELECT 1") == "1");
}

// A charge is sent and its answer is lost. If the lost answer were treated as "not run" and the
// request sent again, a parent would be charged twice.
BOOST_AUTO_TEST_CASE(NeverSendsAWriteAgainWhoseOutcomeIsUnknown)
{
    RunningFront running;
    const Caller caller(running);
    running.home.setScript(answering("INSERT", FakeHome::refusal(ErrorKind::UnknownOutcome, true)));
    const Result result = caller.run("INSERT INTO charges VALUES (1)");
    BOOST_TEST(Caller::valueOf(result) == "08007");
    BOOST_TEST(hintOf(result) == "Outcome unknown. Check before sending again.");
    BOOST_TEST(running.home.requests().size() == 1U);
}

// The hint that a caller receives for a write that was sent and then answered with "moved".
std::string hintAfterMove(FrontFaults faults)
{
    FrontOptions options;
    options.faults = faults;
    RunningFront running(options);
    const Caller caller(running);
    running.home.setScript(answering("INSERT", FakeHome::refusal(ErrorKind::Moved, true)));
    return hintOf(caller.run("INSERT INTO charges VALUES (1)"));
}

BOOST_AUTO_TEST_CASE(NeverReportsNotRunForAWriteThatWasSent)
{
    BOOST_TEST(hintAfterMove({}) == "Outcome unknown. Check before sending again.");
    BOOST_TEST(hintAfterMove({.acceptsLastRefusal = true}).starts_with("Not run."),
               "the test does not detect the injected fault");
}

BOOST_AUTO_TEST_CASE(AWriteWaitsForANewPrimaryAndThenRunsOnce)
{
    RunningFront running;
    const Caller caller(running);
    std::atomic<int> refusals{0};
    running.home.setScript([&](const StatementRequest &request) -> std::optional<StatementReply> {
        if (request.batch.find("INSERT") != std::string::npos && refusals.fetch_add(1) < 12) {
            return FakeHome::refusal(ErrorKind::NoPrimary, false);
        }
        return std::nullopt;
    });
    BOOST_TEST(caller.value("INSERT INTO t VALUES (1)") == "INSERT 0 1");
    BOOST_TEST(running.home.timesRan("INSERT INTO t VALUES (1)") == 1U);
    BOOST_TEST(running.observations().size() == 1U);
}

// A write waits while its database has no primary. With retries at a constant interval only, a
// write that waits for one second is sent 150 times to the homes of the database, and it still
// waits up to one interval longer than needed. The announcement of the primary sends it at once.
BOOST_AUTO_TEST_CASE(AWriteWaitsForTheAnnouncementOfAPrimaryAndRetriesRarely)
{
    FrontOptions options;
    // Only an announcement can end the later waits.
    options.maximumPrimaryRetryDelay = std::chrono::seconds(60);
    RunningFront running(options);
    const Caller caller(running, "user=branch options='-c egrettide.timeout=60s'");
    running.home.setScript(answering("INSERT", FakeHome::refusal(ErrorKind::NoPrimary, false)));
    BOOST_REQUIRE(PQsendQuery(caller.connection(), "INSERT INTO t VALUES (1)") == 1);
    // Two requests in the first round, one in each later round.
    BOOST_REQUIRE(running.home.waitFor([](const auto &requests) { return requests.size() >= 5; }));
    running.home.setScript({});
    GroupHint announcement = FakeHome::hint();
    announcement.term += 1;
    announcement.primary = "u2";
    running.front->learn(announcement, "u2");
    const Result result(PQgetResult(caller.connection()), PQclear);
    BOOST_TEST(PQresultStatus(result.get()) == PGRES_COMMAND_OK);
    BOOST_TEST(running.home.requests().size() <= 12U, running.home.requests().size() << " sends for one write");
    BOOST_TEST(running.home.requests().back().upstream == "u2");
}

BOOST_AUTO_TEST_CASE(AWriteThatFindsNoPrimaryByItsDeadlineDidNotRun)
{
    RunningFront running;
    const Caller caller(running, "user=branch options='-c egrettide.timeout=100ms'");
    running.home.setScript(answering("INSERT", FakeHome::refusal(ErrorKind::NoPrimary, false)));
    const Result result = caller.run("INSERT INTO t VALUES (1)");
    BOOST_TEST(Caller::valueOf(result) == "57P03");
    BOOST_TEST(hintOf(result).starts_with("Not run."));
}

// The host of a home stops without a report while it has a request. If only the reply of the
// home could end the request, the caller would hang long after its deadline.
BOOST_AUTO_TEST_CASE(AHomeThatNeverAnswersLeavesTheOutcomeUnknown)
{
    FrontOptions options;
    options.answerGrace = milliseconds{50};
    RunningFront running(options);
    const Caller caller(running, "user=branch options='-c egrettide.timeout=100ms'");
    running.home.hold("BEGIN");
    BOOST_TEST(caller.value("INSERT INTO t VALUES (1); SELECT 'BEGIN'") == "08007");
}

BOOST_AUTO_TEST_CASE(ReadsGoToAnotherUpstreamWhenOneIsLost)
{
    RunningFront running;
    const Caller caller(running);
    std::atomic<int> failures{0};
    running.home.setScript([&](const StatementRequest &) -> std::optional<StatementReply> {
        return failures.fetch_add(1) == 0 ? std::optional(FakeHome::refusal(ErrorKind::Moved, true)) : std::nullopt;
    });
    BOOST_TEST(caller.value("SELECT 5") == "5");
    const auto requests = running.home.requests();
    BOOST_REQUIRE_EQUAL(requests.size(), 2U);
    BOOST_TEST(requests[0].upstream != requests[1].upstream);
    BOOST_TEST(requests[0].id != requests[1].id);
}

// Refuses the first execution of a read, then answers it late with the row of another
// statement while the second execution is outstanding.
std::string answerDespiteLateReply(FrontFaults faults)
{
    FrontOptions options;
    options.faults = faults;
    std::atomic<int> executions{0};
    const auto wrapper = [&](const ExecuteHook &home) -> ExecuteHook {
        return [&, home](StatementRequest request, ReplyHandler handler) {
            if (executions.fetch_add(1) > 0) {
                home(std::move(request), std::move(handler));
                return;
            }
            StatementRequest other = request;
            other.batch.clear();
            pg::appendQuery(other.batch, "SELECT wrong");
            // Its answer arrives after the refusal, which this thread delivers immediately.
            home(std::move(other), handler);
            handler(FakeHome::refusal(ErrorKind::Moved, false));
        };
    };
    RunningFront running(options, sampleConfiguration(), wrapper);
    return Caller(running).value("SELECT right");
}

// A request is refused by one home and sent to a second one; then the first home answers after
// all. If its late reply were used as the answer, the caller would read the rows of another
// request.
BOOST_AUTO_TEST_CASE(ALateReplyIsNotUsedAsTheAnswer)
{
    BOOST_TEST(answerDespiteLateReply({}) == "right");
    BOOST_TEST(answerDespiteLateReply({.acceptsLateReplies = true}) == "wrong", "the test does not detect the injected fault");
}

BOOST_AUTO_TEST_CASE(ForwardsErrorsOfTheUpstream)
{
    const RunningFront running;
    const Caller caller(running);
    BOOST_TEST(caller.value("SELECT FAIL") == "22012");
    BOOST_TEST(caller.transaction() == PQTRANS_IDLE);
}

BOOST_AUTO_TEST_CASE(CancelsTheCurrentRequest)
{
    RunningFront running;
    const Caller caller(running);
    running.home.hold("SELECT slow");
    BOOST_REQUIRE(PQsendQuery(caller.connection(), "SELECT slow") == 1);
    BOOST_REQUIRE(running.home.waitForRequest("SELECT slow"));
    PGcancel *cancel = PQgetCancel(caller.connection());
    char error[256];
    BOOST_TEST(PQcancel(cancel, error, sizeof error) == 1, error);
    PQfreeCancel(cancel);
    const Result result(PQgetResult(caller.connection()), PQclear);
    BOOST_TEST(Caller::valueOf(result) == "57014");
}

BOOST_AUTO_TEST_CASE(IgnoresACancelWithAWrongKey)
{
    RunningFront running;
    const Caller caller(running);
    running.home.hold("SELECT slow");
    BOOST_REQUIRE(PQsendQuery(caller.connection(), "SELECT slow") == 1);
    BOOST_REQUIRE(running.home.waitForRequest("SELECT slow"));
    std::string bytes;
    pg::appendCancelRequest(bytes, static_cast<std::uint32_t>(PQbackendPID(caller.connection())), 12345);
    BOOST_TEST(rawAnswer(running, bytes).empty());
    running.home.release();
    const Result result(PQgetResult(caller.connection()), PQclear);
    BOOST_TEST(Caller::valueOf(result) == "slow");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FrontTransactions)

BOOST_AUTO_TEST_CASE(StayWithTheUpstreamOfTheirBegin)
{
    const RunningFront running;
    const Caller caller(running);
    BOOST_TEST(caller.value("BEGIN") == "BEGIN");
    BOOST_TEST(caller.transaction() == PQTRANS_INTRANS);
    BOOST_TEST(caller.value("SELECT 1") == "1");
    BOOST_TEST(caller.withParameter("INSERT INTO t VALUES ($1)", "1") == "INSERT 0 1");
    BOOST_TEST(caller.value("SELECT FAIL") == "22012");
    BOOST_TEST(caller.transaction() == PQTRANS_INERROR);
    BOOST_TEST(caller.value("SELECT 1") == "25P02");
    BOOST_TEST(caller.value("COMMIT") == "ROLLBACK");
    BOOST_TEST(caller.transaction() == PQTRANS_IDLE);
    for (const StatementRequest &request : running.home.requests()) {
        BOOST_TEST(request.upstream == "u1");
    }
}

// Loses the connection in the middle of a transaction; returns how many of the later
// statements ran nevertheless.
std::size_t ranAfterLoss(FrontFaults faults)
{
    FrontOptions options;
    options.faults = faults;
    RunningFront running(options);
    const Caller caller(running);
    caller.run("BEGIN");
    running.home.setScript(answering("VALUES (1)", FakeHome::refusal(ErrorKind::UnknownOutcome, true)));
    const Result lost = caller.run("INSERT INTO t VALUES (1)");
    BOOST_TEST(Caller::valueOf(lost) == "40001");
    BOOST_TEST(hintOf(lost) == "Not run.");
    caller.run("INSERT INTO t VALUES (2)");
    caller.withParameter("INSERT INTO t VALUES ($1)", "2");
    caller.run("COMMIT");
    return running.home.timesRan("INSERT INTO t VALUES (2)") + running.home.timesRan("INSERT INTO t VALUES ($1)");
}

// The upstream of a transaction is lost after a pipelining caller has already sent the remaining
// statements and COMMIT. If these ran outside the transaction, half of it would be committed.
BOOST_AUTO_TEST_CASE(NothingMoreOfALostTransactionRuns)
{
    BOOST_TEST(ranAfterLoss({}) == 0U);
    BOOST_TEST(ranAfterLoss({.ignoresLostTransactions = true}) == 2U, "the test does not detect the injected fault");
}

BOOST_AUTO_TEST_CASE(ALostTransactionStaysAbortedUntilItsCallerEndsIt)
{
    RunningFront running;
    const Caller caller(running);
    caller.run("BEGIN");
    running.home.setScript(answering("INSERT", FakeHome::refusal(ErrorKind::UnknownOutcome, true)));
    caller.run("INSERT INTO t VALUES (1)");
    BOOST_TEST(caller.transaction() == PQTRANS_INERROR);
    running.home.setScript({});
    BOOST_TEST(caller.value("INSERT INTO t VALUES (2)") == "25P02");
    BOOST_TEST(caller.withParameter("SELECT $1", "2") == "25P02");
    BOOST_TEST(caller.value("COMMIT") == "ROLLBACK");
    BOOST_TEST(caller.transaction() == PQTRANS_IDLE);
    BOOST_TEST(caller.value("INSERT INTO t VALUES (3)") == "INSERT 0 1");
}

BOOST_AUTO_TEST_CASE(ALostCommitLeavesTheOutcomeUnknown)
{
    RunningFront running;
    const Caller caller(running);
    caller.run("BEGIN");
    caller.run("INSERT INTO t VALUES (1)");
    running.home.setScript(answering("COMMIT", FakeHome::refusal(ErrorKind::UnknownOutcome, true)));
    BOOST_TEST(caller.value("COMMIT") == "08007");
    BOOST_TEST(caller.transaction() == PQTRANS_IDLE);
}

// The same for a COMMIT within a text of several statements.
BOOST_AUTO_TEST_CASE(ALostTextThatMayHoldTheCommitLeavesTheOutcomeUnknown)
{
    RunningFront running;
    const Caller caller(running);
    caller.run("BEGIN");
    running.home.setScript(answering("COMMIT", FakeHome::refusal(ErrorKind::UnknownOutcome, true)));
    BOOST_TEST(caller.value("INSERT INTO t VALUES (1); COMMIT") == "08007");
}

BOOST_AUTO_TEST_CASE(ARefusedStatementAbortsTheTransactionItIsIn)
{
    RunningFront running;
    const Caller caller(running);
    caller.run("BEGIN");
    BOOST_TEST(caller.value("COPY t FROM STDIN") == "0A000");
    BOOST_TEST(caller.transaction() == PQTRANS_INERROR);
    BOOST_TEST(caller.value("COMMIT") == "ROLLBACK");
    // The front has answered locally; the rollback reaches the home asynchronously.
    BOOST_TEST(running.home.waitUntilRan("ROLLBACK"), "the upstream's transaction was left open; see rollBackAtHome");
    BOOST_TEST(running.home.timesRan("COMMIT") == 0U);
    BOOST_TEST(running.home.timesRan("ROLLBACK") == 1U);
}

BOOST_AUTO_TEST_CASE(AreRolledBackWhenTheirCallerDisconnects)
{
    RunningFront running;
    {
        const Caller caller(running);
        caller.run("BEGIN");
        BOOST_TEST(shutdown(PQsocket(caller.connection()), SHUT_RDWR) == 0);
    }
    BOOST_TEST(running.home.waitForRequest("ROLLBACK"));
}

BOOST_AUTO_TEST_CASE(AreRolledBackWhenTheirCallerDisconnectsBeforeBeginIsAnswered)
{
    RunningFront running;
    running.home.hold("BEGIN");
    {
        const Caller caller(running);
        BOOST_REQUIRE(PQsendQuery(caller.connection(), "BEGIN") == 1);
        BOOST_REQUIRE(running.home.waitForRequest("BEGIN"));
    }
    running.home.release();
    BOOST_TEST(running.home.waitForRequest("ROLLBACK"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FrontEndings)

BOOST_AUTO_TEST_CASE(MalformedBytesCloseTheirConnectionAndNoOther)
{
    const RunningFront running;
    const Caller caller(running);
    caller.run("BEGIN");
    BOOST_TEST(rawAnswer(running, std::string("\x7f\xff\xff\xff garbage", 12)).find("08P01") != std::string::npos);
    BOOST_TEST(rawAnswer(running, startupBytes() + std::string("Q\0\0\0\1x", 6)).find("08P01") != std::string::npos);
    BOOST_TEST(rawAnswer(running, startupBytes() + std::string("Q\x7f\xff\xff\xffx", 6)).find("08P01") != std::string::npos);
    BOOST_TEST(rawAnswer(running, startupBytes() + std::string("!\0\0\0\4", 5)).find("08P01") != std::string::npos);
    BOOST_TEST(running.waitForConnections(1));
    BOOST_TEST(caller.value("COMMIT") == "COMMIT");
}

BOOST_AUTO_TEST_CASE(DrainLetsATransactionFinishAndThenSendsAFinalError)
{
    RunningFront running;
    const Caller idle(running);
    // libpq reports messages that arrive between requests as notices.
    std::string notices;
    const auto collect = [](void *all, const char *message) { static_cast<std::string *>(all)->append(message); };
    PQsetNoticeProcessor(idle.connection(), collect, &notices);
    const Caller busy(running);
    busy.run("BEGIN");
    running.front->beginDrain();
    BOOST_TEST(running.waitForConnections(1));
    PQconsumeInput(idle.connection());
    BOOST_TEST(PQnotifies(idle.connection()) == nullptr); // makes libpq parse its input
    BOOST_TEST(notices.find("connect again; egrettide host leaving") != std::string::npos,
               "the idle caller received: " << notices << "; see CallerConnection::sendFinalError");
    BOOST_TEST(PQresultStatus(idle.run("INSERT INTO t VALUES (1)").get()) == PGRES_FATAL_ERROR);
    BOOST_TEST(busy.value("INSERT INTO t VALUES (2)") == "INSERT 0 1");
    BOOST_TEST(busy.value("COMMIT") == "COMMIT");
    BOOST_TEST(running.waitForConnections(0));
    BOOST_TEST(running.home.timesRan("INSERT INTO t VALUES (1)") == 0U);
    BOOST_TEST(running.home.timesRan("COMMIT") == 1U);
}

BOOST_AUTO_TEST_CASE(DrainLetsARequestFinish)
{
    RunningFront running;
    const Caller caller(running);
    running.home.hold("SELECT slow");
    BOOST_REQUIRE(PQsendQuery(caller.connection(), "SELECT slow") == 1);
    BOOST_REQUIRE(running.home.waitForRequest("SELECT slow"));
    running.front->beginDrain();
    running.home.release();
    const Result result(PQgetResult(caller.connection()), PQclear);
    BOOST_TEST(Caller::valueOf(result) == "slow");
    BOOST_TEST(running.waitForConnections(0));
}

BOOST_AUTO_TEST_CASE(StopClosesEverythingAtOnce)
{
    RunningFront running;
    const Caller caller(running);
    running.home.hold("SELECT slow");
    BOOST_REQUIRE(PQsendQuery(caller.connection(), "SELECT slow") == 1);
    BOOST_REQUIRE(running.home.waitForRequest("SELECT slow"));
    running.front->stop();
    BOOST_TEST(running.waitForConnections(0));
}

BOOST_AUTO_TEST_SUITE_END()
