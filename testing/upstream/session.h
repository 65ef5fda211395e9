// One connection of a caller to the upstream stand-in: the PostgreSQL v3 protocol
// with simple and extended queries, transactions and cancellation.

#pragma once

#include "runtime/host/timer.h"
#include "testing/upstream/executor.h"
#include "testing/upstream/slotpool.h"
#include "wire/pgwire.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egrettide::testing
{

class Server;

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Server &server, boost::asio::ip::tcp::socket socket, std::uint32_t processId, std::uint32_t secretKey);
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void start();
    // Ends the running or queued statement with SQLSTATE 57014, if the key matches.
    void cancel(std::uint32_t secretKey);
    // Continues with the reads and writes held back while the upstream was cut off.
    void resume();
    void close(bool reset);

private:
    struct Prepared {
        std::shared_ptr<const ParsedText> text;
        std::vector<std::uint32_t> declaredTypes;
    };
    struct Portal {
        std::shared_ptr<const ParsedText> text;
        std::vector<Value> parameters;
        std::vector<std::uint16_t> resultFormats;
    };
    // The one statement being run. `done` writes its answer and may throw SqlError.
    struct Running {
        std::shared_ptr<const ParsedText> owner;
        const Statement *statement = nullptr;
        std::vector<Value> parameters;
        std::function<void(const StatementResult &)> done;
    };
    struct SimpleQuery {
        std::shared_ptr<const ParsedText> text;
        std::size_t next = 0;
    };

    void read();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    void flush();
    void onWritten(const boost::system::error_code &error);

    void readStartup();
    void onStartup(const pg::StartupMessage &startup);
    void openAfterDelay();
    void completeStartup();
    void refuse(const SqlError &error);

    // Handles messages until one has to wait.
    void processMessages();
    void handle(const pg::Message &message);
    void onQuery(const std::string &payload);
    void runNextStatement();
    void endQuery();
    void onParse(pg::PayloadReader payload);
    void onBind(pg::PayloadReader payload);
    void onDescribe(pg::PayloadReader payload);
    void onExecute(pg::PayloadReader payload);
    void onClose(pg::PayloadReader payload);
    void onSync();
    const Prepared &preparedNamed(const std::string &name) const;
    const Portal &portalNamed(const std::string &name) const;
    std::vector<std::uint32_t> typesOf(const Prepared &prepared) const;
    void describeColumns(const ParsedText &text, const std::vector<std::uint16_t> &formats);

    void run(Running running);
    void finishRunning();
    void checkState(const Statement &statement) const;
    bool needsSlot(const Statement &statement) const;
    bool waitsForLog(const Running &running);
    std::chrono::microseconds durationOf(const Running &running) const;
    StatementResult execute(const Running &running);
    StatementResult executeTransaction(const TransactionStatement &statement);
    StatementResult executeFunction(const FunctionStatement &function, const std::vector<Value> &parameters);
    StatementResult executeShow(const std::string &name) const;
    StatementResult executeDeallocate(const DeallocateStatement &statement);
    StatementResult executeInTransaction(const Running &running);
    std::vector<ResultColumn> columnsOf(const Statement &statement) const;
    const Transaction &visibleTransaction() const;
    void commitImplicit();
    void fail(const SqlError &error);

    void writeRows(const StatementResult &result, const std::vector<std::uint16_t> &formats);
    void writeReady();

    Server &m_server;
    boost::asio::ip::tcp::socket m_socket;
    Timer m_openTimer;
    const std::uint32_t m_processId;
    const std::uint32_t m_secretKey;
    std::array<char, 16384> m_buffer{};
    pg::FrameReader m_reader;
    std::string m_output;
    std::string m_writing;
    bool m_isWriting = false;
    bool m_isOpen = false;
    bool m_isCounted = false;
    // The caller sends no more bytes; received messages are still processed.
    bool m_hasReachedEnd = false;
    bool m_isClosing = false;
    bool m_isClosed = false;
    // A read that ended while the upstream was cut off.
    std::optional<std::pair<boost::system::error_code, std::size_t>> m_heldRead;
    // Set exactly while m_heldRead is set: no pending read keeps the session alive then,
    // and a destroyed session would stay in the connection count permanently.
    std::shared_ptr<Session> m_heldSelf;

    std::map<std::string, Prepared> m_prepared;
    std::map<std::string, Portal> m_portals;
    std::map<std::string, std::string> m_settings;
    // 'I' idle, 'T' in a transaction, 'E' in a failed one.
    char m_state = 'I';
    // Set in state 'T', and in state 'I' while an implicit transaction is open.
    std::optional<Transaction> m_transaction;
    std::optional<SimpleQuery> m_query;
    bool m_skipsToSync = false;
    // A statement waits for its slot or for the log; no other message is handled.
    bool m_isBusy = false;
    Running m_running;
    SlotPool::Ticket m_ticket = 0;
};

} // namespace egrettide::testing
