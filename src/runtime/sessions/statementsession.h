// One caller's session for protocols whose messages are single statements: answers
// statements that need no upstream, runs the others, and keeps the session's values, its
// prepared statements, its floor (the mark that its reads must reach) and its
// transaction. It depends only on the kind of a statement; the protocol codec (the edge)
// defines the syntax.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/sessionstate.h"
#include "runtime/callers/requestrunner.h"
#include "runtime/callers/trafficshard.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egrettide::detail
{

enum class CallerVerb { Begin, BeginReadOnly, Commit, Rollback, Read, Write, SetValue, Prepare, Execute, Deallocate };

// One statement as parsed by the protocol codec.
struct CallerStatement {
    CallerVerb verb = CallerVerb::Read;
    // The caller's id of this statement, for logs.
    std::string id;
    // The name of a value or of a prepared statement.
    std::string name;
    // SetValue: the value. Prepare: the text that prepares the statement, without its name.
    std::string definition;
    // Prepare: true when executing it writes.
    bool preparesWrite = false;
    // The text for the upstream. For Execute, the parts before and after the name of the
    // prepared statement, which is replaced; otherwise `batchTail` is empty.
    std::string batch;
    std::string batchTail;
};

// Texts, in the syntax of the protocol, of the statements that begin a transaction.
struct TransactionStatements {
    std::string begin;
    std::string beginReadOnly;
};

// The answer to one statement.
struct StatementAnswer {
    // Set when egrettide refused the statement or lost its answer; `rows` is then empty.
    std::optional<Error> error;
    // The unchanged answer of the upstream; empty for statements answered locally.
    std::string rows;
    // Transaction status after the statement: 'I' (idle), 'T' (in a transaction) or 'E'
    // (failed transaction).
    char state = 'I';
};

// Lives on the thread of its shard. Runs one statement at a time.
class StatementSession : public std::enable_shared_from_this<StatementSession>
{
public:
    using AnswerHandler = std::function<void(StatementAnswer)>;

    // `routeName` must name a route of `configuration`, and the route must accept `key`;
    // see workspaceFor().
    StatementSession(std::shared_ptr<TrafficShard> shard, const Configuration &configuration, std::string routeName,
                     std::string key, TransactionStatements statements);
    StatementSession(const StatementSession &) = delete;
    StatementSession &operator=(const StatementSession &) = delete;

    // Calls the handler once, possibly before it returns. Must not be called again until
    // the handler was called.
    void run(CallerStatement statement, TimePoint receivedAt, AnswerHandler handler);
    // Answers input that is not a valid statement with `error`.
    void reject(Error error, const AnswerHandler &handler);
    // Called when the caller has disconnected: rolls back its open transaction, after the
    // current statement if there is one.
    void abandon();
    // True when the connection can end without losing state.
    bool isIdle() const;

private:
    struct Pending {
        std::string id;
        StatementKind kind = StatementKind::Read;
        Freshness freshness;
        TimePoint receivedAt;
        AnswerHandler answer;
    };

    bool answerLocally(const CallerStatement &statement, const AnswerHandler &handler);
    void setValue(const CallerStatement &statement);
    void prepare(const CallerStatement &statement);
    tl::expected<void, Error> refreshWorkspace();
    void refuseKey(const CallerStatement &statement, Error error, const AnswerHandler &handler);
    tl::expected<void, Error> refreshRoute();
    tl::expected<StatementRequest, Error> requestFor(CallerStatement statement, TimePoint receivedAt);
    StatementKind kindOf(const CallerStatement &statement) const;
    tl::expected<void, Error> writeBatch(CallerStatement &statement, StatementRequest &request) const;
    void onReply(const Pending &pending, StatementReply reply, const std::string &upstream);
    void onAnswer(const Pending &pending, StatementReply reply, const std::string &upstream);
    void onFailure(const Pending &pending, const StatementReply &reply, const std::string &upstream);
    void logFailure(const Pending &pending, const StatementReply &reply, const Error &error, const std::string &upstream) const;
    void rollBack();
    char state() const;

    struct Prepared {
        // The name on upstream connections; derived from the definition.
        std::string sharedName;
        std::string definition;
        bool writes = false;
    };

    std::shared_ptr<TrafficShard> m_shard;
    const std::string m_routeName;
    // The key that the caller presented; a secret.
    const std::string m_key;
    const TransactionStatements m_transactionStatements;
    // The workspace of m_key; empty when it belongs to none.
    std::string m_workspace;
    // The configuration that m_workspace was looked up in.
    std::shared_ptr<const Configuration> m_workspaceConfiguration;
    SessionState m_state;
    // The configuration that m_route was taken from.
    std::shared_ptr<const Configuration> m_configuration;
    // Updated outside transactions only.
    RouteSpec m_route;
    // Sorted by name, as StatementRequest::sessionValues requires.
    std::vector<SessionValue> m_values;
    std::map<std::string, Prepared, std::less<>> m_prepared;
    bool m_isRunning = false;
    // Transaction status that the upstream last reported.
    char m_upstreamState = 'I';
    // True when the front rolled the transaction back before the caller ended it. All
    // statements except its end are refused until the caller ends it.
    // Invariant: m_aborted implies that no transaction is open at a home.
    bool m_aborted = false;
    bool m_abandoned = false;
};

} // namespace egrettide::detail
