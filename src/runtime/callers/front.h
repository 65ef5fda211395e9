// The callers' side of an entry host: accepts PostgreSQL v3 connections, spreads
// them over the traffic threads and lets them end in good order when the host
// leaves.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/request.h"
#include "egrettide/core/router.h"
#include "egrettide/core/types.h"
#include "runtime/upstreams/upstreamdialect.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// What one request was and how it ended, for metrics.
struct RequestObservation {
    std::string className;
    std::string tenant;
    std::string database;
    StatementKind kind = StatementKind::Write;
    // Nothing when the upstream answered, be it with an error of its own.
    std::optional<ErrorKind> error;
    // From receipt to the answer, waits and retries included.
    std::chrono::microseconds latency{0};
    // The upstream that answered; empty when none did.
    std::string upstream;
    // True when the primary answered.
    bool byPrimary = false;
    // Why a read went to the primary, as nameOf(PrimaryReason); empty for all else.
    std::string primaryReason;
    // How many times it was handed to a home.
    int attempts = 0;
};

// What the daemon lends to its front. Hooks are called on traffic threads and
// must be thread-safe; none may block.
struct FrontHooks {
    // The configuration in force, or null while none is known.
    std::function<std::shared_ptr<const Configuration>()> configuration;
    // Runs a request at its home. The reply may come on any thread.
    ExecuteHook execute;
    // Asks the home to stop the request of that id. Its reply still comes.
    std::function<void(std::uint64_t requestId)> cancel;
    // Counts a request against the quota of its workspace; the handler gets an error when it
    // must not start. It may be called on any thread, from within the call too.
    std::function<void(const std::string &workspace, TimePoint until, std::function<void(tl::expected<void, Error>)> handler)>
        admit =
            [](const std::string &, TimePoint, const std::function<void(tl::expected<void, Error>)> &handler) { handler({}); };
    std::function<TimePoint()> now = [] { return Clock::now(); };
    // Takes one retry from the budget, or says that there is none left. Without
    // a budget a failover turns into a storm of retries.
    std::function<bool()> takeRetry = [] { return true; };
    std::function<void(const RequestObservation &)> observe = [](const RequestObservation &) {};
};

namespace detail
{
class CallerLink;
class TrafficShard;
} // namespace detail

// Makes the connection of one caller in the callers' protocol. `refusal`, when set,
// is what the caller is told instead of being served; `closed` is called once.
using CallerLinkFactory = std::function<std::shared_ptr<detail::CallerLink>(
    std::shared_ptr<detail::TrafficShard> shard, boost::asio::ip::tcp::socket socket, std::optional<Error> refusal,
    std::function<void()> closed)>;

// Callers that speak PostgreSQL.
CallerLinkFactory postgresCallers();

// Switches single safeguards off, for the tests that prove that these are needed.
struct FrontFaults {
    // Takes any reply for the answer to the request under way.
    bool takesLateReplies = false;
    // Says "not run" also of writes that were sent.
    bool trustsNotRun = false;
    // Lets a session go on outside the transaction that it lost.
    bool forgetsLostTransactions = false;
};

struct FrontOptions {
    // The zone of this host; upstreams there are preferred.
    std::string zone;
    std::size_t maxConnections = 5000;
    // The largest batch that is taken from a caller.
    std::size_t maxBatchBytes = std::size_t{16} * 1024 * 1024;
    // Batches that wait behind the one under way before the front stops reading.
    std::size_t maxQueuedBatches = 64;
    // A connection that has not sent its startup and password by then is closed:
    // half-open connections would otherwise use up maxConnections.
    milliseconds startupTimeout{10000};
    // How long a request that found no primary waits for news of one before it asks again;
    // twice as long each time, up to the second.
    //
    // What goes wrong with equal pauses: all homes of a database are asked by every waiting
    // caller every 20 ms, 150 times within the second that a promotion takes, and it is
    // their processors that the promotion waits for. News ends a wait at once, so that the
    // pause only guards against news that are lost.
    milliseconds primaryPoll{20};
    milliseconds longestPrimaryPoll{320};
    // How long past its deadline a request may stay unanswered by its home before
    // the front answers the caller itself with an unknown outcome.
    milliseconds answerGrace{1000};
    // Signs session tokens, see SessionTokenCodec; all hosts share it. Empty: a
    // checksum only.
    std::string tokenKey;
    // True to report egrettide.session after each answer that moves the floor.
    bool reportSession = true;
    // True for RoutingPolicy::Baseline, to measure against.
    bool baselineRouting = false;
    // How requests are routed; zone and policy follow from the fields above.
    RouterOptions router;
    // Seeds the choice among equal upstreams.
    std::uint64_t seed = 1;
    // How long the count of a workspace's quota is waited for.
    milliseconds quotaPatience{1000};
    // What a caller that came before any configuration is told to wait.
    milliseconds noConfigurationRetry{1000};
    CallerLinkFactory makeCaller = postgresCallers();
    // As UpstreamDialect::rollback.
    std::string rollback = postgresDialect()->rollback;
    FrontFaults faults;
};

namespace detail
{
class FrontState;
}

// Accepts callers on one io_context and serves each on one of several others.
// Its functions may be called from any thread, the destructor only after the
// io_contexts have stopped running. The io_contexts have to outlive it.
class Front
{
public:
    // `trafficContexts` must not be empty; each is run by one thread.
    Front(boost::asio::io_context &acceptContext, const std::vector<boost::asio::io_context *> &trafficContexts,
          FrontOptions options, FrontHooks hooks);
    ~Front();
    Front(const Front &) = delete;
    Front &operator=(const Front &) = delete;

    // Starts to accept on an IP address; port 0 picks a free one.
    tl::expected<void, Error> listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    // Stops accepting and tells each connection to go as soon as it is idle
    // outside a transaction: what is under way is finished first.
    void beginDrain();
    // Tells each connection that is open now to go as soon as it is idle outside a
    // transaction, and goes on accepting others.
    void moveCallers();
    // Caller connections that are open now; zero means that a drain is complete.
    std::size_t openConnections() const;
    // Closes everything at once.
    void stop();
    // Takes in what the home of `upstream` says of a group, so that routing knows it
    // before the next answer comes.
    void learn(const GroupHint &hint, const std::string &upstream);

private:
    std::shared_ptr<detail::FrontState> m_state;
};

} // namespace egrettide
