// egrettide-bench: a load generator that connects to running entry hosts through libpq and
// checks every answer. It starts no processes and injects no faults; scripts/lab.py does
// both. The load is open-loop: arrivals follow a schedule regardless of how fast the system
// answers, so queueing time is part of the measured latency.

#include <boost/program_options.hpp>
#include <libpq-fe.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace
{

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr const char *unknownOutcomeSqlState = "08007";
// Part of the error message of a connection that a draining host closes.
constexpr const char *shutdownHintText = "HINT:  Not run";
// How far a caller's thread may fall behind its schedule before it skips arrivals. It falls
// behind when answers are slow, since one connection carries one statement at a time.
constexpr milliseconds maxScheduleLag{2000};
// The maximum staleness that reads of another caller's row allow, unless they ask for the latest
// state.
constexpr int freshnessBoundMs = 200;
// Precedes the delay in milliseconds in the hint of a refusal. After a refusal without it,
// a caller retries immediately.
constexpr const char *retryDelayPrefix = "Come back in ";
// The step of the report's lists of writes over time; "_per_100ms" in their names.
constexpr milliseconds timelineStep{100};

struct Options {
    std::vector<std::string> targets;
    std::string database = "booking1";
    double seconds = 10;
    int desks = 4;
    int parents = 8;
    double deskRate = 20;
    double parentRate = 20;
    double readShare = 0.8;
    // The number of requests after which a session moves to the next host; 0: never.
    int moveEvery = 0;
    // Whether a session that moves presents its token to the next host.
    bool carryToken = true;
    // Multiplies the callers of class parent between `stormFrom` and `stormTo`, in seconds from
    // the start of the run.
    int stormFactor = 1;
    double stormFrom = 0;
    double stormTo = 0;
    int timeoutMs = 3000;
    // The share of writes that are transactions of two inserts; the others are single updates.
    double transactionShare = 0.5;
    // The maximum number of retries after a refusal as "not run".
    int retries = 0;
    // Whether a caller waits before a retry for the delay that the refusal gave.
    bool honorRetryDelay = true;
    std::uint64_t seed = 1;
    // If not 0, no load runs; each of `probeCallers` measures this many sequential reads.
    int probes = 0;
    int probeCallers = 1;
    // If not empty, this statement runs instead of the load.
    std::string statement;
};

// What an answer tells its caller about the effect of the statement.
enum class Outcome { Done, NotRun, Unknown, Failed };

struct Answer {
    Outcome outcome = Outcome::Failed;
    std::string sqlState;
    std::string text;
    std::vector<std::vector<std::string>> rows;
    // The delay before a retry that a refusal gave; 0 if it gave none.
    milliseconds retryDelay{0};
};

struct PqConnectionDeleter {
    void operator()(PGconn *connection) const
    {
        PQfinish(connection);
    }
};
using PqConnection = std::unique_ptr<PGconn, PqConnectionDeleter>;
struct PqResultDeleter {
    void operator()(PGresult *result) const
    {
        PQclear(result);
    }
};
using PqResult = std::unique_ptr<PGresult, PqResultDeleter>;

bool isNotRun(const std::string &hint)
{
    return hint.rfind("Not run", 0) == 0;
}

milliseconds retryDelayOf(const char *hint)
{
    const std::string text = hint != nullptr ? hint : "";
    const std::size_t found = text.find(retryDelayPrefix);
    return milliseconds(found == std::string::npos ? 0 : std::stoll(text.substr(found + std::string(retryDelayPrefix).size())));
}

Answer parseAnswer(PGconn *connection, PGresult *result)
{
    Answer answer;
    const ExecStatusType status = PQresultStatus(result);
    if (status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK) {
        answer.outcome = Outcome::Done;
        for (int row = 0; row < PQntuples(result); ++row) {
            std::vector<std::string> values;
            for (int column = 0; column < PQnfields(result); ++column) {
                values.emplace_back(PQgetvalue(result, row, column));
            }
            answer.rows.push_back(std::move(values));
        }
        return answer;
    }
    const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    const char *hint = PQresultErrorField(result, PG_DIAG_MESSAGE_HINT);
    const char *message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
    answer.sqlState = state != nullptr ? state : "";
    answer.text = message != nullptr ? message : PQerrorMessage(connection);
    answer.retryDelay = retryDelayOf(hint);
    if (answer.sqlState.empty() && answer.text.find(shutdownHintText) != std::string::npos) {
        // A draining host closed the connection while the statement was on its way. Its message
        // says that the statement did not run, which checkCharges() verifies.
        answer.outcome = Outcome::NotRun;
    } else if (answer.sqlState.empty() || answer.sqlState == unknownOutcomeSqlState) {
        // Without a SQLSTATE, the connection broke before the answer arrived.
        answer.outcome = Outcome::Unknown;
    } else if (hint != nullptr && isNotRun(hint)) {
        answer.outcome = Outcome::NotRun;
    } else {
        answer.outcome = Outcome::Failed;
    }
    return answer;
}

// Durations of one kind and their quantiles. Latencies of requests start at the scheduled
// arrival.
class Latencies
{
public:
    void add(microseconds latency)
    {
        m_values.push_back(latency.count());
    }

    void merge(const Latencies &other)
    {
        m_values.insert(m_values.end(), other.m_values.begin(), other.m_values.end());
    }

    json summary()
    {
        std::sort(m_values.begin(), m_values.end());
        return json{
            {"count", m_values.size()}, {"p50_ms", quantileMs(0.5)}, {"p99_ms", quantileMs(0.99)}, {"max_ms", quantileMs(1.0)}};
    }

private:
    double quantileMs(double quantile) const
    {
        if (m_values.empty()) {
            return 0;
        }
        const auto last = static_cast<double>(m_values.size() - 1);
        constexpr double microsecondsPerMillisecond = 1000.0;
        return static_cast<double>(m_values[static_cast<std::size_t>(quantile * last)]) / microsecondsPerMillisecond;
    }

    std::vector<std::int64_t> m_values;
};

// The versions that one caller has written to its row, with the times at which they were
// acknowledged. All callers use it to check what a read at a given time must return. Safe for
// concurrent use.
class VersionHistory
{
public:
    void recordAcknowledged(std::int64_t version, TimePoint when)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_acknowledged.emplace_back(when, version);
    }

    void recordAttempt(std::int64_t version)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_lastAttempted = version;
    }

    // The newest version acknowledged at or before `when`; 0 if there is none.
    std::int64_t newestAcknowledgedAt(TimePoint when) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::int64_t newest = 0;
        for (auto it = m_acknowledged.rbegin(); it != m_acknowledged.rend(); ++it) {
            if (it->first <= when) {
                newest = it->second;
                break;
            }
        }
        return newest;
    }

    std::int64_t lastAttempted() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_lastAttempted;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::pair<TimePoint, std::int64_t>> m_acknowledged;
    std::int64_t m_lastAttempted = 0;
};

