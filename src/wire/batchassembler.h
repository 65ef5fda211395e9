// Turns a caller's message stream into batches and a batch into what an upstream
// can run on any of its connections.
//
// Prepared statements are the difficulty: a caller prepares a statement once and
// uses its name in later batches, but each batch may run on another connection,
// even at another upstream. So the front keeps the caller's names, sends names
// that are derived from the statement's text, and lets the home prepare what a
// connection lacks. The caller must not notice: each Parse and each Close that
// the front keeps back is answered in its place among the upstream's answers.
//
// An unnamed statement goes along in its batch as it came. Drivers use it for texts
// that run once; under a name of its own each of these would stay with the upstream's
// connections. Only when a later batch uses it does it get a derived name too.
//
// The home prepares before it sends the batch, so a named statement cannot refer to
// a table that the same batch creates; the upstream's error says so.
//
// Nothing here does I/O: bytes in, batches, plans and answers out.

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

// What ends a batch, and with it decides what the answer ends in.
enum class BatchEnd {
    Query, // a simple query: ReadyForQuery
    Sync, // an extended batch: ReadyForQuery
    Flush, // an extended batch that is to be answered without ReadyForQuery
    FunctionCall, // never carried: an error and ReadyForQuery
    Terminate, // the caller says goodbye: no answer
};

// Messages of one caller, up to and including the one that ends the batch.
struct CallerBatch {
    BatchEnd end = BatchEnd::Sync;
    // Invariant: extended messages only (Parse, Bind, Describe, Execute, Close),
    // or a single Query; the ending Sync or Flush is not in it.
    std::vector<Message> messages;
    // What the batch holds in memory.
    std::size_t bytes = 0;
};

// Cuts a caller's byte stream into batches. After an error the stream cannot be
// resynchronised and the connection has to be closed.
class BatchAssembler
{
public:
    // Batches of more than `maxBatchBytes` bytes are refused.
    explicit BatchAssembler(std::size_t maxBatchBytes);

    void feed(std::string_view bytes);
    // The next whole batch, nothing when more bytes are needed, or InvalidInput
    // for a stream that no driver sends.
    tl::expected<std::optional<CallerBatch>, Error> next();
    // The next single message, for the password exchange before the first batch.
    tl::expected<std::optional<Message>, Error> nextMessage();
    // The next startup message, before anything else.
    tl::expected<std::optional<StartupMessage>, Error> nextStartup();
    // True while the stream ends within a message or a batch.
    bool isMidBatch() const;
    // Bytes fed that no batch has taken yet, those of the unfinished batch included.
    std::size_t pendingBytes() const;

private:
    tl::expected<std::optional<CallerBatch>, Error> take(Message message);
    tl::expected<std::optional<CallerBatch>, Error> finish(BatchEnd end);
    void giveBackBuffer();

    std::size_t m_maxBatchBytes;
    FrameReader m_reader;
    // Since the reader was last empty.
    std::size_t m_fedBytes = 0;
    CallerBatch m_current;
};

// A statement as the caller prepared it.
struct CallerStatement {
    std::string text;
    // Invariant: equal for two statements exactly when text and parameter types are.
    std::string contentName;
    // The Parse message under the content name.
    std::string parseMessage;
};

// A statement that the front answers itself, such as SET egrettide.deadline.
struct LocalStatement {
    // Empty when it returns no rows.
    std::vector<std::string> columns;
    // Applies the statement and gives DataRow and CommandComplete. It must not
    // fail: a faulty value is refused before the batch starts.
    std::function<std::string()> execute;
};

// Says how the front answers a statement itself: nothing when it is the
// upstream's, an error when the whole batch has to be refused. Asked when a
// statement is prepared and again when it is bound.
using LocalHook = std::function<tl::expected<std::optional<LocalStatement>, Error>(const std::string &sql)>;

// What a portal or a prepared name stands for; neither is set for a name that is
// not in use. `local` goes first: the front answers the statement itself then.
struct BoundStatement {
    std::shared_ptr<const CallerStatement> statement;
    std::shared_ptr<const LocalStatement> local;

    bool isKnown() const
    {
        return statement != nullptr || local != nullptr;
    }
};

// One answer that the caller expects, in the order of its messages.
struct ReplyStep {
    enum class Kind {
        Local, // the front's own answer
        // A Close of no portal, whose answer the caller never sees: it proves that
        // the home could prepare all statements, so that a later error is not taken
        // for a failed Parse.
        Probe,
        Parse,
        Bind,
        DescribeStatement,
        DescribePortal,
        Execute,
        Close,
    };
    Kind kind = Kind::Local;
    // For Local: gives the bytes, run when its turn comes.
    std::function<std::string()> local;
    // The name that the step defines or frees once it is answered.
    bool definesStatement = false;
    bool definesPortal = false;
    std::string name;
    BoundStatement value;
    // Takes the place of the upstream's ErrorResponse when it fails this step.
    std::string errorInstead;
};

// A batch as it goes to the home, with all that is needed to compose its answer.
struct BatchPlan {
    BatchEnd end = BatchEnd::Sync;
    // Empty when the front answers the whole batch itself.
    std::string batch;
    std::vector<PreparedStatement> prepared;
    // The texts that the upstream would execute, in order.
    std::vector<std::string> executed;
    // True when a portal is executed whose statement is not known here.
    bool executesUnknown = false;
    // Empty for a simple query, whose answer passes through as it is.
    std::vector<ReplyStep> steps;
};

// The answer for the caller.
struct ComposedAnswer {
    std::string bytes;
    // Steps answered before the first error; all when there was none.
    std::size_t answeredSteps = 0;
    bool failed = false;
};

// Prepared statements and portals of one session.
class SessionStatements
{
public:
    // Plans a batch against the names known now. Nothing changes until `commit`:
    // a batch that fails half way defines only what was answered.
    tl::expected<BatchPlan, Error> plan(const CallerBatch &batch, const LocalHook &localHook) const;
    // Takes over the names that the answered steps define. Portals last as long
    // as the transaction, so they are dropped when none is open any more.
    void commit(const BatchPlan &plan, std::size_t answeredSteps, bool transactionOpen);
    // Forgets one prepared statement, as DEALLOCATE does.
    void forget(std::string_view name);
    // Forgets all prepared statements, as DISCARD ALL and DEALLOCATE ALL do.
    void clear();
    std::size_t size() const;

private:
    friend class PlanBuilder;

    std::map<std::string, BoundStatement, std::less<>> m_statements;
    std::map<std::string, BoundStatement, std::less<>> m_portals;
};

// Puts the front's own answers among the upstream's. `answer` is the upstream's
// whole answer, or empty when the batch never left; `transactionState` is then
// asked for the state to report, after the steps have been applied. Returns
// InvalidInput when the answer does not fit the batch, which would leave the caller
// waiting for ever or hand it another answer's rows.
tl::expected<ComposedAnswer, Error> composeAnswer(const BatchPlan &plan, std::string_view answer,
                                                  const std::function<char()> &transactionState);

} // namespace egrettide::pg
