// Routing of requests to the home of their upstream, and messages from other hosts.

#include "runtime/host/hostdaemonimpl.h"

namespace egrettide
{

namespace asio = boost::asio;
using detail::frontKeyOf;
using detail::localFrontKey;

namespace detail
{

std::string frontKeyOf(const PeerRef &peer)
{
    return peer.host + "#" + std::to_string(peer.link);
}

} // namespace detail

namespace
{

constexpr milliseconds movedRetry{100};

StatementReply refusal(std::uint64_t id, Error error)
{
    StatementReply reply;
    reply.id = id;
    reply.error = std::move(error);
    return reply;
}

} // namespace

// Routing of requests.

void HostDaemon::Impl::execute(StatementRequest request, ReplyHandler handler)
{
    const auto now = routes();
    auto home = homeOfTransaction(request.transaction);
    if (!home) {
        const DatabaseSpec *database = now->configuration ? now->configuration->database(request.database) : nullptr;
        const UpstreamSpec *upstream = database != nullptr ? database->upstream(request.upstream) : nullptr;
        if (upstream == nullptr) {
            handler(refusal(request.id,
                            Error{ErrorKind::Moved, "The upstream is not in the current configuration; send the request again.",
                                  movedRetry}));
            return;
        }
        home = now->homeOf(*upstream);
    }
    if (home == m_settings.host) {
        ReplyHandler tracking = trackTransaction(request, *home, std::move(handler));
        m_homes->execute(std::move(request), std::string(localFrontKey), std::move(tracking));
        return;
    }
    const HostRecord *record = home ? now->view->host(*home) : nullptr;
    if (record == nullptr) {
        handler(refusal(request.id,
                        Error{ErrorKind::Moved, "No live host is known for this upstream; send the request again.", movedRetry}));
        return;
    }
    ReplyHandler tracking = trackTransaction(request, record->name, std::move(handler));
    executeAt(record->name, record->peerAddress, std::move(request), std::move(tracking));
}

// The home where an open transaction began, which still holds its connection. When a host joins
// or leaves, the home of an upstream may move while a transaction is open. Sent to the new home,
// the next statement would fail and the transaction would be lost to a planned change.
std::optional<std::string> HostDaemon::Impl::homeOfTransaction(std::uint64_t transaction)
{
    if (transaction == 0) {
        return std::nullopt;
    }
    const std::lock_guard<std::mutex> lock(m_remoteMutex);
    const auto found = m_transactionHomes.find(transaction);
    return found == m_transactionHomes.end() ? std::nullopt : std::optional(found->second);
}

// Records from the reply at which home a transaction has begun, or that it has ended.
ReplyHandler HostDaemon::Impl::trackTransaction(const StatementRequest &request, const std::string &home, ReplyHandler handler)
{
    if (request.transaction == 0 && request.kind != StatementKind::Begin && request.kind != StatementKind::BeginReadOnly
        && !request.mayHoldSeveral) {
        return handler;
    }
    return [this, requested = request.transaction, home, handler = std::move(handler)](StatementReply reply) {
        if (requested != reply.transaction) {
            const std::lock_guard<std::mutex> lock(m_remoteMutex);
            m_transactionHomes.erase(requested);
            if (reply.transaction != 0) {
                m_transactionHomes[reply.transaction] = home;
            }
        }
        handler(std::move(reply));
    };
}

void HostDaemon::Impl::executeAt(const std::string &home, const std::string &address, StatementRequest request,
                                 ReplyHandler handler)
{
    const std::uint64_t id = request.id;
    {
        const std::lock_guard<std::mutex> lock(m_remoteMutex);
        m_remote[id] = home;
    }
    ReplyHandler forget = [this, id, handler = std::move(handler)](StatementReply reply) {
        {
            const std::lock_guard<std::mutex> lock(m_remoteMutex);
            m_remote.erase(id);
        }
        handler(std::move(reply));
    };
    asio::post(m_link, [this, home, address, request = std::move(request), forget = std::move(forget)]() mutable {
        m_network->execute(home, address, std::move(request), std::move(forget));
    });
}

void HostDaemon::Impl::cancel(std::uint64_t requestId)
{
    std::string home;
    {
        const std::lock_guard<std::mutex> lock(m_remoteMutex);
        const auto found = m_remote.find(requestId);
        if (found != m_remote.end()) {
            home = found->second;
        }
    }
    if (home.empty()) {
        m_homes->cancel(std::string(localFrontKey), requestId);
        return;
    }
    asio::post(m_link, [this, home, requestId] { m_network->cancel(home, requestId); });
}

// Messages from other hosts.

void HostDaemon::Impl::onPeerRequest(const PeerRef &from, StatementRequest request, ReplyHandler reply)
{
    m_homes->execute(std::move(request), frontKeyOf(from), [this, reply = std::move(reply)](StatementReply answer) {
        asio::post(m_link, [reply, answer = std::move(answer)]() mutable { reply(std::move(answer)); });
    });
}

void HostDaemon::Impl::onPeerMessage(const PeerRef &from, hop::HopMessage message)
{
    if (const auto *cancelled = std::get_if<hop::Cancel>(&message)) {
        m_homes->cancel(frontKeyOf(from), cancelled->id);
        return;
    }
    if (const auto *gone = std::get_if<hop::FrontGone>(&message)) {
        // A single transaction is ended by the ROLLBACK of its front.
        if (gone->transaction == 0) {
            m_homes->abandonFront(frontKeyOf(from));
        }
        return;
    }
    if (const auto *ask = std::get_if<hop::QuotaAsk>(&message)) {
        send(from.host, m_quotas->onAsk(*ask));
        return;
    }
    if (const auto *reply = std::get_if<hop::QuotaReply>(&message)) {
        m_quotas->onReply(*reply);
        return;
    }
    asio::post(m_control, [this, from, message = std::move(message)] { onControlMessage(from, message); });
}

void HostDaemon::Impl::onControlMessage(const PeerRef &from, const hop::HopMessage &message)
{
    if (const auto *gossip = std::get_if<hop::Gossip>(&message)) {
        m_membership->onGossip(gossip->message);
        confirmOwnHomes(from.host);
    } else if (const auto *opinion = std::get_if<hop::Opinion>(&message)) {
        answerOpinion(from, *opinion);
    } else if (const auto *opinionReply = std::get_if<hop::OpinionReply>(&message)) {
        m_coordination->onOpinionReply(from.host, *opinionReply);
    } else if (const auto *announced = std::get_if<hop::Announce>(&message)) {
        applyPrimary(announced->database, announced->term, announced->primary);
    } else if (const auto *offer = std::get_if<hop::ConfigOffer>(&message)) {
        m_configurationSource->onOffer(from.host, *offer);
    } else if (const auto *pull = std::get_if<hop::ConfigPull>(&message)) {
        m_configurationSource->onPull(from.host, *pull);
    } else if (const auto *push = std::get_if<hop::ConfigPush>(&message)) {
        m_configurationSource->onPush(from.host, *push);
    } else if (const auto *catalogOffer = std::get_if<hop::CatalogOffer>(&message)) {
        m_configurationSource->onCatalogOffer(from.host, *catalogOffer);
    } else if (const auto *catalogPull = std::get_if<hop::CatalogPull>(&message)) {
        m_configurationSource->onCatalogPull(from.host, *catalogPull);
    } else if (const auto *catalogPush = std::get_if<hop::CatalogPush>(&message)) {
        m_configurationSource->onCatalogPush(from.host, *catalogPush);
    } else if (const auto *request = std::get_if<hop::SwitchoverRequest>(&message)) {
        m_switchovers->onRequest(*request, [this, from](hop::SwitchoverReply reply) { sendOn(from, std::move(reply)); });
    } else if (const auto *release = std::get_if<hop::Release>(&message)) {
        m_homes->onHandedBack(release->database, release->upstream, HandBack{release->settled});
    } else if (const auto *reply = std::get_if<hop::SwitchoverReply>(&message)) {
        m_switchovers->onReply(*reply);
    } else if (std::holds_alternative<hop::PartitionNotice>(message)) {
        m_partition->onNotice();
    }
}

void HostDaemon::Impl::answerOpinion(const PeerRef &from, const hop::Opinion &question)
{
    const OpinionQuestion asked{question.database, question.home, question.primary, question.term};
    m_homes->giveOpinion(asked, [this, from, id = question.id](std::optional<bool> agrees) {
        // A host that does not observe the group sends no opinion.
        if (agrees) {
            sendOn(from, hop::OpinionReply{id, *agrees, !*agrees});
        }
    });
}

void HostDaemon::Impl::applyPrimary(const std::string &database, Term term, const std::string &primary)
{
    m_homes->onAnnounce(database, term, primary);
    GroupHint hint;
    hint.database = database;
    hint.term = term;
    hint.primary = primary;
    m_front->learn(hint, primary);
}

void HostDaemon::Impl::send(const std::string &host, hop::HopMessage message)
{
    const auto current = routes();
    const HostRecord *record = current->view->host(host);
    if (record != nullptr) {
        sendTo(host, record->peerAddress, std::move(message));
        return;
    }
    // In a large fleet a host may ask before its record has come.
    asio::post(m_link, [this, host, message = std::move(message)] { m_network->sendIfLinked(host, message); });
}

void HostDaemon::Impl::sendToListed(const std::string &host, hop::HopMessage message)
{
    const auto listed = m_listedAddresses.find(host);
    if (listed == m_listedAddresses.end() || routes()->view->host(host) != nullptr) {
        send(host, std::move(message));
    } else {
        sendTo(host, listed->second, std::move(message));
    }
}

void HostDaemon::Impl::sendTo(const std::string &host, const std::string &address, hop::HopMessage message)
{
    asio::post(m_link, [this, host, address, message = std::move(message)]() mutable {
        m_network->send(host, address, std::move(message));
    });
}

void HostDaemon::Impl::sendOn(const PeerRef &peer, hop::HopMessage message)
{
    asio::post(m_link, [this, peer, message = std::move(message)] { m_network->sendOn(peer, message); });
}

} // namespace egrettide
