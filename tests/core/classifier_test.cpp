// Tests of the classification of statements, including arbitrary input.

#define BOOST_TEST_MODULE Classifier
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/classifier.h"

#include <thread>

using namespace egrettide;

namespace
{

std::string_view nameOfKind(StatementKind kind)
{
    constexpr std::string_view names[] = {"Read", "Write", "Begin", "BeginReadOnly", "Commit", "Rollback", "Setting", "Refused"};
    return names[static_cast<std::size_t>(kind)];
}

void expectKind(StatementKind expected, const std::vector<std::string> &texts)
{
    for (const std::string &text : texts) {
        const StatementKind kind = detail::classifyText(text).kind;
        BOOST_TEST((kind == expected),
                   "'" << text << "' is a " << nameOfKind(kind) << ", not a " << nameOfKind(expected)
                       << "; see classifier.cpp for its kind of statement");
    }
}

std::string repeated(std::string text, std::string_view part, std::size_t times)
{
    for (std::size_t i = 0; i < times; ++i) {
        text.append(part);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Classifier_)

BOOST_AUTO_TEST_CASE(ClassifiesOrdinaryQueriesAsReads)
{
    expectKind(StatementKind::Read,
               {"SELECT 1", "select * from slots where tutor = $1 order by start limit 10", "VALUES (1), (2)", "TABLE slots",
                "SELECT count(*), coalesce(max(price), 0), lower(name) FROM pitches GROUP BY name",
                "WITH open AS (SELECT * FROM slots WHERE free) SELECT * FROM open JOIN tutors USING (id)",
                "SELECT now(), current_date, current_user, extract(year FROM now()), a || b, a LIKE 'x%', x::int FROM t",
                "SELECT pg_catalog.format_type(a.atttypid, a.atttypmod) FROM pg_catalog.pg_attribute a",
                "SELECT row_number() OVER (PARTITION BY a ORDER BY b) FROM t", "SELECT 1 UNION ALL SELECT 2",
                "SELECT pg_sleep(0)", "SHOW server_version", "SHOW ALL", "EXPLAIN SELECT 1", "SELECT 1; SELECT 2;",
                "/* hint */ SELECT 1 -- end"});
}

BOOST_AUTO_TEST_CASE(ClassifiesUnprovenStatementsAsWrites)
{
    expectKind(StatementKind::Write,
               {"INSERT INTO t VALUES (1)",
                "UPDATE t SET a = 1",
                "DELETE FROM t",
                "CREATE TABLE t (a int)",
                "CALL p()",
                "DO $$ BEGIN END $$",
                "SELECT * FROM t FOR UPDATE",
                "SELECT * FROM t FOR SHARE",
                "SELECT * FROM (SELECT * FROM t FOR UPDATE) x",
                "SELECT nextval('s')",
                "SELECT setval('s', 1)",
                "SELECT pg_advisory_xact_lock(1)",
                "SELECT txid_current()",
                "SELECT random()",
                "SELECT my_function()",
                "SELECT audit.lower(name) FROM t",
                "SELECT 1 OPERATOR(audit.+) 2",
                "SELECT 1 WHERE 1 OPERATOR(audit.=) ANY (ARRAY[1])",
                "SELECT 1 INTO kept",
                "WITH gone AS (DELETE FROM t RETURNING *) SELECT * FROM gone",
                "EXPLAIN ANALYZE SELECT 1",
                "EXPLAIN INSERT INTO t VALUES (1)",
                "SELECT 1; UPDATE t SET a = 1",
                "SAVEPOINT a",
                "RELEASE a",
                "ROLLBACK TO a",
                "SET LOCAL lock_timeout = '1s'",
                "SELECT set_config('a.b', 'x', true)",
                "CREATE TEMP TABLE t (a int) ON COMMIT DROP",
                "LOCK TABLE t",
                "DECLARE c CURSOR FOR SELECT 1",
                "FETCH c",
                "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE",
                "this is no SQL",
                "SELECT 'unterminated"});
}

BOOST_AUTO_TEST_CASE(RefusesWhatWouldStayOnASharedConnectionAndNamesARemedy)
{
    const std::vector<std::string> texts = {
        "COPY t FROM STDIN",
        "COPY t TO STDOUT",
        "LISTEN a",
        "UNLISTEN a",
        "NOTIFY a",
        "SELECT pg_notify('a', 'b')",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "CREATE TEMP TABLE t (a int)",
        "SELECT 1 INTO TEMP t",
        "CREATE TEMP TABLE t AS SELECT 1",
        "CREATE TEMP VIEW v AS SELECT 1",
        "CREATE TABLE pg_temp.t (a int)",
        "CREATE FUNCTION pg_temp.f() RETURNS int LANGUAGE sql AS 'SELECT 1'",
        "SELECT pg_advisory_lock(1)",
        "SELECT pg_try_advisory_lock(1)",
        "SELECT pg_catalog.pg_advisory_unlock_all()",
        "PREPARE p AS SELECT 1",
        "EXECUTE p",
        "SET search_path = a",
        "SET statement_timeout = 1",
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
        "SET ROLE a",
        "SET client_encoding = 'LATIN1'",
        "SELECT set_config('a.b', 'x', false)",
        "PREPARE TRANSACTION 'a'",
        "COMMIT PREPARED 'a'",
        "COMMIT AND CHAIN",
        "COMMIT; BEGIN",
        "COMMIT; INSERT INTO t VALUES (1)",
        "BEGIN; INSERT INTO t VALUES (1); COMMIT; BEGIN",
        "SELECT 1; SET egrettide.freshness = 'latest'",
        "LOAD 'x'",
        "DISCARD TEMP",
        "SELECT 1; COPY t FROM STDIN",
        "INSERT INTO t SELECT set_config('a.b', 'x', false)",
    };
    expectKind(StatementKind::Refused, texts);
    for (const std::string &text : texts) {
        const Classification result = detail::classifyText(text);
        const bool remedy = result.error.message.find(';') != std::string::npos;
        BOOST_TEST(remedy, "the refusal of '" << text << "' names no remedy: " << result.error.message);
        BOOST_TEST((outcomeOf(result.error.kind) == Outcome::NotRun), "'" << text << "' was not sent; say so");
    }
}

BOOST_AUTO_TEST_CASE(FollowsTransactionBlocks)
{
    expectKind(StatementKind::Begin,
               {"BEGIN", "START TRANSACTION", "BEGIN READ WRITE", "BEGIN ISOLATION LEVEL SERIALIZABLE",
                "BEGIN; UPDATE t SET a = 1", "BEGIN READ ONLY; SELECT nextval('s')"});
    expectKind(StatementKind::BeginReadOnly,
               {"BEGIN READ ONLY", "START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY", "BEGIN READ ONLY; SELECT 1"});
    expectKind(StatementKind::Commit, {"COMMIT", "END", "COMMIT WORK", "UPDATE t SET a = 1; COMMIT"});
    expectKind(StatementKind::Rollback, {"ROLLBACK", "ABORT"});
    expectKind(StatementKind::Write, {"BEGIN; SELECT 1; COMMIT", "BEGIN; UPDATE t SET a = 1; ROLLBACK"});
}

BOOST_AUTO_TEST_CASE(ReturnsSettingsForTheFront)
{
    const auto set = detail::classifyText("SET Egrettide.Freshness = '500ms'");
    BOOST_REQUIRE((set.kind == StatementKind::Setting));
    BOOST_TEST((set.settings == std::vector<Setting>{{SettingAction::Set, "egrettide.freshness", "500ms"}}));
    const auto number = detail::classifyText("SET egrettide.timeout TO 250");
    BOOST_TEST((number.settings == std::vector<Setting>{{SettingAction::Set, "egrettide.timeout", "250"}}));
    const auto show = detail::classifyText("SHOW egrettide.session");
    BOOST_TEST((show.settings == std::vector<Setting>{{SettingAction::Show, "egrettide.session", ""}}));
    const auto several = detail::classifyText("SET extra_float_digits = 3; SET application_name = 'x'");
    BOOST_TEST(several.settings.size() == 2U);
    expectKind(StatementKind::Setting,
               {"SET datestyle = 'ISO, MDY'", "SET client_encoding = 'UTF8'", "SET NAMES 'utf8'", "RESET ALL",
                "RESET search_path", "DISCARD ALL", "DEALLOCATE ALL", "DEALLOCATE p", "", " ; ", "-- nothing"});
    BOOST_TEST(detail::classifyText(";").empty);
}

BOOST_AUTO_TEST_CASE(MarksReadsOfConnectionStateUnlessTheTextMadeIt)
{
    BOOST_TEST(detail::classifyText("SELECT currval('s')").transactionOnly);
    BOOST_TEST(detail::classifyText("INSERT INTO t VALUES (lastval())").transactionOnly);
    BOOST_TEST(!detail::classifyText("INSERT INTO t DEFAULT VALUES; SELECT lastval()").transactionOnly);
    BOOST_TEST((transactionOnlyError().kind == ErrorKind::Unsupported));
}

// The parser serializes left-deep trees by recursion. A text such as 1+1+1... with 100,000
// terms overflows the stack and ends the process, with all sessions of the host.
BOOST_AUTO_TEST_CASE(SurvivesDeepTreesOnATrafficThread)
{
    std::thread([] {
        expectKind(StatementKind::Read, {repeated("SELECT 1", "+1", 15000), repeated("SELECT 1", "::int", 6000)});
        expectKind(StatementKind::Write,
                   {repeated("SELECT 1", "+1", 200000), repeated("SELECT 1", " UNION SELECT 1", 100000),
                    repeated("SELECT ", "(", 30000), repeated("SELECT ", "NOT ", 8000)});
    }).join();
}

BOOST_AUTO_TEST_CASE(RefusesSessionStateInTextsTooLongToParse)
{
    const std::string filler = "/*" + std::string(40000, 'x') + "*/";
    const std::string data = "INSERT INTO t VALUES ('" + std::string(40000, 'x') + "')";
    expectKind(StatementKind::Write, {data, data + "; SELECT 1", "SELECT 1 " + filler});
    expectKind(StatementKind::Refused,
               {"COPY t FROM STDIN " + filler, data + "; LISTEN a", "SELECT set_config('a.b','x',false) " + filler,
                "CREATE TEMP TABLE t (a int) " + filler, filler + "SELECT 1"});
    expectKind(StatementKind::Begin, {"BEGIN; " + data});
}

BOOST_AUTO_TEST_CASE(CachesABoundedNumberOfTexts)
{
    Classifier classifier(2);
    const auto first = classifier.classify("SELECT 1");
    classifier.classify("SELECT 2");
    BOOST_TEST((classifier.classify("SELECT 1") == first));
    classifier.classify("SELECT 3");
    BOOST_TEST(classifier.size() == 2U);
    BOOST_TEST(classifier.hits() == 1U);
    BOOST_TEST((classifier.classify("SELECT 1") == first), "the least recently used text should have been evicted");
}

BOOST_AUTO_TEST_CASE(AnyBytesGetAnAnswer)
{
    BOOST_TEST(rc::check("arbitrary bytes never crash the classifier", [](const std::string &bytes) {
        const Classification result = detail::classifyText(bytes);
        RC_ASSERT((result.kind == StatementKind::Refused) == !result.error.message.empty());
    }));
    BOOST_TEST(rc::check("fragments of SQL in any order never crash it", [] {
        const std::vector<std::string> words = {
            "SELECT", "FROM", "t",  "(",           ")",     ",",       "1",           "'x'",    ";",          "BEGIN",
            "COMMIT", "SET",  "=",  "egrettide.x", "WITH",  "AS",      "INSERT INTO", "VALUES", "FOR UPDATE", "\xff",
            "$1",     "--",   "/*", "\"",          "now()", "EXPLAIN", "COPY",        "x.y",    "*"};
        std::string text;
        for (const std::string &word : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(words))) {
            text += word + " ";
        }
        const Classification result = detail::classifyText(text);
        RC_ASSERT((result.kind == StatementKind::Setting) || result.settings.empty());
    }));
}

BOOST_AUTO_TEST_CASE(ADataModifyingPartAnywhereMakesTheStatementAWrite)
{
    BOOST_TEST(rc::check("no wrapping hides a data-modifying part", [] {
        const auto part = *rc::gen::elementOf(std::vector<std::string>{"SELECT nextval('s') AS a", "SELECT a FROM t FOR UPDATE",
                                                                       "SELECT f(1) AS a", "SELECT 1 OPERATOR(s.+) 1 AS a"});
        std::string text = part;
        for (const int wrapping : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
            if (text.size() > 10000) {
                break;
            }
            const std::string wrapped[] = {"SELECT * FROM (" + text + ") x", "WITH w AS (" + text + ") SELECT 1 FROM w",
                                           "SELECT 1 WHERE EXISTS (" + text + ")", "SELECT coalesce((" + text + "), 1) AS a",
                                           "SELECT 1 UNION (" + text + ")"};
            text = wrapped[wrapping];
        }
        RC_ASSERT(detail::classifyText(text).kind == StatementKind::Write);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
