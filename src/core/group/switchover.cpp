// The steps of a planned change of the primary.

#include "egrettide/core/switchover.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

const MemberView *find(const GroupSnapshot &snapshot, const std::string &upstream)
{
    const auto found = std::ranges::find(snapshot.members, upstream, &MemberView::upstream);
    return found == snapshot.members.end() ? nullptr : &*found;
}

// Builds the list in place: an initializer list would copy each action.
template <typename... Each> SwitchoverActions actionsOf(Each... each)
{
    SwitchoverActions actions;
    actions.reserve(sizeof...(each));
    (actions.emplace_back(std::move(each)), ...);
    return actions;
}

} // namespace

Switchover::Switchover(const SwitchoverOptions &options) : m_options(options)
{
}

SwitchoverActions Switchover::start(const GroupSnapshot &snapshot, const std::string &successor, std::size_t openTransactions,
                                    TimePoint now)
{
    if (running()) {
        return {};
    }
    const MemberView *const member = find(snapshot, successor);
    if (!snapshot.primaryConfirmed || !member || !member->reachable) {
        return actionsOf(SwitchoverDone{SwitchoverFailure::GroupChanged});
    }
    m_phase = Phase::Draining;
    m_term = snapshot.term;
    m_primary = snapshot.primary;
    m_successor = successor;
    m_target.reset();
    m_deadline = now + m_options.drainTimeout;
    SwitchoverActions actions;
    actions.emplace_back(PauseWrites{});
    if (openTransactions == 0) {
        startCatchUp(now);
        actions.emplace_back(RequestFrequentRounds{});
    }
    return actions;
}

SwitchoverActions Switchover::onOpenTransactions(std::size_t open, TimePoint now)
{
    if (m_phase != Phase::Draining || open > 0) {
        return {};
    }
    startCatchUp(now);
    return actionsOf(RequestFrequentRounds{});
}

SwitchoverActions Switchover::onSnapshot(const GroupSnapshot &snapshot, TimePoint now)
{
    if (m_phase == Phase::Promoting) {
        return snapshot.primaryConfirmed && snapshot.term > m_term ? finish(snapshot.term, snapshot.primary)
                                                                   : SwitchoverActions{};
    }
    if (running() && (snapshot.term != m_term || snapshot.primary != m_primary)) {
        return abort(SwitchoverFailure::GroupChanged);
    }
    if (m_phase != Phase::CatchingUp) {
        return {};
    }
    // Writes have ended, so the first mark proven by a round that began afterwards is the
    // last one of the term.
    if (!m_target && !snapshot.watermarks.empty() && snapshot.watermarks.back().sentAt >= m_drainedAt) {
        m_target = snapshot.watermarks.back().mark;
    }
    const MemberView *const member = find(snapshot, m_successor);
    if (!member || !member->reachable) {
        return abort(SwitchoverFailure::GroupChanged);
    }
    if (!m_target || member->received < *m_target) {
        return {};
    }
    m_phase = Phase::Promoting;
    m_deadline = now + m_options.promotionTimeout;
    return actionsOf(StartPromotion{m_successor});
}

SwitchoverActions Switchover::onAnnounced(Term term, const std::string &primary, TimePoint)
{
    return running() && term > m_term ? finish(term, primary) : SwitchoverActions{};
}

SwitchoverActions Switchover::onPromotionGaveUp(TimePoint)
{
    return m_phase == Phase::Promoting ? abort(SwitchoverFailure::GroupChanged) : SwitchoverActions{};
}

SwitchoverActions Switchover::onTimer(TimePoint now)
{
    if (!m_deadline || now < *m_deadline) {
        return {};
    }
    switch (m_phase) {
    case Phase::Draining:
        return abort(SwitchoverFailure::TransactionsOpen);
    case Phase::CatchingUp:
        return abort(SwitchoverFailure::SuccessorBehind);
    case Phase::Promoting:
        return abort(SwitchoverFailure::GroupChanged);
    case Phase::Idle:
        break;
    }
    return {};
}

SwitchoverActions Switchover::onClockGap(TimePoint)
{
    return running() ? abort(SwitchoverFailure::ClockGap) : SwitchoverActions{};
}

SwitchoverActions Switchover::cancel(TimePoint)
{
    const bool reversible = m_phase == Phase::Draining || m_phase == Phase::CatchingUp;
    return reversible ? abort(SwitchoverFailure::Cancelled) : SwitchoverActions{};
}

std::optional<TimePoint> Switchover::nextTimerAt() const
{
    return m_deadline;
}

bool Switchover::running() const
{
    return m_phase != Phase::Idle;
}

bool Switchover::writesPaused() const
{
    return running();
}

void Switchover::startCatchUp(TimePoint now)
{
    m_phase = Phase::CatchingUp;
    m_drainedAt = now;
    m_deadline = now + m_options.catchUpTimeout;
}

// Ends the change and resumes writes as usual: they go to the old primary while it leads,
// otherwise into the queue that is used whenever the primary is lost.
SwitchoverActions Switchover::abort(SwitchoverFailure failure)
{
    m_phase = Phase::Idle;
    m_deadline.reset();
    return actionsOf(ResumeWrites{}, SwitchoverDone{failure});
}

SwitchoverActions Switchover::finish(Term term, const std::string &primary)
{
    m_phase = Phase::Idle;
    m_deadline.reset();
    if (primary == m_primary) {
        return actionsOf(ResumeWrites{}, SwitchoverDone{});
    }
    return actionsOf(HandOver{term, primary}, SwitchoverDone{});
}

} // namespace egrettide
