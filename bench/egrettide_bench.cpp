// egrettide-bench: callers with real PostgreSQL drivers against running entry
// hosts, and a checker of every answer. It starts no process and injects no fault
// itself; scripts/lab.py does both around it. Open loop: arrivals follow a
// schedule and do not wait for a slow system, so waiting shows as latency.

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

constexpr const char *outcomeUnknownState = "08007";
constexpr const char *leavingRemark = "HINT:  Not run";
// How much one caller's thread may fall behind its schedule before it skips
// arrivals: one connection carries one statement at a time.
constexpr milliseconds maxLag{2000};
constexpr int ageBoundMs = 200;
// Without the told wait a caller that retries asks again at once.
constexpr const char *waitRemark = "Come back in ";
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
    int moveEvery = 0;
    bool carryToken = true;
    int stormFactor = 1;
    double stormFrom = 0;
    double stormTo = 0;
    int timeoutMs = 3000;
    // Part of the writes that are transactions of two inserts; the rest are single updates.
    double transactionShare = 0.5;
    // How often a caller asks again after "not run", and whether it waits as told.
    int retries = 0;
    bool obeyWait = true;
    std::uint64_t seed = 1;
    // Measures this many sequential reads of each of `probeCallers` instead of the load.
    int probes = 0;
    int probeCallers = 1;
    // One statement to run instead of the load.
    std::string statement;
};

// What the caller may conclude from an answer.
enum class Verdict { Done, NotRun, Unknown, Failed };

struct Answer {
    Verdict verdict = Verdict::Failed;
    std::string sqlState;
    std::string text;
    std::vector<std::vector<std::string>> rows;
    // How long a refusal told its caller to wait; 0 when it told nothing.
    milliseconds wait{0};
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

milliseconds waitOf(const char *hint)
{
    const std::string text = hint != nullptr ? hint : "";
    const std::size_t found = text.find(waitRemark);
    return milliseconds(found == std::string::npos ? 0 : std::stoll(text.substr(found + std::string(waitRemark).size())));
}

Answer answerOf(PGconn *connection, PGresult *result)
{
    Answer answer;
    const ExecStatusType status = PQresultStatus(result);
    if (status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK) {
        answer.verdict = Verdict::Done;
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
    answer.wait = waitOf(hint);
    if (answer.sqlState.empty() && answer.text.find(leavingRemark) != std::string::npos) {
        // A leaving host said goodbye while the statement was on its way: it claims
        // that the statement did not run, and the final check holds it to that.
        answer.verdict = Verdict::NotRun;
    } else if (answer.sqlState.empty() || answer.sqlState == outcomeUnknownState) {
        // No SQLSTATE: the connection broke with the answer outstanding.
        answer.verdict = Verdict::Unknown;
    } else if (hint != nullptr && isNotRun(hint)) {
        answer.verdict = Verdict::NotRun;
    } else {
        answer.verdict = Verdict::Failed;
    }
    return answer;
}

// Latencies of one kind of request, as measured from the scheduled arrival.
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
        return json{{"count", m_values.size()}, {"p50_ms", at(0.5)}, {"p99_ms", at(0.99)}, {"max_ms", at(1.0)}};
    }

private:
    double at(double quantile) const
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

// Acknowledged versions of one caller's row, readable by all other callers: the
// checker's record of what a read at some moment must see.
class Progress
{
public:
    void acknowledged(std::int64_t version, TimePoint when)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_acknowledged.emplace_back(when, version);
    }

    void attempted(std::int64_t version)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_attempted = version;
    }

    // The newest version acknowledged at or before `when`.
    std::int64_t acknowledgedAt(TimePoint when) const
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
        return m_attempted;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::pair<TimePoint, std::int64_t>> m_acknowledged;
    std::int64_t m_attempted = 0;
};

// Everything the callers share.
struct World {
    explicit World(const Options &settings)
        : options(settings), progress(static_cast<std::size_t>(settings.desks + settings.parents * settings.stormFactor))
    {
    }