// The state that all callers share.
struct SharedState {
    explicit SharedState(const Options &settings)
        : options(settings), histories(static_cast<std::size_t>(settings.desks + settings.parents * settings.stormFactor))
    {
    }

    const Options &options;
    std::vector<VersionHistory> histories;
    TimePoint start;
    // Guards all following members except the atomic ones while the callers run.
    std::mutex mutex;
    // The outcome that was reported to the caller, by charge id.
    std::map<std::int64_t, Outcome> chargeOutcomes;
    std::vector<std::string> violations;
    std::vector<TimePoint> writesDone;
    std::vector<TimePoint> writesNotDone;
    std::map<std::string, int> refusals;
    std::map<std::string, Latencies> latencies;
    // For refusals as "not run": the time until the refusal and the delay that it gave.
    Latencies refusalDelays;
    Latencies retryDelays;
    std::atomic<std::int64_t> retries{0};
    std::atomic<std::int64_t> skippedArrivals{0};
    std::atomic<std::int64_t> nextCharge{1};
    std::atomic<std::int64_t> attempts{0};
    std::atomic<std::int64_t> requestsDone{0};

    void addViolation(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        violations.push_back(text);
    }
};

class Caller
{
public:
    Caller(SharedState &shared, int number, bool isDesk, double rate, TimePoint from, TimePoint until)
        : m_shared(shared)
        , m_number(number)
        , m_isDesk(isDesk)
        , m_rate(rate)
        , m_from(from)
        , m_until(until)
        , m_random(shared.options.seed * 7919 + static_cast<std::uint64_t>(number))
        , m_target(static_cast<std::size_t>(number) % shared.options.targets.size())
    {
    }

