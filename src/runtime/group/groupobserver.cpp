// Drives the decisions about one group with time, probes and control calls.

#include "runtime/group/groupobserver.h"

#include "runtime/host/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <tuple>
#include <utility>
#include <variant>

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

// After a planned change that this host started by itself and that failed.
constexpr milliseconds ownChangeSpacing{2000};
// Stands for "not reported yet" until the home says how much is in progress.
constexpr std::size_t unknownOpen = 1;

template <class... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

std::vector<MemberSpec> membersOf(const DatabaseSpec &database)
{
    std::vector<MemberSpec> members;
    for (const UpstreamSpec &upstream : database.upstreams) {
        members.push_back(MemberSpec{upstream.name, upstream.zone, upstream.leaving});
    }
    return members;
}

std::vector<std::string> namesOf(const DatabaseSpec &database)
{
    std::vector<std::string> names;
    for (const UpstreamSpec &upstream : database.upstreams) {
        names.push_back(upstream.name);
    }
    return names;
}

// What an observer has to know of a database's members, to be compared.
std::vector<std::tuple<std::string, std::string, std::string, bool>> describe(const DatabaseSpec &database)
{
    std::vector<std::tuple<std::string, std::string, std::string, bool>> members;
    for (const UpstreamSpec &upstream : database.upstreams) {
        members.emplace_back(upstream.name, upstream.zone, upstream.address, upstream.leaving);
    }
    return members;
}

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
        return {ErrorKind::Conflict, "This host stood still during the change; look at the group and retry.", milliseconds{1000}};
    case SwitchoverFailure::Cancelled:
        break;
    }
    return {ErrorKind::Leaving, "The change was called off; nothing has changed. Retry at another time.", milliseconds{1000}};
}

} // namespace

class GroupObserver::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &control, const DatabaseSpec &database, const std::set<std::string> &homes,
         const GroupObserverSettings &settings, GroupObserverHooks hooks)
        : m_context(control)
        , m_database(database)
        , m_homes(homes)
        , m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_control(control, settings.dialect->control, database, settings.upstreamUser)
        , m_calls(m_control.hooks())
        , m_monitor(database.name, membersOf(database), settings.monitor)
        , m_gate(namesOf(database), database.durability, settings.commitFaults)
        , m_switchover(settings.switchover)
        , m_timer(control)
        , m_published(m_monitor.snapshot())
    {
        makePromoter();
    }

    void start()
    {
        m_running = true;
        tick();
    }

    void stop()
    {
        if (!m_running) {
            return;
        }
        perform(m_switchover.cancel(Clock::now()));
        m_running = false;
        m_timer.cancel();
        m_control.close();
        resolve(m_gate.abandonAll());
    }

    // Most configurations change nothing here, and a change of members forgets
    // every proof and any running attempt: only real changes are passed on.
    void update(const DatabaseSpec &database, const std::set<std::string> &homes)
    {
        const bool sameMembers = describe(database) == describe(m_database);
        const bool promoterStays = homes.contains(m_promoterHome) || homes == m_homes;
        m_database = database;
        m_homes = homes;
        resolve(m_gate.configure(namesOf(database), database.durability));
        if (!sameMembers) {
            m_control.update(database);
            m_monitor.setMembers(membersOf(database));
        }
        if (!promoterStays) {
            makePromoter();
        } else if (!sameMembers) {
            perform(m_promoter->setMembers(membersOf(database), Clock::now()));
        }
        tick();
    }

    void awaitCommit(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)
    {
        asio::post(m_context, [self = shared_from_this(), sentUnder, after, deadline, handler = std::move(handler)]() mutable {
            self->hold(sentUnder, after, deadline, std::move(handler));
        });
    }

    void hurry(TimePoint until)
    {
        // Only a later time than the last one is worth a handover.
        auto known = m_hurryUntil.load();
        while (known < until) {
            if (m_hurryUntil.compare_exchange_weak(known, until)) {
                asio::post(m_context, [self = shared_from_this()] { self->tick(); });
                return;
            }
        }
    }

    std::shared_ptr<const GroupSnapshot> snapshot() const
    {
        const std::scoped_lock lock(m_publishedMutex);
        return m_published;
    }

    bool agrees(const OpinionQuestion &question) const
    {
        const auto suspicion = m_monitor.suspicion(Clock::now());
        return suspicion && suspicion->term == question.term && suspicion->primary == question.primary;
    }

    void onAnnounce(Term term, const std::string &primary)
    {
        learnAnnounced(term, primary);
        m_roundNow = true;
        tick();
    }

    void switchover(const std::string &to, DoneHandler handler)
    {
        if (const auto refusal = switchoverRefusal(to)) {
            handler(tl::unexpected(*refusal));
            return;
        }
        m_switchoverDone = std::move(handler);
        startSwitchover(to);
    }

