// A connection to an upstream as a client of the PostgreSQL protocol, version 3.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/failuredetector.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"
#include "runtime/host/timer.h"
#include "runtime/upstreams/upstreamlink.h"
#include "wire/pgwire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

// Implements UpstreamLink. A batch ends with exactly one Query or Sync message.
class UpstreamConnection : public UpstreamLink, public std::enable_shared_from_this<UpstreamConnection>
{
public:
    static std::shared_ptr<UpstreamConnection> create(boost::asio::io_context &context, ConnectionSettings settings);
    ~UpstreamConnection() override;
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    void open(TimePoint deadline, OpenHandler handler) override;
    void run(BatchOrder order, BatchHandler handler) override;
    // Asks the upstream to cancel the batch.
    void giveUp() override;
    void close() override;
    void abandon() override;
    bool usable() const override;
    bool busy() const override;
    bool isOpen() const override;
    char transactionState() const override;
    ProbeFailure lossKind() const override;
    void onIdleLoss(std::function<void()> handler) override;

private:
    enum class State { New, Opening, Idle, Busy, Closed };
    struct Work {
        BatchOrder order;
        BatchHandler handler;
        BatchAnswer answer;
        // Names of the injected Parse messages whose ParseComplete is still to be
        // removed from the answer, in order.
        std::deque<std::string> injectedNames;
        // True once the ReadyForQuery of the batch has been received.
        bool answered = false;
        std::vector<std::string> statusColumns;
        // True once the whole answer, including a requested status, has been received.
        bool complete = false;
    };

    UpstreamConnection(boost::asio::io_context &context, ConnectionSettings settings);
    void armTimer(TimePoint deadline);
    void onTimer();
    void startLogin();
    void readSome();
    void onBytes(std::size_t count);
    void handleMessage(const pg::Message &message);
    void handleLoginMessage(const pg::Message &message);
    void handleBatchMessage(const pg::Message &message);
    void keepRow(const pg::Message &message);
    void noteBatchMessage(const pg::Message &message);
    void handleStatusMessage(const pg::Message &message);
    void handleIdleMessage(const pg::Message &message);
    void finishOpen(tl::expected<void, Error> result);
    void finishBatch();
    void fail(BatchFailure::Reason reason, const std::string &message);
    void enqueueWrite(std::string bytes);
    void writeNext();
    void sendCancel();

    boost::asio::io_context &m_context;
    const ConnectionSettings m_settings;
    boost::asio::ip::tcp::socket m_socket;
    Timer m_timer;
    State m_state = State::New;
    // The deadline of the opening or of the batch in progress.
    TimePoint m_deadline;
    pg::FrameReader m_reader;
    std::array<char, 16384> m_input{};
    // Invariant: the first element is being written.
    std::deque<std::string> m_output;
    OpenHandler m_openHandler;
    std::function<void()> m_idleLoss;
    // Invariant: set exactly while m_state is Busy.
    std::unique_ptr<Work> m_work;
    // Names of the prepared statements that exist on this connection.
    std::set<std::string, std::less<>> m_prepared;
    char m_transactionState = 'I';
    ProbeFailure m_lossKind = ProbeFailure::Reset;
    // The error kind of a failed opening.
    ErrorKind m_refusalKind = ErrorKind::NoPrimary;
    std::uint32_t m_processId = 0;
    std::uint32_t m_secretKey = 0;
};

} // namespace egrettide
