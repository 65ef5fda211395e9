// The home of one upstream: admission, freshness and sending. Answers are handled in
// upstreamhomeanswers.cpp, timers and operations in upstreamhomeupkeep.cpp.

#include "runtime/upstreams/upstreamhome.h"

#include "runtime/upstreams/homeerrors.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

// Connections kept open beyond the slots, for transactions that are idle between two
// statements. Without them a BEGIN waits 10 to 30 ms for a connection to open.
constexpr int warmBeyondSlots = 2;

ConnectionSettings connectionSettings(const UpstreamHomeSettings &settings, const std::string &database,
                                      const UpstreamSpec &upstream)
{
    ConnectionSettings connection;
    connection.address = upstream.address;
    connection.user = settings.upstreamUser;
    connection.database = database;
    connection.upstream = upstream.name;
    return connection;
}

ConnectionBudgetOptions budgetOptions(const UpstreamHomeSettings &settings, const UpstreamSpec &upstream)
{
    ConnectionBudgetOptions options = settings.budget;
    options.limit = upstream.connections;
    options.minimumWarm = std::max(options.minimumWarm, upstream.slots + warmBeyondSlots);
    return options;
}

ConnectionPlanOptions planOptions(const UpstreamHomeSettings &settings)
{
    ConnectionPlanOptions options = settings.connections;
    options.perOwner = settings.dialect->connectsAsWorkspace;
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
    , m_pool(context, settings.dialect->control.makeLink, connectionSettings(settings, database.name, upstream),
             budgetOptions(settings, upstream), planOptions(settings), settings.openTimeout,
             UpstreamPool::Hooks{[this] { makeProgress(); }, [this](const Error &) { makeProgress(); }})
    , m_scheduler(schedulerOptions())
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
    options.maximumTransactions = std::max(1, m_transactionLimit);
    return options;
}

void UpstreamHome::applyAllowance(TimePoint now)
{
    ConnectionBudget &budget = m_pool.budget();
    const ConnectionDemand demand{m_scheduler.inUse(), m_scheduler.queued(), static_cast<int>(m_transactions.size()),
                                  m_upstream.slots};
    budget.demand(connectionsFor(demand), now);
    const int places = budget.transactionLimit(m_upstream.slots, now);
    if (places != m_transactionLimit) {
        m_transactionLimit = places;
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
        makeProgress();
        return;
    }
    if (request.transaction == 0) {
        m_pool.noteRequest(ownerOf(request), Clock::now());
    }
    const Ticket ticket = ++m_lastTicket;
    HomeRequest pending;
    pending.request = std::move(request);
    pending.frontKey = frontKey;
    pending.handler = std::move(handler);
    pending.receivedHere = Clock::now();
    pending.replicaWaitUntil = pending.receivedHere + m_database.replicaWait;
    pending.reply.id = pending.request.id;
    // The ledger refuses only tickets that are already open; tickets are never reused.
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
    makeProgress();
}

std::optional<Error> UpstreamHome::refusalOf(const StatementRequest &request) const
{
    if (m_closed || (m_draining && request.transaction == 0)) {
        return homeerrors::notHome(m_upstream.name);
    }
    if (request.deadline <= Clock::now()) {
        return homeerrors::deadlinePassed();
    }
    if (request.transaction != 0) {
        return std::nullopt;
    }
    if (auto refusal = leavingRefusal(request)) {
        return refusal;
    }
    return runsOnReplicas(request) ? std::nullopt : primaryRefusal();
}

std::optional<Error> UpstreamHome::leavingRefusal(const StatementRequest &request) const
{
    const bool ended = m_newWorkEndsAt && Clock::now() >= *m_newWorkEndsAt;
    if (!ended && (!m_upstream.leaving || m_view.isPrimary())) {
        return std::nullopt;
    }
    const bool needsThisOne = m_view.isPrimary() && !runsOnReplicas(request);
    return needsThisOne ? homeerrors::primaryLeaving(m_database.name) : homeerrors::upstreamLeaving(m_upstream.name);
}

std::optional<Error> UpstreamHome::transactionRefusal(const StatementRequest &request, const std::string &frontKey) const
{
    const auto found = m_transactions.find(request.transaction);
    if (found == m_transactions.end() || found->second.frontKey != frontKey) {
        return homeerrors::transactionGone();
    }
    if (found->second.ticket != 0) {
        return homeerrors::transactionBusy();
    }
    return std::nullopt;
}

