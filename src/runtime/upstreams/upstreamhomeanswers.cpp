// The home of one upstream: answers, confirmation of commits, ends of requests and
// transactions.

#include "runtime/upstreams/upstreamhome.h"

#include "runtime/upstreams/homeerrors.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

// How long frequent rounds are requested after a connection was lost.
constexpr milliseconds frequentRoundsDuration{2000};
// How long the rollback of an abandoned transaction may take before its connection is
// closed instead.
constexpr milliseconds rollbackTimeout{2000};
// The least interval between two reports to the group's observer: each report costs work
// on the control thread, and a position that is 100 ms old still serves reads with a
// staleness bound of 200 ms.
constexpr milliseconds answerReportInterval{100};

} // namespace

// ---- Answers

bool UpstreamHome::needsConfirmation(const HomeRequest &pending, const BatchAnswer &answer) const
{
    const StatementKind kind = pending.request.kind;
    if (m_settings.faults.skipConfirmation || answer.leadProven || answer.state != 'I' || isRead(kind)
        || kind == StatementKind::Rollback) {
        return false;
    }
    const auto transaction = m_transactions.find(pending.request.transaction);
    const bool readOnly =
        kind == StatementKind::BeginReadOnly || (transaction != m_transactions.end() && transaction->second.readOnly);
    // A replica accepts no writes, so a read-only transaction there has nothing to confirm.
    const bool onReplica = answer.status && answer.status->role == UpstreamRole::Replica;
    return !(readOnly && onReplica);
}

// The error for the front when the upstream reports that nothing ran. This holds only if
// the connection is idle; an error inside a transaction is passed on as the upstream's
// answer, unless the upstream is no longer the primary.
std::optional<Error> UpstreamHome::refusalIn(const HomeRequest &pending, const BatchAnswer &answer) const
{
    if (!answer.refusal) {
        return std::nullopt;
    }
    switch (*answer.refusal) {
    case ErrorKind::Moved: {
        const bool isNew = pending.request.transaction == 0 && answer.state == 'I' && !runsOnReplicas(pending.request);
        const bool isLost = pending.request.transaction != 0 && m_settings.dialect->primaryProvesItself;
        return isNew || isLost ? std::optional(homeerrors::fenced(m_upstream.name)) : std::nullopt;
    }
    case ErrorKind::NotFresh:
        return homeerrors::notFresh(m_upstream.name, FreshnessReason::Floor);
    default:
        return homeerrors::upstreamBusy(m_upstream.name);
    }
}

// True for statements that an upstream refuses unless it is the primary.
bool UpstreamHome::provesPrimary(const HomeRequest &pending) const
{
    const StatementRequest &request = pending.request;
    if (!m_settings.dialect->primaryProvesItself || request.transaction != 0) {
        return false;
    }
    const bool isChecked = isRead(request.kind) && request.needsPrimary;
    return isChecked || request.kind == StatementKind::Write || request.kind == StatementKind::Begin;
}

// Reports the status in an answer to the observer, which then need not query it.
void UpstreamHome::reportAnswer(const HomeRequest &pending, const BatchAnswer &answer)
{
    if (!m_hooks.answered || !m_settings.dialect->primaryProvesItself || !answer.status || !answer.errorCode.empty()) {
        return;
    }
    const TimePoint now = Clock::now();
    const bool leads = provesPrimary(pending);
    TimePoint &due = leads ? m_nextPrimaryReportAt : m_nextAnswerReportAt;
    if (now < due) {
        return;
    }
    due = now + answerReportInterval;
    m_hooks.answered(StatementProof{*answer.status, pending.sentAt, leads, pending.sentUnder});
}

