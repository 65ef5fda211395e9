// Time, probes in rounds, and the view that they give.

#include "runtime/group/groupobserverimpl.h"

#include "runtime/host/log.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

using detail::namesOf;

// Everything that time brings.
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
    if (m_roundNow || now >= m_monitor.nextProbeAt(now, someoneWaits(now))) {
        beginRound(now);
    }
    look(now);
    arm();
}

// What goes wrong: a process that stood still, or whose host slept, wakes up
// with views and promises that others have moved past. A timer that fires far
// too late shows it; what was held then is not acted on.
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

bool GroupObserver::Impl::someoneWaits(TimePoint now) const
{
    return m_gate.waiting() > 0 || isUrgent(now) || awaitsChange();
}

// Opinions, claims and fences bring their own answers. Asking the group every 20 ms for as
// long as a promotion can't be had, as in a zone that is cut off, tells nothing new.
bool GroupObserver::Impl::awaitsChange() const
{
    const bool promotes = m_settings.monitor.probesOnlySilent ? m_promoter->awaitsPromotion() : m_promoter->running();
    return promotes || m_switchover.running();
}

bool GroupObserver::Impl::isUrgent(TimePoint now) const
{
    return now < m_urgentUntil.load() && !m_urgentServed.load();
}

// What goes wrong without it: a connection breaks, and the group is asked every 20 ms for
// two seconds although the first answer proved all that was wanted; at an upstream that
// loses one answer in twenty that is a twentieth of its slots. Where an upstream checks
// marks, one proof that is newer than the need serves everybody who waits.
void GroupObserver::Impl::noteServedHurry()
{
    const auto proof = m_monitor.newestWatermark();
    if (m_settings.monitor.probesOnlySilent && proof && proof->sentAt > m_urgentSince.load()) {
        m_urgentServed.store(true);
    }
}

// A change of the primary needs to know all members; whoever waits for a proof needs the
// primary's word.
RoundScope GroupObserver::Impl::roundScope(TimePoint now)
{
    if (std::exchange(m_roundNow, false) || awaitsChange()) {
        return RoundScope::All;
    }
    return someoneWaits(now) ? RoundScope::Proof : RoundScope::Silent;
}

void GroupObserver::Impl::onStatementAnswer(const StatementProof &proof)
{
    if (!m_running) {
        return;
    }
    const TimePoint now = Clock::now();
    m_monitor.onStatementAnswer(proof, now);
    look(now);
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
    look(now);
    arm();
}

// Acts on what the view shows now.
void GroupObserver::Impl::look(TimePoint now)
{
    noteServedHurry();
    const auto view = m_monitor.snapshot();
    if (view != m_seen) {
        logBelief(*view);
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

// One line for each change of what this host believes about the group's primary.
void GroupObserver::Impl::logBelief(const GroupSnapshot &view) const
{
    const bool same = m_seen && m_seen->primary == view.primary && m_seen->term == view.term
        && m_seen->primaryConfirmed == view.primaryConfirmed;
    if (!same) {
        log::info(
            "primary_seen",
            {{"database", view.database}, {"primary", view.primary}, {"term", view.term}, {"confirmed", view.primaryConfirmed}});
    }
}

// Publishes the monitor's view. While an announced term has not been seen by a
// round, the announced primary stands in, unconfirmed: writes find it at once,
// and if it is none it refuses them.
void GroupObserver::Impl::publish()
{
    std::shared_ptr<const GroupSnapshot> view = m_monitor.snapshot();
    if (m_announcedTerm > view->term) {
        const auto patched = std::make_shared<GroupSnapshot>(*view);
        patched->term = m_announcedTerm;
        patched->primary = m_announcedPrimary;
        patched->primaryConfirmed = false;
        view = patched;
    }
    {
        const std::scoped_lock lock(m_publishedMutex);
        m_published = view;
    }
    if (m_hooks.published) {
        m_hooks.published(view);
    }
}

void GroupObserver::Impl::learnAnnounced(Term term, const std::string &primary)
{
    const auto names = namesOf(m_database);
    if (term <= m_announcedTerm || std::ranges::find(names, primary) == names.end()) {
        return;
    }
    m_announcedTerm = term;
    m_announcedPrimary = primary;
    if (term > m_monitor.snapshot()->term) {
        publish();
    }
}

void GroupObserver::Impl::arm()
{
    const TimePoint now = Clock::now();
    TimePoint next = m_monitor.nextProbeAt(now, someoneWaits(now));
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
