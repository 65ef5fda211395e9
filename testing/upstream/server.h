// The running part of an upstream stand-in: one io_context and thread with the
// listener, the sessions, the slots, the group member and its replication.

#pragma once

#include "runtime/host/timer.h"
#include "testing/upstream/executor.h"
#include "testing/upstream/groupmember.h"
#include "testing/upstream/slotpool.h"
#include "testing/upstream/sqlstatement.h"
#include "testing/upstream/upstreamstandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace egrettide::testing
{

class Replicator;
class Session;

// Name in the startup message of a replica's connection to its primary.
constexpr const char *replicationName = "standin_replication";

// All members but the constructor, run(), stop() and the control methods at the
// end belong to the server's own thread.
class Server
{
public:
    explicit Server(UpstreamOptions options);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    // Starts the thread.
    void run();
    // Ends the thread, also while frozen, and closes all sockets; `reset` closes them
    // with a TCP reset.
    void stop(bool reset);
    std::uint16_t port() const;

    boost::asio::io_context &io()
    {
        return m_io;
    }
    GroupMember &member()
    {
        return m_member;
    }
    SlotPool &slots()
    {
        return m_slots;
    }
    StatementCache &statements()
    {
        return m_statements;
    }
    const UpstreamOptions &options() const
    {
        return m_options;
    }
    UpstreamStatistics &counters()
    {
        return m_counters;
    }
    UpstreamStatistics statistics() const;
    bool isCut() const
    {
        return m_isCut;
    }

    // Counts a new connection, or throws the SqlError that refuses it.
    void addConnection();
    void removeConnection();
    void removeSession(std::uint32_t processId);
    void cancel(std::uint32_t processId, std::uint32_t secretKey);
    // Calls `wake` when the log has grown or the role has changed; spurious calls are
    // possible.
    void waitForEntries(std::function<void()> wake);
    // Schedules the replay of received entries.
    void scheduleReplay();

    // Throws 42883 when there is no such function.
    std::vector<ResultColumn> functionColumns(const std::string &name) const;
    StatementResult callFunction(const std::string &name, const std::vector<Value> &arguments);
    // Runs the actions that control functions deferred until their answer was sent.
    void runDeferred();

    // The control methods may be called from any thread.
    void freeze(bool frozen);
    // Runs `action` on the server's thread and waits for it, unless the server is
    // frozen; then the action runs after the freeze ends.
    void apply(std::function<void(Server &)> action);
    // Runs `action` on the server's thread and waits for it, also while frozen.
    void call(const std::function<void(Server &)> &action);

    // For use within apply(); changes to the options take effect at once.
    void setCut(bool isCut);
    void change(const std::function<void(UpstreamOptions &)> &edit);

private:
    void accept();
    void startSession(boost::asio::ip::tcp::socket socket);
    void wakeWaiters();
    void tick();
    milliseconds currentLag(TimePoint now);
    void replay();
    void freezeFor(milliseconds duration);
    void cutFor(milliseconds duration);
    void blockWhileFrozen();
    void set(const std::string &key, std::int64_t value);
    std::vector<Row> statisticsRows() const;
    Row statusRow() const;
    bool callGroup(const std::string &name, const std::vector<Value> &arguments);
    StatementResult groupAnswer(const std::string &name, std::optional<bool> granted) const;
    StatementResult logAnswer(const std::vector<Value> &arguments) const;

    UpstreamOptions m_options;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Timer m_tickTimer;
    Timer m_replayTimer;
    Timer m_rejoinTimer;
    GroupMember m_member;
    SlotPool m_slots;
    StatementCache m_statements;
    UpstreamStatistics m_counters;
    std::mt19937_64 m_random;
    std::unique_ptr<Replicator> m_replicator;
    std::map<std::uint32_t, std::weak_ptr<Session>> m_sessions;
    std::uint32_t m_nextProcessId = 1;
    std::vector<std::function<void()>> m_waiters;
    std::vector<std::function<void()>> m_deferred;
    bool m_isCut = false;
    // Connections accepted while cut off: they are served after the rejoin.
    std::vector<boost::asio::ip::tcp::socket> m_heldSockets;
    TimePoint m_nextBurst = TimePoint::max();
    TimePoint m_burstUntil;
    std::thread m_thread;

    // Guards the members below.
    std::mutex m_freezeMutex;
    std::condition_variable m_freezeChanged;
    bool m_isFrozen = false;
    bool m_isBlocked = false;
    bool m_isStopping = false;
    TimePoint m_frozenUntil = TimePoint::max();
};

} // namespace egrettide::testing
