// Implements planned changes of the primary.

#include "runtime/group/groupobserverimpl.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace egrettide
{

using detail::namesOf;
using detail::Overloaded;

namespace
{

// The minimum time between planned changes that this host starts without an operator's request.
constexpr milliseconds ownChangeSpacing{2000};
// The assumed number of open transactions until the home reports the actual one.
constexpr std::size_t assumedOpenTransactions = 1;

Error switchoverError(SwitchoverFailure failure)
{
    switch (failure) {
    case SwitchoverFailure::TransactionsOpen:
        return {ErrorKind::Conflict, "Transactions stayed open for too long; nothing has changed. Retry when they have ended.",
                milliseconds{1000}};
    case SwitchoverFailure::SuccessorBehind:
        return {ErrorKind::NotFresh, "The successor did not catch up in time; nothing has changed. Retry when its lag is small.",
                milliseconds{1000}};
    case SwitchoverFailure::GroupChanged:
        return {ErrorKind::NoPrimary, "The primary or the successor was lost or has changed; look at the group and retry.",
                milliseconds{1000}};
    case SwitchoverFailure::ClockGap:
        return {ErrorKind::Conflict, "This host was suspended during the change; look at the group and retry.",
                milliseconds{1000}};
    case SwitchoverFailure::Cancelled:
        break;
    }
    return {ErrorKind::Leaving, "The change was cancelled; nothing has changed. Retry at another time.", milliseconds{1000}};
}

} // namespace

void GroupObserver::Impl::switchover(const std::string &to, DoneHandler handler)
{
    if (const auto refusal = switchoverRefusal(to)) {
        handler(tl::unexpected(*refusal));
        return;
    }
    m_switchoverDone = std::move(handler);
    startSwitchover(to);
}

std::optional<Error> GroupObserver::Impl::switchoverRefusal(const std::string &to) const
{
    const auto names = namesOf(m_database);
    const auto view = m_monitor.snapshot();
    if (std::ranges::find(names, to) == names.end()) {
        return Error{ErrorKind::InvalidInput,
                     "'" + to + "' is not an upstream of '" + m_database.name + "'; name one of its upstreams."};
    }
    if (!m_homes.contains(view->primary)) {
        return Error{ErrorKind::Moved, "Only the home of the primary '" + view->primary + "' can change it; ask there.",
                     milliseconds{0}};
    }
    if (m_switchover.running() || m_promoter->running()) {
        return Error{ErrorKind::Conflict, "Another change of the primary is under way; retry when it has ended.",
                     milliseconds{1000}};
    }
    return std::nullopt;
}

void GroupObserver::Impl::startSwitchover(const std::string &to)
{
    const TimePoint now = Clock::now();
    perform(m_switchover.start(*m_monitor.snapshot(), to, assumedOpenTransactions, now));
    tick();
}

// The home of a primary that the configuration marks as leaving, or whose term has to
// be renewed, starts the change by itself.
void GroupObserver::Impl::startOwnChange(const GroupSnapshot &view, TimePoint now)
{
    const bool isHome = m_homes.contains(view.primary) && view.primaryConfirmed;
    if (!isHome || m_switchover.running() || m_promoter->running() || now < m_nextOwnChangeAt) {
        return;
    }
    const auto successor = m_promoter->needsRenewal() ? std::optional(view.primary) : successorOfLeaving(view);
    if (successor) {
        m_nextOwnChangeAt = now + ownChangeSpacing;
        startSwitchover(*successor);
    }
}

std::optional<std::string> GroupObserver::Impl::successorOfLeaving(const GroupSnapshot &view) const
{
    const UpstreamSpec *const primary = m_database.upstream(view.primary);
    if (!primary || !primary->leaving) {
        return std::nullopt;
    }
    const MemberView *best = nullptr;
    for (const MemberView &member : view.members) {
        const bool fit = member.reachable && !member.leaving && member.upstream != view.primary;
        if (fit && (!best || member.received > best->received)) {
            best = &member;
        }
    }
    return best ? std::optional(best->upstream) : std::nullopt;
}

void GroupObserver::Impl::perform(const SwitchoverActions &actions)
{
    for (const SwitchoverAction &action : actions) {
        detail::logPlannedChange(m_database.name, m_monitor.snapshot()->primary, action);
        std::visit(Overloaded{[this](const auto &one) { carryOut(one); }}, action);
    }
    if (!actions.empty()) {
        arm();
    }
}

void GroupObserver::Impl::carryOut(const PauseWrites &)
{
    m_pausedUpstream = m_monitor.snapshot()->primary;
    if (!m_hooks.pauseWrites) {
        return;
    }
    m_hooks.pauseWrites(m_pausedUpstream, [weak = weak_from_this()](std::size_t open) {
        if (const auto self = weak.lock()) {
            self->onControl([open](Impl &impl) { impl.perform(impl.m_switchover.onOpenTransactions(open, Clock::now())); });
        }
    });
}

void GroupObserver::Impl::carryOut(const ResumeWrites &)
{
    resumeWrites();
}

void GroupObserver::Impl::carryOut(const HandOver &action)
{
    adoptAnnounced(action.term, action.primary);
    resumeWrites();
}

void GroupObserver::Impl::resumeWrites()
{
    if (m_hooks.resumeWrites) {
        m_hooks.resumeWrites(m_pausedUpstream);
    }
}

void GroupObserver::Impl::carryOut(const StartPromotion &action)
{
    perform(m_promoter->startPlanned(action.successor, m_monitor.highestPromised(), Clock::now()));
}

void GroupObserver::Impl::carryOut(const RequestFrequentRounds &)
{
    m_roundNow = true;
}

void GroupObserver::Impl::carryOut(const SwitchoverDone &action)
{
    const DoneHandler handler = std::exchange(m_switchoverDone, nullptr);
    if (!handler) {
        return;
    }
    if (action.failure) {
        handler(tl::unexpected(switchoverError(*action.failure)));
    } else {
        handler({});
    }
}

} // namespace egrettide
