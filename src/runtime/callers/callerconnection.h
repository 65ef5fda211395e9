// One caller's connection: startup, authentication, reading batches and writing
// answers, graceful close. CallerSession executes the batches.

#pragma once

#include "runtime/callers/callerlink.h"
#include "runtime/callers/trafficshard.h"
#include "runtime/host/timer.h"
#include "runtime/sessions/callersession.h"
#include "wire/batchassembler.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace egrettide::detail
{

class CallerConnection : public CallerLink, public std::enable_shared_from_this<CallerConnection>
{
public:
    // A `refusal`, when set, is sent to the caller as the error that ends the
    // connection. `closed` is called once.
    CallerConnection(std::shared_ptr<TrafficShard> shard, boost::asio::ip::tcp::socket socket, std::optional<Error> refusal,
                     std::function<void()> closed);
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void post(std::function<void()> action) override;
    void start() override;
    void drain() override;
    void close() override;

private:
    enum class Phase {
        Startup,
        // The startup waits for the first configuration; nothing more is read.
        Held,
        Password,
        Ready,
        // Only the remaining output is still written, and input is discarded.
        Closing,
        Closed,
    };
    struct QueuedBatch {
        pg::CallerBatch batch;
        TimePoint receivedAt;
    };

    void setSocketOptions();
    void armTimer(milliseconds timeout);

    void read();
    void onReadable();
    void onInputEnd();
    void process();
    bool processStartup();
    bool onStartup(const pg::StartupMessage &startup);
    bool beginSession(pg::StartupMessage startup);
    bool hold();
    void endHold();
    void checkStartup();
    void negotiateVersion(const pg::StartupMessage &startup);
    bool processPassword();
    void authenticate();
    void openSession();
    bool mayRead() const;

    void takeBatches();
    void pump();
    void runNext();
    void onAnswer(std::string_view answer);
    void onIdle();

    void write(std::string_view bytes);
    void flush();
    void onWritten(const boost::system::error_code &error);
    // Sends a fatal error and closes once the caller had time to read it.
    void sendFinalError(std::string_view sqlState, const Error &error);
    void endAfterOutput();
    void linger();
    void end(bool stopRequest);

    std::shared_ptr<TrafficShard> m_shard;
    boost::asio::ip::tcp::socket m_socket;
    std::optional<Error> m_refusal;
    std::function<void()> m_closed;
    // Bounds the startup, and later the close.
    Timer m_timer;

    Phase m_phase = Phase::Startup;
    pg::BatchAssembler m_assembler;
    pg::StartupMessage m_startup;
    // Set while the startup is held.
    StartupHold m_hold;
    int m_encryptionRequests = 0;
    std::shared_ptr<const Configuration> m_configuration;
    std::shared_ptr<CallerSession> m_session;
    CancelKey m_cancelKey;

    // Complete batches that have not started.
    std::deque<QueuedBatch> m_queue;
    std::size_t m_queuedBytes = 0;
    // True while the session runs a batch. Invariant: at most one batch runs at a
    // time, so answers are sent in the order of the batches.
    bool m_isBusy = false;
    bool m_isPumping = false;
    // The error that made the stream unreadable; the connection ends after the batches before it.
    std::optional<Error> m_streamError;
    // True when the caller has closed its sending side or sent Terminate.
    bool m_inputEnded = false;
    bool m_draining = false;

    bool m_isReading = false;
    std::string m_outgoing;
    // Invariant: not empty exactly while a write is in progress.
    std::string m_writing;
};

} // namespace egrettide::detail
