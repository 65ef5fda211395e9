// The interface of a connection to an upstream, independent of the protocol. It runs one
// batch at a time and returns the whole answer or none: an answer that is incomplete,
// late or too large closes the connection, so that the rest of it cannot become part of
// another answer.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/failuredetector.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// Where and as whom a connection is opened.
struct ConnectionSettings {
    // "IP:port"; names are not resolved.
    std::string address;
    std::string user = "egrettide";
    std::string database;
    // The upstream that is expected at the address; checked where the protocol allows it.
    std::string upstream;
    // False to give up batches without a cancel request, which suits short batches.
    bool sendsCancel = true;
    // Larger answers are refused, so that a single caller cannot exhaust the memory.
    std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;
};

// A batch to run and how to run it.
struct BatchOrder {
    // Encoded by the sender in the protocol of the connection. Empty to query only the
    // status.
    std::string batch;
    // Prepared first unless this connection already has them.
    std::vector<PreparedStatement> prepared;
    // The values that the session has set. The statement runs with exactly these; see
    // StatementRequest::sessionValues.
    std::vector<SessionValue> sessionValues;
    // The upstream refuses the batch unless its log contains this mark. Ignored by
    // protocols that cannot carry it.
    std::optional<LogMark> requiredMark;
    // The batch runs only if the upstream reports, in the same transaction, that it is the
    // primary. Ignored by protocols without such a report.
    bool requiresLead = false;
    // True to query the upstream's status directly after the batch, in the same round trip,
    // unless the answer carries it anyway.
    bool askStatus = false;
    // True to also return the last row as values.
    bool keepRow = false;
    // When the batch is given up and the connection is closed.
    TimePoint deadline;
};

// The complete answer to a batch.
struct BatchAnswer {
    // The complete answer in the encoding of the protocol.
    std::string bytes;
    // The state after the batch: 'I' idle, 'T' in a transaction, 'E' in a failed one.
    char state = 'I';
    // Set when the upstream reports that nothing of the batch ran; states why.
    std::optional<ErrorKind> refusal;
    // The protocol's code of the first error; empty if there was none.
    std::string errorCode;
    // Statements that completed before the first error.
    std::size_t completedStatements = 0;
    // The columns and the last row of the batch's last result; kept only for control
    // calls (BatchOrder::keepRow).
    std::vector<std::string> columns;
    std::vector<std::optional<std::string>> row;
    // The upstream's status taken after the batch, if it was requested and could be parsed.
    std::optional<MemberStatus> status;
    // True when the upstream acknowledges a commit only while it is the primary, so that
    // the commit needs no further confirmation.
    bool leadProven = false;
};

// Why a batch has no answer.
struct BatchFailure {
    enum class Reason { Lost, DeadlineExceeded, TooLarge, GivenUp, Protocol };
    Reason reason = Reason::Lost;
    // True when bytes of the batch may have reached the upstream.
    bool sent = false;
    std::string message;
};

// A connection on one io_context, used only from its thread.
class UpstreamLink
{
public:
    using OpenHandler = std::function<void(tl::expected<void, Error>)>;
    using BatchHandler = std::function<void(tl::expected<BatchAnswer, BatchFailure>)>;

    virtual ~UpstreamLink() = default;

    // Connects and logs in; `handler` is called once, at the latest at `deadline`.
    virtual void open(TimePoint deadline, OpenHandler handler) = 0;

    // Runs one batch on an open, unused connection. `handler` is called once, at
    // the latest at the order's deadline, and never from within this call. After
    // a failure the connection is closed.
    virtual void run(BatchOrder order, BatchHandler handler) = 0;

    // Ends the batch in progress at once with GivenUp, asks the upstream to cancel it
    // where the protocol allows it, and closes the connection, since a late answer must
    // not be delivered.
    virtual void giveUp() = 0;

    virtual void close() = 0;

    // Closes the connection without calling a handler or sending anything. For
    // destructors, which may run during the destruction of the io_context, when no
    // operation can be started any more.
    virtual void abandon() = 0;

    // True when run() may be called now.
    virtual bool usable() const = 0;
    virtual bool busy() const = 0;
    // True until it is closed, also while it is being opened.
    virtual bool isOpen() const = 0;
    // As BatchAnswer::state, after the last batch.
    virtual char transactionState() const = 0;
    // How a lost connection was lost, for the failure detector.
    virtual ProbeFailure lossKind() const = 0;
    // Called once when the connection is lost while nothing runs on it.
    virtual void onIdleLoss(std::function<void()> handler) = 0;
};

// Creates unopened connections of one protocol.
using UpstreamLinkFactory =
    std::function<std::shared_ptr<UpstreamLink>(boost::asio::io_context &context, const ConnectionSettings &settings)>;

} // namespace egrettide