    void run()
    {
        std::exponential_distribution<double> interarrival(m_rate);
        TimePoint due = m_from + toDuration(interarrival(m_random));
        while (due < m_until) {
            std::this_thread::sleep_until(due);
            if (Clock::now() - due < maxScheduleLag) {
                issueRequest(due);
            } else {
                m_shared.skippedArrivals.fetch_add(1);
            }
            due += toDuration(interarrival(m_random));
        }
    }

    Latencies reads;
    Latencies writes;
    // All requests of both kinds, by whether their scheduled arrival was within the storm.
    Latencies requestsInStorm;
    Latencies requestsOutsideStorm;

private:
    static Clock::duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    }

    PGconn *connection()
    {
        if (m_connection && PQstatus(m_connection.get()) == CONNECTION_OK) {
            return m_connection.get();
        }
        const Options &options = m_shared.options;
        for (std::size_t attempt = 0; attempt < options.targets.size(); ++attempt) {
            m_connection.reset(PQconnectdb(connectionString(options.targets[m_target]).c_str()));
            if (PQstatus(m_connection.get()) == CONNECTION_OK) {
                return m_connection.get();
            }
            m_target = (m_target + 1) % options.targets.size();
        }
        return nullptr;
    }

    std::string connectionString(const std::string &target) const
    {
        const std::size_t colon = target.rfind(':');
        std::ostringstream text;
        text << "host=" << target.substr(0, colon) << " port=" << target.substr(colon + 1)
             << " dbname=" << m_shared.options.database << " user=" << (m_isDesk ? "desk" : "parent")
             << " connect_timeout=3 sslmode=prefer gssencmode=disable options='-c egrettide.timeout="
             << m_shared.options.timeoutMs;
        if (!m_token.empty() && m_shared.options.carryToken) {
            text << " -c egrettide.session=" << m_token;
        }
        text << "'";
        return text.str();
    }

    // Moves the session to the next host after every `moveEvery` requests.
    void moveIfDue()
    {
        const Options &options = m_shared.options;
        ++m_requests;
        if (options.moveEvery == 0 || m_requests % options.moveEvery != 0) {
            return;
        }
        m_connection.reset();
        m_target = (m_target + 1) % options.targets.size();
    }

    // Retries a statement that was refused as "not run", as an application would.
    Answer executeWithRetries(const std::string &sql)
    {
        const Options &options = m_shared.options;
        Answer answer = execute(sql);
        for (int retry = 0; retry < options.retries && answer.outcome == Outcome::NotRun; ++retry) {
            if (options.honorRetryDelay) {
                std::this_thread::sleep_for(answer.retryDelay);
            }
            m_shared.retries.fetch_add(1);
            answer = execute(sql);
        }
        return answer;
    }

    Answer execute(const std::string &sql)
    {
        m_shared.attempts.fetch_add(1);
        const TimePoint sentAt = Clock::now();
        PGconn *openConnection = connection();
        if (openConnection == nullptr) {
            return Answer{Outcome::NotRun, "connect", "no host accepts connections", {}, milliseconds{0}};
        }
        const PqResult result(PQexec(openConnection, sql.c_str()));
        Answer answer = parseAnswer(openConnection, result.get());
        const char *token = PQparameterStatus(openConnection, "egrettide.session");
        if (token != nullptr) {
            m_token = token;
        }
        if (PQstatus(openConnection) != CONNECTION_OK) {
            m_connection.reset();
        }
        if (answer.outcome == Outcome::NotRun) {
            const std::lock_guard<std::mutex> lock(m_shared.mutex);
            m_shared.refusalDelays.add(std::chrono::duration_cast<microseconds>(Clock::now() - sentAt));
            m_shared.retryDelays.add(answer.retryDelay);
        }
        return answer;
    }

    void issueRequest(TimePoint due)
    {
        const bool read = std::uniform_real_distribution<>(0, 1)(m_random) < m_shared.options.readShare;
        if (read) {
            issueRead();
        } else {
            issueWrite();
        }
        const auto latency = std::chrono::duration_cast<microseconds>(Clock::now() - due);
        (read ? reads : writes).add(latency);
        (isInStorm(due) ? requestsInStorm : requestsOutsideStorm).add(latency);
        moveIfDue();
    }

    bool isInStorm(TimePoint due) const
    {
        const Options &options = m_shared.options;
        const double secondsIntoRun = std::chrono::duration<double>(due - m_shared.start).count();
        return options.stormFactor > 1 && secondsIntoRun >= options.stormFrom && secondsIntoRun < options.stormTo;
    }

    void recordAnswer(const Answer &answer)
    {
        if (answer.outcome == Outcome::Done) {
            m_shared.requestsDone.fetch_add(1);
            return;
        }
        const std::lock_guard<std::mutex> lock(m_shared.mutex);
        ++m_shared.refusals[answer.sqlState
                            + (answer.outcome == Outcome::NotRun        ? " not run"
                                   : answer.outcome == Outcome::Unknown ? " unknown"
                                                                        : " failed")
                            + ": " + answer.text.substr(0, 90)];
    }

    void recordWrite(const Answer &answer)
    {
        recordAnswer(answer);
        const std::lock_guard<std::mutex> lock(m_shared.mutex);
        auto &times = answer.outcome == Outcome::Done ? m_shared.writesDone : m_shared.writesNotDone;
        times.push_back(Clock::now());
    }

    void issueWrite()
    {
        if (std::uniform_real_distribution<>(0, 1)(m_random) < m_shared.options.transactionShare) {
            insertInTransaction();
        } else {
            incrementVersion();
        }
    }

    // Inserts one booking and one charge in a transaction.
    void insertInTransaction()
    {
        const std::int64_t charge = m_shared.nextCharge.fetch_add(1);
        const std::string number = std::to_string(charge);
        Answer answer = execute("BEGIN");
        if (answer.outcome == Outcome::Done) {
            answer = execute("INSERT INTO bookings (id, caller) VALUES (" + number + ", " + std::to_string(m_number) + ")");
        }
        if (answer.outcome == Outcome::Done) {
            answer = execute("INSERT INTO charges (id, caller) VALUES (" + number + ", " + std::to_string(m_number) + ")");
        }
        if (answer.outcome == Outcome::Done) {
            answer = execute("COMMIT");
        } else {
            // COMMIT was not sent, so no part of the transaction can have taken effect.
            answer.outcome = Outcome::NotRun;
            if (m_connection && PQtransactionStatus(m_connection.get()) != PQTRANS_IDLE) {
                const PqResult rolledBack(PQexec(m_connection.get(), "ROLLBACK"));
            }
        }
        recordWrite(answer);
        const std::lock_guard<std::mutex> lock(m_shared.mutex);
        m_shared.chargeOutcomes[charge] = answer.outcome;
    }

    void incrementVersion()
    {
        const std::int64_t version = ++m_version;
        VersionHistory &history = m_shared.histories[static_cast<std::size_t>(m_number)];
        history.recordAttempt(version);
        const Answer answer = executeWithRetries("UPDATE progress SET version = " + std::to_string(version)
                                                 + " WHERE caller = " + std::to_string(m_number));
        recordWrite(answer);
        if (answer.outcome == Outcome::Done) {
            history.recordAcknowledged(version, Clock::now());
        }
    }

    void issueRead()
    {
        const int kind = std::uniform_int_distribution<>(0, 9)(m_random);
        if (kind == 0) {
            readOther("latest", milliseconds(0));
        } else if (kind <= 3) {
            readOther(std::to_string(freshnessBoundMs) + "ms", milliseconds(freshnessBoundMs));
        } else {
            readOwn();
        }
    }

    void readOwn()
    {
        const VersionHistory &history = m_shared.histories[static_cast<std::size_t>(m_number)];
        const std::int64_t floor = history.newestAcknowledgedAt(Clock::now());
        const Answer answer =
            executeWithRetries("SELECT caller, version FROM progress WHERE caller = " + std::to_string(m_number));
        checkRead(answer, m_number, floor, "own write");
    }

    // Selects the freshness with a SET statement, which works with any driver.
    void readOther(const std::string &freshness, milliseconds age)
    {
        const auto otherCaller = static_cast<int>(m_random() % m_shared.histories.size());
        const Answer setting = execute("SET egrettide.freshness = '" + freshness + "'");
        if (setting.outcome != Outcome::Done) {
            recordAnswer(setting);
            return;
        }
        const TimePoint sentAt = Clock::now();
        const std::int64_t floor = m_shared.histories[static_cast<std::size_t>(otherCaller)].newestAcknowledgedAt(sentAt - age);
        const Answer answer = execute("SELECT caller, version FROM progress WHERE caller = " + std::to_string(otherCaller));
        checkRead(answer, otherCaller, floor, freshness.c_str());
        execute("SET egrettide.freshness = 'session'");
    }

    void checkRead(const Answer &answer, int caller, std::int64_t floor, const char *rule)
    {
        recordAnswer(answer);
        if (answer.outcome != Outcome::Done) {
            return;
        }
        std::ostringstream message;
        if (answer.rows.size() != 1 || answer.rows[0].size() != 2 || answer.rows[0][0] != std::to_string(caller)) {
            message << "wrong row: expected one row of caller " << caller << ", got " << answer.rows.size() << " rows"
                    << (answer.rows.empty() ? "" : " of caller " + answer.rows[0][0]);
            m_shared.addViolation(message.str());
            return;
        }
        const std::int64_t version = std::stoll(answer.rows[0][1]);
        const std::int64_t newestAttempted = m_shared.histories[static_cast<std::size_t>(caller)].lastAttempted();
        if (version < floor || version > newestAttempted) {
            message << (version < floor ? "stale" : "invented") << " (" << rule << "): caller " << caller << " read version "
                    << version << ", at least " << floor << " and at most " << newestAttempted << " expected, "
                    << std::chrono::duration_cast<milliseconds>(Clock::now() - m_shared.start).count() << " ms into the run";
            m_shared.addViolation(message.str());
        }
    }

    SharedState &m_shared;
    const int m_number;
    const bool m_isDesk;
    const double m_rate;
    const TimePoint m_from;
    const TimePoint m_until;
    std::mt19937_64 m_random;
    std::size_t m_target;
    PqConnection m_connection;
    std::string m_token;
    int m_requests = 0;
    std::int64_t m_version = 0;
};