std::optional<Error> UpstreamHome::primaryRefusal() const
{
    if (m_view.primary().empty()) {
        return homeerrors::noPrimary(m_database.name);
    }
    if (!m_view.isPrimary()) {
        return homeerrors::primaryElsewhere(m_database.name, m_view.primary());
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
    if (!m_pending.contains(ticket)) {
        return;
    }
    const TimePoint now = Clock::now();
    if (m_settings.faults.skipFreshness) {
        enqueue(ticket);
        return;
    }
    if (!m_view.observed()) {
        // No snapshot has been received yet; the first one arrives within a round.
        awaitFreshness(ticket, m_pending.at(ticket).request.deadline);
        return;
    }
    const GateDecision decision = gateDecision(m_pending.at(ticket), now);
    if (const auto *serve = std::get_if<Serve>(&decision)) {
        m_pending.at(ticket).terms = *serve;
        enqueue(ticket);
    } else if (const auto *wait = std::get_if<WaitUntil>(&decision)) {
        awaitFreshness(ticket, wait->until);
    } else {
        refuse(ticket, homeerrors::notFresh(m_upstream.name, std::get<GoElsewhere>(decision).reason));
    }
}

void UpstreamHome::awaitFreshness(Ticket ticket, TimePoint until)
{
    HomeRequest &pending = m_pending.at(ticket);
    pending.stage = RequestStage::AwaitingFreshness;
    pending.recheckAt = until;
    m_rechecks.emplace(until, ticket);
    if (m_hooks.requestRounds) {
        m_hooks.requestRounds(until);
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
    wanted.objective = request.objective;
    wanted.kind = request.kind;
    wanted.holdsTransaction = request.transaction != 0;
    const Admission admission = m_scheduler.enqueue(wanted, Clock::now());
    if (admission.state == AdmissionState::Admitted) {
        apply(SlotActions{{ticket}, {}});
    } else if (admission.state == AdmissionState::Refused) {
        refuse(ticket, admission.error.value_or(homeerrors::noSlot()));
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

// False when the ticket has to wait for a connection, or for a confirmation that the
// upstream is still the primary.
bool UpstreamHome::sendOne(Ticket ticket)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end() || found->second.stage != RequestStage::AwaitingConnection) {
        return true;
    }
    if (!maySendNow(ticket)) {
        return true;
    }
    if (awaitsProofOfPrimary(found->second)) {
        return false;
    }
    const std::uint64_t transaction = found->second.request.transaction;
    const Connection connection =
        transaction != 0 ? m_transactions.at(transaction).connection : m_pool.take(ownerOf(found->second.request));
    if (!connection) {
        return false;
    }
    start(ticket, connection);
    return true;
}

std::string UpstreamHome::ownerOf(const StatementRequest &request) const
{
    return m_settings.dialect->connectsAsWorkspace ? request.tenant : std::string();
}

// The owners of the requests that hold a slot and have no connection.
std::vector<std::string_view> UpstreamHome::ownersWaiting() const
{
    std::vector<std::string_view> owners;
    for (const Ticket ticket : m_ready) {
        const auto found = m_pending.find(ticket);
        if (found != m_pending.end() && found->second.stage == RequestStage::AwaitingConnection) {
            owners.push_back(m_settings.dialect->connectsAsWorkspace ? std::string_view(found->second.request.tenant)
                                                                     : std::string_view());
        }
    }
    return owners;
}

// Checks a request again just before it is sent, since the group may have changed while
// it was queued. Refuses it or lets it wait again if it must not be sent now.
bool UpstreamHome::maySendNow(Ticket ticket)
{
    HomeRequest &pending = m_pending.at(ticket);
    if (pending.request.transaction != 0) {
        return true;
    }
    if (const auto refusal = leavingRefusal(pending.request)) {
        refuse(ticket, *refusal);
        return false;
    }
    if (!runsOnReplicas(pending.request)) {
        const auto refusal = primaryRefusal();
        if (refusal) {
            refuse(ticket, *refusal);
        }
        return !refusal;
    }
    if (m_settings.faults.skipFreshness) {
        return true;
    }
    const GateDecision decision = gateDecision(pending, Clock::now());
    if (const auto *serve = std::get_if<Serve>(&decision)) {
        pending.terms = *serve;
        return true;
    }
    release(ticket, pending, std::chrono::nanoseconds{0});
    decideFreshness(ticket);
    return false;
}

bool UpstreamHome::awaitsProofOfPrimary(const HomeRequest &pending) const
{
    const bool isNewWrite = pending.request.transaction == 0 && !runsOnReplicas(pending.request);
    return isNewWrite && !m_view.isPrimaryConfirmedSinceLoss();
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
    connection->run(orderFor(pending), [weak = weak_from_this(), ticket](tl::expected<BatchAnswer, BatchFailure> answer) {
        if (const auto self = weak.lock()) {
            self->onAnswer(ticket, std::move(answer));
        }
    });
}

void UpstreamHome::onAnswer(Ticket ticket, tl::expected<BatchAnswer, BatchFailure> answer)
{
    // A request that was given up has already been answered and its connection closed.
    if (!m_pending.contains(ticket)) {
        return;
    }
    if (answer) {
        onWholeAnswer(ticket, std::move(*answer));
    } else {
        onLost(ticket, answer.error());
    }
    makeProgress();
}

// ---- Snapshots

void UpstreamHome::onSnapshot(const std::shared_ptr<const GroupSnapshot> &snapshot)
{
    if (!snapshot || m_closed) {
        return;
    }
    const bool wasReplica = m_view.observed() && !m_view.isPrimary();
    const Term termBefore = m_view.term();
    if (m_view.onSnapshot(*snapshot)) {
        leaveReplacedPrimary();
    }
    if (wasReplica && m_upstream.leaving && m_view.isPrimary() && m_view.term() > termBefore) {
        // Promoted only for its log: a successor that stays is promoted next.
        m_newWorkEndsAt = Clock::now();
    }
    const auto waiting = std::exchange(m_rechecks, {});
    for (const auto &[recheckAt, ticket] : waiting) {
        decideFreshness(ticket);
    }
    makeProgress();
}

// The primary has changed: queued writes are refused, so that fronts send them to the new
// one. Outstanding writes are waited for only briefly, since the old primary may be frozen.
void UpstreamHome::leaveReplacedPrimary()
{
    if (m_view.isPrimary() || m_view.primary().empty()) {
        return;
    }
    refuseQueued(*primaryRefusal(), true);
    m_replacedPrimaryDeadline = Clock::now() + m_settings.replacedPrimaryTimeout;
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

} // namespace egrettide