    const Options &options;
    std::vector<Progress> progress;
    TimePoint start;
    std::mutex mutex;
    // Charge number -> what its caller was told.
    std::map<std::int64_t, Verdict> charges;
    std::vector<std::string> violations;
    std::vector<TimePoint> writesDone;
    std::vector<TimePoint> writesFailed;
    std::map<std::string, int> refusals;
    std::map<std::string, Latencies> latencies;
    // Of refusals as not run: the time until the refusal came and the wait it told.
    Latencies refusalDelays;
    Latencies waitsTold;
    std::atomic<std::int64_t> retries{0};
    std::atomic<std::int64_t> skipped{0};
    std::atomic<std::int64_t> nextCharge{1};
    std::atomic<std::int64_t> attempts{0};
    std::atomic<std::int64_t> done{0};

    void violation(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        violations.push_back(text);
    }
};

class Caller
{
public:
    Caller(World &world, int number, bool desk, double rate, TimePoint from, TimePoint until)
        : m_world(world)
        , m_number(number)
        , m_desk(desk)
        , m_rate(rate)
        , m_from(from)
        , m_until(until)
        , m_random(world.options.seed * 7919 + static_cast<std::uint64_t>(number))
        , m_target(static_cast<std::size_t>(number) % world.options.targets.size())
    {
    }

    void run()
    {
        std::exponential_distribution<double> gap(m_rate);
        TimePoint due = m_from + toDuration(gap(m_random));
        while (due < m_until) {
            std::this_thread::sleep_until(due);
            if (Clock::now() - due < maxLag) {
                oneRequest(due);
            } else {
                m_world.skipped.fetch_add(1);
            }
            due += toDuration(gap(m_random));
        }
    }

