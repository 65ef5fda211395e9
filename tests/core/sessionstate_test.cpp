// Tests of session settings and of the freshness that statements require.

#define BOOST_TEST_MODULE SessionState
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/sessionstate.h"

using namespace egrettide;

namespace
{

const TimePoint arrival{std::chrono::seconds(100)};

std::shared_ptr<const SessionTokenCodec> codec()
{
    return std::make_shared<const SessionTokenCodec>(std::vector<std::string>{"key"});
}

SessionDefaults defaults()
{
    SessionDefaults result;
    result.database = "booking";
    result.tenant = "north";
    result.className = "parents";
    result.allowedClasses = {"parents", "background"};
    return result;
}

SessionState freshState()
{
    return SessionState(defaults(), codec(), arrival);
}

std::string tokenFor(const std::string &database, LogMark mark)
{
    return codec()->encode(SessionFloor{database, mark});
}

} // namespace

BOOST_AUTO_TEST_SUITE(SessionState_)

BOOST_AUTO_TEST_CASE(ASessionWithoutATokenReadsLatestUntilItsFloorIsComplete)
{
    SessionState state = freshState();
    const Freshness first = state.freshnessFor(StatementKind::Read);
    BOOST_TEST(first.latest);
    BOOST_TEST((state.freshSince(arrival + milliseconds(9)) == arrival),
               "freshness of a session with an incomplete floor counts from its arrival");
    BOOST_TEST(state.token().empty());
    BOOST_TEST(state.onSeen(LogMark{2, 50}, first, StatementKind::Read));
    const Freshness second = state.freshnessFor(StatementKind::Read);
    BOOST_TEST(!second.latest);
    BOOST_TEST((second.floor == LogMark{2, 50}));
    BOOST_TEST(!state.token().empty());
}

// A session without a token must not treat its floor as complete after an answer that
// doesn't cover its earlier work: its next read could then go to a lagging replica and
// miss a write that it made through another host.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutLatestFreshnessLeavesTheFloorIncomplete)
{
    SessionState state = freshState();
    BOOST_TEST(!state.onSeen(LogMark{2, 50}, Freshness{}, StatementKind::Read));
    BOOST_TEST(state.isFloorIncomplete());
    BOOST_TEST(state.freshnessFor(StatementKind::Read).latest);
    const Freshness begin = state.freshnessFor(StatementKind::Begin);
    BOOST_TEST(!state.onSeen(LogMark{2, 50}, begin, StatementKind::Begin));
    BOOST_TEST(state.isFloorIncomplete());
    state.onSeen(LogMark{2, 60}, Freshness{}, StatementKind::Write);
    BOOST_TEST(!state.isFloorIncomplete());
}

BOOST_AUTO_TEST_CASE(TakesItsFloorFromATokenOfItsOwnDatabaseOnly)
{
    SessionState other = freshState();
    BOOST_TEST(other.applyStartup({{"egrettide.session", tokenFor("pitches", LogMark{9, 9})}}).has_value());
    BOOST_TEST(other.isFloorIncomplete());
    BOOST_TEST(!other.floor().has_value());

    SessionState own = freshState();
    BOOST_TEST(own.applyStartup({{"options", "-c egrettide.session=" + tokenFor("booking", LogMark{2, 7})}}).has_value());
    BOOST_TEST(!own.isFloorIncomplete());
    BOOST_TEST((own.freshnessFor(StatementKind::Read).floor == LogMark{2, 7}));
}

BOOST_AUTO_TEST_CASE(ABadTokenLeavesTheFloorIncompleteAtStartupAndIsAnErrorInSet)
{
    SessionState state = freshState();
    BOOST_TEST(state.applyStartup({{"egrettide.session", "forged"}}).has_value());
    BOOST_TEST(!state.tokenRefusal().empty());
    BOOST_TEST(state.freshnessFor(StatementKind::Read).latest);
    BOOST_TEST(!state.set("egrettide.session", "forged").has_value());
}

BOOST_AUTO_TEST_CASE(ReadsOptionsAsLibpqSendsThem)
{
    SessionState state = freshState();
    const SessionState::Parameters parameters = {
        {"user", "north"},
        {"options", "-c egrettide.freshness=2s --egrettide.class=background -c geqo=off"},
        {"egrettide.timeout", "250"},
        {"egrettide.idempotent", "on"}};
    BOOST_REQUIRE(state.applyStartup(parameters).has_value());
    BOOST_TEST((state.mode() == FreshnessMode::MaxAge));
    BOOST_TEST((state.freshnessFor(StatementKind::Read).maxAge == milliseconds(2000)));
    BOOST_TEST(state.className() == "background");
    BOOST_TEST((state.timeout() == milliseconds(250)));
    BOOST_TEST(state.idempotent());
    BOOST_TEST(state.show("egrettide.freshness").value() == "2000ms");
}

