// The home of one upstream: answers, held commits, ends of requests, transactions.

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

// How long rounds are asked for at the fast pace after a connection broke.
constexpr milliseconds proofPatience{2000};
// How long a rollback on behalf of a front that is gone may take before its
// connection is closed instead.
constexpr milliseconds rollbackTimeout{2000};
// Answers are told to the group's observer this far apart: each costs the control thread
// a turn, and a position that is 100 ms older still serves reads of 200 ms.
constexpr milliseconds tellSpacing{100};

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
    // A replica takes no writes, so a read-only transaction there has none.
    const bool onReplica = answer.status && answer.status->role == UpstreamRole::Replica;
    return !(readOnly && onReplica);
}

// What to tell the front when the upstream says that nothing ran. Only an idle
// connection is as it was before; what fails inside a transaction is the
// transaction's own matter, unless the upstream has lost the lead.
std::optional<Error> UpstreamHome::refusalIn(const HomeRequest &pending, const BatchAnswer &answer) const
{
    if (!answer.refusal) {
        return std::nullopt;
    }
    switch (*answer.refusal) {
    case ErrorKind::Moved: {
        const bool isNew = pending.request.transaction == 0 && answer.state == 'I' && !runsOnReplicas(pending.request);
        const bool isLost = pending.request.transaction != 0 && m_settings.dialect->leaderProvesItself;
        return isNew || isLost ? std::optional(homeerrors::fenced(m_upstream.name)) : std::nullopt;
    }
    case ErrorKind::NotFresh:
        return homeerrors::notFresh(m_upstream.name, FreshnessReason::Floor);
    default:
        return homeerrors::upstreamBusy(m_upstream.name);
    }
}

// Statements that an upstream which does not lead refuses.
bool UpstreamHome::provesLead(const HomeRequest &pending) const
{
    const StatementRequest &request = pending.request;
    if (!m_settings.dialect->leaderProvesItself || request.transaction != 0) {
        return false;
    }
    const bool isChecked = isRead(request.kind) && request.needsPrimary;
    return isChecked || request.kind == StatementKind::Write || request.kind == StatementKind::Begin;
}

// What an answer tells need not be asked for.
void UpstreamHome::tellAnswer(const HomeRequest &pending, const BatchAnswer &answer)
{
    if (!m_hooks.answered || !m_settings.dialect->leaderProvesItself || !answer.status || !answer.errorCode.empty()) {
        return;
    }
    const TimePoint now = Clock::now();
    const bool leads = provesLead(pending);
    TimePoint &due = leads ? m_tellLeadAt : m_tellAt;
    if (now < due) {
        return;
    }
    due = now + tellSpacing;
    m_hooks.answered(StatementProof{*answer.status, pending.sentAt, leads});
}

void UpstreamHome::onWholeAnswer(Ticket ticket, BatchAnswer answer)
{
    HomeRequest &pending = m_pending.at(ticket);
    if (answer.status) {
        m_view.onStatus(*answer.status, pending.sentAt);
    }
    if (const auto refused = refusalIn(pending, answer)) {
        settleConnection(ticket, answer.state);
        m_ledger.notRun(pending.attempt, *refused, false, Clock::now());
        if (refused->kind == ErrorKind::Moved && m_hooks.hurry) {
            m_hooks.hurry(Clock::now() + homeerrors::retrySoon);
        }
        // Proven not to have run, so it may be sent elsewhere.
        pending.sent = false;
        finish(ticket, *refused);
        return;
    }
    tellAnswer(pending, answer);
    const bool confirms = needsConfirmation(pending, answer);
    if (confirms && !answer.status && pending.connection->usable()) {
        askStatusAgain(ticket, std::move(answer));
        return;
    }
    pending.reply.bytes = std::move(answer.bytes);
    pending.reply.transactionState = answer.state;
    pending.reply.seen = seenBy(pending, answer.status);
    settleConnection(ticket, answer.state);
    m_ledger.answered(pending.attempt, confirms);
    if (confirms) {
        confirm(ticket, answer.status);
    } else {
        finish(ticket, std::nullopt);
    }
}

// A batch that ended a transaction against expectation was sent without a
// question for the status: asked now, it still comes after the commit.
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
        // The floor alone proves nothing about this answer: handed back, it would
        // make a session that arrived without a token count as known.
        return std::nullopt;
    }
    // A write's own mark is at or before `received`; what a read saw is at or
    // before `replayed`, as both were taken after it ran.
    const LogMark mark = runsOnReplicas(pending.request) ? status->replayed : status->received;
    return std::max(pending.request.freshness.floor.value_or(mark), mark);
}

// After an answer: the slot is free, and the connection goes to its transaction
// or back to the pool.
void UpstreamHome::settleConnection(Ticket ticket, char state)
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

// A transaction has begun: the connection is its own until it ends.
void UpstreamHome::bindTransaction(HomeRequest &pending)
{
    const std::uint64_t id = m_nextTransaction++;
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
                self->settle();
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
        if (m_hooks.hurry) {
            m_hooks.hurry(Clock::now() + proofPatience);
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
        // Whether to send it again, and where, is for the front to say: its retry
        // budget counts, and it knows the other upstreams.
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

// Ends a request at once, wherever it is. What was sent and may have written has
// an unknown outcome; its connection is closed, so that a late answer reaches
// nobody.
void UpstreamHome::giveUp(Ticket ticket, const Error &reason)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end()) {
        return;
    }
    const bool sentRead = found->second.sent && isRead(found->second.request.kind);
    const LedgerAction action = m_ledger.giveUp(ticket, reason);
    if (sentRead) {
        // A read changes nothing, so nothing about it is unknown.
        finish(ticket, homeerrors::readGivenUp(reason.kind));
        return;
    }
    finish(ticket, action.error.value_or(reason));
}

// The one place where a request ends: takes back what it holds and answers it.
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
        // It was running: the answer is outstanding.
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

// Gives the slot back, and the place of a transaction that did not come about.
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

// A refused statement leaves the transaction that it belongs to as it was.
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

// Rolls a transaction back for a front that is gone or has fallen silent.
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
            self->settle();
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
    settle();
}

void UpstreamHome::abandonFront(const std::string &frontKey)
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, pending] : m_pending) {
        // An answered write may still be confirmed; nobody waits for it, so it ends too.
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
    settle();
}

} // namespace egrettide
