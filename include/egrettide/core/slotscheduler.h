// Admission control and scheduling for the slots of one upstream. A slot is the right
// to run one statement there; a class is a named group of callers with a priority and
// a reserved share of the slots. The scheduler runs at the upstream's home, the one
// host that holds its slots, so it needs no agreement with other hosts. It holds
// tickets that stand for statements, not the statements themselves.
//
// Without it, all callers retry at once after a failover, a first-in first-out queue
// grows beyond their deadlines, and the upstream spends its slots on answers that no
// caller waits for any more: the slots stay full while goodput falls, and callers of
// high priority wait behind the others.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// How the number of statements in use at once follows the observed latency.
enum class LimitPolicy {
    // Always the configured slots.
    Fixed,
    // Additive increase, multiplicative decrease on slow answers.
    Aimd,
    // Scales with the ratio of the long-term to the recent service time.
    Gradient,
};

// How a reservation that is not a whole number of slots is kept.
enum class ReservationPolicy {
    // Other classes may use the reserved slots; the reserved class gets the next slot
    // that becomes free. No slot is ever idle.
    TimeShare,
    // As many slots as the reservation, rounded up, stay free for the reserved class.
    HoldBack,
    // Like TimeShare for classes with short statements. Classes with longer ones leave
    // free the reserved slots, rounded down but at least one, of a class that was
    // active recently. See SlotSchedulerOptions::lendingBound.
    Lend,
};

// The order of tickets within one class. A ticket is due at its objective while that can
// be met, and at its deadline afterwards.
//
// With deadlines alone, a load above capacity makes every caller wait for about its whole
// timeout, so most answers miss their objective although the slots are always busy.
// Moving late tickets to the back keeps the others in time. Measured with 1.3 times the
// capacity for 3 s, then half of it for 3 s, and an objective of 200 ms: 0.70 answered
// within the objective and 0.06 refused; with deadlines alone 0.54 and 0.14 (mean of 20
// runs in simulated time).
enum class QueueDiscipline {
    EarliestDeadline,
    // Earliest deadline first. Under sustained overload, a ticket that would wait longer
    // than SlotSchedulerOptions::standingTarget is refused on arrival.
    BoundedStanding,
};

// Each switch disables one mechanism, so that a test can show that its check fails
// without it. Never set in production.
struct SchedulerFaults {
    bool ignoreReservations = false;
    bool ignoreDeadlines = false;
    bool ignoreLimit = false;
    bool skipDispatch = false;
    bool dropTickets = false;
    bool ignorePause = false;
    bool ignoreTransactionLimit = false;
};

// SlotScheduler::configure applies changed options to a running scheduler.
struct SlotSchedulerOptions {
    int slots = 1;
    std::vector<ClassSpec> classes;
    std::vector<TenantSpec> tenants;
    LimitPolicy limitPolicy = LimitPolicy::Gradient;
    ReservationPolicy reservationPolicy = ReservationPolicy::Lend;
    QueueDiscipline discipline = QueueDiscipline::BoundedStanding;
    // Statements that may run in addition to `slots`, only to end a stall; see stallBound.
    int limitMargin = 1;
    // Transactions of all classes that may be open at once: the data connections that
    // the home may hold, less those needed for the slots.
    int maximumTransactions = 1;
    // Tickets that may be queued; bounds the memory of the scheduler.
    int maximumQueued = 4096;
    // The assumed service time until the first statement has finished.
    milliseconds initialServiceTime{10};
    // The longest queueing delay that BoundedStanding accepts under overload.
    milliseconds standingTarget{200};
    // Under overload, classes with clearly shorter statements go before others of the same
    // priority. By due time alone, each long statement makes several short ones late.
    // Measured with 1.6 times the capacity for 12 s: 0.68 answered within the objective,
    // 0.63 by due time alone (mean of 20 runs in simulated time), at the expense of the
    // long statements.
    bool shortFirst = true;
    // Whether tickets are due at their objective while it can be met; see QueueDiscipline.
    bool objectives = true;
    // A class is overloaded once predicted waits have exceeded standingTarget, with
    // more demand than capacity, for this long.
    milliseconds standingInterval{200};
    // With ReservationPolicy::Lend, a class whose statements take longer than this gets
    // no reserved slot of a class that was active recently.
    milliseconds lendingBound{50};
    // If no slot was taken or freed for this long, a statement of an open transaction
    // may exceed the limit: the running statements may wait for a lock that its
    // transaction holds.
    milliseconds stallBound{100};
    // The upper bound of Error::retryAfter in refusals.
    milliseconds maximumRetryAfter{30000};
    SchedulerFaults faults;
};