BOOST_AUTO_TEST_CASE(RefusesBadValuesNamesTheAllowedOnesAndKeepsTheOld)
{
    struct Row {
        std::string name;
        std::string value;
        std::string mention;
    };
    const std::vector<Row> rows = {{"egrettide.freshness", "yesterday", "'latest'"},
                                   {"egrettide.freshness", "0ms", "1ms"},
                                   {"egrettide.freshness", "-5ms", "1ms"},
                                   {"egrettide.class", "desks", "parents, background"},
                                   {"egrettide.timeout", "99999999999999999999", "24 hours"},
                                   {"egrettide.idempotent", "maybe", "on or off"},
                                   {"egrettide.tenant", "south", "user"},
                                   {"egrettide.colour", "red", "egrettide.freshness"}};
    for (const Row &row : rows) {
        SessionState state = freshState();
        const auto result = state.set(row.name, row.value);
        BOOST_REQUIRE_MESSAGE(!result.has_value(), row.name << " took '" << row.value << "'; refuse it");
        BOOST_TEST((result.error().kind == ErrorKind::InvalidInput));
        BOOST_TEST(result.error().message.find(row.mention) != std::string::npos,
                   "'" << result.error().message << "' does not name " << row.mention);
        BOOST_TEST(state.className() == "parents");
        BOOST_TEST((state.mode() == FreshnessMode::Session));
    }
}

BOOST_AUTO_TEST_CASE(StatementsInsideATransactionRequireNoFreshness)
{
    SessionState state = freshState();
    BOOST_TEST(state.freshnessFor(StatementKind::Begin).latest);
    state.onTransactionState('T', 7, "b1");
    BOOST_TEST(!state.freshnessFor(StatementKind::Read).latest);
    BOOST_TEST(state.transaction() == 7U);
    BOOST_TEST(state.transactionUpstream() == "b1");
    state.onTransactionState('I', 0, {});
    BOOST_TEST(!state.inTransaction());
    BOOST_TEST(state.freshnessFor(StatementKind::Read).latest);
}

BOOST_AUTO_TEST_CASE(ResetKeepsWhatTheCallerHasSeen)
{
    SessionState state = freshState();
    BOOST_TEST(state.set("egrettide.freshness", "latest").has_value());
    state.onSeen(LogMark{1, 5}, Freshness{}, StatementKind::Write);
    state.resetAll();
    BOOST_TEST((state.mode() == FreshnessMode::Session));
    BOOST_TEST((state.floor() == LogMark{1, 5}));
}

BOOST_AUTO_TEST_CASE(TheFloorNeverFalls)
{
    BOOST_TEST(
        rc::check("the floor is the highest mark ever seen", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &marks) {
            SessionState state = freshState();
            LogMark highest;
            for (const auto &[term, position] : marks) {
                const LogMark mark{term, position};
                highest = std::max(highest, mark);
                if (position % 2 == 0) {
                    state.onSeen(mark, Freshness{}, StatementKind::Write);
                } else {
                    (void)state.set("egrettide.session", tokenFor("booking", mark));
                }
                RC_ASSERT(state.floor() == highest);
                RC_ASSERT(codec()->decode(state.token())->mark == highest);
            }
        }));
}

BOOST_AUTO_TEST_CASE(AnySettingTextGetsAnAnswer)
{
    BOOST_TEST(
        rc::check("arbitrary names, values and options never crash", [](const std::string &name, const std::string &value) {
            SessionState state = freshState();
            (void)state.set(name, value);
            for (const std::string_view known : {settingnames::freshness, settingnames::timeout, settingnames::session}) {
                (void)state.set(known, value);
            }
            (void)state.applyStartup({{"options", value}, {"egrettide." + name, value}});
            RC_ASSERT(state.timeout() > milliseconds(0));
        }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FloorsOfOwnWritesAlone)

BOOST_AUTO_TEST_CASE(AreNotRaisedByReads)
{
    // A read that only limits the age must not be bound by the mark of an earlier read.
    // Otherwise, while replicas lag, a read served by the primary raises the floor above
    // all replicas, the session's next read goes to the primary as well, and in the end
    // nearly all reads do.
    SessionDefaults defaults;
    defaults.database = "booking";
    defaults.startsWithCompleteFloor = true;
    defaults.readsRaiseFloor = false;
    SessionState session(defaults, std::make_shared<const SessionTokenCodec>(std::vector<std::string>{}), TimePoint{});
    session.onSeen(LogMark{1, 10}, Freshness{}, StatementKind::Write);
    session.onSeen(LogMark{1, 500}, Freshness{}, StatementKind::Read);
    BOOST_TEST_REQUIRE(session.floor().has_value());
    BOOST_TEST((*session.floor() == LogMark{1, 10}), "a read raised the floor to " << *session.floor());
    session.onSeen(LogMark{1, 600}, Freshness{}, StatementKind::Commit);
    BOOST_TEST((*session.floor() == LogMark{1, 600}));
}

BOOST_AUTO_TEST_SUITE_END()
