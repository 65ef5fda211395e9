// The front is the part of a host that serves callers: it accepts their connections,
// PostgreSQL v3 by default, distributes them over the traffic threads and closes them
// gracefully when the host leaves.

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

// One finished request and its result, for metrics.
struct RequestObservation {
    std::string className;
    std::string tenant;
    std::string database;
    StatementKind kind = StatementKind::Write;
    // Empty when the upstream answered, even with an error of its own.
    std::optional<ErrorKind> error;
    // From receipt to answer, waits and retries included.
    std::chrono::microseconds latency{0};
    // The upstream that answered; empty when none did.
    std::string upstream;
    // True when the primary answered.
    bool byPrimary = false;
    // Why a read went to the primary, as nameOf(PrimaryReason); empty for all else.
    std::string primaryReason;
    // How many times the request was sent to a home.
    int attempts = 0;
};

// Functions that the daemon provides to its front. They are called on traffic threads,
// must be thread-safe and must not block.
struct FrontHooks {
    // The current configuration; null before the first one.
    std::function<std::shared_ptr<const Configuration>()> configuration;
    // Runs a request at the home of its upstream. The reply may arrive on any thread.
    ExecuteHook execute;
    // Asks the home to cancel the request with that id. Its reply still arrives.
    std::function<void(std::uint64_t requestId)> cancel;
    // Counts a request against the quota of its workspace; the handler receives an error
    // when the request must not start. It may be called on any thread, also synchronously.
    std::function<void(const std::string &workspace, TimePoint until, std::function<void(tl::expected<void, Error>)> handler)>
        admit =
            [](const std::string &, TimePoint, const std::function<void(tl::expected<void, Error>)> &handler) { handler({}); };
    std::function<TimePoint()> now = [] { return Clock::now(); };
    // Takes one retry from the budget; false when none is left. Without a budget a
    // failover causes a retry storm.
    std::function<bool()> takeRetry = [] { return true; };
    std::function<void(const RequestObservation &)> observe = [](const RequestObservation &) {};
};

namespace detail
{
class CallerLink;
class TrafficShard;
} // namespace detail

// Creates the connection object of one caller. A `refusal`, when set, is sent to the
// caller as the error that ends the connection; `closed` is called once.
using CallerLinkFactory = std::function<std::shared_ptr<detail::CallerLink>(
    std::shared_ptr<detail::TrafficShard> shard, boost::asio::ip::tcp::socket socket, std::optional<Error> refusal,
    std::function<void()> closed)>;

// Creates connections of the PostgreSQL protocol.
CallerLinkFactory postgresCallers();

// Fault injection: each flag disables one safeguard, for the tests that prove that the
// safeguard is needed.
struct FrontFaults {
    // Accepts any reply as the answer to the current request.
    bool acceptsLateReplies = false;
    // Reports "not run" also for writes that were sent.
    bool acceptsLastRefusal = false;
    // Lets a session continue outside the transaction that it lost.
    bool ignoresLostTransactions = false;
};

struct FrontOptions {
    // The availability zone of this host; its upstreams are preferred.
    std::string zone;
    std::size_t maxConnections = 5000;
    // The largest batch that is accepted from a caller.
    std::size_t maxBatchBytes = std::size_t{16} * 1024 * 1024;
    // Queued batches at which the front stops reading from the connection.
    std::size_t maxQueuedBatches = 64;
    // A connection whose startup and authentication take longer is closed: half-open
    // connections would otherwise exhaust maxConnections.
    milliseconds startupTimeout{10000};
    // Delays before a request that found no primary is retried: the first one, doubled
    // each time up to the second value. The announcement of a primary ends a wait at once,
    // so the delay only covers lost announcements.
    // With a constant delay of 20 ms, each waiting caller sends 150 requests to the homes of
    // the database within the second that a promotion takes, and this load slows down the
    // promotion itself.
    milliseconds primaryRetryDelay{20};
    milliseconds maximumPrimaryRetryDelay{320};
    // How long after its deadline a request may stay unanswered by its home before the
    // front answers the caller with an unknown outcome.
    milliseconds answerGrace{1000};
    // Signs session tokens, see SessionTokenCodec; the same on all hosts. When empty,
    // tokens carry only a checksum.
    std::string tokenKey;
    // True to report egrettide.session after each answer that raises the floor, the mark
    // that the reads of the session must reach.
    bool reportSession = true;
    // True to use RoutingPolicy::Baseline, for comparison measurements.
    bool baselineRouting = false;
    // Routing options; `zone` and `policy` are set from the fields above.
    RouterOptions router;
    // Seed of the random choice among equivalent upstreams.
    std::uint64_t seed = 1;
    // How long a request waits for the answer of the quota check.
    milliseconds quotaTimeout{1000};
    // Callers that connect before the first configuration: how many of a thread are held until there
    // is one, and for how long. Callers that accept an answer within a second have no use for more.
    std::size_t maxHeldStartups = 512;
    milliseconds startupHold{800};
    // The retry delay sent to one that is not held, or was held for too long.
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
    // Stops accepting and closes each connection as soon as it is idle outside a
    // transaction: requests and transactions in progress finish first.
    void beginDrain();
    // Closes each connection that is open now as soon as it is idle outside a transaction;
    // continues to accept new ones.
    void moveCallers();
    // Continues the startups that wait for the first configuration.
    void resumeStartups();
    // Number of open caller connections; zero after a complete drain.
    std::size_t openConnections() const;
    // Closes all connections immediately.
    void stop();
    // Passes a group hint from the home of `upstream` to the routers of all traffic
    // threads, so that routing uses it before the next answer arrives.
    void learn(const GroupHint &hint, const std::string &upstream);

private:
    std::shared_ptr<detail::FrontState> m_state;
};

} // namespace egrettide
