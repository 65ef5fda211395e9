// The home of one upstream.

#include "runtime/upstreamhome.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

using Connection = UpstreamPool::Connection;

constexpr std::string_view readOnlyState = "25006";
constexpr milliseconds retrySoon{50};
// How long a rollback on behalf of a front that is gone may take before its
// connection is closed instead.
constexpr milliseconds rollbackTimeout{2000};

ConnectionSettings connectionSettings(const UpstreamHomeSettings &settings, const std::string &database,
                                      const UpstreamSpec &upstream)
{
    ConnectionSettings connection;
    connection.address = upstream.address;
    connection.user = settings.upstreamUser;
    connection.database = database;
    return connection;
}

ConnectionBudgetOptions budgetOptions(const UpstreamHomeSettings &settings, const UpstreamSpec &upstream)
{
    ConnectionBudgetOptions options = settings.budget;
    options.limit = upstream.connections;
    return options;
}

} // namespace

UpstreamHome::UpstreamHome(asio::io_context &context, std::shared_ptr<const Configuration> configuration,
                           const DatabaseSpec &database, const UpstreamSpec &upstream, const UpstreamHomeSettings &settings,
                           UpstreamHomeHooks hooks)
    : m_context(context)
    , m_configuration(std::move(configuration))
    , m_database(database)
    , m_upstream(upstream)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_view(database.name, upstream.name, settings.gate)
    , m_pool(context, connectionSettings(settings, database.name, upstream), budgetOptions(settings, upstream),
             settings.openTimeout, UpstreamPool::Hooks{[this] { settle(); }, [this](const Error &) { settle(); }})
    , m_scheduler(schedulerOptions())
    , m_nextTransaction(std::max<std::uint64_t>(1, settings.firstTransaction))
    , m_timer(context)
{
    m_pool.budget().becomeHome(Clock::now());
}

UpstreamHome::~UpstreamHome() = default;

SlotSchedulerOptions UpstreamHome::schedulerOptions() const
{
    SlotSchedulerOptions options = m_settings.scheduler;
    options.slots = m_upstream.slots;
    options.classes = m_configuration->classes;
    options.tenants = m_configuration->tenants;
    options.maximumTransactions = std::max(1, m_transactionPlaces);
    return options;
}

void UpstreamHome::followAllowance(TimePoint now)
{
    ConnectionBudget &budget = m_pool.budget();
    budget.demand(m_scheduler.inUse() + m_scheduler.queued() + static_cast<int>(m_transactions.size()), now);
    const int places = budget.transactionPlaces(m_upstream.slots, now);
    if (places != m_transactionPlaces) {
        m_transactionPlaces = places;
        apply(m_scheduler.configure(schedulerOptions(), now));
    }
}

// ---- Admission

void UpstreamHome::execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler)
{
    auto refusal = refusalOf(request);
    if (!refusal && request.transaction != 0) {
        refusal = transactionRefusal(request, frontKey);
    }
    if (refusal) {
        StatementReply reply;
        reply.id = request.id;
        reply.error = std::move(refusal);
        keepTransaction(reply, request.transaction, frontKey);
        replyTo(std::move(handler), std::move(reply), request.className);
        settle();
        return;
    }
    const Ticket ticket = ++m_lastTicket;
    HomeRequest pending;
    pending.request = std::move(request);
    pending.frontKey = frontKey;
    pending.handler = std::move(handler);
    pending.receivedHere = Clock::now();
    pending.replicaWaitUntil = pending.receivedHere + m_database.replicaWait;
    pending.reply.id = pending.request.id;
    // The ledger refuses a ticket only if it is open already; tickets only rise.
    static_cast<void>(m_ledger.open(factsOf(ticket, pending.request)));
    const bool checksFreshness = pending.request.transaction == 0 && runsOnReplicas(pending.request);
    if (pending.request.transaction != 0) {
        m_transactions.at(pending.request.transaction).ticket = ticket;
    }
    m_pending.emplace(ticket, std::move(pending));
    if (checksFreshness) {
        decideFreshness(ticket);
    } else {
        enqueue(ticket);
    }
    settle();
}

std::optional<Error> UpstreamHome::refusalOf(const StatementRequest &request) const
{
    if (m_closed || (m_draining && request.transaction == 0)) {
        return movedError();
    }
    if (request.deadline <= Clock::now()) {
        return Error{ErrorKind::DeadlineExceeded, "The deadline passed before anything was sent; ask again with more time."};
    }
    if (request.transaction != 0) {
        return std::nullopt;
    }
    if (m_upstream.leaving && !m_view.isPrimary()) {
        return leavingError();
    }
    return runsOnReplicas(request) ? std::nullopt : primaryRefusal();
}

