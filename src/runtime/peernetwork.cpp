// Dialling, matching of answers to requests, flow control and housekeeping.

#include "runtime/peernetwork.h"

#include "runtime/peerlink.h"
#include "wire/pgwire.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace egrettide
{

namespace
{

using boost::asio::ip::tcp;

// Added to the size of a batch for what surrounds it in a frame.
constexpr std::size_t requestOverheadBytes = 512;
// Messages other than requests that wait for a link; older ones are dropped,
// since all of them are repeated by whoever needs them.
constexpr std::size_t maxWaitingMessages = 64;
// Silent ping intervals after which a link with work on it is given up.
constexpr int silentPings = 3;
// A dialler closes idle links; an accepted link that is silent for so many idle
// timeouts has lost its dialler without notice.
constexpr int silentIdleTimeouts = 2;
constexpr milliseconds overloadedRetry{100};
constexpr int listenBacklog = 512;
// Numbers of rollbacks that the network sends by itself, apart from any front's.
constexpr std::uint64_t rollbackIds = 1ULL << 63U;
constexpr std::chrono::seconds rollbackTimeout{10};

tl::expected<tcp::endpoint, Error> parseEndpoint(const std::string &address)
{
    const Error bad{ErrorKind::InvalidInput,
                    "The peer address '" + address + "' is not IP:port; correct it in the host's settings.", milliseconds{0}};
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return tl::unexpected(bad);
    }
    std::string ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    const std::string digits = address.substr(colon + 1);
    const bool isNumber = !digits.empty() && digits.size() <= 5
        && std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(ip, error);
    if (error || !isNumber || std::stoi(digits) > 65535) {
        return tl::unexpected(bad);
    }
    return tcp::endpoint(parsed, static_cast<std::uint16_t>(std::stoi(digits)));
}

std::size_t estimatedBytes(const StatementRequest &request)
{
    std::size_t bytes = requestOverheadBytes + request.batch.size();
    for (const PreparedStatement &statement : request.prepared) {
        bytes += statement.name.size() + statement.parseMessage.size();
    }
    return bytes;
}

// True when a simple query goes on after a semicolon; one within a string counts
// too, which errs on the safe side.
bool isTextOfSeveral(const std::string &batch)
{
    const std::size_t semicolon = batch.find(';');
    if (batch.empty() || batch.front() != 'Q' || semicolon == std::string::npos) {
        return false;
    }
    return std::any_of(batch.begin() + static_cast<std::ptrdiff_t>(semicolon) + 1, batch.end(),
                       [](char c) { return c != '\0' && c != ' ' && c != ';' && c != '\n' && c != '\r' && c != '\t'; });
}

// Transactions that are open at the home over one link, as both ends can tell
// from the answers that went over it.
class OpenTransactions
{
public:
    void onReply(std::uint64_t requestTransaction, const StatementReply &reply)
    {
        if (requestTransaction != 0 && requestTransaction != reply.transaction) {
            m_open.erase(requestTransaction);
        }
        if (reply.transaction != 0) {
            m_open.insert(reply.transaction);
        }
    }

    void onFrontGone(std::uint64_t transaction)
    {
        if (transaction == 0) {
            m_open.clear();
        } else {
            m_open.erase(transaction);
        }
    }

    bool empty() const
    {
        return m_open.empty();
    }

private:
    absl::flat_hash_set<std::uint64_t> m_open;
};

// Names a request across peers, in the order of deadlines.
using DeadlineKey = std::pair<std::string, std::uint64_t>;
using Deadlines = std::multimap<TimePoint, DeadlineKey>;

// A request of this host that is not answered yet.
struct PendingRequest {
    StatementRequest request;
    ReplyHandler handler;
    // Invariant: true from the moment at which its frame was handed to the socket.
    bool sent = false;
    // Kept apart, since the batch is dropped once it is sent.
    bool mayHaveCommitted = false;
    std::size_t queuedBytes = 0;
    // Its entry among the deadlines, which goes when the request goes.
    Deadlines::iterator deadline;
};

// Where a transaction lives that nobody here will use.
struct TransactionPlace {
    std::string database;
    std::string upstream;
};

// A host that we dial.
struct Outbound {
    std::string host;
    std::string address;
    // Unset while there is none; closed links are never kept here.
    std::shared_ptr<PeerLink> link;
    std::uint64_t linkId = 0;
    // While set, a connection attempt is under way.
    std::shared_ptr<tcp::socket> dialing;
    TimePoint dialDeadline;
    // True once the peer's Hello was accepted; nothing but our Hello is sent before.
    bool ready = false;
    std::map<std::uint64_t, PendingRequest> pending;
    // Ids in `pending` that are not sent yet, in order; may hold answered ids.
    std::deque<std::uint64_t> unsent;
    // Estimated bytes of the unsent requests.
    std::size_t unsentBytes = 0;
    // Request bytes that may still be sent; goes below 0 by at most one frame.
    std::int64_t credit = 0;
    std::deque<hop::HopMessage> messages;
    OpenTransactions transactions;
    // Requests given up whose late answer may still open a transaction.
    absl::flat_hash_map<std::uint64_t, TransactionPlace> abandoned;
    milliseconds backoff{0};
    TimePoint nextAttempt;
    std::uint64_t pingNumber = 0;
    TimePoint lastPingAt;
    // Pings in a row after which nothing at all came.
    int missedPings = 0;
};

// A request of a peer that this host has not answered yet.
struct ServedRequest {
    std::size_t frameBytes = 0;
    std::uint64_t transaction = 0;
    StatementKind kind = StatementKind::Write;
};

// A link that a peer dialled.
struct Inbound {
    PeerRef peer;
    std::shared_ptr<PeerLink> link;
    // Unset until the peer's Hello came.
    bool ready = false;
    TimePoint acceptedAt;
    absl::flat_hash_map<std::uint64_t, ServedRequest> served;
    std::size_t servedBytes = 0;
    OpenTransactions transactions;
};

Error lostError(const PendingRequest &pending, const std::string &reason, milliseconds retryAfter, bool admitsUnknown)
{
    if (admitsUnknown && pending.sent && pending.mayHaveCommitted) {
        return Error{ErrorKind::UnknownOutcome,
                     "The request had left for another host when " + reason
                         + "; it may have run. Check its effect before sending it again.",
                     milliseconds{0}};
    }
    return Error{ErrorKind::Moved, "The request did not run, since " + reason + "; send it again.", retryAfter};
}

Error deadlineError(const PendingRequest &pending)
{
    if (pending.sent && pending.mayHaveCommitted) {
        return Error{ErrorKind::UnknownOutcome,
                     "The deadline passed while the request was at its home; it may have run. "
                     "Check its effect before sending it again.",
                     milliseconds{0}};
    }
    return Error{ErrorKind::DeadlineExceeded,
                 "The deadline passed before the request was done and nothing of it remains; send it again with more time.",
                 milliseconds{0}};
}

} // namespace

