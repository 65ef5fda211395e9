// One connection to an upstream, as a PostgreSQL v3 client. It runs one batch at
// a time and hands back the whole answer or nothing: an answer that is cut short,
// late or too large closes the connection, so that its rest can reach nobody.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/failuredetector.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"
#include "wire/pgwire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// Where and as whom a connection is opened.
struct ConnectionSettings {
    // "IP:port"; names are not resolved.
    std::string address;
    std::string user = "egrettide";
    std::string database;
    // False to give up batches without a cancel request: worth it for short ones.
    bool sendsCancel = true;
    // Answers above this are refused: one caller must not take the memory of all.
    std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;
};

// What a connection is asked to run.
struct BatchOrder {
    // Ends in exactly one Query or Sync. Empty to ask for the status alone.
    std::string batch;
    // Parsed first where this connection does not have them yet.
    std::vector<PreparedStatement> prepared;
    // True to ask for the upstream's status right behind the batch, in the same
    // round trip.
    bool askStatus = false;
    // True to hand out the last row as values, too.
    bool keepRow = false;
    // When the batch is given up and the connection is closed.
    TimePoint deadline;
};

// The whole answer to one batch.
struct BatchAnswer {
    // Everything up to and including the ReadyForQuery of the batch itself.
    std::string bytes;
    // 'I', 'T' or 'E' of that ReadyForQuery.
    char state = 'I';
    // SQLSTATE of the first error, empty when there was none.
    std::string sqlState;
    // Statements that completed before the first error.
    std::size_t completedStatements = 0;
    // The columns and the last row of the batch's last result, kept for control
    // calls alone (BatchOrder::keepRow).
    std::vector<std::string> columns;
    std::vector<std::optional<std::string>> row;
    // The upstream's own status taken after the batch, when it was asked for and
    // could be read.
    std::optional<MemberStatus> status;
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
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    using OpenHandler = std::function<void(tl::expected<void, Error>)>;
    using BatchHandler = std::function<void(tl::expected<BatchAnswer, BatchFailure>)>;

    static std::shared_ptr<UpstreamConnection> create(boost::asio::io_context &context, ConnectionSettings settings);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    // Connects and logs in; `handler` is called once, at the latest at `deadline`.
    void open(TimePoint deadline, OpenHandler handler);

    // Runs one batch on an open, unused connection. `handler` is called once, at
    // the latest at the order's deadline, and never from within this call. After
    // a failure the connection is closed.
    void run(BatchOrder order, BatchHandler handler);

    // Answers the batch in progress at once with GivenUp, asks the upstream to
    // cancel it, and closes: its answer may still come and must reach nobody.
    void giveUp();

    void close();

    // Closes without a word to anybody: no handler is called, nothing is sent.
    // For destructors, which may run while the io_context itself is being torn
    // down and can't start operations any more.
    void abandon();

    // True when a batch may be run on it now.
    bool usable() const;
    bool busy() const;
    bool isOpen() const;
    // State of the last ReadyForQuery.
    char transactionState() const;
    // How a lost connection was lost, for the failure detector.
    ProbeFailure lossKind() const;
    // Called once when the connection is lost while nothing runs on it.
    void onIdleLoss(std::function<void()> handler);

private:
    enum class State { New, Opening, Idle, Busy, Closed };
    struct Work {
        BatchOrder order;
        BatchHandler handler;
        BatchAnswer answer;
        // Injected Parses whose ParseComplete is still to be dropped, in order.
        std::deque<std::string> injectedNames;
        // True once the batch's own ReadyForQuery is in.
        bool answered = false;
        std::vector<std::string> statusColumns;
        // True once everything that was asked for is in.
        bool complete = false;
    };

    UpstreamConnection(boost::asio::io_context &context, ConnectionSettings settings);
    void armTimer(TimePoint deadline);
    void onTimer();
    void startLogin();
    void readSome();
    void onBytes(std::size_t count);
    void takeMessage(const pg::Message &message);
    void takeLoginMessage(const pg::Message &message);
    void takeBatchMessage(const pg::Message &message);
    void keepRow(const pg::Message &message);
    void noteBatchMessage(const pg::Message &message);
    void takeStatusMessage(const pg::Message &message);
    void takeIdleMessage(const pg::Message &message);
    void finishOpen(tl::expected<void, Error> result);
    void finishBatch();
    void fail(BatchFailure::Reason reason, const std::string &message);
    void enqueueWrite(std::string bytes);
    void writeNext();
    void sendCancel();

    boost::asio::io_context &m_context;
    const ConnectionSettings m_settings;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    State m_state = State::New;
    // When the opening or the batch in progress is given up.
    TimePoint m_deadline;
    pg::FrameReader m_reader;
    std::array<char, 16384> m_input{};
    // Invariant: the front one is being written.
    std::deque<std::string> m_output;
    OpenHandler m_openHandler;
    std::function<void()> m_idleLoss;
    // Invariant: set exactly while m_state is Busy.
    std::unique_ptr<Work> m_work;
    // Names of prepared statements that the upstream confirmed on this connection.
    std::set<std::string, std::less<>> m_prepared;
    char m_transactionState = 'I';
    ProbeFailure m_lossKind = ProbeFailure::Reset;
    // What a failed opening is reported as.
    ErrorKind m_refusalKind = ErrorKind::NoPrimary;
    std::uint32_t m_processId = 0;
    std::uint32_t m_secretKey = 0;
};

} // namespace egrettide