std::optional<Error> UpstreamHome::transactionRefusal(const StatementRequest &request, const std::string &frontKey) const
{
    const auto found = m_transactions.find(request.transaction);
    if (found == m_transactions.end() || found->second.frontKey != frontKey) {
        return Error{ErrorKind::Moved, "The transaction is no longer open; it was rolled back. Start it again.", retrySoon};
    }
    if (found->second.ticket != 0) {
        return Error{ErrorKind::InvalidInput, "A statement of this transaction is still running; wait for its answer."};
    }
    return std::nullopt;
}

Error UpstreamHome::movedError() const
{
    return Error{ErrorKind::Moved, "This host is no longer the home of '" + m_upstream.name + "'; ask its new home.", retrySoon};
}

Error UpstreamHome::leavingError() const
{
    return Error{ErrorKind::Leaving, "The upstream '" + m_upstream.name + "' is leaving; use another one.", retrySoon};
}

std::optional<Error> UpstreamHome::primaryRefusal() const
{
    if (m_view.primary().empty()) {
        return Error{ErrorKind::NoPrimary, "No primary of '" + m_database.name + "' is known yet; retry shortly.", retrySoon};
    }
    if (!m_view.isPrimary()) {
        return Error{ErrorKind::Moved, "The primary of '" + m_database.name + "' is '" + m_view.primary() + "'; ask its home.",
                     milliseconds{0}};
    }
    return std::nullopt;
}

GateDecision UpstreamHome::gateDecision(const HomeRequest &pending, TimePoint now) const
{
    FreshnessRequest request;
    request.freshness = pending.request.freshness;
    request.receivedAt = pending.request.receivedAt;
    request.deadline = pending.request.deadline;
    request.floorSince = pending.receivedHere;
    request.replicaWaitUntil = pending.replicaWaitUntil;
    return m_view.decide(request, now);
}

void UpstreamHome::decideFreshness(Ticket ticket)
{
    const TimePoint now = Clock::now();
    if (m_settings.faults.skipFreshness) {
        enqueue(ticket);
        return;
    }
    if (!m_view.observed()) {
        // Nothing has been observed yet; the first snapshot comes within a round.
        awaitFreshness(ticket, m_pending.at(ticket).request.deadline);
        return;
    }
    const GateDecision decision = gateDecision(m_pending.at(ticket), now);
    if (std::holds_alternative<Serve>(decision)) {
        enqueue(ticket);
    } else if (const auto *wait = std::get_if<WaitUntil>(&decision)) {
        awaitFreshness(ticket, wait->until);
    } else {
        const FreshnessReason reason = std::get<GoElsewhere>(decision).reason;
        refuse(ticket,
               Error{ErrorKind::NotFresh,
                     "The upstream '" + m_upstream.name + "' is not fresh enough in time (" + std::string(nameOf(reason))
                         + "); read from another one or accept an older state.",
                     retrySoon});
    }
}

void UpstreamHome::awaitFreshness(Ticket ticket, TimePoint until)
{
    HomeRequest &pending = m_pending.at(ticket);
    pending.stage = RequestStage::AwaitingFreshness;
    pending.recheckAt = until;
    m_rechecks.emplace(until, ticket);
    if (m_hooks.hurry) {
        m_hooks.hurry(until);
    }
}

void UpstreamHome::enqueue(Ticket ticket)
{
    HomeRequest &pending = m_pending.at(ticket);
    const StatementRequest &request = pending.request;
    pending.stage = RequestStage::AwaitingSlot;
    StatementTicket wanted;
    wanted.id = ticket;
    wanted.className = request.className;
    wanted.tenant = request.tenant;
    wanted.deadline = request.deadline;
    wanted.kind = request.kind;
    wanted.holdsTransaction = request.transaction != 0;
    const Admission admission = m_scheduler.enqueue(wanted, Clock::now());
    if (admission.state == AdmissionState::Admitted) {
        apply(SlotActions{{ticket}, {}});
    } else if (admission.state == AdmissionState::Refused) {
        refuse(ticket,
               admission.error.value_or(Error{ErrorKind::Overloaded, "No slot is free in time; retry later.", retrySoon}));
    }
}