void UpstreamHome::onWholeAnswer(Ticket ticket, BatchAnswer answer)
{
    HomeRequest &pending = m_pending.at(ticket);
    if (answer.status) {
        m_view.onStatus(*answer.status, pending.sentAt);
    }
    if (const auto refused = refusalIn(pending, answer)) {
        returnConnection(ticket, answer.state);
        m_ledger.notRun(pending.attempt, *refused, false, Clock::now());
        if (refused->kind == ErrorKind::Moved && m_hooks.requestRounds) {
            m_hooks.requestRounds(Clock::now() + homeerrors::retrySoon);
        }
        // It is proven not to have run, so the front may send it to another upstream.
        pending.sent = false;
        finish(ticket, *refused);
        return;
    }
    reportAnswer(pending, answer);
    const bool confirms = needsConfirmation(pending, answer);
    if (confirms && !answer.status && pending.connection->usable()) {
        askStatusAgain(ticket, std::move(answer));
        return;
    }
    pending.reply.bytes = std::move(answer.bytes);
    pending.reply.transactionState = answer.state;
    pending.reply.seen = seenBy(pending, answer.status);
    returnConnection(ticket, answer.state);
    m_ledger.answered(pending.attempt, confirms);
    if (confirms) {
        confirm(ticket, answer.status);
    } else {
        finish(ticket, std::nullopt);
    }
}

// A batch that ended a transaction unexpectedly was sent without a status query. A status
// queried now is still taken after the commit.
void UpstreamHome::askStatusAgain(Ticket ticket, BatchAnswer answer)
{
    const HomeRequest &pending = m_pending.at(ticket);
    BatchOrder order;
    order.askStatus = true;
    order.deadline = pending.request.deadline;
    pending.connection->run(
        order,
        [weak = weak_from_this(), ticket,
         first = std::move(answer)](const tl::expected<BatchAnswer, BatchFailure> &second) mutable {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (second && second->status) {
                first.status = second->status;
                self->onAnswer(ticket, std::move(first));
                return;
            }
            self->onAnswer(ticket,
                           tl::unexpected(BatchFailure{BatchFailure::Reason::Lost, true, "gave no status after a commit"}));
        });
}

std::optional<LogMark> UpstreamHome::seenBy(const HomeRequest &pending, const std::optional<MemberStatus> &status) const
{
    if (!status) {
        // The floor is not a mark that this answer has seen. If it were returned, a session
        // that arrived without a token would count as one whose floor is complete.
        return std::nullopt;
    }
    // Both marks were taken after the statement ran: the mark of a write is at or before
    // `received`, and the state that a read saw is at or before `replayed`.
    const LogMark mark = runsOnReplicas(pending.request) ? status->replayed : status->received;
    return std::max(pending.request.freshness.floor.value_or(mark), mark);
}

// After an answer: releases the slot. The connection stays with its open transaction or
// returns to the pool.
void UpstreamHome::returnConnection(Ticket ticket, char state)
{
    HomeRequest &pending = m_pending.at(ticket);
    const Connection connection = std::exchange(pending.connection, nullptr);
    const std::uint64_t id = pending.request.transaction;
    if (id != 0) {
        HomeTransaction &transaction = m_transactions.at(id);
        transaction.ticket = 0;
        transaction.idleDeadline = Clock::now() + transactionIdleTimeout();
        pending.reply.transaction = state == 'I' ? 0 : id;
        if (state == 'I') {
            m_pool.put(connection);
            endTransaction(id);
        }
    } else if (state != 'I') {
        pending.connection = connection;
        bindTransaction(pending);
    } else {
        m_pool.put(connection);
    }
    release(ticket, pending, Clock::now() - pending.sentAt);
}

// A transaction has begun: reserves the connection for it until it ends.
void UpstreamHome::bindTransaction(HomeRequest &pending)
{
    const std::uint64_t id = m_settings.transactionIds->next();
    HomeTransaction transaction;
    transaction.frontKey = pending.frontKey;
    transaction.className = pending.request.className;
    transaction.connection = std::exchange(pending.connection, nullptr);
    transaction.readOnly = pending.request.kind == StatementKind::BeginReadOnly;
    transaction.counted = std::exchange(pending.countsTransaction, false);
    transaction.idleDeadline = Clock::now() + transactionIdleTimeout();
    m_transactions.emplace(id, std::move(transaction));
    pending.reply.transaction = id;
}

