// Splits a caller's message stream into batches, and translates each batch into one
// that can run on any connection of an upstream.
//
// A caller prepares a statement once and uses its name in later batches, but each batch
// may run on another connection, even of another upstream. The front (the part of a host
// that serves callers) therefore keeps the caller's names and sends names that are
// derived from the statement's text. The home (the host that holds the upstream's
// connections) prepares the statements that a connection lacks. The front answers the
// Parse and Close messages that it doesn't forward, in their place among the upstream's
// answers, so the caller sees no difference.
//
// An unnamed statement is sent in its batch unchanged. Drivers use it for texts that run
// once; with derived names, each of these would stay prepared on the upstream's
// connections. It gets a derived name only when a later batch uses it.
//
// The home prepares statements before it sends the batch, so a named statement can't
// refer to a table that the same batch creates; the upstream returns an error.
//
// This unit does no I/O.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/request.h"
#include "wire/pgwire.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide::pg
{

// The message that ends a batch. It determines how the answer ends.
enum class BatchEnd {
    Query, // a simple query: ReadyForQuery
    Sync, // an extended batch: ReadyForQuery
    Flush, // an extended batch that is to be answered without ReadyForQuery
    FunctionCall, // not supported: an error and ReadyForQuery
    Terminate, // the caller closes the session: no answer
};

// Messages of one caller, up to and including the one that ends the batch.
struct CallerBatch {
    BatchEnd end = BatchEnd::Sync;
    // Invariant: extended messages only (Parse, Bind, Describe, Execute, Close),
    // or a single Query; without the Sync or Flush that ends the batch.
    std::vector<Message> messages;
    // Memory that the batch uses.
    std::size_t bytes = 0;
};

// Splits a caller's byte stream into batches. After an error the stream cannot be
// resynchronised and the connection has to be closed.
class BatchAssembler
{
public:
    // Batches of more than `maxBatchBytes` bytes are refused.
    explicit BatchAssembler(std::size_t maxBatchBytes);

    void feed(std::string_view bytes);
    // The next complete batch; nothing when more bytes are needed; InvalidInput for a
    // stream that violates the protocol.
    tl::expected<std::optional<CallerBatch>, Error> next();
    // The next single message, for the password exchange before the first batch.
    tl::expected<std::optional<Message>, Error> nextMessage();
    // The next startup message, before the first call of the other functions.
    tl::expected<std::optional<StartupMessage>, Error> nextStartup();
    // True while a message or a batch is incomplete.
    bool isMidBatch() const;
    // Bytes fed that were not returned in a batch yet, including the incomplete batch.
    std::size_t pendingBytes() const;

private:
    tl::expected<std::optional<CallerBatch>, Error> addMessage(Message message);
    tl::expected<std::optional<CallerBatch>, Error> finishBatch(BatchEnd end);
    void releaseBuffer();

    std::size_t m_maxBatchBytes;
    FrameReader m_reader;
    // Bytes fed since the reader was last empty.
    std::size_t m_fedBytes = 0;
    CallerBatch m_current;
};

// A statement as the caller prepared it.
struct CallerStatement {
    std::string text;
    // The name derived from the content. Invariant: equal for two statements if and only
    // if text and parameter types are equal.
    std::string contentName;
    // The Parse message under the content name.
    std::string parseMessage;
};

// A statement that the front answers itself, such as SET egrettide.timeout.
struct LocalStatement {
    // Empty when it returns no rows.
    std::vector<std::string> columns;
    // Applies the statement and returns DataRow and CommandComplete messages. It must
    // not fail: invalid values are refused before the batch starts.
    std::function<std::string()> execute;
};

// Decides whether the front answers a statement itself. Returns nothing for a statement
// that goes to the upstream, and an error when the whole batch has to be refused. Called
// when a statement is prepared, and again when it is bound or described.
using LocalHook = std::function<tl::expected<std::optional<LocalStatement>, Error>(const std::string &sql)>;

// What the name of a portal or prepared statement refers to; both are unset for a name
// that is not in use. If `local` is set, the front answers the statement itself.
struct BoundStatement {
    std::shared_ptr<const CallerStatement> statement;
    std::shared_ptr<const LocalStatement> local;

    bool isKnown() const
    {
        return statement != nullptr || local != nullptr;
    }
};

// One answer that the caller expects; steps are in the order of its messages.
struct ReplyStep {
    enum class Kind {
        Local, // the front's own answer
        // A Close of a portal that doesn't exist, whose answer is not passed on to the
        // caller. It shows that the home could prepare all statements, so that a later
        // error is not mistaken for a failed Parse.
        Probe,
        Parse,
        Bind,
        DescribeStatement,
        DescribePortal,
        Execute,
        Close,
    };
    Kind kind = Kind::Local;
    // For Local: returns the bytes of the answer. Called when the step is reached.
    std::function<std::string()> local;
    // Whether the step, once answered, sets `name` to `value` among the statements or
    // the portals; a `value` that is not known removes the name.
    bool definesStatement = false;
    bool definesPortal = false;
    std::string name;
    BoundStatement value;
    // Replaces the upstream's ErrorResponse when this step fails.
    std::string errorOverride;
};

// A batch as it is sent to the home, with all that is needed to compose its answer.
struct BatchPlan {
    BatchEnd end = BatchEnd::Sync;
    // Empty when the front answers the whole batch itself.
    std::string batch;
    std::vector<PreparedStatement> prepared;
    // The texts that the upstream is to execute, in order.
    std::vector<std::string> executed;
    // True when a portal is executed whose statement is not known to the session.
    bool executesUnknownStatement = false;
    // Empty for a simple query, whose answer is passed on unchanged.
    std::vector<ReplyStep> steps;
};

// The answer for the caller.
struct ComposedAnswer {
    std::string bytes;
    // Number of steps answered before the first error; all when there was none.
    std::size_t answeredSteps = 0;
    bool failed = false;
};

// Prepared statements and portals of one session.
class SessionStatements
{
public:
    // Plans a batch with the names known now. Changes nothing until `commit`, since a
    // batch that fails midway defines only the names of the answered steps.
    tl::expected<BatchPlan, Error> plan(const CallerBatch &batch, const LocalHook &localHook) const;
    // Applies the names that the answered steps define. Portals end with their
    // transaction, so all are removed when none is open.
    void commit(const BatchPlan &plan, std::size_t answeredSteps, bool transactionOpen);
    // Removes one prepared statement, as DEALLOCATE does.
    void forget(std::string_view name);
    // Removes all prepared statements and portals, as for DISCARD ALL and DEALLOCATE ALL.
    void clear();
    std::size_t size() const;

private:
    friend class PlanBuilder;

    std::map<std::string, BoundStatement, std::less<>> m_statements;
    std::map<std::string, BoundStatement, std::less<>> m_portals;
};

// Merges the front's own answers with the upstream's. `answer` is the upstream's whole
// answer, or empty when the batch was not sent; `transactionState` then returns the state
// to report, and is called after the steps have been applied. Returns InvalidInput when
// the answer doesn't match the batch: if it were passed on, the caller could wait forever
// or read the rows of another statement.
tl::expected<ComposedAnswer, Error> composeAnswer(const BatchPlan &plan, std::string_view answer,
                                                  const std::function<char()> &transactionState);

} // namespace egrettide::pg
