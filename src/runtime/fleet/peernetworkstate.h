// Implementation class of PeerNetwork, shared by the files that implement it:
// peernetwork.cpp (both directions, timers), peeroutbound.cpp (dialed hosts and requests of
// this host) and peerinbound.cpp (accepted links and requests of peers).

#pragma once

#include "egrettide/core/linkprobe.h"
#include "runtime/fleet/peerlink.h"
#include "runtime/fleet/peernetwork.h"
#include "runtime/fleet/peerrequest.h"
#include "runtime/host/timer.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace egrettide
{

namespace detail
{

using boost::asio::ip::tcp;

// Retry delay reported for a home that is overloaded or not ready yet.
constexpr milliseconds overloadedRetry{100};

// A host that this host dials.
struct Outbound {
    explicit Outbound(const LinkProbeOptions &probing) : probe(probing)
    {
    }

    std::string host;
    std::string address;
    // Null while there is no link; never holds a closed link.
    std::shared_ptr<PeerLink> link;
    std::uint64_t linkId = 0;
    // Set while a connection attempt is in progress.
    std::shared_ptr<tcp::socket> dialing;
    TimePoint dialDeadline;
    // True once the peer's Hello has been accepted; only this host's Hello is sent before that.
    bool ready = false;
    // True for a peer of another availability zone.
    bool isElsewhere = false;
    std::map<std::uint64_t, PendingRequest> pending;
    // Ids in `pending` that are not sent yet, in order; may contain ids that are already answered.
    std::deque<std::uint64_t> unsent;
    // Estimated bytes of the unsent requests.
    std::size_t unsentBytes = 0;
    // Request bytes that may still be sent; negative by at most one frame.
    std::int64_t credit = 0;
    std::deque<hop::HopMessage> messages;
    OpenTransactions transactions;
    // Abandoned requests whose late answer may still open a transaction.
    absl::flat_hash_map<std::uint64_t, TransactionPlace> abandoned;
    milliseconds backoff{0};
    TimePoint nextAttempt;
    LinkProbe probe;
};

// A request of a peer that this host has not answered yet.
struct ServedRequest {
    std::size_t frameBytes = 0;
    std::uint64_t transaction = 0;
    StatementKind kind = StatementKind::Write;
};

// A link that a peer dialed.
struct Inbound {
    explicit Inbound(const LinkProbeOptions &probing) : probe(probing)
    {
    }

    PeerRef peer;
    std::shared_ptr<PeerLink> link;
    // False until the peer's Hello is received.
    bool ready = false;
    // True for a peer of another availability zone.
    bool isElsewhere = false;
    TimePoint acceptedAt;
    absl::flat_hash_map<std::uint64_t, ServedRequest> served;
    std::size_t servedBytes = 0;
    OpenTransactions transactions;
    LinkProbe probe;
};

} // namespace detail

// The implementation of PeerNetwork. Callbacks hold weak pointers to it.
class PeerNetwork::State : public std::enable_shared_from_this<PeerNetwork::State>
{
    using tcp = boost::asio::ip::tcp;
    using Outbound = detail::Outbound;
    using Inbound = detail::Inbound;
    using PendingRequest = detail::PendingRequest;
    using TransactionPlace = detail::TransactionPlace;
    using Deadlines = detail::Deadlines;
    using DeadlineKey = detail::DeadlineKey;

public:
    State(boost::asio::io_context &context, PeerNetworkOptions options, PeerNetworkHooks hooks)
        : m_context(context)
        , m_options(std::move(options))
        , m_probing{m_options.pingInterval, m_options.quietInterval, m_options.messageInterval}
        , m_hooks(std::move(hooks))
        , m_acceptor(context)
        , m_housekeeping(context)
        , m_deadlineTimer(context)
        , m_random(m_options.seed)
    {
    }

    void start()
    {
        scheduleHousekeeping();
    }

    tl::expected<void, Error> listen();
    std::uint16_t port() const;
    void execute(const std::string &peer, const std::string &address, StatementRequest request, ReplyHandler handler);
    void cancel(const std::string &peer, std::uint64_t requestId);
    void send(const std::string &peer, const std::string &address, hop::HopMessage message);
    void sendIfLinked(const std::string &peer, const hop::HopMessage &message);
    void sendOn(const PeerRef &peer, const hop::HopMessage &message);
    void sendToAll(const hop::HopMessage &message);
    void drop(const std::string &host);
    void stop();

    std::size_t unansweredRequests() const;
    std::size_t unwrittenBytes() const;
    std::size_t linkCount() const;

    PeerTraffic traffic() const
    {
        return m_traffic;
    }

    TimePoint lastHeardElsewhere() const
    {
        return TimePoint{Clock::duration{m_lastHeardElsewhere.load(std::memory_order_relaxed)}};
    }

private:
    // Dialing.
    Outbound &outbound(const std::string &peer, const std::string &address);
    void dial(Outbound &to);
    void onConnected(const std::string &host, const std::shared_ptr<tcp::socket> &socket, const boost::system::error_code &error);
    void failDial(Outbound &to, const std::string &reason);
    void onOutboundHello(Outbound &to, const hop::Hello &hello);
    void increaseBackoff(Outbound &to);

    // Requests of this host.
    void flush(Outbound &to);
    void fillRequests(const std::string &host, std::uint64_t linkId, std::string &buffer);
    void appendRequest(Outbound &to, std::uint64_t id, PendingRequest &pending, std::string &buffer);
    void onOutboundMessage(const std::string &host, std::uint64_t linkId, hop::HopMessage message, std::size_t bytes);
    void onReply(Outbound &to, StatementReply reply);
    void onLateReply(Outbound &to, const StatementReply &reply);
    void onOutboundClosed(const std::string &host, std::uint64_t linkId);
    void failAll(Outbound &to, const std::string &reason);
    void answer(Outbound &to, std::uint64_t id, Error error);
    void abandonRequest(Outbound &to, std::uint64_t id);
    void rollBack(Outbound &to, const TransactionPlace &place, std::uint64_t transaction);
    void post(ReplyHandler handler, StatementReply reply);
    bool isSilent(const Outbound &to, TimePoint now) const;
    void redial(Outbound &to);
    std::optional<Error> refusalFor(const Outbound &to, const StatementRequest &request, std::size_t bytes) const;
    void refuse(const StatementRequest &request, ReplyHandler handler, Error error);

    // Requests of peers.
    void accept();
    void onAccepted(tcp::socket socket);
    void onInboundMessage(std::uint64_t linkId, hop::HopMessage message, std::size_t bytes);
    bool onInboundHello(Inbound &from, const hop::HopMessage &message);
    void serve(Inbound &from, StatementRequest request, std::size_t bytes);
    void sendReply(std::uint64_t linkId, std::uint64_t requestId, StatementReply reply);
    void onInboundClosed(std::uint64_t linkId);

    // Both.
    std::size_t writeMessage(PeerLink &link, const hop::HopMessage &message);
    void deliver(const PeerRef &from, hop::HopMessage message);
    void countSent(const hop::HopMessage &message, std::size_t bytes);
    void countReceived(const hop::HopMessage &message, std::size_t bytes);
    void noteHeard(bool isElsewhere);
    Inbound *readyInboundOf(const std::string &host);

    // Timers.
    void scheduleHousekeeping();
    milliseconds housekeepingInterval() const;
    void runHousekeeping();
    void checkOutbound(Outbound &to, TimePoint now);
    void sendMessage(PeerLink &link, LinkProbe &probe, const hop::HopMessage &message);
    void probe(PeerLink &link, LinkProbe &probe, const std::string &peer, bool working, TimePoint now);
    void markAllUnproven(TimePoint now);
    void closeIdle(Outbound &to);
    void checkInbound(Inbound &from, TimePoint now);
    Deadlines::iterator armDeadline(TimePoint deadline, const DeadlineKey &key);
    void scheduleDeadlines();
    void onDeadlines();

    boost::asio::io_context &m_context;
    const PeerNetworkOptions m_options;
    const LinkProbeOptions m_probing;
    PeerNetworkHooks m_hooks;
    tcp::acceptor m_acceptor;
    Timer m_housekeeping;
    Timer m_deadlineTimer;
    std::mt19937_64 m_random;
    bool m_stopped = false;
    // True while accepting is suspended until the next housekeeping, for example when the process
    // has no free file descriptors: retrying at once would keep the thread busy without effect.
    bool m_acceptFailed = false;
    TimePoint m_lastHousekeepingAt = Clock::now();
    TimePoint m_checkSilenceFrom;
    std::uint64_t m_lastLinkId = 0;
    std::uint64_t m_lastRollback = 0;
    std::uint64_t m_lastPing = 0;
    // unique_ptr keeps references to an entry valid while others are added and removed.
    std::map<std::string, std::unique_ptr<Outbound>> m_outbound;
    std::map<std::uint64_t, std::unique_ptr<Inbound>> m_inbound;
    std::multimap<std::string, std::uint64_t> m_inboundByHost;
    Deadlines m_deadlines;
    PeerTraffic m_traffic;
    // Ticks of the clock; read by other threads.
    std::atomic<Clock::rep> m_lastHeardElsewhere{0};
};

} // namespace egrettide