    Latencies reads;
    Latencies writes;
    // The part of both whose arrival was due while the storm blew.
    Latencies stormRequests;
    Latencies calmRequests;

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
        const Options &options = m_world.options;
        for (std::size_t attempt = 0; attempt < options.targets.size(); ++attempt) {
            m_connection.reset(PQconnectdb(connectionText(options.targets[m_target]).c_str()));
            if (PQstatus(m_connection.get()) == CONNECTION_OK) {
                return m_connection.get();
            }
            m_target = (m_target + 1) % options.targets.size();
        }
        return nullptr;
    }

    std::string connectionText(const std::string &target) const
    {
        const std::size_t colon = target.rfind(':');
        std::ostringstream text;
        text << "host=" << target.substr(0, colon) << " port=" << target.substr(colon + 1)
             << " dbname=" << m_world.options.database << " user=" << (m_desk ? "desk" : "parent")
             << " connect_timeout=3 sslmode=prefer gssencmode=disable options='-c egrettide.timeout="
             << m_world.options.timeoutMs;
        if (!m_token.empty() && m_world.options.carryToken) {
            text << " -c egrettide.session=" << m_token;
        }
        text << "'";
        return text.str();
    }

    // A session that moves takes its token along, or arrives without one.
    void maybeMove()
    {
        const Options &options = m_world.options;
        ++m_statements;
        if (options.moveEvery == 0 || m_statements % options.moveEvery != 0) {
            return;
        }
        m_connection.reset();
        m_target = (m_target + 1) % options.targets.size();
    }

    // Asks again after "not run", as a caller's own retry loop would.
    Answer executeRetrying(const std::string &sql)
    {
        const Options &options = m_world.options;
        Answer answer = execute(sql);
        for (int retry = 0; retry < options.retries && answer.verdict == Verdict::NotRun; ++retry) {
            if (options.obeyWait) {
                std::this_thread::sleep_for(answer.wait);
            }
            m_world.retries.fetch_add(1);
            answer = execute(sql);
        }
        return answer;
    }

    Answer execute(const std::string &sql)
    {
        m_world.attempts.fetch_add(1);
        const TimePoint sent = Clock::now();
        PGconn *open = connection();
        if (open == nullptr) {
            return Answer{Verdict::NotRun, "connect", "no host accepts connections", {}, milliseconds{0}};
        }
        const PqResult result(PQexec(open, sql.c_str()));
        Answer answer = answerOf(open, result.get());
        const char *token = PQparameterStatus(open, "egrettide.session");
        if (token != nullptr) {
            m_token = token;
        }
        if (PQstatus(open) != CONNECTION_OK) {
            m_connection.reset();
        }
        if (answer.verdict == Verdict::NotRun) {
            const std::lock_guard<std::mutex> lock(m_world.mutex);
            m_world.refusalDelays.add(std::chrono::duration_cast<microseconds>(Clock::now() - sent));
            m_world.waitsTold.add(answer.wait);
        }
        return answer;
    }

    void oneRequest(TimePoint due)
    {
        const bool read = std::uniform_real_distribution<>(0, 1)(m_random) < m_world.options.readShare;
        if (read) {
            readOnce();
        } else {
            writeOnce();
        }
        const auto latency = std::chrono::duration_cast<microseconds>(Clock::now() - due);
        (read ? reads : writes).add(latency);
        (isStorm(due) ? stormRequests : calmRequests).add(latency);
        maybeMove();
    }

    bool isStorm(TimePoint due) const
    {
        const Options &options = m_world.options;
        const double at = std::chrono::duration<double>(due - m_world.start).count();
        return options.stormFactor > 1 && at >= options.stormFrom && at < options.stormTo;
    }

    void note(const Answer &answer)
    {
        if (answer.verdict == Verdict::Done) {
            m_world.done.fetch_add(1);
            return;
        }
        const std::lock_guard<std::mutex> lock(m_world.mutex);
        ++m_world.refusals[answer.sqlState
                           + (answer.verdict == Verdict::NotRun        ? " not run"
                                  : answer.verdict == Verdict::Unknown ? " unknown"
                                                                       : " failed")
                           + ": " + answer.text.substr(0, 90)];
    }

    void noteWrite(const Answer &answer)
    {
        note(answer);
        const std::lock_guard<std::mutex> lock(m_world.mutex);
        auto &list = answer.verdict == Verdict::Done ? m_world.writesDone : m_world.writesFailed;
        list.push_back(Clock::now());
    }

    void writeOnce()
    {
        if (std::uniform_real_distribution<>(0, 1)(m_random) < m_world.options.transactionShare) {
            bookInTransaction();
        } else {
            advanceProgress();
        }
    }

    // One booking and one charge, together or not at all.
    void bookInTransaction()
    {
        const std::int64_t charge = m_world.nextCharge.fetch_add(1);
        const std::string number = std::to_string(charge);
        Answer answer = execute("BEGIN");
        if (answer.verdict == Verdict::Done) {
            answer = execute("INSERT INTO bookings (id, caller) VALUES (" + number + ", " + std::to_string(m_number) + ")");
        }
        if (answer.verdict == Verdict::Done) {
            answer = execute("INSERT INTO charges (id, caller) VALUES (" + number + ", " + std::to_string(m_number) + ")");
        }
        if (answer.verdict == Verdict::Done) {
            answer = execute("COMMIT");
        } else {
            // Without a COMMIT nothing of the transaction can have taken effect.
            answer.verdict = Verdict::NotRun;
            if (m_connection && PQtransactionStatus(m_connection.get()) != PQTRANS_IDLE) {
                const PqResult rolledBack(PQexec(m_connection.get(), "ROLLBACK"));
            }
        }
        noteWrite(answer);
        const std::lock_guard<std::mutex> lock(m_world.mutex);
        m_world.charges[charge] = answer.verdict;
    }

    void advanceProgress()
    {
        const std::int64_t version = ++m_version;
        Progress &mine = m_world.progress[static_cast<std::size_t>(m_number)];
        mine.attempted(version);
        const Answer answer = executeRetrying("UPDATE progress SET version = " + std::to_string(version)
                                              + " WHERE caller = " + std::to_string(m_number));
        noteWrite(answer);
        if (answer.verdict == Verdict::Done) {
            mine.acknowledged(version, Clock::now());
        }
    }

    void readOnce()
    {
        const int kind = std::uniform_int_distribution<>(0, 9)(m_random);
        if (kind == 0) {
            readOther("latest", milliseconds(0));
        } else if (kind <= 3) {
            readOther(std::to_string(ageBoundMs) + "ms", milliseconds(ageBoundMs));
        } else {
            readOwn();
        }
    }

    void readOwn()
    {
        const Progress &mine = m_world.progress[static_cast<std::size_t>(m_number)];
        const std::int64_t floor = mine.acknowledgedAt(Clock::now());
        const Answer answer = executeRetrying("SELECT caller, version FROM progress WHERE caller = " + std::to_string(m_number));
        check(answer, m_number, floor, "own write");
    }

    // Sessions choose freshness by a setting, as any driver can.
    void readOther(const std::string &freshness, milliseconds age)
    {
        const auto other = static_cast<int>(m_random() % m_world.progress.size());
        const Answer set = execute("SET egrettide.freshness = '" + freshness + "'");
        if (set.verdict != Verdict::Done) {
            note(set);
            return;
        }
        const TimePoint asked = Clock::now();
        const std::int64_t floor = m_world.progress[static_cast<std::size_t>(other)].acknowledgedAt(asked - age);
        const Answer answer = execute("SELECT caller, version FROM progress WHERE caller = " + std::to_string(other));
        check(answer, other, floor, freshness.c_str());
        execute("SET egrettide.freshness = 'session'");
    }

    void check(const Answer &answer, int caller, std::int64_t floor, const char *rule)
    {
        note(answer);
        if (answer.verdict != Verdict::Done) {
            return;
        }
        std::ostringstream story;
        if (answer.rows.size() != 1 || answer.rows[0].size() != 2 || answer.rows[0][0] != std::to_string(caller)) {
            story << "mixed: asked for caller " << caller << ", got " << answer.rows.size() << " rows"
                  << (answer.rows.empty() ? "" : " of caller " + answer.rows[0][0]);
            m_world.violation(story.str());
            return;
        }
        const std::int64_t version = std::stoll(answer.rows[0][1]);
        const std::int64_t attempted = m_world.progress[static_cast<std::size_t>(caller)].lastAttempted();
        if (version < floor || version > attempted) {
            story << (version < floor ? "stale" : "invented") << " (" << rule << "): caller " << caller << " read version "
                  << version << ", at least " << floor << " and at most " << attempted << " expected, "
                  << std::chrono::duration_cast<milliseconds>(Clock::now() - m_world.start).count() << " ms into the run";
            m_world.violation(story.str());
        }
    }

    World &m_world;
    const int m_number;
    const bool m_desk;
    const double m_rate;
    const TimePoint m_from;
    const TimePoint m_until;
    std::mt19937_64 m_random;
    std::size_t m_target;
    PqConnection m_connection;
    std::string m_token;
    int m_statements = 0;
    std::int64_t m_version = 0;
};