void UpstreamHome::apply(const SlotActions &actions)
{
    for (const Ticket ticket : actions.admitted) {
        HomeRequest &pending = m_pending.at(ticket);
        pending.stage = RequestStage::AwaitingConnection;
        pending.holdsSlot = true;
        pending.countsTransaction = opensTransaction(pending.request.kind) && pending.request.transaction == 0;
        m_ready.push_back(ticket);
    }
    for (const TicketRefusal &refusal : actions.refused) {
        refuse(refusal.id, refusal.error);
    }
}

// ---- Sending

void UpstreamHome::sendReady()
{
    std::deque<Ticket> waiting;
    while (!m_ready.empty()) {
        const Ticket ticket = m_ready.front();
        m_ready.pop_front();
        if (!sendOne(ticket)) {
            waiting.push_back(ticket);
        }
    }
    m_ready = std::move(waiting);
}

// False when the ticket has to wait for a connection.
bool UpstreamHome::sendOne(Ticket ticket)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end() || found->second.stage != RequestStage::AwaitingConnection) {
        return true;
    }
    if (!maySendNow(ticket)) {
        return true;
    }
    const std::uint64_t transaction = found->second.request.transaction;
    const Connection connection = transaction != 0 ? m_transactions.at(transaction).connection : m_pool.take();
    if (!connection) {
        return false;
    }
    start(ticket, connection);
    return true;
}

// The last look before a request leaves: what held when it was queued may not
// hold any more. Refuses it, or lets it wait again, when it must not be sent.
bool UpstreamHome::maySendNow(Ticket ticket)
{
    HomeRequest &pending = m_pending.at(ticket);
    if (pending.request.transaction != 0) {
        return true;
    }
    if (!runsOnReplicas(pending.request)) {
        const auto refusal = primaryRefusal();
        if (refusal) {
            refuse(ticket, *refusal);
        }
        return !refusal;
    }
    if (m_settings.faults.skipFreshness || std::holds_alternative<Serve>(gateDecision(pending, Clock::now()))) {
        return true;
    }
    release(ticket, pending, std::chrono::nanoseconds{0});
    decideFreshness(ticket);
    return false;
}

void UpstreamHome::start(Ticket ticket, const Connection &connection)
{
    HomeRequest &pending = m_pending.at(ticket);
    const auto attempt = m_ledger.send(ticket, ticket);
    pending.attempt = attempt.value_or(0);
    pending.stage = RequestStage::Running;
    pending.connection = connection;
    pending.sentAt = Clock::now();
    pending.sentUnder = m_view.term();
    pending.sent = true;
    ++m_sent;
    connection->run(orderFor(pending.request), [weak = weak_from_this(), ticket](tl::expected<BatchAnswer, BatchFailure> answer) {
        if (const auto self = weak.lock()) {
            self->onAnswer(ticket, std::move(answer));
        }
    });
}

void UpstreamHome::onAnswer(Ticket ticket, tl::expected<BatchAnswer, BatchFailure> answer)
{
    // A request that was given up has been answered; its connection is closed.
    if (!m_pending.contains(ticket)) {
        return;
    }
    if (answer) {
        onWholeAnswer(ticket, std::move(*answer));
    } else {
        onLost(ticket, answer.error());
    }
    settle();
}

// ---- Answers

bool UpstreamHome::needsConfirmation(const HomeRequest &pending, const BatchAnswer &answer) const
{
    const StatementKind kind = pending.request.kind;
    if (m_settings.faults.skipConfirmation || answer.state != 'I' || isRead(kind) || kind == StatementKind::Rollback) {
        return false;
    }
    const auto transaction = m_transactions.find(pending.request.transaction);
    const bool readOnly =
        kind == StatementKind::BeginReadOnly || (transaction != m_transactions.end() && transaction->second.readOnly);
    // A replica takes no writes, so a read-only transaction there has none.
    const bool onReplica = answer.status && answer.status->role == UpstreamRole::Replica;
    return !(readOnly && onReplica);
}

// A fenced upstream refuses a write with "read-only transaction". If that is all
// it did, nothing ran, and the request may go to the new primary.
bool UpstreamHome::isFencedRefusal(const HomeRequest &pending, const BatchAnswer &answer) const
{
    return answer.sqlState == readOnlyState && answer.completedStatements == 0 && pending.request.transaction == 0
        && answer.state == 'I' && !runsOnReplicas(pending.request);
}