// Runs a statement, repeated until it succeeds, for the setup and the final check. Exits with
// status 2 after the last attempt.
Answer executeUntilDone(const Options &options, const std::string &sql, const std::string &freshness)
{
    constexpr int maxAttempts = 100;
    constexpr milliseconds retryInterval{200};
    Answer answer;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const std::string &target = options.targets[static_cast<std::size_t>(attempt) % options.targets.size()];
        const std::size_t colon = target.rfind(':');
        const PqConnection connection(
            PQconnectdb(("host=" + target.substr(0, colon) + " port=" + target.substr(colon + 1) + " dbname=" + options.database
                         + " user=desk connect_timeout=3 gssencmode=disable options='-c egrettide.freshness=" + freshness
                         + " -c egrettide.timeout=10000'")
                            .c_str()));
        if (PQstatus(connection.get()) == CONNECTION_OK) {
            const PqResult result(PQexec(connection.get(), sql.c_str()));
            answer = parseAnswer(connection.get(), result.get());
            if (answer.outcome == Outcome::Done) {
                return answer;
            }
        } else {
            answer.text = PQerrorMessage(connection.get());
        }
        std::this_thread::sleep_for(retryInterval);
    }
    std::cerr << "egrettide-bench: \"" << sql << "\" did not succeed: " << answer.text
              << "; check that the hosts and upstreams are running\n";
    std::exit(2);
}