void UpstreamHome::confirm(Ticket ticket, const std::optional<MemberStatus> &status)
{
    HomeRequest &pending = m_pending.at(ticket);
    pending.stage = RequestStage::Confirming;
    if (!status || !m_hooks.awaitCommit) {
        onCommitOutcome(ticket, CommitOutcome::Expired);
        return;
    }
    const auto onOutcome = [weak = weak_from_this(), &context = m_context, ticket](CommitOutcome outcome) {
        asio::post(context, [weak, ticket, outcome] {
            if (const auto self = weak.lock()) {
                self->onCommitOutcome(ticket, outcome);
                self->makeProgress();
            }
        });
    };
    m_hooks.awaitCommit(pending.sentUnder, *status, pending.request.deadline, onOutcome);
}

void UpstreamHome::onCommitOutcome(Ticket ticket, CommitOutcome outcome)
{
    if (!m_pending.contains(ticket)) {
        return;
    }
    if (outcome == CommitOutcome::Confirmed) {
        m_ledger.confirmed(ticket);
        finish(ticket, std::nullopt);
        return;
    }
    m_ledger.unconfirmed(ticket);
    finish(ticket, homeerrors::unconfirmed(outcome));
}

void UpstreamHome::onLost(Ticket ticket, const BatchFailure &failure)
{
    const StatementRequest &request = m_pending.at(ticket).request;
    const std::string cause = "The upstream '" + m_upstream.name + "' " + failure.message;
    if (failure.reason == BatchFailure::Reason::Lost) {
        m_view.onConnectionLost(Clock::now());
        if (m_hooks.requestRounds) {
            m_hooks.requestRounds(Clock::now() + frequentRoundsDuration);
        }
    }
    const auto actions = m_ledger.hopBroken(ticket, homeerrors::retrySoon, Clock::now());
    const bool repeatable = !actions.empty() && actions.front().kind == LedgerAction::Kind::Retry;
    Error error = homeerrors::lostWrite(cause);
    if (isRead(request.kind) && failure.reason == BatchFailure::Reason::TooLarge) {
        error = homeerrors::oversizedRead(cause);
    } else if (isRead(request.kind) && repeatable) {
        error = homeerrors::lostRead(cause);
    } else if (!actions.empty() && actions.front().error) {
        error = *actions.front().error;
    }
    if (repeatable) {
        // The front decides whether and where to send it again: it holds the retry budget
        // and the state of the other upstreams.
        m_ledger.refuse(ticket, error);
    }
    finish(ticket, error);
}

// ---- Ends of requests

// Ends a request that was not sent, or not sent in this attempt.
void UpstreamHome::refuse(Ticket ticket, const Error &error)
{
    if (!m_pending.contains(ticket)) {
        return;
    }
    m_ledger.refuse(ticket, error);
    finish(ticket, error);
}

// Ends a request at once in any stage. A request that was sent and may have written has
// an unknown outcome. Its connection is closed, so that a late answer is not delivered to
// another request.
void UpstreamHome::giveUp(Ticket ticket, const Error &reason)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end()) {
        return;
    }
    const bool sentRead = found->second.sent && isRead(found->second.request.kind);
    const LedgerAction action = m_ledger.giveUp(ticket, reason);
    if (sentRead) {
        // A read changes nothing, so its outcome is never unknown.
        finish(ticket, homeerrors::readGivenUp(reason.kind));
        return;
    }
    finish(ticket, action.error.value_or(reason));
}

// The only place where a request ends: releases the resources it holds and answers it.
void UpstreamHome::finish(Ticket ticket, std::optional<Error> error)
{
    auto node = m_pending.extract(ticket);
    if (node.empty()) {
        return;
    }
    HomeRequest &pending = node.mapped();
    const Connection connection = std::exchange(pending.connection, nullptr);
    if (pending.stage == RequestStage::AwaitingFreshness) {
        m_rechecks.erase({pending.recheckAt, ticket});
    } else if (pending.stage == RequestStage::AwaitingSlot) {
        m_scheduler.withdraw(ticket);
    }
    release(ticket, pending, std::chrono::nanoseconds{0});
    const auto transaction = m_transactions.find(pending.request.transaction);
    if (transaction != m_transactions.end() && transaction->second.ticket == ticket) {
        transaction->second.ticket = 0;
    }
    if (connection) {
        // The request is running and its answer is outstanding.
        if (transaction != m_transactions.end()) {
            endTransaction(pending.request.transaction);
        }
        connection->giveUp();
        m_pool.drop(connection);
    }
    StatementReply reply = std::move(pending.reply);
    if (error) {
        reply.bytes.clear();
        reply.seen.reset();
        keepTransaction(reply, pending.request.transaction, pending.frontKey);
    }
    reply.error = std::move(error);
    reply.sent = reply.sent || pending.sent;
    replyTo(std::move(pending.handler), std::move(reply), pending.request.className);
}

