// One caller's session behind its connection: takes a batch, answers it here or
// has it run at an upstream, and follows transactions, prepared statements and the
// session's floor.

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

// Lives on the thread of its shard. One batch at a time: a connection's batches
// run strictly in order, as a driver expects.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    // Gets the whole answer to a batch; empty when the batch gets none.
    using AnswerHandler = std::function<void(const std::string &answer)>;

    CallerSession(std::shared_ptr<TrafficShard> shard, SessionState state);
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    // Takes the startup parameters; the error ends the connection.
    tl::expected<void, Error> applyStartup(const SessionState::Parameters &parameters);
    // ParameterStatus messages for the startup, the session's token among them.
    std::string startupStatus() const;

    // Answers one batch that is neither a Terminate nor overtaking another one.
    void run(const pg::CallerBatch &batch, TimePoint receivedAt, const AnswerHandler &answer);
    // Stops the request under way, if there is one; its answer still comes.
    void cancel();
    // The caller is gone: its open transaction is rolled back, if need be when the
    // request under way has come back. `stopRequest` also cancels that request.
    void abandon(bool stopRequest);
    // True when the session may move to another host without losing anything.
    bool isIdle() const;

private:
    // What is remembered about the request under way.
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

    // Refuses a batch that never left. An open transaction is rolled back: the
    // caller may have sent its COMMIT already, and would commit the rest without
    // the refused part.
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
    // The request under way; it keeps itself alive, and through its handler this
    // session, until it is answered.
    std::weak_ptr<RequestRunner> m_runner;
    // As the upstream last said.
    char m_upstreamState = 'I';
    // True when the transaction was rolled back here although the caller has not
    // ended it. All but COMMIT and ROLLBACK is refused until then.
    // Invariant: m_aborted implies that no transaction is open at a home.
    bool m_aborted = false;
    // True after an error that a Flush and not a Sync followed: everything up to
    // the next Sync is dropped.
    bool m_skipToSync = false;
    bool m_abandoned = false;
};

// The hint that states what the caller may conclude from an error.
std::string hintOf(const Error &error);

} // namespace egrettide::detail
