// Tests of batches, plans and composed answers, without sockets.

#define BOOST_TEST_MODULE BatchAssembler
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "tests/runtime/fakeupstream.h"
#include "wire/batchassembler.h"

using namespace egrettide;
using namespace egrettide::pg;
using egrettide::test::FakeUpstreamConnection;

namespace
{

constexpr std::size_t maxBatchBytes = std::size_t{1024} * 1024;

const LocalHook nothingLocal = [](const std::string &) { return std::optional<LocalStatement>(); };

// SET is answered by the front.
const LocalHook localSet = [](const std::string &sql) -> tl::expected<std::optional<LocalStatement>, Error> {
    if (!sql.starts_with("SET")) {
        return std::optional<LocalStatement>();
    }
    LocalStatement statement;
    statement.execute = [] {
        std::string out;
        appendCommandComplete(out, "SET");
        return out;
    };
    return std::optional<LocalStatement>(std::move(statement));
};

std::string text(std::initializer_list<std::string_view> strings, std::string_view rest = {})
{
    std::string payload;
    for (const std::string_view each : strings) {
        appendCString(payload, each);
    }
    return payload.append(rest);
}

std::string parse(std::string_view name, std::string_view sql)
{
    return Message{'P', text({name, sql}, std::string_view("\0\0", 2))}.bytes();
}
std::string bindTo(std::string_view portal, std::string_view name)
{
    return Message{'B', text({portal, name}, std::string_view("\0\0\0\0\0\0", 6))}.bytes();
}
std::string describe(char kind, std::string_view name)
{
    return Message{'D', std::string(1, kind) + text({name})}.bytes();
}
std::string execute(std::string_view portal)
{
    return Message{'E', text({portal}, std::string_view("\0\0\0\0", 4))}.bytes();
}
std::string close(char kind, std::string_view name)
{
    return Message{'C', std::string(1, kind) + text({name})}.bytes();
}
std::string query(std::string_view sql)
{
    return Message{'Q', text({sql})}.bytes();
}
const std::string syncMessage = Message{'S', {}}.bytes();
const std::string flushMessage = Message{'H', {}}.bytes();

std::vector<CallerBatch> batchesOf(const std::vector<std::string> &chunks)
{
    BatchAssembler assembler(maxBatchBytes);
    std::vector<CallerBatch> batches;
    for (const std::string &chunk : chunks) {
        assembler.feed(chunk);
        for (auto batch = assembler.next(); batch && *batch; batch = assembler.next()) {
            batches.push_back(std::move(**batch));
        }
    }
    return batches;
}

std::string flattened(const std::vector<CallerBatch> &batches)
{
    std::string out;
    for (const CallerBatch &batch : batches) {
        for (const Message &message : batch.messages) {
            out.append(message.bytes());
        }
        out.append("|" + std::to_string(static_cast<int>(batch.end)) + "\n");
    }
    return out;
}

// The types of the messages in `bytes`, such as "12DCZ".
std::string typesOf(std::string_view bytes)
{
    FrameReader reader;
    reader.feed(bytes);
    std::string types;
    for (auto message = reader.next(); message && *message; message = reader.next()) {
        types.push_back((*message)->type);
    }
    return types;
}

// A caller whose batches are planned by the front and run on a new connection each, unless
// a transaction is open. This is the worst case of a connection pool.
class PlannedCaller
{
public:
    explicit PlannedCaller(LocalHook hook) : m_hook(std::move(hook))
    {
    }

    std::string run(const std::string &bytes)
    {
        std::string out;
        for (const CallerBatch &batch : batchesOf({bytes})) {
            out.append(runBatch(batch));
        }
        return out;
    }

private:
    std::string runBatch(const CallerBatch &batch)
    {
        auto plan = m_statements.plan(batch, m_hook);
        if (!plan) {
            return "refused: " + plan.error().message;
        }
        std::string answer = plan->batch.empty() ? std::string() : atUpstream(*plan);
        if (plan->end == BatchEnd::Query) {
            return answer;
        }
        const auto composed = composeAnswer(*plan, answer, [this] { return m_connection.state(); });
        if (!composed) {
            return "mismatch: " + composed.error().message;
        }
        m_statements.commit(*plan, composed->answeredSteps, m_connection.state() != 'I');
        return composed->bytes;
    }