void UpstreamHome::onWholeAnswer(Ticket ticket, BatchAnswer answer)
{
    HomeRequest &pending = m_pending.at(ticket);
    if (answer.status) {
        m_view.onStatus(*answer.status, pending.sentAt);
    }
    if (isFencedRefusal(pending, answer)) {
        settleConnection(ticket, answer.state);
        const Error error{ErrorKind::Moved,
                          "The upstream '" + m_upstream.name + "' takes no writes any more; ask the new primary.", retrySoon};
        m_ledger.notRun(pending.attempt, error, false, Clock::now());
        if (m_hooks.hurry) {
            m_hooks.hurry(Clock::now() + retrySoon);
        }
        pending.reply.sent = false;
        finish(ticket, error);
        return;
    }
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
        transaction.idleDeadline = Clock::now() + m_settings.idleTransactionTimeout;
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
    transaction.idleDeadline = Clock::now() + m_settings.idleTransactionTimeout;
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
    const std::string cause = outcome == CommitOutcome::LostPrimary ? "the primary was replaced before a majority held the write"
                                                                    : "no majority confirmed the write in time";
    finish(ticket,
           Error{ErrorKind::UnknownOutcome,
                 "The outcome is unknown: " + cause + "; look whether it took effect before you repeat it."});
}

void UpstreamHome::onLost(Ticket ticket, const BatchFailure &failure)
{
    const StatementRequest &request = m_pending.at(ticket).request;
    const std::string cause = "The upstream '" + m_upstream.name + "' " + failure.message;
    const auto actions = m_ledger.hopBroken(ticket, retrySoon, Clock::now());
    const bool repeatable = !actions.empty() && actions.front().kind == LedgerAction::Kind::Retry;
    Error error{ErrorKind::UnknownOutcome, cause + "; look whether the statement took effect before you repeat it."};
    if (isRead(request.kind) && failure.reason == BatchFailure::Reason::TooLarge) {
        error = Error{ErrorKind::Unsupported, cause + "."};
    } else if (isRead(request.kind) && repeatable) {
        error = Error{ErrorKind::Moved, cause + "; the read may be repeated elsewhere.", retrySoon};
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

// ---- Views

void UpstreamHome::onSnapshot(const std::shared_ptr<const GroupSnapshot> &snapshot)
{
    if (!snapshot || m_closed) {
        return;
    }
    if (m_view.onSnapshot(*snapshot)) {
        leaveReplacedPrimary();
    }
    const auto waiting = std::exchange(m_rechecks, {});
    for (const auto &[recheckAt, ticket] : waiting) {
        decideFreshness(ticket);
    }
    settle();
}

// The primary changed: queued writes go to the new one, and those that the old
// one has not answered are waited for a little only, since it may be frozen.
void UpstreamHome::leaveReplacedPrimary()
{
    if (m_view.isPrimary() || m_view.primary().empty()) {
        return;
    }
    refuseQueued(*primaryRefusal(), true);
    m_patienceUntil = Clock::now() + m_settings.replacedPrimaryPatience;
}

void UpstreamHome::refuseQueued(const Error &error, bool writesOnly)
{
    std::vector<Ticket> queued;
    for (const auto &[ticket, pending] : m_pending) {
        const bool concerned = pending.request.transaction == 0 && (!writesOnly || !runsOnReplicas(pending.request));
        if (isUnsent(pending) && concerned) {
            queued.push_back(ticket);
        }
    }
    for (const Ticket ticket : queued) {
        refuse(ticket, error);
    }
}

GroupHint UpstreamHome::hint(const std::string &className) const
{
    const TimePoint now = Clock::now();
    return m_view.hint(m_scheduler.expectedWait(className, now), m_upstream.leaving, now);
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
        finish(ticket, Error{reason.kind, "The read was given up before its answer came; repeat it with more time.", retrySoon});
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
    pg::appendQuery(order.batch, "ROLLBACK");
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
        giveUp(found->first, Error{ErrorKind::DeadlineExceeded, "The request was cancelled; nothing was sent."});
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
        giveUp(ticket, Error{ErrorKind::Leaving, "The host that sent the request is gone; nothing was sent."});
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

// ---- Time

// Carries on with everything that a change has made possible, then answers. All
// entries end here; handlers that call back in are taken up by the outer call.
void UpstreamHome::settle()
{
    m_unsettled = true;
    if (m_settling) {
        return;
    }
    const auto keepAlive = shared_from_this();
    m_settling = true;
    do {
        m_unsettled = false;
        followAllowance(Clock::now());
        sendReady();
        m_pool.balance(m_ready.size(), Clock::now());
        flushOutbox();
    } while (m_unsettled || !m_outbox.empty());
    reportProgress();
    finishDrain();
    m_settling = false;
    armTimer();
}

void UpstreamHome::flushOutbox()
{
    auto outbox = std::exchange(m_outbox, {});
    for (auto &[handler, reply] : outbox) {
        handler(std::move(reply));
    }
}

TimePoint UpstreamHome::nextEventAt(TimePoint now) const
{
    TimePoint next = std::min({m_ledger.nextDeadline(), m_scheduler.nextEventAt(), m_pool.nextEventAt(now)});
    if (!m_rechecks.empty()) {
        next = std::min(next, m_rechecks.begin()->first);
    }
    for (const auto &[id, transaction] : m_transactions) {
        next = std::min(next, transaction.ticket == 0 ? transaction.idleDeadline : TimePoint::max());
    }
    return std::min(next, m_patienceUntil);
}

void UpstreamHome::armTimer()
{
    if (m_closed) {
        return;
    }
    // A timer that is set too early costs one look; setting it anew for each
    // request would cost more.
    const TimePoint next = nextEventAt(Clock::now());
    if (next >= m_armedFor) {
        return;
    }
    m_armedFor = next;
    m_timer.expires_at(next);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) {
            self->onTimer();
        }
    });
}