void createTables(const Options &options, std::size_t callers)
{
    executeUntilDone(options, "CREATE TABLE IF NOT EXISTS bookings (id int8 PRIMARY KEY, caller int8)", "session");
    // Without a primary key, so that a charge that runs twice leaves two rows.
    executeUntilDone(options, "CREATE TABLE IF NOT EXISTS charges (id int8, caller int8)", "session");
    executeUntilDone(options, "CREATE TABLE IF NOT EXISTS progress (caller int8 PRIMARY KEY, version int8)", "session");
    std::ostringstream rows;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        rows << (caller == 0 ? "" : ", ") << '(' << caller << ", 0)";
    }
    executeUntilDone(options, "INSERT INTO progress (caller, version) VALUES " + rows.str(), "session");
}

// Compares the outcome reported for each charge with the rows in the tables.
void checkCharges(SharedState &shared)
{
    const Answer charges = executeUntilDone(shared.options, "SELECT id FROM charges", "latest");
    const Answer bookings = executeUntilDone(shared.options, "SELECT id FROM bookings", "latest");
    std::map<std::int64_t, int> charged;
    std::map<std::int64_t, int> booked;
    for (const auto &row : charges.rows) {
        ++charged[std::stoll(row[0])];
    }
    for (const auto &row : bookings.rows) {
        ++booked[std::stoll(row[0])];
    }
    for (const auto &[number, outcome] : shared.chargeOutcomes) {
        const int chargeCount = charged[number];
        if (chargeCount != booked[number]) {
            shared.addViolation("torn: charge " + std::to_string(number) + " has " + std::to_string(chargeCount) + " charges and "
                                + std::to_string(booked[number]) + " bookings");
        }
        if (chargeCount > 1) {
            shared.addViolation("duplicate: charge " + std::to_string(number));
        }
        if (outcome == Outcome::Done && chargeCount == 0) {
            shared.addViolation("lost: charge " + std::to_string(number) + " was acknowledged");
        }
        if (outcome == Outcome::NotRun && chargeCount > 0) {
            shared.addViolation("executed although refused as not run: charge " + std::to_string(number));
        }
    }
}