// Runs one statement until it is done, for setting up and for the final check.
Answer executePatiently(const Options &options, const std::string &sql, const std::string &freshness)
{
    constexpr int attempts = 100;
    constexpr milliseconds pause{200};
    Answer answer;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const std::string &target = options.targets[static_cast<std::size_t>(attempt) % options.targets.size()];
        const std::size_t colon = target.rfind(':');
        const PqConnection connection(
            PQconnectdb(("host=" + target.substr(0, colon) + " port=" + target.substr(colon + 1) + " dbname=" + options.database
                         + " user=desk connect_timeout=3 gssencmode=disable options='-c egrettide.freshness=" + freshness
                         + " -c egrettide.timeout=10000'")
                            .c_str()));
        if (PQstatus(connection.get()) == CONNECTION_OK) {
            const PqResult result(PQexec(connection.get(), sql.c_str()));
            answer = answerOf(connection.get(), result.get());
            if (answer.verdict == Verdict::Done) {
                return answer;
            }
        } else {
            answer.text = PQerrorMessage(connection.get());
        }
        std::this_thread::sleep_for(pause);
    }
    std::cerr << "egrettide-bench: \"" << sql << "\" did not succeed: " << answer.text
              << "; check that hosts and upstreams run\n";
    std::exit(2);
}

void setUp(const Options &options, std::size_t callers)
{
    executePatiently(options, "CREATE TABLE IF NOT EXISTS bookings (id int8 PRIMARY KEY, caller int8)", "session");
    // No key: a charge that runs twice must show as two rows.
    executePatiently(options, "CREATE TABLE IF NOT EXISTS charges (id int8, caller int8)", "session");
    executePatiently(options, "CREATE TABLE IF NOT EXISTS progress (caller int8 PRIMARY KEY, version int8)", "session");
    std::ostringstream rows;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        rows << (caller == 0 ? "" : ", ") << '(' << caller << ", 0)";
    }
    executePatiently(options, "INSERT INTO progress (caller, version) VALUES " + rows.str(), "session");
}

