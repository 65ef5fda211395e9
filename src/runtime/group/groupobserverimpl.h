// The private part of GroupObserver, shared by the files that implement it:
// groupobserver.cpp (events and commits), groupobserverrounds.cpp (timers and probes),
// groupobserverpromotion.cpp (the promoter's actions) and
// groupobserverswitchover.cpp (planned changes).

#pragma once

#include "runtime/group/grouplog.h"
#include "runtime/group/groupobserver.h"
#include "runtime/host/timer.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egrettide
{

namespace detail
{

// Combines one function for each alternative of a variant into a visitor.
template <class... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

std::vector<MemberSpec> membersOf(const DatabaseSpec &database);
std::vector<std::string> namesOf(const DatabaseSpec &database);

} // namespace detail

class GroupObserver::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(boost::asio::io_context &control, const DatabaseSpec &database, const std::set<std::string> &homes,
         const GroupObserverSettings &settings, GroupObserverHooks hooks);
    void start();
    void stop();
    void update(const DatabaseSpec &database, const std::set<std::string> &homes);
    void awaitCommit(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler);
    void requestRounds(TimePoint until);
    void postStatementAnswer(const StatementProof &proof);
    void onStatementAnswer(const StatementProof &proof);
    std::shared_ptr<const GroupSnapshot> snapshot() const;
    bool agrees(const OpinionQuestion &question);
    void onAnnounce(Term term, const std::string &primary);
    void switchover(const std::string &to, DoneHandler handler);

private:
    void makePromoter();

    // Rounds.
    void tick();
    void noticeClockGap(TimePoint now);
    bool needsFrequentRounds(TimePoint now) const;
    bool isUrgent(TimePoint now) const;
    bool awaitsChange() const;
    void noteServedRequest();
    RoundScope roundScope(TimePoint now);
    void beginRound(TimePoint now);
    void onProbe(RoundId round, const std::string &upstream, TimePoint sentAt,
                 const tl::expected<MemberStatus, ControlFailure> &status);
    void processView(TimePoint now);
    void logPrimaryChange(const GroupSnapshot &view) const;
    void publish();
    void adoptAnnounced(Term term, const std::string &primary);
    void arm();

    // Commits.
    void hold(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler);
    void resolve(const std::vector<CommitResolution> &resolutions);

    // Promotion.
    void perform(const PromoterActions &actions);
    // Posts `then` to the control thread, from any thread; it runs there if the observer
    // has not been stopped.
    template <class Then> void onControl(Then then)
    {
        boost::asio::post(m_context, [weak = weak_from_this(), then = std::move(then)] {
            const auto self = weak.lock();
            if (self && self->m_running) {
                self->noticeClockGap(Clock::now());
                then(*self);
                self->arm();
            }
        });
    }
    void carryOut(const AskOpinions &action);
    void carryOut(const ReadRecord &action);
    void carryOut(const ClaimInStore &action);
    void carryOut(const SendFence &action);
    void carryOut(const SendPromote &action);
    using AnswerFunction = PromoterActions (Promoter::*)(AttemptId, const ControlAnswer &, TimePoint);
    ControlHandler controlHandler(AttemptId attempt, const std::string &upstream, AnswerFunction onAnswer);
    void carryOut(const SendFollow &action);
    void carryOut(const Announce &action);
    void carryOut(const LearnTerm &action);
    void carryOut(const RecordInStore &action);
    void carryOut(const GiveUp &);

    // Planned change.
    std::optional<Error> switchoverRefusal(const std::string &to) const;
    void startSwitchover(const std::string &to);
    void startOwnChange(const GroupSnapshot &view, TimePoint now);
    std::optional<std::string> successorOfLeaving(const GroupSnapshot &view) const;
    void perform(const SwitchoverActions &actions);
    void carryOut(const PauseWrites &);
    void carryOut(const ResumeWrites &);
    void carryOut(const HandOver &action);
    void resumeWrites();
    void carryOut(const StartPromotion &action);
    void carryOut(const RequestFrequentRounds &);
    void carryOut(const SwitchoverDone &action);

    boost::asio::io_context &m_context;
    DatabaseSpec m_database;
    // The upstreams that this host is the home of.
    std::set<std::string> m_homes;
    const GroupObserverSettings m_settings;
    const GroupObserverHooks m_hooks;

    GroupControl m_control;
    const GroupControlHooks m_calls;
    GroupMonitor m_monitor;
    CommitGate m_gate;
    Switchover m_switchover;
    // The home that the promoter acts for; one of m_homes.
    std::string m_promoterHome;
    std::unique_ptr<Promoter> m_promoter;
    detail::PromotionLog m_promotionLog;

    bool m_running = false;
    Timer m_timer;
    bool m_armed = false;
    // The time that the armed timer is set to.
    TimePoint m_armedFor;
    bool m_roundNow = false;
    // Rounds run at the short interval until then.
    std::atomic<TimePoint> m_frequentRoundsUntil{TimePoint::min()};
    // When frequent rounds were last requested, and whether a newer proof has arrived since.
    std::atomic<TimePoint> m_roundsRequestedAt{TimePoint::min()};
    std::atomic<bool> m_requestServed{false};

    // The view that was last processed.
    std::shared_ptr<const GroupSnapshot> m_seen;
    mutable std::mutex m_publishedMutex;
    std::shared_ptr<const GroupSnapshot> m_published;

    CommitId m_lastCommit = 0;
    std::map<CommitId, CommitHandler> m_commits;

    DoneHandler m_switchoverDone;
    // The upstream whose writes a planned change pauses.
    std::string m_pausedUpstream;
    TimePoint m_nextOwnChangeAt = TimePoint::min();
};

} // namespace egrettide
