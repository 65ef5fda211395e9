// The home of one upstream: timers, limits, pauses and drains.

#include "runtime/upstreams/upstreamhome.h"

#include "runtime/upstreams/homeerrors.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

// ---- Progress and timers

// Starts the work that a change has made possible, then delivers the replies. Every entry
// point ends with this call. If a handler calls back into the home, the outer call
// processes the new work.
void UpstreamHome::makeProgress()
{
    m_mayProgress = true;
    if (m_makingProgress) {
        return;
    }
    const auto keepAlive = shared_from_this();
    m_makingProgress = true;
    do {
        m_mayProgress = false;
        applyAllowance(Clock::now());
        sendReady();
        m_pool.balance(ownersWaiting(), freeSlots(), Clock::now());
        flushOutbox();
    } while (m_mayProgress || !m_outbox.empty());
    reportProgress();
    finishDrain();
    m_makingProgress = false;
    armTimer();
}

std::size_t UpstreamHome::freeSlots() const
{
    return static_cast<std::size_t>(std::max(0, m_upstream.slots - m_scheduler.inUse()));
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
    return std::min(next, m_replacedPrimaryDeadline);
}

void UpstreamHome::armTimer()
{
    if (m_closed) {
        return;
    }
    // A timer that fires too early costs less than one that is set again for each request.
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
    closeSurplus(now);
    makeProgress();
}

void UpstreamHome::giveUpOverdue(TimePoint now)
{
    for (const Ticket ticket : m_ledger.overdue(now)) {
        const auto found = m_pending.find(ticket);
        const bool sent = found != m_pending.end() && found->second.sent;
        giveUp(ticket, sent ? homeerrors::deadlinePassedUnanswered() : homeerrors::deadlinePassed());
    }
}

// A replaced primary may be frozen with writes outstanding: after the timeout these are
// answered with an unknown outcome.
void UpstreamHome::giveUpOnReplacedPrimary(TimePoint now)
{
    if (now < m_replacedPrimaryDeadline) {
        return;
    }
    m_replacedPrimaryDeadline = TimePoint::max();
    std::vector<Ticket> stuck;
    for (const auto &[ticket, pending] : m_pending) {
        const bool sentBefore = pending.stage == RequestStage::Running && pending.sentUnder < m_view.term();
        if (sentBefore && !isRead(pending.request.kind) && !m_view.isPrimary()) {
            stuck.push_back(ticket);
        }
    }
    for (const Ticket ticket : stuck) {
        giveUp(ticket, homeerrors::primaryReplaced());
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

// Closes the connections beyond the allowance, even busy ones. When this host is no longer
// confirmed as the home, another host may hold connections too, and the upstream would
// refuse the control connections of observers.
void UpstreamHome::closeSurplus(TimePoint now)
{
    const auto allowance = static_cast<std::size_t>(std::max(0, m_pool.budget().allowance(now)));
    if (now < m_pool.budget().shedDeadline(now) || m_pool.size() <= allowance) {
        return;
    }
    m_pool.closeSpare();
    while (m_pool.size() > allowance && !m_transactions.empty()) {
        closeTransaction(m_transactions.begin()->first);
    }
}

void UpstreamHome::closeTransaction(std::uint64_t id)
{
    const HomeTransaction transaction = m_transactions.at(id);
    if (transaction.ticket != 0) {
        giveUp(transaction.ticket, homeerrors::notHome(m_upstream.name));
    }
    endTransaction(id);
    m_pool.drop(transaction.connection);
}

void UpstreamHome::onClockGap()
{
    m_pool.budget().suspended(Clock::now());
    makeProgress();
}

// ---- Operations

void UpstreamHome::update(std::shared_ptr<const Configuration> configuration)
{
    const DatabaseSpec *database = configuration->database(m_database.name);
    const UpstreamSpec *upstream = database ? database->upstream(m_upstream.name) : nullptr;
    m_configuration = std::move(configuration);
    if (!upstream) {
        m_upstream.leaving = true;
        makeProgress();
        return;
    }
    m_database = *database;
    m_upstream = *upstream;
    apply(m_scheduler.configure(schedulerOptions(), Clock::now()));
    if (m_upstream.leaving && !m_view.isPrimary()) {
        refuseQueued(homeerrors::upstreamLeaving(m_upstream.name), false);
    }
    makeProgress();
}

void UpstreamHome::endNewWorkAt(std::optional<TimePoint> end)
{
    m_newWorkEndsAt = end && m_newWorkEndsAt ? std::min(*end, *m_newWorkEndsAt) : end;
}

void UpstreamHome::pauseWrites(std::function<void(std::size_t open)> progress)
{
    m_progress = std::move(progress);
    m_reportedOpen.reset();
    m_scheduler.pause();
    makeProgress();
}

void UpstreamHome::resumeWrites()
{
    m_progress = nullptr;
    apply(m_scheduler.resume(Clock::now()));
    makeProgress();
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
    refuseQueued(homeerrors::notHome(m_upstream.name), false);
    makeProgress();
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
    if (m_hooks.sendHandBack) {
        m_hooks.sendHandBack(m_pool.budget().handBack(Clock::now()));
    }
    std::exchange(m_drained, nullptr)();
}

void UpstreamHome::takeBack()
{
    m_draining = false;
    m_drained = nullptr;
    m_pool.budget().becomeHome(Clock::now());
    makeProgress();
}

void UpstreamHome::close()
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, pending] : m_pending) {
        tickets.push_back(ticket);
    }
    m_draining = true;
    for (const Ticket ticket : tickets) {
        giveUp(ticket, homeerrors::hostStops());
    }
    m_transactions.clear();
    m_pool.close();
    m_pool.budget().resign(Clock::now());
    makeProgress();
    m_closed = true;
    m_timer.cancel();
}

void UpstreamHome::onHomeConfirmed(TimePoint askedAt)
{
    m_pool.budget().confirmed(askedAt);
    makeProgress();
}

void UpstreamHome::onHandedBack(const HandBack &handBack)
{
    m_pool.budget().onHandedBack(handBack, Clock::now());
    makeProgress();
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