// Compares what every caller was told about its charge with what is there.
void checkCharges(World &world)
{
    const Answer charges = executePatiently(world.options, "SELECT id FROM charges", "latest");
    const Answer bookings = executePatiently(world.options, "SELECT id FROM bookings", "latest");
    std::map<std::int64_t, int> charged;
    std::map<std::int64_t, int> booked;
    for (const auto &row : charges.rows) {
        ++charged[std::stoll(row[0])];
    }
    for (const auto &row : bookings.rows) {
        ++booked[std::stoll(row[0])];
    }
    for (const auto &[number, verdict] : world.charges) {
        const int times = charged[number];
        if (times != booked[number]) {
            world.violation("torn: charge " + std::to_string(number) + " has " + std::to_string(times) + " charges and "
                            + std::to_string(booked[number]) + " bookings");
        }
        if (times > 1) {
            world.violation("doubled: charge " + std::to_string(number));
        }
        if (verdict == Verdict::Done && times == 0) {
            world.violation("lost: charge " + std::to_string(number) + " was acknowledged");
        }
        if (verdict == Verdict::NotRun && times > 0) {
            world.violation("ran though refused as not run: charge " + std::to_string(number));
        }
    }
}

struct Gap {
    double from = 0;
    double seconds = 0;
};

// The longest time without a write. The run's ends count as edges, so that writes
// which never came back show as a gap until the end.
Gap longestGap(const World &world)
{
    const auto secondsOf = [&world](TimePoint time) { return std::chrono::duration<double>(time - world.start).count(); };
    std::vector<double> times{0, world.options.seconds};
    std::transform(world.writesDone.begin(), world.writesDone.end(), std::back_inserter(times), secondsOf);
    std::sort(times.begin(), times.end());
    Gap longest;
    for (std::size_t i = 1; i < times.size(); ++i) {
        if (times[i] - times[i - 1] > longest.seconds) {
            longest = Gap{times[i - 1], times[i] - times[i - 1]};
        }
    }
    return longest;
}

std::vector<int> timeline(const World &world, const std::vector<TimePoint> &times)
{
    const auto steps = static_cast<std::size_t>(world.options.seconds * 1000 / static_cast<double>(timelineStep.count())) + 1;
    std::vector<int> counts(steps, 0);
    for (const TimePoint time : times) {
        const auto step = static_cast<std::size_t>((time - world.start) / timelineStep);
        ++counts[std::min(step, steps - 1)];
    }
    return counts;
}

json report(World &world)
{
    json out;
    out["attempts"] = world.attempts.load();
    out["done"] = world.done.load();
    out["writes_done"] = world.writesDone.size();
    out["writes_not_done"] = world.writesFailed.size();
    const Gap gap = longestGap(world);
    out["longest_s_without_write"] = gap.seconds;
    out["longest_without_write_from_s"] = gap.from;
    out["retries"] = world.retries.load();
    out["skipped_arrivals"] = world.skipped.load();
    out["refusal_delay"] = world.refusalDelays.summary();
    out["wait_told"] = world.waitsTold.summary();
    out["writes_done_per_100ms"] = timeline(world, world.writesDone);
    out["writes_not_done_per_100ms"] = timeline(world, world.writesFailed);
    if (!world.writesFailed.empty()) {
        const auto [first, last] = std::minmax_element(world.writesFailed.begin(), world.writesFailed.end());
        out["first_to_last_failed_write_s"] = std::chrono::duration<double>(*last - *first).count();
    }
    for (auto &[name, latencies] : world.latencies) {
        out["latency"][name] = latencies.summary();
    }
    out["refusals"] = world.refusals;
    out["violation_count"] = world.violations.size();
    constexpr std::size_t shown = 10;
    out["violations"] = std::vector<std::string>(world.violations.begin(),
                                                 world.violations.begin()
                                                     + static_cast<std::ptrdiff_t>(std::min(shown, world.violations.size())));
    return out;
}

void runCallers(World &world)
{
    const Options &options = world.options;
    const auto at = [&world](double seconds) { return world.start + milliseconds(static_cast<std::int64_t>(seconds * 1000)); };
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<std::string> classes;
    const int parents = options.parents * options.stormFactor;
    for (int number = 0; number < options.desks + parents; ++number) {
        const bool desk = number < options.desks;
        const bool storm = number >= options.desks + options.parents;
        callers.push_back(std::make_unique<Caller>(world, number, desk, desk ? options.deskRate : options.parentRate,
                                                   at(storm ? options.stormFrom : 0),
                                                   at(storm ? options.stormTo : options.seconds)));
        classes.emplace_back(desk ? "desk" : "parent");
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
        world.latencies[classes[i] + "_read"].merge(callers[i]->reads);
        world.latencies[classes[i] + "_write"].merge(callers[i]->writes);
        if (options.stormFactor > 1) {
            world.latencies[classes[i] + "_calm"].merge(callers[i]->calmRequests);
            world.latencies[classes[i] + "_storm"].merge(callers[i]->stormRequests);
        }
    }
}

