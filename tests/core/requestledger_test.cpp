// Each request gets exactly one final answer and a charge, that is a write that is not
// idempotent, runs at most once under any faults, unlike with a naive ledger that retries
// after every error.

#define BOOST_TEST_MODULE RequestLedger
#include <boost/test/unit_test.hpp>

#include "egrettide/core/requestledger.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace egrettide;
using namespace std::chrono_literals;
using Kind = LedgerAction::Kind;

namespace
{

const TimePoint start{std::chrono::hours(1)};
const Error busy{ErrorKind::Overloaded, "Not run: busy. Ask again in 5 ms.", 5ms};
const Error late{ErrorKind::DeadlineExceeded, "The deadline passed. Ask again with a longer timeout.", 5ms};

RequestFacts facts(std::uint64_t id, StatementKind kind = StatementKind::Write)
{
    RequestFacts result;
    result.id = id;
    result.kind = kind;
    result.deadline = start + 1s;
    return result;
}

// Simulates the owner of a ledger and hops that lose, delay, repeat and reorder messages.
// Each hop is a connection with one answer outstanding, which runs what it receives.
class LedgerSimulation
{
public:
    explicit LedgerSimulation(const LedgerFaults &faults) : m_ledger(faults)
    {
    }

    std::optional<std::string> run(const std::vector<std::uint32_t> &words)
    {
        for (const std::uint32_t word : words) {
            step(word);
            m_now += 1ms;
            if (m_violation) {
                return m_violation;
            }
        }
        finish();
        return m_violation;
    }

private:
    struct Request {
        RequestFacts facts;
        int executions = 0;
        int finalAnswers = 0;
        // The caller got an error that reports that the request did not run.
        bool reportedNotRun = false;
    };

    struct Hop {
        std::uint64_t request = 0;
        AttemptId attempt = 0;
        bool isOutstanding = false;
        bool hasRun = false;
        bool isBroken = false;
    };

    struct Reply {
        AttemptId attempt = 0;
        std::uint64_t request = 0;
    };

    void step(std::uint32_t word)
    {
        const std::uint32_t detail = word / 16;
        switch (word % 16) {
        case 0:
        case 1:
            return openRequest(detail);
        case 2:
        case 3:
        case 4:
            return sendOne(detail);
        case 5:
        case 6:
        case 7:
            return execute(detail);
        case 8:
        case 9:
            return deliver(detail, true);
        case 10:
            return deliver(detail, false);
        case 11:
            return breakHop(detail);
        case 12:
            return giveUp(detail);
        case 13:
            return refuse(detail);
        case 14:
            return confirmOne(detail);
        default:
            return reportNotRun(detail);
        }
    }

    void openRequest(std::uint32_t detail)
    {
        static const std::vector<StatementKind> kinds{StatementKind::Read, StatementKind::Write, StatementKind::Write,
                                                      StatementKind::Commit};
        Request request;
        request.facts = facts(++m_lastId, kinds[detail % kinds.size()]);
        request.facts.idempotent = detail % 7 == 0;
        request.facts.inTransaction = detail % 5 == 0;
        request.facts.deadline = m_now + milliseconds{50 + detail % 200};
        m_requests[m_lastId] = request;
        if (!m_ledger.open(request.facts)) {
            fail("a new request can't be opened");
        }
    }