void UpstreamHome::onTimer()
{
    m_armedFor = TimePoint::max();
    const TimePoint now = Clock::now();
    giveUpOverdue(now);
    giveUpOnReplacedPrimary(now);
    apply(m_scheduler.expire(now));
    recheckFreshness(now);
    dropIdleTransactions(now);
    shedSurplus(now);
    settle();
}

void UpstreamHome::giveUpOverdue(TimePoint now)
{
    for (const Ticket ticket : m_ledger.overdue(now)) {
        giveUp(ticket,
               Error{ErrorKind::DeadlineExceeded, "The deadline passed before anything was sent; retry later.", retrySoon});
    }
}

// A replaced primary may be frozen with statements outstanding: after a while
// their callers are told that the outcome is unknown.
void UpstreamHome::giveUpOnReplacedPrimary(TimePoint now)
{
    if (now < m_patienceUntil) {
        return;
    }
    m_patienceUntil = TimePoint::max();
    std::vector<Ticket> stuck;
    for (const auto &[ticket, pending] : m_pending) {
        const bool sentBefore = pending.stage == RequestStage::Running && pending.sentUnder < m_view.term();
        if (sentBefore && !isRead(pending.request.kind) && !m_view.isPrimary()) {
            stuck.push_back(ticket);
        }
    }
    for (const Ticket ticket : stuck) {
        giveUp(ticket, Error{ErrorKind::Moved, "The primary was replaced; ask the new one.", retrySoon});
    }
}

void UpstreamHome::recheckFreshness(TimePoint now)
{
    std::vector<Ticket> due;
    for (const auto &[recheckAt, ticket] : m_rechecks) {
        if (recheckAt > now) {
            break;
        }
        due.push_back(ticket);
    }
    for (const Ticket ticket : due) {
        m_rechecks.erase({m_pending.at(ticket).recheckAt, ticket});
        decideFreshness(ticket);
    }
}

void UpstreamHome::dropIdleTransactions(TimePoint now)
{
    std::vector<std::uint64_t> idle;
    for (const auto &[id, transaction] : m_transactions) {
        if (transaction.ticket == 0 && transaction.idleDeadline <= now) {
            idle.push_back(id);
        }
    }
    for (const std::uint64_t id : idle) {
        abandonTransaction(id);
    }
}

// What goes wrong: this host is no longer confirmed as the home, and another one
// may hold connections, too; the upstream would refuse the control connections
// of observers. So what exceeds the share is closed in time even if it is busy.
void UpstreamHome::shedSurplus(TimePoint now)
{
    const auto allowance = static_cast<std::size_t>(std::max(0, m_pool.budget().allowance(now)));
    if (now < m_pool.budget().shedsBy(now) || m_pool.size() <= allowance) {
        return;
    }
    m_pool.closeSpare();
    while (m_pool.size() > allowance && !m_transactions.empty()) {
        shedTransaction(m_transactions.begin()->first);
    }
}

void UpstreamHome::shedTransaction(std::uint64_t id)
{
    const HomeTransaction transaction = m_transactions.at(id);
    if (transaction.ticket != 0) {
        giveUp(transaction.ticket, movedError());
    }
    endTransaction(id);
    m_pool.drop(transaction.connection);
}

