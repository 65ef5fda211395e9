// Runs the batches of one caller's PostgreSQL session.

#include "runtime/sessions/callersession.h"

#include "egrettide/core/transactionfailure.h"

#include <algorithm>

namespace egrettide::detail
{

namespace
{

constexpr std::string_view abortedSqlState = "25P02";
constexpr std::size_t readyBytes = 6;

bool isBegin(StatementKind kind)
{
    return kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly;
}

bool isEnd(StatementKind kind)
{
    return kind == StatementKind::Commit || kind == StatementKind::Rollback;
}

Error abortedError()
{
    return Error{ErrorKind::Conflict, "The current transaction is aborted; end it with ROLLBACK.", milliseconds{0}};
}

bool endsInReady(std::string_view bytes)
{
    return bytes.size() >= readyBytes && bytes[bytes.size() - readyBytes] == 'Z';
}

constexpr std::string_view readHint = "The statement only reads. It can be sent again.";

} // namespace

std::string hintOf(const Error &error)
{
    if (outcomeOf(error.kind) == Outcome::Unknown) {
        return "Outcome unknown. Check before sending again.";
    }
    if (error.retryAfter.count() > 0) {
        return "Not run. Come back in " + std::to_string(error.retryAfter.count()) + " ms.";
    }
    return "Not run.";
}

CallerSession::CallerSession(std::shared_ptr<TrafficShard> shard, SessionState state)
    : m_shard(std::move(shard)), m_state(std::move(state)), m_settings(m_state, m_statements)
{
}

tl::expected<void, Error> CallerSession::applyStartup(const SessionState::Parameters &parameters)
{
    if (auto applied = m_state.applyStartup(parameters); !applied) {
        return applied;
    }
    return m_settings.applyStartup(parameters);
}

std::string CallerSession::startupStatus() const
{
    std::string out = m_settings.startupStatus();
    if (m_shard->common->options.reportSession) {
        pg::appendParameterStatus(out, settingnames::session, m_state.token());
    }
    return out;
}

bool CallerSession::isIdle() const
{
    return !m_isRunning && !m_aborted && !m_skipToSync && !m_state.inTransaction();
}

char CallerSession::stateCharacter() const
{
    return m_aborted ? 'E' : m_upstreamState;
}

void CallerSession::cancel()
{
    if (const auto runner = m_runner.lock()) {
        runner->cancel();
    }
}

void CallerSession::abandon(bool stopRequest)
{
    m_abandoned = true;
    if (!m_isRunning) {
        rollBack();
        return;
    }
    if (stopRequest) {
        cancel();
    }
}

void CallerSession::rollBack()
{
    if (!m_state.inTransaction()) {
        return;
    }
    rollBackAtHome(*m_shard, requestFor({}, StatementKind::Rollback, m_shard->now()));
    m_state.onTransactionState('I', 0, {});
    m_upstreamState = 'I';
}

void CallerSession::run(const pg::CallerBatch &batch, TimePoint receivedAt, const AnswerHandler &answer)
{
    if (m_skipToSync) {
        std::string out;
        if (batch.end == pg::BatchEnd::Sync) {
            m_skipToSync = false;
            pg::appendReadyForQuery(out, stateCharacter());
        }
        answer(out);
        return;
    }
    auto plan = m_statements.plan(batch, [this](const std::string &sql) { return localStatement(sql); });
    if (!plan) {
        if (m_aborted) {
            refuseAborted(batch.end, answer);
            return;
        }
        refuse(plan.error(), batch.end, answer);
        return;
    }
    if (batch.end == pg::BatchEnd::Query) {
        runQuery(std::move(*plan), receivedAt, answer);
    } else {
        runExtended(std::move(*plan), receivedAt, answer);
    }
}

void CallerSession::runQuery(pg::BatchPlan plan, TimePoint receivedAt, const AnswerHandler &answer)
{
    const auto known = m_shard->classifier.classify(plan.executed.front());
    std::string out;
    if (known->empty) {
        pg::appendMessage(out, 'I', {});
    } else if (m_aborted) {
        if (!isEnd(known->kind) || known->multiStatement) {
            refuseAborted(plan.end, answer);
            return;
        }
        out = localRollback();
    } else if (known->kind == StatementKind::Refused) {
        refuse(known->error, plan.end, answer);
        return;
    } else if (known->kind == StatementKind::Setting && m_upstreamState != 'E') {
        auto ran = m_settings.run(known->settings);
        if (!ran) {
            refuse(ran.error(), plan.end, answer);
            return;
        }
        out = std::move(*ran);
    } else {
        const BatchKind kind{known->kind, known->multiStatement, known->transactionOnly};
        submit(std::move(plan), kind, receivedAt, answer);
        return;
    }
    pg::appendReadyForQuery(out, stateCharacter());
    answer(out);
}

void CallerSession::runExtended(pg::BatchPlan plan, TimePoint receivedAt, const AnswerHandler &answer)
{
    if (plan.batch.empty()) {
        auto composed = pg::composeAnswer(plan, {}, [this] { return stateCharacter(); });
        if (!composed) {
            refuse(composed.error(), plan.end, answer);
            return;
        }
        m_statements.commit(plan, composed->answeredSteps, m_state.inTransaction());
        answer(composed->bytes);
        return;
    }
    if (m_aborted) {
        refuseAborted(plan.end, answer);
        return;
    }
    const bool executes = std::any_of(plan.steps.begin(), plan.steps.end(), [](const pg::ReplyStep &step) {
        return step.kind == pg::ReplyStep::Kind::Bind || step.kind == pg::ReplyStep::Kind::Execute;
    });
    if (plan.end == pg::BatchEnd::Flush && executes && !m_state.inTransaction()) {
        refuse(Error{ErrorKind::Unsupported,
                     "Flush after Bind or Execute is not supported outside a transaction; send Sync instead.", milliseconds{0}},
               plan.end, answer);
        return;
    }
    const BatchKind kind = kindOf(plan);
    submit(std::move(plan), kind, receivedAt, answer);
}

tl::expected<std::optional<pg::LocalStatement>, Error> CallerSession::localStatement(const std::string &sql)
{
    const auto known = m_shard->classifier.classify(sql);
    if (known->empty) {
        pg::LocalStatement statement;
        statement.execute = [] { return pg::Message{'I', {}}.bytes(); };
        return statement;
    }
    if (m_aborted) {
        if (!isEnd(known->kind)) {
            return tl::unexpected(abortedError());
        }
        pg::LocalStatement statement;
        statement.execute = [this] { return localRollback(); };
        return statement;
    }
    if (known->kind == StatementKind::Refused) {
        return tl::unexpected(known->error);
    }
    if (known->kind != StatementKind::Setting || m_upstreamState == 'E') {
        return std::nullopt;
    }
    if (known->settings.size() != 1) {
        return tl::unexpected(Error{ErrorKind::Unsupported, "Only one statement can be prepared at a time; send them one by one.",
                                    milliseconds{0}});
    }
    auto prepared = m_settings.prepare(known->settings.front());
    if (!prepared) {
        return tl::unexpected(prepared.error());
    }
    return std::optional<pg::LocalStatement>(std::move(*prepared));
}

std::string CallerSession::localRollback()
{
    m_aborted = false;
    std::string out;
    pg::appendCommandComplete(out, "ROLLBACK");
    return out;
}

CallerSession::BatchKind CallerSession::kindOf(const pg::BatchPlan &plan)
{
    if (plan.executesUnknownStatement) {
        // The upstream refuses an unknown portal as well.
        return {StatementKind::Write, false, false};
    }
    if (plan.executed.empty()) {
        // Only Describe or Close messages: nothing is executed.
        return {StatementKind::Read, false, false};
    }
    if (plan.executed.size() > 1) {
        return combinedKind(plan);
    }
    const auto known = m_shard->classifier.classify(plan.executed.front());
    return {known->kind, known->multiStatement, known->transactionOnly};
}

// The kind of a pipelined batch follows from its statement with the strongest effect.
CallerSession::BatchKind CallerSession::combinedKind(const pg::BatchPlan &plan)
{
    BatchKind combined{StatementKind::Read, true, false};
    const StatementKind first = m_shard->classifier.classify(plan.executed.front())->kind;
    const bool begins = isBegin(first);
    bool commits = false;
    bool rollsBack = false;
    bool writes = false;
    for (std::size_t i = begins ? 1 : 0; i < plan.executed.size(); ++i) {
        const auto known = m_shard->classifier.classify(plan.executed[i]);
        commits = commits || known->kind == StatementKind::Commit;
        rollsBack = rollsBack || known->kind == StatementKind::Rollback;
        writes = writes || known->kind != StatementKind::Read;
        combined.needsTransaction = combined.needsTransaction || (known->transactionOnly && !begins);
    }
    if (commits || rollsBack) {
        const StatementKind end = commits ? StatementKind::Commit : StatementKind::Rollback;
        combined.kind = m_state.inTransaction() ? end : StatementKind::Write;
    } else if (begins) {
        combined.kind = writes ? StatementKind::Begin : first;
    } else if (writes) {
        combined.kind = StatementKind::Write;
    }
    return combined;
}

StatementRequest CallerSession::requestFor(const pg::BatchPlan &plan, StatementKind kind, TimePoint receivedAt) const
{
    StatementRequest request;
    request.database = m_state.database();
    request.kind = kind;
    request.className = m_state.className();
    request.tenant = m_state.tenant();
    request.deadline = m_shard->now() + m_state.timeout();
    request.receivedAt = m_state.freshSince(receivedAt);
    request.freshness = m_state.freshnessFor(kind);
    request.idempotent = m_state.idempotent();
    request.transaction = m_state.transaction();
    if (m_state.inTransaction()) {
        request.upstream = m_state.transactionUpstream();
    }
    request.prepared = plan.prepared;
    request.batch = plan.batch;
    return request;
}

void CallerSession::submit(pg::BatchPlan plan, const BatchKind &kind, TimePoint receivedAt, const AnswerHandler &answer)
{
    if (kind.needsTransaction && !m_state.inTransaction()) {
        refuse(transactionOnlyError(), plan.end, answer);
        return;
    }
    // Passes the current configuration to the router before the request is routed.
    m_shard->configuration();
    StatementRequest request = requestFor(plan, kind.kind, receivedAt);
    request.mayHoldSeveral = kind.multiStatement;
    auto pending = std::make_shared<Pending>(Pending{std::move(plan), request, kind.multiStatement, answer});
    pending->request.batch.clear();
    auto self = shared_from_this();
    auto done = [self, pending](StatementReply reply, const std::string &upstream) {
        self->onReply(*pending, std::move(reply), upstream);
    };
    const auto runner = std::make_shared<RequestRunner>(m_shard, std::move(request), std::move(done));
    m_runner = runner;
    m_isRunning = true;
    runner->start();
}

void CallerSession::onReply(const Pending &pending, StatementReply reply, const std::string &upstream)
{
    m_isRunning = false;
    m_runner.reset();
    if (reply.error) {
        onFailure(pending, reply);
    } else {
        onAnswer(pending, std::move(reply), upstream);
    }
    if (m_abandoned) {
        rollBack();
    }
}

void CallerSession::onAnswer(const Pending &pending, StatementReply reply, const std::string &upstream)
{
    const pg::BatchPlan &plan = pending.plan;
    std::size_t answeredSteps = 0;
    bool fits = endsInReady(reply.bytes);
    std::string bytes;
    if (plan.end == pg::BatchEnd::Query) {
        bytes = std::move(reply.bytes);
    } else if (fits) {
        auto composed = pg::composeAnswer(plan, reply.bytes, [this] { return stateCharacter(); });
        fits = composed.has_value();
        if (fits) {
            answeredSteps = composed->answeredSteps;
            m_skipToSync = composed->failed && plan.end == pg::BatchEnd::Flush;
            bytes = std::move(composed->bytes);
        }
    }
    m_state.onTransactionState(reply.transactionState, reply.transaction, upstream);
    m_upstreamState = reply.transactionState;
    if (!fits) {
        StatementReply lost;
        lost.sent = true;
        lost.error = Error{ErrorKind::UnknownOutcome,
                           "The upstream's answer could not be understood; check whether the request ran.", milliseconds{0}};
        onFailure(pending, lost);
        return;
    }
    m_statements.commit(plan, answeredSteps, m_state.inTransaction());
    pending.answer(withToken(std::move(bytes), pending, reply));
}

std::string CallerSession::withToken(std::string bytes, const Pending &pending, const StatementReply &reply)
{
    if (!reply.seen) {
        return bytes;
    }
    const bool changed = m_state.onSeen(*reply.seen, pending.request.freshness, pending.request.kind);
    if (!changed || !m_shard->common->options.reportSession) {
        return bytes;
    }
    std::string status;
    pg::appendParameterStatus(status, settingnames::session, m_state.token());
    // The answer to a Flush has no ReadyForQuery.
    const std::size_t tail = pending.plan.end == pg::BatchEnd::Flush ? 0 : readyBytes;
    bytes.insert(bytes.size() - tail, status);
    return bytes;
}

void CallerSession::onFailure(const Pending &pending, const StatementReply &reply)
{
    Error error = *reply.error;
    if (m_state.inTransaction()) {
        error = failInTransaction(pending, reply);
    } else if (isBegin(pending.request.kind) && !pending.multiStatement && outcomeOf(error.kind) == Outcome::Unknown) {
        // The home rolls back a transaction whose caller it cannot reach.
        error = Error{ErrorKind::Conflict, "The transaction could not be started; start it again.", milliseconds{0}};
    }
    const bool hasRead = reply.sent && pending.request.kind == StatementKind::Read && outcomeOf(error.kind) == Outcome::NotRun;
    const std::string hint = hasRead && !m_aborted ? std::string(readHint) : hintOf(error);
    pending.answer(errorAnswer(sqlStateOf(error.kind), error, pending.plan.end, hint));
}

Error CallerSession::failInTransaction(const Pending &pending, const StatementReply &reply)
{
    rollBack();
    const FailedStatement failed{pending.request.kind, pending.multiStatement, reply.sent};
    m_aborted = leavesAborted(failed.kind) && !m_shard->common->options.faults.ignoresLostTransactions;
    return errorInTransaction(failed, *reply.error);
}

void CallerSession::refuse(const Error &error, pg::BatchEnd end, const AnswerHandler &answer)
{
    if (m_state.inTransaction()) {
        rollBack();
        m_aborted = true;
    }
    answer(errorAnswer(sqlStateOf(error.kind), error, end, hintOf(error)));
}

void CallerSession::refuseAborted(pg::BatchEnd end, const AnswerHandler &answer)
{
    answer(errorAnswer(abortedSqlState, abortedError(), end, hintOf(abortedError())));
}

std::string CallerSession::errorAnswer(std::string_view sqlState, const Error &error, pg::BatchEnd end, std::string_view hint)
{
    std::string out;
    pg::appendErrorResponse(out, sqlState, error.message, hint);
    if (end == pg::BatchEnd::Flush) {
        m_skipToSync = true;
        return out;
    }
    pg::appendReadyForQuery(out, stateCharacter());
    return out;
}

} // namespace egrettide::detail
