// Links that peers dialed, and their requests to this host as home.

#include "runtime/fleet/peernetworkstate.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

using namespace detail;

namespace
{

// The dialing host closes idle links. An accepted link that is silent for this many idle
// timeouts has lost its peer without a notification.
constexpr int silentIdleTimeouts = 2;

} // namespace

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
    auto from = std::make_unique<Inbound>(m_probing);
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
    // Answered also for another protocol version, so that the peer can report the mismatch.
    writeMessage(*from.link, m_options.self);
    if (hello->version != hop::protocolVersion || hello->host.empty()) {
        return false;
    }
    from.ready = true;
    from.isElsewhere = hello->zone != m_options.self.zone;
    from.link->setPeerNewestMessage(hello->newestMessage);
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
    noteHeard(from.isElsewhere);
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
    // A sender that exceeds its credit could exhaust the memory of this host. A second request
    // with the id of an unanswered one could receive the answer of the first.
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
        refusal.error =
            Error{ErrorKind::Moved, "This host is not the home of the upstream; send the request again.", overloadedRetry};
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
        // The request has run, so "not run" would be wrong for a write.
        const bool read = request.kind == StatementKind::Read;
        reply.error =
            Error{read ? ErrorKind::Unsupported : ErrorKind::UnknownOutcome,
                  "The answer is larger than a frame between hosts may be; request fewer rows at once.", milliseconds{0}};
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

void PeerNetwork::State::checkInbound(Inbound &from, TimePoint now)
{
    const bool working = !from.served.empty() || !from.transactions.empty();
    // One interval more than the dialing host allows: the side that can report the outcome to
    // its caller should detect the loss first.
    const Clock::duration workingSilence = m_options.pingInterval * (m_probing.maxMissedProbes + 1);
    const Clock::duration idleSilence = m_options.idleTimeout * silentIdleTimeouts;
    const Clock::duration silence = now - from.link->lastReceivedAt();
    const bool noHello = !from.ready && now - from.acceptedAt > m_options.connectTimeout;
    if (noHello || silence > (working ? workingSilence : idleSilence)) {
        from.link->close();
    } else if (from.ready) {
        probe(*from.link, from.probe, from.peer.host, false, now);
    }
}

} // namespace egrettide