// Sequential reads of one row, for the cost of the path alone. The same statement
// goes to an entry host or straight to an upstream.
json probe(const Options &options)
{
    std::mutex mutex;
    Latencies all;
    std::atomic<int> failed{0};
    const auto reader = [&](std::size_t number) {
        const std::string &target = options.targets[number % options.targets.size()];
        const std::size_t colon = target.rfind(':');
        const PqConnection connection(
            PQconnectdb(("host=" + target.substr(0, colon) + " port=" + target.substr(colon + 1) + " dbname=" + options.database
                         + " user=desk connect_timeout=3 gssencmode=disable sslmode=disable")
                            .c_str()));
        Latencies own;
        for (int i = 0; i < options.probes; ++i) {
            const TimePoint sent = Clock::now();
            const PqResult result(PQexec(connection.get(), "SELECT caller, version FROM progress WHERE caller = 0"));
            own.add(std::chrono::duration_cast<microseconds>(Clock::now() - sent));
            failed += PQresultStatus(result.get()) == PGRES_TUPLES_OK ? 0 : 1;
        }
        const std::lock_guard<std::mutex> lock(mutex);
        all.merge(own);
    };
    const TimePoint start = Clock::now();
    std::vector<std::thread> threads;
    for (int number = 0; number < options.probeCallers; ++number) {
        threads.emplace_back(reader, static_cast<std::size_t>(number));
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    json out = all.summary();
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
    po::options_description description("egrettide-bench: checked load on running entry hosts");
    description.add_options()("help", "print this text")(
        "targets", po::value(&targets)->required(), "caller addresses, IP:port,IP:port")("database", po::value(&options.database),
                                                                                         "database service")(
        "seconds", po::value(&options.seconds), "length of the run")("desks", po::value(&options.desks), "callers of class desk")(
        "parents", po::value(&options.parents), "callers of class parent")("desk-rate", po::value(&options.deskRate),
                                                                           "requests a second and desk")(
        "parent-rate", po::value(&options.parentRate),
        "requests a second and parent")("read-share", po::value(&options.readShare), "part of requests that read")(
        "move-every", po::value(&options.moveEvery), "sessions move to another host every N requests")(
        "carry-token", po::value(&options.carryToken), "sessions that move present their token")(
        "storm-factor", po::value(&options.stormFactor),
        "parents times this during the storm")("storm-from", po::value(&options.stormFrom), "s")(
        "storm-to", po::value(&options.stormTo), "s")("timeout-ms", po::value(&options.timeoutMs), "deadline of each statement")(
        "transaction-share", po::value(&options.transactionShare), "part of writes that are transactions")(
        "retries", po::value(&options.retries), "times that a caller asks again after \"not run\"")(
        "obey-wait", po::value(&options.obeyWait), "such a caller waits as long as it was told")(
        "execute", po::value(&options.statement), "run this one statement, repeated until it is done, and no load")(
        "probes", po::value(&options.probes), "sequential reads to time, and no load")(
        "probe-callers", po::value(&options.probeCallers), "callers that probe at once")("seed", po::value(&options.seed),
                                                                                         "seed of the schedule");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
    } catch (const po::error &fault) {
        std::cerr << "egrettide-bench: " << fault.what() << "; see --help\n";
        return 2;
    }
    std::istringstream list(targets);
    for (std::string target; std::getline(list, target, ',');) {
        options.targets.push_back(target);
    }
    if (!options.statement.empty()) {
        executePatiently(options, options.statement, "session");
        return 0;
    }
    if (options.probes > 0) {
        std::cout << probe(options).dump() << std::endl;
        return 0;
    }
    World world(options);
    setUp(options, world.progress.size());
    world.start = Clock::now();
    std::cout << "{\"started\":true}" << std::endl;
    runCallers(world);
    checkCharges(world);
    std::cout << report(world).dump() << std::endl;
    return world.violations.empty() ? 0 : 1;
}
