// Executes the promoter's actions: opinions, claims, fences, promotions and announcements.

#include "runtime/group/groupobserverimpl.h"

#include <utility>
#include <variant>

namespace egrettide
{

using detail::membersOf;
using detail::Overloaded;

void GroupObserver::Impl::makePromoter()
{
    m_promoterHome = m_homes.empty() ? std::string{} : *m_homes.begin();
    PromoterIdentity identity{m_database.name, m_promoterHome, m_settings.incarnation + "/" + m_promoterHome};
    auto next = std::make_unique<Promoter>(std::move(identity), membersOf(m_database), m_settings.seed, m_settings.promoter);
    next->setAcknowledgingReplicas(m_database.acknowledgingReplicas);
    if (m_promoter) {
        next->setPendingOrder(m_promoter->pendingOrder());
        next->setTerms(m_promoter->terms());
    }
    m_promoter = std::move(next);
}

void GroupObserver::Impl::perform(const PromoterActions &actions)
{
    for (const PromoterAction &action : actions) {
        m_promotionLog.onAction(action, *m_promoter);
        std::visit(Overloaded{[this](const auto &one) { carryOut(one); }}, action);
    }
    if (!actions.empty()) {
        arm();
    }
}

void GroupObserver::Impl::carryOut(const AskOpinions &action)
{
    const TimePoint deadline = Clock::now() + m_settings.opinionTimeout;
    for (const UpstreamSpec &upstream : m_database.upstreams) {
        const std::string &home = upstream.name;
        const OpinionQuestion question{m_database.name, home, action.primary, action.term};
        const auto onOpinion = [weak = weak_from_this(), attempt = action.attempt, home](bool agreed) {
            if (const auto self = weak.lock()) {
                self->onControl([attempt, home, agreed](Impl &impl) {
                    impl.perform(impl.m_promoter->onOpinion(attempt, home, agreed, Clock::now()));
                });
            }
        };
        if (home == m_promoterHome) {
            continue;
        }
        if (m_homes.contains(home)) {
            onOpinion(agrees(question));
        } else if (m_hooks.askOpinion) {
            m_hooks.askOpinion(question, deadline, onOpinion);
        }
    }
}

void GroupObserver::Impl::carryOut(const ReadRecord &action)
{
    const auto onRecord = [weak = weak_from_this(), attempt = action.attempt](const std::optional<VersionedRecord> &record) {
        if (const auto self = weak.lock()) {
            self->onControl(
                [attempt, record](Impl &impl) { impl.perform(impl.m_promoter->onRecordRead(attempt, record, Clock::now())); });
        }
    };
    if (m_hooks.readRecord) {
        m_hooks.readRecord(m_database.name, Clock::now() + m_settings.storeTimeout, onRecord);
    } else {
        onRecord(std::nullopt);
    }
}

void GroupObserver::Impl::carryOut(const ClaimInStore &action)
{
    const auto onClaim = [weak = weak_from_this(), attempt = action.attempt](const ClaimAnswer &answer) {
        if (const auto self = weak.lock()) {
            self->onControl([attempt, answer](Impl &impl) {
                impl.m_promotionLog.onClaim(attempt, answer);
                impl.perform(impl.m_promoter->onClaim(attempt, answer, Clock::now()));
            });
        }
    };
    if (m_hooks.claimRecord) {
        const TimePoint deadline = Clock::now() + m_settings.storeTimeout;
        m_hooks.claimRecord(m_database.name, action.expectedVersion, action.record, deadline, onClaim);
    } else {
        onClaim(ClaimAnswer{});
    }
}

void GroupObserver::Impl::carryOut(const SendFence &action)
{
    m_calls.fence(action.upstream, action.term, action.token, Clock::now() + m_settings.controlTimeout,
                  controlHandler(action.attempt, action.upstream, &Promoter::onFence));
}

void GroupObserver::Impl::carryOut(const SendPromote &action)
{
    m_calls.promote(action.upstream, action.term, action.token, action.fencingToken, Clock::now() + m_settings.controlTimeout,
                    controlHandler(action.attempt, action.upstream, &Promoter::onPromote));
}

ControlHandler GroupObserver::Impl::controlHandler(AttemptId attempt, const std::string &upstream, AnswerFunction onAnswer)
{
    return [weak = weak_from_this(), attempt, upstream, onAnswer](const tl::expected<ControlAnswer, ControlFailure> &answer) {
        const auto self = weak.lock();
        if (!self || !self->m_running) {
            return;
        }
        self->noticeClockGap(Clock::now());
        if (answer) {
            self->perform((self->m_promoter.get()->*onAnswer)(attempt, *answer, Clock::now()));
        } else if (answer.error().failure != ProbeFailure::Timeout) {
            self->perform(self->m_promoter->onMemberFailed(attempt, upstream, Clock::now()));
        }
        self->arm();
    };
}

void GroupObserver::Impl::carryOut(const SendFollow &action)
{
    m_calls.follow(action.upstream, action.term, action.token, action.primary, Clock::now() + m_settings.controlTimeout,
                   [weak = weak_from_this()](const tl::expected<ControlAnswer, ControlFailure> &answer) {
                       const auto self = weak.lock();
                       if (self && self->m_running && answer) {
                           self->perform(self->m_promoter->onFollow(*answer, Clock::now()));
                       }
                   });
}

void GroupObserver::Impl::carryOut(const Announce &action)
{
    adoptAnnounced(action.term, action.primary);
    m_roundNow = true;
    if (m_hooks.announce) {
        m_hooks.announce(m_database.name, action.term, action.primary);
    }
    perform(m_switchover.onAnnounced(action.term, action.primary, Clock::now()));
}

void GroupObserver::Impl::carryOut(const LearnTerm &action)
{
    m_monitor.onTermLearned(action.term, action.primary, Clock::now());
    m_roundNow = true;
}

void GroupObserver::Impl::carryOut(const RecordInStore &action)
{
    if (m_hooks.writeRecord) {
        m_hooks.writeRecord(m_database.name, action.record);
    }
}

void GroupObserver::Impl::carryOut(const GiveUp &)
{
    perform(m_switchover.onPromotionGaveUp(Clock::now()));
}

} // namespace egrettide
