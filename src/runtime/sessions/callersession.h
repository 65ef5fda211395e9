// One caller's PostgreSQL session: answers a batch locally or runs it at an upstream,
// and tracks transactions, prepared statements and the session's floor (the mark that
// its reads must reach).

#pragma once

#include "egrettide/core/sessionstate.h"
#include "runtime/callers/requestrunner.h"
#include "runtime/callers/trafficshard.h"
#include "runtime/sessions/callersettings.h"
#include "wire/batchassembler.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace egrettide::detail
{

// Lives on the thread of its shard. Runs one batch at a time: drivers expect the
// batches of a connection to run strictly in order.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    // Receives the complete answer to a batch; empty when the batch has none.
    using AnswerHandler = std::function<void(const std::string &answer)>;

    CallerSession(std::shared_ptr<TrafficShard> shard, SessionState state);
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    // Applies the startup parameters; an error ends the connection.
    tl::expected<void, Error> applyStartup(const SessionState::Parameters &parameters);
    // ParameterStatus messages for the startup, including the session token.
    std::string startupStatus() const;

    // Runs one batch, which must not be a Terminate, and must not start before the
    // previous batch is answered.
    void run(const pg::CallerBatch &batch, TimePoint receivedAt, const AnswerHandler &answer);
    // Cancels the current request, if there is one; its answer still arrives.
    void cancel();
    // Called when the caller has disconnected: rolls back its open transaction, after the
    // current request if there is one. `stopRequest` also cancels that request.
    void abandon(bool stopRequest);
    // True when the session can move to another host without losing state.
    bool isIdle() const;

private:
    // Context of the current request.
    struct Pending {
        pg::BatchPlan plan;
        StatementRequest request;
        bool multiStatement = false;
        AnswerHandler answer;
    };
    struct BatchKind {
        StatementKind kind = StatementKind::Write;
        bool multiStatement = false;
        bool needsTransaction = false;
    };

    void runQuery(pg::BatchPlan plan, TimePoint receivedAt, const AnswerHandler &answer);
    void runExtended(pg::BatchPlan plan, TimePoint receivedAt, const AnswerHandler &answer);
    void submit(pg::BatchPlan plan, const BatchKind &kind, TimePoint receivedAt, const AnswerHandler &answer);
    StatementRequest requestFor(const pg::BatchPlan &plan, StatementKind kind, TimePoint receivedAt) const;
    tl::expected<std::optional<pg::LocalStatement>, Error> localStatement(const std::string &sql);
    BatchKind kindOf(const pg::BatchPlan &plan);
    BatchKind combinedKind(const pg::BatchPlan &plan);

    void onReply(const Pending &pending, StatementReply reply, const std::string &upstream);
    void onAnswer(const Pending &pending, StatementReply reply, const std::string &upstream);
    void onFailure(const Pending &pending, const StatementReply &reply);
    Error failInTransaction(const Pending &pending, const StatementReply &reply);
    std::string withToken(std::string bytes, const Pending &pending, const StatementReply &reply);

    // Refuses a batch that was not sent. An open transaction is rolled back: the caller
    // may have sent its COMMIT already, which would commit the transaction without the
    // refused part.
    void refuse(const Error &error, pg::BatchEnd end, const AnswerHandler &answer);
    void refuseAborted(pg::BatchEnd end, const AnswerHandler &answer);
    std::string errorAnswer(std::string_view sqlState, const Error &error, pg::BatchEnd end, std::string_view hint);
    void rollBack();
    char stateCharacter() const;
    std::string localRollback();

    std::shared_ptr<TrafficShard> m_shard;
    SessionState m_state;
    pg::SessionStatements m_statements;
    CallerSettings m_settings;
    bool m_isRunning = false;
    // The current request; it keeps itself, and through its handler this session, alive
    // until it is answered.
    std::weak_ptr<RequestRunner> m_runner;
    // Transaction status that the upstream last reported: 'I', 'T' or 'E'.
    char m_upstreamState = 'I';
    // True when the front rolled the transaction back before the caller ended it. All
    // statements except COMMIT and ROLLBACK are refused until the caller ends it.
    // Invariant: m_aborted implies that no transaction is open at a home.
    bool m_aborted = false;
    // True after an error in a batch that ended with Flush instead of Sync: all messages
    // up to the next Sync are discarded.
    bool m_skipToSync = false;
    bool m_abandoned = false;
};

// The hint of an error: whether the request ran, and when to retry.
std::string hintOf(const Error &error);

} // namespace egrettide::detail