void UpstreamHome::onClockGap()
{
    m_pool.budget().suspended(Clock::now());
    settle();
}

// ---- Operations

void UpstreamHome::update(std::shared_ptr<const Configuration> configuration)
{
    const DatabaseSpec *database = configuration->database(m_database.name);
    const UpstreamSpec *upstream = database ? database->upstream(m_upstream.name) : nullptr;
    m_configuration = std::move(configuration);
    if (!upstream) {
        m_upstream.leaving = true;
        settle();
        return;
    }
    m_database = *database;
    m_upstream = *upstream;
    apply(m_scheduler.configure(schedulerOptions(), Clock::now()));
    if (m_upstream.leaving && !m_view.isPrimary()) {
        refuseQueued(leavingError(), false);
    }
    settle();
}

void UpstreamHome::pauseWrites(std::function<void(std::size_t open)> progress)
{
    m_progress = std::move(progress);
    m_reportedOpen.reset();
    m_scheduler.pause();
    settle();
}

void UpstreamHome::resumeWrites()
{
    m_progress = nullptr;
    apply(m_scheduler.resume(Clock::now()));
    settle();
}

std::size_t UpstreamHome::openWrites() const
{
    const auto writing = std::count_if(m_pending.begin(), m_pending.end(), [](const auto &entry) {
        const HomeRequest &pending = entry.second;
        const bool admitted =
            pending.holdsSlot || pending.stage == RequestStage::Running || pending.stage == RequestStage::Confirming;
        return admitted && pending.request.transaction == 0 && !runsOnReplicas(pending.request);
    });
    const auto transactions =
        std::count_if(m_transactions.begin(), m_transactions.end(), [](const auto &entry) { return !entry.second.readOnly; });
    const auto commits = std::count_if(m_pending.begin(), m_pending.end(), [](const auto &entry) {
        return entry.second.stage == RequestStage::Confirming && entry.second.request.transaction != 0;
    });
    return static_cast<std::size_t>(writing + transactions + commits);
}

void UpstreamHome::reportProgress()
{
    if (!m_progress) {
        return;
    }
    const std::size_t open = openWrites();
    if (m_reportedOpen != open) {
        m_reportedOpen = open;
        m_progress(open);
    }
}

void UpstreamHome::drain(std::function<void()> drained)
{
    m_draining = true;
    m_drained = std::move(drained);
    m_pool.budget().resign(Clock::now());
    refuseQueued(movedError(), false);
    settle();
}

void UpstreamHome::finishDrain()
{
    if (!m_draining || !m_drained || !m_pending.empty() || !m_transactions.empty() || m_rollbacks > 0) {
        return;
    }
    m_pool.closeSpare();
    if (m_pool.size() > 0) {
        return;
    }
    if (m_hooks.handedBack) {
        m_hooks.handedBack(m_pool.budget().handBack(Clock::now()));
    }
    std::exchange(m_drained, nullptr)();
}

void UpstreamHome::takeBack()
{
    m_draining = false;
    m_drained = nullptr;
    m_pool.budget().becomeHome(Clock::now());
    settle();
}

void UpstreamHome::close()
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, pending] : m_pending) {
        tickets.push_back(ticket);
    }
    m_draining = true;
    for (const Ticket ticket : tickets) {
        giveUp(ticket, Error{ErrorKind::Leaving, "This host stops; nothing was sent. Ask another one.", retrySoon});
    }
    m_transactions.clear();
    m_pool.close();
    m_pool.budget().resign(Clock::now());
    settle();
    m_closed = true;
    m_timer.cancel();
}

void UpstreamHome::confirmedHome(TimePoint askedAt)
{
    m_pool.budget().confirmed(askedAt);
    settle();
}

void UpstreamHome::handedBack(const HandBack &handBack)
{
    m_pool.budget().handedBack(handBack, Clock::now());
    settle();
}

UpstreamHomeStats UpstreamHome::stats() const
{
    UpstreamHomeStats stats;
    stats.database = m_database.name;
    stats.upstream = m_upstream.name;
    stats.sent = m_sent;
    stats.answered = m_answered;
    stats.refused = m_refused;
    stats.unknownOutcomes = m_unknown;
    stats.notFresh = m_notFresh;
    stats.connectionsOpened = m_pool.opened();
    stats.connections = m_pool.size();
    stats.busyConnections = m_pool.taken();
    stats.waiting = m_pending.size();
    stats.transactions = m_transactions.size();
    return stats;
}

} // namespace egrettide
