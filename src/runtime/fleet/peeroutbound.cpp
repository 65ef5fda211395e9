// Hosts that this host dials, and its requests to homes on them.

#include "runtime/fleet/peernetworkstate.h"

#include "runtime/host/address.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace egrettide
{

using namespace detail;

namespace
{

// Base of the request ids of rollbacks that the network itself sends; distinct from the ids of fronts.
constexpr std::uint64_t rollbackIdBase = 1ULL << 63U;
constexpr std::chrono::seconds rollbackTimeout{10};

} // namespace

// --- Dialing ----------------------------------------------------------------

Outbound &PeerNetwork::State::outbound(const std::string &peer, const std::string &address)
{
    std::unique_ptr<Outbound> &entry = m_outbound[peer];
    if (!entry) {
        entry = std::make_unique<Outbound>(m_probing);
        entry->host = peer;
        entry->address = address;
    }
    if (entry->address != address) {
        // The host restarted at another address. The old address belongs to its previous
        // instance or to another host.
        failAll(*entry, "the home moved to another address");
        if (entry->link) {
            entry->link->abandon();
        }
        entry = std::make_unique<Outbound>(m_probing);
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
    // Answers are always read: pausing here could deadlock both ends.
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
    increaseBackoff(to);
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

// Jittered, so that the hosts do not dial a lost host at the same time.
void PeerNetwork::State::increaseBackoff(Outbound &to)
{
    const milliseconds increased = std::max(m_options.firstBackoff, to.backoff * 2);
    to.backoff = std::min(increased, m_options.longestBackoff);
    std::uniform_int_distribution<std::int64_t> jitter(to.backoff.count() / 2, to.backoff.count());
    to.nextAttempt = Clock::now() + milliseconds{jitter(m_random)};
}

void PeerNetwork::State::onOutboundHello(Outbound &to, const hop::Hello &hello)
{
    // Another host at this address means that the expected host was replaced: a request must
    // not reach a home that was not selected.
    if (hello.version != hop::protocolVersion || hello.host != to.host) {
        to.link->close();
        return;
    }
    to.ready = true;
    to.isElsewhere = hello.zone != m_options.self.zone;
    to.link->setPeerNewestMessage(hello.newestMessage);
    to.backoff = milliseconds{0};
    for (const hop::HopMessage &message : std::exchange(to.messages, {})) {
        sendMessage(*to.link, to.probe, message);
    }
    to.link->scheduleFill();
}

// --- Requests of this host --------------------------------------------------

void PeerNetwork::State::execute(const std::string &peer, const std::string &address, StatementRequest request,
                                 ReplyHandler handler)
{
    if (m_stopped) {
        refuse(request, std::move(handler),
               Error{ErrorKind::Leaving, "This host is stopping; use another one.", milliseconds{0}});
        return;
    }
    Outbound &to = outbound(peer, address);
    const std::size_t bytes = estimatedBytes(request);
    if (to.backoff > milliseconds{0}) {
        redial(to);
    }
    if (auto error = refusalFor(to, request, bytes)) {
        refuse(request, std::move(handler), std::move(*error));
        return;
    }
    const std::uint64_t id = request.id;
    const auto deadline = armDeadline(request.deadline, DeadlineKey{peer, id});
    const bool mayHaveCommitted = detail::mayHaveCommitted(request);
    to.pending.emplace(id, PendingRequest{std::move(request), std::move(handler), false, mayHaveCommitted, bytes, deadline});
    to.unsent.push_back(id);
    to.unsentBytes += bytes;
    flush(to);
}

// Without this check, requests wait behind a connection attempt to a host that has just been
// lost, or on a silent link, and fail only at their deadlines. Refused at once, a read is sent
// to another upstream.
bool PeerNetwork::State::isSilent(const Outbound &to, TimePoint now) const
{
    if (to.link) {
        return to.probe.hasMissedProbe();
    }
    return to.dialing ? to.backoff > milliseconds{0} : now < to.nextAttempt;
}

// Dials a lost host, so that the next request finds it reachable again.
void PeerNetwork::State::redial(Outbound &to)
{
    if (!to.link && !to.dialing && Clock::now() >= to.nextAttempt) {
        dial(to);
    }
}

// Returns the reason why a request cannot be queued; nothing of it has been sent then.
std::optional<Error> PeerNetwork::State::refusalFor(const Outbound &to, const StatementRequest &request, std::size_t bytes) const
{
    const TimePoint now = Clock::now();
    // A statement of an open transaction cannot run elsewhere, so it is tried anyway.
    const bool canRunElsewhere = request.transaction == 0 || !to.link;
    if (canRunElsewhere && isSilent(to, now)) {
        const auto wait = std::chrono::ceil<milliseconds>(std::max(to.nextAttempt, now + m_options.firstBackoff) - now);
        return Error{ErrorKind::Moved, "The home " + to.host + " cannot be reached right now; send the request again.", wait};
    }
    if (bytes > hop::maxFrameBytes) {
        return Error{ErrorKind::Unsupported, "The request is too large to be forwarded; split it.", milliseconds{0}};
    }
    if (to.unsentBytes + bytes > m_options.queueBytes) {
        return Error{ErrorKind::Overloaded, "The link to home " + to.host + " is full; send the request again later.",
                     overloadedRetry};
    }
    if (to.pending.contains(request.id)) {
        return Error{ErrorKind::InvalidInput, "Two requests of this front have the same id; use unique ids.", milliseconds{0}};
    }
    return std::nullopt;
}

void PeerNetwork::State::cancel(const std::string &peer, std::uint64_t requestId)
{
    const auto found = m_outbound.find(peer);
    if (found != m_outbound.end()) {
        abandonRequest(*found->second, requestId);
    }
}

void PeerNetwork::State::flush(Outbound &to)
{
    if (to.link) {
        to.link->scheduleFill();
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
        answer(to, id, Error{ErrorKind::Unsupported, "The request is too large to be forwarded; split it.", milliseconds{0}});
        return;
    }
    pending.sent = true;
    to.credit -= static_cast<std::int64_t>(frame.size());
    // From here on, only the fields that determine the outcome are needed.
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
    noteHeard(to.isElsewhere);
    if (const auto *hello = std::get_if<hop::Hello>(&message)) {
        onOutboundHello(to, *hello);
    } else if (!to.ready || std::holds_alternative<hop::ExecuteRequest>(message)) {
        to.link->close();
    } else if (auto *reply = std::get_if<hop::ExecuteReply>(&message)) {
        onReply(to, std::move(reply->reply));
    } else if (const auto *credit = std::get_if<hop::Credit>(&message)) {
        to.credit +=
            static_cast<std::int64_t>(std::min<std::uint64_t>(credit->bytes, m_options.windowBytes + hop::maxFrameBytes));
        to.link->scheduleFill();
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

// When the front abandons a BEGIN and its answer arrives later, no caller uses the transaction
// it opened. Without a rollback, the transaction stays open at the home and holds its connection.
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

// Answers a request whose deadline passed or whose caller disconnected. Part of an open
// transaction may be running at the home. To make "not run" true, a rollback of that transaction
// is sent on the same link, ahead of any COMMIT.
void PeerNetwork::State::abandonRequest(Outbound &to, std::uint64_t id)
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

// No caller waits for the answer; it is dropped when it arrives.
void PeerNetwork::State::rollBack(Outbound &to, const TransactionPlace &place, std::uint64_t transaction)
{
    StatementRequest request;
    request.id = rollbackIdBase | ++m_lastRollback;
    request.database = place.database;
    request.upstream = place.upstream;
    request.kind = StatementKind::Rollback;
    request.transaction = transaction;
    request.deadline = Clock::now() + rollbackTimeout;
    request.batch = m_options.rollback;
    const hop::HopMessage message = hop::ExecuteRequest{std::move(request)};
    const std::size_t bytes = writeMessage(*to.link, message);
    to.credit -= static_cast<std::int64_t>(bytes);
    to.transactions.onFrontGone(transaction);
}

// Handlers run in the event loop, never from within a call of their owner.
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

// --- Silence ----------------------------------------------------------------

void PeerNetwork::State::checkOutbound(Outbound &to, TimePoint now)
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
    // The home counts a request until it has answered, even when this host has abandoned it.
    const bool working = !to.pending.empty() || !to.transactions.empty() || !to.abandoned.empty();
    if (!to.ready) {
        if (now >= to.dialDeadline) {
            to.link->close();
        }
    } else if (!working && now - to.link->lastUsedAt() > m_options.idleTimeout) {
        closeIdle(to);
    } else {
        probe(*to.link, to.probe, to.host, working, now);
    }
}

// Not a failure: nothing is lost or reported, and the next request dials again.
void PeerNetwork::State::closeIdle(Outbound &to)
{
    to.link->abandon();
    to.link.reset();
    to.ready = false;
    to.credit = 0;
    to.linkId = 0;
}

} // namespace egrettide
