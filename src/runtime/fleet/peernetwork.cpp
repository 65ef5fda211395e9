// Both directions of the links between hosts: messages, counters and timers.

#include "runtime/fleet/peernetworkstate.h"

#include "runtime/host/address.h"
#include "runtime/host/log.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace egrettide
{

using namespace detail;

namespace
{

// Maximum number of messages other than requests that wait for a link. The oldest ones are
// dropped, since senders repeat all messages that need an answer.
constexpr std::size_t maxWaitingMessages = 64;
constexpr int listenBacklog = 512;

} // namespace

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

void PeerNetwork::State::send(const std::string &peer, const std::string &address, hop::HopMessage message)
{
    if (m_stopped) {
        return;
    }
    // These messages refer to requests sent over the link that this host dialed. Without that
    // link, the home has already rolled everything back.
    const bool boundToLink = std::holds_alternative<hop::Cancel>(message) || std::holds_alternative<hop::FrontGone>(message);
    const auto found = m_outbound.find(peer);
    const bool hasDialedLink = found != m_outbound.end() && found->second->ready && found->second->address == address;
    if (boundToLink && !hasDialedLink) {
        return;
    }
    if (!hasDialedLink) {
        if (Inbound *inbound = readyInboundOf(peer)) {
            sendMessage(*inbound->link, inbound->probe, message);
            return;
        }
    }
    Outbound &to = outbound(peer, address);
    if (const auto *gone = std::get_if<hop::FrontGone>(&message)) {
        to.transactions.onFrontGone(gone->transaction);
    }
    if (to.ready) {
        sendMessage(*to.link, to.probe, message);
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

void PeerNetwork::State::sendIfLinked(const std::string &peer, const hop::HopMessage &message)
{
    if (m_stopped) {
        return;
    }
    if (Inbound *inbound = readyInboundOf(peer)) {
        sendMessage(*inbound->link, inbound->probe, message);
        return;
    }
    const auto found = m_outbound.find(peer);
    if (found != m_outbound.end() && found->second->ready) {
        sendMessage(*found->second->link, found->second->probe, message);
    }
}

void PeerNetwork::State::sendOn(const PeerRef &peer, const hop::HopMessage &message)
{
    const auto inbound = m_inbound.find(peer.link);
    if (inbound != m_inbound.end()) {
        sendMessage(*inbound->second->link, inbound->second->probe, message);
        return;
    }
    const auto found = m_outbound.find(peer.host);
    if (found != m_outbound.end() && found->second->ready && found->second->linkId == peer.link) {
        sendMessage(*found->second->link, found->second->probe, message);
    }
}

void PeerNetwork::State::sendToAll(const hop::HopMessage &message)
{
    absl::flat_hash_set<std::string> reached;
    for (const auto &[host, to] : m_outbound) {
        if (to->ready) {
            sendMessage(*to->link, to->probe, message);
            reached.insert(host);
        }
    }
    for (const auto &[id, from] : m_inbound) {
        if (from->ready && reached.insert(from->peer.host).second) {
            sendMessage(*from->link, from->probe, message);
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
    const auto outboundLinks =
        std::count_if(m_outbound.begin(), m_outbound.end(), [](const auto &entry) { return entry.second->ready; });
    return static_cast<std::size_t>(outboundLinks) + m_inbound.size();
}

// --- Both directions --------------------------------------------------------

// Returns the size of the frame; 0 when the link is closed.
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

// Sends a message that has no answer on this link, and has the link probed. A message that the peer
// does not know counts as lost.
void PeerNetwork::State::sendMessage(PeerLink &link, LinkProbe &probe, const hop::HopMessage &message)
{
    if (!hop::isKnownTo(message, link.peerNewestMessage())) {
        return;
    }
    writeMessage(link, message);
    // Membership itself detects unanswered heartbeats, and sends several of them a second.
    if (!std::holds_alternative<hop::Gossip>(message)) {
        probe.markUnproven(Clock::now());
    }
}

void PeerNetwork::State::probe(PeerLink &link, LinkProbe &probe, const std::string &peer, bool working, TimePoint now)
{
    const TimePoint receivedAt = link.lastReceivedAt();
    switch (probe.next(receivedAt, working, now)) {
    case LinkProbeStep::Wait:
        break;
    case LinkProbeStep::Ping:
        writeMessage(link, hop::Ping{++m_lastPing, false});
        break;
    case LinkProbeStep::GiveUp:
        log::info("peer_link_silent",
                  {{"peer", peer}, {"silent_ms", std::chrono::duration_cast<milliseconds>(now - receivedAt).count()}});
        link.close();
        markAllUnproven(now);
        break;
    }
}

// Links often become silent together, and each of them would lose the first messages sent on it.
void PeerNetwork::State::markAllUnproven(TimePoint now)
{
    for (const auto &[host, to] : m_outbound) {
        to->probe.markUnproven(now);
    }
    for (const auto &[id, from] : m_inbound) {
        from->probe.markUnproven(now);
    }
}

void PeerNetwork::State::deliver(const PeerRef &from, hop::HopMessage message)
{
    if (m_hooks.onMessage) {
        m_hooks.onMessage(from, std::move(message));
    }
}

namespace
{

// Requests, their answers and the credit for them; all other messages are control traffic.
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

void PeerNetwork::State::noteHeard(bool isElsewhere)
{
    if (isElsewhere) {
        m_lastHeardElsewhere.store(Clock::now().time_since_epoch().count(), std::memory_order_relaxed);
    }
}

// Returns the link that received data last: a host that abandoned a broken link has dialed
// again, while the broken link still appears open here.
Inbound *PeerNetwork::State::readyInboundOf(const std::string &host)
{
    const auto range = m_inboundByHost.equal_range(host);
    Inbound *latest = nullptr;
    for (auto it = range.first; it != range.second; ++it) {
        Inbound &inbound = *m_inbound.at(it->second);
        if (inbound.link->isOpen() && (latest == nullptr || inbound.link->lastReceivedAt() > latest->link->lastReceivedAt())) {
            latest = &inbound;
        }
    }
    return latest;
}

// --- Timers -----------------------------------------------------------------

// Silence is checked more often while a request waits for a peer than while only messages may be lost.
milliseconds PeerNetwork::State::housekeepingInterval() const
{
    const auto isUnproven = [](const auto &entry) {
        const auto &side = *entry.second;
        return side.link && side.probe.isUnproven(side.link->lastReceivedAt());
    };
    milliseconds interval = m_options.pingInterval;
    if (std::ranges::any_of(m_outbound, [](const auto &entry) { return !entry.second->pending.empty(); })) {
        interval = std::min(interval, m_options.quietInterval);
    } else if (std::ranges::any_of(m_outbound, isUnproven) || std::ranges::any_of(m_inbound, isUnproven)) {
        interval = std::min(interval, m_options.messageInterval);
    }
    return interval / 2;
}

void PeerNetwork::State::scheduleHousekeeping()
{
    m_housekeeping.expires_after(housekeepingInterval());
    m_housekeeping.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_stopped) {
            self->runHousekeeping();
            self->scheduleHousekeeping();
        }
    });
}

void PeerNetwork::State::runHousekeeping()
{
    const TimePoint now = Clock::now();
    // After a suspension of this process, data that peers sent in the meantime is still unread:
    // checking for silence now would close healthy links.
    if (now - m_lastHousekeepingAt > m_options.pingInterval * 2) {
        m_checkSilenceFrom = now + m_options.pingInterval * m_probing.maxMissedProbes;
    }
    m_lastHousekeepingAt = now;
    for (const auto &[host, to] : m_outbound) {
        checkOutbound(*to, now);
    }
    if (now >= m_checkSilenceFrom) {
        for (const auto &[id, from] : m_inbound) {
            checkInbound(*from, now);
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
        // This erases the deadline entry along with the request.
        const DeadlineKey key = m_deadlines.begin()->second;
        cancel(key.first, key.second);
    }
    scheduleDeadlines();
}

// --- Public interface -------------------------------------------------------

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

void PeerNetwork::sendIfLinked(const std::string &peer, const hop::HopMessage &message)
{
    m_state->sendIfLinked(peer, message);
}

void PeerNetwork::sendOn(const PeerRef &peer, const hop::HopMessage &message)
{
    m_state->sendOn(peer, message);
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

TimePoint PeerNetwork::lastHeardElsewhere() const
{
    return m_state->lastHeardElsewhere();
}

void PeerNetwork::stop()
{
    m_state->stop();
}

} // namespace egrettide