bool detail::mayHaveCommitted(const StatementRequest &request)
{
    if (request.kind == StatementKind::Commit) {
        return true;
    }
    return request.kind == StatementKind::Write && (request.transaction == 0 || isTextOfSeveral(request.batch));
}

class PeerNetwork::State : public std::enable_shared_from_this<PeerNetwork::State>
{
public:
    State(boost::asio::io_context &context, PeerNetworkOptions options, PeerNetworkHooks hooks)
        : m_context(context)
        , m_options(std::move(options))
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
    void sendOn(const PeerRef &peer, hop::HopMessage message);
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

private:
    // Dialling.
    Outbound &outbound(const std::string &peer, const std::string &address);
    void dial(Outbound &to);
    void onConnected(const std::string &host, const std::shared_ptr<tcp::socket> &socket, const boost::system::error_code &error);
    void failDial(Outbound &to, const std::string &reason);
    void onHelloOf(Outbound &to, const hop::Hello &hello);
    void raiseBackoff(Outbound &to);

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
    void giveUp(Outbound &to, std::uint64_t id);
    void rollBack(Outbound &to, const TransactionPlace &place, std::uint64_t transaction);
    void post(ReplyHandler handler, StatementReply reply);
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
    Inbound *readyInboundOf(const std::string &host);

    // Timers.
    void scheduleHousekeeping();
    void keepHouse();
    void keepOutbound(Outbound &to, TimePoint now);
    void pingOutbound(Outbound &to, TimePoint now);
    void closeIdle(Outbound &to);
    void keepInbound(Inbound &from, TimePoint now);
    Deadlines::iterator armDeadline(TimePoint deadline, const DeadlineKey &key);
    void scheduleDeadlines();
    void onDeadlines();

    boost::asio::io_context &m_context;
    const PeerNetworkOptions m_options;
    PeerNetworkHooks m_hooks;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_housekeeping;
    boost::asio::steady_timer m_deadlineTimer;
    std::mt19937_64 m_random;
    bool m_stopped = false;
    // True while accepting waits for the next housekeeping, as when the process
    // is out of descriptors: trying on at once would only burn the thread.
    bool m_acceptFailed = false;
    TimePoint m_keptHouseAt = Clock::now();
    TimePoint m_judgesSilenceFrom;
    std::uint64_t m_lastLinkId = 0;
    std::uint64_t m_lastRollback = 0;
    // unique_ptr: references to an entry stay good while others come and go.
    std::map<std::string, std::unique_ptr<Outbound>> m_outbound;
    std::map<std::uint64_t, std::unique_ptr<Inbound>> m_inbound;
    std::multimap<std::string, std::uint64_t> m_inboundByHost;
    Deadlines m_deadlines;
    PeerTraffic m_traffic;
};

tl::expected<void, Error> PeerNetwork::State::listen()
{
    const auto endpoint = parseEndpoint(m_options.listenAddress);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    boost::system::error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(*endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(listenBacklog, error);
    }
    if (error) {
        return tl::unexpected(Error{ErrorKind::InvalidInput,
                                    "Cannot listen for peers on " + m_options.listenAddress + " (" + error.message()
                                        + "); free the port or set another peer address.",
                                    milliseconds{0}});
    }
    accept();
    return {};
}

std::uint16_t PeerNetwork::State::port() const
{
    boost::system::error_code error;
    const tcp::endpoint endpoint = m_acceptor.local_endpoint(error);
    return error ? 0 : endpoint.port();
}

