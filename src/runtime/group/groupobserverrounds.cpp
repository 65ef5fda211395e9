// Implements the timers, the rounds of probes and the publishing of their view.

#include "runtime/group/groupobserverimpl.h"

#include "runtime/host/log.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

// Runs everything that is due by now and arms the timer again.
void GroupObserver::Impl::tick()
{
    if (!m_running) {
        return;
    }
    const TimePoint now = Clock::now();
    noticeClockGap(now);
    m_monitor.onTimer(now);
    resolve(m_gate.onTimer(now));
    perform(m_promoter->onTimer(now));
    perform(m_switchover.onTimer(now));
    if (m_roundNow || now >= m_monitor.nextProbeAt(now, needsFrequentRounds(now))) {
        beginRound(now);
    }
    processView(now);
    arm();
}

// A process that was suspended, or whose host was, resumes with outdated views and
// promises. A timer that fires far too late detects this; the outdated state is then
// not acted on.
void GroupObserver::Impl::noticeClockGap(TimePoint now)
{
    if (!m_armed || now <= m_armedFor + m_settings.clockGap) {
        return;
    }
    m_armed = false;
    m_monitor.onClockGap(now);
    perform(m_promoter->onClockGap(now));
    perform(m_switchover.onClockGap(now));
    if (m_hooks.clockGap) {
        m_hooks.clockGap();
    }
}

bool GroupObserver::Impl::needsFrequentRounds(TimePoint now) const
{
    return m_gate.waiting() > 0 || isUrgent(now) || awaitsChange();
}

// Waiting for opinions, claims or fences needs no rounds, as these have their own answers.
// Probing the group every 20 ms while no promotion is possible, as in an isolated zone,
// would give no new information.
bool GroupObserver::Impl::awaitsChange() const
{
    const bool promotes = m_settings.monitor.probesOnlySilent ? m_promoter->awaitsPromotion() : m_promoter->running();
    return promotes || m_switchover.running();
}

bool GroupObserver::Impl::isUrgent(TimePoint now) const
{
    return now < m_frequentRoundsUntil.load() && !m_requestServed.load();
}

// Ends the frequent rounds once a proof newer than the request has arrived: where upstreams
// check marks, one such proof serves every waiting caller. Without this, one broken
// connection causes probes every 20 ms for 2 s although the first answer was sufficient; at
// an upstream that loses one answer in twenty these probes take a twentieth of its slots.
void GroupObserver::Impl::noteServedRequest()
{
    const auto proof = m_monitor.newestWatermark();
    if (m_settings.monitor.probesOnlySilent && proof && proof->sentAt > m_roundsRequestedAt.load()) {
        m_requestServed.store(true);
    }
}

// A change of the primary needs the status of all members; a caller that waits for a proof
// needs only the primary's.
RoundScope GroupObserver::Impl::roundScope(TimePoint now)
{
    if (std::exchange(m_roundNow, false) || awaitsChange()) {
        return RoundScope::All;
    }
    return needsFrequentRounds(now) ? RoundScope::Proof : RoundScope::Silent;
}

void GroupObserver::Impl::onStatementAnswer(const StatementProof &proof)
{
    if (!m_running) {
        return;
    }
    const TimePoint now = Clock::now();
    m_monitor.onStatementAnswer(proof, now);
    processView(now);
}

void GroupObserver::Impl::beginRound(TimePoint now)
{
    const ProbeRound round = m_monitor.beginRound(now, roundScope(now));
    for (const std::string &upstream : round.upstreams) {
        m_calls.status(upstream, now + m_settings.probeTimeout,
                       [weak = weak_from_this(), id = round.id, upstream, now](const auto &status) {
                           if (const auto self = weak.lock()) {
                               self->onProbe(id, upstream, now, status);
                           }
                       });
    }
}

void GroupObserver::Impl::onProbe(RoundId round, const std::string &upstream, TimePoint sentAt,
                                  const tl::expected<MemberStatus, ControlFailure> &status)
{
    if (!m_running) {
        return;
    }
    const TimePoint now = Clock::now();
    noticeClockGap(now);
    if (status) {
        m_monitor.onStatus(round, *status, now);
        resolve(m_gate.onMemberStatus(*status, sentAt));
    } else {
        m_monitor.onProbeFailed(round, upstream, status.error().failure, now);
    }
    processView(now);
    arm();
}

// Processes the monitor's current view and suspicion.
void GroupObserver::Impl::processView(TimePoint now)
{
    noteServedRequest();
    const auto view = m_monitor.snapshot();
    if (view != m_seen) {
        logPrimaryChange(*view);
        m_seen = view;
        publish();
        perform(m_promoter->onGroup(*view, m_monitor.statuses(), now));
        perform(m_switchover.onSnapshot(*view, now));
        startOwnChange(*view, now);
    }
    const auto suspicion = m_monitor.suspicion(now);
    if (suspicion && !m_homes.empty()) {
        perform(m_promoter->onSuspicion(*suspicion, m_monitor.highestPromised(), now));
    }
}

// Logs one line for each change of the group's primary as this host sees it.
void GroupObserver::Impl::logPrimaryChange(const GroupSnapshot &view) const
{
    const bool same = m_seen && m_seen->primary == view.primary && m_seen->term == view.term
        && m_seen->primaryConfirmed == view.primaryConfirmed;
    if (!same) {
        log::info(
            "primary_seen",
            {{"database", view.database}, {"primary", view.primary}, {"term", view.term}, {"confirmed", view.primaryConfirmed}});
    }
}

void GroupObserver::Impl::publish()
{
    const std::shared_ptr<const GroupSnapshot> view = m_monitor.snapshot();
    {
        const std::scoped_lock lock(m_publishedMutex);
        m_published = view;
    }
    if (m_hooks.published) {
        m_hooks.published(view);
    }
}

// Published immediately, so that writes reach the announced primary before a round has observed
// it; a member that is not the primary refuses them.
void GroupObserver::Impl::adoptAnnounced(Term term, const std::string &primary)
{
    m_monitor.onAnnounced(term, primary, Clock::now());
    publish();
}

void GroupObserver::Impl::arm()
{
    const TimePoint now = Clock::now();
    TimePoint next = m_monitor.nextProbeAt(now, needsFrequentRounds(now));
    for (const auto &due : {m_gate.nextDeadline(), m_promoter->nextTimerAt(), m_switchover.nextTimerAt()}) {
        next = std::min(next, due.value_or(TimePoint::max()));
    }
    next = std::max(next, now);
    const bool soonEnough = m_armed && m_armedFor > now && m_armedFor <= next;
    if (soonEnough) {
        return;
    }
    m_armed = true;
    m_armedFor = next;
    m_timer.expires_at(next);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) {
            self->tick();
        }
    });
}

} // namespace egrettide