// Both in seconds, `from` since the start of the run.
struct WriteGap {
    double from = 0;
    double seconds = 0;
};

// The longest time without a completed write. The start and the end of the run count as
// boundaries, so that writes that never resume show as a gap until the end.
WriteGap longestWriteGap(const SharedState &shared)
{
    const auto secondsSinceStart = [&shared](TimePoint time) {
        return std::chrono::duration<double>(time - shared.start).count();
    };
    std::vector<double> times{0, shared.options.seconds};
    std::transform(shared.writesDone.begin(), shared.writesDone.end(), std::back_inserter(times), secondsSinceStart);
    std::sort(times.begin(), times.end());
    WriteGap longest;
    for (std::size_t i = 1; i < times.size(); ++i) {
        if (times[i] - times[i - 1] > longest.seconds) {
            longest = WriteGap{times[i - 1], times[i] - times[i - 1]};
        }
    }
    return longest;
}

// Counts `times` per timelineStep; the last step includes all later times.
std::vector<int> countPerStep(const SharedState &shared, const std::vector<TimePoint> &times)
{
    const auto steps = static_cast<std::size_t>(shared.options.seconds * 1000 / static_cast<double>(timelineStep.count())) + 1;
    std::vector<int> counts(steps, 0);
    for (const TimePoint time : times) {
        const auto step = static_cast<std::size_t>((time - shared.start) / timelineStep);
        ++counts[std::min(step, steps - 1)];
    }
    return counts;
}