// A request for a slot, for one statement.
struct StatementTicket {
    // Unique at this scheduler until the ticket is refused, withdrawn or finished.
    std::uint64_t id = 0;
    std::string className;
    std::string tenant;
    TimePoint deadline;
    StatementKind kind = StatementKind::Write;
    // True if the statement belongs to an open transaction, which already holds a
    // connection and perhaps locks.
    bool holdsTransaction = false;
    // The response time objective, as a point in time, if the caller gave one.
    std::optional<TimePoint> objective{};
};

// A queued ticket that was refused. Its statement was never sent.
struct TicketRefusal {
    std::uint64_t id = 0;
    Error error;
};

enum class AdmissionState { Admitted, Queued, Refused };

// The immediate result of enqueue().
struct Admission {
    AdmissionState state = AdmissionState::Queued;
    // Set for Refused only; Error::retryAfter says when to retry.
    std::optional<Error> error;
};

// What the owner of the scheduler has to do: send the admitted statements and answer
// the refused ones.
struct SlotActions {
    std::vector<std::uint64_t> admitted;
    std::vector<TicketRefusal> refused;
};

// Every ticket gets exactly one outcome: admitted, refused or withdrawn.
class SlotScheduler
{
public:
    explicit SlotScheduler(SlotSchedulerOptions options);
    ~SlotScheduler();
    SlotScheduler(const SlotScheduler &) = delete;
    SlotScheduler &operator=(const SlotScheduler &) = delete;

    // Applies new options. Admitted and queued tickets are kept; returns the tickets
    // that the change admits or refuses.
    SlotActions configure(SlotSchedulerOptions options, TimePoint now);

    // Requests a slot. Refused if the deadline can't be met according to the backlog and
    // the estimated service time. A refused ticket is not kept.
    Admission enqueue(const StatementTicket &ticket, TimePoint now);

    // Releases the slot of an admitted ticket, whatever the outcome of its statement.
    // `serviceTime` runs from sending to the last byte of the answer; zero if nothing was
    // sent, which leaves the estimates unchanged. Ignores tickets that hold no slot.
    SlotActions finished(std::uint64_t id, TimePoint now, std::chrono::nanoseconds serviceTime);

    // Notes the end of a transaction of a class. A transaction counts as open from the
    // admission of its Begin ticket, so call this also if that Begin failed or its
    // connection broke.
    SlotActions transactionEnded(std::string_view className, TimePoint now);

    // Refuses tickets whose deadline can no longer be met, and admits those that have
    // become admissible with time, such as during a stall. Call it at nextEventAt().
    SlotActions expire(TimePoint now);

    // Removes a queued ticket, after a cancel or when its caller has disconnected.
    // Returns false if the ticket is not queued.
    bool withdraw(std::uint64_t id);

    // Holds back writes and new read-write transactions during a planned change of
    // primary. They stay queued within their deadlines; statements of open transactions
    // are still admitted.
    void pause();
    SlotActions resume(TimePoint now);
    bool isPaused() const;

    // Refuses all queued tickets with `error`, whose outcome must be NotRun since none of
    // their statements was sent. Admitted tickets keep their slots.
    std::vector<TicketRefusal> refuseAll(const Error &error);

    // When to call expire() next; TimePoint::max() if no ticket is queued.
    TimePoint nextEventAt() const;

    // The predicted wait for a slot of a read of this class that arrives now.
    milliseconds expectedWait(std::string_view className, TimePoint now) const;

    int inUse() const;
    int queued() const;
    int queued(std::string_view className) const;
    int openTransactions(std::string_view className) const;
    // How many slots may be in use at once now, without limitMargin.
    int limit() const;
    // The smoothed service time over all classes.
    std::chrono::nanoseconds serviceTime() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace egrettide
