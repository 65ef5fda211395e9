// The interface of one connection to an upstream, whatever protocol it speaks. It
// runs one batch at a time and hands back the whole answer or nothing: an answer
// that is cut short, late or too large closes the connection, so that its rest can
// reach nobody.

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
    // The upstream that is expected there; protocols that can check it do.
    std::string upstream;
    // False to give up batches without a cancel request: worth it for short ones.
    bool sendsCancel = true;
    // Answers above this are refused: one caller must not take the memory of all.
    std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;
};

// What a connection is asked to run.
struct BatchOrder {
    // In the encoding of the connection's own protocol, as the caller's side made
    // it. Empty to ask for the status alone.
    std::string batch;
    // Prepared first where this connection does not have them yet.
    std::vector<PreparedStatement> prepared;
    // The values that the session has set. The connection shows the statement these
    // and no others; see StatementRequest::sessionValues.
    std::vector<SessionValue> sessionValues;
    // The upstream checks that its log holds this mark and refuses otherwise. For
    // protocols that can carry it; others ignore it.
    std::optional<LogMark> requiredMark;
    // Run the batch only if the upstream says, in the same transaction, that it
    // leads. For protocols whose upstreams can say so; others ignore it.
    bool requiresLead = false;
    // True to ask for the upstream's status right behind the batch, in the same
    // round trip, where the answer does not carry it anyway.
    bool askStatus = false;
    // True to hand out the last row as values, too.
    bool keepRow = false;
    // When the batch is given up and the connection is closed.
    TimePoint deadline;
};

// The whole answer to one batch.
struct BatchAnswer {
    // The whole answer in the protocol's own encoding.
    std::string bytes;
    // 'I' idle, 'T' in a transaction, 'E' in a failed one; after the batch.
    char state = 'I';
    // Set when the upstream says that nothing of the batch ran, and why.
    std::optional<ErrorKind> refusal;
    // The protocol's own code of the first error, empty when there was none.
    std::string errorCode;
    // Statements that completed before the first error.
    std::size_t completedStatements = 0;
    // The columns and the last row of the batch's last result, kept for control
    // calls alone (BatchOrder::keepRow).
    std::vector<std::string> columns;
    std::vector<std::optional<std::string>> row;
    // The upstream's own status taken after the batch, when it was asked for and
    // could be read.
    std::optional<MemberStatus> status;
    // True when the upstream acknowledges a commit only while it leads, so that no
    // further proof is needed than its own word.
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

// A connection of one io_context, used from its thread alone.
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

    // Answers the batch in progress at once with GivenUp, asks the upstream to
    // cancel it where the protocol can, and closes: its answer may still come and
    // must reach nobody.
    virtual void giveUp() = 0;

    virtual void close() = 0;

    // Closes without a word to anybody: no handler is called, nothing is sent.
    // For destructors, which may run while the io_context itself is being torn
    // down and can't start operations any more.
    virtual void abandon() = 0;

    // True when a batch may be run on it now.
    virtual bool usable() const = 0;
    virtual bool busy() const = 0;
    // True until it is closed, while it is still being opened too.
    virtual bool isOpen() const = 0;
    // As BatchAnswer::state, after the last batch.
    virtual char transactionState() const = 0;
    // How a lost connection was lost, for the failure detector.
    virtual ProbeFailure lossKind() const = 0;
    // Called once when the connection is lost while nothing runs on it.
    virtual void onIdleLoss(std::function<void()> handler) = 0;
};

// Makes connections of one protocol that are still to be opened.
using UpstreamLinkFactory =
    std::function<std::shared_ptr<UpstreamLink>(boost::asio::io_context &context, const ConnectionSettings &settings)>;

} // namespace egrettide