json report(SharedState &shared)
{
    json out;
    out["attempts"] = shared.attempts.load();
    out["done"] = shared.requestsDone.load();
    out["writes_done"] = shared.writesDone.size();
    out["writes_not_done"] = shared.writesNotDone.size();
    const WriteGap gap = longestWriteGap(shared);
    out["longest_s_without_write"] = gap.seconds;
    out["longest_without_write_from_s"] = gap.from;
    out["retries"] = shared.retries.load();
    out["skipped_arrivals"] = shared.skippedArrivals.load();
    out["refusal_delay"] = shared.refusalDelays.summary();
    out["wait_told"] = shared.retryDelays.summary();
    out["writes_done_per_100ms"] = countPerStep(shared, shared.writesDone);
    out["writes_not_done_per_100ms"] = countPerStep(shared, shared.writesNotDone);
    if (!shared.writesNotDone.empty()) {
        const auto [first, last] = std::minmax_element(shared.writesNotDone.begin(), shared.writesNotDone.end());
        out["first_to_last_failed_write_s"] = std::chrono::duration<double>(*last - *first).count();
    }
    for (auto &[name, latencies] : shared.latencies) {
        out["latency"][name] = latencies.summary();
    }
    out["refusals"] = shared.refusals;
    out["violation_count"] = shared.violations.size();
    constexpr std::size_t maxShown = 10;
    out["violations"] = std::vector<std::string>(shared.violations.begin(),
                                                 shared.violations.begin()
                                                     + static_cast<std::ptrdiff_t>(std::min(maxShown, shared.violations.size())));
    return out;
}

