// A planned change of primary without an error for any caller: writes pause (they
// queue and were never sent), open transactions end, the successor catches up,
// and only then is the term changed. Until the fence leaves, any trouble resumes
// writes at the old primary as if nothing had been asked for.

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

// Send queued writes again; nothing has changed.
struct ResumeWrites {
};

// Answer everything queued as moved to `primary`: none of it was sent.
struct HandOver {
    Term term = 0;
    std::string primary;
};

// Call Promoter::startPlanned with this successor. From here on the change either
// finishes or becomes an ordinary promotion.
struct StartPromotion {
    std::string successor;
};

// Begin rounds closely spaced until further notice: the change waits for marks.
struct WatchMarks {
};

enum class SwitchoverFailure {
    // An open transaction outlived the drain deadline.
    TransactionsOpen,
    // The successor did not reach the primary's mark in time.
    SuccessorBehind,
    // The primary or the successor was lost, or another term began.
    GroupChanged,
    // The operators, or a stop of this host, called it off.
    Cancelled,
    // The process was paused.
    ClockGap,
};

// The change is over. `failure` is unset when a new term has begun.
struct SwitchoverDone {
    std::optional<SwitchoverFailure> failure;
};

using SwitchoverAction = std::variant<PauseWrites, ResumeWrites, HandOver, StartPromotion, WatchMarks, SwitchoverDone>;
using SwitchoverActions = std::vector<SwitchoverAction>;

struct SwitchoverOptions {
    // How long open transactions may last after the pause.
    milliseconds drainTimeout{5000};
    // How long the successor may take to reach the primary's mark.
    milliseconds catchUpTimeout{3000};
    // Writes paused beyond this, over all steps before the fence, are resumed;
    // after the fence it is when the queue is given to the ordinary promotion.
    milliseconds promotionTimeout{3000};
};

class Switchover
{
public:
    explicit Switchover(const SwitchoverOptions &options = {});
    Switchover(const Switchover &) = delete;
    Switchover &operator=(const Switchover &) = delete;

    // Starts a change from `snapshot.primary` to `successor`, which may be the
    // same upstream: that renews the term. Refused with SwitchoverDone when the
    // primary is not confirmed or the successor is not reachable.
    SwitchoverActions start(const GroupSnapshot &snapshot, const std::string &successor, std::size_t openTransactions,
                            TimePoint now);
    // The number of transactions open at the primary, whenever it changes. Commits
    // whose confirmation is still awaited count as open.
    SwitchoverActions onOpenTransactions(std::size_t open, TimePoint now);
    // The monitor's view, whenever it changes.
    SwitchoverActions onSnapshot(const GroupSnapshot &snapshot, TimePoint now);
    // The promoter announced a primary.
    SwitchoverActions onAnnounced(Term term, const std::string &primary, TimePoint now);
    // The promoter gave up before or after it fenced somebody.
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
    // When the last transaction had ended: only marks of watermarks sent at or
    // after it are the final ones.
    TimePoint m_drainedAt;
    std::optional<LogMark> m_target;
    std::optional<TimePoint> m_deadline;
};

} // namespace egrettide
