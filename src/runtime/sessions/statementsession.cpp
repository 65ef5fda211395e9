// Runs the statements of one caller's session.

#include "runtime/sessions/statementsession.h"

#include "egrettide/core/calleradmission.h"
#include "egrettide/core/transactionfailure.h"
#include "runtime/host/log.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace egrettide::detail
{

namespace
{

constexpr milliseconds noRetry{0};

SessionDefaults defaultsOf(const RouteSpec &route)
{
    SessionDefaults defaults;
    defaults.database = route.database;
    defaults.className = route.className;
    defaults.timeout = route.timeout;
    defaults.latest = route.freshness == RouteFreshness::Latest;
    if (!defaults.latest) {
        defaults.maxAge = route.maxAge;
    }
    // A session is a connection: work of the same caller over another connection belongs
    // to another session.
    defaults.startsWithCompleteFloor = true;
    // Routes guarantee a maximum age and the session's own writes, not monotonic reads.
    defaults.readsRaiseFloor = false;
    return defaults;
}

// Formats as "term.position"; "none" without a mark.
std::string textOf(const std::optional<LogMark> &mark)
{
    return mark ? std::to_string(mark->term) + "." + std::to_string(mark->position) : "none";
}

// Derives the name of a prepared statement on shared connections from its definition:
// names chosen by different callers could collide.
std::string sharedNameOf(const std::string &definition)
{
    constexpr std::size_t digits = 16;
    static constexpr char hex[] = "0123456789abcdef";
    std::string name = "p";
    const std::uint64_t hash = XXH3_64bits(definition.data(), definition.size());
    for (std::size_t i = 0; i < digits; ++i) {
        name += hex[(hash >> (4 * i)) & 0xFU];
    }
    return name;
}

Error unknownRoute(const std::string &name)
{
    return Error{ErrorKind::UnknownDatabase, "There is no route \"" + name + "\"; check the name of the database.", noRetry};
}

Error abortedError()
{
    return Error{ErrorKind::InvalidInput, "The transaction has failed; end it first.", noRetry};
}

Error outOfOrder(const std::string &what)
{
    return Error{ErrorKind::InvalidInput, what, noRetry};
}

Error transactionNotStarted()
{
    // A home rolls back a transaction whose caller it cannot reach.
    return Error{ErrorKind::Conflict, "The transaction could not be started; start it again.", noRetry};
}

bool begins(CallerVerb verb)
{
    return verb == CallerVerb::Begin || verb == CallerVerb::BeginReadOnly;
}

bool ends(CallerVerb verb)
{
    return verb == CallerVerb::Commit || verb == CallerVerb::Rollback;
}

bool begins(StatementKind kind)
{
    return kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly;
}

} // namespace

StatementSession::StatementSession(std::shared_ptr<TrafficShard> shard, const Configuration &configuration, std::string routeName,
                                   std::string key, TransactionStatements statements)
    : m_shard(std::move(shard))
    , m_routeName(std::move(routeName))
    , m_key(std::move(key))
    , m_transactionStatements(std::move(statements))
    , m_workspace(workspaceFor(configuration, m_routeName, m_key).value_or(std::string()))
    , m_state(defaultsOf(*configuration.route(m_routeName)), m_shard->common->tokens, m_shard->now())
    , m_route(*configuration.route(m_routeName))
{
}

bool StatementSession::isIdle() const
{
    return !m_isRunning && state() == 'I';
}

char StatementSession::state() const
{
    return m_aborted ? 'E' : m_upstreamState;
}

void StatementSession::run(CallerStatement statement, TimePoint receivedAt, AnswerHandler handler)
{
    // A rollback, or the end of an already lost transaction, has no effect on data, so it
    // is allowed without a valid key.
    const bool hasNoEffect = statement.verb == CallerVerb::Rollback || (m_aborted && ends(statement.verb));
    if (!hasNoEffect) {
        if (auto known = refreshWorkspace(); !known) {
            refuseKey(statement, std::move(known.error()), handler);
            return;
        }
    }
    if (answerLocally(statement, handler)) {
        return;
    }
    std::string id = statement.id;
    auto request = requestFor(std::move(statement), receivedAt);
    if (!request) {
        reject(std::move(request.error()), handler);
        return;
    }
    auto pending =
        std::make_shared<Pending>(Pending{std::move(id), request->kind, request->freshness, receivedAt, std::move(handler)});
    auto done = [self = shared_from_this(), pending](StatementReply reply, const std::string &upstream) {
        self->onReply(*pending, std::move(reply), upstream);
    };
    m_isRunning = true;
    std::make_shared<RequestRunner>(m_shard, std::move(*request), std::move(done))->start();
}

// Answers a statement that needs no upstream; returns false for all others.
bool StatementSession::answerLocally(const CallerStatement &statement, const AnswerHandler &handler)
{
    if (m_aborted && ends(statement.verb)) {
        m_aborted = false;
        handler(StatementAnswer{std::nullopt, {}, state()});
        return true;
    }
    if (state() == 'E' && !ends(statement.verb)) {
        handler(StatementAnswer{abortedError(), {}, state()});
        return true;
    }
    switch (statement.verb) {
    case CallerVerb::SetValue:
        setValue(statement);
        break;
    case CallerVerb::Prepare:
        prepare(statement);
        break;
    case CallerVerb::Deallocate:
        m_prepared.erase(statement.name);
        break;
    default:
        return false;
    }
    handler(StatementAnswer{std::nullopt, {}, state()});
    return true;
}

void StatementSession::setValue(const CallerStatement &statement)
{
    const auto place = std::ranges::lower_bound(m_values, statement.name, {}, &SessionValue::name);
    if (place != m_values.end() && place->name == statement.name) {
        place->value = statement.definition;
        return;
    }
    m_values.insert(place, SessionValue{statement.name, statement.definition});
}

void StatementSession::prepare(const CallerStatement &statement)
{
    m_prepared[statement.name] = Prepared{sharedNameOf(statement.definition), statement.definition, statement.preparesWrite};
}

// Checks the key again whenever the configuration has changed. Sessions stay open for
// hours: with a check only at the start, a revoked key would remain valid in all open
// sessions, also within transactions.
tl::expected<void, Error> StatementSession::refreshWorkspace()
{
    const auto current = m_shard->configuration();
    if (!current || current == m_workspaceConfiguration) {
        return {};
    }
    auto workspace = workspaceFor(*current, m_routeName, m_key);
    if (!workspace) {
        return tl::unexpected(std::move(workspace.error()));
    }
    if (*workspace != m_workspace && m_state.inTransaction()) {
        // The transaction runs on behalf of the previous workspace.
        return tl::unexpected(Error{ErrorKind::AuthenticationFailed,
                                    "The key now belongs to another workspace; begin the transaction again.", noRetry});
    }
    m_workspace = std::move(*workspace);
    m_workspaceConfiguration = current;
    return {};
}

void StatementSession::refuseKey(const CallerStatement &statement, Error error, const AnswerHandler &handler)
{
    log::failure(
        "key_refused",
        {{"id", statement.id}, {"route", m_routeName}, {"workspace", m_workspace}, {"in_transaction", m_state.inTransaction()}});
    const bool stays = m_state.inTransaction() && statement.verb != CallerVerb::Commit;
    rollBack();
    m_aborted = m_aborted || stays;
    handler(StatementAnswer{std::move(error), {}, state()});
}

// Applies a changed route. Called outside transactions only: a transaction keeps the route
// that it began with.
tl::expected<void, Error> StatementSession::refreshRoute()
{
    const auto current = m_shard->configuration();
    if (!current || current == m_configuration) {
        return {};
    }
    const RouteSpec *route = current->route(m_routeName);
    if (route == nullptr) {
        return tl::unexpected(unknownRoute(m_routeName));
    }
    m_configuration = current;
    m_route = *route;
    m_state.setDefaults(defaultsOf(m_route));
    return {};
}

tl::expected<StatementRequest, Error> StatementSession::requestFor(CallerStatement statement, TimePoint receivedAt)
{
    const bool inTransaction = m_state.inTransaction();
    if (inTransaction && begins(statement.verb)) {
        return tl::unexpected(outOfOrder("A transaction is open already; end it first."));
    }
    if (!inTransaction && ends(statement.verb)) {
        return tl::unexpected(outOfOrder("No transaction is open; begin one first."));
    }
    if (!inTransaction) {
        if (const auto followed = refreshRoute(); !followed) {
            return tl::unexpected(followed.error());
        }
    }
    const bool latest = m_state.mode() == FreshnessMode::Latest;
    StatementRequest request;
    request.kind = kindOf(statement);
    request.database = m_state.database();
    request.className = m_state.className();
    request.tenant = m_workspace;
    request.deadline = receivedAt + m_state.timeout();
    if (m_route.latencyObjective && *m_route.latencyObjective < m_state.timeout()) {
        request.objective = receivedAt + *m_route.latencyObjective;
    }
    request.receivedAt = m_state.freshSince(receivedAt);
    request.transaction = m_state.transaction();
    if (inTransaction) {
        request.upstream = m_state.transactionUpstream();
    }
    request.needsPrimary = latest;
    if (!latest) {
        request.freshness = m_state.freshnessFor(request.kind);
    }
    request.sessionValues = m_values;
    if (const auto written = writeBatch(statement, request); !written) {
        return tl::unexpected(written.error());
    }
    return request;
}

// A read-only transaction that must read the latest data runs as a read-write one: only
// then does the upstream check at each statement that it is the primary.
StatementKind StatementSession::kindOf(const CallerStatement &statement) const
{
    switch (statement.verb) {
    case CallerVerb::Begin:
        return StatementKind::Begin;
    case CallerVerb::BeginReadOnly:
        return m_state.mode() == FreshnessMode::Latest ? StatementKind::Begin : StatementKind::BeginReadOnly;
    case CallerVerb::Commit:
        return StatementKind::Commit;
    case CallerVerb::Rollback:
        return StatementKind::Rollback;
    case CallerVerb::Read:
        return StatementKind::Read;
    case CallerVerb::Execute: {
        const auto found = m_prepared.find(statement.name);
        return found != m_prepared.end() && !found->second.writes ? StatementKind::Read : StatementKind::Write;
    }
    default:
        return StatementKind::Write;
    }
}

tl::expected<void, Error> StatementSession::writeBatch(CallerStatement &statement, StatementRequest &request) const
{
    if (begins(request.kind)) {
        request.batch =
            request.kind == StatementKind::Begin ? m_transactionStatements.begin : m_transactionStatements.beginReadOnly;
        return {};
    }
    request.batch = std::move(statement.batch);
    if (statement.verb != CallerVerb::Execute) {
        return {};
    }
    const auto found = m_prepared.find(statement.name);
    if (found == m_prepared.end()) {
        return tl::unexpected(Error{ErrorKind::UnknownStatement,
                                    "No statement \"" + statement.name + "\" is prepared in this session; prepare it first.",
                                    noRetry});
    }
    request.batch += found->second.sharedName + statement.batchTail;
    request.prepared.push_back(PreparedStatement{found->second.sharedName, found->second.definition});
    return {};
}

void StatementSession::onReply(const Pending &pending, StatementReply reply, const std::string &upstream)
{
    m_isRunning = false;
    if (reply.error) {
        onFailure(pending, reply, upstream);
    } else {
        onAnswer(pending, std::move(reply), upstream);
    }
    if (m_abandoned) {
        rollBack();
    }
}

void StatementSession::onAnswer(const Pending &pending, StatementReply reply, const std::string &upstream)
{
    m_state.onTransactionState(reply.transactionState, reply.transaction, upstream);
    m_upstreamState = reply.transactionState;
    if (reply.seen) {
        m_state.onSeen(*reply.seen, pending.freshness, pending.kind);
    }
    const bool local = begins(pending.kind);
    pending.answer(StatementAnswer{std::nullopt, local ? std::string() : std::move(reply.bytes), state()});
}

void StatementSession::onFailure(const Pending &pending, const StatementReply &reply, const std::string &upstream)
{
    Error error = *reply.error;
    logFailure(pending, reply, error, upstream);
    if (m_state.inTransaction()) {
        const FailedStatement failed{pending.kind, false, reply.sent};
        rollBack();
        m_aborted = leavesAborted(pending.kind);
        error = errorInTransaction(failed, std::move(error));
    } else if (begins(pending.kind) && outcomeOf(error.kind) == Outcome::Unknown) {
        error = transactionNotStarted();
    }
    pending.answer(StatementAnswer{std::move(error), {}, state()});
}

// Logs the inputs of the failed routing decision under the caller's id of the statement.
void StatementSession::logFailure(const Pending &pending, const StatementReply &reply, const Error &error,
                                  const std::string &upstream) const
{
    const auto waited = std::chrono::duration_cast<milliseconds>(m_shard->now() - pending.receivedAt);
    log::failure("request_failed",
                 {{"id", pending.id},
                  {"route", m_routeName},
                  {"workspace", m_workspace},
                  {"database", m_state.database()},
                  {"kind", nameOf(pending.kind)},
                  {"upstream", upstream},
                  {"term", reply.hint.term},
                  {"primary", reply.hint.primary},
                  {"configuration", m_configuration ? m_configuration->version : 0},
                  {"floor", textOf(pending.freshness.floor)},
                  {"max_age_ms", pending.freshness.maxAge.value_or(milliseconds{-1}).count()},
                  {"attempts", reply.attempts},
                  {"tried", reply.attemptHistory},
                  {"in_transaction", m_state.inTransaction()},
                  {"sent", reply.sent},
                  {"waited_ms", waited.count()},
                  {"error", nameOf(error.kind)},
                  {"reason", error.message}});
}

// Refuses a statement that was not sent. An open transaction is rolled back: the caller
// could otherwise commit it without the refused part.
void StatementSession::reject(Error error, const AnswerHandler &handler)
{
    if (m_state.inTransaction()) {
        rollBack();
        m_aborted = true;
    }
    handler(StatementAnswer{std::move(error), {}, state()});
}

void StatementSession::rollBack()
{
    if (!m_state.inTransaction()) {
        return;
    }
    StatementRequest request;
    request.database = m_state.database();
    request.upstream = m_state.transactionUpstream();
    request.className = m_state.className();
    request.transaction = m_state.transaction();
    m_state.onTransactionState('I', 0, {});
    m_upstreamState = 'I';
    if (request.transaction != 0) {
        rollBackAtHome(*m_shard, std::move(request));
    }
}

// The current statement runs to its end: cancelling it would cost the upstream connection,
// whose answer is still outstanding.
void StatementSession::abandon()
{
    m_abandoned = true;
    if (!m_isRunning) {
        rollBack();
    }
}

} // namespace egrettide::detail