void runCallers(SharedState &shared)
{
    const Options &options = shared.options;
    const auto timeAt = [&shared](double seconds) {
        return shared.start + milliseconds(static_cast<std::int64_t>(seconds * 1000));
    };
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<std::string> classNames;
    const int parents = options.parents * options.stormFactor;
    for (int number = 0; number < options.desks + parents; ++number) {
        const bool isDesk = number < options.desks;
        const bool stormOnly = number >= options.desks + options.parents;
        callers.push_back(std::make_unique<Caller>(shared, number, isDesk, isDesk ? options.deskRate : options.parentRate,
                                                   timeAt(stormOnly ? options.stormFrom : 0),
                                                   timeAt(stormOnly ? options.stormTo : options.seconds)));
        classNames.emplace_back(isDesk ? "desk" : "parent");
    }
    std::vector<std::thread> threads;
    threads.reserve(callers.size());
    for (const auto &caller : callers) {
        threads.emplace_back([&caller] { caller->run(); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (std::size_t i = 0; i < callers.size(); ++i) {
        shared.latencies[classNames[i] + "_read"].merge(callers[i]->reads);
        shared.latencies[classNames[i] + "_write"].merge(callers[i]->writes);
        if (options.stormFactor > 1) {
            shared.latencies[classNames[i] + "_calm"].merge(callers[i]->requestsOutsideStorm);
            shared.latencies[classNames[i] + "_storm"].merge(callers[i]->requestsInStorm);
        }
    }
}

// Measures sequential reads of one row. The same statement can be sent to an entry host and
// directly to an upstream; the difference is the overhead of the path through the host.
json measureProbes(const Options &options)
{
    std::mutex mutex;
    Latencies allLatencies;
    std::atomic<int> failed{0};
    const auto runProbes = [&](std::size_t number) {
        const std::string &target = options.targets[number % options.targets.size()];
        const std::size_t colon = target.rfind(':');
        const PqConnection connection(
            PQconnectdb(("host=" + target.substr(0, colon) + " port=" + target.substr(colon + 1) + " dbname=" + options.database
                         + " user=desk connect_timeout=3 gssencmode=disable sslmode=disable")
                            .c_str()));
        Latencies latencies;
        for (int i = 0; i < options.probes; ++i) {
            const TimePoint sentAt = Clock::now();
            const PqResult result(PQexec(connection.get(), "SELECT caller, version FROM progress WHERE caller = 0"));
            latencies.add(std::chrono::duration_cast<microseconds>(Clock::now() - sentAt));
            failed += PQresultStatus(result.get()) == PGRES_TUPLES_OK ? 0 : 1;
        }
        const std::lock_guard<std::mutex> lock(mutex);
        allLatencies.merge(latencies);
    };
    const TimePoint start = Clock::now();
    std::vector<std::thread> threads;
    for (int number = 0; number < options.probeCallers; ++number) {
        threads.emplace_back(runProbes, static_cast<std::size_t>(number));
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    json out = allLatencies.summary();
    out["failed"] = failed.load();
    out["seconds"] = std::chrono::duration<double>(Clock::now() - start).count();
    return out;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    Options options;
    std::string targets;
    po::options_description description("egrettide-bench: runs a load on running entry hosts and checks the answers");
    description.add_options()("help", "print this text")("targets", po::value(&targets)->required(),
                                                         "addresses of hosts for callers, IP:port,IP:port")(
        "database", po::value(&options.database),
        "database service")("seconds", po::value(&options.seconds),
                            "length of the run in seconds")("desks", po::value(&options.desks), "callers of class desk")(
        "parents", po::value(&options.parents), "callers of class parent")("desk-rate", po::value(&options.deskRate),
                                                                           "requests per second of each desk")(
        "parent-rate", po::value(&options.parentRate),
        "requests per second of each parent")("read-share", po::value(&options.readShare), "share of requests that read")(
        "move-every", po::value(&options.moveEvery), "sessions move to another host every N requests; 0: never")(
        "carry-token", po::value(&options.carryToken), "sessions that move present their token")(
        "storm-factor", po::value(&options.stormFactor), "multiplies the callers of class parent during the storm")(
        "storm-from", po::value(&options.stormFrom), "start of the storm in seconds")(
        "storm-to", po::value(&options.stormTo), "end of the storm in seconds")("timeout-ms", po::value(&options.timeoutMs),
                                                                                "deadline of each statement in milliseconds")(
        "transaction-share", po::value(&options.transactionShare), "share of writes that are transactions")(
        "retries", po::value(&options.retries), "maximum number of retries after a refusal as \"not run\"")(
        "obey-wait", po::value(&options.honorRetryDelay), "callers wait before a retry for the delay that the refusal gave")(
        "execute", po::value(&options.statement), "run this statement instead of the load, repeated until it succeeds")(
        "probes", po::value(&options.probes), "number of sequential reads to measure instead of the load")(
        "probe-callers", po::value(&options.probeCallers),
        "callers that measure reads concurrently")("seed", po::value(&options.seed), "seed of the random schedule");
    po::variables_map variables;
    try {
        po::store(po::parse_command_line(argc, argv, description), variables);
        if (variables.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        po::notify(variables);
    } catch (const po::error &error) {
        std::cerr << "egrettide-bench: " << error.what() << "; see --help\n";
        return 2;
    }
    std::istringstream targetList(targets);
    for (std::string target; std::getline(targetList, target, ',');) {
        options.targets.push_back(target);
    }
    if (!options.statement.empty()) {
        executeUntilDone(options, options.statement, "session");
        return 0;
    }
    if (options.probes > 0) {
        std::cout << measureProbes(options).dump() << std::endl;
        return 0;
    }
    SharedState shared(options);
    createTables(options, shared.histories.size());
    shared.start = Clock::now();
    std::cout << "{\"started\":true}" << std::endl;
    runCallers(shared);
    checkCharges(shared);
    std::cout << report(shared).dump() << std::endl;
    return shared.violations.empty() ? 0 : 1;
}