void PeerNetwork::State::execute(const std::string &peer, const std::string &address, StatementRequest request,
                                 ReplyHandler handler)
{
    if (m_stopped) {
        refuse(request, std::move(handler),
               Error{ErrorKind::Leaving, "This host is stopping; use another one.", milliseconds{0}});
        return;
    }
    Outbound &to = outbound(peer, address);
    const TimePoint now = Clock::now();
    if (!to.link && !to.dialing && now < to.nextAttempt) {
        const auto wait = std::chrono::ceil<milliseconds>(to.nextAttempt - now);
        refuse(request, std::move(handler),
               Error{ErrorKind::Moved, "The home " + peer + " cannot be reached right now; send the request again.", wait});
        return;
    }
    const std::size_t bytes = estimatedBytes(request);
    if (bytes > hop::maxFrameBytes) {
        refuse(request, std::move(handler),
               Error{ErrorKind::Unsupported, "The request is too large to be passed on; split it.", milliseconds{0}});
        return;
    }
    if (to.unsentBytes + bytes > m_options.queueBytes) {
        refuse(request, std::move(handler),
               Error{ErrorKind::Overloaded, "The link to home " + peer + " is full; send the request again later.",
                     overloadedRetry});
        return;
    }
    const std::uint64_t id = request.id;
    if (to.pending.contains(id)) {
        refuse(request, std::move(handler),
               Error{ErrorKind::InvalidInput, "Two requests of this front have one id; number them uniquely.", milliseconds{0}});
        return;
    }
    const auto deadline = armDeadline(request.deadline, DeadlineKey{peer, id});
    const bool mayHaveCommitted = detail::mayHaveCommitted(request);
    to.pending.emplace(id, PendingRequest{std::move(request), std::move(handler), false, mayHaveCommitted, bytes, deadline});
    to.unsent.push_back(id);
    to.unsentBytes += bytes;
    flush(to);
}

void PeerNetwork::State::cancel(const std::string &peer, std::uint64_t requestId)
{
    const auto found = m_outbound.find(peer);
    if (found != m_outbound.end()) {
        giveUp(*found->second, requestId);
    }
}

void PeerNetwork::State::send(const std::string &peer, const std::string &address, hop::HopMessage message)
{
    if (m_stopped) {
        return;
    }
    // These speak about what went over the link that we dialled; without that
    // link the home has rolled everything back already.
    const bool boundToLink = std::holds_alternative<hop::Cancel>(message) || std::holds_alternative<hop::FrontGone>(message);
    const auto found = m_outbound.find(peer);
    const bool dialled = found != m_outbound.end() && found->second->ready && found->second->address == address;
    if (boundToLink && !dialled) {
        return;
    }
    if (!dialled) {
        if (Inbound *inbound = readyInboundOf(peer)) {
            writeMessage(*inbound->link, message);
            return;
        }
    }
    Outbound &to = outbound(peer, address);
    if (const auto *gone = std::get_if<hop::FrontGone>(&message)) {
        to.transactions.onFrontGone(gone->transaction);
    }
    if (to.ready) {
        writeMessage(*to.link, message);
        return;
    }
    if (!to.link && !to.dialing && Clock::now() < to.nextAttempt) {
        return;
    }
    to.messages.push_back(std::move(message));
    if (to.messages.size() > maxWaitingMessages) {
        to.messages.pop_front();
    }
    flush(to);
}

void PeerNetwork::State::sendOn(const PeerRef &peer, hop::HopMessage message)
{
    const auto inbound = m_inbound.find(peer.link);
    if (inbound != m_inbound.end()) {
        writeMessage(*inbound->second->link, message);
        return;
    }
    const auto found = m_outbound.find(peer.host);
    if (found != m_outbound.end() && found->second->ready && found->second->linkId == peer.link) {
        writeMessage(*found->second->link, message);
    }
}

void PeerNetwork::State::sendToAll(const hop::HopMessage &message)
{
    absl::flat_hash_set<std::string> reached;
    for (const auto &[host, to] : m_outbound) {
        if (to->ready) {
            writeMessage(*to->link, message);
            reached.insert(host);
        }
    }
    for (const auto &[id, from] : m_inbound) {
        if (from->ready && reached.insert(from->peer.host).second) {
            writeMessage(*from->link, message);
        }
    }
}

void PeerNetwork::State::drop(const std::string &host)
{
    const auto found = m_outbound.find(host);
    if (found != m_outbound.end() && found->second->link) {
        found->second->link->close();
    }
    const auto range = m_inboundByHost.equal_range(host);
    for (auto it = range.first; it != range.second; ++it) {
        m_inbound.at(it->second)->link->close();
    }
}

void PeerNetwork::State::stop()
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_housekeeping.cancel();
    m_deadlineTimer.cancel();
    for (const auto &[host, to] : m_outbound) {
        failAll(*to, "this host stopped");
        if (to->dialing) {
            to->dialing->close(ignored);
        }
        if (to->link) {
            to->link->abandon();
        }
    }
    for (const auto &[id, from] : m_inbound) {
        from->link->abandon();
    }
    m_outbound.clear();
    m_inbound.clear();
    m_inboundByHost.clear();
    m_deadlines.clear();
}

std::size_t PeerNetwork::State::unansweredRequests() const
{
    std::size_t count = 0;
    for (const auto &[host, to] : m_outbound) {
        count += to->pending.size();
    }
    for (const auto &[id, from] : m_inbound) {
        count += from->served.size();
    }
    return count;
}

std::size_t PeerNetwork::State::unwrittenBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[host, to] : m_outbound) {
        bytes += to->link ? to->link->unwrittenBytes() : 0;
    }
    for (const auto &[id, from] : m_inbound) {
        bytes += from->link->unwrittenBytes();
    }
    return bytes;
}

