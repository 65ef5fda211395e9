// Switchover runs a planned change of the primary without an error for any caller: writes
// are paused (they are queued and not sent), open transactions drain, the successor catches
// up, and only then the term changes. Before the first fence is sent, any failure resumes
// writes at the old primary without any effect.

#pragma once

#include "egrettide/core/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace egrettide
{

// Stop sending new writes and new transactions; they wait in their queue.
struct PauseWrites {
};

// Resume sending queued writes as usual.
struct ResumeWrites {
};

// Answer all queued requests as moved to `primary`; none of them was sent.
struct HandOver {
    Term term = 0;
    std::string primary;
};

// Call Promoter::startPlanned with this successor. From here on, the change either
// completes or becomes an unplanned promotion.
struct StartPromotion {
    std::string successor;
};

// Run probe rounds at short intervals until the change ends, since it waits for marks.
struct RequestFrequentRounds {
};

enum class SwitchoverFailure {
    // A transaction was still open at the drain deadline.
    TransactionsOpen,
    // The successor did not reach the primary's mark in time.
    SuccessorBehind,
    // The primary or the successor was lost, or another term began.
    GroupChanged,
    // Cancelled by an operator or because this host stops.
    Cancelled,
    // The process was suspended.
    ClockGap,
};

// The change has ended. `failure` is unset when a new term has begun.
struct SwitchoverDone {
    std::optional<SwitchoverFailure> failure;
};

using SwitchoverAction = std::variant<PauseWrites, ResumeWrites, HandOver, StartPromotion, RequestFrequentRounds, SwitchoverDone>;
using SwitchoverActions = std::vector<SwitchoverAction>;

struct SwitchoverOptions {
    // How long open transactions may continue after the pause.
    milliseconds drainTimeout{5000};
    // How long the successor may take to reach the primary's mark.
    milliseconds catchUpTimeout{3000};
    // How long the promotion may take after the successor has caught up; then the change
    // fails and queued writes wait for an unplanned promotion.
    milliseconds promotionTimeout{3000};
};

class Switchover
{
public:
    explicit Switchover(const SwitchoverOptions &options = {});
    Switchover(const Switchover &) = delete;
    Switchover &operator=(const Switchover &) = delete;

    // Starts a change from `snapshot.primary` to `successor`. If both are the same
    // upstream, the change renews the term. Refused with SwitchoverDone when the primary is
    // not confirmed or the successor is not reachable.
    SwitchoverActions start(const GroupSnapshot &snapshot, const std::string &successor, std::size_t openTransactions,
                            TimePoint now);
    // The number of open transactions at the primary; must be called whenever it changes.
    // Commits that await their confirmation count as open.
    SwitchoverActions onOpenTransactions(std::size_t open, TimePoint now);
    // Must be called whenever the monitor's view changes.
    SwitchoverActions onSnapshot(const GroupSnapshot &snapshot, TimePoint now);
    // The promoter announced a primary.
    SwitchoverActions onAnnounced(Term term, const std::string &primary, TimePoint now);
    // The promoter gave up, before or after it fenced a member.
    SwitchoverActions onPromotionGaveUp(TimePoint now);
    SwitchoverActions onTimer(TimePoint now);
    SwitchoverActions onClockGap(TimePoint now);
    SwitchoverActions cancel(TimePoint now);

    std::optional<TimePoint> nextTimerAt() const;
    bool running() const;
    // True while writes must wait.
    bool writesPaused() const;

private:
    enum class Phase { Idle, Draining, CatchingUp, Promoting };

    void startCatchUp(TimePoint now);
    SwitchoverActions abort(SwitchoverFailure failure);
    SwitchoverActions finish(Term term, const std::string &primary);

    SwitchoverOptions m_options;
    Phase m_phase = Phase::Idle;
    Term m_term = 0;
    std::string m_primary;
    std::string m_successor;
    // When the last transaction had ended. Only watermarks sent at or after this time show
    // the final mark of the term.
    TimePoint m_drainedAt;
    std::optional<LogMark> m_target;
    std::optional<TimePoint> m_deadline;
};

} // namespace egrettide
