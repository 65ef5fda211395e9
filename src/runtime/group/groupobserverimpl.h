// The inside of GroupObserver, shared by the files that implement it: groupobserver.cpp
// (events and commits), groupobserverrounds.cpp (time and probes),
// groupobserverpromotion.cpp (what the promoter wants done) and
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

// One visitor out of a function for each alternative of a variant.
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
    void tellAnswer(const StatementProof &proof);
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
    bool someoneWaits(TimePoint now) const;
    bool isUrgent(TimePoint now) const;
    bool awaitsChange() const;
    void noteServedHurry();
    RoundScope roundScope(TimePoint now);
    void beginRound(TimePoint now);
    void onProbe(RoundId round, const std::string &upstream, TimePoint sentAt,
                 const tl::expected<MemberStatus, ControlFailure> &status);
    void look(TimePoint now);
    void logBelief(const GroupSnapshot &view) const;
    void publish();
    void learnAnnounced(Term term, const std::string &primary);
    void arm();

    // Commits.
    void hold(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler);
    void resolve(const std::vector<CommitResolution> &resolutions);

    // Promotion.
    void perform(const PromoterActions &actions);
    // Runs `then` on the control thread if this observer still runs, whatever
    // thread the answer comes in on.
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
    detail::PromotionLog m_promotionLog;

    bool m_running = false;
    Timer m_timer;
    bool m_armed = false;
    // When the armed timer should fire.
    TimePoint m_armedFor;
    bool m_roundNow = false;
    // Rounds follow each other closely until then.
    std::atomic<TimePoint> m_urgentUntil{TimePoint::min()};
    // When a proof was last asked for, and whether a newer one has come.
    std::atomic<TimePoint> m_urgentSince{TimePoint::min()};
    std::atomic<bool> m_urgentServed{false};

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

} // namespace egrettide