std::size_t PeerNetwork::State::linkCount() const
{
    const auto dialled =
        std::count_if(m_outbound.begin(), m_outbound.end(), [](const auto &entry) { return entry.second->ready; });
    return static_cast<std::size_t>(dialled) + m_inbound.size();
}

// --- Dialling ---------------------------------------------------------------

Outbound &PeerNetwork::State::outbound(const std::string &peer, const std::string &address)
{
    std::unique_ptr<Outbound> &entry = m_outbound[peer];
    if (!entry) {
        entry = std::make_unique<Outbound>();
        entry->host = peer;
        entry->address = address;
    }
    if (entry->address != address) {
        // The host came back elsewhere: what is there under the old address can
        // only be its past or somebody else.
        failAll(*entry, "the home moved to another address");
        if (entry->link) {
            entry->link->abandon();
        }
        entry = std::make_unique<Outbound>();
        entry->host = peer;
        entry->address = address;
    }
    return *entry;
}

void PeerNetwork::State::dial(Outbound &to)
{
    const auto endpoint = parseEndpoint(to.address);
    if (!endpoint) {
        failDial(to, "its home has no usable address");
        return;
    }
    to.dialing = std::make_shared<tcp::socket>(m_context);
    to.dialDeadline = Clock::now() + m_options.connectTimeout;
    to.dialing->async_connect(
        *endpoint, [weak = weak_from_this(), host = to.host, socket = to.dialing](const boost::system::error_code &error) {
            if (const auto self = weak.lock()) {
                self->onConnected(host, socket, error);
            }
        });
}

void PeerNetwork::State::onConnected(const std::string &host, const std::shared_ptr<tcp::socket> &socket,
                                     const boost::system::error_code &error)
{
    const auto found = m_outbound.find(host);
    if (m_stopped || found == m_outbound.end() || found->second->dialing != socket) {
        return;
    }
    Outbound &to = *found->second;
    if (error) {
        failDial(to, "its home cannot be reached (" + error.message() + ")");
        return;
    }
    to.dialing.reset();
    to.linkId = ++m_lastLinkId;
    // Answers are always read: pausing here could leave both ends waiting.
    to.link = std::make_shared<PeerLink>(std::move(*socket), 0);
    PeerLinkHooks hooks;
    hooks.onMessage = [weak = weak_from_this(), host, id = to.linkId](hop::HopMessage message, std::size_t bytes) {
        if (const auto self = weak.lock()) {
            self->onOutboundMessage(host, id, std::move(message), bytes);
        }
    };
    hooks.fill = [weak = weak_from_this(), host, id = to.linkId](std::string &buffer) {
        if (const auto self = weak.lock()) {
            self->fillRequests(host, id, buffer);
        }
    };
    hooks.onClosed = [weak = weak_from_this(), host, id = to.linkId] {
        if (const auto self = weak.lock()) {
            self->onOutboundClosed(host, id);
        }
    };
    to.link->start(std::move(hooks));
    writeMessage(*to.link, m_options.self);
}

void PeerNetwork::State::failDial(Outbound &to, const std::string &reason)
{
    boost::system::error_code ignored;
    if (to.dialing) {
        to.dialing->close(ignored);
        to.dialing.reset();
    }
    to.messages.clear();
    raiseBackoff(to);
    failAll(to, reason);
    if (m_hooks.onUnreachable) {
        boost::asio::post(m_context, [weak = weak_from_this(), host = to.host] {
            const auto self = weak.lock();
            if (self && !self->m_stopped) {
                self->m_hooks.onUnreachable(host);
            }
        });
    }
}

// Jittered, so that a fleet which lost a host does not dial it in step.
void PeerNetwork::State::raiseBackoff(Outbound &to)
{
    const milliseconds raised = std::max(m_options.firstBackoff, to.backoff * 2);
    to.backoff = std::min(raised, m_options.longestBackoff);
    std::uniform_int_distribution<std::int64_t> jitter(to.backoff.count() / 2, to.backoff.count());
    to.nextAttempt = Clock::now() + milliseconds{jitter(m_random)};
}

void PeerNetwork::State::onHelloOf(Outbound &to, const hop::Hello &hello)
{
    // Somebody else at this address means that the host was replaced: a request
    // must not reach a home that was not chosen.
    if (hello.version != hop::protocolVersion || hello.host != to.host) {
        to.link->close();
        return;
    }
    to.ready = true;
    to.backoff = milliseconds{0};
    for (const hop::HopMessage &message : std::exchange(to.messages, {})) {
        writeMessage(*to.link, message);
    }
    to.link->wake();
}

// --- Requests of this host --------------------------------------------------

void PeerNetwork::State::flush(Outbound &to)
{
    if (to.link) {
        to.link->wake();
        return;
    }
    if (!to.dialing) {
        dial(to);
    }
}

void PeerNetwork::State::fillRequests(const std::string &host, std::uint64_t linkId, std::string &buffer)
{
    const auto found = m_outbound.find(host);
    if (found == m_outbound.end() || found->second->linkId != linkId) {
        return;
    }
    Outbound &to = *found->second;
    while (to.ready && to.credit > 0 && !to.unsent.empty() && buffer.size() < PeerLink::writeBytes) {
        const std::uint64_t id = to.unsent.front();
        to.unsent.pop_front();
        const auto pending = to.pending.find(id);
        if (pending != to.pending.end() && !pending->second.sent) {
            appendRequest(to, id, pending->second, buffer);
        }
    }
}