    std::string atUpstream(const BatchPlan &plan)
    {
        if (m_connection.state() == 'I') {
            m_connection = FakeUpstreamConnection([](const std::string &) {});
        }
        std::string failure;
        for (const PreparedStatement &statement : plan.prepared) {
            const std::string answer = m_connection.run(statement.parseMessage);
            if (answer.starts_with('E')) {
                failure = answer;
            }
        }
        return failure + m_connection.run(plan.batch);
    }

    LocalHook m_hook;
    SessionStatements m_statements;
    FakeUpstreamConnection m_connection{[](const std::string &) {}};
};

rc::Gen<std::string> anyName()
{
    return rc::gen::element<std::string>("", "a", "b");
}

rc::Gen<std::string> anyMessage()
{
    const auto anySql =
        rc::gen::element<std::string>("SELECT 1", "SELECT 2", "INSERT x", "SELECT FAIL", "BEGIN", "COMMIT", "ROLLBACK");
    return rc::gen::oneOf(rc::gen::apply(parse, anyName(), anySql), rc::gen::apply(bindTo, anyName(), anyName()),
                          rc::gen::apply(describe, rc::gen::element('S', 'P'), anyName()), rc::gen::apply(execute, anyName()),
                          rc::gen::apply(close, rc::gen::element('S', 'P'), anyName()), rc::gen::just(syncMessage),
                          rc::gen::just(syncMessage));
}

std::string joined(const std::vector<std::string> &parts)
{
    std::string all;
    for (const std::string &part : parts) {
        all.append(part);
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BatchAssembly)

BOOST_AUTO_TEST_CASE(ABatchEndsWithItsQueryOrSync)
{
    const auto batches =
        batchesOf({query("SELECT 1") + parse("", "SELECT 2") + bindTo("", "") + execute("") + syncMessage + syncMessage});
    BOOST_REQUIRE_EQUAL(batches.size(), 3U);
    BOOST_TEST((batches[0].end == BatchEnd::Query));
    BOOST_TEST(batches[1].messages.size() == 3U);
    BOOST_TEST(batches[2].messages.empty());
}

BOOST_AUTO_TEST_CASE(SplittingTheStreamAnywhereGivesTheSameBatches)
{
    BOOST_TEST(rc::check("the same batches for any split", [] {
        const auto messages = *rc::gen::container<std::vector<std::string>>(
            rc::gen::oneOf(anyMessage(), rc::gen::just(flushMessage), rc::gen::just(syncMessage + query("SELECT 1"))));
        const std::string stream = joined(messages) + syncMessage;
        std::vector<std::string> chunks;
        std::size_t at = 0;
        while (at < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 20);
            chunks.push_back(stream.substr(at, size));
            at += size;
        }
        RC_ASSERT(flattened(batchesOf(chunks)) == flattened(batchesOf({stream})));
    }));
}

BOOST_AUTO_TEST_CASE(DamagedStreamsGiveAnErrorAndNeverAnIncompleteBatch)
{
    BOOST_TEST(rc::check("damage is refused or read as another message", [] {
        std::string stream = joined(*rc::gen::container<std::vector<std::string>>(anyMessage())) + syncMessage;
        const auto at = *rc::gen::inRange<std::size_t>(0, stream.size());
        stream[at] = *rc::gen::arbitrary<char>();
        for (const CallerBatch &batch : batchesOf({stream})) {
            const auto plan = SessionStatements().plan(batch, nothingLocal);
            RC_ASSERT(plan || !plan.error().message.empty());
        }
    }));
}

BOOST_AUTO_TEST_CASE(RefusesOversizedBatches)
{
    BatchAssembler assembler(1000);
    assembler.feed(parse("a", std::string(600, 'x')));
    BOOST_TEST(assembler.next().has_value());
    assembler.feed(parse("b", std::string(600, 'x')));
    const auto batch = assembler.next();
    BOOST_REQUIRE(!batch.has_value());
    BOOST_TEST((batch.error().kind == ErrorKind::InvalidInput));
}

BOOST_AUTO_TEST_CASE(RefusesAQueryWithinAnExtendedBatch)
{
    BatchAssembler assembler(maxBatchBytes);
    assembler.feed(parse("", "SELECT 1") + query("SELECT 1"));
    BOOST_TEST(!assembler.next().has_value());
}

BOOST_AUTO_TEST_CASE(UnfinishedBatchesAreDroppedAtTerminate)
{
    const auto batches = batchesOf({parse("", "INSERT x") + bindTo("", "") + execute("") + Message{'X', {}}.bytes()});
    BOOST_REQUIRE_EQUAL(batches.size(), 1U);
    BOOST_TEST((batches[0].end == BatchEnd::Terminate));
    BOOST_TEST(batches[0].messages.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PlannedBatches)

// Compares with a reference that keeps one upstream connection for the caller and forwards
// everything. The front's plans, which change the connection with each batch, have to
// return the same bytes to the caller.
BOOST_AUTO_TEST_CASE(AnswersAreThoseOfAConnectionOfItsOwn)
{
    BOOST_TEST(rc::check("planned and passed-through answers are equal", [] {
        const auto messages = *rc::gen::container<std::vector<std::string>>(anyMessage());
        const std::string stream = joined(messages) + syncMessage;
        FakeUpstreamConnection own([](const std::string &) {});
        const std::string expected = own.run(stream);
        const std::string actual = PlannedCaller(nothingLocal).run(stream);
        if (actual != expected) {
            RC_FAIL("expected " + typesOf(expected) + ", got " + typesOf(actual) + " " + actual.substr(0, 60)
                    + "; see AnswerComposer");
        }
    }));
}

BOOST_AUTO_TEST_CASE(ParseIsAnsweredInItsPlace)
{
    PlannedCaller caller(nothingLocal);
    const std::string answer = caller.run(parse("a", "SELECT 1") + bindTo("", "a") + execute("") + parse("b", "SELECT 2")
                                          + close('S', "b") + syncMessage);
    BOOST_TEST(typesOf(answer) == "12DC13Z");
}

BOOST_AUTO_TEST_CASE(AFailedParseIsTheUpstreamsOwnErrorAndDefinesNoName)
{
    PlannedCaller caller(nothingLocal);
    BOOST_TEST(typesOf(caller.run(parse("a", "BAD") + describe('S', "a") + syncMessage)) == "EZ");
    const std::string answer = caller.run(bindTo("", "a") + syncMessage);
    BOOST_TEST(answer.find("26000") != std::string::npos, "the upstream refuses the unknown name, but answered " << answer);
}

BOOST_AUTO_TEST_CASE(AParseAloneIsCheckedByTheUpstream)
{
    PlannedCaller caller(nothingLocal);
    BOOST_TEST(typesOf(caller.run(parse("a", "BAD") + syncMessage)) == "EZ");
    BOOST_TEST(typesOf(caller.run(parse("a", "SELECT 1") + syncMessage)) == "1Z");
}

BOOST_AUTO_TEST_CASE(SharedNamesCannotBeReachedByGuessingThem)
{
    PlannedCaller caller(nothingLocal);
    SessionStatements other;
    const auto plan = other.plan(batchesOf({parse("a", "SELECT 1") + syncMessage}).front(), nothingLocal);
    BOOST_REQUIRE(plan.has_value());
    const auto guessed =
        SessionStatements().plan(batchesOf({bindTo("", plan->prepared.front().name) + syncMessage}).front(), nothingLocal);
    BOOST_REQUIRE(guessed.has_value());
    BOOST_TEST(guessed->prepared.empty());
    BOOST_TEST(guessed->batch.find(plan->prepared.front().name) == std::string::npos);
}

// Unnamed statements must not get derived names. A driver that sends texts with literal
// values as unnamed statements would leave one prepared statement per text on the
// upstream's connections.
BOOST_AUTO_TEST_CASE(UnnamedStatementsLeaveNothingBehind)
{
    SessionStatements session;
    const auto first = batchesOf({parse("", "SELECT 1") + bindTo("", "") + execute("") + syncMessage}).front();
    const auto plan = session.plan(first, nothingLocal);
    BOOST_REQUIRE(plan.has_value());
    BOOST_TEST(plan->prepared.empty());
    session.commit(*plan, plan->steps.size(), false);
    const auto later = session.plan(batchesOf({bindTo("", "") + execute("") + syncMessage}).front(), nothingLocal);
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->prepared.size() == 1U);
}

BOOST_AUTO_TEST_CASE(EqualTextsShareANameAndOthersDoNot)
{
    const auto nameOf = [](std::string_view sql) {
        return SessionStatements().plan(batchesOf({parse("x", sql) + syncMessage}).front(), nothingLocal)->prepared.front().name;
    };
    BOOST_TEST(nameOf("SELECT 1") == nameOf("SELECT 1"));
    BOOST_TEST(nameOf("SELECT 1") != nameOf("SELECT 2"));
}

BOOST_AUTO_TEST_CASE(LocalStatementsAreAnsweredInOrderWithTheUpstreams)
{
    PlannedCaller caller(localSet);
    const std::string answer = caller.run(parse("", "SET x") + bindTo("", "") + describe('P', "") + execute("")
                                          + parse("", "SELECT 1") + bindTo("", "") + execute("") + syncMessage);
    BOOST_TEST(typesOf(answer) == "12nC12DCZ");
    BOOST_TEST(typesOf(caller.run(parse("", "SET x") + bindTo("", "") + execute("") + syncMessage)) == "12CZ");
}

BOOST_AUTO_TEST_CASE(AFlushedBatchHasNoReadyForQuery)
{
    PlannedCaller caller(nothingLocal);
    BOOST_TEST(typesOf(caller.run(parse("a", "SELECT 1") + describe('S', "a") + flushMessage)) == "1tT");
    BOOST_TEST(typesOf(caller.run(bindTo("", "a") + execute("") + syncMessage)) == "2DCZ");
}

// An answer with more or fewer messages than the batch requires must be refused. Answers
// are matched to steps by their order only, so the caller could otherwise read the rows of
// another statement, or wait forever.
BOOST_AUTO_TEST_CASE(AnswersThatDoNotMatchTheBatchAreRefused)
{
    const auto batch = batchesOf({parse("a", "SELECT 1") + bindTo("", "a") + execute("") + syncMessage}).front();
    const auto plan = SessionStatements().plan(batch, nothingLocal);
    BOOST_REQUIRE(plan.has_value());
    const std::string bound = Message{'2', {}}.bytes();
    const std::string done = Message{'C', text({"SELECT 1"})}.bytes();
    const std::string ready = Message{'Z', "I"}.bytes();
    const std::string probed = Message{'3', {}}.bytes();
    const auto fits = [&](const std::string &tail) {
        const std::string answer = probed + tail;
        return composeAnswer(*plan, answer, [] { return 'I'; }).has_value();
    };
    BOOST_TEST(fits(bound + done + ready));
    BOOST_TEST(!fits(bound + ready));
    BOOST_TEST(!fits(bound + done + done + ready));
    BOOST_TEST(!fits(bound + done));
    BOOST_TEST(!fits(bound + done + ready + ready));
    BOOST_TEST(!fits(done + ready));
}

BOOST_AUTO_TEST_SUITE_END()