// Releases the slot, and the reservation of a transaction that was not opened.
void UpstreamHome::release(Ticket ticket, HomeRequest &pending, std::chrono::nanoseconds serviceTime)
{
    const TimePoint now = Clock::now();
    const bool heldSlot = std::exchange(pending.holdsSlot, false);
    const bool counted = std::exchange(pending.countsTransaction, false);
    if (heldSlot) {
        apply(m_scheduler.finished(ticket, now, serviceTime));
    }
    if (counted) {
        apply(m_scheduler.transactionEnded(pending.request.className, now));
    }
}

// A refused statement leaves its transaction unchanged.
void UpstreamHome::keepTransaction(StatementReply &reply, std::uint64_t id, const std::string &frontKey) const
{
    const auto found = m_transactions.find(id);
    if (found != m_transactions.end() && found->second.frontKey == frontKey) {
        reply.transaction = id;
        reply.transactionState = found->second.connection->transactionState();
    }
}

void UpstreamHome::replyTo(ReplyHandler handler, StatementReply reply, const std::string &className)
{
    reply.hint = hint(className);
    countReply(reply);
    m_outbox.emplace_back(std::move(handler), std::move(reply));
}

void UpstreamHome::countReply(const StatementReply &reply)
{
    if (!reply.error) {
        ++m_answered;
    } else if (outcomeOf(reply.error->kind) == Outcome::Unknown) {
        ++m_unknown;
    } else if (reply.error->kind == ErrorKind::NotFresh) {
        ++m_notFresh;
    } else {
        ++m_refused;
    }
}

// ---- Transactions

milliseconds UpstreamHome::transactionIdleTimeout() const
{
    return m_configuration->transactionIdleTimeout.value_or(m_settings.idleTransactionTimeout);
}

void UpstreamHome::endTransaction(std::uint64_t id)
{
    auto node = m_transactions.extract(id);
    if (!node.empty() && node.mapped().counted) {
        apply(m_scheduler.transactionEnded(node.mapped().className, Clock::now()));
    }
}

// Rolls back a transaction whose front has disconnected or that was idle for too long.
void UpstreamHome::abandonTransaction(std::uint64_t id)
{
    const Connection connection = m_transactions.at(id).connection;
    endTransaction(id);
    if (!connection->usable()) {
        m_pool.drop(connection);
        return;
    }
    BatchOrder order;
    order.batch = m_settings.dialect->rollback;
    order.deadline = Clock::now() + rollbackTimeout;
    ++m_rollbacks;
    connection->run(order, [weak = weak_from_this(), connection](const tl::expected<BatchAnswer, BatchFailure> &) {
        if (const auto self = weak.lock()) {
            --self->m_rollbacks;
            self->m_pool.put(connection);
            self->makeProgress();
        }
    });
}

void UpstreamHome::cancel(const std::string &frontKey, std::uint64_t id)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(), [&](const auto &entry) {
        return entry.second.request.id == id && entry.second.frontKey == frontKey;
    });
    if (found != m_pending.end()) {
        giveUp(found->first, homeerrors::cancelled());
    }
    makeProgress();
}

void UpstreamHome::abandonFront(const std::string &frontKey)
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, pending] : m_pending) {
        // Includes answered writes that await confirmation: no front waits for them.
        if (pending.frontKey == frontKey) {
            tickets.push_back(ticket);
        }
    }
    for (const Ticket ticket : tickets) {
        giveUp(ticket, homeerrors::frontGone());
    }
    std::vector<std::uint64_t> transactions;
    for (const auto &[id, transaction] : m_transactions) {
        if (transaction.frontKey == frontKey) {
            transactions.push_back(id);
        }
    }
    for (const std::uint64_t id : transactions) {
        abandonTransaction(id);
    }
    makeProgress();
}

} // namespace egrettide