void PeerNetwork::State::appendRequest(Outbound &to, std::uint64_t id, PendingRequest &pending, std::string &buffer)
{
    hop::HopMessage message = hop::ExecuteRequest{std::move(pending.request)};
    const std::string frame = hop::encodeFrame(message, Clock::now());
    countSent(message, frame.size());
    pending.request = std::move(std::get<hop::ExecuteRequest>(message).request);
    to.unsentBytes -= pending.queuedBytes;
    if (frame.size() > hop::maxFrameBytes) {
        answer(to, id, Error{ErrorKind::Unsupported, "The request is too large to be passed on; split it.", milliseconds{0}});
        return;
    }
    pending.sent = true;
    to.credit -= static_cast<std::int64_t>(frame.size());
    // Only the rules of outcome are needed from here on.
    std::string().swap(pending.request.batch);
    pending.request.prepared.clear();
    buffer += frame;
}

void PeerNetwork::State::onOutboundMessage(const std::string &host, std::uint64_t linkId, hop::HopMessage message,
                                           std::size_t bytes)
{
    const auto found = m_outbound.find(host);
    if (found == m_outbound.end() || found->second->linkId != linkId || !found->second->link) {
        return;
    }
    Outbound &to = *found->second;
    countReceived(message, bytes);
    if (const auto *hello = std::get_if<hop::Hello>(&message)) {
        onHelloOf(to, *hello);
    } else if (!to.ready || std::holds_alternative<hop::ExecuteRequest>(message)) {
        to.link->close();
    } else if (auto *reply = std::get_if<hop::ExecuteReply>(&message)) {
        onReply(to, std::move(reply->reply));
    } else if (const auto *credit = std::get_if<hop::Credit>(&message)) {
        to.credit +=
            static_cast<std::int64_t>(std::min<std::uint64_t>(credit->bytes, m_options.windowBytes + hop::maxFrameBytes));
        to.link->wake();
    } else if (const auto *ping = std::get_if<hop::Ping>(&message)) {
        if (!ping->answer) {
            writeMessage(*to.link, hop::Ping{ping->number, true});
        }
    } else {
        deliver(PeerRef{to.host, linkId}, std::move(message));
    }
}

void PeerNetwork::State::onReply(Outbound &to, StatementReply reply)
{
    const auto pending = m_options.matchesAnswersById ? to.pending.find(reply.id) : to.pending.begin();
    if (pending == to.pending.end()) {
        onLateReply(to, reply);
        return;
    }
    to.transactions.onReply(pending->second.request.transaction, reply);
    m_deadlines.erase(pending->second.deadline);
    ReplyHandler handler = std::move(pending->second.handler);
    to.pending.erase(pending);
    post(std::move(handler), std::move(reply));
}

// Symptom: a transaction stays open at the home and holds its connection.
// Sequence: the front gives up on a BEGIN; its answer arrives afterwards with
// the number of a transaction that nobody will ever use.
// The home is therefore told to roll it back.
void PeerNetwork::State::onLateReply(Outbound &to, const StatementReply &reply)
{
    const auto found = to.abandoned.find(reply.id);
    if (found == to.abandoned.end()) {
        return;
    }
    if (reply.transaction != 0) {
        rollBack(to, found->second, reply.transaction);
    }
    to.abandoned.erase(found);
}

void PeerNetwork::State::onOutboundClosed(const std::string &host, std::uint64_t linkId)
{
    const auto found = m_outbound.find(host);
    if (m_stopped || found == m_outbound.end() || found->second->linkId != linkId || !found->second->link) {
        return;
    }
    Outbound &to = *found->second;
    to.link.reset();
    to.ready = false;
    to.credit = 0;
    to.transactions.onFrontGone(0);
    to.abandoned.clear();
    failDial(to, "the link to its home broke");
}

void PeerNetwork::State::failAll(Outbound &to, const std::string &reason)
{
    const auto retryAfter = std::max(m_options.firstBackoff, to.backoff);
    auto pending = std::exchange(to.pending, {});
    to.unsent.clear();
    to.unsentBytes = 0;
    for (auto &[id, request] : pending) {
        StatementReply reply;
        reply.id = id;
        reply.sent = request.sent;
        reply.error = lostError(request, reason, retryAfter, m_options.admitsUnknownOutcomes);
        m_deadlines.erase(request.deadline);
        post(std::move(request.handler), std::move(reply));
    }
}

void PeerNetwork::State::answer(Outbound &to, std::uint64_t id, Error error)
{
    const auto pending = to.pending.find(id);
    StatementReply reply;
    reply.id = id;
    reply.sent = pending->second.sent;
    reply.error = std::move(error);
    m_deadlines.erase(pending->second.deadline);
    ReplyHandler handler = std::move(pending->second.handler);
    to.pending.erase(pending);
    post(std::move(handler), std::move(reply));
}

