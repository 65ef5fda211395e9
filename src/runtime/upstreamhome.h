// The home of one upstream: it alone holds the upstream's connections, decides
// who gets a slot, makes reads wait until the upstream is fresh enough, keeps
// each transaction on its own connection, and holds a write's answer back until
// the commit is confirmed. It lives on one traffic thread.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"
#include "runtime/groupobserver.h"
#include "runtime/upstreamconnection.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace egrettide
{

// Bounds of a home.
struct UpstreamHomeSettings {
    std::string upstreamUser = "egrettide";
    // Names the run of this host: transaction ids of an earlier run never match.
    std::uint64_t firstTransaction = 1;
    // A transaction that sends nothing for this long is rolled back: it holds
    // locks and one of few connections.
    milliseconds idleTransactionTimeout{60000};
    milliseconds openTimeout{2000};
    // Connections of the upstream left free for control calls of all hosts.
    int controlConnections = 6;
    // Idle connections kept open.
    int warmConnections = 2;
};

struct UpstreamHomeHooks {
    // Confirms a commit; the handler may be called from any thread.
    std::function<void(LogMark mark, TimePoint deadline, GroupObserver::CommitHandler)> awaitCommit;
    // Somebody waits for a newer snapshot until `deadline`.
    std::function<void(TimePoint deadline)> hurry;
};

// Counters since the start, and what is in use now.
struct UpstreamHomeStats {
    std::string database;
    std::string upstream;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknownOutcomes = 0;
    std::uint64_t notFresh = 0;
    std::uint64_t connectionsOpened = 0;
    std::size_t connections = 0;
    std::size_t busyConnections = 0;
    std::size_t waiting = 0;
    std::size_t transactions = 0;
};

// Used from the thread of its io_context alone.
class UpstreamHome : public std::enable_shared_from_this<UpstreamHome>
{
public:
    static std::shared_ptr<UpstreamHome> create(boost::asio::io_context &context,
                                                std::shared_ptr<const Configuration> configuration, const std::string &database,
                                                const std::string &upstream, UpstreamHomeSettings settings,
                                                UpstreamHomeHooks hooks);
    ~UpstreamHome();
    UpstreamHome(const UpstreamHome &) = delete;
    UpstreamHome &operator=(const UpstreamHome &) = delete;

    // Runs a request. `handler` is called exactly once, at the latest shortly
    // after the request's deadline. `frontKey` names the front that sent it, for
    // cancel and abandonFront.
    void execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler);
    // Gives a request up: not run when it was not sent yet, else the upstream is
    // asked to cancel and the outcome is unknown (reads: not run).
    void cancel(const std::string &frontKey, std::uint64_t id);
    // The front is gone: its requests are given up, its transactions rolled back.
    void abandonFront(const std::string &frontKey);

    void onSnapshot(std::shared_ptr<const GroupSnapshot> snapshot);
    void update(std::shared_ptr<const Configuration> configuration);

    // New writes queue from now on; `quiet` is called once no write and no
    // transaction is in progress.
    void pauseWrites(std::function<void()> quiet);
    // Queued writes run, or are answered Moved when the primary changed.
    void resumeWrites();

    // Takes nothing new but batches of open transactions; `drained` is called
    // once nothing is in progress and the connections are closed.
    void drain(std::function<void()> drained);
    // Gives everything up at once.
    void close();

    UpstreamHomeStats stats() const;

private:
    class Impl;
    explicit UpstreamHome(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