    std::vector<std::uint64_t> openIds(RequestState state) const
    {
        std::vector<std::uint64_t> ids;
        for (const auto &[id, request] : m_requests) {
            if (m_ledger.state(id) == state) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    Hop &idleHop()
    {
        for (auto &[id, hop] : m_hops) {
            if (!hop.isOutstanding && !hop.isBroken) {
                m_chosenHop = id;
                return hop;
            }
        }
        m_chosenHop = ++m_lastHop;
        return m_hops[m_chosenHop];
    }

    void sendOne(std::uint32_t detail)
    {
        const auto ids = openIds(RequestState::Queued);
        if (ids.empty()) {
            return;
        }
        const std::uint64_t id = ids[detail % ids.size()];
        Hop &hop = idleHop();
        if (m_outstandingAnswers.contains(m_chosenHop)) {
            return fail("a connection with an outstanding answer got another request");
        }
        const auto attempt = m_ledger.send(id, m_chosenHop);
        if (!attempt) {
            return fail("a queued request can't be sent");
        }
        hop.request = id;
        hop.attempt = *attempt;
        hop.isOutstanding = true;
        hop.hasRun = false;
        m_outstandingAnswers.insert(m_chosenHop);
    }

    std::vector<HopId> outstanding(bool hasRun) const
    {
        std::vector<HopId> ids;
        for (const auto &[id, hop] : m_hops) {
            if (hop.isOutstanding && !hop.isBroken && hop.hasRun == hasRun) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    void execute(std::uint32_t detail)
    {
        const auto ids = outstanding(false);
        if (ids.empty()) {
            return;
        }
        Hop &hop = m_hops[ids[detail % ids.size()]];
        hop.hasRun = true;
        Request &request = m_requests[hop.request];
        const bool mayRepeat = request.facts.idempotent || request.facts.kind == StatementKind::Read;
        if (++request.executions > 1 && !mayRepeat) {
            fail("request " + std::to_string(hop.request) + " ran twice");
        }
        if (request.reportedNotRun) {
            fail("request " + std::to_string(hop.request) + " ran after it was reported as \"not run\"");
        }
    }

    // Delivers the answer of a hop, or repeats an earlier one.
    void deliver(std::uint32_t detail, bool fresh)
    {
        if (!fresh && !m_delivered.empty()) {
            const Reply old = m_delivered[detail % m_delivered.size()];
            const LedgerAction action = m_ledger.answered(old.attempt, false);
            if (action.kind != Kind::Drop) {
                fail("a late or repeated answer was accepted");
            }
            return;
        }
        const auto ids = outstanding(true);
        if (ids.empty()) {
            return;
        }
        const HopId hopId = ids[detail % ids.size()];
        Hop &hop = m_hops[hopId];
        hop.isOutstanding = false;
        m_outstandingAnswers.erase(hopId);
        m_delivered.push_back({hop.attempt, hop.request});
        const bool needsConfirmation = m_requests[hop.request].facts.kind == StatementKind::Commit;
        applyAction(m_ledger.answered(hop.attempt, needsConfirmation), hop.request);
    }

    void breakHop(std::uint32_t detail)
    {
        if (m_hops.empty()) {
            return;
        }
        const HopId id = std::next(m_hops.begin(), static_cast<std::ptrdiff_t>(detail % m_hops.size()))->first;
        closeHop(id);
        for (const LedgerAction &action : m_ledger.hopBroken(id, 5ms, m_now)) {
            applyAction(action, action.id);
        }
    }

    void closeHop(HopId id)
    {
        Hop &hop = m_hops[id];
        if (hop.isOutstanding && hop.hasRun && !hop.isBroken) {
            // Its answer may still arrive late.
            m_delivered.push_back({hop.attempt, hop.request});
        }
        hop.isBroken = true;
        m_outstandingAnswers.erase(id);
    }

    void giveUp(std::uint32_t detail)
    {
        if (m_requests.empty()) {
            return;
        }
        const std::uint64_t id = std::next(m_requests.begin(), static_cast<std::ptrdiff_t>(detail % m_requests.size()))->first;
        const auto state = m_ledger.state(id);
        const LedgerAction action = m_ledger.giveUp(id, late);
        if (state && action.kind != Kind::Fail) {
            fail("a request that was given up has no final answer");
        }
        if (!action.hopToClose) {
            // According to the ledger, no answer is outstanding for it.
            for (auto &[hopId, hop] : m_hops) {
                hop.isOutstanding = hop.isOutstanding && hop.request != id;
            }
        }
        applyAction(action, id);
    }

    void refuse(std::uint32_t detail)
    {
        const auto ids = openIds(RequestState::Queued);
        if (!ids.empty()) {
            const std::uint64_t id = ids[detail % ids.size()];
            applyAction(m_ledger.refuse(id, busy), id);
        }
    }

    void confirmOne(std::uint32_t detail)
    {
        const auto ids = openIds(RequestState::Answered);
        if (!ids.empty()) {
            const std::uint64_t id = ids[detail % ids.size()];
            applyAction(detail % 3 == 0 ? m_ledger.unconfirmed(id) : m_ledger.confirmed(id), id);
        }
    }

    // The other side refuses a request that it has not run.
    void reportNotRun(std::uint32_t detail)
    {
        const auto ids = outstanding(false);
        if (ids.empty()) {
            return;
        }
        const HopId hopId = ids[detail % ids.size()];
        Hop &hop = m_hops[hopId];
        hop.isOutstanding = false;
        m_outstandingAnswers.erase(hopId);
        applyAction(m_ledger.notRun(hop.attempt, busy, detail % 2 == 0, m_now), hop.request);
    }

    void applyAction(const LedgerAction &action, std::uint64_t id)
    {
        if (action.hopToClose) {
            closeHop(*action.hopToClose);
        }
        if (action.kind != Kind::Deliver && action.kind != Kind::Fail) {
            return;
        }
        Request &request = m_requests[action.id];
        if (action.id != id) {
            fail("the answer of request " + std::to_string(id) + " went to " + std::to_string(action.id));
        }
        if (++request.finalAnswers > 1) {
            fail("request " + std::to_string(action.id) + " got a second final answer");
        }
        if (action.kind == Kind::Deliver && request.executions == 0) {
            fail("an answer was delivered for a request that never ran");
        }
        if (action.kind == Kind::Fail && outcomeOf(action.error->kind) == Outcome::NotRun) {
            request.reportedNotRun = true;
            if (request.executions > 0) {
                fail("request " + std::to_string(action.id) + " ran and was reported as \"not run\"");
            }
        }
    }

    void finish()
    {
        for (const std::uint64_t id : m_ledger.overdue(TimePoint::max())) {
            applyAction(m_ledger.giveUp(id, late), id);
        }
        for (const auto &[id, request] : m_requests) {
            if (request.finalAnswers != 1) {
                fail("request " + std::to_string(id) + " got " + std::to_string(request.finalAnswers) + " final answers");
            }
        }
        if (m_ledger.size() != 0) {
            fail("the ledger keeps requests that were answered");
        }
    }

    void fail(const std::string &what)
    {
        if (!m_violation) {
            m_violation = what;
        }
    }

    RequestLedger m_ledger;
    TimePoint m_now = start;
    std::uint64_t m_lastId = 0;
    HopId m_lastHop = 0;
    HopId m_chosenHop = 0;
    std::map<std::uint64_t, Request> m_requests;
    std::map<HopId, Hop> m_hops;
    // Hops with an outstanding answer that were not closed.
    std::set<HopId> m_outstandingAnswers;
    std::vector<Reply> m_delivered;
    std::optional<std::string> m_violation;
};

std::optional<std::string> searchViolation(const LedgerFaults &faults)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<std::uint32_t> words(300);
        std::generate(words.begin(), words.end(), [&random] { return static_cast<std::uint32_t>(random()); });
        if (auto violation = LedgerSimulation(faults).run(words)) {
            return violation;
        }
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ledger)

BOOST_AUTO_TEST_CASE(AnswerIsDeliveredOnceAndItsRepetitionDropped)
{
    RequestLedger ledger;
    BOOST_REQUIRE(ledger.open(facts(1)).has_value());
    const auto attempt = ledger.send(1, 7);
    BOOST_REQUIRE(attempt.has_value());
    const LedgerAction action = ledger.answered(*attempt, false);
    BOOST_TEST((action.kind == Kind::Deliver));
    BOOST_TEST((action.state == RequestState::Confirmed));
    BOOST_TEST((ledger.answered(*attempt, false).kind == Kind::Drop));
    BOOST_TEST(ledger.dropped() == 1);
    BOOST_TEST(ledger.size() == 0);
}

BOOST_AUTO_TEST_CASE(CommitWaitsForItsConfirmation)
{
    RequestLedger ledger;
    (void)ledger.open(facts(1, StatementKind::Commit));
    const auto attempt = ledger.send(1, 7);
    BOOST_TEST((ledger.answered(*attempt, true).kind == Kind::Hold));
    BOOST_TEST((ledger.confirmed(1).kind == Kind::Deliver));

    (void)ledger.open(facts(2, StatementKind::Commit));
    const auto second = ledger.send(2, 7);
    (void)ledger.answered(*second, true);
    const LedgerAction action = ledger.unconfirmed(2);
    BOOST_TEST((action.kind == Kind::Fail));
    BOOST_TEST((action.error->kind == ErrorKind::UnknownOutcome));
}

BOOST_AUTO_TEST_CASE(BrokenConnectionLeavesAWriteUnknownAndAReadToRetry)
{
    // A charge is sent and the connection breaks before the answer. If the missing answer
    // is taken as "not run", the charge is retried and runs twice.
    RequestLedger ledger;
    (void)ledger.open(facts(1));
    (void)ledger.open(facts(2, StatementKind::Read));
    RequestFacts idempotent = facts(3);
    idempotent.idempotent = true;
    (void)ledger.open(idempotent);
    RequestFacts inTransaction = facts(4, StatementKind::Read);
    inTransaction.inTransaction = true;
    (void)ledger.open(inTransaction);
    (void)ledger.open(facts(5));
    for (std::uint64_t id = 1; id <= 4; ++id) {
        (void)ledger.send(id, 7);
    }
    const auto actions = ledger.hopBroken(7, 20ms, start);
    BOOST_REQUIRE(actions.size() == 4);
    BOOST_TEST((actions[0].kind == Kind::Fail && actions[0].error->kind == ErrorKind::UnknownOutcome));
    BOOST_TEST((actions[1].kind == Kind::Retry));
    BOOST_TEST((actions[2].kind == Kind::Retry));
    BOOST_TEST((actions[3].kind == Kind::Fail && actions[3].error->kind == ErrorKind::UnknownOutcome));
    BOOST_TEST((ledger.state(5) == RequestState::Queued), "a request that was not sent is not affected by the broken hop");
    const LedgerAction refused = ledger.refuse(5, busy);
    BOOST_TEST((refused.state == RequestState::Refused));
    BOOST_TEST((refused.error->retryAfter == 5ms));
}

BOOST_AUTO_TEST_CASE(UnsentRequestIsNotRunWhenItsHopIsGone)
{
    RequestLedger ledger;
    (void)ledger.open(facts(1));
    const auto attempt = ledger.send(1, 7);
    const LedgerAction again = ledger.notSent(*attempt, 20ms, start);
    BOOST_TEST((again.kind == Kind::Retry), "no byte of it was written, so even a charge may be retried");
    const auto second = ledger.send(1, 8);
    const LedgerAction action = ledger.notSent(*second, 20ms, start + 2s);
    BOOST_TEST((action.kind == Kind::Fail));
    BOOST_TEST((outcomeOf(action.error->kind) == Outcome::NotRun));
    BOOST_TEST((action.error->retryAfter == 20ms));
}

BOOST_AUTO_TEST_CASE(LateAnswerOfAnEarlierAttemptIsDropped)
{
    // A read is retried over another hop, then the first hop answers. If answers are matched
    // by request instead of by attempt, the caller gets two answers or that of another
    // request.
    RequestLedger ledger;
    (void)ledger.open(facts(1, StatementKind::Read));
    const auto first = ledger.send(1, 7);
    (void)ledger.lost(*first, late, start);
    const auto second = ledger.send(1, 8);
    BOOST_TEST((ledger.answered(*first, false).kind == Kind::Drop));
    BOOST_TEST((ledger.answered(*second, false).kind == Kind::Deliver));
}

BOOST_AUTO_TEST_CASE(RefusalAfterALostAttemptIsAnUnknownOutcome)
{
    // An idempotent write is lost, retried and refused elsewhere. The refusal covers the
    // second attempt only, and the first one may have run.
    RequestLedger ledger;
    RequestFacts idempotent = facts(1);
    idempotent.idempotent = true;
    (void)ledger.open(idempotent);
    const auto first = ledger.send(1, 7);
    BOOST_TEST((ledger.lost(*first, late, start).kind == Kind::Retry));
    const auto second = ledger.send(1, 8);
    const LedgerAction action = ledger.notRun(*second, busy, false, start);
    BOOST_TEST((action.kind == Kind::Fail));
    BOOST_TEST((action.error->kind == ErrorKind::UnknownOutcome));
    BOOST_TEST((action.error->retryAfter == 5ms));
}

BOOST_AUTO_TEST_CASE(GivenUpRequestIsAnsweredAtOnceAndItsHopIsClosed)
{
    RequestLedger ledger;
    (void)ledger.open(facts(1));
    const auto attempt = ledger.send(1, 7);
    const LedgerAction action = ledger.giveUp(1, late);
    BOOST_TEST((action.kind == Kind::Fail));
    BOOST_TEST((action.error->kind == ErrorKind::UnknownOutcome));
    BOOST_TEST((action.hopToClose == std::optional<HopId>(7)));
    BOOST_TEST((ledger.answered(*attempt, false).kind == Kind::Drop));

    (void)ledger.open(facts(2));
    const LedgerAction unsent = ledger.giveUp(2, late);
    BOOST_TEST((unsent.state == RequestState::Refused));
    BOOST_TEST(!unsent.hopToClose.has_value());
}

BOOST_AUTO_TEST_CASE(IllegalTransitionsAreRefused)
{
    RequestLedger ledger;
    (void)ledger.open(facts(1));
    BOOST_TEST(!ledger.open(facts(1)).has_value());
    BOOST_TEST(!ledger.send(2, 7).has_value());
    BOOST_TEST(ledger.send(1, 7).has_value());
    BOOST_TEST(!ledger.send(1, 8).has_value());
    BOOST_TEST((ledger.confirmed(1).kind == Kind::Drop));
    BOOST_TEST((ledger.refuse(1, busy).kind == Kind::Drop));
    BOOST_TEST((ledger.giveUp(99, late).kind == Kind::Drop));
}

BOOST_AUTO_TEST_CASE(OverdueRequestsAreListedInOrder)
{
    RequestLedger ledger;
    BOOST_TEST((ledger.nextDeadline() == TimePoint::max()));
    for (const std::uint64_t id : {3, 1, 2}) {
        RequestFacts request = facts(id);
        request.deadline = start + milliseconds{id};
        (void)ledger.open(request);
    }
    BOOST_TEST((ledger.nextDeadline() == start + 1ms));
    BOOST_TEST((ledger.overdue(start + 2ms) == std::vector<std::uint64_t>{1, 2}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Invariants)

BOOST_AUTO_TEST_CASE(OneFinalAnswerEachAndNoChargeRunsTwice)
{
    BOOST_TEST(rc::check("one final answer, at most one run, truthful \"not run\", no shared connection", [] {
        const auto words =
            *rc::gen::resize(500, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>()));
        RC_ASSERT(LedgerSimulation({}).run(words).value_or("") == "");
    }));
    const auto violation = searchViolation({});
    BOOST_TEST(!violation, violation.value_or(""));
}

BOOST_AUTO_TEST_CASE(NaiveResendRunsAChargeTwice)
{
    LedgerFaults naive;
    naive.resendSent = true;
    const auto violation = searchViolation(naive);
    BOOST_REQUIRE(violation.has_value());
    BOOST_TEST(violation->find("ran twice") != std::string::npos, *violation);
}

BOOST_AUTO_TEST_CASE(ChecksFailWithEachMechanismDisabled)
{
    LedgerFaults faults;
    faults.acceptAnyAttempt = true;
    BOOST_TEST(searchViolation(faults).has_value(), "accepted answers of earlier attempts are not detected");
    faults = {};
    faults.keepConnection = true;
    BOOST_TEST(searchViolation(faults).has_value(), "reuse of a connection with an outstanding answer is not detected");
}

BOOST_AUTO_TEST_SUITE_END()