// Answers a request whose deadline passed or whose caller left. Part of an open
// transaction may be running at the home; to make "not run" true, the home is
// told on the same link to roll that transaction back, ahead of any COMMIT.
void PeerNetwork::State::giveUp(Outbound &to, std::uint64_t id)
{
    const auto found = to.pending.find(id);
    if (found == to.pending.end()) {
        return;
    }
    const PendingRequest &pending = found->second;
    if (!pending.sent) {
        to.unsentBytes -= pending.queuedBytes;
    } else if (to.ready) {
        const StatementRequest &request = pending.request;
        writeMessage(*to.link, hop::Cancel{id});
        const TransactionPlace place{request.database, request.upstream};
        to.abandoned.emplace(id, place);
        if (request.transaction != 0 && request.kind != StatementKind::Commit) {
            rollBack(to, place, request.transaction);
        }
    }
    answer(to, id, deadlineError(pending));
}

// Nobody waits for the answer; it is dropped when it comes.
void PeerNetwork::State::rollBack(Outbound &to, const TransactionPlace &place, std::uint64_t transaction)
{
    StatementRequest request;
    request.id = rollbackIds | ++m_lastRollback;
    request.database = place.database;
    request.upstream = place.upstream;
    request.kind = StatementKind::Rollback;
    request.transaction = transaction;
    request.deadline = Clock::now() + rollbackTimeout;
    request.batch = pg::Message{'Q', std::string("ROLLBACK\0", sizeof("ROLLBACK"))}.bytes();
    const hop::HopMessage message = hop::ExecuteRequest{std::move(request)};
    const std::size_t bytes = writeMessage(*to.link, message);
    to.credit -= static_cast<std::int64_t>(bytes);
    to.transactions.onFrontGone(transaction);
}

// Handlers run from the event loop, never from within a call of their owner.
void PeerNetwork::State::post(ReplyHandler handler, StatementReply reply)
{
    boost::asio::post(m_context,
                      [handler = std::move(handler), reply = std::move(reply)]() mutable { handler(std::move(reply)); });
}

void PeerNetwork::State::refuse(const StatementRequest &request, ReplyHandler handler, Error error)
{
    StatementReply reply;
    reply.id = request.id;
    reply.error = std::move(error);
    post(std::move(handler), std::move(reply));
}

// --- Requests of peers ------------------------------------------------------

void PeerNetwork::State::accept()
{
    m_acceptFailed = false;
    m_acceptor.async_accept([weak = weak_from_this()](const boost::system::error_code &error, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || self->m_stopped || error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            self->m_acceptFailed = true;
            return;
        }
        self->onAccepted(std::move(socket));
        self->accept();
    });
}

void PeerNetwork::State::onAccepted(tcp::socket socket)
{
    const std::uint64_t id = ++m_lastLinkId;
    auto from = std::make_unique<Inbound>();
    from->peer.link = id;
    from->acceptedAt = Clock::now();
    from->link = std::make_shared<PeerLink>(std::move(socket), m_options.queueBytes);
    PeerLinkHooks hooks;
    hooks.onMessage = [weak = weak_from_this(), id](hop::HopMessage message, std::size_t bytes) {
        if (const auto self = weak.lock()) {
            self->onInboundMessage(id, std::move(message), bytes);
        }
    };
    hooks.onClosed = [weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->onInboundClosed(id);
        }
    };
    const std::shared_ptr<PeerLink> link = from->link;
    m_inbound.emplace(id, std::move(from));
    link->start(std::move(hooks));
}

bool PeerNetwork::State::onInboundHello(Inbound &from, const hop::HopMessage &message)
{
    const auto *hello = std::get_if<hop::Hello>(&message);
    if (hello == nullptr || from.ready) {
        return false;
    }
    // Answered even to another version, so that the other side can say why.
    writeMessage(*from.link, m_options.self);
    if (hello->version != hop::protocolVersion || hello->host.empty()) {
        return false;
    }
    from.ready = true;
    from.peer.host = hello->host;
    m_inboundByHost.emplace(hello->host, from.peer.link);
    writeMessage(*from.link, hop::Credit{m_options.windowBytes});
    return true;
}

void PeerNetwork::State::onInboundMessage(std::uint64_t linkId, hop::HopMessage message, std::size_t bytes)
{
    const auto found = m_inbound.find(linkId);
    if (found == m_inbound.end()) {
        return;
    }
    Inbound &from = *found->second;
    countReceived(message, bytes);
    if (!from.ready || std::holds_alternative<hop::Hello>(message)) {
        if (!onInboundHello(from, message)) {
            from.link->close();
        }
    } else if (auto *request = std::get_if<hop::ExecuteRequest>(&message)) {
        serve(from, std::move(request->request), bytes);
    } else if (const auto *ping = std::get_if<hop::Ping>(&message)) {
        if (!ping->answer) {
            writeMessage(*from.link, hop::Ping{ping->number, true});
        }
    } else if (std::holds_alternative<hop::ExecuteReply>(message) || std::holds_alternative<hop::Credit>(message)) {
        from.link->close();
    } else {
        if (const auto *gone = std::get_if<hop::FrontGone>(&message)) {
            from.transactions.onFrontGone(gone->transaction);
        }
        deliver(from.peer, std::move(message));
    }
}