private:
    void makePromoter()
    {
        m_promoterHome = m_homes.empty() ? std::string{} : *m_homes.begin();
        PromoterIdentity identity{m_database.name, m_promoterHome, m_settings.incarnation + "/" + m_promoterHome};
        m_promoter = std::make_unique<Promoter>(std::move(identity), membersOf(m_database), m_settings.seed, m_settings.promoter);
    }

    // ---- Rounds

    // Everything that time brings.
    void tick()
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
        if (std::exchange(m_roundNow, false) || now >= m_monitor.nextProbeAt(now, someoneWaits(now))) {
            beginRound(now);
        }
        look(now);
        arm();
    }

    // What goes wrong: a process that stood still, or whose host slept, wakes up
    // with views and promises that others have moved past. A timer that fires far
    // too late shows it; what was held then is not acted on.
    void noticeClockGap(TimePoint now)
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

    bool someoneWaits(TimePoint now) const
    {
        return m_gate.waiting() > 0 || now < m_hurryUntil.load() || m_promoter->running() || m_switchover.running();
    }

    void beginRound(TimePoint now)
    {
        const ProbeRound round = m_monitor.beginRound(now);
        for (const std::string &upstream : round.upstreams) {
            m_calls.status(upstream, now + m_settings.probeTimeout,
                           [weak = weak_from_this(), id = round.id, upstream, now](const auto &status) {
                               if (const auto self = weak.lock()) {
                                   self->onProbe(id, upstream, now, status);
                               }
                           });
        }
    }

    void onProbe(RoundId round, const std::string &upstream, TimePoint sentAt,
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
    void look(TimePoint now)
    {
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
    void logBelief(const GroupSnapshot &view) const
    {
        const bool same = m_seen && m_seen->primary == view.primary && m_seen->term == view.term
            && m_seen->primaryConfirmed == view.primaryConfirmed;
        if (!same) {
            log::info("primary_seen",
                      {{"database", view.database},
                       {"primary", view.primary},
                       {"term", view.term},
                       {"confirmed", view.primaryConfirmed}});
        }
    }

    // Publishes the monitor's view. While an announced term has not been seen by a
    // round, the announced primary stands in, unconfirmed: writes find it at once,
    // and if it is none it refuses them.
    void publish()
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

    void learnAnnounced(Term term, const std::string &primary)
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

    void arm()
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

    // ---- Commits

    void hold(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)
    {
        if (!m_running) {
            handler(CommitOutcome::LostPrimary);
            return;
        }
        const CommitId id = ++m_lastCommit;
        m_commits.emplace(id, std::move(handler));
        resolve(m_gate.add(id, sentUnder, after, deadline, Clock::now()));
        if (m_gate.waiting() > 0) {
            tick();
        }
    }

    void resolve(const std::vector<CommitResolution> &resolutions)
    {
        for (const CommitResolution &resolution : resolutions) {
            auto node = m_commits.extract(resolution.id);
            if (!node.empty()) {
                node.mapped()(resolution.outcome);
            }
        }
    }

    // ---- Promotion

    void perform(const PromoterActions &actions)
    {
        for (const PromoterAction &action : actions) {
            std::visit(Overloaded{[this](const auto &one) { carryOut(one); }}, action);
        }
        if (!actions.empty()) {
            arm();
        }
    }

    // Runs `then` on the control thread if this observer still runs, whatever
    // thread the answer comes in on.
    template <class Then> void onControl(Then then)
    {
        asio::post(m_context, [weak = weak_from_this(), then = std::move(then)] {
            const auto self = weak.lock();
            if (self && self->m_running) {
                self->noticeClockGap(Clock::now());
                then(*self);
                self->arm();
            }
        });
    }

    void carryOut(const AskOpinions &action)
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

    void carryOut(const ReadRecord &action)
    {
        const auto onRecord = [weak = weak_from_this(), attempt = action.attempt](const std::optional<VersionedRecord> &record) {
            if (const auto self = weak.lock()) {
                self->onControl([attempt, record](Impl &impl) {
                    impl.perform(impl.m_promoter->onRecordRead(attempt, record, Clock::now()));
                });
            }
        };
        if (m_hooks.readRecord) {
            m_hooks.readRecord(m_database.name, Clock::now() + m_settings.storeTimeout, onRecord);
        } else {
            onRecord(std::nullopt);
        }
    }

    void carryOut(const ClaimInStore &action)
    {
        const auto onClaim = [weak = weak_from_this(), attempt = action.attempt](const ClaimAnswer &answer) {
            if (const auto self = weak.lock()) {
                self->onControl(
                    [attempt, answer](Impl &impl) { impl.perform(impl.m_promoter->onClaim(attempt, answer, Clock::now())); });
            }
        };
        if (m_hooks.claimRecord) {
            const TimePoint deadline = Clock::now() + m_settings.storeTimeout;
            m_hooks.claimRecord(m_database.name, action.expectedVersion, action.record, deadline, onClaim);
        } else {
            onClaim(ClaimAnswer{});
        }
    }

    void carryOut(const SendFence &action)
    {
        m_calls.fence(action.upstream, action.term, action.token, Clock::now() + m_settings.controlTimeout,
                      controlHandler(action.attempt, action.upstream, &Promoter::onFence));
    }

    void carryOut(const SendPromote &action)
    {
        m_calls.promote(action.upstream, action.term, action.token, action.fencingToken, Clock::now() + m_settings.controlTimeout,
                        controlHandler(action.attempt, action.upstream, &Promoter::onPromote));
    }

    using AnswerFunction = PromoterActions (Promoter::*)(AttemptId, const ControlAnswer &, TimePoint);

    ControlHandler controlHandler(AttemptId attempt, const std::string &upstream, AnswerFunction onAnswer)
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

    void carryOut(const SendFollow &action)
    {
        m_calls.follow(action.upstream, action.term, action.token, action.primary, Clock::now() + m_settings.controlTimeout,
                       [weak = weak_from_this()](const tl::expected<ControlAnswer, ControlFailure> &answer) {
                           const auto self = weak.lock();
                           if (self && self->m_running && answer) {
                               self->perform(self->m_promoter->onFollow(*answer, Clock::now()));
                           }
                       });
    }

    void carryOut(const Announce &action)
    {
        learnAnnounced(action.term, action.primary);
        m_roundNow = true;
        if (m_hooks.announce) {
            m_hooks.announce(m_database.name, action.term, action.primary);
        }
        perform(m_switchover.onAnnounced(action.term, action.primary, Clock::now()));
    }

    void carryOut(const RecordInStore &action)
    {
        if (m_hooks.writeRecord) {
            m_hooks.writeRecord(m_database.name, action.record);
        }
    }

    void carryOut(const GiveUp &)
    {
        perform(m_switchover.onPromotionGaveUp(Clock::now()));
    }

    // ---- Planned change

    std::optional<Error> switchoverRefusal(const std::string &to) const
    {
        const auto names = namesOf(m_database);
        const auto view = m_monitor.snapshot();
        if (std::ranges::find(names, to) == names.end()) {
            return Error{ErrorKind::InvalidInput, "'" + to + "' is no upstream of '" + m_database.name + "'; name one that is."};
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

    void startSwitchover(const std::string &to)
    {
        const TimePoint now = Clock::now();
        perform(m_switchover.start(*m_monitor.snapshot(), to, unknownOpen, now));
        tick();
    }

    // A primary that the operators take away, or whose term has to be renewed, is
    // changed by its own home without being asked.
    void startOwnChange(const GroupSnapshot &view, TimePoint now)
    {
        const bool mine = m_homes.contains(view.primary) && view.primaryConfirmed;
        if (!mine || m_switchover.running() || m_promoter->running() || now < m_nextOwnChangeAt) {
            return;
        }
        const auto successor = m_promoter->needsRenewal() ? std::optional(view.primary) : successorOfLeaving(view);
        if (successor) {
            m_nextOwnChangeAt = now + ownChangeSpacing;
            startSwitchover(*successor);
        }
    }

    std::optional<std::string> successorOfLeaving(const GroupSnapshot &view) const
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

    void perform(const SwitchoverActions &actions)
    {
        for (const SwitchoverAction &action : actions) {
            std::visit(Overloaded{[this](const auto &one) { carryOut(one); }}, action);
        }
        if (!actions.empty()) {
            arm();
        }
    }

    void carryOut(const PauseWrites &)
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

    void carryOut(const ResumeWrites &)
    {
        resumeWrites();
    }

    void carryOut(const HandOver &action)
    {
        learnAnnounced(action.term, action.primary);
        resumeWrites();
    }

    void resumeWrites()
    {
        if (m_hooks.resumeWrites) {
            m_hooks.resumeWrites(m_pausedUpstream);
        }
    }

    void carryOut(const StartPromotion &action)
    {
        perform(m_promoter->startPlanned(action.successor, m_monitor.highestPromised(), Clock::now()));
    }

    void carryOut(const WatchMarks &)
    {
        m_roundNow = true;
    }

    void carryOut(const SwitchoverDone &action)
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

    asio::io_context &m_context;
    DatabaseSpec m_database;
    // The upstreams whose home this host is.
    std::set<std::string> m_homes;
    const GroupObserverSettings m_settings;
    const GroupObserverHooks m_hooks;

    GroupControl m_control;
    const GroupControlHooks m_calls;
    GroupMonitor m_monitor;
    CommitGate m_gate;
    Switchover m_switchover;
    // The home that this host speaks as; one of m_homes.
    std::string m_promoterHome;
    std::unique_ptr<Promoter> m_promoter;

    bool m_running = false;
    asio::steady_timer m_timer;
    bool m_armed = false;
    // When the armed timer should fire.
    TimePoint m_armedFor;
    bool m_roundNow = false;
    // Rounds follow each other closely until then.
    std::atomic<TimePoint> m_hurryUntil{TimePoint::min()};

    // The view that was last looked at.
    std::shared_ptr<const GroupSnapshot> m_seen;
    // The highest announced term and its primary.
    Term m_announcedTerm = 0;
    std::string m_announcedPrimary;
    mutable std::mutex m_publishedMutex;
    std::shared_ptr<const GroupSnapshot> m_published;

    CommitId m_lastCommit = 0;
    std::map<CommitId, CommitHandler> m_commits;

    DoneHandler m_switchoverDone;
    // Whose writes a planned change holds back.
    std::string m_pausedUpstream;
    TimePoint m_nextOwnChangeAt = TimePoint::min();
};

GroupObserver::GroupObserver(asio::io_context &control, const DatabaseSpec &database, const std::set<std::string> &homes,
                             const GroupObserverSettings &settings, GroupObserverHooks hooks)
    : m_impl(std::make_shared<Impl>(control, database, homes, settings, std::move(hooks)))
{
}

GroupObserver::~GroupObserver() = default;

void GroupObserver::start()
{
    m_impl->start();
}

void GroupObserver::stop()
{
    m_impl->stop();
}

void GroupObserver::update(const DatabaseSpec &database, const std::set<std::string> &homes)
{
    m_impl->update(database, homes);
}

void GroupObserver::awaitCommit(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)
{
    m_impl->awaitCommit(sentUnder, after, deadline, std::move(handler));
}

void GroupObserver::hurry(TimePoint until)
{
    m_impl->hurry(until);
}

std::shared_ptr<const GroupSnapshot> GroupObserver::snapshot() const
{
    return m_impl->snapshot();
}

bool GroupObserver::agrees(const OpinionQuestion &question) const
{
    return m_impl->agrees(question);
}

void GroupObserver::onAnnounce(Term term, const std::string &primary)
{
    m_impl->onAnnounce(term, primary);
}

void GroupObserver::switchover(const std::string &to, DoneHandler handler)
{
    m_impl->switchover(to, std::move(handler));
}

} // namespace egrettide