void PeerNetwork::State::serve(Inbound &from, StatementRequest request, std::size_t bytes)
{
    const std::uint64_t id = request.id;
    // A sender that ignores its credit would fill this host's memory; a second
    // request with an id under way could be given the first one's answer.
    const bool overrun = from.servedBytes > m_options.windowBytes + hop::maxFrameBytes;
    if (overrun || !from.served.emplace(id, ServedRequest{bytes, request.transaction, request.kind}).second) {
        from.link->close();
        return;
    }
    from.servedBytes += bytes;
    const std::uint64_t linkId = from.peer.link;
    ReplyHandler reply = [weak = weak_from_this(), linkId, id](StatementReply answer) {
        if (const auto self = weak.lock()) {
            self->sendReply(linkId, id, std::move(answer));
        }
    };
    if (!m_hooks.onRequest) {
        StatementReply refusal;
        refusal.error = Error{ErrorKind::Moved, "This host is no home; ask again.", overloadedRetry};
        reply(std::move(refusal));
        return;
    }
    const PeerRef peer = from.peer;
    m_hooks.onRequest(peer, std::move(request), std::move(reply));
}

void PeerNetwork::State::sendReply(std::uint64_t linkId, std::uint64_t requestId, StatementReply reply)
{
    const auto found = m_inbound.find(linkId);
    if (found == m_inbound.end()) {
        return;
    }
    Inbound &from = *found->second;
    const auto served = from.served.find(requestId);
    if (served == from.served.end()) {
        return;
    }
    const ServedRequest request = served->second;
    from.served.erase(served);
    from.servedBytes -= request.frameBytes;
    from.transactions.onReply(request.transaction, reply);
    reply.id = requestId;
    if (reply.bytes.size() + requestOverheadBytes > hop::maxFrameBytes) {
        // It ran, so "not run" would be false for anything that writes.
        const bool read = request.kind == StatementKind::Read;
        reply.error = Error{read ? ErrorKind::Unsupported : ErrorKind::UnknownOutcome,
                            "The answer is larger than a hop carries; ask for fewer rows at once.", milliseconds{0}};
        reply.bytes.clear();
        reply.sent = true;
    }
    writeMessage(*from.link, hop::ExecuteReply{std::move(reply)});
    writeMessage(*from.link, hop::Credit{request.frameBytes});
}

void PeerNetwork::State::onInboundClosed(std::uint64_t linkId)
{
    const auto found = m_inbound.find(linkId);
    if (m_stopped || found == m_inbound.end()) {
        return;
    }
    const PeerRef peer = found->second->peer;
    const bool wasReady = found->second->ready;
    m_inbound.erase(found);
    const auto range = m_inboundByHost.equal_range(peer.host);
    const auto byHost = std::find_if(range.first, range.second, [linkId](const auto &entry) { return entry.second == linkId; });
    if (byHost != range.second) {
        m_inboundByHost.erase(byHost);
    }
    if (wasReady && m_hooks.onLinkLost) {
        m_hooks.onLinkLost(peer);
    }
}

// --- Both directions --------------------------------------------------------

// Gives the size of the frame, 0 when the link is closed.
std::size_t PeerNetwork::State::writeMessage(PeerLink &link, const hop::HopMessage &message)
{
    if (!link.isOpen()) {
        return 0;
    }
    std::string frame = hop::encodeFrame(message, Clock::now());
    const std::size_t bytes = frame.size();
    countSent(message, bytes);
    link.write(std::move(frame));
    return bytes;
}

void PeerNetwork::State::deliver(const PeerRef &from, hop::HopMessage message)
{
    if (m_hooks.onMessage) {
        m_hooks.onMessage(from, std::move(message));
    }
}

namespace
{

// Requests, their answers and the credit for them; all else is control traffic.
bool isRequestTraffic(const hop::HopMessage &message)
{
    return std::holds_alternative<hop::ExecuteRequest>(message) || std::holds_alternative<hop::ExecuteReply>(message)
        || std::holds_alternative<hop::Credit>(message) || std::holds_alternative<hop::Cancel>(message)
        || std::holds_alternative<hop::FrontGone>(message);
}

} // namespace

void PeerNetwork::State::countSent(const hop::HopMessage &message, std::size_t bytes)
{
    ++m_traffic.messagesSent;
    (isRequestTraffic(message) ? m_traffic.requestBytesSent : m_traffic.controlBytesSent) += bytes;
}

void PeerNetwork::State::countReceived(const hop::HopMessage &message, std::size_t bytes)
{
    ++m_traffic.messagesReceived;
    (isRequestTraffic(message) ? m_traffic.requestBytesReceived : m_traffic.controlBytesReceived) += bytes;
}

Inbound *PeerNetwork::State::readyInboundOf(const std::string &host)
{
    const auto range = m_inboundByHost.equal_range(host);
    for (auto it = range.first; it != range.second; ++it) {
        Inbound &inbound = *m_inbound.at(it->second);
        if (inbound.link->isOpen()) {
            return &inbound;
        }
    }
    return nullptr;
}

// --- Timers -----------------------------------------------------------------

void PeerNetwork::State::scheduleHousekeeping()
{
    m_housekeeping.expires_after(m_options.pingInterval / 2);
    m_housekeeping.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_stopped) {
            self->keepHouse();
            self->scheduleHousekeeping();
        }
    });
}

void PeerNetwork::State::keepHouse()
{
    const TimePoint now = Clock::now();
    // After a pause of this process what peers sent meanwhile is still unread:
    // judging their silence now would cut links that are fine.
    if (now - m_keptHouseAt > m_options.pingInterval * 2) {
        m_judgesSilenceFrom = now + m_options.pingInterval * silentPings;
    }
    m_keptHouseAt = now;
    for (const auto &[host, to] : m_outbound) {
        keepOutbound(*to, now);
    }
    if (now >= m_judgesSilenceFrom) {
        for (const auto &[id, from] : m_inbound) {
            keepInbound(*from, now);
        }
    }
    if (m_acceptFailed) {
        accept();
    }
    std::erase_if(m_outbound, [now](const auto &entry) {
        const Outbound &to = *entry.second;
        return !to.link && !to.dialing && to.pending.empty() && now >= to.nextAttempt + to.backoff;
    });
}

void PeerNetwork::State::keepOutbound(Outbound &to, TimePoint now)
{
    if (to.dialing) {
        if (now >= to.dialDeadline) {
            failDial(to, "its home did not answer in time");
        }
        return;
    }
    if (!to.link || !to.link->isOpen()) {
        return;
    }
    // The home counts a request until it has answered, given up here or not.
    const bool working = !to.pending.empty() || !to.transactions.empty() || !to.abandoned.empty();
    if (!to.ready) {
        if (now >= to.dialDeadline) {
            to.link->close();
        }
    } else if (working) {
        pingOutbound(to, now);
    } else if (now - to.link->lastUsedAt() > m_options.idleTimeout) {
        closeIdle(to);
    } else {
        to.missedPings = 0;
    }
}

// Counts pings instead of time, so that a pause of this process does not look
// like a silent peer.
void PeerNetwork::State::pingOutbound(Outbound &to, TimePoint now)
{
    if (now - to.lastPingAt < m_options.pingInterval) {
        return;
    }
    const bool heard = to.link->lastReceivedAt() >= to.lastPingAt;
    to.missedPings = heard ? 0 : to.missedPings + 1;
    if (to.missedPings >= silentPings) {
        to.link->close();
        return;
    }
    to.lastPingAt = now;
    writeMessage(*to.link, hop::Ping{++to.pingNumber, false});
}

// Not a failure: nothing is lost, nobody is told, and the next request dials again.
void PeerNetwork::State::closeIdle(Outbound &to)
{
    to.link->abandon();
    to.link.reset();
    to.ready = false;
    to.credit = 0;
    to.linkId = 0;
}

void PeerNetwork::State::keepInbound(Inbound &from, TimePoint now)
{
    const bool working = !from.served.empty() || !from.transactions.empty();
    // One interval more than the dialler allows: the side that can tell its
    // caller what happened should notice first.
    const Clock::duration workingSilence = m_options.pingInterval * (silentPings + 1);
    const Clock::duration idleSilence = m_options.idleTimeout * silentIdleTimeouts;
    const Clock::duration silence = now - from.link->lastReceivedAt();
    const bool noHello = !from.ready && now - from.acceptedAt > m_options.connectTimeout;
    if (noHello || silence > (working ? workingSilence : idleSilence)) {
        from.link->close();
    }
}

Deadlines::iterator PeerNetwork::State::armDeadline(TimePoint deadline, const DeadlineKey &key)
{
    const auto entry = m_deadlines.emplace(deadline, key);
    if (entry == m_deadlines.begin()) {
        scheduleDeadlines();
    }
    return entry;
}

void PeerNetwork::State::scheduleDeadlines()
{
    if (m_deadlines.empty()) {
        return;
    }
    m_deadlineTimer.expires_at(m_deadlines.begin()->first);
    m_deadlineTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_stopped) {
            self->onDeadlines();
        }
    });
}

void PeerNetwork::State::onDeadlines()
{
    const TimePoint now = Clock::now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        // Giving up erases the entry along with the request.
        const DeadlineKey key = m_deadlines.begin()->second;
        cancel(key.first, key.second);
    }
    scheduleDeadlines();
}

// --- The public face --------------------------------------------------------

PeerNetwork::PeerNetwork(boost::asio::io_context &context, PeerNetworkOptions options, PeerNetworkHooks hooks)
    : m_state(std::make_shared<State>(context, std::move(options), std::move(hooks)))
{
    m_state->start();
}

PeerNetwork::~PeerNetwork()
{
    m_state->stop();
}

tl::expected<void, Error> PeerNetwork::listen()
{
    return m_state->listen();
}

std::uint16_t PeerNetwork::port() const
{
    return m_state->port();
}

void PeerNetwork::execute(const std::string &peer, const std::string &address, StatementRequest request, ReplyHandler handler)
{
    m_state->execute(peer, address, std::move(request), std::move(handler));
}

void PeerNetwork::cancel(const std::string &peer, std::uint64_t requestId)
{
    m_state->cancel(peer, requestId);
}

void PeerNetwork::send(const std::string &peer, const std::string &address, hop::HopMessage message)
{
    m_state->send(peer, address, std::move(message));
}

void PeerNetwork::sendOn(const PeerRef &peer, hop::HopMessage message)
{
    m_state->sendOn(peer, std::move(message));
}

void PeerNetwork::sendToAll(const hop::HopMessage &message)
{
    m_state->sendToAll(message);
}

void PeerNetwork::drop(const std::string &host)
{
    m_state->drop(host);
}

std::size_t PeerNetwork::unansweredRequests() const
{
    return m_state->unansweredRequests();
}

std::size_t PeerNetwork::unwrittenBytes() const
{
    return m_state->unwrittenBytes();
}

std::size_t PeerNetwork::linkCount() const
{
    return m_state->linkCount();
}

PeerTraffic PeerNetwork::traffic() const
{
    return m_state->traffic();
}

void PeerNetwork::stop()
{
    m_state->stop();
}

} // namespace egrettide
